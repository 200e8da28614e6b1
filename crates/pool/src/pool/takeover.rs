//! Kept jobs of a former owner, and what an owner does that may have been replaced itself.
//!
//! Failure prevented: two owners run the same task. A successor cannot ask a predecessor that it does not hear, and the
//! store does not know what runs. So a successor holds back what it finds until the workers have said what runs and
//! ended, or until all that the predecessor may have ordered is surely over; and an owner without a sign of the store
//! stops its kept jobs in time for that.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{EndCause, EndedRun, JobId, JobOutcome, KeptState, LifeId};

use super::{kept_jobs::NO_DEADLINE, stop_run, WorkerPool};
use crate::{
    action::PoolNote,
    job::JobLedger,
    kept::{FoundJob, KeptLedger, CONTACT_LIMIT, SETTLE_LIMIT},
    worker::{RunPhase, WorkerLedger},
};

/// How long ended jobs are remembered, so that an older view of their rows does not bring them back: the longest time that
/// a read of the store takes, and much more.
const ENDED_KEPT_MEMORY: Duration = Duration::from_secs(10);

impl WorkerPool {
    /// The store has shown that this owner's claim stands, by a call that was sent at `sent`.
    pub fn note_store_contact(&mut self, sent: Instant) {
        self.last_store_contact = self.last_store_contact.max(Some(sent));
    }

    /// Whether kept jobs wait until no run of a former owner can be left.
    pub(super) fn has_kept_on_hold(&self) -> bool {
        let mut kept = self.jobs.values().filter_map(|job| job.kept.as_ref());
        kept.any(|kept| kept.held_back)
    }

    /// Says whether a former owner still finishes jobs of the pool, and whether all workers that it may have used are
    /// known: entries of the directory may be missing for a while after the store was away.
    pub fn set_takeover_state(
        &mut self,
        now: Instant,
        predecessor_active: bool,
        all_workers_known: bool,
    ) {
        self.all_workers_known = all_workers_known;
        if predecessor_active {
            self.sole_owner_since = now;
            // The former owner goes on writing rows.
            self.request_kept_reload();
        }
        self.predecessor_active = predecessor_active;
    }

    /// Whether its kept jobs have been read: before that it cannot say how many there are.
    pub fn has_loaded_kept(&self) -> bool {
        self.kept_loaded
    }

    /// Whether its kept jobs have to be read from the store: not yet read, and nobody else goes on with them.
    pub fn needs_kept_load(&self) -> bool {
        !self.kept_loaded && !self.predecessor_active
    }

    /// Takes the kept jobs that the store has of this pool.
    pub fn load_kept(&mut self, now: Instant, found: Vec<FoundJob>) {
        if self.predecessor_active {
            return;
        }
        self.kept_loaded = true;
        self.recently_ended_kept
            .retain(|_, ended| now < *ended + ENDED_KEPT_MEMORY);
        for job in found {
            // A row may have been read just before its job ended here.
            let ended = self.recently_ended_kept.contains_key(&job.job);
            if !ended && !self.jobs.contains_key(&job.job) {
                self.adopt_job(now, job);
            }
        }
    }

    fn adopt_job(&mut self, now: Instant, found: FoundJob) {
        let FoundJob {
            job: id,
            row,
            version,
        } = found;
        let (request, terms) = (Arc::new(row.request(id)), row.terms());
        let mut job = self.build_job(now, None, request, terms);
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
        let revision = self.next_run_number(now).0;
        job.kept = Some(KeptLedger {
            version: Some(version),
            revision,
            stored: revision,
            progress: row.progress,
            held_back: true,
            ..KeptLedger::default()
        });
        let complete = job.is_complete();
        let progress = job.kept.as_ref().map(|kept| kept.progress.clone());
        self.jobs.insert(id, job);
        self.notes.push(PoolNote::KeptFound { job: id, version });
        if complete {
            // Its last end was stored, and its owner was gone before it could store that it is complete.
            self.end_kept(now, id, KeptState::Completed);
        } else {
            self.enqueue(now, id);
            self.load_recorded_deaths(now, id, &progress.unwrap_or_default());
        }
    }

    /// Whether the tasks of a job may be placed, if room is free.
    pub(super) fn may_run(&self, now: Instant, job: &JobLedger) -> bool {
        let Some(kept) = &job.kept else {
            return true;
        };
        let stored = kept.version.is_some() && kept.end.is_none();
        stored && !kept.held_back && self.accepting && self.has_recent_store_contact(now)
    }

    /// Whether this owner surely has not been replaced without knowing it.
    fn has_recent_store_contact(&self, now: Instant) -> bool {
        self.last_store_contact
            .is_some_and(|sent| now < sent + CONTACT_LIMIT)
    }

    /// Does what time alone changes for kept jobs.
    pub(super) fn tick_kept(&mut self, now: Instant) {
        if !self.has_kept() {
            return;
        }
        if self.predecessor_active {
            self.sole_owner_since = now;
        }
        if !self.has_recent_store_contact(now) {
            self.stop_kept_runs(now);
        }
        if self.is_takeover_settled(now) {
            for job in self.jobs.values_mut() {
                if let Some(kept) = &mut job.kept {
                    kept.held_back = false;
                }
            }
        }
        if !self.accepting {
            self.release_idle_kept();
        }
    }

    /// Whether no run of a former owner can be left: every worker has said under this fence what it runs, or all that
    /// a former owner may have ordered is over.
    fn is_takeover_settled(&self, now: Instant) -> bool {
        let is_clear = |worker: &WorkerLedger| {
            worker.ends_read && worker.foreign.is_empty() && worker.unlisted.is_none()
        };
        let view_complete = self.kept_loaded && self.all_workers_known && !self.predecessor_active;
        let all_reported = view_complete && self.workers.values().all(is_clear);
        all_reported || now >= self.sole_owner_since + SETTLE_LIMIT
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
    fn release_idle_kept(&mut self) {
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
    pub(super) fn release_all_kept(&mut self, now: Instant) {
        let kept = self.jobs.iter().filter(|(_, job)| job.kept.is_some());
        let kept: Vec<JobId> = kept.map(|(id, _)| *id).collect();
        if kept.is_empty() {
            return;
        }
        for id in kept {
            self.remove_kept(now, id, JobOutcome::GivenUp);
        }
        // What was not acknowledged is listed again, and counts then.
        for worker in self.workers.values_mut() {
            worker.unstored.clear();
            worker.seen = worker.acknowledged;
        }
        self.request_kept_reload();
        self.sole_owner_since = now;
    }

    /// Has the kept jobs read anew, and with them the ends that workers list.
    pub(super) fn request_kept_reload(&mut self) {
        self.kept_loaded = false;
        for worker in self.workers.values_mut() {
            worker.ends_read = false;
        }
    }

    /// An end of a run that a former owner ordered.
    pub(super) fn apply_found_end(&mut self, now: Instant, life: &LifeId, end: &EndedRun) {
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
        let Some(position) = waits else {
            return;
        };
        match end.cause {
            EndCause::Done => {
                progress.waiting.swap_remove(position);
                self.record_end(task, life, end);
                self.advance_job(now, task.job);
            }
            EndCause::Failed => {
                progress.waiting[position].failures += 1;
                let attempts = job.terms.attempts;
                if self.record_end(task, life, end) >= attempts {
                    self.end_kept(now, task.job, KeptState::Failed);
                }
            }
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => (),
        }
        self.store_changes(task.job);
    }
}
