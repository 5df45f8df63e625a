//! The checker against records made by hand: of each rule one that breaks it by a hair and one that keeps it by a hair.
use heronslip_scale::soak::checker::{check, Effect, Rule, Rules};
use heronslip_scale::soak::record::{Answer, At, Command, Event, Listing, Outage, Record, Reply, Signal};

const MS: At = 1_000;
const SECOND: At = 1_000_000;
const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

fn rules() -> Rules {
    Rules {
        classes: vec![Effect::Safe, Effect::Keyed { window: 1_500 * MS }, Effect::Unsafe],
        drain_grace: SECOND,
        max_attempts: 3,
        fall_multiple: 4.0,
        fall_span: 3 * SECOND,
        cold_from: 0.2,
        warm_within: 18 * SECOND,
        capacity_per_s: 20.0,
        descriptors: 512,
        memory_mb: 64.0,
    }
}

/// The rules that a record breaks. Its events come in any order.
fn broken(events: Vec<(At, Event)>) -> Vec<Rule> {
    let mut records: Vec<Record> = events.into_iter().map(|(at, event)| Record { at, event }).collect();
    records.sort_by_key(|record| record.at);
    check(&records, &rules()).into_iter().map(|violation| violation.rule).collect()
}

fn started() -> (At, Event) {
    (0, Event::Started { front_end: 0, version: 1 })
}

fn ready() -> (At, Event) {
    (1, Event::Ready { front_end: 0 })
}

/// A request of a second, sent at second 10.
fn sent(class: usize) -> (At, Event) {
    (10 * SECOND, Event::Sent { front_end: 0, connection: 5, request: 1, class, wait: SECOND })
}

fn answered(at: At, answer: Answer) -> (At, Event) {
    (at, Event::Answered { front_end: 0, request: 1, answer })
}

fn received(at: At, worker: usize, command: Command) -> (At, Event) {
    let link = worker as u64;
    (at, Event::Received { worker, process: 0, front_end: 0, link, began: at, command })
}

fn call(at: At, worker: usize) -> (At, Event) {
    received(at, worker, Command::Call { request: 1, budget_ms: 0 })
}

fn replied(at: At, worker: usize, reply: Reply) -> (At, Event) {
    (at, Event::Replied { worker, front_end: 0, request: 1, reply })
}

fn signalled(at: At, signal: Signal) -> (At, Event) {
    (at, Event::Signalled { front_end: 0, signal })
}

fn cut(at: At, open: Vec<u64>) -> (At, Event) {
    (at, Event::ConnectionEnded { front_end: 0, connection: 5, open })
}

fn listed(at: At, version: u64, state: Listing) -> (At, Event) {
    (at, Event::Listed { version, worker: 0, process: 0, state, late_start: false })
}

/// Both records, the broken one first, and the rule.
fn tells_apart(rule: Rule, breaks: Vec<(At, Event)>, keeps: Vec<(At, Event)>) {
    let both = |events: Vec<(At, Event)>| broken([vec![started(), ready()], events].concat());
    assert_eq!(both(breaks), [rule]);
    assert_eq!(both(keeps), []);
}

#[test]
fn an_answer_half_a_second_late_is_lost() {
    let latest = 11 * SECOND + 550 * MS;
    let record = |at| vec![sent(SAFE), answered(at, Answer::Failed)];
    tells_apart(Rule::Lost, record(latest + 1), record(latest));
}

#[test]
fn a_request_without_an_answer_is_lost_unless_its_client_left() {
    let left = (10 * SECOND + 1, Event::Left { request: 1 });
    tells_apart(Rule::Lost, vec![sent(SAFE)], vec![sent(SAFE), left]);
}

/// Neither the kill of its front end nor its client's leaving excuses an answer that was due before.
#[test]
fn what_comes_after_its_time_excuses_no_request() {
    let latest = 11 * SECOND + 550 * MS;
    let left = |at| vec![sent(SAFE), (at, Event::Left { request: 1 })];
    tells_apart(Rule::Lost, left(latest + 1), left(latest));
    let killed = |at| vec![sent(SAFE), signalled(at - 1, Signal::Kill), cut(at, vec![1, 2])];
    tells_apart(Rule::Lost, killed(latest + 1), killed(latest));
}

