use bytes::BytesMut;
use http::Method;
use proptest::prelude::*;

use super::{
    encode_chunk, parse_request, parse_response, write_request, Decoder, Framing, ParseError,
    Progress, LAST_CHUNK,
};

const MAX_HEAD_BYTES: usize = 1_024;

/// Returns the `ParseError` variant that a request head is rejected with; `None` when it is
/// accepted or incomplete.
fn rejection(head: &str) -> Option<&'static str> {
    match parse_request(head.as_bytes(), MAX_HEAD_BYTES) {
        Ok(_) => None,
        Err(ParseError::Syntax(_)) => Some("syntax"),
        Err(ParseError::TooLong) => Some("too long"),
        Err(ParseError::NoMemory) => Some("no memory"),
        Err(ParseError::Framing(_)) => Some("framing"),
        Err(ParseError::Host) => Some("host"),
        Err(ParseError::Target) => Some("target"),
        Err(ParseError::TransferCoding) => Some("coding"),
    }
}

/// Guards against request smuggling, where an upstream runs a request that no caller sent.
///
/// When two parsers interpret the length of a message differently, a second request can hide in the
/// bytes that one of them takes for the body of the first. Ambiguous requests must be rejected, not
/// guessed at.
#[yare::parameterized(
    two_lengths = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "framing",
    },
    same_length_twice = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
        "framing",
    },
    list_of_lengths = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n", "framing" },
    signed_length = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n", "framing" },
    empty_length = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", "framing" },
    huge_length = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "framing",
    },
    length_and_chunks = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "framing",
    },
    chunked_twice = {
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "framing",
    },
    chunked_in_http_1_0 = {
        "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "framing",
    },
    other_coding = {
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "coding",
    },
    coding_with_a_prefix = {
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
        "coding",
    },
    no_host = { "GET / HTTP/1.1\r\n\r\n", "host" },
    two_hosts = { "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "host" },
    empty_host = { "GET / HTTP/1.1\r\nHost:\r\n\r\n", "host" },
    invalid_host = { "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", "host" },
    invalid_port = { "GET / HTTP/1.1\r\nHost: a:b\r\n\r\n", "host" },
    folded_header = { "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", "syntax" },
    space_before_colon = { "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "syntax" },
    bare_carriage_return = { "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", "syntax" },
    nul_in_value = { "GET / HTTP/1.1\r\nHost: a\r\nX: \0\r\n\r\n", "syntax" },
    other_version = { "GET / HTTP/2.0\r\nHost: a\r\n\r\n", "syntax" },
    authority_target = { "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", "target" },
    asterisk_target = { "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "target" },
    fragment_in_target = { "GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n", "target" },
)]
fn ambiguous_and_invalid_requests_are_rejected(head: &str, expected: &str) {
    assert_eq!(rejection(head), Some(expected));
}

#[test]
fn too_long_heads_are_rejected_whether_complete_or_not() {
    let long = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(MAX_HEAD_BYTES));
    assert_eq!(rejection(&long), Some("too long"));
    assert_eq!(rejection(&long[..MAX_HEAD_BYTES]), Some("too long"));
    assert_eq!(rejection(&long[..MAX_HEAD_BYTES - 1]), None);
}

#[yare::parameterized(
    origin = {
        "GET /a/b?c HTTP/1.1\r\nHost: Seeds.Example:8080\r\n\r\n",
        "seeds.example",
        "/a/b?c",
    },
    absolute = {
        "GET http://one.example/a HTTP/1.1\r\nHost: two.example\r\n\r\n",
        "one.example",
        "/a",
    },
    literal_v6 = { "GET / HTTP/1.1\r\nHost: [::1]:80\r\n\r\n", "[::1]", "/" },
)]
fn hosts_and_targets_are_parsed(head: &str, host: &str, target: &str) {
    let (head, _) =
        parse_request(head.as_bytes(), MAX_HEAD_BYTES).expect("valid").expect("complete");
    assert_eq!((head.host.as_str(), head.target.as_str()), (host, target));
}

#[yare::parameterized(
    length = {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        Method::GET,
        Some((Framing::Length(5), true)),
    },
    chunked = {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
        Method::GET,
        Some((Framing::Chunked, true)),
    },
    neither = { "HTTP/1.1 200 OK\r\n\r\n", Method::GET, Some((Framing::UntilClose, false)) },
    close = {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: a, Close\r\n\r\n",
        Method::GET,
        Some((Framing::Length(5), false)),
    },
    head = {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        Method::HEAD,
        Some((Framing::Empty, true)),
    },
    no_content = { "HTTP/1.1 204 No Content\r\n\r\n", Method::GET, Some((Framing::Empty, true)) },
    both = {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        Method::GET,
        None,
    },
    garbage = { "\u{1}\u{2}\u{3}", Method::GET, None },
)]
fn response_framing_is_parsed(head: &str, method: Method, expected: Option<(Framing, bool)>) {
    let parsed = parse_response(head.as_bytes(), &method);
    let framing = parsed.ok().flatten().map(|(head, _)| (head.framing, head.keep_alive));
    assert_eq!(framing, expected);
}

