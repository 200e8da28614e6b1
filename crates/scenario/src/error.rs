//! Why a scenario could not be run on.

use std::{io, time::Duration};

use thiserror::Error;

use crate::script::Label;

/// Why a step failed.
#[derive(Debug, Error)]
pub enum StepError {
    /// The operating system refused something that the runner needs.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// No VM of that name.
    #[error("no VM {0:?}")]
    UnknownVm(Label),
    /// No endpoint of that name.
    #[error("no endpoint {0:?}")]
    UnknownEndpoint(Label),
    /// No place of that name.
    #[error("no VM, endpoint or data centre {0:?}")]
    UnknownPlace(Label),
    /// No submissions, changes or tickets of that name.
    #[error("nothing was named {0:?}")]
    UnknownName(Label),
    /// The process is not there to be signalled.
    #[error("{0} is not running")]
    NotRunning(String),
    /// A process runs already.
    #[error("{0} is running")]
    Running(String),
    /// A condition did not come about.
    #[error("did not come about within {within:?}: {state}")]
    TimedOut {
        /// The longest wait.
        within: Duration,
        /// What was there in its place.
        state: String,
    },
    /// Something else than expected.
    #[error("found {0}")]
    Unexpected(String),
    /// A ticket could not be had.
    #[error("no ticket: {0}")]
    NoTicket(String),
    /// A contract of the set-up could not be made.
    #[error("contract not made: {0}")]
    Contract(String),
}

/// Why the binary under test is not there.
#[derive(Debug, Error)]
pub enum BinaryError {
    /// The test executable is not in a target directory.
    #[error(
        "this executable is in no cargo target directory, so cairnpaddle cannot be found beside it"
    )]
    NoTargetDirectory,
    /// Cargo could not be started.
    #[error("cargo build could not be started: {0}")]
    Cargo(#[from] io::Error),
    /// Cargo could not build it.
    #[error("cargo build -p cairnpaddle failed:\n{0}")]
    Build(String),
    /// It is not there.
    #[error("{0} is not there; build it with: cargo build -p cairnpaddle --locked")]
    Absent(String),
}
