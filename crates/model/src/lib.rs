//! Plain data that every crate shares: ids, sizes, rates, contracts, submissions, outcomes.
//!
//! Nothing here does I/O or reads a clock. Every closed set is an enum with a stable text form, which callers,
//! metrics and logs all use.

mod bytes;
mod contract;
mod dispatch;
mod endpoint;
mod ids;
mod mechanism;
mod outcome;
mod reason;
mod submission;
mod text_enum;

pub use crate::{
    bytes::{split_into_messages, ByteSize, Payload, MAX_MESSAGE_PAYLOAD_BYTES, MAX_PAYLOAD_BYTES},
    contract::{
        Contract, ContractState, ContractVersion, CustomerShare, InvalidContract, RefusableWork,
        MAX_TASKS_PER_JOB,
    },
    dispatch::{OfferReply, SessionId, SlotCounts, WithdrawalReply},
    endpoint::{EndpointAddress, EndpointState, VmEntry, VmRole},
    ids::{
        AttemptId, CustomerId, DataCentreId, EndpointId, IdempotencyKey, IncarnationId, InvalidId,
        SubmissionId, TaskIndex, TaskKind, TicketId, VmId,
    },
    mechanism::{DisabledMechanisms, Mechanism},
    outcome::{AttemptEnd, SubmissionOutcome, TaskResult},
    reason::{FailureReason, RefusalReason, RetryReason, UnknownReason, UnknownVariant},
    submission::{DuplicateDetection, SubmissionBody, SubmissionKind, TaskBody, TaskOffer},
};

/// Hash map with a fast hasher. Keys come from ids, never straight from a caller's bytes without a length limit.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the hasher of [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
