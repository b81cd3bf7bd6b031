//! The upstream stand-in: one upstream VM of one service.
//!
//! It runs at most `slots` requests at once and queues up to `queue_limit`
//! more; beyond that it sheds with 503 and `Retry-After`, which means the
//! request was not run. Each executed request is counted under its
//! `idempotency-key` (or `x-request-id`) header, so tests can check
//! at-most-once. `GET /load` reports in-flight work, refreshed only every
//! `load_lag`, as real load reports are stale. A request whose `x-oatcove-timeout-ms` passes in the queue is not
//! run, and one whose caller goes away is dropped. `POST /admin/mode` turns it
//! into a straggler, starts a drain, makes it fail fast, has it name a limit, say that it leaves or ask
//! for rest, or has its process crash under requests of some paths.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Header naming the key under which an execution is counted.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request header with the time the caller still waits, in milliseconds.
pub const TIMEOUT_MS: &str = "x-oatcove-timeout-ms";

/// Header carrying the caller's request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Response header with the requests a second that it takes from all entry nodes together.
pub const LIMIT: &str = "x-oatcove-limit";

/// Response header that says that it is about to leave.
pub const LEAVING: &str = "x-oatcove-leaving";

/// Exit code of a process that crashed under a request.
pub const EXIT_CRASHED: i32 = 70;

/// `Retry-After` of a refusal after which there may be room at any moment.
const MOMENT: &str = "0";

/// Fixed shape of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Requests run at once.
    pub slots: usize,
    /// Connections taken from all callers together; further ones are closed.
    pub connections: usize,
    /// Requests waiting for a slot before shedding starts.
    pub queue_limit: usize,
    /// Mean service time of a light request.
    pub light: Duration,
    /// Mean service time of a request whose path starts with `/heavy`.
    pub heavy: Duration,
    /// Time after start during which every request takes `cold_start` longer.
    pub cold_start: Duration,
    /// Age of the figures `GET /load` reports.
    pub load_lag: Duration,
}

/// What can be changed while running, through `POST /admin/mode`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mode {
    /// Service times are multiplied by this when above 1.
    #[serde(default)]
    pub straggle_factor: u32,
    /// Refuses new requests with 503 (not run) and reports `draining` on `/load`.
    #[serde(default)]
    pub draining: bool,
    /// Refuses everything with 500 at once, without running it.
    #[serde(default)]
    pub fail_fast: bool,
    /// `/load` reports zero in-flight whatever the truth.
    #[serde(default)]
    pub lie: bool,
    /// The whole process crashes under a request whose path contains this, once its service time
    /// has passed; no request does when empty.
    #[serde(default)]
    pub crash_on: SmolStr,
    /// What every answer states as the limit, as it stands; nothing when empty.
    #[serde(default)]
    pub limit: SmolStr,
    /// Every answer says that it leaves; it goes on serving.
    #[serde(default)]
    pub leaving: bool,
    /// Refuses new requests at once with 503 and this as `Retry-After`; none are when empty.
    #[serde(default)]
    pub rest: SmolStr,
}

/// What `GET /load` answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running or queued, as of the last refresh.
    pub in_flight: u64,
    /// Slots of this upstream.
    pub slots: u64,
    /// Whether the upstream is leaving.
    pub draining: bool,
}

/// Counters of `GET /admin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests executed.
    pub executed: u64,
    /// Requests shed before running.
    pub shed: u64,
    /// `GET /load` probes answered.
    pub probes: u64,
    /// Largest execution count of any one idempotency key.
    pub max_executions_per_key: u64,
    /// Slots of this upstream, for turning probe counts into a share of capacity.
    pub slots: u64,
}

/// One upstream stand-in; all state is owned by its server task.
pub struct Upstream {
    shape: Shape,
    started: Instant,
    slots: tokio::sync::Semaphore,
    waiting: Cell<u64>,
    in_flight: Cell<u64>,
    reported: RefCell<(Instant, Load)>,
    mode: RefCell<Mode>,
    stats: RefCell<Stats>,
    executions: RefCell<HashMap<SmolStr, u64>>,
    arrivals: RefCell<Vec<Instant>>,
}

impl Upstream {
    /// Creates a stand-in of `shape`.
    pub fn new(shape: Shape) -> Upstream {
        let load = Load { in_flight: 0, slots: shape.slots as u64, draining: false };
        Upstream {
            slots: tokio::sync::Semaphore::new(shape.slots),
            shape,
            started: Instant::now(),
            waiting: Cell::new(0),
            in_flight: Cell::new(0),
            reported: RefCell::new((Instant::now(), load)),
            mode: RefCell::new(Mode::default()),
            stats: RefCell::new(Stats::default()),
            executions: RefCell::new(HashMap::new()),
            arrivals: RefCell::new(Vec::new()),
        }
    }