#[test]
fn a_connection_may_end_under_a_request_that_crosses_it_alone() {
    let record = |at, open| vec![sent(SAFE), cut(at, open)];
    let crossing = 10 * SECOND + 50 * MS;
    tells_apart(Rule::Lost, record(crossing + 1, vec![1]), record(crossing, vec![1]));
    tells_apart(Rule::Lost, record(crossing, vec![1, 2]), record(crossing, vec![1]));
}

#[test]
fn a_kill_loses_only_what_came_late_after_sigterm() {
    let record = |term| {
        let kill = 11 * SECOND + 500 * MS;
        vec![
            sent(SAFE),
            signalled(term, Signal::Term),
            signalled(kill, Signal::Kill),
            cut(kill + 1, vec![1, 2]),
        ]
    };
    let term = 10 * SECOND - 700 * MS;
    tells_apart(Rule::Lost, record(term - 1), record(term));
}

#[test]
fn a_front_end_that_ends_by_itself_owes_its_answers() {
    let record = |answer: Vec<(At, Event)>| {
        let end = (12 * SECOND, Event::Ended { front_end: 0, killed: false, how: String::new() });
        let last = vec![signalled(9 * SECOND, Signal::Term), end, cut(12 * SECOND + 1, vec![1, 2])];
        [vec![sent(SAFE)], answer, last].concat()
    };
    let answer = vec![answered(11 * SECOND, Answer::Refused)];
    tells_apart(Rule::Lost, record(vec![]), record(answer));
}

#[test]
fn there_is_one_answer_with_the_body_made_for_it() {
    let at = 10 * SECOND + 1;
    let twice = vec![sent(SAFE), answered(at, Answer::Served), answered(at + 1, Answer::Served)];
    let once = vec![sent(SAFE), answered(at, Answer::Served)];
    tells_apart(Rule::Answer, twice, once.clone());
    tells_apart(Rule::Answer, vec![sent(SAFE), answered(at, Answer::WrongBody)], once);
}

#[test]
fn what_may_have_run_is_not_repeated_where_its_class_forbids_it() {
    let at = 10 * SECOND;
    let record = |class, reply| {
        let first = [call(at + 1, 0), replied(at + 2, 0, reply)];
        let second = [call(at + 3, 1), replied(at + 4, 1, Reply::Ok), answered(at + 5, Answer::Served)];
        [vec![sent(class)], first.to_vec(), second.to_vec()].concat()
    };
    tells_apart(Rule::Duplicate, record(UNSAFE, Reply::Error), record(UNSAFE, Reply::TurnedAway));
    tells_apart(Rule::Duplicate, record(UNSAFE, Reply::Spoilt), record(SAFE, Reply::Spoilt));
}

