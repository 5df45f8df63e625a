//! What docs/CAPACITY.md rests on: how a front end's state and messages grow, as counts and as ratios between two
//! sizes, on the virtual clock.
mod common;

use common::play;
use heronslip_scale::experiment::{Experiment, Failure, FailureKind};
use heronslip_scale::report::FleetReport;

/// One front end of 520 before this many workers, calling this many functions.
fn one_of_many(workers: u32, functions: u32) -> FleetReport {
    play(|e| {
        (e.fleet.front_ends, e.fleet.configured_front_ends, e.fleet.workers) = (1, Some(520), workers);
        (e.functions.count, e.workers.cores) = (functions, 10_000);
        e.store.fetches_per_s = 10_000.0;
    })
}

#[test]
fn state_grows_with_workers_by_their_records_alone() {
    let (few, many) = (one_of_many(500, 1_000).state, one_of_many(4_000, 1_000).state);
    assert_eq!((few.workers, many.workers), (500, 4_000));
    assert!(many.functions <= few.functions + few.functions / 10, "{few:?} {many:?}");
    // What is known of functions at workers follows the calls, not the list.
    assert!(many.copies <= 2 * few.copies, "{few:?} {many:?}");
    assert!(many.preferences <= 2 * few.preferences, "{few:?} {many:?}");
    let each = (many.bytes - few.bytes) / (many.workers - few.workers);
    assert!(each < 1_000, "{each} bytes a worker");
}

#[test]
fn an_order_of_workers_is_bounded_however_many_are_listed() {
    let state = one_of_many(4_000, 1_000).state;
    // Each keeps 64, or up to four times the workers at which it is known to be.
    assert!(state.preferences <= 64 * state.functions + 4 * state.copies, "{state:?}");
}

#[test]
fn state_grows_with_functions_no_faster_than_their_calls() {
    let (few, many) = (one_of_many(500, 100).state, one_of_many(500, 10_000).state);
    // 90 calls a second for 8 s are 720 at most.
    assert!(few.functions <= 100 && many.functions <= 720, "{few:?} {many:?}");
    let each = many.bytes.saturating_sub(few.bytes) / (many.functions - few.functions);
    assert!(each < 5_000, "{each} bytes a function");
}

#[test]
fn questions_and_orders_a_call_do_not_grow_with_the_list() {
    let (few, many) = (one_of_many(500, 1_000).control, one_of_many(4_000, 1_000).control);
    assert!(many.copy_queries_s <= 1.5 * few.copy_queries_s + 1.0, "{few:?} {many:?}");
    assert!(many.loads_s <= 1.5 * few.loads_s + 1.0, "{few:?} {many:?}");
}

/// Front ends that lose the board for some seconds while the list changes, with this many workers and memory of the
/// board for changes.
fn cut_off(workers: u32, history: u32) -> FleetReport {
    let cut = |region| Failure {
        at_s: 1.0,
        kind: FailureKind::BoardCut,
        for_s: Some(4.0),
        share: None,
        zone: None,
        region: Some(region),
        count: None,
    };
    let changes = |e: &mut Experiment| {
        (e.fleet.front_ends, e.fleet.workers, e.calls.per_front_end_s) = (24, workers, 1.0);
        (e.discovery.history, e.discovery.changes_per_hour) = (history, 3_600.0);
        e.failures = (0..3).map(cut).collect();
    };
    play(changes)
}

#[test]
fn a_reconnect_is_told_what_was_missed_and_no_more() {
    let (few, many) = (cut_off(50, 1_000).discovery, cut_off(800, 1_000).discovery);
    assert_eq!((few.resumed, few.full_lists), (24, 0));
    assert_eq!((many.resumed, many.full_lists), (24, 0));
    assert_eq!(few.peak_bytes_s, many.peak_bytes_s, "bytes follow the list's length");
    let whole = cut_off(800, 1).discovery;
    assert_eq!((whole.resumed, whole.full_lists), (0, 24), "the board has forgotten what was missed");
    assert!(whole.peak_bytes_s > 20 * many.peak_bytes_s);
}

#[test]
fn a_change_costs_a_front_end_the_same_in_any_list() {
    let bytes = |workers| {
        let report = play(|e| {
            (e.fleet.workers, e.discovery.changes_per_hour) = (workers, 3_600.0);
            (e.fleet.front_ends, e.calls.per_front_end_s) = (2, 1.0);
        });
        report.control.list_bytes_s
    };
    assert!((bytes(50) - bytes(800)).abs() < 1.0);
}
