//! Message heads: parsing with the framing they announce, and writing.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use quick_error::quick_error;
use smol_str::SmolStr;

use super::grammar;

/// Headers a message may have; more are refused.
const MAX_HEADERS: usize = 100;

/// Longest head of a response that is read, in bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Room set aside for a head that is written, in bytes; most heads are shorter.
const HEAD_ROOM_BYTES: usize = 512;

/// How a message's body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with its connection (responses only).
    UntilClose,
}

quick_error! {
    /// Why a head was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Malformed {
        /// The bytes are not a head as RFC 9112 has it.
        Syntax(message: String) {
            display("malformed head: {}", message)
        }
        /// The head is longer than allowed.
        TooLong {
            display("head too long")
        }
        /// The length of the body can be read in more than one way.
        Framing(message: &'static str) {
            display("ambiguous body length: {}", message)
        }
        /// The request names no host, several, or one that is no host.
        Host {
            display("exactly one valid Host header is required")
        }
        /// The request target is in a form that a gateway does not serve.
        Target {
            display("unsupported request target")
        }
        /// The body has a transfer coding other than chunked.
        Coding {
            display("unsupported transfer coding")
        }
    }
}

impl Malformed {
    /// Returns the status that a server answers such a request with.
    pub fn status(&self) -> StatusCode {
        match self {
            Malformed::TooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Malformed::Coding => StatusCode::NOT_IMPLEMENTED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query as sent; always begins with a slash.
    pub target: SmolStr,
    /// Host without its port, in lower case; empty only in HTTP/1.0.
    pub host: SmolStr,
    /// All headers.
    pub headers: HeaderMap,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may serve another request afterwards.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may serve another request afterwards.
    pub keep_alive: bool,
}

/// Parses a request head at the start of `bytes`.
///
/// Returns the head and its length in bytes, or `None` when more bytes are needed.
///
/// # Errors
///
/// [`Malformed`] when the head is longer than `max_bytes`, breaks the syntax,
/// or leaves the length of its body or its host open to interpretation.
pub fn parse_request(
    bytes: &[u8],
    max_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut slots);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if bytes.len() < max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Malformed::TooLong),
        Err(err) => return Err(Malformed::Syntax(err.to_string())),
    };
    check_line_ends(&bytes[..length])?;
    let headers = header_map(parsed.headers)?;
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes())
        .map_err(|err| Malformed::Syntax(err.to_string()))?;
    let http11 = parsed.version == Some(1);
    let framing = match body_length(&headers, http11)? {
        Some(framing) => framing,
        None => Framing::Empty,
    };
    let (authority, target) = split_target(parsed.path.unwrap_or_default())?;
    let host = host(&headers, authority, http11)?;
    let keep_alive = http11 && !connection_has(&headers, "close");
    let head = RequestHead { method, target: target.into(), host, headers, framing, keep_alive };
    Ok(Some((head, length)))
}

/// Parses the head of a response to a `method` request at the start of `bytes`.
///
/// Returns the head and its length in bytes, or `None` when more bytes are needed.
///
/// # Errors
///
/// [`Malformed`] as for requests.
pub fn parse_response(
    bytes: &[u8],
    method: &Method,
) -> Result<Option<(ResponseHead, usize)>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut slots);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_RESPONSE_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(Malformed::TooLong),
        Err(err) => return Err(Malformed::Syntax(err.to_string())),
    };
    check_line_ends(&bytes[..length])?;
    let headers = header_map(parsed.headers)?;
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default())
        .map_err(|err| Malformed::Syntax(err.to_string()))?;
    let http11 = parsed.version == Some(1);
    let bodyless = *method == Method::HEAD
        || status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framing = match body_length(&headers, http11)? {
        _ if bodyless => Framing::Empty,
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let keep_alive = http11 && framing != Framing::UntilClose && !connection_has(&headers, "close");
    Ok(Some((ResponseHead { status, headers, framing, keep_alive }, length)))
}

