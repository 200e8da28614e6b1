//! Kept jobs that no worker of their pool can hold, which are moved to another pool.
//!
//! A job's row names its home, the pool whose owner runs it. The owner moves a job by a conditional write of the row with
//! another home, once nothing of the job is left here and no worker of the pool can hold any task that may start now. Two
//! owners that run the same job would run its tasks twice. Against that:
//!
//! - From the write on, the job does not start here, whatever the answer to the write is, unless the row shows that the
//!   write can no longer take effect.
//! - A former owner's write may be performed late. A found job therefore starts only once this owner has written its row,
//!   after which no earlier write has the version that it expects.
//! - An owner that finds another home in the row of a job lets go of the job.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{JobId, JobOutcome, ServiceId, StepSpec, WorkerRecord, WorkerState};
use model::FastSet;

use super::WorkerPool;
use crate::{
    action::PoolEvent, job::TrackedJob, kept::StrandedJob, placement::can_hold,
    worker::TrackedWorker,
};

/// How long no worker of its pool can hold a job before it is moved. A worker that restarts elsewhere, or whose entry is
/// replaced, is back by then.
const STRANDED_DELAY: Duration = Duration::from_millis(1_000);

impl StrandedJob {
    /// Whether a worker can hold a task of the job that may start now.
    pub fn fits(&self, worker: &WorkerRecord) -> bool {
        let mut steps = self.steps.iter();
        worker.state == WorkerState::Ready
            && steps.any(|spec| can_hold(worker, spec, &self.service))
    }
}

impl WorkerPool {
    /// The kept jobs that may be moved to another pool, since no worker of this one can hold them. Has to be called
    /// several times a second.
    pub fn stranded_jobs(&mut self, now: Instant) -> Vec<StrandedJob> {
        let is_settled = self.accepting
            && self.kept_loaded
            && self.all_workers_known
            && !self.predecessor_active
            && self.has_recent_store_contact(now);
        let holders: Vec<&TrackedWorker> = match self.evacuated {
            true => Vec::new(),
            false => self.workers.values().filter(is_holder).collect(),
        };
        let without_worker = self.jobs.iter().filter(|(id, job)| {
            is_settled && is_idle(job) && !fits(job, &holders) && !self.has_runs_of(**id)
        });
        let without_worker: FastSet<JobId> = without_worker.map(|(id, _)| *id).collect();
        let mut stranded = Vec::new();
        for (id, job) in &mut self.jobs {
            let Some(kept) = job.kept.as_mut() else {
                continue;
            };
            if !without_worker.contains(id) {
                kept.stranded_since = None;
                continue;
            }
            let since = *kept.stranded_since.get_or_insert(now);
            if now >= since + STRANDED_DELAY {
                stranded.push(stranded_job(*id, job));
            }
        }
        stranded.sort_by_key(|job| job.job);
        stranded
    }

    /// Moves a job to the pool `home`. The job must be one of [`Self::stranded_jobs`] at this moment.
    pub fn move_kept(&mut self, now: Instant, id: JobId, home: Arc<str>) {
        let Some(kept) = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut()) else {
            return;
        };
        let stranded_since = kept.stranded_since.unwrap_or(now);
        kept.new_home = Some(home.clone());
        kept.revision += 1;
        self.events.push(PoolEvent::KeptMoving {
            job: id,
            home,
            stranded_for: now.saturating_duration_since(stranded_since),
        });
        self.store_changes(id);
    }

    /// Lets go of a job whose row names another pool as its home. Ends of it that workers list here belong to that pool.
    pub(super) fn release_moved(&mut self, now: Instant, id: JobId) {
        let Some(kept) = self.remove_kept(now, id, JobOutcome::Accepted) else {
            return;
        };
        self.events.push(PoolEvent::KeptMoved { job: id });
        self.foreign_jobs.insert(id);
        // A read that began earlier names this pool as the home.
        self.rows_outdated_until = now;
        self.relist_ends(now, &kept.unstored_ends);
    }
}

/// Whether a worker may get runs, now or soon. A worker that is silent or leaves may not.
fn is_holder(worker: &&TrackedWorker) -> bool {
    let is_listed = worker.unlisted_since.is_none() && worker.record.state == WorkerState::Ready;
    is_listed && !worker.is_silent()
}

/// Whether nothing of a kept job is left here: all that is known of it is stored, and each of its tasks is done or waits.
fn is_idle(job: &TrackedJob) -> bool {
    let Some(kept) = &job.kept else {
        return false;
    };
    let steps = job.steps.iter().zip(&job.request.steps);
    let mut accounted = steps.map(|(progress, spec)| {
        let waiting = u32::try_from(progress.waiting.len()).unwrap_or(u32::MAX);
        waiting.saturating_add(progress.done) >= spec.count
    });
    let is_stored = kept.is_fully_stored() && kept.final_state.is_none();
    is_stored && !kept.may_have_runs && accounted.all(|is_accounted| is_accounted)
}

/// Whether one of the workers can hold a task of the job that may start now, or none may start now.
fn fits(job: &TrackedJob, holders: &[&TrackedWorker]) -> bool {
    let mut steps = job.placeable_steps().peekable();
    let service: &ServiceId = &job.terms.service;
    let can_hold_step = |spec: &StepSpec| {
        let mut records = holders.iter().map(|worker| &worker.record);
        records.any(|record| can_hold(record, spec, service))
    };
    steps.peek().is_none() || steps.any(|(_, spec)| can_hold_step(spec))
}

fn stranded_job(id: JobId, job: &TrackedJob) -> StrandedJob {
    StrandedJob {
        job: id,
        steps: job
            .placeable_steps()
            .map(|(_, spec)| spec.clone())
            .collect(),
        service: job.terms.service.clone(),
    }
}
