//! Actions that the ledger returns.

use std::time::Duration;

use model::{AttemptEnd, AttemptId, EndpointAddress, IncarnationId, SessionId, TaskOffer};

use crate::ClaimNumber;

/// An action that the process around the ledger has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerAction {
    /// Run a task on an endpoint. Its end is passed to [`crate::SlotLedger::on_task_ended`].
    Start {
        /// The endpoint.
        endpoint: EndpointAddress,
        /// The task with its body.
        offer: TaskOffer,
    },
    /// Claim the body of a queued attempt from its entry.
    Claim {
        /// The entry.
        entry: IncarnationId,
        /// Its session.
        session: SessionId,
        /// The attempt.
        attempt: AttemptId,
        /// Returned with the answer, so that a late answer is recognised.
        claim: ClaimNumber,
    },
    /// Report to an entry how an attempt ended. Repeated on the next session until the entry has confirmed it.
    Report {
        /// The entry.
        entry: IncarnationId,
        /// Its session.
        session: SessionId,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// How long it ran.
        ran: Duration,
    },
}
