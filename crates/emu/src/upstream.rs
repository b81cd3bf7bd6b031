//! The upstream stand-in: one upstream VM of one service.
//!
//! It runs at most `slots` requests at once and queues up to `queue_limit`
//! more. Further requests are shed with 503 and `Retry-After`: they were not
//! run. If the [`Mode`] says so, they get no response at all instead. A request
//! whose `x-oatcove-timeout-ms` passes in the queue is not run either, and one
//! whose caller disconnects is cancelled.
//!
//! Each executed request is counted under its `idempotency-key` header (or
//! `x-request-id` without one), so tests can check at-most-once execution.
//! `GET /load` reports the requests in flight. The number is refreshed only
//! every [`UpstreamConfig::load_refresh_interval`], since real load reports are
//! stale too.
//!
//! `POST /admin/mode` sets a [`Mode`]: it can slow the upstream down, drain it,
//! make it fail fast, make it announce a rate limit or that it is leaving, make
//! it refuse requests with a `Retry-After`, or crash the process when it runs a
//! request whose path matches.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Request header with the key under which an execution is counted.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request header with the time for which the caller waits, in milliseconds.
pub const TIMEOUT_MS: &str = "x-oatcove-timeout-ms";

/// Header with the caller's request id; responses repeat it.
pub const REQUEST_ID: &str = "x-request-id";

/// Response header with the requests per second that the upstream accepts from all entry nodes
/// together.
pub const LIMIT: &str = "x-oatcove-limit";

/// Response header that announces that the upstream is about to stop. Its value is always `1`.
pub const LEAVING: &str = "x-oatcove-leaving";

/// Exit code of a process that crashed because of [`Mode::crash_on`].
pub const EXIT_CRASHED: i32 = 70;

/// `Retry-After` of a refusal that may be retried at once: a slot can become free at any time.
const RETRY_IMMEDIATELY: &str = "0";

/// Capacity and timing of an upstream stand-in, fixed while it runs.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Maximum number of requests run at once.
    pub slots: usize,
    /// Maximum number of open connections, over all callers; further ones are closed.
    pub max_connections: usize,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    pub queue_limit: usize,
    /// Mean service time of a light request.
    pub light_service_time: Duration,
    /// Mean service time of a request whose path starts with `/heavy`.
    pub heavy_service_time: Duration,
    /// Length of the cold start. Until it ends, every request takes this much longer as well.
    pub cold_start: Duration,
    /// Minimum time between refreshes of what `GET /load` reports.
    pub load_refresh_interval: Duration,
}

/// Behavior that can be changed at run time, through `POST /admin/mode`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mode {
    /// Factor by which service times are multiplied; 0 and 1 leave them as they are.
    #[serde(default)]
    pub straggle_factor: u32,
    /// Refuses new requests with 503 (they are not run) and reports `draining` on `/load`.
    #[serde(default)]
    pub draining: bool,
    /// Answers every new request with 500 at once, without running it.
    #[serde(default)]
    pub fail_fast: bool,
    /// Reports no requests in flight on `/load`, whatever the real number.
    #[serde(default, rename = "lie")]
    pub report_zero_load: bool,
    /// Exits the whole process with [`EXIT_CRASHED`] at the end of the service time of a request
    /// whose path contains this text. Never when empty.
    #[serde(default)]
    pub crash_on: SmolStr,
    /// Value of the [`LIMIT`] header of every response, sent as is; no header when empty.
    #[serde(default)]
    pub limit: SmolStr,
    /// Sends the [`LEAVING`] header in every response, and keeps serving.
    #[serde(default)]
    pub leaving: bool,
    /// Refuses new requests at once with 503 and this value as `Retry-After`. Refuses none when
    /// empty.
    #[serde(default, rename = "rest")]
    pub retry_after: SmolStr,
    /// Never responds to a request that finds the queue full, nor to anything after it on the same
    /// connection.
    #[serde(default, rename = "silent")]
    pub silent_when_full: bool,
}

