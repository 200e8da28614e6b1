//! Errors of load runs.

use thiserror::Error;

/// Why a load run gave no report.
#[derive(Debug, Error)]
pub enum LoadError {
    /// There is nothing to send to, or nobody to send for.
    #[error("no {0} given")]
    Missing(&'static str),
    /// A page of counters or starts could not be had.
    #[error("{url} not read: {cause}")]
    Page {
        /// What was asked for.
        url: String,
        /// Why it failed.
        cause: String,
    },
    /// The chart could not be drawn.
    #[error("chart not drawn: {0}")]
    Chart(String),
}
