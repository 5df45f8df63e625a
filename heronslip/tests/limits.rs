//! Limits and the memory budget.
use heronslip::limits::Limits;
use heronslip::memory::MemoryBudget;
use heronslip::memory_shares::MemoryShares;
use heronslip_policy::Settings;
use rstest::rstest;
use std::time::Duration;

#[test]
fn a_budget_rejects_what_exceeds_it_and_reuses_released_bytes() {
    let budget = MemoryBudget::new(20);
    let account = budget.open_account(0);
    let mut reservation = account.reserve(8).expect("within the budget");
    assert!(account.reserve(3).is_none());
    assert!(reservation.grow(2) && !reservation.grow(1));
    assert_eq!(budget.used(), 10);
    drop(reservation);
    assert!(account.reserve(10).is_some());
}

/// Guards against one account that takes what others need.
#[test]
fn an_account_has_its_guaranteed_part_and_an_equal_share_whatever_others_take() {
    let budget = MemoryBudget::new(1_000);
    let (large, small) = (budget.open_account(50), budget.open_account(50));
    let first = large.reserve(550).expect("its guaranteed part and half of the budget");
    assert!(large.reserve(1).is_none());
    let second = small.reserve(300).expect("its guaranteed part and half of the other half");
    assert!(small.reserve(1).is_none());
    large.close();
    assert!(small.reserve(200).is_some(), "the share grows as accounts close");
    drop((first, second));
    assert_eq!(budget.used(), 0);
}

#[test]
fn clients_leave_descriptors_for_workers_and_discovery() {
    let limits = Limits::new(192, 1024, &Settings::default());
    assert!(limits.client_connections > 1024 / 3, "clients may use a third of the limit");
    assert!(2 * limits.client_connections + 100 < 1024);
}

/// A liveness check costs as much as a probe. Where probes are expensive, no call of usual duration may cause
/// one.
#[test]
fn expensive_liveness_checks_wait_until_calls_are_late() {
    let class = |latency_target| heronslip_policy::ClassSettings { latency_target, ..Default::default() };
    let check_after = |probe_cost| {
        let classes = vec![class(550_000), class(410_000)];
        Limits::new(192, 1024, &Settings { probe_cost, classes, ..Settings::default() }).liveness_check_after
    };
    assert_eq!(check_after(0.01), Duration::from_millis(200));
    assert!(check_after(0.08) > Duration::from_millis(550), "{:?}", check_after(0.08));
}

fn limits_of_classes(client_timeouts: &[u64]) -> Limits {
    let class =
        |&client_timeout: &u64| heronslip_policy::ClassSettings { client_timeout, ..Default::default() };
    let classes = client_timeouts.iter().map(class).collect();
    Limits::new(192, 1024, &Settings { classes, ..Settings::default() })
}

/// The last request before a shutdown may take as long as the longest client timeout.
#[test]
fn a_graceful_shutdown_waits_as_long_as_the_longest_client_timeout() {
    assert!(limits_of_classes(&[3_000_000, 14_000_000]).shutdown_timeout >= Duration::from_secs(14));
    assert!(
        limits_of_classes(&[400_000]).shutdown_timeout >= Duration::from_secs(3),
        "the platform allows 3 s"
    );
    assert!(
        limits_of_classes(&[900_000_000]).max_wait >= 900_000_000,
        "a wait that a class allows is accepted"
    );
}

/// Clients of other deployments may wait for less time than the maximum margin for the response.
#[test]
fn most_of_a_short_wait_is_left_to_workers() {
    let limits = limits_of_classes(&[]);
    for wait in [1_000, 20_000, 80_000, 300_000, 3_000_000] {
        assert!(limits.response_margin(wait) <= wait / 8, "{wait}");
    }
    assert_eq!(limits.response_margin(3_000_000), limits.max_response_margin);
}

/// Guards against memory over the limit: the parts that the process may take in all.
#[rstest]
#[case::least(32, 1024)]
#[case::few_descriptors(32, 256)]
#[case::most(192, 1024)]
fn the_shares_of_memory_fit_into_it(#[case] memory_mb: usize, #[case] sockets: usize) {
    const CLIENT_CONNECTION: usize = 28 * 1024;
    const WORKER_CONNECTION: usize = 34 * 1024;
    let memory = memory_mb << 20;
    let shares = MemoryShares::new(memory, sockets * 2 / 5);
    let clients = shares.client_connections * CLIENT_CONNECTION + shares.buffered_bytes;
    let workers = shares.worker_connections * WORKER_CONNECTION + shares.reply_bytes;
    let shared_out = clients + workers + shares.function_bytes + shares.wire_id_bytes;
    assert!(shared_out <= memory - memory / 8, "{shared_out} of {memory}");
    assert!(shares.client_connections > sockets / 3, "usual clients may hold a third of the descriptors");
}
