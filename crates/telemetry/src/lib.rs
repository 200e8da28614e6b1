//! Logs, metrics, traffic counters and the explain history.

mod error;
mod events;
pub mod explain;
pub mod logs;
pub mod metrics;
mod traffic;

pub use crate::{
    error::TelemetryError,
    events::{EventKind, EventLine, EventLog},
    explain::{ExplainEvent, ExplainHistory, ExplainReport, SubmissionSummary},
    logs::{init_logs, LogControl},
    metrics::{
        CounterFamily, CounterKind, GaugeKind, MetricSet, NodeMetrics, TimeFamily, TimeKind,
    },
    traffic::{TrafficCount, TrafficCounters, TrafficKind},
};
pub use settings::{LogLevel, LogPart, LogSettings};
