//! Takeover of a former owner's kept jobs, and precautions of an owner that may itself have been
//! replaced.
//!
//! Two owners must not run the same task. A successor cannot ask a predecessor that it cannot
//! reach, and the store does not record what runs. So a successor holds back the kept jobs that it
//! finds until the workers have reported what runs and what ended, or until everything that the
//! predecessor may have ordered is certainly over. An owner without contact to the store stops its
//! kept jobs in time for that.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{EndCause, EndedRun, InstanceId, JobId, JobOutcome, KeptState, TaskId};
use model::{FastMap, FastSet};

use super::{end_run, kept_jobs::NO_DEADLINE, WorkerPool};
use crate::{
    action::{PoolAction, PoolEvent, RunBeginning},
    job::TrackedJob,
    kept::{
        ForeignEnd, ForeignEndResult, FoundJob, KeptJobState, KeptSnapshot, STORE_CONTACT_LIMIT,
        TAKEOVER_HOLD_TIME,
    },
    worker::TrackedWorker,
};

/// How long ended jobs are remembered, so that an outdated read of their rows does not add them
/// again: much longer than the longest time that a read of the store takes.
const ENDED_KEPT_MEMORY: Duration = Duration::from_secs(10);

/// How much the clocks of two owners may differ, with the time that a read of the store takes.
const CLOCK_DIFFERENCE: Duration = Duration::from_millis(1_000);

impl WorkerPool {
    /// Records that the store has confirmed this owner's claim, by a call that was sent at `sent`.
    pub fn record_store_contact(&mut self, sent: Instant) {
        self.last_store_contact = self.last_store_contact.max(Some(sent));
    }

    /// Whether any kept job is held back until no run of a former owner can be left.
    pub(super) fn has_kept_on_hold(&self) -> bool {
        let mut kept = self.jobs.values().filter_map(|job| job.kept.as_ref());
        kept.any(|kept| kept.may_have_runs)
    }

    /// Sets whether a former owner is still finishing jobs of the pool, and whether all workers
    /// that it may have used are known: directory entries may be missing for a while after the
    /// store was unavailable.
    pub fn set_takeover_state(
        &mut self,
        now: Instant,
        predecessor_active: bool,
        all_workers_known: bool,
    ) {
        self.all_workers_known = all_workers_known;
        if predecessor_active {
            self.sole_owner_since = now;
            // The former owner goes on writing rows, so they have to be read again later.
            self.request_kept_reload();
            self.rows_outdated_until = now;
        }
        self.predecessor_active = predecessor_active;
    }

    /// Whether the kept jobs have been loaded. Before that their number is unknown.
    pub fn has_loaded_kept(&self) -> bool {
        self.kept_loaded
    }

    /// Whether the kept jobs have to be loaded from the store: they are not loaded, found jobs wait for a later read
    /// of their rows, or a version of them is required that no read has included. Not while a former owner is still
    /// finishing them.
    pub fn needs_kept_load(&self) -> bool {
        let is_outdated = self.rows_version < self.rows_wanted;
        let wanted = !self.kept_loaded || self.settled_since.is_some() || is_outdated;
        wanted && !self.predecessor_active
    }

    /// Requires a read of the kept jobs that includes this version of the store.
    pub fn require_rows(&mut self, version: u64) {
        self.rows_wanted = self.rows_wanted.max(version);
    }

