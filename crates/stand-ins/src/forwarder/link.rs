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

use socket2::Socket;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot, watch},
};

use crate::forwarder::{
    listen::{LinkListener, ListenMode},
    pump, CutConnect, LinkMode, OpenDirection,
};

/// A change of mode; `done` is notified when it is in force or has failed.
pub(super) struct LinkCommand {
    pub(super) mode: LinkMode,
    pub(super) done: oneshot::Sender<io::Result<()>>,
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
    pub(super) socket: Socket,
    pub(super) address: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) counters: Arc<LinkCounters>,
    pub(super) commands: mpsc::UnboundedReceiver<LinkCommand>,
}

impl LinkTask {
    /// Serves until the link's handle is dropped, which also ends its connections.
    pub(super) async fn run(self) {
        let target = self.target;
        if let Err(error) = self.serve().await {
            log::warn!("net forwarder: link to {target} failed: {error}");
        }
    }

    async fn serve(self) -> io::Result<()> {
        let (flow, _) = watch::channel(FlowState::default());
        let Self {
            socket,
            address,
            target,
            counters,
            mut commands,
        } = self;
        let mut listener = LinkListener::new(socket, address)?;
        loop {
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else {
                        return Ok(());
                    };
                    flow.send_modify(|state| apply_mode(state, command.mode));
                    let result = listener.set_mode(listen_mode(command.mode)).await;
                    // Fails only if nobody waits for the change any more.
                    let _ = command.done.send(result);
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

/// Returns what a link in this mode does with new connections.
fn listen_mode(mode: LinkMode) -> ListenMode {
    match mode {
        LinkMode::Pass | LinkMode::Reset | LinkMode::Delay { .. } => ListenMode::Open,
        LinkMode::Cut {
            connects: CutConnect::Refuse,
        } => ListenMode::Refusing,
        LinkMode::Cut {
            connects: CutConnect::Hang,
        }
        | LinkMode::OneWay { .. } => ListenMode::Hanging,
    }
}
