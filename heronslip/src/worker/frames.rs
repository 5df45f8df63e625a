//! The platform's binary protocol: frames for attempts, load commands and cancels over shared connections to
//! one worker.
use super::{ConnectionUsage, ReportSender, Transport};
use crate::coop::Group;
use crate::limits::Limits;
use crate::messages::{AttemptKey, AttemptReport, Payload, Request};
use crate::net::{is_timeout, next_connection_id, spawn, Socket};
use crate::ring::RingBuffer;
use heronslip_policy::{FunctionId, Micros, Outcome};
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use may::sync::Mutex;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First byte of every frame from a front end.
const FRONT_END_MARK: u8 = 126;
/// First byte of every frame from a worker.
const WORKER_MARK: u8 = 127;
const CODE_CALL: u8 = 2;
const CODE_CANCEL: u8 = 3;
const CODE_PROBE: u8 = 5;
const CODE_LOAD: u8 = 6;
const CODE_UNLOAD: u8 = 8;
const CODE_OK: u8 = 200;
/// Reply to a call: the function is not loaded.
const CODE_NOT_LOADED: u8 = 202;
const CODE_REJECTED: u8 = 203;
const CODE_ERROR: u8 = 204;
/// Reply to a call: its budget was used up before it ran.
const CODE_EXPIRED: u8 = 205;
/// Reply to a probe: the worker accepts work.
const CODE_ACCEPTING: u8 = 206;
/// Reply to a probe: the worker does not accept work.
const CODE_NOT_ACCEPTING: u8 = 207;
const HEADER_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;
/// A call's frame of which no byte has been written this long after it was encoded is removed: the budget in
/// it would tell the worker of more time than is left.
const MAX_BUDGET_AGE: Duration = Duration::from_millis(100);
/// Ids of ended calls that a connection remembers. A reply that crosses its cancel, or comes twice, arrives
/// within fewer calls than this.
const REMEMBERED_IDS: usize = 256;
/// Why a connection ends after a panic while its exchanges were locked.
const POISONED: &str = "the lock of the connection's exchanges is poisoned";

/// Encodes one frame.
pub fn encode(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + fields.len() + body.len() + CHECKSUM_BYTES);
    frame.extend([FRONT_END_MARK, code]);
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame.extend(checksum.to_be_bytes());
    frame
}

/// A reply frame.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// The reply's code.
    pub code: u8,
    /// The id of the exchange that it replies to.
    pub id: u64,
    /// `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Frame {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.split(',').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name)).map(|p| p.1)
    }

    /// The number of requests in flight that the worker reports. The settings call it `busy_reqs`, the
    /// protocol's documentation `inflight`; workers use the first.
    pub fn inflight(&self) -> Option<f64> {
        let number = |pair: &str| {
            let (name, value) = pair.split_once(':')?;
            matches!(name, "busy_reqs" | "inflight").then(|| value.parse().ok())?
        };
        self.field("use")?.split(';').find_map(number)
    }
}

/// Decodes frames from the bytes in a ring buffer.
#[derive(Default)]
pub struct Decoder {
    /// What has been read of the next frame.
    partial: Vec<u8>,
}

impl Decoder {
    /// Whether a frame has been read in part.
    pub fn has_partial_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The next complete frame, or why the stream is invalid.
    pub fn next_frame(&mut self, ring: &mut RingBuffer, max_body: usize) -> Result<Option<Frame>, String> {
        if self.partial.len() < HEADER_BYTES {
            ring.drain_into(HEADER_BYTES - self.partial.len(), &mut self.partial);
        }
        let [mark, code, f0, f1, b0, b1, b2, b3, id @ ..] = &self.partial[..] else { return Ok(None) };
        let Some(id) = id.first_chunk::<8>() else { return Ok(None) };
        if *mark != WORKER_MARK {
            return Err(format!("unexpected first byte {mark}"));
        }
        let (code, id) = (*code, u64::from_be_bytes(*id));
        let fields_length = usize::from(u16::from_be_bytes([*f0, *f1]));
        let body_length = u32::from_be_bytes([*b0, *b1, *b2, *b3]) as usize;
        if body_length > max_body {
            return Err(format!("body of {body_length} bytes is too long"));
        }
        let frame_length = HEADER_BYTES + fields_length + body_length + CHECKSUM_BYTES;
        ring.drain_into(frame_length - self.partial.len(), &mut self.partial);
        if self.partial.len() < frame_length {
            return Ok(None);
        }
        let frame = std::mem::take(&mut self.partial);
        let (content, checksum) = frame[HEADER_BYTES..].split_at(fields_length + body_length);
        if crc32fast::hash(content).to_be_bytes() != *checksum {
            return Err("checksum mismatch".to_owned());
        }
        let fields = String::from_utf8_lossy(&content[..fields_length]).into_owned();
        Ok(Some(Frame { code, id, fields, body: content[fields_length..].to_vec() }))
    }
}

