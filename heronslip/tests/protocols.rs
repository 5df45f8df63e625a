//! Scenarios of requests, each run with both client protocols and both worker protocols.
mod common;

use common::{Protocol, TestProgram};
use rstest::rstest;
use Protocol::{Kserve, Platform};

/// Requests with different outcomes: served, retried after a lost or rejected attempt, failed.
const MIXED_REQUESTS: &str = "
    client send tile-render - one 3000
    worker expect tile-render - one
    worker send ok ONE
    client expect served ONE
    client send tile-order k1 two 3000
    worker expect tile-order k1 two
    worker send truncated
    worker expect tile-order k1 two same-zone
    worker send ok TWO
    client expect served TWO
    client send tile-render - three 3000
    worker expect tile-render - three
    worker send full
    worker expect tile-render - three
    worker send ok THREE
    client expect served THREE
    client send tile-order - four 3000
    client expect failed
    client send tile-order k5 five 400
    worker expect tile-order k5 five
    client expect failed
    worker expect nothing later
";

/// A worker connection on which a reply stops midway is closed, and the call is sent to another worker once.
#[rstest]
#[case::stops_midway("worker send stall\nworker expect closed\nworker expect tile-render - x\nworker send ok X\nclient expect served X")]
fn stalled_worker_connections_end(#[values(Platform, Kserve)] workers: Protocol, #[case] then: &str) {
    let program = TestProgram::new(workers);
    program.run_scenario(
        Platform,
        &format!("client send tile-render - x 700\nworker expect tile-render - x\n{then}"),
    );
}

/// A worker connection that stays open but silent is closed too. One on which a call only takes long is not.
#[rstest]
#[case::mute("worker mute\nworker expect closed\nworker expect tile-render - x\nworker send ok X\nclient expect served X")]
#[case::slow("wait 600\nworker send ok X\nclient expect served X\nworker expect nothing")]
fn mute_worker_connections_end(#[case] then: &str) {
    let send = "client send tile-render - x 3000\nworker expect tile-render - x";
    TestProgram::new(Platform).run_scenario(Platform, &format!("{send}\n{then}"));
}

/// The same requests have the same outcomes, and workers receive the same calls, with each pair of protocols.
#[test]
fn outcomes_are_the_same_with_all_protocols() {
    let programs = [Platform, Kserve].map(TestProgram::new);
    let transcripts: Vec<Vec<String>> = programs
        .iter()
        .flat_map(|program| [Platform, Kserve].map(|clients| program.run_scenario(clients, MIXED_REQUESTS)))
        .collect();
    assert_eq!(transcripts[0].len(), 11);
    for other in &transcripts[1..] {
        assert_eq!(&transcripts[0], other);
    }
}

#[rstest]
// Only the workers of one zone drop duplicates of this class: a request that may have run must stay there.
#[case::deduplicated_request_stays_in_its_zone(
    "
    client send tile-order k1 x 700
    worker expect tile-order k1 x
    worker send truncated
    worker expect tile-order k1 x same-zone
    worker close
    client expect failed
    worker expect nothing"
)]
// A call that returned an error may have run: the idempotency key makes sending it again safe.
#[case::deduplicated_request_is_retried_after_an_error(
    "
    client send tile-order k2 x 2000
    worker expect tile-order k2 x
    worker send error
    worker expect tile-order k2 x same-zone
    worker send ok DONE
    client expect served DONE"
)]
// The call ran nowhere: the request is refused, so that the client may retry.
#[case::rejected_by_all_workers(
    "
    client send tile-order k3 x 2000
    worker expect tile-order k3 x
    worker send full
    worker expect tile-order k3 x
    worker send full
    worker expect tile-order k3 x
    worker send full
    client expect refused"
)]
#[case::retried_elsewhere_after_a_miss(
    "
    client send tile-render - x 2000
    worker expect tile-render - x
    worker send miss
    worker expect tile-render - x
    worker send ok DONE
    client expect served DONE"
)]
#[case::retried_after_a_truncated_reply_in_a_safe_class(
    "
    client send tile-render - x 2000
    worker expect tile-render - x
    worker send truncated
    worker expect tile-render - x
    worker send ok DONE
    client expect served DONE"
)]
// A worker that does not reply: the front end's own timer ends the request, and the late reply is dropped.
#[case::late_replies_are_dropped(
    "
    client send tile-order k4 x 300
    worker expect tile-order k4 x
    client expect failed
    worker send ok LATE
    client expect nothing
    client send tile-render - y 2000
    worker expect tile-render - y
    worker send ok DONE
    client expect served DONE"
)]
#[case::unknown_class(
    "
    client send tile-sketch - x 2000
    client expect failed
    worker expect nothing"
)]
#[case::request_of_a_disconnected_client_is_not_retried(
    "
    client send tile-render - x 2000
    worker expect tile-render - x
    client close
    worker send ok LATE
    worker expect nothing"
)]
fn scenario(
    #[case] lines: &str, #[values(Platform, Kserve)] clients: Protocol,
    #[values(Platform, Kserve)] workers: Protocol,
) {
    TestProgram::new(workers).run_scenario(clients, lines);
}
