//! What can end or hinder an entry.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// What can end or hinder an entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] telemetry::TelemetryError),
    /// A part of the process was not found.
    #[error(transparent)]
    Service(#[from] kernel::DirectoryError),
    /// A thread or signal handler could not be set up.
    #[error("cannot set up the process: {0}")]
    SetUp(#[from] io::Error),
}
