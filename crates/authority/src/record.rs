//! Submissions and their tasks.

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
    /// Waits here for room in the customer's concurrency, or for a pause to pass.
    Waiting,
    /// Attempt number `attempt - 1` of the task is in the flight table.
    InFlight,
    Done(TaskResult),
}

#[derive(Clone, Debug)]
pub(crate) struct TaskRecord {
    pub(crate) body: TaskBody,
    /// The run time by which the task counts in its customer's load.
    pub(crate) expected_run_time: Duration,
    /// Whether it counts as started there.
    pub(crate) started: bool,
    /// Attempts made so far.
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
    /// Its place in the order of looks at what waits.
    pub(crate) check_at: Option<Instant>,
    pub(crate) tasks: Vec<TaskRecord>,
    pub(crate) done: u32,
    /// The first attempt number of this run.
    pub(crate) first_attempt: u32,
    /// The first attempt number that was never used, once the tasks are dropped. A refused submission that runs after
    /// all starts its tasks' attempts there: an id used before may still be on its way somewhere.
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

    /// The terms of the contract that the submission runs under from acceptance to answer, also when the contract
    /// changes in between.
    pub(crate) fn apply_terms(&mut self, contract: &Contract, version: ContractVersion) {
        self.version = version;
        self.share = contract.share;
        self.retry_percent = contract.retry_percent;
        self.move_queued = contract.move_queued;
    }
}
