//! Commands of callers to the control actor of the entry, and its replies.

use std::{net::SocketAddr, sync::Arc};

use actix::{Message, MessageResponse};
use model::{
    ContractVersion, CustomerId, DataCentreId, IncarnationId, RefusalReason, SubmissionBody,
    SubmissionId, SubmissionOutcome, TicketId, VmId,
};
use serde::Serialize;

/// Submits a job or a request and waits for its answer.
#[derive(Clone, Debug, Message)]
#[rtype(result = "CallerAnswer")]
pub struct SubmitCommand {
    /// The parsed and validated submission.
    pub body: SubmissionBody,
    /// The hash of the customer and of each task's kind and payload, which shows whether a ticket or key is reused with
    /// another body.
    pub digest: u64,
    /// The body as received, for forwarding when another entry is responsible for the ticket or key. Empty for a job,
    /// which has neither.
    pub raw: Vec<u8>,
}

/// Issues a ticket.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<TicketId, RefusalReason>")]
pub struct TicketCommand {
    /// The customer whose request will use the ticket.
    pub customer: CustomerId,
}

/// Gets the answer of a submission, which is pending until the submission ends.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "CallerAnswer")]
pub struct OutcomeCommand {
    /// The submission whose answer is requested.
    pub id: SubmissionId,
}

/// Cancels a submission.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "CancelResult")]
pub struct CancelCommand {
    /// The submission to cancel.
    pub id: SubmissionId,
}

/// Gets the history of a submission as JSON, or `None` when this entry does not keep it.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<serde_json::Value>")]
pub struct ExplainCommand {
    /// The submission whose history is requested.
    pub id: SubmissionId,
}

/// Lists the contracts that this entry serves now.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ContractsInForce")]
pub struct InForceCommand;

/// The contracts that one entry serves now. The platform may have newer ones that this entry has not read yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, MessageResponse)]
pub struct ContractsInForce {
    /// The number of the newest change that this entry knows.
    pub head: u64,
    /// The time since `head` was last known to be the newest change, in milliseconds; absent before the first read.
    pub age_ms: Option<u64>,
    /// The contract version of each customer.
    pub contracts: Vec<ContractInForce>,
}

/// One contract in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ContractInForce {
    /// The customer whose contract this is.
    pub customer: CustomerId,
    /// The version that the entry serves.
    pub version: ContractVersion,
}

/// Gets the status of the entry.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "EntryStatus")]
pub struct StatusCommand;

/// The status of an entry, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, MessageResponse)]
pub struct EntryStatus {
    /// The VM that the entry runs on.
    pub vm: VmId,
    /// The data centre that the VM is in.
    pub data_centre: DataCentreId,
    /// The incarnation of the entry process.
    pub incarnation: IncarnationId,
    /// Whether the entry's readiness probe succeeds. A stopping entry is not ready, but still accepts submissions until
    /// it closes its listener.
    pub ready: bool,
    /// The number of the newest contract change that this entry knows.
    pub contract_head: u64,
    /// The time since `contract_head` was last known to be the newest change, in milliseconds; absent before the first
    /// read.
    pub contract_age_ms: Option<u64>,
    /// The number of submissions without an answer.
    pub open_submissions: usize,
    /// The number of attempts that dispatchers may hold.
    pub attempts_in_flight: usize,
    /// The dispatchers that this entry knows.
    pub dispatchers: Vec<DispatcherStatus>,
    /// The customers with work at this entry.
    pub customers: Vec<CustomerStatus>,
}

/// A dispatcher as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DispatcherStatus {
    /// The dispatcher's peer address.
    pub address: SocketAddr,
    /// The data centre that the dispatcher is in.
    pub data_centre: DataCentreId,
    /// The state of the session: open, connecting or idle.
    pub session: &'static str,
}

/// A customer's use of this entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CustomerStatus {
    /// The customer whose tasks are counted.
    pub customer: CustomerId,
    /// The number of tasks at dispatchers.
    pub in_flight: u32,
    /// The number of tasks that wait at this entry.
    pub waiting: usize,
}

/// The result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, MessageResponse)]
pub enum CancelResult {
    /// The submission is cancelled, and its answer says so.
    Cancelled,
    /// The request may have started, and continues to its own answer.
    TooLate,
    /// This entry has no open submission with the id.
    NotOpen,
}

/// An answer for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// An answer that this entry determined.
    Local(SubmissionAnswer),
    /// The submission has no answer yet.
    Pending(SubmissionId),
    /// The response of the entry that has authority over the submission, to be passed on unchanged.
    Forwarded {
        /// The HTTP status.
        status: u16,
        /// The JSON body.
        json: Vec<u8>,
    },
}

/// The answer of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionAnswer {
    /// The id of the submission; absent if the submission was refused before it got one.
    pub id: Option<SubmissionId>,
    /// Whether the submission is a job, whose results are a list.
    pub job: bool,
    /// The outcome.
    pub outcome: Arc<SubmissionOutcome>,
    /// The contract version under which the submission was accepted.
    pub version: Option<ContractVersion>,
    /// Whether the entry's contracts are older than the freshness bound, as in a disconnected data centre.
    pub stale: bool,
}