    /// Loads this pool's jobs out of those that the store had when they were read.
    pub fn load_kept(&mut self, now: Instant, snapshot: KeptSnapshot) {
        let began = snapshot.began;
        if self.predecessor_active || began < self.rows_outdated_until {
            return;
        }
        let (found, others): (Vec<_>, Vec<_>) = snapshot
            .jobs
            .into_iter()
            .partition(|found| found.row.home == self.name);
        self.foreign_jobs = others.iter().map(|other| other.job).collect();
        self.kept_loaded = true;
        self.rows_read_from = began;
        self.rows_version = self.rows_version.max(snapshot.version);
        if self.settled_since.is_some_and(|settled| began >= settled) {
            self.resume_found_jobs(now, &found);
        }
        for other in &others {
            if self.holds_older_version(other) {
                self.release_moved(now, other.job);
            }
        }
        let open = found.iter().chain(&others).map(|job| job.job);
        let open: FastSet<JobId> = open.chain(snapshot.unreadable).collect();
        self.end_missing_jobs(now, snapshot.version, &open);
        self.recently_ended_kept
            .retain(|_, ended| now < *ended + ENDED_KEPT_MEMORY);
        for job in found {
            // A row may have been read just before its job ended here.
            let ended = self.recently_ended_kept.contains_key(&job.job);
            if !ended && !self.jobs.contains_key(&job.job) {
                self.adopt_job(now, job);
            }
        }
        self.schedule(now);
    }

    /// Removes the jobs that were stored by `version` and are not open at that version: they were cancelled, or another
    /// owner has stored their ends. The notice of a cancellation may have been missed.
    fn end_missing_jobs(&mut self, now: Instant, version: u64, open: &FastSet<JobId>) {
        let missing = self.jobs.iter().filter(|(id, job)| {
            let kept = job.kept.as_ref();
            let kept = kept.filter(|kept| kept.final_state.is_none() && !open.contains(id));
            kept.is_some_and(|kept| kept.version.is_some_and(|stored| stored <= version))
        });
        let missing: Vec<JobId> = missing.map(|(id, _)| *id).collect();
        for id in missing {
            self.events
                .push(PoolEvent::KeptMissing { job: id, version });
            self.await_lapse_of_ends(id);
            self.remove_ended_kept(now, id);
        }
    }

    /// Whether this owner has the job of a row, as of an older version.
    fn holds_older_version(&self, found: &FoundJob) -> bool {
        let job = self.jobs.get(&found.job);
        let kept = job.and_then(|job| job.kept.as_ref());
        kept.is_some_and(|kept| kept.version.is_some_and(|held| held < found.version))
    }

    /// Lets found jobs run. `found` are the jobs that the store still has after the last moment at which a former owner
    /// may have written their rows.
    fn resume_found_jobs(&mut self, now: Instant, found: &[FoundJob]) {
        self.settled_since = None;
        let first_run = self.next_run_number(now).0;
        let open: FastMap<JobId, &FoundJob> = found.iter().map(|job| (job.job, job)).collect();
        let held = self.jobs.iter_mut().filter_map(|(id, job)| {
            let kept = job.kept.as_mut().filter(|kept| kept.may_have_runs)?;
            kept.may_have_runs = false;
            kept.first_run = first_run;
            kept.resumed_revision = kept.revision + 1;
            let runs = kept.final_state.is_none();
            runs.then_some((*id, kept.version, kept.writing.is_some()))
        });
        let held: Vec<(JobId, Option<u64>, bool)> = held.collect();
        for (id, version, is_being_written) in held {
            match open.get(&id) {
                // If the row has changed meanwhile, the write is answered with the change.
                _ if is_being_written => self.fence_off_former_writes(id),
                Some(job) if Some(job.version) > version => {
                    self.merge_row(now, id, &job.row, job.version);
                }
                Some(_) => self.fence_off_former_writes(id),
                None => self.remove_ended_kept(now, id),
            }
            self.report_resumed(id);
        }
    }

    /// Reports what is known of a job that may run from now on.
    fn report_resumed(&mut self, id: JobId) {
        let kept = self.jobs.get(&id).and_then(|job| job.kept.as_ref());
        let Some((version, kept)) = kept.and_then(|kept| kept.version.zip(Some(kept))) else {
            return;
        };
        let done = kept.progress.iter().map(|record| record.done.len()).sum();
        self.events.push(PoolEvent::KeptResumed {
            job: id,
            version,
            done,
        });
    }

