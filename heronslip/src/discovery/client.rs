//! Follows the worker list of the discovery service: server-sent events over HTTP, resumed after the last
//! event id.
use super::backoff::Backoff;
use super::event_stream::{EventStream, StreamItem};
use super::list_event::{EventBounds, EventError, EventReader};
use super::table::{StagedEvent, WorkerTable};
use super::ListEvent;
use crate::coop::{pause, Group};
use crate::http::{ChunkedDecoder, ChunkedItem, Head};
use crate::limits::Limits;
use crate::messages::{ListedWorker, Message, WorkerProtocol};
use crate::net::{is_timeout, Socket};
use crate::ring::RingBuffer;
use heronslip_policy::DiscoveryState;
use may::net::TcpStream;
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Instant;

/// The discovery service's address. It may change while the program runs.
pub struct ServiceAddress(Mutex<Option<SocketAddr>>);

impl ServiceAddress {
    /// This address, or none yet.
    pub fn new(address: Option<SocketAddr>) -> Self {
        ServiceAddress(Mutex::new(address))
    }

    /// Changes the address. [`follow`] reconnects within `Limits::discovery_check_interval`.
    pub fn set(&self, new_address: SocketAddr) {
        if let Ok(mut address) = self.0.lock() {
            *address = Some(new_address);
        }
    }

    fn get(&self) -> Option<SocketAddr> {
        self.0.lock().ok().and_then(|a| *a)
    }
}

/// Why a connection to the discovery service ended.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("the service closed the connection")]
    Closed,
    #[error("no complete line or entry was received for too long")]
    Silent,
    #[error("the service's address has changed")]
    AddressChanged,
    #[error("HTTP status {0}")]
    Status(u16),
    #[error("{0}")]
    Http(String),
    #[error("an event id is not a number: {0}")]
    EventId(String),
    /// The event is requested once more, as it may have been corrupted on its way.
    #[error("event {number} ({bytes} bytes) is not applied and is requested again: {problem}")]
    RejectedEvent { number: u64, bytes: usize, problem: EventProblem },
}

/// What is wrong with a complete event.
#[derive(Debug, thiserror::Error)]
enum EventProblem {
    #[error(transparent)]
    Event(EventError),
    #[error("{0}")]
    Entry(String),
    #[error("events between {0} and it are missing")]
    Gap(u64),
}

/// The worker list as it is known, and the last event that was applied to it.
pub struct Subscriber {
    table: WorkerTable,
    bounds: EventBounds,
    core: Sender<Message>,
    /// The combined changes of the initial events, until all of these have been applied.
    initial: Option<BTreeMap<String, ListedWorker>>,
    /// Number of the last event that was applied or skipped.
    last_event: u64,
    /// The event after it, if that was invalid and has been requested again.
    requested_again: Option<u64>,
    /// The discovery state that was last sent to the core.
    sent_state: Option<DiscoveryState>,
}

/// An event whose data is arriving.
struct IncomingEvent {
    reader: EventReader,
    staged: StagedEvent,
    /// Why the event cannot be used. The rest of its data is skipped.
    error: Option<EventError>,
    bytes: usize,
}

impl Subscriber {
    /// A subscriber that knows no workers yet.
    pub fn new(limits: &Limits, core: Sender<Message>) -> Self {
        let bounds = EventBounds {
            entry_bytes: limits.discovery_max_entry_bytes,
            entries: limits.discovery_max_entries,
        };
        Subscriber {
            table: WorkerTable::default(),
            bounds,
            core,
            initial: None,
            last_event: 0,
            requested_again: None,
            sent_state: None,
        }
    }

    /// Applies an event from the configuration, and returns whether all its entries could be used. The core
    /// receives the changes with [`Subscriber::finish_initial`].
    pub fn apply_initial(&mut self, event: ListEvent) -> bool {
        let mut staged = self.table.begin_event();
        event.entries.into_iter().for_each(|entry| self.table.stage(entry, &mut staged));
        let all_valid = staged.invalid.is_empty();
        let changes = self.apply(event.full, staged);
        self.initial
            .get_or_insert_default()
            .extend(changes.into_iter().map(|worker| (worker.id.clone(), worker)));
        all_valid
    }

    /// Ends the initial events, which go up to event `last_event`, and sends their combined changes to the
    /// core.
    pub fn finish_initial(&mut self, last_event: u64) {
        self.last_event = last_event;
        if let Some(initial) = self.initial.take() {
            self.send_workers(initial.into_values().collect());
        }
    }

    /// Tells the core that the list is up to date. It is told each time, as it may have come to suspect the
    /// list.
    fn report_current(&mut self) {
        if self.sent_state.replace(DiscoveryState::Current) != Some(DiscoveryState::Current) {
            log!("discovery: the worker list is up to date, last event {}", self.last_event);
        }
        let _ = self.core.send(Message::Discovery(DiscoveryState::Current));
    }

