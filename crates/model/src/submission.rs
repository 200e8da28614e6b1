//! Submissions and the tasks that they consist of.

use std::time::Duration;

use crate::{AttemptId, CustomerId, IdempotencyKey, Payload, TaskKind, TicketId};

/// One task as submitted by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskBody {
    /// The kind of the task. Run times are estimated per kind.
    pub kind: TaskKind,
    /// The bytes for the endpoint.
    pub payload: Payload,
    /// The caller's estimate of the run time, which may be far off.
    pub declared_run_time: Option<Duration>,
}

/// How a repeated arrival of the same request is recognised, so that the request runs once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateDetection {
    /// Duplicates are not recognised: the request runs once per submission.
    PerSubmission,
    /// By a ticket, which only the entry incarnation that issued it accepts.
    Ticket(TicketId),
    /// By an idempotency key that the caller chose. The key is recorded in the platform's table before the request
    /// starts.
    Key(IdempotencyKey),
}

/// Whether a submission is a job or a single request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionKind {
    /// Parallel tasks with one common answer.
    Job,
    /// One non-idempotent task.
    Request(DuplicateDetection),
}

/// A submission as sent by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionBody {
    /// The customer under whose contract the submission runs.
    pub customer: CustomerId,
    /// Whether the submission is a job or a request.
    pub kind: SubmissionKind,
    /// The time within which the caller wants the answer. If absent, the contract's answer time applies.
    pub deadline: Option<Duration>,
    /// The tasks: at least one for a job, exactly one for a request.
    pub tasks: Vec<TaskBody>,
}

/// A task as offered to a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskOffer {
    /// The id of this attempt.
    pub attempt: AttemptId,
    /// The customer that the task belongs to.
    pub customer: CustomerId,
    /// The customer's weight in fair queueing.
    pub share: crate::CustomerShare,
    /// The kind of the task.
    pub kind: TaskKind,
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The run time that the entry expects.
    pub expected_run_time: Duration,
    /// The bytes for the endpoint.
    pub payload: Payload,
}
