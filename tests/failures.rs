//! Failures of workers, connections, the store and clients, and invalid input.
mod common;
use common::*;
use heronslip_policy::*;

#[test]
fn an_unreachable_worker_is_not_chosen_until_it_replies_to_a_query() {
    let mut harness = Harness::new(settings(), 2);
    harness.make_warm(7, 1, &["w0", "w1"]);
    let first = sends(&harness.request(2, SAFE, 7)).remove(0);
    harness.outcome(2, 0, Outcome::ConnectFailed, 250 * MS);
    harness.outcome(2, 1, Outcome::Ok, 50 * MS);
    for id in 3..20 {
        assert!(!sends(&harness.request(id, SAFE, 7)).contains(&first));
        harness.outcome(id, 0, Outcome::Ok, 50 * MS);
    }
    let queried = loads(&harness.advance(SEC), 0);
    assert!(queried.contains(&first), "{queried:?}");
    harness.loaded(&first, 7, 1, Outcome::Ok);
    let back = (20..60).any(|id| {
        let to = sends(&harness.request(id, SAFE, 7));
        harness.outcome(id, 0, Outcome::Ok, 50 * MS);
        to.contains(&first)
    });
    assert!(back);
}

#[test]
fn an_overdue_attempt_is_cancelled_and_the_request_goes_to_another_worker() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(7, 1, &["w0", "w1", "w2"]);
    let first = sends(&harness.request(2, SAFE, 7)).remove(0);
    let out = harness.advance(5 * SEC / 2);
    assert!(out.contains(&Action::Cancel { id: 2, attempt: 0 }));
    assert!(sends(&out).is_empty(), "hedging is not allowed here");
    let again = sends(&harness.outcome(2, 0, Outcome::Cancelled, 2 * SEC));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0], first);
}

#[test]
fn where_allowed_an_overdue_attempt_is_hedged() {
    let mut set = settings();
    set.may_hedge = true;
    let mut harness = Harness::new(set, 3);
    harness.make_warm(7, 1, &["w0", "w1", "w2"]);
    harness.request(2, SAFE, 7);
    assert_eq!(sends(&harness.advance(5 * SEC / 2)).len(), 1);
    assert!(harness.outcome(2, 1, Outcome::Ok, 50 * MS).contains(&Action::Cancel { id: 2, attempt: 0 }));
}

/// A response that is lost with its connection is replaced while there is still time.
#[test]
fn after_a_connection_reset_an_overdue_attempt_is_hedged_early() {
    let mut harness = Harness::new(Settings { may_hedge: true, ..settings() }, 3);
    harness.make_warm(7, 1, &["w0", "w1", "w2"]);
    harness.request(2, SAFE, 7);
    assert!(sends(&harness.advance(SEC)).is_empty(), "no connection was reset");
    harness.outcome(2, 0, Outcome::Reset, SEC);
    harness.outcome(2, 1, Outcome::Ok, 50 * MS);
    harness.request(3, SAFE, 7);
    assert!(sends(&harness.advance(SEC / 2)).is_empty());
    assert_eq!(sends(&harness.advance(SEC / 2)).len(), 1);
}

/// One malformed reply ends a connection with all attempts on it. That must not make the worker a suspect.
#[test]
fn a_worker_with_one_reset_connection_is_still_chosen() {
    let mut harness = Harness::new(settings(), 4);
    harness.make_warm(7, 1, &["w0", "w1", "w2", "w3"]);
    let mut placed: Vec<(u64, String)> = Vec::new();
    placed.extend((2..12).map(|id| (id, sends(&harness.request(id, SAFE, 7)).remove(0))));
    let reset = placed[0].1.clone();
    for (id, _) in placed.iter().filter(|(_, worker)| *worker == reset) {
        harness.outcome(*id, 0, Outcome::Reset, 50 * MS);
    }
    harness.advance(40 * MS);
    assert!((50..90).any(|id| sends(&harness.request(id, SAFE, 7)).contains(&reset)));
}

/// A worker that replies at once, but with errors, must not get the traffic of a fast worker.
#[test]
fn quick_errors_count_against_a_worker() {
    let mut harness = Harness::new(settings(), 4);
    harness.make_warm(7, 1, &["w0", "w1", "w2", "w3"]);
    let mut late = 0;
    for id in 2..202 {
        let to = sends(&harness.request(id, UNSAFE, 7)).remove(0);
        late += usize::from(id > 102 && to == "w0");
        harness.outcome(id, 0, if to == "w0" { Outcome::Error } else { Outcome::Ok }, 50 * MS);
        harness.advance(20 * MS);
    }
    assert!(late <= 5, "{late} of the last 100 calls went to the failing worker");
}

