//! What a run leaves behind: the evidence on which the promises are checked.

use std::time::Duration;

use model::{ContractVersion, CustomerId, SubmissionId};
use stand_ins::endpoint::EndpointRecord;

use crate::script::{AnswerStatus, Label};

/// Everything that a run leaves behind.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Every submission.
    pub submissions: Vec<SubmissionRecord>,
    /// Every endpoint, as its stand-in remembers.
    pub endpoints: Vec<EndpointRecord>,
    /// Every look at the contracts of an entry, in order.
    pub observations: Vec<VersionObservation>,
    /// Every process that has ended.
    pub exits: Vec<ExitRecord>,
}

/// The answer of a submission as the caller got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerRecord {
    /// The submission, where the answer names it.
    pub id: Option<SubmissionId>,
    /// The status.
    pub status: AnswerStatus,
    /// The reason; empty for a complete answer.
    pub reason: String,
    /// The results in the order of the tasks.
    pub results: Vec<Vec<u8>>,
    /// The contract version under which it was accepted, where the answer names it.
    pub version: Option<ContractVersion>,
}

/// A submission and what became of it.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    /// The group that it belongs to.
    pub group: Label,
    /// Its own name.
    pub name: Label,
    /// Whose.
    pub customer: CustomerId,
    /// Whether it is a non-idempotent request.
    pub request: bool,
    /// The name by which its payloads are known at the endpoints. Requests with one key or ticket share it.
    pub run_label: Label,
    /// The payloads of its tasks; each is also its task's result.
    pub payloads: Vec<Vec<u8>>,
    /// The deadline that the caller named.
    pub deadline: Duration,
    /// The VM whose entry took it.
    pub via: Label,
    /// The answer; absent while it is out.
    pub answer: Option<AnswerRecord>,
    /// When it was sent, since the run began.
    pub sent: Duration,
    /// The time from sending to the answer, or until the end of the run.
    pub took: Duration,
    /// Whether the scenario killed or froze its entry meanwhile, so that no answer can be asked for in time.
    pub entry_unavailable: bool,
}

/// One contract version seen at one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionObservation {
    /// The VM of the entry.
    pub vm: Label,
    /// Whose contract.
    pub customer: CustomerId,
    /// The version.
    pub version: ContractVersion,
}

/// How a process was told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// By SIGTERM: it has to drain and exit with 0.
    Terminated,
    /// By SIGKILL.
    Killed,
    /// Not at all.
    Unrequested,
}

/// A process that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExitRecord {
    /// Its name, for example `rajkot-east-vm1 entry`.
    pub process: String,
    /// Why it ended.
    pub cause: ExitCause,
    /// Its exit code; absent when a signal ended it, or when it had not ended in time.
    pub code: Option<i32>,
}
