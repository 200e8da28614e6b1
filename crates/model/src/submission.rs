//! Submissions and the tasks they split into.

use std::time::Duration;

use crate::{AttemptId, CustomerId, IdempotencyKey, Payload, TaskKind, TicketId};

/// One task as the caller sent it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskBody {
    /// The kind, by which run times are learned.
    pub kind: TaskKind,
    /// The bytes for the endpoint.
    pub payload: Payload,
    /// The run time that the caller expects. It may be far off.
    pub declared_run_time: Option<Duration>,
}

/// How a second arrival of the same request is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateDetection {
    /// It is not: the request runs once per submission.
    PerSubmission,
    /// By a ticket, which one incarnation of one entry honours.
    Ticket(TicketId),
    /// By a key that the caller chose, recorded in the platform's table before the start.
    Key(IdempotencyKey),
}

/// Job or single request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionKind {
    /// Parallel tasks with one answer.
    Job,
    /// One non-idempotent task.
    Request(DuplicateDetection),
}

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionBody {
    /// Whose contract covers it.
    pub customer: CustomerId,
    /// Job or request.
    pub kind: SubmissionKind,
    /// The time within which the caller wants the answer; the contract's answer time where absent.
    pub deadline: Option<Duration>,
    /// The tasks, at least one; exactly one for a request.
    pub tasks: Vec<TaskBody>,
}

/// A task on its way to a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskOffer {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whose task.
    pub customer: CustomerId,
    /// The customer's weight in fair queueing.
    pub share: crate::CustomerShare,
    /// The kind.
    pub kind: TaskKind,
    /// The time left until the answer is due.
    pub time_left: Duration,
    /// The run time that the entry expects.
    pub expected_run_time: Duration,
    /// The bytes for the endpoint.
    pub payload: Payload,
}
