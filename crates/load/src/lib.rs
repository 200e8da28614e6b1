//! An open-loop load generator that imitates the users' callers, and the report of a run.
//!
//! Each call has a planned send time, and its response time counts from then. A system that stalls cannot slow the
//! generator down, so the stall shows in the report.

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
