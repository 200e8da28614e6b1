//! Settings of the log.

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
        /// Failures that need an operator.
        Error => "error",
        /// Failures that the system handled itself.
        Warn => "warn",
        /// Rare changes: start, stop, contracts, peers.
        Info => "info",
        /// Every decision.
        Debug => "debug",
        /// Every message.
        Trace => "trace",
    }
}

text_enum! {
    /// A part of the system that has its own log level and prefix.
    #[derive(Serialize, Deserialize, JsonSchema)]
    #[serde(rename_all = "snake_case")]
    LogPart, "log part", InvalidLogName {
        /// The entry's control state.
        Entry => "entry",
        /// The dispatcher's control state.
        Dispatcher => "dispatcher",
        /// The HTTP interface to callers.
        Caller => "caller",
        /// The HTTP interface to endpoints.
        Endpoint => "endpoint",
        /// The protocol between the system's processes.
        Peer => "peer",
        /// The platform's tables, objects and VM list.
        Platform => "platform",
        /// Contracts and their versions.
        Contracts => "contracts",
        /// Liveness of dispatchers and ownership of endpoints.
        Membership => "membership",
        /// Idempotency keys.
        Keys => "keys",
        /// Start, stop and signals of the process.
        Process => "process",
        /// The operators' command-line tool.
        Ctl => "ctl",
        /// Stand-ins of the platform and of endpoints.
        StandIn => "stand_in",
        /// Libraries, which log only warnings and errors unless this part's level is set.
        Library => "library",
    }
}

/// What is logged and how. Logs go to standard error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The level of every part that `parts` does not name. Default `info`.
    pub level: LogLevel,
    /// The levels of individual parts. Default empty.
    pub parts: BTreeMap<LogPart, LogLevel>,
    /// Whether each line is a JSON object instead of text. Default false.
    pub json: bool,
    /// The most messages of one kind, that is from one place in the code, written per second. Further messages are
    /// suppressed and counted, and the count is logged afterwards. Default 20.
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
    /// Returns the level of one part.
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

/// The error for a text that names no log level or log part.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a {expected}: {text:?}")]
pub struct InvalidLogName {
    /// What the text should name, for example "log level".
    pub expected: &'static str,
    /// The rejected text.
    pub text: String,
}
