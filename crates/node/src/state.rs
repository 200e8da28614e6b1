//! The state that the modules of a node share. It stays on one thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::{ClaimController, NodeId};
use http_server::ClientGate;
use jobs::{PoolId, RouteTable, TableFreshness};
use kernel::{AcceptDrain, ClockSource, PauseMonitor};
use model::{DataCentreId, FastMap, Mechanism};
use platform_adapter::{StoreClient, WorkerClient};
use pool::EvacuationSet;
use settings::NodeSettings;
use telemetry::{EventKind, EventLine, EventLog, NodeMetrics, TrafficCounters};
use tokio::sync::Notify;

use crate::{
    attempts::AttemptRegistry,
    directory::WorkerDirectory,
    kept_jobs::{ForeignEndQueue, JobWriteQueue, KeptJobsView},
    list_schedule::ListSource,
    owner::OwnedPool,
    peers::OwnerLinks,
    run_time_news::RunTimeNews,
    traffic::LinkUse,
};

/// The state that the modules of a node share.
pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) pool_settings: pool::PoolSettings,
    pub(crate) attempt_times: pool::AttemptTimes,
    /// The addresses on which the store and this process listen. No worker can have one of these.
    pub(crate) system_addresses: Vec<SocketAddr>,
    pub(crate) clock: Arc<dyn ClockSource>,
    /// When the process started.
    pub(crate) started: Instant,
    pub(crate) store: StoreClient,
    pub(crate) worker_client: WorkerClient,
    pub(crate) route_table: RefCell<Option<Rc<RouteTable>>>,
    /// When `route_table` was last known to be the newest one.
    pub(crate) table_freshness: Cell<TableFreshness>,
    pub(crate) claim_controller: RefCell<ClaimController>,
    pub(crate) directory: RefCell<WorkerDirectory>,
    pub(crate) evacuations: RefCell<EvacuationSet>,
    pub(crate) pools: RefCell<FastMap<PoolId, OwnedPool>>,
    /// The version of each data centre's row of groups.
    pub(crate) group_versions: RefCell<FastMap<DataCentreId, u64>>,
    /// The processor demand sent to each pool since its owner's last heartbeat, in thousandths of a core, with the
    /// time of that heartbeat.
    pub(crate) sent_demand: RefCell<FastMap<PoolId, (Instant, u64)>>,
    /// The incarnation of each owner of which an unreadable start profile was logged.
    pub(crate) unreadable_profiles: RefCell<FastMap<NodeId, u64>>,
    /// Learns the time that customers' requests usually have left when they arrive, by route.
    pub(crate) request_budgets: RefCell<pool::BudgetTracker>,
    /// What other processes have learned of run times.
    pub(crate) run_time_news: RefCell<RunTimeNews>,
    /// The source of the list of workers that was last logged, and when.
    pub(crate) list_source: Cell<Option<(ListSource, Instant)>>,
    /// Notified when the workers' table has to be read now.
    pub(crate) worker_list_needed: Notify,
    /// Pools that were opened while the worker directory was not current. Their workers have not been added yet.
    pub(crate) unpopulated_pools: RefCell<Vec<PoolId>>,
    /// Pending writes of kept jobs.
    pub(crate) job_writes: RefCell<JobWriteQueue>,
    pub(crate) kept_view: KeptJobsView,
    pub(crate) foreign_ends: ForeignEndQueue,
    pub(crate) rng: RefCell<fastrand::Rng>,
    /// The attempts that this process has registered in the store.
    pub(crate) attempts: AttemptRegistry,
    pub(crate) links: OwnerLinks,
    /// Notified when a tick was late. The machine may have been suspended, in which timers stand still.
    pub(crate) late_tick: Notify,
    pub(crate) log: RefCell<EventLog>,
    pub(crate) metrics: NodeMetrics,
    pub(crate) traffic: Arc<TrafficCounters>,
    pub(crate) link_use: Cell<LinkUse>,
    /// Whether the process is stopping.
    pub(crate) leaving: Cell<bool>,
    /// The pool that is being handed over to a better-suited process, and since when.
    pub(crate) yielding_pool: RefCell<Option<(PoolId, Instant)>>,
    pub(crate) open_requests: Cell<usize>,
    /// Whether all requests are refused because the process is about to end.
    pub(crate) refuses_requests: Cell<bool>,
    /// The time at which the process ends, set once it is stopping.
    pub(crate) stop_deadline: Cell<Option<Instant>>,
    /// Limits what clients can take of this process.
    pub(crate) clients: Arc<ClientGate>,
    /// Notified when open requests must be answered because the process ends.
    pub(crate) cut_requests: Notify,
    pub(crate) pauses: RefCell<PauseMonitor>,
    /// When a pause was last noticed.
    pub(crate) last_pause: Cell<Option<Instant>>,
    /// Pending while customers' connections from before the end of a pause may wait to be accepted.
    pub(crate) accept_drain: AcceptDrain,
    pub(crate) next_waiter_id: Cell<u64>,
}

impl NodeState {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the greatest possible age of the routing configuration, None if it was never read.
    pub(crate) fn table_age(&self) -> Option<Duration> {
        self.table_freshness.get().age(self.clock.since_boot())
    }

    /// Returns whether every configuration that must be in force by now is known.
    pub(crate) fn is_table_current(&self) -> bool {
        let limit = self.settings.config_limit_ms.duration();
        let freshness = self.table_freshness.get();
        freshness.is_within(limit, self.clock.since_boot())
    }

    /// Returns whether a mechanism is switched on.
    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.pool_settings.switched_off.is_enabled(mechanism)
    }

    pub(crate) fn node(&self) -> NodeId {
        self.claim_controller.borrow().own_row().node.clone()
    }

    pub(crate) fn log(&self, kind: EventKind, line: EventLine) {
        self.log.borrow_mut().add(kind, line);
    }

    /// Returns whether the process has paused and may not have read all that was sent before it woke. Its state is then
    /// older than other processes assume.
    pub(crate) fn has_paused(&self) -> bool {
        let now = self.clock.since_boot();
        self.pauses.borrow().has_paused(now)
    }

    /// Returns the time since the last tick, including time in which the machine was suspended.
    pub(crate) fn since_last_tick(&self) -> Duration {
        let now = self.clock.since_boot();
        self.pauses.borrow().since_tick(now)
    }

    /// Returns the longest time for which what is read now may have waited in this process's sockets.
    pub(crate) fn longest_unread(&self) -> Duration {
        let now = self.clock.since_boot();
        self.pauses.borrow().longest_unread(now)
    }

    /// Returns whether the pool is being handed over: its jobs finish here, and new jobs go to its next owner.
    pub(crate) fn is_handing_over(&self, pool: &PoolId) -> bool {
        let yielding = self.yielding_pool.borrow();
        self.leaving.get()
            || yielding
                .as_ref()
                .is_some_and(|(yielded, _)| yielded == pool)
    }
}
