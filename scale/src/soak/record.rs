//! Records of a soak run: typed events with their times on a monotonic clock.
//!
//! A record is stored as one JSON object a line. Names of events, fields and values in that format are fixed,
//! so that records of other builds stay readable; where a Rust name differs, `serde(rename)` gives the stored
//! one.
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Instant;

/// A time since the start of the run, or a duration, in microseconds.
pub type Micros = u64;

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the event was recorded.
    pub at: Micros,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A worker's state in the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// Accepts calls.
    Ready,
    /// Finishes the calls it has and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// How a front end is cut off from the discovery server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The open connection is reset and new ones are refused.
    Refused,
    /// The open connection is reset in the middle of an event, and new ones are refused.
    MidEvent,
    /// Connections stay open, but nothing is sent on them.
    Silent,
    /// New connections are never accepted.
    Hanging,
}

/// A signal sent to a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// SIGTERM.
    Term,
    /// SIGHUP, sent after the configuration was changed to another discovery server address.
    Hup,
    /// SIGKILL.
    Kill,
}

/// A command that a front end sent to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Runs a call of a client's request.
    Call {
        /// The request.
        request: u64,
        /// The remaining time stated to the worker, in milliseconds.
        budget_ms: u64,
    },
    /// Cancels a call.
    #[serde(rename = "give_up")]
    Cancel {
        /// The request.
        request: u64,
    },
    /// Has copies of a function loaded; for 0 copies, only queries how many are loaded.
    #[serde(rename = "order")]
    Load {
        /// Wanted number of copies.
        copies: u32,
    },
    /// Queries whether the worker accepts calls.
    Probe,
}

/// A worker's reply to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The call ran.
    Ok,
    /// The call may have run.
    Error,
    /// The call did not run.
    #[serde(rename = "turned_away")]
    Rejected,
    /// The call ran, but the reply was sent corrupted or truncated.
    #[serde(rename = "spoilt")]
    Corrupted,
}

