//! Tests of the checker with hand-made records: for each rule one record that just violates it and one that
//! just does not.
use heronslip_scale::soak::checker::{check, RetrySafety, Rule, Rules};
use heronslip_scale::soak::record::{
    Command, Event, Micros, Outage, Record, Reply, Response, Signal, WorkerState,
};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
// Indexes of the classes in `rules`.
const SAFE: usize = 0;
const DEDUPLICATED: usize = 1;
const UNSAFE: usize = 2;

fn rules() -> Rules {
    Rules {
        retry_safety: vec![
            RetrySafety::Safe,
            RetrySafety::Deduplicated { window: 1_500 * MILLISECOND },
            RetrySafety::Unsafe,
        ],
        drain_grace: SECOND,
        max_attempts: 3,
        overload_multiple: 4.0,
        overload_window: 3 * SECOND,
        cold_capacity: 0.2,
        warm_up_time: 18 * SECOND,
        capacity_per_s: 20.0,
        max_descriptors: 512,
        max_memory_mb: 64.0,
    }
}

/// The rules that a record violates. The events may be in any order.
fn violated_rules(events: Vec<(Micros, Event)>) -> Vec<Rule> {
    let mut records: Vec<Record> = events.into_iter().map(|(at, event)| Record { at, event }).collect();
    records.sort_by_key(|record| record.at);
    check(&records, &rules()).into_iter().map(|violation| violation.rule).collect()
}

fn started() -> (Micros, Event) {
    (0, Event::FrontEndStarted { front_end: 0, version: 1 })
}

fn ready() -> (Micros, Event) {
    (1, Event::FrontEndReady { front_end: 0 })
}

/// A request with a timeout of one second, sent at second 10.
fn sent(class: usize) -> (Micros, Event) {
    (10 * SECOND, Event::RequestSent { front_end: 0, connection: 5, request: 1, class, timeout: SECOND })
}

fn responded(at: Micros, response: Response) -> (Micros, Event) {
    (at, Event::ResponseReceived { front_end: 0, request: 1, response })
}

fn received(at: Micros, worker: usize, command: Command) -> (Micros, Event) {
    let connection = worker as u64;
    (at, Event::CommandReceived { worker, process: 0, front_end: 0, connection, first_byte_at: at, command })
}

fn call(at: Micros, worker: usize) -> (Micros, Event) {
    received(at, worker, Command::Call { request: 1, budget_ms: 0 })
}

fn replied(at: Micros, worker: usize, reply: Reply) -> (Micros, Event) {
    (at, Event::ReplySent { worker, front_end: 0, request: 1, reply })
}

fn signalled(at: Micros, signal: Signal) -> (Micros, Event) {
    (at, Event::SignalSent { front_end: 0, signal })
}

fn connection_ended(at: Micros, pending: Vec<u64>) -> (Micros, Event) {
    (at, Event::ClientConnectionEnded { front_end: 0, connection: 5, pending })
}

fn listed(at: Micros, version: u64, state: WorkerState) -> (Micros, Event) {
    (at, Event::WorkerListChanged { version, worker: 0, process: 0, state, has_start_time: false })
}

/// Checks that the first record violates this rule alone and the second one none.
fn assert_violation(rule: Rule, violating: Vec<(Micros, Event)>, conforming: Vec<(Micros, Event)>) {
    let check_all =
        |events: Vec<(Micros, Event)>| violated_rules([vec![started(), ready()], events].concat());
    assert_eq!(check_all(violating), [rule]);
    assert_eq!(check_all(conforming), []);
}

#[test]
fn a_response_over_half_a_second_late_is_lost() {
    let latest = 11 * SECOND + 550 * MILLISECOND;
    let record = |at| vec![sent(SAFE), responded(at, Response::Failed)];
    assert_violation(Rule::Lost, record(latest + 1), record(latest));
}

#[test]
fn a_request_without_a_response_is_lost_unless_its_client_cancelled() {
    let cancelled = (10 * SECOND + 1, Event::RequestCancelled { request: 1 });
    assert_violation(Rule::Lost, vec![sent(SAFE)], vec![sent(SAFE), cancelled]);
}

/// A SIGKILL or cancellation does not excuse a response that was already overdue.
#[test]
fn a_later_kill_or_cancellation_does_not_excuse_a_missing_response() {
    let latest = 11 * SECOND + 550 * MILLISECOND;
    let cancelled = |at| vec![sent(SAFE), (at, Event::RequestCancelled { request: 1 })];
    assert_violation(Rule::Lost, cancelled(latest + 1), cancelled(latest));
    let killed = |at| vec![sent(SAFE), signalled(at - 1, Signal::Kill), connection_ended(at, vec![1, 2])];
    assert_violation(Rule::Lost, killed(latest + 1), killed(latest));
}

