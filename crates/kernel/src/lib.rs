//! Services by name, the life cycle of a process, and the clock interface.
//!
//! The kernel knows no service of the product. A part registers its actor's address under a name; other parts find
//! it by that name and the message type they want to send.

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
