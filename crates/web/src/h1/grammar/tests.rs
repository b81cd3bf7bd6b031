//! Compares the parser and the decoder with a reference implementation of the RFC 9112 grammar that
//! reads byte by byte and accepts nothing else.

use bytes::BytesMut;
use proptest::prelude::*;

use crate::h1::{parse_request, Decoder, Framing, ParseError, Progress};

/// Reference parser that consumes its input from the front.
struct ReferenceParser<'a>(&'a [u8]);

impl ReferenceParser<'_> {
    fn next_if(&mut self, predicate: impl Fn(u8) -> bool) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        predicate(*first).then(|| {
            self.0 = rest;
            *first
        })
    }

    fn take_while(&mut self, predicate: impl Fn(u8) -> bool) -> Vec<u8> {
        std::iter::from_fn(|| self.next_if(&predicate)).collect()
    }

    fn literal(&mut self, text: &str) -> Option<()> {
        text.bytes().try_for_each(|expected| self.next_if(|byte| byte == expected).map(drop))
    }

    fn token(&mut self) -> Option<()> {
        let token = |byte: u8| byte.is_ascii_graphic() && !b"\"(),/:;<=>?@[\\]{}".contains(&byte);
        (!self.take_while(token).is_empty()).then_some(())
    }

    fn whitespace(&mut self) {
        self.take_while(|byte| byte == b' ' || byte == b'\t');
    }

    fn quoted_string(&mut self) -> Option<()> {
        self.literal("\"")?;
        while self.literal("\"").is_none() {
            if self.next_if(|byte| byte == b'\\').is_some() {
                self.next_if(is_text)?;
            } else {
                self.next_if(|byte| is_text(byte) && byte != b'"')?;
            }
        }
        Some(())
    }

    fn extensions(&mut self) -> Option<()> {
        while !self.0.starts_with(b"\r") {
            self.whitespace();
            self.literal(";")?;
            self.whitespace();
            self.token()?;
            let after_name = self.0;
            self.whitespace();
            match self.literal("=") {
                None => self.0 = after_name,
                Some(()) => {
                    self.whitespace();
                    match self.0.first() {
                        Some(b'"') => self.quoted_string()?,
                        _ => self.token()?,
                    }
                }
            }
        }
        Some(())
    }

    fn fields(&mut self) -> Option<()> {
        while !self.0.starts_with(b"\r") {
            self.token()?;
            self.literal(":")?;
            self.take_while(is_text);
            self.literal("\r\n")?;
        }
        self.literal("\r\n")
    }

    /// Parses a chunked body; `None` when it is invalid or incomplete.
    fn chunked(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let digits = self.take_while(|byte| byte.is_ascii_hexdigit());
            let digits = String::from_utf8(digits).expect("digits");
            let size = usize::from_str_radix(&digits, 16).ok()?;
            self.extensions()?;
            self.literal("\r\n")?;
            if size == 0 {
                return self.fields().map(|()| body);
            }
            for _ in 0..size {
                body.push(self.next_if(|_| true)?);
            }
            self.literal("\r\n")?;
        }
    }

    fn head(&mut self) -> Option<()> {
        while self.0.starts_with(b"\r\n") {
            self.literal("\r\n")?;
        }
        self.token()?;
        self.literal(" ")?;
        (!self.take_while(|byte| byte.is_ascii_graphic() || byte >= 0x80).is_empty())
            .then_some(())?;
        self.literal(" HTTP/1.")?;
        self.next_if(|byte| byte == b'0' || byte == b'1')?;
        self.literal("\r\n")?;
        self.fields()
    }
}

fn is_text(byte: u8) -> bool {
    byte == b'\t' || (b' '..0x7f).contains(&byte) || byte >= 0x80
}

/// Decodes a chunked body and returns it with the number of bytes that follow it; `None` when it is
/// incomplete.
fn decode_chunked(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ParseError> {
    let mut decoder = Decoder::new(Framing::Chunked);
    let mut buf = BytesMut::from(bytes);
    let mut body = Vec::new();
    loop {
        match decoder.decode(&mut buf)? {
            Progress::Data(data) => body.extend_from_slice(&data),
            Progress::NeedMore => return Ok(None),
            Progress::End => return Ok(Some((body, buf.len()))),
        }
    }
}

/// Generates byte strings that resemble chunked bodies.
fn chunked_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop::sample::select(vec![
        "\r\n",
        "\r\n",
        "\r\n",
        "\n",
        "\r",
        "0",
        "0\r\n",
        "0\r\n\r\n",
        "3\r\nabc\r\n",
        "2\r\nab",
        "a",
        ";",
        "=",
        "\"",
        "\\",
        " ",
        "\t",
        "x",
        "x: y",
        ":",
        "3;x=y\r\nabc\r\n",
        "3 ; x = \"a;\\\"b\"\r\n",
        "\0",
        "-",
        "+3",
        "0x3",
        "fffffffffffffffff",
        "ü",
    ]);
    prop::collection::vec(piece, 0..8).prop_map(|pieces| pieces.concat().into_bytes())
}

