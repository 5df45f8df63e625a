//! KServe v2 over HTTP/1.1 to one worker. Each connection carries one exchange at a time. Load commands, copy
//! queries and unloads use the model repository extension.
use super::frames::StartCondition;
use super::{resize_reply, ReportSender, Transport};
use crate::coop::{Budget, Group};
use crate::http::{ChunkedDecoder, ChunkedItem, Head};
use crate::limits::Limits;
use crate::messages::{AttemptKey, AttemptReport, Payload, Request};
use crate::net::{is_timeout, reset_when_closed, spawn};
use crate::queue::{queue, ReceiveError, Receiver, Sender};
use crate::ring::RingBuffer;
use base64::{engine::general_purpose::STANDARD, Engine};
use heronslip_policy::json::{array, as_object, as_str, object, parse, string, unsigned};
use heronslip_policy::{FunctionId, Micros, Outcome};
use may::net::TcpStream;
use miniserde::json::{self, Array, Number, Object, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Larger counts in a reply of a worker are cut to this.
const MAX_REPORTED_COUNT: u64 = 1 << 16;

fn json_object(fields: Vec<(&str, Value)>) -> Value {
    Value::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

fn json_string(text: &str) -> Value {
    Value::String(text.to_owned())
}

fn json_array(values: Vec<Value>) -> Value {
    Value::Array(values.into_iter().collect::<Array>())
}

/// Bytes as one BYTES tensor. They are base64-encoded, as they need not be UTF-8; `content_type` says so.
fn bytes_tensor(bytes: &[u8]) -> Value {
    json_object(vec![
        ("name", json_string("body")),
        ("shape", json_array(vec![Value::Number(Number::U64(1))])),
        ("datatype", json_string("BYTES")),
        ("parameters", json_object(vec![("content_type", json_string("base64"))])),
        ("data", json_array(vec![json_string(&STANDARD.encode(bytes))])),
    ])
}

/// The body of a v2 inference response that carries these bytes.
pub fn wrap_response(bytes: &[u8]) -> Vec<u8> {
    json::to_string(&json_object(vec![("outputs", json_array(vec![bytes_tensor(bytes)]))])).into_bytes()
}

/// The body of a v2 inference request that carries the body of a request of the platform's protocol.
fn wrap_request(request: &Request, bytes: &[u8], budget: Micros) -> Vec<u8> {
    let mut parameters = vec![
        ("class", json_string(&request.class)),
        ("tenant", json_string(&request.tenant)),
        ("wait_ms", Value::Number(Number::U64(budget / 1000))),
        ("retry", Value::Bool(request.is_retry)),
    ];
    parameters.extend(request.idempotency_key.as_deref().map(|key| ("token", json_string(key))));
    let body = json_object(vec![
        ("id", json_string(&format!("{:016x}", request.wire_id))),
        ("parameters", json_object(parameters)),
        ("inputs", json_array(vec![bytes_tensor(bytes)])),
    ]);
    json::to_string(&body).into_bytes()
}

/// The bytes of the first output tensor of a v2 inference response.
pub fn unwrap_response(response: &Object) -> Option<Vec<u8>> {
    let output = array(response, "outputs").first().and_then(as_object)?;
    let data = array(output, "data").first().and_then(as_str)?;
    let is_base64 = object(output, "parameters").and_then(|p| string(p, "content_type")) == Some("base64");
    if is_base64 {
        STANDARD.decode(data).ok()
    } else {
        Some(data.as_bytes().to_vec())
    }
}

/// What a job is for, and the number under which its end is reported.
enum JobKind {
    Attempt {
        key: AttemptKey,
        /// Whether the request came over the platform's protocol, so that its body is wrapped and the reply's
        /// body must be unwrapped.
        wrapped: bool,
    },
    /// A load command; with 0 copies, a copy query.
    Load {
        command: u64,
        function: FunctionId,
        copies: u32,
    },
    Unload,
}

/// What has been decided of a job since it was queued.
#[derive(Default)]
struct JobFlags {
    /// It has ended for the core, and is ended early if it has started.
    cancelled: AtomicBool,
    /// It is not started any more.
    withdrawn: AtomicBool,
}

impl JobFlags {
    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Acquire)
    }
}

