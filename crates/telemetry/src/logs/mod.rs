//! Logs to standard error, one line per message, with a fixed prefix for each part of the system.
//!
//! A message belongs to the part of the crate that logs it. The log volume is bounded: each call site may write a
//! limited number of lines per second, and further messages are only counted.

mod control;
mod format;
mod limiter;
mod part;

pub use self::{
    control::{init_logs, LogControl},
    limiter::{CallSite, LogDecision, LogLimiter, SuppressedCount},
    part::part_of,
};
