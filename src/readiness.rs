//! Readiness leases: how long a worker may be taken for ready while discovery cannot tell otherwise.
//!
//! While discovery is current the list decides. Once it is lost, readiness is a lease for each worker on the
//! front end's clock. It runs from the latest moment at which the worker is known to have taken work: a call
//! that it served and an order that it carried out prove it for the moment of their sending, a probe
//! likewise. It lasts for the grace that the drain rule gives. A drain that the front end cannot have heard of
//! began after that moment, so whatever is sent under the lease is sent within the grace. A worker whose
//! lease has run out is probed before it gets anything new.
use crate::interface::{Action, DiscoveryState, Event, Micros, Outcome, RequestId};
use crate::state::Controller;

const MS: Micros = 1_000;
/// Part of the grace that is left for the way from the decision to the first byte on the wire, at most.
const LEASE_MARGIN: Micros = 100 * MS;
/// A lease that ends sooner is not used: what is sent under it would come too late.
const LEASE_LEFT: Micros = 20 * MS;
/// A request waits this long for the probe of one worker before another is probed for it: several round
/// trips.
const PROBE_WAIT: Micros = 60 * MS;
/// A worker that does not take work, or does not answer, is left alone for this long, twice as long each
/// time, up to the second.
const PAUSE: (Micros, Micros) = (200 * MS, 5_000 * MS);

/// What is known of discovery.
#[derive(Default)]
pub(crate) struct Discovery {
    /// Whether anything is reported of it: where not, the list is told by itself and never lost.
    reported: bool,
    lost: bool,
}

/// What is known of one worker's readiness beside the list.
#[derive(Default)]
pub(crate) struct Lease {
    /// The latest moment at which it is known to have taken work.
    proven: Micros,
    /// The latest moment at which it is known to have turned work away.
    refuted: Micros,
    /// When the probe that is out was sent.
    probed: Option<Micros>,
    /// Not probed again before this, and how long the pause before it was.
    not_before: Micros,
    pause: Micros,
}

impl Lease {
    /// A worker that has just been told to be ready.
    pub(crate) fn new(now: Micros) -> Self {
        Lease { proven: now, ..Lease::default() }
    }

    pub(crate) fn confirm(&mut self, at: Micros) {
        self.proven = self.proven.max(at);
    }

    pub(crate) fn refute(&mut self, at: Micros) {
        self.refuted = self.refuted.max(at);
    }

    fn end(&self, span: Micros) -> Micros {
        if self.proven > self.refuted {
            self.proven + span
        } else {
            0
        }
    }

    fn suspend(&mut self, now: Micros) {
        self.pause = (2 * self.pause).clamp(PAUSE.0, PAUSE.1);
        self.not_before = now + self.pause;
    }
}

impl Controller {
    /// Takes over what is reported of discovery.
    pub(crate) fn on_discovery(&mut self, now: Micros, state: DiscoveryState) {
        self.discovery.reported = true;
        match state {
            DiscoveryState::Current => self.discovery.lost = false,
            DiscoveryState::Lost => self.lose_discovery(now),
        }
    }

    /// Guards against news that waits unread while the front end stood still: until discovery is heard again,
    /// the list is only as good as it was before.
    pub(crate) fn on_stall(&mut self, since: Micros) {
        if self.discovery.reported {
            self.lose_discovery(since);
        }
    }

    /// The list was current until `at`, and is not any more.
    fn lose_discovery(&mut self, at: Micros) {
        if !std::mem::replace(&mut self.discovery.lost, true) {
            self.workers.iter_mut().for_each(|worker| worker.lease.confirm(at));
        }
    }

    pub(crate) fn discovery_lost(&self) -> bool {
        self.discovery.lost
    }

    /// Until when something new may begin to go to a worker on the present knowledge; `None` while discovery
    /// is current.
    pub(crate) fn lease_end(&self, w: usize) -> Option<Micros> {
        let grace = self.settings.drain_grace;
        let span = grace - LEASE_MARGIN.min(grace / 4);
        self.discovery.lost.then(|| self.workers[w].lease.end(span))
    }

