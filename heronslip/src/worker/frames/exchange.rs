//! Exchanges with a worker: what starts them, when they may still start, and how they end.
use super::codec::{encode, CODE_ACCEPTING, CODE_CALL, CODE_LOAD, CODE_NOT_ACCEPTING};
use crate::messages::{AttemptKey, AttemptReport, Request};
use crate::worker::ReportSender;
use heronslip_policy::{FunctionId, Micros, Outcome};
use may::sync::Mutex;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A call's frame of which no byte has been written this long after it was encoded is removed: the budget in
/// it would tell the worker of more time than is left.
const MAX_BUDGET_AGE: Duration = Duration::from_millis(100);
/// Ids of ended calls of each kind that a connection remembers. A reply that crosses its cancel, or comes twice,
/// arrives within fewer calls than this.
const REMEMBERED_IDS: usize = 256;
/// Why a connection ends after a panic while its exchanges were locked.
pub(super) const POISONED: &str = "the lock of the connection's exchanges is poisoned";

/// What an exchange is for, and the number under which its end is reported.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ExchangeKey {
    Attempt(AttemptKey),
    /// A load command or a copy query.
    Load(u64),
    Probe(u64),
    /// A copy query that the connection sends by itself: a reply shows that the connection still works.
    LivenessCheck,
}

impl ExchangeKey {
    /// Whether a reply of this code fits the exchange.
    pub(super) fn accepts_code(self, code: u8) -> bool {
        matches!(self, ExchangeKey::Probe(_)) == matches!(code, CODE_ACCEPTING | CODE_NOT_ACCEPTING)
    }
}

/// When the first byte of an exchange may still be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartCondition {
    /// At any time: the exchange gives the worker no new work.
    Always,
    /// Until the worker is known to drain, and before the deadline if its readiness is known for a limited
    /// time.
    WhileReady {
        /// When the worker's readiness stops being known.
        deadline: Option<Instant>,
    },
}

impl StartCondition {
    /// Whether the exchange may no longer start; `retired` tells whether the worker drains.
    pub(in crate::worker) fn has_expired(self, retired: bool, now: Instant) -> bool {
        match self {
            StartCondition::Always => false,
            StartCondition::WhileReady { deadline } => {
                retired || deadline.is_some_and(|deadline| now >= deadline)
            }
        }
    }

    /// The condition with its deadline moved up to `limit`, if that is earlier.
    pub(super) fn with_limit(self, limit: Option<Instant>) -> Self {
        match (self, limit) {
            (StartCondition::WhileReady { deadline }, Some(limit)) => StartCondition::WhileReady {
                deadline: Some(deadline.map_or(limit, |deadline| deadline.min(limit))),
            },
            _ => self,
        }
    }
}

/// The frame that starts an exchange.
pub(super) enum FirstFrame {
    Encoded(Vec<u8>),
    /// A call. It is encoded just before it is written, so that the remaining time it tells the worker is
    /// right.
    Call {
        request: Arc<Request>,
        deadline: Instant,
    },
}

impl FirstFrame {
    /// The encoded frame, and until when its first byte may be written; nothing if the call's deadline has
    /// passed.
    pub(super) fn encode(&self, now: Instant) -> Option<(Vec<u8>, Option<Instant>)> {
        match self {
            FirstFrame::Encoded(frame) => Some((frame.clone(), None)),
            FirstFrame::Call { request, deadline } => {
                let remaining = deadline.checked_duration_since(now)?.as_micros() as Micros;
                let fields = call_fields(request, remaining);
                let frame = encode(CODE_CALL, request.wire_id, &fields, request.payload.bytes());
                Some((frame, Some(now + MAX_BUDGET_AGE)))
            }
        }
    }
}

