//! Events in the course of a submission.

use model::{
    AttemptEnd, ContractVersion, CustomerId, FailureReason, RefusalReason, RetryReason,
    SubmissionOutcome, TaskIndex, UnknownReason, VmId,
};
use serde::{Serialize, Serializer};

/// The data of a submission that is known when it is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionSummary {
    /// The customer whose contract covers the submission.
    pub customer: CustomerId,
    /// The contract version that admission was decided on; absent if there is none.
    pub contract: Option<ContractVersion>,
    /// The number of tasks.
    pub tasks: u32,
}

/// An event of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ExplainEvent {
    /// The submission was admitted under its contract.
    Admitted,
    /// The submission was refused, and none of its tasks ran.
    Refused {
        /// The reason.
        #[serde(serialize_with = "serialize_display")]
        reason: RefusalReason,
    },
    /// The same request arrived again and was not run again.
    SecondArrival,
    /// The idempotency key was recorded.
    KeyRecorded,
    /// A task was offered to a dispatcher.
    Offered {
        /// The task.
        task: TaskIndex,
        /// The dispatcher's VM.
        dispatcher: VmId,
    },
    /// The dispatcher queued the task.
    Queued {
        /// The task.
        task: TaskIndex,
    },
    /// The dispatcher requested the task's body.
    Claimed {
        /// The task.
        task: TaskIndex,
    },
    /// An attempt started at an endpoint.
    Started {
        /// The task.
        task: TaskIndex,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    Ended {
        /// The task.
        task: TaskIndex,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// How the attempt ended.
        #[serde(flatten)]
        end: AttemptSummary,
    },
    /// The entry asked the dispatcher to withdraw the task.
    Withdrawn {
        /// The task.
        task: TaskIndex,
    },
    /// The caller cancelled the submission.
    Cancelled,
    /// The caller was answered. A submission has only one answer.
    Answered {
        /// The outcome in the answer.
        #[serde(flatten)]
        outcome: OutcomeSummary,
    },
}

/// How an attempt ended, without the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum AttemptSummary {
    /// The task ran and returned a result.
    Done,
    /// The task ran and reported failure.
    Failed,
    /// The task did not start.
    NotRun {
        /// The reason.
        #[serde(serialize_with = "serialize_display")]
        reason: RetryReason,
    },
    /// It is unknown whether the task ran.
    Unknown {
        /// The reason.
        #[serde(serialize_with = "serialize_display")]
        reason: UnknownReason,
    },
}

impl From<&AttemptEnd> for AttemptSummary {
    fn from(end: &AttemptEnd) -> Self {
        match end {
            AttemptEnd::Done(_) => Self::Done,
            AttemptEnd::Failed => Self::Failed,
            AttemptEnd::NotRun(reason) => Self::NotRun { reason: *reason },
            AttemptEnd::Unknown(reason) => Self::Unknown { reason: *reason },
        }
    }
}

/// The outcome in an answer, without the payloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OutcomeSummary {
    /// Every task ran.
    Complete,
    /// The submission failed as a whole.
    Failed {
        /// The reason.
        #[serde(serialize_with = "serialize_display")]
        reason: FailureReason,
    },
    /// No task ran.
    Refused {
        /// The reason.
        #[serde(serialize_with = "serialize_display")]
        reason: RefusalReason,
    },
    /// The submission may or may not have run.
    Unknown {
        /// The reason.
        #[serde(serialize_with = "serialize_display")]
        reason: UnknownReason,
    },
}

impl From<&SubmissionOutcome> for OutcomeSummary {
    fn from(outcome: &SubmissionOutcome) -> Self {
        match outcome {
            SubmissionOutcome::Complete(_) => Self::Complete,
            SubmissionOutcome::Failed(reason) => Self::Failed { reason: *reason },
            SubmissionOutcome::Refused { reason, .. } => Self::Refused { reason: *reason },
            SubmissionOutcome::Unknown(reason) => Self::Unknown { reason: *reason },
        }
    }
}

fn serialize_display<T: std::fmt::Display, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}
