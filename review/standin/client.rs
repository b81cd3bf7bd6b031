//! Clients with kept connections, which retry once where an answer promises that the request has
//! not run.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::Context;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub method: &'static str,
    pub prefix: &'static str,
    pub idempotent: bool,
    pub deadline: Duration,
    /// Key of the client's tenant; `None` where clients need none.
    pub key: Option<&'static str>,
}

/// When a client sends: at each tick, a little later than others.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub began: Instant,
    pub tick: Duration,
    pub offset: Duration,
}

impl Pace {
    /// Waits for the next time to send.
    fn wait(&self) {
        let elapsed = self.began.elapsed();
        let ticks = elapsed.as_nanos() / self.tick.as_nanos() + 1;
        let next = self.tick * ticks as u32 + self.offset;
        std::thread::sleep(next.saturating_sub(elapsed));
    }
}

/// One client attempt and how it ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request_id: String,
    /// The work that the client wants done: the same for an attempt and its retry.
    pub operation: String,
    pub idempotent: bool,
    pub sent_at: Instant,
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Endpoint that answered a health check whose answer this is.
    pub instance_id: Option<String>,
    pub is_signed: bool,
    /// Whether the body is the answer to this request.
    pub is_own: bool,
}

/// Sends requests from one client until `until`.
pub fn run(
    context: &Arc<Context>,
    index: usize,
    front: SocketAddr,
    kinds: &[Kind],
    pace: Pace,
    until: Instant,
    attempts: &Arc<Mutex<Vec<Attempt>>>,
) {
    let mut conn: Option<Conn> = None;
    let mut number = 0;
    while Instant::now() < until && !context.is_stopped() {
        pace.wait();
        let kind = kinds[number % kinds.len()];
        let operation = format!("{index}-{number}");
        number += 1;
        let give_up_at = Instant::now() + kind.deadline;
        let mut outcome = send(context, &mut conn, front, kind, &operation, 1, give_up_at);
        let promise = matches!(outcome.0.status, 408 | 421 | 429 | 503);
        if promise || (kind.idempotent && outcome.0.status != 200) {
            let left = give_up_at.saturating_duration_since(Instant::now());
            let stated = outcome.1.as_ref().and_then(|answer| answer.header("retry-after"));
            let stated = stated.and_then(|text| text.parse().ok()).unwrap_or(0.05);
            let waited = Duration::from_secs_f64(stated).min(left / 3);
            attempts.lock().unwrap().push(outcome.0);
            std::thread::sleep(waited);
            conn = None;
            outcome = send(context, &mut conn, front, kind, &operation, 2, give_up_at);
        }
        attempts.lock().unwrap().push(outcome.0);
    }
}

fn send(
    context: &Context,
    conn: &mut Option<Conn>,
    front: SocketAddr,
    kind: Kind,
    operation: &str,
    try_number: u32,
    give_up_at: Instant,
) -> (Attempt, Option<Message>) {
    let request_id = format!("{:04x}{operation}-{try_number}", std::process::id() as u16);
    let left = give_up_at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let body =
        if kind.method == "POST" { format!("operation {operation}\n") } else { String::new() };
    let target = format!("{}{operation}", kind.prefix);
    let mut head = format!(
        "{} {target} HTTP/1.1\r\nHost: boards.example\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {}\r\n",
        kind.method,
        left.as_millis()
    );
    if let Some(key) = kind.key {
        head.push_str(&format!("Authorization: Bearer {key}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    let request = format!("{head}\r\n{body}");
    let sent_at = Instant::now();
    let answer = exchange(conn, front, request.as_bytes(), left);
    let status = answer.as_ref().map_or(0, Message::status);
    let header = |name: &str| answer.as_ref().and_then(|answer| answer.header(name));
    let text = answer.as_ref().map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let attempt = Attempt {
        request_id: request_id.clone(),
        operation: operation.to_owned(),
        idempotent: kind.idempotent,
        sent_at,
        status,
        instance_id: header("x-instance-id").map(str::to_owned),
        is_signed: header("x-server-signature").is_some(),
        is_own: text.is_some_and(|text| is_answer_to(&text, &request_id)),
    };
    let headers: Vec<String> = answer
        .iter()
        .flat_map(|answer| &answer.headers)
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    context.log(format_args!(
        "client {} {target} as {request_id}: {status} [{}]",
        kind.method,
        headers.join("; ")
    ));
    if answer.as_ref().is_none_or(|answer| answer.header("connection").is_some()) {
        *conn = None;
    }
    (attempt, answer)
}

fn exchange(
    conn: &mut Option<Conn>,
    front: SocketAddr,
    request: &[u8],
    timeout: Duration,
) -> Option<Message> {
    if conn.is_none() {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        *conn = Some(Conn::new(stream));
    }
    let open = conn.as_mut()?;
    open.stream.set_read_timeout(Some(timeout)).ok()?;
    open.write(request).ok()?;
    open.read().ok().flatten()
}

/// Returns true if a body is that of the answer to a request.
fn is_answer_to(body: &str, request_id: &str) -> bool {
    body.starts_with(&format!("the answer to {request_id}\n"))
}

/// One of several requests that a client sent on its connection at once.
#[derive(Clone, Debug)]
pub struct Pipelined {
    pub request_id: String,
    /// How many requests were sent before it at once.
    pub position: usize,
    /// Status; 0 if its answer did not come, or not whole, before the connection ended.
    pub status: u16,
    pub is_own: bool,
    /// Whether an earlier answer said that the connection closes after it.
    pub is_behind_close: bool,
}

/// Sends `depth` requests at once at each tick, on a connection that it keeps.
pub fn run_pipelining(
    context: &Arc<Context>,
    index: usize,
    front: SocketAddr,
    (kind, depth): (Kind, usize),
    pace: Pace,
    until: Instant,
    requests: &Arc<Mutex<Vec<Pipelined>>>,
) {
    let mut conn: Option<Conn> = None;
    let mut number = 0;
    while Instant::now() < until && !context.is_stopped() {
        pace.wait();
        if conn.is_none() {
            let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1));
            conn = stream.ok().map(Conn::new);
        }
        let Some(open) = conn.as_mut() else { continue };
        let _ = open.stream.set_read_timeout(Some(kind.deadline));
        let ids: Vec<String> = (0..depth)
            .map(|offset| format!("{:04x}{index}-{}", std::process::id() as u16, number + offset))
            .collect();
        number += depth;
        let request = |id: &String| {
            format!(
                "GET {}{id} HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
                kind.prefix,
                kind.deadline.as_millis()
            )
        };
        let bytes: String = ids.iter().map(request).collect();
        let mut is_open = open.write(bytes.as_bytes()).is_ok();
        let mut is_behind_close = false;
        for (position, request_id) in ids.into_iter().enumerate() {
            let answer = if is_open { open.read().ok().flatten() } else { None };
            let status = answer.as_ref().map_or(0, Message::status);
            let is_own = answer.as_ref().is_some_and(|answer| {
                is_answer_to(&String::from_utf8_lossy(&answer.body), &request_id)
            });
            context.log(format_args!("client GET {request_id}, behind {position}: {status}"));
            let pipelined = Pipelined { request_id, position, status, is_own, is_behind_close };
            requests.lock().unwrap().push(pipelined);
            is_open &= status != 0;
            is_behind_close |= answer.is_some_and(|answer| answer.header("connection").is_some());
        }
        if !is_open || is_behind_close {
            conn = None;
        }
    }
}
