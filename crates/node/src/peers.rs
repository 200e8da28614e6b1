//! Heartbeats, and connections to the owners of pools.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use claims::{BeatPace, Heartbeat, NodeId, PoolNews};
use model::FastMap;
use peer::{connect_pool, decode_heartbeat, encode_heartbeat, PeerError, PoolLink};
use telemetry::{EventKind, EventLine, TrafficKind};
use tokio::{net::UdpSocket, sync::Notify};

use crate::state::NodeState;

/// The largest heartbeat that is read, in bytes.
const LARGEST_BEAT: usize = 8 * 1024;

/// The pause after a socket error, which comes from a port without a listener or a lack of descriptors.
const SOCKET_PAUSE: Duration = Duration::from_millis(20);

/// An open connection to the owner of a pool.
pub(crate) struct OwnerLink {
    node: NodeId,
    pub(crate) link: PoolLink,
    /// Woken when the connection breaks or its node is not heard any more.
    pub(crate) lost: Rc<Notify>,
}

/// Open connections by address.
#[derive(Default)]
pub(crate) struct OwnerLinks {
    open: RefCell<FastMap<SocketAddr, Rc<OwnerLink>>>,
    connecting: RefCell<FastMap<SocketAddr, ()>>,
}

impl OwnerLinks {
    pub(crate) fn get(&self, address: SocketAddr) -> Option<Rc<OwnerLink>> {
        self.open.borrow().get(&address).cloned()
    }

    /// Closes the connection to a node that is not heard any more.
    pub(crate) fn lose(&self, node: &NodeId) {
        let mut open = self.open.borrow_mut();
        let lost: Vec<SocketAddr> = open
            .iter()
            .filter(|(_, link)| link.node == *node)
            .map(|(at, _)| *at)
            .collect();
        for address in lost {
            if let Some(link) = open.remove(&address) {
                link.lost.notify_waiters();
            }
        }
    }
}

/// Opens connections to owners that are alive and not connected, so that a job never waits for one.
pub(crate) fn connect_owners(state: &Rc<NodeState>) {
    let now = state.now();
    let keeper = state.keeper.borrow();
    for pool in keeper.pools() {
        let Some(owner) = keeper.owner(now, &pool) else {
            continue;
        };
        let known = state.links.open.borrow().contains_key(&owner.address)
            || state.links.connecting.borrow().contains_key(&owner.address);
        if owner.here || !owner.alive || known {
            continue;
        }
        state
            .links
            .connecting
            .borrow_mut()
            .insert(owner.address, ());
        actix_rt::spawn(connect(state.clone(), owner.node, owner.address));
    }
}

async fn connect(state: Rc<NodeState>, node: NodeId, address: SocketAddr) {
    let lost = Rc::new(Notify::new());
    let closed = {
        let (state, lost, node) = (state.clone(), lost.clone(), node.clone());
        move || {
            state.links.open.borrow_mut().remove(&address);
            lost.notify_waiters();
            let line = EventLine::new("link_lost").text("peer", node);
            state.log(EventKind::Important, line);
        }
    };
    let opened = connect_pool(address, state.traffic.clone(), closed).await;
    state.links.connecting.borrow_mut().remove(&address);
    match opened {
        Ok(link) => {
            let line = EventLine::new("link_opened").text("peer", &node);
            state.log(EventKind::Important, line);
            let link = Rc::new(OwnerLink { node, link, lost });
            state.links.open.borrow_mut().insert(address, link);
        }
        Err(error) => {
            if error == PeerError::Refused {
                state.keeper.borrow_mut().on_refused(&node);
            }
            let line = EventLine::new("link_failed")
                .text("peer", &node)
                .text("error", error);
            state.log(EventKind::Important, line);
        }
    }
}

/// Sends heartbeats, each as often as its receiver's distance asks.
pub(crate) struct BeatSender {
    socket: Rc<UdpSocket>,
    /// When those of each pace were last told.
    told: Cell<[Option<Instant>; BeatPace::ALL.len()]>,
}

impl BeatSender {
    pub(crate) fn new(socket: Rc<UdpSocket>) -> Self {
        Self {
            socket,
            told: Cell::default(),
        }
    }

    pub(crate) fn tick(&self, state: &NodeState) {
        let now = state.now();
        let mut told = self.told.get();
        let mut due = [false; BeatPace::ALL.len()];
        for pace in BeatPace::ALL {
            let place = pace as usize;
            let beat = state.keeper.borrow().beat(pace);
            due[place] = told[place].is_none_or(|at| now >= at + beat);
            if due[place] {
                told[place] = Some(now);
            }
        }
        self.told.set(told);
        if due.contains(&true) {
            self.send(state, due);
        }
    }

    fn send(&self, state: &NodeState, due: [bool; BeatPace::ALL.len()]) {
        let bytes = encode_heartbeat(&heartbeat(state));
        let keeper = state.keeper.borrow();
        for (member, pace) in keeper.peers() {
            if due[pace as usize] {
                // A heartbeat that cannot be sent is one that is lost; the next one follows.
                let _lost = self.socket.try_send_to(&bytes, member.address);
                state.traffic.record_call(TrafficKind::Heartbeats);
                state
                    .traffic
                    .record_sent(TrafficKind::Heartbeats, bytes.len());
            }
        }
    }
}

fn heartbeat(state: &NodeState) -> Heartbeat {
    let now = state.now();
    let keeper = state.keeper.borrow();
    let pools = state.pools.borrow();
    let news = pools.iter().map(|(id, owned)| PoolNews {
        pool: id.clone(),
        fence: owned.pool.fence(),
        load: owned.pool.load(now),
        yielding: !owned.pool.is_accepting(),
        held: if state.hands_over(id) {
            owned.pool.worker_lives()
        } else {
            Vec::new()
        },
    });
    Heartbeat {
        node: keeper.me().node.clone(),
        incarnation: keeper.me().incarnation,
        data_centre: keeper.me().data_centre.clone(),
        cores: keeper.me().cores,
        link: keeper.me().link,
        leaving: state.leaving.get(),
        reading: state.directory.borrow().reading(now),
        hears: keeper.heard_owners(now),
        pools: news.collect(),
    }
}

/// Takes heartbeats for as long as the process runs.
pub(crate) async fn hear(state: Rc<NodeState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST_BEAT];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            actix_rt::time::sleep(SOCKET_PAUSE).await;
            continue;
        };
        state
            .traffic
            .record_received(TrafficKind::Heartbeats, length);
        match decode_heartbeat(&buffer[..length]) {
            Ok(beat) => {
                let now = state.now();
                state.keeper.borrow_mut().on_heartbeat(now, beat, from);
            }
            Err(error) => {
                let line = EventLine::new("heartbeat_unreadable").text("error", error);
                state.log(EventKind::Important, line);
            }
        }
    }
}
