//! A discrete-event model of entries, dispatchers and endpoints in virtual time, which uses the policies of this crate.
//! Messages take half a millisecond, and none is lost.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use decisions::{
    AdmissionDecision, AdmissionPolicy, AdmissionQuery, DispatcherKey, DrainRate, EndKind,
    EndReport, EndpointHealth, FairQueue, FleetLatency, HealthSettings, PlacementQuery,
    PlacementRule, PlacementSettings, PlacementTable, QueueEntry, QueueSettings, RunTimeEstimate,
    RunTimeSettings, RunTimeTable, SlotsHint, WaitEstimator, WorkClass,
};
use model::{
    AttemptId, Contract, CustomerId, CustomerShare, IncarnationId, RefusableWork, SubmissionId,
    TaskKind,
};

const MESSAGE_DELAY: Duration = Duration::from_micros(500);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const SLOTS_PER_ENDPOINT: u32 = 8;
/// How long a customer without work still counts as competing for slots.
const ACTIVE_FOR: Duration = Duration::from_secs(2);

/// The workload of one customer.
#[derive(Clone)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    pub(crate) may_refuse: RefusableWork,
    pub(crate) concurrency: u32,
    pub(crate) deadline_ms: u64,
    /// The time in seconds from which the customer submits.
    pub(crate) from: f64,
    /// The time in seconds until which the customer submits.
    pub(crate) until: f64,
    /// The number of jobs per second.
    pub(crate) rate: f64,
    /// The most tasks of a job; each job has a random number from 1.
    pub(crate) most_tasks: u32,
    /// The shortest and the longest usual run time in milliseconds.
    pub(crate) run_ms: (u64, u64),
    /// The percentage of long tasks, and their run time in milliseconds.
    pub(crate) long: (u32, u64),
    /// The ratio of declared to true run time.
    pub(crate) declared: f64,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            name: "usual",
            may_refuse: RefusableWork::Nothing,
            concurrency: 400,
            deadline_ms: 10_000,
            from: 0.0,
            until: 30.0,
            rate: 0.0,
            most_tasks: 20,
            run_ms: (50, 350),
            long: (0, 0),
            declared: 1.0,
        }
    }
}

/// The processes of the model. An endpoint has a slowdown factor and a flag for failing every task.
#[derive(Clone)]
pub(crate) struct Cluster {
    pub(crate) dispatchers: usize,
    pub(crate) entries: usize,
    pub(crate) rule: PlacementRule,
    pub(crate) endpoints: Vec<(u32, bool)>,
}

impl Default for Cluster {
    fn default() -> Self {
        Self {
            dispatchers: 3,
            entries: 3,
            rule: PlacementRule::FreeSlots,
            endpoints: vec![(1, false); 17],
        }
    }
}

/// The numbers of jobs of one workload by their outcome.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) submitted: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
    pub(crate) late: u32,
    /// The response time over the run time of the longest task, for each answered job.
    pub(crate) ratios: Vec<f64>,
}

impl Outcome {
    pub(crate) fn percent(&self, count: u32) -> f64 {
        f64::from(count) * 100.0 / f64::from(self.submitted.max(1))
    }

    /// The quantile of [`Self::ratios`] at `fraction`; infinite if no job was answered.
    pub(crate) fn ratio(&self, fraction: f64) -> f64 {
        let mut ratios = self.ratios.clone();
        ratios.sort_by(f64::total_cmp);
        let rank = (ratios.len() as f64 * fraction) as usize;
        ratios
            .get(rank.min(ratios.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::INFINITY)
    }
}

struct Job {
    load: usize,
    entry: usize,
    arrived: Instant,
    due: Instant,
    runs: Vec<Duration>,
    left: usize,
    expected: Vec<Duration>,
    stages: Vec<Stage>,
    ended: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    Running,
    Ended,
}

struct Dispatcher {
    queue: FairQueue,
    fleet: FleetLatency,
    endpoints: Vec<(usize, EndpointHealth)>,
}

struct Entry {
    table: PlacementTable,
    unanswered: Vec<u32>,
    /// Tasks held back by the customer's concurrency limit, by workload like all fields below.
    queued_at_entry: Vec<VecDeque<AttemptId>>,
    /// Tasks in flight.
    in_flight: Vec<u32>,
    /// Accepted work that has not ended.
    open_work: Vec<Duration>,
    /// The part of `open_work` that has not started.
    unstarted_work: Vec<Duration>,
    drain: Vec<DrainRate>,
    /// The time of the last stage change of a task.
    active_at: Vec<Option<Instant>>,
}

enum Event {
    /// A job arrives at its entry.
    Arrive(usize),
    /// An offer arrives at a dispatcher.
    Offer(usize, AttemptId),
    /// A hint arrives: the entry, the dispatcher, the hint, and whether it answers an offer.
    Hint(usize, usize, SlotsHint, bool),
    /// A task ends: the dispatcher, its endpoint, the attempt, whether it failed, and the charged run time.
    End(usize, usize, AttemptId, bool, Duration),
    Tick,
}

pub(crate) struct SlotModel {
    cluster: Cluster,
    loads: Vec<Workload>,
    customers: Vec<CustomerId>,
    kind: TaskKind,
    jobs: Vec<Job>,
    entries: Vec<Entry>,
    dispatchers: Vec<Dispatcher>,
    times: RunTimeTable,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    rng: fastrand::Rng,
    outcomes: Vec<Outcome>,
}

impl SlotModel {
    /// Runs the workloads on the cluster and returns the outcome of each.
    pub(crate) fn run(
        cluster: Cluster,
        loads: Vec<Workload>,
        seed: u64,
    ) -> BTreeMap<&'static str, Outcome> {
        let start = Instant::now();
        let mut model = Self::new(cluster, loads, seed);
        model.submit(start);
        model.schedule(start, Event::Tick);
        while let Some(((now, _), event)) = model.events.pop_first() {
            model.handle(now, event);
        }
        let names = model.loads.iter().map(|load| load.name);
        names.zip(model.outcomes).collect()
    }

