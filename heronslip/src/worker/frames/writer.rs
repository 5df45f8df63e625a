//! The coroutine that writes one worker connection.
use super::codec::{encode, CHECKSUM_BYTES, CODE_CANCEL, HEADER_BYTES};
use super::exchange::{
    end_exchange, fail_connection, Command, ConnectionState, ExchangeKey, FirstFrame, PendingExchange,
    StartCondition, POISONED,
};
use super::reader::read_replies;
use super::write_queue::{RemovedFrames, WriteQueue};
use crate::coop::Group;
use crate::limits::Limits;
use crate::net::{is_timeout, spawn, Socket};
use crate::worker::ReportSender;
use heronslip_policy::{FunctionId, Outcome};
use may::net::TcpStream;
use may::sync::mpsc::Receiver;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The coroutine that writes one connection.
pub(super) struct Writer {
    state: Arc<ConnectionState>,
    reports: ReportSender,
    limits: Arc<Limits>,
    waiting: VecDeque<Command>,
    queue: WriteQueue,
}

impl Writer {
    pub(super) fn run(
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
        // Either ends the reader.
        if end.is_err() || self.state.must_reset() {
            stream.reset();
        } else {
            stream.close();
        }
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
            self.remove_withdrawn();
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
        self.end_removed(removed, |writer, key| writer.end_unsent(key));
    }

    /// Ends exchanges that are cancelled or withdrawn and of which no byte has been written. Those withdrawn
    /// that have started go on.
    fn remove_withdrawn(&mut self) {
        let keys: Vec<(ExchangeKey, bool)> = self
            .waiting
            .iter()
            .filter_map(|command| match command {
                Command::Cancel(key) => Some((*key, true)),
                Command::Withdraw(key) => Some((*key, false)),
                _ => None,
            })
            .collect();
        for (key, is_cancelled) in keys {
            let is_unstarted =
                |c: &Command| matches!(c, Command::Start { key: started, .. } if *started == key);
            if !is_cancelled && self.waiting.iter().any(is_unstarted) {
                self.waiting.retain(|command| !is_unstarted(command));
                self.end_unsent(key);
            }
            let Some(id) = self.pending_id(key) else { continue };
            let removed = self.queue.remove_unstarted(id);
            if is_cancelled {
                self.end_removed(removed, |writer, _| {
                    writer.state.pending.fetch_sub(1, Ordering::AcqRel);
                });
            } else {
                self.end_removed(removed, |writer, key| writer.end_unsent(key));
            }
        }
        self.waiting.retain(|command| !matches!(command, Command::Withdraw(_)));
    }

    /// The id of a pending exchange of this connection.
    fn pending_id(&self, key: ExchangeKey) -> Option<u64> {
        let table = self.state.exchanges.lock().ok()?;
        table.pending.iter().find(|(_, exchange)| exchange.key == key).map(|(&id, _)| id)
    }

    fn end_unsent(&self, key: ExchangeKey) {
        end_exchange(&self.reports, &self.state, key, Outcome::NotSent);
    }

    /// Takes the exchanges of removed frames out of the table, and ends each.
    fn end_removed(&self, removed: RemovedFrames, end: impl Fn(&Self, ExchangeKey)) {
        if removed == RemovedFrames::default() {
            return;
        }
        let Ok(mut table) = self.state.exchanges.lock() else { return };
        for (id, end) in removed.moved {
            if let Some(exchange) = table.pending.get_mut(&id) {
                exchange.frame_end = end;
            }
        }
        let ended: Vec<_> = removed.ids.into_iter().filter_map(|id| table.pending.remove(&id)).collect();
        drop(table);
        ended.into_iter().for_each(|exchange| end(self, exchange.key));
    }

    /// Moves waiting commands into the write queue while their frames fit.
    fn fill_queue(&mut self) -> Result<(), String> {
        while let Some(command) = self.waiting.pop_front() {
            let queue_full = match command {
                Command::Close => return Err("closed after a liveness check had no reply".to_owned()),
                Command::OneWay(ref frame) => self.push_one_way(frame)?,
                Command::Cancel(key) => self.push_cancel(key)?,
                Command::Withdraw(_) => false, // done already
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
        let exchange = table.pending.remove(&id)?;
        table.abandon(&exchange);
        if matches!(key, ExchangeKey::Attempt(_)) {
            table.remember(id, Outcome::Cancelled);
        }
        self.state.pending.fetch_sub(1, Ordering::AcqRel);
        Some(id)
    }
}
