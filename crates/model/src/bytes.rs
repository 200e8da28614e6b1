//! Sizes in bytes, task payloads, and how payloads are split into messages.

use std::{fmt, str::FromStr, sync::Arc};

use base64::{engine::general_purpose::STANDARD, Engine as _};
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The largest payload or result of one task, in bytes.
pub const MAX_PAYLOAD_BYTES: ByteSize = ByteSize(64 * 1024);

/// A size in bytes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix(" B").unwrap_or(s).parse().map(Self)
    }
}

/// The most payload bytes that one message between processes carries. The messages of a connection share one queue, so
/// a large message keeps the receiver from starting the tasks that it read first, and a message above the receiver's
/// limit fails as a whole. With 1 MiB per message a batch needs few messages, and a batch of usual tasks needs one.
pub const MAX_MESSAGE_PAYLOAD_BYTES: ByteSize = ByteSize(1024 * 1024);

/// Splits items into messages and keeps their order. The payloads of each message stay within
/// [`MAX_MESSAGE_PAYLOAD_BYTES`]; a larger payload gets a message of its own. No items give no message.
pub fn split_into_messages<T>(items: Vec<T>, size: impl Fn(&T) -> ByteSize) -> Vec<Vec<T>> {
    let mut messages = Vec::new();
    let mut message = Vec::new();
    let mut message_bytes = 0;
    for item in items {
        let size = size(&item).0;
        if !message.is_empty() && message_bytes + size > MAX_MESSAGE_PAYLOAD_BYTES.0 {
            messages.push(std::mem::take(&mut message));
            message_bytes = 0;
        }
        message_bytes += size;
        message.push(item);
    }
    if !message.is_empty() {
        messages.push(message);
    }
    messages
}

/// The opaque bytes of a task or its result, written in JSON as a base64 string.
#[derive(Clone, PartialEq, Eq, Hash, Default)]
pub struct Payload(pub Arc<[u8]>);

impl Payload {
    /// The number of bytes.
    pub fn size(&self) -> ByteSize {
        ByteSize(self.0.len() as u64)
    }
}

impl From<&[u8]> for Payload {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for Payload {
    // Payloads contain personal data, so logs and test output show only the size.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({})", self.size())
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Self::from)
            .map_err(|e| serde::de::Error::custom(format!("not base64: {e}")))
    }
}