#[yare::parameterized(
    no_digits = { "x\r\nabc\r\n0\r\n\r\n" },
    signed = { "-3\r\nabc\r\n0\r\n\r\n" },
    prefixed = { "0x3\r\nabc\r\n0\r\n\r\n" },
    too_large = { "fffffffffffffffff\r\nabc\r\n" },
    longer_than_its_size = { "2\r\nabc\r\n0\r\n\r\n" },
    line_feed_only = { "3\nabc\r\n0\r\n\r\n" },
)]
fn invalid_chunks_are_rejected(body: &str) {
    let mut buf = BytesMut::from(body);
    let mut decoder = Decoder::new(Framing::Chunked);
    loop {
        match decoder.decode(&mut buf) {
            Ok(Progress::Data(_)) => {}
            Ok(decoded) => panic!("{decoded:?}"),
            Err(_) => return,
        }
    }
}

/// Decodes a body from `bytes`, which are received in parts that end at `cuts`.
///
/// Returns the body and the number of bytes that follow it.
fn decode(framing: Framing, bytes: &[u8], cuts: &[usize]) -> Result<(Vec<u8>, usize), ParseError> {
    let mut decoder = Decoder::new(framing);
    let mut buf = BytesMut::new();
    let mut body = Vec::new();
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    cuts.push(bytes.len());
    let mut from = 0;
    for to in cuts {
        buf.extend_from_slice(&bytes[from..to]);
        from = to;
        loop {
            match decoder.decode(&mut buf)? {
                Progress::Data(data) => body.extend_from_slice(&data),
                Progress::NeedMore => break,
                Progress::End => return Ok((body, bytes.len() - from + buf.len())),
            }
        }
    }
    Ok((body, 0))
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0a7c_0e02),
        ..ProptestConfig::default()
    })]

    /// Guards against corrupted or truncated bodies when a message arrives in small packets.
    ///
    /// The body arrives in arbitrary parts and the next message follows it. The decoder must keep
    /// its state between parts and must not consume bytes beyond the body.
    #[test]
    fn bodies_are_decoded_completely_however_they_are_split(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..50), 0..5),
        cuts in prop::collection::vec(any::<usize>(), 0..10),
        next in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let whole: Vec<u8> = chunks.concat();
        let mut chunked: Vec<u8> = chunks.iter().flat_map(|chunk| encode_chunk(chunk)).collect();
        chunked.extend_from_slice(LAST_CHUNK);
        chunked.extend_from_slice(&next);
        prop_assert_eq!(
            decode(Framing::Chunked, &chunked, &cuts),
            Ok((whole.clone(), next.len()))
        );
        let mut fixed = whole.clone();
        fixed.extend_from_slice(&next);
        let framing = Framing::Length(whole.len() as u64);
        prop_assert_eq!(decode(framing, &fixed, &cuts), Ok((whole, next.len())));
    }

    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        cuts in prop::collection::vec(any::<usize>(), 0..4),
    ) {
        let _ = parse_request(&bytes, MAX_HEAD_BYTES);
        let _ = parse_response(&bytes, &Method::GET);
        let _ = decode(Framing::Chunked, &bytes, &cuts);
    }

    /// Guards against an upstream that receives a different request than the caller sent.
    ///
    /// A request is parsed, serialized and parsed by the next hop. No value that the parser accepts
    /// may break out of its line when it is serialized.
    #[test]
    fn serialized_requests_parse_to_the_same_request(
        target in "/[!-\"$-~]{0,30}",
        name in "[a-z][a-z0-9-]{0,10}",
        value in "[ -~]{0,30}",
    ) {
        prop_assume!(!["host", "content-length", "transfer-encoding"].contains(&name.as_str()));
        let text = format!("GET {target} HTTP/1.1\r\nHost: a\r\n{name}: {value}\r\n\r\n");
        let Ok(Some((head, _))) = parse_request(text.as_bytes(), MAX_HEAD_BYTES) else {
            return Ok(());
        };
        let serialized = write_request(&head.method, &head.target, &head.headers);
        let reparsed =
            parse_request(&serialized, MAX_HEAD_BYTES).expect("valid").expect("complete").0;
        prop_assert_eq!(reparsed.target, head.target);
        prop_assert_eq!(reparsed.headers, head.headers);
        prop_assert_eq!(reparsed.framing, head.framing);
    }
}
