//! Classification of the HTTP library's errors by what they mean for the attempt.

use std::{error::Error as _, io};

use awc::error::{ConnectError, SendRequestError};
use model::{AttemptEnd, RetryReason, UnknownReason};
use thiserror::Error;

/// The error of a call that got no usable answer.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// No connection was established.
    #[error("no connection: {0}")]
    NotConnected(ConnectError),
    /// The connection was lost after bytes may have been written.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// No answer arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer violates the endpoint interface, is incomplete, or belongs to another attempt.
    #[error("invalid answer: {0}")]
    BrokenAnswer(&'static str),
}

impl CallError {
    /// Returns how the attempt ended, given this error.
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
            // The library reports `Connect(Disconnected)` also when an established connection was closed before the
            // answer. If that counted as not connected, a task that ran would be placed a second time. Only errors that
            // occur before the library hands out a connection count as not connected.
            SendRequestError::Connect(
                error @ (ConnectError::Timeout
                | ConnectError::Io(_)
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved),
            ) => Self::NotConnected(error),
            SendRequestError::Timeout => Self::Timeout,
            // The library reports a connection reset while it waits for the answer's head as a parse error.
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