    fn new(cluster: Cluster, loads: Vec<Workload>, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = PlacementSettings {
            rule: cluster.rule,
            ..PlacementSettings::default()
        };
        let mut dispatchers = Vec::new();
        for dispatcher_index in 0..cluster.dispatchers {
            let mut endpoints = Vec::new();
            for endpoint_index in
                (dispatcher_index..cluster.endpoints.len()).step_by(cluster.dispatchers)
            {
                endpoints.push((
                    endpoint_index,
                    EndpointHealth::new(HealthSettings::default()),
                ));
            }
            dispatchers.push(Dispatcher {
                queue: FairQueue::new(QueueSettings::default()),
                fleet: FleetLatency::default(),
                endpoints,
            });
        }
        let local: model::DataCentreId = "local".parse().unwrap();
        let mut entries = Vec::new();
        for _ in 0..cluster.entries {
            let mut table = PlacementTable::new(settings.clone(), local.clone(), rng.fork());
            for dispatcher_index in 0..cluster.dispatchers {
                table.add_dispatcher(DispatcherKey(dispatcher_index as u64), &local);
            }
            entries.push(Entry {
                table,
                unanswered: vec![0; cluster.dispatchers],
                queued_at_entry: vec![VecDeque::new(); loads.len()],
                in_flight: vec![0; loads.len()],
                open_work: vec![Duration::ZERO; loads.len()],
                unstarted_work: vec![Duration::ZERO; loads.len()],
                drain: vec![DrainRate::default(); loads.len()],
                active_at: vec![None; loads.len()],
            });
        }
        Self {
            customers: loads
                .iter()
                .map(|load| load.name.parse().unwrap())
                .collect(),
            outcomes: loads.iter().map(|_| Outcome::default()).collect(),
            cluster,
            loads,
            kind: "kind".parse().unwrap(),
            jobs: Vec::new(),
            entries,
            dispatchers,
            times: RunTimeTable::new(RunTimeSettings::default()),
            events: BTreeMap::new(),
            next_event: 0,
            rng,
        }
    }

