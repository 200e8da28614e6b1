//! A job that the pool has admitted: which tasks wait, run and are done.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{JobRequest, JobTerms, LifeId, StepSpec};

use crate::action::WaiterId;

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
    pub(crate) open: bool,
}

/// A job in the pool.
#[derive(Clone, Debug)]
pub(crate) struct JobLedger {
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
    pub(crate) ordered: bool,
}

impl JobLedger {
    /// Opens steps whose predecessors are done.
    pub(crate) fn open_steps(&mut self) {
        for step in 0..self.steps.len() {
            let after = &self.request.steps[step].after;
            let ready = after.iter().all(|before| self.is_done(*before as usize));
            self.steps[step].open = ready;
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
    pub(crate) fn open_waiting(&self) -> impl Iterator<Item = (usize, &StepSpec)> + '_ {
        let steps = self.steps.iter().enumerate();
        steps
            .filter(|(_, progress)| progress.open && !progress.waiting.is_empty())
            .map(|(step, _)| (step, &self.request.steps[step]))
    }

    /// The number of tasks that may be placed now.
    pub(crate) fn waiting_count(&self) -> usize {
        self.steps
            .iter()
            .filter(|step| step.open)
            .map(|step| step.waiting.len())
            .sum()
    }

    /// Whether any task has no place yet, also of steps that wait for earlier ones.
    pub(crate) fn has_unplaced(&self) -> bool {
        self.steps.iter().any(|step| !step.waiting.is_empty())
    }
}
