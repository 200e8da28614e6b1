//! Faults that the endpoint stand-in injects on request.

use serde::{Deserialize, Serialize};

/// A way in which an endpoint misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// No fault. Ends the previous fault and leaving.
    #[default]
    Healthy,
    /// Runs each task and reports that it failed.
    FailAll,
    /// Answers `busy` though slots are free.
    Busy,
    /// Answers `leaving` to new tasks and finishes the running ones.
    Leaving,
    /// Leaving according to the VM list only: still accepts tasks, but records how long it had been leaving.
    LeavingSilently,
    /// Multiplies the run time by a factor.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Echoes the id of another attempt.
    WrongAttempt,
    /// Echoes no attempt id.
    NoAttempt,
    /// Announces a longer body than it sends, then closes the connection.
    CutAnswer,
    /// Sends a chunked body without announcing its length, then closes the connection before its end.
    CutChunks,
    /// Runs the task, then closes the connection without an answer.
    CloseAfterStart,
    /// Closes the connection as soon as the task has started. The run goes on.
    CloseAtStart,
    /// Runs the task, sends nothing for `ms`, then closes the connection.
    Silent {
        /// Duration of the silence in milliseconds.
        ms: u64,
    },
    /// Delays the answer by `ms` after the run; the slot is already free.
    Late {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// Swaps the complete answers, including the echoed attempt ids, of two tasks that end within `ms` of each other.
    Crossed {
        /// How long the first answer waits for the second, in milliseconds.
        ms: u64,
    },
    /// Runs the task, then answers with a redirect to itself, which a client must not follow.
    Redirect,
    /// Answers with a status that the endpoint interface does not define.
    ServerError,
}

/// A request to inject a fault, for all further tasks or a number of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultRequest {
    /// The fault, which replaces the previous one.
    #[serde(flatten)]
    pub fault: Fault,
    /// The number of tasks to which the fault applies; all further tasks if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<u32>,
}

impl FaultRequest {
    /// Applies the fault to every task from now on.
    pub fn always(fault: Fault) -> Self {
        Self { fault, times: None }
    }

    /// Applies the fault to the next `times` tasks.
    pub fn next(fault: Fault, times: u32) -> Self {
        Self {
            fault,
            times: Some(times),
        }
    }
}
