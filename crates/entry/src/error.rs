//! Errors of starting an entry.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// An error that keeps an entry from starting.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The listener could not be bound to its address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] telemetry::TelemetryError),
    /// A service of the process was not found in its directory.
    #[error(transparent)]
    Service(#[from] kernel::DirectoryError),
    /// A thread, listener or signal handler could not be set up.
    #[error("cannot set up the process: {0}")]
    SetUp(#[from] io::Error),
}
