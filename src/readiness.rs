//! Readiness leases: how long a worker is assumed to be ready while discovery is lost.
//!
//! While discovery is current, the worker list decides. While it is lost, each worker's readiness is a lease
//! on the front end's clock. The lease runs from the latest time at which the worker is known to have
//! accepted work: a served call, an executed load command and a successful probe each confirm the time at
//! which they were sent. It lasts for the drain grace of the settings. A drain that the front end cannot know
//! of began after the lease did, so whatever is sent under the lease is sent within the grace. A worker whose
//! lease has expired is probed before anything new is sent to it.
//!
//! After an outage, discovery may tell slowly what was missed, and nothing shows when it has told all of it.
//! So a worker that is known to have rejected work goes on needing a lease until it accepts some, or is
//! listed anew.
use crate::control::MS;
use crate::interface::{Action, DiscoveryState, Event, Micros, Outcome, RequestId};
use crate::state::Controller;

/// Part of the grace that is kept for the time from a decision to its first byte on the wire, in
/// microseconds; at most a quarter of the grace.
const LEASE_MARGIN: Micros = 100 * MS;
/// A lease that ends sooner than this is not used, in microseconds: what is sent under it would be late.
const MIN_LEASE_LEFT: Micros = 20 * MS;
/// A request waits this long for the probe of one worker before another worker is probed for it, in
/// microseconds: several round trips.
const PROBE_WAIT: Micros = 60 * MS;
/// First suspension of a worker that accepted no work, or did not reply, when it was probed, in microseconds;
/// doubled each time.
const MIN_SUSPENSION: Micros = 200 * MS;
/// Longest suspension, in microseconds.
const MAX_SUSPENSION: Micros = 5_000 * MS;

/// What is known of discovery.
#[derive(Default)]
pub(crate) struct Discovery {
    /// Whether the front end reports the state of discovery. If not, the worker list counts as always
    /// current.
    reported: bool,
    lost: bool,
}

/// What is known of one worker's readiness beside the worker list.
#[derive(Default)]
pub(crate) struct Lease {
    /// Latest time at which the worker is known to have accepted work.
    confirmed_at: Micros,
    /// Latest time at which it is known to have rejected work.
    refuted_at: Micros,
    /// When the probe in flight was sent.
    probe_sent_at: Option<Micros>,
    /// While it needs a lease, nothing is sent to the worker before this.
    suspended_until: Micros,
    /// Length of the last suspension; 0 once a probe has succeeded.
    suspension: Micros,
    /// Whether it rejected work during an outage and has accepted none since.
    unproven: bool,
}

impl Lease {
    /// The lease of a worker that has just been listed as ready.
    pub(crate) fn new(now: Micros) -> Self {
        Lease { confirmed_at: now, ..Lease::default() }
    }

    pub(crate) fn confirm(&mut self, at: Micros) {
        self.confirmed_at = self.confirmed_at.max(at);
        self.unproven &= !self.is_confirmed();
    }

    pub(crate) fn refute(&mut self, at: Micros) {
        self.refuted_at = self.refuted_at.max(at);
    }

    /// Whether the worker has rejected no work since it last accepted some.
    fn is_confirmed(&self) -> bool {
        self.confirmed_at > self.refuted_at
    }

    /// When a lease of the given duration ends.
    fn end(&self, duration: Micros) -> Micros {
        if self.is_confirmed() {
            self.confirmed_at + duration
        } else {
            0
        }
    }

    fn suspend(&mut self, now: Micros) {
        self.suspension = (2 * self.suspension).clamp(MIN_SUSPENSION, MAX_SUSPENSION);
        self.suspended_until = now + self.suspension;
    }
}

impl Controller {
    /// Handles a report of the state of discovery.
    pub(crate) fn on_discovery(&mut self, now: Micros, state: DiscoveryState) {
        self.discovery.reported = true;
        match state {
            DiscoveryState::Current => self.regain_discovery(),
            DiscoveryState::Lost => self.lose_discovery(now),
        }
    }

    /// The list decides again, but for workers that are known to have rejected work. Without probes these
    /// could not prove to be ready.
    fn regain_discovery(&mut self) {
        if std::mem::take(&mut self.discovery.lost) && self.settings.may_probe {
            let leases = self.workers.iter_mut().map(|worker| &mut worker.lease);
            leases.for_each(|lease| lease.unproven = !lease.is_confirmed());
        }
    }

    /// Handles a stall of this front end since the given time. Updates of discovery may wait unread, so until
    /// it reports again the list is only known to have been current before the stall.
    pub(crate) fn on_stall(&mut self, since: Micros) {
        if self.discovery.reported {
            self.lose_discovery(since);
        }
    }

    /// The list was current until `at`, and is not any more.
    fn lose_discovery(&mut self, at: Micros) {
        if !std::mem::replace(&mut self.discovery.lost, true) {
            let leases = self.workers.iter_mut().map(|worker| &mut worker.lease);
            leases.filter(|lease| !lease.unproven).for_each(|lease| lease.confirm(at));
        }
    }

    pub(crate) fn discovery_lost(&self) -> bool {
        self.discovery.lost
    }

