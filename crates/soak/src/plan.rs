//! Which faults a seed stands for.

use std::time::Duration;

use fastrand::Rng;
use platform_stand_ins::{ExecutorFault, StoreFault};
use stand_ins::forwarder::{CutConnect, LinkMode, OpenDirection};

/// What a run is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// Decides the faults and their times.
    pub seed: u64,
    /// How long faults go on. Some seconds of recovery come after them.
    pub fault_duration: Duration,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of workers. Two tasks fit on each.
    pub workers: usize,
    /// Jobs a second.
    pub rate: f64,
    /// Whether workers start again under their ids. Seeds that failed before there was that are played without.
    pub worker_restarts: bool,
}

impl Default for SoakPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            fault_duration: Duration::from_secs(20),
            nodes: 4,
            workers: 12,
            rate: 40.0,
            worker_restarts: true,
        }
    }
}

/// Something that goes wrong, or is changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A node is told to stop, and started again.
    Stop(usize),
    /// A node is killed, and started again after a while.
    Kill(usize, Duration),
    /// All nodes are killed at once.
    KillAll,
    /// A node stands still for a while.
    Freeze(usize, Duration),
    /// A node is told that its settings have changed.
    Reload(usize),
    /// What lies between a node and the store.
    StoreLink(usize, LinkMode, Duration),
    /// What lies between a worker and one node.
    WorkerLink(usize, usize, LinkMode, Duration),
    /// The store itself.
    Store(StoreFault, Duration),
    /// The store forgets its history.
    Forget,
    /// A worker.
    Worker(usize, ExecutorFault, Duration),
    /// A worker dies, and another life of it comes after a while.
    Crash(usize, Duration),
    /// A worker dies and starts again at once, under its id.
    StartAgain(usize),
    /// A worker says that it leaves, then does; another life of it comes after a while.
    Drain(usize),
    /// The configuration gets one more route.
    Configure,
}

/// When it happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultStep {
    /// From the start of the load.
    pub at: Duration,
    /// What.
    pub kind: FaultKind,
}

/// The bounds of a fault's length: below and above what the nodes' own limits are.
const FAULT_LENGTHS_MS: (u64, u64) = (100, 4_000);

/// The bounds of the time between two faults, so that they come in series and overlap.
const FAULT_GAPS_MS: (u64, u64) = (30, 900);

/// One seed in so many has planned work alone.
const PLANNED_ONLY_ONE_IN: u32 = 3;

/// The bounds of the time between two pieces of planned work.
const PLANNED_GAPS_MS: (u64, u64) = (100, 2_000);

/// The bounds of the time between two workers that start again under their ids.
const RESTART_GAPS_MS: (u64, u64) = (500, 4_000);

impl SoakPlan {
    /// The faults, in order of time.
    pub fn steps(&self) -> Vec<FaultStep> {
        let mut rng = Rng::with_seed(self.seed);
        // Bounds of time hold only where nothing unplanned is near, so some seeds have planned work alone.
        let planned_only = rng.u32(..PLANNED_ONLY_ONE_IN) == 0;
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(rng.u64(200..1_500));
        while at < self.fault_duration {
            let (kind, gaps) = match planned_only {
                true => (self.draw_planned_work(&mut rng), PLANNED_GAPS_MS),
                false => (self.draw_fault(&mut rng), FAULT_GAPS_MS),
            };
            steps.push(FaultStep { at, kind });
            at += Duration::from_millis(rng.u64(gaps.0..gaps.1));
        }
        if self.worker_restarts && !planned_only {
            // From a generator of their own: a seed's other faults stay what they were.
            self.add_worker_restarts(&mut rng.fork(), &mut steps);
        }
        steps
    }

    fn add_worker_restarts(&self, rng: &mut Rng, steps: &mut Vec<FaultStep>) {
        let mut at = Duration::ZERO;
        while at < self.fault_duration {
            at += Duration::from_millis(rng.u64(RESTART_GAPS_MS.0..RESTART_GAPS_MS.1));
            let kind = FaultKind::StartAgain(rng.usize(..self.workers));
            steps.push(FaultStep { at, kind });
        }
        steps.sort_by_key(|step| step.at);
    }

    fn draw_planned_work(&self, rng: &mut Rng) -> FaultKind {
        match rng.u32(..10) {
            0..4 => FaultKind::Stop(rng.usize(..self.nodes)),
            4..7 => FaultKind::Drain(rng.usize(..self.workers)),
            7 => FaultKind::Reload(rng.usize(..self.nodes)),
            _ => FaultKind::Configure,
        }
    }

    fn draw_fault(&self, rng: &mut Rng) -> FaultKind {
        let node = rng.usize(..self.nodes);
        let worker = rng.usize(..self.workers);
        let length = Duration::from_millis(rng.u64(FAULT_LENGTHS_MS.0..FAULT_LENGTHS_MS.1));
        match rng.u32(..100) {
            0..12 => FaultKind::Stop(node),
            12..20 => FaultKind::Kill(node, length),
            20..22 => FaultKind::KillAll,
            22..30 => FaultKind::Freeze(node, length),
            30..33 => FaultKind::Reload(node),
            33..43 => FaultKind::StoreLink(node, draw_link_mode(rng), length),
            43..58 => FaultKind::WorkerLink(worker, node, draw_link_mode(rng), length),
            58..66 => FaultKind::Store(draw_store_fault(rng), length),
            66..69 => FaultKind::Forget,
            69..82 => FaultKind::Worker(worker, draw_worker_fault(rng), length),
            82..87 => FaultKind::Crash(worker, length),
            87..93 => FaultKind::Drain(worker),
            _ => FaultKind::Configure,
        }
    }
}

fn draw_link_mode(rng: &mut Rng) -> LinkMode {
    let connects = CutConnect::Hang;
    match rng.u32(..5) {
        0 => LinkMode::Cut { connects },
        1 => LinkMode::OneWay {
            open: OpenDirection::Forward,
        },
        2 => LinkMode::OneWay {
            open: OpenDirection::Back,
        },
        3 => LinkMode::Reset,
        _ => LinkMode::Delay {
            ms: rng.u64(20..400),
        },
    }
}

fn draw_store_fault(rng: &mut Rng) -> StoreFault {
    match rng.u32(..3) {
        0 => StoreFault::Silent,
        1 => StoreFault::Busy,
        _ => StoreFault::AnswersLost,
    }
}

fn draw_worker_fault(rng: &mut Rng) -> ExecutorFault {
    match rng.u32(..5) {
        0 => ExecutorFault::Silent,
        1 => ExecutorFault::StartsUnanswered,
        2 => ExecutorFault::StartsLate,
        3 => ExecutorFault::FailsAll,
        _ => ExecutorFault::Hangs,
    }
}
