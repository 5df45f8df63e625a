//! Checks the five rules (see `rules.rs`) on seeded random event streams, with a checker that shares no code
//! with the controller.
mod common;
use common::*;
use heronslip_policy::*;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

struct AttemptRecord {
    worker: String,
    sent_at: Micros,
    open: bool,
    may_have_run: bool,
}

struct RequestRecord {
    class: usize,
    timeout_at: Micros,
    attempts: Vec<AttemptRecord>,
    responded: bool,
    client_finished: bool,
}

/// Keeps its own record of events and actions, and lists every violation: of one of the five rules, with the
/// rule's number, or of the limit on attempts.
struct Checker {
    settings: Settings,
    /// Whether the front end stalls from time to time: see [`delivery_time`].
    stalls: bool,
    requests: BTreeMap<u64, RequestRecord>,
    /// Workers that are draining or gone, and since when.
    unready: BTreeMap<String, Micros>,
    /// When each worker last started.
    started: BTreeMap<String, Micros>,
    /// Calls sent to each worker process within the overload window after its start.
    calls_to_cold: BTreeMap<(String, Micros), usize>,
    requests_at: Vec<Micros>,
    loads_at: Vec<Micros>,
    violations: Vec<String>,
}

/// When a front end that stalls for two seconds in every five receives an event of time `t`.
fn delivery_time(t: Micros, stalls: bool) -> Micros {
    let into = t % (5 * SEC);
    if stalls && into < 2 * SEC {
        t - into + 2 * SEC
    } else {
        t
    }
}

impl Checker {
    fn new(settings: &Settings, stalls: bool) -> Self {
        Checker {
            settings: settings.clone(),
            stalls,
            requests: BTreeMap::new(),
            unready: BTreeMap::new(),
            started: BTreeMap::new(),
            calls_to_cold: BTreeMap::new(),
            requests_at: vec![],
            loads_at: vec![],
            violations: vec![],
        }
    }

    fn on_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::WorkerList { entries, .. } => {
                for entry in entries {
                    if entry.state == WorkerState::Ready {
                        self.unready.remove(&entry.worker);
                    } else {
                        self.unready.entry(entry.worker.clone()).or_insert(now);
                    }
                    if entry.started_at > 0 {
                        self.started.insert(entry.worker.clone(), entry.started_at);
                    }
                }
            }
            Event::Request { id, class, timeout, .. } => {
                let record = RequestRecord {
                    class: *class,
                    timeout_at: now + timeout,
                    attempts: vec![],
                    responded: false,
                    client_finished: false,
                };
                self.requests.insert(*id, record);
                self.requests_at.push(now);
            }
            Event::Outcome { id, attempt, outcome, closed, .. } => {
                let record = self.requests.get_mut(id).unwrap();
                let attempt_record = &mut record.attempts[*attempt];
                attempt_record.open = false;
                let did_not_run =
                    [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Miss];
                attempt_record.may_have_run = !did_not_run.contains(outcome);
                record.client_finished |= closed;
            }
            Event::RequestCancelled { id } => self.requests.get_mut(id).unwrap().client_finished = true,
            _ => {}
        }
    }

    fn on_action(&mut self, now: Micros, action: &Action) {
        let mut report = |what: &str| self.violations.push(format!("{what}: {action:?}"));
        match action {
            Action::Send { id, worker, .. } => {
                let record = self.requests.get_mut(id).unwrap();
                if record.responded || record.client_finished {
                    report("1 sent after the end");
                }
                if record.attempts.len() as u32 >= self.settings.max_attempts {
                    report("too many attempts");
                }
                if !self.settings.may_hedge && record.attempts.iter().any(|a| a.open) {
                    report("2 two attempts at once");
                }
                let cell = |w: &str| w[1..].parse::<usize>().unwrap() / 2;
                for earlier in record.attempts.iter().filter(|a| a.may_have_run) {
                    let in_scope = cell(&earlier.worker) == cell(worker) && now <= earlier.sent_at + 3 * SEC;
                    if record.class == UNSAFE || record.class == DEDUPLICATED && !in_scope {
                        report("2 sent again");
                    }
                }
                record.attempts.push(AttemptRecord {
                    worker: worker.clone(),
                    sent_at: now,
                    open: true,
                    may_have_run: true,
                });
                if self.unready.get(worker).is_some_and(|t| now > t + SEC) {
                    report("3 sent to a draining worker");
                }
                if let Some(&t) =
                    self.started.get(worker).filter(|&&t| now < t + self.settings.overload_window)
                {
                    *self.calls_to_cold.entry((worker.clone(), t)).or_default() += 1;
                }
            }
            Action::Load { worker, count, .. } if *count > 0 => {
                if self.unready.get(worker).is_some_and(|t| now > t + SEC) {
                    report("3 loaded on a draining worker");
                }
                self.loads_at.push(now);
                let window = self.settings.load_window;
                let count = |of: &[Micros]| of.iter().filter(|&&t| t + window > now).count() as f64;
                let most =
                    self.settings.free_loads + self.settings.loads_per_request * count(&self.requests_at);
                if window > 0 && count(&self.loads_at) > most {
                    report("5 too many loads");
                }
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                let record = self.requests.get_mut(id).unwrap();
                if record.responded || now > delivery_time(record.timeout_at + 8 * MS, self.stalls) {
                    report("1 responded twice or late");
                }
                let may_have_run = record.attempts.iter().any(|a| a.may_have_run);
                if matches!(action, Action::Refuse { .. }) && record.class != SAFE && may_have_run {
                    report("2 refused a request that may have run");
                }
                record.responded = true;
            }
            _ => {}
        }
    }

    fn on_end(&mut self, now: Micros) {
        for (id, record) in &self.requests {
            if !record.responded && !record.client_finished && now > record.timeout_at + 8 * MS {
                self.violations.push(format!("1 request {id} was lost"));
            }
        }
    }
}

