//! The KServe v2 server: the Open Inference Protocol over HTTP/1.1 REST. Its requests go to the same core as
//! those of FastCGI clients. The read-only administration API uses the same HTTP code.
mod body;

use super::validation::{parse_id, InvalidRequest};
use super::ServerContext;
use crate::connection_limiter::{ClientActivity, ConnectionLimiter, ConnectionPermit, RejectIncomplete};
use crate::http::{response, Head};
use crate::memory::Reservation;
use crate::messages::{Client, IncomingGuard, Message, Payload, Request, Response};
use crate::net::{is_timeout, Socket};
use crate::outbox::{memory_of_response, Outbox};
use crate::response_size::ExpectedResponse;
use crate::ring::RingBuffer;
use crate::worker::kserve::wrap_response;
use heronslip_policy::json::{as_object, parse};
use may::sync::Mutex;
use miniserde::json::{self, Object, Value};
use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Instant;

/// Encodes an error object of the protocol.
pub fn error_body(message: &str) -> Vec<u8> {
    let mut fields = Object::new();
    fields.insert("error".to_owned(), Value::String(message.to_owned()));
    json::to_string(&fields).into_bytes()
}

fn response_bytes(result: Response, close: bool) -> Vec<u8> {
    match result {
        Response::Served(Payload::Json(body)) => response("200 OK", "", &body, close),
        Response::Served(Payload::Bytes(body)) => {
            // From a worker of the platform's protocol: JSON objects are passed on unchanged, other bytes as
            // a tensor.
            let json = std::str::from_utf8(&body).ok().and_then(|t| parse(t).ok());
            let body = if json.as_ref().and_then(as_object).is_some() { body } else { wrap_response(&body) };
            response("200 OK", "", &body, close)
        }
        Response::Refused { retry_after } => {
            // Retry-After allows only whole seconds; Srv-Wait-Ms states the exact time.
            let headers = format!(
                "Retry-After: {}\r\nSrv-Wait-Ms: {}\r\n",
                retry_after.div_ceil(1_000_000).max(1),
                retry_after.div_ceil(1000)
            );
            let body = error_body("refused, trying again is harmless");
            response("503 Service Unavailable", &headers, &body, close)
        }
        Response::Failed => response("500 Internal Server Error", "", &error_body("failed"), close),
    }
}

/// The place of a response in the order of the connection's requests.
struct ResponseSlot {
    tag: u64,
    /// Whether the connection closes after this response.
    close: bool,
    /// The encoded response, once there is one.
    bytes: Option<Vec<u8>>,
    /// Memory for the response, if it comes from the core.
    room: Option<Reservation>,
}

/// A client connection as the core sees it.
struct Connection {
    activity: Arc<ClientActivity>,
    limiter: ConnectionLimiter,
    expected_response: Arc<ExpectedResponse>,
    outbox: Outbox,
    slots: Mutex<VecDeque<ResponseSlot>>,
}

impl Connection {
    /// Puts a response in its slot, and sends all responses that no earlier slot holds up.
    fn fill_slot(&self, tag: u64, encode: impl FnOnce(bool) -> Vec<u8>) {
        let Ok(mut slots) = self.slots.lock() else { return };
        if let Some(slot) = slots.iter_mut().find(|s| s.tag == tag && s.bytes.is_none()) {
            let mut bytes = encode(slot.close);
            if let Some(room) = &mut slot.room {
                // The response may wait for earlier ones for long, so it must fit.
                if !self.limiter.resize(&self.activity, room, memory_of_response(bytes.len())) {
                    log_limited!("client: a response failed: the memory budget for responses is exhausted");
                    bytes = response_bytes(Response::Failed, slot.close);
                }
            }
            slot.bytes = Some(bytes);
        }
        while slots.front().is_some_and(|s| s.bytes.is_some()) {
            let Some(ResponseSlot { bytes: Some(bytes), close, room, .. }) = slots.pop_front() else {
                return;
            };
            match room {
                Some(room) => {
                    self.outbox.send_reserved(bytes, room, || response_bytes(Response::Failed, close));
                }
                None => self.outbox.send(bytes),
            }
            if close {
                self.outbox.close();
            }
        }
    }

    /// Sets the memory for the response in a slot.
    fn set_room(&self, tag: u64, room: Reservation) {
        let Ok(mut slots) = self.slots.lock() else { return };
        if let Some(slot) = slots.iter_mut().find(|s| s.tag == tag) {
            slot.room = Some(room);
        }
    }
}

// A connection reads one request at a time, which ends soon: see `Limits::request_read_timeout`.
impl RejectIncomplete for Connection {
    fn reject_incomplete(&self) {}
}

