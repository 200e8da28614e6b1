//! Chooses the workers that are watched for tasks that their workers may die of.

use std::time::Instant;

use jobs::{InstanceId, TaskId};

use super::WorkerPool;
use crate::{crash::TaskRestriction, worker::TrackedWorker};

/// The maximum number of workers that are watched at a time, which bounds the capacity that is kept free for it.
const MAX_WATCHED: usize = 4;

impl WorkerPool {
    /// Watches an empty worker for each suspect that waits for a watched one.
    pub(super) fn watch_workers_for_suspects(&mut self, now: Instant) {
        if self.crashes.is_empty() {
            return;
        }
        let waiting = self.crashes.suspects().filter(|task| {
            let job = self.jobs.get(&task.job);
            let waits = job.is_some_and(|job| {
                job.is_placeable(task.step as usize, task.index) && self.may_run(now, job)
            });
            waits
                && self.crashes.needs_watch(*task)
                && self.crashes.restriction(now, *task) == TaskRestriction::Alone
        });
        let mut chosen: Vec<InstanceId> = Vec::new();
        for task in waiting {
            if chosen.len() == MAX_WATCHED {
                break;
            }
            chosen.extend(self.choose_watched(now, task, &chosen));
        }
        for instance in chosen {
            if let Some(worker) = self.workers.get_mut(&instance) {
                worker.extend_watch(now);
            }
        }
    }

    /// The worker to watch for a task: one that is watched already, if there is any, or else a reserved one.
    fn choose_watched(
        &self,
        now: Instant,
        task: TaskId,
        taken: &[InstanceId],
    ) -> Option<InstanceId> {
        let usable = self.workers.values().filter(|worker| {
            worker.may_get_run(now)
                && worker.runs.is_empty()
                && !taken.contains(&worker.record.instance)
                && self.can_hold_task(worker, task)
        });
        let preferred = usable.min_by_key(|worker: &&TrackedWorker| {
            let is_reserved = self.reserved_for_suspects.contains(&worker.record.instance);
            (!worker.is_watched(now), !is_reserved)
        });
        preferred.map(|worker| worker.record.instance.clone())
    }
}
