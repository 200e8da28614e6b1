//! Records of submissions and of their tasks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    Contract, ContractVersion, CustomerId, CustomerShare, SubmissionOutcome, TaskBody, TaskIndex,
    TaskResult,
};

#[derive(Clone, Debug)]
pub(crate) enum TaskPhase {
    /// Waits at the entry for free concurrency of its customer or for the end of a backoff.
    Waiting,
    /// Attempt number `attempt_count - 1` of the task is in the attempt table.
    InFlight,
    /// The task returned a result.
    Done(TaskResult),
}

#[derive(Clone, Debug)]
pub(crate) struct TaskRecord {
    pub(crate) body: TaskBody,
    /// Expected run time with which the task counts in its customer's load.
    pub(crate) expected_run_time: Duration,
    /// Whether the task counts as started in its customer's load.
    pub(crate) started: bool,
    /// Number of attempts made so far.
    pub(crate) attempt_count: u32,
    pub(crate) phase: TaskPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionClass {
    Job,
    Request,
}

#[derive(Clone, Debug)]
pub(crate) enum RecordState {
    Open,
    Answered {
        outcome: Arc<SubmissionOutcome>,
        at: Instant,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct SubmissionRecord {
    pub(crate) customer: CustomerId,
    pub(crate) class: SubmissionClass,
    pub(crate) version: ContractVersion,
    pub(crate) share: CustomerShare,
    pub(crate) retry_percent: u32,
    pub(crate) move_queued: bool,
    pub(crate) digest: u64,
    pub(crate) due: Instant,
    /// Time of the next deadline check, under which the submission is listed in the authority's `deadline_checks`.
    pub(crate) check_at: Option<Instant>,
    pub(crate) tasks: Vec<TaskRecord>,
    /// Number of tasks in the phase `Done`.
    pub(crate) done: u32,
    /// The first attempt number of this run.
    pub(crate) first_attempt: u32,
    /// The first unused attempt number, set when the tasks are dropped. A refused submission that runs after all starts
    /// its tasks' attempts there, because messages with an id used before may still be in transit.
    pub(crate) next_attempt: u32,
    pub(crate) state: RecordState,
}

impl SubmissionRecord {
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, RecordState::Open)
    }

    pub(crate) fn is_refused(&self) -> bool {
        match &self.state {
            RecordState::Open => false,
            RecordState::Answered { outcome, .. } => {
                matches!(outcome.as_ref(), SubmissionOutcome::Refused { .. })
            }
        }
    }

    pub(crate) fn was_answered_at(&self, time: Instant) -> bool {
        matches!(self.state, RecordState::Answered { at, .. } if at == time)
    }

    pub(crate) fn is_waiting(&self, index: TaskIndex) -> bool {
        let task = usize::try_from(index)
            .ok()
            .and_then(|index| self.tasks.get(index));
        task.is_some_and(|task| matches!(task.phase, TaskPhase::Waiting))
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| matches!(task.phase, TaskPhase::Waiting))
    }

    pub(crate) fn task_mut(&mut self, index: TaskIndex) -> Option<&mut TaskRecord> {
        self.tasks.get_mut(usize::try_from(index).ok()?)
    }

    pub(crate) fn results(&self) -> Vec<TaskResult> {
        let mut results = Vec::with_capacity(self.tasks.len());
        for task in &self.tasks {
            if let TaskPhase::Done(result) = &task.phase {
                results.push(result.clone());
            }
        }
        results
    }

    /// Stores the terms of the contract under which the submission runs from acceptance to answer, even if the contract
    /// changes in between.
    pub(crate) fn apply_terms(&mut self, contract: &Contract, version: ContractVersion) {
        self.version = version;
        self.share = contract.share;
        self.retry_percent = contract.retry_percent;
        self.move_queued = contract.move_queued;
    }
}
