//! What was seen from outside while a soak ran. All times count from its start.

use std::time::Duration;

use jobs::{JobId, TaskId};

/// What a fault may affect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// One node.
    Node(usize),
    /// One worker.
    Worker(usize),
    /// The store, and so all nodes.
    Store,
}

/// A time in which something was wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Disturbance {
    /// Where.
    pub scope: FaultScope,
    /// Whether it was planned work: a stop that is to cut nothing.
    pub planned: bool,
    /// From when.
    pub from: Duration,
    /// Until when; the soak's end if it was not mended before.
    pub until: Duration,
}

/// How an attempt of a customer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection was refused, or broke before a whole answer.
    Broken,
    /// The customer gave up.
    GaveUp,
}

/// One attempt of a customer to have a job run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTrace {
    /// The node that was asked.
    pub node: usize,
    /// When the request was sent.
    pub sent: Duration,
    /// When the attempt ended.
    pub ended: Duration,
    /// How.
    pub end: AttemptEnd,
}

/// One job, from the customer's side.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTrace {
    /// The job.
    pub id: JobId,
    /// Its number of tasks.
    pub tasks: u32,
    /// How long the customer waits for each answer.
    pub deadline: Duration,
    /// The attempts, one after another.
    pub attempts: Vec<AttemptTrace>,
}

/// One run, from the worker's side.
#[derive(Clone, Debug, PartialEq)]
pub struct RunTrace {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The worker, which is one of several lives at the same place.
    pub worker: usize,
    /// The life: its number over all workers.
    pub life: usize,
    /// When it began.
    pub began: Duration,
    /// When it ended; none if it still ran at the soak's end.
    pub ended: Option<Duration>,
    /// Whether it ended as done.
    pub done: bool,
}

/// Whether a node knew a route of the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeTrace {
    /// The node.
    pub node: usize,
    /// Which life of the node's process.
    pub life: usize,
    /// The version with which the route came.
    pub version: u64,
    /// When that version was written.
    pub written: Duration,
    /// When the node was asked.
    pub asked: Duration,
    /// Whether it knew the route.
    pub known: bool,
}

/// A worker that was said to leave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainTrace {
    /// The worker's life.
    pub life: usize,
    /// When its entry said so.
    pub announced: Duration,
}

/// A planned stop of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopTrace {
    /// The node.
    pub node: usize,
    /// When it was told to stop.
    pub requested: Duration,
    /// When its process was gone.
    pub exited: Duration,
}

/// All that was seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SoakRecord {
    /// Jobs.
    pub jobs: Vec<JobTrace>,
    /// Runs.
    pub runs: Vec<RunTrace>,
    /// Probes of routes.
    pub probes: Vec<ProbeTrace>,
    /// Workers that left.
    pub drains: Vec<DrainTrace>,
    /// Planned stops.
    pub stops: Vec<StopTrace>,
    /// Faults.
    pub disturbances: Vec<Disturbance>,
    /// From when on nothing was wrong any more.
    pub healed: Duration,
    /// When the soak ended.
    pub ended: Duration,
}

impl SoakRecord {
    /// Whether nothing unplanned was wrong with the store, a node or a worker in a time.
    pub fn has_no_unplanned_fault(&self, from: Duration, until: Duration) -> bool {
        let unplanned = self.disturbances.iter().filter(|fault| !fault.planned);
        let mut overlapping = unplanned.filter(|fault| fault.from <= until && fault.until >= from);
        overlapping.next().is_none()
    }

    /// Whether nothing was wrong with a node or the store in a time.
    pub fn is_node_undisturbed(&self, node: usize, from: Duration, until: Duration) -> bool {
        let mut overlapping = self.disturbances.iter().filter(|fault| {
            let affects_node =
                matches!(fault.scope, FaultScope::Store) || fault.scope == FaultScope::Node(node);
            affects_node && fault.from <= until && fault.until >= from
        });
        overlapping.next().is_none()
    }
}
