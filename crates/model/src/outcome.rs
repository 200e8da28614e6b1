//! The ends of attempts and the outcomes of submissions.

use std::time::Duration;

use crate::{ByteSize, FailureReason, Payload, RefusalReason, RetryReason, UnknownReason};

/// The result of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskResult {
    /// The bytes that the endpoint returned.
    pub payload: Payload,
}

/// How one attempt ended, as reported by the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The task ran and returned this result.
    Done(TaskResult),
    /// The task ran and reported a failure.
    Failed,
    /// The task definitely did not start. It may be placed again.
    NotRun(RetryReason),
    /// The task may or may not have started. It is never started again.
    Unknown(UnknownReason),
}

impl AttemptEnd {
    /// The size of the attempt's result, in bytes; 0 if it has none.
    pub fn size(&self) -> ByteSize {
        match self {
            Self::Done(result) => result.payload.size(),
            Self::Failed | Self::NotRun(_) | Self::Unknown(_) => ByteSize(0),
        }
    }
}

/// The outcome of a submission. Each submission gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// Every task ran. There is one result per task, in the order of the submission's tasks.
    Complete(Vec<TaskResult>),
    /// The submission failed as a whole. Partial results are not returned.
    Failed(FailureReason),
    /// No task of the submission ran.
    Refused {
        /// Why the submission was refused.
        reason: RefusalReason,
        /// The delay after which a retry is worthwhile, if it can be predicted.
        retry_after: Option<Duration>,
    },
    /// A non-idempotent request may or may not have run.
    Unknown(UnknownReason),
}
