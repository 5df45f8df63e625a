//! The reader of a connection: takes its records and passes complete requests to the core.
use super::parameters::Parameters;
use super::records::{
    decode_pairs, encode_record, encode_response, kind, status, RecordPart, RecordReader, TruncatedPair,
    KEEP_CONN, RESPONDER,
};
use super::requests::{InvalidStream, OpenRequest, PartialRequest, Rejection, Stream, PARTIAL_REQUEST_BYTES};
use super::{request_tag, Connection};
use crate::limits::Limits;
use crate::messages::{IncomingGuard, Message, Request};
use crate::net::{is_timeout, Socket};
use crate::ring::RingBuffer;
use crate::server::ServerContext;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Reads one connection.
pub(super) struct Reader<'a> {
    context: &'a ServerContext,
    connection: &'a Arc<Connection>,
    stream: Socket,
    last_sequence: u64,
    /// Discarded bytes that belong to no request, since the last complete request.
    unassigned_discarded: usize,
}

impl<'a> Reader<'a> {
    pub fn new(context: &'a ServerContext, connection: &'a Arc<Connection>, stream: Socket) -> Self {
        Reader { context, connection, stream, last_sequence: 0, unassigned_discarded: 0 }
    }

    /// Reads until the connection closes.
    ///
    /// # Errors
    /// Returns why the connection must be closed.
    pub fn run(&mut self) -> Result<(), String> {
        let limits = self.context.limits.clone();
        self.stream.set_read_timeout(limits.client_check_interval).map_err(|e| e.to_string())?;
        let mut ring = RingBuffer::new(limits.client_buffer);
        let mut records = RecordReader::new();
        let mut last_check = Instant::now();
        loop {
            self.context.wait_for_core(&self.connection.activity);
            match ring.read_from(&mut self.stream) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {}
                Err(e) => return Err(e.to_string()),
            }
            while let Some(part) = records.next(&mut ring)? {
                self.handle_record(&part)?;
                if self.connection.outbox.is_closing() || self.connection.activity.has_hung_up() {
                    return Ok(());
                }
            }
            self.connection.activity.set_reading_request(self.is_reading(&records)?);
            if last_check.elapsed() >= limits.client_check_interval {
                last_check = Instant::now();
                self.reject_overdue(records.partial_since(), &limits)?;
                // Checked here and not after a response, so that requests read by now are answered first.
                if !self.is_reading(&records)? && self.may_close(&limits) {
                    return Ok(());
                }
            }
        }
    }

    /// Whether a request has been read in part.
    fn is_reading(&self, records: &RecordReader) -> Result<bool, String> {
        let requests = self.connection.requests.lock().map_err(|_| POISONED)?;
        Ok(!requests.partial.is_empty() || records.partial_since().is_some())
    }

    /// Whether the connection may close if no request is being read: the program stops, or the connection has
    /// been idle for too long.
    fn may_close(&self, limits: &Limits) -> bool {
        let activity = &self.connection.activity;
        let stops = self.context.shared.refuses_requests.load(Ordering::Acquire);
        stops && activity.is_idle() || activity.is_expired(limits)
    }

    /// Rejects requests that take too long to arrive, or closes the connection if nothing else is open on it.
    /// Each must get a response or a close, and holds memory until then. `record_since` tells since when a
    /// record has been read in part.
    fn reject_overdue(&mut self, record_since: Option<Instant>, limits: &Limits) -> Result<(), String> {
        let is_overdue = |since: Instant| since.elapsed() > limits.request_read_timeout;
        let is_idle = self.connection.activity.is_idle();
        if record_since.is_some_and(is_overdue) && is_idle {
            return Err("timed out reading a record".to_owned());
        }
        let requests = self.connection.requests.lock().map_err(|_| POISONED)?;
        let overdue = requests.partial.iter().filter(|(_, p)| is_overdue(p.started_at));
        let (ids, rejected): (Vec<u16>, Vec<bool>) = overdue.map(|(&id, p)| (id, p.is_rejected())).unzip();
        drop(requests);
        if !ids.is_empty() && is_idle {
            return Err("timed out reading a request".to_owned());
        }
        for (id, _) in ids.into_iter().zip(rejected).filter(|(_, rejected)| !rejected) {
            self.connection.reject_partial(id, InvalidStream::Timeout.into());
        }
        Ok(())
    }

    /// Discards bytes of a rejected request, or of none that is known. Too many of them close the connection.
    fn discard(&mut self, id: u16, bytes: usize) -> Result<(), String> {
        let mut requests = self.connection.requests.lock().map_err(|_| POISONED)?;
        let partial = requests.partial.get_mut(&id);
        let discarded = partial.map_or(&mut self.unassigned_discarded, |p| &mut p.discarded);
        *discarded += bytes;
        let within_limit = *discarded <= self.context.limits.max_discarded;
        within_limit.then_some(()).ok_or("too many bytes of rejected or unknown requests".to_owned())
    }

    fn handle_record(&mut self, part: &RecordPart<'_>) -> Result<(), String> {
        let RecordPart { kind, id, content, missing, record_content } = *part;
        let is_whole = content.len() == record_content;
        match (kind, id) {
            (kind::GET_VALUES, 0) if is_whole => self.get_values(content).map_err(|e| e.to_string()),
            (kind::GET_VALUES, 0) => Err("GET_VALUES asks for too many values".to_owned()),
            (_, 0) => {
                if missing == 0 {
                    self.answer_unknown_type(kind);
                }
                Ok(())
            }
            (kind::BEGIN_REQUEST, _) => self.begin_request(id, content),
            (kind::ABORT_REQUEST, _) => self.abort_request(id),
            (kind::PARAMS, _) if record_content == 0 => self.end_params(id),
            (kind::PARAMS, _) => self.append(id, Stream::Params, part),
            (kind::STDIN, _) if record_content == 0 => self.end_body(id),
            (kind::STDIN, _) => self.append(id, Stream::Body, part),
            // DATA belongs to another role; other kinds have no meaning for a Responder.
            _ => self.discard(id, content.len()),
        }
    }

    fn answer_unknown_type(&self, kind: u8) {
        let mut out = Vec::new();
        encode_record(kind::UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0], &mut out);
        self.connection.outbox.send(out);
    }

    fn get_values(&self, content: &[u8]) -> Result<(), TruncatedPair> {
        let limits = &self.context.limits;
        let mut values = Vec::new();
        for pair in decode_pairs(content) {
            let (name, _) = pair?;
            let value = match name {
                b"FCGI_MAX_CONNS" => limits.client_connections,
                b"FCGI_MAX_REQS" => limits.client_connections * limits.requests_per_connection,
                b"FCGI_MPXS_CONNS" => 1,
                _ => continue,
            };
            let value = value.to_string();
            values.extend([name.len() as u8, value.len() as u8]);
            values.extend(name);
            values.extend(value.as_bytes());
        }
        let mut out = Vec::new();
        encode_record(kind::GET_VALUES_RESULT, 0, &values, &mut out);
        self.connection.outbox.send(out);
        Ok(())
    }

    fn begin_request(&mut self, id: u16, content: &[u8]) -> Result<(), String> {
        let [r0, r1, flags, _, _, _, _, _] = content else {
            return Err("a BEGIN_REQUEST of the wrong length".to_owned());
        };
        let mut requests = self.connection.requests.lock().map_err(|_| POISONED)?;
        // A request rejected while it was read has ended for its client, which may use the id again.
        if requests.open.contains_key(&id) || requests.partial.get(&id).is_some_and(|p| !p.is_rejected()) {
            return Err(format!("a second request with the open FastCGI id {id}"));
        }
        requests.partial.remove(&id);
        let unfinished = requests.open.len() + requests.partial.len();
        drop(requests);
        if u16::from_be_bytes([*r0, *r1]) != RESPONDER {
            self.connection.end_request(id, status::UNKNOWN_ROLE, "unsupported role");
            return Ok(());
        }
        if unfinished >= self.context.limits.requests_per_connection {
            self.connection.end_request(id, status::OVERLOADED, "too many open requests on its connection");
            return Ok(());
        }
        let keep_connection = flags & KEEP_CONN != 0;
        let Some(reservation) = self.reserve_partial() else {
            self.connection.reject(id, Rejection::OutOfMemory, keep_connection);
            return Ok(());
        };
        let incoming = IncomingGuard::new(&self.context.incoming_requests);
        let partial = PartialRequest::new(incoming, keep_connection, reservation);
        self.connection.requests.lock().map_err(|_| POISONED)?.partial.insert(id, partial);
        Ok(())
    }

    /// Reserves memory for a request of which nothing but the beginning has been read.
    fn reserve_partial(&self) -> Option<crate::memory::Reservation> {
        let activity = &self.connection.activity;
        let mut reservation = activity.account.reserve(0)?;
        let fits = self.context.connection_limiter.resize(activity, &mut reservation, PARTIAL_REQUEST_BYTES);
        fits.then_some(reservation)
    }

    fn abort_request(&mut self, id: u16) -> Result<(), String> {
        let mut requests = self.connection.requests.lock().map_err(|_| POISONED)?;
        requests.partial.remove(&id);
        let open = requests.open.remove(&id);
        self.connection.activity.set_incomplete_bytes(requests.incomplete_bytes());
        drop(requests);
        if let Some(OpenRequest { sequence, .. }) = open {
            let connection = self.connection.activity.connection_id;
            self.connection.activity.request_ended(false);
            let tag = request_tag(sequence, id);
            let _ = self.context.core.send(Message::RequestCancelled { connection, tag });
        }
        Ok(())
    }

    /// Adds a part of a record to a request. The request is rejected if it gets too long or if memory is short.
    fn append(&mut self, id: u16, stream: Stream, part: &RecordPart<'_>) -> Result<(), String> {
        let activity = &self.connection.activity;
        loop {
            let mut requests = self.connection.requests.lock().map_err(|_| POISONED)?;
            let Some(partial) = requests.partial.get_mut(&id).filter(|p| !p.is_rejected()) else {
                drop(requests);
                return self.discard(id, part.content.len());
            };
            let result = partial.append(stream, part, &self.context.limits);
            activity.set_incomplete_bytes(requests.incomplete_bytes());
            drop(requests);
            match result {
                Ok(()) => return Ok(()),
                Err(Rejection::OutOfMemory)
                    if self.context.connection_limiter.make_room(activity, part.content.len()) => {}
                Err(rejection) => {
                    self.connection.reject_partial(id, rejection);
                    return self.discard(id, part.content.len());
                }
            }
        }
    }

    /// Ends the parameters of a request.
    fn end_params(&self, id: u16) -> Result<(), String> {
        let mut requests = self.connection.requests.lock().map_err(|_| POISONED)?;
        if let Some(partial) = requests.partial.get_mut(&id) {
            partial.params_ended = true;
        }
        Ok(())
    }

    /// Ends the body of a request, and with it the request.
    fn end_body(&mut self, id: u16) -> Result<(), String> {
        let mut requests = self.connection.requests.lock().map_err(|_| POISONED)?;
        let partial = requests.partial.remove(&id);
        self.connection.activity.set_incomplete_bytes(requests.incomplete_bytes());
        drop(requests);
        self.unassigned_discarded = 0;
        match partial.filter(|p| !p.is_rejected()) {
            Some(partial) => self.complete_request(id, partial),
            None => Ok(()),
        }
    }

    /// Passes a complete request to the core, or answers it at once.
    fn complete_request(&mut self, id: u16, partial: PartialRequest) -> Result<(), String> {
        let received_at = Instant::now();
        let PartialRequest { params, params_ended, body, keep_connection, reservation, mut incoming, .. } =
            partial;
        if !params_ended {
            self.connection.reject(id, InvalidStream::ParametersNotEnded.into(), keep_connection);
            return Ok(());
        }
        let parameters = match Parameters::decode(&params) {
            Ok(parameters) => parameters,
            Err(rejection) => {
                self.connection.reject(id, rejection, keep_connection);
                return Ok(());
            }
        };
        drop(params);
        if parameters.path() == "/healthz" {
            self.answer_health(id, keep_connection);
            return Ok(());
        }
        let body_memory = body.capacity();
        let request = match parameters.into_request(body, &self.context.rules) {
            Ok(request) => request,
            Err(reason) => {
                self.connection.reject(id, reason.into(), keep_connection);
                return Ok(());
            }
        };
        if self.connection.activity.check_hang_up(&self.stream) {
            return Ok(());
        }
        if self.connection.activity.refuses_requests {
            self.connection.reject(id, Rejection::TooManyConnections, false);
            return Ok(());
        }
        let rooms = self.context.reserve_request(&self.connection.activity, reservation, body_memory);
        let Some((reservation, response_room)) = rooms else {
            self.connection.reject(id, Rejection::OutOfMemory, keep_connection);
            return Ok(());
        };
        self.last_sequence += 1;
        let open = OpenRequest { sequence: self.last_sequence, close: !keep_connection, response_room };
        self.connection.requests.lock().map_err(|_| POISONED)?.open.insert(id, open);
        self.connection.activity.request_opened();
        incoming.count_as_queued(&self.connection.activity.queued_requests);
        let (reservation, incoming) = (Some(reservation), Some(incoming));
        let request = Request { received_at, reservation, incoming, ..request };
        let (client, tag) = (self.connection.clone(), request_tag(self.last_sequence, id));
        let _ = self.context.core.send(Message::Request { request, client, tag });
        Ok(())
    }

    fn answer_health(&self, id: u16, keep_connection: bool) {
        let ready = self.context.shared.ready.load(Ordering::Acquire);
        let status = if ready { "200 OK" } else { "503 Service Unavailable" };
        self.connection.outbox.send(encode_response(id, &format!("Status: {status}\r\n"), &[]));
        self.connection.activity.answered_directly();
        if !keep_connection {
            self.connection.outbox.close();
        }
    }
}

/// Why a connection ends after a panic while its requests were locked.
const POISONED: &str = "the lock of the connection's requests is poisoned";
