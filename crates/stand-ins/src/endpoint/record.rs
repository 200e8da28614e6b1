//! What the endpoint stand-in remembers of every task that reached it.

use model::{AttemptId, CustomerId, EndpointId, TaskKind};
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
}

/// A task that started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// Counts the starts of this endpoint, from 0.
    pub order: u64,
    /// The attempt.
    pub attempt: AttemptId,
    /// Whose task.
    pub customer: CustomerId,
    /// The kind.
    pub kind: TaskKind,
    /// Digest of the payload, see [`digest`](super::digest).
    pub digest: String,
    /// The payload where it is text of at most 1 KiB.
    pub payload: Option<String>,
    /// When it started, in milliseconds since the stand-in did.
    pub started_ms: u64,
    /// The same in microseconds.
    pub started_us: u64,
    /// When it ended, in microseconds since the stand-in did; absent while it runs.
    pub ended_us: Option<u64>,
    /// How long the endpoint had been leaving at the start, in milliseconds.
    pub leaving_for_ms: Option<u64>,
    /// How it ended; absent while it runs.
    pub end: Option<RunEnd>,
}

/// Why a task was turned away unstarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// No slot was free.
    Busy,
    /// The endpoint is leaving.
    Leaving,
}

/// A task that was turned away unstarted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why.
    pub cause: RefusalCause,
    /// When it came, in milliseconds since the stand-in started.
    pub came_ms: u64,
    /// How long the endpoint had been leaving, in milliseconds.
    pub leaving_for_ms: Option<u64>,
}

/// Everything that an endpoint stand-in remembers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub id: EndpointId,
    /// When this was read, in milliseconds since the stand-in started.
    #[serde(default)]
    pub now_ms: u64,
    /// Tasks at once.
    pub slots: u32,
    /// The time since the stand-in started, in microseconds.
    pub age_us: u64,
    /// The most that ran at once.
    pub most_running: u32,
    /// What runs now.
    pub running: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Every start, in order.
    pub starts: Vec<StartRecord>,
    /// Every task turned away, in order.
    pub refusals: Vec<RefusalRecord>,
}
