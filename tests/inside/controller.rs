//! Tests of what only the crate itself sees: that records are removed, and the algorithm's formulas.
use crate::replication::{theta, virtual_loss_chance};
use crate::{Action, Controller, Event, Outcome, Settings, WorkerEntry, WorkerState};

/// Memory must not grow with the number of functions and requests ever seen.
#[test]
fn unused_functions_and_closed_requests_are_forgotten() {
    let set = Settings { may_command: true, front_ends: 200, keep_alive: 1_000_000, ..Settings::default() };
    let (mut controller, mut out, mut now) = (Controller::new(set, 1), Vec::new(), 1_000_000);
    for id in 0..2_000 {
        now += 20_000;
        let (class, tenant, memory_mb, lanes, load_time) = (0, None, 1.0, 1, 0);
        let (function, timeout, retry) = (id, 100_000, false);
        controller.handle(
            now,
            Event::Request { id, class, tenant, function, timeout, memory_mb, lanes, load_time, retry },
            &mut out,
        );
        controller.handle(now, Event::Timer { token: 0 }, &mut out);
        for action in out.drain(..) {
            if let Action::Timer { token, .. } = action {
                controller.handle(now + 100_000, Event::Timer { token }, &mut Vec::new());
            }
        }
    }
    // Functions are kept for four keep-alives of 0.9 s: 180 functions at fifty calls per second.
    assert!(
        controller.function_slots.len() < 250 && controller.functions.len() < 250,
        "{} functions",
        controller.functions.len()
    );
    assert!(controller.requests.len() < 10, "{} requests", controller.requests.len());
}

/// Where workers are replaced all the time, the slots of removed workers must be reused.
#[test]
fn slots_of_removed_workers_are_reused() {
    let (mut controller, mut out) =
        (Controller::new(Settings { may_command: true, ..Settings::default() }, 1), Vec::new());
    for n in 0..200u64 {
        let entry = |n: u64, state| {
            let worker = format!("w{n}");
            WorkerEntry { worker, state, started_at: 0, zone: 0, machine_type: 0, cell: 0 }
        };
        let entries = vec![entry(n, WorkerState::Ready), entry(n.wrapping_sub(3), WorkerState::Gone)];
        controller.handle(n * 1_000_000, Event::WorkerList { full: false, entries }, &mut out);
        let (id, class, tenant, memory_mb, lanes, load_time) = (n, 0, None, 1.0, 1, 0);
        let (function, timeout, retry) = (7, 900_000, false);
        controller.handle(
            n * 1_000_000 + 1,
            Event::Request { id, class, tenant, function, timeout, memory_mb, lanes, load_time, retry },
            &mut out,
        );
        while let Some(action) = out.pop() {
            if let Action::Load { worker, function, count } = action {
                let (outcome, elapsed) = (Outcome::Ok, 1_000);
                let reply = Event::Loaded { worker, function, count, outcome, elapsed };
                controller.handle(n * 1_000_000 + 1_000, reply, &mut out);
            } else if let Action::Send { id, .. } = action {
                let (attempt, outcome, elapsed, closed) = (0, Outcome::Ok, 1_000, true);
                let (warm, function_inflight, inflight) = (None, None, None);
                let end = Event::Outcome {
                    id,
                    attempt,
                    outcome,
                    elapsed,
                    closed,
                    warm,
                    function_inflight,
                    inflight,
                };
                controller.handle(n * 1_000_000 + 2_000, end, &mut out);
            }
        }
        controller.handle(n * 1_000_000 + 990_000, Event::RequestCancelled { id }, &mut Vec::new());
    }
    assert!(
        controller.workers.len() < 10 && controller.worker_slots.len() < 10,
        "{} workers",
        controller.workers.len()
    );
}

#[test]
fn theta_clamps_the_busy_fraction() {
    assert!((theta(0.5, 10.0) - 0.9).abs() < 1e-12);
    assert!((theta(1.0, 2.0) - 19.0 * 0.5).abs() < 1e-9);
    assert!((theta(0.0, 2.0) - 0.05 / 0.95 * 0.5).abs() < 1e-12);
    assert_eq!(theta(0.5, 0.0), 0.0);
}

#[test]
fn virtual_loss_chance_matches_calculated_values() {
    // D = 4, lambda = 1, theta = 1.5: z* = 2. Z = 2: (1 + 1.5)/4 * (1 + 3)/3 = 5/6; the least z* is 1.
    let chance = virtual_loss_chance(4, 2, 1.0, 1.5, 2.0, 1.0);
    assert!((chance - 5.0 / 12.0).abs() < 1e-12);
    // Z = 1: (1 + 1.5)/4 * 1/2.
    assert!((virtual_loss_chance(4, 1, 1.0, 1.5, 2.0, 1.0) - 0.3125).abs() < 1e-12);
    // Z beyond z*: none. One idle copy at theta = 1: certain.
    assert_eq!(virtual_loss_chance(4, 3, 1.0, 1.5, 2.0, 1.0), 0.0);
    assert_eq!(virtual_loss_chance(1, 1, 0.0, 1.0, 1.0, 1.0), 1.0);
}
