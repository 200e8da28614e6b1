//! Record of a soak run as observed from outside the nodes. All times are relative to the start of the run.

use std::time::Duration;

use jobs::{JobId, TaskId};

/// The part of the system that a fault may affect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// One node.
    Node(usize),
    /// One worker.
    Worker(usize),
    /// Some workers, which are not known beforehand.
    Workers,
    /// The store, and thereby all nodes.
    Store,
}

/// A period during which a fault or planned work was active.
#[derive(Clone, Debug, PartialEq)]
pub struct Disturbance {
    /// The affected part of the system.
    pub scope: FaultScope,
    /// Whether this was planned work: a stop that must not cut any request.
    pub planned: bool,
    /// When the period began.
    pub from: Duration,
    /// When the period ends.
    pub until: Duration,
}

/// How a customer's attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer with this HTTP status. It does not say that the job has failed.
    Answered(u16),
    /// A complete answer that says that the job has failed.
    Failed,
    /// The connection was refused, or broke before the answer was complete.
    Broken,
    /// The connection broke for the customer before the answer was complete, and stayed open at its node.
    Unheard,
    /// The customer stopped waiting.
    GaveUp,
}

/// One request of a customer to run a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTrace {
    /// The node that received the request.
    pub node: usize,
    /// When the request was sent.
    pub sent: Duration,
    /// When the attempt ended.
    pub ended: Duration,
    /// How the attempt ended.
    pub end: AttemptEnd,
}

impl AttemptTrace {
    /// Returns until when the attempt may be under way at its node. A node that does not hear of a break answers by the
    /// deadline that it was sent.
    pub fn under_way_until(&self, deadline: Duration) -> Duration {
        match self.end {
            AttemptEnd::Unheard => self.ended.max(self.sent + deadline),
            _ => self.ended,
        }
    }
}

/// One job as the customer observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTrace {
    /// The id of the job.
    pub id: JobId,
    /// The number of tasks.
    pub tasks: u32,
    /// How long the customer waits for each answer.
    pub deadline: Duration,
    /// The ended attempts, one after another.
    pub attempts: Vec<AttemptTrace>,
    /// When an attempt that has not ended was sent.
    pub open_since: Option<Duration>,
}

/// The state of a kept job that a node showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptState {
    /// The job is not final: queued or running.
    Open,
    /// All tasks are said to be done.
    Completed,
    /// The job is said to have failed.
    Failed,
    /// The job is said to be cancelled.
    Cancelled,
    /// The node says that no such job exists.
    Unknown,
}

impl KeptState {
    /// Returns whether the job never leaves this state.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// One answer of a node to the question for the state of a kept job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateRead {
    /// The node.
    pub node: usize,
    /// When the question was sent.
    pub sent: Duration,
    /// When it was answered.
    pub answered: Duration,
    /// The state in the answer.
    pub state: KeptState,
}

/// A kept job as its customer observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptTrace {
    /// The id of the job.
    pub id: JobId,
    /// The number of tasks.
    pub tasks: u32,
    /// Whether its task crashes every worker that runs it.
    pub crashes_workers: bool,
    /// How long the customer waits for each answer to a submission.
    pub deadline: Duration,
    /// The ended attempts to submit the job, one after another.
    pub attempts: Vec<AttemptTrace>,
    /// The answered questions for its state, by the time of the answer.
    pub reads: Vec<StateRead>,
    /// When its customer first asked to cancel it.
    pub cancel_sent: Option<Duration>,
    /// When its cancellation was acknowledged.
    pub cancel_acknowledged: Option<Duration>,
}

impl KeptTrace {
    /// Returns when the customer was first told that the job is stored.
    pub fn accepted(&self) -> Option<Duration> {
        let mut attempts = self.attempts.iter();
        let first = attempts.find(|attempt| {
            matches!(
                attempt.end,
                AttemptEnd::Answered(200..300) | AttemptEnd::Failed
            )
        });
        first.map(|attempt| attempt.ended)
    }

    /// Returns the state that was shown last.
    pub fn last_state(&self) -> Option<KeptState> {
        self.reads.last().map(|read| read.state)
    }
}

