//! The coroutine that reads the replies on one worker connection.
use super::codec::{outcome, Decoder};
use super::exchange::{report_end, ConnectionState, ExchangeKey, POISONED};
use crate::limits::Limits;
use crate::messages::{AttemptReport, Payload};
use crate::net::{is_timeout, Socket};
use crate::ring::RingBuffer;
use crate::worker::{resize_reply, ReportSender};
use heronslip_policy::Outcome;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Reads replies until the connection ends.
pub(super) fn read_replies(
    mut stream: Socket, state: &ConnectionState, reports: &ReportSender, limits: &Limits,
) -> Result<(), String> {
    let (mut ring, mut decoder) = (RingBuffer::new(limits.worker_buffer), Decoder::default());
    stream.set_read_timeout(limits.reply_stall_timeout).map_err(|e| e.to_string())?;
    let mut memory = reports.reply_memory().map_err(|e| e.to_string())?;
    let end = loop {
        match ring.read_from(&mut stream) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            // Nothing can follow a frame that stops before its end.
            Err(e) if is_timeout(&e) && decoder.has_partial_frame() => {
                break Err("a reply stopped before its end".to_owned());
            }
            Err(e) if is_timeout(&e) => continue,
            Err(e) => break Err(e.to_string()),
        }
        match handle_replies(&mut decoder, &mut ring, state, reports, limits.max_reply) {
            Ok(()) => {}
            // Frame boundaries are lost after an invalid frame, so nothing that follows it can be decoded.
            Err(why) => break Err(format!("invalid frame: {why}")),
        }
        if let Err(e) = resize_reply(&mut memory, decoder.memory()) {
            break Err(e.to_string());
        }
    };
    if end.is_err() || state.must_reset() {
        stream.reset();
    } else {
        stream.close();
    }
    end
}

/// Handles the complete replies in the ring buffer.
fn handle_replies(
    decoder: &mut Decoder, ring: &mut RingBuffer, state: &ConnectionState, reports: &ReportSender,
    max_body: usize,
) -> Result<(), String> {
    while let Some(frame) = decoder.next_frame(ring, max_body)? {
        let outcome = outcome(frame.code).ok_or_else(|| format!("unknown code {}", frame.code))?;
        let exchange = {
            let mut table = state.exchanges.lock().map_err(|_| POISONED)?;
            table.reply_read(Instant::now());
            let exchange = table.pending.remove(&frame.id);
            if exchange.as_ref().is_some_and(|exchange| matches!(exchange.key, ExchangeKey::Attempt(_))) {
                table.remember(frame.id, outcome);
            }
            exchange
        };
        // A reply to an exchange that has ended is late and is dropped.
        let Some(exchange) = exchange else { continue };
        let code_fits = exchange.key.accepts_code(frame.code);
        state.pending.fetch_sub(1, Ordering::AcqRel);
        let number = |name: &str| frame.field(name).and_then(|v| v.parse().ok());
        if !code_fits {
            report_end(reports, exchange.key, Outcome::Reset);
            return Err(format!("code {} does not fit the request it replies to", frame.code));
        }
        match exchange.key {
            ExchangeKey::Load(command) => {
                reports.load_ended(command, outcome, number("slots_up").unwrap_or(0));
            }
            ExchangeKey::Probe(probe) => reports.probe_ended(probe, outcome, frame.inflight()),
            ExchangeKey::LivenessCheck => {}
            ExchangeKey::Attempt(key) => {
                let warm = match frame.field("detail") {
                    Some("resident") => Some(true),
                    Some("booted" | "rode") => Some(false),
                    _ => None,
                };
                let is_reported = matches!(outcome, Outcome::Ok | Outcome::Rejected);
                let function_inflight = if is_reported { number("company") } else { None };
                let inflight = frame.inflight();
                let payload = (outcome == Outcome::Ok).then_some(Payload::Bytes(frame.body));
                reports.attempt_ended(
                    key,
                    AttemptReport { outcome, warm, function_inflight, inflight, payload },
                );
            }
        }
    }
    Ok(())
}
