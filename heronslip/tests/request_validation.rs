//! Requests with fields that cannot be decoded whole, or that are out of range, never reach the core. The test
//! takes the place of the core.
mod common;

use common::{
    connect, fastcgi_request, read_fastcgi_response, read_http_message, start_fastcgi_server, start_server,
    test_context, FUNCTION, TIMEOUT,
};
use heronslip::messages::{Message, Request};
use heronslip::server::fastcgi::parse_figures;
use heronslip::server::kserve;
use heronslip::server::validation::{Field, Figures, InvalidRequest, RequestRules};
use heronslip_policy::Settings;
use rstest::rstest;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;

/// The body of the sound request that follows the one under test.
const SOUND_BODY: &str = "sound";

const BEGIN_REQUEST: u8 = 1;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
/// Length of a FastCGI record header.
const RECORD_HEADER: usize = 8;
/// Content of a BEGIN_REQUEST record: the role of a Responder, on a connection that stays open.
const RESPONDER: [u8; 8] = [0, 1, 1, 0, 0, 0, 0, 0];

/// A record of a request after its first.
#[derive(Clone, Copy)]
enum Part {
    Params,
    /// A further parameter.
    More,
    EndOfParams,
    Body,
    EndOfBody,
}

fn encode_records(records: &[(u8, &[u8])]) -> Vec<u8> {
    records.iter().flat_map(|&(kind, content)| common::fastcgi_record(kind, 1, content)).collect()
}

fn encode_pairs<'a>(pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> Vec<u8> {
    let encode = |(name, value): (&str, &[u8])| {
        [&[name.len() as u8, value.len() as u8], name.as_bytes(), value].concat()
    };
    pairs.flat_map(encode).collect()
}

/// A sound request, but for the order and number of its records.
fn request_of(parts: &[Part]) -> Vec<u8> {
    let parameters = parameters_with(&[]);
    let parameters = encode_pairs(parameters.iter().map(|(name, value)| (*name, value.as_bytes())));
    let more = encode_pairs([("HTTP_USER_AGENT", &b"x"[..])].into_iter());
    let mut records = vec![(BEGIN_REQUEST, &RESPONDER[..])];
    records.extend(parts.iter().map(|part| match part {
        Part::Params => (PARAMS, &parameters[..]),
        Part::More => (PARAMS, &more[..]),
        Part::EndOfParams => (PARAMS, &[][..]),
        Part::Body => (STDIN, SOUND_BODY.as_bytes()),
        Part::EndOfBody => (STDIN, &[][..]),
    }));
    encode_records(&records)
}

/// The parameters of a sound request, with some set to other values; `None` leaves a parameter out.
fn parameters_with<'a>(changes: &[(&'a str, Option<&'a str>)]) -> Vec<(&'a str, &'a str)> {
    let sound = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", "00000000000000a1"),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "1500"),
        ("HTTP_REQ_KEY", FUNCTION),
        ("HTTP_X_MORE", "memory_mb:512;lanes:2;load_ms:640"),
    ];
    let is_changed = |name: &str| changes.iter().any(|change| change.0 == name);
    let kept = sound.into_iter().filter(|parameter| !is_changed(parameter.0));
    kept.chain(changes.iter().filter_map(|&(name, value)| value.map(|value| (name, value)))).collect()
}

fn next_request(queue: &Receiver<Message>) -> Request {
    loop {
        if let Message::Request { request, .. } = queue.recv_timeout(TIMEOUT).expect("a request") {
            return request;
        }
    }
}

/// Sends a FastCGI request; returns the first line of its response.
fn fastcgi_status(address: SocketAddr, parameters: &[(&str, &str)], body: &[u8]) -> String {
    let mut client = connect(address);
    client.write_all(&fastcgi_request(1, parameters, body)).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
    head.lines().next().unwrap_or_default().to_owned()
}

