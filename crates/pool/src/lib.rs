//! The owner of a pool of workers. It decides which jobs are admitted, on which worker and when each task runs, and
//! when a worker that does not answer counts as lost.
//!
//! A job consists of steps, and a step of tasks with the same demand. A run is one execution of a task on a worker; it
//! takes up a part of the worker's capacity, which is its CPU, memory and accelerators. The worker numbers the ends of
//! its runs and lists them until the owner has acknowledged them. A worker may restart under the same id, so its
//! incarnations are told apart by their start times. A kept job is stored, so that it outlives the processes that run
//! it.
//!
//! A pool has one owner at a time, identified by a fencing token. Every start goes through the owner, so it knows the
//! free capacity of each worker exactly. The crate is a state machine without I/O: the caller passes the time in and
//! carries out the [`PoolAction`]s that come out. These invariants always hold:
//!
//! - no start is sent to a worker whose runs, in any phase, demand more than its capacity;
//! - a task has at most one run record in the whole pool;
//! - a worker's lease is not extended while it has a run of an ended attempt and has not answered the stop;
//! - no lease lasts until the customer of one of the worker's runs may submit its job again, unless the attempt is
//!   registered for longer;
//! - nothing of a job that may outlast its customer's pause is placed before other attempts were looked up;
//! - a run record is removed only when the run is certainly over or can never begin;
//! - a job is refused only while no start of any of its tasks has been ordered;
//! - no start is sent to a worker of an evacuated data centre;
//! - a kept job runs only while its row is in the store, and the end of one of its runs is acknowledged to the worker
//!   only once that end is stored.

mod action;
mod admission;
mod answer_time;
mod arrivals;
mod attempt_exclusion;
mod attempt_lease;
mod attempt_times;
mod crash;
mod death_rate;
mod estimate;
mod evacuation;
mod expected_end;
mod forecast;
mod health;
mod job;
mod kept;
mod placement;
mod pool;
mod pool_choice;
mod queue;
mod registration_backoff;
mod return_bookings;
mod returns;
mod run_progress;
mod run_times;
mod settings;
mod shares;
mod start_profile;
mod start_window;
mod time_budget;
mod worker;
mod worker_watch;

pub use crate::{
    action::{
        CallFailure, PollAnswer, PollOrder, PoolAction, PoolEvent, RunBeginning, RunLoss,
        StallEvidence, StartAnswer, StartOrder, StopAnswer, StopOrder, SuspensionCause, WaiterId,
        WorkerChange,
    },
    admission::PoolLoad,
    attempt_exclusion::{AttemptLookup, AttemptPresence, AttemptRegistration},
    attempt_lease::{AttemptLease, LeaseTerm},
    attempt_times::AttemptTimes,
    evacuation::{EvacuationChange, EvacuationSet},
    expected_end::{
        choose_pool, order_offers, select_offer_pools, OfferLimits, PlacementDemand,
        PlacementOption,
    },
    kept::{
        ForeignEnd, ForeignEndResult, FoundJob, KeptSnapshot, KeptWrite, KeptWriteResult,
        StrandedJob,
    },
    pool::{PoolInit, WorkerPool},
    pool_choice::{divide_step, order_pools, PoolCandidate},
    run_times::RouteRunTimes,
    settings::PoolSettings,
    shares::ShareUse,
    start_profile::{PublishedProfile, StartProfile, PROFILE_BYTES, START_HORIZONS},
    time_budget::{BudgetTracker, RouteBudget},
};
