//! The life cycle of a process: a first signal begins the stop, a second one ends it.

use std::{future::Future, io};

use tokio::signal::unix::{signal, Signal, SignalKind};

/// SIGTERM and SIGINT, caught from the moment that this exists.
///
/// Failure: a signal comes while the process is still starting. Symptom without this: the process is ended by the
/// signal itself, without a graceful shutdown, although its listeners may have taken work. Install it before anything
/// else; a signal that comes before [`Self::wait`] is kept for it.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Has to run within an actix system.
    ///
    /// # Errors
    ///
    /// The handlers cannot be set up.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for the stop to end by itself, or for another signal: `None`.
    pub async fn run_until_signal<T>(&mut self, stop: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            done = stop => Some(done),
            () = self.wait() => None,
        }
    }
}
