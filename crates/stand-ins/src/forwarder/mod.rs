//! Stand-in for the network: forwards TCP on loopback over named links that can be cut, delayed and reset.
//!
//! A process under test gets the address of a link instead of that of its peer. A cut behaves like a network partition:
//! open connections go silent without a reset, and written bytes are delivered only when the link heals.
//! The control calls are `GET /control/links` and `POST /control/links` with a [`LinkRequest`].

mod control;
mod link;
mod listen;
mod pump;
mod shared;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use actix_web::dev::ServerHandle;
use model::FastMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

use crate::forwarder::{
    link::{apply_mode, FlowState, LinkCommand, LinkCounters, LinkTask},
    listen::listen_on_free_port,
    shared::{SharedLinkTask, SourceFlow},
};

/// What happens to a new connection on a cut link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutConnect {
    /// It hangs, as when packets are dropped.
    #[default]
    Hang,
    /// It is refused, as when a router rejects packets.
    Refuse,
}

/// The direction that still passes bytes on a link that is cut in the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpenDirection {
    /// From the side that connects to the target.
    Forward,
    /// From the target to the side that connects.
    Back,
}

/// How a link treats connections and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum LinkMode {
    /// Forwards in both directions.
    #[default]
    Pass,
    /// Passes nothing; open connections go silent.
    Cut {
        /// What happens to new connections.
        #[serde(default)]
        connects: CutConnect,
    },
    /// Open connections pass bytes in one direction only. New ones hang, since a handshake needs both directions.
    OneWay {
        /// The direction that is open.
        open: OpenDirection,
    },
    /// Resets every open connection, then forwards.
    Reset,
    /// Delays each byte in both directions.
    Delay {
        /// Delay in each direction, in milliseconds.
        ms: u64,
    },
}

/// A request to change the mode of one link, or of all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkRequest {
    /// The name of the link; all links if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<String>,
    /// The new mode.
    #[serde(flatten)]
    pub mode: LinkMode,
}

/// Status of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// The name of the link.
    pub link: String,
    /// The address that the link listens on.
    pub address: SocketAddr,
    /// The address that it forwards to.
    pub target: SocketAddr,
    /// The current mode.
    #[serde(flatten)]
    pub mode: LinkMode,
    /// Number of open connections.
    pub open: u64,
    /// Bytes delivered to the target.
    pub forward_bytes: u64,
    /// Bytes delivered back to the connecting side.
    pub back_bytes: u64,
}

/// Error of a change of mode.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The request names a link that does not exist.
    #[error("link {0:?} does not exist")]
    Unknown(String),
    /// The listener of a link could not be changed.
    #[error("link {link:?} does not serve: {cause}")]
    Failed {
        /// The name of the link.
        link: String,
        /// The cause, as text.
        cause: String,
    },
}

/// The addresses of both ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEnds {
    /// The address of the side that connected.
    pub from: SocketAddr,
    /// The address that it connected to.
    pub to: SocketAddr,
}

/// Finds the name of the source that opened a connection; `None` if it is unknown. May block.
pub type SourceFinder = Arc<dyn Fn(ConnectionEnds) -> Option<String> + Send + Sync>;

/// A forwarder that runs on its own thread. Dropping it closes every link.
pub struct NetForwarder {
    shared: Arc<SharedLinks>,
    control: Option<(SocketAddr, ServerHandle)>,
}

/// The links, shared between the forwarder and the control server.
struct SharedLinks {
    links: Mutex<FastMap<String, LinkHandle>>,
    tasks: mpsc::UnboundedSender<ForwarderTask>,
}

enum ForwarderTask {
    Link(LinkTask),
    Shared(SharedLinkTask),
}

/// How a change of mode reaches a link.
enum ModeControl {
    /// Through its own task, which also changes its listener.
    Task(mpsc::UnboundedSender<LinkCommand>),
    /// Through its flow state only, since the listener is shared by several links.
    Flow(watch::Sender<FlowState>),
}

/// Receives the result of a change of mode.
type ModeReceiver = oneshot::Receiver<io::Result<()>>;

struct LinkHandle {
    address: SocketAddr,
    target: SocketAddr,
    mode: LinkMode,
    counters: Arc<LinkCounters>,
    mode_control: ModeControl,
}

impl NetForwarder {
    /// Starts a forwarder without links.
    ///
    /// # Errors
    ///
    /// The thread or its runtime cannot be created.
    pub fn start() -> io::Result<Self> {
        let (tasks, receiver) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new()
            .name("net-forwarder".to_owned())
            .spawn(move || runtime.block_on(run_links(receiver)))?;
        let links = Mutex::default();
        Ok(Self {
            shared: Arc::new(SharedLinks { links, tasks }),
            control: None,
        })
    }

