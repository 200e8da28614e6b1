//! A pool with simulated workers in simulated time. Messages take time to arrive, runs take time and faults happen; the
//! invariants are checked at every millisecond.

#![allow(dead_code, reason = "not every test file uses all of it")]

pub(crate) mod attempts;
pub(crate) mod crashing;
pub(crate) mod fleet;
mod link;
pub(crate) mod results;
mod worker;

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use jobs::{
    CpuMillis, EndCause, FenceToken, InstanceId, JobAttemptId, JobId, JobOutcome, JobRequest,
    JobTerms, KeptRow, KeptState, MemoryMegabytes, RefusalKind, ResourceDemand, ServiceId,
    StepSpec, TaskId, WorkerClock, WorkerRecord, WorkerStartTime, WorkerState, WriteId,
};
use model::DataCentreId;
use pool::{
    AttemptLookup, AttemptRegistration, CallFailure, ForeignEnd, ForeignEndResult, FoundJob,
    KeptSnapshot, KeptWrite, KeptWriteResult, PollAnswer, PollOrder, PoolAction, PoolEvent,
    PoolInit, PoolSettings, ShareUse, StartAnswer, StartOrder, StopAnswer, StopOrder, WaiterId,
    WorkerPool,
};

use attempts::AttemptTable;
use crashing::CrashPlan;
use link::{SimulatedLink, ANSWER_BYTES, LISTING_BYTES, POLL_BYTES, START_BYTES, STOP_BYTES};
use results::JobResult;
use worker::SimulatedRun;
pub(crate) use worker::{SimulatedWorker, WorkerFault};

/// The longest lease that a worker grants, in milliseconds.
const MAX_LEASE_MS: u64 = 1_000;

/// The one-way latency between the owner and a worker, in milliseconds.
const ONE_WAY_MS: u64 = 1;

pub(crate) const SERVICE: &str = "svc";

/// How long the store takes for a transaction, in milliseconds.
const STORE_TIME_MS: u64 = 12;

/// The time between two contacts with the store, in milliseconds.
const CONTACT_INTERVAL_MS: u64 = 300;

/// Identifies a call. At most one answer to a call counts.
type CallNumber = u64;

/// What a message does when it is delivered. The time in polls is when the poll was sent, in milliseconds.
enum Event {
    Start(CallNumber, StartOrder),
    Stop(CallNumber, StopOrder),
    Poll(CallNumber, PollOrder, u64),
    StartOverdue(CallNumber, StartOrder),
    StartAnswer(CallNumber, StartOrder, StartAnswer),
    StopAnswer(CallNumber, StopOrder, StopAnswer),
    PollAnswer(CallNumber, PollOrder, u64, PollAnswer),
    WriteRow(KeptWrite),
    StoreForeignEnd(FenceToken, ForeignEnd),
    FindAttempts(FenceToken, JobId, Option<JobAttemptId>),
    RegisterAttempt(FenceToken, AttemptRegistration),
    AttemptLookup(FenceToken, JobId, AttemptLookup),
    AttemptRegistered(FenceToken, AttemptRegistration, Option<u64>),
}

/// An event to be delivered at a simulated time. Messages of the same time are delivered in the order of their numbers.
struct Message {
    /// The time of delivery, in milliseconds.
    due: u64,
    serial: u64,
    event: Event,
}

impl PartialEq for Message {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.serial) == (other.due, other.serial)
    }
}
impl Eq for Message {}
impl PartialOrd for Message {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Message {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.serial).cmp(&(self.due, self.serial))
    }
}

/// A job without an answer. Times are in milliseconds.
struct OpenJob {
    /// The index of its kind in `KINDS`.
    kind: usize,
    arrived: u64,
    /// The latency objective computed from the true work.
    objective: f64,
    /// The work of each task, by step: its run time on a worker of speed 1.
    steps: Vec<Vec<f64>>,
    /// The CPU demand of each task, in thousandths of a core.
    cpu: u64,
}

/// A read that finds no kept job.
pub(crate) fn empty_snapshot(began: Instant) -> KeptSnapshot {
    KeptSnapshot {
        began,
        version: 0,
        jobs: Vec::new(),
        unreadable: Vec::new(),
    }
}

/// A pool and its simulated workers.
pub(crate) struct Simulation {
    pub(crate) pool: WorkerPool,
    /// The settings of the present owner and its successors.
    settings: PoolSettings,
    pub(crate) workers: BTreeMap<InstanceId, SimulatedWorker>,
    pub(crate) rng: Rng,
    /// The simulated time, in milliseconds.
    pub(crate) now: u64,
    pub(crate) results: Vec<JobResult>,
    open: BTreeMap<JobId, OpenJob>,
    /// The work of the tasks, by step, and their CPU demand for every job ever submitted. A delayed start needs them
    /// after its job has ended.
    known: BTreeMap<JobId, (Vec<Vec<f64>>, u64)>,
    origin: Instant,
    messages: BinaryHeap<Message>,
    serial: u64,
    fence: u64,
    /// The number of steps in each job of the traffic.
    pub(crate) steps: usize,
    /// The rows of kept jobs and their versions in the simulated store.
    pub(crate) rows: BTreeMap<JobId, (KeptRow, u64)>,
    /// Whether the store answers.
    pub(crate) store_up: bool,
    /// Whether the store confirms the owner's claim.
    pub(crate) claim_confirmable: bool,
    /// Whether submitted jobs are kept jobs.
    pub(crate) submits_kept: bool,
    /// The writes that wait until the store is available again.
    waiting_writes: Vec<KeptWrite>,
    /// The jobs whose rows lie in a partition of the store that is unavailable.
    pub(crate) stalled_jobs: BTreeSet<JobId>,
    /// The ends that other pools' jobs get once their partition is available again.
    waiting_foreign_ends: Vec<(FenceToken, ForeignEnd)>,
    /// The owner's link, in the direction of the workers.
    uplink: SimulatedLink,
    downlink: SimulatedLink,
    /// Calls without an answer, and the fencing token under which they were sent.
    open_calls: BTreeMap<CallNumber, FenceToken>,
    /// Tasks of which a completed run was acknowledged.
    acknowledged_done: BTreeSet<TaskId>,
    /// Whether a task must not start again after that, which holds for kept jobs while no lease expires.
    pub(crate) done_is_final: bool,
    /// The number of starts that were sent.
    pub(crate) starts_sent: u64,
    /// The ends that the pool had stored in rows of other pools' jobs.
    pub(crate) foreign_ends: Vec<(InstanceId, u64)>,
    /// The age of jobs when they are submitted, in milliseconds.
    pub(crate) waited: u64,
    /// The data centre from which jobs are submitted.
    pub(crate) sender: Option<DataCentreId>,
    /// Whether submitted jobs are parts of divided jobs.
    pub(crate) firm: bool,
    /// The jobs whose ends the pool has begun to store.
    pub(crate) ends_being_stored: BTreeSet<JobId>,
    /// The tasks that fail wherever they run.
    poison: BTreeSet<TaskId>,
    evacuated: bool,
    /// Whether the pool was given up.
    pub(crate) released: bool,
    pub(crate) crashes: CrashPlan,
    /// How long the runs of ended jobs outlived them, by the pool's reports.
    pub(crate) overruns: Vec<Duration>,
    /// Why each job was refused, and the share of its class.
    pub(crate) admissions: Vec<(Option<RefusalKind>, Option<ShareUse>)>,
    /// The jobs that returned in their turn, by the pool's reports.
    pub(crate) kept_returns: Vec<JobId>,
    /// Whether a worker's capacity has just changed, so that starts in transit may exceed it.
    resize_in_flight: bool,
    /// How long a worker takes to restart, in milliseconds.
    pub(crate) restart_time: u64,
    /// Whether polls that arrive while a worker restarts break off once it has started, rather than go unanswered.
    pub(crate) breaks_polls_at_start: bool,
    /// Until when the owner's process is frozen, in simulated milliseconds.
    owner_frozen_until: u64,
    /// The kind and the estimate of every job ever submitted.
    submissions: BTreeMap<JobId, (usize, f64)>,
    /// The registered attempts in the store, which pools may share.
    pub(crate) attempts: AttemptTable,
    /// The attempt that the next submissions belong to. None if each is an attempt of its own.
    pub(crate) attempt_id: Option<JobAttemptId>,
}

