//! Replication: which copies of functions are assumed to be loaded, queried, loaded, renewed and unloaded.
//!
//! The algorithm is that of the paper on adaptive replication in loss networks. A real loss is a request that
//! finds no free copy. A virtual loss is drawn at random when a request arrives. Either adds a copy of the
//! function, where possible in place of an idle copy of the least recently lost (LRL) function: the one whose
//! last loss is longest ago.
use crate::control::{DEFAULT_TIME, MS, RESPONSE_MARGIN, SEC};
use crate::fleet_stats::MAX_RATE_SPAN;
use crate::health::{FULL_BACKOFF, MEAN_WEIGHT, SLOW_RATIO};
use crate::interface::*;
use crate::placement::FEW_FRONT_ENDS;
use crate::state::*;

/// Workers at the head of the common preference order that get copy queries: other front ends loaded there
/// too.
const QUERIED_WORKERS: usize = 6;
/// A lost request waits this long for replies to copy queries, in microseconds: several round trips.
const QUERY_WAIT: Micros = 60 * MS;
/// Shortest interval between copy queries for a function at a worker, in microseconds. Loads by other front
/// ends take a good part of it.
const QUERY_INTERVAL: Micros = 4 * SEC;
/// Query tokens that each call earns.
pub(crate) const QUERY_TOKENS_PER_CALL: f64 = 0.5;
/// Most query tokens that are saved up: a round of queries for some tens of functions.
pub(crate) const MAX_QUERY_TOKENS: f64 = 600.0;
/// Most load tokens that are saved up, and that one call earns.
pub(crate) const MAX_LOAD_TOKENS: f64 = 8.0;
/// Fraction of a call's worth that its load commands may cost.
pub(crate) const MAX_LOAD_COST: f64 = 0.01;
/// Highest cost of a copy query, as a fraction of a call's worth, at which queries are sent: a hundred front
/// ends send a hundred queries. Above it the call itself goes to the head of the common preference order.
pub(crate) const MAX_QUERY_COST: f64 = 0.01;
/// Fraction of the keep-alive for which a copy is assumed to stay loaded: allows for latency and jitter.
const KEEP_ALIVE_USED: f64 = 0.9;
/// Calls per copy and keep-alive, over all front ends, beyond which a copy is assumed to stay loaded for
/// longer than one keep-alive.
const CALLS_PER_COPY_TO_EXTEND: f64 = 4.0;
/// Most keep-alives for which calls of other front ends are trusted to keep a copy loaded.
const MAX_LIFETIME_FACTOR: f64 = 4.0;
/// The last copy is renewed when the rest of its lifetime is shorter than one keep-alive less this fraction
/// of it, so that the load command arrives in time.
const RENEW_AT: f64 = 0.75;
/// The last copy is renewed for this many keep-alives after a call: functions called by timers are called
/// that often.
const RENEW_FOR_KEEP_ALIVES: f64 = 2.0;
/// Most load commands of ours in flight to one worker: it runs few loads at a time, and other front ends send
/// some.
const LOADS_PER_WORKER: u32 = 2;
/// Lower bound of the adaptive cap on our loads in flight.
pub(crate) const MIN_LOAD_CAP: f64 = 1.0;
/// Upper bound of the adaptive cap on our loads in flight.
pub(crate) const MAX_LOAD_CAP: f64 = 8.0;
/// A load that takes this multiple of its usual time shows that the store is overloaded.
pub(crate) const SLOW_LOAD_RATIO: f64 = 2.0;
/// A load command that took less time found the copy already loaded, in microseconds.
const SHORTEST_LOAD: f64 = 20.0 * MS as f64;
/// Added to the load cap after a load that took its usual time.
const LOAD_CAP_INCREASE: f64 = 0.25;
/// The load cap is multiplied by this after a slow load.
const LOAD_CAP_DECREASE: f64 = 0.7;
/// Copies beyond the first for each call in flight: a call takes one core.
const COPIES_PER_CALL: f64 = 1.0;
/// All front ends use the same copies of a function if together they need at most this many.
const MAX_SHARED_COPIES: f64 = 16.0;
/// Beyond [`MAX_SHARED_COPIES`] a front end uses this many times its equal share of the copies, and
/// [`QUERIED_WORKERS`] more.
const SHARE_FACTOR: f64 = 2.0;
/// Most copies of one function at a worker that a load command asks for.
const MAX_COPIES_AT_WORKER: u32 = 16;
/// Fraction of a worker's memory that may be used by our account before copies are unloaded to make room.
const MAX_MEMORY_FRACTION: f64 = 0.65;