/// Load report, the response body of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running or queued at the last refresh.
    pub in_flight: u64,
    /// Number of slots of this upstream.
    pub slots: u64,
    /// Whether the upstream is draining; never stale.
    pub draining: bool,
}

/// Counters since the start of the process, the response body of `GET /admin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests executed.
    pub executed: u64,
    /// Requests refused before they ran, for whatever reason.
    pub shed: u64,
    /// Requests that got no response because the queue was full.
    #[serde(default)]
    pub ignored: u64,
    /// Probes (`GET /load`) served.
    pub probes: u64,
    /// Largest number of executions of any one idempotency key.
    pub max_executions_per_key: u64,
    /// Number of slots of this upstream, from which the share of its capacity that probes take is
    /// computed.
    pub slots: u64,
}

/// One upstream stand-in, a [`web::Handler`] that keeps all its state in memory.
pub struct Upstream {
    config: UpstreamConfig,
    started: Instant,
    slots: tokio::sync::Semaphore,
    queued: Cell<u64>,
    in_flight: Cell<u64>,
    load_report: RefCell<(Instant, LoadReport)>,
    mode: RefCell<Mode>,
    stats: RefCell<Stats>,
    executions: RefCell<HashMap<SmolStr, u64>>,
    arrivals: RefCell<Vec<Instant>>,
}

impl Upstream {
    /// Creates a stand-in with `config` and the default [`Mode`].
    pub fn new(config: UpstreamConfig) -> Upstream {
        let report = LoadReport { in_flight: 0, slots: config.slots as u64, draining: false };
        Upstream {
            slots: tokio::sync::Semaphore::new(config.slots),
            config,
            started: Instant::now(),
            queued: Cell::new(0),
            in_flight: Cell::new(0),
            load_report: RefCell::new((Instant::now(), report)),
            mode: RefCell::new(Mode::default()),
            stats: RefCell::new(Stats::default()),
            executions: RefCell::new(HashMap::new()),
            arrivals: RefCell::new(Vec::new()),
        }
    }

    /// Replaces the mode, as `POST /admin/mode` does.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.borrow_mut() = mode;
    }

    /// Returns how many requests with the idempotency key `key` were executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.executions.borrow().get(key).copied().unwrap_or(0)
    }

    /// Returns the arrival times, in order, of all requests other than probes and admin requests.
    /// Refused requests are included.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.borrow().clone()
    }

    /// Returns how many requests got no response because the queue was full.
    pub fn ignored(&self) -> u64 {
        self.stats.borrow().ignored
    }

    /// Returns how many requests were executed in total.
    pub fn executions_total(&self) -> u64 {
        self.stats.borrow().executed
    }

    async fn run_request(&self, request: &web::Request) -> web::Response {
        self.arrivals.borrow_mut().push(Instant::now());
        let mode = self.mode.borrow().clone();
        let refusal = match () {
            _ if mode.fail_fast => {
                Some(web::reply(StatusCode::INTERNAL_SERVER_ERROR, "failing fast\n"))
            }
            _ if !mode.retry_after.is_empty() => Some(shed("resting", &mode.retry_after)),
            _ if mode.draining => Some(shed("draining", "1")),
            _ if self.is_full() && mode.silent_when_full => {
                self.stats.borrow_mut().ignored += 1;
                return std::future::pending().await;
            }
            _ if self.is_full() => Some(shed("queue full", RETRY_IMMEDIATELY)),
            _ => None,
        };
        if let Some(refusal) = refusal {
            self.stats.borrow_mut().shed += 1;
            return refusal;
        }
        // Guards undo the counts on drop: the server drops this future when the caller disconnects.
        let _in_flight = CountGuard::new(&self.in_flight);
        let queued_at = Instant::now();
        let permit = {
            let _queued = CountGuard::new(&self.queued);
            self.slots.acquire().await.expect("the semaphore is never closed")
        };
        if caller_timeout(request).is_some_and(|timeout| queued_at.elapsed() >= timeout) {
            self.stats.borrow_mut().shed += 1;
            return shed("deadline passed in queue", RETRY_IMMEDIATELY);
        }
        self.record_execution(request);
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

    /// Returns true if a further request would find the queue full.
    fn is_full(&self) -> bool {
        self.queued.get() >= self.config.queue_limit as u64
    }

    fn record_execution(&self, request: &web::Request) {
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
            true => self.config.heavy_service_time,
            false => self.config.light_service_time,
        };
        // Uniform in [0.5, 1.5) of the mean: enough variance for a latency tail without a
        // workload model.
        let jitter = 0.5 + rand::random::<f64>();
        let mut time = base.mul_f64(jitter) * mode.straggle_factor.max(1);
        if self.started.elapsed() < self.config.cold_start {
            time += self.config.cold_start;
        }
        time
    }

    fn load_report(&self) -> web::Response {
        self.stats.borrow_mut().probes += 1;
        let mut last_report = self.load_report.borrow_mut();
        let mode = self.mode.borrow();
        if last_report.0.elapsed() >= self.config.load_refresh_interval {
            let in_flight = if mode.report_zero_load { 0 } else { self.in_flight.get() };
            *last_report = (
                Instant::now(),
                LoadReport { in_flight, slots: self.config.slots as u64, draining: false },
            );
        }
        // Draining is always current: it is the one signal that must not lag.
        let report = LoadReport { draining: mode.draining, ..last_report.1.clone() };
        encode(&report)
    }
}

