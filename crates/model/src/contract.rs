//! The contract of a customer: every limit on its work follows from here.

use std::{fmt, str::FromStr, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ByteSize, CustomerId, MAX_PAYLOAD_BYTES};

/// The most tasks in one job that any contract may allow. The largest jobs of the target have 370.
pub const MAX_TASKS_PER_JOB: u32 = 1000;

/// The longest answer time that a contract may name, in milliseconds.
const MAX_ANSWER_WITHIN_MS: u64 = 600_000;

/// Counts the changes of one contract, from 1. It only goes up, also across retirement.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct ContractVersion(pub u64);

impl fmt::Display for ContractVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ContractVersion {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// Whether a contract still covers work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ContractState {
    /// Work is accepted.
    #[default]
    Active,
    /// New work is refused; accepted work still gets its answer.
    Retired,
}

/// What may be refused first when there is too much work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusableWork {
    /// Nothing is refused for the sake of other customers, only work that cannot meet its own deadline.
    Nothing,
    /// Jobs may be refused under overload, single requests not.
    #[default]
    Jobs,
    /// Jobs and requests may be refused under overload.
    Everything,
}

/// The weight of a customer in fair queueing. Twice the weight gets twice the slot time under saturation.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct CustomerShare(pub u32);

impl Default for CustomerShare {
    fn default() -> Self {
        Self(1)
    }
}

impl fmt::Display for CustomerShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for CustomerShare {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// The contract of one customer, as operators write it and as the platform's table keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// Whether the contract still covers work.
    pub state: ContractState,
    /// How many tasks of the customer may run at once, over all data centres.
    pub concurrency: u32,
    /// The time within which an answer is due when the caller names no deadline, and the longest deadline that a
    /// caller may name, in milliseconds.
    pub answer_within_ms: u64,
    /// The most tasks in one job.
    pub max_tasks: u32,
    /// The largest payload of one task, in bytes.
    pub max_payload_bytes: ByteSize,
    /// What may be refused first under overload.
    pub may_refuse: RefusableWork,
    /// The weight in fair queueing.
    pub share: CustomerShare,
    /// Placements after a definite not-run, as a percentage of first placements.
    pub retry_percent: u32,
    /// Whether a task that is told to queue may go to a free slot elsewhere, which costs messages and gains response
    /// time.
    pub move_queued: bool,
}

impl Default for Contract {
    fn default() -> Self {
        Self {
            state: ContractState::Active,
            concurrency: 40,
            answer_within_ms: 10_000,
            max_tasks: 370,
            max_payload_bytes: MAX_PAYLOAD_BYTES,
            may_refuse: RefusableWork::default(),
            share: CustomerShare::default(),
            retry_percent: 20,
            move_queued: true,
        }
    }
}

impl Contract {
    /// The answer time as a duration.
    pub fn answer_within(&self) -> Duration {
        Duration::from_millis(self.answer_within_ms)
    }

    /// Checks the ranges that the JSON form cannot.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self, customer: &CustomerId) -> Result<(), InvalidContract> {
        let wrong = |field, rule| {
            Err(InvalidContract {
                customer: customer.clone(),
                field,
                rule,
            })
        };
        if self.concurrency == 0 || self.concurrency > 1_000_000 {
            return wrong("concurrency", "must be from 1 to 1000000");
        }
        if self.answer_within_ms == 0 || self.answer_within_ms > MAX_ANSWER_WITHIN_MS {
            return wrong("answer_within_ms", "must be from 1 to 600000");
        }
        if self.max_tasks == 0 || self.max_tasks > MAX_TASKS_PER_JOB {
            return wrong("max_tasks", "must be from 1 to 1000");
        }
        if self.max_payload_bytes > MAX_PAYLOAD_BYTES {
            return wrong("max_payload_bytes", "must be at most 65536");
        }
        if self.share.0 == 0 || self.share.0 > 1000 {
            return wrong("share", "must be from 1 to 1000");
        }
        if self.retry_percent > 100 {
            return wrong("retry_percent", "must be at most 100");
        }
        Ok(())
    }
}

/// A contract with a field out of range.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("contract of {customer}: {field} {rule}")]
pub struct InvalidContract {
    /// Whose contract.
    pub customer: CustomerId,
    /// The field at fault.
    pub field: &'static str,
    /// What it must be.
    pub rule: &'static str,
}
