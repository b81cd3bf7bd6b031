//! Metrics by opentelemetry, as text for a scrape.
//!
//! The request path counts in plain integers of its own; a scrape carries
//! what was added since the last one over into the instruments. Only
//! histograms are recorded as things happen.

use std::cell::RefCell;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use quick_error::quick_error;

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

/// Name, description and value of a counter that is kept in a `C`.
pub type Named<C> = (&'static str, &'static str, fn(&C) -> u64);

/// One counter and where its value stands.
struct Carried<C> {
    instrument: Counter<u64>,
    read: fn(&C) -> u64,
    carried: u64,
}

/// The instruments of one process.
pub struct Metrics<C> {
    registry: Registry,
    meter: Meter,
    /// Kept alive: instruments stop recording once their provider is gone.
    _provider: SdkMeterProvider,
    counters: RefCell<Vec<Carried<C>>>,
}

impl<C> Metrics<C> {
    /// Sets the instruments of `scope` up, with these counters.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] when the exporter refuses its settings.
    pub fn new(scope: &'static str, counters: &[Named<C>]) -> Result<Metrics<C>, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|err| Error::Setup(err.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(scope);
        let carried = |(name, description, read): &Named<C>| Carried {
            instrument: meter.u64_counter(*name).with_description(*description).build(),
            read: *read,
            carried: 0,
        };
        let counters = RefCell::new(counters.iter().map(carried).collect());
        Ok(Metrics { registry, meter, _provider: provider, counters })
    }

    /// Creates a histogram of times in seconds with these bounds.
    pub fn seconds(
        &self,
        name: &'static str,
        description: &'static str,
        bounds_s: &[f64],
    ) -> Histogram<f64> {
        let histogram = self.meter.f64_histogram(name).with_description(description);
        histogram.with_boundaries(bounds_s.to_vec()).build()
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).build()
    }

    /// Returns the text of a scrape, with the counters as they are `now`.
    ///
    /// # Errors
    ///
    /// [`Error::Encode`] when the text cannot be written.
    pub fn scrape(&self, now: &C) -> Result<String, Error> {
        for counter in self.counters.borrow_mut().iter_mut() {
            let value = (counter.read)(now);
            counter.instrument.add(value.saturating_sub(counter.carried), &[]);
            counter.carried = value;
        }
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|err| Error::Encode(err.to_string()))
    }
}
