//! Generates the sequence of faults from a seed.

mod crash_series;

use std::time::Duration;

use fastrand::Rng;
use platform_stand_ins::{StoreFault, WorkerFault};
use stand_ins::forwarder::{CutConnect, LinkMode, OpenDirection};

/// Parameters of one soak run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// Seed that determines the faults and their times.
    pub seed: u64,
    /// How long faults are injected. Some seconds of recovery follow.
    pub fault_duration: Duration,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of workers. Each runs up to two tasks at a time.
    pub workers: usize,
    /// Submitted jobs per second.
    pub rate: f64,
    /// Whether workers are restarted under their ids. Known seeds are replayed without it, since they failed in runs
    /// that had no such restarts.
    pub worker_restarts: bool,
    /// Whether owners of pools are frozen beside the other faults. Known seeds are replayed without it, like
    /// `worker_restarts`.
    pub owner_freezes: bool,
    /// Whether workers crash in series and some tasks crash their workers. Known seeds are replayed without it, like
    /// `worker_restarts`.
    pub crash_series: bool,
    /// Whether all connections to the store go silent now and then. Known seeds are replayed without it, like
    /// `worker_restarts`.
    pub store_silences: bool,
    /// Whether every second node decides under load by the policies that are not the default. Nodes of a fleet may differ
    /// while their settings are being changed.
    pub load_policies: bool,
    /// Which faults are injected.
    pub faults: FaultMix,
    /// What customers submit, and what they do without an answer.
    pub customers: CustomerPlan,
    /// How long after the end of an attempt runs of its job may begin while no other attempt is under way. `None` if the
    /// faults let that be as long as the leases of workers.
    pub stray_limit: Option<Duration>,
}

/// Which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMix {
    /// Faults of all kinds, drawn by the seed.
    All,
    /// Only freezes, of one owner of a pool after the other.
    Freezes(FreezePlan),
    /// Only workers that crash in series, and tasks that crash their workers.
    CrashSeries,
    /// Only faults of single nodes, and silences of the store, which may overlap.
    SingleNodes,
    /// Only divisions of the workers among more pools, most while writes to the store are late.
    Divisions,
    /// No faults. The load lasts as long as the recovery after the last fault does otherwise.
    None,
}

/// Parameters of a soak that only freezes owners. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreezePlan {
    /// Bounds of the length of a freeze.
    pub lengths_ms: (u64, u64),
    /// Bounds of the time from the end of a freeze to the next one.
    pub gaps_ms: (u64, u64),
    /// Whether the store is silent during each freeze, so that no node takes the pool over meanwhile.
    pub silent_store: bool,
}

impl Default for FreezePlan {
    fn default() -> Self {
        Self {
            lengths_ms: (300, 3_000),
            gaps_ms: (500, 1_500),
            silent_store: false,
        }
    }
}

/// What customers submit, and what they do without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerPlan {
    /// The most tasks of a job that is not long.
    pub max_tasks: u32,
    /// The share of long jobs. Their only run takes [`CustomerPlan::long_run`] on every worker, or a time of their own.
    pub long_share: f64,
    /// How long the run of a long job takes.
    pub long_run: Duration,
    /// The share of long jobs whose run takes a time of their own, which their customers only estimate.
    pub varied_share: f64,
    /// Bounds of the run times of these jobs, in milliseconds.
    pub varied_runs_ms: (u64, u64),
    /// The share of kept jobs among all jobs.
    pub kept_share: f64,
    /// The most steps of a kept job.
    pub kept_steps: u32,
    /// The share of kept jobs with a task that always fails.
    pub kept_failing_share: f64,
    /// The share of attempts that customers abandon early.
    pub early_leave_share: f64,
    /// The share of attempts whose connection breaks if their node is frozen.
    pub reset_share: f64,
    /// The share of attempts whose connection breaks, while it stays open at its node.
    pub unheard_share: f64,
    /// The number of clients that do not behave, beside the customers.
    pub misbehaving_clients: usize,
}

