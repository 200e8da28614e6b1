//! What can go wrong with a call.

use std::time::Duration;

use thiserror::Error;

use crate::RowConflict;

/// Why a call got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// No connection came about, so no byte was sent.
    #[error("no connection: {0}")]
    NoConnection(String),
    /// The request could not be built, so no byte was sent.
    #[error("request not built: {0}")]
    InvalidRequest(String),
    /// This process has used up its share of the platform's rate, so no byte was sent.
    #[error("over this process's rate, next turn in {} ms", .retry_after.as_millis())]
    RateLimited {
        /// When the next turn is.
        retry_after: Duration,
    },
    /// No answer within the timeout.
    #[error("no answer in time")]
    TimedOut,
    /// The connection broke after it came about.
    #[error("connection broke: {0}")]
    ConnectionLost(String),
    /// An answer that the border does not name, such as 503.
    #[error("status {0}")]
    UnexpectedStatus(u16),
    /// An answer whose body cannot be read.
    #[error("broken answer: {0}")]
    BrokenAnswer(String),
}

impl RequestError {
    /// Whether no byte of the request left this process. Everything else may have had its effect.
    pub fn is_definitely_unsent(&self) -> bool {
        match self {
            Self::NoConnection(_) | Self::InvalidRequest(_) | Self::RateLimited { .. } => true,
            Self::TimedOut
            | Self::ConnectionLost(_)
            | Self::UnexpectedStatus(_)
            | Self::BrokenAnswer(_) => false,
        }
    }
}

/// A read that failed. Reading again is safe.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("platform read failed: {0}")]
pub struct ReadError(#[from] pub RequestError);

/// A write that was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommitError {
    /// Some rows were not as expected. Nothing took effect.
    #[error("platform write met {} conflicts", .0.len())]
    Conflict(Vec<RowConflict>),
    /// The write never left this process. Nothing took effect.
    #[error("platform write not sent: {0}")]
    NotSent(RequestError),
    /// The write may have taken effect, or may yet do so.
    #[error("platform write uncertain: {0}")]
    Uncertain(RequestError),
}

impl From<RequestError> for CommitError {
    fn from(error: RequestError) -> Self {
        if error.is_definitely_unsent() {
            Self::NotSent(error)
        } else {
            Self::Uncertain(error)
        }
    }
}
