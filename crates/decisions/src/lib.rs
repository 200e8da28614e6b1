//! Scheduling policies without I/O: admission, queueing, placement, shifting load between data centres, and retries.
//!
//! Nothing here reads a clock or a socket: callers pass the time as `now` and a seeded random generator, so every
//! decision can be tested under load in virtual time.

pub mod admission;
pub mod health;
mod lru_map;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod run_time;
pub mod smoothed_saturation;
mod weight_tree;

pub use model::DrainRate;

pub use crate::{
    admission::{
        AdmissionDecision, AdmissionPolicy, AdmissionQuery, AdmissionSettings, Saturation,
        WaitEstimator, WorkClass,
    },
    health::{EndKind, EndReport, EndpointHealth, FleetLatency, HealthSettings, HealthState},
    placement::{
        DispatcherKey, PlacementQuery, PlacementRule, PlacementSettings, PlacementTable, SlotsHint,
    },
    queue::{FairQueue, PushError, QueueEntry, QueueSettings},
    retry::{RetryBudget, RetrySettings},
    run_time::{EstimateSource, FailureRate, RunTimeEstimate, RunTimeSettings, RunTimeTable},
    smoothed_saturation::SmoothedSaturation,
};