impl web::Handler for Upstream {
    fn max_connections(&self) -> usize {
        self.config.max_connections
    }

    async fn handle(&self, request: web::Request, _peer: std::net::SocketAddr) -> web::Response {
        let mut response = self.route(&request).await;
        self.add_signal_headers(&mut response);
        response
    }
}

impl Upstream {
    /// Adds the backpressure headers that the mode asks for.
    fn add_signal_headers(&self, response: &mut web::Response) {
        let mode = self.mode.borrow();
        if let (false, Ok(limit)) =
            (mode.limit.is_empty(), http::HeaderValue::from_str(&mode.limit))
        {
            response.headers_mut().insert(LIMIT, limit);
        }
        if mode.leaving {
            let value = http::HeaderValue::from_static("1");
            response.headers_mut().insert(LEAVING, value);
        }
    }

    async fn route(&self, request: &web::Request) -> web::Response {
        match (request.method(), request.uri().path()) {
            (&http::Method::GET, "/load") => self.load_report(),
            (&http::Method::GET, "/admin/stats") => {
                let stats =
                    Stats { slots: self.config.slots as u64, ..self.stats.borrow().clone() };
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
            _ => self.run_request(request).await,
        }
    }
}

/// Increments a counter, and decrements it when dropped.
struct CountGuard<'a>(&'a Cell<u64>);

impl<'a> CountGuard<'a> {
    fn new(cell: &'a Cell<u64>) -> Self {
        cell.set(cell.get() + 1);
        CountGuard(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns how long the caller waits, from the [`TIMEOUT_MS`] header.
fn caller_timeout(request: &web::Request) -> Option<Duration> {
    let text = request.headers().get(TIMEOUT_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Returns a 503 response for a request that was not run. `retry_after` is how many seconds the
/// caller is to wait before its next request.
fn shed(reason: &str, retry_after: &str) -> web::Response {
    let mut response = web::reply(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
    if let Ok(retry_after) = http::HeaderValue::from_str(retry_after) {
        response.headers_mut().insert(http::header::RETRY_AFTER, retry_after);
    }
    response
}

fn encode<T: Serialize>(value: &T) -> web::Response {
    web::json(StatusCode::OK, serde_json::to_vec(value).expect("value serializes as JSON"))
}
