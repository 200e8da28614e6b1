//! A test language for failure scenarios, which run against real processes.
//!
//! A scenario is a text file with one statement per line: first the set-up (data centres, contracts, settings), then
//! the steps in order (submit, kill, freeze, cut, wait until, expect). [`run_script`] runs the steps on loopback, with
//! `cairnpaddle` entries and dispatchers as child processes and stand-ins for the platform, the endpoints and the
//! network. At the end of every scenario it checks every invariant of the system against the endpoints' records and the
//! answers that callers received (see [`invariants`]). The language is described in `docs/SCENARIOS.md`.

mod binary;
mod caller;
mod error;
pub mod invariants;
mod load;
mod operator;
mod parse;
mod places;
mod platform_view;
pub mod ports;
mod process;
mod process_settings;
pub mod record;
mod runner;
pub mod script;
mod socket_table;
pub mod sources;
mod testbed;

pub use crate::{
    binary::find_binary,
    error::{BinaryError, StepError},
    parse::{parse_script, ScriptError},
    process::{ChildPlan, ChildProcess, ChildSignal},
    runner::{run_script, RunReport, RunSettings, StepFailure},
};