/// One HTTP exchange to carry out.
struct Job {
    kind: JobKind,
    /// The encoded HTTP request.
    bytes: Vec<u8>,
    flags: Arc<JobFlags>,
    /// The transport's epoch when the job was queued.
    epoch: u64,
    /// Whether the job may still be started.
    condition: StartCondition,
    /// After this the connection is closed if the worker has not replied, so that a silent worker cannot keep
    /// connections busy.
    deadline: Instant,
}

/// The state that the transport and its connections share.
#[derive(Default)]
struct SharedState {
    /// Incremented each time the worker drains, restarts or is gone.
    epoch: AtomicU64,
    /// Jobs that were queued and have not ended.
    pending: AtomicUsize,
    connections: AtomicUsize,
}

/// The transport to one KServe v2 worker.
pub struct KserveTransport {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: ReportSender,
    state: Arc<SharedState>,
    jobs: Sender<Job>,
    queue: Receiver<Job>,
    /// Flags of the attempts that may still be pending.
    attempt_flags: Vec<(AttemptKey, Arc<JobFlags>)>,
}

impl KserveTransport {
    /// Creates a transport. Connections are opened when they are needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: ReportSender) -> Self {
        let (jobs, queue) = queue();
        let (state, attempt_flags) = (Arc::default(), Vec::new());
        KserveTransport { address, limits, reports, state, jobs, queue, attempt_flags }
    }

    /// Queues a job, and starts another connection if all are busy and the limit allows it.
    fn enqueue(&mut self, kind: JobKind, bytes: Vec<u8>, condition: StartCondition, budget: Micros) {
        let flags = Arc::<JobFlags>::default();
        if let JobKind::Attempt { key, .. } = kind {
            self.drop_ended_flags();
            self.attempt_flags.push((key, flags.clone()));
        }
        let epoch = self.state.epoch.load(Ordering::Acquire);
        let deadline = Instant::now() + Duration::from_micros(budget);
        let pending = self.state.pending.fetch_add(1, Ordering::AcqRel) + 1;
        // If no connection takes the job, the core's timer ends it.
        self.jobs.send(Job { kind, bytes, flags, epoch, condition, deadline });
        let connections = self.state.connections.load(Ordering::Acquire);
        if pending > connections && connections < self.limits.connections_per_kserve_worker {
            self.state.connections.fetch_add(1, Ordering::AcqRel);
            let (address, limits, reports) = (self.address, self.limits.clone(), self.reports.clone());
            let (state, queue) = (self.state.clone(), self.queue.clone());
            let run = move || Connection { address, limits, reports, state, stream: None }.run(&queue);
            if let Err(e) = spawn(self.limits.coroutine_stack, run) {
                self.state.connections.fetch_sub(1, Ordering::AcqRel);
                log_limited!("worker {}: could not start a connection: {e}", self.address);
            }
        }
    }

    /// Drops the flags whose jobs have ended.
    fn drop_ended_flags(&mut self) {
        self.attempt_flags.retain(|(_, flag)| Arc::strong_count(flag) > 1);
    }

    fn post(&self, path: &str, budget: Micros, body: &[u8]) -> Vec<u8> {
        let (host, length, budget) = (self.address, body.len(), budget / 1000);
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\nX-Budget-Ms: {budget}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

impl Transport for KserveTransport {
    fn send_attempt(
        &mut self, key: AttemptKey, request: &Arc<Request>, budget: Micros, start_deadline: Option<Instant>,
    ) {
        let path = format!("/v2/models/{:016x}/infer", request.function);
        let (bytes, wrapped) = match &request.payload {
            Payload::Json(body) => (self.post(&path, budget, body), false),
            Payload::Bytes(body) => (self.post(&path, budget, &wrap_request(request, body, budget)), true),
        };
        let condition = StartCondition::WhileReady { deadline: start_deadline };
        self.enqueue(JobKind::Attempt { key, wrapped }, bytes, condition, budget);
    }

    fn cancel_attempt(&mut self, key: AttemptKey) {
        if let Some(index) = self.attempt_flags.iter().position(|(k, _)| *k == key) {
            self.attempt_flags.swap_remove(index).1.cancelled.store(true, Ordering::Release);
        }
    }

    fn withdraw_attempt(&mut self, key: AttemptKey) {
        if let Some((_, flags)) = self.attempt_flags.iter().find(|(k, _)| *k == key) {
            flags.withdrawn.store(true, Ordering::Release);
        }
    }

    fn abandon(&mut self, _command: u64) {} // the connection is closed at `Job::deadline`

    fn is_idle(&self) -> bool {
        self.state.pending.load(Ordering::Acquire) == 0
    }

    fn open_connections(&self) -> usize {
        self.state.connections.load(Ordering::Acquire)
    }

    fn needs_connection(&self, _: Option<u64>) -> bool {
        // `Limits::connections_per_kserve_worker` bounds these connections, so the transport never asks for
        // another.
        false
    }

    fn idle_since(&self) -> Option<Instant> {
        None // idle connections close by themselves
    }

    fn close_longest_idle(&mut self) {}

    // The start deadline is ignored: these workers come from a file, so what is known of their readiness does
    // not expire.
    fn send_load(
        &mut self, command: u64, function: FunctionId, copies: u32, _start_deadline: Option<Instant>,
    ) {
        let bytes = if copies > 0 {
            let parameters = json_object(vec![("slots_up", Value::Number(Number::U64(copies.into())))]);
            let body = json::to_string(&json_object(vec![("parameters", parameters)]));
            let path = format!("/v2/repository/models/{function:016x}/load");
            self.post(&path, self.limits.command_timeout, body.as_bytes())
        } else {
            self.post("/v2/repository/index", self.limits.command_timeout, b"{\"ready\":true}")
        };
        let condition =
            if copies > 0 { StartCondition::WhileReady { deadline: None } } else { StartCondition::Always };
        self.enqueue(
            JobKind::Load { command, function, copies },
            bytes,
            condition,
            self.limits.command_timeout,
        );
    }

    fn send_probe(&mut self, probe: u64) {
        // The endpoints file says that the worker is ready.
        self.reports.probe_ended(probe, Outcome::Ok, None);
    }

    fn unload(&mut self, function: FunctionId) {
        let path = format!("/v2/repository/models/{function:016x}/unload");
        let bytes = self.post(&path, self.limits.command_timeout, b"{}");
        self.enqueue(JobKind::Unload, bytes, StartCondition::Always, self.limits.command_timeout);
    }

    fn retire(&mut self) {
        self.state.epoch.fetch_add(1, Ordering::AcqRel);
    }

    fn check_liveness(&mut self) {} // a connection carries one exchange, which has a deadline

    fn sweep(&mut self) {
        self.drop_ended_flags(); // idle connections close by themselves
    }
}

/// The coroutine of one connection.
struct Connection {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: ReportSender,
    state: Arc<SharedState>,
    /// The open connection, and when it was last used.
    stream: Option<(TcpStream, Instant)>,
}

/// A complete HTTP response of the worker.
struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl Connection {
    fn run(mut self, queue: &Receiver<Job>) {
        loop {
            match queue.receive_within(self.limits.worker_idle_timeout) {
                Ok(job) => {
                    self.run_job(&job);
                    self.state.pending.fetch_sub(1, Ordering::AcqRel);
                }
                // Closing an idle connection before the worker does keeps an attempt from crossing the
                // worker's close.
                Err(ReceiveError::TimedOut) => self.stream = None,
                Err(ReceiveError::Closed) => return,
            }
        }
    }

    fn run_job(&mut self, job: &Job) {
        let result = self.exchange(job);
        if job.flags.is_cancelled() {
            return; // the core has ended the attempt already
        }
        match &job.kind {
            JobKind::Attempt { key, wrapped } => {
                let report = match result {
                    Ok(reply) => attempt_report(reply, *wrapped),
                    Err(outcome) => AttemptReport::without_reply(outcome),
                };
                self.reports.attempt_ended(*key, report);
            }
            JobKind::Load { command, function, copies } => {
                let (outcome, loaded) = match result {
                    Ok(reply) => load_result(&reply, *function, *copies),
                    Err(outcome) => (outcome, 0),
                };
                self.reports.load_ended(*command, outcome, loaded);
            }
            JobKind::Unload => {}
        }
    }

    /// Whether the job must not be started any more.
    fn must_not_start(&self, job: &Job) -> bool {
        let retired = job.epoch != self.state.epoch.load(Ordering::Acquire);
        job.flags.is_cancelled()
            || job.flags.is_withdrawn()
            || job.condition.has_expired(retired, Instant::now())
    }

    /// Sends the request and reads the whole reply.
    ///
    /// # Errors
    /// Returns the outcome that says whether the worker may have run the request.
    fn exchange(&mut self, job: &Job) -> Result<Reply, Outcome> {
        if self.must_not_start(job) {
            return Err(Outcome::NotSent);
        }
        let mut stream = match self.stream.take() {
            Some((stream, last_used))
                if last_used.elapsed() < self.limits.worker_idle_timeout && is_still_open(&stream) =>
            {
                stream
            }
            _ => self.connect().map_err(|why| {
                log_limited!("worker {}: could not connect: {why}", self.address);
                Outcome::ConnectFailed
            })?,
        };
        if self.must_not_start(job) {
            self.stream = Some((stream, Instant::now()));
            return Err(Outcome::NotSent);
        }
        self.write(&mut stream, job).inspect_err(|_| reset_when_closed(&stream))?;
        let result = self.read(&mut stream, job).inspect_err(|_| reset_when_closed(&stream));
        let (reply, reusable) = result.map_err(|why| {
            if !job.flags.is_cancelled() {
                log_limited!("worker {}: no complete reply, the request may have run: {why}", self.address);
            }
            // The request was written completely, so it may have run.
            Outcome::Reset
        })?;
        if reusable {
            self.stream = Some((stream, Instant::now()));
        }
        Ok(reply)
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, self.limits.connect_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.write_check_interval))?;
        stream.set_read_timeout(Some(self.limits.write_check_interval))?;
        Ok(stream)
    }

    fn write(&self, stream: &mut TcpStream, job: &Job) -> Result<(), Outcome> {
        let (mut ring, mut rest, mut stalled) =
            (RingBuffer::new(job.bytes.len()), &job.bytes[..], Duration::ZERO);
        rest = &rest[ring.push(rest)..];
        debug_assert!(rest.is_empty());
        while !ring.is_empty() {
            match stream.write(ring.front()) {
                Ok(n) if n > 0 => {
                    stalled = Duration::ZERO;
                    ring.consume(n);
                }
                Err(e) if is_timeout(&e) && stalled < self.limits.write_stall_timeout => {
                    stalled += self.limits.write_check_interval;
                    if self.must_not_start(job) && ring.len() == job.bytes.len() {
                        return Err(Outcome::NotSent);
                    }
                }
                // A request that was not written completely cannot have run.
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        Ok(())
    }

    /// Reads one reply, and tells whether the connection can carry another exchange.
    fn read(&self, stream: &mut TcpStream, job: &Job) -> Result<(Reply, bool), String> {
        let mut ring = RingBuffer::new(self.limits.client_buffer);
        let (mut head_bytes, mut body) = (Vec::new(), Vec::new());
        let mut head: Option<Head> = None;
        let mut chunks = ChunkedDecoder::default();
        let mut last_read = Instant::now();
        let mut budget = Budget::new(Group::Workers);
        let mut memory = self.reports.reply_memory().map_err(|e| e.to_string())?;
        loop {
            resize_reply(&mut memory, head_bytes.capacity() + body.capacity()).map_err(|e| e.to_string())?;
            if let Some(head) = head.as_ref() {
                let complete = match head.length {
                    Some(length) => {
                        ring.drain_into(length - body.len(), &mut body);
                        body.len() == length
                    }
                    None if head.chunked => decode_chunks(&mut chunks, &mut ring, &mut body)?,
                    None => return Err("the reply has no length and is not chunked".to_owned()),
                };
                if complete {
                    let reusable = !head.close && !head.chunked && ring.is_empty();
                    return Ok((Reply { status: head.status, body }, reusable));
                }
                if body.len() > self.limits.max_reply {
                    return Err("the reply is too long".to_owned());
                }
            }
            while head.is_none() && ring.drain_into(1, &mut head_bytes) > 0 {
                if head_bytes.ends_with(b"\r\n\r\n") {
                    let parsed = Head::parse_response(&head_bytes)?;
                    if parsed.length.is_some_and(|l| l > self.limits.max_reply) {
                        return Err("the reply is too long".to_owned());
                    }
                    head_bytes.clear();
                    // Skips 1xx responses such as 100 Continue.
                    head = (parsed.status >= 200).then_some(parsed);
                } else if head_bytes.len() > self.limits.max_head {
                    return Err("the reply's head is too long".to_owned());
                }
            }
            if head.is_some() && (!ring.is_empty() || head.as_ref().is_some_and(|h| h.length == Some(0))) {
                continue;
            }
            match ring.read_from(stream) {
                Ok(0) => return Err("the worker closed the connection".to_owned()),
                Ok(_) => {
                    last_read = Instant::now();
                    budget.record_operation();
                }
                Err(e) if is_timeout(&e) => {
                    // As with frames, a reply that has begun must go on without long pauses.
                    let begun = head.is_some() || !head_bytes.is_empty();
                    if begun && last_read.elapsed() > self.limits.reply_stall_timeout {
                        return Err("the reply stopped before its end".to_owned());
                    }
                    // HTTP/1.1 has no cancel: closing the connection is the only way to end an exchange
                    // early.
                    if job.flags.is_cancelled() || Instant::now() > job.deadline {
                        return Err("cancelled or past its deadline".to_owned());
                    }
                }
                Err(e) => return Err(e.to_string()),
            }
        }
    }
}

/// Whether an idle connection can be used: neither bytes nor its end may be waiting to be read.
fn is_still_open(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Err(e) if is_timeout(&e))
}

