//! Incremental decoding of message bodies.

use bytes::{Bytes, BytesMut};

use super::grammar;
use super::head::{Framing, ParseError};

/// Maximum length of a chunk size line including chunk extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum length of the trailer section in bytes, not counting line endings.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// The last chunk and the empty trailer section, which end a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The next part of the body, without chunk framing.
    Data(Bytes),
    /// The buffer holds too few bytes; more must be received first.
    NeedMore,
    /// The body is complete; the remaining bytes belong to the next message.
    End,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Remaining bytes of a body with a known length.
    Fixed(u64),
    ChunkSize,
    /// Remaining bytes of the current chunk.
    ChunkData(u64),
    ChunkEnd,
    /// Bytes that the trailer section may still have.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Decodes one message body from a byte stream.
#[derive(Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: Framing) -> Decoder {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(length) => State::Fixed(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder { state }
    }

    /// Returns true once the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Returns true when the end of the body is marked by the end of the connection.
    pub fn is_close_delimited(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Removes the next part of the body from the front of `buf` and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError`] when the chunked coding or the trailer section violates RFC 9112 or
    /// is too long. The position of the next message is then unknown, so the connection cannot be
    /// reused.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Progress, ParseError> {
        loop {
            match self.state {
                State::Done => return Ok(Progress::End),
                _ if buf.is_empty() => return Ok(Progress::NeedMore),
                State::UntilClose => return Ok(Progress::Data(buf.split().freeze())),
                State::Fixed(left) => {
                    let data = take_up_to(buf, left);
                    self.state = match left - data.len() as u64 {
                        0 => State::Done,
                        left => State::Fixed(left),
                    };
                    return Ok(Progress::Data(data));
                }
                State::ChunkData(left) => {
                    let data = take_up_to(buf, left);
                    self.state = match left - data.len() as u64 {
                        0 => State::ChunkEnd,
                        left => State::ChunkData(left),
                    };
                    return Ok(Progress::Data(data));
                }
                State::ChunkSize => match take_chunk_size(buf)? {
                    Some(0) => self.state = State::Trailer(MAX_TRAILER_BYTES),
                    Some(size) => self.state = State::ChunkData(size),
                    None => return Ok(Progress::NeedMore),
                },
                State::ChunkEnd if buf.len() < 2 => return Ok(Progress::NeedMore),
                State::ChunkEnd if buf.starts_with(b"\r\n") => {
                    let _ = buf.split_to(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkEnd => return Err(ParseError::Framing("a chunk longer than its size")),
                State::Trailer(left) => match take_trailer_line(buf, left)? {
                    Some(0) => self.state = State::Done,
                    Some(length) => self.state = State::Trailer(left - length),
                    None => return Ok(Progress::NeedMore),
                },
            }
        }
    }
}

fn take_up_to(buf: &mut BytesMut, max_bytes: u64) -> Bytes {
    let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(buf.len());
    buf.split_to(length).freeze()
}

/// Removes a line that ends with CRLF from `buf` and returns it without the CRLF; `None` when the
/// line is still incomplete.
///
/// Rejects a bare CR or LF. Some HTTP implementations treat it as the end of a line and others do
/// not, so bytes that one of them reads as the rest of the line are a separate request to the
/// other.
fn take_line(
    buf: &mut BytesMut,
    max_bytes: usize,
    too_long: ParseError,
) -> Result<Option<BytesMut>, ParseError> {
    let Some(at) = buf.iter().position(|byte| matches!(byte, b'\r' | b'\n')) else {
        return if buf.len() > max_bytes { Err(too_long) } else { Ok(None) };
    };
    match &buf[at..] {
        _ if at > max_bytes => Err(too_long),
        [b'\r'] => Ok(None),
        [b'\r', b'\n', ..] => {
            let mut line = buf.split_to(at + 2);
            line.truncate(at);
            Ok(Some(line))
        }
        _ => Err(ParseError::Framing("a line that does not end with CRLF")),
    }
}

/// Removes a chunk size line from `buf` and returns the size; `None` when the line is still
/// incomplete.
fn take_chunk_size(buf: &mut BytesMut) -> Result<Option<u64>, ParseError> {
    let invalid_size = || ParseError::Framing("a broken chunk size");
    let Some(line) = take_line(buf, MAX_CHUNK_LINE_BYTES, invalid_size())? else { return Ok(None) };
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (size, extensions) = line.split_at(digits);
    match std::str::from_utf8(size).ok().and_then(|size| u64::from_str_radix(size, 16).ok()) {
        Some(size) if grammar::is_chunk_extensions(extensions) => Ok(Some(size)),
        _ => Err(invalid_size()),
    }
}

/// Removes one line of the trailer section from `buf` and returns its length in bytes without the
/// CRLF; `None` when the line is still incomplete.
///
/// Trailer fields are discarded: they apply to one connection only, unless both sides agreed
/// otherwise.
fn take_trailer_line(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<usize>, ParseError> {
    match take_line(buf, max_bytes, ParseError::TooLong)? {
        None => Ok(None),
        Some(line) if line.is_empty() || grammar::is_field_line(&line) => Ok(Some(line.len())),
        Some(_) => Err(ParseError::Framing("a broken trailer")),
    }
}

/// Encodes `data` as one chunk of a chunked body.
///
/// An empty `data` gives [`LAST_CHUNK`], which ends the body.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}