/// A kind of job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobKind {
    pub(crate) name: &'static str,
    /// The number of jobs per second.
    pub(crate) per_second: f64,
    /// The mean number of tasks in a step.
    pub(crate) tasks: f64,
    /// The mean run time of a task on a worker of speed 1, in milliseconds.
    pub(crate) work_ms: f64,
    /// The priority; 0 is the highest.
    pub(crate) priority: u32,
}

/// The three kinds of jobs of the Trust, a user with lesson diaries, with a third of its traffic.
pub(crate) const KINDS: [JobKind; 3] = [
    JobKind {
        name: "lessonhold",
        per_second: 11.5,
        tasks: 8.0,
        work_ms: 60.0,
        priority: 0,
    },
    JobKind {
        name: "weekredo",
        per_second: 2.1,
        tasks: 4.0,
        work_ms: 900.0,
        priority: 2,
    },
    JobKind {
        name: "testcheck",
        per_second: 33.0,
        tasks: 2.0,
        work_ms: 200.0,
        priority: 1,
    },
];

pub(crate) fn worker_record(number: usize, cpu: u64) -> WorkerRecord {
    WorkerRecord {
        instance: InstanceId::from(format!("i-{number:02}").as_str()),
        born: None,
        service: ServiceId::from(SERVICE),
        address: ([127, 0, 0, 1], 9_000 + u16::try_from(number).unwrap()).into(),
        data_centre: "east".parse().unwrap(),
        state: WorkerState::Ready,
        capacity: ResourceDemand {
            cpu: CpuMillis(cpu),
            memory: MemoryMegabytes(32_768),
            accelerators: 0,
        },
        labels: vec![Arc::from("a"), Arc::from("r1-1")],
    }
}

/// The state in the row of a kept job, if it has one.
pub(crate) fn state(simulation: &Simulation, job: JobId) -> Option<KeptState> {
    simulation.rows.get(&job).map(|(row, _)| row.state)
}

impl Simulation {
    /// A pool of workers in one data centre, with the sizes and speeds of the Trust's.
    pub(crate) fn new(seed: u64, workers: usize) -> Self {
        Self::with_settings(seed, workers, PoolSettings::default())
    }

    /// As [`Self::new`], for tests whose jobs are kept ones.
    pub(crate) fn of_kept_jobs(workers: usize) -> Self {
        let mut simulation = Self::new(1, workers);
        simulation.submits_kept = true;
        simulation.run_for(300);
        simulation
    }

    /// The number of runs that ended as done, for each task, over all workers.
    pub(crate) fn done_runs(&self) -> BTreeMap<TaskId, usize> {
        let mut counts = BTreeMap::new();
        for worker in self.workers.values() {
            for task in worker.done_tasks() {
                *counts.entry(task).or_insert(0) += 1;
            }
        }
        counts
    }

    /// The number of runs of a job's tasks that ended as done.
    pub(crate) fn done_runs_of(&self, job: JobId) -> usize {
        let runs = self.done_runs().into_iter();
        runs.filter(|(task, _)| task.job == job)
            .map(|(_, count)| count)
            .sum()
    }

    /// As [`Self::new`], with other settings.
    pub(crate) fn with_settings(seed: u64, workers: usize, settings: PoolSettings) -> Self {
        let origin = Instant::now();
        let init = PoolInit {
            settings: settings.clone(),
            ..pool_init(1)
        };
        let mut simulation = Self {
            pool: WorkerPool::new(init, origin),
            settings,
            workers: BTreeMap::new(),
            rng: Rng::with_seed(seed),
            now: 0,
            results: Vec::new(),
            open: BTreeMap::new(),
            known: BTreeMap::new(),
            origin,
            messages: BinaryHeap::new(),
            serial: 0,
            fence: 1,
            steps: 1,
            rows: BTreeMap::new(),
            store_up: true,
            claim_confirmable: true,
            submits_kept: false,
            waiting_writes: Vec::new(),
            stalled_jobs: BTreeSet::new(),
            waiting_foreign_ends: Vec::new(),
            uplink: SimulatedLink::default(),
            downlink: SimulatedLink::default(),
            open_calls: BTreeMap::new(),
            acknowledged_done: BTreeSet::new(),
            done_is_final: false,
            starts_sent: 0,
            foreign_ends: Vec::new(),
            waited: 4,
            sender: None,
            firm: false,
            ends_being_stored: BTreeSet::new(),
            poison: BTreeSet::new(),
            evacuated: false,
            released: false,
            crashes: CrashPlan::default(),
            overruns: Vec::new(),
            admissions: Vec::new(),
            kept_returns: Vec::new(),
            resize_in_flight: false,
            restart_time: 0,
            breaks_polls_at_start: false,
            owner_frozen_until: 0,
            submissions: BTreeMap::new(),
            attempts: AttemptTable::default(),
            attempt_id: None,
        };
        simulation.pool.load_kept(origin, empty_snapshot(origin));
        for number in 0..workers {
            let cpu = if number % 3 == 2 { 24_000 } else { 16_000 };
            let speed = [0.8, 1.0, 1.25][number % 3];
            simulation.add_worker(worker_record(number, cpu), speed);
        }
        simulation.run_for(50);
        simulation
    }

