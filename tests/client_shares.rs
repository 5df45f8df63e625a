//! A client with many open requests does not crowd out those with few.
mod common;
use common::*;
use heronslip_policy::*;

const FUNCTION: u64 = 7;

fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

/// A front end with so many calls in flight that further ones are refused.
fn overloaded() -> Harness {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(FUNCTION, 1, &["w0", "w1", "w2"]);
    harness.advance(3 * SEC);
    for id in 100..200 {
        harness.request(id, SAFE, FUNCTION);
    }
    harness.advance(500 * MS);
    assert!(is_refused(&harness.request(200, SAFE, FUNCTION)));
    harness
}

#[test]
fn a_client_with_few_open_requests_is_not_refused_for_the_many_of_another() {
    let mut harness = overloaded();
    harness.feed(Event::ClientShare { id: 201, share: 0.000_1 });
    assert!(!is_refused(&harness.request(201, SAFE, FUNCTION)));
    assert!(is_refused(&harness.request(202, SAFE, FUNCTION)), "a share counts for one request");
    harness.feed(Event::ClientShare { id: 203, share: 1.0 });
    assert!(is_refused(&harness.request(203, SAFE, FUNCTION)));
}

/// Guards against refusing everything because other clients leave before they can be served.
#[test]
fn clients_that_leave_early_do_not_count_as_a_slow_pace() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(FUNCTION, 1, &["w0", "w1", "w2"]);
    harness.advance(3 * SEC);
    for round in 0..100 {
        let ids = 1_000 + round * 20..1_020 + round * 20;
        for id in ids.clone() {
            assert!(!is_refused(&harness.request(id, SAFE, FUNCTION)), "round {round}");
        }
        harness.advance(20 * MS);
        ids.clone().for_each(|id| drop(harness.feed(Event::RequestCancelled { id })));
        for id in ids {
            harness.outcome(id, 0, Outcome::Cancelled, 20 * MS);
        }
    }
}
