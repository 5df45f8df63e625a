//! Large fleets of front ends: each sees little traffic, and whatever each does happens hundreds of times.
mod common;
use common::*;
use heronslip_policy::*;

fn many_front_ends(front_ends: u32) -> Settings {
    let tenant = |quota_per_s| TenantSettings { quota_per_s, ..TenantSettings::default() };
    let tenants = vec![tenant(60.0), tenant(40.0)];
    Settings { front_ends, tenants, ..settings() }
}

fn call(harness: &mut Harness, id: u64, function: u64, tenant: usize) -> Vec<Action> {
    harness.feed(Event::Request {
        id,
        class: SAFE,
        tenant: Some(tenant),
        function,
        timeout: 3 * SEC,
        memory_mb: 500.0,
        lanes: 4,
        load_time: 400 * MS,
        retry: false,
    })
}

fn complete(
    harness: &mut Harness, id: u64, outcome: Outcome, elapsed: Micros, inflight: Option<f64>,
) -> Vec<Action> {
    let closed = outcome == Outcome::Ok;
    harness.feed(Event::Outcome {
        id,
        attempt: 0,
        outcome,
        elapsed,
        closed,
        warm: None,
        function_inflight: None,
        inflight,
    })
}

/// Makes `function` warm at all workers that get a copy query for it; returns their number.
fn warm_all(harness: &mut Harness, id: u64, function: u64) -> usize {
    let queried = loads(&call(harness, id, function, 0), 0);
    for worker in &queried {
        harness.loaded(worker, function, 1, Outcome::Ok);
    }
    complete(harness, id, Outcome::Ok, 50 * MS, None);
    queried.len()
}

#[test]
fn the_first_call_of_a_function_queries_a_few_workers_only() {
    let mut harness = Harness::new(many_front_ends(200), 60);
    let queried = loads(&call(&mut harness, 1, 7, 0), 0).len();
    assert!((1..=8).contains(&queried), "{queried} copy queries for one function");
}

fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

/// Feeds calls (time from the start, tenant), each served after `took`; returns how many were refused.
fn refused_calls(calls: &[(Micros, usize)], took: Micros, inflight: Option<f64>) -> usize {
    let mut harness = Harness::new(many_front_ends(200), 6);
    warm_all(&mut harness, 1, 7);
    let (start, mut next, mut refused) = (harness.now, 0, 0);
    let mut open = std::collections::VecDeque::new();
    while next < calls.len() || !open.is_empty() {
        harness.advance(20 * MS);
        while next < calls.len() && calls[next].0 <= harness.now - start {
            let id = 100 + next as u64;
            let out = call(&mut harness, id, 7, calls[next].1);
            refused += refusals(&out);
            if refusals(&out) == 0 {
                open.push_back((harness.now + took, id));
            }
            next += 1;
        }
        while open.front().is_some_and(|&(t, _)| t <= harness.now) {
            let (_, id) = open.pop_front().unwrap();
            complete(&mut harness, id, Outcome::Ok, took, inflight);
        }
    }
    refused
}

/// Four calls within half a second at one of two hundred front ends are chance, not an overload of the fleet.
#[test]
fn a_few_calls_at_once_at_one_of_many_front_ends_cause_no_refusal() {
    let calls: Vec<_> = (0..48u64).map(|n| (n / 4 * 2 * SEC + n % 4 * 110 * MS, 0)).collect();
    assert_eq!(refused_calls(&calls, 500 * MS, None), 0);
}

#[test]
fn where_workers_report_low_load_slow_calls_at_one_front_end_cause_no_refusal() {
    let calls: Vec<_> = (0..80u64).map(|n| (n * 250 * MS, 0)).collect();
    assert_eq!(refused_calls(&calls, 1600 * MS, Some(1.0)), 0);
    assert!(refused_calls(&calls, 1600 * MS, Some(20.0)) > 0, "high reported load causes refusals");
}

