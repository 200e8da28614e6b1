//! Durations in whole milliseconds.

use std::{fmt, str::FromStr, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use crate::number;

/// A duration in whole milliseconds, for fields whose name ends in `_ms`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, JsonSchema,
)]
#[serde(transparent)]
#[schemars(inline)]
pub struct DurationMs(pub u64);

impl DurationMs {
    /// Converts to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<u64> for DurationMs {
    fn from(millis: u64) -> Self {
        Self(millis)
    }
}

impl From<DurationMs> for Duration {
    fn from(span: DurationMs) -> Self {
        span.duration()
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for DurationMs {
    type Err = InvalidDuration;

    fn from_str(s: &str) -> Result<Self, InvalidDuration> {
        s.strip_suffix(" ms")
            .unwrap_or(s)
            .parse()
            .map(Self)
            .map_err(|_| InvalidDuration(s.to_owned()))
    }
}

impl<'de> Deserialize<'de> for DurationMs {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        number::bounded::<D, Self, 0, { u64::MAX }>(deserializer)
    }
}

/// The error for a text that is not a whole number of milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a whole number of milliseconds: {0:?}")]
pub struct InvalidDuration(pub String);
