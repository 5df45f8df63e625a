//! Clients that disconnect or cancel while their calls wait: such a call must not be sent any more.
mod common;

use common::bad_clients::sound_call;
use common::stand_ins::{counting_worker, saturated_listener, silent_worker};
use common::{
    connect, fastcgi_call, read_fastcgi_response, reply_frame, report_sender, serve_connections,
    test_context, CommandFrame, ProgramConfig, ScriptedWorker, TestProgram, TIMEOUT,
};
use heronslip::limits::Limits;
use heronslip::messages::{AttemptKey, Message, Payload, Request};
use heronslip::server::fastcgi;
use heronslip::worker::{frames::FrameTransport, Transport};
use rstest::rstest;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

// Codes of the platform's frames.
const CODE_CALL: u8 = 2;
const CODE_CANCEL: u8 = 3;
const CODE_LOAD: u8 = 6;
const CODE_UNLOAD: u8 = 8;
const CODE_OK: u8 = 200;

/// A call is cancelled, or withdrawn, while its connection is being established: it must not be written once
/// that is open.
#[rstest]
#[case::cancelled(FrameTransport::cancel_attempt)]
#[case::withdrawn(FrameTransport::withdraw_attempt)]
fn a_call_cancelled_while_connecting_is_not_written(#[case] cancel: fn(&mut FrameTransport, AttemptKey)) {
    let (listener, fillers) = saturated_listener();
    let address = listener.local_addr().expect("bound");
    let mut limits = Limits::new(192, 1024, &heronslip_policy::Settings::default());
    limits.connect_timeout = Duration::from_secs(60);
    heronslip::net::configure_scheduler(&limits);
    let (queue, _reports) = mpsc::channel();
    let mut transport = FrameTransport::new(address, Arc::new(limits), report_sender(queue));
    let request = Request {
        wire_id: 9,
        class: "tile-render".to_owned(),
        class_index: 0,
        tenant: String::new(),
        tenant_index: None,
        function: 7,
        wait: 60_000_000,
        received_at: Instant::now(),
        idempotency_key: None,
        is_retry: false,
        memory_mb: 0.0,
        lanes: 1,
        load_time: 0,
        payload: Payload::Bytes(Vec::new()),
        reservation: None,
        incoming: None,
    };
    let key = AttemptKey { request: 1, attempt: 0 };
    transport.send_attempt(key, &Arc::new(request), 60_000_000, None);
    cancel(&mut transport, key);
    let accepted: Vec<TcpStream> =
        (0..=fillers.len()).map(|_| listener.accept().expect("a connection").0).collect();
    // The unload command is still written before the connection closes.
    transport.unload(7);
    drop((transport, fillers));
    for mut stream in accepted {
        let mut got = Vec::new();
        stream.read_to_end(&mut got).expect("closed");
        assert!(got.is_empty() || got[1] == CODE_UNLOAD, "more than the unload command: {got:?}");
    }
}

