//! OpenTelemetry metrics of one entry node, exposed as text at `GET /metrics`.
//!
//! No metric is labelled by service or upstream: with 560 services and 6,700
//! upstreams, a scrape would have a size of megabytes. `GET /v1/status` has the
//! figures of each service and upstream.

use std::time::{Duration, Instant};

use opentelemetry::metrics::{Gauge, Histogram};
use opentelemetry::KeyValue;

use crate::view::{Counters, View};

/// Bucket boundaries of the call duration histogram, in seconds.
const CALL_SECONDS_BUCKETS: [f64; 13] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Metrics of one entry node.
pub struct Metrics {
    base: meter::Metrics<Counters>,
    call_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    config_head: Gauge<u64>,
    peers_reachable: Gauge<u64>,
    isolated: Gauge<u64>,
    limited: Gauge<u64>,
    leaving: Gauge<u64>,
    backing_off: Gauge<u64>,
    zones_evacuated: Gauge<u64>,
    upstreams_unreachable: Gauge<u64>,
}

const COUNTERS: [meter::CounterSpec<Counters>; 23] = [
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
    ("oatcove_sent_via_peers", "Calls sent through a peer", |c| c.sent_via_peers),
    ("oatcove_offers_declined", "Calls of peers declined", |c| c.offers_declined),
    ("oatcove_offers_outdated", "Calls of peers with an older config", |c| c.offers_outdated),
    ("oatcove_caught_up", "Newer configs read from peers for calls", |c| c.caught_up),
    ("oatcove_probes", "Probes sent to upstreams", |c| c.probes_sent),
    ("oatcove_peer_packets", "Membership packets sent", |c| c.peer_packets_sent),
    ("oatcove_peer_bytes", "Bytes of membership packets sent", |c| c.peer_bytes_sent),
    ("oatcove_peer_packets_refused", "Datagrams refused", |c| c.peer_packets_refused),
    ("oatcove_upstreams_ended", "Upstreams that ended under calls", |c| c.upstreams_ended),
    ("oatcove_refused_crashing", "Calls refused since they crash upstreams", |c| {
        c.refused_crashing
    }),
    ("oatcove_calls_refused_outdated", "Calls refused since the config may be outdated", |c| {
        c.refused_outdated
    }),
    (
        "oatcove_calls_refused_stopping",
        "Calls refused since this node is stopping and would cut them",
        |c| c.refused_stopping,
    ),
    ("oatcove_calls_unauthorized", "Calls without a valid key", |c| c.unauthorized),
];

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// [`meter::Error::Setup`] when the exporter cannot be created.
    pub fn new() -> Result<Metrics, meter::Error> {
        let base = meter::Metrics::new("oatcoved", &COUNTERS)?;
        Ok(Metrics {
            call_seconds: base.seconds(
                "oatcove_call_seconds",
                "Time from a call's arrival to its answer",
                &CALL_SECONDS_BUCKETS,
            ),
            in_flight: base.gauge("oatcove_in_flight"),
            config_head: base.gauge("oatcove_config_head"),
            peers_reachable: base.gauge("oatcove_peers_reachable"),
            isolated: base.gauge("oatcove_isolated"),
            limited: base.gauge("oatcove_upstreams_limited"),
            leaving: base.gauge("oatcove_upstreams_leaving"),
            backing_off: base.gauge("oatcove_upstreams_resting"),
            zones_evacuated: base.gauge("oatcove_zones_evacuated"),
            upstreams_unreachable: base.gauge("oatcove_upstreams_unreachable"),
            base,
        })
    }

    /// Records the duration of a call, with its outcome as label.
    pub fn record_call(&self, elapsed: Duration, outcome: &'static str) {
        self.call_seconds.record(elapsed.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns all metrics as text, with their values taken from `view`.
    ///
    /// # Errors
    ///
    /// [`meter::Error::Encode`] when the metrics cannot be encoded.
    pub fn scrape(&self, view: &View) -> Result<String, meter::Error> {
        let is_reachable = |peer: &&crate::view::Peer| {
            peer.standing.is_some_and(|standing| standing <= wire::Standing::Suspect)
        };
        self.in_flight.record(view.in_flight, &[]);
        self.config_head.record(view.synced_head(), &[]);
        self.peers_reachable.record(view.peers.values().filter(is_reachable).count() as u64, &[]);
        self.isolated.record(u64::from(view.isolation().is_some()), &[]);
        let now = Instant::now();
        self.limited.record(view.backpressure.limited_count(now) as u64, &[]);
        self.leaving.record(view.backpressure.leaving_count(now) as u64, &[]);
        self.backing_off.record(view.backpressure.backoff_count(now) as u64, &[]);
        self.zones_evacuated.record(view.evacuated_zones().count() as u64, &[]);
        self.upstreams_unreachable.record(u64::from(view.paths.is_unreachable()), &[]);
        self.base.scrape(&view.counters)
    }
}