/// Guards against served requests of clients whose fields cannot be decoded or are out of range.
#[rstest]
#[case::unreadable("HTTP_X_MORE", "%%%%;%%%%")]
#[case::a_figure_without_a_value("HTTP_X_MORE", "memory_mb:400;lanes;load_ms:500")]
#[case::a_figure_without_a_number("HTTP_X_MORE", "memory_mb:400;lanes:;load_ms:500")]
#[case::a_figure_without_a_name("HTTP_X_MORE", "memory_mb:400;:2")]
#[case::a_figure_with_a_unit("HTTP_X_MORE", "memory_mb:400MB")]
#[case::another_separator("HTTP_X_MORE", "memory_mb:400,lanes:1")]
#[case::another_assignment("HTTP_X_MORE", "memory_mb=400")]
#[case::an_empty_item("HTTP_X_MORE", "memory_mb:400;;lanes:1")]
#[case::only_separators("HTTP_X_MORE", ";;")]
#[case::cut_off("HTTP_X_MORE", "memory_mb:400;lanes:1;loa")]
#[case::an_unknown_figure_that_is_no_number("HTTP_X_MORE", "memory_mb:400;size:\u{1}")]
#[case::an_unreadable_name("HTTP_X_MORE", "%%%%:1")]
#[case::two_values("HTTP_X_MORE", "lanes:1;lanes:2")]
#[case::no_lanes("HTTP_X_MORE", "memory_mb:400;lanes:0;load_ms:500")]
#[case::one_lane_and_a_half("HTTP_X_MORE", "memory_mb:400;lanes:1.5;load_ms:500")]
#[case::negative_lanes("HTTP_X_MORE", "lanes:-1")]
#[case::lanes_beyond_a_machine_word("HTTP_X_MORE", "lanes:18446744073709551617")]
#[case::no_memory("HTTP_X_MORE", "memory_mb:0")]
#[case::negative_memory("HTTP_X_MORE", "memory_mb:-400")]
#[case::negative_zero("HTTP_X_MORE", "load_ms:-0")]
#[case::endless_memory("HTTP_X_MORE", "memory_mb:inf")]
#[case::memory_beyond_any_number("HTTP_X_MORE", "memory_mb:1e999")]
#[case::memory_beyond_any_machine("HTTP_X_MORE", "memory_mb:90001")]
#[case::memory_that_is_no_number("HTTP_X_MORE", "memory_mb:nan")]
#[case::negative_load_time("HTTP_X_MORE", "load_ms:-640")]
#[case::load_time_of_a_year("HTTP_X_MORE", "load_ms:31536000000")]
#[case::no_wait("HTTP_REQ_WAIT_MS", "0")]
#[case::empty_wait("HTTP_REQ_WAIT_MS", "")]
#[case::negative_wait("HTTP_REQ_WAIT_MS", "-1500")]
#[case::wait_with_a_unit("HTTP_REQ_WAIT_MS", "1500ms")]
#[case::wait_of_a_year("HTTP_REQ_WAIT_MS", "31536000000")]
#[case::short_id("HTTP_REQ_ID", "a1")]
#[case::long_id("HTTP_REQ_ID", "000000000000000a1")]
#[case::signed_id("HTTP_REQ_ID", "+0000000000000a1")]
#[case::id_that_is_no_number("HTTP_REQ_ID", "zzzzzzzzzzzzzzzz")]
#[case::short_function("HTTP_REQ_KEY", "7f")]
#[case::function_that_is_no_number("HTTP_REQ_KEY", "zzzzzzzzzzzzzzzz")]
#[case::another_retry_mark("HTTP_REQ_RETRY", "2")]
#[case::retry_mark_that_is_no_number("HTTP_REQ_RETRY", "yes")]
#[case::key_with_a_separator("HTTP_REQ_TOKEN", "a,b=c")]
#[case::key_with_a_blank("HTTP_REQ_TOKEN", "a b")]
#[case::unknown_class("SCRIPT_NAME", "/v1/other")]
#[case::class_with_a_suffix("SCRIPT_NAME", "/v1/tile-render/x")]
#[case::another_path("SCRIPT_NAME", "/v2/tile-render")]
#[case::no_key_in_a_keyed_class("SCRIPT_NAME", "/v1/tile-order")]
#[case::unknown_tenant("HTTP_REQ_OWNER", "nobody")]
#[case::negative_body_length("CONTENT_LENGTH", "-5")]
#[case::signed_body_length("CONTENT_LENGTH", "+4")]
#[case::body_length_that_is_no_number("CONTENT_LENGTH", "four")]
#[case::body_shorter_than_stated("CONTENT_LENGTH", "5")]
#[case::body_longer_than_stated("CONTENT_LENGTH", "3")]
#[case::huge_body_length("CONTENT_LENGTH", "99999999999999999999")]
#[case::no_parameter_name("", "x")]
fn a_fastcgi_request_with_an_invalid_field_fails(#[case] name: &str, #[case] value: &str) {
    let (context, queue) = test_context(|_| ());
    let address = start_fastcgi_server(&context);
    let status = fastcgi_status(address, &parameters_with(&[(name, Some(value))]), b"four");
    assert!(matches!(&*status, "Status: 400 Bad Request" | "Status: 500 Internal Server Error"), "{status}");
    let mut client = connect(address);
    client.write_all(&fastcgi_request(1, &parameters_with(&[]), SOUND_BODY.as_bytes())).expect("written");
    assert_eq!(next_request(&queue).payload.bytes(), SOUND_BODY.as_bytes());
}