/// Refuses heads with lines that do not end with CRLF.
///
/// The parser takes a bare LF for the end of a line. A peer that does not would read one field where
/// this side reads two, such as a second length.
fn check_line_ends(head: &[u8]) -> Result<(), Malformed> {
    match grammar::has_sound_line_ends(head) {
        true => Ok(()),
        false => Err(Malformed::Syntax("a line that does not end with CRLF".to_owned())),
    }
}

fn header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, Malformed> {
    let syntax = |message: String| Malformed::Syntax(message);
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|err| syntax(err.to_string()))?;
        let value = HeaderValue::from_bytes(header.value).map_err(|err| syntax(err.to_string()))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns how the headers say the body ends; `None` when they say nothing.
fn body_length(headers: &HeaderMap, http11: bool) -> Result<Option<Framing>, Malformed> {
    let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(Malformed::Framing("both a length and a transfer coding")),
        (Some(_), None) if !http11 => Err(Malformed::Framing("a transfer coding in HTTP/1.0")),
        (Some(_), None) if codings.next().is_some() => {
            Err(Malformed::Framing("several transfer codings"))
        }
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Some(_), None) => Err(Malformed::Coding),
        (None, Some(_)) if lengths.next().is_some() => Err(Malformed::Framing("several lengths")),
        (None, Some(length)) => match decimal(length.as_bytes()) {
            Some(0) => Ok(Some(Framing::Empty)),
            Some(length) => Ok(Some(Framing::Length(length))),
            None => Err(Malformed::Framing("a length that is no number")),
        },
    }
}

/// Reads digits only: `+5` and `5, 5` are read differently by different peers.
fn decimal(digits: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(digits).ok()?;
    match !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) {
        true => text.parse().ok(),
        false => None,
    }
}

/// Splits a request target into its authority, if it has one, and its path and query.
fn split_target(target: &str) -> Result<(Option<&str>, &str), Malformed> {
    let absolute = target.get(..7).filter(|scheme| scheme.eq_ignore_ascii_case("http://"));
    match absolute {
        None if target.starts_with('/') && !target.contains('#') => Ok((None, target)),
        None => Err(Malformed::Target),
        Some(scheme) => {
            let rest = &target[scheme.len()..];
            match rest.find('/') {
                Some(at) if at > 0 && !target.contains('#') => Ok((Some(&rest[..at]), &rest[at..])),
                _ => Err(Malformed::Target),
            }
        }
    }
}

/// Returns the host a request is for: of its target, else of its one `Host` header.
fn host(headers: &HeaderMap, authority: Option<&str>, http11: bool) -> Result<SmolStr, Malformed> {
    let mut hosts = headers.get_all(http::header::HOST).iter();
    let named = match (hosts.next(), hosts.next()) {
        (Some(host), None) => Some(host.to_str().map_err(|_| Malformed::Host)?),
        (None, _) if !http11 => None,
        _ => return Err(Malformed::Host),
    };
    let full = authority.or(named).unwrap_or_default();
    let valid = full.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~:[]%".contains(&b));
    let required = http11 && full.is_empty();
    let (name, port) = match full.rsplit_once(':') {
        Some((name, port)) if !port.ends_with(']') => (name, port),
        _ => (full, ""),
    };
    match valid && !required && port.bytes().all(|b| b.is_ascii_digit()) {
        true => Ok(SmolStr::from(name.to_ascii_lowercase())),
        false => Err(Malformed::Host),
    }
}

/// Returns true when a `Connection` header of `headers` lists `option`.
fn connection_has(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(http::header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(option))
}

/// Writes the head of a request to `target`.
pub fn write_request(method: &Method, target: &str, headers: &HeaderMap) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_ROOM_BYTES);
    out.extend_from_slice(method.as_str().as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&mut out, headers);
    out
}

/// Writes the head of a response.
pub fn write_response(status: StatusCode, headers: &HeaderMap) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_ROOM_BYTES);
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.as_str().as_bytes());
    out.push(b' ');
    out.extend_from_slice(status.canonical_reason().unwrap_or("Unknown").as_bytes());
    out.extend_from_slice(b"\r\n");
    write_headers(&mut out, headers);
    out
}

fn write_headers(out: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
}
