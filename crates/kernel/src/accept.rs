//! Accepting connections.

use std::{future::Future, time::Duration};

use tokio::net::{TcpListener, TcpStream};

use crate::TaskSet;

/// How long to wait after a failed accept, which comes from a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves each accepted connection in a task of its own, for as long as the future is polled. When it is dropped, the
/// connections end too.
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
        // Messages are small and answers are waited for; without this the kernel holds them back for up to 40 ms.
        let _best_effort = stream.set_nodelay(true);
        connections.add(actix_rt::spawn(serve(stream)));
    }
}
