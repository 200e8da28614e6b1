//! Data types that all crates share: ids, sizes, contracts, submissions and outcomes.
//!
//! Nothing in this crate does I/O or reads a clock. Closed sets of values are enums with stable texts, which API
//! answers, metric labels and logs all use.

mod bytes;
mod contract;
mod dispatch;
mod drain_rate;
mod endpoint;
mod ids;
mod load_policy;
mod log_histogram;
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
    drain_rate::DrainRate,
    endpoint::{EndpointAddress, EndpointState, VmEntry, VmRole},
    ids::{
        AttemptId, CustomerId, DataCentreId, EndpointId, IdempotencyKey, IncarnationId, InvalidId,
        SubmissionId, TaskIndex, TaskKind, TicketId, VmId,
    },
    load_policy::{LoadPolicies, PlacementPolicy, ReturnPolicy, RunTimePolicy, SharingPolicy},
    log_histogram::{HistogramScale, InvalidHistogram, LogHistogram},
    mechanism::{DisabledMechanisms, Mechanism},
    outcome::{AttemptEnd, SubmissionOutcome, TaskResult},
    reason::{FailureReason, RefusalReason, RetryReason, UnknownReason, UnknownVariant},
    submission::{DuplicateDetection, SubmissionBody, SubmissionKind, TaskBody, TaskOffer},
};

/// Hash map with a fast hasher. Its keys are derived from ids, never from a caller's bytes without a length limit.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
