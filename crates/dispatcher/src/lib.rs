//! The dispatcher process: owns endpoints with their slots and connections.
//!
//! One thread holds the control state (the [`control::DispatcherControl`] actor and the peer connections); other
//! threads call endpoints.

mod admin;
mod control;
mod entry_directory;
mod error;
mod port;
mod process;
mod traffic;

pub use crate::{
    control::DispatcherControl,
    error::DispatcherError,
    process::{run, start, DispatcherProcess},
};
