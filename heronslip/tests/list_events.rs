//! The parsers of the discovery service's event stream and worker list.
use heronslip::discovery::event_stream::{EventStream, StreamItem};
use heronslip::discovery::json_array::ScanError;
use heronslip::discovery::{EventBounds, EventError, EventReader, WorkerTable};
use heronslip::messages::ListedWorker;
use heronslip_policy::WorkerState;
use rstest::rstest;

const BOUNDS: EventBounds = EventBounds { entry_bytes: 256, entries: 3 };

#[test]
fn a_stream_is_split_into_events() {
    let mut stream = EventStream::default();
    let text = ": comment\nid: 7\r\ndata: {\"a\":\r\ndata: 1}\r\n\r\n: more\n\nid:8\ndata:x\n\n";
    let (mut found, mut data) = (Vec::new(), String::new());
    for byte in text.bytes() {
        match stream.push(byte) {
            Some(StreamItem::Data(byte)) => data.push(char::from(byte)),
            Some(StreamItem::Event) => found.push((stream.id().to_owned(), std::mem::take(&mut data))),
            Some(StreamItem::Line) | None => {}
        }
    }
    let pair = |id: &str, data: &str| (id.to_owned(), data.to_owned());
    assert_eq!(found, [pair("7", "{\"a\":\r1}\r"), pair("8", "x")]);
}

/// Parses an event. Returns its valid entries, the number of invalid ones, and whether it is a full list.
fn read(text: &str) -> Result<(Vec<ListedWorker>, usize, bool), EventError> {
    let mut reader = EventReader::new(BOUNDS);
    let (mut workers, mut invalid) = (Vec::new(), 0);
    for byte in text.bytes() {
        match reader.push(byte)? {
            Some(Ok(worker)) => workers.push(worker),
            Some(Err(_)) => invalid += 1,
            None => {}
        }
    }
    Ok((workers, invalid, reader.finish()?))
}

fn entry(id: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:9","zone":"a]}}\",","machineType":"std","cell":2,"lifecycle":"draining","startedAtMs":5}}"#
    )
}

fn event(reset: bool, instances: &str) -> String {
    format!(r#"{{"rev":41,"pool":{{"generation":7,"instances":[{instances}],"reset":{reset}}}}}"#)
}

#[test]
fn an_event_is_parsed() {
    let text = event(true, &format!("{}, {}", entry("s-1"), entry("s-2")));
    let (workers, invalid, full) = read(&text).expect("a valid event");
    let worker = &workers[0];
    assert_eq!((workers.len(), invalid, full), (2, 0, true));
    assert_eq!(
        (worker.id.as_str(), worker.zone.as_str(), worker.state),
        ("s-1", "a]}\",", WorkerState::Draining)
    );
    assert_eq!((worker.started_at, worker.cell), (5_000, 2));
}

#[rstest]
#[case::no_entries("", 0, 0)]
#[case::a_number(&format!("7,{}", entry("a")), 1, 1)]
#[case::a_literal_at_the_end(&format!("{} , null ", entry("a")), 1, 1)]
#[case::a_string("\"a,b]\"", 0, 1)]
#[case::an_array("[[1],{}]", 0, 1)]
fn entries_that_are_not_objects_do_not_affect_others(
    #[case] instances: &str, #[case] valid: usize, #[case] invalid: usize,
) {
    let (workers, skipped, full) = read(&event(false, instances)).expect("a valid event");
    assert_eq!((workers.len(), skipped, full), (valid, invalid, false));
}

#[rstest]
#[case::no_comma(&event(true, "{}{}"), EventError::Scan(ScanError::Malformed))]
#[case::two_commas(&event(true, "{},,{}"), EventError::Scan(ScanError::Malformed))]
#[case::a_comma_at_the_end(&event(true, "{},"), EventError::Scan(ScanError::Malformed))]
#[case::cut_inside_an_entry(&event(true, &entry("a"))[..90], EventError::Scan(ScanError::Malformed))]
#[case::cut_after_an_entry(
    "{\"pool\":{\"reset\":true,\"instances\":[{}",
    EventError::Scan(ScanError::Malformed)
)]
#[case::two_objects("{}{}", EventError::Scan(ScanError::Malformed))]
#[case::empty("", EventError::Scan(ScanError::Malformed))]
#[case::no_pool("{\"rev\":2}", EventError::NoPool)]
#[case::no_instances("{\"pool\":{\"reset\":true}}", EventError::NoInstances)]
#[case::an_oversized_entry(&event(true, &entry(&"x".repeat(300))), EventError::EntryTooLong(256))]
#[case::too_many_entries(&event(true, "{},{},{},{}"), EventError::TooManyEntries(3))]
#[case::too_much_outside_the_entries(&format!("{{\"x\":\"{}\"", "y".repeat(5_000)), EventError::Scan(ScanError::OutsideTooLong(4096)))]
fn unusable_events_are_rejected(#[case] text: &str, #[case] error: EventError) {
    assert_eq!(read(text).expect_err("an error"), error);
}

