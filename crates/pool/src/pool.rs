//! The worker pool: its state, requests from entries and updates from the worker directory.

mod admit;
mod answers;
mod crash_blame;
mod ended_attempts;
mod evacuating;
mod exclusion;
mod kept_jobs;
mod polls;
mod profile;
mod progress;
mod rehoming;
mod resizing;
mod restart;
mod return_turns;
mod schedule;
mod sharing;
mod takeover;
mod watching;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use jobs::{
    critical_path, FenceToken, InstanceId, JobAttemptId, JobId, JobOutcome, JobRequest, JobTerms,
    RefusalKind, RunNumber, WorkerRecord, WorkerState,
};
use model::{FastMap, FastSet, Mechanism};

use self::ended_attempts::EndedAttempt;
use crate::{
    action::{PoolAction, PoolEvent, SuspensionCause, WaiterId, WorkerChange},
    admission::PoolLoad,
    answer_time::AnswerTimes,
    arrivals::ArrivalStats,
    crash::CrashTracker,
    estimate::EstimateCorrections,
    job::{request_bytes, StepProgress, TrackedJob, WaitingTask},
    queue::{latest_start, JobQueue, QueueEntry},
    registration_backoff::RegistrationBackoff,
    returns::ReturnSchedule,
    settings::PoolSettings,
    shares::ClassShares,
    start_window::StartWindow,
    worker::{QueuedOrder, RunPhase, TrackedWorker},
};

/// How long a worker that is missing from the directory stays in the pool while it still has runs.
/// They end by themselves.
const UNLISTED_WORKER_GRACE: Duration = Duration::from_secs(10);

/// The minimum retry delay in a refusal, which is sent to the customer in whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The maximum retry delay in a refusal. Bursts last seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The maximum number of starts that may be resent at once, enough for a few connections that go
/// silent together. Each order sent refills this budget by `PoolSettings::max_resend_share`.
const RESEND_BURST: f64 = 12.0;

/// The owner's view of one pool of workers.
pub struct WorkerPool {
    settings: PoolSettings,
    fence: FenceToken,
    /// When the pool was taken over. The owner's clock counts from here.
    clock_origin: Instant,
    /// The platform's clock at `clock_origin`, in milliseconds. Run numbers are times on that
    /// clock, so that they increase across owners without being stored.
    run_number_base: u64,
    last_run_number: u64,
    /// The factor by which a task takes longer outside the rack of its data.
    far_factor: f64,
    /// The median slowness of the pool's workers, as of the last tick.
    median_slowness: f64,
    /// Whether new jobs are accepted.
    accepting: bool,
    /// Whether the pool's data centre is evacuated. Its workers then get no starts.
    evacuated: bool,
    /// The offers for which capacity is held.
    recent_offers: Vec<admit::RecentOffer>,
    /// The pool's name, which is stored in the rows of its kept jobs.
    name: Arc<str>,
    /// When a worker last failed to answer a poll.
    last_missed_answer: Option<Instant>,
    /// How long workers take to answer starts.
    answer_times: AnswerTimes,
    /// Limits how many starts may be in flight.
    start_window: StartWindow,
    /// How many starts may be resent at present.
    resend_budget: f64,
    /// When the last of the calls was sent by which the store confirmed this owner's claim.
    last_store_contact: Option<Instant>,
    /// Whether the kept jobs have been loaded from the store. Until then no end is acknowledged,
    /// since it may belong to one of them.
    kept_loaded: bool,
    /// The open kept jobs of other pools, as of the last read. Ends of theirs may be listed by a worker that belonged to
    /// another pool before.
    foreign_jobs: FastSet<JobId>,
    /// When the last read of the kept jobs began. Jobs that were stored later may be unknown here.
    rows_read_from: Instant,
    /// The store's version that the last read of the kept jobs included.
    rows_version: u64,
    /// The store's version that a read of the kept jobs has to include.
    rows_wanted: u64,
    /// Reads of the kept jobs that began earlier do not count.
    rows_outdated_until: Instant,
    /// Since when no run of a former owner can be left, while found jobs wait for a read of their rows that began later.
    settled_since: Option<Instant>,
    /// Kept jobs that ended recently, and when.
    recently_ended_kept: FastMap<JobId, Instant>,
    /// Whether a former owner is still finishing jobs of the pool.
    predecessor_active: bool,
    /// Whether all workers that a former owner may have used are known.
    all_workers_known: bool,
    /// The last time at which another owner may have been active.
    sole_owner_since: Instant,
    /// The store version up to which no later claim of the pool was made.
    no_later_claim_until: u64,
    workers: BTreeMap<InstanceId, TrackedWorker>,
    jobs: FastMap<JobId, TrackedJob>,
    queue: JobQueue,
    /// Losses of workers, and the tasks suspected of causing them.
    crashes: CrashTracker,
    /// Workers that are being emptied so that crash suspects can run alone on them.
    reserved_for_suspects: Vec<InstanceId>,
    /// Ended jobs of which run records are left.
    ended_attempts: FastMap<JobId, EndedAttempt>,
    /// The number of jobs that were admitted without being kept.
    admissions: u64,
    /// The memory that `jobs` take, in bytes.
    job_bytes: u64,
    /// The memory that the jobs of other pools of this process take, in bytes.
    other_job_bytes: u64,
    /// Jobs that were registered in the store, or are about to be.
    registered_jobs: FastSet<JobId>,
    registration_backoff: RegistrationBackoff,
    /// Jobs with runs on workers that have left the pool, and when these runs are over at the latest.
    lost_runs: FastMap<JobId, Instant>,
    estimates: EstimateCorrections,
    arrivals: ArrivalStats,
    /// The shares of the classes of jobs under contention.
    shares: ClassShares,
    /// When the callers of refused jobs are to return. Used only with `ReturnPolicy::Scheduled`.
    returns: ReturnSchedule,
    /// Draws the ids of writes.
    rng: Rng,
    actions: Vec<PoolAction>,
    events: Vec<PoolEvent>,
}

