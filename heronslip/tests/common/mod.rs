//! Test harness: starts the program between stand-in clients, workers and discovery servers, which are
//! written from the protocols' specifications, and runs scenarios. A scenario has one step per line:
//!
//!     client send CLASS KEY BODY WAIT_MS    sends a request; key `-` is none
//!     client send partial | endless         a request that stops midway; one whose body does not end
//!     client expect served BODY | refused | failed | nothing
//!     client expect closed                  the connection ends
//!     client open N                         opens N more connections that send nothing
//!     client close
//!     worker expect CLASS KEY BODY          the next call, at any worker
//!     worker expect CLASS KEY BODY same-zone    the next call, in the zone of the last one
//!     worker expect nothing                 no call
//!     worker expect nothing later           no call after the client's response; until then only the last
//!                                           call again
//!     worker expect closed                  the end of the last call's connection
//!     worker send ok BODY | full | miss | error    replies to the last call
//!     worker send truncated | stall         a reply that ends midway; one that stops midway
//!     worker send corrupt                   a reply whose checksum does not match
//!     worker mute                           sends nothing more on the last call's connection
//!     worker close                          closes the last call's connection
//!     discovery expect LAST                 a request to the configured server with this last event id
//!     discovery send ID WORKER STATE        sends an event on the connection of the last request
//!     discovery close                       closes that connection
//!     list expect WORKER STATE              waits until the program lists the worker so, or as `absent`
//!     program reload [broken]               configures the other discovery server (or leaves a file that
//!                                           cannot be read) and sends SIGHUP
//!     wait MS
#![allow(dead_code)]
pub mod bad_clients;
pub mod cores;
pub mod discovery_server;
pub mod shim;
pub mod stand_ins;

use base64::{engine::general_purpose::STANDARD, Engine};
use heronslip_policy::json::{array, as_object, object, parse, string};
use std::cell::Cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

use heronslip::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use heronslip::limits::Limits;
use heronslip::memory::MemoryBudget;
use heronslip::messages::Message;
use heronslip::net::Socket;
use heronslip::server::validation::RequestRules;
use heronslip::server::{accept_connections, Acceptor, ServerContext};
use heronslip::worker::ReportSender;
use heronslip_policy::Settings;
use std::time::{Duration, Instant};

/// The function that all calls name.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";
/// How long tests wait for what they expect.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// How long nothing must happen where a test expects nothing.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Codes of the binary protocol's frames.
pub mod code {
    pub const CALL: u8 = 2;
    pub const CANCEL: u8 = 3;
    /// The protocol's other probe, which the program does not send.
    pub const ALTERNATIVE_PROBE: u8 = 4;
    pub const PROBE: u8 = 5;
    /// A load command; with 0 copies, a copy query.
    pub const LOAD: u8 = 6;
    pub const UNLOAD: u8 = 8;
    pub const OK: u8 = 200;
    /// Reply to a call: the function is not loaded.
    pub const NOT_LOADED: u8 = 202;
    pub const REJECTED: u8 = 203;
    pub const ERROR: u8 = 204;
    /// Reply to a call: its budget was used up before it ran.
    pub const EXPIRED: u8 = 205;
    /// Reply to a probe: the worker accepts work.
    pub const ACCEPTING: u8 = 206;
    /// Reply to a probe: the worker does not accept work.
    pub const NOT_ACCEPTING: u8 = 207;
}

/// A protocol that clients and workers use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Protocol {
    Platform,
    Kserve,
}

/// A call that a stand-in worker received.
pub struct Call {
    protocol: Protocol,
    received_at: Instant,
    zone: usize,
    id: u64,
    class: String,
    key: String,
    body: String,
    stream: TcpStream,
    muted: Arc<AtomicBool>,
}

/// The running program, its stand-in workers (two in each of two zones) and its stand-in discovery servers.
pub struct TestProgram {
    child: Child,
    pub fastcgi: SocketAddr,
    pub kserve: SocketAddr,
    pub admin: SocketAddr,
    calls: Receiver<Call>,
    log: Receiver<String>,
    discovery_servers: [DiscoveryServer; 2],
    /// Index of the discovery server that is configured now.
    current_discovery_server: Cell<usize>,
    config_path: PathBuf,
    /// The configuration, with `BOARD` in place of the discovery server's address.
    config_template: String,
}

/// A stand-in discovery server.
struct DiscoveryServer {
    address: SocketAddr,
    /// The requests received: the last event id that each names, and its connection.
    requests: Receiver<(String, TcpStream)>,
}

