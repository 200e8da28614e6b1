//! The report of a load run and its calculation.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{counters::CounterTotals, plan::CallKind, starts::StartSummary};

/// The ratio of response to ideal response is recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;
/// The largest ratio recorded, in thousandths.
const MAX_SCALED_RATIO: u64 = 1_000_000_000;

/// Outcome of a call, with the reason or cause where there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer was complete and every result matched its payload byte for byte.
    Complete,
    /// The answer was malformed, had an unexpected status, or its results did not match the call's payloads.
    Wrong,
    /// The call failed as a whole.
    Failed(String),
    /// The call was refused and nothing ran.
    Refused(String),
    /// The answer said that the outcome is unknown.
    Unknown(String),
    /// No answer was received.
    Lost(String),
}

/// A call and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Index of the customer.
    pub customer: usize,
    /// Kind of the call.
    pub kind: CallKind,
    /// Number of tasks.
    pub tasks: u64,
    /// Total slot time of the tasks.
    pub slot_time: Duration,
    /// Planned send time, from the start of the run.
    pub send_at: Duration,
    /// Time from the planned send time to the answer.
    pub response: Duration,
    /// Response time of a system without queues.
    pub ideal: Duration,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

impl CallRecord {
    /// Ratio of response to ideal response.
    pub fn ratio(&self) -> f64 {
        self.response.as_secs_f64() / self.ideal.as_secs_f64()
    }
}

/// Percentiles of the ratio of response to ideal response over complete calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ResponseRatios {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Results of one customer's calls, or of all calls together.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerReport {
    /// Name of the customer, or `all`.
    pub customer: String,
    /// Jobs sent.
    pub jobs: u64,
    /// Requests sent.
    pub requests: u64,
    /// Complete calls.
    pub complete: u64,
    /// Calls that failed as a whole.
    pub failed: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Calls for which no answer was received.
    pub lost: u64,
    /// Calls whose answer was malformed, had an unexpected status, or did not match the call's payloads.
    pub wrong: u64,
    /// Slot time of complete calls divided by the slot time of all calls.
    pub complete_part: f64,
    /// Ratios of response to ideal response.
    pub over_ideal: ResponseRatios,
    /// The most tasks that ran at the same time, if task starts were read from the endpoints.
    pub peak: Option<u32>,
}

/// Input of a report.
#[derive(Clone, Debug, Default)]
pub struct ReportInput {
    /// Names of the customers, by index.
    pub customers: Vec<String>,
    /// Every call.
    pub calls: Vec<CallRecord>,
    /// How long calls were sent for.
    pub duration: Duration,
    /// Number of slots of the system, if known.
    pub slots: Option<u32>,
    /// Counters over the run, if they were read from the processes.
    pub counters: Option<CounterTotals>,
    /// Summary of the task starts, if they were read from the endpoints.
    pub starts: Option<StartSummary>,
}

/// Report of a load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// All calls together.
    pub all: CustomerReport,
    /// Calls of each customer.
    pub customers: Vec<CustomerReport>,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Failures by reason.
    pub failures: BTreeMap<String, u64>,
    /// Unknown outcomes by reason.
    pub unknowns: BTreeMap<String, u64>,
    /// Calls without an answer, by cause.
    pub losses: BTreeMap<String, u64>,
    /// Number of tasks of complete calls.
    pub useful_tasks: u64,
    /// Slot time of complete calls divided by the slot time available while calls were sent.
    pub goodput: Option<f64>,
    /// Messages between processes per useful task.
    pub messages_per_task: Option<f64>,
    /// Messages that did not lead to a task start, as a fraction of all messages.
    pub wasted_part: Option<f64>,
    /// Change of the counters over the run.
    pub counters: Option<CounterTotals>,
    /// Summary of the task starts at the endpoints.
    pub starts: Option<StartSummary>,
}