/// Guards against a served request whose parameters contradict each other, or that are no text.
#[rstest]
#[case::two_ids("HTTP_REQ_ID", b"00000000000000a2")]
#[case::two_classes("SCRIPT_NAME", b"/v1/tile-order")]
#[case::two_waits("HTTP_REQ_WAIT_MS", b"900")]
#[case::no_text("HTTP_REQ_RETRY", b"\xff")]
#[case::figures_that_are_no_text("HTTP_X_MORE", b"\xff:1")]
fn a_fastcgi_request_with_contradicting_parameters_fails(#[case] name: &str, #[case] value: &[u8]) {
    let sound = parameters_with(&[("HTTP_X_MORE", None)]);
    let sound = sound.iter().map(|(name, value)| (*name, value.as_bytes()));
    let pairs = encode_pairs(sound.chain([(name, value)]));
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    let records = [(BEGIN_REQUEST, &RESPONDER[..]), (PARAMS, &pairs), (PARAMS, &[]), (STDIN, &[])];
    client.write_all(&encode_records(&records)).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
    assert!(head.starts_with("Status: 400"), "{head}");
    client.write_all(&fastcgi_request(1, &parameters_with(&[]), SOUND_BODY.as_bytes())).expect("written");
    assert_eq!(next_request(&queue).payload.bytes(), SOUND_BODY.as_bytes());
}

/// Guards against a served request whose streams do not end, or that are out of order.
#[rstest]
#[case::parameters_without_an_end(&[Part::Params, Part::Body, Part::EndOfBody])]
#[case::no_end_and_no_body(&[Part::Params, Part::EndOfBody])]
#[case::body_before_the_parameters(&[Part::Body, Part::Params, Part::EndOfParams, Part::EndOfBody])]
#[case::body_amid_the_parameters(&[Part::Params, Part::Body, Part::EndOfParams, Part::EndOfBody])]
#[case::parameters_after_their_end(&[Part::Params, Part::EndOfParams, Part::More, Part::EndOfBody])]
#[case::parameters_after_the_body(&[Part::Params, Part::EndOfParams, Part::Body, Part::More, Part::EndOfBody])]
fn a_fastcgi_request_with_invalid_streams_fails(#[case] parts: &[Part]) {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    client.write_all(&request_of(parts)).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
    assert!(head.starts_with("Status: 400"), "{head}");
    client.write_all(&fastcgi_request(1, &parameters_with(&[]), SOUND_BODY.as_bytes())).expect("written");
    assert_eq!(next_request(&queue).payload.bytes(), SOUND_BODY.as_bytes());
}

/// A stream may come in any number of records.
#[rstest]
#[case::no_body(&[Part::Params, Part::EndOfParams, Part::EndOfBody], 0)]
#[case::more_records(
    &[Part::Params, Part::More, Part::EndOfParams, Part::Body, Part::Body, Part::EndOfBody], 2
)]
fn a_fastcgi_request_in_many_records_is_passed_on(#[case] parts: &[Part], #[case] bodies: usize) {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    client.write_all(&request_of(parts)).expect("written");
    assert_eq!(next_request(&queue).payload.bytes(), SOUND_BODY.repeat(bodies).as_bytes());
}