impl Client for Connection {
    fn respond(&self, tag: u64, response: Response) {
        let served = matches!(response, Response::Served(_));
        self.activity.request_ended(!matches!(response, Response::Failed));
        self.fill_slot(tag, |close| {
            let bytes = response_bytes(response, close);
            if served {
                self.expected_response.record(bytes.len());
            }
            bytes
        });
    }

    fn connection_id(&self) -> u64 {
        self.activity.connection_id
    }

    fn has_left(&self) -> bool {
        self.activity.has_hung_up()
    }
}

/// Serves a KServe v2 client connection until it closes.
pub fn serve(stream: Socket, context: &ServerContext, permit: ConnectionPermit) {
    serve_http(stream, context, permit, "kserve", |reader, tag, head, body, reservation| {
        reader.handle_kserve(tag, head, body, reservation)
    });
}

/// Serves a connection of the read-only administration API until it closes.
pub fn serve_admin(stream: Socket, context: &ServerContext, permit: ConnectionPermit) {
    serve_http(stream, context, permit, "admin", |reader, _, head, _, _| reader.handle_admin(head));
}

type Handler = fn(&Reader<'_>, u64, &Head, Vec<u8>, Option<Reservation>) -> HandlerResult;

fn serve_http(
    stream: Socket, context: &ServerContext, permit: ConnectionPermit, server: &'static str, handler: Handler,
) {
    let peer = stream.peer_addr().map_or("?".to_owned(), |p| p.to_string());
    let permit = Arc::new(permit);
    let connection = Arc::new(Connection {
        activity: permit.activity.clone(),
        limiter: context.connection_limiter.clone(),
        expected_response: context.expected_response.clone(),
        outbox: context.new_outbox(stream.clone(), permit.clone()),
        slots: Mutex::default(),
    });
    let requests: Weak<Connection> = Arc::downgrade(&connection);
    permit.activity.set_server_side(&connection.outbox, requests);
    stream.watch(&context.hang_ups, permit.activity.connection_id);
    let reader = Reader { context, connection: connection.clone(), handler };
    if let Err(reason) = reader.run(stream) {
        log_limited!("{server} {peer}: connection closed: {reason}");
    }
    // Sending fails only when the process ends.
    let _ = context.core.send(Message::ClientDisconnected { connection: permit.activity.connection_id });
    connection.outbox.close();
}

/// Message of a response to a request for which there is no memory.
const OUT_OF_MEMORY: &str = "too many bytes are held";

/// A request that has been read in part.
struct PartialRequest {
    started_at: Instant,
    incoming: IncomingGuard,
    /// Memory of its head and body.
    reservation: Reservation,
}

/// Memory is reserved for a head in steps of this many bytes.
const HEAD_STEP: usize = 1024;

/// How a handler has dealt with a request.
enum HandlerResult {
    /// The core responds later.
    Pending,
    /// The response is sent at once, with this status and body.
    Immediate(&'static str, Vec<u8>),
}

fn error_result(status: &'static str, message: &str) -> HandlerResult {
    HandlerResult::Immediate(status, error_body(message))
}

struct Reader<'a> {
    context: &'a ServerContext,
    connection: Arc<Connection>,
    handler: Handler,
}

impl Reader<'_> {
    fn run(&self, mut stream: Socket) -> Result<(), String> {
        let limits = &self.context.limits;
        let (mut ring, mut head_bytes, mut tag) = (RingBuffer::new(limits.client_buffer), Vec::new(), 0u64);
        let mut partial_body: Option<(Head, Vec<u8>)> = None;
        let mut partial_request: Option<PartialRequest> = None; // set while a request is incomplete
        let activity = &self.connection.activity;
        stream.set_read_timeout(limits.client_check_interval).map_err(|e| e.to_string())?;
        loop {
            activity.set_reading_request(partial_request.is_some());
            self.context.wait_for_core(activity);
            match ring.read_from(&mut stream) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {}
                Err(e) => return Err(e.to_string()),
            }
            // As in the FastCGI server: closes connections that never complete a request, or send none.
            let is_overdue = |p: &PartialRequest| p.started_at.elapsed() > limits.request_read_timeout;
            if partial_request.as_ref().is_some_and(is_overdue) {
                self.send_last(tag, "408 Request Timeout", "the request never came whole");
                return Err("timed out reading a request".to_owned());
            }
            let stopping = self.context.shared.refuses_requests.load(Ordering::Acquire) && activity.is_idle();
            if partial_request.is_none() && ring.is_empty() && (stopping || activity.is_expired(limits)) {
                return Ok(());
            }
            while !ring.is_empty() {
                let partial = match &mut partial_request {
                    Some(partial) => partial,
                    None => partial_request.insert(self.begin_request(tag)?),
                };
                if partial_body.is_none() {
                    ring.drain_into(1, &mut head_bytes);
                    if head_bytes == b"\r\n" {
                        head_bytes.clear(); // an empty line before a request is ignored
                        partial_request = None;
                        continue;
                    }
                    if head_bytes.len().is_multiple_of(HEAD_STEP) {
                        self.grow(partial, HEAD_STEP, tag)?;
                    }
                    if head_bytes.len() > limits.max_head {
                        let message = "the head is too long";
                        self.send_last(tag, "431 Request Header Fields Too Large", message);
                        return Err("the request's head is too long".to_owned());
                    }
                    if !head_bytes.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let head = Head::parse_request(&head_bytes)
                        .inspect_err(|message| self.send_last(tag, "400 Bad Request", message))?;
                    head_bytes.clear();
                    let length = head.length.unwrap_or(0);
                    if head.chunked || length > limits.max_body {
                        let (status, message) = match head.chunked {
                            true => ("411 Length Required", "chunked requests are not read"),
                            false => ("413 Content Too Large", "the body is too long"),
                        };
                        self.send_last(tag, status, message);
                        return Err(message.to_owned());
                    }
                    if head.expects_continue && length > 0 {
                        self.connection.outbox.send(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
                    }
                    self.grow(partial, length, tag)?;
                    partial_body = Some((head, Vec::with_capacity(length)));
                }
                if let Some((mut head, mut body)) = partial_body.take() {
                    let length = head.length.unwrap_or(0);
                    ring.drain_into(length - body.len(), &mut body);
                    if body.len() < length {
                        partial_body = Some((head, body));
                        continue;
                    }
                    tag += 1;
                    head.close |= activity.refuses_requests;
                    let (incoming, reservation) =
                        partial_request.take().map(|p| (p.incoming, p.reservation)).unzip();
                    self.handle_request(tag, &head, body, reservation)?;
                    drop(incoming); // only now: the request passed to the core has its own guard
                    if head.close {
                        return self.discard_until_closed(&mut ring, &mut stream);
                    }
                    if self.connection.outbox.is_closing() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Begins to read the request that gets the next tag after `tag`.
    fn begin_request(&self, tag: u64) -> Result<PartialRequest, String> {
        let reservation = self.connection.activity.account.reserve(0).ok_or("no account")?;
        let incoming = IncomingGuard::new(&self.context.incoming_requests);
        let mut partial = PartialRequest { started_at: Instant::now(), incoming, reservation };
        self.grow(&mut partial, HEAD_STEP, tag)?;
        Ok(partial)
    }

    /// Reserves more memory for a request that is being read; refuses it if there is none.
    fn grow(&self, partial: &mut PartialRequest, bytes: usize, tag: u64) -> Result<(), String> {
        let bytes = partial.reservation.bytes() + bytes;
        let activity = &self.connection.activity;
        if self.context.connection_limiter.resize(activity, &mut partial.reservation, bytes) {
            return Ok(());
        }
        self.send_last(tag, "503 Service Unavailable", OUT_OF_MEMORY);
        Err("the memory budget for requests is exhausted".to_owned())
    }

    /// Discards everything after the last request until the client closes the connection.
    fn discard_until_closed(&self, ring: &mut RingBuffer, stream: &mut Socket) -> Result<(), String> {
        loop {
            ring.truncate(0);
            match ring.read_from(stream) {
                Err(e) if is_timeout(&e) => {}
                Ok(n) if n > 0 => {}
                _ => return Ok(()),
            }
        }
    }

    /// Responds to a request that cannot be read, and closes the connection after the response.
    fn send_last(&self, tag: u64, status: &'static str, message: &str) {
        if let Ok(mut slots) = self.connection.slots.lock() {
            slots.push_back(ResponseSlot { tag: tag + 1, close: true, bytes: None, room: None });
        }
        self.connection.fill_slot(tag + 1, |close| response(status, "", &error_body(message), close));
    }

    fn handle_request(
        &self, tag: u64, head: &Head, body: Vec<u8>, reservation: Option<Reservation>,
    ) -> Result<(), String> {
        {
            let mut slots = self.connection.slots.lock().map_err(|_| "poisoned")?;
            if slots.len() >= self.context.limits.requests_per_connection {
                return Err("too many open requests on one connection".to_owned());
            }
            slots.push_back(ResponseSlot { tag, close: head.close, bytes: None, room: None });
        }
        if let HandlerResult::Immediate(status, body) = (self.handler)(self, tag, head, body, reservation) {
            self.connection.activity.answered_directly();
            let headers = if status.starts_with("503") { "Retry-After: 1\r\n" } else { "" };
            self.connection.fill_slot(tag, |close| response(status, headers, &body, close));
        }
        Ok(())
    }

    fn ready(&self) -> bool {
        self.context.shared.ready.load(Ordering::Acquire)
    }

    fn handle_kserve(
        &self, tag: u64, head: &Head, body: Vec<u8>, reservation: Option<Reservation>,
    ) -> HandlerResult {
        let path = head.target.split('?').next().unwrap_or_default();
        let mut segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        // A path may name a version. Each model has only one, so it is ignored.
        if segments.len() > 4 && segments[3] == "versions" {
            segments.drain(3..5);
        }
        let method = head.method.as_str();
        let health = |name: &str, healthy: bool| {
            let status = if healthy { "200 OK" } else { "503 Service Unavailable" };
            HandlerResult::Immediate(status, format!("{{\"{name}\":{healthy}}}").into_bytes())
        };
        match (method, &segments[..]) {
            ("GET", ["v2", "health", "live"]) => health("live", true),
            ("GET", ["v2", "health", "ready"]) => health("ready", self.ready()),
            ("GET", ["v2"]) => {
                let text = concat!(
                    r#"{"name":"heronslip","version":""#,
                    env!("CARGO_PKG_VERSION"),
                    r#"","extensions":[]}"#
                );
                HandlerResult::Immediate("200 OK", text.as_bytes().to_vec())
            }
            (_, ["v2", "models", name, ..]) if parse_id(name).is_none() => {
                error_result("404 Not Found", "unknown model: a name is 16 hex digits")
            }
            ("GET", ["v2", "models", name, "ready"]) => {
                let ready = self.ready();
                let status = if ready { "200 OK" } else { "503 Service Unavailable" };
                let body = format!("{{\"name\":\"{name}\",\"ready\":{ready}}}");
                HandlerResult::Immediate(status, body.into_bytes())
            }
            ("GET", ["v2", "models", name]) => {
                let tensor = r#"[{"name":"body","datatype":"BYTES","shape":[1]}]"#;
                let text = format!(
                    "{{\"name\":\"{name}\",\"versions\":[\"1\"],\"platform\":\"heronslip\",\"inputs\":{tensor},\"outputs\":{tensor}}}"
                );
                HandlerResult::Immediate("200 OK", text.into_bytes())
            }
            ("POST", ["v2", "models", name, "infer"]) => self.infer(tag, name, body, reservation),
            (_, ["v2", "models", _, "infer" | "ready"]) | (_, ["v2", "health", _]) => {
                error_result("405 Method Not Allowed", "method")
            }
            _ => error_result("404 Not Found", "no such resource"),
        }
    }

    fn infer(&self, tag: u64, name: &str, body: Vec<u8>, reservation: Option<Reservation>) -> HandlerResult {
        let received_at = Instant::now();
        let activity = &self.connection.activity;
        if activity.refuses_requests {
            log_limited!("kserve: request refused: the limit on client connections is reached");
            return error_result("503 Service Unavailable", "too many connections");
        }
        let Some((reservation, room)) = self.context.reserve_request(activity, reservation, body.capacity())
        else {
            log_limited!("kserve: request refused: the memory budget for requests is exhausted");
            return error_result("503 Service Unavailable", OUT_OF_MEMORY);
        };
        match self.read_request(name, body) {
            Ok(request) => {
                let mut incoming = IncomingGuard::new(&self.context.incoming_requests);
                incoming.count_as_queued(&activity.queued_requests);
                let incoming = Some(incoming);
                let request = Request { received_at, reservation: Some(reservation), incoming, ..request };
                activity.request_opened();
                self.connection.set_room(tag, room);
                let client = self.connection.clone();
                let _ = self.context.core.send(Message::Request { request, client, tag });
                HandlerResult::Pending
            }
            Err(reason) => {
                log_limited!("kserve: request failed: {reason}");
                error_result(reason.status(), &reason.to_string())
            }
        }
    }

    fn read_request(&self, name: &str, body: Vec<u8>) -> Result<Request, InvalidRequest> {
        let default_wait_ms = self.context.limits.default_wait as f64 / 1000.0;
        self.context.rules.validate(body::decode_request(name, body, default_wait_ms)?)
    }

    fn handle_admin(&self, head: &Head) -> HandlerResult {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET", "/healthz") if self.ready() => {
                HandlerResult::Immediate("200 OK", b"{\"ready\":true}".to_vec())
            }
            ("GET", "/healthz") => {
                HandlerResult::Immediate("503 Service Unavailable", b"{\"ready\":false}".to_vec())
            }
            ("GET", "/v1/state") => {
                let (reply, state) = may::sync::mpsc::channel();
                let _ = self.context.core.send(Message::Inspect { reply });
                match state.recv() {
                    Ok(state) => HandlerResult::Immediate("200 OK", state.into_bytes()),
                    Err(_) => error_result("503 Service Unavailable", "the core is ending"),
                }
            }
            ("GET", _) => error_result("404 Not Found", "there are /healthz and /v1/state"),
            _ => error_result("405 Method Not Allowed", "this API is read-only"),
        }
    }
}
