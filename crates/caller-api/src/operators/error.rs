//! Errors of operator calls and their HTTP responses.

use std::fmt;

use actix_web::{
    http::{header, StatusCode},
    HttpResponse, ResponseError,
};
use contracts::{ChangeId, EditError};
use model::{ContractVersion, InvalidContract};
use serde::Serialize;
use thiserror::Error;

use super::precondition::version_tag;

/// The value of the `Retry-After` header, in seconds.
const RETRY_AFTER_SECONDS: &str = "2";

/// The reason of an error, with a stable text for clients and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperatorReason {
    /// The request is malformed or a field is out of range.
    BadInput,
    /// The customer has no contract.
    NotFound,
    /// A write has no precondition.
    PreconditionRequired,
    /// The contract is not at the version that the operator expected.
    VersionConflict,
    /// Too many concurrent changes of other contracts conflicted with this change.
    Contended,
    /// The platform did not answer.
    PlatformUnavailable,
    /// The outcome of the change is unknown.
    OutcomeUnknown,
    /// A row of the platform cannot be decoded.
    BrokenRow,
}

impl OperatorReason {
    /// Every reason, in a fixed order.
    pub const ALL: &'static [Self] = &[
        Self::BadInput,
        Self::NotFound,
        Self::PreconditionRequired,
        Self::VersionConflict,
        Self::Contended,
        Self::PlatformUnavailable,
        Self::OutcomeUnknown,
        Self::BrokenRow,
    ];

    /// The stable text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadInput => "bad_input",
            Self::NotFound => "not_found",
            Self::PreconditionRequired => "precondition_required",
            Self::VersionConflict => "version_conflict",
            Self::Contended => "contended",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::BrokenRow => "broken_row",
        }
    }
}

impl fmt::Display for OperatorReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a call failed. Only [`Self::Unknown`] leaves open whether something was written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// The request is malformed or a field is out of range.
    #[error("{message}")]
    BadInput {
        /// The path of the invalid field, if the error concerns a field.
        field: Option<String>,
        /// What is wrong.
        message: String,
    },
    /// The customer has no contract.
    #[error("there is no such contract")]
    NotFound,
    /// A write has no precondition.
    #[error("name the version in If-Match, or create with If-None-Match: *")]
    PreconditionRequired,
    /// The contract is not at the version that the operator expected.
    #[error("the contract is at version {current}; nothing was written")]
    Conflict {
        /// The current version.
        current: ContractVersion,
    },
    /// Too many concurrent changes of other contracts conflicted with this change.
    #[error("too many changes at once; nothing was written")]
    Contended,
    /// The platform did not answer.
    #[error("{0}; nothing was written")]
    Unavailable(String),
    /// The outcome of the change is unknown.
    #[error("the change may have been made or may yet be: look for it in the contract's history")]
    Unknown {
        /// The version that the change creates if it takes effect.
        version: Option<ContractVersion>,
        /// The id under which the history lists the change.
        change: Option<ChangeId>,
    },
    /// A row of the platform cannot be decoded.
    #[error("{0}; nothing was written")]
    BrokenRow(String),
}

impl OperatorError {
    /// The reason, for clients and counters.
    pub fn reason(&self) -> OperatorReason {
        match self {
            Self::BadInput { .. } => OperatorReason::BadInput,
            Self::NotFound => OperatorReason::NotFound,
            Self::PreconditionRequired => OperatorReason::PreconditionRequired,
            Self::Conflict { .. } => OperatorReason::VersionConflict,
            Self::Contended => OperatorReason::Contended,
            Self::Unavailable(_) => OperatorReason::PlatformUnavailable,
            Self::Unknown { .. } => OperatorReason::OutcomeUnknown,
            Self::BrokenRow(_) => OperatorReason::BrokenRow,
        }
    }

    pub(super) fn bad_field(field: &str, message: &dyn fmt::Display) -> Self {
        Self::BadInput {
            field: Some(field.to_owned()),
            message: message.to_string(),
        }
    }

    /// The error when a read gets the reply type of another command.
    pub(super) fn unexpected_reply() -> Self {
        Self::Unavailable("the control thread gave a reply of another command".into())
    }
}

impl From<InvalidContract> for OperatorError {
    fn from(invalid: InvalidContract) -> Self {
        Self::bad_field(invalid.field, &invalid.rule)
    }
}

impl From<EditError> for OperatorError {
    fn from(error: EditError) -> Self {
        match error {
            EditError::InvalidContract(invalid) => invalid.into(),
            EditError::NotFound => Self::NotFound,
            EditError::Conflict(row) => Self::Conflict {
                current: row.version,
            },
            EditError::Contended => Self::Contended,
            EditError::Unavailable(reason) => Self::Unavailable(reason),
            EditError::Uncertain { version, change } => Self::Unknown {
                version: Some(version),
                change: Some(change),
            },
            EditError::Row(row) => Self::BrokenRow(row.to_string()),
        }
    }
}

#[derive(Serialize)]
struct ErrorDocument {
    error: ErrorBody,
}

#[derive(Serialize)]
struct ErrorBody {
    reason: &'static str,
    field: Option<String>,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<ContractVersion>,
    #[serde(skip_serializing_if = "Option::is_none")]
    change: Option<ChangeId>,
}

impl ResponseError for OperatorError {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::BadInput { .. } => StatusCode::BAD_REQUEST,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::PreconditionRequired => StatusCode::PRECONDITION_REQUIRED,
            Self::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
            Self::Contended | Self::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::BrokenRow(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let status = self.status_code();
        let mut response = HttpResponse::build(status);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            response.insert_header((header::RETRY_AFTER, RETRY_AFTER_SECONDS));
        }
        let mut body = ErrorBody {
            reason: self.reason().as_str(),
            field: None,
            message: self.to_string(),
            version: None,
            change: None,
        };
        match self {
            Self::BadInput { field, .. } => body.field.clone_from(field),
            Self::Conflict { current } => {
                response.insert_header((header::ETAG, version_tag(*current)));
                body.version = Some(*current);
            }
            Self::Unknown { version, change } => {
                body.version = *version;
                body.change = *change;
            }
            Self::NotFound
            | Self::PreconditionRequired
            | Self::Contended
            | Self::Unavailable(_)
            | Self::BrokenRow(_) => {}
        }
        response.json(ErrorDocument { error: body })
    }
}
