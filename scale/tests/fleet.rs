//! Hollow fleets: the same result each time, and what the world does.
mod common;

use common::{play, short_failures};
use heronslip_scale::report::FleetReport;

#[test]
fn the_same_file_and_seed_give_the_same_result() {
    let text = |seed| {
        let report = play(|e| {
            e.failures = short_failures();
            e.seed = seed;
        });
        report.deterministic_json().expect("JSON")
    };
    let first = text(5);
    assert_eq!(first, text(5));
    let alone = rayon::ThreadPoolBuilder::new().num_threads(1).build().expect("a pool");
    assert_eq!(first, alone.install(|| text(5)), "the number of threads shows");
    assert_ne!(first, text(6));
}

#[test]
fn every_call_ends_in_one_way() {
    let counts = play(|e| e.failures = short_failures()).calls.counts;
    let ended = counts.served_in_time + counts.served_late + counts.refused + counts.failed + counts.lost;
    assert_eq!(counts.calls, ended);
    assert!(counts.calls > 1_500 && counts.lost > 0, "{counts:?}");
}

#[test]
fn a_store_that_is_too_slow_shows_in_cold_starts() {
    let cold = |fetches_per_s| play(|e| e.store.fetches_per_s = fetches_per_s).calls.cold_within_1500_ms;
    let (fast, slow) = (cold(1_000.0), cold(8.0));
    assert!(fast > slow + 0.3, "{fast} and {slow}");
}

/// Front ends that do not run keep copies standing and workers busy.
#[test]
fn front_ends_that_are_only_told_of_keep_copies() {
    let alone = play(|e| e.fleet.workers = 400);
    let told = play(|e| (e.fleet.workers, e.fleet.configured_front_ends) = (400, Some(40)));
    let part = |r: &FleetReport| r.calls.counts.cold as f64 / r.calls.counts.calls as f64;
    assert!(part(&told) < part(&alone) / 2.0, "{} and {}", part(&told), part(&alone));
}