impl Controller {
    /// How long an idle copy is assumed to stay loaded after its last use.
    pub(crate) fn keep_alive(&self) -> Micros {
        let keep_alive =
            if self.settings.keep_alive > 0 { self.settings.keep_alive } else { 5 * DEFAULT_TIME };
        (keep_alive as f64 * KEEP_ALIVE_USED) as Micros
    }

    /// Calls of a function by all front ends in a span of time, if each makes as many as this one.
    pub(crate) fn fleet_calls(&self, function_slot: usize, span: f64) -> f64 {
        let rate = (self.functions[function_slot].recent_calls - 1.0).max(0.0) / MAX_RATE_SPAN as f64;
        rate * span * f64::from(self.settings.front_ends.max(1))
    }

    /// This front end's share of the copies of a function that all front ends need: the number of workers at
    /// the head of its preference order that are left to others, and the number of copies. Keeps the front
    /// ends from all sending to the first workers of a function that each of them calls.
    pub(crate) fn our_share(&self, function_slot: usize) -> (usize, f64) {
        let all =
            COPIES_PER_CALL * self.fleet_calls(function_slot, self.functions[function_slot].service_time);
        let front_ends = self.settings.front_ends.max(1);
        if front_ends <= FEW_FRONT_ENDS || all <= MAX_SHARED_COPIES {
            return (0, all);
        }
        // In powers of two, because the estimate fluctuates.
        let spread = (all as usize).next_power_of_two().min(self.workers.len());
        let skipped = (self.settings.index % front_ends) as usize * spread / front_ends as usize;
        (skipped, all.min(QUERIED_WORKERS as f64 + SHARE_FACTOR * all / f64::from(front_ends)))
    }

    /// How long a copy is assumed to stay loaded after evidence that it is: the keep-alive, or longer if the
    /// calls of several front ends reach each copy several times within it, because each call restarts its
    /// idle time.
    pub(crate) fn copy_lifetime(&self, function_slot: usize) -> Micros {
        let keep_alive = self.keep_alive() as f64;
        let copies =
            self.functions[function_slot].copies.values().filter(|copy| copy.count > 0).count().max(1) as f64;
        let calls_per_copy = if self.settings.front_ends > 1 {
            self.fleet_calls(function_slot, keep_alive) / copies
        } else {
            0.0
        };
        (keep_alive * (calls_per_copy / CALLS_PER_COPY_TO_EXTEND).clamp(1.0, MAX_LIFETIME_FACTOR)) as Micros
    }

    /// Draws whether a request counts as a virtual loss. With D warm copies, lambda requests in flight, Z
    /// free copies and z* = (D - lambda) / theta, the probability is (min z* / z*) q(Z) if Z <= z*, and 0
    /// otherwise. Here q(Z) is the product of (lambda + i theta) / (D - i + 1) over i = 1..Z, and the minimum
    /// is that over all functions. Virtual losses occur only while theta >= 1, D > 0 and z* >= 1.
    pub(crate) fn virtual_loss(&mut self, function_slot: usize, now: Micros) -> bool {
        let theta = theta(self.busy_fraction, self.copies_per_worker);
        let (copies, inflight) = self.copies_and_inflight(&self.functions[function_slot], now);
        let z_star = (copies as f64 - inflight) / theta;
        if theta < 1.0 || copies == 0 || z_star < 1.0 {
            return false;
        }
        let min_z_star = self.min_z_star.min(z_star);
        let free = self.free_workers(function_slot, now).len();
        let chance = virtual_loss_chance(copies, free, inflight, theta, z_star, min_z_star);
        (self.random() as f64) < chance * 2f64.powi(32)
    }

