//! Kept jobs in the pool: accepting, storing, finding them after a predecessor, and letting go of them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{
    EndCause, EndedRun, JobId, JobOutcome, JobRequest, JobTerms, KeptRow, KeptState, LifeId,
    RefusalKind, StepRecord, TaskId,
};

use super::{stop_run, WorkerPool, SHORTEST_RETRY};
use crate::{
    action::{PoolAction, PoolNote, WaiterId},
    job::JobLedger,
    kept::{FoundJob, HeldEnd, KeepAnswer, KeepOrder, KeptLedger, CONTACT_LIMIT, SETTLE_LIMIT},
    worker::RunPhase,
};

/// The deadline of a job for whose end nobody waits: far beyond the life of a process.
const NO_DEADLINE: Duration = Duration::from_secs(365 * 24 * 3_600);

/// How long ended jobs are remembered, so that an older view of their rows does not bring them back: the longest time that
/// a read of the store takes, and much more.
const ENDED_MEMORY: Duration = Duration::from_secs(10);

impl WorkerPool {
    /// The store has shown that this owner's claim stands, by a call that was sent at `sent`.
    pub fn note_contact(&mut self, sent: Instant) {
        self.store_contact = self.store_contact.max(Some(sent));
    }

    /// Whether it has any kept job.
    pub fn has_kept(&self) -> bool {
        self.jobs.values().any(|job| job.kept.is_some())
    }

    /// Whether kept jobs wait until no run of a former owner can be left.
    pub(super) fn has_held_back(&self) -> bool {
        let mut kept = self.jobs.values().filter_map(|job| job.kept.as_ref());
        kept.any(|kept| kept.held_back)
    }

    /// The kept jobs whose row is stored.
    pub fn kept_jobs(&self) -> Vec<JobId> {
        let kept = self.jobs.iter().filter(|(_, job)| job.is_stored());
        kept.map(|(id, _)| *id).collect()
    }

    /// How many kept jobs of each route have not begun.
    pub fn pending_jobs(&self) -> Vec<(Arc<str>, u64)> {
        let mut counts: Vec<(Arc<str>, u64)> = Vec::new();
        for job in self.jobs.values() {
            let waits = job.is_stored() && !job.ordered;
            if !waits {
                continue;
            }
            let route = &job.terms.route;
            match counts.iter_mut().find(|(name, _)| name == route) {
                Some((_, count)) => *count += 1,
                None => counts.push((route.clone(), 1)),
            }
        }
        counts.sort();
        counts
    }

    /// Says whether a former owner still finishes jobs of the pool, and whether all workers that it may have used are
    /// known: entries of the directory may be missing for a while after the store was away.
    pub fn set_surroundings(&mut self, now: Instant, awaiting: bool, listed: bool) {
        self.all_listed = listed;
        if awaiting {
            self.alone_since = now;
            // The former owner goes on writing rows.
            self.unload_kept();
        }
        self.awaiting = awaiting;
    }

    /// Whether its kept jobs have to be read from the store: not yet read, and nobody else goes on with them.
    pub fn wants_kept(&self) -> bool {
        !self.kept_loaded && !self.awaiting
    }

    /// Takes the kept jobs that the store has of this pool.
    pub fn load_kept(&mut self, now: Instant, found: Vec<FoundJob>) {
        if self.awaiting {
            return;
        }
        self.kept_loaded = true;
        self.ended_kept
            .retain(|_, ended| now < *ended + ENDED_MEMORY);
        for job in found {
            // A row may have been read just before its job ended here.
            let ended = self.ended_kept.contains_key(&job.job);
            if !ended && !self.jobs.contains_key(&job.job) {
                self.adopt(now, job);
            }
        }
    }

    fn adopt(&mut self, now: Instant, found: FoundJob) {
        let FoundJob {
            job: id,
            row,
            version,
        } = found;
        let (request, terms) = (Arc::new(row.request(id)), row.terms());
        let mut job = self.open_job(now, None, request, terms);
        job.deadline = now + NO_DEADLINE;
        for (step, record) in row.progress.iter().enumerate() {
            job.take_record(step, record);
        }
        // Runs that this owner ordered before it let go of the job: when they end, their tasks wait again.
        for worker in self.workers.values() {
            for run in worker.runs.iter().filter(|run| run.task.job == id) {
                job.leave_out(run.task.step as usize, run.task.index);
            }
        }
        job.open_steps();
        let revision = self.next_run(now).0;
        job.kept = Some(KeptLedger {
            version: Some(version),
            revision,
            stored: revision,
            progress: row.progress,
            held_back: true,
            ..KeptLedger::default()
        });
        let complete = job.is_complete();
        self.jobs.insert(id, job);
        self.notes.push(PoolNote::KeptFound { job: id, version });
        if complete {
            // Its last end was stored, and its owner was gone before it could store that it is complete.
            self.end_kept(now, id, KeptState::Completed);
        } else {
            self.enqueue(now, id);
        }
    }

