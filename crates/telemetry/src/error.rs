//! Errors of telemetry.

use flexi_logger::FlexiLoggerError;
use opentelemetry_sdk::error::OTelSdkError;
use thiserror::Error;

/// An error while telemetry is set up or read.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// Logging could not start, for example because other code in the process has set a logger.
    #[error("logging cannot start")]
    Logs(#[from] FlexiLoggerError),
    /// The metrics exporter could not be built.
    #[error("metrics cannot start")]
    Exporter(#[from] OTelSdkError),
    /// The metrics could not be encoded as text.
    #[error("metrics cannot be written")]
    Text(#[from] prometheus::Error),
}
