//! Looks at workers: when one is sent, and what its answer says.

use std::time::{Duration, Instant};

use jobs::{
    EndCause, EndedRun, JobId, JobOutcome, KeptState, LifeId, RunNumber, TaskId, WorkerClock,
    WorkerListing,
};

use model::Mechanism;

use super::{stop_run, WorkerPool};
use crate::{
    action::{
        CallFailure, PollAnswer, PollOrder, PoolAction, PoolNote, RunLoss, SuspensionCause,
        WorkerChange,
    },
    crash::TaskRestriction,
    job::WaitingTask,
    kept::STORING_POLL_PAUSE,
    worker::{QueuedOrder, RunPhase, TrackedRun, TrackedWorker},
};

/// Ends of an idle worker are acknowledged after this time, for the one look that costs. Soon enough for a worker's
/// list of ends to stay short.
const IDLE_ACK: Duration = Duration::from_millis(1_000);

/// The pause after a look that a silent worker did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(150);

/// The shortest wait of a look, so that a run that is looked at for a stall does not draw look after look.
const SHORTEST_WAIT: Duration = Duration::from_millis(30);

/// The wait of a look while runs of a former owner are being stopped, which takes 50 ms at most.
const FOREIGN_WAIT: Duration = Duration::from_millis(20);

/// A run that has not advanced by one percent in this time while it is overdue stands still. At a tenth of its speed
/// a run of 900 ms takes 90 ms for a percent.
const STANDSTILL: Duration = Duration::from_millis(110);

/// Fewest failures of one task before its job counts as failed, if its route allows fewer: one or two may be the
/// fault of workers that fail everything.
const FEWEST_FAILURES: u32 = 3;

/// The progress from which on a run says how fast it is. Of less, what a start and a listing take on their way is the most, and
/// a sound worker seemed several times too slow for the next job.
const TELLING_PERCENT: u8 = 10;

/// A run whose progress projects to this many times its predicted time says that its worker is slow.
const SLOW_PROJECTION: f64 = 2.0;

impl WorkerPool {
    /// Sends the looks that are due, and the orders whose pause is over.
    pub(super) fn keep_watch(&mut self, now: Instant) {
        let owner_millis = self.millis(now);
        let wants_ends = self.has_held_back();
        let hedge = self.hedge(now);
        let margin = self.look_margin();
        for worker in self.workers.values_mut() {
            if !worker.needs_poll(now, IDLE_ACK, wants_ends, hedge) {
                continue;
            }
            let order = look_order(worker, now, owner_millis, &self.settings, margin);
            worker.polls_in_flight += 1;
            worker.last_poll_sent = now;
            worker.polls_paused_until = None;
            self.actions.push(PoolAction::Poll(order));
        }
        self.send_orders(now);
    }

    /// Takes the answer to a look that was sent at `sent`.
    pub fn on_look_answer(
        &mut self,
        now: Instant,
        sent: Instant,
        order: &PollOrder,
        answer: PollAnswer,
    ) {
        let life = &order.life;
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.polls_in_flight = worker.polls_in_flight.saturating_sub(1);
        match answer {
            Ok(listing) => self.take_listing(now, sent, order, listing),
            // Its fence was raised meanwhile, by this owner.
            Err(CallFailure::FencedOut) if order.fence < worker.fence => (),
            Err(CallFailure::FencedOut) => self.lose_worker(now, life),
            Err(CallFailure::NewLife) => self.forget_life(now, life),
            Err(CallFailure::NoAnswer | CallFailure::Unhealthy | CallFailure::Malformed) => {
                self.miss_look(now, sent, life);
            }
        }
        self.schedule(now);
        self.keep_watch(now);
    }

    /// After which time a look gets a second one beside it, if answers get lost.
    fn hedge(&self, now: Instant) -> Option<Duration> {
        let lost = self
            .lost_answer
            .filter(|_| self.has(Mechanism::HedgedLooks))?;
        // Answers that are late because the path is full come in the end: looks beside them would fill it further.
        let lossy = now < lost + self.settings.lost_answer_memory && !self.is_strained();
        lossy.then_some(self.settings.poll_hedge_delay)
    }

    /// How much longer than its wait a look may take: as long as answers may take now.
    fn look_margin(&self) -> Duration {
        let settings = &self.settings;
        if !self.has(Mechanism::AnswerLimits) {
            return settings.poll_margin;
        }
        let limit = self
            .answers
            .timeout(Duration::ZERO, settings.order_answer_timeout);
        settings
            .poll_margin
            .max(limit * 2)
            .min(settings.max_poll_margin)
    }