    fn submit(&mut self, start: Instant) {
        for (load_index, load) in self.loads.clone().iter().enumerate() {
            let mut at = load.from;
            loop {
                at -= (1.0 - self.rng.f64()).ln() / load.rate;
                if at >= load.until {
                    break;
                }
                let arrived = start + Duration::from_secs_f64(at);
                let mut runs = Vec::new();
                for _ in 0..self.rng.u32(1..=load.most_tasks) {
                    let ms = match self.rng.u32(..100) < load.long.0 {
                        true => load.long.1,
                        false => self.rng.u64(load.run_ms.0..=load.run_ms.1),
                    };
                    runs.push(Duration::from_millis(ms));
                }
                self.jobs.push(Job {
                    load: load_index,
                    entry: self.rng.usize(..self.cluster.entries),
                    arrived,
                    due: arrived + Duration::from_millis(load.deadline_ms),
                    left: runs.len(),
                    expected: Vec::new(),
                    stages: vec![Stage::Waiting; runs.len()],
                    runs,
                    ended: false,
                });
                self.schedule(arrived, Event::Arrive(self.jobs.len() - 1));
            }
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(now, job),
            Event::Offer(dispatcher_index, attempt) => {
                self.offer(now, dispatcher_index, attempt);
                self.send_hint(now, dispatcher_index, attempt, true);
                self.start(now, dispatcher_index);
            }
            Event::Hint(entry, dispatcher_index, hint, reply) => {
                let entry = &mut self.entries[entry];
                entry.unanswered[dispatcher_index] -= u32::from(reply);
                let key = DispatcherKey(dispatcher_index as u64);
                entry
                    .table
                    .on_hint(now, key, hint, entry.unanswered[dispatcher_index]);
            }
            Event::End(dispatcher_index, endpoint_index, attempt, failed, charged) => {
                self.end(
                    now,
                    dispatcher_index,
                    endpoint_index,
                    attempt,
                    failed,
                    charged,
                );
                self.send_hint(now, dispatcher_index, attempt, false);
                self.start(now, dispatcher_index);
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Sends hints to all entries, drops overdue work, and starts tasks that waited for a backoff or quarantine to end.
    fn tick(&mut self, now: Instant) {
        for dispatcher_index in 0..self.dispatchers.len() {
            for entry in self.dispatchers[dispatcher_index].queue.take_overdue(now) {
                self.end_job(now, entry.attempt, |outcome| &mut outcome.late);
                self.release_in_flight(now, entry.attempt);
            }
            self.start(now, dispatcher_index);
            for entry in 0..self.entries.len() {
                let hint = self.hint(now, dispatcher_index);
                self.schedule(
                    now + MESSAGE_DELAY,
                    Event::Hint(entry, dispatcher_index, hint, false),
                );
            }
        }
        if self.jobs.iter().any(|job| !job.ended) {
            self.schedule(now + TICK_INTERVAL, Event::Tick);
        }
    }

    fn arrive(&mut self, now: Instant, job_index: usize) {
        let (load_index, entry_index) = (self.jobs[job_index].load, self.jobs[job_index].entry);
        self.outcomes[load_index].submitted += 1;
        if !self.admits(now, job_index) {
            self.jobs[job_index].ended = true;
            self.outcomes[load_index].refused += 1;
            return;
        }
        for run in self.jobs[job_index].runs.clone() {
            let declared = Some(run.mul_f64(self.loads[load_index].declared));
            let expected = self.expect(now, load_index, declared).run_time;
            self.jobs[job_index].expected.push(expected);
            self.entries[entry_index].open_work[load_index] += expected;
            self.entries[entry_index].unstarted_work[load_index] += expected;
        }
        for task in 0..self.jobs[job_index].runs.len() {
            self.entries[entry_index].queued_at_entry[load_index]
                .push_back(attempt(job_index, task));
        }
        self.place(now, entry_index, load_index);
    }

    fn admits(&mut self, now: Instant, job_index: usize) -> bool {
        let job = &self.jobs[job_index];
        let load = &self.loads[job.load];
        let entry = &self.entries[job.entry];
        let contract = Contract {
            may_refuse: load.may_refuse,
            concurrency: load.concurrency,
            answer_within_ms: load.deadline_ms,
            ..Contract::default()
        };
        let mut work = Duration::ZERO;
        let mut longest = None;
        for run in &job.runs {
            let declared = Some(run.mul_f64(load.declared));
            let estimate = self.expect(now, job.load, declared);
            work += estimate.run_time;
            longest = longest.max(Some((estimate.run_time, estimate.source)));
        }
        let (run_time, source) = longest.unwrap();
        let fraction = 1.0 - 0.1 / job.runs.len() as f64;
        let name = &self.customers[job.load];
        let tail_run_time = self
            .times
            .quantile(now, name, &self.kind, Some(run_time), fraction)
            .run_time;
        let entries = self.entries.len();
        let active_since = now - ACTIVE_FOR;
        let active = entry
            .active_at
            .iter()
            .filter(|at| **at > Some(active_since));
        let estimator = WaitEstimator {
            pending_work: entry.unstarted_work[job.load],
            share: CustomerShare(1),
            active_shares: active.count() as u64,
            drain_rate: entry.drain[job.load],
            slots: entry.table.slots(now) as f64 / entries as f64,
        };
        let query = AdmissionQuery {
            contract: &contract,
            class: WorkClass::Job,
            tasks: job.runs.len() as u32,
            longest_estimate: RunTimeEstimate { run_time, source },
            tail_run_time,
            expected_work: work,
            deadline: job.due - now,
            open_tasks: entry.in_flight[job.load] + entry.queued_at_entry[job.load].len() as u32,
            open_work: entry.open_work[job.load],
            granted_concurrency: (load.concurrency / entries as u32).max(1),
            predicted_wait: estimator.predicted_wait(),
            saturation: entry.table.saturation(now),
        };
        // Before the first hint the number of slots is unknown, so everything is admitted.
        let decision = AdmissionPolicy::default().decide(&query, &mut self.rng);
        entry.table.slots(now) == 0 || decision == AdmissionDecision::Admit
    }

    /// Places the tasks that the customer's concurrency limit lets through.
    fn place(&mut self, now: Instant, entry_index: usize, load_index: usize) {
        let granted_concurrency =
            (self.loads[load_index].concurrency / self.entries.len() as u32).max(1);
        let query = PlacementQuery {
            mean_run_time: self.expect(now, load_index, None).run_time,
        };
        while self.entries[entry_index].in_flight[load_index] < granted_concurrency {
            let entry = &mut self.entries[entry_index];
            let Some(attempt) = entry.queued_at_entry[load_index].pop_front() else {
                return;
            };
            if self.jobs[attempt.submission.serial as usize].ended {
                continue;
            }
            let chosen = entry.table.choose(now, query);
            let dispatcher_index = chosen.map_or_else(
                || self.rng.usize(..self.cluster.dispatchers),
                |key| key.0 as usize,
            );
            entry.unanswered[dispatcher_index] += 1;
            entry.in_flight[load_index] += 1;
            self.schedule(now + MESSAGE_DELAY, Event::Offer(dispatcher_index, attempt));
        }
    }

    fn offer(&mut self, now: Instant, dispatcher_index: usize, attempt: AttemptId) {
        let job = &self.jobs[attempt.submission.serial as usize];
        let load = &self.loads[job.load];
        let declared = job.runs[attempt.task as usize].mul_f64(load.declared);
        let customer = self.customers[job.load].clone();
        let expected = self
            .times
            .expected_run_time(now, &customer, &self.kind, Some(declared))
            .run_time;
        let entry = QueueEntry {
            attempt,
            customer,
            share: CustomerShare(1),
            expected,
            due: job.due,
        };
        if job.ended
            || self.dispatchers[dispatcher_index]
                .queue
                .push(now, entry)
                .is_err()
        {
            self.end_job(now, attempt, |outcome| &mut outcome.late);
            self.release_in_flight(now, attempt);
        }
    }

    fn start(&mut self, now: Instant, dispatcher_index: usize) {
        loop {
            let dispatcher = &mut self.dispatchers[dispatcher_index];
            let mut best: Option<usize> = None;
            for (endpoint_index, (_, health)) in dispatcher.endpoints.iter().enumerate() {
                if health.running() >= health.capacity(now, SLOTS_PER_ENDPOINT) {
                    continue;
                }
                if best.is_none_or(|b| health.slowdown() < dispatcher.endpoints[b].1.slowdown()) {
                    best = Some(endpoint_index);
                }
            }
            let Some(endpoint_index) = best else {
                return;
            };
            let Some(entry) = dispatcher.queue.pop(now) else {
                return;
            };
            let (endpoint, health) = &mut dispatcher.endpoints[endpoint_index];
            health.on_start(now);
            let (slowdown, fails) = self.cluster.endpoints[*endpoint];
            let job = &self.jobs[entry.attempt.submission.serial as usize];
            let ran = match fails {
                true => Duration::from_millis(1),
                false => job.runs[entry.attempt.task as usize] * slowdown,
            };
            if job.stages[entry.attempt.task as usize] == Stage::Waiting {
                self.set_stage(now, entry.attempt, Stage::Running);
            }
            self.schedule(
                now + ran,
                Event::End(
                    dispatcher_index,
                    endpoint_index,
                    entry.attempt,
                    fails,
                    entry.expected,
                ),
            );
        }
    }

    fn end(
        &mut self,
        now: Instant,
        dispatcher_index: usize,
        endpoint_index: usize,
        attempt: AttemptId,
        failed: bool,
        charged: Duration,
    ) {
        let job = &self.jobs[attempt.submission.serial as usize];
        let (load_index, entry_index) = (job.load, job.entry);
        let expected = self.expect(now, load_index, None).run_time;
        let dispatcher = &mut self.dispatchers[dispatcher_index];
        let (endpoint, health) = &mut dispatcher.endpoints[endpoint_index];
        let ran = match failed {
            true => Duration::from_millis(1),
            false => job.runs[attempt.task as usize] * self.cluster.endpoints[*endpoint].0,
        };
        dispatcher
            .queue
            .correct_charge(&self.customers[load_index], ran, charged);
        match failed {
            true => self
                .times
                .record_failure(now, &self.customers[load_index], &self.kind),
            false => {
                self.times
                    .record(now, &self.customers[load_index], &self.kind, ran);
                dispatcher.fleet.on_done(ran, expected);
            }
        }
        let report = EndReport {
            kind: [EndKind::Done, EndKind::Failed][usize::from(failed)],
            ran,
            expected: dispatcher.fleet.scale(expected),
            failure_rate: self
                .times
                .failure_rate(&self.customers[load_index], &self.kind),
        };
        health.on_end(now, report);
        self.entries[entry_index]
            .table
            .on_end(DispatcherKey(dispatcher_index as u64));
        self.set_stage(now, attempt, Stage::Ended);
        self.release_in_flight(now, attempt);
        if failed {
            self.end_job(now, attempt, |outcome| &mut outcome.failed);
            for dispatcher in &mut self.dispatchers {
                let removed = dispatcher.queue.remove_submission(attempt.submission);
                self.entries[entry_index].in_flight[load_index] -= removed.len() as u32;
            }
            return;
        }
        let job = &mut self.jobs[attempt.submission.serial as usize];
        job.left -= 1;
        if job.left > 0 || job.ended {
            return;
        }
        let longest = job.runs.iter().max().unwrap().as_secs_f64();
        let (took, in_time) = (now - job.arrived, now <= job.due);
        self.outcomes[load_index]
            .ratios
            .push(took.as_secs_f64() / longest);
        match in_time {
            true => self.end_job(now, attempt, |outcome| &mut outcome.in_time),
            false => self.end_job(now, attempt, |outcome| &mut outcome.late),
        }
    }

    fn expect(&self, now: Instant, load: usize, declared: Option<Duration>) -> RunTimeEstimate {
        let name = &self.customers[load];
        self.times
            .expected_run_time(now, name, &self.kind, declared)
    }

    fn set_stage(&mut self, now: Instant, attempt: AttemptId, stage: Stage) {
        let job = &mut self.jobs[attempt.submission.serial as usize];
        let task = attempt.task as usize;
        self.entries[job.entry].active_at[job.load] = Some(now);
        let before = std::mem::replace(&mut job.stages[task], stage);
        let entry = &mut self.entries[job.entry];
        if before == Stage::Waiting && stage != Stage::Waiting {
            entry.unstarted_work[job.load] -= job.expected[task];
        }
        if stage == Stage::Running {
            let backlog = !entry.unstarted_work[job.load].is_zero();
            entry.drain[job.load].on_start(now, job.expected[task], backlog);
        }
        if before != Stage::Ended && stage == Stage::Ended {
            entry.open_work[job.load] -= job.expected[task];
        }
    }

    /// Ends a job and counts its outcome, unless it has already ended.
    fn end_job(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        count: impl FnOnce(&mut Outcome) -> &mut u32,
    ) {
        let job = &mut self.jobs[attempt.submission.serial as usize];
        if job.ended {
            return;
        }
        job.ended = true;
        *count(&mut self.outcomes[job.load]) += 1;
        for task in 0..job.runs.len() as u32 {
            self.set_stage(now, AttemptId { task, ..attempt }, Stage::Ended);
        }
    }

    fn release_in_flight(&mut self, now: Instant, attempt: AttemptId) {
        let job = &self.jobs[attempt.submission.serial as usize];
        let (entry_index, load_index) = (job.entry, job.load);
        self.entries[entry_index].in_flight[load_index] -= 1;
        self.place(now, entry_index, load_index);
    }

    fn hint(&self, now: Instant, dispatcher_index: usize) -> SlotsHint {
        let dispatcher = &self.dispatchers[dispatcher_index];
        let mut hint = SlotsHint {
            queued: dispatcher.queue.len() as u32,
            ..SlotsHint::default()
        };
        for (_, health) in &dispatcher.endpoints {
            hint.limit += health.capacity(now, SLOTS_PER_ENDPOINT);
            hint.running += health.running();
        }
        hint
    }

    fn send_hint(
        &mut self,
        now: Instant,
        dispatcher_index: usize,
        attempt: AttemptId,
        reply: bool,
    ) {
        let entry = self.jobs[attempt.submission.serial as usize].entry;
        let hint = self.hint(now, dispatcher_index);
        self.schedule(
            now + MESSAGE_DELAY,
            Event::Hint(entry, dispatcher_index, hint, reply),
        );
    }
}

fn attempt(job: usize, task: usize) -> AttemptId {
    AttemptId {
        submission: SubmissionId {
            incarnation: IncarnationId(1),
            serial: job as u64,
        },
        task: task as u32,
        attempt: 0,
    }
}
