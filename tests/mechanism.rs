//! The main path: warm copies, losses, load commands and the random choice of a worker.
mod common;
use common::*;
use heronslip_policy::*;

#[test]
fn a_new_front_end_sends_queries_before_it_loads() {
    let mut harness = Harness::new(settings(), 3);
    let out = harness.request(1, SAFE, 7);
    assert_eq!(loads(&out, 0).len(), 3);
    assert!(loads(&out, 1).is_empty() && sends(&out).is_empty());
    assert_eq!(sends(&harness.loaded("w1", 7, 1, Outcome::Ok)), ["w1"]);
}

#[test]
fn without_any_copy_one_load_command_is_sent_and_the_request_follows_it() {
    let mut harness = Harness::new(settings(), 3);
    harness.request(1, SAFE, 7);
    let mut out = Vec::new();
    for worker in ["w0", "w1", "w2"] {
        out.extend(harness.loaded(worker, 7, 0, Outcome::Ok));
    }
    let loading = loads(&out, 1);
    assert_eq!(loading.len(), 1);
    assert!(sends(&out).is_empty());
    assert_eq!(sends(&harness.loaded(&loading[0], 7, 1, Outcome::Ok)), loading);
}

#[test]
fn a_second_queued_request_does_not_load_the_function_again() {
    let mut harness = Harness::new(settings(), 3);
    harness.request(1, SAFE, 7);
    for worker in ["w0", "w1", "w2"] {
        harness.loaded(worker, 7, 0, Outcome::Ok);
    }
    assert!(loads(&harness.request(2, SAFE, 7), 1).is_empty());
}

#[test]
fn requests_spread_evenly_over_free_warm_workers() {
    let mut harness = Harness::new(settings(), 4);
    harness.make_warm(7, 1, &["w0", "w1", "w2"]);
    let mut seen = [0; 4];
    for id in 100..700 {
        let to = sends(&harness.request(id, SAFE, 7));
        let worker: usize = to[0][1..].parse().unwrap();
        seen[worker] += 1;
        harness.outcome(id, 0, Outcome::Ok, 50 * MS);
    }
    // 600 random choices among three: 200 each, within four standard deviations.
    assert_eq!(seen[3], 0);
    assert!(seen[..3].iter().all(|n| (154..=246).contains(n)), "{seen:?}");
}

#[test]
fn a_lost_request_goes_to_the_least_loaded_warm_worker_and_a_copy_is_added() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(7, 1, &["w0"]);
    assert_eq!(sends(&harness.request(2, SAFE, 7)), ["w0"]);
    let out = harness.request(3, SAFE, 7);
    assert_eq!(sends(&out), ["w0"]);
    let loading = loads(&out, 1);
    assert_eq!(loading.len(), 1);
    assert_ne!(loading[0], "w0");
    // While that load is in flight, further losses add no copy.
    assert!(loads(&harness.request(4, SAFE, 7), 1).is_empty());
}

#[test]
fn retries_by_the_client_are_no_new_losses() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(7, 1, &["w0"]);
    harness.request(2, SAFE, 7);
    let out = harness.feed(Event::Request {
        id: 3,
        class: SAFE,
        tenant: None,
        function: 7,
        timeout: 3 * SEC,
        memory_mb: 500.0,
        lanes: 1,
        load_time: 0,
        retry: true,
    });
    assert_eq!(sends(&out), ["w0"]);
    assert!(loads(&out, 1).is_empty());
}

#[test]
fn the_new_copy_goes_where_the_least_recently_lost_function_is_idle() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(1, 1, &["w1"]);
    harness.advance(100 * MS);
    harness.make_warm(2, 2, &["w2"]);
    harness.advance(100 * MS);
    harness.make_warm(7, 3, &["w0"]);
    harness.request(4, SAFE, 7);
    assert_eq!(loads(&harness.request(5, SAFE, 7), 1), ["w1"]);
}

