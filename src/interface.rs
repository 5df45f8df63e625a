//! The types that a front end and the decision logic exchange: settings, events and actions.
//!
//! Times are microseconds on one monotonic clock of the front end's choosing. Classes, tenants, zones and
//! machine types are indexes into the lists in [`Settings`], so the decisions never see a name.

/// A time on the front end's clock, or a duration, in microseconds.
pub type Micros = u64;
/// Identifier of a request, unique for the lifetime of a front end.
pub type RequestId = u64;
/// Identifier of a function.
pub type FunctionId = u64;
/// Name of a worker, as the worker list gives it.
pub type WorkerId = String;

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// Idempotent: may run any number of times.
    Safe,
    /// Carries an idempotency key by which the workers of a [`DedupScope`] drop repeats for a limited time.
    Deduplicated,
    /// Must never run twice.
    #[default]
    Unsafe,
}

/// The workers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    #[default]
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Name on the wire.
    pub name: String,
    /// Whether a call may be repeated.
    pub retry_safety: RetrySafety,
    /// For deduplicated classes: which workers drop each other's repeats.
    pub dedup_scope: DedupScope,
    /// For deduplicated classes: how long repeats are dropped.
    pub dedup_window: Micros,
    /// A response within this time earns the full worth; 0 if not stated.
    pub latency_target: Micros,
    /// How long clients wait, over all their tries; 0 if not stated.
    pub client_timeout: Micros,
    /// Worth of serving one request.
    pub worth: f64,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Name on the wire.
    pub name: String,
    /// Requests per second over all front ends that count as within the tenant's quota; 0 if not stated.
    pub quota_per_s: f64,
}

/// Configuration of a front end, fixed at its start. A value of 0 means not stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of front ends that serve the same workers.
    pub front_ends: u32,
    /// This front end's number among them, from 0.
    pub index: u32,
    /// Classes of requests.
    pub classes: Vec<ClassSettings>,
    /// Tenants, if any.
    pub tenants: Vec<TenantSettings>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
    /// Worth of a request beyond its tenant's quota, as a fraction of its class's worth.
    pub over_quota_worth: f64,
    /// Memory of each machine type, in MB.
    pub machine_memory_mb: Vec<f64>,
    /// Workers keep an idle copy loaded for at least this long.
    pub keep_alive: Micros,
    /// Whether a worker that lacks the function loads it for a call. If not, it replies with a miss.
    pub load_on_miss: bool,
    /// Whether load commands, copy queries and unload commands may be sent.
    pub may_command: bool,
    /// A command without a reply for this long is reported as timed out.
    pub command_timeout: Micros,
    /// Window of the limit on load commands; 0: no limit.
    pub load_window: Micros,
    /// Load commands allowed in a window whatever the traffic.
    pub free_loads: f64,
    /// Further load commands allowed for each request accepted in the window.
    pub loads_per_request: f64,
    /// Attempts allowed for a request; 0: not stated.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a request may have two attempts in flight at once (hedging).
    pub may_hedge: bool,
    /// Longest `Retry-After` that clients can be given; 0: none is passed on.
    pub max_retry_after: Micros,
    /// Cost of sending one probe or command per request, as a fraction of the overall result; 0: free.
    pub probe_cost: f64,
    /// A connection not established within this time counts as failed.
    pub connect_timeout: Micros,
    /// Workers close connections that have been idle for this long.
    pub connection_idle_timeout: Micros,
    /// Concurrent attempts on one connection to a worker; 0: not stated.
    pub streams_per_connection: u32,
    /// Fraction of its full capacity that a worker has at least when it starts.
    pub cold_capacity: f64,
    /// A worker has its full capacity at the latest this long after its start.
    pub warm_up_time: Micros,
    /// A cold worker fails if it is sent more than this multiple of its capacity throughout
    /// [`overload_window`](Settings::overload_window).
    pub overload_multiple: f64,
    /// How long a cold worker withstands more than [`overload_multiple`](Settings::overload_multiple).
    pub overload_window: Micros,
    /// Whether the front end must subscribe to the worker list.
    pub must_subscribe: bool,
    /// Sends to a worker must stop this long after the front end was notified that it drains or is gone.
    pub drain_grace: Micros,
    /// Whether workers may be probed.
    pub may_probe: bool,
    /// Most memory that the records of functions may take, in bytes; 0: not stated.
    pub function_memory: usize,
}

