//! Starts and controls the nodes, workers and store of a soak, and the links between them.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::{Duration, Instant},
};

use platform_stand_ins::{
    config_row, RoutePlan, StoreFault, StoreStandIn, StoreView, WorkerFault, WorkerPlan,
    WorkerStandIn,
};
use scenario::{ChildPlan, ChildProcess, ChildSignal};
use settings::NodeSettings;
use stand_ins::forwarder::{LinkError, LinkMode, LinkRequest, NetForwarder};

use crate::{
    plan::SoakPlan,
    record::{RunEnd, RunTrace, StopTrace},
    run::SoakError,
};

/// The host of all routes.
pub(crate) const HOST: &str = "soak.example";

/// The prefix of the route that all jobs use.
pub(crate) const PREFIX: &str = "/hold/";

/// The service of all workers.
const SERVICE: &str = "svc";

/// Nodes and workers are assigned to these data centres in turn.
const DATA_CENTRES: [&str; 2] = ["east", "west"];

/// The stop grace that the settings of the nodes give.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// How long beyond [`STOP_GRACE`] a stop may take before it counts as hanging.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// The pause before a node that has exited is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// The log event of a node that becomes the owner of a pool.
const POOL_TAKEN: &str = "\"event\":\"pool_taken\"";

/// The log event of a node that is no longer the owner of a pool.
const POOL_RELEASED: &str = "\"event\":\"pool_released\"";

/// Run times of tasks, assigned to workers in turn, in milliseconds.
const RUN_TIMES_MS: [u64; 4] = [40, 70, 110, 160];

/// Rates of the workers' clocks, which may be up to 2% slow.
const CLOCK_RATES: [f64; 3] = [1.0, 0.98, 0.99];

/// Base of the workers' start times, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_764_751_000_000;

/// Added to the start time of every other worker restart, in milliseconds, so that clocks appear to be set back in
/// between.
const START_JUMP_MS: u64 = 60_000;

/// A node, its process and its restart state.
pub(crate) struct SoakNode {
    process: Option<ChildProcess<String>>,
    /// How many times the node has been started.
    pub(crate) start_count: usize,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) customer_address: SocketAddr,
    /// When the node was asked to stop.
    stop_requested: Option<Duration>,
    restart_due: Option<Duration>,
    /// When the last fault that kills or freezes the node ends.
    down_until: Duration,
}

/// The current instance of a worker. Its replacement is a new instance under another id.
struct WorkerInstance {
    /// Counted across all workers; 0 before the first start.
    number: usize,
    stand_in: Option<WorkerStandIn>,
}

