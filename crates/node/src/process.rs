//! Starts and stops a node.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use claims::{ClaimKeeper, ClaimNote, ClaimSettings, LinkRate, MemberRow, NodeId, RouteWait};
use kernel::{ClockSource, SystemClock};
use model::FastMap;
use platform_adapter::{HttpCaller, RowWrite, StoreClient, StoreTable, Transaction, WorkerClient};
use pool::PoolSettings;
use settings::NodeSettings;
use telemetry::{EventKind, EventLine, EventLog, TrafficCounters};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{signal, SignalKind},
    sync::Notify,
    task::JoinHandle,
};

use crate::{
    directory::WorkerDirectory,
    feeds, front, groups, keeping,
    metrics::new_metrics,
    owner::{self, PoolPort},
    peers::{self, BeatSender, OwnerLinks},
    ready,
    state::{time_since_boot, NodeState},
    traffic::TrafficNotes,
    workers, NodeError,
};

/// The time between two looks at what is due. Waits that matter to customers end by events, not by this.
const TICK: Duration = Duration::from_millis(20);

/// The same for a process without pools: half of the time between two signs of life.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// The longest time for a call to the store. Its answers take 4 to 16 ms; beyond this the connection counts as silent.
const STORE_LIMIT: Duration = Duration::from_millis(500);

/// The time between two looks at whether the member's row has to be written: an owner's is sooner than another's.
const REFRESH_LOOK: Duration = Duration::from_millis(500);

/// The time between two writes of the log.
const LOG_BEAT: Duration = Duration::from_millis(200);

/// The time in which the balancer turns away from a process that says it is not ready: two checks of a second each,
/// and a little more.
const TURN_AWAY: Duration = Duration::from_millis(2_200);

/// What a pool's last jobs have of the time to stop: most tasks take under 2 s.
const LAST_JOBS: Duration = Duration::from_millis(2_500);

/// What is left of the time to stop for the last answers to travel.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// The time that answers of cut requests get to leave the process.
const LAST_ANSWERS: Duration = Duration::from_millis(60);

/// How long the start waits for this process's former row, so that its incarnation rises even where the clock of the
/// VM was set back.
const FORMER_ROW_LIMIT: Duration = Duration::from_millis(400);

