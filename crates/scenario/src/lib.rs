//! A small test language for failure scenarios, run against real processes.
//!
//! A scenario is a text file, one statement a line: first the set-up (data centres, contracts, settings), then steps
//! in order (submit, kill, freeze, cut, wait until, expect). [`run_script`] starts `cairnpaddle` entries and
//! dispatchers as child processes on loopback, with stand-ins for the platform, the endpoints and the network, makes
//! the steps, and at the end of every scenario checks every promise on what the endpoints recorded and the callers
//! were told (see [`promises`]). The language is described in `docs/SCENARIOS.md`.

mod binary;
mod caller;
mod error;
mod load;
mod operator;
mod parse;
mod places;
mod platform_view;
mod process;
mod process_settings;
pub mod promises;
pub mod record;
mod runner;
pub mod script;
mod sources;
mod testbed;

pub use crate::{
    binary::find_binary,
    error::{BinaryError, StepError},
    parse::{parse_script, ScriptError},
    process::{ChildPlan, ChildProcess, ChildSignal},
    runner::{run_script, RunReport, RunSettings, StepFailure},
};