impl Default for CustomerPlan {
    fn default() -> Self {
        Self {
            max_tasks: 6,
            long_share: 0.15,
            long_run: Duration::from_millis(900),
            varied_share: 0.5,
            varied_runs_ms: (100, 2_000),
            kept_share: 0.08,
            kept_steps: 3,
            kept_failing_share: 0.1,
            early_leave_share: 0.04,
            reset_share: 0.5,
            unheard_share: 0.15,
            misbehaving_clients: 0,
        }
    }
}

impl CustomerPlan {
    /// Only jobs that are not kept with the workers' own run times, and no broken connections, as in the runs in which
    /// known seeds failed.
    pub fn short_jobs() -> Self {
        Self {
            long_share: 0.0,
            kept_share: 0.0,
            reset_share: 0.0,
            ..Self::heard_breaks()
        }
    }

    /// Nodes hear of every break of a connection, all long jobs take the same time and kept jobs have one step, as before
    /// there were others. Customers draw the same numbers as then.
    pub fn heard_breaks() -> Self {
        Self {
            varied_share: 0.0,
            unheard_share: 0.0,
            kept_steps: 1,
            kept_failing_share: 0.0,
            ..Self::default()
        }
    }
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
            owner_freezes: true,
            crash_series: true,
            store_silences: true,
            load_policies: false,
            faults: FaultMix::All,
            customers: CustomerPlan::default(),
            stray_limit: None,
        }
    }
}

/// A fault, or a planned change such as a stop, a drain or a new route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Asks a node to stop, then starts it again.
    Stop(usize),
    /// Kills a node and starts it again after this time.
    Kill(usize, Duration),
    /// Kills all nodes at once.
    KillAll,
    /// Freezes the process of a node for this time.
    Freeze(usize, Duration),
    /// Freezes the process of the node that owns a pool for this time. The number selects one of the owners.
    FreezeOwner(usize, Duration),
    /// Signals a node to reload its settings.
    Reload(usize),
    /// Sets the mode of the link between a node and the store for this time.
    StoreLink(usize, LinkMode, Duration),
    /// Sets the mode of the link between a worker and a node for this time.
    WorkerLink(usize, usize, LinkMode, Duration),
    /// Sets a fault of the store for this time.
    Store(StoreFault, Duration),
    /// Truncates the history of the store.
    Forget,
    /// Makes all open connections to the store go silent for good.
    SilenceStore,
    /// Leaves a share of the writes to the store unanswered for this time, and carries them out 1 to 6 s later.
    LateWrites(Duration),
    /// Divides the workers of each data centre among this many pools.
    Divide(u32),
    /// Sets a fault of a worker for this time.
    Worker(usize, WorkerFault, Duration),
    /// Crashes a worker; a new one under another id replaces it after this time.
    Crash(usize, Duration),
    /// Restarts a worker at once under the same id.
    StartAgain(usize),
    /// Restarts this many workers, each just as it is sent a task under which a worker has died.
    TrapSuspects(u32),
    /// Submits a kept job whose task crashes every worker that runs it.
    CrashingJob,
    /// Sets the store entry of a worker to `draining`, then stops the worker; a new one under another id replaces it
    /// later.
    Drain(usize),
    /// Adds a route to the configuration.
    Configure,
}

/// A fault and when it is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultStep {
    /// Time since the start of the load.
    pub at: Duration,
    /// The fault.
    pub kind: FaultKind,
}

/// Bounds of a fault's duration, in milliseconds. The range reaches below and above the nodes' own time limits.
const FAULT_LENGTHS_MS: (u64, u64) = (100, 4_000);

/// Bounds of the time between the starts of two faults, in milliseconds, so that faults both follow each other and
/// overlap.
const FAULT_GAPS_MS: (u64, u64) = (30, 900);

/// One seed in this many gets planned work only.
const PLANNED_ONLY_ONE_IN: u32 = 3;

/// Bounds of the time between two pieces of planned work, in milliseconds.
const PLANNED_GAPS_MS: (u64, u64) = (100, 2_000);

/// Bounds of the time between the starts of two freezes of owners, in milliseconds.
const OWNER_FREEZE_GAPS_MS: (u64, u64) = (1_500, 4_500);

