//! Faults that the endpoint stand-in shows on demand.

use serde::{Deserialize, Serialize};

/// A way in which an endpoint misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// None: ends the fault before and any leaving.
    #[default]
    Healthy,
    /// Runs each task and says that it failed.
    FailAll,
    /// Answers `busy` though slots are free.
    Busy,
    /// From now on answers `leaving`; finishes what runs.
    Leaving,
    /// Leaving by the VM list only: still takes what comes, but records how long it had been leaving.
    LeavingSilently,
    /// Runs take this many times as long.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Echoes the id of another attempt.
    WrongAttempt,
    /// Echoes no attempt id.
    NoAttempt,
    /// Names a body longer than the one sent, then closes the connection.
    CutAnswer,
    /// Sends a body of unnamed length, then closes the connection.
    CutChunks,
    /// Runs the task, then closes the connection without an answer.
    CloseAfterStart,
    /// Closes the connection as soon as the task has started. The run goes on.
    CloseAtStart,
    /// Runs the task, keeps silent for `ms`, then closes the connection.
    Silent {
        /// Milliseconds of silence.
        ms: u64,
    },
    /// Holds the answer back for `ms` after the run; the slot is free meanwhile.
    Late {
        /// Milliseconds of delay.
        ms: u64,
    },
    /// Swaps the whole answers, echoed attempt ids included, of two tasks that end within `ms` of each other.
    Crossed {
        /// Milliseconds that the first waits for the second.
        ms: u64,
    },
    /// Runs the task, then answers with a redirect to itself, which a client must not follow.
    Redirect,
    /// Answers with a status that the border does not know.
    ServerError,
}

/// A fault and for how many tasks it is shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultRequest {
    /// The fault. It takes the place of the one before.
    #[serde(flatten)]
    pub fault: Fault,
    /// For the next this many tasks only; always where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<u32>,
}

impl FaultRequest {
    /// The fault for every task from now on.
    pub fn always(fault: Fault) -> Self {
        Self { fault, times: None }
    }

    /// The fault for the next `times` tasks.
    pub fn next(fault: Fault, times: u32) -> Self {
        Self {
            fault,
            times: Some(times),
        }
    }
}
