//! The records that a front end keeps: plain data, changed only by the methods of [`Controller`].
//!
//! Workers and functions live in slots of [`Controller::workers`] and [`Controller::functions`]. Everywhere
//! in this crate a slot is the index into one of these lists, and stands for the worker or function there.
use crate::interface::*;
use crate::readiness::{Discovery, Lease};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A command in flight to a worker, with the time at which it was sent.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Command {
    /// Copy query: only asks how many copies are loaded.
    Query(Micros),
    /// Load command.
    Load(Micros),
}

/// Requests of other front ends for a function at a worker, as the worker last reported them.
#[derive(Default)]
pub(crate) struct OthersInflight {
    pub(crate) at: Micros,
    pub(crate) count: u32,
}

/// What is known of the copies of one function at one worker.
#[derive(Default)]
pub(crate) struct CopyRecord {
    /// Copies assumed to be loaded until `expires_at`.
    pub(crate) count: u32,
    pub(crate) expires_at: Micros,
    /// Start of the lifetime that ends at `expires_at`.
    pub(crate) confirmed_at: Micros,
    /// Our requests in flight.
    pub(crate) our_inflight: u32,
    pub(crate) others_inflight: OthersInflight,
    /// The command in flight.
    pub(crate) command: Option<Command>,
    /// When the last copy query was sent.
    pub(crate) queried_at: Option<Micros>,
    /// Our calls in flight that are to load the function.
    pub(crate) cold_sends: u32,
    /// The copy's place was chosen for a copy of another function: see `Controller::choose_load_target`.
    pub(crate) reserved: bool,
}

/// What is known of one function.
#[derive(Default)]
pub(crate) struct Function {
    pub(crate) id: FunctionId,
    /// Class of the latest call.
    pub(crate) class: usize,
    /// Memory of one copy.
    pub(crate) memory_mb: f64,
    /// Calls that one copy runs concurrently.
    pub(crate) lanes: u32,
    /// Running mean of the time of a load, in microseconds; 0 if unknown.
    pub(crate) load_time: f64,
    /// Running mean of the response time at a loaded copy, in microseconds.
    pub(crate) service_time: f64,
    /// Number of recent calls, with exponential decay.
    pub(crate) recent_calls: f64,
    pub(crate) last_call: Micros,
    /// When a request last found no free copy (a real loss), or a virtual loss was drawn.
    pub(crate) last_loss: Micros,
    /// Whether any call of it has succeeded.
    pub(crate) ever_served: bool,
    /// Whether it has been called more than once.
    pub(crate) called_again: bool,
    /// Its copies, by worker slot.
    pub(crate) copies: BTreeMap<usize, CopyRecord>,
    /// Head of its preference order, behind the workers skipped; empty until needed.
    pub(crate) preferred: Vec<PreferredWorker>,
    /// Most entries of `preferred`, once there are any.
    pub(crate) preferred_limit: usize,
    /// Workers at the head of the preference order that are left to other front ends.
    pub(crate) skipped: usize,
    /// Requests that wait for a copy, oldest first.
    pub(crate) queued: VecDeque<RequestId>,
}

/// Rendezvous hash score of a worker for a function; the same at every front end.
pub(crate) type ScoreFn = fn(FunctionId, &str) -> u64;

/// Fewest workers kept at the head of a function's preference order: ten times the number that is sent copy
/// queries, so that enough remain when disconnected, cold and full workers are left out. For a function with
/// copies, at least twice the number of copies is kept.
pub(crate) const MIN_PREFERRED: usize = 64;

/// A worker in a function's preference order.
#[derive(Clone, Copy)]
pub(crate) struct PreferredWorker {
    score: u64,
    worker: u32,
}

impl PreferredWorker {
    /// Sort key: highest score first, then lowest slot.
    fn rank(&self) -> (std::cmp::Reverse<u64>, u32) {
        (std::cmp::Reverse(self.score), self.worker)
    }
}

