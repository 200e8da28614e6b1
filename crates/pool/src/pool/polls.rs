//! Polling of workers: when polls are sent, and how listings and missed polls are handled.

use std::time::{Duration, Instant};

use jobs::{
    CompleteListing, EndCause, EndedRun, InstanceId, JobId, JobOutcome, KeptState, RunNumber,
    TaskId, WorkerClock, WorkerListing,
};

use model::{Mechanism, RunTimePolicy};

use super::{crash_blame::LostRun, progress::StalledRun, stop_run, WorkerPool};
use crate::{
    action::{
        CallFailure, PollAnswer, PollOrder, PoolAction, PoolEvent, RunBeginning, RunLoss,
        StallEvidence, SuspensionCause, WorkerChange,
    },
    job::WaitingTask,
    kept::STORING_POLL_PAUSE,
    run_progress::next_check,
    worker::{MissedPoll, PollMiss, QueuedOrder, RunPhase, TrackedRun, TrackedWorker},
    worker_watch::WATCH_POLL_WAIT,
};

/// The delay after which the ends of an idle worker are acknowledged, which costs one poll. Short
/// enough to keep the worker's list of ends short.
const IDLE_ACK_DELAY: Duration = Duration::from_millis(1_000);

/// The pause after a poll that a silent worker did not answer.
const SILENT_POLL_PAUSE: Duration = Duration::from_millis(150);

/// The longest pause between polls of a worker with runs whose lease has to lapse before its ends may be acknowledged.
const MAX_LAPSE_POLL_PAUSE: Duration = Duration::from_millis(50);

/// The minimum wait of a poll, so that a run that is checked for a stall does not cause poll after
/// poll.
const MIN_POLL_WAIT: Duration = Duration::from_millis(30);

/// The wait of a poll while the worker gets no new runs until others have stopped, which takes 50 ms at most.
const STOPPING_POLL_WAIT: Duration = Duration::from_millis(20);

/// An overdue run that has not advanced by one percent in this time counts as stalled. At a tenth
/// of its speed, a run of 900 ms takes 90 ms per percent.
const STALL_TIME: Duration = Duration::from_millis(110);

/// The minimum number of failures of one task before its job fails, even if its route allows fewer
/// attempts: one or two failures may be the fault of workers that fail every run. Kept jobs fail
/// after the attempts of their route.
const MIN_JOB_FAILURES: u32 = 3;

/// The minimum progress at which a run's speed is computed. Below it, most of the time is the transit
/// time of the start and the listing, which made healthy workers seem several times too slow
/// for the next job.
const MIN_PROGRESS_PERCENT: u8 = 10;

/// A run whose projected time exceeds this multiple of its predicted time shows that its worker is
/// slow.
const SLOW_RUN_FACTOR: f64 = 2.0;

impl WorkerPool {
    /// Sends the polls that are due and the orders whose pause is over.
    pub(super) fn send_polls_and_orders(&mut self, now: Instant) {
        let owner_millis = self.owner_millis(now);
        // The owners of other pools' jobs wait for ends of theirs that are listed here, but not for long.
        let has_foreign_jobs = self.kept_loaded && !self.foreign_jobs.is_empty();
        let wants_ends = self.has_kept_on_hold() || has_foreign_jobs;
        let hedge = self.poll_hedge_delay(now);
        let margin = self.poll_margin();
        for worker in self.workers.values_mut() {
            if !worker.needs_poll(now, IDLE_ACK_DELAY, wants_ends, hedge) {
                continue;
            }
            let order = poll_order(worker, now, owner_millis, &self.settings, margin);
            worker.polls_in_flight += 1;
            worker.last_poll_sent = now;
            worker.polls_paused_until = None;
            self.actions.push(PoolAction::Poll(order));
        }
        self.send_orders(now);
    }

