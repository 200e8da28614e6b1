//! Load as the users' callers make it, and a report of what came of it.
//!
//! The loop is open: each call has a time at which it is meant to be sent, and its response counts from then. A system
//! that stalls cannot slow the generator down, so its stall shows in the report.

mod chart;
mod counters;
mod driver;
mod error;
mod plan;
mod report;
mod shape;
mod starts;

pub use crate::{
    chart::{draw_curves, ResponseCurve},
    counters::{read_counters, CounterTotals},
    driver::{run_load, LoadTargets},
    error::LoadError,
    plan::{plan_load, CallKind, LoadSettings, PlannedCall, BURST_FACTOR},
    report::{CallOutcome, CallRecord, CustomerReport, LoadReport, ReportInput, ResponseRatios},
    shape::{LoadShape, ShapeParameters},
    starts::{summarise_starts, StartSummary, TaskStart},
};
