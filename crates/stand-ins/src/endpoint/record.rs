//! Records of every task that reached the endpoint stand-in.

use model::{AttemptId, CustomerId, EndpointId, TaskKind};
use serde::{Deserialize, Serialize};

/// The outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The task ran and failed.
    Failed,
}

/// Record of a task that started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// Index of the start at this endpoint, from 0.
    pub order: u64,
    /// The attempt.
    pub attempt: AttemptId,
    /// The customer that owns the task.
    pub customer: CustomerId,
    /// The kind of the task.
    pub kind: TaskKind,
    /// Digest of the payload, see [`digest`](super::digest).
    pub digest: String,
    /// The payload, if it is text of at most 1 KiB.
    pub payload: Option<String>,
    /// When the task started, in milliseconds since the start of the stand-in.
    pub started_ms: u64,
    /// When the task started, in microseconds since the start of the stand-in.
    pub started_us: u64,
    /// When the run ended, in microseconds since the start of the stand-in; absent while it runs.
    pub ended_us: Option<u64>,
    /// How long the endpoint had been leaving at the start, in milliseconds.
    pub leaving_for_ms: Option<u64>,
    /// The outcome; absent while the task runs.
    pub end: Option<RunEnd>,
}

/// Why a task was refused without being started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// No slot was free.
    Busy,
    /// The endpoint is leaving.
    Leaving,
}

/// Record of a task that was refused without being started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why the task was refused.
    pub cause: RefusalCause,
    /// When the task arrived, in milliseconds since the start of the stand-in.
    pub came_ms: u64,
    /// How long the endpoint had been leaving on arrival, in milliseconds.
    pub leaving_for_ms: Option<u64>,
}

/// Everything that an endpoint stand-in has recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// When this record was read, in milliseconds since the start of the stand-in.
    #[serde(default)]
    pub now_ms: u64,
    /// The most concurrent tasks that the endpoint accepts.
    pub slots: u32,
    /// The time since the stand-in started, in microseconds.
    pub age_us: u64,
    /// The most tasks that ran concurrently.
    pub most_running: u32,
    /// The number of tasks running now.
    pub running: u32,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Every start, in order.
    pub starts: Vec<StartRecord>,
    /// Every refused task, in order.
    pub refusals: Vec<RefusalRecord>,
}