#[test]
fn a_connection_may_end_while_its_only_request_is_on_the_way() {
    let record = |at, pending| vec![sent(SAFE), connection_ended(at, pending)];
    let crossing = 10 * SECOND + 50 * MILLISECOND;
    assert_violation(Rule::Lost, record(crossing + 1, vec![1]), record(crossing, vec![1]));
    assert_violation(Rule::Lost, record(crossing, vec![1, 2]), record(crossing, vec![1]));
}

#[test]
fn a_request_sent_late_after_sigterm_is_answered_before_sigkill() {
    let record = |term| {
        let kill = 11 * SECOND + 500 * MILLISECOND;
        vec![
            sent(SAFE),
            signalled(term, Signal::Term),
            signalled(kill, Signal::Kill),
            connection_ended(kill + 1, vec![1, 2]),
        ]
    };
    let term = 10 * SECOND - 700 * MILLISECOND;
    assert_violation(Rule::Lost, record(term - 1), record(term));
}

#[test]
fn a_front_end_that_exits_by_itself_responds_first() {
    let record = |response: Vec<(Micros, Event)>| {
        let end =
            (12 * SECOND, Event::FrontEndExited { front_end: 0, killed: false, exit_status: String::new() });
        let last =
            vec![signalled(9 * SECOND, Signal::Term), end, connection_ended(12 * SECOND + 1, vec![1, 2])];
        [vec![sent(SAFE)], response, last].concat()
    };
    let response = vec![responded(11 * SECOND, Response::Refused)];
    assert_violation(Rule::Lost, record(vec![]), record(response));
}

#[test]
fn a_request_gets_one_response_with_its_own_body() {
    let at = 10 * SECOND + 1;
    let twice = vec![sent(SAFE), responded(at, Response::Served), responded(at + 1, Response::Served)];
    let once = vec![sent(SAFE), responded(at, Response::Served)];
    assert_violation(Rule::Answer, twice, once.clone());
    assert_violation(Rule::Answer, vec![sent(SAFE), responded(at, Response::WrongBody)], once);
}

#[test]
fn an_unsafe_call_that_may_have_run_is_not_retried() {
    let at = 10 * SECOND;
    let record = |class, reply| {
        let first = [call(at + 1, 0), replied(at + 2, 0, reply)];
        let second = [call(at + 3, 1), replied(at + 4, 1, Reply::Ok), responded(at + 5, Response::Served)];
        [vec![sent(class)], first.to_vec(), second.to_vec()].concat()
    };
    assert_violation(Rule::Duplicate, record(UNSAFE, Reply::Error), record(UNSAFE, Reply::Rejected));
    assert_violation(Rule::Duplicate, record(UNSAFE, Reply::Corrupted), record(SAFE, Reply::Corrupted));
}