pub const SETTINGS: &str = r#"{"balancers":1,"classes":[
 {"effect":"retryable","goal-time":400,"key-scope":"all","memory-span":5000,"name":"tile-render","worth":1},
 {"effect":"dedup","goal-time":400,"key-scope":"zone","memory-span":5000,"name":"tile-order","worth":3}],
 "failure-domains":["zone-a","zone-b"],"flavors":["std"],"tenants":[{"name":"acme","portion":1,"quota-per-s":70}],
 "family-info":{"free-loads":4,"keep":8000,"load-span":5000,"load-wait":4000,"loads-per-request":0.15,
 "machine-mb":[90000],"orders":true,"tells-crowd":true,"tells-warm":true,"when-absent":"load"},
 "limits":{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"max-retry-after":1000,"may-cancel":true,
 "probes":true,"retry-after":true,"second-copies":false,"streams-per-conn":100},"rules":{"cold-from":0.2,"drain-grace":1000,"fall":1000,
 "fall-multiple":2,"warm-within":17000}}"#;

/// How the program and its surroundings are set up.
pub struct ProgramConfig {
    pub protocol: Protocol,
    /// Where the workers w0, w1, ... listen. If empty, two stand-ins are started in each of two zones.
    pub workers: Vec<SocketAddr>,
    /// The number of descriptors, both as configured and as limited by `ulimit`.
    pub sockets: u64,
    /// The configured limit on memory, in MB.
    pub memory_mb: u64,
    pub settings: String,
    /// The configured events, in place of one that lists the workers.
    pub known: Option<String>,
    /// Whether the log's reader is closed once the program listens.
    pub close_log: bool,
    /// The discovery server that is configured first, in place of the first stand-in.
    pub discovery_server: Option<SocketAddr>,
    /// Further variables of the program's environment.
    pub environment: Vec<(&'static str, PathBuf)>,
}

impl Default for ProgramConfig {
    fn default() -> Self {
        let (protocol, workers, sockets) = (Protocol::Platform, Vec::new(), 256);
        let (settings, known, close_log, discovery_server) = (SETTINGS.to_owned(), None, false, None);
        let environment = Vec::new();
        ProgramConfig {
            protocol,
            workers,
            sockets,
            memory_mb: 192,
            settings,
            known,
            close_log,
            discovery_server,
            environment,
        }
    }
}

/// An entry of the discovery service's worker list.
pub fn instance(id: &str, address: SocketAddr, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"zone-a","machineType":"std","cell":0,"lifecycle":"{state}","startedAtMs":{started_ms}}}"#
    )
}

impl TestProgram {
    pub fn new(protocol: Protocol) -> TestProgram {
        TestProgram::with(ProgramConfig { protocol, ..ProgramConfig::default() })
    }

    /// Starts the program, and returns once it is ready.
    pub fn with(config: ProgramConfig) -> TestProgram {
        let program = TestProgram::start(config);
        let until = Instant::now() + TIMEOUT;
        while !http_get(program.admin, "/healthz").starts_with("HTTP/1.1 200") {
            assert!(Instant::now() < until, "the program does not get ready");
            std::thread::sleep(Duration::from_millis(10));
        }
        program
    }

