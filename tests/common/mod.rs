//! Shared by the tests: settings, and a harness that feeds events to a controller.
#![allow(dead_code)]
use heronslip_policy::*;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;
pub const SAFE: usize = 0;
pub const DEDUPLICATED: usize = 1;
pub const UNSAFE: usize = 2;

pub fn class(retry_safety: RetrySafety, dedup_scope: DedupScope) -> ClassSettings {
    ClassSettings {
        retry_safety,
        dedup_scope,
        dedup_window: 3 * SEC,
        latency_target: SEC,
        worth: 1.0,
        ..ClassSettings::default()
    }
}

/// Settings of a single front end whose workers load functions on command only; tests change what they need.
pub fn settings() -> Settings {
    Settings {
        front_ends: 1,
        classes: vec![
            class(RetrySafety::Safe, DedupScope::All),
            class(RetrySafety::Deduplicated, DedupScope::Cell),
            class(RetrySafety::Unsafe, DedupScope::All),
        ],
        tenants: vec![],
        over_quota_worth: 0.2,
        machine_memory_mb: vec![4000.0],
        keep_alive: 8 * SEC,
        load_on_miss: false,
        may_command: true,
        command_timeout: 10 * SEC,
        load_window: 0,
        free_loads: 0.0,
        loads_per_request: 0.0,
        max_attempts: 4,
        may_cancel: true,
        may_hedge: false,
        max_retry_after: SEC,
        cold_capacity: 0.2,
        warm_up_time: 10 * SEC,
        overload_multiple: 2.0,
        overload_window: SEC,
        ..Settings::default()
    }
}

/// Entry of the ready worker `w{n}`. Two workers share a cell; the zones alternate.
pub fn entry(n: usize) -> WorkerEntry {
    WorkerEntry {
        worker: format!("w{n}"),
        state: WorkerState::Ready,
        started_at: 0,
        zone: n % 2,
        machine_type: 0,
        cell: (n / 2) as u64,
    }
}

/// A controller and the time on its clock.
pub struct Harness {
    pub controller: Controller,
    pub now: Micros,
}

impl Harness {
    /// A controller whose worker list holds `n` warm workers, named from `w0`.
    pub fn new(settings: Settings, n: usize) -> Self {
        let mut harness = Harness { controller: Controller::new(settings, 11), now: 100 * SEC };
        harness.feed(Event::WorkerList { full: true, entries: (0..n).map(entry).collect() });
        harness
    }

    /// Passes an event to the controller at the current time.
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    /// Advances the time with the periodic timer firing, and returns all actions.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 20 * MS;
            all.extend(self.feed(Event::Timer { token: 0 }));
        }
        all
    }

    /// Feeds a request with a timeout of 3 s.
    pub fn request(&mut self, id: u64, class: usize, function: u64) -> Vec<Action> {
        self.feed(Event::Request {
            id,
            class,
            tenant: None,
            function,
            timeout: 3 * SEC,
            memory_mb: 500.0,
            lanes: 1,
            load_time: 400 * MS,
            retry: false,
        })
    }

    /// Feeds the end of an attempt; only success closes the request.
    pub fn outcome(&mut self, id: u64, attempt: usize, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
        let closed = outcome == Outcome::Ok;
        let (warm, function_inflight, inflight) = (None, None, None);
        self.feed(Event::Outcome { id, attempt, outcome, elapsed, closed, warm, function_inflight, inflight })
    }

    /// Feeds the reply to a load command or a copy query.
    pub fn loaded(&mut self, worker: &str, function: u64, count: u32, outcome: Outcome) -> Vec<Action> {
        self.feed(Event::Loaded { worker: worker.into(), function, count, outcome, elapsed: 2 * MS })
    }

    /// Makes the function warm at these workers, through the replies to the copy queries of a first request.
    pub fn make_warm(&mut self, function: u64, id: u64, workers: &[&str]) {
        let actions = self.request(id, SAFE, function);
        let queried = loads(&actions, 0);
        for name in &queried {
            let is_loaded = workers.contains(&name.as_str());
            self.loaded(name, function, u32::from(is_loaded), Outcome::Ok);
        }
        self.outcome(id, 0, Outcome::Ok, 50 * MS);
    }
}

/// The workers that were sent a load command for this many copies, or a copy query if it is 0.
pub fn loads(actions: &[Action], copies: u32) -> Vec<String> {
    let worker = |action: &Action| match action {
        Action::Load { worker, count, .. } if *count == copies => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}

/// The workers that requests were sent to.
pub fn sends(actions: &[Action]) -> Vec<String> {
    let worker = |action: &Action| match action {
        Action::Send { worker, .. } => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}
