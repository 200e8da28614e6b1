//! The response to `explain`.

use model::{ContractVersion, CustomerId, SubmissionId};
use serde::Serialize;

use super::ExplainEvent;

/// The recorded events of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainReport {
    /// The submission.
    pub submission: SubmissionId,
    /// The customer whose contract covers the submission.
    pub customer: CustomerId,
    /// The contract version that admission was decided on; absent if there is none.
    pub contract_version: Option<ContractVersion>,
    /// The number of tasks.
    pub tasks: u32,
    /// The events in order of recording.
    pub events: Vec<ExplainLine>,
    /// The number of events beyond the limit, which were counted but not kept.
    pub events_left_out: u32,
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainLine {
    /// Milliseconds since the submission was accepted.
    pub after_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: ExplainEvent,
}
