//! Errors of starting a dispatcher.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// An error that keeps a dispatcher from starting.
#[derive(Debug, Error)]
pub enum DispatcherError {
    /// A listener could not be bound to its address.
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
    /// A thread, listener or signal handler could not be set up.
    #[error("cannot set up the process: {0}")]
    SetUp(#[from] io::Error),
}