/// Guards against a served request whose first record is shorter or longer than the protocol says.
#[rstest]
#[case::short(3)]
#[case::one_byte_short(7)]
#[case::one_byte_long(9)]
fn a_fastcgi_request_with_a_begin_of_the_wrong_length_closes_its_connection(#[case] length: usize) {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    let begin = [&RESPONDER[..], &[0]].concat();
    let rest = request_of(&[Part::Params, Part::EndOfParams, Part::EndOfBody]);
    let rest = &rest[RECORD_HEADER + RESPONDER.len()..];
    let bytes = [&common::fastcgi_record(BEGIN_REQUEST, 1, &begin[..length]), rest].concat();
    client.write_all(&bytes).expect("written");
    let closed = queue.recv_timeout(TIMEOUT).expect("the end of the connection");
    assert!(matches!(closed, Message::ClientDisconnected { .. }));
}

/// Guards against the loss of sound requests to a validation that asks for more than the protocol does.
#[rstest]
#[case::no_figures("HTTP_X_MORE", None)]
#[case::empty_figures("HTTP_X_MORE", Some(""))]
#[case::one_figure("HTTP_X_MORE", Some("memory_mb:512"))]
#[case::another_order("HTTP_X_MORE", Some("load_ms:640;memory_mb:512;lanes:2"))]
#[case::fractions("HTTP_X_MORE", Some("memory_mb:512.25;lanes:2.0;load_ms:640.5"))]
#[case::blanks("HTTP_X_MORE", Some(" memory_mb: 512; lanes: 2 ; load_ms: 640 "))]
#[case::a_separator_at_the_end("HTTP_X_MORE", Some("memory_mb:512;lanes:2;"))]
#[case::further_figures("HTTP_X_MORE", Some("hint:12.5;memory_mb:512;is-write:true"))]
#[case::a_figure_stated_twice("HTTP_X_MORE", Some("lanes:2;lanes:2"))]
#[case::no_load_time("HTTP_X_MORE", Some("load_ms:0"))]
#[case::most_lanes("HTTP_X_MORE", Some("lanes:1024"))]
#[case::a_machine_for_one_copy("HTTP_X_MORE", Some("memory_mb:90000"))]
#[case::least_wait("HTTP_REQ_WAIT_MS", Some("1"))]
#[case::fraction_of_a_wait("HTTP_REQ_WAIT_MS", Some("0.5"))]
#[case::upper_case_id("HTTP_REQ_ID", Some("00000000000000A1"))]
#[case::a_retry("HTTP_REQ_RETRY", Some("1"))]
#[case::no_retry("HTTP_REQ_RETRY", Some("0"))]
#[case::an_empty_retry_mark("HTTP_REQ_RETRY", Some(""))]
#[case::a_key("HTTP_REQ_TOKEN", Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"))]
#[case::body_length("CONTENT_LENGTH", Some("5"))]
#[case::empty_body_length("CONTENT_LENGTH", Some(""))]
#[case::an_unrelated_parameter("HTTP_USER_AGENT", Some("\u{fe}\u{ff}"))]
fn a_sound_fastcgi_request_is_passed_on(#[case] name: &str, #[case] value: Option<&str>) {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    let request = fastcgi_request(1, &parameters_with(&[(name, value)]), SOUND_BODY.as_bytes());
    client.write_all(&request).expect("written");
    let request = next_request(&queue);
    assert_eq!((&*request.class, request.class_index, request.tenant_index), ("tile-render", 0, Some(0)));
    assert_eq!(request.payload.bytes(), SOUND_BODY.as_bytes());
}

