//! What a front end is told at its start: environment, NODE_CONFIG and the file of the KServe v2 front.
use crate::discovery::json_array::{ArrayScanner, Place, ScanError};
use crate::discovery::{EventBounds, EventError, EventReader, ListEvent};
use crate::limits::Limits;
use heronslip_policy::json::{as_str, number, object, parse, string, unsigned};
use heronslip_policy::Settings;
use miniserde::json::{Object, Value};
use std::io::Read as _;
use std::net::SocketAddr;

/// Bytes of a configuration beside the events under `known` that are read at most: far more than settings take.
const MOST_OUTSIDE: usize = 16 * 1024 * 1024;
/// Bytes of it that are read at a time.
const PIECE: usize = 16 * 1024;
/// An entry of the list in our own configuration may be of any sane size, and there may be any number.
const KNOWN_BOUNDS: EventBounds = EventBounds { entry_bytes: 64 * 1024, entries: usize::MAX };

/// The start configuration.
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// Where FastCGI clients connect.
    pub listen: SocketAddr,
    /// Address of the notice board, if there is one.
    pub board: Option<SocketAddr>,
    /// The board's events up to now, oldest first.
    pub known: Vec<Result<ListEvent, EventError>>,
    /// The number of the last of them.
    pub known_to: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The settings of the deployment.
    pub settings: Settings,
    /// All limits.
    pub limits: Limits,
    /// The KServe v2 front, where it is on.
    pub kserve: Option<Kserve>,
}

/// The KServe v2 front's file.
pub struct Kserve {
    /// Where v2 clients connect.
    pub listen: SocketAddr,
    /// Where the read-only administration API listens, if it is wanted.
    pub admin: Option<SocketAddr>,
    /// v2 workers, as an xDS discovery response of endpoints (ClusterLoadAssignment resources).
    pub endpoints: Option<Object>,
}

type Read<T> = Result<T, String>;

fn file(path: &str) -> Read<Object> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    fields(path, &text)
}

fn fields(path: &str, text: &str) -> Read<Object> {
    match parse(text) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(format!("{path}: not a JSON object")),
        Err(e) => Err(format!("{path}: {e}")),
    }
}

/// Reads a configuration piece by piece: all but the events under `known`, whose bytes go to `event` with the place
/// of each. So a list of many workers is never held as text or as JSON.
fn configuration(path: &str, mut event: impl FnMut(Place, u8)) -> Read<Object> {
    let told = |e: std::io::Error| format!("{path}: {e}");
    let broken = |e: ScanError| format!("{path}: {e}");
    let mut file = std::fs::File::open(path).map_err(told)?;
    let mut scanner = ArrayScanner::new(["known", "notices"], MOST_OUTSIDE);
    let mut piece = vec![0; PIECE];
    loop {
        let read = match file.read(&mut piece) {
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
            read => read.map_err(told)?,
        };
        if read == 0 {
            break;
        }
        for &byte in &piece[..read] {
            match scanner.byte(byte).map_err(broken)? {
                Place::Outside => {}
                place => event(place, byte),
            }
        }
    }
    let rest = String::from_utf8(scanner.finish().map_err(broken)?).map_err(|e| format!("{path}: {e}"))?;
    fields(path, &rest)
}

/// The events under `known`, as their bytes come.
struct KnownEvents {
    done: Vec<Result<ListEvent, EventError>>,
    reader: EventReader,
    event: ListEvent,
    error: Option<EventError>,
}

impl KnownEvents {
    fn new() -> Self {
        let event = ListEvent { full: false, entries: Vec::new() };
        KnownEvents { done: Vec::new(), reader: EventReader::new(KNOWN_BOUNDS), event, error: None }
    }

    fn byte(&mut self, place: Place, byte: u8) {
        if place != Place::After && self.error.is_none() {
            match self.reader.byte(byte) {
                Ok(entry) => self.event.entries.extend(entry),
                Err(error) => self.error = Some(error),
            }
        }
        if place != Place::Inside {
            let KnownEvents { mut done, reader, event, error } = std::mem::replace(self, KnownEvents::new());
            let full = error.map_or_else(|| reader.finish(), Err);
            done.push(full.map(|full| ListEvent { full, ..event }));
            self.done = done;
        }
    }
}

fn address(fields: &Object, key: &str) -> Read<Option<SocketAddr>> {
    let parse = |t: &str| t.parse().map_err(|_| format!("'{key}' is not HOST:PORT: {t}"));
    fields.get(key).and_then(as_str).map(parse).transpose()
}

impl Config {
    /// Reads the variables NODE_CONFIG, NODE_NAME, NODE_LISTEN and HERONSLIP_KSERVE.
    pub fn from_environment() -> Read<Config> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = variable("NODE_CONFIG").ok_or("NODE_CONFIG names no file")?;
        let mut known = KnownEvents::new();
        let fields = configuration(&path, |place, byte| known.byte(place, byte))?;
        let mut config = Config::read(&fields, variable("NODE_LISTEN"), variable("NODE_NAME"))?;
        config.known = known.done;
        // Off on the platform: only an environment that names the file turns the v2 front on.
        if let Some(path) = variable("HERONSLIP_KSERVE") {
            config.kserve = Some(Kserve::read(&path)?);
        }
        Ok(config)
    }

    /// The board's address as NODE_CONFIG tells it now; all else in the file holds from start to end.
    pub fn board_now() -> Read<SocketAddr> {
        let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
        address(&configuration(&path, |_, _| ())?, "board")?.ok_or(format!("{path}: no 'board'"))
    }

    fn read(fields: &Object, listen: Option<String>, name: Option<String>) -> Read<Config> {
        let empty = Object::new();
        let section = |key: &str| object(fields, key).unwrap_or(&empty);
        let settings = Settings::from_json(section("settings"));
        let limit = |key: &str, other: f64| number(section("limits"), key).unwrap_or(other) as u64;
        let listen = match listen {
            Some(l) => Some(l.parse().map_err(|_| format!("NODE_LISTEN is not HOST:PORT: {l}"))?),
            None => address(fields, "listen")?,
        };
        let seed = string(fields, "seed").unwrap_or("0");
        Ok(Config {
            name: name.or(string(fields, "name").map(str::to_owned)).unwrap_or_default(),
            listen: listen.ok_or("no address to listen on")?,
            board: address(fields, "board")?,
            known: Vec::new(),
            known_to: unsigned(section("known"), "rev").unwrap_or(0),
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("'seed' is not hex: {seed}"))?,
            limits: Limits::new(limit("memory_mb", 192.0), limit("sockets", 1024.0), &settings),
            settings,
            kserve: None,
        })
    }
}

impl Kserve {
    fn read(path: &str) -> Read<Kserve> {
        let fields = file(path)?;
        let endpoints = match string(&fields, "endpoints") {
            Some(beside) => {
                let folder = std::path::Path::new(path).parent().unwrap_or(std::path::Path::new("."));
                Some(file(&folder.join(beside).to_string_lossy())?)
            }
            None => None,
        };
        let listen = address(&fields, "listen")?.ok_or(format!("{path}: no 'listen'"))?;
        Ok(Kserve { listen, admin: address(&fields, "admin")?, endpoints })
    }
}