/// A call that every worker replies to with an error ends after two errors, and no worker becomes a suspect.
#[test]
fn errors_of_a_function_never_served_end_its_call_and_make_no_worker_a_suspect() {
    let mut harness = Harness::new(Settings { load_on_miss: true, ..settings() }, 4);
    harness.make_warm(7, 1, &["w0", "w1", "w2", "w3"]);
    for id in 2..30 {
        let mut out = harness.request(id, SAFE, 1_000 + id);
        for worker in loads(&out, 0) {
            out.extend(harness.loaded(&worker, 1_000 + id, 1, Outcome::Ok));
        }
        assert_eq!(sends(&out).len(), 1);
        assert_eq!(sends(&harness.outcome(id, 0, Outcome::Error, MS)).len(), 1);
        assert!(harness.outcome(id, 1, Outcome::Error, MS).contains(&Action::Fail { id }));
    }
    harness.advance(100 * MS);
    let used: std::collections::BTreeSet<String> =
        (50..90).flat_map(|id| sends(&harness.request(id, SAFE, 7))).collect();
    assert_eq!(used.len(), 4, "{used:?}");
}

#[test]
fn when_most_workers_look_bad_they_are_still_used() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(7, 1, &["w0", "w1", "w2"]);
    for worker in ["w0", "w1"] {
        harness.loaded(worker, 7, 0, Outcome::ConnectFailed);
    }
    for id in 2..8 {
        harness.request(id, SAFE, 7);
        harness.outcome(id, 0, Outcome::Reset, 50 * MS);
    }
    harness.advance(100 * MS);
    let mut out = harness.request(50, SAFE, 9);
    for worker in loads(&out, 0) {
        out.extend(harness.loaded(&worker, 9, 0, Outcome::Timeout));
    }
    out.extend(harness.advance(SEC));
    assert!(!loads(&out, 1).is_empty(), "a fleet in which every worker looks disconnected is still tried");
}

#[test]
fn a_restarted_worker_has_no_copies() {
    let mut harness = Harness::new(settings(), 1);
    harness.make_warm(7, 1, &["w0"]);
    harness.feed(Event::WorkerList {
        full: false,
        entries: vec![WorkerEntry { started_at: harness.now, ..entry(0) }],
    });
    assert!(sends(&harness.request(2, SAFE, 7)).is_empty());
}

#[test]
fn unknown_and_extreme_input_is_ignored() {
    let mut harness = Harness::new(Settings::default(), 2);
    harness.outcome(99, 0, Outcome::Ok, 1);
    harness.loaded("nobody", 5, 3, Outcome::Ok);
    harness.loaded("w0", 5, 3, Outcome::Ok);
    assert!(harness.feed(Event::RequestCancelled { id: 4 }).is_empty());
    assert!(harness.feed(Event::Timer { token: u64::MAX }).is_empty());
    harness.feed(Event::Request {
        id: u64::MAX,
        class: 77,
        tenant: Some(9),
        function: 5,
        timeout: u64::MAX,
        memory_mb: f64::NAN,
        lanes: 0,
        load_time: u64::MAX,
        retry: false,
    });
    harness.now = u64::MAX;
    harness.feed(Event::Timer { token: 0 });
    assert!(matches!(harness.request(8, SAFE, 1)[..], [Action::Timer { .. }, ..]));
}

#[test]
fn a_store_that_fails_loads_lowers_the_cap_on_loads_in_flight() {
    let load_commands_sent = |fail: bool| {
        let mut harness = Harness::new(settings(), 8);
        for function in 0..12 {
            harness.make_warm(function, 200 + function, &["w0"]); // so that the function has been served
        }
        harness.now += 20 * SEC; // the copies have been unloaded
        for id in 0..12 {
            let mut out = harness.request(id, SAFE, id);
            for worker in loads(&out, 0) {
                out.extend(harness.loaded(&worker, id, 0, Outcome::Ok));
            }
            for worker in loads(&out, 1) {
                harness.loaded(
                    &worker,
                    id,
                    u32::from(!fail),
                    if fail { Outcome::Error } else { Outcome::Ok },
                );
            }
        }
        let mut load_commands = 0;
        for id in 100..130 {
            let mut out = harness.request(id, SAFE, id);
            for worker in loads(&out, 0) {
                out.extend(harness.loaded(&worker, id, 0, Outcome::Ok));
            }
            load_commands += loads(&out, 1).len();
        }
        load_commands
    };
    assert!(load_commands_sent(true) < load_commands_sent(false));
}