impl Function {
    /// Enters a new worker, which may have taken the slot of a removed one. `slots` is the number of worker
    /// slots.
    fn insert_preferred(&mut self, new: PreferredWorker, slots: usize) {
        self.preferred.retain(|p| p.worker != new.worker);
        if self.skipped > 0 && self.preferred.first().is_some_and(|p| new.rank() < p.rank()) {
            return; // it ranks among the skipped workers
        }
        // Workers behind the last one kept are not known, so nothing may be appended unless all workers are
        // kept.
        let complete = self.preferred.len() + 1 >= slots;
        let before = self.preferred.partition_point(|p| p.rank() < new.rank());
        if before < self.preferred.len() || complete {
            self.preferred.insert(before, new);
            self.preferred.truncate(self.preferred_limit);
        }
        if self.preferred.len() < self.preferred_limit / 2 && self.preferred.len() < slots {
            self.preferred.clear(); // ranked again when needed
        }
    }
}

/// A load report of a worker.
#[derive(Clone, Copy)]
pub(crate) struct LoadReport {
    pub(crate) at: Micros,
    /// Requests at the worker, of all front ends.
    pub(crate) inflight: f64,
    /// Our requests in flight to the worker at that time.
    pub(crate) our_inflight: usize,
}

/// Tenant and class of a call.
pub(crate) type CallKind = (Option<usize>, usize);

/// Calls of a [`CallKind`] are not sent to a worker that has rejected one.
#[derive(Default)]
pub(crate) struct Block {
    pub(crate) until: Micros,
    /// How long the latest block lasts; doubled by the next rejection.
    pub(crate) duration: Micros,
}

/// What is known of a listed worker.
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// Our attempts in flight, oldest first: when sent, request, number of the attempt.
    pub(crate) attempts: BTreeSet<(Micros, RequestId, usize)>,
    /// Functions with a [`CopyRecord`] for this worker.
    pub(crate) functions: BTreeSet<usize>,
    pub(crate) report: Option<LoadReport>,
    /// When it last served a call.
    pub(crate) last_response: Micros,
    /// Running mean of response times relative to what was expected, with failures counted as slow responses:
    /// 1 is normal, higher is worse.
    pub(crate) slowness: f64,
    /// A connection to it could not be established, and it has not replied to a call or a command since.
    pub(crate) disconnected: bool,
    /// Its slowness is a multiple of the median.
    pub(crate) slow: bool,
    /// Earliest time of the next trial request to it as a suspect.
    pub(crate) next_trial: Micros,
    /// When a connection to it was last reset.
    pub(crate) reset_at: Micros,
    /// A connection to it was reset and it has not replied since: its process may have restarted.
    pub(crate) restart_suspected: bool,
    /// No load command is sent to it before this: it had no room for a copy.
    pub(crate) no_loads_until: Micros,
    pub(crate) blocks: BTreeMap<CallKind, Block>,
    /// Our load commands in flight to it.
    pub(crate) inflight_loads: u32,
    /// Slow start: work that may be sent to it while it is cold, in microseconds of service time.
    pub(crate) cold_budget: f64,
    /// The fraction of a call's service time that the budget must cover for the next call while the worker is
    /// cold. Drawn at random for each call. Each of many front ends may be due less than one call; with a
    /// random threshold the calls of all of them add up to the sum of their budgets on average, at any time.
    pub(crate) cold_threshold: f64,
    /// What is known of its readiness while discovery is lost.
    pub(crate) lease: Lease,
    /// While discovery is lost: since when connections to it have failed.
    pub(crate) unreachable_since: Option<Micros>,
    /// Earliest start of a process that may have started without a notification by discovery; 0: none.
    pub(crate) cold_since: Micros,
}

/// One attempt of a request.
#[derive(Clone, Default)]
pub(crate) struct Attempt {
    pub(crate) worker: usize,
    pub(crate) sent_at: Micros,
    /// Time that it is likely to take, in microseconds.
    pub(crate) expected_time: f64,
    /// Time after which it is overdue, in microseconds.
    pub(crate) overdue_after: f64,
    /// In flight.
    pub(crate) open: bool,
    pub(crate) may_have_run: bool,
    /// Sent to a worker that has to load the function for it.
    pub(crate) cold: bool,
    /// Our requests of this function in flight to the worker when it was sent, itself included.
    pub(crate) our_inflight_then: u32,
    pub(crate) cancelled: bool,
}