    /// Changes the mode, as `POST /admin/mode` does.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.borrow_mut() = mode;
    }

    /// Returns how many times requests with `key` were executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.executions.borrow().get(key).copied().unwrap_or(0)
    }

    /// Returns when requests came, refused ones included.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.borrow().clone()
    }

    /// Returns how many requests were executed in all.
    pub fn executions_total(&self) -> u64 {
        self.stats.borrow().executed
    }

    async fn work(&self, request: &web::Request) -> web::Response {
        self.arrivals.borrow_mut().push(Instant::now());
        let mode = self.mode.borrow().clone();
        let refusal = match () {
            _ if mode.fail_fast => {
                Some(web::reply(StatusCode::INTERNAL_SERVER_ERROR, "failing fast\n"))
            }
            _ if !mode.rest.is_empty() => Some(shed("resting", &mode.rest)),
            _ if mode.draining => Some(shed("draining", "1")),
            _ if self.waiting.get() >= self.shape.queue_limit as u64 => {
                Some(shed("queue full", MOMENT))
            }
            _ => None,
        };
        if let Some(refusal) = refusal {
            self.stats.borrow_mut().shed += 1;
            return refusal;
        }
        // Guards, because a caller that goes away drops this future midway.
        let _in_flight = Counted::new(&self.in_flight);
        let queued_at = Instant::now();
        let permit = {
            let _waiting = Counted::new(&self.waiting);
            self.slots.acquire().await.expect("never closed")
        };
        if patience(request).is_some_and(|patience| queued_at.elapsed() >= patience) {
            self.stats.borrow_mut().shed += 1;
            return shed("deadline passed in queue", MOMENT);
        }
        self.count(request);
        monoio::time::sleep(self.service_time(request, &mode)).await;
        if !mode.crash_on.is_empty() && request.uri().path().contains(mode.crash_on.as_str()) {
            std::process::exit(EXIT_CRASHED);
        }
        drop(permit);
        let mut response = web::reply(StatusCode::OK, format!("{}\n", request.uri().path()));
        if let Some(id) = request.headers().get(REQUEST_ID) {
            response.headers_mut().insert(REQUEST_ID, id.clone());
        }
        response
    }

    fn count(&self, request: &web::Request) {
        let key =
            request.headers().get(IDEMPOTENCY_KEY).or_else(|| request.headers().get(REQUEST_ID));
        let mut stats = self.stats.borrow_mut();
        stats.executed += 1;
        if let Some(key) = key.and_then(|v| v.to_str().ok()) {
            let mut executions = self.executions.borrow_mut();
            let count = executions.entry(key.into()).or_insert(0);
            *count += 1;
            stats.max_executions_per_key = stats.max_executions_per_key.max(*count);
        }
    }

    fn service_time(&self, request: &web::Request, mode: &Mode) -> Duration {
        let base = match request.uri().path().starts_with("/heavy") {
            true => self.shape.heavy,
            false => self.shape.light,
        };
        // Uniform in [0.5, 1.5) of the mean: enough spread for tails without a model.
        let jitter = 0.5 + rand::random::<f64>();
        let mut time = base.mul_f64(jitter) * mode.straggle_factor.max(1);
        if self.started.elapsed() < self.shape.cold_start {
            time += self.shape.cold_start;
        }
        time
    }

    fn load(&self) -> web::Response {
        self.stats.borrow_mut().probes += 1;
        let mut reported = self.reported.borrow_mut();
        let mode = self.mode.borrow();
        if reported.0.elapsed() >= self.shape.load_lag {
            let in_flight = if mode.lie { 0 } else { self.in_flight.get() };
            *reported = (
                Instant::now(),
                Load { in_flight, slots: self.shape.slots as u64, draining: false },
            );
        }
        // Draining is said at once: it is the one signal that must not lag.
        let load = Load { draining: mode.draining, ..reported.1.clone() };
        encode(&load)
    }
}

impl web::Handler for Upstream {
    fn max_connections(&self) -> usize {
        self.shape.connections
    }

    async fn handle(&self, request: web::Request, _peer: std::net::SocketAddr) -> web::Response {
        let mut response = self.answer(&request).await;
        self.state(&mut response);
        response
    }
}

impl Upstream {
    /// Adds what every answer states about this upstream.
    fn state(&self, response: &mut web::Response) {
        let mode = self.mode.borrow();
        if let (false, Ok(limit)) =
            (mode.limit.is_empty(), http::HeaderValue::from_str(&mode.limit))
        {
            response.headers_mut().insert(LIMIT, limit);
        }
        if mode.leaving {
            let flag = http::HeaderValue::from_static("1");
            response.headers_mut().insert(LEAVING, flag);
        }
    }

    async fn answer(&self, request: &web::Request) -> web::Response {
        match (request.method(), request.uri().path()) {
            (&http::Method::GET, "/load") => self.load(),
            (&http::Method::GET, "/admin/stats") => {
                let stats = Stats { slots: self.shape.slots as u64, ..self.stats.borrow().clone() };
                encode(&stats)
            }
            (&http::Method::GET, "/admin/executions") => encode(&*self.executions.borrow()),
            (&http::Method::POST, "/admin/mode") => match serde_json::from_slice(request.body()) {
                Ok(mode) => {
                    *self.mode.borrow_mut() = mode;
                    web::reply(StatusCode::OK, "")
                }
                Err(err) => web::reply(StatusCode::BAD_REQUEST, format!("bad mode: {err}\n")),
            },
            _ => self.work(request).await,
        }
    }
}

/// Counts one while it lives.
struct Counted<'a>(&'a Cell<u64>);

impl<'a> Counted<'a> {
    fn new(cell: &'a Cell<u64>) -> Self {
        cell.set(cell.get() + 1);
        Counted(cell)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads how long the caller waits.
fn patience(request: &web::Request) -> Option<Duration> {
    let text = request.headers().get(TIMEOUT_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Answers that the request was not run, and for how many seconds none is wanted from this caller.
fn shed(reason: &str, retry_after: &str) -> web::Response {
    let mut response = web::reply(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
    if let Ok(retry_after) = http::HeaderValue::from_str(retry_after) {
        response.headers_mut().insert(http::header::RETRY_AFTER, retry_after);
    }
    response
}

fn encode<T: Serialize>(value: &T) -> web::Response {
    web::json(StatusCode::OK, serde_json::to_vec(value).expect("encodes"))
}
