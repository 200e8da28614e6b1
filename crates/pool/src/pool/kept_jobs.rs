//! Kept jobs: storing new ones, and storing their progress and ends.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{
    EndCause, EndedRun, InstanceId, JobId, JobOutcome, JobRequest, JobTerms, KeptRow, KeptState,
    RefusalKind, StepRecord, TaskId, WriteId,
};

use super::{WorkerPool, MIN_RETRY_AFTER};
use crate::{
    action::{PoolAction, PoolEvent, WaiterId},
    kept::{FoundJob, KeptJobState, KeptWrite, KeptWriteResult, UnstoredEnd},
};

/// The deadline of a job whose end nobody waits for: far beyond the lifetime of a process.
pub(super) const NO_DEADLINE: Duration = Duration::from_secs(365 * 24 * 3_600);

impl WorkerPool {
    /// Whether the pool has any kept job.
    pub fn has_kept(&self) -> bool {
        self.jobs.values().any(|job| job.kept.is_some())
    }

    /// The number of stored kept jobs of each route of which no task is known to have begun.
    pub fn pending_jobs(&self) -> Vec<(Arc<str>, u64)> {
        let mut counts: Vec<(Arc<str>, u64)> = Vec::new();
        for job in self.jobs.values() {
            let waits = job.is_stored() && !job.has_begun;
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

    /// Stores a new job, which runs only once it is stored.
    pub(super) fn store_new_job(
        &mut self,
        now: Instant,
        waiter: WaiterId,
        request: Arc<JobRequest>,
        terms: JobTerms,
    ) {
        let id = request.id;
        let mut job = self.build_job(now, Some(waiter), request, terms);
        job.deadline = now + NO_DEADLINE;
        let records = job.request.steps.iter().map(|_| StepRecord::default());
        let first_run = self.next_run_number(now).0;
        job.kept = Some(KeptJobState {
            progress: records.collect(),
            revision: first_run,
            first_run,
            ..KeptJobState::default()
        });
        self.insert_job(id, job);
        self.store_changes(id);
    }

    /// Removes a job from the pool and stops its runs, without storing anything. Returns what was tracked of its
    /// storage: its ends must not be acknowledged unless the job has ended in the store.
    pub(super) fn remove_kept(
        &mut self,
        now: Instant,
        id: JobId,
        outcome: JobOutcome,
    ) -> Option<KeptJobState> {
        let job = self.remove_job(id)?;
        for waiter in job.waiters {
            self.answer(waiter, outcome);
        }
        self.stop_job_runs(now, id, job.terms.attempt_id);
        job.kept
    }

    /// Removes a job that has ended in the store. What ends of it are not stored are of no more use.
    pub(super) fn remove_ended_kept(&mut self, now: Instant, id: JobId) {
        if let Some(kept) = self.remove_kept(now, id, JobOutcome::Accepted) {
            self.release_ends(&kept.unstored_ends, u64::MAX);
            self.recently_ended_kept.insert(id, now);
        }
    }

    /// Handles that a new job was accepted before.
    fn handle_existing(&mut self, now: Instant, found: FoundJob) {
        let id = found.job;
        if found.row.state.is_final() {
            self.remove_ended_kept(now, id);
            return;
        }
        let Some(submitted) = self.remove_kept(now, id, JobOutcome::Accepted) else {
            return;
        };
        if found.row.home != self.name || self.predecessor_active {
            self.relist_ends(now, &submitted.unstored_ends);
            return;
        }
        self.adopt_job(now, found);
        let Some(kept) = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut()) else {
            return;
        };
        if submitted.unstored_ends.is_empty() {
            return;
        }
        if kept.final_state.is_none() {
            kept.revision += 1;
        }
        let revision = kept.revision;
        let ends = submitted.unstored_ends.into_iter();
        kept.unstored_ends
            .extend(ends.map(|end| UnstoredEnd { revision, ..end }));
        for (step, record) in submitted.progress.iter().enumerate() {
            self.merge_record(id, step, record);
        }
        self.advance_job(now, id);
        self.store_changes(id);
    }

    /// Has workers list ends again that were noted for a job that has left the pool. They count for the job that the
    /// store has, once it is read.
    pub(super) fn relist_ends(&mut self, now: Instant, ends: &[UnstoredEnd]) {
        if ends.is_empty() {
            return;
        }
        for end in ends {
            if let Some(worker) = self.workers.get_mut(&end.instance) {
                worker.unstored_ends.remove(&end.number);
                worker.last_seen_end = worker.last_seen_end.min(end.number.saturating_sub(1));
            }
        }
        self.request_kept_reload();
        self.rows_outdated_until = now;
    }

    /// Removes a job that was cancelled in the store and stops its runs. A job that is not known may be in a read of the
    /// rows that began before it was cancelled.
    pub fn cancel_kept(&mut self, now: Instant, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            self.recently_ended_kept.insert(id, now);
            return;
        };
        if job.kept.is_none() {
            return;
        }
        self.events.push(PoolEvent::KeptEnded {
            job: id,
            state: KeptState::Cancelled,
        });
        self.remove_ended_kept(now, id);
    }