/// Decodes the bytes in the ring buffer; whether the last chunk has been reached.
fn decode_chunks(
    chunks: &mut ChunkedDecoder, ring: &mut RingBuffer, body: &mut Vec<u8>,
) -> Result<bool, String> {
    let mut bytes = Vec::new();
    ring.drain_into(usize::MAX, &mut bytes);
    for byte in bytes {
        match chunks.decode(byte)? {
            ChunkedItem::Content(byte) => body.push(byte),
            ChunkedItem::Framing => {}
            ChunkedItem::End => return Ok(true),
        }
    }
    Ok(false)
}

fn parse_json(body: &[u8]) -> Option<Value> {
    std::str::from_utf8(body).ok().and_then(|t| parse(t).ok())
}

/// The outcome that an HTTP status stands for. A worker responds with 404 if it does not have the model, and
/// with 429 or 503 if it accepts no work: in none of these cases has anything run.
fn outcome(status: u16) -> Outcome {
    match status {
        200 => Outcome::Ok,
        404 => Outcome::Miss,
        429 | 503 => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

fn attempt_report(reply: Reply, wrapped: bool) -> AttemptReport {
    let json = parse_json(&reply.body);
    let response = json.as_ref().and_then(as_object);
    let parameters = response.and_then(|r| object(r, "parameters"));
    let warm = match parameters.and_then(|p| string(p, "detail")) {
        Some("resident") => Some(true),
        Some("booted" | "rode") => Some(false),
        _ => None,
    };
    let function_inflight =
        parameters.and_then(|p| unsigned(p, "company")).map(|n| n.min(MAX_REPORTED_COUNT) as u32);
    let mut outcome = outcome(reply.status);
    let payload = match outcome {
        Outcome::Ok if wrapped => response.and_then(unwrap_response).map(Payload::Bytes),
        Outcome::Ok => response.is_some().then_some(Payload::Json(reply.body)),
        _ => None,
    };
    if outcome == Outcome::Ok && payload.is_none() {
        outcome = Outcome::Error; // the request ran, but its result cannot be passed on
    }
    AttemptReport { outcome, warm, function_inflight, inflight: None, payload }
}

/// The outcome of a load command or a copy query, and the number of loaded copies.
fn load_result(reply: &Reply, function: FunctionId, copies: u32) -> (Outcome, u32) {
    let (outcome, json) = (outcome(reply.status), parse_json(&reply.body));
    let reported_copies = |o: &Object| unsigned(o, "slots_up").map(|n| n.min(MAX_REPORTED_COUNT) as u32);
    if copies > 0 {
        let reported =
            json.as_ref().and_then(as_object).and_then(|o| object(o, "parameters").and_then(reported_copies));
        let loaded = if outcome == Outcome::Ok { reported.unwrap_or(copies) } else { reported.unwrap_or(0) };
        return (if outcome == Outcome::Miss { Outcome::Error } else { outcome }, loaded);
    }
    let name = format!("{function:016x}");
    let Some(Value::Array(models)) = &json else {
        return (if outcome == Outcome::Ok { Outcome::Error } else { outcome }, 0);
    };
    let is_ready = |m: &&Object| string(m, "name") == Some(&name) && string(m, "state") == Some("READY");
    let loaded = models
        .iter()
        .filter_map(as_object)
        .filter(is_ready)
        .map(|m| object(m, "parameters").and_then(reported_copies).unwrap_or(1));
    (outcome, loaded.sum())
}