    /// Sends copy queries to the first workers of the preference order, so that a copy that another front end
    /// has loaded is used instead of loading one more. A single front end queries all workers. Returns
    /// whether replies are awaited.
    pub(crate) fn query_copies(&mut self, function_slot: usize, now: Micros, out: &mut Vec<Action>) -> bool {
        let limit = if self.settings.front_ends > 1 { QUERIED_WORKERS } else { usize::MAX };
        let order = if limit == QUERIED_WORKERS {
            self.preferred_workers(function_slot, self.our_share(function_slot).0, rendezvous_score)
        } else {
            self.rank_all_workers(function_slot, rendezvous_score)
        };
        let may_query = |&worker_slot: &usize| {
            self.settings.may_command && self.workers[worker_slot].ready() && !self.is_suspect(worker_slot)
        };
        let queried: Vec<usize> = order.into_iter().filter(may_query).take(limit).collect();
        let mut awaited = false;
        for worker_slot in queried {
            let tokens_left = self.query_tokens >= 1.0;
            let copy = self.copy_record(function_slot, worker_slot);
            if let Some(Command::Query(sent_at)) = copy.command {
                awaited |= now < sent_at + QUERY_WAIT;
            } else if tokens_left
                && copy.command.is_none()
                && !copy.warm(now)
                && copy.queried_at.is_none_or(|queried_at| now >= queried_at + QUERY_INTERVAL)
            {
                (copy.command, copy.queried_at) = (Some(Command::Query(now)), Some(now));
                self.query_tokens -= 1.0;
                out.push(self.load_action(function_slot, worker_slot, 0));
                awaited = true;
            }
        }
        awaited
    }

    /// Whether no further load command may be sent now: the settings limit them per window, and each costs a
    /// load token. With `reserve` half of both is left for real losses.
    pub(crate) fn load_limit_reached(&mut self, now: Micros, reserve: bool) -> bool {
        let window = self.settings.load_window;
        let no_tokens = self.load_tokens < if reserve { MAX_LOAD_TOKENS / 2.0 } else { 1.0 };
        if no_tokens || window == 0 {
            return no_tokens;
        }
        while self.load_command_times.front().is_some_and(|&t| t + window + RESPONSE_MARGIN < now) {
            self.load_command_times.pop_front();
        }
        let in_window = |&&t: &&Micros| t + window > now + RESPONSE_MARGIN;
        let requests = self.request_times.iter().rev().take_while(in_window).count();
        let allowed = self.settings.free_loads + self.settings.loads_per_request * requests as f64;
        (self.load_command_times.len() + 1) as f64 > if reserve { allowed / 2.0 } else { allowed }
    }

    /// Loads one more copy after a loss: a real one of the request `lost`, or a virtual one. Does nothing if
    /// our loads in flight are at their cap, if load commands are at their limit, or if a load of the
    /// function is already in flight and no request is queued for it. Returns whether a load command was
    /// sent.
    pub(crate) fn add_copy(
        &mut self, function_slot: usize, now: Micros, lost: Option<RequestId>, out: &mut Vec<Action>,
    ) -> bool {
        let virtual_loss = lost.is_none();
        let cap = if virtual_loss { self.load_cap / 2.0 } else { self.load_cap };
        let function = &self.functions[function_slot];
        let pending = function.copies.values().any(|copy| copy.load_pending() || copy.cold_sends > 0);
        // Exception with several front ends: each of them responds to the same losses, and together they
        // would unload each other's copies. So the calls in flight limit the number of known copies.
        let known = self.copies_and_inflight(function, now).0 as f64;
        let enough = self.settings.front_ends > 1 && known >= 1.0 + self.our_share(function_slot).1.round();
        let at_limit = f64::from(self.inflight_loads) + 1.0 > cap || enough;
        if !self.settings.may_command
            || at_limit
            || (pending && function.queued.is_empty())
            || self.load_limit_reached(now, virtual_loss)
        {
            return false;
        }
        let Some(worker_slot) = self.choose_load_target(function_slot, now, lost) else { return false };
        if !self.leased(worker_slot, now) {
            if !virtual_loss {
                self.probe(worker_slot, now, out); // the next loss can use the result
            }
            return false;
        }
        self.make_room(function_slot, worker_slot, now, out);
        let copy = self.copy_record(function_slot, worker_slot);
        let count = if copy.warm(now) { (copy.count + 1).min(MAX_COPIES_AT_WORKER) } else { 1 };
        self.send_load(function_slot, worker_slot, count, now, out);
        true
    }

