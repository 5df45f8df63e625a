//! Readers of the board's stream and list, fed by hand, byte by byte.
use heronslip::discovery::event_stream::{EventStream, StreamItem};
use heronslip::discovery::json_array::ScanError;
use heronslip::discovery::{EventBounds, EventError, EventReader, Table};
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
        match stream.byte(byte) {
            Some(StreamItem::Data(byte)) => data.push(char::from(byte)),
            Some(StreamItem::Event) => found.push((stream.id().to_owned(), std::mem::take(&mut data))),
            Some(StreamItem::Line) | None => {}
        }
    }
    let pair = |id: &str, data: &str| (id.to_owned(), data.to_owned());
    assert_eq!(found, [pair("7", "{\"a\":\r1}\r"), pair("8", "x")]);
}

/// Reads an event; its entries, how many could not be read, and whether it is the whole list.
fn read(text: &str) -> Result<(Vec<ListedWorker>, usize, bool), EventError> {
    let mut reader = EventReader::new(BOUNDS);
    let (mut members, mut unreadable) = (Vec::new(), 0);
    for byte in text.bytes() {
        match reader.byte(byte)? {
            Some(Ok(member)) => members.push(member),
            Some(Err(_)) => unreadable += 1,
            None => {}
        }
    }
    Ok((members, unreadable, reader.finish()?))
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
fn an_event_becomes_members() {
    let text = event(true, &format!("{}, {}", entry("s-1"), entry("s-2")));
    let (members, unreadable, full) = read(&text).expect("sound");
    let m = &members[0];
    assert_eq!((members.len(), unreadable, full), (2, 0, true));
    assert_eq!((m.id.as_str(), m.zone.as_str(), m.state), ("s-1", "a]}\",", WorkerState::Draining));
    assert_eq!((m.started_at, m.cell), (5_000, 2));
}

#[rstest]
#[case::no_entries("", 0, 0)]
#[case::a_number(&format!("7,{}", entry("a")), 1, 1)]
#[case::a_word_at_the_end(&format!("{} , null ", entry("a")), 1, 1)]
#[case::a_text("\"a,b]\"", 0, 1)]
#[case::an_array("[[1],{}]", 0, 1)]
fn entries_that_are_no_objects_spoil_no_others(
    #[case] instances: &str, #[case] sound: usize, #[case] unreadable: usize,
) {
    let (members, skipped, full) = read(&event(false, instances)).expect("an event");
    assert_eq!((members.len(), skipped, full), (sound, unreadable, false));
}

#[rstest]
#[case::no_comma(&event(true, "{}{}"), EventError::Scan(ScanError::Malformed))]
#[case::two_commas(&event(true, "{},,{}"), EventError::Scan(ScanError::Malformed))]
#[case::a_comma_at_the_end(&event(true, "{},"), EventError::Scan(ScanError::Malformed))]
#[case::cut_in_an_entry(&event(true, &entry("a"))[..90], EventError::Scan(ScanError::Malformed))]
#[case::cut_behind_an_entry(
    "{\"pool\":{\"reset\":true,\"instances\":[{}",
    EventError::Scan(ScanError::Malformed)
)]
#[case::two_texts("{}{}", EventError::Scan(ScanError::Malformed))]
#[case::nothing("", EventError::Scan(ScanError::Malformed))]
#[case::no_pool("{\"rev\":2}", EventError::NoPool)]
#[case::no_list("{\"pool\":{\"reset\":true}}", EventError::NoInstances)]
#[case::a_giant_entry(&event(true, &entry(&"x".repeat(300))), EventError::EntryTooLong(256))]
#[case::many_entries(&event(true, "{},{},{},{}"), EventError::TooManyEntries(3))]
#[case::much_beside(&format!("{{\"x\":\"{}\"", "y".repeat(5_000)), EventError::Scan(ScanError::OutsideTooLong(4096)))]
fn an_event_that_cannot_be_used_is_told_from_a_sound_one(#[case] text: &str, #[case] error: EventError) {
    assert_eq!(read(text).expect_err("it cannot be used"), error);
}

fn told(table: &mut Table, full: bool, entries: &[&str]) -> Vec<(String, WorkerState)> {
    let mut staged = table.begin();
    for text in entries {
        let text = format!(
            r#"{{"instanceId":"{}","hostPort":"127.0.0.1:{}","lifecycle":"{}"}}"#,
            &text[..2],
            &text[2..3],
            &text[4..]
        );
        table.stage(heronslip::discovery::instance::instance(text.as_bytes()), &mut staged);
    }
    table.commit(full, staged).into_iter().map(|m| (m.id, m.state)).collect()
}

#[test]
fn only_what_changes_is_told() {
    let mut table = Table::default();
    let (ready, gone) = (WorkerState::Ready, WorkerState::Gone);
    let one = |id: &str, state| (id.to_owned(), state);
    assert_eq!(told(&mut table, true, &["w11 ready", "w22 ready", "w33 ready"]).len(), 3);
    assert_eq!(told(&mut table, true, &["w33 ready", "w11 ready", "w22 ready"]), []);
    assert_eq!(told(&mut table, false, &["w22 ready"]), []);
    assert_eq!(
        told(&mut table, true, &["w11 ready", "w33 draining"]),
        [one("w2", gone), one("w3", WorkerState::Draining)]
    );
    // The last word of an event counts, also where it says what was known.
    let both = told(&mut table, false, &["w11 draining", "w11 ready"]);
    assert_eq!(both, [one("w1", WorkerState::Draining), one("w1", ready)]);
    assert_eq!(told(&mut table, false, &["w99 gone"]), [], "nobody knows it");
}

/// The core lets one of two workers at an address stand there: it has to hear again of both who that may be.
#[test]
fn workers_at_one_address_are_told_each_time() {
    let mut table = Table::default();
    told(&mut table, true, &["w11 ready", "w21 ready"]);
    let names: Vec<String> = told(&mut table, true, &["w11 ready"]).into_iter().map(|t| t.0).collect();
    assert_eq!(names, ["w2", "w1"]);
    assert_eq!(told(&mut table, true, &["w11 ready"]), []);
}

/// An event that is dropped before its end leaves no trace.
#[test]
fn an_event_that_breaks_off_changes_nothing() {
    let mut table = Table::default();
    told(&mut table, true, &["w11 ready", "w22 ready"]);
    let mut staged = table.begin();
    let text = br#"{"instanceId":"w1","hostPort":"127.0.0.1:5","lifecycle":"draining"}"#;
    table.stage(heronslip::discovery::instance::instance(text), &mut staged);
    drop(staged);
    assert_eq!(told(&mut table, true, &["w11 ready", "w22 ready"]), []);
    assert_eq!(table.len(), 2);
}