/// Half of a few calls does not show that a tenant with 40% of the quotas exceeds its share at all front
/// ends.
#[test]
fn a_tenant_is_over_quota_by_its_share_of_the_traffic() {
    let calls: Vec<_> = (0..60u64).map(|n| (n * 500 * MS, n as usize % 2)).collect();
    assert_eq!(refused_calls(&calls, 700 * MS, None), 0);
    // Nine in ten of the calls do show it.
    let calls: Vec<_> = (0..60u64).map(|n| (n * 500 * MS, usize::from(n % 10 > 0))).collect();
    assert!(refused_calls(&calls, 700 * MS, None) > 0);
}

/// The workers that front end `index` of `front_ends` sends the calls of a function to; copy queries find it
/// loaded.
fn workers_used(front_ends: u32, index: u32) -> std::collections::BTreeSet<String> {
    let mut harness = Harness::new(Settings { index, ..many_front_ends(front_ends) }, 40);
    warm_all(&mut harness, 1, 7);
    let mut used = std::collections::BTreeSet::new();
    for id in 10..60 {
        let mut out = call(&mut harness, id, 7, 0);
        while let Some(action) = out.pop() {
            match action {
                Action::Load { worker, function, .. } => {
                    out.extend(harness.loaded(&worker, function, 1, Outcome::Ok));
                }
                Action::Send { worker, .. } => drop(used.insert(worker)),
                _ => {}
            }
        }
        harness.advance(100 * MS);
        complete(&mut harness, id, Outcome::Ok, 100 * MS, Some(1.0));
        harness.advance(300 * MS);
    }
    used
}

/// Many front ends spread a function over more workers than two do, and each of them uses only some of these.
#[test]
fn many_front_ends_spread_a_function_over_more_workers() {
    let all = |front_ends: u32, step: usize| -> usize {
        let used = (0..front_ends).step_by(step).flat_map(|index| workers_used(front_ends, index));
        used.collect::<std::collections::BTreeSet<String>>().len()
    };
    let (few, hundreds) = (all(2, 1), all(200, 20));
    assert!(hundreds >= few + 5, "{few} workers for two front ends, {hundreds} for ten of two hundred");
    let most = (0..200).step_by(20).map(|index| workers_used(200, index).len()).max();
    assert!(most.is_some_and(|n| n <= 20), "{most:?} workers for one of them");
}

#[test]
fn after_a_rejection_by_a_worker_with_low_load_only_that_tenant_is_blocked() {
    let mut harness = Harness::new(many_front_ends(200), 1);
    warm_all(&mut harness, 1, 7);
    harness.advance(200 * MS);
    call(&mut harness, 2, 7, 0);
    complete(&mut harness, 2, Outcome::Ok, 50 * MS, Some(1.0)); // it reports low load
    harness.advance(200 * MS);
    call(&mut harness, 3, 7, 0);
    complete(&mut harness, 3, Outcome::Rejected, 50 * MS, Some(1.0));
    harness.advance(2 * SEC);
    assert!(
        sends(&call(&mut harness, 4, 7, 0)).is_empty(),
        "a call of its tenant was rejected two seconds ago"
    );
    assert_eq!(sends(&call(&mut harness, 5, 7, 1)), ["w0"]);
}

#[test]
fn a_worker_that_rejects_all_calls_is_tried_with_backoff() {
    let mut harness = Harness::new(many_front_ends(200), 1);
    warm_all(&mut harness, 1, 7);
    let mut tries = 0;
    for id in 10..110 {
        if !sends(&call(&mut harness, id, 7, 0)).is_empty() {
            tries += 1;
            complete(&mut harness, id, Outcome::Rejected, MS, None);
        }
        harness.advance(40 * MS);
    }
    // Four seconds: tries at 0, 0.2, 0.6, 1.4 and 3 s; with a constant delay there would be twenty.
    assert!((3..=7).contains(&tries), "{tries} tries");
}

