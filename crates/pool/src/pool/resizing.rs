//! Workers whose capacity shrinks or grows while they have runs.
//!
//! A start that was placed before its worker shrank and is sent afterwards would bring the worker
//! over its capacity, so such starts are withdrawn. Runs that have begun continue: a worker over its
//! capacity gets no new runs until its runs fit again.

use std::time::Instant;

use jobs::{InstanceId, JobId, JobOutcome, RefusalKind, ResourceDemand, RunNumber, TaskId};

use super::{WorkerPool, MIN_RETRY_AFTER};
use crate::{action::PoolEvent, worker::TrackedWorker};

impl WorkerPool {
    /// Handles a change of a worker's capacity, after which starts may have to be withdrawn and jobs
    /// refused.
    pub(super) fn apply_resize(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        former: ResourceDemand,
    ) {
        let Some(worker) = self.workers.get(instance) else {
            return;
        };
        let capacity = worker.record.capacity;
        let withdrawn = starts_over_capacity(worker);
        self.events.push(PoolEvent::WorkerResized {
            instance: instance.clone(),
            former_capacity: former,
            capacity,
            withdrawn: withdrawn.len(),
        });
        let withdrawn = withdrawn.into_iter();
        let withdrawn = withdrawn.map(|(task, run)| (instance.clone(), task, run));
        self.withdraw_starts(now, withdrawn.collect());
        if !capacity.holds(&former) {
            self.refuse_unplaceable(now);
        }
    }

    /// Refuses queued jobs that no worker can hold any more. Kept jobs and jobs with ordered starts
    /// wait instead.
    fn refuse_unplaceable(&mut self, now: Instant) {
        let unplaceable = self.queued_jobs().filter(|(_, job)| {
            let can_wait = job.may_have_begun || job.kept.is_some();
            !can_wait && !self.can_ever_hold(&job.request, &job.terms)
        });
        let unplaceable: Vec<JobId> = unplaceable.map(|(id, _)| id).collect();
        for id in unplaceable {
            let outcome = JobOutcome::Refused {
                kind: RefusalKind::NeverFits,
                retry_after: MIN_RETRY_AFTER,
                fits: 0,
            };
            self.finish(now, id, outcome);
        }
    }
}

/// The starts that were never sent and do not fit into a worker's capacity beside its other runs, the
/// latest first.
fn starts_over_capacity(worker: &TrackedWorker) -> Vec<(TaskId, RunNumber)> {
    let mut used = worker.used_capacity();
    let mut over = Vec::new();
    for run in worker.runs.iter().rev() {
        if worker.record.capacity.holds(&used) {
            break;
        }
        if run.is_unsent() {
            used = used.minus(&run.demand);
            over.push((run.task, run.run));
        }
    }
    over
}
