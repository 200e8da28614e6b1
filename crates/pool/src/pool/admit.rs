//! Admission control: forecasts when a new job would end, and admits or refuses it.

use std::time::{Duration, Instant};

use jobs::{
    critical_path, JobId, JobOutcome, JobRequest, JobTerms, RefusalKind, ServiceId, StepSpec,
};

use model::{FastMap, Mechanism, RunTimePolicy};

use super::{WorkerPool, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use crate::{
    action::PoolEvent,
    admission::{AdmissionForecast, AdmissionSimulation, ForecastJob, ForecastStep},
    forecast::{PlacementRule, PoolForecast, WaitingGroup, WorkerForecast},
    job::TrackedJob,
    placement::{can_hold, is_sluggish},
    queue::{latest_start, QueueEntry, QueueRank},
    worker::{RunPhase, TrackedRun, TrackedWorker, SLOWNESS_BOUNDS},
};

/// The minimum remaining time expected of a run, as a share of its predicted time, but no more than
/// the run has taken so far. Estimates are off by 40%, so a run may take longer than predicted.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// How long an offer reserves capacity. The entry collects the offers of other pools and sends the
/// parts of its job within some milliseconds.
const OFFER_LIFETIME: Duration = Duration::from_millis(12);

/// The time after an order to stop a run within which workers guarantee that it ends.
const STOP_TIME: Duration = Duration::from_millis(50);

/// The minimum share of a pool's capacity that must be free to admit a job that will be late.
const MIN_IDLE_SHARE: f64 = 0.4;

/// The maximum forecast time of an admitted late job, as a multiple of its predicted time. A longer
/// forecast means that the job would have to wait for free capacity.
const LATE_JOB_MAX_SLOWDOWN: f64 = 1.3;

/// The maximum predicted time of a late job, as a share of the time after which its answer is
/// useless.
const LATE_JOB_USEFUL_SHARE: f64 = 0.85;

/// The maximum number of waiting jobs that are simulated, in the order of placement. A new job
/// behind that many is certain to be late, since they occupy the pool for seconds. Each costs some
/// microseconds: with some hundreds of late kept jobs, the simulations used up an entire quarter
/// core, so that the owner counted as silent and was replaced again and again.
const MAX_SIMULATED_JOBS: usize = 60;

/// An offer that has not expired.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentOffer {
    made: Instant,
    tasks: WaitingGroup,
}

/// The tasks of all offers as one group with their mean demand and run time. None if there are no offers.
///
/// Simulating each offer separately would cost more the more entries ask, which is under overload.
fn held_for_offers(offers: &[RecentOffer]) -> Option<WaitingGroup> {
    let groups = || offers.iter().map(|offer| &offer.tasks);
    let count: usize = groups().map(|group| group.count).sum();
    if count == 0 {
        return None;
    }
    let cpu: u64 = groups().map(|group| group.cpu * group.count as u64).sum();
    let run_time = groups().map(|group| group.run_time.mul_f64(group.count as f64));
    Some(WaitingGroup {
        count,
        cpu: cpu / count as u64,
        run_time: run_time.sum::<Duration>().div_f64(count as f64),
    })
}