    /// Tells the core that the service may have changes that have not been received.
    fn report_lost(&mut self) {
        if self.sent_state.replace(DiscoveryState::Lost) != Some(DiscoveryState::Lost) {
            log!("discovery: the worker list may be out of date, last event {}", self.last_event);
            let _ = self.core.send(Message::Discovery(DiscoveryState::Lost));
        }
    }

    fn begin_event(&mut self) -> IncomingEvent {
        let staged = self.table.begin_event();
        IncomingEvent { reader: EventReader::new(self.bounds), staged, error: None, bytes: 0 }
    }

    /// Takes a byte of an event's data, and returns whether it completed an entry.
    fn push_data(&mut self, byte: u8, event: &mut IncomingEvent) -> bool {
        event.bytes += 1;
        if event.error.is_some() {
            return false;
        }
        match event.reader.push(byte) {
            Ok(Some(entry)) => self.table.stage(entry, &mut event.staged),
            Ok(None) => return false,
            Err(error) => {
                event.error = Some(error);
                event.staged = StagedEvent::default();
            }
        }
        true
    }

    /// Handles the end of an event. An invalid event is requested once more, as it may have been corrupted on
    /// its way. If it is invalid again, the invalid part is skipped: otherwise the service would be asked for
    /// it forever.
    fn end_event(&mut self, id: &str, event: IncomingEvent) -> Result<(), ConnectionError> {
        let number: u64 = id.parse().map_err(|_| ConnectionError::EventId(id.to_owned()))?;
        // The service may send an event twice. An old one would undo the changes that followed it.
        if number <= self.last_event {
            return Ok(());
        }
        let IncomingEvent { reader, staged, error, bytes } = event;
        let result = error.map_or_else(|| reader.finish(), Err);
        let problem = match &result {
            Err(error) => Some(EventProblem::Event(*error)),
            Ok(_) if !staged.invalid.is_empty() => {
                staged.invalid.first().map(|i| EventProblem::Entry(i.reason.clone()))
            }
            Ok(false) if self.last_event > 0 && number > self.last_event + 1 => {
                Some(EventProblem::Gap(self.last_event))
            }
            Ok(_) => None,
        };
        if let Some(problem) = problem.filter(|_| self.requested_again != Some(number)) {
            self.requested_again = Some(number);
            return Err(ConnectionError::RejectedEvent { number, bytes, problem });
        }
        match result {
            Ok(full) => self.commit(full, staged),
            Err(error) => {
                log_limited!(
                    "discovery: event {number} ({bytes} bytes) cannot be used and is skipped: {error}"
                );
            }
        }
        (self.last_event, self.requested_again) = (number, None);
        Ok(())
    }

    fn commit(&mut self, full: bool, staged: StagedEvent) {
        let workers = self.apply(full, staged);
        self.send_workers(workers);
    }

    /// Applies an event to the table, and returns the workers that it changes.
    fn apply(&mut self, full: bool, mut staged: StagedEvent) -> Vec<ListedWorker> {
        for invalid in std::mem::take(&mut staged.invalid) {
            log_limited!("discovery: skipped an instance of the worker list: {invalid}");
        }
        self.table.commit(full, staged)
    }

    /// Sends changes to the core. An event without changes is sent too: the first one makes the core ready.
    fn send_workers(&self, workers: Vec<ListedWorker>) {
        let _ = self.core.send(Message::WorkerList { source: WorkerProtocol::Frames, full: false, workers });
    }
}

/// Logs a line when it differs from the one before, and counts repetitions.
#[derive(Default)]
struct RepeatedLine {
    line: String,
    repetitions: u64,
}

impl RepeatedLine {
    fn log(&mut self, line: String) {
        if line == self.line {
            self.repetitions += 1;
            return;
        }
        if self.repetitions > 0 {
            log_limited!("{} (repeated {} more times)", self.line, self.repetitions);
        }
        log_limited!("{line}");
        (self.line, self.repetitions) = (line, 0);
    }
}

/// Follows the worker list forever. Whenever the connection ends or the address changes, it reconnects with a
/// backoff and resumes after the last event.
pub fn follow(service: &ServiceAddress, mut subscriber: Subscriber, limits: &Limits, seed: u64) {
    let mut backoff = Backoff::new(limits.discovery_initial_backoff, limits.discovery_max_backoff, seed);
    let mut connection_ends = RepeatedLine::default();
    loop {
        let (address, last_event) = (service.get(), subscriber.last_event);
        if let Some(address) = address {
            subscriber.report_lost();
            if let Err(why) = run_connection(service, address, &mut subscriber, limits) {
                subscriber.report_lost();
                connection_ends.log(format!(
                    "discovery: connection to {address} ended, will resume after event {}: {why}",
                    subscriber.last_event
                ));
            }
        }
        if subscriber.last_event != last_event || service.get() != address {
            backoff.reset();
        }
        pause(backoff.next_delay());
    }
}

