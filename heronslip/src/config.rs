//! The start configuration: environment variables, the NODE_CONFIG file, and the KServe v2 server's file.
use crate::discovery::json_array::{ArrayScanner, BytePosition, ScanError};
use crate::discovery::{EventBounds, EventError, EventReader, ListEvent};
use crate::limits::Limits;
use heronslip_policy::json::{as_str, number, object, parse, string, unsigned};
use heronslip_policy::Settings;
use miniserde::json::{Object, Value};
use std::io::Read as _;
use std::net::SocketAddr;

/// Maximum bytes of a configuration without the events under `known`, far more than settings take.
const MAX_SETTINGS_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of the configuration that are read at a time.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bounds of the events under `known`. They come from this process's own configuration, so their number is
/// not limited.
const INITIAL_EVENT_BOUNDS: EventBounds = EventBounds { entry_bytes: 64 * 1024, entries: usize::MAX };

/// The start configuration.
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// The address of the FastCGI listener.
    pub listen: SocketAddr,
    /// The address of the discovery service, if there is one.
    pub discovery_address: Option<SocketAddr>,
    /// The discovery service's events up to the start, oldest first.
    pub initial_events: Vec<Result<ListEvent, EventError>>,
    /// The number of the last of these events.
    pub last_initial_event: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The settings of the deployment.
    pub settings: Settings,
    /// All limits.
    pub limits: Limits,
    /// The KServe v2 server, if it is enabled.
    pub kserve: Option<KserveConfig>,
}

/// The configuration file of the KServe v2 server.
pub struct KserveConfig {
    /// The address of the KServe v2 listener.
    pub listen: SocketAddr,
    /// The address of the read-only administration API, if it is enabled.
    pub admin: Option<SocketAddr>,
    /// KServe v2 workers, as an xDS discovery response of endpoints (ClusterLoadAssignment resources).
    pub endpoints: Option<Object>,
}

type ConfigResult<T> = Result<T, String>;

fn read_object(path: &str) -> ConfigResult<Object> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    parse_object(path, &text)
}

fn parse_object(path: &str, text: &str) -> ConfigResult<Object> {
    match parse(text) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(format!("{path}: not a JSON object")),
        Err(e) => Err(format!("{path}: {e}")),
    }
}

/// Reads a configuration in chunks and returns all but the events under `known`. Their bytes go to
/// `event_byte`, each with its position, so that a list of many workers is never in memory as text or JSON.
fn read_configuration(path: &str, mut event_byte: impl FnMut(BytePosition, u8)) -> ConfigResult<Object> {
    let io_error = |e: std::io::Error| format!("{path}: {e}");
    let scan_error = |e: ScanError| format!("{path}: {e}");
    let mut file = std::fs::File::open(path).map_err(io_error)?;
    let mut scanner = ArrayScanner::new(["known", "notices"], MAX_SETTINGS_BYTES);
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let read = match file.read(&mut chunk) {
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
            read => read.map_err(io_error)?,
        };
        if read == 0 {
            break;
        }
        for &byte in &chunk[..read] {
            match scanner.push(byte).map_err(scan_error)? {
                BytePosition::Outside => {}
                position => event_byte(position, byte),
            }
        }
    }
    let rest =
        String::from_utf8(scanner.finish().map_err(scan_error)?).map_err(|e| format!("{path}: {e}"))?;
    parse_object(path, &rest)
}

/// Reads the events under `known` byte by byte.
struct InitialEvents {
    done: Vec<Result<ListEvent, EventError>>,
    reader: EventReader,
    event: ListEvent,
    error: Option<EventError>,
}

impl InitialEvents {
    fn new() -> Self {
        let event = ListEvent { full: false, entries: Vec::new() };
        InitialEvents { done: Vec::new(), reader: EventReader::new(INITIAL_EVENT_BOUNDS), event, error: None }
    }

