//! Errors of calls to the platform.

use std::time::Duration;

use thiserror::Error;

use crate::RowConflict;

/// Why a request got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// No connection was established, so no byte was sent.
    #[error("no connection: {0}")]
    NoConnection(String),
    /// The request could not be built, so no byte was sent.
    #[error("request not built: {0}")]
    InvalidRequest(String),
    /// This process has used up its share of the platform's rate, so no byte was sent.
    #[error("over this process's rate, next turn in {} ms", .retry_after.as_millis())]
    RateLimited {
        /// The wait after which a permit is available.
        retry_after: Duration,
    },
    /// No answer arrived within the timeout.
    #[error("no answer in time")]
    TimedOut,
    /// The connection was lost after it had been established.
    #[error("connection broke: {0}")]
    ConnectionLost(String),
    /// The answer has a status that the platform's interface does not specify, such as 503.
    #[error("status {0}")]
    UnexpectedStatus(u16),
    /// The answer's body is invalid.
    #[error("broken answer: {0}")]
    BrokenAnswer(String),
}

impl RequestError {
    /// Returns whether no byte of the request left this process. After any other error, the request may have taken
    /// effect.
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

/// The error for a failed read. Retrying is safe.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("platform read failed: {0}")]
pub struct ReadError(#[from] pub RequestError);

/// The error for a write that was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommitError {
    /// Some rows did not have the expected versions. The transaction had no effect.
    #[error("platform write failed with {} conflicts", .0.len())]
    Conflict(Vec<RowConflict>),
    /// No byte of the write left this process. The write had no effect.
    #[error("platform write not sent: {0}")]
    NotSent(RequestError),
    /// The write may have taken effect, or may still do so.
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
