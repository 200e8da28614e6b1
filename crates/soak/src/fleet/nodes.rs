//! The processes of the nodes.

use std::{fs, io, net::SocketAddr, path::PathBuf, time::Duration};

use model::{LoadPolicies, PlacementPolicy, ReturnPolicy, RunTimePolicy, SharingPolicy};
use platform_stand_ins::StoreView;
use scenario::{ChildPlan, ChildProcess, ChildSignal};
use settings::NodeSettings;

use super::{
    names::{data_centre, node_ip, node_name, store_link},
    SoakFleet, STOP_GRACE,
};
use crate::{plan::SoakPlan, record::StopTrace, run::SoakError};

/// How long beyond [`STOP_GRACE`] a stop may take before it counts as hanging.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// The pause before a node that has exited is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// The log event of a node that becomes the owner of a pool.
const POOL_TAKEN: &str = "\"event\":\"pool_taken\"";

/// The log event of a node that is no longer the owner of a pool.
const POOL_RELEASED: &str = "\"event\":\"pool_released\"";

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

/// The policies for decisions under load of a node.
pub(super) fn load_policies(plan: &SoakPlan, number: usize) -> LoadPolicies {
    match plan.load_policies && number.is_multiple_of(2) {
        true => LoadPolicies {
            placement: PlacementPolicy::ExpectedEnd,
            sharing: SharingPolicy::MaxMin,
            returns: ReturnPolicy::Scheduled,
            run_times: RunTimePolicy::Distribution,
        },
        false => LoadPolicies::default(),
    }
}

impl SoakFleet {
    pub(super) fn add_node(
        &self,
        number: usize,
        view: &StoreView,
        load: LoadPolicies,
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
            load,
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

    pub(super) fn start_node(&mut self, number: usize) -> io::Result<()> {
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
}
