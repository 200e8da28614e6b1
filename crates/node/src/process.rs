//! Starts and stops a node.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use claims::{
    ClaimController, ClaimEvent, ClaimSettings, LinkRate, MemberRow, NodeId, PublishedBudget,
    PublishedMember,
};
use fastrand::Rng;
use kernel::{AcceptDrain, ClockSource, PauseMonitor, SystemClock, TaskEnded, TaskGroup};
use platform_adapter::{HttpClient, RowWrite, StoreClient, StoreTable, Transaction, WorkerClient};
use pool::{AttemptTimes, PoolSettings};
use settings::NodeSettings;
use telemetry::{EventKind, EventLine, EventLog, TrafficCounters};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{signal, SignalKind},
    sync::Notify,
    task::yield_now,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    attempts::{self, AttemptRegistry},
    clients::{self, ClientLogger},
    customer_server,
    directory::WorkerDirectory,
    feeds, groups,
    kept_jobs::{self, ForeignEndQueue, KeptJobsView},
    metrics::new_metrics,
    owner::{self, for_each_pool},
    pause::{self, PAUSE_THRESHOLD},
    peers::{self, HeartbeatSender, OwnerLinks},
    pool_port::PoolPort,
    ready, run_time_news,
    state::NodeState,
    traffic::TrafficLogger,
    workers, NodeError,
};

/// The interval of the periodic work. Waits that matter to customers end by events, not by this tick.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The tick interval of a process without pools: half of the shortest heartbeat interval.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A tick is late after this many of its intervals. Less than that is part of the reaction time of an owner.
const LATE_TICK_FACTOR: u32 = 2;

/// The timeout of a call to the store. The store answers in 4 to 16 ms; beyond this limit the connection counts as
/// silent.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval at which a process checks whether its member row is due to be written. An owner's row is due sooner
/// than that of other processes.
const MEMBER_REFRESH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which the log is flushed.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// The time that the balancer needs to stop sending connections to a process that reports "not ready": two checks
/// of one second each, with a small margin.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_200);

/// The part of a stop's grace period that is reserved for a pool's last jobs. Most tasks take under 2 s.
const LAST_JOBS_TIME: Duration = Duration::from_millis(2_500);

/// The part of a stop's grace period that is reserved for sending the last answers.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// The time that the answers to cut requests get to leave the process.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(60);

/// How long the start waits for the member row of this VM's former process. The new incarnation must be higher than
/// the former one even if the VM's clock was set back.
const FORMER_ROW_TIMEOUT: Duration = Duration::from_millis(400);

/// A running node.
pub struct NodeProcess {
    state: Rc<NodeState>,
    customer_address: SocketAddr,
    ready_address: SocketAddr,
    tasks: TaskGroup,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // As in a killed process, calls that are under way no longer act for its pools, and the callers of their jobs get no
        // answer, which dropping the pools would give them.
        std::mem::forget(self.state.pools.take());
    }
}

impl NodeProcess {
    /// The address that customers connect to.
    pub fn customer_address(&self) -> SocketAddr {
        self.customer_address
    }

    /// The address that other nodes connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.claim_controller.borrow().own_row().address
    }

    /// The address of the readiness check and the metrics.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// The log lines that have not been written out.
    pub fn log_lines(&self) -> String {
        self.state.log.borrow().buffered_text()
    }

    /// Waits until a part of the node has ended without which it cannot go on. Other nodes would take it for alive, and
    /// customers would go on to connect to it.
    pub async fn failure(&mut self) -> TaskEnded {
        self.tasks.first_ended().await
    }

    /// Stops without cutting requests: reports "not ready", ends the jobs of its pools and releases the pools, and
    /// stays until its own requests are answered or the grace period is over.
    pub async fn stop(&self) {
        let state = &self.state;
        let started = state.now();
        let grace = Duration::from_secs_f64(state.settings.stop_grace_s);
        let limit = started + grace.saturating_sub(STOP_MARGIN);
        state.leaving.set(true);
        state.stop_deadline.set(Some(limit));
        state.claim_controller.borrow_mut().leave();
        state.log(
            EventKind::Important,
            EventLine::new("process_stopping").millis("grace_ms", grace),
        );
        while state.now() < limit {
            stop_accepting_jobs(state, limit);
            release_idle_pools(state);
            if state.now() >= started + BALANCER_DRAIN_TIME {
                // New connections go to other nodes by now, so a customer whose idle connection is closed reaches
                // another node.
                state.clients.close_idle();
            }
            let owns = !state.pools.borrow().is_empty();
            let busy = owns || state.open_requests.get() > 0;
            if !busy && state.now() >= started + BALANCER_DRAIN_TIME {
                break;
            }
            actix_rt::time::sleep(TICK_INTERVAL).await;
        }
        // A request that arrives now would be cut by the end of the process, so it is refused before any of it
        // runs.
        state.refuses_requests.set(true);
        let cut = state.open_requests.get();
        state.cut_requests.notify_waiters();
        actix_rt::time::sleep(LAST_ANSWERS_TIME).await;
        let line = EventLine::new("process_stopped")
            .number("cut_requests", cut as u64)
            .millis("took_ms", state.now().saturating_duration_since(started));
        state.log(EventKind::Important, line);
        state.log.borrow_mut().flush();
    }
}

