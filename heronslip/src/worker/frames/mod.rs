//! The platform's binary protocol: frames for attempts, load commands and cancels over shared connections to
//! one worker.
mod codec;
mod exchange;
mod reader;
mod write_queue;
mod writer;

pub use codec::{encode, Decoder, Frame};
pub use exchange::StartCondition;
pub use write_queue::{RemovedFrames, WriteQueue};

use super::{ReportSender, Transport};
use crate::limits::Limits;
use crate::messages::{AttemptKey, Request};
use crate::net::{next_connection_id, spawn};
use codec::{CODE_PROBE, CODE_UNLOAD};
use exchange::{load_frame, Command, ConnectionState, ExchangeKey, FirstFrame, PendingExchange};
use heronslip_policy::{FunctionId, Micros};
use may::sync::mpsc::{channel, Sender};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use writer::Writer;

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

    /// Index of a connection that can take another exchange; `call` is its id, if it is a call.
    ///
    /// A connection on which a call was answered takes no other attempt under its id: a second copy of that
    /// reply could not be told from the reply to the other attempt.
    fn connection_with_room(&self, call: Option<u64>) -> Option<usize> {
        let streams = self.limits.streams_per_connection;
        self.connections.iter().position(|c| {
            let state = &c.state;
            !state.broken.load(Ordering::Acquire)
                && !state.retired.load(Ordering::Acquire)
                && state.pending.load(Ordering::Acquire) < streams
                && call.is_none_or(|id| state.exchanges.lock().is_ok_and(|table| !table.is_answered(id)))
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

    /// A connection that can take another exchange, see [`FrameTransport::connection_with_room`]; opens one if
    /// there is none.
    fn connection(&mut self, call: Option<u64>) -> &mut Connection {
        let index = self.connection_with_room(call).unwrap_or_else(|| {
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
        self.send_to_all(|| Command::Cancel(key));
    }

    /// Sends a command to all connections. Only the writer knows whether its connection carries the exchange;
    /// the others ignore the command.
    fn send_to_all(&self, command: impl Fn() -> Command) {
        for connection in self.connections.iter().filter(|c| !c.state.broken.load(Ordering::Acquire)) {
            let _ = connection.commands.send(command());
        }
    }

    fn start(
        &mut self, key: ExchangeKey, id: u64, function: FunctionId, condition: StartCondition,
        first_frame: FirstFrame,
    ) {
        let call = matches!(key, ExchangeKey::Attempt(_)).then_some(id);
        let connection = self.connection(call);
        connection.state.pending.fetch_add(1, Ordering::AcqRel);
        // If the writer has ended, the core's timer ends the exchange.
        let _ = connection.commands.send(Command::Start { key, id, function, first_frame, condition });
    }
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

    fn withdraw_attempt(&mut self, key: AttemptKey) {
        self.send_to_all(|| Command::Withdraw(ExchangeKey::Attempt(key)));
    }

    fn abandon(&mut self, command: u64) {
        self.cancel(ExchangeKey::Load(command));
        self.cancel(ExchangeKey::Probe(command));
    }

    fn is_idle(&self) -> bool {
        self.connections.is_empty()
    }

    fn open_connections(&self) -> usize {
        self.connections.iter().filter(|c| !c.state.broken.load(Ordering::Acquire)).count()
    }

    fn needs_connection(&self, call: Option<u64>) -> bool {
        self.connection_with_room(call).is_none()
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
        let _ = self.connection(None).commands.send(Command::OneWay(frame)); // nothing waits for it
    }

    fn retire(&mut self) {
        self.connections.iter().for_each(|c| c.state.retired.store(true, Ordering::Release));
    }

    /// Guards calls against a connection that stays open but delivers nothing any more: its pending calls
    /// would wait for their whole budget, new calls would join them, and calls whose clients have left would
    /// be delivered late. A copy query, which changes nothing at the worker, shows whether the connection
    /// works.
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
            let awaited = pending().map(|e| (e.started, e.function));
            let undelivered = table.undelivered.map(|e| (e.started, e.function));
            let oldest = awaited.chain(undelivered).min_by_key(|(started, _)| *started);
            let last_reply = table.last_reply;
            let started_since =
                undelivered.is_some() || pending().any(|e| last_reply.is_none_or(|reply| e.started > reply));
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
