//! The requests of one connection: those that are being read, and those that the core has.
use super::records::RecordPart;
use crate::limits::Limits;
use crate::memory::Reservation;
use crate::messages::IncomingGuard;
use crate::server::validation::InvalidRequest;
use std::collections::HashMap;
use std::time::Instant;

/// Memory of a request that is being read besides its parameters and body, in bytes.
pub(super) const PARTIAL_REQUEST_BYTES: usize = 256;

/// The requests of a connection, by their FastCGI ids.
#[derive(Default)]
pub(super) struct RequestTable {
    pub open: HashMap<u16, OpenRequest>,
    pub partial: HashMap<u16, PartialRequest>,
}

impl RequestTable {
    /// Memory of the requests that are being read, in bytes.
    pub fn incomplete_bytes(&self) -> usize {
        let bytes = |p: &PartialRequest| p.reservation.as_ref().map_or(0, Reservation::bytes);
        self.partial.values().map(bytes).sum()
    }

    /// Removes an open request; `None` if the sequence number is that of an earlier request with the same id.
    pub fn take_open(&mut self, id: u16, sequence: u64) -> Option<OpenRequest> {
        self.open.get(&id).filter(|open| open.sequence == sequence)?;
        self.open.remove(&id)
    }
}

/// A request that the core has.
pub(super) struct OpenRequest {
    /// Distinguishes the requests that use the same FastCGI id one after the other.
    pub sequence: u64,
    /// Whether the connection closes after the response.
    pub close: bool,
    /// Memory for the response.
    pub response_room: Reservation,
}

/// A request that has been read in part.
pub(super) struct PartialRequest {
    pub started_at: Instant,
    pub incoming: IncomingGuard,
    pub keep_connection: bool,
    pub params: Vec<u8>,
    /// Whether the empty record that ends the parameters has arrived.
    pub params_ended: bool,
    pub body: Vec<u8>,
    /// Its memory, reserved as it arrives: requests that are never completed take memory too. `None` once it
    /// has been rejected.
    pub reservation: Option<Reservation>,
    /// Bytes of it that were discarded after it was rejected.
    pub discarded: usize,
}

/// A stream of a request.
#[derive(Clone, Copy)]
pub(super) enum Stream {
    Params,
    Body,
}

/// Why the streams of a request cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidStream {
    #[error("the parameters end within a name-value pair")]
    TruncatedPair,
    #[error("a parameter has no name")]
    UnnamedParameter,
    #[error("the request ends before its parameters do")]
    ParametersNotEnded,
    #[error("there are more parameters after their end")]
    ParametersAfterEnd,
    #[error("the body begins before the parameters end")]
    BodyBeforeEndOfParameters,
    #[error("the parameters are too long")]
    ParametersTooLong,
    #[error("the body is too long")]
    BodyTooLong,
    #[error("timed out reading it")]
    Timeout,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(super) enum Rejection {
    /// Its streams cannot be read.
    #[error(transparent)]
    InvalidStream(#[from] InvalidStream),
    /// One of its fields cannot be used.
    #[error(transparent)]
    InvalidRequest(#[from] InvalidRequest),
    /// All other connections are in use.
    #[error("the limit on client connections is reached")]
    TooManyConnections,
    /// The memory budget of all requests is exhausted.
    #[error("the memory budget for requests is exhausted")]
    OutOfMemory,
}

impl PartialRequest {
    pub fn new(incoming: IncomingGuard, keep_connection: bool, reservation: Reservation) -> Self {
        PartialRequest {
            started_at: Instant::now(),
            incoming,
            keep_connection,
            params: Vec::new(),
            params_ended: false,
            body: Vec::new(),
            reservation: Some(reservation),
            discarded: 0,
        }
    }

    /// Whether it has been answered with an error. The rest of it is discarded.
    pub fn is_rejected(&self) -> bool {
        self.reservation.is_none()
    }

    /// Releases its memory. Returns whether its connection stays open.
    pub fn reject(&mut self) -> bool {
        (self.params, self.body, self.reservation) = (Vec::new(), Vec::new(), None);
        self.keep_connection
    }

    /// Adds a part of a record to one of its streams.
    ///
    /// # Errors
    /// Fails, and changes nothing, if the record does not belong there, if it makes the stream longer than
    /// allowed, or if memory is short.
    pub fn append(
        &mut self, stream: Stream, part: &RecordPart<'_>, limits: &Limits,
    ) -> Result<(), Rejection> {
        match stream {
            Stream::Params if self.params_ended => return Err(InvalidStream::ParametersAfterEnd.into()),
            Stream::Body if !self.params_ended => return Err(InvalidStream::BodyBeforeEndOfParameters.into()),
            Stream::Params | Stream::Body => {}
        }
        let (bytes, max, too_long) = match stream {
            Stream::Params => (&mut self.params, limits.max_head, InvalidStream::ParametersTooLong),
            Stream::Body => (&mut self.body, limits.max_body, InvalidStream::BodyTooLong),
        };
        let needed = bytes.len() + part.content.len();
        if needed + part.missing > max {
            return Err(too_long.into());
        }
        if needed > bytes.capacity() {
            let capacity = needed.max(2 * bytes.capacity()).min(max);
            let reservation = self.reservation.as_mut().ok_or(Rejection::OutOfMemory)?;
            if !reservation.grow(capacity - bytes.capacity()) {
                return Err(Rejection::OutOfMemory);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(part.content);
        Ok(())
    }
}