/// State of a listed worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts work.
    Ready,
    /// Finishes the work it has; nothing new may be sent to it.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: WorkerState,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
    /// Index of its zone in the settings.
    pub zone: usize,
    /// Index of its machine type in the settings.
    pub machine_type: usize,
    /// Its cell.
    pub cell: u64,
}

/// Whether the worker list is kept up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryState {
    /// All changes that discovery knows of have been received.
    Current,
    /// Discovery may know of changes that have not been received.
    Lost,
}

/// How an attempt, a command or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was served, the copies are loaded, or the worker accepts work.
    Ok,
    /// The reply was an error; a call may have run.
    Error,
    /// Rejected: the call did not run, there is no room for the copy, or the worker accepts no work.
    Rejected,
    /// No reply in time; a call may have run.
    Timeout,
    /// No connection; nothing ran.
    ConnectFailed,
    /// The connection was lost; a call may have run.
    Reset,
    /// Cancelled; a call may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The function is not loaded at the worker; nothing ran.
    Miss,
}

impl Outcome {
    /// Whether a call that ended so may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// Input of the decision logic: something happened at the front end.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the worker list; a `full` list replaces what was known.
    WorkerList {
        /// Whether this is the whole list.
        full: bool,
        /// The entries.
        entries: Vec<WorkerEntry>,
    },
    /// Discovery was lost or is current again. A front end that never reports this counts as current.
    Discovery {
        /// The new state.
        state: DiscoveryState,
    },
    /// How the client of the request that follows stands among the other clients.
    ClientShare {
        /// The id of that request.
        id: RequestId,
        /// The requests that would be open if each client had at most as many open as this one, as a fraction
        /// of those that are: 1 for the client with the most, little for one with few beside such clients.
        share: f64,
    },
    /// A client's request.
    Request {
        /// Its identifier.
        id: RequestId,
        /// Index of its class in the settings.
        class: usize,
        /// Index of its tenant in the settings.
        tenant: Option<usize>,
        /// The function that it calls.
        function: FunctionId,
        /// Time until the client gives up.
        timeout: Micros,
        /// Memory of one copy of the function, in MB; 0 if unknown.
        memory_mb: f64,
        /// Calls that one copy runs concurrently; 0 if unknown.
        lanes: u32,
        /// Usual time to load the function; 0 if unknown.
        load_time: Micros,
        /// Whether the client marks it as a retry.
        retry: bool,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// Whether the request is finished, so that it needs no further attempt.
        closed: bool,
        /// Whether a copy was already loaded when the call arrived, if the worker reports it.
        warm: Option<bool>,
        /// Requests of the same function at the worker, if it reports them.
        function_inflight: Option<u32>,
        /// Requests at the worker, if it reports them.
        inflight: Option<f64>,
    },
    /// The client cancelled the request or disconnected; no response is due.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// A timer fired.
    Timer {
        /// The token that it was set with.
        token: u64,
    },
    /// The reply to one [`Action::Load`].
    Loaded {
        /// The worker that the command went to.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies loaded at the worker.
        count: u32,
        /// How the command ended.
        outcome: Outcome,
        /// Time since the command was sent.
        elapsed: Micros,
    },
    /// The result of one [`Action::Probe`].
    Probed {
        /// The worker probed.
        worker: WorkerId,
        /// `Ok` if it accepts work, `Rejected` if it does not; otherwise why there is no reply.
        outcome: Outcome,
        /// Requests at the worker, if it reports them.
        inflight: Option<f64>,
    },
}

/// Output of the decision logic. The front end carries out actions in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// How long to wait for it; 0: until the client gives up.
        timeout: Micros,
    },
    /// Cancel an attempt and stop waiting for it.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final response: refused. Nothing ran, so the client may safely retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// Delay that the client is advised to wait; 0: none.
        retry_after: Micros,
    },
    /// Final response: failed. The call may or may not have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer; [`Event::Timer`] reports it.
    Timer {
        /// Time until it fires.
        delay: Micros,
        /// Passed back with the event.
        token: u64,
    },
    /// Load command: have a worker keep at least `count` copies loaded. With a count of 0 it is a copy
    /// query, which only returns the number of copies loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies wanted.
        count: u32,
    },
    /// Unload command: have a worker unload the idle copies of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Ask a worker whether it accepts work.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to the worker list.
    Subscribe,
    /// Write a line to the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
