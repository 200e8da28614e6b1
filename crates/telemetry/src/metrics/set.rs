//! The metrics of one process that are listed in the catalogue.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use model::{
    CustomerId, FailureReason, RefusalReason, RetryReason, SubmissionOutcome, UnknownReason,
};
use opentelemetry::{
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _},
    KeyValue,
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::{
    catalogue::{ANSWERS, CATALOGUE, FAILURES, REFUSALS, RETRIES, SUBMISSIONS, UNKNOWNS},
    CounterKind, CustomerLabels, GaugeKind, MetricSpec, TimeKind,
};
use crate::TelemetryError;

/// Upper bounds of the histogram buckets, in seconds. They are dense from 50 ms to 1 s, where most task durations lie.
pub(super) const TIME_BUCKETS: [f64; 16] = [
    0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// The metrics of one process, safe to record from any thread.
///
/// The series of every reason starts at 0, so that a rate over a series is right from the first count on.
pub struct MetricSet {
    registry: Registry,
    // The instruments report to the provider, so it has to live as long as they do.
    _provider: SdkMeterProvider,
    customers: Mutex<CustomerLabels>,
    submissions: Counter<u64>,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    failures: Counter<u64>,
    unknowns: Counter<u64>,
    counters: Vec<Counter<u64>>,
    times: Vec<Histogram<f64>>,
    gauges: Vec<Gauge<f64>>,
}

impl MetricSet {
    /// Registers all metrics of the catalogue.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        // The catalogue holds the names as exposed, so the exporter must not add suffixes.
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_units()
            .without_counter_suffixes()
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cairnpaddle");
        let set = Self {
            registry,
            _provider: provider,
            customers: Mutex::default(),
            submissions: named_counter(&meter, SUBMISSIONS),
            answers: named_counter(&meter, ANSWERS),
            refusals: named_counter(&meter, REFUSALS),
            retries: named_counter(&meter, RETRIES),
            failures: named_counter(&meter, FAILURES),
            unknowns: named_counter(&meter, UNKNOWNS),
            counters: build(CounterKind::ALL, |kind| counter(&meter, &kind.spec())),
            times: build(TimeKind::ALL, |kind| histogram(&meter, &kind.spec())),
            gauges: build(GaugeKind::ALL, |kind| gauge(&meter, &kind.spec())),
        };
        set.init_series();
        Ok(set)
    }

    /// Counts a submission that was accepted from a customer with a contract.
    pub fn submitted(&self, customer: &CustomerId) {
        let label = self
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .label_of(customer);
        self.submissions.add(1, &[KeyValue::new("customer", label)]);
    }

    /// Counts an answer by outcome, and the reason of a failure, refusal or unknown outcome.
    pub fn answered(&self, outcome: &SubmissionOutcome) {
        let name = match outcome {
            SubmissionOutcome::Complete(_) => "complete",
            SubmissionOutcome::Failed(reason) => {
                add(&self.failures, 1, "reason", reason.as_str());
                "failed"
            }
            SubmissionOutcome::Refused { reason, .. } => {
                add(&self.refusals, 1, "reason", reason.as_str());
                "refused"
            }
            SubmissionOutcome::Unknown(reason) => {
                add(&self.unknowns, 1, "reason", reason.as_str());
                "unknown"
            }
        };
        add(&self.answers, 1, "outcome", name);
    }

    /// Counts a task that is placed again because it definitely did not run.
    pub fn retried(&self, reason: RetryReason) {
        add(&self.retries, 1, "reason", reason.as_str());
    }

    /// Adds to a counter without a label.
    pub fn count(&self, kind: CounterKind, by: u64) {
        self.counters[kind as usize].add(by, &[]);
    }

    /// Counts clients that were refused and cut off.
    pub fn count_clients(&self, refused: u64, cut_off: u64) {
        self.count(CounterKind::ClientsRefused, refused);
        self.count(CounterKind::ClientsCutOff, cut_off);
    }

    /// Records a duration in a histogram.
    pub fn time(&self, kind: TimeKind, span: Duration) {
        self.times[kind as usize].record(span.as_secs_f64(), &[]);
    }

    /// Sets a gauge.
    pub fn gauge(&self, kind: GaugeKind, value: f64) {
        self.gauges[kind as usize].record(value, &[]);
    }

    /// Renders the metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be written as text.
    pub fn render(&self) -> Result<String, TelemetryError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    fn init_series(&self) {
        for outcome in ["complete", "failed", "refused", "unknown"] {
            add(&self.answers, 0, "outcome", outcome);
        }
        for reason in RefusalReason::ALL {
            add(&self.refusals, 0, "reason", reason.as_str());
        }
        for reason in RetryReason::ALL {
            add(&self.retries, 0, "reason", reason.as_str());
        }
        for reason in FailureReason::ALL {
            add(&self.failures, 0, "reason", reason.as_str());
        }
        for reason in UnknownReason::ALL {
            add(&self.unknowns, 0, "reason", reason.as_str());
        }
        for kind in CounterKind::ALL {
            self.count(*kind, 0);
        }
    }
}

fn add(counter: &Counter<u64>, by: u64, label: &'static str, value: &'static str) {
    counter.add(by, &[KeyValue::new(label, value)]);
}

fn build<K: Copy, I>(kinds: &[K], make: impl Fn(K) -> I) -> Vec<I> {
    kinds.iter().map(|kind| make(*kind)).collect()
}

fn named_counter(meter: &Meter, name: &str) -> Counter<u64> {
    let spec = CATALOGUE
        .iter()
        .find(|spec| spec.name == name)
        .expect("the catalogue has every labelled counter");
    counter(meter, spec)
}

fn counter(meter: &Meter, spec: &MetricSpec) -> Counter<u64> {
    meter
        .u64_counter(spec.name)
        .with_description(spec.meaning)
        .with_unit(spec.unit)
        .build()
}

fn histogram(meter: &Meter, spec: &MetricSpec) -> Histogram<f64> {
    meter
        .f64_histogram(spec.name)
        .with_description(spec.meaning)
        .with_unit(spec.unit)
        .with_boundaries(TIME_BUCKETS.to_vec())
        .build()
}

fn gauge(meter: &Meter, spec: &MetricSpec) -> Gauge<f64> {
    meter
        .f64_gauge(spec.name)
        .with_description(spec.meaning)
        .with_unit(spec.unit)
        .build()
}
