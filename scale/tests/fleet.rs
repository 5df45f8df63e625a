//! Tests of simulated fleets: results are reproducible, and reflect the simulated store and background load.
mod common;

use common::{run_experiment, short_failures};
use heronslip_scale::report::FleetReport;

#[test]
fn the_same_file_and_seed_give_the_same_result() {
    let result_json = |seed| {
        let report = run_experiment(|e| {
            e.failures = short_failures();
            e.seed = seed;
        });
        report.deterministic_json().expect("JSON")
    };
    let first = result_json(5);
    assert_eq!(first, result_json(5));
    let single_thread =
        rayon::ThreadPoolBuilder::new().num_threads(1).build().expect("the pool can be created");
    assert_eq!(
        first,
        single_thread.install(|| result_json(5)),
        "the result depends on the number of threads"
    );
    assert_ne!(first, result_json(6));
}

#[test]
fn every_call_has_exactly_one_outcome() {
    let counts = run_experiment(|e| e.failures = short_failures()).calls.counts;
    let ended = counts.served_in_time + counts.served_late + counts.refused + counts.failed + counts.lost;
    assert_eq!(counts.calls, ended);
    assert!(counts.calls > 1_500 && counts.lost > 0, "{counts:?}");
}

#[test]
fn a_slow_store_delays_cold_starts() {
    let cold_in_time =
        |fetches_per_s| run_experiment(|e| e.store.fetches_per_s = fetches_per_s).calls.cold_within_1500_ms;
    let (fast, slow) = (cold_in_time(1_000.0), cold_in_time(8.0));
    assert!(fast > slow + 0.3, "{fast} and {slow}");
}

/// Front ends that are configured but not simulated show as background load, which keeps copies loaded at the
/// workers.
#[test]
fn background_load_keeps_copies_loaded() {
    let without_load = run_experiment(|e| e.fleet.workers = 400);
    let with_load = run_experiment(|e| (e.fleet.workers, e.fleet.configured_front_ends) = (400, Some(40)));
    let cold_share = |r: &FleetReport| r.calls.counts.cold as f64 / r.calls.counts.calls as f64;
    let (with_load, without_load) = (cold_share(&with_load), cold_share(&without_load));
    assert!(with_load < without_load / 2.0, "{with_load} and {without_load}");
}
