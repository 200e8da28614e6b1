//! Checks the invariants of kept jobs.

use std::time::Duration;

use jobs::{JobId, TaskId};
use model::{FastMap, FastSet};

use super::{
    has_ended, is_refusal, InvariantChecker, SoakInvariant, CLOCK_SLACK, FAULT_AFTERMATH,
    FINISH_LIMIT,
};
use crate::record::{KeptState, KeptTrace, RunEnd, RunTrace, StateRead};

/// How long after the acknowledgement of a cancellation tasks may still start, or run.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_050);

/// How many workers have to die under a task before the starts that follow are limited.
const CRASHES_TO_LIMIT: usize = 3;

/// How many starts that follow are too many.
const STARTS_TOO_MANY: usize = 3;

/// How long after a job was shown as completed a start that was sent before may still arrive.
const COMPLETED_START_LIMIT: Duration = Duration::from_secs(1);

impl InvariantChecker<'_> {
    pub(super) fn check_kept_jobs(&mut self) {
        let mut runs: FastMap<JobId, Vec<&RunTrace>> = FastMap::default();
        for run in &self.record.runs {
            runs.entry(run.task.job).or_default().push(run);
        }
        for job in &self.record.kept_jobs {
            let runs = runs.get(&job.id).map_or(&[][..], Vec::as_slice);
            self.check_submissions(job, runs);
            self.check_loss(job);
            for read in &job.reads {
                self.check_read(job, read, runs);
            }
            self.check_cancellation(job, runs);
            self.check_repeats(job, runs);
            if job.crashes_workers {
                self.check_budget(job, runs);
            }
        }
    }

    fn check_submissions(&mut self, job: &KeptTrace, runs: &[&RunTrace]) {
        let refused = job.attempts.iter().all(|attempt| is_refusal(attempt.end));
        if refused && !job.attempts.is_empty() && !runs.is_empty() {
            self.add_violation(SoakInvariant::Refused, format!("kept job {} ran", job.id));
        }
        for attempt in &job.attempts {
            self.check_answer_time(job.id, job.deadline, attempt);
        }
    }

    fn check_loss(&mut self, job: &KeptTrace) {
        let Some(accepted) = job.accepted() else {
            return;
        };
        let lost = job.reads.iter().find(|read| {
            let cancelled = job.cancel_sent.is_some_and(|sent| sent <= read.answered);
            read.state == KeptState::Unknown && read.sent >= accepted && !cancelled
        });
        if let Some(read) = lost {
            let details = format!(
                "job {}, accepted at {accepted:?}, is not known to node {} at {:?}",
                job.id, read.node, read.answered
            );
            self.add_violation(SoakInvariant::Lost, details);
        }
        let due = accepted + FINISH_LIMIT <= self.record.ended && job.cancel_sent.is_none();
        if due && !job.crashes_workers && !job.reads.iter().any(|read| read.state.is_final()) {
            let details = format!(
                "job {}, accepted at {accepted:?}, is not final at the end: {:?}",
                job.id,
                job.reads.last()
            );
            self.add_violation(SoakInvariant::Lost, details);
        }
    }

    fn check_read(&mut self, job: &KeptTrace, read: &StateRead, runs: &[&RunTrace]) {
        let (id, answered) = (job.id, read.answered);
        match read.state {
            KeptState::Completed => {
                let done = done_tasks(runs, answered + CLOCK_SLACK);
                if done < job.tasks as usize {
                    let details = format!(
                        "job {id} at {answered:?} with {done} of {} tasks done",
                        job.tasks
                    );
                    self.add_violation(SoakInvariant::Completed, details);
                }
            }
            KeptState::Failed if !self.may_fail(id, Duration::ZERO, answered) => {
                let runs = self.list_runs(id);
                let details = format!("job {id} at {answered:?} without cause: {runs}");
                self.add_violation(SoakInvariant::Failed, details);
            }
            KeptState::Cancelled if job.cancel_sent.is_none_or(|sent| sent > answered) => {
                let details = format!("job {id} at {answered:?} without its customer's request");
                self.add_violation(SoakInvariant::Cancelled, details);
            }
            _ => (),
        }
        let mut earlier = job.reads.iter().filter(|r| r.answered <= read.sent);
        if let Some(earlier) = earlier.find(|r| r.state.is_final() && r.state != read.state) {
            let details = format!(
                "job {id} was {:?} at {:?}, and {:?} at {answered:?}",
                earlier.state, earlier.answered, read.state
            );
            self.add_violation(SoakInvariant::Settled, details);
        }
    }

    fn check_cancellation(&mut self, job: &KeptTrace, runs: &[&RunTrace]) {
        let Some(acknowledged) = job.cancel_acknowledged else {
            return;
        };
        for run in runs {
            let ended = run.ended.unwrap_or(self.record.ended);
            let calm_from = |at: Duration| at.saturating_sub(FAULT_AFTERMATH + CANCEL_LIMIT);
            let late = [run.began, ended].into_iter().find(|at| {
                *at > acknowledged + CANCEL_LIMIT
                    && self.record.has_no_unplanned_fault(calm_from(*at), *at)
            });
            if let Some(at) = late {
                let details = format!(
                    "task {} ran at {at:?}, cancelling was acknowledged at {acknowledged:?}",
                    run.task
                );
                self.add_violation(SoakInvariant::Cancelled, details);
            }
        }
    }

    /// Only starts count that nodes made in touch with all others and the store.
    fn check_budget(&mut self, job: &KeptTrace, runs: &[&RunTrace]) {
        let died = runs.iter().filter(|run| run.end == Some(RunEnd::Died));
        let mut died: Vec<Duration> = died.filter_map(|run| run.ended).collect();
        died.sort_unstable();
        let Some(limited_from) = died.get(CRASHES_TO_LIMIT - 1).copied() else {
            return;
        };
        let starts = runs.iter().map(|run| run.began).filter(|began| {
            let from = began.saturating_sub(FAULT_AFTERMATH);
            *began > limited_from && self.record.are_nodes_undisturbed(from, *began)
        });
        let count = starts.count();
        if count >= STARTS_TOO_MANY {
            let details = format!(
                "job {} was started {count} times after three crashes",
                job.id
            );
            self.add_violation(SoakInvariant::Budget, details);
        }
    }

    fn check_repeats(&mut self, job: &KeptTrace, runs: &[&RunTrace]) {
        let completed = job.reads.iter().find(|r| r.state == KeptState::Completed);
        let completed = completed.map(|read| read.answered);
        let mut done: FastMap<TaskId, Duration> = FastMap::default();
        for run in runs {
            let (Some(RunEnd::Done), Some(ended), Some(_)) = (run.end, run.ended, run.acknowledged)
            else {
                continue;
            };
            let first = done.entry(run.task).or_insert(ended);
            *first = ended.min(*first);
        }
        for run in runs {
            let done = done.get(&run.task).copied();
            let again = done.is_some_and(|ended| run.began > ended)
                || completed.is_some_and(|shown| run.began > shown + COMPLETED_START_LIMIT);
            if again {
                let details = format!(
                    "task {} run {} began at {:?}; done at {done:?}, shown as completed at {completed:?}",
                    run.task, run.run, run.began
                );
                self.add_violation(SoakInvariant::Again, details);
            }
        }
    }
}

/// Returns how many tasks had a run that was done by this time.
fn done_tasks(runs: &[&RunTrace], by: Duration) -> usize {
    let done = runs
        .iter()
        .filter(|run| run.end == Some(RunEnd::Done) && has_ended(run, by));
    done.map(|run| run.task).collect::<FastSet<TaskId>>().len()
}
