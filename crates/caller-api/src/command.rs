//! Commands of callers to the entry, and its replies.

use std::sync::Arc;

use actix::{Message, MessageResponse};
use model::{
    ContractVersion, CustomerId, RefusalReason, SubmissionBody, SubmissionId, SubmissionOutcome,
    TicketId,
};

/// Submit a job or a request and wait for its answer.
#[derive(Clone, Debug, Message)]
#[rtype(result = "CallerAnswer")]
pub struct SubmitCommand {
    /// What to run.
    pub body: SubmissionBody,
    /// Identifies the body, so that an id or key used again with another body is noticed.
    pub digest: u64,
    /// The body as it came, for the entry that issued the ticket, should that be another one.
    pub raw: Vec<u8>,
}

/// Issue a ticket.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<TicketId, RefusalReason>")]
pub struct TicketCommand {
    /// Whose request it will be for.
    pub customer: CustomerId,
}

/// Say how a submission stands.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "CallerAnswer")]
pub struct OutcomeCommand {
    /// The submission.
    pub id: SubmissionId,
}

/// Take a submission back.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "CancelResult")]
pub struct CancelCommand {
    /// The submission.
    pub id: SubmissionId,
}

/// What a cancellation did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, MessageResponse)]
pub enum CancelResult {
    /// The submission's answer is now that it was cancelled.
    Cancelled,
    /// The request may have started and runs on to its own answer.
    TooLate,
    /// There is no such open submission at this entry.
    NotOpen,
}

/// An answer for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// From this entry.
    Own(SubmissionAnswer),
    /// The submission has no answer yet.
    Pending(SubmissionId),
    /// From the entry that has authority over the submission, ready to be passed on.
    Forwarded {
        /// The HTTP status.
        status: u16,
        /// The body.
        json: Vec<u8>,
    },
}

/// The answer of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionAnswer {
    /// The submission; absent when it was refused before it had an id.
    pub id: Option<SubmissionId>,
    /// Whether it is a job, whose results are a list.
    pub job: bool,
    /// The outcome.
    pub outcome: Arc<SubmissionOutcome>,
    /// The contract version under which it was accepted.
    pub version: Option<ContractVersion>,
    /// Whether the contracts known here are older than the freshness bound, as in a cut-off data centre.
    pub stale: bool,
}
