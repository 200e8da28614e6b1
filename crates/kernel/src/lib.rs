//! A directory of services by name, helpers for starting and stopping a process, the clock interface and the
//! monitor of pauses.
//!
//! This crate depends on no service of the product. A component registers its actor's address under a name; other
//! components find it by that name and the actor's type.

mod accept;
mod clock;
mod directory;
mod heap;
mod machine;
mod pause;
mod signals;
mod tasks;

pub use crate::{
    accept::{serve_connections, serve_with_drain, AcceptDrain},
    clock::{ClockSource, ManualClock, SystemClock},
    directory::{DirectoryError, ServiceDirectory, ServiceName},
    heap::{limit_free_memory, release_free_memory},
    machine::descriptor_limit,
    pause::{PauseCount, PauseMonitor},
    signals::StopSignals,
    tasks::{exit_on_panic, TaskEnded, TaskGroup, TaskSet},
};
