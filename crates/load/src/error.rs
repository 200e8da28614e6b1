//! Errors of load runs.

use thiserror::Error;

/// An error that prevented a load run, its report or its chart.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No target of this kind (entry or customer) was given.
    #[error("no {0} given")]
    Missing(&'static str),
    /// A page of counters or task starts could not be read.
    #[error("cannot read {url}: {cause}")]
    Page {
        /// URL of the page.
        url: String,
        /// Why the read failed.
        cause: String,
    },
    /// The chart could not be drawn.
    #[error("cannot draw the chart: {0}")]
    Chart(String),
}