    pub(crate) fn add_worker(&mut self, record: WorkerRecord, speed: f64) {
        let at = self.instant();
        self.pool.upsert_worker(at, record.clone());
        let clock_offset = self.rng.u64(1_000..500_000);
        let worker = SimulatedWorker {
            record: record.clone(),
            fault: WorkerFault::default(),
            speed,
            born: record.born,
            first_call: 0,
            resized: false,
            starting_until: 0,
            clock_offset,
            fence: 0,
            lease_end: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            acknowledged_end: 0,
            waiting_polls: Vec::new(),
        };
        self.workers.insert(record.instance, worker);
        self.execute_actions();
    }

    /// Limits the rate of the owner's link in each direction, in bytes per second.
    pub(crate) fn limit_link_rate(&mut self, rate: f64) {
        self.uplink.bytes_per_ms = Some(rate / 1_000.0);
        self.downlink.bytes_per_ms = Some(rate / 1_000.0);
    }

    pub(crate) fn instant(&self) -> Instant {
        self.origin + Duration::from_millis(self.now)
    }

    /// Replaces the owner with a new one under a higher fencing token, which knows none of the pool's jobs.
    pub(crate) fn change_owner(&mut self) {
        self.replace_owner();
        let at = self.instant();
        self.pool.load_kept(at, empty_snapshot(at));
        self.execute_actions();
    }

    /// As [`Self::change_owner`], but kept jobs have yet to be read.
    pub(crate) fn replace_owner(&mut self) {
        self.replace_owner_of("east/0");
    }

    /// As [`Self::replace_owner`], by the owner of a pool of this name, to which all workers belong from now on.
    pub(crate) fn replace_owner_of(&mut self, pool: &str) {
        self.fence += 1;
        let at = self.instant();
        let init = PoolInit {
            name: Arc::from(pool),
            evacuated: self.evacuated,
            settings: self.settings.clone(),
            ..pool_init(self.fence)
        };
        self.pool = WorkerPool::new(init, at);
        self.open.clear();
        let records: Vec<_> = self.workers.values().map(|w| w.record.clone()).collect();
        for record in records {
            self.pool.upsert_worker(at, record);
        }
        self.execute_actions();
    }

    /// Gives all workers to a pool that another owner has held for a while.
    pub(crate) fn divide_workers_to(&mut self, pool: WorkerPool) {
        self.fence = pool.fence().0;
        self.pool = pool;
        self.open.clear();
        let at = self.instant();
        let records: Vec<_> = self.workers.values().map(|w| w.record.clone()).collect();
        for record in records {
            self.pool.upsert_worker(at, record);
        }
        self.execute_actions();
    }

    /// Submits a random job of a kind.
    pub(crate) fn submit(&mut self, kind: usize, id: JobId) {
        let job_kind = KINDS[kind];
        let steps = self.steps;
        let spread = |rng: &mut Rng, by: f64| 1.0 + (rng.f64() * 2.0 - 1.0) * by;
        let count = (job_kind.tasks * spread(&mut self.rng, 0.6))
            .round()
            .max(1.0) as u32;
        let job_work = job_kind.work_ms * spread(&mut self.rng, 0.5);
        let mut works = |_| -> Vec<f64> {
            let tasks = 0..count;
            tasks
                .map(|_| job_work * spread(&mut self.rng, 0.15))
                .collect()
        };
        let steps: Vec<Vec<f64>> = (0..steps).map(&mut works).collect();
        let estimate = job_work * spread(&mut self.rng, 0.4);
        let cpu = (6_800.0 * spread(&mut self.rng, 0.25)) as u64;
        self.submit_steps(kind, id, steps, estimate, cpu);
    }

    /// Submits a job of one step. `works` are the run times of its tasks on a worker of speed 1 and `estimate` is the
    /// customer's estimate of them, in milliseconds; `cpu` is the demand of each task, in thousandths of a core.
    pub(crate) fn submit_sized(
        &mut self,
        kind: usize,
        id: JobId,
        works: Vec<f64>,
        estimate: f64,
        cpu: u64,
    ) {
        self.submit_steps(kind, id, vec![works], estimate, cpu);
    }

    /// The number of tasks, out of `count` in one job, that the pool offers to take now.
    pub(crate) fn offer(&mut self, count: u32, work_ms: u64, cpu: u64) -> u32 {
        let step = StepSpec {
            count,
            demand: ResourceDemand {
                cpu: CpuMillis(cpu),
                memory: MemoryMegabytes(64),
                accelerators: 0,
            },
            estimate: Duration::from_millis(work_ms),
            ..StepSpec::default()
        };
        let request = JobRequest {
            id: JobId(self.rng.u64(..)),
            text: Arc::from(""),
            steps: vec![step],
            kept: false,
            unsupported: None,
        };
        let terms = JobTerms {
            service: ServiceId::from(SERVICE),
            route: Arc::from("offered"),
            priority: 1,
            attempts: 3,
            stretch: 1.6,
            goal: Duration::from_millis(60),
            time_left: Duration::from_millis(2_500),
            waited: Duration::ZERO,
            firm: false,
            origin: None,
            retry_in: None,
            attempt_id: None,
        };
        let at = self.instant();
        self.pool.offer(at, &request, &terms)
    }

    /// Submits a job whose steps run one after another. The units are as in [`Self::submit_sized`].
    pub(crate) fn submit_steps(
        &mut self,
        kind: usize,
        id: JobId,
        steps: Vec<Vec<f64>>,
        estimate: f64,
        cpu: u64,
    ) {
        let (request, terms) = self.job_call(kind, id, &steps, estimate, cpu);
        let longest = |works: &Vec<f64>| works.iter().copied().fold(0.0, f64::max);
        let chain: f64 = steps.iter().map(longest).sum();
        let objective = 1.6 * chain + 60.0;
        let arrived = self.now;
        // A job that its customer submits again runs again.
        self.acknowledged_done.retain(|task| task.job != id);
        self.known.insert(id, (steps.clone(), cpu));
        self.submissions.insert(id, (kind, estimate));
        self.open.insert(
            id,
            OpenJob {
                kind,
                arrived,
                objective,
                steps,
                cpu,
            },
        );
        let at = self.instant();
        self.pool
            .submit(at, WaiterId(id.0), Arc::new(request), terms);
        self.execute_actions();
    }

