//! Readiness leases: what may go to a worker while discovery is lost.
mod common;
use common::*;
use heronslip_policy::*;

const GRACE: Micros = SEC;

/// A front end whose workers hold function 7, and that has lost discovery at the rig's time.
fn without_discovery(workers: usize) -> Rig {
    let set = Settings { drain_grace: GRACE, may_probe: true, ..settings() };
    let mut rig = Rig::new(set, workers);
    rig.feed(Event::Discovery { state: DiscoveryState::Current });
    let names: Vec<String> = (0..workers).map(|n| format!("w{n}")).collect();
    rig.warm(7, 1, &names.iter().map(String::as_str).collect::<Vec<_>>());
    rig.feed(Event::Discovery { state: DiscoveryState::Lost });
    rig
}

fn probes(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Probe { worker } => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

fn probed(rig: &mut Rig, worker: &str, outcome: Outcome) -> Vec<Action> {
    rig.feed(Event::Probed { worker: worker.into(), outcome, inflight: None })
}

/// Workers to which something new went: a call, or an order to load.
fn new_work(actions: &[Action]) -> Vec<String> {
    let mut to = sends(actions);
    to.extend(loads(actions, 1));
    to
}

#[test]
fn a_lease_lasts_for_the_grace_and_no_longer() {
    for (after, at_once) in [(GRACE / 2, true), (GRACE, false), (6 * SEC, false)] {
        let mut rig = without_discovery(1);
        rig.now += after;
        let out = rig.request(2, SAFE, 7);
        assert_eq!(!new_work(&out).is_empty(), at_once, "after {after}: {out:?}");
        assert_eq!(probes(&out).is_empty(), at_once, "after {after}: {out:?}");
    }
}

#[test]
fn a_call_waits_for_the_probe_of_its_worker() {
    let mut rig = without_discovery(1);
    rig.now += 2 * GRACE;
    let mut out = rig.request(2, SAFE, 7);
    out.extend(rig.pass(40 * MS));
    assert_eq!((new_work(&out), probes(&out)), (vec![], vec!["w0".to_owned()]));
    assert_eq!(sends(&probed(&mut rig, "w0", Outcome::Ok)), ["w0"]);
}

/// The proof is as old as the probe's sending, not its answer: the worker may have begun to drain between them.
#[test]
fn a_lease_runs_from_the_sending_of_what_proves_it() {
    let mut rig = without_discovery(1);
    rig.now += 2 * GRACE;
    rig.request(2, SAFE, 7);
    rig.now += GRACE;
    assert!(new_work(&probed(&mut rig, "w0", Outcome::Ok)).is_empty());
}

#[test]
fn a_call_that_was_served_renews_the_lease() {
    let mut rig = without_discovery(1);
    for id in 2..20 {
        rig.now += GRACE / 2;
        let out = rig.request(id, SAFE, 7);
        assert_eq!((sends(&out).len(), probes(&out).len()), (1, 0), "call {id}");
        rig.outcome(id, 0, Outcome::Ok, 50 * MS);
    }
}

/// A worker that takes no work gets none, however many calls come, and is not probed at each of them.
#[test]
fn a_worker_that_takes_no_work_is_left_alone() {
    let mut rig = without_discovery(1);
    rig.now += 2 * GRACE;
    let mut asked = 0;
    for id in 2..202 {
        let mut out = rig.request(id, SAFE, 7);
        out.extend(rig.pass(20 * MS));
        asked += probes(&out).len();
        assert!(new_work(&out).is_empty(), "call {id}: {out:?}");
        if !probes(&out).is_empty() {
            assert!(new_work(&probed(&mut rig, "w0", Outcome::Rejected)).is_empty());
        }
    }
    assert!((2..=6).contains(&asked), "{asked} probes in four seconds");
}

/// What a worker turns away ends its lease, though it was served there before.
#[test]
fn a_call_turned_away_ends_the_lease() {
    let mut rig = without_discovery(2);
    rig.now += GRACE / 4;
    let first = sends(&rig.request(2, SAFE, 7)).remove(0);
    rig.outcome(2, 0, Outcome::Rejected, 2 * MS);
    rig.now += GRACE / 4; // the block that any full worker gets is over
    let mut probed_first = false;
    for id in 3..23 {
        let out = rig.request(id, SAFE, 7);
        probed_first |= probes(&out).contains(&first);
        assert!(!new_work(&out).contains(&first), "call {id}");
        for worker in sends(&out) {
            assert_ne!(worker, first);
            rig.outcome(id, 0, Outcome::Ok, 5 * MS);
        }
    }
    assert!(probed_first);
}

#[test]
fn orders_to_load_wait_for_a_lease_as_calls_do() {
    let mut rig = without_discovery(3);
    rig.now += 2 * GRACE;
    // A function nobody holds: the first call of it asks for copies, which is no new work.
    let mut out = rig.request(2, SAFE, 9);
    for worker in loads(&out, 0) {
        out.extend(rig.loaded(&worker, 9, 0, Outcome::Ok));
    }
    assert!(new_work(&out).is_empty(), "{out:?}");
    let asked = probes(&out);
    assert!(!asked.is_empty());
    let mut out = Vec::new();
    for worker in &asked {
        out.extend(probed(&mut rig, worker, Outcome::Ok));
    }
    out.extend(rig.pass(40 * MS));
    assert!(!new_work(&out).is_empty() && new_work(&out).iter().all(|w| asked.contains(w)), "{out:?}");
}

/// Nothing is probed as long as discovery is current, or where nothing is ever reported of it.
#[test]
fn nothing_is_probed_while_discovery_is_current() {
    let mut rig = without_discovery(2);
    rig.feed(Event::Discovery { state: DiscoveryState::Current });
    for id in 2..50 {
        let mut out = rig.request(id, SAFE, 7);
        assert_eq!(sends(&out).len(), 1);
        out.extend(rig.outcome(id, 0, Outcome::Ok, 50 * MS));
        out.extend(rig.pass(100 * MS));
        assert!(probes(&out).is_empty());
    }
}

/// A front end that stood still may have news unread: its list is as old as its last event, until discovery is heard.
#[test]
fn a_gateway_that_stood_still_does_not_trust_its_list() {
    let mut rig = without_discovery(1);
    rig.feed(Event::Discovery { state: DiscoveryState::Current });
    rig.now += 2 * GRACE;
    let out = rig.request(2, SAFE, 7);
    assert_eq!((new_work(&out).len(), probes(&out).len()), (0, 1));
    let out = rig.feed(Event::Discovery { state: DiscoveryState::Current });
    assert_eq!(sends(&[out, rig.pass(20 * MS)].concat()), ["w0"]);
}

/// Without discovery, a worker that could not be reached and is back may be a new process: it counts as cold.
#[test]
fn a_worker_that_comes_back_during_an_outage_counts_as_cold() {
    let mut rig = without_discovery(1);
    rig.request(2, SAFE, 7);
    rig.outcome(2, 0, Outcome::ConnectFailed, MS);
    rig.feed(Event::Withdrawn { id: 2 });
    rig.now += 2 * GRACE;
    let (mut sent, mut id) = (0, 10);
    let end = rig.now + 3 * SEC;
    while rig.now < end {
        id += 1;
        let mut out = rig.request(id, SAFE, 7);
        out.extend(rig.pass(20 * MS));
        while let Some(action) = out.pop() {
            match action {
                Action::Probe { worker } => out.extend(probed(&mut rig, &worker, Outcome::Ok)),
                Action::Load { worker, function, .. } => {
                    out.extend(rig.loaded(&worker, function, 1, Outcome::Ok));
                }
                Action::Send { id, .. } => {
                    sent += 1;
                    out.extend(rig.outcome(id, 0, Outcome::Ok, 50 * MS));
                }
                _ => {}
            }
        }
    }
    // 150 calls of 50 ms: a warm worker would get them all.
    assert!((1..75).contains(&sent), "{sent} calls");
}
