//! Admission control: which requests are refused because those in flight already take too long.
use crate::control::SEC;
use crate::state::*;

/// Mean number of requests at a worker, over all front ends, below which none is refused: about one per core.
pub(crate) const MIN_INFLIGHT_TO_REFUSE: f64 = 4.0;
/// A request beyond its tenant's quota is refused when the time from send to response exceeds this multiple
/// of the mean latency target.
const OVER_QUOTA_LIMIT: f64 = 0.6;
/// The same multiple for requests of the class with the least worth per unit of service time.
const LEAST_WORTH_LIMIT: f64 = 0.8;
/// The same multiple for requests of the class with the most worth per unit of service time.
const MOST_WORTH_LIMIT: f64 = 1.3;
/// A class ranks above another if its worth per unit of service time is more than this multiple of the
/// other's.
const RANK_RATIO: f64 = 1.2;
/// Periodic timers after the start before requests are refused: until then the pace of the fleet is not
/// known.
const WARM_UP_TICKS: u32 = 100;

/// A request that is to be admitted or refused.
pub(crate) struct NewCall {
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    /// Time until the client gives up, in microseconds.
    pub(crate) timeout: f64,
    /// Usual response time at a loaded copy, in microseconds.
    pub(crate) service_time: f64,
    /// See [`Event::ClientShare`](crate::Event::ClientShare).
    pub(crate) client_share: f64,
}

impl Controller {
    /// Whether a request is to be refused because at the recent pace the requests in flight take longer than
    /// the latency targets. This keeps queues from growing without bound. The least valuable requests are
    /// refused first: those beyond a tenant's quota, then those of the class with the least worth per unit of
    /// service time. Nothing is refused while few requests are in flight or the pace is not known yet.
    ///
    /// A client answers for the requests that would be in flight if no client had more than it has: one that
    /// has few open is not refused for the many of another.
    pub(crate) fn overloaded(&self, call: &NewCall) -> bool {
        let &NewCall { class, tenant, timeout, service_time, client_share } = call;
        // Workers report the requests of all front ends. Without reports, every front end is assumed to have
        // as many in flight as this one.
        let estimate =
            self.backlog * f64::from(self.settings.front_ends.max(1)) / self.ready.len().max(1) as f64;
        let inflight = if self.load_reported { self.mean_inflight } else { estimate };
        if inflight < MIN_INFLIGHT_TO_REFUSE || self.ticks < WARM_UP_TICKS {
            return false;
        }
        let wait = client_share * self.backlog / self.served_rate.max(0.1) * SEC as f64;
        let over_quota = tenant.is_some_and(|t| self.over_quota(t));
        let classes = &self.settings.classes[..self.settings.classes.len() - 1];
        let worth_rate = |c: usize| self.settings.classes[c].worth / self.class_service_time[c];
        let worse = (0..classes.len()).filter(|&c| worth_rate(c) < worth_rate(class) / RANK_RATIO).count();
        let rank = worse as f64 / (classes.len() as f64 - 1.0).max(1.0);
        let limit = if over_quota {
            OVER_QUOTA_LIMIT
        } else {
            LEAST_WORTH_LIMIT + (MOST_WORTH_LIMIT - LEAST_WORTH_LIMIT) * rank
        };
        let total_target = classes.iter().map(|c| c.latency_target as f64).sum::<f64>();
        timeout < service_time || wait > limit * total_target / classes.len().max(1) as f64
    }

    /// Whether a tenant sends more of our traffic than its share of all quotas, by more than chance explains:
    /// by two standard deviations.
    /// Its rate here is not compared with its quota: traffic is spread unevenly, so the rate at one front end
    /// says nothing about the rate at all of them.
    pub(crate) fn over_quota(&self, tenant: usize) -> bool {
        let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s.max(0.0)).sum();
        let share = self.settings.tenants[tenant].quota_per_s / quotas;
        let all = self.tenant_requests.iter().sum::<f64>();
        share > 0.0 && self.tenant_requests[tenant] > share * all + 2.0 * (all * share * (1.0 - share)).sqrt()
    }
}
