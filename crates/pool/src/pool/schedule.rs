//! Scheduling: places waiting tasks on workers with free capacity, sends orders and handles
//! timeouts.

use std::time::{Duration, Instant};

use jobs::{CpuMillis, InstanceId, JobId, JobOutcome, RefusalKind, TaskId};
use model::Mechanism;

use super::{WorkerPool, MIN_RETRY_AFTER, RESEND_BURST};
use crate::{
    action::{PoolAction, PoolEvent, RunBeginning, StartOrder, StopOrder},
    crash::TaskRestriction,
    job::{TrackedJob, WaitingTask},
    placement::{choose_worker, PlacementRequest},
    worker::{QueuedOrder, RunPhase, TrackedRun, TrackedWorker},
};

/// The smoothed answer time above which a worker may have several orders in flight, each on its own
/// connection: a tenth of the time that jobs of the shortest class have in addition to their run
/// time.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(8);

/// The maximum number of orders in flight to one worker while answers are slow: as many as the tasks
/// of wide jobs that fit on a worker at the same time.
const MAX_SLOW_ORDERS_IN_FLIGHT: usize = 3;

impl WorkerPool {
    /// Runs all time-driven work: deadlines, expired leases, placement, polls and orders.
    pub fn tick(&mut self, now: Instant) {
        self.end_overdue_jobs(now);
        self.tick_exclusions(now);
        self.tick_kept(now);
        self.end_evacuated_jobs(now);
        self.expire_silent_leases(now);
        self.remove_unlisted_workers(now);
        self.update_median_slowness(now);
        self.prune_crashes(now);
        self.expire_returns(now);
        self.reserve_workers_for_suspects(now);
        self.watch_workers_for_suspects(now);
        self.schedule(now);
        self.send_polls_and_orders(now);
    }

    /// Places waiting tasks in queue order while workers have free capacity, and sends the orders.
    pub(super) fn schedule(&mut self, now: Instant) {
        if self.evacuated {
            self.send_orders(now);
            return;
        }
        self.queue.reclassify(now);
        let order: Vec<JobId> = self.queue.jobs().collect();
        let mut max_free_cpu = self.max_free_cpu();
        for job in order {
            if self.is_start_window_full() {
                break;
            }
            // Skips jobs that fit on no worker: with hundreds of waiting jobs and no free capacity,
            // trying each job on each worker would take most of the owner's time.
            let min_cpu = self.jobs.get(&job).map(TrackedJob::min_placeable_cpu);
            if min_cpu.is_none_or(|cpu| cpu > max_free_cpu) {
                continue;
            }
            if self.place_job_tasks(now, job) {
                max_free_cpu = self.max_free_cpu();
            }
        }
        self.send_orders(now);
    }

    /// The largest free processor capacity of any worker that may get runs.
    fn max_free_cpu(&self) -> CpuMillis {
        let open = self.workers.values().filter(|worker| worker.accepts_runs());
        let free = open.map(|worker| worker.free_capacity().cpu);
        free.max().unwrap_or_default()
    }

    /// Places as many tasks of a job as find a worker. Returns whether any was placed.
    fn place_job_tasks(&mut self, now: Instant, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        let Some(job) = job.filter(|job| self.may_run(now, job)) else {
            return false;
        };
        let steps: Vec<usize> = job.placeable_steps().map(|(step, _)| step).collect();
        let mut placed = false;
        for step in steps {
            while !self.is_start_window_full() {
                let Some((index, instance)) = self.choose_task(now, id, step) else {
                    break;
                };
                let Some(job) = self.jobs.get_mut(&id) else {
                    break;
                };
                let task = job.steps[step].waiting.remove(index);
                job.may_have_begun = true;
                self.place_task(now, id, step, task, &instance);
                placed = true;
            }
        }
        if placed {
            self.enqueue(now, id);
        }
        placed
    }

    /// The waiting task of a step to place next, by its index, and its worker. A task that may not be placed does not
    /// hold back those that other restrictions hold for: what is reserved for a suspect is closed to its siblings.
    fn choose_task(&self, now: Instant, id: JobId, step: usize) -> Option<(usize, InstanceId)> {
        let job = self.jobs.get(&id)?;
        let waiting = &job.steps[step].waiting;
        if self.crashes.is_empty() {
            let last = waiting.last()?;
            let instance = self.find_worker(now, id, job, step, last)?;
            return Some((waiting.len() - 1, instance));
        }
        for restriction in TaskRestriction::PLACEABLE {
            let is_restricted_so = |task: &WaitingTask| {
                self.crashes.restriction(now, task_id(id, step, task.index)) == restriction
            };
            let Some(index) = waiting.iter().rposition(is_restricted_so) else {
                continue;
            };
            if let Some(instance) = self.find_worker(now, id, job, step, &waiting[index]) {
                return Some((index, instance));
            }
        }
        None
    }