    /// The same for those who carry out what was decided.
    pub fn worker_lease_end(&self, worker: &str) -> Option<Micros> {
        self.worker_ids.get(worker).and_then(|&w| self.lease_end(w))
    }

    /// Whether something new may go to a worker at once.
    pub(crate) fn leased(&self, w: usize, now: Micros) -> bool {
        self.lease_end(w).is_none_or(|end| now + LEASE_LEFT < end)
    }

    /// Whether a worker is out of the choice because it did not take work when it was last probed.
    pub(crate) fn suspended(&self, w: usize, now: Micros) -> bool {
        self.discovery.lost && now < self.workers[w].lease.not_before
    }

    /// Of these workers those that may get something at once, if there are any.
    pub(crate) fn prefer_leased(&self, among: Vec<usize>, now: Micros) -> Vec<usize> {
        if !self.discovery.lost {
            return among;
        }
        let leased: Vec<usize> = among.iter().copied().filter(|&w| self.leased(w, now)).collect();
        if leased.is_empty() {
            among
        } else {
            leased
        }
    }

    /// Probes a worker, unless that is under way.
    pub(crate) fn probe(&mut self, w: usize, now: Micros, out: &mut Vec<Action>) {
        let worker = &mut self.workers[w];
        if self.settings.may_probe && worker.lease.probed.is_none() {
            worker.lease.probed = Some(now);
            out.push(Action::Probe { worker: worker.entry.worker.clone() });
        }
    }

    /// Whether a request may go to a worker at once. If not, the worker is probed and the request held for
    /// that.
    pub(crate) fn ensure_ready(
        &mut self, now: Micros, id: RequestId, w: usize, out: &mut Vec<Action>,
    ) -> bool {
        if self.leased(w, now) {
            return true;
        }
        self.probe(w, now, out);
        if let Some(request) = self.requests.get_mut(&id) {
            request.probing = Some((w, now));
            let f = request.function;
            self.enqueue(f, id);
        }
        false
    }

    /// Of these workers those among which a request may choose: once it has waited for a probe, the one that
    /// was probed for it if that proved ready, or its random choice would fall to the workers that others
    /// have proven. `None` while the answer may still come soon.
    pub(crate) fn choices_after_probe(
        &self, id: RequestId, among: Vec<usize>, now: Micros,
    ) -> Option<Vec<usize>> {
        let Some((w, since)) = self.requests.get(&id).and_then(|request| request.probing) else {
            return Some(among);
        };
        if !among.contains(&w) {
            return Some(self.prefer_leased(among, now));
        }
        if self.leased(w, now) {
            return Some(vec![w]);
        }
        let under_way = self.workers[w].lease.probed.is_some() && now < since + PROBE_WAIT;
        (!under_way).then(|| self.prefer_leased(among, now))
    }

    /// The answer to a probe, or its want.
    pub(crate) fn on_probed(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let Event::Probed { worker, outcome, inflight } = event else { return };
        let Some(&w) = self.worker_ids.get(&worker) else { return };
        let Some(sent) = self.workers[w].lease.probed.take() else { return };
        if outcome == Outcome::Ok {
            self.confirm_ready(w, sent);
            let lease = &mut self.workers[w].lease;
            (lease.pause, lease.not_before) = (0, 0);
        } else {
            let lease = &mut self.workers[w].lease;
            lease.refute(sent);
            lease.suspend(now);
        }
        self.record_report(w, now, inflight);
        if outcome == Outcome::ConnectFailed {
            self.mark_disconnected(w, now);
        }
        self.place_queued(None, now, out);
    }

    /// A worker is known to have taken work that was sent to it at `sent`. Without discovery, one that could
    /// not be reached before may be a new process, of whose start nobody tells: it counts as cold.
    pub(crate) fn confirm_ready(&mut self, w: usize, sent: Micros) {
        let worker = &mut self.workers[w];
        worker.lease.confirm(sent);
        if let Some(since) = worker.unreachable_since.take() {
            worker.cold_since = worker.cold_since.max(since);
            worker.cold_budget = 0.0;
        }
    }
}
