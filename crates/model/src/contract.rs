//! The contract of a customer, from which every limit on the customer's work is derived.

use std::{fmt, str::FromStr, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ByteSize, CustomerId, MAX_PAYLOAD_BYTES};

/// The most tasks in one job that any contract may allow. The largest jobs of the target workload have 370.
pub const MAX_TASKS_PER_JOB: u32 = 1000;

/// The longest `answer_within_ms` that a contract may set, in milliseconds.
const MAX_ANSWER_WITHIN_MS: u64 = 600_000;

/// The number of changes of one contract, from 1. It never decreases, also when the contract is retired.
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

/// Whether work is accepted under a contract.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ContractState {
    /// Work is accepted.
    #[default]
    Active,
    /// New work is refused; work that was accepted before still gets its answer.
    Retired,
}

/// Which work of a customer may be refused under overload.
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
    /// No work is refused in favour of other customers, only work that cannot meet its own deadline.
    Nothing,
    /// Jobs may be refused under overload, single requests may not.
    #[default]
    Jobs,
    /// Jobs and requests may be refused under overload.
    Everything,
}

/// The weight of a customer in fair queueing. Under saturation, a customer with twice the weight gets twice the slot
/// time.
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

/// The contract of one customer, in the form that operators write and the platform's table stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// Whether work is accepted under the contract.
    pub state: ContractState,
    /// How many tasks of the customer may run at once, over all data centres.
    pub concurrency: u32,
    /// The deadline of a submission that sets none, and the longest deadline that a caller may set, in
    /// milliseconds.
    pub answer_within_ms: u64,
    /// The most tasks in one job.
    pub max_tasks: u32,
    /// The largest payload of one task, in bytes.
    pub max_payload_bytes: ByteSize,
    /// Which work may be refused under overload.
    pub may_refuse: RefusableWork,
    /// The weight in fair queueing.
    pub share: CustomerShare,
    /// The retry budget: retries of tasks that definitely did not run, as a percentage of first placements.
    pub retry_percent: u32,
    /// Whether a task that a dispatcher would queue may move to a free slot of another dispatcher, which costs
    /// messages and improves the response time.
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
    /// [`Self::answer_within_ms`] as a duration.
    pub fn answer_within(&self) -> Duration {
        Duration::from_millis(self.answer_within_ms)
    }

    /// Checks that every field is within its range, which deserialisation does not check.
    ///
    /// # Errors
    ///
    /// [`InvalidContract`] with the first field that is out of range.
    pub fn check(&self, customer: &CustomerId) -> Result<(), InvalidContract> {
        let violation = |field, rule| {
            Err(InvalidContract {
                customer: customer.clone(),
                field,
                rule,
            })
        };
        if self.concurrency == 0 || self.concurrency > 1_000_000 {
            return violation("concurrency", "must be from 1 to 1000000");
        }
        if self.answer_within_ms == 0 || self.answer_within_ms > MAX_ANSWER_WITHIN_MS {
            return violation("answer_within_ms", "must be from 1 to 600000");
        }
        if self.max_tasks == 0 || self.max_tasks > MAX_TASKS_PER_JOB {
            return violation("max_tasks", "must be from 1 to 1000");
        }
        if self.max_payload_bytes > MAX_PAYLOAD_BYTES {
            return violation("max_payload_bytes", "must be at most 65536");
        }
        if self.share.0 == 0 || self.share.0 > 1000 {
            return violation("share", "must be from 1 to 1000");
        }
        if self.retry_percent > 100 {
            return violation("retry_percent", "must be at most 100");
        }
        Ok(())
    }
}

/// A contract with a field out of range.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("contract of {customer}: {field} {rule}")]
pub struct InvalidContract {
    /// The customer of the contract.
    pub customer: CustomerId,
    /// The name of the field that is out of range.
    pub field: &'static str,
    /// The rule that the field violates.
    pub rule: &'static str,
}