    /// The number of tasks of a job of one step that the pool offers to take now. The units are as in
    /// [`Self::submit_sized`].
    pub(crate) fn offer_sized(
        &mut self,
        kind: usize,
        id: JobId,
        works: &[f64],
        estimate: f64,
        cpu: u64,
    ) -> u32 {
        let (request, terms) = self.job_call(kind, id, &[works.to_vec()], estimate, cpu);
        let at = self.instant();
        self.pool.offer(at, &request, &terms)
    }

    fn job_call(
        &self,
        kind: usize,
        id: JobId,
        steps: &[Vec<f64>],
        estimate: f64,
        cpu: u64,
    ) -> (JobRequest, JobTerms) {
        let specs = steps.iter().enumerate().map(|(number, works)| StepSpec {
            count: u32::try_from(works.len()).unwrap(),
            demand: ResourceDemand {
                cpu: CpuMillis(cpu),
                memory: MemoryMegabytes(64),
                accelerators: 0,
            },
            estimate: Duration::from_secs_f64(estimate / 1000.0),
            after: number
                .checked_sub(1)
                .map(|before| u32::try_from(before).unwrap())
                .into_iter()
                .collect(),
            ..StepSpec::default()
        });
        let request = JobRequest {
            id,
            text: Arc::from("text"),
            steps: specs.collect(),
            kept: self.submits_kept,
            unsupported: None,
        };
        let longest = |works: &Vec<f64>| works.iter().copied().fold(0.0, f64::max);
        let chain: f64 = steps.iter().map(longest).sum();
        let terms = JobTerms {
            service: ServiceId::from(SERVICE),
            route: Arc::from(KINDS[kind].name),
            priority: KINDS[kind].priority,
            attempts: 3,
            stretch: 1.6,
            goal: Duration::from_millis(60),
            time_left: Duration::from_secs_f64((1_500.0 + 5.0 * chain) / 1000.0),
            waited: Duration::from_millis(self.waited),
            firm: self.firm,
            origin: self.sender.clone(),
            retry_in: None,
            // Attempts at one job begin at different times.
            attempt_id: self.attempt_id.or(Some(JobAttemptId(self.now + 1))),
        };
        (request, terms)
    }

