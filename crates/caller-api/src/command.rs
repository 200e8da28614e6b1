//! Commands of callers to the entry, and its replies.

use std::{net::SocketAddr, sync::Arc};

use actix::{Message, MessageResponse};
use model::{
    ContractVersion, CustomerId, DataCentreId, IncarnationId, RefusalReason, SubmissionBody,
    SubmissionId, SubmissionOutcome, TicketId, VmId,
};
use serde::Serialize;

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

/// Say what happened to a submission, as JSON; nothing when its history is not kept.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<serde_json::Value>")]
pub struct ExplainCommand {
    /// The submission.
    pub id: SubmissionId,
}

/// Say which contracts this entry serves now.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ContractsInForce")]
pub struct InForceCommand;

/// The contracts that one entry serves now. The platform may have newer ones that are on their way here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, MessageResponse)]
pub struct ContractsInForce {
    /// The number of the newest change known here.
    pub head: u64,
    /// The time since that was last known to be the newest, in milliseconds; absent before the first reading.
    pub age_ms: Option<u64>,
    /// Each customer's version.
    pub contracts: Vec<ContractInForce>,
}

/// One contract in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ContractInForce {
    /// Whose.
    pub customer: CustomerId,
    /// The version.
    pub version: ContractVersion,
}

/// Say how the entry stands.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "EntryStatus")]
pub struct StatusCommand;

/// How an entry stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, MessageResponse)]
pub struct EntryStatus {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// This life of the entry.
    pub incarnation: IncarnationId,
    /// Whether it takes new connections.
    pub ready: bool,
    /// The newest contract change known here.
    pub contract_head: u64,
    /// The age of that knowledge in milliseconds.
    pub contract_age_ms: Option<u64>,
    /// Submissions without an answer.
    pub open_submissions: usize,
    /// Attempts that dispatchers may hold.
    pub attempts_in_flight: usize,
    /// The dispatchers that this entry knows.
    pub dispatchers: Vec<DispatcherStatus>,
    /// The customers with work here.
    pub customers: Vec<CustomerStatus>,
}

/// A dispatcher as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DispatcherStatus {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Open, connecting or idle.
    pub session: &'static str,
}

/// A customer's use of this entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CustomerStatus {
    /// The customer.
    pub customer: CustomerId,
    /// Tasks at dispatchers.
    pub in_flight: u32,
    /// Tasks that wait here.
    pub waiting: usize,
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
    Local(SubmissionAnswer),
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
