//! A job that the pool has admitted: which tasks wait, run and are done.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{CpuMillis, JobRequest, JobTerms, LifeId, StepRecord, StepSpec};

use crate::{action::WaiterId, kept::KeptJobState};

/// A task that waits for a place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WaitingTask {
    pub(crate) index: u32,
    /// How often it failed.
    pub(crate) failures: u32,
    /// The workers on which it failed; another is tried first.
    pub(crate) failed_on: Vec<LifeId>,
}

/// How far one step is.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepProgress {
    /// Tasks that wait, once the steps before are done.
    pub(crate) waiting: Vec<WaitingTask>,
    /// Tasks that are done.
    pub(crate) done: u32,
    /// Whether the steps before are done.
    pub(crate) ready: bool,
}

/// A job in the pool.
#[derive(Clone, Debug)]
pub(crate) struct TrackedJob {
    pub(crate) request: Arc<JobRequest>,
    pub(crate) terms: JobTerms,
    /// When the customer's request came.
    pub(crate) arrived: Instant,
    /// When the customer stops waiting.
    pub(crate) deadline: Instant,
    /// How long the job may take to be in time.
    pub(crate) objective: Duration,
    pub(crate) waiters: Vec<WaiterId>,
    pub(crate) steps: Vec<StepProgress>,
    /// Whether a start was ever ordered. From then on it is never said that the job has not run.
    pub(crate) start_ordered: bool,
    /// What of it is stored, if it is kept.
    pub(crate) kept: Option<KeptJobState>,
}

impl TrackedJob {
    /// Whether it is a kept job that is stored.
    pub(crate) fn is_stored(&self) -> bool {
        self.kept
            .as_ref()
            .is_some_and(|kept| kept.version.is_some())
    }

    /// Whether a task of a kept job neither waits nor is done.
    pub(crate) fn is_unaccounted(&self, step: usize, index: u32) -> bool {
        let records = self.kept.as_ref().and_then(|kept| kept.progress.get(step));
        let done = records.is_some_and(|record| record.done.contains(&index));
        let waiting = self.steps.get(step).map(|step| step.waiting.iter());
        let waits = waiting
            .into_iter()
            .flatten()
            .any(|task| task.index == index);
        !done && !waits
    }

    /// Whether a task waits that may be placed now.
    pub(crate) fn is_placeable(&self, step: usize, index: u32) -> bool {
        let step = self.steps.get(step).filter(|step| step.ready);
        step.is_some_and(|step| step.waiting.iter().any(|task| task.index == index))
    }

    /// A task that has a run does not wait.
    pub(crate) fn remove_waiting(&mut self, step: usize, index: u32) {
        if let Some(progress) = self.steps.get_mut(step) {
            progress.waiting.retain(|task| task.index != index);
        }
    }

    /// Counts the tasks of a kept job that are done by its record, where each counts once: one may be done by a run of this
    /// owner and known to be done by what a former one stored.
    pub(crate) fn recount_done(&mut self) {
        let records = self.kept.as_ref().map(|kept| kept.progress.iter());
        for (step, record) in self.steps.iter_mut().zip(records.into_iter().flatten()) {
            step.done = u32::try_from(record.done.len()).unwrap_or(u32::MAX);
        }
    }

    /// Whether it is a kept job that has ended, and its end is being stored.
    pub(crate) fn has_ended(&self) -> bool {
        self.kept
            .as_ref()
            .is_some_and(|kept| kept.final_state.is_some())
    }

    /// Takes what the store has of a step: tasks that are done wait no more.
    pub(crate) fn apply_record(&mut self, step: usize, record: &StepRecord) {
        let Some(progress) = self.steps.get_mut(step) else {
            return;
        };
        progress
            .waiting
            .retain(|task| !record.done.contains(&task.index));
        progress.done = u32::try_from(record.done.len()).unwrap_or(u32::MAX);
        for task in &mut progress.waiting {
            task.failures = task.failures.max(record.failures(task.index));
        }
        self.start_ordered |= !record.done.is_empty();
    }

    /// Opens steps whose predecessors are done.
    pub(crate) fn update_ready_steps(&mut self) {
        for step in 0..self.steps.len() {
            let after = &self.request.steps[step].after;
            let ready = after.iter().all(|before| self.is_done(*before as usize));
            self.steps[step].ready = ready;
        }
    }

    /// Whether all tasks of all steps are done.
    pub(crate) fn is_complete(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_done(step))
    }

    /// Whether all tasks of a step are done.
    pub(crate) fn is_done(&self, step: usize) -> bool {
        match (self.steps.get(step), self.request.steps.get(step)) {
            (Some(progress), Some(spec)) => progress.done >= spec.count,
            _ => true,
        }
    }

    /// The steps with tasks that may be placed now.
    pub(crate) fn placeable_steps(&self) -> impl Iterator<Item = (usize, &StepSpec)> + '_ {
        let steps = self.steps.iter().enumerate();
        steps
            .filter(|(_, progress)| progress.ready && !progress.waiting.is_empty())
            .map(|(step, _)| (step, &self.request.steps[step]))
    }

    /// The least processor room that any task needs which may be placed now.
    pub(crate) fn min_placeable_cpu(&self) -> CpuMillis {
        let waiting = self.placeable_steps().map(|(_, spec)| spec.demand.cpu);
        waiting.min().unwrap_or_default()
    }

    /// The number of tasks that may be placed now.
    pub(crate) fn placeable_count(&self) -> usize {
        self.steps
            .iter()
            .filter(|step| step.ready)
            .map(|step| step.waiting.len())
            .sum()
    }

    /// Whether any task has no place yet, also of steps that wait for earlier ones.
    pub(crate) fn has_unplaced(&self) -> bool {
        self.steps.iter().any(|step| !step.waiting.is_empty())
    }
}