/// A running node.
pub struct NodeProcess {
    state: Rc<NodeState>,
    customer_address: SocketAddr,
    ready_address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl NodeProcess {
    /// Where customers connect.
    pub fn customer_address(&self) -> SocketAddr {
        self.customer_address
    }

    /// Where readiness is asked.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// The log lines that have not been written out.
    pub fn log_lines(&self) -> String {
        self.state.log.borrow().buffered_text()
    }

    /// Leaves without cutting a request: says "not ready", ends the jobs of its pools and lets go of them, and stays
    /// until its own requests are answered or its time is over.
    pub async fn stop(&self) {
        let state = &self.state;
        let begun = state.now();
        let grace = Duration::from_secs_f64(state.settings.stop_grace_s);
        let limit = begun + grace.saturating_sub(STOP_MARGIN);
        state.leaving.set(true);
        state.stop_limit.set(Some(limit));
        state.keeper.borrow_mut().leave();
        state.log(
            EventKind::Important,
            EventLine::new("process_stopping").millis("grace_ms", grace),
        );
        while state.now() < limit {
            stop_succeeded(state, limit);
            release_idle(state);
            if state.now() >= begun + TURN_AWAY {
                // New connections go elsewhere by now, so whoever is closed out gets another node.
                state.close_idle.notify_waiters();
            }
            let owns = !state.pools.borrow().is_empty();
            let busy = owns || state.open_requests.get() > 0;
            if !busy && state.now() >= begun + TURN_AWAY {
                break;
            }
            actix_rt::time::sleep(TICK).await;
        }
        // A request that comes now would be cut by the end of the process: it is told that nothing of it ran.
        state.refusing.set(true);
        let cut = state.open_requests.get();
        state.cut.notify_waiters();
        actix_rt::time::sleep(LAST_ANSWERS).await;
        let line = EventLine::new("process_stopped")
            .number("cut_requests", cut as u64)
            .millis("took_ms", state.now().saturating_duration_since(begun));
        state.log(EventKind::Important, line);
        state.log.borrow_mut().flush();
    }
}

/// Takes no more jobs for pools that another process can take over. While the store is away none can: a pool that took no
/// jobs would have no owner until the store is back, which left twelve workers idle for 2.7 s. Its last jobs have to end in
/// the time to stop.
fn stop_succeeded(state: &Rc<NodeState>, limit: Instant) {
    let now = state.now();
    let store_away = state.directory.borrow().is_failing(now);
    if store_away && now + LAST_JOBS < limit {
        return;
    }
    each_pool(state, |pool, _| pool.stop_accepting());
}

/// Lets go of pools whose jobs have ended, so that their next owner can take them.
fn release_idle(state: &Rc<NodeState>) {
    let idle: Vec<_> = {
        let pools = state.pools.borrow();
        let idle = pools
            .iter()
            .filter(|(_, owned)| !owned.pool.is_accepting() && owned.pool.open_jobs() == 0);
        idle.map(|(id, _)| id.clone()).collect()
    };
    for id in idle {
        owner::release(state, &id, "stopping");
    }
}

/// Starts a node within the running actix system.
///
/// # Errors
///
/// An address cannot be listened on.
pub async fn start(
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    log: EventLog,
) -> Result<NodeProcess, NodeError> {
    let customers = listen(settings.customer_listen).await?;
    let ready = listen(settings.ready_listen).await?;
    let peers = listen(settings.peer_listen).await?;
    let address = peers.local_addr()?;
    let (customer_address, ready_address) = (customers.local_addr()?, ready.local_addr()?);
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.map_err(|cause| NodeError::Listen { address, cause })?);
    let traffic = Arc::new(TrafficCounters::default());
    let http = HttpCaller::new(traffic.clone());
    let pool_settings = PoolSettings {
        lease: PoolSettings::default()
            .lease
            .min(settings.longest_lease_ms.duration()),
        switched_off: settings.switched_off.iter().copied().collect(),
        ..PoolSettings::default()
    };
    let store = StoreClient::new(http.clone(), settings.store, STORE_LIMIT);
    let me = MemberRow {
        node: NodeId::from(settings.vm.as_str()),
        incarnation: new_incarnation(&store, settings.vm.as_str()).await,
        data_centre: settings.data_centre.clone(),
        cores: settings.cores,
        link: LinkRate::from_megabits(settings.link_mbps),
        address,
        refreshes: 0,
        waits: Vec::new(),
    };
    let line = EventLine::new("process_started")
        .text("node", &me.node)
        .number("incarnation", me.incarnation)
        .text("data_centre", &me.data_centre)
        .text("build", env!("CARGO_PKG_VERSION"));
    let claim_settings = ClaimSettings::default();
    let state = Rc::new(NodeState {
        workers: WorkerClient::new(http),
        store,
        pool_settings,
        system_addresses: vec![settings.store, customer_address, ready_address, address],
        table: RefCell::default(),
        keeper: RefCell::new(ClaimKeeper::new(me, claim_settings.clone(), clock.now())),
        directory: RefCell::new(WorkerDirectory::default()),
        evacuations: RefCell::default(),
        pools: RefCell::default(),
        group_versions: RefCell::default(),
        sent: RefCell::default(),
        waits: RefCell::default(),
        list_source: Cell::new(None),
        wake_workers: Notify::new(),
        unfilled: RefCell::default(),
        keeping: RefCell::default(),
        keeps_jobs: Cell::new(false),
        rng: RefCell::new(fastrand::Rng::new()),
        links: OwnerLinks::default(),
        lost_peers: RefCell::new(FastMap::default()),
        log: RefCell::new(log),
        metrics: new_metrics()?,
        traffic,
        link_use: Cell::default(),
        leaving: Cell::new(false),
        refusing: Cell::new(false),
        yielding: RefCell::default(),
        open_requests: Cell::new(0),
        stop_limit: Cell::new(None),
        close_idle: Rc::default(),
        cut: Notify::new(),
        last_tick: Cell::new(time_since_boot()),
        next_waiter: Cell::new(0),
        settings,
        started: clock.now(),
        clock,
    });
    state.log(EventKind::Important, line);
    let beats = BeatSender::new(socket.clone());
    let mut tasks = vec![
        actix_rt::spawn(refresh_member(state.clone())),
        actix_rt::spawn(tick_all(state.clone(), beats)),
        actix_rt::spawn(groups::keep_groups(state.clone())),
        actix_rt::spawn(keeping::look_after(state.clone())),
        actix_rt::spawn(peers::hear(state.clone(), socket)),
        actix_rt::spawn(peer::serve_pool(
            peers,
            state.traffic.clone(),
            Rc::new(PoolPort {
                state: state.clone(),
            }),
        )),
        actix_rt::spawn(or_log(
            state.clone(),
            front::serve(state.clone(), customers),
        )),
        actix_rt::spawn(or_log(state.clone(), ready::serve(state.clone(), ready))),
    ];
    let tables = [
        StoreTable::Operator,
        StoreTable::Workers,
        StoreTable::Members,
        StoreTable::Claims,
        StoreTable::CancelledJobs,
    ];
    for table in tables {
        tasks.push(actix_rt::spawn(feeds::follow(state.clone(), table)));
    }
    Ok(NodeProcess {
        state,
        customer_address,
        ready_address,
        tasks,
    })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| NodeError::Listen { address, cause })
}