/// Applies an event, and returns the changes. An entry is two characters of id, one digit of port, and the
/// lifecycle.
fn apply(table: &mut WorkerTable, full: bool, entries: &[&str]) -> Vec<(String, WorkerState)> {
    let mut staged = table.begin_event();
    for text in entries {
        let text = format!(
            r#"{{"instanceId":"{}","hostPort":"127.0.0.1:{}","lifecycle":"{}"}}"#,
            &text[..2],
            &text[2..3],
            &text[4..]
        );
        table.stage(heronslip::discovery::instance::parse_instance(text.as_bytes()), &mut staged);
    }
    table.commit(full, staged).into_iter().map(|worker| (worker.id, worker.state)).collect()
}

#[test]
fn only_changes_are_passed_on() {
    let mut table = WorkerTable::default();
    let (ready, gone) = (WorkerState::Ready, WorkerState::Gone);
    let one = |id: &str, state| (id.to_owned(), state);
    assert_eq!(apply(&mut table, true, &["w11 ready", "w22 ready", "w33 ready"]).len(), 3);
    assert_eq!(apply(&mut table, true, &["w33 ready", "w11 ready", "w22 ready"]), []);
    assert_eq!(apply(&mut table, false, &["w22 ready"]), []);
    assert_eq!(
        apply(&mut table, true, &["w11 ready", "w33 draining"]),
        [one("w2", gone), one("w3", WorkerState::Draining)]
    );
    // The last entry of an event for a worker applies, even if it repeats what was known before the event.
    let both = apply(&mut table, false, &["w11 draining", "w11 ready"]);
    assert_eq!(both, [one("w1", WorkerState::Draining), one("w1", ready)]);
    assert_eq!(apply(&mut table, false, &["w99 gone"]), [], "an unknown worker");
}

/// The core keeps only one worker per address: to choose again, it needs the entries of all workers that
/// share one.
#[test]
fn workers_that_share_an_address_are_always_passed_on() {
    let mut table = WorkerTable::default();
    apply(&mut table, true, &["w11 ready", "w21 ready"]);
    let names: Vec<String> = apply(&mut table, true, &["w11 ready"]).into_iter().map(|t| t.0).collect();
    assert_eq!(names, ["w2", "w1"]);
    assert_eq!(apply(&mut table, true, &["w11 ready"]), []);
}

/// An event that is dropped before it is committed changes nothing.
#[test]
fn an_uncommitted_event_changes_nothing() {
    let mut table = WorkerTable::default();
    apply(&mut table, true, &["w11 ready", "w22 ready"]);
    let mut staged = table.begin_event();
    let text = br#"{"instanceId":"w1","hostPort":"127.0.0.1:5","lifecycle":"draining"}"#;
    table.stage(heronslip::discovery::instance::parse_instance(text), &mut staged);
    drop(staged);
    assert_eq!(apply(&mut table, true, &["w11 ready", "w22 ready"]), []);
    assert_eq!(table.len(), 2);
}
