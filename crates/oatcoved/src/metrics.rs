//! Metrics of one entry node, by opentelemetry, as text at `GET /metrics`.
//!
//! Nothing is labelled by service
//! or upstream: at 560 services and 6,700 upstreams (letter 1) one scrape
//! would be megabytes; `GET /v1/status` has those figures.

use std::time::{Duration, Instant};

use opentelemetry::metrics::{Gauge, Histogram};
use opentelemetry::KeyValue;

use crate::view::{Counters, View};

/// Bounds of the call-time histogram, in seconds.
const CALL_SECONDS: [f64; 13] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// The instruments of one entry node.
pub struct Metrics {
    carried: meter::Metrics<Counters>,
    call_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    config_head: Gauge<u64>,
    peers_reachable: Gauge<u64>,
    isolated: Gauge<u64>,
    limited: Gauge<u64>,
    leaving: Gauge<u64>,
    resting: Gauge<u64>,
    zones_evacuated: Gauge<u64>,
}

const COUNTERS: [meter::CounterSpec<Counters>; 16] = [
    ("oatcove_calls", "Calls received", |c| c.calls),
    ("oatcove_calls_done", "Calls answered by an upstream", |c| c.done),
    ("oatcove_calls_not_run", "Calls told not-run", |c| c.not_run),
    ("oatcove_calls_unknown", "Calls told unknown", |c| c.unknown),
    ("oatcove_calls_shed", "Calls refused by this node because it is full", |c| c.shed),
    ("oatcove_retries", "Second sends, hedges included", |c| c.retries),
    ("oatcove_retries_over_budget", "Second sends not allowed", |c| c.retries_over_budget),
    ("oatcove_hedges", "Hedges sent", |c| c.hedges),
    ("oatcove_config_applied", "Template versions applied", |c| c.config_applied),
    ("oatcove_relayed_reads", "Reads answered by a peer", |c| c.relayed_reads),
    ("oatcove_probes", "Probes sent to upstreams", |c| c.probes_sent),
    ("oatcove_peer_packets", "Membership packets sent", |c| c.peer_packets_sent),
    ("oatcove_peer_bytes", "Bytes of membership packets sent", |c| c.peer_bytes_sent),
    ("oatcove_peer_packets_refused", "Datagrams refused", |c| c.peer_packets_refused),
    ("oatcove_upstreams_ended", "Upstreams that ended under calls", |c| c.upstreams_ended),
    ("oatcove_refused_crashing", "Calls refused since they crash upstreams", |c| {
        c.refused_crashing
    }),
];

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// [`meter::Error::Setup`] when the exporter refuses its settings.
    pub fn new() -> Result<Metrics, meter::Error> {
        let carried = meter::Metrics::new("oatcoved", &COUNTERS)?;
        Ok(Metrics {
            call_seconds: carried.seconds(
                "oatcove_call_seconds",
                "Time from a call's arrival to its answer",
                &CALL_SECONDS,
            ),
            in_flight: carried.gauge("oatcove_in_flight"),
            config_head: carried.gauge("oatcove_config_head"),
            peers_reachable: carried.gauge("oatcove_peers_reachable"),
            isolated: carried.gauge("oatcove_isolated"),
            limited: carried.gauge("oatcove_upstreams_limited"),
            leaving: carried.gauge("oatcove_upstreams_leaving"),
            resting: carried.gauge("oatcove_upstreams_resting"),
            zones_evacuated: carried.gauge("oatcove_zones_evacuated"),
            carried,
        })
    }

    /// Records how long a call took, by what its caller was told.
    pub fn call(&self, took: Duration, outcome: &'static str) {
        self.call_seconds.record(took.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns the text of a scrape.
    ///
    /// # Errors
    ///
    /// [`meter::Error::Encode`] when the text cannot be written.
    pub fn scrape(&self, view: &View) -> Result<String, meter::Error> {
        let reachable = |peer: &&crate::view::Peer| {
            peer.standing.is_some_and(|standing| standing <= wire::Standing::Suspect)
        };
        self.in_flight.record(view.in_flight, &[]);
        self.config_head.record(view.held_head(), &[]);
        self.peers_reachable.record(view.peers.values().filter(reachable).count() as u64, &[]);
        self.isolated.record(u64::from(view.isolation().is_some()), &[]);
        let now = Instant::now();
        self.limited.record(view.notices.limited_count(now) as u64, &[]);
        self.leaving.record(view.notices.leaving_count(now) as u64, &[]);
        self.resting.record(view.notices.backoff_count(now) as u64, &[]);
        self.zones_evacuated.record(view.evacuated().count() as u64, &[]);
        self.carried.scrape(&view.counters)
    }
}