/// A front end's response to a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// Status 200 with the body that a worker produced for the request.
    Served,
    /// Status 200 with any other body.
    WrongBody,
    /// The request had no effect and may be retried.
    Refused,
    /// The request may or may not have had an effect.
    Failed,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A front-end process was started.
    #[serde(rename = "started")]
    FrontEndStarted {
        /// The front end.
        front_end: usize,
        /// Version of the worker list in its configuration.
        version: u64,
    },
    /// A front end reported for the first time that it is ready.
    #[serde(rename = "ready")]
    FrontEndReady {
        /// The front end.
        front_end: usize,
    },
    /// A signal was sent to a front end.
    #[serde(rename = "signalled")]
    SignalSent {
        /// The front end.
        front_end: usize,
        /// The signal.
        signal: Signal,
    },
    /// A front-end process exited.
    #[serde(rename = "ended")]
    FrontEndExited {
        /// The front end.
        front_end: usize,
        /// Whether the soak ended it with SIGKILL.
        killed: bool,
        /// The exit status as the operating system reports it.
        #[serde(rename = "how")]
        exit_status: String,
    },
    /// Resource usage of a front-end process.
    #[serde(rename = "usage")]
    ResourceUsage {
        /// The front end.
        front_end: usize,
        /// Open file descriptors.
        descriptors: u64,
        /// Most resident memory since the process started, in MB.
        memory_mb: f64,
    },
    /// The worker list changed.
    #[serde(rename = "listed")]
    WorkerListChanged {
        /// Version of the list from this change on.
        version: u64,
        /// The worker.
        worker: usize,
        /// Number of the worker's process, incremented with each start.
        process: u32,
        /// The worker's new state.
        state: WorkerState,
        /// Whether the entry carries a start time, as that of a worker started during the run does.
        #[serde(rename = "late_start")]
        has_start_time: bool,
    },
    /// A worker's process started without loaded copies.
    WorkerStarted {
        /// The worker.
        worker: usize,
        /// Number of the worker's process.
        process: u32,
    },
    /// A front end was cut off from the discovery server.
    OutageBegan {
        /// The front end.
        front_end: usize,
        /// How it was cut off.
        outage: Outage,
    },
    /// A front end can reach the discovery server again.
    OutageEnded {
        /// The front end.
        front_end: usize,
    },
    /// The discovery server read a front end's request for worker list events.
    #[serde(rename = "board_asked")]
    DiscoveryRequested {
        /// The front end.
        front_end: usize,
    },
    /// The discovery server wrote all events up to a version to a front end.
    #[serde(rename = "board_told")]
    DiscoverySent {
        /// The front end.
        front_end: usize,
        /// Version of the worker list.
        version: u64,
    },
    /// A client is about to write a request.
    #[serde(rename = "sent")]
    RequestSent {
        /// The front end.
        front_end: usize,
        /// The client's connection.
        connection: u64,
        /// The request.
        request: u64,
        /// Index of its class in the rules.
        class: usize,
        /// How long the client waits for the response.
        #[serde(rename = "wait")]
        timeout: Micros,
    },
    /// A client received the final response to a request.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// The front end that sent it.
        front_end: usize,
        /// The request.
        request: u64,
        /// The response.
        #[serde(rename = "answer")]
        response: Response,
    },
    /// A client aborted its request, or closed the connection it was on.
    #[serde(rename = "left")]
    RequestCancelled {
        /// The request.
        request: u64,
    },
    /// A front end closed a client's connection.
    #[serde(rename = "connection_ended")]
    ClientConnectionEnded {
        /// The front end.
        front_end: usize,
        /// The client's connection.
        connection: u64,
        /// Requests on it that had no response yet.
        #[serde(rename = "open")]
        pending: Vec<u64>,
    },
    /// A worker read a command.
    #[serde(rename = "received")]
    CommandReceived {
        /// The worker.
        worker: usize,
        /// Number of the worker's process.
        process: u32,
        /// The front end that sent it.
        front_end: usize,
        /// The worker connection.
        #[serde(rename = "link")]
        connection: u64,
        /// When the command's first byte was read.
        #[serde(rename = "began")]
        first_byte_at: Micros,
        /// The command.
        command: Command,
    },
    /// A worker ended a call.
    #[serde(rename = "replied")]
    ReplySent {
        /// The worker.
        worker: usize,
        /// The front end that sent the call.
        front_end: usize,
        /// The request.
        request: u64,
        /// The reply.
        reply: Reply,
    },
    /// A front end's connection to a worker ended, and the calls open on it with it.
    #[serde(rename = "link_ended")]
    WorkerConnectionEnded {
        /// The worker connection.
        #[serde(rename = "link")]
        connection: u64,
    },
    /// A client connected that sends nothing, or no valid request.
    #[serde(rename = "bad_client")]
    BadClientConnected {
        /// The front end.
        front_end: usize,
        /// The client.
        client: u64,
    },
    /// Such a client received some bytes, or its connection was closed.
    #[serde(rename = "bad_client_heard")]
    BadClientAnswered {
        /// The client.
        client: u64,
    },
    /// How many faults the shim injected into a front-end process, reported when that has exited.
    #[serde(rename = "injected")]
    FaultsInjected {
        /// The front end.
        front_end: usize,
        /// Counts, in the order of [`heronslip_shim_control::SYSTEM_CALLS`].
        #[serde(rename = "calls")]
        counts: Vec<u64>,
    },
    /// A fault of the scenario began; for human readers, the checker ignores it.
    #[serde(rename = "fault")]
    FaultBegan {
        /// The fault's `Debug` text.
        #[serde(rename = "text")]
        description: String,
    },
}

/// Collects the records of a run.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    records: Mutex<Vec<Record>>,
}

impl Recorder {
    /// Creates an empty recorder; the present moment becomes time 0.
    pub fn start() -> Self {
        Recorder { start: Instant::now(), records: Mutex::default() }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts an instant to a time of the run.
    pub fn time_of(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Records an event and returns its time, which is taken under the lock so that records are sorted by
    /// time.
    pub fn record(&self, event: Event) -> Micros {
        let Ok(mut records) = self.records.lock() else { return self.now() };
        let at = self.now();
        records.push(Record { at, event });
        at
    }

    /// Removes and returns all records.
    pub fn take_records(&self) -> Vec<Record> {
        self.records.lock().map(|mut records| std::mem::take(&mut *records)).unwrap_or_default()
    }
}
