//! Readiness leases: what may be sent to a worker while discovery is lost.
mod common;
use common::*;
use heronslip_policy::*;

/// The drain grace, in microseconds.
const GRACE: Micros = SEC;

fn probing() -> Settings {
    Settings { drain_grace: GRACE, may_probe: true, ..settings() }
}

/// A front end that has just lost discovery, with function 7 loaded at all workers.
fn without_discovery(workers: usize) -> Harness {
    without_discovery_with(probing(), workers)
}

fn without_discovery_with(settings: Settings, workers: usize) -> Harness {
    let mut harness = Harness::new(settings, workers);
    harness.feed(Event::Discovery { state: DiscoveryState::Current });
    let names: Vec<String> = (0..workers).map(|n| format!("w{n}")).collect();
    harness.make_warm(7, 1, &names.iter().map(String::as_str).collect::<Vec<_>>());
    harness.feed(Event::Discovery { state: DiscoveryState::Lost });
    harness
}

fn probes(actions: &[Action]) -> Vec<String> {
    let worker = |action: &Action| match action {
        Action::Probe { worker } => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}

fn probed(harness: &mut Harness, worker: &str, outcome: Outcome) -> Vec<Action> {
    harness.feed(Event::Probed { worker: worker.into(), outcome, inflight: None })
}

/// Workers that something new was sent to: a call or a load command.
fn new_work(actions: &[Action]) -> Vec<String> {
    let mut workers = sends(actions);
    workers.extend(loads(actions, 1));
    workers
}

#[test]
fn a_lease_lasts_for_the_grace_and_no_longer() {
    for (after, leased) in [(GRACE / 2, true), (GRACE, false), (6 * SEC, false)] {
        let mut harness = without_discovery(1);
        harness.now += after;
        let out = harness.request(2, SAFE, 7);
        assert_eq!(!new_work(&out).is_empty(), leased, "after {after}: {out:?}");
        assert_eq!(probes(&out).is_empty(), leased, "after {after}: {out:?}");
    }
}

#[test]
fn a_call_waits_for_the_probe_of_its_worker() {
    let mut harness = without_discovery(1);
    harness.now += 2 * GRACE;
    let mut out = harness.request(2, SAFE, 7);
    out.extend(harness.advance(40 * MS));
    assert_eq!((new_work(&out), probes(&out)), (vec![], vec!["w0".to_owned()]));
    assert_eq!(sends(&probed(&mut harness, "w0", Outcome::Ok)), ["w0"]);
}

/// A reply confirms the time at which the probe was sent: the worker may have begun to drain since then.
#[test]
fn a_lease_runs_from_the_sending_of_what_confirms_it() {
    let mut harness = without_discovery(1);
    harness.now += 2 * GRACE;
    harness.request(2, SAFE, 7);
    harness.now += GRACE;
    assert!(new_work(&probed(&mut harness, "w0", Outcome::Ok)).is_empty());
}

#[test]
fn a_served_call_renews_the_lease() {
    let mut harness = without_discovery(1);
    for id in 2..20 {
        harness.now += GRACE / 2;
        let out = harness.request(id, SAFE, 7);
        assert_eq!((sends(&out).len(), probes(&out).len()), (1, 0), "call {id}");
        harness.outcome(id, 0, Outcome::Ok, 50 * MS);
    }
}

/// A worker that accepts no work gets none, and is not probed for each call.
#[test]
fn a_worker_that_accepts_no_work_is_probed_with_backoff() {
    let mut harness = without_discovery(1);
    harness.now += 2 * GRACE;
    let mut probe_count = 0;
    for id in 2..202 {
        let mut out = harness.request(id, SAFE, 7);
        out.extend(harness.advance(20 * MS));
        probe_count += probes(&out).len();
        assert!(new_work(&out).is_empty(), "call {id}: {out:?}");
        if !probes(&out).is_empty() {
            assert!(new_work(&probed(&mut harness, "w0", Outcome::Rejected)).is_empty());
        }
    }
    assert!((2..=6).contains(&probe_count), "{probe_count} probes in four seconds");
}

/// A rejection ends the lease of a worker that served calls before.
#[test]
fn a_rejected_call_ends_the_lease() {
    let mut harness = without_discovery(2);
    harness.now += GRACE / 4;
    let first = sends(&harness.request(2, SAFE, 7)).remove(0);
    harness.outcome(2, 0, Outcome::Rejected, 2 * MS);
    harness.now += GRACE / 4; // the block after a rejection is over
    let mut probed_first = false;
    for id in 3..23 {
        let out = harness.request(id, SAFE, 7);
        probed_first |= probes(&out).contains(&first);
        assert!(!new_work(&out).contains(&first), "call {id}");
        for worker in sends(&out) {
            assert_ne!(worker, first);
            harness.outcome(id, 0, Outcome::Ok, 5 * MS);
        }
    }
    assert!(probed_first);
}

#[test]
fn load_commands_wait_for_a_lease_as_calls_do() {
    let mut harness = without_discovery(3);
    harness.now += 2 * GRACE;
    // A function that is loaded nowhere: its first call sends copy queries, which are no new work.
    let mut out = harness.request(2, SAFE, 9);
    for worker in loads(&out, 0) {
        out.extend(harness.loaded(&worker, 9, 0, Outcome::Ok));
    }
    assert!(new_work(&out).is_empty(), "{out:?}");
    let probed_workers = probes(&out);
    assert!(!probed_workers.is_empty());
    let mut out = Vec::new();
    for worker in &probed_workers {
        out.extend(probed(&mut harness, worker, Outcome::Ok));
    }
    out.extend(harness.advance(40 * MS));
    assert!(
        !new_work(&out).is_empty() && new_work(&out).iter().all(|w| probed_workers.contains(w)),
        "{out:?}"
    );
}

#[test]
fn nothing_is_probed_while_discovery_is_current() {
    let mut harness = without_discovery(2);
    harness.feed(Event::Discovery { state: DiscoveryState::Current });
    for id in 2..50 {
        let mut out = harness.request(id, SAFE, 7);
        assert_eq!(sends(&out).len(), 1);
        out.extend(harness.outcome(id, 0, Outcome::Ok, 50 * MS));
        out.extend(harness.advance(100 * MS));
        assert!(probes(&out).is_empty());
    }
}

/// A front end that has just regained discovery. Its only worker rejected a call during the outage.
fn after_a_rejection_in_an_outage(settings: Settings) -> Harness {
    let mut harness = without_discovery_with(settings, 1);
    harness.request(2, SAFE, 7);
    harness.outcome(2, 0, Outcome::Rejected, 2 * MS);
    harness.feed(Event::RequestCancelled { id: 2 });
    harness.feed(Event::Discovery { state: DiscoveryState::Current });
    harness.advance(GRACE / 4); // the block after a rejection is over
    harness
}

/// Guards against new work to a worker that began to drain during an outage: discovery is back, and tells of the
/// drain later than of other changes.
#[test]
fn a_worker_that_rejected_work_in_an_outage_gets_none_until_it_accepts_some() {
    let mut harness = after_a_rejection_in_an_outage(probing());
    let out = harness.request(3, SAFE, 7);
    assert_eq!((new_work(&out), probes(&out)), (vec![], vec!["w0".to_owned()]));
    assert!(new_work(&probed(&mut harness, "w0", Outcome::Rejected)).is_empty());
    harness.feed(Event::RequestCancelled { id: 3 });
    assert!(new_work(&harness.advance(GRACE)).is_empty());
    let out = harness.request(4, SAFE, 7);
    assert_eq!((new_work(&out), probes(&out)), (vec![], vec!["w0".to_owned()]));
    assert_eq!(sends(&probed(&mut harness, "w0", Outcome::Ok)), ["w0"]);
    harness.outcome(4, 0, Outcome::Ok, 50 * MS);
    harness.advance(2 * GRACE);
    assert_eq!(sends(&harness.request(5, SAFE, 7)), ["w0"], "the list decides again");
}

/// A second outage tells nothing new of the worker.
#[test]
fn a_second_outage_does_not_confirm_a_worker_that_rejected_work() {
    let mut harness = after_a_rejection_in_an_outage(probing());
    harness.feed(Event::Discovery { state: DiscoveryState::Lost });
    let out = harness.request(3, SAFE, 7);
    assert_eq!((new_work(&out), probes(&out)), (vec![], vec!["w0".to_owned()]));
}

/// An entry that discovery sends after the outage is newer than the rejection.
#[test]
fn a_worker_that_is_listed_as_ready_after_an_outage_gets_work() {
    let mut harness = after_a_rejection_in_an_outage(probing());
    harness.feed(Event::WorkerList { full: false, entries: vec![entry(0)] });
    let out = harness.request(3, SAFE, 7);
    assert_eq!((new_work(&out), probes(&out)), (vec!["w0".to_owned()], vec![]));
}

/// Without probes a worker could not prove to be ready, so the list decides.
#[test]
fn the_list_decides_after_an_outage_where_probes_are_forbidden() {
    let mut harness = after_a_rejection_in_an_outage(Settings { may_probe: false, ..probing() });
    let out = harness.request(3, SAFE, 7);
    assert_eq!((new_work(&out), probes(&out)), (vec!["w0".to_owned()], vec![]));
}

/// After a stall, updates of discovery may wait unread: until discovery reports again, the list is only known
/// to have been current before the stall.
#[test]
fn a_front_end_that_stalled_does_not_trust_its_list() {
    let mut harness = without_discovery(1);
    harness.feed(Event::Discovery { state: DiscoveryState::Current });
    harness.now += 2 * GRACE;
    let out = harness.request(2, SAFE, 7);
    assert_eq!((new_work(&out).len(), probes(&out).len()), (0, 1));
    let out = harness.feed(Event::Discovery { state: DiscoveryState::Current });
    assert_eq!(sends(&[out, harness.advance(20 * MS)].concat()), ["w0"]);
}

/// While discovery is lost, a worker that is reachable again may be a new process, so it counts as cold.
#[test]
fn a_worker_that_is_reachable_again_during_an_outage_counts_as_cold() {
    let mut harness = without_discovery(1);
    harness.request(2, SAFE, 7);
    harness.outcome(2, 0, Outcome::ConnectFailed, MS);
    harness.feed(Event::RequestCancelled { id: 2 });
    harness.now += 2 * GRACE;
    let (mut sent, mut id) = (0, 10);
    let end = harness.now + 3 * SEC;
    while harness.now < end {
        id += 1;
        let mut out = harness.request(id, SAFE, 7);
        out.extend(harness.advance(20 * MS));
        while let Some(action) = out.pop() {
            match action {
                Action::Probe { worker } => out.extend(probed(&mut harness, &worker, Outcome::Ok)),
                Action::Load { worker, function, .. } => {
                    out.extend(harness.loaded(&worker, function, 1, Outcome::Ok));
                }
                Action::Send { id, .. } => {
                    sent += 1;
                    out.extend(harness.outcome(id, 0, Outcome::Ok, 50 * MS));
                }
                _ => {}
            }
        }
    }
    // 150 calls of 50 ms: a warm worker would get them all.
    assert!((1..75).contains(&sent), "{sent} calls");
}