    /// Starts the program, and returns once it listens.
    pub fn start(config: ProgramConfig) -> TestProgram {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{run}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory for the files");
        let (call_sender, calls) = channel();
        let workers: Vec<SocketAddr> = match &config.workers[..] {
            [] => (0..4).map(|n| start_worker(config.protocol, n / 2, call_sender.clone())).collect(),
            addresses => addresses.to_vec(),
        };
        let zone = |n: usize| if n < 2 { "zone-a" } else { "zone-b" };
        let (mut instances, mut localities) = (Vec::new(), Vec::new());
        for (n, address) in workers.iter().enumerate() {
            let (zone, port) = (zone(n), address.port());
            instances.push(format!(
                r#"{{"instanceId":"w{n}","hostPort":"{address}","zone":"{zone}","machineType":"std","cell":{},"lifecycle":"ready","startedAtMs":0}}"#,
                n / 2
            ));
            localities.push(format!(
                r#"{{"locality":{{"zone":"{zone}"}},"lb_endpoints":[{{"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{port}}}}}}}}}]}}"#
            ));
        }
        let (instances, endpoints) = match config.protocol {
            Protocol::Platform => (instances.join(","), String::new()),
            Protocol::Kserve => (String::new(), localities.join(",")),
        };
        let write = |name: &str, text: String| {
            std::fs::write(directory.join(name), text).expect("a file");
            directory.join(name)
        };
        let full_list = format!(r#"{{"rev":1,"pool":{{"reset":true,"instances":[{instances}]}}}}"#);
        let (settings, sockets, memory_mb) = (&config.settings, config.sockets, config.memory_mb);
        let known = config.known.unwrap_or(full_list);
        let config_template = format!(
            r#"{{"name":"t","seed":"2a","limits":{{"memory_mb":{memory_mb},"sockets":{sockets}}},"settings":{settings},
                "board":"BOARD","known":{{"rev":1,"notices":[{known}]}}}}"#
        );
        let mut discovery_servers = [start_discovery_server(), start_discovery_server()];
        discovery_servers[0].address = config.discovery_server.unwrap_or(discovery_servers[0].address);
        let config_text = config_template.replace("BOARD", &discovery_servers[0].address.to_string());
        let config_path = write("config.json", config_text);
        write(
            "endpoints.json",
            format!(r#"{{"resources":[{{"cluster_name":"tile-workers","endpoints":[{endpoints}]}}]}}"#),
        );
        let kserve = write(
            "kserve.json",
            match config.protocol {
                Protocol::Platform => r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0"}"#,
                Protocol::Kserve => {
                    r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0","endpoints":"endpoints.json"}"#
                }
            }
            .to_owned(),
        );
        let mut child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {sockets}; exec \"$0\""), env!("CARGO_BIN_EXE_heronslip")])
            .env("NODE_CONFIG", &config_path)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("HERONSLIP_KSERVE", kserve)
            .envs(config.environment)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let mut next_address = || loop {
            let line = lines.next().expect("a line of the log").expect("text");
            if let Some((_, address)) = line.split_once(" listens on ") {
                return address.parse().expect("an address");
            }
        };
        let (fastcgi, kserve, admin) = (next_address(), next_address(), next_address());
        // The rest of the log is read, so that its pipe cannot fill up, and is shown if the test fails.
        let (log_sender, log) = channel();
        let read_log = move || {
            for line in lines.map_while(Result::ok) {
                eprintln!("  program: {line}");
                let _ = log_sender.send(line); // the test may have ended
            }
        };
        if !config.close_log {
            std::thread::spawn(read_log);
        }
        TestProgram {
            child,
            fastcgi,
            kserve,
            admin,
            calls,
            log,
            discovery_servers,
            current_discovery_server: Cell::new(0),
            config_path,
            config_template,
        }
    }

    /// Waits for a log line that contains this text. Lines before it are skipped.
    pub fn wait_for_log(&self, text: &str) {
        let until = Instant::now() + TIMEOUT;
        let remaining = || until.saturating_duration_since(Instant::now());
        while !self.log.recv_timeout(remaining()).expect(text).contains(text) {}
    }

    /// How many descriptors the program has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the program runs").count()
    }

    /// Memory that the program holds besides its program file, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    fn configured_discovery_server(&self) -> &DiscoveryServer {
        &self.discovery_servers[self.current_discovery_server.get()]
    }

    /// The next request to the configured discovery server: the last event id that it names, and the
    /// connection.
    pub fn discovery_request(&self) -> (String, TcpStream) {
        self.configured_discovery_server()
            .requests
            .recv_timeout(TIMEOUT)
            .expect("a request to the discovery server")
    }

    /// The next request that arrives from now on. Earlier ones may have ended because the server sent
    /// nothing.
    pub fn new_discovery_request(&self) -> (String, TcpStream) {
        while self.configured_discovery_server().requests.try_recv().is_ok() {}
        self.discovery_request()
    }

    /// Sends SIGTERM and waits until the program exits; whether it exits with success.
    pub fn terminate(&mut self) -> bool {
        self.signal("-TERM");
        self.wait_for_exit()
    }

    /// Waits until the program exits; whether it exits with success.
    pub fn wait_for_exit(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(60);
        loop {
            if let Some(status) = self.child.try_wait().expect("waited for") {
                return status.success();
            }
            assert!(Instant::now() < until, "the program does not exit");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Configures the other discovery server, without a reload.
    pub fn switch_discovery_server(&self) {
        self.current_discovery_server.set(1 - self.current_discovery_server.get());
        let address = self.configured_discovery_server().address.to_string();
        std::fs::write(&self.config_path, self.config_template.replace("BOARD", &address)).expect("written");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
    }

    /// Configures the other discovery server, or leaves an unreadable configuration, and sends SIGHUP.
    pub fn reload(&self, broken: bool) {
        if broken {
            std::fs::write(&self.config_path, "{").expect("written");
        } else {
            self.switch_discovery_server();
        }
        self.signal("-HUP");
    }

    /// Waits until the state that the administration API shows contains this text.
    pub fn wait_for_state(&self, text: &str) {
        let since = Instant::now();
        while !http_get(self.admin, "/v1/state").contains(text) {
            assert!(since.elapsed() < TIMEOUT, "{text} is not shown");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until the administration API shows this state of a worker.
    pub fn wait_for_worker(&self, worker: &str, state: &str, context: &str) {
        let since = Instant::now();
        loop {
            let response = http_get(self.admin, "/v1/state");
            let json = parse(response.split_once("\r\n\r\n").expect("a body").1).expect("JSON");
            let is_worker = |e: &&miniserde::json::Object| string(e, "name") == Some(worker);
            let endpoints = array(as_object(&json).expect("an object"), "endpoints");
            let found = endpoints.iter().filter_map(as_object).find(is_worker);
            if found.map_or(Some("absent"), |e| string(e, "state")) == Some(state) {
                return;
            }
            assert!(since.elapsed() < TIMEOUT, "{context}: {response}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Runs a scenario whose client uses this protocol. Returns what the client and the workers received.
    pub fn run_scenario(&self, protocol: Protocol, scenario: &str) -> Vec<String> {
        let address = if protocol == Protocol::Platform { self.fastcgi } else { self.kserve };
        let mut client = Client { protocol, stream: connect(address) };
        let (mut last_call, mut received): (Option<Call>, Vec<String>) = (None, Vec::new());
        let mut responded_at = Instant::now();
        let (mut discovery, mut silent): (Option<TcpStream>, Vec<TcpStream>) = (None, Vec::new());
        for line in scenario.lines().map(str::trim).filter(|l| !l.is_empty()) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let context = format!("{protocol:?}: {line}");
            match words[..] {
                ["client", "send", class, key, body, wait] => client.send(class, key, body, wait),
                ["client", "send", "partial"] => client.send_partial(),
                ["client", "send", "endless"] => client.send_endless(),
                ["client", "open", n] => {
                    let n: usize = n.parse().expect("a number");
                    silent.extend((0..n).map(|_| connect(address)));
                    client = Client { protocol, stream: connect(address) };
                }
                ["client", "expect", "closed"] => client.expect_closed(&context),
                ["client", "close"] => client.stream.shutdown(Shutdown::Both).expect("open"),
                ["client", "expect", "nothing"] => client.expect_nothing(&context),
                ["client", "expect", ref expected @ ..] => {
                    let got = client.read_response(&context);
                    responded_at = Instant::now();
                    assert_eq!(got, expected.join(" "), "{context}");
                    received.push(format!("client {got}"));
                }
                ["worker", "expect", "nothing", "later"] => {
                    while let Ok(again) = self.calls.recv_timeout(QUIET_PERIOD) {
                        assert!(again.received_at < responded_at, "{context}: a call after the response");
                        let content = |c: &Call| [c.class.clone(), c.key.clone(), c.body.clone()];
                        let before = last_call.as_ref().expect(&context);
                        assert_eq!(
                            (content(&again), again.zone),
                            (content(before), before.zone),
                            "{context}"
                        );
                    }
                }
                ["worker", "expect", "nothing"] => {
                    assert!(self.calls.recv_timeout(QUIET_PERIOD).is_err(), "{context}: a call was received");
                }
                ["worker", "mute"] => {
                    last_call.as_ref().expect(&context).muted.store(true, Ordering::Release)
                }
                ["worker", "expect", "closed"] => last_call.as_ref().expect(&context).expect_closed(&context),
                ["worker", "expect", class, key, body, ref zone @ ..] => {
                    let call = self.calls.recv_timeout(TIMEOUT).expect(&context);
                    let got = [&call.class[..], &call.key, &call.body];
                    assert_eq!(got, [class, key, body], "{context}");
                    if zone == ["same-zone"] {
                        assert_eq!(Some(call.zone), last_call.map(|l| l.zone), "{context}");
                    }
                    received.push(format!("worker {}", got.join(" ")));
                    last_call = Some(call);
                }
                ["worker", "send", ref reply @ ..] => last_call.as_ref().expect(&context).reply(reply),
                ["worker", "close"] => {
                    last_call.as_ref().expect(&context).stream.shutdown(Shutdown::Both).expect("open");
                }
                ["discovery", "expect", last_event] => {
                    let requests = &self.configured_discovery_server().requests;
                    let (got, stream) = requests.recv_timeout(TIMEOUT).expect(&context);
                    assert_eq!(got, last_event, "{context}");
                    discovery = Some(stream);
                }
                ["discovery", "send", id, worker, state] => {
                    let instance = format!(
                        r#"{{"instanceId":"{worker}","hostPort":"127.0.0.1:9","zone":"zone-a","machineType":"std","cell":0,"lifecycle":"{state}","startedAtMs":0}}"#
                    );
                    let event =
                        format!(r#"{{"rev":{id},"pool":{{"reset":false,"instances":[{instance}]}}}}"#);
                    let event = format!("id: {id}\ndata: {event}\n\n");
                    discovery.as_ref().expect(&context).write_all(event.as_bytes()).expect("written");
                }
                ["discovery", "close"] => {
                    discovery.as_ref().expect(&context).shutdown(Shutdown::Both).expect("open");
                }
                ["list", "expect", worker, state] => self.wait_for_worker(worker, state, &context),
                ["program", "reload", ref how @ ..] => self.reload(how == ["broken"]),
                ["wait", ms] => std::thread::sleep(Duration::from_millis(ms.parse().expect("a number"))),
                _ => panic!("no such step: {line}"),
            }
        }
        received
    }
}

impl Drop for TestProgram {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended already
        let _ = self.child.wait();
    }
}

/// Connects with a read timeout.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    stream
}

/// Sends an HTTP GET, and returns the whole response.
pub fn http_get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n").expect("written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    response
}

fn read_exactly(stream: &mut impl Read, n: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Reads an HTTP message: its head and body.
pub fn read_http_message(stream: &mut impl Read) -> std::io::Result<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.extend(read_exactly(stream, 1)?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |l| l.parse().expect("length"));
    Ok((head, read_exactly(stream, length)?))
}

/// The text that a body carries: the first tensor of a KServe v2 body, else the body itself.
fn content(body: &[u8]) -> String {
    let plain = String::from_utf8_lossy(body).into_owned();
    let Ok(json) = parse(&plain) else { return plain };
    let Some(fields) = as_object(&json) else { return plain };
    let tensors =
        if fields.contains_key("inputs") { array(fields, "inputs") } else { array(fields, "outputs") };
    let Some(tensor) = tensors.first().and_then(as_object) else { return plain };
    let data =
        array(tensor, "data").first().and_then(heronslip_policy::json::as_str).expect("data").to_owned();
    let is_base64 = object(tensor, "parameters").and_then(|p| string(p, "content_type")) == Some("base64");
    if is_base64 {
        String::from_utf8(STANDARD.decode(data).expect("base64")).expect("text")
    } else {
        data
    }
}

/// A client connection.
pub struct Client {
    protocol: Protocol,
    stream: TcpStream,
}

/// A FastCGI record.
pub fn fastcgi_record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let [i0, i1] = id.to_be_bytes();
    let [c0, c1] = (content.len() as u16).to_be_bytes();
    [&[1, kind, i0, i1, c0, c1, 0, 0], content].concat()
}

/// A complete FastCGI request with these parameters.
pub fn fastcgi_request(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let pair = |(name, value): &(&str, &str)| {
        [&[name.len() as u8, value.len() as u8], name.as_bytes(), value.as_bytes()].concat()
    };
    let params: Vec<u8> = params.iter().flat_map(pair).collect();
    let mut out = fastcgi_record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(fastcgi_record(4, id, &params));
    out.extend(fastcgi_record(4, id, &[]));
    for piece in body.chunks(8_000) {
        out.extend(fastcgi_record(5, id, piece));
    }
    out.extend(fastcgi_record(5, id, &[]));
    out
}

/// Reads one FastCGI response: its head and body, and the protocol status.
pub fn read_fastcgi_response(stream: &mut impl Read) -> std::io::Result<(String, Vec<u8>, u8)> {
    let mut out = Vec::new();
    loop {
        let header = read_exactly(stream, 8)?;
        let content = read_exactly(stream, usize::from(u16::from_be_bytes([header[4], header[5]])))?;
        read_exactly(stream, header[6].into())?;
        match header[1] {
            6 => out.extend(content),
            3 => {
                let text = String::from_utf8_lossy(&out).into_owned();
                let (head, _) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
                let body = out[(head.len() + 4).min(out.len())..].to_vec();
                return Ok((head.to_owned(), body, content[4]));
            }
            kind => panic!("record {kind}"),
        }
    }
}

impl Client {
    fn send(&mut self, class: &str, key: &str, body: &str, wait: &str) {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let (wire, path) = (format!("{id:016x}"), format!("/v1/{class}"));
        let bytes = match self.protocol {
            Protocol::Platform => {
                let mut params = vec![
                    ("SCRIPT_NAME", &path[..]),
                    ("HTTP_REQ_ID", &wire),
                    ("HTTP_REQ_WAIT_MS", wait),
                    ("HTTP_REQ_OWNER", "acme"),
                    ("HTTP_REQ_KEY", FUNCTION),
                    ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
                ];
                if key != "-" {
                    params.push(("HTTP_REQ_TOKEN", key));
                }
                fastcgi_request(id as u16, &params, body.as_bytes())
            }
            Protocol::Kserve => {
                let token = if key == "-" { String::new() } else { format!(r#""token":"{key}","#) };
                let body = format!(
                    r#"{{"id":"{wire}","parameters":{{"class":"{class}","tenant":"acme","wait_ms":{wait},{token}"memory_mb":512,"lanes":4,"load_ms":640}},"inputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{body}"]}}]}}"#
                );
                let length = body.len();
                format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
                    .into_bytes()
            }
        };
        self.stream.write_all(&bytes).expect("written");
    }

    /// Sends a request without its last bytes.
    fn send_partial(&mut self) {
        let bytes = match self.protocol {
            Protocol::Platform => fastcgi_request(1, &[("SCRIPT_NAME", "/v1/tile-render")], b"half"),
            Protocol::Kserve => b"POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\nHost: t\r\n".to_vec(),
        };
        self.stream.write_all(&bytes[..bytes.len() - 8]).expect("written");
    }

    /// Sends a body without end, until the connection fails or 60 MB have been sent.
    fn send_endless(&mut self) {
        let mut to = self.stream.try_clone().expect("cloned");
        let bytes = match self.protocol {
            Protocol::Platform => fastcgi_record(5, 1, &[7; 8_000]),
            Protocol::Kserve => b"X-Endless: 1\r\n".repeat(500),
        };
        self.send_partial();
        std::thread::spawn(move || (0..7_500).all(|_| to.write_all(&bytes).is_ok()));
    }

    fn expect_closed(&mut self, context: &str) {
        let mut rest = Vec::new();
        match self.stream.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{context}: still open"),
        }
    }

    /// Reads the next final response, and returns it in the form that scenarios use.
    fn read_response(&mut self, context: &str) -> String {
        let (head, body, refused) = match self.protocol {
            Protocol::Platform => {
                let (head, body, status) = read_fastcgi_response(&mut self.stream).expect(context);
                let refused = head.contains("Status: 503") || status == 2;
                assert!(
                    !refused || status == 2 || head.contains("Srv-Wait-Ms: "),
                    "{context}: no retry delay"
                );
                (head, body, refused)
            }
            Protocol::Kserve => {
                let (head, body) = read_http_message(&mut self.stream).expect(context);
                let refused = head.starts_with("HTTP/1.1 503");
                assert!(!refused || head.contains("Retry-After: "), "{context}: no retry delay");
                (head, body, refused)
            }
        };
        if head.contains(" 200 ") {
            return format!("served {}", content(&body));
        }
        if self.protocol == Protocol::Kserve {
            assert!(String::from_utf8_lossy(&body).starts_with(r#"{"error":""#), "{context}: {body:?}");
        }
        if refused { "refused" } else { "failed" }.to_owned()
    }

    fn expect_nothing(&mut self, context: &str) {
        self.stream.set_read_timeout(Some(QUIET_PERIOD)).expect("set");
        let got = self.stream.read(&mut [0; 64]);
        assert!(got.is_err(), "{context}: {got:?}");
        self.stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    }
}

/// Starts a stand-in worker. It hands calls to the test, and replies to other commands as if every function
/// had a loaded copy.
fn start_worker(protocol: Protocol, zone: usize, calls: Sender<Call>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let calls = calls.clone();
            std::thread::spawn(move || match protocol {
                Protocol::Platform => serve_frames(stream, zone, &calls),
                Protocol::Kserve => serve_kserve(stream, zone, &calls),
            });
        }
    });
    address
}

/// Starts a stand-in discovery server. It accepts every request and hands its connection to the test.
fn start_discovery_server() -> DiscoveryServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let Ok((head, _)) = read_http_message(&mut stream) else { continue };
            let last_event = head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: "));
            let last_event = last_event.expect("a last event id").to_owned();
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            let _ = sender.send((last_event, stream));
        }
    });
    DiscoveryServer { address, requests }
}