    /// Records and stores how a kept job ended. The job stays in the pool, without running, until that is stored. The
    /// first end of a job counts.
    pub(super) fn end_kept(&mut self, now: Instant, id: JobId, state: KeptState) {
        let kept = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut());
        let Some(kept) = kept.filter(|kept| kept.final_state.is_none()) else {
            return;
        };
        kept.final_state = Some(state);
        kept.revision += 1;
        self.enqueue(now, id);
        self.stop_job_runs(now, id, None);
        self.store_changes(id);
    }

    /// Records a run's end in its job, and that the worker's end must not be acknowledged before
    /// the record is stored. Returns how often the task has failed if this run failed, and 0
    /// otherwise.
    pub(super) fn record_end(
        &mut self,
        task: TaskId,
        instance: &InstanceId,
        end: &EndedRun,
    ) -> u32 {
        let job = self.jobs.get_mut(&task.job);
        let kept = job.and_then(|job| job.kept.as_mut());
        let Some(kept) = kept.filter(|_| end.cause.is_recorded()) else {
            return 0;
        };
        // Once the job has ended, its row needs no further records, but it has yet to be stored as ended.
        if kept.final_state.is_some() {
            self.hold_back_end(task.job, instance, end.number);
            return 0;
        }
        let step = task.step as usize;
        let mut failures = 0;
        match end.cause {
            EndCause::Done => {
                if let Some(record) = kept.progress.get_mut(step) {
                    record.record_done(task.index);
                }
            }
            EndCause::Failed => failures = kept.record_failure(step, task.index, end.run),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => return 0,
        }
        kept.revision += 1;
        self.hold_back_end(task.job, instance, end.number);
        failures
    }

    /// Has an end acknowledged only once all that is known of its job is stored.
    pub(super) fn hold_back_end(&mut self, id: JobId, instance: &InstanceId, number: u64) {
        let kept = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut());
        let Some(kept) = kept.filter(|kept| !kept.is_fully_stored()) else {
            return;
        };
        let worker = self.workers.get_mut(instance);
        if worker.is_some_and(|worker| worker.unstored_ends.insert(number)) {
            kept.unstored_ends.push(UnstoredEnd {
                instance: instance.clone(),
                number,
                revision: kept.revision,
            });
        }
    }

    /// Writes the changes of a kept job to the store, unless a write is in flight: its answer
    /// triggers the next one.
    pub(super) fn store_changes(&mut self, id: JobId) {
        let pool = self.name.clone();
        let fence = self.fence.0;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(kept) = job.kept.as_mut() else {
            return;
        };
        if kept.writing.is_some() || kept.stored_revision >= kept.revision {
            return;
        }
        let write = WriteId(self.rng.u64(..));
        kept.writing = Some(write);
        let row = KeptRow {
            home: kept.new_home.clone().unwrap_or(pool),
            writer: fence,
            revision: kept.revision,
            write: Some(write),
            first_run: kept.first_run,
            state: kept.state(job.has_begun),
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
        self.actions.push(PoolAction::WriteKeptJob(KeptWrite {
            job: id,
            row,
            expected_version: kept.version,
        }));
    }

    /// Handles the result of a write.
    pub fn on_store_answer(&mut self, now: Instant, order: &KeptWrite, answer: KeptWriteResult) {
        let id = order.job;
        let Some(kept) = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut()) else {
            return;
        };
        // A write from before the job was released and loaded again says nothing about a later one.
        // If its answer were taken for the later write's, ends would be acknowledged that no row
        // contains. If it took effect, the later write finds the row changed.
        if kept.writing != order.row.write {
            return;
        }
        kept.writing = None;
        let written = order.row.revision;
        match answer {
            KeptWriteResult::Stored(version) => self.apply_stored(now, id, version, written),
            KeptWriteResult::Rejected => {
                let refused = JobOutcome::Refused {
                    kind: RefusalKind::NotServing,
                    retry_after: MIN_RETRY_AFTER,
                    fits: 0,
                };
                if let Some(kept) = self.remove_kept(now, id, refused) {
                    // Ends of a new job are those of an earlier submission, which has a row.
                    self.relist_ends(now, &kept.unstored_ends);
                }
            }
            KeptWriteResult::AlreadyExists(row, version) => {
                let job = id;
                self.handle_existing(now, FoundJob { job, row, version });
            }
            KeptWriteResult::Gone => self.remove_ended_kept(now, id),
            KeptWriteResult::Superseded => self.release_superseded(now, id),
            KeptWriteResult::Conflict(row, version) => {
                self.merge_row(now, id, &row, version);
            }
        }
        self.schedule(now);
        self.send_polls_and_orders(now);
    }

    /// Merges a row that a former owner wrote into this owner's job, which then overwrites the row. A job that now belongs
    /// to another pool is let go.
    pub(super) fn merge_row(&mut self, now: Instant, id: JobId, row: &KeptRow, version: u64) {
        if row.home != self.name {
            self.release_moved(now, id);
            return;
        }
        let Some(kept) = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut()) else {
            return;
        };
        if !kept.may_have_runs && row.first_run > kept.first_run {
            self.release_superseded(now, id);
            return;
        }
        kept.first_run = kept.first_run.max(row.first_run);
        kept.version = Some(version);
        kept.revision += 1;
        // The row has changed since this owner's write, which therefore has no effect.
        kept.new_home = None;
        for (step, record) in row.progress.iter().enumerate() {
            self.merge_record(id, step, record);
        }
        self.load_recorded_deaths(now, id, &row.progress);
        self.advance_job(now, id);
        self.store_changes(id);
    }

    /// Has the ends of a job that are not stored acknowledged only after a lapse of their worker's lease: another owner may
    /// have started their tasks again.
    pub(super) fn await_lapse_of_ends(&mut self, id: JobId) {
        let kept = self.jobs.get(&id).and_then(|job| job.kept.as_ref());
        for end in kept.into_iter().flat_map(|kept| &kept.unstored_ends) {
            if let Some(worker) = self.workers.get_mut(&end.instance) {
                worker.await_lapse(end.number);
            }
        }
    }

    /// Lets go of a job that a later owner of the pool has let run.
    fn release_superseded(&mut self, now: Instant, id: JobId) {
        self.await_lapse_of_ends(id);
        let Some(kept) = self.remove_kept(now, id, JobOutcome::Accepted) else {
            return;
        };
        self.events.push(PoolEvent::KeptSuperseded { job: id });
        self.request_kept_reload();
        self.rows_outdated_until = now;
        self.sole_owner_since = now;
        self.relist_ends(now, &kept.unstored_ends);
    }

    fn apply_stored(&mut self, now: Instant, id: JobId, version: u64, written: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job
            .kept
            .as_ref()
            .is_some_and(|kept| kept.new_home.is_some())
        {
            self.release_moved(now, id);
            return;
        }
        let waiters = std::mem::take(&mut job.waiters);
        let Some(kept) = job.kept.as_mut() else {
            return;
        };
        let first = kept.version.is_none();
        kept.version = Some(version);
        kept.stored_revision = written;
        let (stored, later): (Vec<_>, Vec<_>) = std::mem::take(&mut kept.unstored_ends)
            .into_iter()
            .partition(|end| end.revision <= written);
        kept.unstored_ends = later;
        let final_state = kept
            .final_state
            .filter(|_| kept.stored_revision >= kept.revision);
        self.release_ends(&stored, written);
        for waiter in waiters {
            self.answer(waiter, JobOutcome::Accepted);
        }
        if let Some(state) = final_state {
            self.remove_job(id);
            self.recently_ended_kept.insert(id, now);
            self.events.push(PoolEvent::KeptEnded { job: id, state });
            return;
        }
        if first {
            self.events.push(PoolEvent::KeptStored { job: id, version });
            self.enqueue(now, id);
        }
        self.store_changes(id);
    }

    fn release_ends(&mut self, ends: &[UnstoredEnd], up_to: u64) {
        for end in ends.iter().filter(|end| end.revision <= up_to) {
            if let Some(worker) = self.workers.get_mut(&end.instance) {
                worker.unstored_ends.remove(&end.number);
            }
        }
    }

    fn merge_record(&mut self, id: JobId, step: usize, record: &StepRecord) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.apply_record(step, record);
        let own = job
            .kept
            .as_mut()
            .and_then(|kept| kept.progress.get_mut(step));
        let Some(own) = own else {
            return;
        };
        own.merge(record);
    }
}