/// An open request.
pub(crate) struct Request {
    pub(crate) function: usize,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) arrived_at: Micros,
    /// When the final response is due.
    pub(crate) deadline: Micros,
    /// The client marked it as a retry.
    pub(crate) retry: bool,
    /// It found no free copy, and this loss has been counted.
    pub(crate) lost: bool,
    /// The final response was given; only attempts in flight keep the record.
    pub(crate) done: bool,
    /// Error replies so far.
    pub(crate) errors: u32,
    /// The worker whose probe it waits for, and since when.
    pub(crate) probing: Option<(usize, Micros)>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, now: Micros) -> Self {
        Worker {
            entry,
            last_response: now,
            slowness: 1.0,
            attempts: BTreeSet::new(),
            functions: BTreeSet::new(),
            report: None,
            disconnected: false,
            slow: false,
            next_trial: 0,
            reset_at: 0,
            restart_suspected: false,
            no_loads_until: 0,
            blocks: BTreeMap::new(),
            inflight_loads: 0,
            cold_budget: 0.0,
            cold_threshold: 1.0,
            lease: Lease::new(now),
            unreachable_since: None,
            cold_since: 0,
        }
    }

    /// The worker has replied after its connection was refused or lost: clears the suspicion, and limits its
    /// slowness to `max_slowness` to take back what the failed connection added.
    pub(crate) fn reconnected(&mut self, max_slowness: f64) {
        if std::mem::take(&mut self.disconnected) | std::mem::take(&mut self.restart_suspected) {
            self.slowness = self.slowness.min(max_slowness);
            self.slow = false;
        }
    }

    /// Whether its connection was refused or lost, so that its process and with it its copies may be gone.
    pub(crate) fn copies_unconfirmed(&self) -> bool {
        self.disconnected || self.restart_suspected
    }

    pub(crate) fn ready(&self) -> bool {
        self.entry.state == WorkerState::Ready
    }
}

impl CopyRecord {
    /// Whether a copy is assumed to be loaded.
    pub(crate) fn warm(&self, now: Micros) -> bool {
        self.count > 0 && (self.expires_at > now || self.our_inflight > 0)
    }

    /// Whether a load command is in flight.
    pub(crate) fn load_pending(&self) -> bool {
        matches!(self.command, Some(Command::Load(_)))
    }

    /// Whether a request or command of ours is in flight, so that the record must stay.
    pub(crate) fn in_use(&self) -> bool {
        self.our_inflight > 0 || self.command.is_some() || self.cold_sends > 0
    }

    /// Whether the first copy is being loaded.
    pub(crate) fn loading(&self) -> bool {
        self.load_pending() && self.count == 0 || self.cold_sends > 0
    }
}

