//! From what the HTTP library says to what became of the attempt.

use std::{error::Error as _, io};

use awc::error::{ConnectError, SendRequestError};
use model::{AttemptEnd, RetryReason, UnknownReason};
use thiserror::Error;

/// A call without a usable answer.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// No connection came about.
    #[error("no connection: {0}")]
    NotConnected(ConnectError),
    /// The connection broke after bytes may have been written.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer is not one of the border, or not whole, or of another attempt.
    #[error("broken answer: {0}")]
    BrokenAnswer(&'static str),
}

impl CallError {
    /// What the error means for the attempt.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self {
            Self::NotConnected(_) => AttemptEnd::NotRun(RetryReason::EndpointUnreachable),
            Self::ConnectionLost(_) => AttemptEnd::Unknown(UnknownReason::ConnectionLost),
            Self::Timeout => AttemptEnd::Unknown(UnknownReason::DeadlinePassed),
            Self::BrokenAnswer(_) => AttemptEnd::Unknown(UnknownReason::BrokenAnswer),
        }
    }
}

impl From<SendRequestError> for CallError {
    fn from(error: SendRequestError) -> Self {
        match error {
            // The library says `Disconnected` under `Connect` also when an established connection closed before the
            // answer came. Taken for "never connected", a task that ran would be placed a second time. Only the
            // errors that the library makes before it hands out a connection count as not connected.
            SendRequestError::Connect(
                error @ (ConnectError::Timeout
                | ConnectError::Io(_)
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved),
            ) => Self::NotConnected(error),
            SendRequestError::Timeout => Self::Timeout,
            // The library also reports a reset while it waits for the head as a parse error.
            SendRequestError::Response(error) => match error.source() {
                Some(source) if source.is::<io::Error>() => {
                    Self::ConnectionLost(source.to_string())
                }
                _ => Self::BrokenAnswer("not HTTP"),
            },
            other => Self::ConnectionLost(other.to_string()),
        }
    }
}
