//! What comes out of the ledger.

use std::time::Duration;

use model::{AttemptEnd, AttemptId, EndpointAddress, IncarnationId, SessionId, TaskOffer};

use crate::ClaimNumber;

/// Something for the process around the ledger to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerAction {
    /// Run a task on an endpoint; the end comes back through [`crate::SlotLedger::on_task_ended`].
    Start {
        /// The endpoint.
        endpoint: EndpointAddress,
        /// The task with its body.
        offer: TaskOffer,
    },
    /// Ask an entry for the body of a queued attempt.
    Claim {
        /// The entry.
        entry: IncarnationId,
        /// Its session.
        session: SessionId,
        /// The attempt.
        attempt: AttemptId,
        /// Comes back with the answer, so that a late one is known as late.
        claim: ClaimNumber,
    },
    /// Tell an entry how an attempt ended. It is repeated on the next session until the entry has confirmed it.
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