/// Generates byte strings that resemble request heads.
fn head_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop::sample::select(vec![
        "GET / HTTP/1.1\r\n",
        "GET / HTTP/1.1\r\n",
        "GET / HTTP/1.1\n",
        "GET /",
        " HTTP/1.1",
        "Host: a\r\n",
        "Host: a\r\n",
        "Host: a\n",
        "Host : a\r\n",
        "X: y\r\n",
        "X:\r\n",
        " z\r\n",
        "X: a\rb\r\n",
        "\r\n",
        "\r\n",
        "\n",
        "\r",
        "\0",
        ":",
        "Content-Length: 3\n",
        "Content-Length: 3\r\n",
    ]);
    prop::collection::vec(piece, 0..8).prop_map(|pieces| pieces.concat().into_bytes())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Guards against request smuggling, where an upstream runs a request that was hidden in the
    /// body of another.
    ///
    /// This is possible when the decoder accepts more than the grammar and a chunk size line, the
    /// end of a chunk or a trailer can be interpreted in two ways.
    #[test]
    fn chunked_bodies_are_decoded_exactly_as_the_grammar_allows(bytes in chunked_like_bytes()) {
        let mut reference = ReferenceParser(&bytes);
        let expected = reference.chunked().map(|body| (body, reference.0.len()));
        let decoded = decode_chunked(&bytes).ok().flatten();
        prop_assert_eq!(decoded, expected, "{}", bytes.escape_ascii());
    }

    /// Checks that every accepted head conforms to the grammar. The converse does not hold, because
    /// the parser supports only a part of the grammar.
    #[test]
    fn accepted_heads_conform_to_the_grammar(bytes in head_like_bytes()) {
        if let Ok(Some((_, length))) = parse_request(&bytes, 4_096) {
            let mut reference = ReferenceParser(&bytes[..length]);
            prop_assert!(reference.head().is_some(), "{}", bytes.escape_ascii());
            prop_assert!(reference.0.is_empty(), "{}", bytes.escape_ascii());
        }
    }
}

/// Guards against a decoder that accepts these bodies, which some peers interpret differently.
#[yare::parameterized(
    no_size = { "\r\n\r\n" },
    extension_without_size = { ";x\r\n\r\n" },
    line_feed_in_an_extension = { "3;x\n0\r\nabc\r\n0\r\n\r\n" },
    whitespace_after_the_size = { "3 \r\nabc\r\n0\r\n\r\n" },
    trailer_without_a_name = { "0\r\n: y\r\n\r\n" },
    line_feed_in_a_trailer = { "0\r\nx: y\nz\r\n\r\n" },
    request_line_in_a_trailer = { "0\r\nGET / HTTP/1.1\r\n\r\n" },
)]
fn ambiguous_chunked_bodies_are_rejected(body: &str) {
    assert!(decode_chunked(body.as_bytes()).is_err());
}

/// Guards against a caller that occupies a connection and the node's memory indefinitely with an
/// endless trailer section. The limit must apply to all lines together, not to each line.
#[test]
fn total_trailer_length_is_limited() {
    let endless = "0\r\n".to_owned() + &"x: y\r\n".repeat(3_000);
    assert_eq!(decode_chunked(endless.as_bytes()), Err(ParseError::TooLong));
}

#[yare::parameterized(
    request_line = { "GET / HTTP/1.1\nHost: a\r\n\r\n" },
    field = { "GET / HTTP/1.1\r\nHost: a\nContent-Length: 3\r\n\r\n" },
    last_line = { "GET / HTTP/1.1\r\nHost: a\r\n\n" },
    empty_line_before = { "\nGET / HTTP/1.1\r\nHost: a\r\n\r\n" },
)]
fn heads_with_bare_line_feeds_are_rejected(head: &str) {
    assert!(matches!(parse_request(head.as_bytes(), 4_096), Err(ParseError::Syntax(_))));
}
