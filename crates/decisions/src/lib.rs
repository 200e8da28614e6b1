//! Policy without I/O: admit, queue, refuse, place, shift, retry.
//!
//! Nothing here reads a clock or a socket: the time comes in as `now`, randomness from a seeded generator, so every
//! decision can be tested under load in virtual time.

pub mod queue;

pub use crate::queue::{FairQueue, PushError, QueueEntry, QueueSettings};
