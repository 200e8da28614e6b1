//! Errors of scenario steps and of the search for the binary under test.

use std::{io, time::Duration};

use stand_ins::forwarder::LinkError;
use thiserror::Error;

use crate::script::Label;

/// Why a step failed.
#[derive(Debug, Error)]
pub enum StepError {
    /// The operating system refused something that the runner needs.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A link between two places could not be changed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// No VM of that name, or no VM with a ready entry.
    #[error("no VM {0:?}")]
    UnknownVm(Label),
    /// No endpoint of that name.
    #[error("no endpoint {0:?}")]
    UnknownEndpoint(Label),
    /// No place of that name, or no link between two places.
    #[error("no VM, endpoint, data centre or link {0:?}")]
    UnknownPlace(Label),
    /// No submission group, change or ticket of that name.
    #[error("no submission group, change or ticket {0:?}")]
    UnknownName(Label),
    /// The process cannot be signalled because it is not running, or SIGTERM or SIGKILL was already sent to it.
    #[error("{0} is not running or is already ending")]
    NotRunning(String),
    /// The process to start is already running.
    #[error("{0} is already running")]
    AlreadyRunning(String),
    /// A condition was not met in time.
    #[error("condition not met within {within:?}: {state}")]
    TimedOut {
        /// The longest wait.
        within: Duration,
        /// The state that was found instead.
        state: String,
    },
    /// The result differs from the expected one.
    #[error("expectation not met: found {0}")]
    Unexpected(String),
    /// The entry issued no ticket.
    #[error("ticket not issued: {0}")]
    NoTicket(String),
    /// A contract of the set-up could not be created.
    #[error("contract not created: {0}")]
    ContractNotCreated(String),
}

/// Why the binary under test could not be found or built.
#[derive(Debug, Error)]
pub enum BinaryError {
    /// The test executable is not in a target directory.
    #[error(
        "this executable is not in a cargo target directory, so cairnpaddle cannot be found next to it"
    )]
    NoTargetDirectory,
    /// Cargo could not be started.
    #[error("cargo build could not be started: {0}")]
    Cargo(#[from] io::Error),
    /// Cargo could not build the binary.
    #[error("cargo build -p cairnpaddle failed:\n{0}")]
    Build(String),
    /// The binary does not exist.
    #[error("{0} does not exist; build it with: cargo build -p cairnpaddle --locked")]
    NotFound(String),
}
