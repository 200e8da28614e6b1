//! A directory of services by name, helpers for starting and stopping a process, and the clock interface.
//!
//! This crate depends on no service of the product. A component registers its actor's address under a name; other
//! components find it by that name and the actor's type.

mod accept;
mod clock;
mod directory;
mod signals;
mod tasks;

pub use crate::{
    accept::serve_connections,
    clock::{ClockSource, ManualClock, SystemClock},
    directory::{DirectoryError, ServiceDirectory, ServiceName},
    signals::StopSignals,
    tasks::TaskSet,
};
