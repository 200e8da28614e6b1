//! Policies for decisions under load, each of which a deployment chooses in its settings.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The policies of a node for decisions under load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LoadPolicies {
    /// How an entry chooses the pool for a job. Default `free_capacity`.
    pub placement: PlacementPolicy,
    /// How a pool's capacity is shared under contention. Default `arrival_order`.
    pub sharing: SharingPolicy,
    /// How refused jobs are told when to return. Default `backlog`.
    pub returns: ReturnPolicy,
    /// How run times are predicted. Default `mean`.
    pub run_times: RunTimePolicy,
}

/// How an entry chooses the pool for a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// By the free capacity that the pools' owners publish. Other data centres are asked only once a pool has refused
    /// the job.
    #[default]
    FreeCapacity,
    /// By the expected end of the job in each pool, for pools of all data centres.
    ExpectedEnd,
}

/// How a pool's capacity is shared under contention.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum SharingPolicy {
    /// Jobs are admitted in the order of their arrival while they fit.
    #[default]
    ArrivalOrder,
    /// Each class of jobs is admitted up to its max-min fair share.
    MaxMin,
}

/// How refused jobs are told when to return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ReturnPolicy {
    /// After the time that the pool's backlog takes, the same for all jobs refused at that moment.
    #[default]
    Backlog,
    /// At a scheduled time, in the order of first refusal and at the rate at which capacity becomes free.
    Scheduled,
}

/// How run times are predicted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RunTimePolicy {
    /// By the mean ratio of run time to estimate, per route.
    #[default]
    Mean,
    /// By the distribution of that ratio, per route.
    Distribution,
}
