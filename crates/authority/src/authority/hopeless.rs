//! Submissions that wait and can no longer be in time.

use std::time::{Duration, Instant};

use decisions::EstimateSource;
use model::{RefusalReason, SubmissionOutcome, TaskIndex};

use crate::{
    authority::TaskAuthority,
    record::{SubmissionRecord, TaskPhase},
};

/// Within this time of its deadline a submission is no longer looked at: the deadline itself is as soon.
const LAST_LOOK: Duration = Duration::from_millis(20);

/// When to come back, before it is drawn out at random: by then the slots that were missing have moved on.
const COME_BACK: Duration = Duration::from_secs(1);

/// Up to this part more, so that what became hopeless together does not come back together.
const COME_BACK_SPREAD: f64 = 0.5;

/// The share of runs that are shorter than what is taken for a task's run time, where the mean is not shorter yet.
const USUAL_SHARE: f64 = 0.5;

impl TaskAuthority {
    /// Looks after a submission of which tasks wait.
    ///
    /// Load: tasks that run much longer than expected, with more waiting behind them. Harm: the caller of work that
    /// cannot be in time any more learns of it at its deadline only. Each look takes half of the time left or less, so
    /// a submission costs a handful of them.
    pub(super) fn look_later(&mut self, now: Instant, serial: u64) {
        let Some(record) = self.records.get(&serial).filter(|record| record.is_open()) else {
            return;
        };
        let left = record.due.saturating_duration_since(now);
        if left < LAST_LOOK || !record.has_waiting() {
            return;
        }
        let mut look_at = now + left / 2;
        if let Some(needed) = self.needed(now, record) {
            // A moment later than it just fits, and not before now.
            let last_start = left.saturating_sub(needed) + Duration::from_millis(1);
            look_at = look_at.min(now + last_start);
        }
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        record.look_at = Some(look_at);
        self.looks.insert((look_at, serial));
    }

    /// Looks at the submissions whose time for it has come.
    pub(super) fn look_at_waiting(&mut self, now: Instant) {
        while let Some((look_at, serial)) = self.looks.first().copied() {
            if look_at > now {
                return;
            }
            self.looks.pop_first();
            let hopeless = self.records.get(&serial).is_some_and(|record| {
                let left = record.due.saturating_duration_since(now);
                let needed = self.needed(now, record);
                nothing_started(record) && needed.is_some_and(|needed| needed > left)
            });
            match hopeless {
                true => self.refuse_hopeless(now, serial),
                false => self.look_later(now, serial),
            }
        }
    }

    /// Whether a task that is about to be offered would end too late, and nothing of its submission has started.
    ///
    /// Load: slots that get free after a long wait. Harm: they go to tasks whose answers come too late, and the next
    /// ones wait for them and come too late as well.
    pub(super) fn is_hopeless(&self, now: Instant, serial: u64, task: TaskIndex) -> bool {
        let Some(record) = self.records.get(&serial) else {
            return false;
        };
        let left = record.due.saturating_duration_since(now);
        let needed = self.needed_by(now, record, task);
        needed.is_some_and(|needed| needed > left) && nothing_started(record)
    }

    /// Answers a submission of which nothing has started.
    pub(super) fn refuse_hopeless(&mut self, now: Instant, serial: u64) {
        let spread = 1.0 + self.rng.f64() * COME_BACK_SPREAD;
        let outcome = SubmissionOutcome::Refused {
            reason: RefusalReason::PredictedLate,
            retry_after: Some(COME_BACK.mul_f64(spread)),
        };
        self.finish(now, serial, outcome);
    }

    /// The longest time that a waiting task of the submission needs; `None` while none is measured.
    fn needed(&self, now: Instant, record: &SubmissionRecord) -> Option<Duration> {
        let mut longest = None;
        let mut last_kind = None;
        for (index, task) in record.tasks.iter().enumerate() {
            // Tasks of a job are mostly of one kind.
            if last_kind == Some(&task.body.kind) || !matches!(task.phase, TaskPhase::Waiting) {
                continue;
            }
            last_kind = Some(&task.body.kind);
            longest = longest.max(self.needed_by(now, record, index as TaskIndex));
        }
        longest
    }

    /// The time that a task needs as measured lately, the shorter one of the mean and the median: a refusal must not
    /// rest on a few long runs among many short ones.
    fn needed_by(
        &self,
        now: Instant,
        record: &SubmissionRecord,
        index: TaskIndex,
    ) -> Option<Duration> {
        let task = record.tasks.get(usize::try_from(index).ok()?)?;
        let (customer, kind) = (&record.customer, &task.body.kind);
        let mean = self.times.expected_run_time(now, customer, kind, None);
        if mean.source != EstimateSource::Measured {
            return None;
        }
        let left = record.due.saturating_duration_since(now);
        if mean.run_time <= left {
            return Some(mean.run_time);
        }
        let median = self.times.quantile(now, customer, kind, None, USUAL_SHARE);
        Some(mean.run_time.min(median.run_time))
    }
}

/// Whether every task certainly waits here.
fn nothing_started(record: &SubmissionRecord) -> bool {
    record.is_open()
        && record
            .tasks
            .iter()
            .all(|task| matches!(task.phase, TaskPhase::Waiting))
}