    /// Handles the answer to a poll that was sent at `sent`.
    pub fn on_poll_answer(
        &mut self,
        now: Instant,
        sent: Instant,
        order: &PollOrder,
        answer: PollAnswer,
    ) {
        let instance = &order.instance;
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        worker.polls_in_flight = worker.polls_in_flight.saturating_sub(1);
        match answer {
            Ok(listing) => self.apply_listing(now, sent, order, listing),
            // This owner has raised the worker's fence since the poll was sent.
            Err(CallFailure::FencedOut) if order.fence < worker.fence => (),
            Err(CallFailure::FencedOut) => self.handle_worker_takeover(now, instance),
            Err(CallFailure::NewInstance) => self.forget_instance(now, instance),
            Err(CallFailure::NoAnswer) if now < sent + order.timeout => {
                self.record_missed_poll(now, sent, instance, PollMiss::Broken);
            }
            Err(
                CallFailure::NoAnswer
                | CallFailure::NotSent
                | CallFailure::Unhealthy
                | CallFailure::Malformed,
            ) => {
                self.record_missed_poll(now, sent, instance, PollMiss::Silent);
            }
        }
        self.schedule(now);
        self.send_polls_and_orders(now);
    }

    /// The delay after which an unanswered poll is hedged by a second one, or `None` if no answers
    /// were lost recently.
    fn poll_hedge_delay(&self, now: Instant) -> Option<Duration> {
        let lost = self
            .last_missed_answer
            .filter(|_| self.is_enabled(Mechanism::HedgedLooks))?;
        // Answers that are late because the path is congested arrive in the end, and hedged polls
        // would only add to the congestion.
        let lossy = now < lost + self.settings.lost_answer_memory && !self.is_congested();
        lossy.then_some(self.settings.poll_hedge_delay)
    }

    /// How much longer than its wait a poll may take, based on current answer times.
    fn poll_margin(&self) -> Duration {
        let settings = &self.settings;
        if !self.is_enabled(Mechanism::AnswerLimits) {
            return settings.poll_margin;
        }
        let limit = self
            .answer_times
            .timeout(Duration::ZERO, settings.order_answer_timeout);
        settings
            .poll_margin
            .max(limit * 2)
            .min(settings.max_poll_margin)
    }

    fn record_missed_poll(
        &mut self,
        now: Instant,
        sent: Instant,
        instance: &InstanceId,
        miss: PollMiss,
    ) {
        self.last_missed_answer = Some(now);
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        // A later poll was answered, so only this poll was lost and its worker is alive.
        if worker.answered_poll_sent.is_some_and(|later| later > sent) {
            return;
        }
        if miss == PollMiss::Broken {
            // No copy may be sent to the next incarnation, which could die of it.
            for (task, run) in worker.mark_unreached_runs(now) {
                stop_run(worker, task, run);
            }
        }
        worker.missed_polls += 1;
        worker
            .first_miss
            .get_or_insert(MissedPoll { kind: miss, sent });
        if !worker.is_silent() {
            return;
        }
        worker.polls_paused_until = Some(now + SILENT_POLL_PAUSE);
        let runs = worker.runs.len();
        let first = worker.missed_polls == crate::worker::MISSED_POLLS_TO_SILENCE;
        if first {
            self.events.push(PoolEvent::WorkerSilent {
                instance: instance.clone(),
                runs,
            });
        }
    }

    fn apply_listing(
        &mut self,
        now: Instant,
        sent: Instant,
        order: &PollOrder,
        listing: WorkerListing,
    ) {
        if !self.check_incarnation(now, sent, order, &listing) {
            return;
        }
        let owner_millis = self.owner_millis(now);
        let instance = &order.instance;
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        worker.record_listing(now, owner_millis, listing.clock, order.fence);
        let had_misses = worker.missed_polls > 0;
        let newly_answering = worker.clock.is_none() || had_misses;
        let first_listing = worker.clock.is_none();
        worker.record_poll_time(now.saturating_duration_since(sent));
        worker.missed_polls = 0;
        worker.first_miss = None;
        worker.answered_poll_sent = worker.answered_poll_sent.max(Some(sent));
        // Answers to two polls may overtake each other. Ends are numbered; everything else is valid
        // only in the newest listing.
        let newest = listing.clock > worker.listed_clock;
        worker.listed_clock = worker.listed_clock.max(listing.clock);
        worker.ends_listed |= self.kept_loaded && listing.ended.is_complete();
        if newest && !listing.ended.is_complete() && !worker.has_unlisted_ends() {
            let first_end = listing.ended.as_slice().first();
            self.events.push(PoolEvent::EndsCutOff {
                instance: instance.clone(),
                first_end: first_end.map_or(0, |end| end.number),
                runs: worker.runs.len(),
            });
        }
        if newest {
            worker.listed_ends = listing.ended.as_slice().len();
        }
        worker.update_clock(owner_millis, listing.clock);
        worker.acknowledged_end = worker.acknowledged_end.max(order.acknowledged_end);
        let clock_offset = worker.clock.map_or(0, |clock| clock.offset);
        let born = worker.born;
        if newly_answering {
            self.events.push(PoolEvent::WorkerAnswers {
                instance: instance.clone(),
                clock_offset,
            });
        }
        if first_listing {
            self.note_former_leases(instance);
        }
        // A worker that left the directory and came back has no misses.
        if newly_answering {
            self.clear_crash(instance, born);
        }
        self.note_listed_jobs(&listing);
        for end in listing.ended.as_slice() {
            self.apply_end(now, instance, end);
        }
        self.pause_polls(now, instance, &listing);
        if newest {
            self.stop_foreign_runs(instance, &listing);
            self.update_progress(now, instance, &listing);
        }
        if let Some(listing) = listing.complete() {
            self.drop_missing_runs(now, sent, instance, listing);
        }
    }

