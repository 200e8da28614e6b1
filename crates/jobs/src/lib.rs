//! Plain data types for jobs that run in steps on workers: ids, demands, job requests, routes and worker
//! records.
//!
//! Nothing here does I/O or reads a clock. Every type is decoded once, where it enters the system.

mod demand;
mod freshness;
mod ids;
mod kept;
mod request;
mod route;
mod worker;

pub use crate::{
    demand::{CpuMillis, MemoryMegabytes, ResourceDemand},
    freshness::TableFreshness,
    ids::{
        FenceToken, InstanceId, InvalidJobId, InvalidPoolId, JobAttemptId, JobId, PoolId,
        RunNumber, ServiceId, TaskId, WriteId,
    },
    kept::{KeptRow, KeptState, StepRecord, TaskDeath},
    request::{
        critical_path, JobOutcome, JobRequest, JobTerms, RefusalKind, StepSpec, TaskText,
        UnsupportedNeed,
    },
    route::{RequestLimits, RouteMatch, RouteRule, RouteTable, ServiceRule, TableVersion},
    worker::{
        CompleteListing, EndCause, EndList, EndedRun, RunningRun, WorkerClock, WorkerListing,
        WorkerRecord, WorkerStartTime, WorkerState, MAX_LISTED_ENDS,
    },
};