/// Runs one random stream of events: workers that respond, fail, drain and restart at random.
fn run_random_events(seed: u64, set: Settings, stalls: bool) -> Checker {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut random_below = move |n: u64| u64::from(rng.next_u32()) % n;
    let mut checker = Checker::new(&set, stalls);
    let mut controller = Controller::new(set, seed);
    // Pending events, by time and then by order of creation.
    let mut due: BTreeMap<(Micros, u64), Event> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, usize> = BTreeMap::new();
    let mut finished: BTreeSet<u64> = BTreeSet::new();
    let mut serial = 0;
    let start = 100 * SEC;
    due.insert((start, 0), Event::WorkerList { full: true, entries: (0..6).map(entry).collect() });
    let mut at = start;
    for id in 1..400u64 {
        at += random_below(40) * MS;
        serial += 1;
        let (class, timeout) = (random_below(3) as usize, (20 + random_below(3000)) * MS);
        let (function, retry, memory_mb) = (random_below(12), random_below(8) == 0, 300.0);
        let (tenant, lanes, load_time) = (None, 1 + random_below(2) as u32, 0);
        let request =
            Event::Request { id, class, tenant, function, timeout, memory_mb, lanes, load_time, retry };
        due.insert((at, serial), request);
        if random_below(15) == 0 {
            serial += 1;
            due.insert((at + random_below(1 + timeout), serial), Event::RequestCancelled { id });
        }
        if random_below(10) == 0 {
            use WorkerState::*;
            let state = [Draining, Gone].get(random_below(6) as usize).copied().unwrap_or(Ready);
            let started_at = if state == WorkerState::Ready && random_below(2) == 0 { at } else { 0 };
            let changed = WorkerEntry { state, started_at, ..entry(random_below(6) as usize) };
            serial += 1;
            due.insert((at + 1, serial), Event::WorkerList { full: false, entries: vec![changed] });
        }
    }
    let last = at + 20 * SEC;
    let mut out = Vec::new();
    while let Some(((now, _), mut event)) = due.pop_first().filter(|((t, _), _)| *t < last) {
        let now = delivery_time(now, stalls);
        if let Event::Outcome { id, outcome, closed, .. } = &mut event {
            *closed = *outcome == Outcome::Ok || finished.contains(id);
            if *outcome == Outcome::Ok {
                finished.insert(*id);
            }
        }
        if matches!(&event, Event::RequestCancelled { id } if !finished.insert(*id)) {
            continue;
        }
        checker.on_event(now, &event);
        controller.handle(now, event, &mut out);
        for action in out.drain(..) {
            checker.on_action(now, &action);
            serial += 1;
            match action {
                Action::Timer { delay, token } => {
                    due.insert((now + delay.max(MS), serial), Event::Timer { token });
                }
                Action::Send { id, timeout, .. } => {
                    let number = attempts.entry(id).or_insert(0);
                    let outcomes = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Error,
                        Outcome::Rejected,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::Miss,
                        Outcome::Timeout,
                    ];
                    let outcome = outcomes.get(random_below(24) as usize).copied().unwrap_or(Outcome::Ok);
                    let took = if outcome == Outcome::Timeout { timeout } else { random_below(600) * MS + 1 };
                    let (elapsed, closed) = (took.min(timeout), false);
                    let outcome = if took > timeout { Outcome::Timeout } else { outcome };
                    let (attempt, warm, function_inflight, inflight) =
                        (*number, None, None, Some(random_below(9) as f64));
                    *number += 1;
                    let event = Event::Outcome {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        closed,
                        warm,
                        function_inflight,
                        inflight,
                    };
                    due.insert((now + elapsed.max(1), serial), event);
                }
                Action::Load { worker, function, count } => {
                    let (outcome, count) = match random_below(6) {
                        0 => (Outcome::Rejected, 0),
                        1 => (Outcome::Error, 0),
                        2 => (Outcome::Reset, 0),
                        _ => (Outcome::Ok, count.max(random_below(2) as u32)),
                    };
                    let elapsed = (2 + random_below(700)) * MS;
                    let event = Event::Loaded { worker, function, count, outcome, elapsed };
                    due.insert((now + elapsed, serial), event);
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    finished.insert(id);
                }
                _ => {}
            }
        }
    }
    checker.on_end(last);
    checker
}

