//! Logs, metrics and the explain history.

mod error;
pub mod explain;
pub mod logs;
pub mod metrics;

pub use crate::{
    error::TelemetryError,
    explain::{ExplainEvent, ExplainHistory, ExplainReport, SubmissionNote},
    logs::{init_logs, LogControl},
    metrics::{CounterKind, GaugeKind, MetricSet, TimeKind},
};
pub use settings::{LogLevel, LogPart, LogSettings};
