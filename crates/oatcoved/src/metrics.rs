//! Metrics of one entry node, by opentelemetry, as text at `GET /metrics`.
//!
//! The request path counts in [`Counters`], plain integers; a scrape carries
//! what was added since the last one over into the instruments. Only the
//! call-time histogram is recorded per call. Nothing is labelled by service
//! or upstream: at 560 services and 6,700 upstreams (letter 1) one scrape
//! would be megabytes; `GET /v1/status` has those figures.

use std::cell::RefCell;
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use quick_error::quick_error;

use crate::view::{Counters, View};

/// Bounds of the call-time histogram, in seconds.
const CALL_SECONDS: [f64; 13] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

quick_error! {
    /// Why metrics could not be had.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter could not be set up.
        Setup(message: String) {
            display("metrics cannot be set up: {}", message)
        }
        /// The text could not be written.
        Encode(message: String) {
            display("metrics cannot be written: {}", message)
        }
    }
}

/// One counter and where its value stands.
struct Carried {
    instrument: Counter<u64>,
    read: fn(&Counters) -> u64,
    carried: u64,
}

/// The instruments of one entry node.
pub struct Metrics {
    registry: Registry,
    /// Kept alive: instruments stop recording once their provider is gone.
    _provider: SdkMeterProvider,
    counters: RefCell<Vec<Carried>>,
    call_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    config_head: Gauge<u64>,
    peers_reachable: Gauge<u64>,
}

/// Name, description and value of each counter.
type Named = (&'static str, &'static str, fn(&Counters) -> u64);

const COUNTERS: [Named; 14] = [
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
];

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] when the exporter refuses its settings.
    pub fn new() -> Result<Metrics, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|err| Error::Setup(err.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("oatcoved");
        let carried = |(name, description, read): Named| Carried {
            instrument: meter.u64_counter(name).with_description(description).build(),
            read,
            carried: 0,
        };
        Ok(Metrics {
            counters: RefCell::new(COUNTERS.into_iter().map(carried).collect()),
            call_seconds: meter
                .f64_histogram("oatcove_call_seconds")
                .with_description("Time from a call's arrival to its answer")
                .with_boundaries(CALL_SECONDS.to_vec())
                .build(),
            in_flight: meter.u64_gauge("oatcove_in_flight").build(),
            config_head: meter.u64_gauge("oatcove_config_head").build(),
            peers_reachable: meter.u64_gauge("oatcove_peers_reachable").build(),
            registry,
            _provider: provider,
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
    /// [`Error::Encode`] when the text cannot be written.
    pub fn scrape(&self, view: &View) -> Result<String, Error> {
        for counter in self.counters.borrow_mut().iter_mut() {
            let now = (counter.read)(&view.counters);
            counter.instrument.add(now.saturating_sub(counter.carried), &[]);
            counter.carried = now;
        }
        let reachable = |peer: &&crate::view::Peer| {
            peer.standing.is_some_and(|standing| standing <= wire::Standing::Suspect)
        };
        self.in_flight.record(view.in_flight, &[]);
        self.config_head.record(view.held_head(), &[]);
        self.peers_reachable.record(view.peers.values().filter(reachable).count() as u64, &[]);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|err| Error::Encode(err.to_string()))
    }
}
