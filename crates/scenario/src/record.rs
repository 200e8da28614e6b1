//! The records of a run, on which the invariants are checked.

use std::time::Duration;

use model::{ContractVersion, CustomerId, SubmissionId};
use stand_ins::endpoint::EndpointRecord;

use crate::script::{AnswerStatus, Label};

/// The records of a whole run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Every submission.
    pub submissions: Vec<SubmissionRecord>,
    /// The record of every endpoint, kept by its stand-in.
    pub endpoints: Vec<EndpointRecord>,
    /// The contract versions read from entries by polling, in order.
    pub observations: Vec<VersionObservation>,
    /// Every process that has ended.
    pub exits: Vec<ExitRecord>,
}

/// The answer to a submission as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerRecord {
    /// The id of the submission, where the answer contains it.
    pub id: Option<SubmissionId>,
    /// The status.
    pub status: AnswerStatus,
    /// The reason; empty for a complete answer.
    pub reason: String,
    /// The results in the order of the tasks.
    pub results: Vec<Vec<u8>>,
    /// The contract version under which the submission was accepted, where the answer contains it.
    pub version: Option<ContractVersion>,
}

/// A submission and its answer.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    /// The group that the submission belongs to.
    pub group: Label,
    /// The name of this submission.
    pub name: Label,
    /// The customer that submitted it.
    pub customer: CustomerId,
    /// Whether it is a non-idempotent request.
    pub request: bool,
    /// The label in its payloads, without the task number, that identifies them in the endpoints' records. Requests
    /// with the same key or ticket share it.
    pub run_label: Label,
    /// The payloads of its tasks. Each payload is also the expected result of its task.
    pub payloads: Vec<Vec<u8>>,
    /// The deadline that the caller sent, counted from the submission.
    pub deadline: Duration,
    /// The VM whose entry it was sent to; empty where no entry was ready.
    pub via: Label,
    /// The answer; absent until it arrives.
    pub answer: Option<AnswerRecord>,
    /// When it was sent, counted from the start of the run.
    pub sent: Duration,
    /// The time from sending to the answer, or until the end of the run.
    pub took: Duration,
    /// Whether its entry was down when it was sent, or was killed or frozen before the answer, so that a timely answer
    /// is not required.
    pub entry_down: bool,
}

/// A contract version read from one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionObservation {
    /// The VM of the entry.
    pub vm: Label,
    /// The customer of the contract.
    pub customer: CustomerId,
    /// The version.
    pub version: ContractVersion,
}

/// The signal that the run sent to end a process, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// By SIGTERM: the process has to drain and exit with 0.
    Terminated,
    /// By SIGKILL.
    Killed,
    /// The process ended without a signal from the run.
    Unrequested,
}

/// A process that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExitRecord {
    /// The name of the process, for example `rajkot-east-vm1 entry`.
    pub process: String,
    /// The signal that the run sent to end it, if any.
    pub cause: ExitCause,
    /// The exit code; absent when a signal ended the process, or when it still ran at the end of the run.
    pub code: Option<i32>,
}