    /// Chooses the worker for a new copy: a random one with an idle copy of the least recently lost function,
    /// else any. An idle copy is chosen once only. Until its function is used again it is passed over, as if
    /// it had been evicted.
    pub(crate) fn choose_load_target(
        &mut self, function_slot: usize, now: Micros, id: Option<RequestId>,
    ) -> Option<usize> {
        let class = self.functions[function_slot].class;
        let preferred =
            self.preferred_workers(function_slot, self.our_share(function_slot).0, rendezvous_score);
        let fits = |worker_slot: usize, warm_too: bool| {
            let worker = &self.workers[worker_slot];
            let copy = self.functions[function_slot].copies.get(&worker_slot);
            let here = copy.is_some_and(|copy| copy.load_pending() || copy.warm(now) && !warm_too);
            self.usable(worker_slot, class, now)
                && !(self.is_suspect(worker_slot) || here)
                && (warm_too || !self.is_crowded(worker_slot, now))
                && worker.inflight_loads < LOADS_PER_WORKER
                && now >= worker.no_loads_until
                && id.is_none_or(|id| self.may_receive(id, worker_slot, now))
        };
        let idle = |copy: &CopyRecord| copy.warm(now) && copy.our_inflight == 0;
        // Exception with several front ends: all of them follow the same preference order, which depends on
        // identifiers alone, and take the first worker with room or with an idle copy of a function lost less
        // recently.
        if self.settings.front_ends > 1 {
            let last_loss = self.functions[function_slot].last_loss;
            let replaceable = |function: &Function, worker_slot: usize| {
                function.last_loss < last_loss && function.copies.get(&worker_slot).is_some_and(idle)
            };
            let has_replaceable = |worker_slot: usize| {
                self.workers[worker_slot]
                    .functions
                    .iter()
                    .any(|&other| replaceable(&self.functions[other], worker_slot))
            };
            let choose = |order: &[usize], warm_too| {
                let fitting = || order.iter().copied().filter(|&worker_slot| fits(worker_slot, warm_too));
                fitting()
                    .find(|&worker_slot| {
                        self.memory_room(function_slot, worker_slot, now) >= 0.0
                            || has_replaceable(worker_slot)
                    })
                    .or_else(|| fitting().next())
            };
            return choose(&preferred, false).or_else(|| {
                let all = self.rank_all_workers(function_slot, rendezvous_score);
                choose(&all, false).or_else(|| choose(&all, true))
            });
        }
        let order = self.rank_all_workers(function_slot, rendezvous_score);
        let fitting = |warm_too| {
            order.iter().copied().filter(|&worker_slot| fits(worker_slot, warm_too)).collect::<Vec<_>>()
        };
        let fitting =
            Some(fitting(false)).filter(|workers| !workers.is_empty()).unwrap_or_else(|| fitting(true));
        let fitting = self.prefer_leased(fitting, now);
        let mut others: Vec<usize> =
            (0..self.functions.len()).filter(|&other| other != function_slot).collect();
        others.sort_by_key(|&other| self.functions[other].last_loss);
        for other in others {
            let copies = &self.functions[other].copies;
            let replaceable = |worker_slot: &&usize| {
                copies.get(worker_slot).is_some_and(|copy| idle(copy) && !copy.reserved)
            };
            let choices: Vec<usize> = fitting.iter().filter(replaceable).copied().collect();
            if let Some(worker_slot) = self.pick_random(&choices) {
                if let Some(copy) = self.functions[other].copies.get_mut(&worker_slot) {
                    copy.reserved = true;
                }
                return Some(worker_slot);
            }
        }
        self.pick_random(&fitting)
    }