/// The outcome that a reply's code stands for.
fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        CODE_OK => Outcome::Ok,
        CODE_NOT_LOADED => Outcome::Miss,
        CODE_REJECTED => Outcome::Rejected,
        CODE_ERROR => Outcome::Error,
        CODE_EXPIRED => Outcome::NotSent,
        CODE_ACCEPTING => Outcome::Ok,
        CODE_NOT_ACCEPTING => Outcome::Rejected,
        _ => return None,
    })
}

/// What an exchange is for, and the number under which its end is reported.
#[derive(Clone, Copy, PartialEq)]
enum ExchangeKey {
    Attempt(AttemptKey),
    /// A load command or a copy query.
    Load(u64),
    Probe(u64),
    /// A copy query that the connection sends by itself: a reply shows that the connection still works.
    LivenessCheck,
}

impl ExchangeKey {
    /// Whether a reply of this code fits the exchange.
    fn accepts_code(self, code: u8) -> bool {
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
    pub(super) fn has_expired(self, retired: bool, now: Instant) -> bool {
        match self {
            StartCondition::Always => false,
            StartCondition::WhileReady { deadline } => {
                retired || deadline.is_some_and(|deadline| now >= deadline)
            }
        }
    }

    /// The condition with its deadline moved up to `limit`, if that is earlier.
    fn with_limit(self, limit: Option<Instant>) -> Self {
        match (self, limit) {
            (StartCondition::WhileReady { deadline }, Some(limit)) => StartCondition::WhileReady {
                deadline: Some(deadline.map_or(limit, |deadline| deadline.min(limit))),
            },
            _ => self,
        }
    }
}

/// The frame that starts an exchange.
enum FirstFrame {
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
    fn encode(&self, now: Instant) -> Option<(Vec<u8>, Option<Instant>)> {
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
enum Command {
    /// Starts an exchange, if its start condition still holds once the connection is open and has room.
    Start {
        key: ExchangeKey,
        id: u64,
        function: FunctionId,
        first_frame: FirstFrame,
        condition: StartCondition,
    },
    Cancel(ExchangeKey),
    /// Writes a frame that gets no reply.
    OneWay(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// An exchange whose frame is in the write queue or has been written.
struct PendingExchange {
    key: ExchangeKey,
    /// Where in the stream of written bytes its frame ends.
    frame_end: u64,
    started: Instant,
    /// The function whose copies a liveness check queries.
    function: FunctionId,
}

/// The exchanges of one connection.
#[derive(Default)]
struct ExchangeTable {
    pending: BTreeMap<u64, PendingExchange>,
    /// Ids of calls that were cancelled or served on this connection, oldest first: another reply to them may
    /// come.
    ended_ids: VecDeque<u64>,
    broken: bool,
    /// When the last reply was read.
    last_reply: Option<Instant>,
}

impl ExchangeTable {
    /// Whether a reply under this id could belong to another exchange. The ids of load commands, copy queries
    /// and probes are never reused.
    fn is_id_in_use(&self, id: u64) -> bool {
        self.pending.contains_key(&id) || self.ended_ids.contains(&id)
    }

    fn remember_ended(&mut self, id: u64) {
        if self.ended_ids.len() >= REMEMBERED_IDS {
            self.ended_ids.pop_front();
        }
        self.ended_ids.push_back(id);
    }
}

/// The state that the transport, the writer and the reader of one connection share.
#[derive(Default)]
struct ConnectionState {
    /// Exchanges that were given to this connection and have not ended.
    pending: AtomicUsize,
    broken: AtomicBool,
    retired: AtomicBool,
    bytes_written: AtomicU64,
    exchanges: Mutex<ExchangeTable>,
}

/// The transport's handle of one connection. Dropping it lets the writer close the connection.
struct Connection {
    commands: Sender<Command>,
    state: Arc<ConnectionState>,
    last_used: Instant,
    /// When a liveness check was sent that has had no reply.
    check_sent: Option<Instant>,
}

/// The transport to one worker.
pub struct FrameTransport {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: ReportSender,
    connections: Vec<Connection>,
}

impl FrameTransport {
    /// Creates a transport. Connections are opened when they are needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: ReportSender) -> Self {
        FrameTransport { address, limits, reports, connections: Vec::new() }
    }

    /// Index of a connection that can take another exchange.
    fn connection_with_room(&self) -> Option<usize> {
        let streams = self.limits.streams_per_connection;
        self.connections.iter().position(|c| {
            let state = &c.state;
            !state.broken.load(Ordering::Acquire)
                && !state.retired.load(Ordering::Acquire)
                && state.pending.load(Ordering::Acquire) < streams
        })
    }

    /// Index of the idle connection that was used least recently.
    fn longest_idle(&self) -> Option<usize> {
        let open = |c: &Connection| !c.state.broken.load(Ordering::Acquire);
        let idle = |c: &Connection| open(c) && c.state.pending.load(Ordering::Acquire) == 0;
        (0..self.connections.len())
            .filter(|&index| idle(&self.connections[index]))
            .min_by_key(|&index| self.connections[index].last_used)
    }

    /// A connection that can take another exchange; opens one if there is none.
    fn connection(&mut self) -> &mut Connection {
        let index = self.connection_with_room().unwrap_or_else(|| {
            let (commands, queue) = channel();
            let state = Arc::new(ConnectionState::default());
            let (address, limits) = (self.address, self.limits.clone());
            let (reports, writer_state) = (self.reports.clone(), state.clone());
            let started = spawn(self.limits.coroutine_stack, move || {
                Writer::run(address, queue, writer_state, limits, reports);
            });
            if let Err(e) = started {
                // The core's timers end what was queued.
                log_limited!(
                    "worker {address}: could not start a connection: {e}; its exchanges will time out"
                );
            }
            self.connections.push(Connection {
                commands,
                state,
                last_used: Instant::now(),
                check_sent: None,
            });
            self.connections.len() - 1
        });
        self.connections[index].last_used = Instant::now();
        &mut self.connections[index]
    }

    fn cancel(&self, key: ExchangeKey) {
        // Only the writer knows whether its connection carries the exchange; the others ignore the command.
        for connection in self.connections.iter().filter(|c| !c.state.broken.load(Ordering::Acquire)) {
            let _ = connection.commands.send(Command::Cancel(key));
        }
    }

    fn start(
        &mut self, key: ExchangeKey, id: u64, function: FunctionId, condition: StartCondition,
        first_frame: FirstFrame,
    ) {
        let connection = self.connection();
        connection.state.pending.fetch_add(1, Ordering::AcqRel);
        // If the writer has ended, the core's timer ends the exchange.
        let _ = connection.commands.send(Command::Start { key, id, function, first_frame, condition });
    }
}

/// A load command; with 0 copies, a copy query.
fn load_frame(id: u64, function: FunctionId, copies: u32) -> Vec<u8> {
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

impl Transport for FrameTransport {
    fn send_attempt(
        &mut self, key: AttemptKey, request: &Arc<Request>, budget: Micros, start_deadline: Option<Instant>,
    ) {
        let deadline = Instant::now() + Duration::from_micros(budget);
        let first_frame = FirstFrame::Call { request: request.clone(), deadline };
        let condition = StartCondition::WhileReady { deadline: start_deadline };
        self.start(ExchangeKey::Attempt(key), request.wire_id, request.function, condition, first_frame);
    }

    fn cancel_attempt(&mut self, key: AttemptKey) {
        self.cancel(ExchangeKey::Attempt(key));
    }

    fn abandon(&mut self, command: u64) {
        self.cancel(ExchangeKey::Load(command));
        self.cancel(ExchangeKey::Probe(command));
    }

    fn is_idle(&self) -> bool {
        self.connections.is_empty()
    }

    fn connections(&self) -> ConnectionUsage {
        let is_open = |c: &&Connection| !c.state.broken.load(Ordering::Acquire);
        let open = self.connections.iter().filter(is_open).count();
        ConnectionUsage { open, needs_new: self.connection_with_room().is_none() }
    }

    fn idle_since(&self) -> Option<Instant> {
        self.longest_idle().map(|index| self.connections[index].last_used)
    }

    fn close_longest_idle(&mut self) {
        if let Some(index) = self.longest_idle() {
            // Without its sender the writer closes the connection once it has written everything.
            self.connections.swap_remove(index);
        }
    }

    fn send_load(
        &mut self, command: u64, function: FunctionId, copies: u32, start_deadline: Option<Instant>,
    ) {
        // Counting down from the largest id keeps these ids apart from the random ones that clients choose.
        let id = u64::MAX - command;
        let frame = load_frame(id, function, copies);
        let condition = if copies > 0 {
            StartCondition::WhileReady { deadline: start_deadline }
        } else {
            StartCondition::Always
        };
        self.start(ExchangeKey::Load(command), id, function, condition, FirstFrame::Encoded(frame));
    }

    fn send_probe(&mut self, probe: u64) {
        let id = u64::MAX - probe;
        let frame = encode(CODE_PROBE, id, "", &[]);
        self.start(ExchangeKey::Probe(probe), id, 0, StartCondition::Always, FirstFrame::Encoded(frame));
    }

    fn unload(&mut self, function: FunctionId) {
        let frame = encode(CODE_UNLOAD, function, "", &[]);
        let _ = self.connection().commands.send(Command::OneWay(frame)); // nothing waits for it
    }

    fn retire(&mut self) {
        self.connections.iter().for_each(|c| c.state.retired.store(true, Ordering::Release));
    }

    /// Guards calls against a connection that stays open but delivers nothing any more: its pending calls
    /// would wait for their whole budget, and new calls would join them. A copy query, which changes nothing
    /// at the worker, shows whether the connection works.
    fn check_liveness(&mut self) {
        let limits = self.limits.clone();
        for connection in self.connections.iter_mut().filter(|c| !c.state.broken.load(Ordering::Acquire)) {
            let Ok(table) = connection.state.exchanges.lock() else { continue };
            // A probe names no function to query, and its own timeout is short.
            let pending = || {
                let is_guarded = |e: &&PendingExchange| {
                    !matches!(e.key, ExchangeKey::LivenessCheck | ExchangeKey::Probe(_))
                };
                table.pending.values().filter(is_guarded)
            };
            let oldest = pending().min_by_key(|e| e.started).map(|e| (e.started, e.function));
            let last_reply = table.last_reply;
            let started_since = pending().any(|e| last_reply.is_none_or(|reply| e.started > reply));
            drop(table);
            match (connection.check_sent, oldest) {
                (Some(sent), _) if last_reply.is_some_and(|reply| reply >= sent) => {
                    connection.check_sent = None;
                }
                (Some(sent), _) if sent.elapsed() > limits.liveness_check_timeout => {
                    log_limited!(
                        "worker {}: closing a connection: no reply to a liveness check",
                        self.address
                    );
                    connection.state.retired.store(true, Ordering::Release);
                    let _ = connection.commands.send(Command::Close);
                }
                (None, Some((started, function))) => {
                    let quiet = last_reply.map_or(started, |reply| reply.max(started)).elapsed();
                    // While only old exchanges (loads) are pending, checks become less and less frequent.
                    let waited = if started_since { Duration::ZERO } else { started.elapsed() / 2 };
                    if quiet > limits.liveness_check_after.max(waited) {
                        // Apart from the ids of load commands and probes, which count down from the largest.
                        let (id, key) = (u64::MAX / 2 - next_connection_id(), ExchangeKey::LivenessCheck);
                        connection.state.pending.fetch_add(1, Ordering::AcqRel);
                        let first_frame = FirstFrame::Encoded(load_frame(id, function, 0));
                        let condition = StartCondition::Always;
                        let command = Command::Start { key, id, function, first_frame, condition };
                        let _ = connection.commands.send(command);
                        connection.check_sent = Some(Instant::now());
                    }
                }
                _ => {}
            }
        }
    }

    fn sweep(&mut self) {
        let max_idle = self.limits.worker_idle_timeout;
        // Dropping the sender lets the writer close the connection. Closing idle connections before the
        // worker does keeps an attempt from crossing the worker's close.
        self.connections.retain(|c| {
            let idle = c.state.pending.load(Ordering::Acquire) == 0;
            let expired = c.last_used.elapsed() > max_idle || c.state.retired.load(Ordering::Acquire);
            !(c.state.broken.load(Ordering::Acquire) || idle && expired)
        });
    }
}

/// Frames that wait in the ring buffer for the socket. Positions count bytes from the start of the
/// connection.
pub struct WriteQueue {
    ring: RingBuffer,
    frames: VecDeque<QueuedFrame>,
    /// Position of the next byte that is written.
    written: u64,
    /// Position at which the next frame will start.
    end: u64,
}

/// A frame in the ring buffer.
struct QueuedFrame {
    start: u64,
    end: u64,
    /// The id of the exchange that it starts, and until when it may start.
    starts: Option<(u64, StartCondition)>,
}

impl QueuedFrame {
    /// Whether no byte of it has been written and its start condition no longer holds.
    fn has_expired(&self, written: u64, retired: bool, now: Instant) -> bool {
        self.start >= written && self.starts.is_some_and(|(_, condition)| condition.has_expired(retired, now))
    }
}

/// The result of removing frames from a [`WriteQueue`].
#[derive(Debug, Default, PartialEq)]
pub struct RemovedFrames {
    /// Ids of the exchanges whose frames were removed.
    pub ids: Vec<u64>,
    /// Ids of the exchanges whose frames now end at an earlier position of the stream, and that position.
    pub moved: Vec<(u64, u64)>,
}

impl WriteQueue {
    /// An empty queue over a ring buffer of this many bytes.
    pub fn new(ring_bytes: usize) -> Self {
        WriteQueue { ring: RingBuffer::new(ring_bytes), frames: VecDeque::new(), written: 0, end: 0 }
    }

    /// Bytes that still fit.
    pub fn free(&self) -> usize {
        self.ring.free()
    }

    /// Whether all bytes have been written.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// The bytes to write next.
    pub fn front(&self) -> &[u8] {
        self.ring.front()
    }

    /// Appends a frame, for which there must be room, and returns the position of its end. `starts` names the
    /// exchange that the frame starts, and until when it may start.
    pub fn push(&mut self, frame: &[u8], starts: Option<(u64, StartCondition)>) -> u64 {
        let start = self.end;
        self.end += self.ring.push(frame) as u64;
        self.frames.push_back(QueuedFrame { start, end: self.end, starts });
        self.end
    }

    /// Records that this many bytes have been written, and returns how many have been in all.
    pub fn consume(&mut self, bytes: usize) -> u64 {
        self.ring.consume(bytes);
        self.written += bytes as u64;
        while self.frames.front().is_some_and(|f| f.end <= self.written) {
            self.frames.pop_front();
        }
        self.written
    }

    /// Removes frames of which no byte has been written and whose start condition no longer holds; `retired`
    /// tells whether the worker drains. All other frames stay, cancels among them: an attempt whose cancel
    /// was lost would still run beside the one that replaces it.
    pub fn remove_expired(&mut self, retired: bool, now: Instant) -> RemovedFrames {
        if !self.frames.iter().any(|frame| frame.has_expired(self.written, retired, now)) {
            return RemovedFrames::default();
        }
        let mut bytes = Vec::new();
        self.ring.drain_into(usize::MAX, &mut bytes);
        let (mut removed, written) = (RemovedFrames::default(), self.written);
        self.end = self.written;
        for mut frame in std::mem::take(&mut self.frames) {
            let partly_written = frame.start < written;
            let expired = frame.has_expired(written, retired, now);
            match frame.starts {
                Some((id, _)) if expired => removed.ids.push(id),
                starts => {
                    let from = frame.start.max(written);
                    let content = &bytes[(from - written) as usize..(frame.end - written) as usize];
                    let end = self.end + self.ring.push(content) as u64;
                    if let Some((id, _)) = starts.filter(|_| end != frame.end) {
                        removed.moved.push((id, end));
                    }
                    (frame.start, frame.end) = (if partly_written { frame.start } else { self.end }, end);
                    self.end = end;
                    self.frames.push_back(frame);
                }
            }
        }
        removed
    }
}

/// The coroutine that writes one connection.
struct Writer {
    state: Arc<ConnectionState>,
    reports: ReportSender,
    limits: Arc<Limits>,
    waiting: VecDeque<Command>,
    queue: WriteQueue,
}

/// Ends an exchange and reports its outcome.
fn end_exchange(reports: &ReportSender, state: &ConnectionState, key: ExchangeKey, outcome: Outcome) {
    state.pending.fetch_sub(1, Ordering::AcqRel);
    report_end(reports, key, outcome);
}

/// Reports the end of an exchange that its connection no longer counts.
fn report_end(reports: &ReportSender, key: ExchangeKey, outcome: Outcome) {
    match key {
        ExchangeKey::Attempt(key) => reports.attempt_ended(key, AttemptReport::without_reply(outcome)),
        ExchangeKey::Load(command) => reports.load_ended(command, outcome, 0),
        ExchangeKey::Probe(probe) => reports.probe_ended(probe, outcome, None),
        ExchangeKey::LivenessCheck => {}
    }
}

/// Ends everything that is pending on a connection. A frame that was not written completely proves that
/// nothing ran.
fn fail_connection(state: &ConnectionState, reports: &ReportSender) {
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

impl Writer {
    fn run(
        address: SocketAddr, commands: Receiver<Command>, state: Arc<ConnectionState>, limits: Arc<Limits>,
        reports: ReportSender,
    ) {
        let (waiting, queue) = (VecDeque::new(), WriteQueue::new(limits.worker_buffer));
        let mut writer = Writer { state, reports, limits, waiting, queue };
        if let Err(why) = writer.connection(address, &commands) {
            log_limited!("worker {address}: connection failed: {why}");
        }
        fail_connection(&writer.state, &writer.reports);
        // Commands that are still queued, or are queued until the transport drops its sender at a sweep, were
        // never written.
        for command in std::mem::take(&mut writer.waiting) {
            writer.fail_unsent(command);
        }
        while let Ok(command) = commands.recv() {
            writer.fail_unsent(command);
        }
    }

    /// Ends the exchange of a command that was never written.
    fn fail_unsent(&self, command: Command) {
        if let Command::Start { key, .. } = command {
            end_exchange(&self.reports, &self.state, key, Outcome::ConnectFailed);
        }
    }

    /// Opens the connection, starts its reader and writes until the transport drops the connection or it
    /// fails.
    fn connection(&mut self, address: SocketAddr, commands: &Receiver<Command>) -> Result<(), String> {
        let text = |e: std::io::Error| e.to_string();
        let stream = TcpStream::connect_timeout(&address, self.limits.connect_timeout).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let stream = Socket::new(stream, Group::Workers);
        let reader = stream.clone();
        let (state, reports, limits) = (self.state.clone(), self.reports.clone(), self.limits.clone());
        spawn(self.limits.coroutine_stack, move || {
            if let Err(why) = read_replies(reader, &state, &reports, &limits) {
                log_limited!("worker {address}: closed the connection while reading replies: {why}");
            }
            fail_connection(&state, &reports);
        })
        .map_err(text)?;
        let mut end = Ok(());
        while end.is_ok() {
            // Everything has been written. The receive fails once the transport drops the idle connection.
            let Ok(command) = commands.recv() else { break };
            self.waiting.push_back(command);
            end = self.write_all(&stream, commands);
        }
        stream.close(); // ends the reader
        end
    }

    /// Writes until nothing is waiting.
    fn write_all(&mut self, stream: &Socket, commands: &Receiver<Command>) -> Result<(), String> {
        let mut stalled = Duration::ZERO;
        loop {
            while let Ok(command) = commands.try_recv() {
                self.waiting.push_back(command);
            }
            if self.waiting.iter().any(|c| matches!(c, Command::Close)) {
                return Err("closed after a liveness check had no reply".to_owned());
            }
            self.apply_cancels();
            self.remove_expired();
            self.fill_queue()?;
            if self.queue.is_empty() {
                return Ok(());
            }
            match stream.write_within(self.queue.front(), self.limits.write_check_interval) {
                Ok(0) => return Err("the worker closed the connection".to_owned()),
                Ok(n) => {
                    stalled = Duration::ZERO;
                    self.state.bytes_written.store(self.queue.consume(n), Ordering::Release);
                }
                Err(e) if is_timeout(&e) => {
                    stalled += self.limits.write_check_interval;
                    if stalled >= self.limits.write_stall_timeout {
                        return Err("a write stalled for too long".to_owned());
                    }
                }
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// Drops cancelled exchanges that still wait. Those that have started are cancelled by a frame of their
    /// own.
    fn apply_cancels(&mut self) {
        let cancels: Vec<ExchangeKey> = self
            .waiting
            .iter()
            .filter_map(|c| if let Command::Cancel(key) = c { Some(*key) } else { None })
            .collect();
        for cancelled in cancels {
            let before = self.waiting.len();
            self.waiting.retain(|c| !matches!(c, Command::Start { key, .. } if *key == cancelled));
            if self.waiting.len() < before {
                self.state.pending.fetch_sub(1, Ordering::AcqRel);
            }
        }
    }

    /// Ends exchanges of which no byte has been written and which may no longer start: because the worker
    /// drains, or because their deadline has passed.
    fn remove_expired(&mut self) {
        let (retired, now) = (self.state.retired.load(Ordering::Acquire), Instant::now());
        let (state, reports) = (&self.state, &self.reports);
        self.waiting.retain(|command| match command {
            Command::Start { key, condition, .. } if condition.has_expired(retired, now) => {
                end_exchange(reports, state, *key, Outcome::NotSent);
                false
            }
            _ => true,
        });
        let removed = self.queue.remove_expired(retired, now);
        if removed == RemovedFrames::default() {
            return;
        }
        let Ok(mut table) = self.state.exchanges.lock() else { return };
        for (id, end) in removed.moved {
            if let Some(exchange) = table.pending.get_mut(&id) {
                exchange.frame_end = end;
            }
        }
        for id in removed.ids {
            if let Some(exchange) = table.pending.remove(&id) {
                end_exchange(&self.reports, &self.state, exchange.key, Outcome::NotSent);
            }
        }
    }

    /// Moves waiting commands into the write queue while their frames fit.
    fn fill_queue(&mut self) -> Result<(), String> {
        while let Some(command) = self.waiting.pop_front() {
            let queue_full = match command {
                Command::Close => return Err("closed after a liveness check had no reply".to_owned()),
                Command::OneWay(ref frame) => self.push_one_way(frame)?,
                Command::Cancel(key) => self.push_cancel(key)?,
                Command::Start { key, id, function, ref first_frame, condition } => {
                    self.push_start(key, id, function, first_frame, condition)?
                }
            };
            if queue_full {
                self.waiting.push_front(command);
                return Ok(());
            }
        }
        Ok(())
    }

    /// Whether a frame fits into the write queue now.
    ///
    /// # Errors
    /// Fails if it is larger than the whole queue.
    fn fits(&self, frame: &[u8]) -> Result<bool, String> {
        if frame.len() <= self.queue.free() {
            return Ok(true);
        }
        if self.queue.is_empty() {
            return Err(format!("a frame of {} bytes is larger than the write buffer", frame.len()));
        }
        Ok(false)
    }

    /// Queues a frame that gets no reply; true if there is no room for it yet.
    fn push_one_way(&mut self, frame: &[u8]) -> Result<bool, String> {
        let fits = self.fits(frame)?;
        if fits {
            self.queue.push(frame, None);
        }
        Ok(!fits)
    }

    /// Cancels an exchange of this connection; true if there is no room for the cancel's frame yet. Load
    /// commands are not cancelled at the worker: only their replies are no longer awaited.
    fn push_cancel(&mut self, key: ExchangeKey) -> Result<bool, String> {
        if self.queue.free() < HEADER_BYTES + CHECKSUM_BYTES {
            return Ok(true);
        }
        if let (Some(id), ExchangeKey::Attempt(_)) = (self.remove_exchange(key), key) {
            self.queue.push(&encode(CODE_CANCEL, id, "", &[]), None);
        }
        Ok(false)
    }

    /// Starts an exchange; true if there is no room for its frame yet.
    fn push_start(
        &mut self, key: ExchangeKey, id: u64, function: FunctionId, first_frame: &FirstFrame,
        condition: StartCondition,
    ) -> Result<bool, String> {
        let now = Instant::now();
        let Some((frame, write_by)) = first_frame.encode(now) else {
            end_exchange(&self.reports, &self.state, key, Outcome::NotSent);
            return Ok(false);
        };
        if !self.fits(&frame)? {
            return Ok(true);
        }
        let Ok(mut table) = self.state.exchanges.lock() else { return Err(POISONED.to_owned()) };
        if table.broken || table.is_id_in_use(id) {
            // Replies to two exchanges under one id could not be told apart, so the later one is not sent.
            // That is no failure of the worker.
            let outcome = if table.broken { Outcome::ConnectFailed } else { Outcome::NotSent };
            drop(table);
            end_exchange(&self.reports, &self.state, key, outcome);
            return Ok(false);
        }
        let frame_end = self.queue.push(&frame, Some((id, condition.with_limit(write_by))));
        table.pending.insert(id, PendingExchange { key, frame_end, started: now, function });
        Ok(false)
    }

    /// Removes a pending exchange of this connection and returns its id.
    fn remove_exchange(&self, key: ExchangeKey) -> Option<u64> {
        let mut table = self.state.exchanges.lock().ok()?;
        let id = table.pending.iter().find(|(_, e)| e.key == key).map(|(&id, _)| id)?;
        table.pending.remove(&id);
        if matches!(key, ExchangeKey::Attempt(_)) {
            table.remember_ended(id);
        }
        self.state.pending.fetch_sub(1, Ordering::AcqRel);
        Some(id)
    }
}

/// Reads replies until the connection ends.
fn read_replies(
    mut stream: Socket, state: &ConnectionState, reports: &ReportSender, limits: &Limits,
) -> Result<(), String> {
    let (mut ring, mut decoder) = (RingBuffer::new(limits.worker_buffer), Decoder::default());
    stream.set_read_timeout(limits.reply_stall_timeout).map_err(|e| e.to_string())?;
    let end = loop {
        match ring.read_from(&mut stream) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            // Nothing can follow a frame that stops before its end.
            Err(e) if is_timeout(&e) && decoder.has_partial_frame() => {
                break Err("a reply stopped before its end".to_owned());
            }
            Err(e) if is_timeout(&e) => continue,
            Err(e) => break Err(e.to_string()),
        }
        match handle_replies(&mut decoder, &mut ring, state, reports, limits.max_reply) {
            Ok(()) => {}
            // Frame boundaries are lost after an invalid frame, so nothing that follows it can be decoded.
            Err(why) => break Err(format!("invalid frame: {why}")),
        }
    };
    stream.close();
    end
}

/// Handles the complete replies in the ring buffer.
fn handle_replies(
    decoder: &mut Decoder, ring: &mut RingBuffer, state: &ConnectionState, reports: &ReportSender,
    max_body: usize,
) -> Result<(), String> {
    while let Some(frame) = decoder.next_frame(ring, max_body)? {
        let outcome = outcome(frame.code).ok_or_else(|| format!("unknown code {}", frame.code))?;
        let exchange = {
            let mut table = state.exchanges.lock().map_err(|_| POISONED)?;
            table.last_reply = Some(Instant::now());
            let exchange = table.pending.remove(&frame.id);
            // After a reply that says that nothing ran, another attempt under the same id may follow here.
            if exchange.is_some() && outcome == Outcome::Ok {
                table.remember_ended(frame.id);
            }
            exchange
        };
        // A reply to an exchange that has ended is late and is dropped.
        let Some(exchange) = exchange else { continue };
        let code_fits = exchange.key.accepts_code(frame.code);
        state.pending.fetch_sub(1, Ordering::AcqRel);
        let number = |name: &str| frame.field(name).and_then(|v| v.parse().ok());
        if !code_fits {
            report_end(reports, exchange.key, Outcome::Reset);
            return Err(format!("code {} does not fit the request it replies to", frame.code));
        }
        match exchange.key {
            ExchangeKey::Load(command) => {
                reports.load_ended(command, outcome, number("slots_up").unwrap_or(0));
            }
            ExchangeKey::Probe(probe) => reports.probe_ended(probe, outcome, frame.inflight()),
            ExchangeKey::LivenessCheck => {}
            ExchangeKey::Attempt(key) => {
                let warm = match frame.field("detail") {
                    Some("resident") => Some(true),
                    Some("booted" | "rode") => Some(false),
                    _ => None,
                };
                let is_reported = matches!(outcome, Outcome::Ok | Outcome::Rejected);
                let function_inflight = if is_reported { number("company") } else { None };
                let inflight = frame.inflight();
                let payload = (outcome == Outcome::Ok).then_some(Payload::Bytes(frame.body));
                reports.attempt_ended(
                    key,
                    AttemptReport { outcome, warm, function_inflight, inflight, payload },
                );
            }
        }
    }
    Ok(())
}
