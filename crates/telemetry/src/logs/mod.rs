//! Logging to standard error, one line a message, with a fixed prefix for each part.
//!
//! A message belongs to the part of the crate that logs it. The time and volume of a line are bounded: each place in
//! the code may write so many lines a second, and the rest is counted.

mod control;
mod format;
mod limiter;
mod part;

pub use self::{
    control::{init_logs, LogControl},
    limiter::{CallSite, LogDecision, LogLimiter, SuppressedCount},
    part::part_of,
};