/// Bounds of the time between two silences of the store's connections, in milliseconds.
const SILENCE_GAPS_MS: (u64, u64) = (2_500, 8_000);

/// How much longer than a freeze the store is silent, so that the woken owner has time to read its sockets.
const SILENCE_MARGIN: Duration = Duration::from_millis(200);

/// Bounds of the time between the starts of two faults of single nodes, in milliseconds.
const SINGLE_GAPS_MS: (u64, u64) = (700, 2_000);

/// Bounds of the time until a killed single node is started again, in milliseconds.
const QUICK_RESTARTS_MS: (u64, u64) = (1, 120);

/// Bounds of the time for which the store is silent beside faults of single nodes, in milliseconds.
const STORE_AWAY_MS: (u64, u64) = (2_000, 5_000);

/// Bounds of the time between two divisions of the workers, in milliseconds.
const DIVISION_GAPS_MS: (u64, u64) = (1_500, 6_000);

/// The most pools into which a data centre's workers are divided.
const MAX_GROUPS: u32 = 4;

/// The share of divisions while writes are late, and the bounds of the time from the first late write to the division, in
/// milliseconds.
const LATE_DIVISION_SHARE: f64 = 0.8;
const LATE_LEAD_MS: (u64, u64) = (0, 600);

/// For how long writes are late: the limit of the users' sites.
const LATE_WRITE_TIME: Duration = Duration::from_millis(4_500);

/// Bounds of the time between two worker restarts under the same id, in milliseconds.
const RESTART_GAPS_MS: (u64, u64) = (500, 4_000);

impl SoakPlan {
    /// Returns the faults in order of time. The same plan always gives the same faults.
    pub fn steps(&self) -> Vec<FaultStep> {
        let mut rng = Rng::with_seed(self.seed);
        match self.faults {
            FaultMix::All => self.mixed_steps(&mut rng),
            FaultMix::Freezes(freezes) => self.freeze_steps(&mut rng, freezes),
            FaultMix::CrashSeries => {
                let mut steps = Vec::new();
                crash_series::add_crash_series(&mut rng, self, &mut steps);
                steps
            }
            FaultMix::SingleNodes => self.single_node_steps(&mut rng),
            FaultMix::Divisions => self.division_steps(&mut rng),
            FaultMix::None => Vec::new(),
        }
    }

    /// The number of pools only grows, as nodes let it only grow.
    fn division_steps(&self, rng: &mut Rng) -> Vec<FaultStep> {
        let mut steps = Vec::new();
        let mut at = draw_time(rng, DIVISION_GAPS_MS);
        for groups in 2..=MAX_GROUPS {
            if at >= self.fault_duration {
                break;
            }
            if rng.f64() < LATE_DIVISION_SHARE {
                let before = draw_time(rng, LATE_LEAD_MS);
                let kind = FaultKind::LateWrites(LATE_WRITE_TIME);
                let at = at.saturating_sub(before);
                steps.push(FaultStep { at, kind });
            }
            let kind = FaultKind::Divide(groups);
            steps.push(FaultStep { at, kind });
            at += draw_time(rng, DIVISION_GAPS_MS);
        }
        steps
    }

    fn mixed_steps(&self, rng: &mut Rng) -> Vec<FaultStep> {
        // Some time limits are checked only while no unplanned fault is active, so some seeds have planned work only.
        let planned_only = rng.u32(..PLANNED_ONLY_ONE_IN) == 0;
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(rng.u64(200..1_500));
        while at < self.fault_duration {
            let (kind, gaps) = match planned_only {
                true => (self.draw_planned_work(rng), PLANNED_GAPS_MS),
                false => (self.draw_fault(rng), FAULT_GAPS_MS),
            };
            steps.push(FaultStep { at, kind });
            at += Duration::from_millis(rng.u64(gaps.0..gaps.1));
        }
        if self.worker_restarts && !planned_only {
            // Restarts use a forked generator, so that the other faults of a seed stay the same.
            self.add_worker_restarts(&mut rng.fork(), &mut steps);
        }
        if self.owner_freezes && !planned_only {
            self.add_owner_freezes(&mut rng.fork(), &mut steps);
        }
        if self.crash_series && !planned_only {
            crash_series::add_crash_series(&mut rng.fork(), self, &mut steps);
        }
        if self.store_silences && !planned_only {
            self.add_store_silences(&mut rng.fork(), &mut steps);
        }
        steps
    }

