//! Metrics of one entry node, in text format.
//!
//! No metric has a label for service, route or upstream: with 560 services and 6,700 upstreams, one
//! scrape would be megabytes. The log has these details. Teams with a quota have a label each, up
//! to [`crate::quotas::MAX_TEAM_LABELS`].

use std::time::{Duration, Instant};

use opentelemetry::metrics::{Gauge, Histogram};
use opentelemetry::KeyValue;

use crate::follow::Topic;
use crate::forward::Node;
use crate::state::{Counters, State};

/// Bucket bounds of the request duration histogram, in seconds.
const REQUEST_SECONDS_BUCKETS: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 10.0];

const COUNTERS: [meter::CounterSpec<Counters>; 38] = [
    ("oatcove_requests", "Requests received", |c| c.requests),
    ("oatcove_answered", "Requests answered by an upstream", |c| c.answered),
    ("oatcove_refused", "Requests refused at once; they did not run", |c| c.refused),
    ("oatcove_waited", "Requests that waited for an upstream", |c| c.waited),
    ("oatcove_refused_too_late", "Requests refused since their answer would be too late", |c| {
        c.refused_too_late
    }),
    ("oatcove_failed", "Requests that may have run and got no answer", |c| c.failed),
    ("oatcove_abandoned", "Requests whose caller left", |c| c.abandoned),
    ("oatcove_second_sends", "Sends after the first of a request", |c| c.second_sends),
    ("oatcove_second_sends_over_budget", "Second sends not allowed", |c| {
        c.second_sends_over_budget
    }),
    ("oatcove_hedges", "Hedges sent", |c| c.hedges),
    ("oatcove_sent_via_peers", "Requests sent through a peer", |c| c.sent_via_peers),
    ("oatcove_offers_accepted", "Requests of peers taken", |c| c.offers_accepted),
    ("oatcove_offers_declined", "Requests of peers declined", |c| c.offers_declined),
    ("oatcove_offers_outdated", "Requests of peers with an older configuration", |c| {
        c.offers_outdated
    }),
    ("oatcove_caught_up", "Newer configurations read from peers for requests", |c| c.caught_up),
    ("oatcove_vanished", "Sends that upstreams neither held nor answered", |c| c.vanished),
    ("oatcove_probes", "Probes sent to upstreams", |c| c.probes),
    ("oatcove_connects", "Connections opened to upstreams", |c| c.connects),
    ("oatcove_reads", "Reads that the platform answered", |c| c.reads),
    ("oatcove_reads_failed", "Reads that the platform did not answer", |c| c.reads_failed),
    ("oatcove_far_sends", "Sends to upstreams of another zone", |c| c.far_sends),
    ("oatcove_upstreams_ended", "Upstreams that ended under requests", |c| c.upstreams_ended),
    ("oatcove_refused_crashing", "Requests refused since they crash upstreams", |c| {
        c.refused_crashing
    }),
    (
        "oatcove_requests_config_unsure",
        "Requests handled by a configuration that may have been outdated",
        |c| c.on_expired_config,
    ),
    (
        "oatcove_refused_outdated",
        "Requests refused since configuration or upstreams may be outdated",
        |c| c.refused_outdated,
    ),
    ("oatcove_refused_unknown_key", "Requests refused since their key may be new", |c| {
        c.refused_unknown_key
    }),
    ("oatcove_unauthorized_no_key", "Requests rejected without a key", |c| c.unauthorized_no_key),
    (
        "oatcove_unauthorized_malformed_key",
        "Requests rejected with a key that cannot be read",
        |c| c.unauthorized_malformed_key,
    ),
    ("oatcove_unauthorized_unknown_key", "Requests rejected with a key of no team", |c| {
        c.unauthorized_unknown_key
    }),
    ("oatcove_over_quota", "Requests refused for their team's quota", |c| c.over_quota),
    ("oatcove_quota_unknown", "Requests refused as no owner of the quota responded", |c| {
        c.quota_unknown
    }),
    ("oatcove_quota_packets", "Datagrams about quotas sent", |c| c.quota_packets),
    ("oatcove_quota_bytes", "Bytes of datagrams about quotas sent", |c| c.quota_bytes),
    ("oatcove_refused_bodies", "Requests refused since their bodies did not fit", |c| {
        c.refused_bodies
    }),
    ("oatcove_membership_bytes", "Bytes of membership sent", |c| c.membership_bytes),
    ("oatcove_membership_far_bytes", "Bytes of membership sent to another zone", |c| {
        c.membership_far_bytes
    }),
    ("oatcove_relay_bytes", "Bytes of the platform's rows passed on to peers", |c| c.relay_bytes),
    ("oatcove_relay_far_bytes", "Bytes of rows passed on to another zone", |c| c.relay_far_bytes),
];

