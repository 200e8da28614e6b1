//! A randomized soak: real nodes as processes of their own on one machine, stand-ins of the platform around them, and
//! faults from outside, in series and overlapping. What customers and workers see is recorded, and the promises are
//! checked on it.
//!
//! A seed decides the faults and their times; how processes interleave with them differs from run to run, so a seed
//! that failed once is run several times. Faults between nodes are those of their processes (killed, stopped, frozen):
//! their heartbeats are datagrams, which the forwarder does not carry.

mod checks;
mod customers;
mod faults;
mod fleet;
mod plan;
mod record;
mod run;

pub use crate::{
    checks::{check_promises, Promise, PromiseViolation},
    plan::{FaultKind, FaultStep, SoakPlan},
    record::{
        AttemptEnd, AttemptTrace, Disturbance, DrainTrace, FaultScope, JobTrace, ProbeTrace,
        RunTrace, SoakRecord, StopTrace,
    },
    run::{run_soak, SoakError, SoakReport},
};