/// One run of a task as the worker observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunTrace {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
    /// The index of the worker, which its replacements share.
    pub worker: usize,
    /// The number of the worker instance, counted across all workers. A replacement is a new instance; a restart under
    /// the same id is not.
    pub instance: usize,
    /// When the run began.
    pub began: Duration,
    /// When the run ended; `None` if it was still running at the end of the soak.
    pub ended: Option<Duration>,
    /// How the run ended; `None` if it was still running at the end of the soak.
    pub end: Option<RunEnd>,
    /// When its end was acknowledged, if the worker's lease had not expired since the end.
    pub acknowledged: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The task was done.
    Done,
    /// The run failed.
    Failed,
    /// The worker crashed or restarted.
    Died,
    /// The run was stopped, or its lease expired.
    Stopped,
}

/// What a node says of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteAnswer {
    /// The node knows the route.
    Known,
    /// The node says for good that there is no such route.
    Unknown,
    /// The node cannot say: its configuration may be out of date, or it is not ready.
    NotReady,
}

/// The answer of a node to a probe for a route of the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeTrace {
    /// The node.
    pub node: usize,
    /// How many times the process of the node had been started.
    pub start_count: usize,
    /// The configuration version that added the route.
    pub version: u64,
    /// When the version was written to the store.
    pub written: Duration,
    /// When the probe was sent.
    pub asked: Duration,
    /// What the node said of the route.
    pub answer: RouteAnswer,
}

/// A worker that was announced as draining.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainTrace {
    /// The number of the worker instance.
    pub instance: usize,
    /// When its entry in the store was set to `draining`.
    pub announced: Duration,
}

/// A planned stop of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopTrace {
    /// The node.
    pub node: usize,
    /// When the node was asked to stop.
    pub requested: Duration,
    /// When its process was found to have exited.
    pub exited: Duration,
}

/// Everything recorded during a soak.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SoakRecord {
    /// Jobs submitted by customers.
    pub jobs: Vec<JobTrace>,
    /// Kept jobs submitted by customers.
    pub kept_jobs: Vec<KeptTrace>,
    /// Runs of tasks on workers.
    pub runs: Vec<RunTrace>,
    /// Probes of routes.
    pub probes: Vec<ProbeTrace>,
    /// Workers that were drained.
    pub drains: Vec<DrainTrace>,
    /// Planned stops of nodes.
    pub stops: Vec<StopTrace>,
    /// Periods of faults and planned work.
    pub disturbances: Vec<Disturbance>,
    /// How long after the end of an attempt runs of its job may begin while no other attempt is under way, if that is
    /// limited.
    pub stray_limit: Option<Duration>,
    /// When the last fault had ended.
    pub healed: Duration,
    /// When the soak ended.
    pub ended: Duration,
}

impl SoakRecord {
    /// Returns whether no unplanned fault of the store, a node or a worker was active at any time in `from..=until`.
    pub fn has_no_unplanned_fault(&self, from: Duration, until: Duration) -> bool {
        let unplanned = self.disturbances.iter().filter(|fault| !fault.planned);
        let mut overlapping = unplanned.filter(|fault| fault.from <= until && fault.until >= from);
        overlapping.next().is_none()
    }

    /// Returns whether neither a fault nor planned work affected any node or the store at any time in `from..=until`.
    pub fn are_nodes_undisturbed(&self, from: Duration, until: Duration) -> bool {
        let mut overlapping = self.disturbances.iter().filter(|fault| {
            let affects_nodes = matches!(fault.scope, FaultScope::Store | FaultScope::Node(_));
            affects_nodes && fault.from <= until && fault.until >= from
        });
        overlapping.next().is_none()
    }

    /// Returns whether neither a fault nor planned work affected this node or the store at any time in `from..=until`.
    pub fn is_node_undisturbed(&self, node: usize, from: Duration, until: Duration) -> bool {
        let mut overlapping = self.disturbances.iter().filter(|fault| {
            let affects_node =
                matches!(fault.scope, FaultScope::Store) || fault.scope == FaultScope::Node(node);
            affects_node && fault.from <= until && fault.until >= from
        });
        overlapping.next().is_none()
    }
}