/// The decision logic of one front end.
#[derive(Default)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) rng: Option<Pcg32>,
    /// Periodic timers so far; 0 before the first event.
    pub(crate) ticks: u32,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_slots: BTreeMap<WorkerId, usize>,
    pub(crate) functions: Vec<Function>,
    pub(crate) function_slots: BTreeMap<FunctionId, usize>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Workers that accept work, by the list.
    pub(crate) ready: Vec<usize>,
    /// Functions that may have queued requests.
    pub(crate) functions_with_queue: BTreeSet<usize>,
    /// Function slots that are not in use.
    pub(crate) free_slots: Vec<usize>,
    /// Estimated memory of the functions' records, in bytes.
    pub(crate) function_bytes: usize,
    /// The function called last.
    pub(crate) last_called: usize,
    /// The share of the client of the next request, and the id of that request.
    pub(crate) next_client_share: Option<(RequestId, f64)>,
    /// Whether any worker has reported its load.
    pub(crate) load_reported: bool,
    /// When the fleet statistics were last refreshed.
    pub(crate) stats_at: Micros,
    pub(crate) last_event_at: Micros,
    /// When this front end last resumed after a stall.
    pub(crate) resumed_at: Micros,
    /// When the state of the fleet was last logged.
    pub(crate) logged_at: Micros,
    /// Copies of an average function that fit into an average worker's memory.
    pub(crate) copies_per_worker: f64,
    /// Time constant with which load reports lose weight, in microseconds.
    pub(crate) report_decay: f64,
    /// Smallest z* of all functions: see `Controller::virtual_loss`.
    pub(crate) min_z_star: f64,
    /// Arrival times of recent requests.
    pub(crate) request_times: VecDeque<Micros>,
    /// Times of recent load commands, for the limit on them.
    pub(crate) load_command_times: VecDeque<Micros>,
    /// Loads in flight: load commands, and calls that load the function.
    pub(crate) inflight_loads: u32,
    /// Adaptive cap on `inflight_loads`.
    pub(crate) load_cap: f64,
    /// Running mean of the response time of each class, in microseconds.
    pub(crate) class_service_time: Vec<f64>,
    /// Number of recent requests of each tenant, with exponential decay.
    pub(crate) tenant_requests: Vec<f64>,
    /// Running mean of the fraction of ready workers with attempts of ours in flight.
    pub(crate) busy_fraction: f64,
    /// Mean number of requests at a worker, by the latest reports.
    pub(crate) mean_inflight: f64,
    pub(crate) median_slowness: f64,
    /// Most of the fleet looks bad, so no worker counts as a suspect.
    pub(crate) ignore_suspicion: bool,
    /// Running mean of the service time that one worker at full capacity spends on our calls, per unit of
    /// time.
    pub(crate) work_rate: f64,
    /// Service time of the calls served since the last refresh, in microseconds.
    pub(crate) work_done: f64,
    /// Running mean of the calls per second that were served, or given up by their clients before they could be.
    pub(crate) served_rate: f64,
    /// Such calls since the last refresh.
    pub(crate) served: f64,
    /// Requests in flight at loaded copies, smoothed where calls are few.
    pub(crate) backlog: f64,
    /// Token bucket of further attempts.
    pub(crate) retry_tokens: f64,
    /// When a connection to any worker was last reset.
    pub(crate) last_reset_at: Micros,
    /// Token bucket of copy queries.
    pub(crate) query_tokens: f64,
    /// Token bucket of load commands and of trial queries.
    pub(crate) load_tokens: f64,
    /// Time between trial requests to one suspect.
    pub(crate) trial_interval: Micros,
    pub(crate) discovery: Discovery,
}

impl Controller {
    /// Forgets all copies at a worker whose process died, restarted or was removed.
    pub(crate) fn forget_copies(&mut self, worker_slot: usize) {
        for function_slot in std::mem::take(&mut self.workers[worker_slot].functions) {
            let Some(copy) = self.functions[function_slot].copies.get_mut(&worker_slot) else { continue };
            (copy.count, copy.expires_at, copy.queried_at) = (0, 0, None);
            if copy.in_use() {
                self.workers[worker_slot].functions.insert(function_slot);
            } else {
                self.functions[function_slot].copies.remove(&worker_slot);
            }
        }
    }

    /// The record of a function's copies at a worker; created, in both indexes, if there is none.
    pub(crate) fn copy_record(&mut self, function_slot: usize, worker_slot: usize) -> &mut CopyRecord {
        self.workers[worker_slot].functions.insert(function_slot);
        self.functions[function_slot].copies.entry(worker_slot).or_default()
    }

    /// The slot of a function, and whether it is new.
    pub(crate) fn find_or_add_function(&mut self, id: FunctionId) -> (usize, bool) {
        if let Some(&function_slot) = self.function_slots.get(&id) {
            return (function_slot, false);
        }
        let function_slot = self.free_slots.pop().unwrap_or(self.functions.len());
        if function_slot == self.functions.len() {
            self.functions.push(Function::default());
        }
        self.function_slots.insert(id, function_slot);
        (function_slot, true)
    }

    /// A random number of 32 bits.
    pub(crate) fn random(&mut self) -> u64 {
        self.rng.as_mut().map_or(0, |rng| u64::from(rng.next_u32()))
    }

