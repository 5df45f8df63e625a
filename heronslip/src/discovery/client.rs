//! Follows the notice board over HTTP: server-sent events, resumed by the number of the last one.
use super::backoff::Backoff;
use super::event_stream::{EventStream, StreamItem};
use super::list_event::{EventBounds, EventError, EventReader};
use super::table::{Staged, Table};
use super::ListEvent;
use crate::http::{ChunkedDecoder, ChunkedItem, Head};
use crate::limits::Limits;
use crate::messages::{ListedWorker, Message, WorkerProtocol};
use crate::net::is_timeout;
use crate::ring::RingBuffer;
use heronslip_policy::DiscoveryState;
use may::net::TcpStream;
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Instant;

/// Where the board is. It may move while the program runs.
pub struct Board(Mutex<Option<SocketAddr>>);

impl Board {
    /// A board at this address, or none yet.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Board(Mutex::new(address))
    }

    /// The board is elsewhere from now on; whoever follows it notices within `Limits::discovery_check_interval`.
    pub fn moved(&self, to: SocketAddr) {
        if let Ok(mut address) = self.0.lock() {
            *address = Some(to);
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        self.0.lock().ok().and_then(|a| *a)
    }
}

/// Why a connection to the board ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    #[error("closed")]
    Closed,
    #[error("silent")]
    Silent,
    #[error("the board has moved")]
    Moved,
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Http(String),
    #[error("an event without a number: {0}")]
    Number(String),
    /// Asked for once more, as it may have been spoilt on its way.
    #[error("event {number} of {bytes} bytes: {fault}")]
    Spoilt { number: u64, bytes: usize, fault: Fault },
}

/// What is wrong with an event that has come to its end.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error(transparent)]
    Event(EventError),
    #[error("{0}")]
    Entry(String),
    #[error("it does not follow event {0}")]
    Gap(u64),
}

/// The list as it is known, and how far the board's events have been read.
pub struct Follower {
    table: Table,
    bounds: EventBounds,
    core: Sender<Message>,
    /// What the events of the configuration come to, until they have all been taken over.
    known: Option<BTreeMap<String, ListedWorker>>,
    /// Number of the last event that counts.
    last: u64,
    /// The event after it that could not be used when it came first.
    spoilt: Option<u64>,
    /// What the core was told last of discovery.
    state: Option<DiscoveryState>,
}

/// An event on its way.
struct Incoming {
    reader: EventReader,
    staged: Staged,
    /// It cannot be used; the rest of it is passed over.
    error: Option<EventError>,
    bytes: usize,
}

impl Follower {
    /// Nothing is known yet.
    pub fn new(limits: &Limits, core: Sender<Message>) -> Self {
        let bounds = EventBounds {
            entry_bytes: limits.discovery_max_entry_bytes,
            entries: limits.discovery_max_entries,
        };
        Follower { table: Table::default(), bounds, core, known: None, last: 0, spoilt: None, state: None }
    }

    /// Takes over an event that was told with the configuration; whether all of it could be read. What it changes is
    /// told with [`Follower::known_to`].
    pub fn take_known(&mut self, event: ListEvent) -> bool {
        let mut staged = self.table.begin();
        event.entries.into_iter().for_each(|entry| self.table.stage(entry, &mut staged));
        let sound = staged.unreadable.is_empty();
        let changed = self.changed(event.full, staged);
        self.known
            .get_or_insert_default()
            .extend(changed.into_iter().map(|member| (member.id.clone(), member)));
        sound
    }

    /// The events up to this number are known: tells what they come to, as one.
    pub fn known_to(&mut self, number: u64) {
        self.last = number;
        if let Some(known) = self.known.take() {
            self.tell(known.into_values().collect());
        }
    }

    /// All that the board has to tell has been read. Told each time that it is seen: the core may have doubted it.
    fn is_current(&mut self) {
        if self.state.replace(DiscoveryState::Current) != Some(DiscoveryState::Current) {
            log!("board: current, after event {}", self.last);
        }
        let _ = self.core.send(Message::Discovery(DiscoveryState::Current));
    }

    /// The board may have more to tell than was heard.
    fn is_lost(&mut self) {
        if self.state.replace(DiscoveryState::Lost) != Some(DiscoveryState::Lost) {
            log!("board: lost, after event {}", self.last);
            let _ = self.core.send(Message::Discovery(DiscoveryState::Lost));
        }
    }