async fn or_log(
    state: Rc<NodeState>,
    serving: impl std::future::Future<Output = Result<(), NodeError>>,
) {
    if let Err(error) = serving.await {
        state.log(
            EventKind::Important,
            EventLine::new("server_failed").text("error", error),
        );
    }
}

/// An incarnation above that of this VM's former process: the time of day, or one more than the former's where the
/// clock was set back. Lower ones would be taken for messages of the former process.
async fn new_incarnation(store: &StoreClient, vm: &str) -> u64 {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let by_clock = u64::try_from(millis).unwrap_or(u64::MAX);
    let read = store.get(StoreTable::Members, "", vm);
    let Ok(Ok(Some(row))) = tokio::time::timeout(FORMER_ROW_LIMIT, read).await else {
        return by_clock;
    };
    let former = serde_json::from_slice::<MemberRow>(&row.value).ok();
    by_clock.max(former.map_or(0, |former| former.incarnation + 1))
}

/// What this process has learnt of customers' times.
fn usual_waits(state: &NodeState) -> Vec<RouteWait> {
    let usual = state.waits.borrow().usual();
    let waits = usual.into_iter().map(|wait| RouteWait {
        route: wait.route,
        least_ms: u64::try_from(wait.time.as_millis()).unwrap_or(u64::MAX),
    });
    waits.collect()
}

/// Writes this process's row, and again every while.
async fn refresh_member(state: Rc<NodeState>) {
    let mut row = state.keeper.borrow().me().clone();
    let mut failed = false;
    loop {
        row.refreshes += 1;
        row.waits = usual_waits(&state);
        let write = RowWrite {
            table: StoreTable::Members,
            key: row.node.to_string(),
            value: serde_json::to_vec(&row).unwrap_or_default(),
            expected: None,
        };
        let transaction = Transaction::of(write);
        let answer = state.store.transact(&transaction).await;
        if let Err(error) = &answer {
            if !failed {
                let line = EventLine::new("member_row_not_written").text("error", error);
                state.log(EventKind::Important, line);
            }
        }
        failed = answer.is_err();
        let first = row.refreshes < 3 && failed;
        if first {
            actix_rt::time::sleep(TICK).await;
            continue;
        }
        let written = state.now();
        while state.now() < written + state.keeper.borrow().refresh_beat() {
            actix_rt::time::sleep(REFRESH_LOOK).await;
        }
    }
}

