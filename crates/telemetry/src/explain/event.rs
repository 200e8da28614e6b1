//! Events in the life of a submission.

use model::{
    AttemptEnd, ContractVersion, CustomerId, FailureReason, RefusalReason, RetryReason,
    SubmissionOutcome, TaskIndex, UnknownReason, VmId,
};
use serde::{Serialize, Serializer};

/// What is known of a submission when it is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionSummary {
    /// Whose contract covers it.
    pub customer: CustomerId,
    /// The version of the contract that it was judged by; absent where there is none.
    pub contract: Option<ContractVersion>,
    /// The number of tasks.
    pub tasks: u32,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ExplainEvent {
    /// It was admitted against the contract.
    Admitted,
    /// It was refused; nothing of it ran.
    Refused {
        /// Why.
        #[serde(serialize_with = "serialize_display")]
        reason: RefusalReason,
    },
    /// The same request came again and was not run again.
    SecondArrival,
    /// Its idempotency key was recorded.
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
    /// The dispatcher asked for the task's body.
    Claimed {
        /// The task.
        task: TaskIndex,
    },
    /// An attempt started at an endpoint.
    Started {
        /// The task.
        task: TaskIndex,
        /// The try, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    Ended {
        /// The task.
        task: TaskIndex,
        /// The try, from 0.
        attempt: u32,
        /// How.
        #[serde(flatten)]
        end: AttemptSummary,
    },
    /// A withdrawal of the task was asked for.
    Withdrawn {
        /// The task.
        task: TaskIndex,
    },
    /// The caller cancelled.
    Cancelled,
    /// The one answer was given.
    Answered {
        /// What it said.
        #[serde(flatten)]
        outcome: OutcomeSummary,
    },
}

/// How an attempt ended, without the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum AttemptSummary {
    /// The task ran and answered.
    Done,
    /// The task ran and said that it failed.
    Failed,
    /// The task did not start.
    NotRun {
        /// Why.
        #[serde(serialize_with = "serialize_display")]
        reason: RetryReason,
    },
    /// Nobody can say.
    Unknown {
        /// Why.
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

/// What an answer said, without the payloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OutcomeSummary {
    /// Every task ran.
    Complete,
    /// The submission failed as a whole.
    Failed {
        /// Why.
        #[serde(serialize_with = "serialize_display")]
        reason: FailureReason,
    },
    /// Nothing ran.
    Refused {
        /// Why.
        #[serde(serialize_with = "serialize_display")]
        reason: RefusalReason,
    },
    /// It may or may not have run.
    Unknown {
        /// Why.
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