    fn begin(&mut self) -> Incoming {
        let staged = self.table.begin();
        Incoming { reader: EventReader::new(self.bounds), staged, error: None, bytes: 0 }
    }

    /// Takes a byte of an event's data; whether it completed an entry.
    fn data(&mut self, byte: u8, incoming: &mut Incoming) -> bool {
        incoming.bytes += 1;
        if incoming.error.is_some() {
            return false;
        }
        match incoming.reader.byte(byte) {
            Ok(Some(entry)) => self.table.stage(entry, &mut incoming.staged),
            Ok(None) => return false,
            Err(error) => {
                incoming.error = Some(error);
                incoming.staged = Staged::default();
            }
        }
        true
    }

    /// An event has come to its end. One that cannot be used is asked for once more, as it may have been spoilt on
    /// its way; the second time what cannot be used of it is passed over, or the board would be called for ever.
    fn event(&mut self, id: &str, incoming: Incoming) -> Result<(), WatchError> {
        let number: u64 = id.parse().map_err(|_| WatchError::Number(id.to_owned()))?;
        // Guards against events written twice: an old one would undo what came after it.
        if number <= self.last {
            return Ok(());
        }
        let Incoming { reader, staged, error, bytes } = incoming;
        let read = error.map_or_else(|| reader.finish(), Err);
        let fault = match &read {
            Err(error) => Some(Fault::Event(*error)),
            Ok(_) if !staged.unreadable.is_empty() => {
                staged.unreadable.first().map(|u| Fault::Entry(u.problem.clone()))
            }
            Ok(false) if self.last > 0 && number > self.last + 1 => Some(Fault::Gap(self.last)),
            Ok(_) => None,
        };
        if let Some(fault) = fault.filter(|_| self.spoilt != Some(number)) {
            self.spoilt = Some(number);
            return Err(WatchError::Spoilt { number, bytes, fault });
        }
        match read {
            Ok(full) => self.commit(full, staged),
            Err(error) => log_limited!("board: event {number} of {bytes} bytes cannot be used: {error}"),
        }
        (self.last, self.spoilt) = (number, None);
        Ok(())
    }

    fn commit(&mut self, full: bool, staged: Staged) {
        let members = self.changed(full, staged);
        self.tell(members);
    }

    /// What an event changes.
    fn changed(&mut self, full: bool, mut staged: Staged) -> Vec<ListedWorker> {
        for unreadable in std::mem::take(&mut staged.unreadable) {
            log_limited!("board: an instance was skipped: {unreadable}");
        }
        self.table.commit(full, staged)
    }

    /// Tells the core what has changed. An event that changes nothing is told too: the first makes it ready.
    fn tell(&self, members: Vec<ListedWorker>) {
        let _ = self.core.send(Message::WorkerList {
            source: WorkerProtocol::Frames,
            full: false,
            workers: members,
        });
    }
}

/// A line of the log that is written when it changes; of those like it only their number is told.
#[derive(Default)]
struct Repeats {
    line: String,
    more: u64,
}

impl Repeats {
    fn tell(&mut self, line: String) {
        if line == self.line {
            self.more += 1;
            return;
        }
        if self.more > 0 {
            log_limited!("{} ({} more times)", self.line, self.more);
        }
        log_limited!("{line}");
        (self.line, self.more) = (line, 0);
    }
}

/// Follows the board for ever: whenever the connection ends or the board moves it calls again, telling the
/// last event seen.
pub fn follow(board: &Board, mut follower: Follower, limits: &Limits, seed: u64) {
    let mut backoff = Backoff::new(limits.discovery_initial_backoff, limits.discovery_max_backoff, seed);
    let mut ends = Repeats::default();
    loop {
        let (at, before) = (board.address(), follower.last);
        if let Some(address) = at {
            follower.is_lost();
            if let Err(why) = watch(board, address, &mut follower, limits) {
                follower.is_lost();
                ends.tell(format!(
                    "board: connection to {address} ended after event {}: {why}",
                    follower.last
                ));
            }
        }
        if follower.last != before || board.address() != at {
            backoff.reset();
        }
        may::coroutine::sleep(backoff.wait());
    }
}

