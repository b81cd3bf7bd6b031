//! Framing against a grammar written for these tests, which reads one byte after the other and
//! takes nothing but what RFC 9112 names.

use bytes::BytesMut;
use proptest::prelude::*;

use crate::h1::{parse_request, Decoder, Framing, Malformed, Piece};

/// Reads a text from its beginning.
struct Text<'a>(&'a [u8]);

impl Text<'_> {
    fn next_if(&mut self, belongs: impl Fn(u8) -> bool) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        belongs(*first).then(|| {
            self.0 = rest;
            *first
        })
    }

    fn all_of(&mut self, belongs: impl Fn(u8) -> bool) -> Vec<u8> {
        std::iter::from_fn(|| self.next_if(&belongs)).collect()
    }

    fn is(&mut self, text: &str) -> Option<()> {
        text.bytes().try_for_each(|wanted| self.next_if(|byte| byte == wanted).map(drop))
    }

    fn token(&mut self) -> Option<()> {
        let token = |byte: u8| byte.is_ascii_graphic() && !b"\"(),/:;<=>?@[\\]{}".contains(&byte);
        (!self.all_of(token).is_empty()).then_some(())
    }

    fn blanks(&mut self) {
        self.all_of(|byte| byte == b' ' || byte == b'\t');
    }

    fn quoted(&mut self) -> Option<()> {
        self.is("\"")?;
        while self.is("\"").is_none() {
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
            self.blanks();
            self.is(";")?;
            self.blanks();
            self.token()?;
            let behind_name = self.0;
            self.blanks();
            match self.is("=") {
                None => self.0 = behind_name,
                Some(()) => {
                    self.blanks();
                    match self.0.first() {
                        Some(b'"') => self.quoted()?,
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
            self.is(":")?;
            self.all_of(is_text);
            self.is("\r\n")?;
        }
        self.is("\r\n")
    }

    /// Reads a chunked body; `None` when it is none or not whole.
    fn chunked(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let digits = self.all_of(|byte| byte.is_ascii_hexdigit());
            let digits = String::from_utf8(digits).expect("digits");
            let size = usize::from_str_radix(&digits, 16).ok()?;
            self.extensions()?;
            self.is("\r\n")?;
            if size == 0 {
                return self.fields().map(|()| body);
            }
            for _ in 0..size {
                body.push(self.next_if(|_| true)?);
            }
            self.is("\r\n")?;
        }
    }

    fn head(&mut self) -> Option<()> {
        while self.0.starts_with(b"\r\n") {
            self.is("\r\n")?;
        }
        self.token()?;
        self.is(" ")?;
        (!self.all_of(|byte| byte.is_ascii_graphic() || byte >= 0x80).is_empty()).then_some(())?;
        self.is(" HTTP/1.")?;
        self.next_if(|byte| byte == b'0' || byte == b'1')?;
        self.is("\r\n")?;
        self.fields()
    }
}

fn is_text(byte: u8) -> bool {
    byte == b'\t' || (b' '..0x7f).contains(&byte) || byte >= 0x80
}

/// Takes a chunked body out of `bytes`; `None` while it is not whole.
fn decoded(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let mut decoder = Decoder::new(Framing::Chunked);
    let mut buf = BytesMut::from(bytes);
    let mut body = Vec::new();
    loop {
        match decoder.next(&mut buf)? {
            Piece::Data(data) => body.extend_from_slice(&data),
            Piece::NeedMore => return Ok(None),
            Piece::End => return Ok(Some((body, buf.len()))),
        }
    }
}

/// Texts of pieces that are nearly chunked bodies.
fn nearly_chunked() -> impl Strategy<Value = Vec<u8>> {
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

/// Texts of pieces that are nearly request heads.
fn nearly_a_head() -> impl Strategy<Value = Vec<u8>> {
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

    /// Symptom: an upstream runs a request that was hidden in the body of another.
    /// Sequence: a chunk's size line, its end, or a trailer can be read in two ways.
    /// Cause: taking more than the grammar has.
    #[test]
    fn chunked_bodies_are_taken_exactly_when_the_grammar_has_them(bytes in nearly_chunked()) {
        let mut text = Text(&bytes);
        let strict = text.chunked().map(|body| (body, text.0.len()));
        let taken = decoded(&bytes).ok().flatten();
        prop_assert_eq!(taken, strict, "{}", bytes.escape_ascii());
    }

    /// The same for heads: whatever is taken is in the grammar (not all of the grammar is served).
    #[test]
    fn heads_that_are_taken_are_in_the_grammar(bytes in nearly_a_head()) {
        if let Ok(Some((_, length))) = parse_request(&bytes, 4_096) {
            let mut text = Text(&bytes[..length]);
            prop_assert!(text.head().is_some(), "{}", bytes.escape_ascii());
            prop_assert!(text.0.is_empty(), "{}", bytes.escape_ascii());
        }
    }
}

/// Each of these was taken once, and is read differently by some peer.
#[yare::parameterized(
    no_size = { "\r\n\r\n" },
    extension_without_size = { ";x\r\n\r\n" },
    line_feed_in_an_extension = { "3;x\n0\r\nabc\r\n0\r\n\r\n" },
    blank_behind_the_size = { "3 \r\nabc\r\n0\r\n\r\n" },
    trailer_without_a_name = { "0\r\n: y\r\n\r\n" },
    line_feed_in_a_trailer = { "0\r\nx: y\nz\r\n\r\n" },
    trailer_that_is_none = { "0\r\nGET / HTTP/1.1\r\n\r\n" },
)]
fn chunks_that_can_be_read_in_two_ways_are_refused(body: &str) {
    assert!(decoded(body.as_bytes()).is_err());
}

/// Symptom: a caller keeps a connection busy, and the node's memory, without an end.
/// Sequence: it sends trailers for as long as it likes.
/// Cause: a limit for each line but none for all of them.
#[test]
fn trailers_are_bounded_together() {
    let endless = "0\r\n".to_owned() + &"x: y\r\n".repeat(3_000);
    assert_eq!(decoded(endless.as_bytes()), Err(Malformed::TooLong));
}

#[yare::parameterized(
    request_line = { "GET / HTTP/1.1\nHost: a\r\n\r\n" },
    field = { "GET / HTTP/1.1\r\nHost: a\nContent-Length: 3\r\n\r\n" },
    last_line = { "GET / HTTP/1.1\r\nHost: a\r\n\n" },
    empty_line_before = { "\nGET / HTTP/1.1\r\nHost: a\r\n\r\n" },
)]
fn heads_with_bare_line_feeds_are_refused(head: &str) {
    assert!(matches!(parse_request(head.as_bytes(), 4_096), Err(Malformed::Syntax(_))));
}
