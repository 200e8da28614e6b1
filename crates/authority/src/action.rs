//! What comes out of the authority.

use std::sync::Arc;

use model::{
    AttemptEnd, AttemptId, ContractVersion, CustomerId, RefusalReason, RetryReason, SessionId,
    SubmissionId, SubmissionOutcome, TaskOffer,
};

use crate::DispatcherKey;

/// Something for the process around the authority to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Offer tasks to a dispatcher.
    Offer {
        /// The dispatcher.
        dispatcher: DispatcherKey,
        /// The session to send it on. If that is no longer the open one, the offer is not sent at all.
        session: SessionId,
        /// The number of the batch within the session.
        batch: u64,
        /// The tasks.
        offers: Vec<TaskOffer>,
    },
    /// Withdraw attempts; the reply comes back through [`crate::TaskAuthority::on_withdrawn`].
    Withdraw {
        /// The dispatcher.
        dispatcher: DispatcherKey,
        /// The session to send it on.
        session: SessionId,
        /// The last batch offered before.
        after_batch: u64,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Tell the callers that wait for this submission.
    Answer {
        /// The submission.
        id: SubmissionId,
        /// Its one answer.
        outcome: Arc<SubmissionOutcome>,
    },
    /// Something that counters, logs and the explain history want to know.
    Event(AuthorityEvent),
}

/// An event of a submission's life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// Accepted; it will get an answer.
    Admitted {
        /// The submission.
        id: SubmissionId,
        /// Whose.
        customer: CustomerId,
        /// The contract version that it runs under.
        version: ContractVersion,
        /// Its number of tasks.
        tasks: u32,
    },
    /// Refused before it was accepted.
    Refused {
        /// Whose.
        customer: CustomerId,
        /// Why.
        reason: RefusalReason,
    },
    /// A task was offered to a dispatcher.
    Offered(AttemptId, DispatcherKey),
    /// The dispatcher keeps a reservation for it.
    Queued(AttemptId),
    /// The dispatcher asked for the body and got it.
    Claimed(AttemptId),
    /// The dispatcher started it.
    Started(AttemptId),
    /// It ended in any way that the dispatcher told.
    Ended(AttemptId, AttemptEnd),
    /// It certainly did not run and is placed again.
    Retried(AttemptId, RetryReason),
    /// The submission has its answer.
    Answered(SubmissionId),
}