/// A frame as a worker sends it.
pub fn reply_frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let content = [fields.as_bytes(), body].concat();
    let mut out = vec![127, code];
    out.extend((fields.len() as u16).to_be_bytes());
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(id.to_be_bytes());
    out.extend(&content);
    out.extend(crc32fast::hash(&content).to_be_bytes());
    out
}

/// A frame as a worker receives it.
pub struct CommandFrame {
    pub code: u8,
    pub id: u64,
    pub fields: String,
    pub body: Vec<u8>,
}

impl CommandFrame {
    pub fn read(stream: &mut impl Read) -> std::io::Result<CommandFrame> {
        let header = read_exactly(stream, 16)?;
        let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
        let body = u32::from_be_bytes(header[4..8].try_into().expect("four")) as usize;
        let id = u64::from_be_bytes(header[8..].try_into().expect("eight"));
        let content = read_exactly(stream, length + body + 4)?;
        let (content, check) = content.split_at(length + body);
        assert_eq!((header[0], check), (126, &crc32fast::hash(content).to_be_bytes()[..]));
        let fields = String::from_utf8_lossy(&content[..length]).into_owned();
        Ok(CommandFrame { code: header[1], id, fields, body: content[length..].to_vec() })
    }

    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.split(',').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        found.unwrap_or("-")
    }
}

