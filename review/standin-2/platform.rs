//! The platform's store, as PROTOCOL.md describes it, and the JSON that it needs.
//!
//! Each entry node reaches the store at an address of its own, so that the store can reject one
//! machine while it serves the others.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// How one address of the store treats its callers.
pub const SERVING: u8 = 0;
/// Calls get no answer.
pub const SILENT: u8 = 1;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        Json::value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    fn skip_space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip_space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Json::skip_space(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Json::value(bytes, at)? else { return None };
                            Json::skip_space(bytes, at);
                            if bytes.get(*at) != Some(&b':') {
                                return None;
                            }
                            *at += 1;
                            map.insert(name, Json::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Json::skip_space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()));
                        }
                        b'\\' => {
                            *at += 1;
                            match *bytes.get(*at)? {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let hex =
                                        std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    let mut buffer = [0; 4];
                                    let char = char::from_u32(code).unwrap_or('?');
                                    text.extend_from_slice(
                                        char.encode_utf8(&mut buffer).as_bytes(),
                                    );
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                            *at += 1;
                        }
                        byte => {
                            text.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => Json::word(at, 4, Json::Bool),
            b'f' => Json::word(at, 5, Json::Bool),
            b'n' => Json::word(at, 4, Json::Null),
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(at: &mut usize, length: usize, value: Json) -> Option<Json> {
        *at += length;
        Some(value)
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number =
            part.iter().fold(0_u32, |n, b| (n << 8) | u32::from(*b)) << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(DIGITS[(number >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<RowName, (String, u64)>,
    /// Each change: its version, the row, and the value unless the row was dropped.
    history: Vec<(u64, RowName, Option<String>)>,
}

impl Rows {
    fn commit(&mut self, writes: Vec<(RowName, Option<String>)>) -> u64 {
        self.ver += 1;
        for (name, value) in writes {
            match &value {
                Some(value) => drop(self.rows.insert(name.clone(), (value.clone(), self.ver))),
                None => drop(self.rows.remove(&name)),
            }
            self.history.push((self.ver, name, value));
        }
        self.ver
    }
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    began: Instant,
}

impl Store {
    pub fn new(began: Instant) -> Store {
        Store { rows: Arc::default(), began }
    }

    /// Writes a row as the operator or an endpoint does; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.rows.lock().unwrap().commit(vec![(name, Some(base64(value.as_bytes())))])
    }

    /// Serves the store at one more address; returns it, and how it treats its callers.
    pub fn serve(&self) -> (SocketAddr, Arc<AtomicU8>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let (mode, store) = (Arc::new(AtomicU8::new(SERVING)), self.clone());
        let result = (addr, mode.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, mode) = (store.clone(), mode.clone());
                std::thread::spawn(move || store.serve_connection(stream, &mode));
            }
        });
        result
    }

    fn serve_connection(&self, stream: TcpStream, mode: &AtomicU8) {
        let _ = stream.set_nodelay(true);
        let mut reader = http::Reader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = reader.request() {
            // An answer takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = match mode.load(Ordering::SeqCst) {
                SERVING => self.respond(&request, mode),
                _ => (0, String::new()),
            };
            if status == 0 {
                while mode.load(Ordering::SeqCst) == SILENT {
                    std::thread::sleep(Duration::from_millis(10));
                }
                // A connection on which an answer is lost delivers nothing further.
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &http::Request, mode: &AtomicU8) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or("", |(_, value)| value).to_owned()
        };
        match path {
            "/v1/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let listed: Vec<String> = rows
                    .rows
                    .iter()
                    .filter(|((table, part, _), _)| {
                        *table == param("Table") && *part == param("part")
                    })
                    .map(|(name, (value, ver))| row_json(name, Some(value), *ver))
                    .collect();
                (200, self.body(&rows, &listed, ",\"HasMore\":false"))
            }
            "/v1/rows-feed" => {
                let after: u64 = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("WaitMs").parse().unwrap_or(0));
                let asked_at = Instant::now();
                loop {
                    match mode.load(Ordering::SeqCst) {
                        SERVING => {}
                        _ => return (0, String::new()),
                    }
                    {
                        let rows = self.rows.lock().unwrap();
                        let changes = rows.history.iter();
                        let changed: Vec<String> = changes
                            .filter(|(ver, (table, ..), _)| {
                                *ver > after && *table == param("Table")
                            })
                            .map(|(ver, name, value)| row_json(name, value.as_ref(), *ver))
                            .collect();
                        if !changed.is_empty() || asked_at.elapsed() >= wait {
                            return (200, self.body(&rows, &changed, ""));
                        }
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            "/v1/rows-tx" => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let name = |row: &Json| (row.text("Table"), row.text("part"), row.text("Key"));
        let mut rows = self.rows.lock().unwrap();
        let holds = call.list("Precondition").iter().all(|row| {
            let ver = rows.rows.get(&name(row)).map_or(0, |(_, ver)| *ver);
            ver as f64 == row.number("Ver")
        });
        if !holds {
            return (412, self.body(&rows, &[], ""));
        }
        let mut writes: Vec<(RowName, Option<String>)> = Vec::new();
        writes.extend(call.list("Writes").iter().map(|row| (name(row), Some(row.text("Value")))));
        writes.extend(call.list("Delete").iter().map(|row| (name(row), None)));
        if writes.iter().any(|((table, ..), _)| table == "op" || table == "servers") {
            return (403, "{}".to_owned());
        }
        rows.commit(writes);
        (200, self.body(&rows, &[], ""))
    }

    fn body(&self, rows: &Rows, listed: &[String], more: &str) -> String {
        let now_ms = self.began.elapsed().as_millis();
        format!("{{\"Rows\":[{}]{more},\"Ver\":{},\"NowMs\":{now_ms}}}", listed.join(","), rows.ver)
    }
}

fn row_json((table, part, key): &RowName, value: Option<&String>, ver: u64) -> String {
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Removed\":true".to_owned(),
    };
    format!("{{\"Table\":\"{table}\",\"part\":\"{part}\",\"Key\":\"{key}\",{value},\"Ver\":{ver}}}")
}
