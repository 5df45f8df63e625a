//! Worker transports: each carries attempts, load commands and cancels to one worker and reports how they
//! end.
pub mod frames;
pub mod kserve;

use crate::limits::Limits;
use crate::memory::{Account, Reservation};
use crate::messages::{AttemptKey, AttemptReport, Message, Request, WorkerProtocol};
use heronslip_policy::{FunctionId, Micros, Outcome};
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Instant;

/// What the transports of all workers share: the core's queue, to which they report, and the memory for replies
/// that have arrived in part.
#[derive(Clone)]
pub struct ReportSender {
    queue: Sender<Message>,
    reply_memory: Arc<Account>,
}

impl ReportSender {
    /// Reports go to this queue, and replies draw on this account.
    pub fn new(queue: Sender<Message>, reply_memory: Arc<Account>) -> Self {
        ReportSender { queue, reply_memory }
    }

    /// Memory for the replies on one connection; none is reserved yet.
    ///
    /// # Errors
    /// Fails if there is no memory at all.
    pub fn reply_memory(&self) -> Result<Reservation, OutOfReplyMemory> {
        self.reply_memory.reserve(0).ok_or(OutOfReplyMemory)
    }

    /// Reports that an attempt ended.
    pub fn attempt_ended(&self, key: AttemptKey, report: AttemptReport) {
        let _ = self.queue.send(Message::AttemptEnded { key, report }); // fails only while the process exits
    }

    /// Reports that a load command or a copy query ended, with the number of loaded copies.
    pub fn load_ended(&self, command: u64, outcome: Outcome, copies: u32) {
        let _ = self.queue.send(Message::LoadEnded { command, outcome, copies });
    }

    /// Reports that a probe ended, with the number of requests in flight where the worker reported it.
    pub fn probe_ended(&self, probe: u64, outcome: Outcome, inflight: Option<f64>) {
        let _ = self.queue.send(Message::ProbeEnded { probe, outcome, inflight });
    }
}

/// There is no memory for the rest of a reply. Its connection closes, since nothing after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget for replies is exhausted")]
pub struct OutOfReplyMemory;

/// Reserves what a reply that has arrived in part takes now.
fn resize_reply(reservation: &mut Reservation, bytes: usize) -> Result<(), OutOfReplyMemory> {
    reservation.resize(bytes).then_some(()).ok_or(OutOfReplyMemory)
}

/// Carries exchanges to one worker. No method blocks: coroutines do the I/O.
///
/// Load commands, copy queries and probes share one number space.
pub trait Transport: Send {
    /// Sends an attempt, unless its first byte cannot be written before `start_deadline`. Reports its end
    /// exactly once, unless it is cancelled first.
    fn send_attempt(
        &mut self, key: AttemptKey, request: &Arc<Request>, budget: Micros, start_deadline: Option<Instant>,
    );
    /// Cancels an attempt. What has not been written yet is not written.
    fn cancel_attempt(&mut self, key: AttemptKey);
    /// Ends an attempt as not sent, unless a byte of it has been written: its client needs it no longer, but it
    /// may not be cancelled.
    fn withdraw_attempt(&mut self, key: AttemptKey);
    /// Stops waiting for the reply to a load command, a copy query or a probe.
    fn abandon(&mut self, command: u64);
    /// Whether nothing is open any more, so that the transport can be dropped.
    fn is_idle(&self) -> bool;
    /// How many connections are open or being opened.
    fn open_connections(&self) -> usize;
    /// Whether the next exchange needs a new connection; `call` is the id of the request, if it is a call.
    fn needs_connection(&self, call: Option<u64>) -> bool;
    /// Since when the connection that has been idle longest has had no exchange.
    fn idle_since(&self) -> Option<Instant>;
    /// Closes the connection that has been idle longest.
    fn close_longest_idle(&mut self);
    /// Tells the worker to have this many copies of a function loaded; with 0 copies it only queries the
    /// number of loaded copies. A load command is not sent if its first byte cannot be written before
    /// `start_deadline`.
    fn send_load(&mut self, command: u64, function: FunctionId, copies: u32, start_deadline: Option<Instant>);
    /// Asks the worker whether it accepts work.
    fn send_probe(&mut self, probe: u64);
    /// Tells the worker to unload the idle copies of a function.
    fn unload(&mut self, function: FunctionId);
    /// Called when the worker drains, restarts or is gone: attempts and load commands of which no byte has
    /// been written yet are not written.
    fn retire(&mut self);
    /// Checks that connections with pending exchanges still deliver replies. Called often.
    fn check_liveness(&mut self);
    /// Closes connections that have been idle for too long.
    fn sweep(&mut self);
}

/// Creates the transport for a worker's protocol.
pub fn new_transport(
    protocol: WorkerProtocol, address: SocketAddr, limits: &Arc<Limits>, reports: &ReportSender,
) -> Box<dyn Transport> {
    match protocol {
        WorkerProtocol::Frames => {
            Box::new(frames::FrameTransport::new(address, limits.clone(), reports.clone()))
        }
        WorkerProtocol::Kserve => {
            Box::new(kserve::KserveTransport::new(address, limits.clone(), reports.clone()))
        }
    }
}