/// All processes and stand-ins of a soak.
pub(crate) struct SoakFleet {
    began: Instant,
    binary: PathBuf,
    forwarder: NetForwarder,
    store: StoreStandIn,
    /// The view of the store that each node connects to.
    store_views: Vec<StoreView>,
    pub(crate) nodes: Vec<SoakNode>,
    workers: Vec<WorkerInstance>,
    instance_count: usize,
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
            forwarder: NetForwarder::start()?,
            store,
            store_views: Vec::new(),
            nodes: Vec::new(),
            workers: Vec::new(),
            instance_count: 0,
            restart_count: 0,
            runs: Vec::new(),
            routes: vec![route(PREFIX)],
            stops: Vec::new(),
            process_failures: Vec::new(),
        };
        fleet.write_config();
        for number in 0..plan.nodes {
            let view = fleet.store.view().await;
            let node = fleet.add_node(number, &view, dir)?;
            fleet.nodes.push(node);
            fleet.store_views.push(view);
        }
        for _ in 0..plan.workers {
            fleet.workers.push(WorkerInstance {
                number: 0,
                stand_in: None,
            });
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

    fn add_node(
        &self,
        number: usize,
        view: &StoreView,
        dir: &std::path::Path,
    ) -> Result<SoakNode, SoakError> {
        let ip = node_ip(number);
        let customer_address = SocketAddr::new(ip, 8_161);
        let store = self
            .forwarder
            .add_link(&store_link(number), view.address())?;
        let settings = NodeSettings {
            vm: node_name(number).parse().map_err(SoakError::setup)?,
            data_centre: data_centre(number).parse().map_err(SoakError::setup)?,
            customer_listen: customer_address,
            ready_listen: SocketAddr::new(ip, 8_167),
            peer_listen: SocketAddr::new(ip, 7_720),
            store,
            stop_grace_s: STOP_GRACE.as_secs_f64(),
            ..NodeSettings::default()
        };
        let path = dir.join(format!("{}.json", node_name(number)));
        fs::write(
            &path,
            serde_json::to_vec_pretty(&settings).map_err(SoakError::setup)?,
        )?;
        Ok(SoakNode {
            process: None,
            start_count: 0,
            settings: path,
            log: dir.join(format!("{}.log", node_name(number))),
            customer_address,
            stop_requested: None,
            restart_due: None,
            down_until: Duration::ZERO,
        })
    }

    fn start_node(&mut self, number: usize) -> io::Result<()> {
        let node = &mut self.nodes[number];
        let plan = ChildPlan {
            binary: &self.binary,
            role: "node",
            settings: &node.settings,
            log: &node.log,
        };
        let process = ChildProcess::start(node_name(number), plan)?;
        node.process = Some(process);
        node.start_count += 1;
        node.stop_requested = None;
        node.restart_due = None;
        Ok(())
    }

    /// Detects node processes that exited or hang while stopping, and starts the nodes whose restart is due.
    pub(crate) fn poll_processes(&mut self) -> io::Result<()> {
        let now = self.now();
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            let ended = node.process.as_mut().is_some_and(ChildProcess::has_ended);
            if ended {
                node.process = None;
                node.restart_due = Some((now + RESTART_PAUSE).max(node.down_until));
                match node.stop_requested {
                    Some(stop_requested) => self.stops.push(StopTrace {
                        node: number,
                        requested: stop_requested,
                        exited: now,
                    }),
                    None => self.process_failures.push(format!(
                        "node {number} exited without a stop request at {now:?}"
                    )),
                }
            }
            let hangs = node.stop_requested.is_some_and(|stop_requested| {
                now > stop_requested + STOP_GRACE + STOP_SLACK && now > node.down_until + STOP_GRACE
            });
            if hangs && node.process.is_some() {
                self.process_failures
                    .push(format!("node {number} did not stop by {now:?}"));
                self.kill_node(number, Duration::ZERO);
            }
            if self.nodes[number].restart_due.is_some_and(|due| now >= due) {
                self.start_node(number)?;
            }
        }
        Ok(())
    }

    /// Sends a signal to a node's process, if it has one.
    pub(crate) fn signal_node(&mut self, number: usize, signal: ChildSignal) -> io::Result<()> {
        let now = self.now();
        let node = &mut self.nodes[number];
        let Some(process) = &mut node.process else {
            return Ok(());
        };
        if signal == ChildSignal::Terminate && node.stop_requested.is_none() {
            node.stop_requested = Some(now);
        }
        process.signal(signal)
    }

    /// Returns the nodes that own a pool according to their logs.
    pub(crate) fn pool_owners(&self) -> io::Result<Vec<usize>> {
        let mut owners = Vec::new();
        for (number, node) in self.nodes.iter().enumerate() {
            let log = fs::read_to_string(&node.log)?;
            let last = log.rfind(POOL_TAKEN);
            if last.is_some_and(|taken| Some(taken) > log.rfind(POOL_RELEASED)) {
                owners.push(number);
            }
        }
        Ok(owners)
    }

    /// Extends the time during which a node is killed or frozen, so that its stop may take longer.
    pub(crate) fn extend_down_time(&mut self, number: usize, length: Duration) {
        let until = self.now() + length;
        let node = &mut self.nodes[number];
        node.down_until = node.down_until.max(until);
    }

    /// Kills a node, which is started again after `length`.
    pub(crate) fn kill_node(&mut self, number: usize, length: Duration) {
        self.extend_down_time(number, length);
        let node = &mut self.nodes[number];
        // Dropping the process kills it.
        if node.process.take().is_some() {
            node.stop_requested = None;
            node.restart_due = Some(node.down_until);
        }
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

    /// Truncates the history of the store.
    pub(crate) fn forget_history(&self) {
        self.store.truncate_history();
    }

    /// Sets the fault of a worker, if it is running.
    pub(crate) fn set_worker_fault(&self, worker: usize, fault: WorkerFault) {
        if let Some(stand_in) = &self.workers[worker].stand_in {
            stand_in.set_fault(fault);
        }
    }

    /// Returns the number of the current instance of a worker, if it is running.
    pub(crate) fn worker_instance(&self, worker: usize) -> Option<usize> {
        let instance = &self.workers[worker];
        instance.stand_in.as_ref().map(|_| instance.number)
    }

    /// Crashes a worker and ends the runs on it. Its entry in the store is removed later.
    pub(crate) fn crash_worker(&mut self, worker: usize) {
        let now = self.now();
        let began = self.began;
        let instance = &mut self.workers[worker];
        if let Some(stand_in) = instance.stand_in.take() {
            let runs = run_traces(&stand_in, worker, instance.number, began);
            self.runs.extend(runs.into_iter().map(|run| RunTrace {
                ended: run.ended.or(Some(now)),
                end: run.end.or(Some(RunEnd::Died)),
                ..run
            }));
        }
    }

    /// Restarts a worker under the same id. Its entry in the store is updated later.
    pub(crate) fn restart_worker(&mut self, worker: usize) {
        self.restart_count += 1;
        if let Some(stand_in) = &self.workers[worker].stand_in {
            // Simulates a clock that was set back between restarts.
            let jump_ms = if self.restart_count.is_multiple_of(2) {
                0
            } else {
                START_JUMP_MS
            };
            stand_in.restart(FIRST_START_MS + self.restart_count + jump_ms);
        }
    }

    /// Sets the store entry of a worker to `ready`.
    pub(crate) fn write_ready_entry(&self, worker: usize) {
        self.write_store_entry(worker, "ready");
    }

    fn write_store_entry(&self, worker: usize, state: &str) {
        let instance = &self.workers[worker];
        if let Some(stand_in) = &instance.stand_in {
            let entry = stand_in.entry(SERVICE, data_centre(worker), state);
            self.store
                .put("servers", &instance_id(instance.number), &entry);
        }
    }

    /// Removes the entry of a worker instance, given by its number, that has ended.
    pub(crate) fn remove_store_entry(&self, instance: usize) {
        self.store.remove("servers", &instance_id(instance));
    }

    /// Sets the store entry of a worker to `draining`.
    pub(crate) fn announce_draining(&self, worker: usize) {
        self.write_store_entry(worker, "draining");
    }

    /// Starts a new instance of a worker, under a new id, unless the worker is running.
    pub(crate) async fn start_worker(&mut self, worker: usize) -> Result<(), SoakError> {
        if self.workers[worker].stand_in.is_some() {
            return Ok(());
        }
        self.instance_count += 1;
        let number = self.instance_count;
        let plan = WorkerPlan {
            id: instance_id(number),
            run_time: Duration::from_millis(RUN_TIMES_MS[worker % RUN_TIMES_MS.len()]),
            initial_clock_ms: 400_000 + 10_000 * number as u64,
            clock_rate: CLOCK_RATES[number % CLOCK_RATES.len()],
            born: Some(FIRST_START_MS + number as u64),
        };
        let stand_in = WorkerStandIn::start(plan).await;
        for (node, view) in self.store_views.iter().enumerate() {
            let link = worker_link(number, node);
            let address = self.forwarder.add_link(&link, stand_in.address())?;
            view.override_address(&instance_id(number), address);
        }
        self.workers[worker] = WorkerInstance {
            number,
            stand_in: Some(stand_in),
        };
        self.write_ready_entry(worker);
        Ok(())
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

    /// Takes all runs so far, including those of ended instances.
    pub(crate) fn take_runs(&mut self) -> Vec<RunTrace> {
        let mut runs = std::mem::take(&mut self.runs);
        for (worker, instance) in self.workers.iter().enumerate() {
            if let Some(stand_in) = &instance.stand_in {
                runs.extend(run_traces(stand_in, worker, instance.number, self.began));
            }
        }
        runs
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

fn run_traces(
    stand_in: &WorkerStandIn,
    worker: usize,
    instance: usize,
    began: Instant,
) -> Vec<RunTrace> {
    let since = |at: Instant| at.saturating_duration_since(began);
    let mut traces = Vec::new();
    for run in stand_in.runs() {
        // Skips runs whose name is not a task id. Such a name would be a fault of its own, which no invariant covers.
        let Ok(task) = run.task.parse() else {
            continue;
        };
        traces.push(RunTrace {
            task,
            run: run.run,
            worker,
            instance,
            began: since(run.began),
            ended: run.ended.map(|(at, _)| since(at)),
            end: run.ended.map(|(_, how)| run_end(how)),
        });
    }
    traces
}

fn run_end(how: &str) -> RunEnd {
    match how {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "died" => RunEnd::Died,
        _ => RunEnd::Stopped,
    }
}

fn data_centre(number: usize) -> &'static str {
    DATA_CENTRES[number % DATA_CENTRES.len()]
}

fn node_name(number: usize) -> String {
    format!("node-{number}")
}

/// Returns the id under which a worker instance, given by its number, is listed in the store.
fn instance_id(instance: usize) -> String {
    format!("i-{instance}")
}

fn store_link(node: usize) -> String {
    format!("store {}", node_name(node))
}

fn worker_link(instance: usize, node: usize) -> String {
    format!("{} {}", instance_id(instance), node_name(node))
}

/// Returns a loopback address of the node's own, derived from the process id, so that the ports of concurrent soaks
/// do not collide.
fn node_ip(number: usize) -> IpAddr {
    let run = std::process::id();
    // The casts keep the lowest byte on purpose.
    let (high, low) = ((run >> 8) as u8, run as u8);
    let host = u8::try_from(number + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host))
}