#[test]
fn a_keyed_request_is_repeated_while_its_key_is_known() {
    let record = |again| {
        let first = (
            10 * SECOND,
            Event::Sent { front_end: 0, connection: 5, request: 1, class: KEYED, wait: 9 * SECOND },
        );
        let attempts = [call(10 * SECOND, 0), replied(10 * SECOND + 1, 0, Reply::Error), call(again, 1)];
        let end = [replied(again + 1, 1, Reply::Ok), answered(again + 2, Answer::Served)];
        [vec![first], attempts.to_vec(), end.to_vec()].concat()
    };
    let window = 10 * SECOND + 1_550 * MS;
    tells_apart(Rule::Duplicate, record(window + 1), record(window));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_refused() {
    let record = |answer| {
        let at = 10 * SECOND;
        vec![sent(UNSAFE), call(at + 1, 0), replied(at + 2, 0, Reply::Error), answered(at + 3, answer)]
    };
    tells_apart(Rule::Duplicate, record(Answer::Refused), record(Answer::Failed));
}

#[test]
fn attempts_do_not_overlap() {
    let at = 10 * SECOND + 200 * MS;
    let record = |ended| {
        let first = [call(10 * SECOND + 1, 0), received(ended, 0, Command::GiveUp { request: 1 })];
        let second = [call(at, 1), replied(ended.max(at) + 1, 1, Reply::Ok)];
        let end = vec![answered(ended.max(at) + 2, Answer::Served)];
        [vec![sent(SAFE)], first.to_vec(), second.to_vec(), end].concat()
    };
    tells_apart(Rule::Overlap, record(at + 50 * MS + 1), record(at + 50 * MS));
}

#[test]
fn a_connection_that_ends_gives_up_what_is_open_there() {
    let at = 10 * SECOND;
    let record = |middle: Vec<(At, Event)>| {
        let first = vec![sent(SAFE), call(at + 1, 0)];
        let second = vec![call(at + 300 * MS, 1), replied(at + 301 * MS, 1, Reply::Ok)];
        [first, middle, second, vec![answered(at + 302 * MS, Answer::Served)]].concat()
    };
    let ended = (at + 100 * MS, Event::LinkEnded { link: 0 });
    tells_apart(Rule::Overlap, record(vec![]), record(vec![ended]));
}

#[test]
fn no_attempt_begins_after_its_client_has_left_or_was_answered() {
    let left = 10 * SECOND + 10 * MS;
    let record = |at| {
        let last = vec![call(at, 0), replied(at + 1, 0, Reply::Ok)];
        [vec![sent(SAFE), (left, Event::Left { request: 1 })], last].concat()
    };
    tells_apart(Rule::LateAttempt, record(left + 150 * MS + 1), record(left + 150 * MS));
    let answer = 10 * SECOND + 10 * MS;
    let record = |at| {
        let last = vec![call(at, 0), replied(at + 1, 0, Reply::Ok)];
        [vec![sent(SAFE), answered(answer, Answer::Refused)], last].concat()
    };
    tells_apart(Rule::LateAttempt, record(answer + 50 * MS + 1), record(answer + 50 * MS));
}

#[test]
fn a_worker_is_told_of_no_more_time_than_is_left() {
    let record = |budget_ms| {
        let at = 10 * SECOND + 400 * MS;
        let call = received(at, 0, Command::Call { request: 1, budget_ms });
        vec![sent(SAFE), call, replied(at + 1, 0, Reply::Ok), answered(at + 2, Answer::Served)]
    };
    tells_apart(Rule::Budget, record(751), record(750));
}

#[test]
fn a_request_has_three_attempts_at_most() {
    let record = |count: usize| {
        let at = |n: usize| 10 * SECOND + 10 * n as At;
        let attempts = (0..count).flat_map(|n| [call(at(n), n), replied(at(n) + 1, n, Reply::TurnedAway)]);
        let end = answered(11 * SECOND, Answer::Refused);
        [vec![sent(SAFE)], attempts.collect(), vec![end]].concat()
    };
    tells_apart(Rule::Attempts, record(4), record(3));
}

/// A drain that is told at once: nothing new later than the grace; questions and probes go on.
#[test]
fn nothing_new_goes_to_a_worker_that_drains() {
    let drain = || {
        vec![
            listed(20 * SECOND, 2, Listing::Draining),
            (20 * SECOND + 1, Event::BoardTold { front_end: 0, version: 2 }),
        ]
    };
    let with = |at, command| [drain(), vec![received(at, 0, command)]].concat();
    let until = 21 * SECOND + 50 * MS;
    let order = |copies| Command::Order { copies };
    tells_apart(Rule::Drain, with(until + 1, order(1)), with(until, order(1)));
    tells_apart(Rule::Drain, with(30 * SECOND, order(1)), with(30 * SECOND, order(0)));
    tells_apart(Rule::Drain, with(30 * SECOND, order(1)), with(30 * SECOND, Command::Probe));
}

/// A drain while discovery is out of reach: told so long after that began, or as soon as the front end asks.
#[test]
fn what_discovery_would_have_told_counts_as_told() {
    let outage = |outage, asks: Vec<At>, at| {
        let began = (20 * SECOND, Event::OutageBegan { front_end: 0, outage });
        let drain = listed(20 * SECOND + MS, 2, Listing::Draining);
        let asks = asks.into_iter().map(|at| (at, Event::BoardAsked { front_end: 0 })).collect();
        [vec![began, drain], asks, vec![received(at, 0, Command::Order { copies: 1 })]].concat()
    };
    for (kind, told) in
        [(Outage::Refused, 22), (Outage::MidEvent, 22), (Outage::Silent, 24), (Outage::Hanging, 24)]
    {
        let until = (told + 1) * SECOND + 50 * MS;
        tells_apart(Rule::Drain, outage(kind, vec![], until + 1), outage(kind, vec![], until));
    }
    let asked = 22 * SECOND;
    let until = asked + SECOND + 50 * MS;
    let silent = |at| outage(Outage::Silent, vec![asked], at);
    tells_apart(Rule::Drain, silent(until + 1), silent(until));
}

/// Late in an outage a drain counts as told when it is listed.
#[test]
fn late_in_an_outage_a_drain_counts_as_told_at_once() {
    let record = |at| {
        let began = (20 * SECOND, Event::OutageBegan { front_end: 0, outage: Outage::Silent });
        vec![began, listed(60 * SECOND, 2, Listing::Draining), received(at, 0, Command::Order { copies: 1 })]
    };
    let until = 61 * SECOND + 50 * MS;
    tells_apart(Rule::Drain, record(until + 1), record(until));
}

/// 20 calls a second when warm, four times that for three seconds: from a fifth to a third it is 64 calls with what
/// chance may add to them.
#[test]
fn a_starting_worker_is_not_pushed_over() {
    let record = |calls: u64, told: bool| {
        let start = (20 * SECOND, Event::WorkerStarted { worker: 0, process: 1 });
        let event =
            Event::Listed { version: 2, worker: 0, process: 1, state: Listing::Ready, late_start: true };
        let heard = if told { 20 * SECOND + 2 } else { 40 * SECOND };
        let heard = (heard, Event::BoardTold { front_end: 0, version: 2 });
        let outage = (20 * SECOND - 1, Event::OutageBegan { front_end: 0, outage: Outage::Silent });
        let news = if told { vec![heard] } else { vec![outage] };
        let call = |n: u64| {
            let (at, command) = (23 * SECOND + n, Command::Call { request: 100 + n, budget_ms: 0 });
            (at, Event::Received { worker: 0, process: 1, front_end: 0, link: 9, began: at, command })
        };
        let calls = (0..calls).map(call).collect();
        [vec![start, (20 * SECOND + 1, event)], news, calls].concat()
    };
    let n: f64 = 4.0 * 20.0 * 3.0 * (0.2 + 0.8 * 1.5 / 18.0);
    let most = (n + 2.0 * n.sqrt() + 2.0) as u64;
    tells_apart(Rule::SlowStart, record(most + 1, true), record(most, true));
    tells_apart(Rule::SlowStart, record(most + 9, true), record(most + 9, false));
}

#[test]
fn a_front_end_does_not_end_by_itself() {
    let ended = (20 * SECOND, Event::Ended { front_end: 0, killed: false, how: "exit 1".to_owned() });
    tells_apart(Rule::Crash, vec![ended.clone()], vec![signalled(19 * SECOND, Signal::Term), ended]);
}

#[test]
fn a_front_end_is_ready_in_time() {
    let again = |ready_at| {
        let start = (20 * SECOND, Event::Started { front_end: 0, version: 1 });
        vec![start, (ready_at, Event::Ready { front_end: 0 })]
    };
    tells_apart(Rule::Ready, again(30 * SECOND + 1), again(30 * SECOND));
}

#[test]
fn a_front_end_keeps_to_its_limits() {
    let usage =
        |descriptors, memory_mb| vec![(SECOND, Event::Usage { front_end: 0, descriptors, memory_mb })];
    tells_apart(Rule::Limits, usage(513, 1.0), usage(512, 1.0));
    tells_apart(Rule::Limits, usage(1, 64.01), usage(1, 64.0));
}

#[test]
fn a_bad_client_gets_a_word() {
    let record = |heard| {
        let came = (20 * SECOND, Event::BadClient { front_end: 0, client: 7 });
        vec![came, (heard, Event::BadClientHeard { client: 7 })]
    };
    let latest = 23 * SECOND + 250 * MS;
    tells_apart(Rule::BadClient, record(latest + 1), record(latest));
}

/// Records are written as JSON lines and read back as they were.
#[test]
fn a_record_can_be_written_and_read() {
    let (at, event) = call(10 * SECOND, 3);
    let record = Record { at, event };
    let line = serde_json::to_string(&record).expect("a line");
    assert_eq!(serde_json::from_str::<Record>(&line).expect("a record"), record);
}