    /// Memory in MB that remains at a worker after one more copy, by our own account; negative if it is
    /// short, 0 if the worker's memory is unknown.
    pub(crate) fn memory_room(&self, function_slot: usize, worker_slot: usize, now: Micros) -> f64 {
        let machine_type = self.workers[worker_slot].entry.machine_type;
        let memory_mb = self.settings.machine_memory_mb.get(machine_type).copied().unwrap_or(0.0);
        let used = self.memory_used(worker_slot, now) + self.functions[function_slot].memory_mb;
        if memory_mb > 0.0 {
            memory_mb * MAX_MEMORY_FRACTION - used
        } else {
            0.0
        }
    }

    /// Unloads idle copies of the least recently lost functions at a worker while its memory is short by our
    /// own account.
    pub(crate) fn make_room(
        &mut self, function_slot: usize, worker_slot: usize, now: Micros, out: &mut Vec<Action>,
    ) {
        let mut room = self.memory_room(function_slot, worker_slot, now);
        let mut others: Vec<usize> = self.workers[worker_slot]
            .functions
            .iter()
            .copied()
            .filter(|&other| other != function_slot)
            .collect();
        others.sort_by_key(|&other| self.functions[other].last_loss);
        for other in others {
            if room >= 0.0 {
                return;
            }
            let function = &mut self.functions[other];
            let Some(copy) = function.copies.get_mut(&worker_slot) else { continue };
            if copy.warm(now) && copy.our_inflight == 0 && copy.command.is_none() {
                room += function.memory_mb * f64::from(copy.count);
                copy.count = 0;
                let worker = self.workers[worker_slot].entry.worker.clone();
                out.push(Action::Unload { worker, function: function.id });
            }
        }
    }

    /// Renews the last copy of each function still in use, so that its next call finds it loaded.
    pub(crate) fn renew_last_copies(&mut self, now: Micros, out: &mut Vec<Action>) {
        let keep_alive = self.keep_alive();
        for function_slot in 0..self.functions.len() {
            let function = &self.functions[function_slot];
            let in_use = now <= function.last_call + (keep_alive as f64 * RENEW_FOR_KEEP_ALIVES) as Micros;
            if !in_use || !self.settings.may_command {
                continue;
            }
            let warm = |&(&worker_slot, copy): &(&usize, &CopyRecord)| {
                copy.warm(now) && self.workers[worker_slot].ready() && !self.workers[worker_slot].disconnected
            };
            let last = function.copies.iter().filter(warm).max_by_key(|(_, copy)| copy.expires_at);
            let Some((&worker_slot, copy)) = last else { continue };
            if copy.our_inflight == 0
                && copy.command.is_none()
                && copy.expires_at < now + (keep_alive as f64 * (1.0 - RENEW_AT)) as Micros
                && !self.suspended(worker_slot, now)
                && !self.load_limit_reached(now, true)
            {
                if !self.leased(worker_slot, now) {
                    self.probe(worker_slot, now, out); // the next refresh can use the result
                    continue;
                }
                self.send_load(function_slot, worker_slot, 1, now, out);
            }
        }
    }

