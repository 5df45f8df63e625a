//! Transports: what carries attempts, orders and cancels to one worker and reports how they end.
pub mod frames;
pub mod kserve;

use crate::limits::Limits;
use crate::messages::{AttemptKey, AttemptReport, Message, Request, WorkerProtocol};
use heronslip_policy::{FunctionId, Micros, Outcome};
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Instant;

/// The core's queue, as transports see it.
#[derive(Clone)]
pub struct Reports(pub Sender<Message>);

impl Reports {
    /// An attempt ended.
    pub fn ended(&self, key: AttemptKey, report: AttemptReport) {
        let _ = self.0.send(Message::AttemptEnded { key, report }); // the core only ends with the program
    }

    /// An order ended.
    pub fn ordered(&self, order: u64, outcome: Outcome, copies: u32) {
        let _ = self.0.send(Message::LoadEnded { command: order, outcome, copies });
    }

    /// A probe ended.
    pub fn probed(&self, probe: u64, outcome: Outcome, inflight: Option<f64>) {
        let _ = self.0.send(Message::ProbeEnded { probe, outcome, inflight });
    }
}

/// The way to one worker. No call blocks; everything is carried out by coroutines.
pub trait Transport: Send {
    /// Sends an attempt, of which no byte goes after `until`; exactly one report follows, unless it is cancelled first.
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, budget: Micros, until: Option<Instant>);
    /// Gives an attempt up; what is not yet written is not written.
    fn cancel(&mut self, key: AttemptKey);
    /// Gives the answer to an order or a probe up: it is awaited no more.
    fn lapse(&mut self, order: u64);
    /// Whether no connection is left.
    fn is_idle(&self) -> bool;
    /// Connections that are open or being opened, and whether the next exchange needs another.
    fn connections(&self) -> (usize, bool);
    /// The connection that has been without an exchange for longest: since when.
    fn idle_since(&self) -> Option<Instant>;
    /// Closes that connection.
    fn close_idle(&mut self);
    /// Orders the worker to hold copies; 0 only asks. Of an order for copies no byte goes after `until`.
    fn order(&mut self, order: u64, function: FunctionId, copies: u32, until: Option<Instant>);
    /// Asks the worker whether it takes work. Probes and orders are numbered as one.
    fn probe(&mut self, probe: u64);
    /// Has idle copies unloaded.
    fn unload(&mut self, function: FunctionId);
    /// The worker drains or is gone: calls and orders of which no byte is written yet are not written.
    fn retire(&mut self);
    /// Looks whether connections on which answers are awaited still carry any. Called often.
    fn pulse(&mut self);
    /// Closes connections that have been idle for long.
    fn sweep(&mut self);
}

/// The transport for a worker's speech.
pub fn transport(
    speech: WorkerProtocol, address: SocketAddr, limits: &Arc<Limits>, reports: &Reports,
) -> Box<dyn Transport> {
    match speech {
        WorkerProtocol::Frames => Box::new(frames::Frames::new(address, limits.clone(), reports.clone())),
        WorkerProtocol::Kserve => Box::new(kserve::Kserve::new(address, limits.clone(), reports.clone())),
    }
}
