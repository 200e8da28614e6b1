//! What is logged.

use std::collections::BTreeMap;

use model::text_enum;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::number::bounded;

text_enum! {
    /// The least severe messages that are logged.
    #[derive(Serialize, Deserialize, JsonSchema)]
    #[serde(rename_all = "snake_case")]
    LogLevel, "log level", InvalidLogName {
        /// Nothing.
        Off => "off",
        /// What an operator has to look at.
        Error => "error",
        /// What went wrong and was dealt with.
        Warn => "warn",
        /// What changes seldom: start, stop, contracts, peers.
        Info => "info",
        /// Each decision.
        Debug => "debug",
        /// Each message.
        Trace => "trace",
    }
}

text_enum! {
    /// A part of the system, with a log level and a prefix of its own.
    #[derive(Serialize, Deserialize, JsonSchema)]
    #[serde(rename_all = "snake_case")]
    LogPart, "log part", InvalidLogName {
        /// The entry's control state.
        Entry => "entry",
        /// The dispatcher's control state.
        Dispatcher => "dispatcher",
        /// The HTTP border to callers.
        Caller => "caller",
        /// The HTTP border to endpoints.
        Endpoint => "endpoint",
        /// The protocol between the system's processes.
        Peer => "peer",
        /// The platform's tables, objects and VM list.
        Platform => "platform",
        /// Contracts and their versions.
        Contracts => "contracts",
        /// Which dispatchers live and who owns which endpoint.
        Membership => "membership",
        /// Idempotency keys.
        Keys => "keys",
        /// Start, stop and signals of the process.
        Process => "process",
        /// The operators' program.
        Ctl => "ctl",
        /// Stand-ins of the platform and of endpoints.
        StandIn => "stand_in",
        /// Libraries. They log warnings and errors only, unless this part's level says otherwise.
        Library => "library",
    }
}

/// What is logged and how. Logs go to standard error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The level of every part that is not named below. Default `info`.
    pub level: LogLevel,
    /// Levels of single parts. Default empty.
    pub parts: BTreeMap<LogPart, LogLevel>,
    /// One JSON object a line in place of text. Default false.
    pub json: bool,
    /// How many messages of one kind (one place in the code) are written in a second; the rest is counted, and the
    /// count follows. Default 20.
    #[serde(deserialize_with = "bounded::<_, _, 1, 100_000>")]
    #[schemars(range(min = 1, max = 100_000))]
    pub per_kind_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            parts: BTreeMap::new(),
            json: false,
            per_kind_per_second: 20,
        }
    }
}

impl LogSettings {
    /// The level of one part.
    pub fn level_of(&self, part: LogPart) -> LogLevel {
        if let Some(level) = self.parts.get(&part) {
            return *level;
        }
        match part {
            LogPart::Library => self.level.min(LogLevel::Warn),
            _ => self.level,
        }
    }
}

/// A text that is not in its set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a {set}: {text:?}")]
pub struct InvalidLogName {
    /// The set.
    pub set: &'static str,
    /// The text.
    pub text: String,
}
