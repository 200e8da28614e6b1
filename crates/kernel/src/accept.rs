//! Accepts connections and serves each in its own task.

use std::{cell::Cell, future::Future, os::fd::AsRawFd as _, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use crate::TaskSet;

/// The delay before the next accept after one failed, which happens when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tells whether all connections that waited at a moment have been accepted since.
#[derive(Debug, Default)]
pub struct AcceptDrain {
    pending: Cell<bool>,
    begun: Notify,
}

impl AcceptDrain {
    /// Begins a drain: it is pending until the listener has no connection to accept.
    pub fn begin(&self) {
        self.pending.set(true);
        self.begun.notify_one();
    }

    /// Returns whether connections that waited at the last [`begin`](Self::begin) may not be accepted yet.
    pub fn is_pending(&self) -> bool {
        self.pending.get()
    }

    fn check(&self, listener: &TcpListener) {
        if self.pending.get() && !has_waiting_connection(listener) {
            self.pending.set(false);
        }
    }
}

/// Accepts connections and serves each in its own task for as long as the returned future is polled. Dropping the
/// future aborts the connections' tasks too.
pub async fn serve_connections<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    serve_with_drain(listener, &AcceptDrain::default(), serve).await;
}

/// Like [`serve_connections`], and completes the drains that begin meanwhile.
pub async fn serve_with_drain<F>(
    listener: TcpListener,
    drain: &AcceptDrain,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let connections = TaskSet::default();
    loop {
        drain.check(&listener);
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = drain.begun.notified() => continue,
        };
        let Ok((stream, _)) = accepted else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Messages are small and their senders wait for the answer. Without TCP_NODELAY the operating system can delay
        // them by up to 40 ms.
        let _best_effort = stream.set_nodelay(true);
        connections.add(actix_rt::spawn(serve(stream)));
        // A connection that has to give way to this one closes its descriptor before the next is accepted.
        tokio::task::yield_now().await;
    }
}

/// Asks the operating system whether a connection waits to be accepted. The runtime's own readiness is older: it is
/// from before the pause when the process wakes.
fn has_waiting_connection(listener: &TcpListener) -> bool {
    let mut entry = libc::pollfd {
        fd: listener.as_raw_fd(),
        events: libc::POLLIN,
        revents: 0,
    };
    // SAFETY: `entry` is one valid, writable pollfd, and its descriptor is open as long as `listener` lives.
    let ready = unsafe { libc::poll(&raw mut entry, 1, 0) };
    // A failed call leaves the answer open, so a connection may wait.
    ready != 0
}