/// The context that servers need, and the core's end of the queue.
pub fn test_context(change: impl FnOnce(&mut Limits)) -> (ServerContext, Receiver<Message>) {
    let json = parse(SETTINGS).expect("JSON");
    let settings = Settings::from_json(as_object(&json).expect("an object"));
    let mut limits = Limits::new(192, 256, &Settings::default());
    change(&mut limits);
    heronslip::net::configure_scheduler(&limits);
    let (core, queue) = channel();
    let limits = Arc::new(limits);
    let memory_budget = MemoryBudget::new(limits.buffered_bytes);
    let context = ServerContext {
        core,
        connection_limiter: ConnectionLimiter::new(&limits, &memory_budget),
        memory_budget,
        hang_ups: Default::default(),
        expected_response: Arc::default(),
        rules: Arc::new(RequestRules::new(&settings, &limits)),
        limits,
        unsent_bytes: Arc::default(),
        shared: Arc::default(),
        incoming_requests: Arc::default(),
        closing: Arc::default(),
    };
    (context, queue)
}

/// Reports of transports whose replies may take any memory.
pub fn report_sender(queue: Sender<Message>) -> ReportSender {
    ReportSender::new(queue, MemoryBudget::new(usize::MAX).open_account(0))
}

/// Starts a FastCGI server with this context, and returns its address.
pub fn start_fastcgi_server(context: &ServerContext) -> SocketAddr {
    start_server(context, heronslip::server::fastcgi::serve)
}