    fn apply_end(&mut self, now: Instant, instance: &InstanceId, end: &EndedRun) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        if end.number <= worker.last_seen_end {
            return;
        }
        if self.kept_loaded {
            worker.last_seen_end = end.number;
        }
        let Some(task) = end.task else {
            return;
        };
        let Some(run) = worker.remove_run(task, end.run) else {
            // Until the rows are read, the end is not acknowledged and every listing has it again.
            if self.kept_loaded {
                self.apply_found_end(now, instance, end);
            }
            return;
        };
        worker.last_end_time = now;
        let took = now.saturating_duration_since(run.placed_at);
        self.events.push(PoolEvent::RunEnded {
            task,
            run: run.run,
            instance: instance.clone(),
            cause: end.cause,
            took,
        });
        self.report_attempt_over(now, task.job);
        let failures = self.record_end(task, instance, end);
        match end.cause {
            EndCause::Done => self.complete_task(now, instance, &run, took),
            EndCause::Failed => self.fail_task(now, instance, run, failures),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => self.requeue(now, run),
        }
        self.store_changes(task.job);
    }

    /// Notes that a task of a job is known to have begun.
    pub(super) fn note_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_begun = true;
        }
    }

    /// Notes which jobs have begun by the runs that a worker lists, whichever owner ordered them. A worker lists no end of a
    /// run that it has not begun.
    fn note_listed_jobs(&mut self, listing: &WorkerListing) {
        let running = listing.running.iter().filter_map(|run| run.task);
        let ended = listing.ended.as_slice().iter();
        for task in running.chain(ended.filter_map(|end| end.task)) {
            self.note_begun(task.job);
        }
    }

    /// Pauses polls of a worker while its ends must not be acknowledged, since it lists them again
    /// and again until they are: until they are stored, and until its lease has lapsed.
    fn pause_polls(&mut self, now: Instant, instance: &InstanceId, listing: &WorkerListing) {
        let owner_millis = self.owner_millis(now);
        let margin = self.settings.lease_expiry_margin;
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let unread = !self.kept_loaded && !listing.ended.as_slice().is_empty();
        match unread {
            true => worker.note_unread_ends(now, listing.ended.as_slice()),
            false => worker.note_read_ends(),
        }
        worker.note_lapse(listing, margin);
        if unread || !worker.unstored_ends.is_empty() {
            worker.polls_paused_until = Some(now + STORING_POLL_PAUSE);
        } else if !worker.unlapsed_ends.is_empty() {
            let lapse = worker.time_to_lapse(owner_millis, margin);
            let longest = match worker.runs.is_empty() {
                true => self.settings.lease,
                false => MAX_LAPSE_POLL_PAUSE,
            };
            let pause = lapse.unwrap_or_default().min(longest);
            worker.polls_paused_until = Some(now + pause.max(STORING_POLL_PAUSE));
        }
    }

    fn complete_task(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        run: &TrackedRun,
        took: Duration,
    ) {
        let relative_slowness = self.relative_slowness(instance);
        let learning_enabled = self.is_enabled(Mechanism::Speeds);
        let learned = learning_enabled && self.learn_pace(now, instance, run, took);
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.health.record_success();
            if learning_enabled && !learned {
                worker.update_slowness(now, run.predicted, took);
            }
        }
        let id = run.task.job;
        if self.crashes.clear_task(run.task) {
            self.update_recorded_deaths(id);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.estimates
            .record_run(&job.terms.route, run.estimate, took, relative_slowness);
        if let Some(step) = job.steps.get_mut(run.task.step as usize) {
            step.done += 1;
        }
        self.advance_job(now, id);
    }

    /// Marks the steps that have become ready. Ends the job if all steps are done, and otherwise
    /// updates its place in the queue. A job whose end is being stored does not go on.
    pub(super) fn advance_job(&mut self, now: Instant, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.has_ended()) else {
            return;
        };
        job.recount_done();
        job.update_ready_steps();
        let (complete, kept) = (job.is_complete(), job.kept.is_some());
        match (complete, kept) {
            (true, true) => self.end_kept(now, id, KeptState::Completed),
            (true, false) => self.finish(now, id, JobOutcome::Completed),
            (false, _) => self.enqueue(now, id),
        }
    }

    /// Handles a failed run. `recorded` is the number of the task's failures in the record of a kept
    /// job.
    fn fail_task(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        mut run: TrackedRun,
        recorded: u32,
    ) {
        let id = run.task.job;
        let mut is_task_fault = true;
        if let Some(worker) = self.workers.get_mut(instance) {
            // A failure on a worker that fails everything says nothing about the task.
            is_task_fault = worker.health.is_healthy();
            if worker.health.record_failure(id) {
                self.suspend(now, instance, SuspensionCause::Failing);
            }
        }
        run.failures += u32::from(is_task_fault);
        run.failed_on.push(instance.clone());
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.kept.is_some() {
            // For a kept job every failure counts as an attempt, even if the worker is to blame.
            if recorded >= job.terms.attempts {
                self.end_kept(now, id, KeptState::Failed);
            } else {
                self.requeue(now, run);
            }
            return;
        }
        if run.failures >= job.terms.attempts.max(MIN_JOB_FAILURES) {
            self.finish(now, id, JobOutcome::Failed);
            return;
        }
        self.requeue(now, run);
    }

    /// Requeues a task whose run is certainly over.
    pub(super) fn requeue(&mut self, now: Instant, run: TrackedRun) {
        let id = run.task.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.has_ended()) else {
            return;
        };
        let step_index = run.task.step as usize;
        // If a kept job was released and loaded again, the task may already be waiting or done.
        if job.kept.is_some() && !job.is_unaccounted(step_index, run.task.index) {
            return;
        }
        let Some(step) = job.steps.get_mut(step_index) else {
            return;
        };
        let task = WaitingTask {
            index: run.task.index,
            failures: run.failures,
            failed_on: run.failed_on,
        };
        // The last task in the list is placed first. A crash suspect goes to the front, since it
        // may have to wait longer than the other tasks of its step.
        match self.crashes.restriction(now, run.task).is_suspect() {
            true => step.waiting.insert(0, task),
            false => step.waiting.push(task),
        }
        self.enqueue(now, id);
    }

    /// Stops runs that a former owner ordered. Their demands are not known, so nothing is placed
    /// beside them.
    fn stop_foreign_runs(&mut self, instance: &InstanceId, listing: &WorkerListing) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let mut foreign: Vec<(TaskId, RunNumber)> = Vec::new();
        for running in &listing.running {
            let Some(task) = running.task else {
                continue;
            };
            let run = running.run;
            if worker.run_mut(task, run).is_some() {
                continue;
            }
            // An end in the listing, new or repeated, takes precedence over the listing's running
            // runs, which may be older.
            let mut ended = listing.ended.as_slice().iter();
            if ended.any(|end| end.task == Some(task) && end.run == run) {
                continue;
            }
            foreign.push((task, run));
        }
        for known in &foreign {
            if worker.foreign_runs.contains(known) {
                continue;
            }
            worker
                .queued_orders
                .push_back(QueuedOrder::Stop(known.0, known.1));
            self.events.push(PoolEvent::ForeignRun {
                task: Some(known.0),
                run: known.1,
                instance: instance.clone(),
            });
        }
        worker.foreign_runs = foreign;
    }

    fn update_progress(&mut self, now: Instant, instance: &InstanceId, listing: &WorkerListing) {
        if let Some(stalled) = self.update_progress_by_distribution(now, instance, listing) {
            self.stop_stalled(now, instance, stalled);
            return;
        }
        let learning_enabled = self.is_enabled(Mechanism::Speeds);
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let mut stalled = Vec::new();
        let mut slowest: Option<(Duration, Duration)> = None;
        for running in &listing.running {
            let Some(run) = running
                .task
                .and_then(|task| worker.run_mut(task, running.run))
            else {
                continue;
            };
            run.beginning = RunBeginning::Begun;
            if run.phase == RunPhase::Ordered {
                run.phase = RunPhase::Running;
            }
            if running.percent > run.percent {
                run.percent = running.percent;
                run.progressed_at = now;
            }
            if is_overdue(run, &self.settings, now) {
                stalled.push(StalledRun {
                    task: run.task,
                    run: run.run,
                    took: now.saturating_duration_since(run.placed_at),
                    percent: run.percent,
                    evidence: StallEvidence::Overdue,
                });
            } else if run.percent >= MIN_PROGRESS_PERCENT {
                let worked = now.saturating_duration_since(run.confirmed_at.unwrap_or(now));
                let projected = worked.mul_f64(100.0 / f64::from(run.percent));
                if projected > run.predicted.mul_f64(SLOW_RUN_FACTOR) {
                    slowest = Some((run.predicted, projected));
                }
            }
        }
        if let Some((predicted, projected)) = slowest.filter(|_| learning_enabled) {
            worker.update_slowness(now, predicted, projected);
        }
        self.stop_stalled(now, instance, stalled);
    }

    /// Stops stalled runs and suspends their worker.
    fn stop_stalled(&mut self, now: Instant, instance: &InstanceId, stalled: Vec<StalledRun>) {
        if stalled.is_empty() || !self.is_enabled(Mechanism::StallStop) {
            return;
        }
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        for run in stalled {
            stop_run(worker, run.task, run.run);
            self.events.push(PoolEvent::RunStalled {
                task: run.task,
                run: run.run,
                instance: instance.clone(),
                took: run.took,
                percent: run.percent,
                evidence: run.evidence,
            });
        }
        // Runs that stall together are one fault of their worker and cost one suspension.
        self.suspend(now, instance, SuspensionCause::Stalled);
    }

    /// Removes the runs that the listing proves to be over or never to begin, and requeues their
    /// tasks.
    fn drop_missing_runs(
        &mut self,
        now: Instant,
        sent: Instant,
        instance: &InstanceId,
        listing: CompleteListing<'_>,
    ) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let mut missing = Vec::new();
        for run in &worker.runs {
            if !listing.is_active(run.task, run.run) && is_over(run, sent, listing.clock()) {
                missing.push((run.task, run.run));
            }
        }
        let mut lost = Vec::new();
        for (task, run) in missing {
            lost.extend(worker.remove_run(task, run));
        }
        for run in lost {
            self.record_lost_run(now, &run, instance, RunLoss::NotListed);
            self.requeue(now, run);
        }
    }

    /// Treats all runs of a worker as over and requeues their tasks.
    pub(super) fn lose_all_runs(&mut self, now: Instant, instance: &InstanceId, loss: RunLoss) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let runs = std::mem::take(&mut worker.runs);
        worker.foreign_runs.clear();
        worker.queued_orders.clear();
        let died = loss == RunLoss::NewIncarnation;
        let lost = runs.iter();
        let lost = lost.map(|run| LostRun::new(now, run, worker.had_until_death(run)));
        let lost: Vec<LostRun> = lost.collect();
        let culprits = self.record_worker_loss(now, instance, lost, died);
        for run in runs {
            self.record_lost_run(now, &run, instance, loss);
            self.requeue(now, run);
        }
        self.fail_culprit_jobs(now, culprits);
    }

    /// Removes a worker instance that another one has replaced: the runs of the removed one are over.
    pub(super) fn forget_instance(&mut self, now: Instant, instance: &InstanceId) {
        self.lose_all_runs(now, instance, RunLoss::NewIncarnation);
        self.confirm_crash(now, instance);
        if self.workers.remove(instance).is_some() {
            self.report_worker_change(instance.clone(), WorkerChange::Forgotten);
        }
    }

    /// Handles the takeover of a worker by another owner. That owner stops the runs there, but
    /// possibly not before this owner could start the same tasks elsewhere. The jobs with runs on
    /// the worker are therefore given up. The other workers and jobs continue.
    pub(super) fn handle_worker_takeover(&mut self, now: Instant, instance: &InstanceId) {
        let Some(worker) = self.workers.remove(instance) else {
            return;
        };
        self.report_worker_change(instance.clone(), WorkerChange::TakenOver);
        self.note_lost_runs(now, &worker.runs);
        let is_of_kept_job = |run: &TrackedRun| {
            let job = self.jobs.get(&run.task.job);
            job.is_some_and(|job| job.kept.is_some())
        };
        if worker.runs.iter().any(is_of_kept_job) {
            self.release_all_kept(now);
        }
        for run in &worker.runs {
            self.finish(now, run.task.job, JobOutcome::GivenUp);
        }
        self.report_attempts_over(now);
        if self.workers.is_empty() {
            self.actions.push(PoolAction::ReleasePool);
        }
    }

    pub(super) fn record_lost_run(
        &mut self,
        now: Instant,
        run: &TrackedRun,
        instance: &InstanceId,
        loss: RunLoss,
    ) {
        self.events.push(PoolEvent::RunLost {
            task: run.task,
            run: run.run,
            instance: instance.clone(),
            loss,
            beginning: run.beginning,
        });
        self.report_attempt_over(now, run.task.job);
    }
}

