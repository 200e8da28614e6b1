//! Sends and receives heartbeats, and keeps connections to the owners of pools.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use claims::{Heartbeat, HeartbeatClass, NodeId, PeerClock, PoolNews};
use futures::future::{select, Either};
use jobs::JobOutcome;
use model::{FastMap, PlacementPolicy};
use peer::{connect_pool, decode_heartbeat, encode_heartbeat, JobCall, PeerError, PoolLink};
use pool::PublishedProfile;
use telemetry::{EventKind, EventLine, TrafficKind};
use tokio::{net::UdpSocket, sync::Notify, task::yield_now, time::timeout};

use crate::state::NodeState;

/// The largest heartbeat that can be received, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 8 * 1024;

/// The delay after a socket error. Such errors come from ports without a listener or from a lack of file
/// descriptors.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(20);

/// How long a renewal may go unanswered before its connection counts as silent. A connection with longer round trips
/// would be of no use to most jobs; one with shorter ones still serves some.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An open connection to the owner of a pool.
pub(crate) struct OwnerLink {
    node: NodeId,
    pub(crate) link: PoolLink,
    /// Notified when the connection breaks or its node goes silent.
    lost: Rc<Notify>,
    /// The jobs that were sent to the owner and whose outcomes this node waits for.
    open_calls: Cell<usize>,
    /// When the owner was last sent a job or a renewal, both of which confirm all open calls.
    confirmed_at: Cell<Instant>,
    /// What the answers to renewals told of the owner's clock. Between data centres of a large fleet, heartbeats are
    /// seconds apart, and the bound that they give alone would use up much of a lease.
    clock: Cell<Option<PeerClock>>,
}

impl OwnerLink {
    fn new(node: NodeId, link: PoolLink, lost: Rc<Notify>, now: Instant) -> Self {
        Self {
            node,
            link,
            lost,
            open_calls: Cell::new(0),
            confirmed_at: Cell::new(now),
            clock: Cell::new(None),
        }
    }

    /// The owner's time since boot at `now`, or less: the better of what its heartbeats and its answers on this link
    /// told.
    pub(crate) fn owner_clock(&self, now: Instant, heard: PeerClock) -> Duration {
        let answered = self.clock.get();
        let best = answered.map_or(heard, |answered| heard.later(answered, now));
        best.lower_bound(now)
    }

    /// Records the owner's clock from its answer to a renewal.
    fn record_clock(&self, now: Instant, clock: Duration) {
        let answered = PeerClock::new(now, clock);
        let former = self.clock.get();
        let clock = former.map_or(answered, |former| former.later(answered, now));
        self.clock.set(Some(clock));
    }

    /// Sends a job to the owner and waits for its outcome. Dropping the future cancels the job.
    pub(crate) async fn run(&self, now: Instant, call: &JobCall) -> JobOutcome {
        self.confirmed_at.set(now);
        let _open = OpenCall::new(&self.open_calls);
        let lost = std::pin::pin!(self.lost.notified());
        let run = std::pin::pin!(self.link.run(call));
        match select(run, lost).await {
            Either::Left((Ok(outcome), _)) => outcome,
            // The job may be running at the owner. The owner stops it, or the leases of its runs end, before the
            // customer's next try.
            Either::Left((Err(_), _)) | Either::Right(_) => JobOutcome::GivenUp,
        }
    }

    /// Returns whether open calls have to be confirmed by `until`.
    fn needs_renewal(&self, until: Instant, interval: Duration) -> bool {
        self.open_calls.get() > 0 && until >= self.confirmed_at.get() + interval
    }

    /// Confirms all open calls. The returned future waits for the answer. None if there is nothing to confirm.
    fn renew(
        &self,
        state: &NodeState,
    ) -> Option<impl Future<Output = Result<Duration, PeerError>>> {
        if self.open_calls.get() == 0 {
            return None;
        }
        let now = state.now();
        let heard = state.claim_controller.borrow().peer_clock(&self.node)?;
        self.confirmed_at.set(now);
        Some(self.link.renew(self.owner_clock(now, heard)))
    }
}

/// Counts a call as open for as long as it lives.
struct OpenCall<'a>(&'a Cell<usize>);