    /// Handles the reply to a load command or a copy query: the number of copies, the outcome, and the time
    /// since it was sent. Slow and failed loads lower the cap on loads in flight, to protect the store that
    /// workers load from.
    pub(crate) fn on_loaded(
        &mut self, now: Micros, worker_slot: usize, function_slot: usize, reply: (u32, Outcome, Micros),
        out: &mut Vec<Action>,
    ) {
        let (count, outcome, elapsed) = reply;
        let lifetime = self.copy_lifetime(function_slot);
        let until = now + lifetime;
        let Some(copy) = self.functions[function_slot].copies.get_mut(&worker_slot) else { return };
        let Some(command) = copy.command.take() else { return };
        let (Command::Query(sent_at) | Command::Load(sent_at)) = command;
        let was_loaded = copy.count > 0;
        let ready = self.workers[worker_slot].ready();
        let before_restart = sent_at < self.workers[worker_slot].entry.started_at;
        // The worker replies again, but without its copies: a new process that no list update has reported
        // yet.
        let emptied = was_loaded
            && count == 0
            && self.workers[worker_slot].copies_unconfirmed()
            && outcome == Outcome::Ok;
        match outcome {
            Outcome::Ok | Outcome::Rejected | Outcome::Error if ready && !before_restart => {
                copy.count = count;
                // A query does not restart the idle time, so what it finds may soon be unloaded.
                let expires_at = if matches!(command, Command::Load(_)) { until } else { now + lifetime / 2 };
                copy.confirmed_at = expires_at.saturating_sub(lifetime);
                copy.expires_at = if count > 0 { copy.expires_at.max(expires_at) } else { 0 };
                self.workers[worker_slot].reconnected(SLOW_RATIO);
            }
            Outcome::ConnectFailed => self.mark_disconnected(worker_slot, now),
            Outcome::Reset => self.suspect_restart(worker_slot, now),
            _ => {}
        }
        if emptied {
            self.forget_copies(worker_slot);
            if self.discovery_lost() {
                self.workers[worker_slot].unreachable_since.get_or_insert(now);
            }
        }
        if matches!(command, Command::Load(_)) && ready {
            match outcome {
                Outcome::Ok => self.confirm_ready(worker_slot, sent_at),
                Outcome::Rejected => self.workers[worker_slot].lease.refute(sent_at),
                _ => {}
            }
        }
        if let Command::Load(_) = command {
            self.inflight_loads -= 1;
            self.workers[worker_slot].inflight_loads -= 1;
            let function = &mut self.functions[function_slot];
            let took = elapsed as f64;
            if outcome == Outcome::Ok && !was_loaded && took > SHORTEST_LOAD {
                let usual = if function.load_time > 0.0 { function.load_time } else { took };
                let slow = took > SLOW_LOAD_RATIO * usual;
                self.load_cap =
                    if slow { self.load_cap * LOAD_CAP_DECREASE } else { self.load_cap + LOAD_CAP_INCREASE };
                function.load_time = if slow { usual } else { usual + MEAN_WEIGHT * (took - usual) };
            } else if outcome == Outcome::Timeout || outcome == Outcome::Error && function.ever_served {
                // If the function has never been served, the error may lie with the function, not with the
                // store.
                self.load_cap /= 2.0;
            } else if outcome == Outcome::Rejected {
                self.workers[worker_slot].no_loads_until = now + FULL_BACKOFF;
            }
            self.load_cap = self.load_cap.clamp(MIN_LOAD_CAP, MAX_LOAD_CAP);
        }
        self.place_queued(Some(function_slot), now, out);
    }
}

/// Rendezvous hash score of a worker for a function: a preference order that looks random and is the same at
/// every front end.
pub(crate) fn rendezvous_score(function: FunctionId, worker: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = worker.bytes().fold(function ^ 0xcbf2_9ce4_8422_2325, mix);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (hash >> 32)
}

/// The algorithm's effective theta, from the busy fraction and the number of copies that fit into a worker's
/// memory. The busy fraction is clamped to keep theta finite and positive.
pub(crate) fn theta(busy_fraction: f64, copies_per_worker: f64) -> f64 {
    let rho = busy_fraction.clamp(0.05, 0.95);
    rho / (1.0 - rho) * (copies_per_worker - 1.0).max(0.0) / copies_per_worker.max(1.0)
}

/// The probability of a virtual loss with `copies` warm copies (D), `free` of them free (Z), and `inflight`
/// requests in flight (lambda). `min_z_star` is the smallest `z_star` of all functions.
pub(crate) fn virtual_loss_chance(
    copies: usize, free: usize, inflight: f64, theta: f64, z_star: f64, min_z_star: f64,
) -> f64 {
    if free as f64 > z_star {
        return 0.0;
    }
    let term = |i: usize| (inflight + i as f64 * theta) / (copies as f64 - i as f64 + 1.0);
    ((1..=free).map(term).product::<f64>() * min_z_star / z_star).min(1.0)
}
