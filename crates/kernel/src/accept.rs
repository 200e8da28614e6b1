//! Accepts connections and serves each in its own task.

use std::{future::Future, time::Duration};

use tokio::net::{TcpListener, TcpStream};

use crate::TaskSet;

/// The delay before the next accept after one failed, which happens when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and serves each in its own task for as long as the returned future is polled. Dropping the
/// future aborts the connections' tasks too.
pub async fn serve_connections<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let connections = TaskSet::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Messages are small and their senders wait for the answer. Without TCP_NODELAY the operating system can delay
        // them by up to 40 ms.
        let _best_effort = stream.set_nodelay(true);
        connections.add(actix_rt::spawn(serve(stream)));
    }
}
