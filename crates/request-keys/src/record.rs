//! What is recorded for a key and what its request hears.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr,
    time::{Duration, Instant},
};

use model::{CustomerId, IdempotencyKey, IncarnationId, SubmissionId};
use serde::{Deserialize, Serialize};

/// Digest of a request's body, by which a key that comes again with another body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct BodyDigest(pub u64);

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for BodyDigest {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(s, 16).map(Self)
    }
}

impl From<BodyDigest> for String {
    fn from(digest: BodyDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for BodyDigest {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// The content of a key's row: the one submission that may run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The entry process that has authority over the request.
    pub incarnation: IncarnationId,
    /// The submission's number there.
    pub serial: u64,
    /// The digest of the request's body.
    pub body_digest: BodyDigest,
}

impl KeyRecord {
    /// The submission that the record names.
    pub fn submission(&self) -> SubmissionId {
        SubmissionId {
            incarnation: self.incarnation,
            serial: self.serial,
        }
    }
}

/// A key is a customer's own: two customers may choose the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Whose key.
    pub customer: CustomerId,
    /// The key.
    pub key: IdempotencyKey,
}

/// A key to be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// The key.
    pub key: RequestKey,
    /// What to record.
    pub record: KeyRecord,
    /// When the request has no time left to wait.
    pub deadline: Instant,
}

/// What became of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyResult {
    /// The record is in the platform. Only now may the request start.
    Recorded,
    /// The key was recorded before, by this submission or another: the record says who decides.
    Exists(KeyRecord),
    /// Nothing was written for this submission, nor will be.
    NotRecorded {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// The record may be in the platform or may yet come to be there, or the key is taken and by whom is not known.
    /// The request must not start. A record that lands late names this submission, whose process knows that it
    /// never started.
    Uncertain,
}
