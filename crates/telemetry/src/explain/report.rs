//! The answer to `explain`.

use model::{ContractVersion, CustomerId, SubmissionId};
use serde::Serialize;

use super::ExplainEvent;

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainReport {
    /// The submission.
    pub submission: SubmissionId,
    /// Whose contract covers it.
    pub customer: CustomerId,
    /// The version of the contract that it was judged by.
    pub contract_version: Option<ContractVersion>,
    /// The number of tasks.
    pub tasks: u32,
    /// What happened, in order.
    pub events: Vec<ExplainLine>,
    /// Events that were only counted.
    pub events_left_out: u32,
}

/// One event with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainLine {
    /// Milliseconds since the acceptance.
    pub after_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: ExplainEvent,
}
