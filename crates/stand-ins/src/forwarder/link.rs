//! A link with a listener of its own, its connections and its mode.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch},
};

use crate::forwarder::{listen::LinkListener, pump, CutConnect, LinkMode, OpenDirection};

/// A change of mode; `done` is notified when it is in force.
pub(super) struct LinkCommand {
    pub(super) mode: LinkMode,
    pub(super) done: oneshot::Sender<()>,
}

/// Counters of a link.
#[derive(Default)]
pub(super) struct LinkCounters {
    pub(super) open: AtomicU64,
    pub(super) forward_bytes: AtomicU64,
    pub(super) back_bytes: AtomicU64,
}

impl LinkCounters {
    /// Returns the open connections, the bytes forward and the bytes back.
    pub(super) fn read(&self) -> (u64, u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (
            read(&self.open),
            read(&self.forward_bytes),
            read(&self.back_bytes),
        )
    }
}

/// The state that a mode sets for the connections of a link.
#[derive(Clone, Copy, Default)]
pub(super) struct FlowState {
    /// Whether new connections are closed at once, used if a shared listener cannot refuse them.
    pub(super) refuses: bool,
    pub(super) forward_silent: bool,
    pub(super) back_silent: bool,
    pub(super) delay: Duration,
    /// Number of resets. A connection ends when it changes.
    pub(super) resets: u64,
}

/// The parameters of the task that serves a link.
pub(super) struct LinkTask {
    pub(super) listener: std::net::TcpListener,
    pub(super) address: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) counters: Arc<LinkCounters>,
    pub(super) commands: mpsc::UnboundedReceiver<LinkCommand>,
}

impl LinkTask {
    /// Serves until the link's handle is dropped, which also ends its connections.
    pub(super) async fn run(self) {
        let address = self.address;
        if let Err(error) = self.serve().await {
            log::warn!("net forwarder: link at {address} failed: {error}");
        }
    }

    async fn serve(self) -> io::Result<()> {
        let (flow, _) = watch::channel(FlowState::default());
        let Self {
            listener,
            address,
            target,
            counters,
            mut commands,
        } = self;
        let mut listener = LinkListener::Open(TcpListener::from_std(listener)?);
        loop {
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else {
                        return Ok(());
                    };
                    flow.send_modify(|state| apply_mode(state, command.mode));
                    // The port becomes free only when the previous socket is closed.
                    drop(listener);
                    listener = listen_in_mode(command.mode, address).await?;
                    let _ = command.done.send(());
                }
                accepted = listener.accept() => match accepted {
                    Ok(stream) => spawn_forward(stream, target, flow.subscribe(), Arc::clone(&counters)),
                    Err(error) => log::warn!("net forwarder: accept failed: {error}"),
                },
            }
        }
    }
}

pub(super) fn spawn_forward(
    near: TcpStream,
    target: SocketAddr,
    flow: watch::Receiver<FlowState>,
    counters: Arc<LinkCounters>,
) {
    tokio::spawn(async move {
        counters.open.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = pump::forward(near, target, flow, &counters).await {
            log::debug!("net forwarder: connection to {target} ended: {error}");
        }
        counters.open.fetch_sub(1, Ordering::Relaxed);
    });
}

/// Applies a mode to the connections of a link.
pub(super) fn apply_mode(state: &mut FlowState, mode: LinkMode) {
    let resets = state.resets;
    *state = match mode {
        LinkMode::Pass => FlowState::default(),
        LinkMode::Cut { connects } => FlowState {
            refuses: connects == CutConnect::Refuse,
            forward_silent: true,
            back_silent: true,
            ..FlowState::default()
        },
        LinkMode::OneWay { open } => FlowState {
            forward_silent: open != OpenDirection::Forward,
            back_silent: open != OpenDirection::Back,
            ..FlowState::default()
        },
        LinkMode::Reset => FlowState::default(),
        LinkMode::Delay { ms } => FlowState {
            delay: Duration::from_millis(ms),
            ..FlowState::default()
        },
    };
    state.resets = resets + u64::from(mode == LinkMode::Reset);
}

async fn listen_in_mode(mode: LinkMode, address: SocketAddr) -> io::Result<LinkListener> {
    match mode {
        LinkMode::Pass | LinkMode::Reset | LinkMode::Delay { .. } => LinkListener::open(address),
        LinkMode::Cut {
            connects: CutConnect::Refuse,
        } => LinkListener::refusing(address),
        LinkMode::Cut {
            connects: CutConnect::Hang,
        }
        | LinkMode::OneWay { .. } => LinkListener::hanging(address).await,
    }
}
