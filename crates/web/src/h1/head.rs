//! Parsing and serialization of message heads, including the framing of the body.

use http::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, COOKIE};
use http::{Method, StatusCode};
use quick_error::quick_error;
use smol_str::SmolStr;

use super::grammar;

/// Maximum number of headers in a message; messages with more are rejected.
const MAX_HEADERS: usize = 100;

/// Maximum length of an incomplete response head that is buffered, in bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Initial capacity of the buffer that a head is written to, in bytes; most heads are shorter.
const INITIAL_HEAD_CAPACITY_BYTES: usize = 512;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes (responses only).
    UntilClose,
}

quick_error! {
    /// Reasons for rejecting a message.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ParseError {
        /// The head violates the grammar of RFC 9112.
        Syntax(message: String) {
            display("malformed head: {}", message)
        }
        /// The head, the trailer section or a fully buffered body is longer than allowed.
        TooLong {
            display("head too long")
        }
        /// The body does not fit into the memory that all bodies may take.
        NoMemory {
            display("no memory for the body")
        }
        /// The length of the body is ambiguous or invalid.
        Framing(message: &'static str) {
            display("ambiguous body length: {}", message)
        }
        /// The request has no host, several hosts or an invalid one.
        Host {
            display("exactly one valid Host header is required")
        }
        /// The request target is in a form that a gateway does not support.
        Target {
            display("unsupported request target")
        }
        /// The message has a transfer coding other than chunked.
        TransferCoding {
            display("unsupported transfer coding")
        }
    }
}

impl ParseError {
    /// Returns the status code of the response to such a request.
    pub fn status(&self) -> StatusCode {
        match self {
            ParseError::TooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ParseError::TransferCoding => StatusCode::NOT_IMPLEMENTED,
            ParseError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query as received; always starts with a slash.
    pub target: SmolStr,
    /// Host without its port, in lower case; empty only for HTTP/1.0.
    pub host: SmolStr,
    /// All headers.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may be used for another request afterwards.
    pub keep_alive: bool,
    /// Whether the response may be chunked: callers of HTTP/1.0 know no transfer codings.
    pub accepts_chunks: bool,
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
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may be used for another request afterwards.
    pub keep_alive: bool,
}

/// Parses a request head at the start of `bytes`.
///
/// Returns the head and its length in bytes, or `None` when more bytes are needed.
///
/// # Errors
///
/// Returns [`ParseError`] when the head is longer than `max_bytes`, violates the grammar, has an
/// ambiguous body length or host, or uses an unsupported target form or transfer coding.
pub fn parse_request(
    bytes: &[u8],
    max_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, ParseError> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut header_slots);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if bytes.len() < max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ParseError::TooLong),
        Err(err) => return Err(ParseError::Syntax(err.to_string())),
    };
    check_line_endings(&bytes[..length])?;
    let headers = to_header_map(parsed.headers)?;
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes())
        .map_err(|err| ParseError::Syntax(err.to_string()))?;
    let is_http11 = parsed.version == Some(1);
    let framing = match declared_framing(&headers, is_http11)? {
        Some(framing) => framing,
        None => Framing::Empty,
    };
    let (authority, target) = split_target(parsed.path.unwrap_or_default())?;
    let host = request_host(&headers, authority, is_http11)?;
    let keep_alive = is_http11 && !has_connection_option(&headers, "close");
    let head = RequestHead {
        method,
        target: target.into(),
        host,
        headers,
        framing,
        keep_alive,
        accepts_chunks: is_http11,
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response to a `method` request at the start of `bytes`.
///
/// Returns the head and its length in bytes, or `None` when more bytes are needed.
///
/// # Errors
///
/// Returns [`ParseError`] when the head violates the grammar, has an ambiguous body length or an
/// unsupported transfer coding, or is still incomplete at [`MAX_RESPONSE_HEAD_BYTES`].
pub fn parse_response(
    bytes: &[u8],
    method: &Method,
) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut header_slots);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_RESPONSE_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ParseError::TooLong),
        Err(err) => return Err(ParseError::Syntax(err.to_string())),
    };
    check_line_endings(&bytes[..length])?;
    let headers = to_header_map(parsed.headers)?;
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default())
        .map_err(|err| ParseError::Syntax(err.to_string()))?;
    let is_http11 = parsed.version == Some(1);
    let bodyless = *method == Method::HEAD
        || status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framing = match declared_framing(&headers, is_http11)? {
        _ if bodyless => Framing::Empty,
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let keep_alive =
        is_http11 && framing != Framing::UntilClose && !has_connection_option(&headers, "close");
    Ok(Some((ResponseHead { status, headers, framing, keep_alive }, length)))
}