    fn freeze_steps(&self, rng: &mut Rng, freezes: FreezePlan) -> Vec<FaultStep> {
        let FreezePlan {
            lengths_ms,
            gaps_ms,
            silent_store,
        } = freezes;
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(rng.u64(gaps_ms.0..gaps_ms.1));
        for number in 0.. {
            if at >= self.fault_duration {
                break;
            }
            let length = Duration::from_millis(rng.u64(lengths_ms.0..lengths_ms.1));
            let kind = FaultKind::FreezeOwner(number, length);
            steps.push(FaultStep { at, kind });
            if silent_store {
                let kind = FaultKind::Store(StoreFault::Silent, length + SILENCE_MARGIN);
                steps.push(FaultStep { at, kind });
            }
            at += length + Duration::from_millis(rng.u64(gaps_ms.0..gaps_ms.1));
        }
        steps
    }

    fn single_node_steps(&self, rng: &mut Rng) -> Vec<FaultStep> {
        let mut steps = Vec::new();
        let mut at = draw_time(rng, SINGLE_GAPS_MS);
        while at < self.fault_duration {
            let node = rng.usize(..self.nodes);
            let kind = match rng.u32(..4) {
                0 => FaultKind::Kill(node, draw_time(rng, QUICK_RESTARTS_MS)),
                1 => FaultKind::Stop(node),
                2 => FaultKind::Freeze(node, draw_time(rng, FreezePlan::default().lengths_ms)),
                _ => FaultKind::Store(StoreFault::Silent, draw_time(rng, STORE_AWAY_MS)),
            };
            steps.push(FaultStep { at, kind });
            at += draw_time(rng, SINGLE_GAPS_MS);
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

    /// Adds silences of the store's connections, some followed by a change of the configuration.
    fn add_store_silences(&self, rng: &mut Rng, steps: &mut Vec<FaultStep>) {
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.u64(SILENCE_GAPS_MS.0..SILENCE_GAPS_MS.1));
            if at >= self.fault_duration {
                break;
            }
            let kind = FaultKind::SilenceStore;
            steps.push(FaultStep { at, kind });
            if rng.bool() {
                let at = at + Duration::from_millis(rng.u64(..SILENCE_GAPS_MS.0));
                let kind = FaultKind::Configure;
                steps.push(FaultStep { at, kind });
            }
        }
        steps.sort_by_key(|step| step.at);
    }

    fn add_owner_freezes(&self, rng: &mut Rng, steps: &mut Vec<FaultStep>) {
        let lengths_ms = FreezePlan::default().lengths_ms;
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.u64(OWNER_FREEZE_GAPS_MS.0..OWNER_FREEZE_GAPS_MS.1));
            if at >= self.fault_duration {
                break;
            }
            let length = Duration::from_millis(rng.u64(lengths_ms.0..lengths_ms.1));
            let kind = FaultKind::FreezeOwner(rng.usize(..self.nodes), length);
            steps.push(FaultStep { at, kind });
            // Otherwise another node takes the pool over, and workers turn the woken owner's starts away.
            let kind = FaultKind::Store(StoreFault::Silent, length + SILENCE_MARGIN);
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

fn draw_time(rng: &mut Rng, bounds_ms: (u64, u64)) -> Duration {
    Duration::from_millis(rng.u64(bounds_ms.0..bounds_ms.1))
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

fn draw_worker_fault(rng: &mut Rng) -> WorkerFault {
    match rng.u32(..5) {
        0 => WorkerFault::Silent,
        1 => WorkerFault::StartsUnanswered,
        2 => WorkerFault::StartsLate,
        3 => WorkerFault::FailsAll,
        _ => WorkerFault::Hangs,
    }
}