    fn miss_look(&mut self, now: Instant, sent: Instant, life: &LifeId) {
        self.lost_answer = Some(now);
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        // A later look was answered: this one was lost, its worker was not.
        if worker.answered_poll_sent.is_some_and(|later| later > sent) {
            return;
        }
        worker.missed_polls += 1;
        if !worker.is_silent() {
            return;
        }
        worker.polls_paused_until = Some(now + SILENT_PAUSE);
        let runs = worker.runs.len();
        let first = worker.missed_polls == crate::worker::MISSED_POLLS_TO_SILENCE;
        if first {
            self.notes.push(PoolNote::WorkerSilent {
                life: life.clone(),
                runs,
            });
        }
    }

    fn take_listing(
        &mut self,
        now: Instant,
        sent: Instant,
        order: &PollOrder,
        listing: WorkerListing,
    ) {
        if !self.check_life(now, sent, order, &listing) {
            return;
        }
        let owner_millis = self.millis(now);
        let life = &order.life;
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.record_listing(now, order.fence);
        let returns = worker.missed_polls > 0;
        let new_here = worker.clock.is_none() || returns;
        worker.missed_polls = 0;
        worker.answered_poll_sent = worker.answered_poll_sent.max(Some(sent));
        // Answers to two looks may overtake each other. Ends are numbered; all else holds only in the newest listing.
        let newest = listing.clock > worker.listed_clock;
        worker.listed_clock = worker.listed_clock.max(listing.clock);
        worker.ends_listed |= self.kept_loaded;
        worker.update_clock(owner_millis, listing.clock);
        worker.acknowledged_end = worker.acknowledged_end.max(order.acknowledged_end);
        let clock_offset = worker.clock.map_or(0, |clock| clock.offset);
        let born = worker.born;
        if new_here {
            self.notes.push(PoolNote::WorkerAnswers {
                life: life.clone(),
                clock_offset,
            });
        }
        if returns {
            self.clear_crash(life, born);
        }
        for end in &listing.ended {
            self.take_end(now, life, end);
        }
        self.pause_looks(now, life, &listing);
        if newest {
            self.stop_foreign(life, &listing);
            self.read_progress(now, life, &listing);
        }
        self.drop_missing(now, sent, life, &listing);
    }

    fn take_end(&mut self, now: Instant, life: &LifeId, end: &EndedRun) {
        let Some(worker) = self.workers.get_mut(life) else {
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
            self.take_found_end(now, life, end);
            return;
        };
        worker.last_end_time = now;
        let took = now.saturating_duration_since(run.placed_at);
        self.notes.push(PoolNote::RunEnded {
            task,
            run: run.run,
            life: life.clone(),
            cause: end.cause,
            took,
        });
        let failures = self.record_end(task, life, end);
        match end.cause {
            EndCause::Done => self.complete_task(now, life, &run, took),
            EndCause::Failed => self.fail_task(now, life, run, failures),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => self.requeue(now, run),
        }
        self.store_changes(task.job);
    }