    fn find_worker(
        &self,
        now: Instant,
        id: JobId,
        job: &TrackedJob,
        step: usize,
        task: &WaitingTask,
    ) -> Option<InstanceId> {
        let step_number = u32::try_from(step).unwrap_or(u32::MAX);
        let restriction = self.crashes.restriction(now, task_id(id, step, task.index));
        if restriction == TaskRestriction::Hold {
            return None;
        }
        let spec = &job.request.steps[step];
        let placement = PlacementRequest {
            job: id,
            step: step_number,
            spec,
            service: &job.terms.service,
            failed_on: &task.failed_on,
            far_factor: self.far_factor,
            median_slowness: self.median_slowness,
            max_slowness: self.max_slowness(now, job, spec),
            restriction,
            watched: self.crashes.needs_watch(task_id(id, step, task.index)),
            reserved: &self.reserved_for_suspects,
            owner_millis: self.owner_millis(now),
            runs_until: self.runs_until(job),
        };
        choose_worker(self.workers.values(), &placement, now)
            .map(|worker| worker.record.instance.clone())
    }

    fn place_task(
        &mut self,
        now: Instant,
        id: JobId,
        step: usize,
        task: WaitingTask,
        instance: &InstanceId,
    ) {
        let run = self.next_run_number(now);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let spec = &job.request.steps[step];
        let task_id = task_id(id, step, task.index);
        let tracked = TrackedRun {
            task: task_id,
            run,
            demand: spec.demand,
            text: job.request.text.clone(),
            phase: RunPhase::Ordered,
            beginning: RunBeginning::Unsent,
            placed_at: now,
            confirmed_at: None,
            must_end: false,
            stop_acked_at: None,
            start_expires: jobs::WorkerClock(0),
            starts_sent: 0,
            starts_not_sent: 0,
            answered_starts: 0,
            starts_in_flight: 0,
            predicted: self.predict_run_time(&job.terms, spec),
            estimate: spec.estimate,
            percent: 0,
            progressed_at: now,
            pace_learned: false,
            failures: task.failures,
            restriction: self.crashes.restriction(now, task_id),
            failed_on: task.failed_on,
            runs_until: self.runs_until(job),
        };
        self.events.push(PoolEvent::RunPlaced {
            task: task_id,
            run,
            instance: instance.clone(),
            waited: now.saturating_duration_since(job.arrived),
        });
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        worker.runs.push(tracked);
        worker
            .queued_orders
            .push_back(QueuedOrder::Start(task_id, run));
    }

    fn is_start_window_full(&self) -> bool {
        self.is_enabled(Mechanism::StartWindow)
            && self.starts_in_flight() >= self.start_window.size()
    }

    /// The number of starts that are sent or about to be and not known to have been carried out.
    /// Silent workers are not counted.
    pub(super) fn starts_in_flight(&self) -> usize {
        let workers = self.workers.values().filter(|worker| !worker.is_silent());
        let runs = workers.flat_map(|worker| &worker.runs);
        runs.filter(|run| run.phase == RunPhase::Ordered).count()
    }

    /// The number of waiting tasks that may be placed now.
    pub(super) fn waiting_task_count(&self) -> usize {
        let jobs = self.queued_jobs();
        jobs.map(|(_, job)| job.placeable_count()).sum()
    }

    /// How long it takes to start the tasks of a new job after the starts in flight and the waiting
    /// tasks, at the current answer time. Zero unless the path to the workers is congested.
    pub(super) fn start_delay(&self, tasks: usize) -> Duration {
        if !self.is_congested() {
            return Duration::ZERO;
        }
        let ahead = self.starts_in_flight() + self.waiting_task_count() + tasks;
        let rounds = ahead as f64 / self.start_window.size().max(1) as f64;
        self.answer_times.smoothed().mul_f64(rounds)
    }

    /// The maximum number of orders in flight to one worker, each on its own connection beside the
    /// one for polls. While answers are slow, several orders keep the second task of a job on a
    /// worker from waiting for the answer to the first. While answers are quick, a single order is
    /// better, since an order that has not been sent can be withdrawn.
    fn max_orders_in_flight(&self) -> usize {
        match self.answer_times.smoothed() > SLOW_ANSWER_TIME {
            true => MAX_SLOW_ORDERS_IN_FLIGHT,
            false => 1,
        }
    }