/// Stops accepting jobs for pools that another process can take over.
///
/// While the store is unavailable, no process can take a pool over. A pool that stopped accepting jobs then would have
/// no serving owner until the store is available again, which left twelve workers idle for 2.7 s. Even so, the
/// pool stops accepting in time for its last jobs to end before the process does.
fn stop_accepting_jobs(state: &Rc<NodeState>, limit: Instant) {
    let now = state.now();
    let store_failing = state.directory.borrow().is_failing(now);
    if store_failing && now + LAST_JOBS_TIME < limit {
        return;
    }
    for_each_pool(state, |pool, _| pool.stop_accepting());
}

/// Releases pools whose jobs have ended, so that their next owner can take them.
fn release_idle_pools(state: &Rc<NodeState>) {
    let idle: Vec<_> = {
        let pools = state.pools.borrow();
        let idle = pools
            .iter()
            .filter(|(_, owned)| !owned.pool.is_accepting() && owned.pool.open_jobs() == 0);
        idle.map(|(id, _)| id.clone()).collect()
    };
    for id in idle {
        owner::release_pool(state, &id, "stopping");
    }
}

/// Starts a node within the running actix system.
///
/// # Errors
///
/// An address cannot be listened on, the local address of a socket cannot be read, or the metrics cannot be built.
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
    let http = HttpClient::new(traffic.clone());
    let attempt_times = AttemptTimes::derive(
        settings.customer_retry_ms.duration(),
        settings.longest_lease_ms.duration(),
    );
    let attempt_times = attempt_times.ok_or(NodeError::RetryTooShort)?;
    let pool_settings = PoolSettings {
        lease: attempt_times.worker_lease,
        customer_retry: attempt_times.customer_retry,
        policies: settings.load,
        switched_off: settings.switched_off.iter().copied().collect(),
        max_job_bytes: clients::budget(&settings).jobs.0,
        ..PoolSettings::default()
    };
    let store = StoreClient::new(http.clone(), settings.store, STORE_CALL_TIMEOUT);
    let member = MemberRow {
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
        .text("node", &member.node)
        .number("incarnation", member.incarnation)
        .text("data_centre", &member.data_centre)
        .text("build", env!("CARGO_PKG_VERSION"));
    let claim_settings = ClaimSettings::default();
    let rng = RefCell::new(new_rng(&member));
    let state = Rc::new(NodeState {
        worker_client: WorkerClient::new(http),
        store,
        pool_settings,
        attempt_times,
        system_addresses: vec![settings.store, customer_address, ready_address, address],
        route_table: RefCell::default(),
        table_freshness: Cell::default(),
        claim_controller: RefCell::new(ClaimController::new(
            member,
            claim_settings.clone(),
            clock.now(),
        )),
        directory: RefCell::new(WorkerDirectory::default()),
        evacuations: RefCell::default(),
        pools: RefCell::default(),
        group_versions: RefCell::default(),
        sent_demand: RefCell::default(),
        unreadable_profiles: RefCell::default(),
        request_budgets: RefCell::default(),
        run_time_news: RefCell::default(),
        list_source: Cell::new(None),
        worker_list_needed: Notify::new(),
        unpopulated_pools: RefCell::default(),
        job_writes: RefCell::default(),
        kept_view: KeptJobsView::default(),
        foreign_ends: ForeignEndQueue::default(),
        rng,
        attempts: AttemptRegistry::default(),
        links: OwnerLinks::default(),
        late_tick: Notify::new(),
        log: RefCell::new(log),
        metrics: new_metrics()?,
        traffic,
        link_use: Cell::default(),
        leaving: Cell::new(false),
        refuses_requests: Cell::new(false),
        yielding_pool: RefCell::default(),
        open_requests: Cell::new(0),
        stop_deadline: Cell::new(None),
        clients: clients::new_gate(&settings),
        cut_requests: Notify::new(),
        last_pause: Cell::default(),
        pauses: RefCell::new(PauseMonitor::new(PAUSE_THRESHOLD, clock.since_boot())),
        accept_drain: AcceptDrain::default(),
        next_waiter_id: Cell::new(0),
        settings,
        started: clock.now(),
        clock,
    });
    state.log(EventKind::Important, line);
    let heartbeats = HeartbeatSender::new(socket.clone());
    let mut tasks = TaskGroup::default();
    tasks.spawn("refresh_member", refresh_member(state.clone()));
    tasks.spawn("run_ticks", run_ticks(state.clone(), heartbeats));
    tasks.spawn("maintain_groups", groups::maintain_groups(state.clone()));
    tasks.spawn("maintain_pools", kept_jobs::maintain_pools(state.clone()));
    tasks.spawn(
        "follow_open_jobs",
        kept_jobs::follow_open_jobs(state.clone()),
    );
    tasks.spawn(
        "remove_registrations",
        attempts::remove_registrations(state.clone()),
    );
    tasks.spawn(
        "sweep_registrations",
        attempts::sweep_registrations(state.clone()),
    );
    tasks.spawn(
        "receive_heartbeats",
        peers::receive_heartbeats(state.clone(), socket),
    );
    tasks.spawn("serve_entries", serve_entries(state.clone(), peers));
    tasks.spawn(
        "serve_customers",
        customer_server::serve(state.clone(), customers),
    );
    tasks.spawn("serve_ready", ready::serve(state.clone(), ready));
    let tables = [
        StoreTable::Operator,
        StoreTable::Workers,
        StoreTable::Members,
        StoreTable::Claims,
        StoreTable::CancelledJobs,
        StoreTable::MovedJobs,
    ];
    for table in tables {
        tasks.spawn("follow_table", feeds::follow_table(state.clone(), table));
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

async fn serve_entries(state: Rc<NodeState>, listener: TcpListener) {
    let traffic = state.traffic.clone();
    peer::serve_pool(listener, traffic, move || PoolPort::new(state.clone())).await;
}

/// Returns a generator of random numbers whose seed no other process has, even where processes start with the same entropy:
/// the ids of their writes must differ.
fn new_rng(member: &MemberRow) -> Rng {
    let name = format!("{}/{}", member.node, member.incarnation);
    Rng::with_seed(xxh3_64(name.as_bytes()) ^ Rng::new().u64(..))
}

/// Returns an incarnation above that of this VM's former process: the time of day in milliseconds, or the former
/// incarnation plus one if the clock was set back. Messages with a lower incarnation would be attributed to the
/// former process.
async fn new_incarnation(store: &StoreClient, vm: &str) -> u64 {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let by_clock = u64::try_from(millis).unwrap_or(u64::MAX);
    let read = store.get(StoreTable::Members, "", vm);
    let Ok(Ok(Some(row))) = tokio::time::timeout(FORMER_ROW_TIMEOUT, read).await else {
        return by_clock;
    };
    let former = serde_json::from_slice::<MemberRow>(&row.value).ok();
    by_clock.max(former.map_or(0, |former| former.incarnation + 1))
}

/// Returns the learned time budgets of requests by route, in the form in which the member row publishes them.
fn published_budgets(state: &NodeState) -> Vec<PublishedBudget> {
    let learned = state.request_budgets.borrow().learned_budgets();
    let budgets = learned.into_iter().map(|budget| PublishedBudget {
        route: budget.route,
        least_ms: u64::try_from(budget.budget.as_millis()).unwrap_or(u64::MAX),
    });
    budgets.collect()
}

/// Writes this process's member row at the start and then periodically.
async fn refresh_member(state: Rc<NodeState>) {
    let mut row = state.claim_controller.borrow().own_row().clone();
    let mut failed = false;
    loop {
        row.refreshes += 1;
        row.waits = published_budgets(&state);
        let published = PublishedMember {
            member: row.clone(),
            run_times: run_time_news::published(&state),
        };
        let write = RowWrite {
            table: StoreTable::Members,
            key: row.node.to_string(),
            value: serde_json::to_vec(&published).unwrap_or_default(),
            expected: None,
        };
        let transaction = Transaction::single_write(write);
        let answer = state.store.transact(&transaction).await;
        if let Err(error) = &answer {
            if !failed {
                let line = EventLine::new("member_row_not_written").text("error", error);
                state.log(EventKind::Important, line);
            }
        }
        failed = answer.is_err();
        let retry_soon = row.refreshes < 3 && failed;
        if retry_soon {
            actix_rt::time::sleep(TICK_INTERVAL).await;
            continue;
        }
        let written = state.now();
        while state.now() < written + state.claim_controller.borrow().refresh_interval() {
            actix_rt::time::sleep(MEMBER_REFRESH_CHECK_INTERVAL).await;
        }
    }
}

async fn run_ticks(state: Rc<NodeState>, heartbeats: HeartbeatSender) {
    let mut logged: Option<Instant> = None;
    let mut traffic = TrafficLogger::new(state.now());
    let mut clients = ClientLogger::new(&state);
    loop {
        let interval = tick_interval(&state);
        actix_rt::time::sleep(interval).await;
        if state.since_last_tick() > interval * LATE_TICK_FACTOR {
            state.late_tick.notify_waiters();
            // Attempts whose lease ended meanwhile are over before anything else is sent for them.
            yield_now().await;
        }
        pause::record_tick(&state);
        tick(&state);
        heartbeats.tick(&state);
        let now = state.now();
        traffic.tick(&state, now);
        state.clients.sweep(now);
        clients.tick(&state, now);
        update_link_use(&state, now);
        if logged.is_none_or(|at| now >= at + LOG_FLUSH_INTERVAL) {
            logged = Some(now);
            state.log.borrow_mut().flush();
        }
    }
}

/// Returns the time until the next tick. A process that owns no pool and is not about to claim one has less to do;
/// in a large fleet most processes are of this kind.
fn tick_interval(state: &NodeState) -> Duration {
    let owns = !state.pools.borrow().is_empty() || state.claim_controller.borrow().may_claim_soon();
    match owns || state.leaving.get() {
        true => TICK_INTERVAL,
        false => IDLE_TICK_INTERVAL,
    }
}

fn update_link_use(state: &NodeState, now: Instant) {
    let mut link_use = state.link_use.get();
    let link = state.claim_controller.borrow().own_row().link;
    link_use.update(now, state.traffic.total(), link);
    state.link_use.set(link_use);
}

fn tick(state: &Rc<NodeState>) {
    let now = state.now();
    let removed = state.directory.borrow_mut().take_expired(now);
    for record in removed {
        workers::unlist_worker(state, &record);
    }
    let actions = state.claim_controller.borrow_mut().tick(now);
    let events = state.claim_controller.borrow_mut().take_events();
    for event in events {
        if let ClaimEvent::PeerSilent { node, .. } = &event {
            state.links.close(node);
        }
        crate::event_lines::log_claim_event(state, &event);
    }
    // A process that may soon claim a pool needs the current state of its workers.
    if state.claim_controller.borrow().may_claim_soon() {
        state.worker_list_needed.notify_one();
    }
    owner::run_claim_actions(state, actions);
    owner::populate_pools(state);
    peers::connect_owners(state);
    peers::renew_links(state, now + tick_interval(state));
    for_each_pool(state, pool::WorkerPool::tick);
    for_each_pool(state, |pool, _| pool.release_idle_workers());
    if state.leaving.get() {
        return;
    }
    owner::advance_handover(state);
    let pools: Vec<_> = state.pools.borrow().keys().cloned().collect();
    for id in pools {
        owner::add_deferred_workers(state, &id);
    }
}

/// Runs a node until SIGTERM or SIGINT ends it.
///
/// # Errors
///
/// The process could not be set up, or a part of it has ended by itself.
pub fn run(settings: NodeSettings) -> eyre::Result<()> {
    actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let mut process = start(settings, Arc::new(SystemClock), EventLog::to_stdout()).await?;
        let state = process.state.clone();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                ended = process.failure() => return Err(ended.into()),
                // The settings (addresses, VM, data centre) are fixed while the process runs. Configuration that
                // changes at run time is in the store.
                _ = reload.recv() => state.log(
                    EventKind::Important,
                    EventLine::new("reload_ignored").text("why", "settings are read only at the start of the process"),
                ),
            }
        }
        process.stop().await;
        // Gives the log's writer thread time to write the last lines.
        actix_rt::time::sleep(TICK_INTERVAL).await;
        Ok(())
    })
}
