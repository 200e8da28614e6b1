//! Refusal of waiting submissions that can no longer be in time.

use std::time::{Duration, Instant};

use decisions::EstimateSource;
use model::{RefusalReason, SubmissionOutcome, TaskIndex};

use crate::{
    authority::TaskAuthority,
    record::{SubmissionRecord, TaskPhase},
};

/// A submission with less time left until its deadline is not checked any more: its refusal at the deadline comes soon
/// enough.
const MIN_TIME_TO_CHECK: Duration = Duration::from_millis(20);

/// Retry-after of a submission predicted late, before jitter. By then other tasks run in the slots that were missing.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The most that jitter adds to the retry-after, as a fraction of it, so that submissions refused together do not come
/// back together.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// The quantile of the run time that is used instead of the mean if the mean exceeds the time left and the quantile is
/// shorter.
const MEDIAN_QUANTILE: f64 = 0.5;

impl TaskAuthority {
    /// Schedules the next deadline check of a submission with waiting tasks.
    ///
    /// Tasks may run much longer than expected while others wait behind them. Without the checks, the caller of work
    /// that cannot be in time any more gets the refusal only at its deadline. Each check takes place after half of the
    /// time left or earlier, so a submission costs a handful of them.
    pub(super) fn schedule_deadline_check(&mut self, now: Instant, serial: u64) {
        let Some(record) = self.records.get(&serial).filter(|record| record.is_open()) else {
            return;
        };
        let left = record.due.saturating_duration_since(now);
        if left < MIN_TIME_TO_CHECK || !record.has_waiting() {
            return;
        }
        let mut check_at = now + left / 2;
        if let Some(needed) = self.longest_run_time(now, record) {
            // One millisecond after the last start that is in time, and not before now.
            let last_start = left.saturating_sub(needed) + Duration::from_millis(1);
            check_at = check_at.min(now + last_start);
        }
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        record.check_at = Some(check_at);
        self.deadline_checks.insert((check_at, serial));
    }

    /// Runs the deadline checks that are due.
    pub(super) fn run_deadline_checks(&mut self, now: Instant) {
        while let Some((check_at, serial)) = self.deadline_checks.first().copied() {
            if check_at > now {
                return;
            }
            self.deadline_checks.pop_first();
            let predicted_late = self.records.get(&serial).is_some_and(|record| {
                let left = record.due.saturating_duration_since(now);
                let needed = self.longest_run_time(now, record);
                nothing_started(record) && needed.is_some_and(|needed| needed > left)
            });
            match predicted_late {
                true => self.refuse_predicted_late(now, serial),
                false => self.schedule_deadline_check(now, serial),
            }
        }
    }

    /// Whether a task that is about to be offered would end too late, and nothing of its submission has started.
    ///
    /// When slots get free after a long wait, they would otherwise go to tasks whose answers come too late, and the
    /// next tasks would wait for those slots and be late as well.
    pub(super) fn is_predicted_late(&self, now: Instant, serial: u64, task: TaskIndex) -> bool {
        let Some(record) = self.records.get(&serial) else {
            return false;
        };
        let left = record.due.saturating_duration_since(now);
        let needed = self.usual_run_time(now, record, task);
        needed.is_some_and(|needed| needed > left) && nothing_started(record)
    }

    /// Refuses a submission of which nothing has started as predicted late.
    pub(super) fn refuse_predicted_late(&mut self, now: Instant, serial: u64) {
        let jitter = 1.0 + self.rng.f64() * RETRY_AFTER_JITTER;
        let outcome = SubmissionOutcome::Refused {
            reason: RefusalReason::PredictedLate,
            retry_after: Some(RETRY_AFTER.mul_f64(jitter)),
        };
        self.finish(now, serial, outcome);
    }

    /// The longest usual run time of the submission's waiting tasks; `None` while none is measured.
    fn longest_run_time(&self, now: Instant, record: &SubmissionRecord) -> Option<Duration> {
        let mut longest = None;
        let mut last_kind = None;
        for (index, task) in record.tasks.iter().enumerate() {
            // Most tasks of a job are of one kind.
            if last_kind == Some(&task.body.kind) || !matches!(task.phase, TaskPhase::Waiting) {
                continue;
            }
            last_kind = Some(&task.body.kind);
            longest = longest.max(self.usual_run_time(now, record, index as TaskIndex));
        }
        longest
    }

    /// The usual run time of a task as measured lately: the mean, or the median if the mean exceeds the time left and
    /// the median is shorter. A refusal must not rest on a few long runs among many short ones.
    fn usual_run_time(
        &self,
        now: Instant,
        record: &SubmissionRecord,
        index: TaskIndex,
    ) -> Option<Duration> {
        let task = record.tasks.get(usize::try_from(index).ok()?)?;
        let (customer, kind) = (&record.customer, &task.body.kind);
        let mean = self.run_times.expected_run_time(now, customer, kind, None);
        if mean.source != EstimateSource::Measured {
            return None;
        }
        let left = record.due.saturating_duration_since(now);
        if mean.run_time <= left {
            return Some(mean.run_time);
        }
        let median = self
            .run_times
            .quantile(now, customer, kind, None, MEDIAN_QUANTILE);
        Some(mean.run_time.min(median.run_time))
    }
}

/// Whether the submission is open and all of its tasks wait here.
fn nothing_started(record: &SubmissionRecord) -> bool {
    record.is_open()
        && record
            .tasks
            .iter()
            .all(|task| matches!(task.phase, TaskPhase::Waiting))
}