/// A command to a connection's writer.
pub(super) enum Command {
    /// Starts an exchange, if its start condition still holds once the connection is open and has room.
    Start {
        key: ExchangeKey,
        id: u64,
        function: FunctionId,
        first_frame: FirstFrame,
        condition: StartCondition,
    },
    Cancel(ExchangeKey),
    /// Ends an exchange as not sent, unless a byte of it has been written.
    Withdraw(ExchangeKey),
    /// Writes a frame that gets no reply.
    OneWay(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// An exchange whose frame is in the write queue or has been written.
pub(super) struct PendingExchange {
    pub(super) key: ExchangeKey,
    /// Where in the stream of written bytes its frame ends.
    pub(super) frame_end: u64,
    pub(super) started: Instant,
    /// The function whose copies a liveness check queries.
    pub(super) function: FunctionId,
}

/// The exchanges of one connection.
#[derive(Default)]
pub(super) struct ExchangeTable {
    pub(super) pending: BTreeMap<u64, PendingExchange>,
    /// Ids of calls that were cancelled or served on this connection: another reply to them may come.
    ended: RememberedIds,
    /// Ids of calls that had another reply on this connection, which may come a second time. Another attempt
    /// under such an id needs another connection.
    answered: RememberedIds,
    pub(super) broken: bool,
    /// When the last reply was read.
    pub(super) last_reply: Option<Instant>,
    /// The first of the exchanges that are no longer awaited and of which no later reply shows that the
    /// connection has delivered them.
    pub(super) undelivered: Option<Abandoned>,
}

/// An exchange that was written and is no longer awaited.
#[derive(Clone, Copy)]
pub(super) struct Abandoned {
    pub(super) started: Instant,
    /// The function whose copies a liveness check queries.
    pub(super) function: FunctionId,
}

impl ExchangeTable {
    /// Whether a reply under this id could belong to another exchange. The ids of load commands, copy queries
    /// and probes are never reused.
    pub(super) fn is_id_in_use(&self, id: u64) -> bool {
        self.pending.contains_key(&id) || self.ended.contains(id) || self.answered.contains(id)
    }

    /// Whether a call under this id had a reply here that allows another attempt.
    pub(super) fn is_answered(&self, id: u64) -> bool {
        self.answered.contains(id)
    }

    /// Remembers that a call was cancelled, or had a reply with this outcome.
    pub(super) fn remember(&mut self, id: u64, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Cancelled => self.ended.push(id),
            _ => self.answered.push(id),
        }
    }

    /// Keeps an exchange that is no longer awaited under the liveness checks, unless a reply has come since it
    /// was written: a connection that has fallen silent would deliver it much later.
    pub(super) fn abandon(&mut self, exchange: &PendingExchange) {
        let is_confirmed = self.last_reply.is_some_and(|reply| reply >= exchange.started);
        if !is_confirmed && matches!(exchange.key, ExchangeKey::Attempt(_) | ExchangeKey::Load(_)) {
            let abandoned = Abandoned { started: exchange.started, function: exchange.function };
            self.undelivered.get_or_insert(abandoned);
        }
    }

    /// Whether the worker may not have received all exchanges that were written.
    pub(super) fn may_hold_undelivered(&self) -> bool {
        !self.pending.is_empty() || self.undelivered.is_some()
    }

    /// Records that a reply was read.
    pub(super) fn reply_read(&mut self, now: Instant) {
        self.last_reply = Some(now);
        self.undelivered = None;
    }
}

/// The latest ids of some calls, oldest first.
#[derive(Default)]
struct RememberedIds(VecDeque<u64>);

impl RememberedIds {
    fn contains(&self, id: u64) -> bool {
        self.0.contains(&id)
    }

    fn push(&mut self, id: u64) {
        if self.0.len() >= REMEMBERED_IDS {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}

/// The state that the transport, the writer and the reader of one connection share.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Exchanges that were given to this connection and have not ended.
    pub(super) pending: AtomicUsize,
    pub(super) broken: AtomicBool,
    pub(super) retired: AtomicBool,
    pub(super) bytes_written: AtomicU64,
    pub(super) exchanges: Mutex<ExchangeTable>,
}

impl ConnectionState {
    /// Whether the connection must be reset, so that the worker does not receive an exchange after its end.
    pub(super) fn must_reset(&self) -> bool {
        self.exchanges.lock().is_ok_and(|table| table.may_hold_undelivered())
    }
}

/// A load command; with 0 copies, a copy query.
pub(super) fn load_frame(id: u64, function: FunctionId, copies: u32) -> Vec<u8> {
    encode(CODE_LOAD, id, &format!("path={function:016x},slots_up={copies}"), &[])
}

/// The fields of a call.
fn call_fields(request: &Request, budget: Micros) -> String {
    let (class, function, budget) = (&request.class, request.function, (budget / 1000).max(1));
    let mut fields = format!("queue={class},path={function:016x},budget={budget}");
    if let Some(key) = &request.idempotency_key {
        fields.push_str(",uniq=");
        fields.push_str(key);
    }
    fields
}

/// Ends an exchange and reports its outcome.
pub(super) fn end_exchange(
    reports: &ReportSender, state: &ConnectionState, key: ExchangeKey, outcome: Outcome,
) {
    state.pending.fetch_sub(1, Ordering::AcqRel);
    report_end(reports, key, outcome);
}

/// Reports the end of an exchange that its connection no longer counts.
pub(super) fn report_end(reports: &ReportSender, key: ExchangeKey, outcome: Outcome) {
    match key {
        ExchangeKey::Attempt(key) => reports.attempt_ended(key, AttemptReport::without_reply(outcome)),
        ExchangeKey::Load(command) => reports.load_ended(command, outcome, 0),
        ExchangeKey::Probe(probe) => reports.probe_ended(probe, outcome, None),
        ExchangeKey::LivenessCheck => {}
    }
}

/// Ends everything that is pending on a connection. A frame that was not written completely proves that
/// nothing ran.
pub(super) fn fail_connection(state: &ConnectionState, reports: &ReportSender) {
    state.broken.store(true, Ordering::Release);
    let pending = {
        let Ok(mut table) = state.exchanges.lock() else { return };
        table.broken = true;
        std::mem::take(&mut table.pending)
    };
    let written = state.bytes_written.load(Ordering::Acquire);
    for exchange in pending.into_values() {
        let outcome = if exchange.frame_end <= written { Outcome::Reset } else { Outcome::ConnectFailed };
        end_exchange(reports, state, exchange.key, outcome);
    }
}