/// The initial state of a pool under a new owner.
#[derive(Clone, Debug)]
pub struct PoolInit {
    /// The pool's name.
    pub name: Arc<str>,
    /// The fencing token that this owner got with its claim of the pool.
    pub fence: FenceToken,
    /// The platform's clock, in milliseconds.
    pub platform_millis: u64,
    /// The factor by which a task takes longer outside the rack of its data.
    pub far_factor: f64,
    /// Whether the pool's data centre is evacuated.
    pub evacuated: bool,
    /// The times and limits of the pool.
    pub settings: PoolSettings,
    /// Seeds what the pool draws at random. No two owners may have the same seed: the ids of their writes tell them apart.
    pub seed: u64,
}

impl WorkerPool {
    /// Creates a pool that was just taken over. Its workers have to be added by
    /// [`Self::upsert_worker`].
    pub fn new(init: PoolInit, now: Instant) -> Self {
        let run_times = init.settings.policies.run_times;
        Self {
            settings: init.settings,
            fence: init.fence,
            clock_origin: now,
            run_number_base: init.platform_millis,
            last_run_number: 0,
            far_factor: init.far_factor,
            median_slowness: 1.0,
            accepting: true,
            evacuated: init.evacuated,
            recent_offers: Vec::new(),
            name: init.name,
            last_missed_answer: None,
            answer_times: AnswerTimes::default(),
            start_window: StartWindow::default(),
            resend_budget: RESEND_BURST,
            last_store_contact: Some(now),
            kept_loaded: false,
            foreign_jobs: FastSet::default(),
            rows_read_from: now,
            rows_version: 0,
            rows_wanted: 0,
            rows_outdated_until: now,
            settled_since: None,
            recently_ended_kept: FastMap::default(),
            predecessor_active: false,
            all_workers_known: false,
            sole_owner_since: now,
            no_later_claim_until: 0,
            workers: BTreeMap::new(),
            jobs: FastMap::default(),
            queue: JobQueue::default(),
            crashes: CrashTracker::default(),
            reserved_for_suspects: Vec::new(),
            ended_attempts: FastMap::default(),
            admissions: 0,
            job_bytes: 0,
            other_job_bytes: 0,
            registered_jobs: FastSet::default(),
            registration_backoff: RegistrationBackoff::default(),
            lost_runs: FastMap::default(),
            estimates: EstimateCorrections::new(run_times),
            arrivals: ArrivalStats::default(),
            shares: ClassShares::default(),
            returns: ReturnSchedule::new(now),
            rng: Rng::with_seed(init.seed),
            actions: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The fencing token under which this owner acts.
    pub fn fence(&self) -> FenceToken {
        self.fence
    }

    /// The number of jobs without an outcome.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The memory of the jobs without an outcome, in bytes.
    pub fn job_bytes(&self) -> u64 {
        self.job_bytes
    }

    /// Sets the memory that jobs of other pools of this process take, in bytes. They share one limit.
    pub fn set_other_job_bytes(&mut self, bytes: u64) {
        self.other_job_bytes = bytes;
    }

    /// Whether memory is left for a new job.
    fn has_memory_for(&self, request: &JobRequest) -> bool {
        let used = self.job_bytes.saturating_add(self.other_job_bytes);
        used.saturating_add(request_bytes(request)) <= self.settings.max_job_bytes
    }

    /// Takes the pending actions, in order.
    pub fn take_actions(&mut self) -> Vec<PoolAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the pending events for the log, in order.
    pub fn take_events(&mut self) -> Vec<PoolEvent> {
        std::mem::take(&mut self.events)
    }

    /// Stops accepting new jobs. Jobs that were admitted continue.
    pub fn stop_accepting(&mut self) {
        self.accepting = false;
    }

    /// Whether the pool accepts new jobs.
    pub fn is_accepting(&self) -> bool {
        self.accepting
    }

    /// Accepts new jobs again, because no other owner has taken the pool over.
    pub fn resume_accepting(&mut self) {
        self.accepting = true;
        // Waiting kept jobs were released in the meantime and have to be loaded from the store
        // again.
        self.request_kept_reload();
    }

    /// Once the pool accepts no new jobs, releases the workers that its jobs do not use, so that
    /// its successor can take them. While tasks wait, no worker is released, since the next
    /// free capacity may be on any of them.
    pub fn release_idle_workers(&mut self) {
        if self.accepting || self.queue.jobs().next().is_some() {
            return;
        }
        self.workers.retain(|_, worker| !worker.is_idle());
    }

    /// Whether the pool has the worker.
    pub fn has_worker(&self, instance: &InstanceId) -> bool {
        self.workers.contains_key(instance)
    }

    /// The workers of the pool.
    pub fn worker_instances(&self) -> Vec<InstanceId> {
        self.workers.keys().cloned().collect()
    }

    /// Admits a job for a waiting entry, or answers with a refusal. A job that is submitted again
    /// joins its first submission.
    pub fn submit(
        &mut self,
        now: Instant,
        waiter: WaiterId,
        request: Arc<JobRequest>,
        terms: JobTerms,
    ) {
        if let Some(job) = self.jobs.get_mut(&request.id) {
            if job.is_stored() {
                self.answer(waiter, JobOutcome::Accepted);
                return;
            }
            // A different part of the same job belongs to an attempt that its customer has given
            // up.
            if job.request.steps == request.steps {
                job.waiters.push(waiter);
            } else {
                self.answer(waiter, JobOutcome::GivenUp);
            }
            return;
        }
        // Runs of an earlier attempt at the same job are still ending. Starting the job now would
        // run a task twice at the same time; the customer's next attempt comes after they have
        // ended.
        if self.may_have_runs_of(now, request.id) {
            self.events.push(PoolEvent::EarlierRuns { job: request.id });
            self.answer(waiter, JobOutcome::GivenUp);
            return;
        }
        if !request.kept && self.crashes.has_culprit(request.id) {
            self.answer(waiter, JobOutcome::Failed);
            return;
        }
        if let Some(refusal) = self.admit(now, &request, &terms) {
            self.answer(waiter, refusal);
            return;
        }
        let id = request.id;
        if request.kept {
            self.store_new_job(now, waiter, request, terms);
            return;
        }
        let mut job = self.build_job(now, Some(waiter), request, terms);
        self.limit_runs(now, &mut job);
        self.insert_job(id, job);
        self.enqueue(now, id);
        self.schedule(now);
    }

    /// Removes a call that no longer waits for a job's outcome. Once no call waits, the job's runs
    /// are stopped, unless it is a kept job.
    pub fn cancel(&mut self, now: Instant, job: JobId, waiter: WaiterId) {
        let Some(tracked) = self.jobs.get_mut(&job) else {
            return;
        };
        tracked.waiters.retain(|w| *w != waiter);
        if tracked.waiters.is_empty() && tracked.kept.is_none() {
            self.abandon(now, job);
        }
    }

    /// Adds a worker from the directory, or updates its record.
    pub fn upsert_worker(&mut self, now: Instant, record: WorkerRecord) {
        let instance = record.instance.clone();
        let Some(worker) = self.workers.get_mut(&instance) else {
            self.on_new_worker(now, &record);
            self.workers.insert(
                instance.clone(),
                TrackedWorker::new(record, self.fence, now),
            );
            self.report_worker_change(instance, WorkerChange::Added);
            self.send_polls_and_orders(now);
            return;
        };
        let change = match record.state {
            WorkerState::Draining => WorkerChange::Draining,
            WorkerState::Ready => WorkerChange::Ready,
        };
        let changed = worker.record.state != record.state || worker.unlisted_since.is_some();
        let (former, capacity) = (worker.record.capacity, record.capacity);
        worker.update_record(now, record);
        worker.unlisted_since = None;
        if changed {
            self.report_worker_change(instance.clone(), change);
        }
        if former != capacity {
            self.apply_resize(now, &instance, former);
        }
        if changed || former != capacity {
            self.schedule(now);
        }
        self.send_polls_and_orders(now);
    }

    /// Marks a worker as missing from the directory. It gets no new runs, and is removed once it
    /// has no runs or after a grace period.
    pub fn unlist_worker(&mut self, now: Instant, instance: &InstanceId) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        if worker.unlisted_since.is_none() {
            worker.unlisted_since = Some(now);
            self.report_worker_change(instance.clone(), WorkerChange::Unlisted);
            self.record_departure(instance);
        }
        self.remove_unlisted_workers(now);
    }

    /// Ends all jobs after this process has stalled for longer than entries wait for its answers.
    /// The entries have given up its jobs, and customers may have resubmitted them elsewhere, so
    /// starting the tasks that still wait here could run a task twice at the same time.
    pub fn give_up_all(&mut self, now: Instant) {
        self.release_all_kept(now);
        let open = self.jobs.iter();
        let open: Vec<(JobId, bool)> = open.map(|(id, job)| (*id, job.may_have_begun)).collect();
        for (id, ordered) in open {
            let outcome = if ordered {
                JobOutcome::GivenUp
            } else {
                JobOutcome::Refused {
                    kind: RefusalKind::NotServing,
                    retry_after: MIN_RETRY_AFTER,
                    fits: 0,
                }
            };
            self.finish(now, id, outcome);
        }
    }

    /// The pool's capacity, free capacity and backlog.
    pub fn load(&self, now: Instant) -> PoolLoad {
        let mut load = PoolLoad::default();
        if self.evacuated {
            return load;
        }
        for worker in self.workers_for_new_jobs(now) {
            load.capacity = load.capacity.saturating_add(worker.record.capacity.cpu.0);
            load.free = load.free.saturating_add(worker.free_capacity().cpu.0);
        }
        let queued = self.queued_jobs();
        let work: f64 = queued.map(|(_, job)| self.waiting_work(job)).sum();
        let cores = load.capacity as f64 / 1000.0 * self.settings.packing_share;
        if work > 0.0 {
            let backlog = work / cores.max(1.0) / 1000.0;
            load.backlog = Duration::try_from_secs_f64(backlog).unwrap_or(MAX_RETRY_AFTER);
        }
        load
    }

    /// The workers that count as capacity for new jobs: the healthy ones or, if there is none, those that may get a run
    /// all the same. Otherwise a pool without a healthy worker would admit nothing and never find out that a worker has
    /// recovered, or that a failed run was the fault of its job.
    fn workers_for_new_jobs(&self, now: Instant) -> Vec<&TrackedWorker> {
        let workers = self.workers.values();
        let usable: Vec<_> = workers.filter(|worker| worker.is_usable()).collect();
        if !usable.is_empty() {
            return usable;
        }
        let workers = self.workers.values();
        workers.filter(|worker| worker.may_get_run(now)).collect()
    }

    fn build_job(
        &self,
        now: Instant,
        waiter: Option<WaiterId>,
        request: Arc<JobRequest>,
        terms: JobTerms,
    ) -> TrackedJob {
        let steps = request.steps.iter().map(|step| StepProgress {
            waiting: (step.first..step.first.saturating_add(step.count))
                .map(|index| WaitingTask {
                    index,
                    ..WaitingTask::default()
                })
                .collect(),
            ..StepProgress::default()
        });
        let mut job = TrackedJob {
            arrived: now.checked_sub(terms.waited).unwrap_or(now),
            deadline: now + terms.time_left,
            objective: self.objective(&request, &terms),
            waiters: waiter.into_iter().collect(),
            steps: steps.collect(),
            may_have_begun: false,
            has_begun: false,
            run_limit: None,
            kept: None,
            request,
            terms,
        };
        job.update_ready_steps();
        job
    }

    /// The jobs that are in the queue and must not be, or the reverse. There is none unless the pool has a defect.
    pub fn misqueued_jobs(&self) -> Vec<JobId> {
        let mut queued: FastSet<JobId> = self.queue.jobs().collect();
        let mut misqueued = Vec::new();
        for (id, job) in &self.jobs {
            if queued.remove(id) != job.is_queueable() {
                misqueued.push(*id);
            }
        }
        misqueued.extend(queued);
        misqueued
    }

    /// Puts a job where it belongs: at its present rank in the queue, or out of the queue. Has to be called after each
    /// change of a job that may matter for that.
    fn enqueue(&mut self, now: Instant, id: JobId) {
        match self.jobs.get(&id).filter(|job| job.is_queueable()) {
            Some(job) => {
                let entry = self.queue_entry(id, job);
                self.queue.upsert(now, entry);
            }
            None => self.queue.remove(id),
        }
    }

    /// Removes a job from the pool, and with it from the queue: scheduling relies on each queued job being in the pool.
    fn remove_job(&mut self, id: JobId) -> Option<TrackedJob> {
        self.queue.remove(id);
        let removed = self.jobs.remove(&id)?;
        self.job_bytes = self
            .job_bytes
            .saturating_sub(request_bytes(&removed.request));
        Some(removed)
    }

    /// Adds a job to the pool.
    fn insert_job(&mut self, id: JobId, job: TrackedJob) {
        self.job_bytes += request_bytes(&job.request);
        if let Some(former) = self.jobs.insert(id, job) {
            self.job_bytes = self
                .job_bytes
                .saturating_sub(request_bytes(&former.request));
        }
    }

    /// The queued jobs, in the order of placement.
    fn queued_jobs(&self) -> impl Iterator<Item = (JobId, &TrackedJob)> + '_ {
        let queued = self.queue.jobs();
        queued.filter_map(|id| Some((id, self.jobs.get(&id)?)))
    }

