//! OpenTelemetry metrics, exported as Prometheus text.
//!
//! The request path increments plain integers; each scrape adds their increase since the last
//! scrape to the OpenTelemetry counters. Only histograms are recorded at the time of the event.

use std::cell::RefCell;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use quick_error::quick_error;

quick_error! {
    /// The reason why metrics are not available.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter could not be created.
        Setup(message: String) {
            display("cannot set up metrics: {}", message)
        }
        /// The metrics could not be encoded as text.
        Encode(message: String) {
            display("cannot encode metrics: {}", message)
        }
    }
}

/// Name, description and getter of a counter; `C` is the struct that holds the plain integers.
pub type CounterSpec<C> = (&'static str, &'static str, fn(&C) -> u64);

/// A counter and the value that was last exported.
struct ExportedCounter<C> {
    instrument: Counter<u64>,
    read: fn(&C) -> u64,
    exported: u64,
}

/// The metrics of one process; `C` is the struct that holds the plain integers of its counters.
pub struct Metrics<C> {
    registry: Registry,
    meter: Meter,
    /// Kept because instruments stop recording once their provider is dropped.
    _provider: SdkMeterProvider,
    counters: RefCell<Vec<ExportedCounter<C>>>,
}

impl<C> Metrics<C> {
    /// Creates the metrics of the instrumentation scope `scope`, with the given counters.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] when the exporter cannot be created.
    pub fn new(scope: &'static str, counters: &[CounterSpec<C>]) -> Result<Metrics<C>, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|err| Error::Setup(err.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(scope);
        let exported = |(name, description, read): &CounterSpec<C>| ExportedCounter {
            instrument: meter.u64_counter(*name).with_description(*description).build(),
            read: *read,
            exported: 0,
        };
        let counters = RefCell::new(counters.iter().map(exported).collect());
        Ok(Metrics { registry, meter, _provider: provider, counters })
    }

    /// Creates a histogram of times in seconds, with bucket boundaries `bounds_s` in seconds.
    pub fn seconds(
        &self,
        name: &'static str,
        description: &'static str,
        bounds_s: &[f64],
    ) -> Histogram<f64> {
        let histogram = self.meter.f64_histogram(name).with_description(description);
        histogram.with_boundaries(bounds_s.to_vec()).build()
    }

    /// Creates a gauge without a description.
    pub fn gauge(&self, name: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).build()
    }

    /// Returns all metrics as Prometheus text, with the counters updated to their values in
    /// `current`.
    ///
    /// # Errors
    ///
    /// [`Error::Encode`] when the metrics cannot be encoded.
    pub fn scrape(&self, current: &C) -> Result<String, Error> {
        for counter in self.counters.borrow_mut().iter_mut() {
            let value = (counter.read)(current);
            counter.instrument.add(value.saturating_sub(counter.exported), &[]);
            counter.exported = value;
        }
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|err| Error::Encode(err.to_string()))
    }
}
