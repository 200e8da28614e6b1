//! The metrics of a node.
//!
//! Counters are atomics that are only read when the metrics are rendered, so counting on a hot path costs nanoseconds
//! and no allocation. Label values are fixed in advance, and every series starts at 0.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use opentelemetry::{metrics::Histogram, metrics::MeterProvider as _, KeyValue};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::set::TIME_BUCKETS;
use crate::TelemetryError;

/// A counter with one label and a fixed set of label values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CounterFamily {
    /// The name in the Prometheus text.
    pub name: &'static str,
    /// The help text.
    pub meaning: &'static str,
    /// The name of the label.
    pub label: &'static str,
    /// The values of the label.
    pub values: Vec<&'static str>,
}

/// A histogram of durations, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeFamily {
    /// The name in the Prometheus text.
    pub name: &'static str,
    /// The help text.
    pub meaning: &'static str,
}

/// The metrics of one node.
pub struct NodeMetrics {
    registry: Registry,
    // The instruments report to the provider, so it has to live as long as they do.
    _provider: SdkMeterProvider,
    counters: Vec<(CounterFamily, Arc<[AtomicU64]>)>,
    times: Vec<(TimeFamily, Histogram<f64>)>,
}

impl NodeMetrics {
    /// Registers the given counters and histograms.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new(counters: &[CounterFamily], times: &[TimeFamily]) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_units()
            .without_counter_suffixes()
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cairnpaddle");
        let mut counted = Vec::new();
        for family in counters {
            let cells: Arc<[AtomicU64]> = family.values.iter().map(|_| AtomicU64::new(0)).collect();
            let (observed, family) = (cells.clone(), family.clone());
            let (label, values) = (family.label, family.values.clone());
            let _reported_by_the_provider = meter
                .u64_observable_counter(family.name)
                .with_description(family.meaning)
                .with_callback(move |observer| {
                    for (value, cell) in values.iter().zip(observed.iter()) {
                        let label = KeyValue::new(label, *value);
                        observer.observe(cell.load(Ordering::Relaxed), &[label]);
                    }
                })
                .build();
            counted.push((family, cells));
        }
        let timed = times.iter().map(|family| {
            let histogram = meter
                .f64_histogram(family.name)
                .with_description(family.meaning)
                .with_unit("s")
                .with_boundaries(TIME_BUCKETS.to_vec())
                .build();
            (*family, histogram)
        });
        Ok(Self {
            times: timed.collect(),
            counters: counted,
            registry,
            _provider: provider,
        })
    }

    /// Increments a counter. A name or label value that was not passed to [`NodeMetrics::new`] is a bug: debug builds
    /// panic, release builds ignore the call.
    pub fn count(&self, name: &str, value: &str) {
        if let Some(cell) = self.cell(name, value) {
            cell.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn cell(&self, name: &str, value: &str) -> Option<&AtomicU64> {
        let found = self.counters.iter().find(|(family, _)| family.name == name);
        debug_assert!(found.is_some(), "no counter {name}");
        let (family, cells) = found?;
        let index = family.values.iter().position(|known| *known == value);
        debug_assert!(index.is_some(), "no value {value} of {name}");
        cells.get(index?)
    }

    /// Sets a counter to a total that is counted elsewhere.
    pub fn set(&self, name: &str, value: &str, count: u64) {
        let Some(cell) = self.cell(name, value) else {
            return;
        };
        cell.store(count, Ordering::Relaxed);
    }

    /// Records a duration in a histogram. An unknown name panics in debug builds and is ignored in release builds.
    pub fn time(&self, name: &str, span: Duration) {
        let found = self.times.iter().find(|(family, _)| family.name == name);
        debug_assert!(found.is_some(), "no histogram {name}");
        if let Some((_, histogram)) = found {
            histogram.record(span.as_secs_f64(), &[]);
        }
    }

    /// Renders the metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be written as text.
    pub fn render(&self) -> Result<String, TelemetryError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