/// One call of the board, until it ends.
fn watch(
    board: &Board, address: SocketAddr, follower: &mut Follower, limits: &Limits,
) -> Result<(), WatchError> {
    // However long workers may take to connect: what the board has to tell counts as told 4 s on.
    let within = limits.connect_timeout.min(limits.discovery_silence_timeout / 2);
    let mut stream = TcpStream::connect_timeout(&address, within)?;
    stream.set_read_timeout(Some(limits.discovery_check_interval))?;
    let call = format!(
        "GET /board/poll HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
        follower.last
    );
    stream.write_all(call.as_bytes())?;
    let mut answer = Answer::new(follower, limits);
    let mut heard = Instant::now();
    let mut unsettled = false;
    let mut ring = RingBuffer::new(limits.client_buffer);
    loop {
        match ring.read_from(&mut stream) {
            Ok(0) => return Err(WatchError::Closed),
            Ok(_) => {}
            // A word, and nothing behind it that is still to be read: the board has told what it had to tell.
            Err(e) if is_timeout(&e) => {
                if answer.incoming.is_none() && std::mem::take(&mut unsettled) {
                    answer.follower.is_current();
                }
            }
            Err(e) => return Err(e.into()),
        }
        // Guards against waiting at an address where nothing is told any more.
        if board.address() != Some(address) {
            return Err(WatchError::Moved);
        }
        // Only a line or an entry that has ended is a word: a head or an event that never ends tells nothing.
        let mut word = false;
        while !ring.is_empty() {
            let piece = ring.front().len();
            for at in 0..piece {
                word |= answer.byte(ring.front()[at])?;
            }
            ring.consume(piece);
        }
        if word {
            heard = Instant::now();
            unsettled = true;
        } else if heard.elapsed() >= limits.discovery_silence_timeout {
            return Err(WatchError::Silent);
        }
    }
}

/// The board's answer as it arrives.
struct Answer<'a> {
    follower: &'a mut Follower,
    most_head: usize,
    head: Vec<u8>,
    body: Body,
    events: EventStream,
    /// The event whose data is coming.
    incoming: Option<Incoming>,
}

/// How the answer's body is coded.
enum Body {
    /// Its head has not been read yet.
    Unknown,
    Plain,
    Chunked(ChunkedDecoder),
}

impl<'a> Answer<'a> {
    fn new(follower: &'a mut Follower, limits: &Limits) -> Self {
        let (head, body, events) = (Vec::new(), Body::Unknown, EventStream::default());
        Answer { follower, most_head: limits.max_head, head, body, events, incoming: None }
    }

    /// Takes the next byte; whether it completed a word.
    fn byte(&mut self, byte: u8) -> Result<bool, WatchError> {
        let content = match &mut self.body {
            Body::Unknown => return self.head_byte(byte).map(|()| false),
            Body::Plain => Some(byte),
            Body::Chunked(coding) => match coding.decode(byte).map_err(WatchError::Http)? {
                ChunkedItem::Content(byte) => Some(byte),
                ChunkedItem::Framing => None,
                ChunkedItem::End => return Err(WatchError::Closed),
            },
        };
        match content.and_then(|byte| self.events.byte(byte)) {
            None => Ok(false),
            Some(StreamItem::Data(byte)) => {
                let incoming = self.incoming.get_or_insert_with(|| self.follower.begin());
                Ok(self.follower.data(byte, incoming))
            }
            Some(StreamItem::Line) => {
                // The lines of an event's data are one text.
                if let Some(incoming) = &mut self.incoming {
                    self.follower.data(b'\n', incoming);
                }
                Ok(true)
            }
            Some(StreamItem::Event) => {
                let event = self.incoming.take();
                event.map_or(Ok(()), |event| self.follower.event(self.events.id(), event)).map(|()| true)
            }
        }
    }

    fn head_byte(&mut self, byte: u8) -> Result<(), WatchError> {
        self.head.push(byte);
        if self.head.ends_with(b"\r\n\r\n") {
            let answer = Head::parse_response(&self.head).map_err(WatchError::Http)?;
            if answer.status != 200 {
                return Err(WatchError::Status(answer.status));
            }
            self.body = if answer.chunked { Body::Chunked(ChunkedDecoder::default()) } else { Body::Plain };
            self.head = Vec::new();
        } else if self.head.len() > self.most_head {
            return Err(WatchError::Http("the answer's head is too long".to_owned()));
        }
        Ok(())
    }
}
