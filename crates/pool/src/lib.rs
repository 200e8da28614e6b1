//! The owner of a pool of workers: which job is admitted, which task runs where and when, and what a worker's silence
//! means.
//!
//! One pool has one owner at a time, under a fence. The owner knows each worker's room exactly, because every start
//! goes through it. Everything here is a state machine: time is passed in, and what has to be sent comes out as
//! [`PoolAction`]s. These invariants hold at any moment:
//!
//! - the demands of a worker's runs, whatever their phase, fit into its room;
//! - a task has at most one run record in the whole pool;
//! - a run record goes only when the run surely is over, or can never begin;
//! - a job is refused only while none of its tasks was ever ordered to start;
//! - no start leaves for a worker of a data centre that is evacuated;
//! - a kept job runs only while it is stored, and an end of it is acknowledged only once that is stored.

mod action;
mod admission;
mod answer_time;
mod arrivals;
mod crash;
mod estimate;
mod evacuation;
mod forecast;
mod health;
mod job;
mod kept;
mod placement;
mod pool;
mod queue;
mod settings;
mod shift;
mod start_window;
mod waits;
mod worker;

pub use crate::{
    action::{
        CallFailure, LookAnswer, LookOrder, PoolAction, PoolNote, RunLoss, StartAnswer, StartOrder,
        StopAnswer, StopOrder, SuspensionCause, WaiterId, WorkerChange,
    },
    admission::PoolLoad,
    evacuation::{EvacuationBook, EvacuationChange},
    kept::{FoundJob, KeepAnswer, KeepOrder},
    pool::{PoolInit, WorkerPool},
    settings::PoolSettings,
    shift::{divide_step, order_pools, PoolCandidate},
    waits::{UsualWait, WaitBook},
};