    /// The queue entry that determines a job's position. All steps that are not done count: a job
    /// of three steps has to start its first one early enough for the two others to be in time.
    fn queue_entry(&self, id: JobId, job: &TrackedJob) -> QueueEntry {
        let left = critical_path(&job.request.steps, |step, spec| match job.is_done(step) {
            true => Duration::ZERO,
            false => self.predict_slowest(&job.terms, spec),
        });
        QueueEntry {
            job: id,
            priority: job.terms.priority,
            arrived: job.arrived,
            begun: job.may_have_begun && self.is_enabled(Mechanism::BegunFirst),
            by_arrival: !self.is_enabled(Mechanism::LatestStart),
            latest_start: latest_start(job.arrived, job.objective, left),
            useless_from: job.arrived + job.objective.mul_f64(self.settings.useless_factor),
        }
    }

    /// Ends a job with its final outcome and stops its remaining runs.
    fn finish(&mut self, now: Instant, id: JobId, outcome: JobOutcome) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        let attempt = job.terms.attempt_id;
        self.events.push(PoolEvent::JobEnded {
            job: id,
            outcome,
            took: now.saturating_duration_since(job.arrived),
            objective: job.objective,
        });
        for waiter in job.waiters {
            self.answer(waiter, outcome);
        }
        self.stop_job_runs(now, id, attempt);
    }

    fn abandon(&mut self, now: Instant, id: JobId) {
        let job = self.remove_job(id);
        let attempt = job.and_then(|job| job.terms.attempt_id);
        let stopped = self.stop_job_runs(now, id, attempt);
        self.events
            .push(PoolEvent::JobAbandoned { job: id, stopped });
    }

    fn stop_job_runs(&mut self, now: Instant, id: JobId, attempt: Option<JobAttemptId>) -> usize {
        let mut stopped = 0;
        for worker in self.workers.values_mut() {
            let of_job = |run: &&crate::worker::TrackedRun| run.task.job == id;
            let runs: Vec<_> = worker
                .runs
                .iter()
                .filter(of_job)
                .map(|r| (r.task, r.run))
                .collect();
            for (task, run) in runs {
                stopped += usize::from(end_run(worker, task, run));
            }
        }
        self.watch_ended_attempt(now, id, attempt);
        if stopped > 0 {
            self.send_orders(now);
        }
        stopped
    }

    fn answer(&mut self, waiter: WaiterId, outcome: JobOutcome) {
        self.actions.push(PoolAction::Answer { waiter, outcome });
    }

    fn report_worker_change(&mut self, instance: InstanceId, change: WorkerChange) {
        self.events
            .push(PoolEvent::WorkerChanged { instance, change });
    }

    fn remove_unlisted_workers(&mut self, now: Instant) {
        let mut gone = Vec::new();
        for (instance, worker) in &self.workers {
            let Some(since) = worker.unlisted_since else {
                continue;
            };
            if worker.runs.is_empty() || now >= since + UNLISTED_WORKER_GRACE {
                gone.push(instance.clone());
            }
        }
        for instance in gone {
            if let Some(worker) = self.workers.remove(&instance) {
                self.note_lost_runs(now, &worker.runs);
            }
            self.report_worker_change(instance, WorkerChange::Forgotten);
            self.report_attempts_over(now);
        }
    }

    /// Whether a mechanism is enabled.
    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.settings.switched_off.is_enabled(mechanism)
    }

    /// Suspends a worker, so that it gets no new runs for a while.
    fn suspend(&mut self, now: Instant, instance: &InstanceId, cause: SuspensionCause) {
        if !self.is_enabled(Mechanism::Suspension) {
            return;
        }
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let pause = worker.health.suspend(now);
        self.events.push(PoolEvent::WorkerSuspended {
            instance: instance.clone(),
            cause,
            pause,
        });
    }

    fn update_median_slowness(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            worker.decay_slowness(now);
        }
        if !self.is_enabled(Mechanism::SluggishWorkers) {
            self.median_slowness = f64::INFINITY;
            return;
        }
        let open = self.workers.values().filter(|worker| worker.accepts_runs());
        let mut slowness: Vec<f64> = open.map(|worker| worker.slowness).collect();
        slowness.sort_by(f64::total_cmp);
        if let Some(median) = slowness.get(slowness.len() / 2) {
            self.median_slowness = *median;
        }
    }

    /// The owner's clock: the milliseconds since the pool was taken over.
    fn owner_millis(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.clock_origin).as_millis();
        u64::try_from(passed).unwrap_or(u64::MAX)
    }

    /// Returns a run number above all earlier ones of this owner and of former owners.
    fn next_run_number(&mut self, now: Instant) -> RunNumber {
        let by_clock = self.run_number_base + self.owner_millis(now);
        self.last_run_number = by_clock.max(self.last_run_number + 1);
        RunNumber(self.last_run_number)
    }
}

/// Marks a run as stopping and queues the order to stop it. If its start was never sent, the run is
/// removed instead. Returns whether a stop was queued.
fn stop_run(worker: &mut TrackedWorker, task: jobs::TaskId, number: RunNumber) -> bool {
    let Some(run) = worker.run_mut(task, number) else {
        return false;
    };
    if run.phase == RunPhase::Stopping {
        return false;
    }
    let never_sent = run.is_unsent();
    run.phase = RunPhase::Stopping;
    worker
        .queued_orders
        .retain(|order| *order != QueuedOrder::Start(task, number));
    if never_sent {
        worker.remove_run(task, number);
        return false;
    }
    worker.queue_stop(task, number);
    true
}

/// As [`stop_run`], for a run whose attempt has ended: until the stop is answered, the worker's lease
/// is held.
fn end_run(worker: &mut TrackedWorker, task: jobs::TaskId, number: RunNumber) -> bool {
    if let Some(run) = worker.run_mut(task, number) {
        run.must_end = true;
    }
    if worker
        .queued_orders
        .contains(&QueuedOrder::Stop(task, number))
    {
        // Queued before, when the run was only to be repeated elsewhere in this pool.
        worker.queue_stop(task, number);
    }
    stop_run(worker, task, number)
}
