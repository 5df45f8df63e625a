//! The program follows the worker list while the discovery service fails and moves.
mod common;

use common::{Protocol, TestProgram};
use rstest::rstest;

#[rstest]
// SIGHUP must neither end the program nor stop it from following the list.
#[case::address_changes(
    "
    discovery expect 1
    discovery send 2 w0 draining
    list expect w0 draining
    program reload
    discovery expect 2
    discovery send 3 w1 draining
    list expect w1 draining
    program reload
    discovery expect 3"
)]
#[case::unreadable_configuration(
    "
    discovery expect 1
    program reload broken
    discovery send 2 w0 draining
    list expect w0 draining
    program reload
    discovery expect 2"
)]
#[case::repeated_event(
    "
    discovery expect 1
    discovery send 2 w0 draining
    discovery send 3 w0 ready
    discovery send 2 w0 draining
    discovery send 4 w1 draining
    list expect w1 draining
    list expect w0 ready"
)]
// A new worker takes the address of another, whose end the list has not reported.
#[case::an_address_is_taken_over(
    "
    discovery expect 1
    discovery send 2 old ready
    list expect old ready
    discovery send 3 new ready
    list expect new ready
    list expect old absent"
)]
// An invalid event is requested again once, and then skipped.
#[case::invalid_event(
    "
    discovery expect 1
    discovery send 2 w0 asleep
    discovery expect 1
    discovery send 2 w0 asleep
    discovery send 3 w1 draining
    list expect w1 draining"
)]
// The server stops sending and leaves the connection open.
#[case::silent_server(
    "
    discovery expect 1
    discovery expect 1"
)]
fn the_program_follows_the_worker_list(#[case] scenario: &str) {
    TestProgram::new(Protocol::Platform).run_scenario(Protocol::Platform, scenario);
}
