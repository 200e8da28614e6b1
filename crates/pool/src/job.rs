//! A job that the pool has admitted, with its waiting and completed tasks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{CpuMillis, InstanceId, JobRequest, JobTerms, StepRecord, StepSpec};

use crate::{action::WaiterId, attempt_exclusion::RunLimit, kept::KeptJobState};

/// What the pool records of a job besides its request, in bytes.
const JOB_RECORD_BYTES: u64 = 512;

/// What the pool records of a task, in bytes.
const TASK_RECORD_BYTES: u64 = 48;

/// The memory that a job takes while it has no outcome, in bytes.
pub(crate) fn request_bytes(request: &JobRequest) -> u64 {
    let tasks = request.task_count().saturating_mul(TASK_RECORD_BYTES);
    request.memory_bytes() + JOB_RECORD_BYTES + tasks
}

/// A task that waits to be placed on a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WaitingTask {
    pub(crate) index: u32,
    /// How many times the task has failed.
    pub(crate) failures: u32,
    /// The workers on which the task failed. Others are preferred.
    pub(crate) failed_on: Vec<InstanceId>,
}

/// The progress of one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepProgress {
    /// The tasks that wait to be placed once the step is ready.
    pub(crate) waiting: Vec<WaitingTask>,
    /// The number of completed tasks.
    pub(crate) done: u32,
    /// Whether all steps that have to come before are complete, so that tasks may be placed.
    pub(crate) ready: bool,
}

/// A job as the pool tracks it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedJob {
    pub(crate) request: Arc<JobRequest>,
    pub(crate) terms: JobTerms,
    /// When the customer's request arrived.
    pub(crate) arrived: Instant,
    /// When the customer stops waiting.
    pub(crate) deadline: Instant,
    /// The time after `arrived` within which the job has to end to be in time.
    pub(crate) objective: Duration,
    pub(crate) waiters: Vec<WaiterId>,
    pub(crate) steps: Vec<StepProgress>,
    /// Whether a task may have begun: this owner has ordered a start, or one was known to have begun when the job was found.
    /// From then on the job is never reported as not run.
    pub(crate) may_have_begun: bool,
    /// Whether a task is known to have begun. An order does not show that: its worker may be lost, or reject it.
    pub(crate) has_begun: bool,
    /// Until when the job's runs may last. None for a kept job, whose row keeps its attempts apart.
    pub(crate) run_limit: Option<RunLimit>,
    /// What is stored of the job, if it is a kept job.
    pub(crate) kept: Option<KeptJobState>,
}

impl TrackedJob {
    /// Whether the job is a kept job whose row is in the store.
    pub(crate) fn is_stored(&self) -> bool {
        self.kept
            .as_ref()
            .is_some_and(|kept| kept.version.is_some())
    }

    /// Whether a task of a kept job neither waits nor is completed.
    pub(crate) fn is_unaccounted(&self, step: usize, index: u32) -> bool {
        let records = self.kept.as_ref().and_then(|kept| kept.progress.get(step));
        let done = records.is_some_and(|record| record.done.contains(&index));
        let waiting = self.steps.get(step).map(|step| step.waiting.iter());
        let is_waiting = waiting
            .into_iter()
            .flatten()
            .any(|task| task.index == index);
        !done && !is_waiting
    }

    /// Whether a task waits and may be placed now.
    pub(crate) fn is_placeable(&self, step: usize, index: u32) -> bool {
        let step = self.steps.get(step).filter(|step| step.ready);
        step.is_some_and(|step| step.waiting.iter().any(|task| task.index == index))
    }

    /// Removes a task from the waiting ones, since it has a run.
    pub(crate) fn remove_waiting(&mut self, step: usize, index: u32) {
        if let Some(progress) = self.steps.get_mut(step) {
            progress.waiting.retain(|task| task.index != index);
        }
    }

    /// Recounts the completed tasks of a kept job from its record, where each task counts once: a task may be completed
    /// both by a run of this owner and according to what a former owner stored.
    pub(crate) fn recount_done(&mut self) {
        let records = self.kept.as_ref().map(|kept| kept.progress.iter());
        for (step, record) in self.steps.iter_mut().zip(records.into_iter().flatten()) {
            step.done = u32::try_from(record.done.len()).unwrap_or(u32::MAX);
        }
    }

    /// Whether the job is a kept job that has ended and whose end is being stored.
    pub(crate) fn has_ended(&self) -> bool {
        self.kept
            .as_ref()
            .is_some_and(|kept| kept.final_state.is_some())
    }

    /// Whether the job belongs into the queue: it has tasks that may be placed, a kept job is stored, and its end is not
    /// decided.
    pub(crate) fn is_queueable(&self) -> bool {
        let may_run = self.kept.is_none() || self.is_stored() && !self.has_ended();
        may_run && self.placeable_count() > 0
    }

    /// Applies the stored record of a step: completed tasks no longer wait, and stored failures count.
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
        self.has_begun |= !record.done.is_empty() || !record.failed.is_empty();
        self.may_have_begun |= self.has_begun;
    }

    /// Updates which steps are ready, which are those whose predecessors are complete.
    pub(crate) fn update_ready_steps(&mut self) {
        for step in 0..self.steps.len() {
            let after = &self.request.steps[step].after;
            let ready = after.iter().all(|before| self.is_done(*before as usize));
            self.steps[step].ready = ready;
        }
    }

    /// Whether all tasks of all steps are completed.
    pub(crate) fn is_complete(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_done(step))
    }

    /// Whether all tasks of a step are completed.
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

    /// The smallest CPU demand of the tasks that may be placed now.
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

    /// Whether any task waits to be placed, including those of steps that are not ready.
    pub(crate) fn has_unplaced(&self) -> bool {
        self.steps.iter().any(|step| !step.waiting.is_empty())
    }
}