/// Starts a server with this context, and returns its address.
pub fn start_server(
    context: &ServerContext, serve: fn(Socket, &ServerContext, ConnectionPermit),
) -> SocketAddr {
    let listener = may::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    serve_connections(listener, context, serve);
    address
}

/// Starts to accept the connections of a listener, some of which may wait already.
pub fn serve_connections(
    listener: may::net::TcpListener, context: &ServerContext,
    serve: fn(Socket, &ServerContext, ConnectionPermit),
) {
    let (acceptor, context) = (Acceptor::new(listener), context.clone());
    let run = move || accept_connections(&acceptor, &context, "test", serve);
    heronslip::net::spawn(64 * 1024, run).expect("a coroutine");
}

/// A worker whose replies to calls the test sends. It replies to other commands by itself, as if every
/// function had a loaded copy.
pub struct ScriptedWorker {
    listener: TcpListener,
    stream: Option<TcpStream>,
}

impl ScriptedWorker {
    pub fn new() -> ScriptedWorker {
        ScriptedWorker { listener: TcpListener::bind("127.0.0.1:0").expect("a port"), stream: None }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// The next command that needs a reply by the test. The first use accepts the connection.
    pub fn command(&mut self) -> CommandFrame {
        let stream = self.stream.get_or_insert_with(|| {
            let (stream, _) = self.listener.accept().expect("a connection");
            stream.set_read_timeout(Some(TIMEOUT)).expect("set");
            stream
        });
        loop {
            let command = CommandFrame::read(stream).expect("a command");
            match command.code {
                code::LOAD => {
                    stream.write_all(&reply_frame(code::OK, command.id, "slots_up=1", &[])).expect("written");
                }
                code::PROBE | code::ALTERNATIVE_PROBE => {
                    stream.write_all(&reply_frame(code::ACCEPTING, command.id, "", &[])).expect("written");
                }
                code::UNLOAD => {}
                _ => return command,
            }
        }
    }

    /// Replies to a call with this body.
    pub fn serve(&mut self, id: u64, body: &str) {
        let stream = self.stream.as_mut().expect("connected");
        stream.write_all(&reply_frame(code::OK, id, "detail=resident", body.as_bytes())).expect("written");
    }

    /// Whether no connection waits to be accepted.
    pub fn has_no_connection(&self) -> bool {
        self.listener.set_nonblocking(true).expect("set");
        self.listener.accept().is_err()
    }
}

/// Sends an event of the worker list.
pub fn send_event(discovery: &mut TcpStream, number: u64, full: bool, instances: &[String]) {
    let instances = instances.join(",");
    let event = format!(r#"{{"rev":{number},"pool":{{"reset":{full},"instances":[{instances}]}}}}"#);
    discovery.write_all(format!("id: {number}\ndata: {event}\n\n").as_bytes()).expect("written");
}

/// A FastCGI request that calls [`FUNCTION`].
pub fn fastcgi_call(stream_id: u16, wire_id: &str, wait: &str, body: &str) -> Vec<u8> {
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", wire_id),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", wait),
        ("HTTP_REQ_KEY", FUNCTION),
        ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
    ];
    fastcgi_request(stream_id, &params, body.as_bytes())
}