    /// Serves the control calls, for forwarders controlled from another process, and returns the bound address. Must be
    /// called inside an actix `System`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn serve_control(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let (address, handle) = control::serve(Arc::clone(&self.shared), address)?;
        self.control = Some((address, handle));
        Ok(address)
    }

    /// Adds a link to `target` and returns the address to connect to in its place. The target need not listen yet. A
    /// link of the same name is replaced and closed.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn add_link(&self, name: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let (socket, address) = listen_on_free_port(target.ip())?;
        let counters = Arc::<LinkCounters>::default();
        let (commands, receiver) = mpsc::unbounded_channel();
        let task = LinkTask {
            socket,
            address,
            target,
            counters: Arc::clone(&counters),
            commands: receiver,
        };
        self.run(ForwarderTask::Link(task))?;
        let handle = LinkHandle {
            address,
            target,
            mode: LinkMode::Pass,
            counters,
            mode_control: ModeControl::Task(commands),
        };
        self.shared.lock().insert(name.to_owned(), handle);
        Ok(address)
    }

    /// Adds one address for `target` that is shared by several links, one per source, and returns that address.
    /// `links` lists the name of each source with the name of its link; `finder` determines the source of a
    /// connection. Connections of sources without a link always pass. Those of unknown sources are closed, since they
    /// might cross a cut.
    ///
    /// This is for targets that all sources know by the same address. Since the listener is shared, a new connection
    /// over a cut link is accepted and then stays silent, or is closed at once, where a link with a listener of its
    /// own would let it hang or refuse it.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn add_shared_links(
        &self,
        target: SocketAddr,
        links: &[(String, String)],
        finder: SourceFinder,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((target.ip(), 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let mut flows = FastMap::default();
        let mut handles = Vec::new();
        for (source, name) in links {
            let (flow, receiver) = watch::channel(FlowState::default());
            let counters = Arc::<LinkCounters>::default();
            let source_flow = SourceFlow {
                flow: receiver,
                counters: Arc::clone(&counters),
            };
            flows.insert(source.clone(), source_flow);
            let handle = LinkHandle {
                address,
                target,
                mode: LinkMode::Pass,
                counters,
                mode_control: ModeControl::Flow(flow),
            };
            handles.push((name.clone(), handle));
        }
        self.run(ForwarderTask::Shared(SharedLinkTask {
            listener,
            target,
            flows,
            finder,
        }))?;
        self.shared.lock().extend(handles);
        Ok(address)
    }

    fn run(&self, task: ForwarderTask) -> io::Result<()> {
        let sent = self.shared.tasks.send(task);
        sent.map_err(|_| io::Error::other("the thread of the forwarder has ended"))
    }

    /// Changes the mode of a link, or of all, and waits until the change is in force.
    ///
    /// # Errors
    ///
    /// The request names a link that does not exist, or a link cannot listen.
    pub async fn apply(&self, request: LinkRequest) -> Result<(), LinkError> {
        self.shared.apply(request).await
    }

    /// Returns the status of all links, sorted by name.
    pub fn status(&self) -> Vec<LinkStatus> {
        self.shared.status()
    }
}

impl Drop for NetForwarder {
    fn drop(&mut self) {
        // The control server may briefly outlive the forwarder and keep the shared links alive, so they are closed
        // here: a link ends when its command channel closes.
        self.shared.lock().clear();
        if let Some((_, handle)) = &self.control {
            drop(handle.stop(false));
        }
    }
}

impl SharedLinks {
    async fn apply(&self, request: LinkRequest) -> Result<(), LinkError> {
        for (link, done) in self.send(&request)? {
            let result = done.await;
            let result = result.unwrap_or_else(|_| Err(io::Error::other("its task has ended")));
            result.map_err(|error| LinkError::Failed {
                link,
                cause: error.to_string(),
            })?;
        }
        Ok(())
    }

    fn send(&self, request: &LinkRequest) -> Result<Vec<(String, ModeReceiver)>, LinkError> {
        let mut links = self.lock();
        if let Some(name) = &request.link {
            let link = links
                .get_mut(name)
                .ok_or_else(|| LinkError::Unknown(name.clone()))?;
            return Ok(vec![(name.clone(), link.send(request.mode))]);
        }
        let mut receivers = Vec::with_capacity(links.len());
        for (name, link) in links.iter_mut() {
            receivers.push((name.clone(), link.send(request.mode)));
        }
        Ok(receivers)
    }

    fn status(&self) -> Vec<LinkStatus> {
        let links = self.lock();
        let mut list: Vec<_> = links.iter().map(|(name, link)| link.status(name)).collect();
        list.sort_by(|a, b| a.link.cmp(&b.link));
        list
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<String, LinkHandle>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkHandle {
    fn send(&mut self, mode: LinkMode) -> ModeReceiver {
        self.mode = match mode {
            LinkMode::Reset => LinkMode::Pass,
            other => other,
        };
        let (done, receiver) = oneshot::channel();
        match &self.mode_control {
            ModeControl::Task(commands) => {
                // Fails only if the link's task has failed; normally it ends after this handle is dropped.
                let _ = commands.send(LinkCommand { mode, done });
            }
            ModeControl::Flow(flow) => {
                flow.send_modify(|state| apply_mode(state, mode));
                let _ = done.send(Ok(()));
            }
        }
        receiver
    }

    fn status(&self, name: &str) -> LinkStatus {
        let (open, forward_bytes, back_bytes) = self.counters.read();
        LinkStatus {
            link: name.to_owned(),
            address: self.address,
            target: self.target,
            mode: self.mode,
            open,
            forward_bytes,
            back_bytes,
        }
    }
}

async fn run_links(mut tasks: mpsc::UnboundedReceiver<ForwarderTask>) {
    // The runtime ends, and with it every link, when the forwarder and its control server are dropped.
    while let Some(task) = tasks.recv().await {
        match task {
            ForwarderTask::Link(task) => tokio::spawn(task.run()),
            ForwarderTask::Shared(task) => tokio::spawn(task.run()),
        };
    }
}