/// Connects to the service and receives events until the connection ends.
fn run_connection(
    service: &ServiceAddress, address: SocketAddr, subscriber: &mut Subscriber, limits: &Limits,
) -> Result<(), ConnectionError> {
    // The connect timeout for workers may be too long here: a change of the list counts as known to front
    // ends 4 s after it is published.
    let connect_timeout = limits.connect_timeout.min(limits.discovery_silence_timeout / 2);
    let mut stream = TcpStream::connect_timeout(&address, connect_timeout)?;
    stream.set_read_timeout(Some(limits.discovery_check_interval))?;
    let request = format!(
        "GET /board/poll HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
        subscriber.last_event
    );
    stream.write_all(request.as_bytes())?;
    let mut stream = Socket::new(stream, Group::Discovery);
    let mut response = ResponseReader::new(subscriber, limits);
    let mut last_progress = Instant::now();
    let mut progress_unreported = false;
    let mut ring = RingBuffer::new(limits.client_buffer);
    loop {
        match ring.read_from(&mut stream) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(_) => {}
            // Progress followed by a pause between events: everything that the service had to send has been
            // read.
            Err(e) if is_timeout(&e) => {
                if response.event.is_none() && std::mem::take(&mut progress_unreported) {
                    response.subscriber.report_current();
                }
            }
            Err(e) => return Err(e.into()),
        }
        // The old address may stay open and send nothing any more.
        if service.get() != Some(address) {
            return Err(ConnectionError::AddressChanged);
        }
        // Only a complete line or entry counts as progress: a head or an event that never ends tells nothing.
        let mut progress = false;
        while !ring.is_empty() {
            let available = ring.front().len();
            for index in 0..available {
                progress |= response.push(ring.front()[index])?;
            }
            ring.consume(available);
        }
        if progress {
            last_progress = Instant::now();
            progress_unreported = true;
        } else if last_progress.elapsed() >= limits.discovery_silence_timeout {
            return Err(ConnectionError::Silent);
        }
    }
}

/// Parses the service's HTTP response as it arrives.
struct ResponseReader<'a> {
    subscriber: &'a mut Subscriber,
    max_head: usize,
    head: Vec<u8>,
    body: Body,
    events: EventStream,
    /// The event whose data is arriving.
    event: Option<IncomingEvent>,
}

/// The transfer coding of the response's body.
enum Body {
    /// The head has not been read yet.
    Unknown,
    Plain,
    Chunked(ChunkedDecoder),
}

impl<'a> ResponseReader<'a> {
    fn new(subscriber: &'a mut Subscriber, limits: &Limits) -> Self {
        let (head, body, events) = (Vec::new(), Body::Unknown, EventStream::default());
        ResponseReader { subscriber, max_head: limits.max_head, head, body, events, event: None }
    }

    /// Takes the next byte, and returns whether it completed a line or an entry.
    fn push(&mut self, byte: u8) -> Result<bool, ConnectionError> {
        let content = match &mut self.body {
            Body::Unknown => return self.push_head(byte).map(|()| false),
            Body::Plain => Some(byte),
            Body::Chunked(coding) => match coding.decode(byte).map_err(ConnectionError::Http)? {
                ChunkedItem::Content(byte) => Some(byte),
                ChunkedItem::Framing => None,
                ChunkedItem::End => return Err(ConnectionError::Closed),
            },
        };
        match content.and_then(|byte| self.events.push(byte)) {
            None => Ok(false),
            Some(StreamItem::Data(byte)) => {
                let event = self.event.get_or_insert_with(|| self.subscriber.begin_event());
                Ok(self.subscriber.push_data(byte, event))
            }
            Some(StreamItem::Line) => {
                // An event's data lines are joined by line feeds.
                if let Some(event) = &mut self.event {
                    self.subscriber.push_data(b'\n', event);
                }
                Ok(true)
            }
            Some(StreamItem::Event) => {
                let event = self.event.take();
                event
                    .map_or(Ok(()), |event| self.subscriber.end_event(self.events.id(), event))
                    .map(|()| true)
            }
        }
    }

    fn push_head(&mut self, byte: u8) -> Result<(), ConnectionError> {
        self.head.push(byte);
        if self.head.ends_with(b"\r\n\r\n") {
            let head = Head::parse_response(&self.head).map_err(ConnectionError::Http)?;
            if head.status != 200 {
                return Err(ConnectionError::Status(head.status));
            }
            self.body = if head.chunked { Body::Chunked(ChunkedDecoder::default()) } else { Body::Plain };
            self.head = Vec::new();
        } else if self.head.len() > self.max_head {
            return Err(ConnectionError::Http("the response's head is too long".to_owned()));
        }
        Ok(())
    }
}
