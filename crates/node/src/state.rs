//! What the parts of a node share. All on one thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::{ClaimKeeper, NodeId};
use jobs::{PoolId, RouteTable};
use kernel::ClockSource;
use model::{DataCentreId, FastMap, Mechanism};
use platform_adapter::{StoreClient, WorkerClient};
use pool::EvacuationBook;
use settings::NodeSettings;
use telemetry::{EventKind, EventLine, EventLog, NodeMetrics, TrafficCounters};
use tokio::sync::Notify;

use crate::{
    directory::WorkerDirectory, keeping::KeepQueue, listing::ListSource, owner::OwnedPool,
    peers::OwnerLinks, traffic::LinkUse,
};

/// A tick later than this means that the process stood still: frozen, suspended, or without its share of the
/// processor. Others count it as gone after about the same time.
pub(crate) const PAUSE_LIMIT: Duration = Duration::from_millis(450);

/// What the parts of a node share.
pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) pool_settings: pool::PoolSettings,
    /// Where the store and this process listen: no worker does.
    pub(crate) system_addresses: Vec<SocketAddr>,
    pub(crate) clock: Arc<dyn ClockSource>,
    /// When the process started.
    pub(crate) started: Instant,
    pub(crate) store: StoreClient,
    pub(crate) workers: WorkerClient,
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) keeper: RefCell<ClaimKeeper>,
    pub(crate) directory: RefCell<WorkerDirectory>,
    pub(crate) evacuations: RefCell<EvacuationBook>,
    pub(crate) pools: RefCell<FastMap<PoolId, OwnedPool>>,
    /// Versions of the rows that divide workers into groups.
    pub(crate) group_versions: RefCell<FastMap<DataCentreId, u64>>,
    /// What was sent to each pool since its owner was last heard, and when that was; in thousandths of a core.
    pub(crate) sent: RefCell<FastMap<PoolId, (Instant, u64)>>,
    /// With how much time customers' requests come.
    pub(crate) waits: RefCell<pool::WaitBook>,
    /// Where the list of workers came from when the log was last told, and when that was.
    pub(crate) list_source: Cell<Option<(ListSource, Instant)>>,
    /// Woken when the workers' table has to be read now.
    pub(crate) wake_workers: Notify,
    /// Pools that were taken over before the workers' table was read again.
    pub(crate) unfilled: RefCell<Vec<PoolId>>,
    /// Writes of kept jobs that wait.
    pub(crate) keeping: RefCell<KeepQueue>,
    /// Whether a kept job was ever seen. Until then nothing is done for them.
    pub(crate) keeps_jobs: Cell<bool>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) links: OwnerLinks,
    /// Woken when a process is not heard any more.
    pub(crate) lost_peers: RefCell<FastMap<NodeId, Rc<Notify>>>,
    pub(crate) log: RefCell<EventLog>,
    pub(crate) metrics: NodeMetrics,
    pub(crate) traffic: Arc<TrafficCounters>,
    pub(crate) link_use: Cell<LinkUse>,
    pub(crate) leaving: Cell<bool>,
    /// A pool that is being handed over to a process that suits it better, and since when.
    pub(crate) yielding: RefCell<Option<(PoolId, Instant)>>,
    pub(crate) open_requests: Cell<usize>,
    /// Whether no request is taken any more, since the process is about to end.
    pub(crate) refusing: Cell<bool>,
    /// When the process ends, once it is stopping.
    pub(crate) stop_limit: Cell<Option<Instant>>,
    /// Woken when customers' idle connections are to be closed.
    pub(crate) close_idle: Rc<Notify>,
    /// Woken when open requests have to be answered because the process ends.
    pub(crate) cut: Notify,
    /// The time since boot at the last tick, suspension included.
    pub(crate) last_tick: Cell<Duration>,
    pub(crate) next_waiter: Cell<u64>,
}

impl NodeState {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Whether a mechanism is switched on.
    pub(crate) fn has(&self, mechanism: Mechanism) -> bool {
        self.pool_settings.switched_off.allows(mechanism)
    }

    pub(crate) fn node(&self) -> NodeId {
        self.keeper.borrow().me().node.clone()
    }

    pub(crate) fn log(&self, kind: EventKind, line: EventLine) {
        self.log.borrow_mut().add(kind, line);
    }

    /// Whether the process stands still or has just woken: its timers have not run yet, so what it holds is older
    /// than others believe.
    pub(crate) fn has_paused(&self) -> bool {
        time_since_boot().saturating_sub(self.last_tick.get()) > PAUSE_LIMIT
    }

    /// Whether the pool is being handed over: its jobs end here, new ones go to its next owner.
    pub(crate) fn hands_over(&self, pool: &PoolId) -> bool {
        let yielding = self.yielding.borrow();
        self.leaving.get()
            || yielding
                .as_ref()
                .is_some_and(|(yielded, _)| yielded == pool)
    }

    /// Woken when the process is not heard any more.
    pub(crate) fn lost_peer(&self, node: &NodeId) -> Rc<Notify> {
        self.lost_peers
            .borrow_mut()
            .entry(node.clone())
            .or_default()
            .clone()
    }
}

/// The time since boot. Unlike the steady clock it counts the time in which the machine is suspended.
pub(crate) fn time_since_boot() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a valid place for a timespec, and the clock's number is a constant of the platform.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    if result != 0 {
        // The call fails only for a clock that the kernel does not have.
        return Duration::ZERO;
    }
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