/// Serves one connection of the binary protocol.
fn serve_frames(mut stream: TcpStream, zone: usize, calls: &Sender<Call>) {
    let muted = Arc::new(AtomicBool::new(false));
    while let Ok(command) = CommandFrame::read(&mut stream) {
        let id = command.id;
        match command.code {
            _ if muted.load(Ordering::Acquire) => {}
            code::LOAD => {
                stream.write_all(&reply_frame(code::OK, id, "slots_up=1", &[])).expect("written");
            }
            code::PROBE | code::ALTERNATIVE_PROBE => {
                stream.write_all(&reply_frame(code::ACCEPTING, id, "", &[])).expect("written");
            }
            code::CALL => {
                assert_eq!(command.field("path"), FUNCTION);
                let field = |name: &str| command.field(name).to_owned();
                let (class, key, body) = (field("queue"), field("uniq"), content(&command.body));
                let stream = stream.try_clone().expect("cloned");
                let _ = calls.send(Call {
                    protocol: Protocol::Platform,
                    received_at: Instant::now(),
                    zone,
                    id,
                    class,
                    key,
                    body,
                    stream,
                    muted: muted.clone(),
                });
            }
            _ => {}
        }
    }
}

/// Serves one KServe v2 connection.
fn serve_kserve(mut stream: TcpStream, zone: usize, calls: &Sender<Call>) {
    while let Ok((head, body)) = read_http_message(&mut stream) {
        let target = head.split(' ').nth(1).expect("a target").to_owned();
        let mut respond = |body: &str| {
            let length = body.len();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").expect("written");
        };
        if target == "/v2/repository/index" {
            respond(&format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#));
        } else if target.starts_with("/v2/repository/models/") {
            respond(r#"{"parameters":{"slots_up":1}}"#);
        } else {
            assert_eq!(target, format!("/v2/models/{FUNCTION}/infer"));
            let json = parse(&String::from_utf8_lossy(&body)).expect("JSON");
            let parameters = object(as_object(&json).expect("an object"), "parameters").expect("parameters");
            let parameter = |name: &str| string(parameters, name).unwrap_or("-").to_owned();
            let (class, key, body) = (parameter("class"), parameter("token"), content(&body));
            let stream = stream.try_clone().expect("cloned");
            let _ = calls.send(Call {
                protocol: Protocol::Kserve,
                received_at: Instant::now(),
                zone,
                id: 0,
                class,
                key,
                body,
                stream,
                muted: Arc::default(),
            });
        }
    }
}

/// Whether a write failed because the other side has reset the connection.
fn is_reset(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::BrokenPipe | std::io::ErrorKind::ConnectionReset)
}

impl Call {
    /// Waits for the end of the connection, without reading from it.
    fn expect_closed(&self, context: &str) {
        let since = Instant::now();
        while !matches!(self.stream.peek(&mut [0]), Ok(0) | Err(_)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(since.elapsed() < TIMEOUT, "{context}: the connection was open for too long");
    }

    /// Replies to the call, as a scenario says.
    fn reply(&self, reply: &[&str]) {
        let (reply_code, status, body) = match *reply {
            ["ok", body] => (code::OK, "200 OK", body),
            ["truncated" | "stall" | "corrupt"] => (code::OK, "200 OK", "cut-short"),
            ["miss"] => (code::NOT_LOADED, "404 Not Found", ""),
            ["full"] => (code::REJECTED, "503 Service Unavailable", ""),
            ["error"] => (code::ERROR, "500 Internal Server Error", ""),
            _ => panic!("no such reply: {reply:?}"),
        };
        let bytes = match self.protocol {
            Protocol::Platform => reply_frame(reply_code, self.id, "detail=resident", body.as_bytes()),
            Protocol::Kserve => {
                let data = format!(
                    r#"{{"parameters":{{"detail":"resident"}},"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{body}"]}}]}}"#
                );
                let body = if reply_code == code::OK { &data } else { r#"{"error":"no"}"# };
                format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
            }
        };
        let (truncated, last) = (*reply == ["truncated"], bytes.len() - 1);
        let mut sent = if truncated || *reply == ["stall"] { bytes[..last - 7].to_vec() } else { bytes };
        if *reply == ["corrupt"] {
            sent[last] ^= 1;
        }
        match (&self.stream).write_all(&sent) {
            // A KServe v2 call is given up by a reset, so a late reply finds no connection. The scenario goes on
            // to say what its client gets.
            Err(e) if self.protocol == Protocol::Kserve && is_reset(&e) => return,
            written => written.expect("written"),
        }
        if truncated {
            self.stream.shutdown(Shutdown::Both).expect("open");
        }
    }
}