/// Whether a run that is missing from a complete listing is over or can never begin.
///
/// If its start was answered before the poll was sent, the run existed and must have ended. If its
/// stop was answered before the poll was sent, it has ended or never begins. If its start went
/// unanswered, it may still begin until the lease end of its last start has passed on the worker's
/// clock.
fn is_over(run: &TrackedRun, sent: Instant, clock: WorkerClock) -> bool {
    let was_there = run.confirmed_at.is_some_and(|confirmed| confirmed < sent);
    let was_stopped = run.stop_acked_at.is_some_and(|acked| acked < sent);
    let never_begins = !run.is_unsent() && run.start_expires < clock;
    was_there || was_stopped || never_begins
}

/// Whether a run takes several times its predicted time and does not advance.
pub(super) fn is_overdue(run: &TrackedRun, settings: &crate::PoolSettings, now: Instant) -> bool {
    let took = now.saturating_duration_since(run.placed_at);
    let stalled_for = now.saturating_duration_since(run.progressed_at);
    let overdue = run.predicted.mul_f64(settings.stall_factor) + settings.stall_margin;
    run.phase == RunPhase::Running && took >= overdue && stalled_for >= STALL_TIME
}

fn poll_order(
    worker: &mut TrackedWorker,
    now: Instant,
    owner_millis: u64,
    settings: &crate::PoolSettings,
    margin: Duration,
) -> PollOrder {
    // The lease is not renewed for a worker that does not answer, so that its runs end with the
    // lease that was sent last.
    let renew = !worker.runs.is_empty() && worker.missed_polls == 0;
    let clock = worker.min_clock_now(owner_millis).filter(|_| renew);
    let granted = clock.and_then(|_| worker.grant_lease(owner_millis, settings.lease));
    let lease_end = granted.filter(|end| Some(*end) > clock);
    let wait = poll_wait(worker, now, settings);
    PollOrder {
        instance: worker.record.instance.clone(),
        address: worker.record.address,
        fence: worker.fence,
        lease_end,
        acknowledged_end: worker.ends_to_acknowledge(now),
        wait,
        timeout: wait + margin,
    }
}

fn poll_wait(worker: &TrackedWorker, now: Instant, settings: &crate::PoolSettings) -> Duration {
    if !worker.foreign_runs.is_empty() || worker.lacks_start_lease() {
        return STOPPING_POLL_WAIT;
    }
    if worker.accepts_runs() && worker.runs.is_empty() && worker.has_answered_watch(now) {
        return WATCH_POLL_WAIT;
    }
    if !worker.accepts_runs() || worker.runs.is_empty() {
        return Duration::ZERO;
    }
    let mut wait = settings.poll_wait;
    for run in &worker.runs {
        if settings.policies.run_times == RunTimePolicy::Distribution {
            wait = wait.min(next_check(run, worker.slowness, now));
            continue;
        }
        let overdue = run.predicted.mul_f64(settings.stall_factor) + settings.stall_margin;
        let left = (run.placed_at + overdue).saturating_duration_since(now);
        wait = wait.min(left.max(MIN_POLL_WAIT));
    }
    wait
}
