//! Starts and controls the nodes, workers and store of a soak, and the links between them.

mod names;
mod nodes;
mod workers;

use std::{
    ops::Range,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use platform_stand_ins::{
    config_row, RoutePlan, StoreFault, StoreStandIn, StoreView, SuspectTrap, WriteDelay,
};
use serde_json::json;
use stand_ins::forwarder::{LinkError, LinkMode, LinkRequest, NetForwarder};

use crate::{
    plan::SoakPlan,
    record::{RunTrace, StopTrace},
    run::SoakError,
};
pub(crate) use names::rack_workers;
use names::{data_centres, store_link, worker_link};
use nodes::{load_policies, SoakNode};
use workers::WorkerInstance;

/// The host of all routes.
pub(crate) const HOST: &str = "soak.example";

/// The prefix of the route that all jobs use.
pub(crate) const PREFIX: &str = "/hold/";

/// The service of all workers.
const SERVICE: &str = "svc";

/// The stop grace that the settings of the nodes give.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// Writes to the store that are not answered and carried out late.
#[derive(Clone, Debug)]
pub(crate) struct LateWrites {
    /// Their share of all writes.
    pub(crate) share: f64,
    /// The bounds of the time after which they are carried out.
    pub(crate) delays: Range<Duration>,
}

impl LateWrites {
    /// Draws when a write is carried out. `None` if it is not late.
    fn draw(&self) -> Option<Duration> {
        let spread = self.delays.end.saturating_sub(self.delays.start);
        let is_late = fastrand::f64() < self.share;
        is_late.then(|| self.delays.start + spread.mul_f64(fastrand::f64()))
    }
}

/// All processes and stand-ins of a soak.
pub(crate) struct SoakFleet {
    began: Instant,
    binary: PathBuf,
    pub(crate) forwarder: Rc<NetForwarder>,
    store: StoreStandIn,
    /// The view of the store that each node connects to.
    store_views: Vec<StoreView>,
    pub(crate) nodes: Vec<SoakNode>,
    workers: Vec<WorkerInstance>,
    instance_count: usize,
    /// Whether workers name their racks; otherwise all name the same.
    has_racks: bool,
    /// Restarts workers under starts of suspects.
    trap: Rc<SuspectTrap>,
    /// The number of worker restarts under the same id.
    restart_count: u64,
    runs: Vec<RunTrace>,
    routes: Vec<RoutePlan>,
    pub(crate) stops: Vec<StopTrace>,
    /// Descriptions of processes that exited without being asked to, and of stops that hang.
    pub(crate) process_failures: Vec<String>,
}

impl SoakFleet {
    /// Starts the store, all workers and all nodes.
    pub(crate) async fn start(
        plan: &SoakPlan,
        binary: PathBuf,
        dir: &std::path::Path,
    ) -> Result<Self, SoakError> {
        let store = StoreStandIn::start().await;
        let mut fleet = Self {
            began: Instant::now(),
            binary,
            forwarder: Rc::new(NetForwarder::start()?),
            store,
            store_views: Vec::new(),
            nodes: Vec::new(),
            workers: Vec::new(),
            instance_count: 0,
            has_racks: plan.crash_series,
            trap: Rc::default(),
            restart_count: 0,
            runs: Vec::new(),
            routes: vec![route(PREFIX)],
            stops: Vec::new(),
            process_failures: Vec::new(),
        };
        fleet.write_config();
        for number in 0..plan.nodes {
            let view = fleet.store.view().await;
            let node = fleet.add_node(number, &view, load_policies(plan, number), dir)?;
            fleet.nodes.push(node);
            fleet.store_views.push(view);
        }
        for _ in 0..plan.workers {
            fleet.workers.push(WorkerInstance::default());
        }
        for worker in 0..plan.workers {
            fleet.start_worker(worker).await?;
        }
        for number in 0..plan.nodes {
            fleet.start_node(number)?;
        }
        Ok(fleet)
    }

    /// Returns the time since the start of the soak.
    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns when the soak began.
    pub(crate) fn began(&self) -> Instant {
        self.began
    }

    /// Sets the mode of the link between a node and the store.
    pub(crate) async fn set_store_link(
        &self,
        node: usize,
        mode: LinkMode,
    ) -> Result<(), LinkError> {
        self.set_link(store_link(node), mode).await
    }

    /// Sets the mode of the link between a worker and a node.
    pub(crate) async fn set_worker_link(
        &self,
        worker: usize,
        node: usize,
        mode: LinkMode,
    ) -> Result<(), LinkError> {
        let number = self.workers[worker].number;
        self.set_link(worker_link(number, node), mode).await
    }

    async fn set_link(&self, name: String, mode: LinkMode) -> Result<(), LinkError> {
        let request = LinkRequest {
            link: Some(name),
            mode,
        };
        self.forwarder.apply(request).await
    }

    /// Sets the fault of the store.
    pub(crate) fn set_store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Has a share of the writes to the store carried out late and not answered, or ends that.
    pub(crate) fn set_late_writes(&self, late: Option<LateWrites>) {
        self.store.set_write_delay(late.map(|late| {
            let delay_of: WriteDelay = Rc::new(move |_| late.draw());
            delay_of
        }));
    }

    /// Divides the workers of each data centre among this many pools, as a node does.
    pub(crate) fn divide_workers(&self, groups: u32) {
        for centre in data_centres() {
            let key = format!("{centre}/groups");
            let row = json!({ "groups": groups, "spread": "life" });
            self.store.put("claims", &key, &row);
        }
    }

    /// Sets how many workers restart as they are sent a task under which a worker has died.
    pub(crate) fn trap_suspects(&self, restarts: u32) {
        self.trap.set(restarts);
    }

    /// Truncates the history of the store.
    pub(crate) fn forget_history(&self) {
        self.store.truncate_history();
    }

    /// Makes all open connections to the store go silent for good.
    pub(crate) fn silence_store(&self) {
        self.store.silence_connections();
    }

    /// Adds a route to the configuration and returns the new version.
    pub(crate) fn add_route(&mut self) -> u64 {
        let version = self.version() + 1;
        self.routes.push(route(&added_prefix(version)));
        self.write_config();
        version
    }

    fn version(&self) -> u64 {
        self.routes.len() as u64
    }

    fn write_config(&self) {
        let row = config_row(self.version(), &self.routes);
        self.store.put("op", "config", &row);
    }
}

/// Returns the path prefix of the route that `version` added.
pub(crate) fn added_prefix(version: u64) -> String {
    format!("/added-{version}/")
}

fn route(prefix: &str) -> RoutePlan {
    RoutePlan {
        name: format!("r{prefix}"),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        service: SERVICE.to_owned(),
    }
}
