//! The headers `ETag`, `If-Match` and `If-None-Match`. The tag of a contract is its version in quotes.

use actix_web::{http::header, HttpRequest};
use model::ContractVersion;

use super::OperatorError;

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WritePrecondition {
    /// The customer has no contract.
    Absent,
    /// The contract is at this version.
    Version(ContractVersion),
}

impl WritePrecondition {
    /// Reads the precondition of a write. `If-Match: *` is rejected, since it would let an operator overwrite a change
    /// that the operator has not seen.
    pub(super) fn from_request(request: &HttpRequest) -> Result<Self, OperatorError> {
        let if_match = single_header(request, header::IF_MATCH)?;
        let if_none_match = single_header(request, header::IF_NONE_MATCH)?;
        match (if_match, if_none_match) {
            (None, None) => Err(OperatorError::PreconditionRequired),
            (Some(_), Some(_)) => Err(OperatorError::bad_field(
                "If-Match",
                &"cannot go with If-None-Match",
            )),
            (None, Some("*")) => Ok(Self::Absent),
            (None, Some(_)) => Err(OperatorError::bad_field(
                "If-None-Match",
                &"must be * in a write",
            )),
            (Some(tag), None) => parse_tag(tag).map(Self::Version).ok_or_else(|| {
                OperatorError::bad_field("If-Match", &"must be one version in quotes")
            }),
        }
    }
}

/// The entity tag of a version.
pub(super) fn version_tag(version: ContractVersion) -> String {
    format!("\"{version}\"")
}

/// Whether the `If-None-Match` header of a read names this version. An invalid header counts as absent, since a full
/// response is always correct.
pub(super) fn matches_version(request: &HttpRequest, version: ContractVersion) -> bool {
    let Ok(Some(tags)) = single_header(request, header::IF_NONE_MATCH) else {
        return false;
    };
    tags.split(',')
        .map(|tag| tag.trim().trim_start_matches("W/"))
        .any(|tag| tag == "*" || parse_tag(tag) == Some(version))
}

fn parse_tag(tag: &str) -> Option<ContractVersion> {
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    let all_digits = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    if !all_digits {
        return None;
    }
    digits.parse().ok()
}

fn single_header(
    request: &HttpRequest,
    name: header::HeaderName,
) -> Result<Option<&str>, OperatorError> {
    let mut values = request.headers().get_all(&name);
    let first = values.next();
    if values.next().is_some() {
        return Err(OperatorError::bad_field(name.as_str(), &"given twice"));
    }
    let Some(value) = first else {
        return Ok(None);
    };
    let text = value.to_str();
    let text = text.map_err(|_| OperatorError::bad_field(name.as_str(), &"not plain text"))?;
    Ok(Some(text.trim()))
}
