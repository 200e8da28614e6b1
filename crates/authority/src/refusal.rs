//! Refusals at submission.

use std::time::Duration;

use model::RefusalReason;
use thiserror::Error;

/// Why a submission was not accepted. Nothing of it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("refused: {reason}")]
pub struct SubmissionRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When it is worth coming back. `None` where coming back does not help.
    pub retry_after: Option<Duration>,
}

impl SubmissionRefusal {
    /// A refusal that will be the same at any time.
    pub fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal that may have changed by then.
    pub fn temporary(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }
}
