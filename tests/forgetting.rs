//! Clients choose the names of functions; the memory for them is bounded.
mod common;
use common::*;
use heronslip_policy::*;

/// Room for some hundreds of functions.
const FUNCTION_MEMORY: usize = 1 << 20;
/// Functions that a client names, many times what there is room for.
const NAMED: u64 = 5_000;
const FREQUENT: u64 = 7;

fn limited(front_ends: u32) -> Harness {
    Harness::new(Settings { front_ends, function_memory: FUNCTION_MEMORY, ..settings() }, 30)
}

/// Replies to all load commands and copy queries among the actions, and to what these cause: no copy is loaded.
fn answer_queries(harness: &mut Harness, mut actions: Vec<Action>) {
    while let Some(action) = actions.pop() {
        if let Action::Load { worker, function, .. } = action {
            actions.extend(harness.loaded(&worker, function, 0, Outcome::Rejected));
        }
    }
}

/// Guards against memory that grows with the names that a client sends.
#[test]
fn functions_that_clients_name_stay_within_their_memory() {
    for front_ends in [1, 200] {
        let mut harness = limited(front_ends);
        let mut most = 0;
        for id in 1..=NAMED {
            let actions = harness.request(id, SAFE, 1_000 + id);
            answer_queries(&mut harness, actions);
            harness.feed(Event::RequestCancelled { id });
            if id % 50 == 0 {
                harness.advance(20 * MS);
            }
            most = most.max(harness.controller.footprint().bytes());
        }
        assert!(most <= FUNCTION_MEMORY, "{most} bytes with {front_ends} front ends");
    }
}

/// Guards against a client whose names displace the functions that others call.
#[test]
fn new_functions_do_not_displace_one_that_is_served_again_and_again() {
    let mut harness = limited(200);
    let actions = harness.request(1, SAFE, FREQUENT);
    for worker in loads(&actions, 0) {
        harness.loaded(&worker, FREQUENT, 1, Outcome::Ok);
    }
    harness.outcome(1, 0, Outcome::Ok, 50 * MS);
    for id in 2..=NAMED {
        let is_frequent = id % 100 == 0;
        let actions = harness.request(id, SAFE, if is_frequent { FREQUENT } else { 1_000 + id });
        if is_frequent {
            assert_eq!(sends(&actions).len(), 1, "request {id} is sent to a copy at once");
            harness.now += 20 * MS;
            harness.outcome(id, 0, Outcome::Ok, 20 * MS);
        } else {
            answer_queries(&mut harness, actions);
            harness.feed(Event::RequestCancelled { id });
        }
    }
}

/// Guards against forgetting what is in use: a request for which no other function can make room is refused.
#[test]
fn a_new_function_is_refused_while_all_others_are_in_use() {
    let mut harness = limited(200);
    let is_refused = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Refuse { .. }));
    let open = (1..=NAMED).find(|&id| is_refused(&harness.request(id, SAFE, 1_000 + id)));
    let refused = open.expect("not all fit");
    assert!(refused > 100, "only {refused} fit");
    assert!(!is_refused(&harness.request(NAMED + 1, SAFE, 1_001)), "a known function is not refused");
}