    /// A worker lists an end again and again until it is acknowledged: while it must not be, looks have a pause.
    fn pause_looks(&mut self, now: Instant, life: &LifeId, listing: &WorkerListing) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let unread = !self.kept_loaded && !listing.ended.is_empty();
        if unread || !worker.unstored_ends.is_empty() {
            worker.polls_paused_until = Some(now + STORING_POLL_PAUSE);
        }
    }

    fn complete_task(&mut self, now: Instant, life: &LifeId, run: &TrackedRun, took: Duration) {
        let learns = self.has(Mechanism::Speeds);
        if let Some(worker) = self.workers.get_mut(life) {
            worker.health.record_success();
            if learns {
                worker.update_slowness(now, run.predicted, took);
            }
        }
        let id = run.task.job;
        self.crashes.clear_task(run.task);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.estimates
            .record_run(&job.terms.route, run.estimate, took);
        if let Some(step) = job.steps.get_mut(run.task.step as usize) {
            step.done += 1;
        }
        self.after_done(now, id);
    }

    /// Opens steps that can begin now, or ends the job if none is left.
    pub(super) fn after_done(&mut self, now: Instant, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
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

    /// Takes a failed run. `counted` failures of the task stand in the record of a kept job.
    fn fail_task(&mut self, now: Instant, life: &LifeId, mut run: TrackedRun, counted: u32) {
        let id = run.task.job;
        let mut blame = true;
        if let Some(worker) = self.workers.get_mut(life) {
            // A failure on a worker that fails everything says nothing about the task.
            blame = worker.health.is_healthy();
            if worker.health.record_failure(id) {
                self.suspend(now, life, SuspensionCause::Failing);
            }
        }
        run.failures += u32::from(blame);
        run.failed_on.push(life.clone());
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.kept.is_some() {
            // A kept job's attempts are counted whoever was to blame.
            if counted >= job.terms.attempts {
                self.end_kept(now, id, KeptState::Failed);
            } else {
                self.requeue(now, run);
            }
            return;
        }
        if run.failures >= job.terms.attempts.max(FEWEST_FAILURES) {
            self.finish(now, id, JobOutcome::Failed);
            return;
        }
        self.requeue(now, run);
    }

    /// Lets a task wait again whose run surely is over.
    pub(super) fn requeue(&mut self, now: Instant, run: TrackedRun) {
        let id = run.task.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.has_ended()) else {
            return;
        };
        let place = run.task.step as usize;
        // Of a kept job that was let go of and found again the task may wait or be done already.
        if job.kept.is_some() && !job.is_unaccounted(place, run.task.index) {
            return;
        }
        let Some(step) = job.steps.get_mut(place) else {
            return;
        };
        let task = WaitingTask {
            index: run.task.index,
            failures: run.failures,
            failed_on: run.failed_on,
        };
        // The last one is placed first, and a suspect may have to wait longer than others of its step.
        match self.crashes.restriction(now, run.task) {
            TaskRestriction::None => step.waiting.push(task),
            TaskRestriction::Alone | TaskRestriction::Hold => step.waiting.insert(0, task),
        }
        self.enqueue(now, id);
    }

    /// Stops runs that a former owner left behind. Their demands are not known, so nothing is placed beside them.
    fn stop_foreign(&mut self, life: &LifeId, listing: &WorkerListing) {
        let Some(worker) = self.workers.get_mut(life) else {
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
            // An end that came with this listing or an earlier one goes before an older view of what runs.
            let ended = listing
                .ended
                .iter()
                .any(|end| end.task == Some(task) && end.run == run);
            if ended {
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
            self.notes.push(PoolNote::ForeignRun {
                task: Some(known.0),
                run: known.1,
                life: life.clone(),
            });
        }
        worker.foreign_runs = foreign;
    }

    fn read_progress(&mut self, now: Instant, life: &LifeId, listing: &WorkerListing) {
        let learns = self.has(Mechanism::Speeds);
        let Some(worker) = self.workers.get_mut(life) else {
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
            if run.phase == RunPhase::Ordered {
                run.phase = RunPhase::Running;
            }
            if running.percent > run.percent {
                run.percent = running.percent;
                run.progressed_at = now;
            }
            let took = now.saturating_duration_since(run.placed_at);
            let still = now.saturating_duration_since(run.progressed_at);
            let overdue =
                run.predicted.mul_f64(self.settings.stall_factor) + self.settings.stall_margin;
            if run.phase == RunPhase::Running && took >= overdue && still >= STANDSTILL {
                stalled.push((run.task, run.run, took, run.percent));
            } else if run.percent >= TELLING_PERCENT {
                let worked = now.saturating_duration_since(run.confirmed_at.unwrap_or(now));
                let projected = worked.mul_f64(100.0 / f64::from(run.percent));
                if projected > run.predicted.mul_f64(SLOW_PROJECTION) {
                    slowest = Some((run.predicted, projected));
                }
            }
        }
        if let Some((predicted, projected)) = slowest.filter(|_| learns) {
            worker.update_slowness(now, predicted, projected);
        }
        if stalled.is_empty() || !self.has(Mechanism::StallStop) {
            return;
        }
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        for (task, run, took, percent) in stalled {
            stop_run(worker, task, run);
            self.notes.push(PoolNote::RunStalled {
                task,
                run,
                life: life.clone(),
                took,
                percent,
            });
        }
        // Runs that stand still together are one trouble of their worker, and cost one pause.
        self.suspend(now, life, SuspensionCause::Stalled);
    }

    /// Drops run records that the listing proves to be over, or never to begin.
    fn drop_missing(
        &mut self,
        now: Instant,
        sent: Instant,
        life: &LifeId,
        listing: &WorkerListing,
    ) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let mut missing = Vec::new();
        for run in &worker.runs {
            let listed = listing.running.iter();
            let mut listed = listed.filter(|r| r.task == Some(run.task) && r.run == run.run);
            if listed.next().is_none() && is_over(run, sent, listing.clock) {
                missing.push((run.task, run.run));
            }
        }
        let mut lost = Vec::new();
        for (task, run) in missing {
            lost.extend(worker.remove_run(task, run));
        }
        for run in lost {
            self.note_lost(&run, life, RunLoss::NotListed);
            self.requeue(now, run);
        }
    }

    /// Takes all runs of a worker as over.
    pub(super) fn lose_all_runs(&mut self, now: Instant, life: &LifeId, loss: RunLoss) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let runs = std::mem::take(&mut worker.runs);
        worker.foreign_runs.clear();
        worker.queued_orders.clear();
        let died = loss == RunLoss::NewLife;
        let begun = runs.iter().filter(|run| run.starts_sent > 0);
        let culprits = self.note_crash(now, life, begun.map(|run| run.task), died);
        for run in runs {
            self.note_lost(&run, life, loss);
            self.requeue(now, run);
        }
        self.give_up_culprits(now, culprits);
    }

    /// The worker has another life: what ran in this one is over.
    pub(super) fn forget_life(&mut self, now: Instant, life: &LifeId) {
        self.lose_all_runs(now, life, RunLoss::NewLife);
        self.confirm_crash(now, life);
        if self.workers.remove(life).is_some() {
            self.note_worker(life.clone(), WorkerChange::Forgotten);
        }
    }

    /// Another owner has the worker. It stops what runs there, but not before this owner could start the same tasks
    /// elsewhere; so the jobs that have runs there are given up, and the other workers and jobs go on.
    pub(super) fn lose_worker(&mut self, now: Instant, life: &LifeId) {
        let Some(worker) = self.workers.remove(life) else {
            return;
        };
        self.note_worker(life.clone(), WorkerChange::TakenOver);
        let of_kept = |run: &TrackedRun| {
            let job = self.jobs.get(&run.task.job);
            job.is_some_and(|job| job.kept.is_some())
        };
        if worker.runs.iter().any(of_kept) {
            self.forget_kept(now);
        }
        for run in &worker.runs {
            self.finish(now, run.task.job, JobOutcome::GivenUp);
        }
        if self.workers.is_empty() {
            self.actions.push(PoolAction::ReleasePool);
        }
    }

    pub(super) fn note_lost(&mut self, run: &TrackedRun, life: &LifeId, loss: RunLoss) {
        self.notes.push(PoolNote::RunLost {
            task: run.task,
            run: run.run,
            life: life.clone(),
            loss,
        });
    }
}

