//! The entry process: accepts requests from callers and operators and places tasks on dispatchers.
//!
//! One thread holds the control state (the [`control::EntryControl`] actor and the sessions with dispatchers); other
//! threads serve HTTP.

mod control;
mod error;
mod port;
mod process;

pub use crate::{
    control::EntryControl,
    error::EntryError,
    process::{run, start, EntryProcess},
};
