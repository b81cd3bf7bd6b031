//! Asks upstreams for their load just before a request is placed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method};
use place::UpstreamId;
use route::ServiceName;
use web::h1;

use crate::forward::{Node, CONNECT_TIMEOUT};

/// Longest time a request waits for reports, as a part of its objective.
const WAIT_PART: f64 = 0.08;

/// The same, at most.
const WAIT_MOST: Duration = Duration::from_millis(25);

/// A probe is given up after this long; its connection is then closed, as an
/// upstream that does not answer in a hundred times the usual has gone silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes saved up while none are needed, per upstream of the service.
const SAVED_MOST: f64 = 2.0;

/// What is left of a node's part of the probes that a service may get.
///
/// The load pattern: at a burst every request finds the reports too old and
/// asks; at small upstreams the questions would then take the place of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    saved: f64,
    at: Option<Instant>,
}

impl Budget {
    /// Takes up to `wanted` probes out of the budget of `per_s`, of which `most` can be saved.
    pub fn take(&mut self, wanted: usize, per_s: f64, most: f64, now: Instant) -> usize {
        let passed = self.at.map_or(f64::MAX, |at| (now - at).as_secs_f64());
        self.at = Some(now);
        self.saved = (self.saved + passed * per_s).min(most);
        let taken = wanted.min(self.saved as usize);
        self.saved -= taken as f64;
        taken
    }
}

/// Asks the upstreams `ids` of `service` for their load, and waits a little for the answers.
pub async fn ask(
    node: &Rc<Node>,
    service: &ServiceName,
    ids: Vec<UpstreamId>,
    objective: Duration,
) {
    if ids.is_empty() {
        return;
    }
    let wait = objective.mul_f64(WAIT_PART).min(WAIT_MOST);
    let (done, mut answers) = local_sync::mpsc::unbounded::channel::<()>();
    for id in ids {
        let (node, service, done) = (node.clone(), service.clone(), done.clone());
        monoio::spawn(async move {
            let probing = monoio::time::timeout(PROBE_TIMEOUT, probe(&node, &service, &id));
            if probing.await.is_err() {
                node.conns.close(&id);
            }
            drop(done);
        });
    }
    drop(done);
    // Ends when every probe has dropped its sender.
    let _ = monoio::time::timeout(wait, answers.recv()).await;
}

/// Sends one probe and takes what the answer says of the upstream's load.
async fn probe(node: &Rc<Node>, service: &ServiceName, id: &UpstreamId) {
    let (path, addr) = {
        let state = node.state.borrow();
        let service = state.table.as_ref().and_then(|table| table.services.get(service));
        let upstream = state.pools.get(service.map_or("", |s| s.name.as_str()));
        let upstream = upstream.and_then(|pool| Some(&pool.upstreams()[pool.position(id)?]));
        match (service, upstream) {
            (Some(service), Some(upstream)) => (service.probe_path.clone(), upstream.addr),
            _ => return,
        }
    };
    let mut conn = match node.connection(id, addr, CONNECT_TIMEOUT).await {
        Ok(conn) => conn,
        Err(err) => {
            trace::Line::new("probe_connect_failed")
                .field("upstream", id.as_str())
                .field("error", err.to_string())
                .log();
            if let Some(pool) = node.state.borrow_mut().pools.get_mut(service) {
                pool.unreachable(id, Instant::now());
            }
            return;
        }
    };
    node.state.borrow_mut().counters.probes += 1;
    let mut headers = HeaderMap::new();
    let host = http::HeaderValue::try_from(addr.to_string()).expect("an address is a value");
    headers.insert(http::header::HOST, host);
    let request = h1::write_request(&Method::GET, &path, &headers);
    if conn.writer.write(request).await.is_err() {
        return;
    }
    let Ok(head) = conn.reader.response_head(&Method::GET).await else { return };
    let mut decoder = h1::Decoder::new(head.framing);
    loop {
        match conn.reader.body_piece(&mut decoder).await {
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(_) => return,
        }
    }
    node.take_load(service, id, &head.headers);
    if head.keep_alive && !conn.reader.has_buffered() {
        conn.answered(&head.headers);
        node.conns.put(id, conn);
    }
}

/// Returns the probes per second that a node may send to a service, and how many it may save.
pub fn allowance(node: &Node, service: &str) -> (f64, f64) {
    let state = node.state.borrow();
    let upstreams = state.pools.get(service).map_or(0, |pool| pool.upstreams().len()) as f64;
    let per_s = state.settings.probes_per_upstream_s * upstreams / state.fleet_size() as f64;
    (per_s, upstreams * SAVED_MOST)
}
