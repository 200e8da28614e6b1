//! Stop signals of a process: the first begins a graceful shutdown, the second cuts it short.

use std::{future::Future, io};

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Handlers for SIGTERM and SIGINT.
///
/// Install them before anything else. Without handlers, a signal that arrives while the process is still starting ends
/// it without a graceful shutdown, although its listeners may have accepted work. A signal that arrives before
/// [`Self::wait`] is kept for that call.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Must be called within an actix system.
    ///
    /// # Errors
    ///
    /// An I/O error if the handlers cannot be installed.
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

    /// Runs the shutdown to its end and returns its output, or returns `None` if another signal arrives first.
    pub async fn run_until_signal<T>(&mut self, shutdown: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            output = shutdown => Some(output),
            () = self.wait() => None,
        }
    }
}