/// Calls of functions that no worker knows cause loads that fail. If each of them halved the cap on loads,
/// the calls of all other functions would have to wait for theirs. An error lowers the cap only if the
/// function has been served before.
#[test]
fn loads_of_unknown_functions_that_fail_now_and_then_leave_the_cap_alone() {
    let mut harness = Harness::new(settings(), 8);
    for id in 0..30 {
        let mut out = harness.request(id, SAFE, id);
        for worker in loads(&out, 0) {
            out.extend(harness.loaded(&worker, id, 0, Outcome::Ok));
        }
        let fails = id % 3 == 0;
        if fails {
            harness.feed(Event::RequestCancelled { id }); // otherwise another worker would load it
        }
        for worker in loads(&out, 1) {
            harness.loaded(&worker, id, u32::from(!fails), if fails { Outcome::Error } else { Outcome::Ok });
        }
        harness.outcome(id, 0, Outcome::Ok, 50 * MS);
    }
    let mut load_commands = 0;
    for id in 100..130 {
        let mut out = harness.request(id, SAFE, id);
        for worker in loads(&out, 0) {
            out.extend(harness.loaded(&worker, id, 0, Outcome::Ok));
        }
        load_commands += loads(&out, 1).len();
    }
    assert!(load_commands >= 4, "{load_commands} loads in flight");
}

/// A stalled worker may still reply to copy queries; only responses to calls show that it works.
#[test]
fn a_worker_that_stalls_calls_but_replies_to_commands_becomes_a_suspect() {
    let mut harness = Harness::new(settings(), 4);
    harness.make_warm(7, 1, &["w0", "w1", "w2", "w3"]);
    harness.feed(Event::Request {
        id: 2,
        class: UNSAFE,
        tenant: None,
        function: 7,
        timeout: 60 * SEC,
        memory_mb: 500.0,
        lanes: 1,
        load_time: 0,
        retry: false,
    });
    let mut logged = Vec::new();
    for _ in 0..600 {
        let out = harness.advance(20 * MS);
        for worker in loads(&out, 0).into_iter().chain(loads(&out, 1)) {
            harness.loaded(&worker, 7, 1, Outcome::Ok);
        }
        logged.extend(out.into_iter().filter(|a| matches!(a, Action::Log { .. })));
    }
    let suspected = |a: &Action| matches!(a, Action::Log { text } if text.starts_with("1 of 4"));
    assert!(logged.iter().any(suspected), "{logged:?}");
}

/// A lost connection does not unload copies: they are found by a copy query, not loaded again.
#[test]
fn after_a_lost_connection_copies_are_kept_until_a_query_shows_otherwise() {
    for (copies, sent_there) in [(1, true), (0, false)] {
        let mut harness = Harness::new(settings(), 3);
        harness.make_warm(8, 1, &["w0"]);
        harness.advance(20 * MS);
        harness.make_warm(7, 2, &["w0"]);
        harness.request(3, SAFE, 7);
        harness.outcome(3, 0, Outcome::Reset, 5 * MS);
        let queried = loads(&harness.advance(SEC), 0);
        assert!(queried.contains(&"w0".to_string()));
        harness.loaded("w0", 7, copies, Outcome::Ok);
        assert_eq!(sends(&harness.request(4, SAFE, 8)) == ["w0"], sent_there);
    }
}

/// Clients with short timeouts that retry would fill the fleet with work that nobody waits for.
#[test]
fn under_load_requests_with_too_short_a_timeout_are_refused() {
    let refused = |open_requests: u64| {
        let mut set = settings();
        // So that only the client's timeout can cause a refusal.
        set.classes.iter_mut().for_each(|c| c.latency_target = 3000 * SEC);
        let mut harness = Harness::new(set, 2);
        harness.make_warm(7, 1, &["w0", "w1"]);
        harness.advance(3 * SEC);
        (10..10 + open_requests).for_each(|id| drop(harness.request(id, SAFE, 7)));
        harness.advance(12 * SEC); // statistics over so few calls take several seconds
        let out = harness.feed(Event::Request {
            id: 999,
            class: SAFE,
            tenant: None,
            function: 7,
            timeout: 50 * MS,
            memory_mb: 500.0,
            lanes: 1,
            load_time: 0,
            retry: false,
        });
        out.iter().any(|a| matches!(a, Action::Refuse { id: 999, .. }))
    };
    assert!(refused(12));
    assert!(!refused(1));
}

/// An attempt may time out microseconds before the request's own timer fires. The request must not be sent
/// again then, because its client is about to give up.
#[test]
fn a_request_past_its_deadline_is_not_sent_again() {
    let mut harness = Harness::new(settings(), 3);
    harness.make_warm(7, 1, &["w0", "w1", "w2"]);
    assert_eq!(sends(&harness.request(2, SAFE, 7)).len(), 1);
    harness.now += 3 * SEC;
    let out = harness.outcome(2, 0, Outcome::Timeout, 3 * SEC);
    assert!(sends(&out).is_empty() && out.contains(&Action::Fail { id: 2 }), "{out:?}");
}

