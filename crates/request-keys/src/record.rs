//! The row stored for a key, the request to store it and the result.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr,
    time::{Duration, Instant},
};

use model::{CustomerId, IdempotencyKey, IncarnationId, SubmissionId};
use serde::{Deserialize, Serialize};

/// Digest of a request's body; it detects a key that is reused with a different body.
///
/// Written as 16 hexadecimal digits.
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

/// The value of a key's row: the only submission that may run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The entry process that has authority over the request.
    pub incarnation: IncarnationId,
    /// The submission's serial number within that incarnation.
    pub serial: u64,
    /// The digest of the request's body.
    pub body_digest: BodyDigest,
}

impl KeyRecord {
    /// The id of the submission that the record names.
    pub fn submission(&self) -> SubmissionId {
        SubmissionId {
            incarnation: self.incarnation,
            serial: self.serial,
        }
    }
}

/// An idempotency key, scoped to its customer: two customers may choose the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// The customer that owns the key.
    pub customer: CustomerId,
    /// The key as the caller chose it.
    pub key: IdempotencyKey,
}

/// A request to record a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// The key.
    pub key: RequestKey,
    /// The value to store in the key's row.
    pub record: KeyRecord,
    /// The latest time at which the request still waits for the result.
    pub deadline: Instant,
}

/// The result of recording a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyResult {
    /// The record is stored in the platform. The request may start only after this result.
    Recorded,
    /// The key was recorded before by another submission, which the record names and which has the answer.
    Exists(KeyRecord),
    /// No record was written for this submission, and none will be.
    NotRecorded {
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
    /// The record may be stored now or later, or the key exists but its record could not be read.
    /// The request must not start. A record that is stored late names this submission, and its process knows that the
    /// submission never started.
    Uncertain,
}