#[test]
fn a_deduplicated_request_is_retried_only_within_its_window() {
    let record = |retry_at| {
        let first = (
            10 * SECOND,
            Event::RequestSent {
                front_end: 0,
                connection: 5,
                request: 1,
                class: DEDUPLICATED,
                timeout: 9 * SECOND,
            },
        );
        let attempts = [call(10 * SECOND, 0), replied(10 * SECOND + 1, 0, Reply::Error), call(retry_at, 1)];
        let end = [replied(retry_at + 1, 1, Reply::Ok), responded(retry_at + 2, Response::Served)];
        [vec![first], attempts.to_vec(), end.to_vec()].concat()
    };
    let window_end = 10 * SECOND + 1_550 * MILLISECOND;
    assert_violation(Rule::Duplicate, record(window_end + 1), record(window_end));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_refused() {
    let record = |response| {
        let at = 10 * SECOND;
        vec![sent(UNSAFE), call(at + 1, 0), replied(at + 2, 0, Reply::Error), responded(at + 3, response)]
    };
    assert_violation(Rule::Duplicate, record(Response::Refused), record(Response::Failed));
}

#[test]
fn attempts_do_not_overlap() {
    let at = 10 * SECOND + 200 * MILLISECOND;
    let record = |ended| {
        let first = [call(10 * SECOND + 1, 0), received(ended, 0, Command::Cancel { request: 1 })];
        let second = [call(at, 1), replied(ended.max(at) + 1, 1, Reply::Ok)];
        let end = vec![responded(ended.max(at) + 2, Response::Served)];
        [vec![sent(SAFE)], first.to_vec(), second.to_vec(), end].concat()
    };
    assert_violation(Rule::Overlap, record(at + 50 * MILLISECOND + 1), record(at + 50 * MILLISECOND));
}

#[test]
fn a_connection_that_ends_cancels_its_calls() {
    let at = 10 * SECOND;
    let record = |middle: Vec<(Micros, Event)>| {
        let first = vec![sent(SAFE), call(at + 1, 0)];
        let second = vec![call(at + 300 * MILLISECOND, 1), replied(at + 301 * MILLISECOND, 1, Reply::Ok)];
        [first, middle, second, vec![responded(at + 302 * MILLISECOND, Response::Served)]].concat()
    };
    let ended = (at + 100 * MILLISECOND, Event::WorkerConnectionEnded { connection: 0 });
    assert_violation(Rule::Overlap, record(vec![]), record(vec![ended]));
}

#[test]
fn no_attempt_begins_after_a_cancellation_or_response() {
    let cancelled_at = 10 * SECOND + 10 * MILLISECOND;
    let record = |at| {
        let last = vec![call(at, 0), replied(at + 1, 0, Reply::Ok)];
        [vec![sent(SAFE), (cancelled_at, Event::RequestCancelled { request: 1 })], last].concat()
    };
    assert_violation(
        Rule::LateAttempt,
        record(cancelled_at + 150 * MILLISECOND + 1),
        record(cancelled_at + 150 * MILLISECOND),
    );
    let responded_at = 10 * SECOND + 10 * MILLISECOND;
    let record = |at| {
        let last = vec![call(at, 0), replied(at + 1, 0, Reply::Ok)];
        [vec![sent(SAFE), responded(responded_at, Response::Refused)], last].concat()
    };
    assert_violation(
        Rule::LateAttempt,
        record(responded_at + 50 * MILLISECOND + 1),
        record(responded_at + 50 * MILLISECOND),
    );
}

#[test]
fn a_worker_gets_a_budget_no_longer_than_the_remaining_time() {
    let record = |budget_ms| {
        let at = 10 * SECOND + 400 * MILLISECOND;
        let call = received(at, 0, Command::Call { request: 1, budget_ms });
        vec![sent(SAFE), call, replied(at + 1, 0, Reply::Ok), responded(at + 2, Response::Served)]
    };
    assert_violation(Rule::Budget, record(751), record(750));
}

#[test]
fn a_request_has_at_most_three_attempts() {
    let record = |count: usize| {
        let at = |n: usize| 10 * SECOND + 10 * n as Micros;
        let attempts = (0..count).flat_map(|n| [call(at(n), n), replied(at(n) + 1, n, Reply::Rejected)]);
        let end = responded(11 * SECOND, Response::Refused);
        [vec![sent(SAFE)], attempts.collect(), vec![end]].concat()
    };
    assert_violation(Rule::Attempts, record(4), record(3));
}

/// The front end is notified of the drain at once. After the grace period it sends no load commands; copy
/// queries and probes are allowed.
#[test]
fn a_draining_worker_gets_no_load_commands() {
    let drain = || {
        vec![
            listed(20 * SECOND, 2, WorkerState::Draining),
            (20 * SECOND + 1, Event::DiscoverySent { front_end: 0, version: 2 }),
        ]
    };
    let with = |at, command| [drain(), vec![received(at, 0, command)]].concat();
    let until = 21 * SECOND + 50 * MILLISECOND;
    let load = |copies| Command::Load { copies };
    assert_violation(Rule::Drain, with(until + 1, load(1)), with(until, load(1)));
    assert_violation(Rule::Drain, with(30 * SECOND, load(1)), with(30 * SECOND, load(0)));
    assert_violation(Rule::Drain, with(30 * SECOND, load(1)), with(30 * SECOND, Command::Probe));
}

/// A drain during a discovery outage: the front end counts as notified some time after the outage began, or
/// when it requests the list.
#[test]
fn a_drain_during_an_outage_counts_as_notified() {
    let outage = |outage, requests: Vec<Micros>, at| {
        let began = (20 * SECOND, Event::OutageBegan { front_end: 0, outage });
        let drain = listed(20 * SECOND + MILLISECOND, 2, WorkerState::Draining);
        let requests =
            requests.into_iter().map(|at| (at, Event::DiscoveryRequested { front_end: 0 })).collect();
        [vec![began, drain], requests, vec![received(at, 0, Command::Load { copies: 1 })]].concat()
    };
    for (kind, notified_s) in
        [(Outage::Refused, 22), (Outage::MidEvent, 22), (Outage::Silent, 24), (Outage::Hanging, 24)]
    {
        let until = (notified_s + 1) * SECOND + 50 * MILLISECOND;
        assert_violation(Rule::Drain, outage(kind, vec![], until + 1), outage(kind, vec![], until));
    }
    let requested_at = 22 * SECOND;
    let until = requested_at + SECOND + 50 * MILLISECOND;
    let silent = |at| outage(Outage::Silent, vec![requested_at], at);
    assert_violation(Rule::Drain, silent(until + 1), silent(until));
}

/// Late in an outage a front end counts as notified of a drain when it is published.
#[test]
fn a_drain_late_in_an_outage_counts_as_notified_at_once() {
    let record = |at| {
        let began = (20 * SECOND, Event::OutageBegan { front_end: 0, outage: Outage::Silent });
        vec![
            began,
            listed(60 * SECOND, 2, WorkerState::Draining),
            received(at, 0, Command::Load { copies: 1 }),
        ]
    };
    let until = 61 * SECOND + 50 * MILLISECOND;
    assert_violation(Rule::Drain, record(until + 1), record(until));
}

/// A warm worker serves 20 calls a second and may get four times that within three seconds. While its
/// capacity grows from a fifth to a third that is 64 calls, plus the margin for chance.
#[test]
fn a_starting_worker_is_not_overloaded() {
    let record = |calls: u64, notified: bool| {
        let start = (20 * SECOND, Event::WorkerStarted { worker: 0, process: 1 });
        let event = Event::WorkerListChanged {
            version: 2,
            worker: 0,
            process: 1,
            state: WorkerState::Ready,
            has_start_time: true,
        };
        let notified_at = if notified { 20 * SECOND + 2 } else { 40 * SECOND };
        let notification = (notified_at, Event::DiscoverySent { front_end: 0, version: 2 });
        let outage = (20 * SECOND - 1, Event::OutageBegan { front_end: 0, outage: Outage::Silent });
        let discovery = if notified { vec![notification] } else { vec![outage] };
        let call = |n: u64| {
            let (at, command) = (23 * SECOND + n, Command::Call { request: 100 + n, budget_ms: 0 });
            let (worker, process, front_end, connection) = (0, 1, 0, 9);
            (
                at,
                Event::CommandReceived { worker, process, front_end, connection, first_byte_at: at, command },
            )
        };
        let calls = (0..calls).map(call).collect();
        [vec![start, (20 * SECOND + 1, event)], discovery, calls].concat()
    };
    let n: f64 = 4.0 * 20.0 * 3.0 * (0.2 + 0.8 * 1.5 / 18.0);
    let max_calls = (n + 2.0 * n.sqrt() + 2.0) as u64;
    assert_violation(Rule::SlowStart, record(max_calls + 1, true), record(max_calls, true));
    assert_violation(Rule::SlowStart, record(max_calls + 9, true), record(max_calls + 9, false));
}

#[test]
fn a_front_end_does_not_exit_by_itself() {
    let ended = (
        20 * SECOND,
        Event::FrontEndExited { front_end: 0, killed: false, exit_status: "exit 1".to_owned() },
    );
    assert_violation(Rule::Crash, vec![ended.clone()], vec![signalled(19 * SECOND, Signal::Term), ended]);
}

#[test]
fn a_front_end_becomes_ready_in_time() {
    let restart = |ready_at| {
        let start = (20 * SECOND, Event::FrontEndStarted { front_end: 0, version: 1 });
        vec![start, (ready_at, Event::FrontEndReady { front_end: 0 })]
    };
    assert_violation(Rule::Ready, restart(30 * SECOND + 1), restart(30 * SECOND));
}

#[test]
fn a_front_end_stays_within_its_limits() {
    let usage = |descriptors, memory_mb| {
        vec![(SECOND, Event::ResourceUsage { front_end: 0, descriptors, memory_mb })]
    };
    assert_violation(Rule::Limits, usage(513, 1.0), usage(512, 1.0));
    assert_violation(Rule::Limits, usage(1, 64.01), usage(1, 64.0));
}

#[test]
fn a_bad_client_gets_bytes_or_a_close_in_time() {
    let record = |answered_at| {
        let connected = (20 * SECOND, Event::BadClientConnected { front_end: 0, client: 7 });
        vec![connected, (answered_at, Event::BadClientAnswered { client: 7 })]
    };
    let latest = 23 * SECOND + 250 * MILLISECOND;
    assert_violation(Rule::BadClient, record(latest + 1), record(latest));
}

/// A record is the same after it was written as a JSON line and read back.
#[test]
fn a_record_survives_a_round_trip_through_json() {
    let (at, event) = call(10 * SECOND, 3);
    let record = Record { at, event };
    let line = serde_json::to_string(&record).expect("a line");
    assert_eq!(serde_json::from_str::<Record>(&line).expect("a record"), record);
}