    /// Advances the simulated time.
    pub(crate) fn run_for(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            self.step_workers();
            self.step_crashes();
            self.deliver();
            if self.now >= self.owner_frozen_until {
                self.step_owner();
            }
            self.execute_actions();
            self.check_invariants();
        }
    }

    /// Does what the owner's process does by itself: it renews its contact with the store, and ticks.
    fn step_owner(&mut self) {
        let in_contact = self.store_up && self.claim_confirmable;
        if in_contact && self.now.is_multiple_of(CONTACT_INTERVAL_MS) {
            let at = self.instant();
            self.pool.record_store_contact(at);
        }
        if self.now.is_multiple_of(20) {
            let at = self.instant();
            self.pool.tick(at);
        }
        // The first read is up to the test.
        if self.store_up && self.pool.has_loaded_kept() && self.pool.needs_kept_load() {
            self.read_rows();
        }
    }

    /// Freezes the owner's process from now on. What arrives for it waits.
    pub(crate) fn freeze_owner(&mut self, millis: u64) {
        self.owner_frozen_until = self.now + millis;
    }

    /// Generates traffic of the three kinds, each at `factor` times its usual rate.
    pub(crate) fn traffic(&mut self, millis: u64, factor: [f64; 3]) {
        for _ in 0..millis {
            for (kind, job_kind) in KINDS.iter().enumerate() {
                if self.rng.f64() < job_kind.per_second * factor[kind] / 1000.0 {
                    let id = JobId(self.rng.u64(..));
                    self.submit(kind, id);
                }
            }
            self.run_for(1);
        }
    }

    /// A worker on which a task of the job runs.
    pub(crate) fn worker_running(&self, job: JobId) -> InstanceId {
        self.workers_running(job).remove(0)
    }

    /// The workers on which tasks of the job run.
    pub(crate) fn workers_running(&self, job: JobId) -> Vec<InstanceId> {
        let workers = self.workers.iter();
        let running = workers.filter(|(_, w)| w.runs.iter().any(|run| run.task.job == job));
        running.map(|(instance, _)| instance.clone()).collect()
    }

    /// Makes a task fail wherever it runs.
    pub(crate) fn poison_task(&mut self, job: JobId, step: usize, index: usize) {
        self.poison.insert(TaskId {
            job,
            occurrence: 0,
            step: u32::try_from(step).unwrap(),
            index: u32::try_from(index).unwrap(),
        });
    }

    /// Removes a worker's entry from the directory.
    pub(crate) fn unlist(&mut self, instance: &InstanceId) {
        let at = self.instant();
        self.pool.unlist_worker(at, instance);
    }

    /// Changes a worker's capacity, and publishes it in the directory.
    pub(crate) fn resize(&mut self, instance: &InstanceId, cpu: u64) {
        let worker = self.workers.get_mut(instance).unwrap();
        worker.record.capacity.cpu = CpuMillis(cpu);
        worker.resized = true;
        let record = worker.record.clone();
        self.upsert_records(vec![record]);
        self.resize_in_flight = true;
        self.run_for(ONE_WAY_MS);
        self.resize_in_flight = false;
    }

    /// Makes all workers publish the start times of their incarnations.
    pub(crate) fn publish_start_times(&mut self) {
        let mut records = Vec::new();
        for worker in self.workers.values_mut() {
            worker.born = Some(WorkerStartTime(1_000_000));
            worker.record.born = worker.born;
            records.push(worker.record.clone());
        }
        self.upsert_records(records);
    }

    /// Restarts a worker under the same id. Its clock may be ahead of the former one or behind. Polls that wait there
    /// fail, and the directory does not show the new incarnation yet.
    pub(crate) fn restart_worker(&mut self, instance: &InstanceId) {
        let (born, clock_offset) = (self.rng.u64(1_000..9_000_000), self.rng.u64(0..900_000));
        let worker = self.workers.get_mut(instance).unwrap();
        let broken = std::mem::take(&mut worker.waiting_polls);
        worker.restart(born, clock_offset);
        worker.first_call = self.serial + 1;
        worker.starting_until = self.now + self.restart_time;
        for (call, order, sent, _) in broken {
            let none = Err(CallFailure::NoAnswer);
            self.post(ONE_WAY_MS, Event::PollAnswer(call, order, sent, none));
        }
    }

    /// Publishes the present records of all workers in the directory.
    pub(crate) fn publish_records(&mut self) {
        let records = self.workers.values().map(|worker| worker.record.clone());
        let records = records.collect();
        self.upsert_records(records);
    }

    fn upsert_records(&mut self, records: Vec<WorkerRecord>) {
        let at = self.instant();
        for record in records {
            self.pool.upsert_worker(at, record);
        }
        self.execute_actions();
    }

    /// Another owner takes one worker under a higher fencing token and stops its runs.
    pub(crate) fn take_worker(&mut self, instance: &InstanceId) {
        let worker = self.workers.get_mut(instance).unwrap();
        worker.fence += 1;
        worker.runs.clear();
    }

    /// Another owner takes one worker under a higher fencing token, and does not reach it again: its runs go on.
    pub(crate) fn take_worker_with_runs(&mut self, instance: &InstanceId) {
        self.workers.get_mut(instance).unwrap().fence += 1;
    }

    /// Breaks the connections of all customers without the owner's notice, as the loss of their entries does. Returns
    /// their jobs.
    pub(crate) fn drop_customers(&mut self) -> Vec<JobId> {
        let open = std::mem::take(&mut self.open);
        open.into_keys().collect()
    }

    /// Breaks a customer's connection, so that no call waits for its job any more.
    pub(crate) fn disconnect_customer(&mut self, id: JobId) {
        let at = self.instant();
        self.pool.cancel(at, id, WaiterId(id.0));
        self.open.remove(&id);
        self.execute_actions();
    }

    /// Begins or ends the evacuation of the pool's data centre.
    pub(crate) fn set_evacuated(&mut self, evacuated: bool) {
        let at = self.instant();
        self.evacuated = evacuated;
        self.pool.set_evacuated(at, evacuated);
        self.execute_actions();
    }

    /// The jobs that wait for an answer.
    pub(crate) fn open_ids(&self) -> Vec<JobId> {
        self.open.keys().copied().collect()
    }

    /// Makes the store available again, which then handles the waiting writes.
    pub(crate) fn restore_store(&mut self) {
        self.store_up = true;
        for order in std::mem::take(&mut self.waiting_writes) {
            self.post(STORE_TIME_MS, Event::WriteRow(order));
        }
    }

    /// Makes the unavailable partitions of the store available again.
    pub(crate) fn restore_partitions(&mut self) {
        self.stalled_jobs.clear();
        for (fence, end) in std::mem::take(&mut self.waiting_foreign_ends) {
            self.post(STORE_TIME_MS, Event::StoreForeignEnd(fence, end));
        }
        self.restore_store();
    }

    /// The writes that wait while the store is unavailable.
    pub(crate) fn waiting_writes(&self) -> Vec<KeptWrite> {
        self.waiting_writes.clone()
    }

    /// Lets one write take effect, and answers it.
    pub(crate) fn complete_write(&mut self, order: &KeptWrite) {
        self.serial += 1;
        self.rows
            .insert(order.job, (order.row.clone(), self.serial));
        let (at, version) = (self.instant(), self.serial);
        self.pool
            .on_store_answer(at, order, KeptWriteResult::Stored(version));
        self.execute_actions();
    }

    /// Takes the waiting writes, which the store may still perform late.
    pub(crate) fn take_waiting_writes(&mut self) -> Vec<KeptWrite> {
        std::mem::take(&mut self.waiting_writes)
    }

    /// The store performs a write late, if its condition still holds. Nobody hears of it.
    pub(crate) fn perform_late(&mut self, order: &KeptWrite) {
        let known = self.rows.get(&order.job).map(|(_, version)| *version);
        if known == order.expected_version {
            self.serial += 1;
            self.rows
                .insert(order.job, (order.row.clone(), self.serial));
        }
    }

    /// Moves the jobs that no worker of the pool can hold to another pool.
    pub(crate) fn move_stranded(&mut self, home: &str) {
        let at = self.instant();
        for stranded in self.pool.stranded_jobs(at) {
            self.pool.move_kept(at, stranded.job, Arc::from(home));
        }
        self.execute_actions();
    }

    /// The store rejects one of the waiting writes, which has no effect.
    pub(crate) fn reject_write(&mut self, order: &KeptWrite) {
        self.waiting_writes.retain(|waiting| waiting != order);
        let at = self.instant();
        self.pool
            .on_store_answer(at, order, KeptWriteResult::Rejected);
        self.execute_actions();
    }

    /// The pool reads the rows of its kept jobs.
    pub(crate) fn read_rows(&mut self) {
        let read = self.begin_read();
        self.finish_read(read);
    }

    /// What a read of the rows that begins now will bring.
    pub(crate) fn begin_read(&self) -> KeptSnapshot {
        let open = self.rows.iter();
        let open = open.filter(|(_, (row, _))| !row.state.is_final());
        let found = open.filter_map(|(job, _)| self.find_job(*job));
        KeptSnapshot {
            began: self.instant(),
            version: self.serial,
            jobs: found.collect(),
            unreadable: Vec::new(),
        }
    }

    /// The pool takes the result of a read.
    pub(crate) fn finish_read(&mut self, read: KeptSnapshot) {
        let at = self.instant();
        self.pool.set_takeover_state(at, false, true);
        self.pool.load_kept(at, read);
        self.execute_actions();
    }

    fn find_job(&self, job: JobId) -> Option<FoundJob> {
        let (row, version) = self.rows.get(&job)?.clone();
        Some(FoundJob { job, row, version })
    }

    fn store_foreign_end(&mut self, fence: FenceToken, end: &ForeignEnd) {
        if self.stalled_jobs.contains(&end.task.job) {
            self.waiting_foreign_ends.push((fence, end.clone()));
            return;
        }
        self.serial += 1;
        let found = self.find_job(end.task.job);
        let result = match found {
            Some(_) => ForeignEndResult::Stored,
            None => ForeignEndResult::NoKeptJob,
        };
        let write = WriteId(self.serial);
        let ends = std::slice::from_ref(end);
        let order = found.and_then(|found| KeptWrite::of_foreign_ends(found, ends, fence, write));
        if let Some(order) = order {
            self.rows.insert(order.job, (order.row, self.serial));
        }
        if self.pool.fence() == fence {
            self.pool.on_foreign_end_stored(end, result);
        }
    }

    fn store_row(&mut self, order: KeptWrite) {
        if !self.store_up || self.stalled_jobs.contains(&order.job) {
            self.waiting_writes.push(order);
            return;
        }
        let KeptWrite {
            job,
            row,
            expected_version,
        } = order.clone();
        let known = self.rows.get(&job).map(|(_, version)| *version);
        let answer = if known == expected_version {
            self.serial += 1;
            self.rows.insert(job, (row, self.serial));
            KeptWriteResult::Stored(self.serial)
        } else {
            match self.find_job(job) {
                Some(found) => order.classify_conflict(found),
                None => KeptWriteResult::Gone,
            }
        };
        let at = self.instant();
        self.pool.on_store_answer(at, &order, answer);
    }

    /// Submits a job again, as a customer does that got no answer.
    pub(crate) fn submit_again(&mut self, id: JobId) {
        let (steps, cpu) = self.known[&id].clone();
        let (kind, estimate) = self.submissions[&id];
        self.submit_steps(kind, id, steps, estimate, cpu);
    }

    /// As [`Self::submit_again`], for a job whose last attempt was at another pool.
    pub(crate) fn submit_from(&mut self, other: &Self, id: JobId) {
        self.known.insert(id, other.known[&id].clone());
        self.submissions.insert(id, other.submissions[&id]);
        self.submit_again(id);
    }

    /// The tasks that run now, one entry per run.
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.map(|run| run.task)
    }

    pub(crate) fn open_jobs(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }

    fn execute_actions(&mut self) {
        for event in self.pool.take_events() {
            let of_crash = matches!(
                event,
                PoolEvent::CrashSuspected { .. }
                    | PoolEvent::CrashCleared { .. }
                    | PoolEvent::CrashCulprit { .. }
            );
            if of_crash {
                self.crashes.events.push(event);
            } else if let PoolEvent::AttemptOver { took, .. } = event {
                self.overruns.push(took);
            } else if let PoolEvent::Admission { refusal, share, .. } = event {
                self.admissions.push((refusal, share));
            } else if let PoolEvent::ReturnKept { job, .. } = event {
                self.kept_returns.push(job);
            }
        }
        for action in self.pool.take_actions() {
            match action {
                PoolAction::Start(order) => self.send_start(order),
                PoolAction::Stop(order) => self.send_stop(order),
                PoolAction::Poll(order) => self.send_poll(order),
                PoolAction::Answer { waiter, outcome } => self.end_job(JobId(waiter.0), outcome),
                PoolAction::WriteKeptJob(order) => {
                    if order.row.state.is_final() {
                        self.ends_being_stored.insert(order.job);
                    }
                    self.post(STORE_TIME_MS, Event::WriteRow(order));
                }
                PoolAction::StoreForeignEnd(end) => {
                    let fence = self.pool.fence();
                    let number = end.end.number;
                    self.foreign_ends.push((end.instance.clone(), number));
                    self.post(STORE_TIME_MS, Event::StoreForeignEnd(fence, end));
                }
                PoolAction::ReleasePool => self.released = true,
                PoolAction::FindAttempts { job, attempt } => {
                    let fence = self.pool.fence();
                    let event = Event::FindAttempts(fence, job, attempt);
                    self.post(STORE_TIME_MS / 2, event);
                }
                PoolAction::RegisterAttempt(registration) => {
                    let fence = self.pool.fence();
                    self.post(
                        STORE_TIME_MS / 2,
                        Event::RegisterAttempt(fence, registration),
                    );
                }
                PoolAction::RemoveRegistrations(job) => self.attempts.remove(job),
            }
        }
    }

    fn open_call(&mut self) -> CallNumber {
        self.serial += 1;
        self.open_calls.insert(self.serial, self.pool.fence());
        self.serial
    }

    fn send_start(&mut self, order: StartOrder) {
        self.starts_sent += 1;
        let call = self.open_call();
        let delay = self.uplink.send(self.now, START_BYTES) + ONE_WAY_MS;
        let none = StartAnswer::Failed(CallFailure::NoAnswer);
        let (overdue, limit) = (millis(order.overdue_after), millis(order.timeout));
        self.post(delay, Event::Start(call, order.clone()));
        self.post(overdue, Event::StartOverdue(call, order.clone()));
        self.post(limit, Event::StartAnswer(call, order, none));
    }

    fn send_stop(&mut self, order: StopOrder) {
        let call = self.open_call();
        let delay = self.uplink.send(self.now, STOP_BYTES) + ONE_WAY_MS;
        let none = StopAnswer::Failed(CallFailure::NoAnswer);
        let limit = millis(order.timeout);
        self.post(delay, Event::Stop(call, order.clone()));
        self.post(limit, Event::StopAnswer(call, order, none));
    }

    fn send_poll(&mut self, order: PollOrder) {
        let call = self.open_call();
        let delay = self.uplink.send(self.now, POLL_BYTES) + ONE_WAY_MS;
        let none = Err(CallFailure::NoAnswer);
        let (sent, limit) = (self.now, millis(order.timeout));
        self.post(delay, Event::Poll(call, order.clone(), sent));
        self.post(limit, Event::PollAnswer(call, order, sent, none));
    }

    /// Sends a worker's answer over the link.
    fn send_answer(&mut self, bytes: u64, event: Event) {
        let delay = self.downlink.send(self.now, bytes) + ONE_WAY_MS;
        self.post(delay, event);
    }

    fn end_job(&mut self, id: JobId, outcome: JobOutcome) {
        let Some(job) = self.open.remove(&id) else {
            return;
        };
        let OpenJob {
            kind,
            arrived,
            objective,
            ..
        } = job;
        let ended = self.now;
        self.results.push(JobResult {
            id,
            kind,
            arrived,
            ended,
            outcome,
            objective,
        });
    }

    fn post(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        let (due, serial) = (self.now + delay, self.serial);
        self.messages.push(Message { due, serial, event });
    }

    fn deliver(&mut self) {
        while self
            .messages
            .peek()
            .is_some_and(|message| message.due <= self.now)
        {
            let message = self.messages.pop().unwrap();
            match message.event {
                Event::Start(call, order) => self.handle_start(call, order),
                Event::Stop(call, order) => self.handle_stop(call, order),
                Event::Poll(call, order, sent) => self.handle_poll(call, order, sent),
                Event::WriteRow(order) => self.store_row(order),
                Event::StoreForeignEnd(fence, end) => self.store_foreign_end(fence, &end),
                Event::FindAttempts(fence, job, attempt) => {
                    self.look_up_attempts(fence, job, attempt);
                }
                Event::RegisterAttempt(fence, registration) => {
                    self.register_attempt(fence, registration);
                }
                event if self.now < self.owner_frozen_until => {
                    self.post(self.owner_frozen_until - self.now, event);
                }
                event => self.handle_answer(event),
            }
            self.execute_actions();
        }
    }

    fn handle_answer(&mut self, event: Event) {
        let at = self.instant();
        let fence = self.pool.fence();
        let call = match &event {
            Event::StartOverdue(call, order) => {
                if self.open_calls.get(call) == Some(&fence) {
                    self.pool.on_start_overdue(at, order);
                }
                return;
            }
            Event::AttemptLookup(asked, job, lookup) => {
                if *asked == fence {
                    self.pool.on_attempt_lookup(at, *job, *lookup);
                }
                return;
            }
            Event::AttemptRegistered(asked, registration, until) => {
                if *asked == fence {
                    let until = until.map(|until| self.origin + Duration::from_millis(until));
                    self.pool.on_attempt_registered(at, registration, until);
                }
                return;
            }
            Event::StartAnswer(call, ..)
            | Event::StopAnswer(call, ..)
            | Event::PollAnswer(call, ..) => *call,
            _ => return,
        };
        if self.open_calls.remove(&call) != Some(fence) {
            return;
        }
        match event {
            Event::StartAnswer(_, order, answer) => {
                self.pool.on_start_answer(at, &order, answer);
            }
            Event::StopAnswer(_, order, answer) => {
                self.pool.on_stop_answer(at, &order, answer);
            }
            Event::PollAnswer(_, order, sent, answer) => {
                let sent = self.origin + Duration::from_millis(sent);
                self.pool.on_poll_answer(at, sent, &order, answer);
            }
            _ => (),
        }
    }

    /// Whether the next answer of a worker is lost.
    fn loses_answer(&mut self, instance: &InstanceId) -> bool {
        let Some(worker) = self.workers.get(instance) else {
            return true;
        };
        worker.fault.silent || self.rng.f64() < worker.fault.answers_lost
    }

    fn handle_start(&mut self, call: CallNumber, order: StartOrder) {
        let instance = order.instance.clone();
        let Some(fault) = self.workers.get(&instance).map(|worker| worker.fault) else {
            if self.has_worker_at(order.address) {
                let replaced = StartAnswer::Failed(CallFailure::NewInstance);
                self.send_answer(ANSWER_BYTES, Event::StartAnswer(call, order, replaced));
            }
            return;
        };
        if fault.refuses_connections {
            let unsent = StartAnswer::Failed(CallFailure::NotSent);
            self.post(ONE_WAY_MS, Event::StartAnswer(call, order, unsent));
            return;
        }
        let late = &*order.text == "late";
        if fault.silent
            || self.is_starting(&instance)
            || !late && self.was_sent_to_former_incarnation(&instance, call)
        {
            return;
        }
        if self.rng.f64() < fault.late_starts {
            // The delayed start is marked by its text, so that its answer is not sent.
            let late = self.rng.u64(2_000..12_000);
            let text = Arc::from("late");
            self.post(late, Event::Start(call, StartOrder { text, ..order }));
            return;
        }
        let answer = self.start_run(&order);
        self.crash_before_answer(&instance, order.task);
        if &*order.text != "late" && !self.loses_answer(&instance) {
            self.send_answer(ANSWER_BYTES, Event::StartAnswer(call, order, answer));
        }
    }

    /// Whether a worker answers at the address.
    fn has_worker_at(&self, address: SocketAddr) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| worker.record.address == address && !worker.fault.silent)
    }

    fn is_starting(&self, instance: &InstanceId) -> bool {
        self.now < self.workers[instance].starting_until
    }

    fn was_sent_to_former_incarnation(&self, instance: &InstanceId, call: CallNumber) -> bool {
        self.workers[instance].first_call > call
    }

    fn start_run(&mut self, order: &StartOrder) -> StartAnswer {
        let (steps, cpu) = self.known[&order.task.job].clone();
        let now = self.now;
        let worker = self.workers.get_mut(&order.instance).unwrap();
        let clock = WorkerClock(now + worker.clock_offset);
        if order.fence.0 < worker.fence {
            return StartAnswer::Failed(CallFailure::FencedOut);
        }
        worker.fence = order.fence.0;
        let is_same_run = |run: &SimulatedRun| run.task == order.task && run.run == order.run;
        if worker.runs.iter().any(is_same_run) {
            return StartAnswer::Started(clock);
        }
        let superseded = worker
            .ends
            .iter()
            .any(|e| e.task == Some(order.task) && e.run >= order.run);
        if superseded {
            return StartAnswer::Superseded(clock);
        }
        if order.lease_end <= clock {
            return StartAnswer::LeaseExpired(clock);
        }
        worker.lease_end = worker
            .lease_end
            .max(order.lease_end.0.min(clock.0 + MAX_LEASE_MS));
        assert!(
            !self.done_is_final || !self.acknowledged_done.contains(&order.task),
            "{} starts after its end",
            order.task
        );
        let work = steps[order.task.step as usize][order.task.index as usize];
        self.check_starts_after_crashes(order.task);
        let worker = self.workers.get_mut(&order.instance).unwrap();
        let used: u64 = worker.runs.iter().map(|run| run.cpu).sum();
        let is_late = &*order.text == "late";
        assert!(
            is_late || self.resize_in_flight || used + cpu <= worker.record.capacity.cpu.0,
            "{} exceeds the capacity of {} at {now} ms",
            order.task,
            order.instance
        );
        worker.runs.push(SimulatedRun {
            task: order.task,
            run: order.run,
            cpu,
            work,
            done: 0.0,
        });
        StartAnswer::Started(clock)
    }

    fn handle_stop(&mut self, call: CallNumber, order: StopOrder) {
        let instance = order.instance.clone();
        let now = self.now;
        let Some(worker) = self
            .workers
            .get_mut(&instance)
            .filter(|worker| !worker.fault.silent && !worker.fault.stops_lost)
            .filter(|worker| call >= worker.first_call && now >= worker.starting_until)
        else {
            return;
        };
        let clock = WorkerClock(now + worker.clock_offset);
        if order.fence.0 < worker.fence {
            let fenced = StopAnswer::Failed(CallFailure::FencedOut);
            return self.send_answer(ANSWER_BYTES, Event::StopAnswer(call, order, fenced));
        }
        worker.fence = order.fence.0;
        let is_same_run = |run: &SimulatedRun| run.task == order.task && run.run == order.run;
        if let Some(index) = worker.runs.iter().position(is_same_run) {
            worker.runs.remove(index);
        }
        worker.record_end(order.task, order.run, EndCause::Stopped);
        if !self.loses_answer(&instance) {
            let stopped = StopAnswer::Stopped(clock);
            self.send_answer(ANSWER_BYTES, Event::StopAnswer(call, order, stopped));
        }
    }

    fn handle_poll(&mut self, call: CallNumber, order: PollOrder, sent: u64) {
        let now = self.now;
        let wait = millis(order.wait);
        let Some(worker) = self
            .workers
            .get_mut(&order.instance)
            .filter(|w| !w.fault.silent && call >= w.first_call && now >= w.starting_until)
        else {
            if self.breaks_polls_at_start && self.is_starting(&order.instance) {
                let left = self.workers[&order.instance].starting_until - now;
                let none = Err(CallFailure::NoAnswer);
                self.post(
                    left + ONE_WAY_MS,
                    Event::PollAnswer(call, order, sent, none),
                );
            }
            return;
        };
        if order.fence.0 < worker.fence {
            let fenced = Err(CallFailure::FencedOut);
            return self.send_answer(ANSWER_BYTES, Event::PollAnswer(call, order, sent, fenced));
        }
        worker.fence = order.fence.0;
        check_ends_stored(&self.rows, worker, order.acknowledged_end, now);
        worker.acknowledged_end = worker.acknowledged_end.max(order.acknowledged_end);
        let done_ends = worker
            .ends
            .iter()
            .filter(|end| end.number <= order.acknowledged_end && end.cause == EndCause::Done);
        self.acknowledged_done
            .extend(done_ends.filter_map(|end| end.task));
        let clock = now + worker.clock_offset;
        if let Some(lease_end) = order.lease_end {
            worker.lease_end = worker.lease_end.max(lease_end.0.min(clock + MAX_LEASE_MS));
        }
        worker.waiting_polls.push((call, order, sent, now + wait));
    }

    fn step_workers(&mut self) {
        let now = self.now;
        let instances: Vec<InstanceId> = self.workers.keys().cloned().collect();
        for instance in instances {
            let worker = self.workers.get_mut(&instance).unwrap();
            worker.advance_runs(now, &self.poison);
            for poll in std::mem::take(&mut worker.waiting_polls) {
                self.answer_poll(&instance, poll);
            }
        }
    }

    fn answer_poll(&mut self, instance: &InstanceId, poll: (CallNumber, PollOrder, u64, u64)) {
        let (call, order, sent, until) = poll;
        let now = self.now;
        let worker = self.workers.get_mut(instance).unwrap();
        let seen = order.acknowledged_end.max(worker.acknowledged_end);
        let has_new_ends = worker.ends.iter().any(|end| end.number > seen);
        if !has_new_ends && now < until {
            worker.waiting_polls.push((call, order, sent, until));
            return;
        }
        let listing = worker.listing(now, order.acknowledged_end);
        if !self.loses_answer(instance) {
            self.send_answer(
                LISTING_BYTES,
                Event::PollAnswer(call, order, sent, Ok(listing)),
            );
        }
    }

    /// Checks the invariants: no worker's runs exceed its capacity, no task runs twice at the same time, and the queue has
    /// the jobs with tasks that may be placed.
    fn check_invariants(&self) {
        let misqueued = self.pool.misqueued_jobs();
        assert!(misqueued.is_empty(), "{misqueued:?} at {} ms", self.now);
        let mut tasks = BTreeMap::new();
        for (instance, worker) in &self.workers {
            let used: u64 = worker.runs.iter().map(|run| run.cpu).sum();
            assert!(
                worker.resized || used <= worker.record.capacity.cpu.0,
                "{instance} over its capacity at {} ms",
                self.now
            );
            for run in &worker.runs {
                let other = tasks.insert(run.task, instance);
                assert!(
                    other.is_none(),
                    "{} on {instance} and {other:?} at {} ms",
                    run.task,
                    self.now
                );
            }
        }
    }
}

