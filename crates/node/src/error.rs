//! Errors of starting a node.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// An error of starting a node.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        #[source]
        cause: io::Error,
    },
    /// Customers come back too soon after an attempt without an answer: its runs could not be over by then.
    #[error("customer_retry_ms is too short for the leases of runs")]
    RetryTooShort,
    /// The metrics cannot be built.
    #[error(transparent)]
    Metrics(#[from] telemetry::TelemetryError),
    /// The local address of a listening socket cannot be read.
    #[error("cannot read the local address of a listening socket")]
    LocalAddress(#[from] io::Error),
}