fn infer(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A body of KServe v2 whose parameters have these further members.
fn body_with(members: &str) -> String {
    format!(r#"{{"parameters":{{"class":"tile-render","tenant":"acme"{members}}},"inputs":[]}}"#)
}

/// A body of KServe v2 with this input tensor.
fn body_with_input(tensor: &str) -> String {
    format!(r#"{{"parameters":{{"class":"tile-render","tenant":"acme"}},"inputs":[{tensor}]}}"#)
}

/// Guards against served requests of KServe v2 clients whose fields have another type or are out of range.
#[rstest]
#[case::no_lanes(body_with(r#","lanes":0"#))]
#[case::one_lane_and_a_half(body_with(r#","lanes":1.5"#))]
#[case::negative_lanes(body_with(r#","lanes":-1"#))]
#[case::lanes_as_text(body_with(r#","lanes":"2""#))]
#[case::lanes_without_a_value(body_with(r#","lanes":null"#))]
#[case::no_memory(body_with(r#","memory_mb":0"#))]
#[case::memory_beyond_any_machine(body_with(r#","memory_mb":90001"#))]
#[case::memory_beyond_any_number(body_with(r#","memory_mb":1e999"#))]
#[case::negative_load_time(body_with(r#","load_ms":-1"#))]
#[case::no_wait(body_with(r#","wait_ms":0"#))]
#[case::negative_wait(body_with(r#","wait_ms":-1"#))]
#[case::wait_as_text(body_with(r#","wait_ms":"1500""#))]
#[case::retry_mark_as_a_number(body_with(r#","retry":1"#))]
#[case::key_as_a_number(body_with(r#","token":5"#))]
#[case::empty_key(body_with(r#","token":"""#))]
#[case::key_with_a_separator(body_with(r#","token":"a,b""#))]
#[case::unknown_tenant(r#"{"parameters":{"class":"tile-render","tenant":"nobody"}}"#.to_owned())]
#[case::tenant_as_a_number(r#"{"parameters":{"class":"tile-render","tenant":5}}"#.to_owned())]
#[case::unknown_class(r#"{"parameters":{"class":"other","tenant":"acme"}}"#.to_owned())]
#[case::class_as_a_number(r#"{"parameters":{"class":5,"tenant":"acme"}}"#.to_owned())]
#[case::no_class(r#"{"parameters":{"tenant":"acme"}}"#.to_owned())]
#[case::no_key_in_a_keyed_class(r#"{"parameters":{"class":"tile-order","tenant":"acme"}}"#.to_owned())]
#[case::parameters_as_text(r#"{"parameters":"tile-render"}"#.to_owned())]
#[case::id_as_a_number(r#"{"id":7,"parameters":{"class":"tile-render","tenant":"acme"}}"#.to_owned())]
#[case::two_lanes(body_with(r#","lanes":1,"lanes":0"#))]
#[case::two_lanes_with_an_escape(body_with(r#","lanes":1,"l\u0061nes":2"#))]
#[case::two_parameters(format!(r#"{{"parameters":{{"class":"tile-order"}},{}"#, &body_with("")[1..]))]
#[case::two_shapes(body_with_input(
    r#"{"name":"a","shape":[1],"shape":[1],"datatype":"BYTES","data":["x"]}"#
))]
#[case::two_values(format!("{}{}", body_with(""), body_with("")))]
#[case::cut_off(body_with("").replace("]}", ""))]
#[case::no_object("[]".to_owned())]
#[case::inputs_as_text(body_with("").replace("[]", r#""x""#))]
#[case::input_as_text(body_with_input(r#""x""#))]
#[case::input_without_a_shape(body_with_input(r#"{"name":"body","datatype":"BYTES","data":["x"]}"#))]
#[case::input_without_a_datatype(body_with_input(r#"{"name":"body","shape":[1],"data":["x"]}"#))]
#[case::input_without_data(body_with_input(r#"{"name":"body","shape":[1],"datatype":"BYTES"}"#))]
#[case::negative_shape(body_with_input(r#"{"name":"body","shape":[-1],"datatype":"BYTES","data":["x"]}"#))]
#[case::huge_shape(body_with_input(
    r#"{"name":"body","shape":[9223372036854775807,9],"datatype":"BYTES","data":["x"]}"#
))]
#[case::longer_shape(body_with_input(r#"{"name":"body","shape":[2],"datatype":"BYTES","data":["x"]}"#))]
fn a_kserve_request_with_an_invalid_field_fails(#[case] body: String) {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_server(&context, kserve::serve));
    client.write_all(&infer(&body)).expect("written");
    let (head, message) = read_http_message(&mut client).expect("a response");
    let status = head.split(' ').nth(1).unwrap_or_default();
    assert!(["400", "500"].contains(&status), "{head}");
    assert!(message.starts_with(br#"{"error":""#));
    let sound = body_with("");
    client.write_all(&infer(&sound)).expect("written");
    assert_eq!(next_request(&queue).payload.bytes(), sound.as_bytes());
}

/// Guards against a body that is read as the next request, or a head that is read only in part.
#[rstest]
#[case::another_coding("Transfer-Encoding: gzip, chunked\r\n\r\n")]
#[case::a_second_coding("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n")]
#[case::a_signed_length("Content-Length: +0\r\n\r\n")]
#[case::a_second_end("\n\r\n\r\n")]
fn a_kserve_request_with_an_invalid_head_closes_its_connection(#[case] headers: &str) {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_server(&context, kserve::serve));
    let smuggled = infer(&body_with(""));
    let get = format!("GET /v2 HTTP/1.1\r\n{headers}");
    client.write_all(&[get.as_bytes(), &smuggled].concat()).expect("written");
    let (head, _) = read_http_message(&mut client).expect("a response");
    assert!(head.starts_with("HTTP/1.1 400"), "{head}");
    let closed = queue.recv_timeout(TIMEOUT).expect("the end of the connection");
    assert!(matches!(closed, Message::ClientDisconnected { .. }));
}

/// Guards against the loss of sound KServe v2 requests, and against a body whose nesting takes up the stack.
#[rstest]
#[case::no_further_parameters(body_with(""))]
#[case::all_parameters(body_with(
    r#","wait_ms":1500.5,"memory_mb":512,"lanes":2,"load_ms":0,"retry":true,"token":"5c0f","trace":"x""#
))]
#[case::marks_in_text(body_with(r#","trace":"a\":\\","note":":::{\"lanes\":0}""#))]
#[case::no_inputs(r#"{"parameters":{"class":"tile-render","tenant":"acme"}}"#.to_owned())]
#[case::no_id(body_with("").replacen('{', r#"{"id":null,"#, 1))]
#[case::any_id(body_with("").replacen('{', r#"{"id":"request 7","#, 1))]
#[case::flat_data(body_with_input(r#"{"name":"a","shape":[2,2],"datatype":"FP32","data":[1,2,3,4]}"#))]
#[case::nested_data(body_with_input(r#"{"name":"a","shape":[2,2],"datatype":"FP32","data":[[1,2],[3,4]]}"#))]
#[case::no_elements(body_with_input(r#"{"name":"a","shape":[0],"datatype":"FP32","data":[]}"#))]
#[case::deep_data(body_with_input(&format!(
    r#"{{"name":"a","shape":[1],"datatype":"FP32","data":{}1{}}}"#, "[".repeat(7_000), "]".repeat(7_000)
)))]
fn a_sound_kserve_request_is_passed_on(#[case] body: String) {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_server(&context, kserve::serve));
    client.write_all(&infer(&body)).expect("written");
    assert_eq!(next_request(&queue).payload.bytes(), body.as_bytes());
}