/// The metric instruments of one entry node.
pub struct Metrics {
    registry: meter::Metrics<Counters>,
    request_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    waiting: Gauge<u64>,
    config_version: Gauge<u64>,
    config_stale: Gauge<u64>,
    list_stale: Gauge<u64>,
    upstreams: Gauge<u64>,
    peers_alive: Gauge<u64>,
    store_unreachable: Gauge<u64>,
    quarantined: Gauge<u64>,
    limited: Gauge<u64>,
    leaving: Gauge<u64>,
    backing_off: Gauge<u64>,
    zones_evacuated: Gauge<u64>,
    body_bytes: Gauge<u64>,
    silent_services: Gauge<u64>,
    upstreams_unreachable: Gauge<u64>,
    lines_dropped: Gauge<u64>,
    quota_shards: Gauge<u64>,
    team_requests: Gauge<u64>,
}

impl Node {
    /// Returns the current values of the node's metrics in text format.
    ///
    /// # Errors
    ///
    /// Returns [`meter::Error::Encode`] if the values cannot be encoded.
    pub fn scrape(&self) -> Result<String, meter::Error> {
        let state = self.state.borrow();
        self.metrics.quota_shards.record(self.quotas.owned_count() as u64, &[]);
        for (team, counts) in self.quotas.labelled_counts(&state) {
            let outcomes = [
                ("allowed", counts.allowed),
                ("returned", counts.returned),
                ("over_quota", counts.over_quota),
                ("quota_unknown", counts.no_owner),
            ];
            for (outcome, count) in outcomes {
                let labels =
                    [KeyValue::new("team", team.to_string()), KeyValue::new("outcome", outcome)];
                self.metrics.team_requests.record(count, &labels);
            }
        }
        self.metrics.scrape(&state)
    }
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns [`meter::Error::Setup`] if the exporter rejects its settings.
    pub fn new() -> Result<Metrics, meter::Error> {
        let registry = meter::Metrics::new("oatcove-entry", &COUNTERS)?;
        Ok(Metrics {
            request_seconds: registry.seconds(
                "oatcove_request_seconds",
                "Time from a request's head to its answer, by outcome",
                &REQUEST_SECONDS_BUCKETS,
            ),
            in_flight: registry.gauge("oatcove_in_flight"),
            waiting: registry.gauge("oatcove_waiting"),
            config_version: registry.gauge("oatcove_config_version"),
            config_stale: registry.gauge("oatcove_config_unsure"),
            list_stale: registry.gauge("oatcove_list_unsure"),
            upstreams: registry.gauge("oatcove_upstreams_listed"),
            peers_alive: registry.gauge("oatcove_peers_alive"),
            store_unreachable: registry.gauge("oatcove_store_away"),
            quarantined: registry.gauge("oatcove_requests_held_back"),
            limited: registry.gauge("oatcove_upstreams_limited"),
            leaving: registry.gauge("oatcove_upstreams_leaving"),
            backing_off: registry.gauge("oatcove_upstreams_resting"),
            zones_evacuated: registry.gauge("oatcove_zones_evacuated"),
            body_bytes: registry.gauge("oatcove_body_bytes_reserved"),
            silent_services: registry.gauge("oatcove_services_silent"),
            upstreams_unreachable: registry.gauge("oatcove_upstreams_unreachable"),
            lines_dropped: registry.gauge("oatcove_log_lines_dropped"),
            quota_shards: registry.gauge("oatcove_quota_shards_owned"),
            team_requests: registry.gauge("oatcove_team_requests"),
            registry,
        })
    }

    /// Records the duration of a request, labelled with its outcome.
    pub fn record_request(&self, elapsed: Duration, outcome: &'static str) {
        self.request_seconds.record(elapsed.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns the current values in text format.
    ///
    /// # Errors
    ///
    /// Returns [`meter::Error::Encode`] if the values cannot be encoded.
    pub fn scrape(&self, state: &State) -> Result<String, meter::Error> {
        let alive = state.peers.values().filter(|p| p.standing == wire::Standing::Alive);
        self.in_flight.record(state.in_flight, &[]);
        self.waiting.record(state.waiting_count() as u64, &[]);
        self.config_version.record(state.config_version(), &[]);
        self.upstreams.record(state.roster.len() as u64, &[]);
        self.peers_alive.record(alive.count() as u64, &[]);
        self.store_unreachable.record(u64::from(state.roster.store_is_unreachable()), &[]);
        self.quarantined.record(state.quarantine.quarantined().count() as u64, &[]);
        let now = Instant::now();
        let is_stale = |topic| u64::from(!state.is_fresh(topic, now));
        self.config_stale.record(is_stale(Topic::Config), &[]);
        self.list_stale.record(is_stale(Topic::Upstreams), &[]);
        self.limited.record(state.backpressure.limited_count(now) as u64, &[]);
        self.leaving.record(state.backpressure.leaving_count(now) as u64, &[]);
        self.backing_off.record(state.backpressure.backoff_count(now) as u64, &[]);
        self.zones_evacuated.record(state.evacuations.zones().len() as u64, &[]);
        self.body_bytes.record(state.body_budget.used() as u64, &[]);
        let silent = state.pools.values().filter(|pool| pool.silence().is_silent(now));
        self.silent_services.record(silent.count() as u64, &[]);
        self.upstreams_unreachable.record(u64::from(state.paths.is_unreachable()), &[]);
        self.lines_dropped.record(trace::dropped_lines(), &[]);
        self.registry.scrape(&state.counters)
    }
}
