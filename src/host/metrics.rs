//! Counters kept by opentelemetry and read in the Prometheus text form.

use std::sync::Mutex;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter as Instrument, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::lock;
use crate::metrics::{Counter, MetricSink};
use crate::sorted::SortedMap;

/// The counters of a process.
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    instruments: Mutex<SortedMap<&'static str, Instrument<u64>>>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Makes an empty set of counters.
    ///
    /// # Errors
    ///
    /// Fails where the exporter cannot be registered.
    pub fn new() -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dragonflylug");
        Ok(Self {
            registry,
            meter,
            instruments: Mutex::default(),
            _provider: provider,
        })
    }

    /// Returns all counters in the Prometheus text form.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl MetricSink for Metrics {
    fn add(&self, counter: Counter, by: u64) {
        let mut instruments = lock(&self.instruments);
        let instrument = instruments.get_or_insert_with(counter.name, || {
            self.meter
                .u64_counter(format!("dragonflylug_{}", counter.name))
                .build()
        });
        match counter.label {
            Some(label) => instrument.add(by, &[KeyValue::new(label.name, label.value)]),
            None => instrument.add(by, &[]),
        }
    }
}