#[test]
fn front_ends_choose_the_same_worker_for_a_function() {
    let load_target = |seed| {
        let mut set = settings();
        set.front_ends = 3;
        let mut controller = Controller::new(set, seed);
        let mut out = Vec::new();
        controller.handle(
            SEC,
            Event::WorkerList { full: true, entries: (0..9).map(entry).collect() },
            &mut out,
        );
        let mut harness = Harness { controller, now: SEC };
        harness.request(1, SAFE, 7);
        let replies = (0..9).flat_map(|worker| harness.loaded(&format!("w{worker}"), 7, 0, Outcome::Ok));
        loads(&replies.collect::<Vec<_>>(), 1)
    };
    assert_eq!(load_target(1).len(), 1);
    assert!((2..12).all(|seed| load_target(seed) == load_target(1)));
}

#[test]
fn a_shortage_of_memory_unloads_the_least_recently_lost_function() {
    let mut set = settings();
    set.machine_memory_mb = vec![1600.0]; // two copies of 500 MB stay under the margin, three do not
    let mut harness = Harness::new(set, 2);
    harness.make_warm(1, 1, &["w1"]);
    harness.advance(100 * MS);
    harness.make_warm(2, 2, &["w1"]);
    harness.advance(100 * MS);
    harness.make_warm(7, 3, &["w0"]);
    harness.request(4, SAFE, 7);
    let out = harness.request(5, SAFE, 7);
    assert!(out.contains(&Action::Unload { worker: "w1".into(), function: 1 }), "{out:?}");
    assert!(!out.contains(&Action::Unload { worker: "w1".into(), function: 2 }));
}

#[test]
fn copies_expire_after_the_keep_alive_and_a_load_command_renews_the_last_one() {
    let mut harness = Harness::new(settings(), 2);
    harness.make_warm(7, 1, &["w0"]);
    let out = harness.advance(7 * SEC);
    assert_eq!(loads(&out, 1), ["w0"]);
    // Without a reply to the load command the copy expires, so the next call sends a query again.
    harness.advance(5 * SEC);
    assert!(sends(&harness.request(2, SAFE, 7)).is_empty());
}

#[test]
fn after_a_miss_the_copy_is_forgotten_and_the_request_continues() {
    let mut harness = Harness::new(settings(), 2);
    harness.make_warm(7, 1, &["w0"]);
    assert_eq!(sends(&harness.request(2, UNSAFE, 7)), ["w0"]);
    let out = harness.outcome(2, 0, Outcome::Miss, 2 * MS);
    assert!(!loads(&out, 0).is_empty() || !loads(&out, 1).is_empty());
    let again = harness.request(3, SAFE, 7);
    assert!(sends(&again).is_empty());
}

#[test]
fn at_the_load_limit_the_call_itself_loads_the_function_where_it_can() {
    let mut set = settings();
    (set.load_on_miss, set.load_window) = (true, 5 * SEC); // no load command is allowed at all
    let mut harness = Harness::new(set, 2);
    harness.request(1, SAFE, 7);
    let mut out = harness.loaded("w0", 7, 0, Outcome::Ok);
    out.extend(harness.loaded("w1", 7, 0, Outcome::Ok));
    assert_eq!(sends(&out).len(), 1);
    assert!(loads(&out, 1).is_empty());
}

#[test]
fn reported_requests_of_other_front_ends_take_lanes() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(7, 1, &["w0", "w1"]);
    for id in 2..40 {
        let to = sends(&harness.request(id, SAFE, 7)).remove(0);
        let function_inflight = (to == "w0").then_some(3);
        harness.feed(Event::Outcome {
            id,
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: 50 * MS,
            closed: true,
            warm: Some(true),
            function_inflight,
            inflight: None,
        });
        if to == "w0" {
            assert_eq!(sends(&harness.request(id + 100, SAFE, 7)), ["w1"]);
            return;
        }
    }
    panic!("w0 was never chosen");
}