impl LoadReport {
    /// Calculates the report.
    pub fn new(input: &ReportInput) -> Self {
        let mut report = Self {
            all: summarise_customer(input, None),
            counters: input.counters,
            starts: input.starts.clone(),
            ..Self::default()
        };
        for index in 0..input.customers.len() {
            report
                .customers
                .push(summarise_customer(input, Some(index)));
        }
        let mut useful = Duration::ZERO;
        for call in &input.calls {
            let (counts, reason) = match &call.outcome {
                CallOutcome::Complete => {
                    report.useful_tasks += call.tasks;
                    useful += call.slot_time;
                    continue;
                }
                CallOutcome::Wrong => continue,
                CallOutcome::Failed(reason) => (&mut report.failures, reason),
                CallOutcome::Refused(reason) => (&mut report.refusals, reason),
                CallOutcome::Unknown(reason) => (&mut report.unknowns, reason),
                CallOutcome::Lost(cause) => (&mut report.losses, cause),
            };
            *counts.entry(reason.clone()).or_default() += 1;
        }
        let slot_seconds = input
            .slots
            .map(|slots| input.duration.as_secs_f64() * f64::from(slots));
        report.goodput =
            slot_seconds.and_then(|slot_seconds| quotient(useful.as_secs_f64(), slot_seconds));
        let tasks = report.useful_tasks as f64;
        report.messages_per_task = input
            .counters
            .and_then(|counters| quotient(counters.messages, tasks));
        report.wasted_part = input
            .counters
            .and_then(|counters| quotient(counters.wasted, counters.messages));
        report
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "customer          jobs requests complete  failed refused unknown lost wrong    p50    p90    p99  peak"
        )?;
        for line in self.customers.iter().chain([&self.all]) {
            let peak = line.peak.map_or("-".to_owned(), |peak| peak.to_string());
            let ratios = line.over_ideal;
            writeln!(
                f,
                "{:<16} {:>5} {:>8} {:>8} {:>7} {:>7} {:>7} {:>4} {:>5} {:>6.2} {:>6.2} {:>6.2} {peak:>5}",
                line.customer,
                line.jobs,
                line.requests,
                line.complete,
                line.failed,
                line.refused,
                line.unknown,
                line.lost,
                line.wrong,
                ratios.p50,
                ratios.p90,
                ratios.p99,
            )?;
        }
        for (name, counts) in [
            ("refused", &self.refusals),
            ("failed", &self.failures),
            ("unknown", &self.unknowns),
            ("lost", &self.losses),
        ] {
            for (reason, count) in counts {
                writeln!(f, "{name}, {reason}: {count}")?;
            }
        }
        if let Some(goodput) = self.goodput {
            writeln!(f, "useful slot time: {:.1}% of the slots", goodput * 100.0)?;
        }
        if let (Some(messages), Some(wasted)) = (self.messages_per_task, self.wasted_part) {
            writeln!(
                f,
                "messages per useful task: {messages:.2}, wasted {:.2}%",
                wasted * 100.0
            )?;
        }
        if let Some(starts) = &self.starts {
            writeln!(
                f,
                "starts: {}, doubled {}, at most {} at the same time",
                starts.starts, starts.doubled, starts.peak
            )?;
        }
        Ok(())
    }
}

fn summarise_customer(input: &ReportInput, customer: Option<usize>) -> CustomerReport {
    let name = customer.map_or("all", |index| input.customers[index].as_str());
    let mut report = CustomerReport {
        customer: name.to_owned(),
        ..CustomerReport::default()
    };
    // The bounds are constants that the histogram accepts.
    let mut ratios = Histogram::<u64>::new_with_max(MAX_SCALED_RATIO, 3)
        .expect("the histogram bounds are valid");
    let (mut offered, mut useful) = (Duration::ZERO, Duration::ZERO);
    for call in &input.calls {
        if customer.is_some_and(|index| index != call.customer) {
            continue;
        }
        match call.kind {
            CallKind::Job => report.jobs += 1,
            CallKind::Request => report.requests += 1,
        }
        offered += call.slot_time;
        match call.outcome {
            CallOutcome::Complete => {
                report.complete += 1;
                useful += call.slot_time;
                ratios.saturating_record((call.ratio() * RATIO_SCALE) as u64);
            }
            CallOutcome::Wrong => report.wrong += 1,
            CallOutcome::Failed(_) => report.failed += 1,
            CallOutcome::Refused(_) => report.refused += 1,
            CallOutcome::Unknown(_) => report.unknown += 1,
            CallOutcome::Lost(_) => report.lost += 1,
        }
    }
    report.complete_part = quotient(useful.as_secs_f64(), offered.as_secs_f64()).unwrap_or(0.0);
    if !ratios.is_empty() {
        let ratio_at = |quantile| ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE;
        report.over_ideal = ResponseRatios {
            p50: ratio_at(0.5),
            p90: ratio_at(0.9),
            p99: ratio_at(0.99),
            max: ratios.max() as f64 / RATIO_SCALE,
        };
    }
    report.peak = input.starts.as_ref().map(|starts| match customer {
        None => starts.peak,
        Some(_) => {
            let peaks = starts.peaks.iter();
            let mut customer_peaks = peaks.filter(|(customer, _)| customer.as_str() == name);
            customer_peaks.next().map_or(0, |(_, peak)| *peak)
        }
    });
    report
}

fn quotient(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}
