//! Tests of how a front end's state and messages grow: counts, and ratios between two sizes, on the virtual
//! clock. docs/CAPACITY.md relies on them.
mod common;

use common::run_experiment;
use heronslip_scale::experiment::{Experiment, Failure, FailureKind};
use heronslip_scale::report::FleetReport;

/// Simulates one front end of 520.
fn one_front_end_of_many(workers: u32, functions: u32) -> FleetReport {
    run_experiment(|e| {
        (e.fleet.front_ends, e.fleet.configured_front_ends, e.fleet.workers) = (1, Some(520), workers);
        (e.functions.count, e.workers.cores) = (functions, 10_000);
        e.store.fetches_per_s = 10_000.0;
    })
}

#[test]
fn state_grows_with_workers_only_by_their_entries() {
    let (few, many) = (one_front_end_of_many(500, 1_000).state, one_front_end_of_many(4_000, 1_000).state);
    assert_eq!((few.workers, many.workers), (500, 4_000));
    assert!(many.functions <= few.functions + few.functions / 10, "{few:?} {many:?}");
    // What a front end knows of copies depends on the calls, not on the length of the worker list.
    assert!(many.copies <= 2 * few.copies, "{few:?} {many:?}");
    assert!(many.preferences <= 2 * few.preferences, "{few:?} {many:?}");
    let bytes_per_worker = (many.bytes - few.bytes) / (many.workers - few.workers);
    assert!(bytes_per_worker < 1_000, "{bytes_per_worker} bytes a worker");
}

#[test]
fn preference_orders_are_bounded_for_any_number_of_workers() {
    let state = one_front_end_of_many(4_000, 1_000).state;
    // Each function has at most 64 preferences, or four times the workers that are known to have a copy.
    assert!(state.preferences <= 64 * state.functions + 4 * state.copies, "{state:?}");
}

#[test]
fn state_grows_with_functions_no_faster_than_their_calls() {
    let (few, many) = (one_front_end_of_many(500, 100).state, one_front_end_of_many(500, 10_000).state);
    // 90 calls a second for 8 s call at most 720 functions.
    assert!(few.functions <= 100 && many.functions <= 720, "{few:?} {many:?}");
    let bytes_per_function = many.bytes.saturating_sub(few.bytes) / (many.functions - few.functions);
    assert!(bytes_per_function < 5_000, "{bytes_per_function} bytes a function");
}

#[test]
fn commands_for_each_call_do_not_grow_with_the_worker_list() {
    let (few, many) =
        (one_front_end_of_many(500, 1_000).control, one_front_end_of_many(4_000, 1_000).control);
    assert!(many.copy_queries_s <= 1.5 * few.copy_queries_s + 1.0, "{few:?} {many:?}");
    assert!(many.loads_s <= 1.5 * few.loads_s + 1.0, "{few:?} {many:?}");
}

/// Simulates front ends that lose the discovery service for some seconds while the worker list changes; the
/// service keeps `history` changes.
fn run_with_discovery_outage(workers: u32, history: u32) -> FleetReport {
    let outage = |region| Failure {
        at_s: 1.0,
        kind: FailureKind::BoardCut,
        for_s: Some(4.0),
        share: None,
        zone: None,
        region: Some(region),
        count: None,
    };
    let change = |e: &mut Experiment| {
        (e.fleet.front_ends, e.fleet.workers, e.calls.per_front_end_s) = (24, workers, 1.0);
        (e.discovery.history, e.discovery.changes_per_hour) = (history, 3_600.0);
        e.failures = (0..3).map(outage).collect();
    };
    run_experiment(change)
}

#[test]
fn a_reconnecting_front_end_receives_only_missed_changes() {
    let (few, many) =
        (run_with_discovery_outage(50, 1_000).discovery, run_with_discovery_outage(800, 1_000).discovery);
    assert_eq!((few.resumed, few.full_lists), (24, 0));
    assert_eq!((many.resumed, many.full_lists), (24, 0));
    assert_eq!(few.peak_bytes_s, many.peak_bytes_s, "the bytes depend on the length of the list");
    let full = run_with_discovery_outage(800, 1).discovery;
    assert_eq!((full.resumed, full.full_lists), (0, 24), "the missed changes are no longer in the history");
    assert!(full.peak_bytes_s > 20 * many.peak_bytes_s);
}

#[test]
fn a_change_costs_the_same_bytes_in_any_worker_list() {
    let bytes = |workers| {
        let report = run_experiment(|e| {
            (e.fleet.workers, e.discovery.changes_per_hour) = (workers, 3_600.0);
            (e.fleet.front_ends, e.calls.per_front_end_s) = (2, 1.0);
        });
        report.control.list_bytes_s
    };
    assert!((bytes(50) - bytes(800)).abs() < 1.0);
}
