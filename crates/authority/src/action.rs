//! Actions and events that the authority emits.

use std::sync::Arc;

use model::{
    AttemptEnd, AttemptId, ContractVersion, CustomerId, RefusalReason, RetryReason, SessionId,
    SubmissionId, SubmissionOutcome, TaskOffer,
};

use crate::DispatcherKey;

/// An action that the process around the authority has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Offer tasks to a dispatcher.
    Offer {
        /// The dispatcher.
        dispatcher: DispatcherKey,
        /// The session to send the offer on. If it is no longer the open session, the offer is not sent.
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
        /// The session to send the withdrawal on.
        session: SessionId,
        /// The number of the last batch offered on the session before the withdrawal.
        after_batch: u64,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Answer the callers that wait for the submission.
    Answer {
        /// The submission.
        id: SubmissionId,
        /// Its only answer.
        outcome: Arc<SubmissionOutcome>,
    },
    /// Report an event to the counters, the logs and the explain history.
    Event(AuthorityEvent),
}

/// An event in the life cycle of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// The submission was accepted and will get an answer.
    Admitted {
        /// The submission.
        id: SubmissionId,
        /// The customer that submitted it.
        customer: CustomerId,
        /// The contract version that it runs under.
        version: ContractVersion,
        /// Its number of tasks.
        tasks: u32,
    },
    /// The submission was refused before acceptance.
    Refused {
        /// The customer that submitted it.
        customer: CustomerId,
        /// The reason of the refusal.
        reason: RefusalReason,
    },
    /// A task was offered to a dispatcher.
    Offered(AttemptId, DispatcherKey),
    /// The dispatcher queued the attempt: it keeps a reservation without the body.
    Queued(AttemptId),
    /// The dispatcher claimed the body of a queued attempt and was sent it.
    Claimed(AttemptId),
    /// The dispatcher started the attempt.
    Started(AttemptId),
    /// The attempt ended as its dispatcher reported.
    Ended(AttemptId, AttemptEnd),
    /// The attempt certainly did not run. Its task is placed again unless its retries are used up.
    Retried(AttemptId, RetryReason),
    /// The submission was answered.
    Answered(SubmissionId),
}