#[test]
fn load_reported_some_seconds_ago_still_counts_where_calls_are_few() {
    let mut harness = Harness::new(many_front_ends(200), 6);
    warm_all(&mut harness, 1, 7);
    let mut to = std::collections::BTreeMap::new();
    for id in 10..130 {
        let worker = sends(&call(&mut harness, id, 7, 0)).remove(0);
        *to.entry(worker.clone()).or_insert(0) += 1;
        let inflight = if worker == "w0" { 30.0 } else { 2.0 };
        complete(&mut harness, id, Outcome::Ok, 50 * MS, Some(inflight));
        harness.advance(SEC);
    }
    // An even share would be 20; if the report were forgotten in two seconds, it would come close to that.
    assert!(to.get("w0").copied().unwrap_or(0) <= 12, "{to:?}");
}

#[test]
fn where_no_load_is_reported_a_slow_worker_gets_fewer_calls() {
    let mut harness = Harness::new(many_front_ends(200), 6);
    warm_all(&mut harness, 1, 7);
    let mut slow = 0;
    for id in 10..130 {
        let worker = sends(&call(&mut harness, id, 7, 0)).remove(0);
        slow += usize::from(worker == "w0");
        let elapsed = if worker == "w0" { 250 * MS } else { 100 * MS };
        complete(&mut harness, id, Outcome::Ok, elapsed, None);
        harness.advance(SEC / 4);
    }
    assert!(slow <= 15, "{slow} of 120 calls went to the slow worker");
}