    fn push(&mut self, position: BytePosition, byte: u8) {
        if position != BytePosition::After && self.error.is_none() {
            match self.reader.push(byte) {
                Ok(entry) => self.event.entries.extend(entry),
                Err(error) => self.error = Some(error),
            }
        }
        if position != BytePosition::Inside {
            let InitialEvents { mut done, reader, event, error } =
                std::mem::replace(self, InitialEvents::new());
            let full = error.map_or_else(|| reader.finish(), Err);
            done.push(full.map(|full| ListEvent { full, ..event }));
            self.done = done;
        }
    }
}

fn address(fields: &Object, key: &str) -> ConfigResult<Option<SocketAddr>> {
    let parse = |t: &str| t.parse().map_err(|_| format!("'{key}' is not HOST:PORT: {t}"));
    fields.get(key).and_then(as_str).map(parse).transpose()
}

impl Config {
    /// Reads the configuration from the variables NODE_CONFIG, NODE_NAME, NODE_LISTEN and HERONSLIP_KSERVE
    /// and the files they name.
    pub fn from_environment() -> ConfigResult<Config> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = variable("NODE_CONFIG").ok_or("NODE_CONFIG does not name a file")?;
        let mut initial_events = InitialEvents::new();
        let fields = read_configuration(&path, |position, byte| initial_events.push(position, byte))?;
        let mut config = Config::from_fields(&fields, variable("NODE_LISTEN"), variable("NODE_NAME"))?;
        config.initial_events = initial_events.done;
        // The platform leaves this unset: the KServe v2 server is off unless the environment names its file.
        if let Some(path) = variable("HERONSLIP_KSERVE") {
            config.kserve = Some(KserveConfig::read(&path)?);
        }
        Ok(config)
    }

    /// Reads the discovery service's address from the file NODE_CONFIG names. This is the only part of the
    /// file that may change while the process runs.
    pub fn read_discovery_address() -> ConfigResult<SocketAddr> {
        let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
        address(&read_configuration(&path, |_, _| ())?, "board")?.ok_or(format!("{path}: no 'board'"))
    }

    fn from_fields(fields: &Object, listen: Option<String>, name: Option<String>) -> ConfigResult<Config> {
        let empty = Object::new();
        let section = |key: &str| object(fields, key).unwrap_or(&empty);
        let settings = Settings::from_json(section("settings"));
        let limit = |key: &str, default: f64| number(section("limits"), key).unwrap_or(default) as u64;
        let listen = match listen {
            Some(l) => Some(l.parse().map_err(|_| format!("NODE_LISTEN is not HOST:PORT: {l}"))?),
            None => address(fields, "listen")?,
        };
        let seed = string(fields, "seed").unwrap_or("0");
        Ok(Config {
            name: name.or(string(fields, "name").map(str::to_owned)).unwrap_or_default(),
            listen: listen.ok_or("no address to listen on: neither NODE_LISTEN nor 'listen' is set")?,
            discovery_address: address(fields, "board")?,
            initial_events: Vec::new(),
            last_initial_event: unsigned(section("known"), "rev").unwrap_or(0),
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("'seed' is not a hexadecimal number: {seed}"))?,
            limits: Limits::new(limit("memory_mb", 192.0), limit("sockets", 1024.0), &settings),
            settings,
            kserve: None,
        })
    }
}

impl KserveConfig {
    fn read(path: &str) -> ConfigResult<KserveConfig> {
        let fields = read_object(path)?;
        let endpoints = match string(&fields, "endpoints") {
            Some(relative_path) => {
                let directory = std::path::Path::new(path).parent().unwrap_or(std::path::Path::new("."));
                Some(read_object(&directory.join(relative_path).to_string_lossy())?)
            }
            None => None,
        };
        let listen = address(&fields, "listen")?.ok_or(format!("{path}: no 'listen'"))?;
        Ok(KserveConfig { listen, admin: address(&fields, "admin")?, endpoints })
    }
}