/// Rejects a head with lines that do not end with CRLF.
///
/// `httparse` accepts a bare LF as the end of a line. A peer that does not would read one field
/// where this side reads two, such as a second `Content-Length`.
fn check_line_endings(head: &[u8]) -> Result<(), ParseError> {
    match grammar::has_only_crlf_line_endings(head) {
        true => Ok(()),
        false => Err(ParseError::Syntax("a line that does not end with CRLF".to_owned())),
    }
}

fn to_header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, ParseError> {
    let syntax = |message: String| ParseError::Syntax(message);
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|err| syntax(err.to_string()))?;
        let mut value =
            HeaderValue::from_bytes(header.value).map_err(|err| syntax(err.to_string()))?;
        // Keeps credentials out of `Debug` output.
        value.set_sensitive(name == AUTHORIZATION || name == COOKIE);
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns the body framing that the headers declare; `None` when they declare none.
fn declared_framing(headers: &HeaderMap, is_http11: bool) -> Result<Option<Framing>, ParseError> {
    let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(ParseError::Framing("both a length and a transfer coding")),
        (Some(_), None) if !is_http11 => Err(ParseError::Framing("a transfer coding in HTTP/1.0")),
        (Some(_), None) if codings.next().is_some() => {
            Err(ParseError::Framing("several transfer codings"))
        }
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Some(_), None) => Err(ParseError::TransferCoding),
        (None, Some(_)) if lengths.next().is_some() => Err(ParseError::Framing("several lengths")),
        (None, Some(length)) => match parse_decimal(length.as_bytes()) {
            Some(0) => Ok(Some(Framing::Empty)),
            Some(length) => Ok(Some(Framing::Length(length))),
            None => Err(ParseError::Framing("a length that is no number")),
        },
    }
}

/// Parses a number that consists of digits only; `None` otherwise.
///
/// Values such as `+5` and `5, 5` are interpreted differently by different HTTP implementations.
fn parse_decimal(digits: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(digits).ok()?;
    match !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) {
        true => text.parse().ok(),
        false => None,
    }
}

/// Splits a request target into its authority, if present, and its path with query.
fn split_target(target: &str) -> Result<(Option<&str>, &str), ParseError> {
    let absolute = target.get(..7).filter(|scheme| scheme.eq_ignore_ascii_case("http://"));
    match absolute {
        None if target.starts_with('/') && !target.contains('#') => Ok((None, target)),
        None => Err(ParseError::Target),
        Some(scheme) => {
            let rest = &target[scheme.len()..];
            match rest.find('/') {
                Some(at) if at > 0 && !target.contains('#') => Ok((Some(&rest[..at]), &rest[at..])),
                _ => Err(ParseError::Target),
            }
        }
    }
}

/// Returns the host of a request from its target or else from its only `Host` header, without the
/// port and in lower case.
fn request_host(
    headers: &HeaderMap,
    authority: Option<&str>,
    is_http11: bool,
) -> Result<SmolStr, ParseError> {
    let mut hosts = headers.get_all(http::header::HOST).iter();
    let host_header = match (hosts.next(), hosts.next()) {
        (Some(host), None) => Some(host.to_str().map_err(|_| ParseError::Host)?),
        (None, _) if !is_http11 => None,
        _ => return Err(ParseError::Host),
    };
    let host_and_port = authority.or(host_header).unwrap_or_default();
    let has_valid_bytes =
        host_and_port.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~:[]%".contains(&b));
    let is_missing = is_http11 && host_and_port.is_empty();
    let (name, port) = match host_and_port.rsplit_once(':') {
        Some((name, port)) if !port.ends_with(']') => (name, port),
        _ => (host_and_port, ""),
    };
    match has_valid_bytes && !is_missing && port.bytes().all(|b| b.is_ascii_digit()) {
        true => Ok(SmolStr::from(name.to_ascii_lowercase())),
        false => Err(ParseError::Host),
    }
}

/// Returns true when a `Connection` header contains `option`.
pub(crate) fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(http::header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(option))
}

/// Serializes the head of a request for `target`.
pub fn write_request(method: &Method, target: &str, headers: &HeaderMap) -> Vec<u8> {
    let mut out = Vec::with_capacity(INITIAL_HEAD_CAPACITY_BYTES);
    out.extend_from_slice(method.as_str().as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&mut out, headers);
    out
}

/// Serializes the head of a response.
pub fn write_response(status: StatusCode, headers: &HeaderMap) -> Vec<u8> {
    let mut out = Vec::with_capacity(INITIAL_HEAD_CAPACITY_BYTES);
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
