//! A small test language for failure scenarios, run against real processes.

mod parse;
pub mod promises;
pub mod record;
pub mod script;

pub use crate::parse::{parse_script, ScriptError};
