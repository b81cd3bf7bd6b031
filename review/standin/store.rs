//! The platform's store: the rows of the operator and of the endpoints, and their feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{response, Conn, Message};
use crate::Context;

/// Time of an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Rows {
    ver: u64,
    /// Value (base64) and version by table and key; a value of `None` is a removed row.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

/// The store; clones share their rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(context: &Arc<Context>) -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store { rows: Arc::default(), addr: listener.local_addr()? };
        let (serving, context) = (store.clone(), context.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, context) = (serving.clone(), context.clone());
                std::thread::spawn(move || store.serve(Conn::new(stream), &context));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or an endpoint does.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.write(table, key, Some(base64(json.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut rows = self.rows.0.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert((table.to_owned(), key.to_owned()), (value, ver));
        self.rows.1.notify_all();
        ver
    }

    fn serve(&self, mut conn: Conn, context: &Context) {
        while let Ok(Some(request)) = conn.read() {
            if context.is_stopped() {
                return;
            }
            std::thread::sleep(ANSWER_TIME);
            let body = self.respond(&request);
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", "0".to_owned())];
            if conn.write(&response(200, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> String {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let table = param("Table").unwrap_or_default();
        let number = |name: &str| param(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/v1/rows-get" => {
                let rows = self.rows.0.lock().unwrap();
                let found: Vec<String> = rows
                    .rows
                    .iter()
                    .filter(|((t, _), (value, _))| *t == table && value.is_some())
                    .map(|((t, key), row)| row_json(t, key, row))
                    .collect();
                listing(&found, rows.ver)
            }
            "/v1/rows-feed" => {
                let after = number("after").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
                let mut rows = self.rows.0.lock().unwrap();
                loop {
                    let mut changed: Vec<(u64, String)> = rows
                        .rows
                        .iter()
                        .filter(|((t, _), (_, ver))| *t == table && *ver > after)
                        .map(|((t, key), row)| (row.1, row_json(t, key, row)))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        changed.sort();
                        let found: Vec<String> = changed.into_iter().map(|(_, row)| row).collect();
                        return listing(&found, rows.ver);
                    }
                    rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
                }
            }
            // Audit records of the system, which nothing in these scripts reads.
            "/v1/rows-tx" => {
                let ver = self.write("audit", &format!("{:p}", request), None);
                format!("{{\"Ver\":{ver},\"NowMs\":1}}")
            }
            _ => "{}".to_owned(),
        }
    }
}

fn listing(rows: &[String], ver: u64) -> String {
    format!("{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{ver},\"NowMs\":1}}", rows.join(","))
}

fn row_json(table: &str, key: &str, (value, ver): &(Option<String>, u64)) -> String {
    let rest = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Removed\":true".to_owned(),
    };
    format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Ver\":{ver},{rest}}}")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