    /// A random number above 0 and up to 1.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        (self.random() + 1) as f64 / 2f64.powi(32)
    }

    /// A uniformly random element.
    pub(crate) fn pick_random(&mut self, from: &[usize]) -> Option<usize> {
        from.get(((self.random() * from.len() as u64) >> 32) as usize).copied()
    }

    /// The action that sends a load command, or a copy query if `count` is 0.
    pub(crate) fn load_action(&self, function_slot: usize, worker_slot: usize, count: u32) -> Action {
        Action::Load {
            worker: self.workers[worker_slot].entry.worker.clone(),
            function: self.functions[function_slot].id,
            count,
        }
    }

    /// Slots of removed workers to which nothing refers any more. Reusing them bounds the memory.
    fn vacant_slots(&self) -> Vec<usize> {
        let is_gone = |&worker_slot: &usize| self.workers[worker_slot].entry.state == WorkerState::Gone;
        let gone: Vec<usize> = (0..self.workers.len()).filter(is_gone).collect();
        if gone.is_empty() {
            return gone;
        }
        let attempts = self.requests.values().flat_map(|r| r.attempts.iter().map(|a| a.worker));
        let attempted: BTreeSet<usize> = attempts.collect();
        let is_vacant = |worker_slot: &usize| {
            let (worker, functions) = (&self.workers[*worker_slot], &self.functions);
            let used = |function_slot: &usize| {
                functions[*function_slot].copies.get(worker_slot).is_some_and(CopyRecord::in_use)
            };
            worker.attempts.is_empty()
                && !worker.functions.iter().any(used)
                && !attempted.contains(worker_slot)
        };
        gone.into_iter().filter(is_vacant).rev().collect()
    }

    /// Puts a new worker into a vacant slot, or else into a new one.
    fn add_worker(
        &mut self, entry: WorkerEntry, now: Micros, vacant: &mut Vec<usize>, score: ScoreFn,
    ) -> usize {
        let id = entry.worker.clone();
        let worker_slot = vacant.pop().unwrap_or(self.workers.len());
        if worker_slot < self.workers.len() {
            self.forget_copies(worker_slot);
            self.worker_slots.remove(&self.workers[worker_slot].entry.worker);
            self.workers[worker_slot] = Worker::new(entry, now);
        } else {
            self.workers.push(Worker::new(entry, now));
        }
        let slots = self.workers.len();
        for function in self.functions.iter_mut().filter(|f| !f.preferred.is_empty()) {
            function.insert_preferred(
                PreferredWorker { score: score(function.id, &id), worker: worker_slot as u32 },
                slots,
            );
        }
        self.worker_slots.insert(id, worker_slot);
        worker_slot
    }

    /// Applies an update of the worker list. Returns the workers whose process is new, and those whose copies
    /// are gone.
    pub(crate) fn apply_worker_list(
        &mut self, now: Micros, full: bool, entries: Vec<WorkerEntry>, score: ScoreFn,
    ) -> (Vec<usize>, Vec<usize>) {
        let (mut listed, mut started, mut emptied) = (BTreeSet::new(), Vec::new(), Vec::new());
        let mut vacant = self.vacant_slots();
        for entry in entries {
            let Some(&worker_slot) = self.worker_slots.get(&entry.worker) else {
                if entry.state != WorkerState::Gone {
                    let worker_slot = self.add_worker(entry, now, &mut vacant, score);
                    listed.insert(worker_slot);
                    started.push(worker_slot);
                }
                continue;
            };
            listed.insert(worker_slot);
            if entry.state == WorkerState::Ready {
                self.workers[worker_slot].lease.confirm(now);
            }
            let known = &mut self.workers[worker_slot].entry;
            let restarted = entry.started_at != known.started_at && entry.started_at != 0;
            let started_at = if restarted { entry.started_at } else { known.started_at };
            let gone = entry.state == WorkerState::Gone;
            *known = WorkerEntry { started_at, ..entry };
            started.extend(restarted.then_some(worker_slot));
            emptied.extend((restarted || gone).then_some(worker_slot));
        }
        for worker_slot in (0..self.workers.len()).filter(|worker_slot| full && !listed.contains(worker_slot))
        {
            self.workers[worker_slot].entry.state = WorkerState::Gone;
            emptied.push(worker_slot);
        }
        self.ready =
            (0..self.workers.len()).filter(|&worker_slot| self.workers[worker_slot].ready()).collect();
        (started, emptied)
    }

    /// Memory in MB of the copies that are assumed to be loaded or are being loaded at a worker.
    pub(crate) fn memory_used(&self, worker_slot: usize, now: Micros) -> f64 {
        let memory = |&function_slot: &usize| {
            let (function, copy) =
                (&self.functions[function_slot], self.functions[function_slot].copies.get(&worker_slot));
            copy.map_or(0.0, |copy| {
                let loaded = if copy.warm(now) { f64::from(copy.count) } else { 0.0 };
                function.memory_mb * loaded.max(f64::from(u8::from(copy.loading())))
            })
        };
        self.workers[worker_slot].functions.iter().map(memory).sum()
    }

    /// Sends a load command.
    pub(crate) fn send_load(
        &mut self, function_slot: usize, worker_slot: usize, count: u32, now: Micros, out: &mut Vec<Action>,
    ) {
        self.copy_record(function_slot, worker_slot).command = Some(Command::Load(now));
        if self.settings.load_window > 0 {
            self.load_command_times.push_back(now);
        }
        self.load_tokens -= 1.0;
        self.workers[worker_slot].inflight_loads += 1;
        self.inflight_loads += 1;
        out.push(self.load_action(function_slot, worker_slot, count));
    }

    /// Records an attempt that is sent; `cold` if the worker has to load the function for it. `times` are
    /// [`Attempt::expected_time`] and [`Attempt::overdue_after`].
    pub(crate) fn record_send(
        &mut self, now: Micros, id: RequestId, worker_slot: usize, cold: bool, times: (f64, f64),
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let function = &mut self.functions[request.function];
        function.queued.retain(|&queued| queued != id);
        let copy = function.copies.entry(worker_slot).or_default();
        (copy.our_inflight, copy.reserved) = (copy.our_inflight + 1, false);
        copy.cold_sends += u32::from(cold);
        self.inflight_loads += u32::from(cold);
        let (expected_time, overdue_after) = times;
        request.attempts.push(Attempt {
            worker: worker_slot,
            sent_at: now,
            expected_time,
            overdue_after,
            open: true,
            may_have_run: true,
            cold,
            our_inflight_then: copy.our_inflight,
            cancelled: false,
        });
        request.probing = None;
        self.workers[worker_slot].functions.insert(request.function);
        self.workers[worker_slot].attempts.insert((now, id, request.attempts.len() - 1));
    }

    /// All workers in the function's preference order, highest score first. Ranks them anew at each call:
    /// [`Controller::preferred_workers`] is cheaper.
    pub(crate) fn rank_all_workers(&self, function_slot: usize, score: ScoreFn) -> Vec<usize> {
        let (id, workers) = (self.functions[function_slot].id, &self.workers);
        let mut order: Vec<usize> = (0..workers.len()).collect();
        order.sort_by_cached_key(|&worker_slot| {
            std::cmp::Reverse(score(id, &workers[worker_slot].entry.worker))
        });
        order
    }

    /// Head of the function's preference order, behind the `skipped` workers: [`MIN_PREFERRED`] workers, or
    /// at least twice as many as it has copies. The head is cached, and updated as workers are added, so that
    /// the cost per function does not grow with the fleet and a change of the list costs one score per
    /// function.
    pub(crate) fn preferred_workers(
        &mut self, function_slot: usize, skipped: usize, score: ScoreFn,
    ) -> Vec<usize> {
        self.set_skipped(function_slot, skipped, score);
        let function = &self.functions[function_slot];
        if function.preferred.is_empty() || 2 * function.copies.len() > function.preferred_limit {
            let limit = MIN_PREFERRED.max((2 * function.copies.len()).next_power_of_two());
            let preferred = self.rank_workers(function_slot, skipped, limit, score);
            let function = &mut self.functions[function_slot];
            (function.preferred, function.preferred_limit) = (preferred, limit);
        }
        self.functions[function_slot].preferred.iter().map(|p| p.worker as usize).collect()
    }

    /// Sets how many workers at the head of the preference order are left to other front ends. If the number
    /// changes, forgets the copies at workers that are no longer preferred: they are the other front ends'
    /// concern.
    pub(crate) fn set_skipped(&mut self, function_slot: usize, skipped: usize, score: ScoreFn) {
        if self.functions[function_slot].skipped == skipped {
            return;
        }
        let preferred = self.rank_workers(function_slot, skipped, MIN_PREFERRED, score);
        let ours: BTreeSet<usize> = preferred.iter().map(|p| p.worker as usize).collect();
        let function = &mut self.functions[function_slot];
        (function.preferred, function.preferred_limit, function.skipped) =
            (preferred, MIN_PREFERRED, skipped);
        for (worker_slot, copy) in &mut function.copies {
            if !ours.contains(worker_slot) {
                (copy.count, copy.expires_at) = (0, 0);
            }
        }
        let workers = &mut self.workers;
        function.copies.retain(|worker_slot, copy| {
            let stays = ours.contains(worker_slot) || copy.in_use();
            if !stays {
                workers[*worker_slot].functions.remove(&function_slot);
            }
            stays
        });
    }

    /// Ranks the workers for a function and returns the first `limit` of them behind the `skipped` ones.
    fn rank_workers(
        &self, function_slot: usize, skipped: usize, limit: usize, score: ScoreFn,
    ) -> Vec<PreferredWorker> {
        let id = self.functions[function_slot].id;
        let scored = |(worker_slot, worker): (usize, &Worker)| PreferredWorker {
            score: score(id, &worker.entry.worker),
            worker: worker_slot as u32,
        };
        let mut order: Vec<PreferredWorker> = self.workers.iter().enumerate().map(scored).collect();
        let end = skipped + limit;
        if order.len() > end {
            order.select_nth_unstable_by_key(end, PreferredWorker::rank);
            order.truncate(end);
        }
        order.sort_unstable_by_key(PreferredWorker::rank);
        order.drain(..skipped.min(order.len()));
        order.shrink_to_fit();
        order
    }

    /// Marks a request as done and cancels its attempts in flight. Its record is removed once none is left.
    pub(crate) fn close_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.done = true;
        self.functions[request.function].queued.retain(|&queued| queued != id);
        for (n, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.open && self.settings.may_cancel && !attempt.cancelled {
                attempt.cancelled = true;
                out.push(Action::Cancel { id, attempt: n });
            }
        }
        if !request.attempts.iter().any(|a| a.open) {
            self.requests.remove(&id);
        }
    }

    /// Queues a request until it can be placed.
    pub(crate) fn enqueue(&mut self, function_slot: usize, id: RequestId) {
        if !self.functions[function_slot].queued.contains(&id) {
            self.functions[function_slot].queued.push_back(id);
            self.functions_with_queue.insert(function_slot);
        }
    }

    /// Queued requests of one function, or of all.
    pub(crate) fn queued(&mut self, only: Option<usize>) -> Vec<RequestId> {
        let functions = &self.functions;
        self.functions_with_queue.retain(|&function_slot| !functions[function_slot].queued.is_empty());
        let selected = self
            .functions_with_queue
            .iter()
            .filter(|&&function_slot| only.is_none_or(|o| o == function_slot));
        selected.flat_map(|&function_slot| functions[function_slot].queued.iter().copied()).collect()
    }

    /// Number of ready workers assumed to have the function loaded, and our requests in flight for it.
    pub(crate) fn copies_and_inflight(&self, function: &Function, now: Micros) -> (usize, f64) {
        let warm = |(worker_slot, copy): &(&usize, &CopyRecord)| {
            copy.warm(now) && self.workers[**worker_slot].ready()
        };
        let inflight = function.copies.values().map(|copy| copy.our_inflight).sum::<u32>();
        (function.copies.iter().filter(warm).count(), f64::from(inflight))
    }
}
