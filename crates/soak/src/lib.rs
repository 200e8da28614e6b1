//! Randomized soak test: runs real node processes on one machine against stand-ins of the platform and injects faults
//! from outside, one after another and overlapping. Records what customers and workers observe and checks the
//! system's invariants against that record.
//!
//! The seed determines the faults and their times, but not how the processes interleave with them, so a seed that
//! failed once is run several times. Nodes are isolated from each other only by faults of their processes (killed,
//! stopped, frozen): their heartbeats are datagrams, which the forwarder does not carry.

mod checks;
mod customers;
mod faults;
mod fleet;
mod kept;
mod misbehaving;
mod plan;
mod record;
mod run;
mod unheard;

pub use crate::{
    checks::{check_invariants, InvariantViolation, SoakInvariant},
    plan::{CustomerPlan, FaultKind, FaultMix, FaultStep, FreezePlan, SoakPlan},
    record::{
        AttemptEnd, AttemptTrace, Disturbance, DrainTrace, FaultScope, JobTrace, KeptState,
        KeptTrace, ProbeTrace, RouteAnswer, RunEnd, RunTrace, SoakRecord, StateRead, StopTrace,
    },
    run::{run_soak, SoakError, SoakReport},
};
