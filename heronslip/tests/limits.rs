//! Limits, and the budget of bytes.
use heronslip::limits::{Budget, Limits};
use heronslip_policy::Settings;
use std::time::Duration;

#[test]
fn a_budget_refuses_what_it_lacks_and_takes_bytes_back() {
    let budget = Budget::new(10);
    let held = budget.take(8).expect("fits");
    assert!(budget.take(3).is_none());
    let mut held = held;
    assert!(held.grow(2) && !held.grow(1));
    assert_eq!(budget.used(), 10);
    drop(held);
    assert!(budget.take(10).is_some());
}

#[test]
fn clients_leave_descriptors_for_workers_and_board() {
    let limits = Limits::new(192, 1024, &Settings::default());
    assert!(limits.client_connections > 1024 / 3, "a third of the limit are clients'");
    assert!(2 * limits.client_connections + 100 < 1024);
}

/// A word of a quiet connection is priced like a probe: where that is dear, no usual call may cause one.
#[test]
fn words_that_cost_much_wait_until_calls_are_late() {
    let class = |aim| heronslip_policy::ClassSettings { latency_target: aim, ..Default::default() };
    let set = |probe_cost| {
        let classes = vec![class(550_000), class(410_000)];
        Limits::new(192, 1024, &Settings { probe_cost, classes, ..Settings::default() }).link_quiet
    };
    assert_eq!(set(0.01), Duration::from_millis(200));
    assert!(set(0.08) > Duration::from_millis(550), "{:?}", set(0.08));
}

fn classes(give_up: &[u64]) -> Limits {
    let class =
        |&give_up: &u64| heronslip_policy::ClassSettings { client_timeout: give_up, ..Default::default() };
    let classes = give_up.iter().map(class).collect();
    Limits::new(192, 1024, &Settings { classes, ..Settings::default() })
}

/// What came last before the end may take as long as the longest deadline, and no signal ends it sooner.
#[test]
fn a_planned_end_waits_as_long_as_the_longest_deadline() {
    assert!(classes(&[3_000_000, 14_000_000]).stop_at_last >= Duration::from_secs(14));
    assert!(classes(&[400_000]).stop_at_last >= Duration::from_secs(3), "the platform counts it as 3 s");
    assert!(classes(&[900_000_000]).longest_wait >= 900_000_000, "a wait that a class allows is read");
}

/// Another customer's clients may wait for less than what the answer's way is given at most.
#[test]
fn most_of_a_short_wait_is_left_to_workers() {
    let limits = classes(&[]);
    for wait in [1_000, 20_000, 80_000, 300_000, 3_000_000] {
        assert!(limits.margin(wait) <= wait / 8, "{wait}");
    }
    assert_eq!(limits.margin(3_000_000), limits.answer_margin);
}