    /// Has a new job stored; it runs once it is.
    pub(super) fn keep_new(
        &mut self,
        now: Instant,
        waiter: WaiterId,
        request: Arc<JobRequest>,
        terms: JobTerms,
    ) {
        let id = request.id;
        let mut job = self.open_job(now, Some(waiter), request, terms);
        job.deadline = now + NO_DEADLINE;
        let records = job.request.steps.iter().map(|_| StepRecord::default());
        job.kept = Some(KeptLedger {
            progress: records.collect(),
            revision: self.next_run(now).0,
            ..KeptLedger::default()
        });
        self.jobs.insert(id, job);
        self.store_changes(id);
    }

    /// Whether the tasks of a job may be placed, if room is free.
    pub(super) fn may_run(&self, now: Instant, job: &JobLedger) -> bool {
        let Some(kept) = &job.kept else {
            return true;
        };
        let stored = kept.version.is_some() && kept.end.is_none();
        stored && !kept.held_back && self.accepting && self.is_sure(now)
    }

    /// Whether this owner surely has not been replaced without knowing it.
    fn is_sure(&self, now: Instant) -> bool {
        self.store_contact
            .is_some_and(|sent| now < sent + CONTACT_LIMIT)
    }

    /// Does what time alone changes for kept jobs.
    pub(super) fn tick_kept(&mut self, now: Instant) {
        if !self.has_kept() {
            return;
        }
        if self.awaiting {
            self.alone_since = now;
        }
        if !self.is_sure(now) {
            self.stop_kept_runs(now);
        }
        if self.is_settled(now) {
            for job in self.jobs.values_mut() {
                if let Some(kept) = &mut job.kept {
                    kept.held_back = false;
                }
            }
        }
        if !self.accepting {
            self.leave_kept();
        }
    }

    /// Whether no run of a former owner can be left: every worker has said under this fence what it runs, or all that
    /// a former owner may have ordered is over.
    fn is_settled(&self, now: Instant) -> bool {
        let clear = |worker: &crate::worker::WorkerLedger| {
            worker.ends_read && worker.foreign.is_empty() && worker.unlisted.is_none()
        };
        let known = self.kept_loaded && self.all_listed && !self.awaiting;
        let seen = known && self.workers.values().all(clear);
        seen || now >= self.alone_since + SETTLE_LIMIT
    }