impl<'a> OpenCall<'a> {
    fn new(open_calls: &'a Cell<usize>) -> Self {
        open_calls.set(open_calls.get() + 1);
        Self(open_calls)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connections to owners by address.
#[derive(Default)]
pub(crate) struct OwnerLinks {
    open: RefCell<FastMap<SocketAddr, Rc<OwnerLink>>>,
    connecting: RefCell<FastMap<SocketAddr, ()>>,
}

impl OwnerLinks {
    pub(crate) fn get(&self, address: SocketAddr) -> Option<Rc<OwnerLink>> {
        self.open.borrow().get(&address).cloned()
    }

    /// Closes the connection to a node that has gone silent.
    pub(crate) fn close(&self, node: &NodeId) {
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

/// Opens connections to owners that are alive and not connected, so that a job never has to wait for a connection.
pub(crate) fn connect_owners(state: &Rc<NodeState>) {
    let now = state.now();
    let controller = state.claim_controller.borrow();
    for pool in controller.pools() {
        let Some(owner) = controller.owner(now, &pool) else {
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

/// Confirms the open calls on links over which nothing else has confirmed them recently, if that is due by `until`.
pub(crate) fn renew_links(state: &Rc<NodeState>, until: Instant) {
    let interval = state.attempt_times.confirmation_interval();
    // Customers may have left during a pause. The ends of their connections are handled first, which drops their calls,
    // so that a renewal does not confirm them.
    if state.has_paused() {
        return;
    }
    for (address, link) in state.links.open.borrow().iter() {
        if !link.needs_renewal(until, interval) {
            continue;
        }
        let (state, address, link) = (state.clone(), *address, link.clone());
        actix_rt::spawn(async move {
            // The same for a process that stood still for less than a pause.
            yield_now().await;
            let Some(renewal) = link.renew(&state) else {
                return;
            };
            // A connection that has gone silent is closed by dropping its last link, so this task must not hold one.
            let weak_link = Rc::downgrade(&link);
            drop(link);
            let answer = timeout(LINK_SILENCE_TIMEOUT, renewal).await;
            let Some(link) = weak_link.upgrade() else {
                return;
            };
            match answer {
                Ok(Ok(clock)) => link.record_clock(state.now(), clock),
                // The connection has broken, and the calls have ended with it.
                Ok(Err(_)) => (),
                Err(_) => close_silent_link(&state, address, &link),
            }
        });
    }
}

/// Closes a connection on which a renewal went unanswered for [`LINK_SILENCE_TIMEOUT`], so that a new one is opened.
///
/// A connection may go silent for good without a reset while heartbeats, which are datagrams, still arrive. Every job
/// that was sent over it would then wait for its whole deadline.
fn close_silent_link(state: &NodeState, address: SocketAddr, link: &Rc<OwnerLink>) {
    let mut open = state.links.open.borrow_mut();
    let is_current = open
        .get(&address)
        .is_some_and(|current| Rc::ptr_eq(current, link));
    if is_current {
        open.remove(&address);
    }
    link.lost.notify_waiters();
    let line = EventLine::new("link_silent").text("peer", &link.node);
    state.log(EventKind::Important, line);
}

async fn connect(state: Rc<NodeState>, node: NodeId, address: SocketAddr) {
    let lost = Rc::new(Notify::new());
    let on_closed = {
        let (state, lost, node) = (state.clone(), lost.clone(), node.clone());
        move || {
            state.links.open.borrow_mut().remove(&address);
            lost.notify_waiters();
            let line = EventLine::new("link_lost").text("peer", node);
            state.log(EventKind::Important, line);
        }
    };
    let opened = connect_pool(address, state.traffic.clone(), on_closed).await;
    state.links.connecting.borrow_mut().remove(&address);
    match opened {
        Ok(link) => {
            let line = EventLine::new("link_opened").text("peer", &node);
            state.log(EventKind::Important, line);
            let link = Rc::new(OwnerLink::new(node, link, lost, state.now()));
            state.links.open.borrow_mut().insert(address, link);
        }
        Err(error) => {
            if error == PeerError::Refused {
                state.claim_controller.borrow_mut().on_refused(&node);
            }
            let line = EventLine::new("link_failed")
                .text("peer", &node)
                .text("error", error);
            state.log(EventKind::Important, line);
        }
    }
}

/// Sends heartbeats, at an interval that depends on the class of the receiver.
pub(crate) struct HeartbeatSender {
    socket: Rc<UdpSocket>,
    /// When heartbeats of each class were last sent.
    last_sent: Cell<[Option<Instant>; HeartbeatClass::ALL.len()]>,
}

impl HeartbeatSender {
    pub(crate) fn new(socket: Rc<UdpSocket>) -> Self {
        Self {
            socket,
            last_sent: Cell::default(),
        }
    }

    pub(crate) fn tick(&self, state: &NodeState) {
        let now = state.now();
        let mut last_sent = self.last_sent.get();
        let mut due = [false; HeartbeatClass::ALL.len()];
        for class in HeartbeatClass::ALL {
            let index = class as usize;
            let interval = state.claim_controller.borrow().heartbeat_interval(class);
            due[index] = last_sent[index].is_none_or(|at| now >= at + interval);
            if due[index] {
                last_sent[index] = Some(now);
            }
        }
        self.last_sent.set(last_sent);
        if due.contains(&true) {
            self.send(state, due);
        }
    }

    fn send(&self, state: &NodeState, due: [bool; HeartbeatClass::ALL.len()]) {
        let bytes = encode_heartbeat(&heartbeat(state));
        let controller = state.claim_controller.borrow();
        for (member, class) in controller.peers() {
            if due[class as usize] {
                // A heartbeat that cannot be sent counts as lost; the next one follows.
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
    update_profiles(state, now);
    let controller = state.claim_controller.borrow();
    let pools = state.pools.borrow();
    let news = pools.iter().map(|(id, owned)| PoolNews {
        pool: id.clone(),
        fence: owned.pool.fence(),
        load: owned.pool.load(now),
        start_profile: PublishedProfile::from(owned.published_profile.map(|(profile, _)| profile)),
        yielding: !owned.pool.is_accepting(),
        held: if state.is_handing_over(id) {
            owned.pool.worker_instances()
        } else {
            Vec::new()
        },
    });
    Heartbeat {
        node: controller.own_row().node.clone(),
        incarnation: controller.own_row().incarnation,
        data_centre: controller.own_row().data_centre.clone(),
        cores: controller.own_row().cores,
        link: controller.own_row().link,
        leaving: state.leaving.get(),
        clock: state.clock.since_boot(),
        reading: state.directory.borrow().recent_read(now),
        hears: controller.heard_owners(now),
        pools: news.collect(),
    }
}

/// Computes the start profiles of the pools that this node owns, if jobs are placed by them.
fn update_profiles(state: &NodeState, now: Instant) {
    if state.pool_settings.policies.placement != PlacementPolicy::ExpectedEnd {
        return;
    }
    for owned in state.pools.borrow_mut().values_mut() {
        let profile = owned.pool.start_profile(now);
        owned.published_profile = profile.map(|profile| (profile, now));
    }
}

/// Logs that an owner publishes a start profile that cannot be read, once per owner. Its pools are chosen without it.
fn log_unreadable_profile(state: &NodeState, heartbeat: &Heartbeat) {
    let is_unreadable = |news: &&PoolNews| news.start_profile == PublishedProfile::Unreadable;
    let Some(news) = heartbeat.pools.iter().find(is_unreadable) else {
        return;
    };
    let mut logged = state.unreadable_profiles.borrow_mut();
    let former = logged.insert(heartbeat.node.clone(), heartbeat.incarnation);
    if former == Some(heartbeat.incarnation) {
        return;
    }
    let line = EventLine::new("profile_unreadable")
        .text("peer", &heartbeat.node)
        .text("pool", &news.pool);
    state.log(EventKind::Important, line);
}

/// Receives heartbeats for as long as the process runs.
pub(crate) async fn receive_heartbeats(state: Rc<NodeState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            actix_rt::time::sleep(SOCKET_ERROR_DELAY).await;
            continue;
        };
        state
            .traffic
            .record_received(TrafficKind::Heartbeats, length);
        match decode_heartbeat(&buffer[..length]) {
            Ok(heartbeat) => {
                let now = state.now();
                log_unreadable_profile(&state, &heartbeat);
                state
                    .claim_controller
                    .borrow_mut()
                    .on_heartbeat(now, heartbeat, from);
            }
            Err(error) => {
                let line = EventLine::new("heartbeat_unreadable").text("error", error);
                state.log(EventKind::Important, line);
            }
        }
    }
}
