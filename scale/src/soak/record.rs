//! What is written down of a play: one typed event each, with its time on the monotonic clock.
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Instant;

/// Microseconds since the play's start.
pub type At = u64;

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it was seen.
    pub at: At,
    /// What was seen.
    #[serde(flatten)]
    pub event: Event,
}

/// A state of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listing {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// How a front end is cut off from the board.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Connections are refused, the open one is reset.
    Refused,
    /// The open connection breaks inside an event, then as refused.
    MidEvent,
    /// Connections stand and nothing comes.
    Silent,
    /// Connections do not come about.
    Hanging,
}

/// A signal to a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// SIGTERM.
    Term,
    /// SIGHUP; the configuration names another board.
    Hup,
    /// SIGKILL.
    Kill,
}

/// What a front end sent to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A call of a client's request.
    Call {
        /// The request.
        request: u64,
        /// The time that the worker is told is left, in milliseconds.
        budget_ms: u64,
    },
    /// Gives a call up.
    GiveUp {
        /// The request.
        request: u64,
    },
    /// Orders to hold copies; 0 only asks.
    Order {
        /// Copies.
        copies: u32,
    },
    /// Asks whether the worker takes work.
    Probe,
}

/// What a worker answered to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It ran.
    Ok,
    /// It may have run.
    Error,
    /// It never ran.
    TurnedAway,
    /// It ran; what was sent of the answer cannot be read or is not whole.
    Spoilt,
}

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Status 200 with the body that a worker made for the request.
    Served,
    /// Status 200 with another body.
    WrongBody,
    /// Trying again is harmless.
    Refused,
    /// Nothing is promised.
    Failed,
}

/// An event of a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A front-end process was started; it was told the list up to this version.
    Started {
        /// Which front end.
        front_end: usize,
        /// The list's version in its configuration.
        version: u64,
    },
    /// It answered for the first time that it is ready.
    Ready {
        /// Which front end.
        front_end: usize,
    },
    /// It was sent a signal.
    Signalled {
        /// Which front end.
        front_end: usize,
        /// The signal.
        signal: Signal,
    },
    /// Its process ended; `killed` by us.
    Ended {
        /// Which front end.
        front_end: usize,
        /// Whether SIGKILL ended it.
        killed: bool,
        /// How, in the system's words.
        how: String,
    },
    /// What its process holds.
    Usage {
        /// Which front end.
        front_end: usize,
        /// Descriptors.
        descriptors: u64,
        /// Resident memory, in MB.
        memory_mb: f64,
    },
    /// The list changed.
    Listed {
        /// The version from here on.
        version: u64,
        /// The worker.
        worker: usize,
        /// The number of its process, counted up with each start.
        process: u32,
        /// Its state.
        state: Listing,
        /// Whether the entry carries the stamp of a late start.
        late_start: bool,
    },
    /// A worker's process started, cold.
    WorkerStarted {
        /// The worker.
        worker: usize,
        /// The number of its process.
        process: u32,
    },
    /// A front end was cut off from the board.
    OutageBegan {
        /// Which front end.
        front_end: usize,
        /// How.
        outage: Outage,
    },
    /// The board can be reached again.
    OutageEnded {
        /// Which front end.
        front_end: usize,
    },
    /// A front end's call of the board was read.
    BoardAsked {
        /// Which front end.
        front_end: usize,
    },
    /// An event of this version was written to a front end.
    BoardTold {
        /// Which front end.
        front_end: usize,
        /// The version.
        version: u64,
    },
    /// A client's request was written whole.
    Sent {
        /// To which front end.
        front_end: usize,
        /// The client's connection.
        connection: u64,
        /// The request.
        request: u64,
        /// Its class's position in the rules.
        class: usize,
        /// How long the client waits, in microseconds.
        wait: At,
    },
    /// A client got an answer that ends a request.
    Answered {
        /// From which front end.
        front_end: usize,
        /// The request.
        request: u64,
        /// The answer.
        answer: Answer,
    },
    /// A client took its request back, or closed its connection.
    Left {
        /// The request.
        request: u64,
    },
    /// A client's connection was ended by the other side.
    ConnectionEnded {
        /// By which front end.
        front_end: usize,
        /// The client's connection.
        connection: u64,
        /// Its requests that were owed an answer.
        open: Vec<u64>,
    },
    /// A worker read a command.
    Received {
        /// The worker.
        worker: usize,
        /// The number of its process.
        process: u32,
        /// From which front end.
        front_end: usize,
        /// The connection.
        link: u64,
        /// When the command's first byte came.
        began: At,
        /// The command.
        command: Command,
    },
    /// A worker ended a call.
    Replied {
        /// The worker.
        worker: usize,
        /// To which front end.
        front_end: usize,
        /// The request.
        request: u64,
        /// The answer.
        reply: Reply,
    },
    /// A front end's connection to a worker ended; so did what was open there.
    LinkEnded {
        /// The connection.
        link: u64,
    },
    /// A client that does not keep to the protocol connected.
    BadClient {
        /// To which front end.
        front_end: usize,
        /// Its number.
        client: u64,
    },
    /// It got a word or a close.
    BadClientHeard {
        /// Its number.
        client: u64,
    },
    /// What the shim injected into a front end's process by its end, by kind of call.
    Injected {
        /// Which front end.
        front_end: usize,
        /// Counts.
        calls: Vec<u64>,
    },
    /// A fault of the plan, for the reader.
    Fault {
        /// In words.
        text: String,
    },
}

/// Takes events down.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    records: Mutex<Vec<Record>>,
}

impl Recorder {
    /// Starts the play's clock.
    pub fn start() -> Self {
        Recorder { start: Instant::now(), records: Mutex::default() }
    }

    /// The present time.
    pub fn now(&self) -> At {
        self.start.elapsed().as_micros() as At
    }

    /// The time of an instant.
    pub fn at(&self, instant: Instant) -> At {
        instant.saturating_duration_since(self.start).as_micros() as At
    }

    /// Takes an event down; its time is taken under the lock, so that records stand in the order of their times.
    pub fn add(&self, event: Event) -> At {
        let Ok(mut records) = self.records.lock() else { return self.now() };
        let at = self.now();
        records.push(Record { at, event });
        at
    }

    /// All that was taken down.
    pub fn take(&self) -> Vec<Record> {
        self.records.lock().map(|mut records| std::mem::take(&mut *records)).unwrap_or_default()
    }
}