async fn tick_all(state: Rc<NodeState>, beats: BeatSender) {
    let mut logged: Option<Instant> = None;
    let mut traffic = TrafficNotes::new(state.now());
    loop {
        actix_rt::time::sleep(tick_gap(&state)).await;
        if state.has_paused() {
            let line = EventLine::new("process_paused").millis(
                "for_ms",
                time_since_boot().saturating_sub(state.last_tick.get()),
            );
            state.log(EventKind::Important, line);
            each_pool(&state, pool::WorkerPool::give_up_all);
            state.directory.borrow_mut().note_paused();
        }
        state.last_tick.set(time_since_boot());
        tick(&state);
        beats.tick(&state);
        let now = state.now();
        traffic.tick(&state, now);
        note_link_use(&state, now);
        if logged.is_none_or(|at| now >= at + LOG_BEAT) {
            logged = Some(now);
            state.log.borrow_mut().flush();
        }
    }
}

/// A process that owns nothing and is about to own nothing has less that is due. In a large fleet most are of this kind.
fn tick_gap(state: &NodeState) -> Duration {
    let owns = !state.pools.borrow().is_empty() || state.keeper.borrow().may_claim_soon();
    match owns || state.leaving.get() {
        true => TICK,
        false => IDLE_TICK,
    }
}

fn note_link_use(state: &NodeState, now: Instant) {
    let mut link_use = state.link_use.get();
    let link = state.keeper.borrow().me().link;
    link_use.take(now, state.traffic.total(), link);
    state.link_use.set(link_use);
}

fn tick(state: &Rc<NodeState>) {
    let now = state.now();
    let gone = state.directory.borrow_mut().take_gone(now);
    for record in gone {
        workers::drop_worker(state, &record);
    }
    let actions = state.keeper.borrow_mut().tick(now);
    let notes = state.keeper.borrow_mut().take_notes();
    for note in notes {
        if let ClaimNote::PeerSilent { node, .. } = &note {
            state.links.lose(node);
            state.lost_peer(node).notify_waiters();
        }
        crate::notes::log_claim(state, &note);
    }
    // Whoever may take a pool over soon needs its workers as they are now.
    if state.keeper.borrow().may_claim_soon() {
        state.wake_workers.notify_one();
    }
    owner::act_on_claims(state, actions);
    owner::fill_pools(state);
    peers::connect_owners(state);
    each_pool(state, pool::WorkerPool::tick);
    each_pool(state, |pool, _| pool.release_idle());
    if state.leaving.get() {
        return;
    }
    owner::keep_yielding(state);
    let pools: Vec<_> = state.pools.borrow().keys().cloned().collect();
    for id in pools {
        owner::take_awaited(state, &id);
    }
}

fn each_pool(state: &Rc<NodeState>, act: impl Fn(&mut pool::WorkerPool, Instant)) {
    let pools: Vec<_> = state.pools.borrow().keys().cloned().collect();
    for id in pools {
        owner::with_pool(state, &id, &act);
    }
}

/// Runs a node until SIGTERM or SIGINT ends it.
///
/// # Errors
///
/// The process could not be set up.
pub fn run(settings: NodeSettings) -> eyre::Result<()> {
    actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let process = start(settings, Arc::new(SystemClock), EventLog::to_stdout()).await?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                // What the settings name stays for a process's life: addresses, its VM, its data centre. What changes
                // while it runs is in the store.
                _ = reload.recv() => process.state.log(
                    EventKind::Important,
                    EventLine::new("reload_ignored").text("why", "settings hold for a process's life"),
                ),
            }
        }
        process.stop().await;
        // The writing thread gets its turn for the last lines.
        actix_rt::time::sleep(TICK).await;
        Ok(())
    })
}
