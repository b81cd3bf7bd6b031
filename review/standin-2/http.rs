//! As much of HTTP/1.1 as the stand-ins need: messages with a length or without a body.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(length) if length > 0 => {
                self.buffer.extend_from_slice(&bytes[..length]);
                true
            }
            _ => false,
        }
    }

    /// Reads the first line and the headers of a message.
    fn head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        let end = loop {
            match self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(end) => break end,
                None if !self.fill() => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
        Some((first, headers.collect()))
    }

    /// Reads `length` bytes; fewer if the connection ends before.
    fn bytes(&mut self, length: usize) -> Vec<u8> {
        while self.buffer.len() < length && self.fill() {}
        let end = length.min(self.buffer.len());
        self.buffer.drain(..end).collect()
    }

    /// Reads a chunked body; `None` if it does not come to its end.
    fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match self.buffer.windows(2).position(|window| window == b"\r\n") {
                    Some(end) => break end,
                    None if !self.fill() => return None,
                    None => {}
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let chunk = self.bytes(size + 2);
            if chunk.len() < size + 2 {
                return None;
            }
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// Reads the next request; `None` at the end of the connection.
    pub fn request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let chunked = header(&headers, "transfer-encoding").is_some();
        let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
        let body = match chunked {
            true => self.chunks()?,
            false => {
                let length = length.unwrap_or(0);
                let body = self.bytes(length);
                if body.len() < length {
                    return None;
                }
                body
            }
        };
        Some(Request { method, target, headers, body })
    }

    /// Reads a response; `None` if it does not come to its end.
    pub fn response(&mut self) -> Option<Response> {
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        match header(&headers, "transfer-encoding") {
            Some(_) => drop(self.chunks()?),
            None => {
                let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
                if self.bytes(length.unwrap_or(0)).len() < length.unwrap_or(0) {
                    return None;
                }
            }
        }
        Some(Response { status, headers })
    }
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends one request over a new connection; `None` if the connection ends without a response.
pub fn send(addr: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let began = Instant::now();
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let response = Reader::new(stream).response();
    response.filter(|_| began.elapsed() < timeout + Duration::from_millis(100))
}