/// If every front end added a copy for each loss, the copies of seldom called functions would exceed the
/// workers' memory and unload each other: 650 GB of copies in 480 GB of memory were seen in the simulator.
#[test]
fn with_several_front_ends_a_seldom_called_function_gets_no_copy_per_loss() {
    let copies_added = |front_ends| {
        let mut harness = Harness::new(Settings { front_ends, ..settings() }, 4);
        harness.make_warm(7, 1, &["w0", "w1"]);
        // Two calls that stay in flight take both lanes; the third call is a loss.
        (2..5).flat_map(|id| loads(&harness.request(id, SAFE, 7), 1)).count()
    };
    assert_eq!((copies_added(1), copies_added(5)), (1, 0));
}

/// In an overload, requests that each try many workers and are rejected keep full workers full.
#[test]
fn a_request_rejected_three_times_is_refused() {
    let mut harness = Harness::new(Settings { max_attempts: 6, ..settings() }, 6);
    harness.make_warm(7, 1, &["w0", "w1", "w2", "w3", "w4", "w5"]);
    harness.request(2, SAFE, 7);
    let first = (0..3).flat_map(|n| harness.outcome(2, n, Outcome::Rejected, MS)).collect::<Vec<_>>();
    assert_eq!(sends(&first).len(), 2);
    assert!(first.iter().any(|a| matches!(a, Action::Refuse { id: 2, .. })), "{first:?}");
}

/// A request that waits for a load until its timeout is refused too late for its client to retry. Without an
/// attempt it is refused before half of its timeout.
#[test]
fn a_request_without_an_attempt_is_refused_before_half_its_timeout() {
    let mut harness = Harness::new(settings(), 2);
    let queried = loads(&harness.request(1, SAFE, 7), 0);
    queried.iter().for_each(|worker| drop(harness.loaded(worker, 7, 0, Outcome::Ok)));
    assert!(harness.advance(1_200 * MS).iter().all(|a| !matches!(a, Action::Refuse { .. })));
    assert!(harness.advance(280 * MS).iter().any(|a| matches!(a, Action::Refuse { id: 1, .. })));
}

/// A client that calls a function that no worker knows gets a response within 3 s, whatever its timeout.
#[test]
fn a_request_for_a_function_never_served_is_refused_within_three_seconds() {
    let refused_after = |ever_served: bool| {
        let mut harness = Harness::new(settings(), 2);
        if ever_served {
            harness.make_warm(7, 1, &["w0"]);
            harness.advance(20 * SEC); // its copies have expired
        }
        let (id, class, tenant, function, timeout) = (2, SAFE, None, 7, 8 * SEC);
        let (memory_mb, lanes, load_time, retry) = (500.0, 1, 400 * MS, false);
        let actions = harness.feed(Event::Request {
            id,
            class,
            tenant,
            function,
            timeout,
            memory_mb,
            lanes,
            load_time,
            retry,
        });
        let since = harness.now;
        loads(&actions, 0).iter().for_each(|worker| drop(harness.loaded(worker, 7, 0, Outcome::Ok)));
        while !harness.advance(20 * MS).iter().any(|a| matches!(a, Action::Refuse { .. })) {}
        harness.now - since
    };
    let (never_served, served) = (refused_after(false), refused_after(true));
    assert!((2 * SEC..2_900 * MS).contains(&never_served), "{never_served}");
    assert!(served > 3 * SEC, "{served}");
}

/// With few front ends, ordinary unevenness must not count as crowding: each time it would cause a loss.
#[test]
fn few_front_ends_do_not_take_uneven_load_for_crowding() {
    let calls_to_busiest = |front_ends| {
        let mut harness = Harness::new(Settings { front_ends, ..settings() }, 4);
        harness.make_warm(7, 1, &["w0", "w1", "w2", "w3"]);
        let mut calls = 0;
        for id in 10..210 {
            let worker = sends(&harness.request(id, SAFE, 7)).remove(0);
            let inflight = Some(if worker == "w0" { 8.0 } else { 4.0 });
            let (attempt, outcome, elapsed, closed) = (0, Outcome::Ok, 50 * MS, true);
            let (warm, function_inflight) = (Some(true), None);
            harness.feed(Event::Outcome {
                id,
                attempt,
                outcome,
                elapsed,
                closed,
                warm,
                function_inflight,
                inflight,
            });
            harness.advance(100 * MS);
            calls += usize::from(worker == "w0");
        }
        calls
    };
    // An even share would be 50.
    let (few, many) = (calls_to_busiest(4), calls_to_busiest(200));
    assert!(few >= 40 && many < 40, "{few} and {many}");
}
