//! Endpoints of one service. They tell their load, and a health check takes some milliseconds.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{response, Conn, Message};
use crate::Context;

/// How the endpoints of a service behave.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub slots: usize,
    pub queue: usize,
    pub health_time: Duration,
    pub mean_work: Duration,
    /// Length of an answer's body.
    pub answer_bytes: usize,
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub endpoint: String,
    pub target: String,
    pub arrived_at: Instant,
    /// Whether the endpoint breaks off some of its answers at this time.
    pub is_disturbed: bool,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// An endpoint.
pub struct Endpoint {
    pub id: String,
    pub addr: SocketAddr,
    service: Service,
    load: Mutex<Load>,
    slot_freed: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Whether its health check fails, although it serves every request.
    pub says_ill: AtomicBool,
    /// Share of its answers, in thousandths, of which a second copy arrives late.
    pub late_copies: AtomicU64,
    /// Share of its answers, in thousandths, that it breaks off.
    pub broken_off: AtomicU64,
    /// Copies sent so far.
    pub copies_sent: AtomicU64,
    random: AtomicU64,
}

impl Endpoint {
    pub fn start(
        context: &Arc<Context>,
        id: String,
        service: Service,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Arc<Endpoint>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let seed = addr.port().into();
        let endpoint = Arc::new(Endpoint {
            id,
            addr,
            service,
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            runs: runs.clone(),
            says_ill: AtomicBool::new(false),
            late_copies: AtomicU64::new(0),
            broken_off: AtomicU64::new(0),
            copies_sent: AtomicU64::new(0),
            random: AtomicU64::new(seed),
        });
        let (serving, context) = (endpoint.clone(), context.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endpoint, context) = (serving.clone(), context.clone());
                std::thread::spawn(move || endpoint.serve(Conn::new(stream), &context));
            }
        });
        Ok(endpoint)
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, born_ms: u64) -> String {
        format!(
            r#"{{"born": {born_ms}, "Addr": "{}", "Info": {{"Service": "{service}", "Version": "v1", "Zone": "howrah", "Concurrency": {}}}, "Status": {{"State": "ready", "Sequence": 1, "WarmupLeftMs": 0}}}}"#,
            self.addr, self.service.slots
        )
    }

    /// Returns a random number below `below`.
    fn random(&self, below: u64) -> u64 {
        let state = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn load_header(&self) -> (&'static str, String) {
        let load = self.load.lock().unwrap();
        let value = format!("{},{},{},100", load.running, load.waiting, self.service.slots);
        ("X-Server-Load", value)
    }

    fn serve(&self, mut conn: Conn, context: &Context) {
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = conn.read() {
            if context.is_stopped() {
                return;
            }
            // The copy arrives at the point where the next response is expected.
            if let Some(copy) = late_copy.take() {
                self.copies_sent.fetch_add(1, Ordering::Relaxed);
                let target = request.target();
                context.log(format_args!("{} sends a late copy before {target}", self.id));
                if conn.write(&copy).is_err() {
                    return;
                }
            }
            let is_broken_off = self.random(1000) < self.broken_off.load(Ordering::Relaxed);
            let (answer, is_run) = match request.target() {
                "/healthz" => (self.check_health(), false),
                _ => self.handle(&request, context, is_broken_off),
            };
            if is_run && is_broken_off {
                let _ = conn.write(&answer[..answer.len() * 9 / 10]);
                return;
            }
            if conn.write(&answer).is_err() {
                return;
            }
            if is_run && self.random(1000) < self.late_copies.load(Ordering::Relaxed) {
                late_copy = Some(answer);
            }
        }
    }

    fn check_health(&self) -> Vec<u8> {
        std::thread::sleep(self.service.health_time);
        let status = if self.says_ill.load(Ordering::Relaxed) { 503 } else { 200 };
        let headers = [
            ("X-Instance-Id", self.id.clone()),
            self.load_header(),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        response(status, &headers, b"")
    }

    /// Runs a request or rejects it; returns the answer and whether it was run.
    fn handle(&self, request: &Message, context: &Context, is_broken_off: bool) -> (Vec<u8>, bool) {
        let arrived_at = Instant::now();
        let request_id = request.header("x-request-id").unwrap_or_default().to_owned();
        let rejected = |status: u16| {
            let headers = [
                ("X-Request-Id", request_id.clone()),
                ("X-Not-Executed", "1".to_owned()),
                self.load_header(),
                ("Keep-Alive", "timeout=10".to_owned()),
            ];
            (response(status, &headers, b""), false)
        };
        if request_id.is_empty() {
            return rejected(400);
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return rejected(421);
        }
        let deadline_ms = request.header("x-deadline-ms").and_then(|text| text.parse().ok());
        let deadline = arrived_at + Duration::from_millis(deadline_ms.unwrap_or(10_000));
        if !self.take_slot(deadline) {
            return rejected(503);
        }
        self.runs.lock().unwrap().push(Run {
            request_id: request_id.clone(),
            endpoint: self.id.clone(),
            target: request.target().to_owned(),
            arrived_at,
            is_disturbed: self.broken_off.load(Ordering::Relaxed) > 0,
        });
        let end = if is_broken_off { ", and will break off its answer" } else { "" };
        context.log(format_args!("{} runs {request_id} {}{end}", self.id, request.target()));
        let mean_ms = self.service.mean_work.as_millis() as u64;
        let work = Duration::from_millis(mean_ms * 7 / 10 + self.random(mean_ms * 6 / 10 + 1));
        let left = deadline.saturating_duration_since(Instant::now());
        std::thread::sleep(work.min(left));
        self.load.lock().unwrap().running -= 1;
        self.slot_freed.notify_one();
        let headers = [
            ("X-Request-Id", request_id.clone()),
            ("X-Server-Signature", format!("{}.{request_id}", self.id)),
            self.load_header(),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        let mut body = format!("the answer to {request_id}\n");
        body.push_str(&".".repeat(self.service.answer_bytes.saturating_sub(body.len())));
        let status = if work > left { 504 } else { 200 };
        (response(status, &headers, body.as_bytes()), true)
    }

    /// Waits for a slot; returns false if the queue is full or the deadline passes.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.service.slots {
            if load.waiting >= self.service.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.service.slots {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.waiting -= 1;
                    return false;
                }
                load = self.slot_freed.wait_timeout(load, left).unwrap().0;
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }
}
