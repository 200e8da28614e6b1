//! Metrics, recorded with OpenTelemetry and rendered as Prometheus text.

mod catalogue;
mod customers;
mod node;
mod set;

pub use self::{
    catalogue::{metric_page, CounterKind, GaugeKind, MetricSpec, MetricType, TimeKind, CATALOGUE},
    customers::{CustomerLabels, MAX_CUSTOMER_LABELS, OTHER_CUSTOMERS},
    node::{CounterFamily, NodeMetrics, TimeFamily},
    set::MetricSet,
};
