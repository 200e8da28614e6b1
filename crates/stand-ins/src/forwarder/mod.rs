//! Stand-in of the network: forwards TCP on loopback over named links that can be cut, slowed and reset.
//!
//! A process under test is told a link's address in place of its peer's. A cut does what a network partition does:
//! open connections go silent, with bytes neither delivered nor reset, and what was written comes through when the
//! link heals. The control calls are `GET /control/links` and `POST /control/links` with a [`LinkRequest`].

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

/// The way in which bytes still pass on a link cut one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpenDirection {
    /// From the side that connects to the target.
    Forward,
    /// From the target to the side that connects.
    Back,
}

/// What a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum LinkMode {
    /// Forwards.
    #[default]
    Pass,
    /// Nothing passes; open connections are silent.
    Cut {
        /// New connections.
        #[serde(default)]
        connects: CutConnect,
    },
    /// Open connections pass bytes one way only. New ones hang, since a handshake needs both ways.
    OneWay {
        /// The way that is open.
        open: OpenDirection,
    },
    /// Resets every open connection, then forwards.
    Reset,
    /// Forwards each byte this much later, both ways.
    Delay {
        /// Milliseconds one way.
        ms: u64,
    },
}

/// A change of one link, or of all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkRequest {
    /// The link; every one where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<String>,
    /// What it does from now on.
    #[serde(flatten)]
    pub mode: LinkMode,
}

/// What a link is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Its name.
    pub link: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it forwards to.
    pub target: SocketAddr,
    /// What it does.
    #[serde(flatten)]
    pub mode: LinkMode,
    /// Connections open now.
    pub open: u64,
    /// Bytes delivered to the target.
    pub forward_bytes: u64,
    /// Bytes delivered back.
    pub back_bytes: u64,
}

/// An order that names no link.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no link {0:?}")]
pub struct UnknownLink(pub String);

/// Says who opened a connection, by the address that it comes from.
pub type SourceFinder = Arc<dyn Fn(SocketAddr) -> Option<String> + Send + Sync>;

/// A running forwarder with a thread of its own. Dropping it closes every link.
pub struct NetForwarder {
    shared: Arc<SharedLinks>,
    control: Option<(SocketAddr, ServerHandle)>,
}

/// The links, shared with the control server.
struct SharedLinks {
    links: Mutex<FastMap<String, LinkHandle>>,
    tasks: mpsc::UnboundedSender<ForwarderTask>,
}

enum ForwarderTask {
    Link(LinkTask),
    Shared(SharedLinkTask),
}

/// How a link is told its mode.
enum ModeControl {
    /// By its own task, which has a listener to change too.
    Task(mpsc::UnboundedSender<LinkCommand>),
    /// By its flow alone: the listener belongs to several links.
    Flow(watch::Sender<FlowState>),
}

struct LinkHandle {
    address: SocketAddr,
    target: SocketAddr,
    mode: LinkMode,
    counters: Arc<LinkCounters>,
    mode_control: ModeControl,
}

impl NetForwarder {
    /// Starts without links.
    ///
    /// # Errors
    ///
    /// The thread or its runtime cannot be made.
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

    /// Serves the control calls, for forwarders that are driven from another process. Call it inside an actix
    /// `System`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn serve_control(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let (address, handle) = control::serve(Arc::clone(&self.shared), address)?;
        self.control = Some((address, handle));
        Ok(address)
    }

    /// Adds a link to `target` and gives the address that stands for it. The target need not listen yet. A link of
    /// the same name is replaced and closed.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn add_link(&self, name: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((target.ip(), 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counters = Arc::<LinkCounters>::default();
        let (commands, receiver) = mpsc::unbounded_channel();
        let task = LinkTask {
            listener,
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

    /// Adds one address for `target` that stands for several links, one for each source, and gives that address.
    /// `links` has the name of each source with that of its link; `finder` tells the source of a connection. One of
    /// no source named passes.
    ///
    /// It is for targets that are known by one address to everybody. Since the listener is shared, a new connection
    /// over a link that is cut comes about here and then stays silent, or is closed at once, where a link of its own
    /// would hang or refuse.
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
        sent.map_err(|_| io::Error::other("the forwarder's thread has ended"))
    }

    /// Changes a link, or all, and waits until the change is in force.
    ///
    /// # Errors
    ///
    /// The order names no link.
    pub async fn apply(&self, request: LinkRequest) -> Result<(), UnknownLink> {
        self.shared.apply(request).await
    }

    /// What the links are doing, by name.
    pub fn status(&self) -> Vec<LinkStatus> {
        self.shared.status()
    }
}

impl Drop for NetForwarder {
    fn drop(&mut self) {
        // The control server may outlive this by a moment, so the links are closed here: a link ends when its
        // command channel does.
        self.shared.lock().clear();
        if let Some((_, handle)) = &self.control {
            drop(handle.stop(false));
        }
    }
}

impl SharedLinks {
    async fn apply(&self, request: LinkRequest) -> Result<(), UnknownLink> {
        for done in self.send(&request)? {
            // An error says that the link was closed meanwhile: nothing is left to change.
            let _ = done.await;
        }
        Ok(())
    }

    fn send(&self, request: &LinkRequest) -> Result<Vec<oneshot::Receiver<()>>, UnknownLink> {
        let mut links = self.lock();
        if let Some(name) = &request.link {
            let link = links
                .get_mut(name)
                .ok_or_else(|| UnknownLink(name.clone()))?;
            return Ok(vec![link.send(request.mode)]);
        }
        let mut receivers = Vec::with_capacity(links.len());
        for link in links.values_mut() {
            receivers.push(link.send(request.mode));
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
    fn send(&mut self, mode: LinkMode) -> oneshot::Receiver<()> {
        self.mode = match mode {
            LinkMode::Reset => LinkMode::Pass,
            other => other,
        };
        let (done, receiver) = oneshot::channel();
        match &self.mode_control {
            ModeControl::Task(commands) => {
                // The link's task ends only after this handle is dropped.
                let _ = commands.send(LinkCommand { mode, done });
            }
            ModeControl::Flow(flow) => {
                flow.send_modify(|state| apply_mode(state, mode));
                let _ = done.send(());
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
    // The runtime, and with it every link, ends when the forwarder and its control server are gone.
    while let Some(task) = tasks.recv().await {
        match task {
            ForwarderTask::Link(task) => tokio::spawn(task.run()),
            ForwarderTask::Shared(task) => tokio::spawn(task.run()),
        };
    }
}
