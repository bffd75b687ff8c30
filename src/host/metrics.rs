//! Counters, gauges and histograms, kept by OpenTelemetry and exported in the Prometheus text format.

use std::sync::Mutex;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    Counter as Instrument, Gauge as GaugeInstrument, Histogram, Meter, MeterProvider,
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::lock;
use crate::ids::ServiceName;
use crate::metrics::{Counter, Gauge, Latency, MetricSink};
use crate::sorted::SortedMap;

/// The upper bounds of the histogram buckets.
const BUCKET_BOUNDS_MS: [f64; 12] = [
    1.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0,
];

/// The counters, gauges and histograms of a process.
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    counters: Mutex<SortedMap<&'static str, Instrument<u64>>>,
    gauges: Mutex<SortedMap<Gauge, GaugeInstrument<f64>>>,
    histograms: Mutex<SortedMap<Latency, Histogram<u64>>>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty set of counters and histograms.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
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
            counters: Mutex::default(),
            gauges: Mutex::default(),
            histograms: Mutex::default(),
            _provider: provider,
        })
    }

    /// Returns all counters and histograms in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl MetricSink for Metrics {
    fn add(&self, counter: Counter, by: u64) {
        let mut counters = lock(&self.counters);
        let otel_counter = counters.get_or_insert_with(counter.name, || {
            self.meter
                .u64_counter(format!("dragonflylug_{}", counter.name))
                .build()
        });
        match counter.label {
            Some(label) => otel_counter.add(by, &[KeyValue::new(label.name, label.value)]),
            None => otel_counter.add(by, &[]),
        }
    }

    fn set(&self, gauge: Gauge, value: f64) {
        let mut gauges = lock(&self.gauges);
        let instrument = gauges.get_or_insert_with(gauge, || {
            self.meter
                .f64_gauge(format!("dragonflylug_{}", gauge.name()))
                .build()
        });
        instrument.record(value, &[]);
    }

    fn observe(&self, latency: Latency, service: &ServiceName, ms: u64) {
        let mut histograms = lock(&self.histograms);
        let histogram = histograms.get_or_insert_with(latency, || {
            self.meter
                .u64_histogram(format!("dragonflylug_{}", latency.name()))
                .with_boundaries(BUCKET_BOUNDS_MS.to_vec())
                .build()
        });
        histogram.record(
            ms,
            &[KeyValue::new("service", service.as_str().to_string())],
        );
    }
}
