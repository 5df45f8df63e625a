//! Decoders of the wire formats.
use heronslip::discovery::parse_endpoints;
use heronslip::http::{ChunkedDecoder, ChunkedItem, Head};
use heronslip::messages::WorkerProtocol;
use heronslip::ring::RingBuffer;
use heronslip::server::fastcgi::decode_pairs;
use heronslip::worker::frames::Decoder;
use heronslip_policy::json::{as_object, parse};
use heronslip_policy::WorkerState;
use rstest::rstest;

fn reply_frame(code: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = vec![127, code, 0, 0, 0, 0, 0, body.len() as u8, 0, 0, 0, 0, 0, 0, 0, 9];
    frame.extend(body);
    frame.extend(crc32fast::hash(body).to_be_bytes());
    frame
}

/// A parameter stream that is cut off anywhere but between two pairs is an error.
#[test]
fn cut_off_name_value_pairs_are_rejected() {
    let long_value = "v".repeat(200);
    let stream = [&[1, 2][..], b"nab", &[2, 0x80, 0, 0, 200], b"xy", long_value.as_bytes()].concat();
    let pair_ends = [0, 5, stream.len()];
    for end in 0..=stream.len() {
        let is_whole = decode_pairs(&stream[..end]).all(|pair| pair.is_ok());
        assert_eq!(is_whole, pair_ends.contains(&end), "cut off at {end}");
    }
}

/// Frames are decoded however the stream is split, also where they wrap around the end of the ring buffer.
#[rstest]
fn split_frames_are_decoded(#[values(1, 3, 7, 50)] piece_length: usize) {
    let (mut ring, mut decoder, mut bodies) = (RingBuffer::new(64), Decoder::default(), Vec::new());
    let stream = [reply_frame(200, b"one"), reply_frame(202, b""), reply_frame(200, b"three")].concat();
    for piece in stream.chunks(piece_length) {
        assert_eq!(ring.push(piece), piece.len());
        while let Some(frame) = decoder.next_frame(&mut ring, 100).expect("a valid stream") {
            assert_eq!(frame.id, 9);
            bodies.push(frame.body);
        }
    }
    assert_eq!(bodies, [&b"one"[..], b"", b"three"]);
}

/// An invalid frame is an error, unlike one that is not complete yet.
#[rstest]
#[case::mark(0, 126)]
#[case::length(4, 255)]
#[case::check_sum(19, 1)]
fn invalid_frames_are_rejected(#[case] position: usize, #[case] byte: u8) {
    let mut bytes = reply_frame(200, b"body");
    bytes[position] = byte;
    let mut ring = RingBuffer::new(64);
    ring.push(&bytes);
    assert!(Decoder::default().next_frame(&mut ring, 100).is_err());
}

/// Of log lines that peers can cause at full speed, only a few per second are written and the rest is
/// counted.
#[test]
fn repeated_lines_are_counted() {
    let limit = heronslip::log::RateLimit::new();
    let written = (0..1_000).filter_map(|_| limit.admit(7, format_args!("x"))).count();
    assert_eq!(written, 5);
    assert_eq!(limit.admit(8, format_args!("x")), Some("x (995 similar lines omitted)".to_owned()));
}

#[test]
fn chunked_bodies_are_decoded() {
    let mut chunked = ChunkedDecoder::default();
    let coded: Vec<ChunkedItem> = b"3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n"
        .iter()
        .map(|&b| chunked.decode(b).expect("a valid body"))
        .collect();
    let content: Vec<u8> =
        coded.iter().filter_map(|c| if let ChunkedItem::Content(b) = c { Some(*b) } else { None }).collect();
    assert_eq!((content, coded.last()), (b"abcd".to_vec(), Some(&ChunkedItem::End)));
    let mut invalid = ChunkedDecoder::default();
    assert!(b"zz\r\n".iter().any(|&b| invalid.decode(b).is_err()));
}

#[rstest]
#[case::length_and_chunks("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::negative_length("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n")]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n")]
#[case::empty_length("POST / HTTP/1.1\r\nContent-Length: \r\n\r\n")]
#[case::list_of_lengths("POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n")]
#[case::huge_length("POST / HTTP/1.1\r\nContent-Length: 18446744073709551617\r\n\r\n")]
#[case::another_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[case::two_codings("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n")]
#[case::a_coding_after_chunks(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
)]
#[case::chunked_twice("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::a_second_end("POST / HTTP/1.1\nContent-Length: 0\n\nContent-Length: 9\r\n\r\n")]
#[case::incomplete("POST / HTTP/1.1\r\nContent-Length: 1\r\n")]
#[case::no_request_line("\0\r\n\r\n")]
fn invalid_heads_are_rejected(#[case] head: &str) {
    assert!(Head::parse_request(head.as_bytes()).is_err());
}

/// As in Envoy, an endpoint of unknown health accepts work, and a draining one accepts nothing new.
#[rstest]
#[case::no_status("", WorkerState::Ready)]
#[case::healthy(r#""health_status":"HEALTHY","#, WorkerState::Ready)]
#[case::draining(r#""health_status":"DRAINING","#, WorkerState::Draining)]
#[case::unhealthy(r#""health_status":"UNHEALTHY","#, WorkerState::Gone)]
fn endpoints_are_parsed(#[case] health: &str, #[case] state: WorkerState) {
    let text = format!(
        r#"{{"resources":[{{"cluster_name":"tiles","endpoints":[{{"locality":{{"zone":"east"}},"lb_endpoints":[
        {{{health}"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":9}}}}}},
        "metadata":{{"filter_metadata":{{"heronslip":{{"id":"w1","cell":3}}}}}}}}]}}]}}]}}"#
    );
    let json = parse(&text).expect("JSON");
    let workers = parse_endpoints(as_object(&json).expect("an object")).expect("valid endpoints");
    let worker = &workers[0];
    assert_eq!(
        (worker.state, worker.protocol, &worker.id[..], &worker.zone[..], worker.cell),
        (state, WorkerProtocol::Kserve, "w1", "east", 3)
    );
}