    /// Whether a worker needs a lease: the list alone does not tell that it is ready.
    fn needs_lease(&self, worker_slot: usize) -> bool {
        self.discovery.lost || self.workers[worker_slot].lease.unproven
    }

    /// Until when something new may be sent to a worker, as far as is known now: 0 if the worker has rejected
    /// work since it last accepted some, and `None` if it needs no lease.
    pub(crate) fn lease_end(&self, worker_slot: usize) -> Option<Micros> {
        let grace = self.settings.drain_grace;
        let duration = grace - LEASE_MARGIN.min(grace / 4);
        self.needs_lease(worker_slot).then(|| self.workers[worker_slot].lease.end(duration))
    }

    /// Until when something new may be sent to a worker, for the code that carries out actions. A time in the
    /// past if nothing may be sent; `None` if the worker needs no lease or is unknown.
    pub fn worker_lease_end(&self, worker: &str) -> Option<Micros> {
        self.worker_slots.get(worker).and_then(|&worker_slot| self.lease_end(worker_slot))
    }

    /// Whether something new may be sent to a worker now.
    pub(crate) fn leased(&self, worker_slot: usize, now: Micros) -> bool {
        self.lease_end(worker_slot).is_none_or(|end| now + MIN_LEASE_LEFT < end)
    }

    /// Whether a worker is not chosen because it accepted no work, or did not reply, when it was last probed.
    pub(crate) fn suspended(&self, worker_slot: usize, now: Micros) -> bool {
        self.needs_lease(worker_slot) && now < self.workers[worker_slot].lease.suspended_until
    }

    /// Those of the workers that something may be sent to now; all of them if there is none.
    pub(crate) fn prefer_leased(&self, mut workers: Vec<usize>, now: Micros) -> Vec<usize> {
        if workers.iter().any(|&worker_slot| self.leased(worker_slot, now)) {
            workers.retain(|&worker_slot| self.leased(worker_slot, now));
        }
        workers
    }

    /// Probes a worker, unless a probe is in flight.
    pub(crate) fn probe(&mut self, worker_slot: usize, now: Micros, out: &mut Vec<Action>) {
        let worker = &mut self.workers[worker_slot];
        if self.settings.may_probe && worker.lease.probe_sent_at.is_none() {
            worker.lease.probe_sent_at = Some(now);
            out.push(Action::Probe { worker: worker.entry.worker.clone() });
        }
    }

    /// Whether a request may be sent to a worker now. If not, the worker is probed and the request queued
    /// until then.
    pub(crate) fn ensure_ready(
        &mut self, now: Micros, id: RequestId, worker_slot: usize, out: &mut Vec<Action>,
    ) -> bool {
        if self.leased(worker_slot, now) {
            return true;
        }
        self.probe(worker_slot, now, out);
        if let Some(request) = self.requests.get_mut(&id) {
            request.probing = Some((worker_slot, now));
            let function_slot = request.function;
            self.enqueue(function_slot, id);
        }
        false
    }

    /// Those of the workers among which a request may choose. After a probe for it, only the probed worker if
    /// it is ready; a random choice would favour workers that were confirmed for other requests. `None` while
    /// the result of the probe may still arrive soon.
    pub(crate) fn choices_after_probe(
        &self, id: RequestId, workers: Vec<usize>, now: Micros,
    ) -> Option<Vec<usize>> {
        let Some((probed, since)) = self.requests.get(&id).and_then(|request| request.probing) else {
            return Some(workers);
        };
        if !workers.contains(&probed) {
            return Some(self.prefer_leased(workers, now));
        }
        if self.leased(probed, now) {
            return Some(vec![probed]);
        }
        let awaited = self.workers[probed].lease.probe_sent_at.is_some() && now < since + PROBE_WAIT;
        (!awaited).then(|| self.prefer_leased(workers, now))
    }

    /// Handles the result of a probe.
    pub(crate) fn on_probed(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let Event::Probed { worker, outcome, inflight } = event else { return };
        let Some(&worker_slot) = self.worker_slots.get(&worker) else { return };
        let Some(sent_at) = self.workers[worker_slot].lease.probe_sent_at.take() else { return };
        if outcome == Outcome::Ok {
            self.confirm_ready(worker_slot, sent_at);
            let lease = &mut self.workers[worker_slot].lease;
            (lease.suspension, lease.suspended_until) = (0, 0);
        } else {
            let lease = &mut self.workers[worker_slot].lease;
            lease.refute(sent_at);
            lease.suspend(now);
        }
        self.record_report(worker_slot, now, inflight);
        if outcome == Outcome::ConnectFailed {
            self.mark_disconnected(worker_slot, now);
        }
        self.place_queued(None, now, out);
    }

    /// Records that a worker accepted work that was sent to it at `sent_at`. While discovery is lost, a
    /// worker that could not be reached before may be a new process whose start was not reported, so it
    /// counts as cold.
    pub(crate) fn confirm_ready(&mut self, worker_slot: usize, sent_at: Micros) {
        let worker = &mut self.workers[worker_slot];
        worker.lease.confirm(sent_at);
        if let Some(since) = worker.unreachable_since.take() {
            worker.cold_since = worker.cold_since.max(since);
            worker.cold_budget = 0.0;
        }
    }
}
