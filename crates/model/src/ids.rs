//! Ids. Each id type has one text form, which is validated where it enters the system.

use std::{fmt, str::FromStr, sync::Arc};

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// The longest id, in bytes. Ids are part of every message and of metric labels, so they are kept short.
const MAX_ID_BYTES: usize = 64;

/// The error for a text that is not an id of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a valid {kind}: {text:?}")]
pub struct InvalidId {
    /// The expected kind of id.
    pub kind: &'static str,
    /// The rejected text, cut to the length of the longest id.
    pub text: String,
}

impl InvalidId {
    fn new(kind: &'static str, text: &str) -> Self {
        Self {
            kind,
            text: text.chars().take(MAX_ID_BYTES).collect(),
        }
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, JsonSchema)]
        #[schemars(transparent)]
        pub struct $name(#[schemars(with = "String")] Arc<str>);

        impl $name {
            /// The text form.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(s: &str) -> Result<Self, InvalidId> {
                let valid_chars = s.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b));
                if s.is_empty() || s.len() > MAX_ID_BYTES || !valid_chars {
                    return Err(InvalidId::new($kind, s));
                }
                Ok(Self(s.into()))
            }
        }

        serde_as_text!($name);
    };
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer)?
                    .parse()
                    .map_err(serde::de::Error::custom)
            }
        }
    };
}

name_id!(
    /// A customer, whose work is covered by a contract.
    CustomerId, "customer id"
);
name_id!(
    /// A data centre, for example `rajkot-east`.
    DataCentreId, "data centre id"
);
name_id!(
    /// An endpoint, a process that runs tasks in slots.
    EndpointId, "endpoint id"
);
name_id!(
    /// A VM of the system, or a VM that runs an endpoint.
    VmId, "VM id"
);
name_id!(
    /// The kind of a task. Run times are estimated per customer and kind.
    TaskKind, "task kind"
);
name_id!(
    /// An idempotency key that a caller chose.
    IdempotencyKey, "idempotency key"
);

/// One incarnation of a process. A restarted process has a new incarnation id, so that the lost state of the old
/// process is never mistaken for state of the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for IncarnationId {
    type Err = InvalidId;

    fn from_str(s: &str) -> Result<Self, InvalidId> {
        parse_hex(s)
            .filter(|_| s.len() == 16)
            .map(Self)
            .ok_or_else(|| InvalidId::new("incarnation id", s))
    }
}

serde_as_text!(IncarnationId);

/// A submission, which is a job or a request. The id contains the incarnation of the entry that has authority over the
/// submission, so that any entry can find that entry or tell that it is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId {
    /// The incarnation of the entry that owns the submission.
    pub incarnation: IncarnationId,
    /// The number of the submission among those of that incarnation.
    pub serial: u64,
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.incarnation, self.serial)
    }
}

impl FromStr for SubmissionId {
    type Err = InvalidId;

    fn from_str(s: &str) -> Result<Self, InvalidId> {
        let invalid = || InvalidId::new("submission id", s);
        let (incarnation, serial) = s.split_once('-').ok_or_else(invalid)?;
        let incarnation = incarnation.parse().map_err(|_| invalid())?;
        Ok(Self {
            incarnation,
            serial: parse_hex(serial).ok_or_else(invalid)?,
        })
    }
}

serde_as_text!(SubmissionId);

/// The index of a task in its job, from 0.
pub type TaskIndex = u32;

/// One attempt to start a task. The id is sent to the endpoint with the task and echoed in the answer; an answer that
/// echoes another id is never delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// The index of the task in the submission.
    pub task: TaskIndex,
    /// The number of this attempt among those of the task, from 0. A task gets another attempt only if it definitely
    /// did not run.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.submission, self.task, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = InvalidId;

    fn from_str(s: &str) -> Result<Self, InvalidId> {
        let invalid = || InvalidId::new("attempt id", s);
        let mut parts = s.split('.');
        let submission = parts
            .next()
            .unwrap_or_default()
            .parse()
            .map_err(|_| invalid())?;
        let mut number = || {
            parts
                .next()
                .and_then(parse_hex)
                .and_then(|n| u32::try_from(n).ok())
                .ok_or_else(invalid)
        };
        let (task, attempt) = (number()?, number()?);
        match parts.next() {
            None => Ok(Self {
                submission,
                task,
                attempt,
            }),
            Some(_) => Err(invalid()),
        }
    }
}

serde_as_text!(AttemptId);

/// A ticket, with which one request may run once at the entry incarnation that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(
    /// The submission that the ticket is for. Its serial is reserved when the ticket is issued.
    pub SubmissionId,
);

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}

impl FromStr for TicketId {
    type Err = InvalidId;

    fn from_str(s: &str) -> Result<Self, InvalidId> {
        let submission = s
            .strip_prefix('t')
            .ok_or_else(|| InvalidId::new("ticket", s))?;
        submission
            .parse()
            .map(Self)
            .map_err(|_| InvalidId::new("ticket", s))
    }
}

serde_as_text!(TicketId);

/// Parses lower-case hexadecimal digits. Rejects upper case and signs, which `from_str_radix` would accept.
fn parse_hex(s: &str) -> Option<u64> {
    let valid_chars = s
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if !valid_chars {
        return None;
    }
    u64::from_str_radix(s, 16).ok()
}