/// Whether a run that a listing does not show is over or can never begin.
///
/// A run whose start was answered before the look was sent was there, so it must have ended. One whose stop was
/// answered before ended or never begins. One whose start went unanswered may still begin, until the lease end that
/// its last start carried has passed on the worker's clock.
fn is_over(run: &TrackedRun, sent: Instant, clock: WorkerClock) -> bool {
    let was_there = run.confirmed_at.is_some_and(|confirmed| confirmed < sent);
    let was_stopped = run.stop_acked_at.is_some_and(|acked| acked < sent);
    let never_begins = run.starts_sent > 0 && run.start_expires < clock;
    was_there || was_stopped || never_begins
}

fn look_order(
    worker: &mut TrackedWorker,
    now: Instant,
    owner_millis: u64,
    settings: &crate::PoolSettings,
    margin: Duration,
) -> PollOrder {
    // Runs of a former owner are not renewed, and a worker that does not answer is left to its lease: what it was
    // last told must be what it goes by.
    let renew =
        !worker.runs.is_empty() && worker.foreign_runs.is_empty() && worker.missed_polls == 0;
    let clock = worker.min_clock_now(owner_millis).filter(|_| renew);
    let lease_end = clock.map(|clock| clock.plus(settings.lease));
    worker.lease_end = worker.lease_end.max(lease_end.unwrap_or_default());
    let wait = look_wait(worker, now, settings);
    PollOrder {
        life: worker.record.life.clone(),
        address: worker.record.address,
        fence: worker.fence,
        lease_end,
        acknowledged_end: worker.ends_to_acknowledge(now),
        wait,
        timeout: wait + margin,
    }
}

fn look_wait(worker: &TrackedWorker, now: Instant, settings: &crate::PoolSettings) -> Duration {
    if !worker.foreign_runs.is_empty() {
        return FOREIGN_WAIT;
    }
    if !worker.accepts_runs() || worker.runs.is_empty() {
        return Duration::ZERO;
    }
    let mut wait = settings.poll_wait;
    for run in &worker.runs {
        let overdue = run.predicted.mul_f64(settings.stall_factor) + settings.stall_margin;
        let left = (run.placed_at + overdue).saturating_duration_since(now);
        wait = wait.min(left.max(SHORTEST_WAIT));
    }
    wait
}
