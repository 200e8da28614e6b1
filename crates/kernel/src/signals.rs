//! The life cycle of a process: a first signal begins the stop, a second one ends it.

use std::{future::Future, io};

use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The signal handlers cannot be set up.
pub async fn wait_for_stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits for the stop to end by itself, or for a second signal: `None`.
///
/// # Errors
///
/// The signal handlers cannot be set up.
pub async fn stop_or_second_signal<T>(stop: impl Future<Output = T>) -> io::Result<Option<T>> {
    tokio::select! {
        done = stop => Ok(Some(done)),
        second = wait_for_stop() => second.map(|()| None),
    }
}
