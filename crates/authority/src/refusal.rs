//! Refusals at submission.

use std::time::Duration;

use model::RefusalReason;
use thiserror::Error;

/// Why a submission was not accepted. Nothing of it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("submission refused: {reason}")]
pub struct SubmissionRefusal {
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// How long the caller should wait before it tries again. `None` if another try cannot succeed.
    pub retry_after: Option<Duration>,
}

impl SubmissionRefusal {
    /// Creates a refusal that another try cannot change.
    pub fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal that may no longer apply after `retry_after`.
    pub fn temporary(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }
}
