//! The report of a run, and its arithmetic.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{counters::CounterTotals, plan::CallKind, starts::StartSummary};

/// The ratio of response to ideal is counted in thousandths.
const RATIO_SCALE: f64 = 1_000.0;
/// The largest ratio counted, in thousandths.
const MAX_SCALED_RATIO: u64 = 1_000_000_000;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Its answer was complete and byte-exact.
    Complete,
    /// Its answer was complete and not that of its own tasks.
    Wrong,
    /// It failed as a whole.
    Failed(String),
    /// It was refused; nothing ran.
    Refused(String),
    /// Its outcome is unknown.
    Unknown(String),
    /// No answer came.
    Lost(String),
}

/// A call and what came of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The index of the customer.
    pub customer: usize,
    /// What it was.
    pub kind: CallKind,
    /// How many tasks it had.
    pub tasks: u64,
    /// The slot time of its tasks.
    pub slot_time: Duration,
    /// When it was meant to be sent, from the start of the run.
    pub at: Duration,
    /// From the time at which it was meant to be sent to its answer.
    pub response: Duration,
    /// The response of a system without queues.
    pub ideal: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
}

impl CallRecord {
    /// Response over ideal.
    pub fn ratio(&self) -> f64 {
        self.response.as_secs_f64() / self.ideal.as_secs_f64()
    }
}

/// Response over ideal of complete calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ResponseRatios {
    /// Half of the calls took at most this.
    pub p50: f64,
    /// Nine of ten.
    pub p90: f64,
    /// Ninety-nine of a hundred.
    pub p99: f64,
    /// All.
    pub max: f64,
}

/// What came of one customer's calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerReport {
    /// The customer.
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
    /// Calls without an answer.
    pub lost: u64,
    /// Calls with an answer that was not theirs.
    pub wrong: u64,
    /// The slot time of complete calls over that of all calls.
    pub complete_part: f64,
    /// Response over ideal.
    pub over_ideal: ResponseRatios,
    /// The most of its tasks that ran at once, where endpoints were read.
    pub peak: Option<u32>,
}

/// What a report is made of.
#[derive(Clone, Debug, Default)]
pub struct ReportInput {
    /// The customers, by index.
    pub customers: Vec<String>,
    /// Every call.
    pub calls: Vec<CallRecord>,
    /// How long calls were sent.
    pub duration: Duration,
    /// The slots of the system, where known.
    pub slots: Option<u32>,
    /// Counters over the run, where processes were read.
    pub counters: Option<CounterTotals>,
    /// Starts, where endpoints were read.
    pub starts: Option<StartSummary>,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// All calls together.
    pub all: CustomerReport,
    /// Each customer's.
    pub customers: Vec<CustomerReport>,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Failures by reason.
    pub failures: BTreeMap<String, u64>,
    /// Unknown outcomes by reason.
    pub unknowns: BTreeMap<String, u64>,
    /// Lost answers by cause.
    pub losses: BTreeMap<String, u64>,
    /// Tasks of complete calls.
    pub useful_tasks: u64,
    /// The slot time of complete calls over what the slots gave while calls were sent.
    pub goodput: Option<f64>,
    /// Messages between processes for each useful task.
    pub messages_per_task: Option<f64>,
    /// Messages that led to no start, as a part of all.
    pub wasted_part: Option<f64>,
    /// Counters over the run.
    pub counters: Option<CounterTotals>,
    /// Starts at the endpoints.
    pub starts: Option<StartSummary>,
}

impl LoadReport {
    /// Works the report out.
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
                "starts: {}, doubled {}, at once at most {}",
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
    // The bounds are constants that the library accepts.
    let mut ratios = Histogram::<u64>::new_with_max(MAX_SCALED_RATIO, 3)
        .expect("the bounds of the histogram hold");
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
            let mut own = peaks.filter(|(customer, _)| customer.as_str() == name);
            own.next().map_or(0, |(_, peak)| *peak)
        }
    });
    report
}

fn quotient(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}