#[test]
fn figures_are_parsed() {
    let all = Figures { memory_mb: Some(512.0), lanes: Some(2.0), load_ms: Some(640.0) };
    assert_eq!(parse_figures("memory_mb:512;lanes:2;load_ms:640"), Ok(all));
    assert_eq!(parse_figures("lanes:x"), Err(InvalidRequest::Malformed(Field::Lanes)));
}

/// Where the settings do not state machines or tenants, any copy that the limits allow and any tenant is valid.
#[test]
fn rules_follow_from_the_settings() {
    let (context, _queue) = test_context(|_| ());
    let classes = vec![heronslip_policy::ClassSettings {
        name: "any".to_owned(),
        retry_safety: heronslip_policy::RetrySafety::Safe,
        dedup_scope: heronslip_policy::DedupScope::All,
        dedup_window: 0,
        latency_target: 0,
        client_timeout: 0,
        worth: 1.0,
    }];
    let rules = RequestRules::new(&Settings { classes, ..Settings::default() }, &context.limits);
    let stated = |memory_mb| heronslip::server::validation::StatedRequest {
        wire_id: 1,
        class: "any".to_owned(),
        tenant: "any".to_owned(),
        function: 7,
        wait_ms: 1.5,
        is_retry: false,
        idempotency_key: None,
        figures: Figures { memory_mb: Some(memory_mb), ..Figures::default() },
        payload: heronslip::messages::Payload::Bytes(Vec::new()),
    };
    let max = context.limits.max_copy_memory_mb;
    let request = rules.validate(stated(max)).expect("valid");
    assert_eq!((request.wait, request.memory_mb, request.tenant_index), (1_500, max, None));
    let error = rules.validate(stated(max * 2.0)).expect_err("too much");
    assert_eq!(error, InvalidRequest::OutOfRange(Field::Memory));
}
