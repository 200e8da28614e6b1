//! Several links that share one address, distinguished by the source of a connection.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use model::FastMap;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::forwarder::{
    link::{spawn_forward, FlowState, LinkCounters},
    ConnectionEnds, SourceFinder,
};

/// The pause after a connection could not be accepted, for example because no descriptor was left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The flow state and counters of the link of one source.
pub(super) struct SourceFlow {
    pub(super) flow: watch::Receiver<FlowState>,
    pub(super) counters: Arc<LinkCounters>,
}

/// The parameters of the task that serves the links of one shared address.
pub(super) struct SharedLinkTask {
    pub(super) listener: std::net::TcpListener,
    pub(super) target: SocketAddr,
    pub(super) flows: FastMap<String, SourceFlow>,
    pub(super) finder: SourceFinder,
}

impl SharedLinkTask {
    /// Serves until the links' handles are dropped.
    pub(super) async fn run(self) {
        let target = self.target;
        if let Err(error) = self.serve().await {
            log::warn!("net forwarder: links to {target} failed: {error}");
        }
    }

    async fn serve(self) -> io::Result<()> {
        let Self {
            listener,
            target,
            flows,
            finder,
        } = self;
        let listener = TcpListener::from_std(listener)?;
        let to = listener.local_addr()?;
        // Connections of a source without a link use a flow of their own, which always passes and lasts as long as this
        // task.
        let (_pass, pass) = watch::channel(FlowState::default());
        let no_link = SourceFlow {
            flow: pass,
            counters: Arc::default(),
        };
        let flows = Arc::new(flows);
        let no_link = Arc::new(no_link);
        let closed = wait_for_close(&flows);
        tokio::pin!(closed);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut closed => return Ok(()),
            };
            let (near, from) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("net forwarder: accept failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let ends = ConnectionEnds { from, to };
            let (finder, flows, no_link) = (finder.clone(), flows.clone(), no_link.clone());
            tokio::spawn(async move {
                // The search blocks. On this thread it would delay the bytes of all links, and processes would take
                // each other for dead.
                let source = tokio::task::spawn_blocking(move || finder(ends)).await;
                let Ok(Some(source)) = source else {
                    log::warn!("net forwarder: the source of a connection from {from} is unknown");
                    return;
                };
                let flow = flows.get(&source);
                forward(near, target, flow.unwrap_or(&no_link));
            });
        }
    }
}

fn forward(near: TcpStream, target: SocketAddr, source: &SourceFlow) {
    if source.flow.borrow().refuses {
        // Fails only if the connection is already closed.
        let _ = near.set_zero_linger();
        return;
    }
    let counters = Arc::clone(&source.counters);
    spawn_forward(near, target, source.flow.clone(), counters);
}

/// Waits until the sender of a flow is dropped. Those of all flows are dropped together.
async fn wait_for_close(flows: &FastMap<String, SourceFlow>) {
    let Some(source_flow) = flows.values().next() else {
        return std::future::pending().await;
    };
    let mut flow = source_flow.flow.clone();
    while flow.changed().await.is_ok() {}
}
