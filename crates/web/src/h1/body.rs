//! Bodies: taking them out of the bytes received, piece by piece.

use bytes::{Bytes, BytesMut};

use super::grammar;
use super::head::{Framing, Malformed};

/// Longest line that gives a chunk's size, with extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Longest trailer section after the last chunk, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// What could be taken out of the bytes at hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Some of the body.
    Data(Bytes),
    /// More bytes must be received first.
    NeedMore,
    /// The body is complete; what follows belongs to the next message.
    End,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// This many bytes of a body with a length are left.
    Fixed(u64),
    ChunkSize,
    /// This many bytes of the current chunk are left.
    ChunkData(u64),
    ChunkEnd,
    /// The trailer section may have this many bytes more.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Takes one body out of a stream of bytes.
#[derive(Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Creates the decoder of a body that ends as `framing` says.
    pub fn new(framing: Framing) -> Decoder {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(length) => State::Fixed(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder { state }
    }

    /// Returns true once the whole body was taken.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Returns true when the end of the connection ends the body too.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Takes the next piece out of `buf`.
    ///
    /// # Errors
    ///
    /// [`Malformed`] when chunks are not as RFC 9112 has them; the connection is then useless.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match self.state {
                State::Done => return Ok(Piece::End),
                _ if buf.is_empty() => return Ok(Piece::NeedMore),
                State::UntilClose => return Ok(Piece::Data(buf.split().freeze())),
                State::Fixed(left) => {
                    let data = take(buf, left);
                    self.state = match left - data.len() as u64 {
                        0 => State::Done,
                        left => State::Fixed(left),
                    };
                    return Ok(Piece::Data(data));
                }
                State::ChunkData(left) => {
                    let data = take(buf, left);
                    self.state = match left - data.len() as u64 {
                        0 => State::ChunkEnd,
                        left => State::ChunkData(left),
                    };
                    return Ok(Piece::Data(data));
                }
                State::ChunkSize => match chunk_size(buf)? {
                    Some(0) => self.state = State::Trailer(MAX_TRAILER_BYTES),
                    Some(size) => self.state = State::ChunkData(size),
                    None => return Ok(Piece::NeedMore),
                },
                State::ChunkEnd if buf.len() < 2 => return Ok(Piece::NeedMore),
                State::ChunkEnd if buf.starts_with(b"\r\n") => {
                    let _ = buf.split_to(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkEnd => return Err(Malformed::Framing("a chunk longer than its size")),
                State::Trailer(left) => match trailer_line(buf, left)? {
                    Some(0) => self.state = State::Done,
                    Some(length) => self.state = State::Trailer(left - length),
                    None => return Ok(Piece::NeedMore),
                },
            }
        }
    }
}

fn take(buf: &mut BytesMut, most: u64) -> Bytes {
    let length = usize::try_from(most).unwrap_or(usize::MAX).min(buf.len());
    buf.split_to(length).freeze()
}

/// Takes a line that ends with CRLF out of `buf`, without that end; `None` when it is not whole yet.
///
/// A bare CR or LF is refused: some readers end a line there and others do not, and what one of them
/// takes for the rest of a line is a request of its own for the other.
fn line(
    buf: &mut BytesMut,
    most_bytes: usize,
    too_long: Malformed,
) -> Result<Option<BytesMut>, Malformed> {
    let Some(at) = buf.iter().position(|byte| matches!(byte, b'\r' | b'\n')) else {
        return if buf.len() > most_bytes { Err(too_long) } else { Ok(None) };
    };
    match &buf[at..] {
        _ if at > most_bytes => Err(too_long),
        [b'\r'] => Ok(None),
        [b'\r', b'\n', ..] => {
            let mut line = buf.split_to(at + 2);
            line.truncate(at);
            Ok(Some(line))
        }
        _ => Err(Malformed::Framing("a line that does not end with CRLF")),
    }
}

/// Takes a chunk's size line; `None` when it is not whole yet.
fn chunk_size(buf: &mut BytesMut) -> Result<Option<u64>, Malformed> {
    let broken = || Malformed::Framing("a broken chunk size");
    let Some(line) = line(buf, MAX_CHUNK_LINE_BYTES, broken())? else { return Ok(None) };
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (size, extensions) = line.split_at(digits);
    match std::str::from_utf8(size).ok().and_then(|size| u64::from_str_radix(size, 16).ok()) {
        Some(size) if grammar::is_chunk_extensions(extensions) => Ok(Some(size)),
        _ => Err(broken()),
    }
}

/// Takes one line of the trailer section and returns its length; `None` when it is not whole yet.
///
/// Trailer fields are dropped: they concern one connection only unless both sides agreed on more.
fn trailer_line(buf: &mut BytesMut, most_bytes: usize) -> Result<Option<usize>, Malformed> {
    match line(buf, most_bytes, Malformed::TooLong)? {
        None => Ok(None),
        Some(line) if line.is_empty() || grammar::is_field_line(&line) => Ok(Some(line.len())),
        Some(_) => Err(Malformed::Framing("a broken trailer")),
    }
}

/// Returns `data` as one chunk of a chunked body.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}