    /// Writes a found job's row, so that no write of a former owner can take effect any more.
    fn fence_off_former_writes(&mut self, id: JobId) {
        if let Some(kept) = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut()) {
            kept.revision += 1;
        }
        self.store_changes(id);
    }

    pub(super) fn adopt_job(&mut self, now: Instant, found: FoundJob) {
        let FoundJob {
            job: id,
            row,
            version,
        } = found;
        let (request, terms) = (Arc::new(row.request(id)), row.terms());
        let mut job = self.build_job(now, None, request, terms);
        job.deadline = now + NO_DEADLINE;
        job.has_begun = row.state == KeptState::Running || self.lists_run_of(id);
        job.may_have_begun = job.has_begun;
        for (step, record) in row.progress.iter().enumerate() {
            job.apply_record(step, record);
        }
        // This owner may have ordered runs of the job before it released it. Their tasks do not
        // wait until those runs have ended.
        for worker in self.workers.values() {
            for run in worker.runs.iter().filter(|run| run.task.job == id) {
                job.remove_waiting(run.task.step as usize, run.task.index);
            }
        }
        job.update_ready_steps();
        let revision = self.next_run_number(now).0;
        job.kept = Some(KeptJobState {
            version: Some(version),
            revision,
            stored_revision: revision,
            progress: row.progress,
            first_run: row.first_run,
            resumed_revision: u64::MAX,
            may_have_runs: true,
            ..KeptJobState::default()
        });
        let complete = job.is_complete();
        let progress = job.kept.as_ref().map(|kept| kept.progress.clone());
        self.ended_attempts.remove(&id);
        self.settled_since = None;
        self.insert_job(id, job);
        self.events.push(PoolEvent::KeptFound { job: id, version });
        if complete {
            // The job's last end was stored, but its owner was gone before it could store the
            // completion.
            self.end_kept(now, id, KeptState::Completed);
        } else {
            self.enqueue(now, id);
            self.load_recorded_deaths(now, id, &progress.unwrap_or_default());
        }
    }

    /// Whether a worker has listed a run of the job, of this owner or of a former one.
    fn lists_run_of(&self, id: JobId) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| {
            let mut own = worker.runs.iter();
            let mut foreign = worker.foreign_runs.iter();
            own.any(|run| run.task.job == id && run.beginning == RunBeginning::Begun)
                || foreign.any(|(task, _)| task.job == id)
        })
    }

    /// Whether the tasks of a job may be placed if a worker has free capacity.
    pub(super) fn may_run(&self, now: Instant, job: &TrackedJob) -> bool {
        let Some(kept) = &job.kept else {
            return self.may_run_attempt(now, job);
        };
        let stored = kept.version.is_some() && kept.final_state.is_none();
        let is_ours = !kept.may_have_runs && !kept.is_unfenced() && kept.new_home.is_none();
        stored && is_ours && self.accepting && self.has_recent_store_contact(now)
    }

    /// Whether the last contact with the store is so recent that this owner cannot have been
    /// replaced without knowing it.
    pub(super) fn has_recent_store_contact(&self, now: Instant) -> bool {
        self.last_store_contact
            .is_some_and(|sent| now < sent + STORE_CONTACT_LIMIT)
    }

    /// Runs the time-driven work for kept jobs: stops their runs without recent contact to the
    /// store, lets found jobs run once the takeover is settled, and releases idle jobs once the pool
    /// accepts no new ones.
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
        let settled = self.has_kept_on_hold() && self.is_takeover_settled(now);
        self.settled_since = settled.then(|| self.settled_since.unwrap_or(now));
        if !self.accepting {
            self.release_idle_kept(now);
        }
    }

    /// Whether no run of a former owner can be left: every worker has listed its runs under this
    /// fence, or everything that a former owner may have ordered is over. In the latter case, too,
    /// the ends that reachable workers have not listed yet have to be known.
    fn is_takeover_settled(&self, now: Instant) -> bool {
        let is_clear = |worker: &TrackedWorker| {
            worker.ends_listed && worker.foreign_runs.is_empty() && worker.unlisted_since.is_none()
        };
        let view_complete = self.kept_loaded && self.all_workers_known && !self.predecessor_active;
        let all_reported = view_complete && self.workers.values().all(is_clear);
        let orders_over = now >= self.sole_owner_since + TAKEOVER_HOLD_TIME;
        all_reported || (orders_over && !self.awaits_unlisted_ends(now))
    }

    /// Whether a worker has ends that it has not listed yet and that count once they are acknowledged. After a lapse of
    /// its lease they no longer do.
    fn awaits_unlisted_ends(&self, now: Instant) -> bool {
        let owner_millis = self.owner_millis(now);
        let margin = self.settings.lease_expiry_margin;
        let mut workers = self.workers.values();
        workers.any(|worker| {
            let clock = worker.min_clock_now(owner_millis);
            let lapsed = clock.is_some_and(|clock| clock >= worker.lease_end.plus(margin));
            worker.has_unlisted_ends() && !(worker.is_silent() && lapsed)
        })
    }

    fn stop_kept_runs(&mut self, now: Instant) {
        let mut unsent = Vec::new();
        let mut stopped = false;
        for worker in self.workers.values_mut() {
            let kept = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.kept.is_some());
            let running = worker.runs.iter().filter(|run| kept(&run.task.job));
            let running = running.filter(|run| !run.must_end);
            let running: Vec<_> = running
                .map(|run| (run.task, run.run, run.is_unsent()))
                .collect();
            for (task, run, never_sent) in running {
                stopped = true;
                if never_sent {
                    unsent.extend(worker.run_mut(task, run).cloned());
                }
                end_run(worker, task, run);
            }
        }
        for run in unsent {
            // The run never begins, so there will be no end that requeues its task.
            self.requeue(now, run);
        }
        if stopped {
            self.events.push(PoolEvent::KeptSuspended);
            self.send_orders(now);
        }
    }

    /// Releases kept jobs of which nothing runs. The next owner finds them in the store.
    fn release_idle_kept(&mut self, now: Instant) {
        let idle = self.jobs.iter().filter(|(id, job)| {
            let stored = job.kept.as_ref().is_some_and(KeptJobState::is_fully_stored);
            stored && !self.has_runs_of(**id)
        });
        let idle: Vec<JobId> = idle.map(|(id, _)| *id).collect();
        if !idle.is_empty() {
            // A read that began earlier may not have these jobs.
            self.rows_outdated_until = now;
        }
        for id in idle {
            self.remove_job(id);
        }
    }

    /// Releases all kept jobs, since another owner may have them. They are loaded again later.
    pub(super) fn release_all_kept(&mut self, now: Instant) {
        let kept = self.jobs.iter().filter(|(_, job)| job.kept.is_some());
        let kept: Vec<JobId> = kept.map(|(id, _)| *id).collect();
        if kept.is_empty() {
            return;
        }
        for id in kept {
            self.remove_kept(now, id, JobOutcome::GivenUp);
        }
        // Ends that were not acknowledged are listed again, and count then.
        for worker in self.workers.values_mut() {
            worker.unstored_ends.clear();
            worker.unlapsed_ends.clear();
            worker.last_seen_end = worker.acknowledged_end;
        }
        self.request_kept_reload();
        self.rows_outdated_until = now;
        self.sole_owner_since = now;
    }

    /// Requests that the kept jobs are loaded again, and with them the ends that workers list.
    pub(super) fn request_kept_reload(&mut self) {
        self.kept_loaded = false;
        for worker in self.workers.values_mut() {
            worker.ends_listed = false;
        }
    }

    /// Whether an end may be one of another pool's kept job: the job was among those read or, if nobody here knows it, its
    /// run was ordered so late that it may have been stored after the read. Run numbers are times of the platform's clock.
    fn may_be_of_foreign_job(&self, job: JobId, end: &EndedRun) -> bool {
        if self.foreign_jobs.contains(&job) {
            return true;
        }
        let read_at = self.run_number_base + self.owner_millis(self.rows_read_from);
        let margin = u64::try_from(CLOCK_DIFFERENCE.as_millis()).unwrap_or(u64::MAX);
        let is_later = end.run.0 >= read_at.saturating_sub(margin);
        is_later && !self.jobs.contains_key(&job) && !self.recently_ended_kept.contains_key(&job)
    }

    /// Has an end added to the row of another pool's job before it is acknowledged. The pool that has the job reads its rows
    /// once more before it runs what it found, but the end may come later than that. It is therefore acknowledged only once
    /// the worker's lease has lapsed: then the task may be started again.
    fn store_foreign_end(&mut self, instance: &InstanceId, task: TaskId, end: &EndedRun) {
        let is_known = self.foreign_jobs.contains(&task.job);
        let worker = self.workers.get_mut(instance);
        let Some(worker) = worker.filter(|_| end.cause.is_recorded()) else {
            return;
        };
        if !worker.unstored_ends.insert(end.number) {
            return;
        }
        if is_known {
            worker.await_lapse(end.number);
        }
        self.events.push(PoolEvent::ForeignEndFound {
            instance: instance.clone(),
            task,
            run: end.run,
            cause: end.cause,
        });
        self.actions.push(PoolAction::StoreForeignEnd(ForeignEnd {
            instance: instance.clone(),
            born: worker.born,
            task,
            end: end.clone(),
        }));
    }

    /// Handles that an end is in the row of another pool's job, or that there is no such job.
    pub fn on_foreign_end_stored(&mut self, stored: &ForeignEnd, result: ForeignEndResult) {
        let worker = self.workers.get_mut(&stored.instance);
        let Some(worker) = worker.filter(|worker| worker.born == stored.born) else {
            return;
        };
        let number = stored.end.number;
        worker.unstored_ends.remove(&number);
        match result {
            ForeignEndResult::NoKeptJob => {
                worker.unlapsed_ends.remove(&number);
            }
            // For a job that was not known here, the wait begins only now.
            ForeignEndResult::Stored => worker.await_lapse(number),
        }
    }

    /// Handles the end of a run that a former owner ordered.
    pub(super) fn apply_found_end(&mut self, now: Instant, instance: &InstanceId, end: &EndedRun) {
        let Some(task) = end.task else {
            return;
        };
        if self.may_be_of_foreign_job(task.job, end) {
            self.store_foreign_end(instance, task, end);
            return;
        }
        let step = task.step as usize;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let kept = job.kept.as_ref();
        let record = kept.and_then(|kept| kept.progress.get(step));
        let Some((record, progress)) = record.zip(job.steps.get_mut(step)) else {
            return;
        };
        if !end.cause.is_recorded() {
            return;
        }
        // Another owner, or this one before it read the row again, may have started the task since, without knowing the end.
        let may_be_superseded = kept.is_some_and(|kept| end.run.0 < kept.first_run);
        let worker = self.workers.get_mut(instance);
        if let Some(worker) = worker.filter(|_| may_be_superseded) {
            worker.await_lapse(end.number);
        }
        let has_ended = kept.is_some_and(|kept| kept.final_state.is_some());
        if has_ended || record.contains(task.index, end) {
            // The worker may have been removed and added again before the record was stored.
            self.hold_back_end(task.job, instance, end.number);
            return;
        }
        match end.cause {
            EndCause::Done => {
                progress.waiting.retain(|w| w.index != task.index);
                self.record_end(task, instance, end);
                self.advance_job(now, task.job);
            }
            EndCause::Failed => {
                let waiting = progress.waiting.iter_mut();
                for waiting in waiting.filter(|w| w.index == task.index) {
                    waiting.failures += 1;
                }
                let attempts = job.terms.attempts;
                if self.record_end(task, instance, end) >= attempts {
                    self.end_kept(now, task.job, KeptState::Failed);
                }
            }
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => (),
        }
        self.store_changes(task.job);
    }
}