#[test]
fn after_a_stall_no_worker_is_a_suspect_and_nothing_is_sent_twice() {
    let mut set = many_front_ends(100);
    set.may_hedge = true;
    let mut harness = Harness::new(set, 4);
    warm_all(&mut harness, 1, 7);
    harness.advance(SEC);
    let sent: Vec<u64> = (10..14).filter(|&id| !sends(&call(&mut harness, id, 7, 0)).is_empty()).collect();
    assert_eq!(sent.len(), 4);
    harness.now += 2900 * MS; // it stalls; then all events arrive at once, the timer first
    let after_stall = harness.feed(Event::Timer { token: 0 });
    assert!(
        sends(&after_stall).is_empty() && !after_stall.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "{after_stall:?}"
    );
    for id in sent {
        complete(&mut harness, id, Outcome::Ok, 2900 * MS, None);
    }
    harness.advance(200 * MS);
    // All workers are still chosen for a class that sends no trial requests.
    let mut seen = std::collections::BTreeSet::new();
    for id in 100..160 {
        seen.extend(sends(&harness.request(id, UNSAFE, 7)));
        complete(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
    assert_eq!(seen.len(), 4, "{seen:?}");
}

/// Rule 4 over the sum of a fleet: of a hundred front ends with calls for a worker that has just started, few
/// may send.
#[test]
fn the_cold_budgets_of_many_front_ends_do_not_fill_at_the_same_time() {
    let mut sent_in = [0; 2];
    for seed in 0..100 {
        let mut controller = Controller::new(many_front_ends(100), seed);
        let mut out = Vec::new();
        let mut new = entry(0);
        new.started_at = 100 * SEC;
        controller.handle(100 * SEC, Event::WorkerList { full: true, entries: vec![new] }, &mut out);
        let mut harness = Harness { controller, now: 100 * SEC };
        call(&mut harness, 1, 7, 0);
        harness.loaded("w0", 7, 1, Outcome::Ok);
        for (n, half) in sent_in.iter_mut().enumerate() {
            for id in 0..25 {
                let out = call(&mut harness, 100 + 100 * n as u64 + id, 7, 0);
                *half += sends(&out).len() + sends(&harness.advance(100 * MS)).len();
            }
        }
    }
    // The service time is estimated as a quarter of the target of 1 s; the budgets grow by 0.2 to 0.4 of a
    // core times two.
    assert!(sent_in[0] >= 1 && sent_in[1] >= 1, "{sent_in:?}: a fleet of cold workers must start");
    assert!(sent_in[0] <= 12 && sent_in[1] <= 16, "{sent_in:?} calls in two spans of 2.5 s");
}

/// Where calls reach a worker only every few seconds, one timeout must be enough to avoid it.
#[test]
fn after_a_single_timeout_a_worker_is_avoided_for_some_seconds() {
    let mut harness = Harness::new(many_front_ends(200), 60);
    warm_all(&mut harness, 1, 7);
    harness.advance(SEC);
    let unresponsive = sends(&harness.request(2, UNSAFE, 7)).remove(0);
    harness.outcome(2, 0, Outcome::Timeout, 900 * MS);
    for id in 10..40 {
        harness.advance(SEC / 8);
        assert!(!sends(&harness.request(id, UNSAFE, 7)).contains(&unresponsive), "call {id}");
        complete(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
}

/// Commands have a cost in the settings: each of a hundred front ends must not spend as much as a single one
/// would.
#[test]
fn the_cost_of_commands_stays_a_small_fraction_of_the_worth_of_calls() {
    let commands_sent = |probe_cost| {
        let set = Settings { probe_cost, load_on_miss: true, ..many_front_ends(100) };
        let mut harness = Harness::new(set, 40);
        let mut commands = 0;
        for id in 1..=200 {
            let mut out = call(&mut harness, id, id % 50, 0);
            out.extend(harness.advance(20 * MS));
            while let Some(action) = out.pop() {
                if let Action::Load { worker, function, count } = action {
                    commands += 1;
                    out.extend(harness.loaded(&worker, function, count, Outcome::Ok));
                }
            }
            complete(&mut harness, id, Outcome::Ok, 50 * MS, Some(1.0));
            harness.advance(100 * MS);
        }
        commands
    };
    let (cheap, expensive) = (commands_sent(0.0), commands_sent(0.08));
    assert!(
        cheap > 2 * expensive,
        "{cheap} commands where they cost nothing, {expensive} where they cost 0.08"
    );
    assert!(f64::from(expensive) * 0.08 / 200.0 < 0.03, "{expensive} commands for 200 calls at 0.08 each");
}

/// An attempt that is cancelled at the deadline got no response, although no timeout was reported for it.
#[test]
fn a_worker_that_did_not_respond_by_the_deadline_is_not_sent_the_next_call() {
    let mut harness =
        Harness::new(Settings { may_command: false, load_on_miss: true, ..many_front_ends(100) }, 40);
    let unresponsive = sends(&call(&mut harness, 1, 7, 0)).remove(0);
    harness.advance(3 * SEC);
    let ended = harness.feed(Event::Timer { token: 1 << 1 | 1 });
    assert!(ended.iter().any(|a| matches!(a, Action::Cancel { id: 1, .. })), "{ended:?}");
    complete(&mut harness, 1, Outcome::Cancelled, 2900 * MS, None);
    harness.advance(200 * MS);
    assert!(!sends(&call(&mut harness, 2, 7, 0)).contains(&unresponsive), "to {unresponsive} again");
}

/// Each of a hundred front ends has few calls: trial requests to unhealthy workers must not take many of
/// them.
#[test]
fn trial_requests_to_suspects_are_few_where_calls_are_few() {
    let mut harness = Harness::new(many_front_ends(100), 12);
    let unhealthy = |worker: &str| ["w0", "w1", "w2"].contains(&worker);
    warm_all(&mut harness, 1, 7);
    let mut lost = 0;
    for id in 10..410 {
        let worker = sends(&call(&mut harness, id, 7, 0)).remove(0);
        lost += usize::from(unhealthy(&worker));
        let outcome = if unhealthy(&worker) { Outcome::Timeout } else { Outcome::Ok };
        complete(&mut harness, id, outcome, if unhealthy(&worker) { 900 * MS } else { 50 * MS }, Some(1.0));
        harness.feed(Event::RequestCancelled { id });
        harness.advance(SEC / 8);
    }
    // Fifty seconds with eight calls each: three suspects share the trial requests.
    assert!((1..=12).contains(&lost), "{lost} of 400 calls");
}

/// Where copy queries to six workers cost more than they save, the first call of a function is sent without
/// them.
#[test]
fn where_copy_queries_are_expensive_none_is_sent() {
    let mut harness =
        Harness::new(Settings { probe_cost: 0.08, load_on_miss: true, ..many_front_ends(100) }, 40);
    for id in 1..=100 {
        let out = call(&mut harness, id, id, 0);
        assert!(loads(&out, 0).is_empty(), "call {id}: {out:?}");
        let workers = [sends(&out), loads(&out, 1)].concat();
        assert_eq!(workers.len(), 1, "call {id} is sent to one worker, or one loads for it: {out:?}");
        harness.loaded(&workers[0], id, 1, Outcome::Ok);
        complete(&mut harness, id, Outcome::Ok, 50 * MS, Some(1.0));
        harness.advance(100 * MS);
    }
}

/// An attempt that is cancelled before the deadline says nothing about its worker.
#[test]
fn a_worker_with_an_attempt_cancelled_early_is_still_chosen() {
    let mut harness = Harness::new(many_front_ends(100), 6);
    warm_all(&mut harness, 1, 7);
    harness.advance(SEC);
    let first = sends(&call(&mut harness, 2, 7, 0)).remove(0);
    complete(&mut harness, 2, Outcome::Cancelled, 1500 * MS, None);
    harness.advance(200 * MS);
    let mut seen = std::collections::BTreeSet::new();
    for id in 10..70 {
        seen.extend(sends(&harness.request(id, UNSAFE, 7)));
        complete(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
    assert!(seen.contains(&first), "{first} is not in {seen:?}");
}

/// Functions that are no longer called are forgotten, with all their records at workers, so that memory is
/// bounded.
#[test]
fn functions_that_are_no_longer_called_are_forgotten() {
    let mut harness = Harness::new(many_front_ends(200), 60);
    let mut kept = Vec::new();
    for round in 0..3u64 {
        for n in 0..500 {
            let id = 1 + round * 500 + n;
            let mut out = call(&mut harness, id, 10_000 + id, 0);
            while let Some(action) = out.pop() {
                if let Action::Load { worker, function, .. } = action {
                    out.extend(harness.loaded(&worker, function, 1, Outcome::Ok));
                }
            }
            complete(&mut harness, id, Outcome::Ok, 50 * MS, None);
        }
        kept.push(harness.controller.footprint().functions);
        harness.now += 60 * SEC;
        harness.advance(SEC);
        let left = harness.controller.footprint();
        assert_eq!((left.functions, left.copies, left.preferences, left.requests), (0, 0, 0, 0));
    }
    assert_eq!(kept, [500, 500, 500]);
}

/// New workers reuse the slots of removed ones, and the cached preference order of each function stays the
/// same as a newly ranked one.
#[test]
fn replaced_workers_leave_no_records_and_preference_orders_stay_the_same() {
    let mut harness = Harness::new(many_front_ends(200), 200);
    warm_all(&mut harness, 1, 7);
    let name = |n: usize, round: usize| format!("w{n}-{round}");
    let entry = |worker: String, state| WorkerEntry { worker, state, ..entry(0) };
    let old = |n: usize, round: usize| if round == 0 { format!("w{n}") } else { name(n, round - 1) };
    for round in 0..5 {
        for n in 0..200 {
            let entries =
                vec![entry(old(n, round), WorkerState::Gone), entry(name(n, round), WorkerState::Ready)];
            harness.feed(Event::WorkerList { full: false, entries });
        }
    }
    let kept = harness.controller.footprint().workers;
    assert!(kept <= 210, "{kept} records for 200 workers");
    let mut restarted = Harness::new(many_front_ends(200), 0);
    let entries = (0..200).map(|n| entry(name(n, 4), WorkerState::Ready)).collect();
    restarted.feed(Event::WorkerList { full: true, entries });
    harness.advance(10 * SEC);
    let queried = |harness: &mut Harness, id| {
        let mut queried = loads(&call(harness, id, 7, 0), 0);
        queried.sort();
        queried
    };
    assert_eq!(queried(&mut harness, 2), queried(&mut restarted, 2));
}