    fn stop_kept_runs(&mut self, now: Instant) {
        let mut unsent = Vec::new();
        let mut stopped = false;
        for worker in self.workers.values_mut() {
            let kept = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.kept.is_some());
            let running = worker.runs.iter().filter(|run| kept(&run.task.job));
            let running = running.filter(|run| run.phase != RunPhase::Stopping);
            let running: Vec<_> = running.map(|run| (run.task, run.run, run.tries)).collect();
            for (task, run, tries) in running {
                stopped = true;
                if tries == 0 {
                    unsent.extend(worker.run_mut(task, run).cloned());
                }
                stop_run(worker, task, run);
            }
        }
        for run in unsent {
            // It never begins, so no end of it comes that would let its task wait again.
            self.requeue(now, run);
        }
        if stopped {
            self.notes.push(PoolNote::KeptSuspended);
            self.send_orders(now);
        }
    }

    /// Lets go of stored jobs of which nothing runs: the next owner finds them in the store.
    fn leave_kept(&mut self) {
        let idle = self.jobs.iter().filter(|(id, job)| {
            let stored = job.kept.as_ref().is_some_and(KeptLedger::is_all_stored);
            stored
                && self
                    .workers
                    .values()
                    .all(|worker| worker.runs_of(**id) == 0)
        });
        let idle: Vec<JobId> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.jobs.remove(&id);
            self.queue.remove(id);
        }
    }

    /// Lets go of all kept jobs, since another owner may have them. They are read anew.
    pub(super) fn forget_kept(&mut self, now: Instant) {
        let kept = self.jobs.iter().filter(|(_, job)| job.kept.is_some());
        let kept: Vec<JobId> = kept.map(|(id, _)| *id).collect();
        if kept.is_empty() {
            return;
        }
        for id in kept {
            self.drop_kept(now, id, JobOutcome::GivenUp);
        }
        // What was not acknowledged is listed again, and counts then.
        for worker in self.workers.values_mut() {
            worker.unstored.clear();
            worker.seen = worker.acknowledged;
        }
        self.unload_kept();
        self.alone_since = now;
    }

    /// Has the kept jobs read anew, and with them the ends that workers list.
    pub(super) fn unload_kept(&mut self) {
        self.kept_loaded = false;
        for worker in self.workers.values_mut() {
            worker.ends_read = false;
        }
    }

    /// Takes a job out without storing anything.
    fn drop_kept(&mut self, now: Instant, id: JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.queue.remove(id);
        if outcome == JobOutcome::Accepted {
            self.ended_kept.insert(id, now);
        }
        for waiter in job.waiters {
            self.answer(waiter, outcome);
        }
        if let Some(kept) = job.kept {
            self.release_ends(&kept.ends, u64::MAX);
        }
        self.stop_runs_of(now, id);
    }

    /// The job was cancelled in the store: what runs of it is stopped.
    pub fn cancel_kept(&mut self, now: Instant, id: JobId) {
        if self.jobs.get(&id).is_none_or(|job| job.kept.is_none()) {
            return;
        }
        self.notes.push(PoolNote::KeptEnded {
            job: id,
            state: KeptState::Cancelled,
        });
        self.drop_kept(now, id, JobOutcome::Accepted);
    }

    /// Notes how a kept job ended and has it stored. It stays until it is.
    pub(super) fn end_kept(&mut self, now: Instant, id: JobId, state: KeptState) {
        let Some(kept) = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut()) else {
            return;
        };
        kept.end = Some(state);
        kept.revision += 1;
        self.queue.remove(id);
        self.stop_runs_of(now, id);
        self.store_changes(id);
    }

    /// Notes a task's end in its job's record, and that the worker's end must not be acknowledged before that is
    /// stored. Gives how often the task has failed.
    pub(super) fn record_end(&mut self, task: TaskId, life: &LifeId, end: &EndedRun) -> u32 {
        let job = self.jobs.get_mut(&task.job);
        let kept = job.and_then(|job| job.kept.as_mut());
        // Once the job has ended its row says all there is to know.
        let Some(kept) = kept.filter(|kept| kept.end.is_none()) else {
            return 0;
        };
        let step = task.step as usize;
        let mut failures = 0;
        match end.cause {
            EndCause::Done => {
                let record = kept.progress.get_mut(step);
                if let Some(record) = record.filter(|r| !r.done.contains(&task.index)) {
                    record.done.push(task.index);
                }
            }
            EndCause::Failed => failures = kept.count_failure(step, task.index, end.run),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => return 0,
        }
        kept.revision += 1;
        kept.ends.push(HeldEnd {
            life: life.clone(),
            number: end.number,
            revision: kept.revision,
        });
        if let Some(worker) = self.workers.get_mut(life) {
            worker.unstored.insert(end.number);
        }
        failures
    }

    /// An end of a run that a former owner ordered.
    pub(super) fn take_found_end(&mut self, now: Instant, life: &LifeId, end: &EndedRun) {
        let Some(task) = end.task else {
            return;
        };
        let step = task.step as usize;
        let Some(job) = self
            .jobs
            .get_mut(&task.job)
            .filter(|job| job.kept.is_some())
        else {
            return;
        };
        let progress = job.steps.get_mut(step);
        let Some(progress) = progress else {
            return;
        };
        let waits = progress.waiting.iter().position(|w| w.index == task.index);
        let Some(place) = waits else {
            return;
        };
        match end.cause {
            EndCause::Done => {
                progress.waiting.swap_remove(place);
                self.record_end(task, life, end);
                self.after_done(now, task.job);
            }
            EndCause::Failed => {
                progress.waiting[place].failures += 1;
                let attempts = job.terms.attempts;
                if self.record_end(task, life, end) >= attempts {
                    self.end_kept(now, task.job, KeptState::Failed);
                }
            }
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => (),
        }
        self.store_changes(task.job);
    }

    /// Has what changed about a kept job stored, unless a write is under way: its answer brings the next.
    pub(super) fn store_changes(&mut self, id: JobId) {
        let home: Arc<str> = self.home.clone();
        let fence = self.fence.0;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(kept) = job.kept.as_mut() else {
            return;
        };
        if kept.writing.is_some() || kept.stored >= kept.revision {
            return;
        }
        kept.writing = Some(kept.revision);
        let row = KeptRow {
            home,
            writer: fence,
            revision: kept.revision,
            state: kept.state(job.ordered),
            text: job.request.text.clone(),
            steps: job.request.steps.clone(),
            progress: kept.progress.clone(),
            service: job.terms.service.clone(),
            route: job.terms.route.clone(),
            priority: job.terms.priority,
            attempts: job.terms.attempts,
            stretch: job.terms.stretch,
            goal: job.terms.goal,
        };
        self.actions.push(PoolAction::Keep(KeepOrder {
            job: id,
            row,
            replaces: kept.version,
        }));
    }

    /// Takes what became of a write.
    pub fn on_kept(&mut self, now: Instant, order: &KeepOrder, answer: KeepAnswer) {
        let id = order.job;
        let Some(kept) = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut()) else {
            return;
        };
        // A write from before the job was let go of and found again says nothing about a later one: taken for its answer,
        // ends would be acknowledged that no row has. If it took effect, the later one finds the row changed.
        if kept.writing != Some(order.row.revision) {
            return;
        }
        kept.writing = None;
        let written = order.row.revision;
        match answer {
            KeepAnswer::Stored(version) => self.take_stored(now, id, version, written),
            KeepAnswer::TurnedAway => {
                let refused = JobOutcome::Refused {
                    kind: RefusalKind::NotServing,
                    retry_after: SHORTEST_RETRY,
                    fits: 0,
                };
                self.drop_kept(now, id, refused);
            }
            // Whoever has it runs it; if that is this pool, the next reading of the store finds it.
            KeepAnswer::Known => {
                self.drop_kept(now, id, JobOutcome::Accepted);
                self.ended_kept.remove(&id);
            }
            KeepAnswer::Gone => self.drop_kept(now, id, JobOutcome::Accepted),
            KeepAnswer::Changed(row, version) => {
                // A former owner's last write. What it knew counts, too, and this owner's is written over it.
                kept.version = Some(version);
                kept.revision += 1;
                for (step, record) in row.progress.iter().enumerate() {
                    self.merge_record(id, step, record);
                }
                self.after_done(now, id);
                self.store_changes(id);
            }
        }
        self.schedule(now);
        self.keep_watch(now);
    }

    fn take_stored(&mut self, now: Instant, id: JobId, version: u64, written: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let waiters = std::mem::take(&mut job.waiters);
        let Some(kept) = job.kept.as_mut() else {
            return;
        };
        let first = kept.version.is_none();
        kept.version = Some(version);
        kept.stored = written;
        let (stored, later): (Vec<_>, Vec<_>) = std::mem::take(&mut kept.ends)
            .into_iter()
            .partition(|end| end.revision <= written);
        kept.ends = later;
        let over = kept.end.filter(|_| kept.stored >= kept.revision);
        self.release_ends(&stored, written);
        for waiter in waiters {
            self.answer(waiter, JobOutcome::Accepted);
        }
        if let Some(state) = over {
            self.jobs.remove(&id);
            self.ended_kept.insert(id, now);
            self.notes.push(PoolNote::KeptEnded { job: id, state });
            return;
        }
        if first {
            self.notes.push(PoolNote::KeptStored { job: id, version });
            self.enqueue(now, id);
        }
        self.store_changes(id);
    }

    fn release_ends(&mut self, ends: &[HeldEnd], up_to: u64) {
        for end in ends.iter().filter(|end| end.revision <= up_to) {
            if let Some(worker) = self.workers.get_mut(&end.life) {
                worker.unstored.remove(&end.number);
            }
        }
    }

    fn merge_record(&mut self, id: JobId, step: usize, record: &StepRecord) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.take_record(step, record);
        let own = job
            .kept
            .as_mut()
            .and_then(|kept| kept.progress.get_mut(step));
        let Some(own) = own else {
            return;
        };
        for done in &record.done {
            if !own.done.contains(done) {
                own.done.push(*done);
            }
        }
        for failed in &record.failed {
            if !own.failed.contains(failed) {
                own.failed.push(*failed);
            }
        }
    }
}

impl KeptLedger {
    /// Whether the store has all that is known.
    fn is_all_stored(&self) -> bool {
        self.version.is_some() && self.writing.is_none() && self.stored >= self.revision
    }
}