impl WorkerPool {
    /// Decides whether a job is admitted. Returns the refusal if it is not.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
    ) -> Option<JobOutcome> {
        let objective = self.objective(request, terms);
        let returned = self.note_return(now, request.id);
        let tasks = usize::try_from(request.task_count()).unwrap_or(usize::MAX);
        let delay = self.start_delay(tasks);
        let limit = objective.mul_f64(self.settings.refusal_factor);
        let limit = limit.min(self.latest_end(now, request, terms));
        let worth_simulating =
            self.can_be_in_time(request, terms, delay, limit) || self.has_idle_share(now);
        let simulation = match worth_simulating {
            true => self.build_simulation(now, request, terms, objective, None),
            false => None,
        };
        let forecast = match &simulation {
            Some(simulation) => simulation.forecast(),
            None => AdmissionForecast::QUEUE_TOO_LONG,
        };
        let predicted = terms
            .waited
            .saturating_add(forecast.end)
            .saturating_add(delay);
        let queued = self.waiting_task_count();
        let late = predicted > limit && self.is_enabled(Mechanism::LateRefusal);
        let late =
            late && !self.may_serve_late(now, request, terms, &forecast, predicted, objective);
        let delays_others = forecast.delays_admitted && self.is_enabled(Mechanism::HarmCheck);
        let share = self.judge_share(now, request, terms, simulation.as_ref());
        let used_up = share.as_ref().is_some_and(|share| share.over);
        let over_share = share.as_ref().is_some_and(|share| share.refuses);
        let kind = if !self.accepting {
            Some(RefusalKind::NotServing)
        } else if self.evacuated {
            Some(RefusalKind::Evacuated)
        } else if !self.can_ever_hold(request, terms) {
            Some(RefusalKind::NeverFits)
        } else if over_share {
            Some(RefusalKind::OverShare)
        } else if !terms.firm && (late || delays_others || forecast.takes_reserved) {
            Some(RefusalKind::TooLate)
        } else if queued + request.steps.len() > self.settings.max_queued_tasks
            || !self.has_memory_for(request)
        {
            Some(RefusalKind::QueueFull)
        } else {
            None
        };
        // No capacity is reserved for more than the share of a class.
        if !used_up {
            self.record_arrival(now, request, terms, kind);
        }
        let share = share.and_then(|share| self.record_share(now, request, terms, share, kind));
        let return_in = self.update_returns(now, request, terms, kind, returned.is_some());
        self.events.push(PoolEvent::Admission {
            job: request.id,
            refusal: kind,
            predicted,
            start_delay: delay,
            objective,
            queued,
            delays_admitted: forecast.delays_admitted,
            takes_reserved: forecast.takes_reserved,
            share,
            returned,
            return_in,
        });
        let kind = kind?;
        let fits = match kind {
            RefusalKind::TooLate => simulation.map_or(0, |simulation| {
                self.count_in_time(&simulation, request, terms, limit)
            }),
            _ => 0,
        };
        Some(JobOutcome::Refused {
            kind,
            retry_after: return_in
                .map(|time| time.max(MIN_RETRY_AFTER))
                .unwrap_or_else(|| {
                    let backlog = self.load(now).backlog;
                    backlog.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
                }),
            fits,
        })
    }

    /// The number of tasks of a job that the pool could finish in time now: all of them, or a part
    /// if the job has a single step. An offer is not a guarantee.
    pub fn offer(&mut self, now: Instant, request: &JobRequest, terms: &JobTerms) -> u32 {
        if !self.accepting || self.evacuated || !self.can_ever_hold(request, terms) {
            return 0;
        }
        self.note_return(now, request.id);
        let fits = self.count_offered(now, request, terms);
        self.record_short_offer(now, request, terms, fits);
        fits
    }

    fn count_offered(&mut self, now: Instant, request: &JobRequest, terms: &JobTerms) -> u32 {
        let objective = self.objective(request, terms);
        let limit = objective.mul_f64(self.settings.refusal_factor);
        let limit = limit.min(self.latest_end(now, request, terms));
        if !self.can_be_in_time(request, terms, self.start_delay(1), limit) {
            return 0;
        }
        self.recent_offers
            .retain(|offer| now < offer.made + OFFER_LIFETIME);
        let held = held_for_offers(&self.recent_offers);
        let simulation = self.build_simulation(now, request, terms, objective, held);
        let Some(simulation) = simulation else {
            return 0;
        };
        let share = self.judge_share(now, request, terms, Some(&simulation));
        if share.is_some_and(|share| share.refuses) {
            return 0;
        }
        let forecast = simulation.forecast();
        let fits = match self.is_in_time(&forecast, request.task_count(), terms, limit) {
            true => u32::try_from(request.task_count()).unwrap_or(u32::MAX),
            false => self.count_in_time(&simulation, request, terms, limit),
        };
        self.record_offer(now, request, terms, fits);
        fits
    }

    /// The number of tasks for which capacity is held until their offers expire.
    pub fn held_tasks(&self, now: Instant) -> usize {
        let offers = self.recent_offers.iter();
        let held = offers.filter(|offer| now < offer.made + OFFER_LIFETIME);
        held.map(|offer| offer.tasks.count).sum()
    }

    /// Holds the capacity for the offered tasks that can start at once until the offer expires. Otherwise entries that
    /// divide jobs by the same offers would send the pool several times as many tasks as it has free capacity for, and
    /// the rest would wait until their jobs are useless.
    fn record_offer(&mut self, now: Instant, request: &JobRequest, terms: &JobTerms, fits: u32) {
        for spec in request.steps.iter().filter(|spec| spec.after.is_empty()) {
            let count = spec.count.min(fits);
            if count > 0 {
                let tasks = self.waiting_group(terms, spec, count as usize);
                self.recent_offers.push(RecentOffer { made: now, tasks });
            }
        }
    }

    fn is_in_time(
        &self,
        forecast: &AdmissionForecast,
        tasks: u64,
        terms: &JobTerms,
        limit: Duration,
    ) -> bool {
        let delay = self.start_delay(usize::try_from(tasks).unwrap_or(usize::MAX));
        let end = terms.waited.saturating_add(forecast.end);
        end.saturating_add(delay) <= limit && !forecast.delays_admitted && !forecast.takes_reserved
    }

    /// Whether a job is admitted although it will be late: its start need not wait for free capacity, a
    /// large share of the pool is idle, and its answer is still useful to its customer.
    ///
    /// This matters after an outage of all processes, when all waiting customers submit at once. If
    /// their jobs were refused because of the time already waited, the customers would submit them
    /// again even later, while capacity stays idle.
    fn may_serve_late(
        &self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
        forecast: &AdmissionForecast,
        predicted: Duration,
        objective: Duration,
    ) -> bool {
        let chain = self.predict_chain(request, terms);
        let waits = forecast.end > chain.mul_f64(LATE_JOB_MAX_SLOWDOWN);
        let latest_useful = objective.mul_f64(self.settings.useless_factor * LATE_JOB_USEFUL_SHARE);
        let latest_useful = latest_useful.min(self.latest_end(now, request, terms));
        !waits && predicted <= latest_useful && self.has_idle_share(now)
    }

    /// Whether enough of the pool is idle for a late job to displace no other job.
    fn has_idle_share(&self, now: Instant) -> bool {
        let load = self.load(now);
        load.backlog.is_zero() && load.free as f64 >= load.capacity as f64 * MIN_IDLE_SHARE
    }

    /// Whether a job can be in time at all, given the delay of its starts. If late jobs were
    /// simulated, hundreds of them arriving at once would keep an owner that has fallen behind from
    /// catching up.
    fn can_be_in_time(
        &self,
        request: &JobRequest,
        terms: &JobTerms,
        delay: Duration,
        limit: Duration,
    ) -> bool {
        if terms.firm || !self.is_enabled(Mechanism::LateRefusal) {
            return true;
        }
        let chain = self.predict_chain(request, terms);
        let soonest = chain.mul_f64(SLOWNESS_BOUNDS.0);
        terms.waited.saturating_add(soonest).saturating_add(delay) <= limit
    }

    fn record_arrival(
        &mut self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
        refusal: Option<RefusalKind>,
    ) {
        // Parts of divided jobs are skipped, since they say nothing about how wide jobs are.
        if terms.firm {
            return;
        }
        let Some(job) = self.arrived_job(request, terms, refusal) else {
            return;
        };
        self.arrivals.record(now, &job);
    }

    /// The number of tasks of a single-step job that would be in time, and zero for jobs of several
    /// steps. A wide job of short tasks may find no single pool with free capacity for all its tasks at
    /// once, while all pools together have it.
    fn count_in_time(
        &self,
        simulation: &AdmissionSimulation,
        request: &JobRequest,
        terms: &JobTerms,
        limit: Duration,
    ) -> u32 {
        let [step] = request.steps.as_slice() else {
            return 0;
        };
        let in_time = |count: u32| {
            let forecast = simulation.forecast_tasks_per_step(count as usize);
            self.is_in_time(&forecast, u64::from(count), terms, limit)
        };
        // When free capacity is scarce, mostly not even one task fits, so that is checked first.
        if !in_time(1) {
            return 0;
        }
        let (mut fits, mut too_many) = (1, step.count);
        while fits + 1 < too_many {
            let middle = fits + (too_many - fits) / 2;
            if in_time(middle) {
                fits = middle;
            } else {
                too_many = middle;
            }
        }
        fits
    }

    pub(super) fn predict_run_time(&self, terms: &JobTerms, spec: &StepSpec) -> Duration {
        if !self.is_enabled(Mechanism::RunTimes) {
            return spec.estimate;
        }
        self.estimates.predict(&terms.route, spec.estimate)
    }

    /// The predicted run time of the slowest task of a step.
    pub(super) fn predict_slowest(&self, terms: &JobTerms, spec: &StepSpec) -> Duration {
        if !self.is_enabled(Mechanism::RunTimes) {
            return spec.estimate;
        }
        self.estimates
            .predict_slowest(&terms.route, spec.estimate, spec.count)
    }

    /// The predicted run time of a task of a step that is not a long one.
    pub(super) fn predict_typical(&self, terms: &JobTerms, spec: &StepSpec) -> Duration {
        if !self.is_enabled(Mechanism::RunTimes) {
            return spec.estimate;
        }
        self.estimates.predict_typical(&terms.route, spec.estimate)
    }

    /// The predicted time of the longest chain of a job's steps.
    fn predict_chain(&self, request: &JobRequest, terms: &JobTerms) -> Duration {
        critical_path(&request.steps, |_, spec| self.predict_slowest(terms, spec))
    }

    /// The latency objective of a job. What its slowest tasks take beyond typical ones is added as it is and not
    /// stretched, so that it cancels out against the forecast end: otherwise a job without a long task would be left
    /// waiting for as long as one with a long task may wait.
    pub(super) fn objective(&self, request: &JobRequest, terms: &JobTerms) -> Duration {
        let typical = critical_path(&request.steps, |_, spec| self.predict_typical(terms, spec));
        let excess = self.predict_chain(request, terms).saturating_sub(typical);
        typical.mul_f64(terms.stretch) + terms.goal + excess
    }

    /// The work of a job's waiting tasks, in core-milliseconds.
    pub(super) fn waiting_work(&self, job: &TrackedJob) -> f64 {
        let steps = job.placeable_steps().map(|(step, spec)| {
            let cores = spec.demand.cpu.0 as f64 / 1000.0;
            let millis = self.predict_run_time(&job.terms, spec).as_secs_f64() * 1000.0;
            cores * millis * job.steps[step].waiting.len() as f64
        });
        steps.sum()
    }

    pub(super) fn can_ever_hold(&self, request: &JobRequest, terms: &JobTerms) -> bool {
        request.steps.iter().all(|spec| {
            let mut workers = self.workers.values();
            workers.any(|worker| can_hold(&worker.record, spec, &terms.service))
        })
    }

    /// Builds the simulation of the pool with the new job inserted among the waiting jobs. The tasks
    /// in `held` are placed before all of them. Returns `None` if too many jobs are ahead of the new one.
    fn build_simulation(
        &self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
        objective: Duration,
        held: Option<WaitingGroup>,
    ) -> Option<AdmissionSimulation> {
        let chain = self.predict_chain(request, terms);
        let arrived = now.checked_sub(terms.waited).unwrap_or(now);
        let entry = QueueEntry {
            job: request.id,
            priority: terms.priority,
            arrived,
            begun: false,
            latest_start: latest_start(arrived, objective, chain),
            by_arrival: !self.is_enabled(Mechanism::LatestStart),
            useless_from: arrived + objective.mul_f64(self.settings.useless_factor),
        };
        let rank = entry.rank(now);
        let running = self.remaining_step_times(now);
        let unplaced = self.unplaced_jobs(now, &terms.service);
        let queue_position = unplaced.partition_point(|(other, _, _)| *other < rank);
        if queue_position >= MAX_SIMULATED_JOBS {
            return None;
        }
        let simulated = unplaced.iter().take(MAX_SIMULATED_JOBS);
        let mut behind: Vec<ForecastJob> = simulated
            .map(|(_, id, job)| self.forecast_job(now, *id, job, &running))
            .collect();
        let before: Vec<ForecastJob> = behind.drain(..queue_position).collect();
        let steps = request.steps.iter();
        let steps = steps.map(|spec| self.forecast_step(terms, spec, spec.count as usize));
        let new = ForecastJob {
            steps: steps.collect(),
            limit: None,
        };
        // While the path to the workers is congested, jobs of the first priority are late because
        // of the path and not for lack of capacity, so capacity reserved for them would stay empty.
        let reserves_capacity = self.is_enabled(Mechanism::KeptRoom) && !self.is_congested();
        let expected = match reserves_capacity {
            true => self.arrivals.expected_above(now, terms.priority),
            false => Vec::new(),
        };
        let mut expected = expected;
        expected.extend(self.reserved_for_returns(now, request.id, terms.priority));
        let mut pool = self.pool_forecast(now, &terms.service);
        if let Some(held) = held {
            pool.place(&held, Duration::ZERO);
        }
        Some(AdmissionSimulation::new(
            pool, &before, new, behind, expected,
        ))
    }

    /// The jobs of a service that have unplaced tasks, in the order of placement. Besides the
    /// queued jobs, these are the ones whose later steps wait for earlier ones.
    fn unplaced_jobs(
        &self,
        now: Instant,
        service: &ServiceId,
    ) -> Vec<(QueueRank, JobId, &TrackedJob)> {
        let of_service = |job: &TrackedJob| job.terms.service == *service;
        let mut unplaced = Vec::new();
        for (rank, id) in self.queue.ranked() {
            if let Some(job) = self.jobs.get(&id).filter(|job| of_service(job)) {
                unplaced.push((rank, id, job));
            }
        }
        let queued = unplaced.len();
        for (id, job) in &self.jobs {
            let waits = job.placeable_count() == 0 && job.has_unplaced() && !job.has_ended();
            if waits && of_service(job) {
                unplaced.push((self.queue_entry(*id, job).rank(now), *id, job));
            }
        }
        if unplaced.len() > queued {
            unplaced.sort_by_key(|(rank, _, _)| *rank);
        }
        unplaced
    }

    /// The longest remaining time of the runs of each step, for jobs of several steps.
    fn remaining_step_times(&self, now: Instant) -> FastMap<(JobId, u32), Duration> {
        let mut running = FastMap::default();
        for worker in self.workers.values() {
            for run in &worker.runs {
                let job = self.jobs.get(&run.task.job);
                if job.is_none_or(|job| job.steps.len() < 2) {
                    continue;
                }
                let left = self.remaining_time(run, worker.slowness, now);
                let step = running
                    .entry((run.task.job, run.task.step))
                    .or_insert(Duration::ZERO);
                *step = left.max(*step);
            }
        }
        running
    }

    fn waiting_group(&self, terms: &JobTerms, spec: &StepSpec, count: usize) -> WaitingGroup {
        WaitingGroup {
            count,
            cpu: spec.demand.cpu.0,
            run_time: self.predict_run_time(terms, spec),
        }
    }

    fn forecast_step(&self, terms: &JobTerms, spec: &StepSpec, count: usize) -> ForecastStep {
        ForecastStep {
            waiting: self.waiting_group(terms, spec, count),
            slowest_extra: self
                .predict_slowest(terms, spec)
                .saturating_sub(self.predict_run_time(terms, spec)),
            running: Duration::ZERO,
            after: spec.after.clone(),
        }
    }

    fn forecast_job(
        &self,
        now: Instant,
        id: JobId,
        job: &TrackedJob,
        running: &FastMap<(JobId, u32), Duration>,
    ) -> ForecastJob {
        let mut steps = Vec::with_capacity(job.steps.len());
        for (number, spec) in (0..).zip(&job.request.steps) {
            let waiting = job.steps[number as usize].waiting.len();
            steps.push(ForecastStep {
                running: running.get(&(id, number)).copied().unwrap_or_default(),
                ..self.forecast_step(&job.terms, spec, waiting)
            });
        }
        let limit = job.arrived + job.objective.mul_f64(self.settings.refusal_factor);
        ForecastJob {
            steps,
            limit: limit.checked_duration_since(now),
        }
    }

    fn pool_forecast(&self, now: Instant, service: &ServiceId) -> PoolForecast {
        let workers = self.workers_for_new_jobs(now).into_iter();
        let workers = workers.filter(|worker| worker.record.service == *service);
        let (sluggish, others): (Vec<_>, Vec<_>) =
            workers.partition(|worker| is_sluggish(worker, self.median_slowness));
        // The median is as of the last tick, so a pool's only worker may seem slower than its pool
        // until the next tick. If all workers seem sluggish, they count, since a job must not be
        // refused as if there were no worker.
        let counted = if others.is_empty() { sluggish } else { others };
        let workers = counted.into_iter();
        PoolForecast {
            workers: workers
                .map(|worker| self.worker_forecast(worker, now))
                .collect(),
            rule: match self.settings.policies.run_times {
                RunTimePolicy::Mean => PlacementRule::EarliestEnd,
                RunTimePolicy::Distribution => PlacementRule::EarliestStart,
            },
        }
    }

    fn worker_forecast(&self, worker: &TrackedWorker, now: Instant) -> WorkerForecast {
        let capacity = worker.record.capacity.cpu.0;
        let used = worker.used_capacity().cpu.0;
        let mut forecast = WorkerForecast::new(capacity, used, worker.slowness);
        for run in &worker.runs {
            let left = self.remaining_time(run, worker.slowness, now);
            forecast.add_running(left, run.demand.cpu.0);
        }
        forecast
    }

    pub(super) fn remaining_time(&self, run: &TrackedRun, slowness: f64, now: Instant) -> Duration {
        if run.phase == RunPhase::Stopping {
            return STOP_TIME;
        }
        if let Some(left) = self.remaining_by_distribution(run, slowness, now) {
            return left;
        }
        let took = now.saturating_duration_since(run.placed_at);
        let predicted = run.predicted.mul_f64(slowness);
        let left = predicted.saturating_sub(took);
        left.max(run.predicted.mul_f64(MIN_REMAINING_SHARE).min(took))
    }
}