/// Checks the invariant of kept jobs: an end is acknowledged only once its job's row contains it or the job has ended.
fn check_ends_stored(
    rows: &BTreeMap<JobId, (KeptRow, u64)>,
    worker: &SimulatedWorker,
    acknowledged_end: u64,
    now: u64,
) {
    for end in &worker.ends {
        let is_new = end.number > worker.acknowledged_end && end.number <= acknowledged_end;
        let Some(task) = end.task.filter(|_| is_new) else {
            continue;
        };
        let Some((row, _)) = rows.get(&task.job) else {
            continue;
        };
        let record = &row.progress[task.step as usize];
        let is_stored = match end.cause {
            EndCause::Done => record.done.contains(&task.index),
            // The failed runs of a task that is done are of no more use.
            EndCause::Failed => {
                record.failed.contains(&(task.index, end.run.0))
                    || record.done.contains(&task.index)
            }
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => true,
        };
        assert!(
            is_stored || row.state.is_final(),
            "the {:?} end of {task} is acknowledged at {now} ms, but no row contains it",
            end.cause
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

pub(crate) fn pool_init(fence: u64) -> PoolInit {
    PoolInit {
        name: Arc::from("east/0"),
        fence: FenceToken(fence),
        platform_millis: fence * 1_000_000,
        far_factor: 3.0,
        evacuated: false,
        settings: PoolSettings::default(),
        seed: fence,
    }
}

/// A job of one step of `count` tasks, and terms with which it is in time and not refused.
pub(crate) fn single_step_call(
    id: JobId,
    count: u32,
    cpu: u64,
    estimate: Duration,
) -> (JobRequest, JobTerms) {
    let step = StepSpec {
        count,
        demand: ResourceDemand {
            cpu: CpuMillis(cpu),
            ..ResourceDemand::default()
        },
        estimate,
        ..StepSpec::default()
    };
    let request = JobRequest {
        id,
        text: Arc::from("text"),
        steps: vec![step],
        kept: false,
        unsupported: None,
    };
    let terms = JobTerms {
        service: ServiceId::from(SERVICE),
        route: Arc::from("route"),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        goal: Duration::from_millis(60),
        time_left: Duration::from_secs(5),
        waited: Duration::ZERO,
        firm: false,
        origin: None,
        retry_in: None,
        attempt_id: None,
    };
    (request, terms)
}
