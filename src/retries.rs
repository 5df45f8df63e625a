//! Further attempts for requests whose attempt is long overdue.
use crate::control::SEC;
use crate::interface::*;
use crate::state::*;

/// After a connection reset or a malformed reply, responses may get lost for this long, in microseconds. In
/// that time requests are hedged if the settings allow it.
const HEDGE_SPAN: Micros = 5 * SEC;
/// Within [`HEDGE_SPAN`] an attempt is hedged after this multiple of its expected time, but not before
/// [`HEDGE_TARGET_FRACTION`] of the latency target has passed.
const HEDGE_RATIO: f64 = 4.0;
/// See [`HEDGE_RATIO`].
const HEDGE_TARGET_FRACTION: f64 = 0.5;
/// An attempt at a suspect is overdue after this multiple of its expected time.
const SUSPECT_RATIO: f64 = 1.5;

impl Controller {
    /// Starts another attempt for each repeatable request whose only attempt is long overdue or is at a
    /// suspect: such a worker may never respond. The attempt goes to a free warm worker. Where hedging is not
    /// allowed, the overdue attempt is cancelled first, and the request is placed again once that is
    /// confirmed.
    pub(crate) fn retry_overdue(&mut self, now: Micros, out: &mut Vec<Action>) {
        let responses_get_lost = self.last_reset_at > 0 && now < self.last_reset_at + HEDGE_SPAN;
        let hedge = self.settings.may_hedge && responses_get_lost;
        let overdue = |(&id, r): (&RequestId, &Request)| {
            let attempt = r.attempts.last().filter(|a| a.open && !r.done && !a.cancelled)?;
            let only = r.attempts.iter().filter(|a| a.open).count() == 1;
            let worker = &self.workers[attempt.worker];
            let target = self.settings.classes[r.class].latency_target as f64;
            let limit = match () {
                () if worker.disconnected || worker.slow => SUSPECT_RATIO * attempt.expected_time,
                () if hedge => (HEDGE_RATIO * attempt.expected_time).max(HEDGE_TARGET_FRACTION * target),
                () => f64::INFINITY,
            };
            let waited = now.saturating_sub(attempt.sent_at.max(self.resumed_at)) as f64;
            let late = waited > limit.min(attempt.overdue_after);
            let attempts_left = (r.attempts.len() as u32) < self.settings.max_attempts;
            let repeatable = self.settings.classes[r.class].retry_safety != RetrySafety::Unsafe;
            (only && late && attempts_left && repeatable).then_some(id)
        };
        let ids: Vec<RequestId> = self.requests.iter().filter_map(overdue).collect();
        for id in ids {
            let function_slot = self.requests[&id].function;
            let mut free = self.free_workers(function_slot, now);
            free.retain(|&worker_slot| self.may_receive(id, worker_slot, now));
            if free.is_empty() || self.retry_tokens < 1.0 {
                continue;
            }
            let free = self.prefer_leased(free, now);
            if !self.leased(free[0], now) {
                self.probe(free[0], now, out);
                continue;
            }
            if self.settings.may_hedge {
                let worker_slot = self.pick_random(&free).unwrap_or(free[0]);
                self.send(now, id, worker_slot, out);
            } else if let Some(r) = self.requests.get_mut(&id).filter(|_| self.settings.may_cancel) {
                let attempt = r.attempts.len() - 1;
                r.attempts[attempt].cancelled = true;
                out.push(Action::Cancel { id, attempt });
            }
            self.retry_tokens -= 1.0;
        }
    }
}
