//! What became of an attempt and of a submission.

use std::time::Duration;

use crate::{ByteSize, FailureReason, Payload, RefusalReason, RetryReason, UnknownReason};

/// The answer of one task, in the order of the submission's tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskResult {
    /// The bytes that the endpoint gave back.
    pub payload: Payload,
}

/// How one attempt ended at the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The task ran and gave this answer.
    Done(TaskResult),
    /// The task ran and said that it failed.
    Failed,
    /// The task certainly did not start. It may be placed again.
    NotRun(RetryReason),
    /// The task may have started; nobody can say. It is never started again.
    Unknown(UnknownReason),
}

impl AttemptEnd {
    /// The bytes of its result.
    pub fn size(&self) -> ByteSize {
        match self {
            Self::Done(result) => result.payload.size(),
            Self::Failed | Self::NotRun(_) | Self::Unknown(_) => ByteSize(0),
        }
    }
}

/// The one answer of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// Every task ran; one result a task, in order.
    Complete(Vec<TaskResult>),
    /// The submission failed as a whole. No partial results are given.
    Failed(FailureReason),
    /// Nothing of the submission ran.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When it is worth coming back, where that can be told.
        retry_after: Option<Duration>,
    },
    /// A non-idempotent request may or may not have run.
    Unknown(UnknownReason),
}