/// A client disconnects with the maximum of open requests on its connection: the disconnection must be
/// noticed, and all attempts cancelled.
#[test]
fn all_calls_of_a_client_that_disconnects_at_its_limit_are_cancelled() {
    let mut worker = ScriptedWorker::new();
    let program =
        TestProgram::with(ProgramConfig { workers: vec![worker.address()], ..ProgramConfig::default() });
    let mut client = connect(program.fastcgi);
    let mut in_flight = BTreeSet::new();
    for n in 1..=32u16 {
        client.write_all(&fastcgi_call(n, &format!("{n:016x}"), "60000", "x")).expect("written");
        in_flight.insert(worker.command().id);
    }
    assert_eq!(in_flight.len(), 32);
    client.write_all(&fastcgi_call(33, "00000000000000a1", "60000", "x")).expect("written");
    assert_eq!(read_fastcgi_response(&mut client).expect("a response").2, 2, "overloaded");
    drop(client);
    while !in_flight.is_empty() {
        let command = worker.command();
        assert!(command.code == CODE_CANCEL && in_flight.remove(&command.id), "code {}", command.code);
    }
    program.wait_for_state(r#""open_requests":0"#);
}

/// A client disconnects while its call waits for a load: once the copy is loaded, the call must not be sent.
#[test]
fn a_call_whose_client_disconnects_during_a_load_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let workers = vec![listener.local_addr().expect("bound")];
    let settings = common::SETTINGS.replace(r#""when-absent":"load""#, r#""when-absent":"miss""#);
    let program = TestProgram::with(ProgramConfig { workers, settings, ..ProgramConfig::default() });
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "60000", "gone")).expect("written");
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    let load = loop {
        let command = CommandFrame::read(&mut stream).expect("a command");
        assert_eq!(command.code, CODE_LOAD, "a call before the copy is loaded");
        if command.field("slots_up") != "0" {
            break command;
        }
        stream.write_all(&reply_frame(CODE_OK, command.id, "slots_up=0", &[])).expect("written");
    };
    drop(client);
    program.wait_for_state(r#""open_requests":0"#);
    stream.write_all(&reply_frame(CODE_OK, load.id, "slots_up=1", &[])).expect("written");
    let mut other = connect(program.fastcgi);
    other.write_all(&fastcgi_call(1, "00000000000000a2", "60000", "other")).expect("written");
    let first = loop {
        let command = CommandFrame::read(&mut stream).expect("a command");
        match command.code {
            CODE_LOAD => {
                stream.write_all(&reply_frame(CODE_OK, command.id, "slots_up=1", &[])).expect("written")
            }
            _ => break command,
        }
    };
    assert_eq!((first.code, &first.body[..]), (CODE_CALL, &b"other"[..]));
}

/// Guards against attempts for a client that has gone: what it sent before its close is read only afterwards.
#[test]
fn requests_that_are_read_after_their_client_has_closed_are_not_passed_on() {
    let (context, queue) = test_context(|_| ());
    let listener = may::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = connect(listener.local_addr().expect("bound"));
    for stream_id in 1..=8 {
        client.write_all(&sound_call(stream_id, stream_id.into())).expect("written");
    }
    drop(client);
    serve_connections(listener, &context, fastcgi::serve);
    let message = queue.recv_timeout(TIMEOUT).expect("a message");
    assert!(matches!(message, Message::ClientDisconnected { .. }), "a request is passed on");
}

/// Guards against an id that runs twice: a call goes on at its worker when its client leaves, and the id comes
/// again on another connection.
#[rstest]
#[case::cancelled(silent_worker)]
#[case::served(counting_worker)]
fn an_id_that_comes_again_is_not_sent_to_another_worker(
    #[case] start_worker: fn() -> (SocketAddr, Arc<AtomicUsize>),
) {
    const ID: &str = "00000000000000a1";
    let (workers, counts): (Vec<_>, Vec<_>) = (0..4).map(|_| start_worker()).unzip();
    let calls = || counts.iter().map(|count| count.load(Ordering::Acquire)).sum::<usize>();
    let program = TestProgram::with(ProgramConfig { workers, ..ProgramConfig::default() });
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, ID, "9000", "first")).expect("written");
    let deadline = Instant::now() + TIMEOUT;
    while calls() == 0 {
        assert!(Instant::now() < deadline, "the call is not sent");
        std::thread::yield_now();
    }
    drop(client);
    program.wait_for_state(r#""open_requests":0"#);
    for _ in 0..10 {
        let mut again = connect(program.fastcgi);
        again.write_all(&fastcgi_call(1, ID, "1000", "again")).expect("written");
        let (head, _, _) = read_fastcgi_response(&mut again).expect("an answer");
        assert!(head.starts_with("Status: 500"), "{head}");
    }
    assert_eq!(calls(), 1);
}
