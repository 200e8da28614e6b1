//! Figures from the endpoints' records: the peak of a customer's concurrent tasks, and the number of tasks refused as
//! busy.

use model::CustomerId;
use stand_ins::endpoint::{EndpointRecord, RefusalCause, StartRecord, TaskScript};

use super::ScenarioRun;
use crate::error::StepError;

impl ScenarioRun {
    pub(super) fn peak(
        &self,
        customer: &CustomerId,
        from: Option<&str>,
    ) -> Result<usize, StepError> {
        let mut labels = Vec::new();
        if let Some(group) = from {
            for submission in self.load.group(group)? {
                labels.push(submission.run_label);
            }
        }
        let records = self.testbed.records();
        let mut steps = Vec::new();
        let mut first = from.map(|_| i64::MAX);
        for record in &records {
            for start in &record.starts {
                if start.customer != *customer {
                    continue;
                }
                let (started, ended) = run_interval(record, start);
                steps.push((started, 1));
                steps.push((ended, -1));
                if labels.contains(&run_label(start)) {
                    first = first.map(|at| at.min(started));
                }
            }
        }
        Ok(peak_concurrency(steps, first))
    }

    pub(super) fn turned_away_count(&self) -> usize {
        let mut count = 0;
        for record in self.testbed.records() {
            let full = record
                .refusals
                .iter()
                .filter(|refusal| refusal.cause == RefusalCause::Busy);
            count += full.count();
        }
        count
    }
}

/// The start and end of a task in microseconds relative to now, so both are at most 0. The clocks of the stand-ins
/// started at different times, so only times relative to now can be compared.
fn run_interval(record: &EndpointRecord, start: &StartRecord) -> (i64, i64) {
    let before_now = |at: u64| at as i64 - record.age_us as i64;
    let ended = start.ended_us.map_or(0, before_now);
    (before_now(start.started_us), ended)
}

/// The peak concurrency, from time `first` on if given. An end and a start at the same time do not overlap, because
/// ends sort first.
fn peak_concurrency(mut steps: Vec<(i64, i64)>, first: Option<i64>) -> usize {
    steps.sort_unstable();
    let (mut running, mut most) = (0, 0);
    for (at, change) in steps {
        running += change;
        if first.is_none_or(|first| at >= first) {
            most = most.max(running);
        }
    }
    usize::try_from(most).unwrap_or_default()
}

fn run_label(start: &StartRecord) -> String {
    let payload = start.payload.as_deref().unwrap_or_default();
    let label = TaskScript::read(payload.as_bytes())
        .label
        .unwrap_or_default();
    label.split('#').next().unwrap_or_default().to_owned()
}
