//! Instructions for the endpoint stand-in in the payload of a task.

use std::{hash::Hasher, time::Duration};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

/// The instructions of a JSON payload. Any other payload runs for the default time and is returned as the result.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskScript {
    /// Run time in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
    /// The result; the payload itself if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub echo: Option<String>,
    /// Whether the task fails after its run.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub fail: bool,
    /// Makes the result this many zero bytes, to test results that are too large.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result_bytes: Option<usize>,
    /// A name by which a test identifies the task. The stand-in only records it with the payload.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
}

impl TaskScript {
    /// Parses a payload; returns the defaults if it is not a valid script.
    pub fn read(payload: &[u8]) -> Self {
        serde_json::from_slice(payload).unwrap_or_default()
    }

    /// Returns the run time, or `default` if the script sets none.
    pub fn run_time(&self, default: Duration) -> Duration {
        self.run_ms.map_or(default, Duration::from_millis)
    }

    /// Returns the result of a run with this payload.
    pub fn result(&self, payload: &[u8]) -> Vec<u8> {
        if let Some(size) = self.result_bytes {
            return vec![0; size];
        }
        match &self.echo {
            Some(text) => text.clone().into_bytes(),
            None => payload.to_vec(),
        }
    }
}

/// Returns a digest that identifies equal payloads: 16 hexadecimal digits, the same in every process.
pub fn digest(payload: &[u8]) -> String {
    let mut hasher = FxHasher::default();
    hasher.write(payload);
    hasher.write_usize(payload.len());
    format!("{:016x}", hasher.finish())
}