    /// Sends each worker its next orders. Starts are withdrawn instead if the data centre is
    /// evacuated, the worker is over its capacity or its held lease is too short.
    pub(super) fn send_orders(&mut self, now: Instant) {
        let overdue = self.resend_timeout();
        let max_orders_in_flight = self.max_orders_in_flight();
        let context = OrderContext {
            now,
            owner_millis: self.owner_millis(now),
            lease: self.settings.lease,
            overdue,
            limit: match self.is_enabled(Mechanism::AnswerLimits) {
                true => self.settings.order_answer_timeout,
                false => overdue,
            },
        };
        let mut withdrawn = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.orders_paused_until.is_some_and(|pause| now < pause) {
                continue;
            }
            worker.orders_paused_until = None;
            while worker.orders_in_flight < max_orders_in_flight {
                let Some(order) = worker.queued_orders.pop_front() else {
                    break;
                };
                let action = match order {
                    QueuedOrder::Start(task, run)
                        if self.evacuated
                            || worker.is_over_capacity()
                            || worker.lacks_start_lease() =>
                    {
                        withdrawn.push((worker.record.instance.clone(), task, run));
                        continue;
                    }
                    QueuedOrder::Start(task, run) => start_action(worker, task, run, &context),
                    QueuedOrder::Stop(task, run) => stop_action(worker, task, run, &context),
                };
                if let Some(action) = action {
                    worker.orders_in_flight += 1;
                    let resend_budget = self.resend_budget + self.settings.max_resend_share;
                    self.resend_budget = resend_budget.min(RESEND_BURST);
                    self.actions.push(action);
                }
            }
        }
        if !withdrawn.is_empty() {
            self.withdraw_starts(now, withdrawn);
            self.send_orders(now);
        }
    }

    /// Refuses jobs that have not started by their deadline or by the time at which their answer
    /// becomes useless, and gives up started jobs at their deadline. Kept jobs are exempt.
    fn end_overdue_jobs(&mut self, now: Instant) {
        let mut ends = Vec::new();
        let unkept = self.jobs.iter().filter(|(_, job)| job.kept.is_none());
        for (id, job) in unkept {
            let useless = job.arrived + job.objective.mul_f64(self.settings.useless_factor);
            let limit = job.run_limit.map_or(job.deadline, |limit| limit.stop_at());
            let deadline = job.deadline.min(limit);
            if !job.may_have_begun && (now >= useless || now >= deadline) {
                let kind = RefusalKind::TooLate;
                ends.push((
                    *id,
                    JobOutcome::Refused {
                        kind,
                        retry_after: MIN_RETRY_AFTER,
                        fits: 0,
                    },
                ));
            } else if now >= deadline {
                ends.push((*id, JobOutcome::GivenUp));
            }
        }
        for (id, outcome) in ends {
            self.finish(now, id, outcome);
        }
    }

    /// Requeues the runs of silent workers once their leases have certainly expired.
    fn expire_silent_leases(&mut self, now: Instant) {
        let owner_millis = self.owner_millis(now);
        let mut lapsed = Vec::new();
        for (instance, worker) in &self.workers {
            if worker.runs.is_empty() || !worker.is_silent() {
                continue;
            }
            let Some(clock) = worker.min_clock_now(owner_millis) else {
                continue;
            };
            if clock >= worker.lease_end.plus(self.settings.lease_expiry_margin) {
                lapsed.push(instance.clone());
            }
        }
        for instance in lapsed {
            self.lose_all_runs(now, &instance, crate::action::RunLoss::LeaseExpired);
        }
    }
}

pub(super) fn task_id(job: JobId, step: usize, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: u32::try_from(step).unwrap_or(u32::MAX),
        index,
    }
}

/// The values shared by all orders that are sent in one pass.
struct OrderContext {
    now: Instant,
    owner_millis: u64,
    lease: Duration,
    overdue: Duration,
    limit: Duration,
}

fn start_action(
    worker: &mut TrackedWorker,
    task: jobs::TaskId,
    number: jobs::RunNumber,
    context: &OrderContext,
) -> Option<PoolAction> {
    let lease_end = worker.grant_lease(context.owner_millis, context.lease)?;
    let (instance, address) = (worker.record.instance.clone(), worker.record.address);
    let run = worker.run_mut(task, number)?;
    run.starts_sent += 1;
    if run.beginning == RunBeginning::Unsent {
        run.beginning = RunBeginning::Unconfirmed;
    }
    run.starts_in_flight += 1;
    // The worker's clock is known as a lower bound only, so a copy may carry an earlier lease end than the one before it.
    run.start_expires = run.start_expires.max(lease_end);
    let text = run.text.clone();
    Some(PoolAction::Start(StartOrder {
        instance,
        address,
        fence: worker.fence,
        task,
        run: number,
        text,
        lease_end,
        sent: context.now,
        overdue_after: context.overdue,
        timeout: context.limit,
    }))
}

fn stop_action(
    worker: &TrackedWorker,
    task: jobs::TaskId,
    run: jobs::RunNumber,
    context: &OrderContext,
) -> Option<PoolAction> {
    let known = worker.runs.iter().any(|r| r.task == task && r.run == run);
    if !known && !worker.foreign_runs.contains(&(task, run)) {
        return None;
    }
    Some(PoolAction::Stop(StopOrder {
        instance: worker.record.instance.clone(),
        address: worker.record.address,
        fence: worker.fence,
        task,
        run,
        sent: context.now,
        // A repeated stop is idempotent and the run occupies its capacity until it has stopped, so
        // stops use the shorter limit.
        timeout: context.overdue,
    }))
}