fn configurations() -> Vec<Settings> {
    let mut few = settings();
    few.front_ends = 3;
    let mut limited = few.clone();
    (limited.load_on_miss, limited.may_hedge) = (true, true);
    (limited.load_window, limited.free_loads, limited.loads_per_request) = (5 * SEC, 4.0, 0.2);
    let mut many = limited.clone();
    many.front_ends = 200;
    let mut unknown_number = few.clone();
    unknown_number.front_ends = 0;
    vec![settings(), few, limited, many, unknown_number]
}

#[test]
fn the_rules_hold_over_random_streams() {
    for (n, settings) in configurations().into_iter().enumerate() {
        for seed in 0..40 {
            let stalls = seed % 2 == 1; // every other front end stalls from time to time
            let checker = run_random_events(seed, settings.clone(), stalls);
            assert!(
                checker.violations.is_empty(),
                "configuration {n}, seed {seed}: {:?}",
                checker.violations
            );
            // One of two hundred front ends may send next to nothing to a fleet that restarts all the time.
            let least_attempts = if settings.front_ends > 100 {
                0
            } else if stalls {
                11
            } else {
                31
            };
            let sent: usize = checker.requests.values().map(|r| r.attempts.len()).sum();
            assert!(sent >= least_attempts, "configuration {n}, seed {seed}: only {sent} attempts were made");
            // Each process is counted separately, because each is overloaded on its own. These bounds on the
            // calls in its first second are far below an overload.
            let (most, all) =
                (checker.calls_to_cold.values().max(), checker.calls_to_cold.values().sum::<usize>());
            assert!(
                most.is_none_or(|&n| n <= 8),
                "rule 4, configuration {n}, seed {seed}: {most:?} calls to one"
            );
            let starts = checker.calls_to_cold.len();
            assert!(
                all <= 5 * starts,
                "rule 4, configuration {n}, seed {seed}: {all} calls after {starts} starts"
            );
        }
    }
}

#[test]
fn the_checker_reports_each_kind_of_violation() {
    let mut checker = Checker::new(&configurations()[2], false);
    let request = |id, class| Event::Request {
        id,
        class,
        tenant: None,
        function: 1,
        timeout: SEC,
        memory_mb: 1.0,
        lanes: 1,
        load_time: 0,
        retry: false,
    };
    checker.on_event(0, &request(1, UNSAFE));
    checker.on_event(0, &request(2, SAFE));
    let gone = WorkerEntry { state: WorkerState::Gone, ..entry(0) };
    checker.on_event(0, &Event::WorkerList { full: false, entries: vec![gone] });
    let send = |id, w: &str| Action::Send { id, worker: w.into(), timeout: 0 };
    checker.on_action(1, &send(1, "w1"));
    checker.on_action(2, &send(1, "w2"));
    checker.on_action(3, &Action::Refuse { id: 1, retry_after: 0 });
    checker.on_action(4, &Action::Fail { id: 1 });
    checker.on_action(5, &send(1, "w3"));
    checker.on_action(2 * SEC, &send(2, "w0"));
    for _ in 0..6 {
        checker.on_action(10 * SEC, &Action::Load { worker: "w1".into(), function: 1, count: 1 });
    }
    checker.on_end(20 * SEC);
    for what in
        ["2 sent again", "2 refused", "1 responded twice", "1 sent after", "3 sent", "5 too many", "lost"]
    {
        assert!(checker.violations.iter().any(|v| v.contains(what)), "not reported: {what}");
    }
}
