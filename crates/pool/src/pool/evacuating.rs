//! Evacuation of the pool's data centre: its workers get no starts until the evacuation ends.
//!
//! An operator evacuates a data centre and then removes its machines, so tasks that were started in
//! between would be lost with them. Every start passes through `send_orders`, which sends none
//! to evacuated workers. Runs that have begun continue to their end.

use std::time::Instant;

use jobs::{InstanceId, JobId, JobOutcome, RefusalKind, RunNumber, TaskId};

use super::{stop_run, WorkerPool, MIN_RETRY_AFTER};
use crate::{action::PoolEvent, worker::RunPhase};

impl WorkerPool {
    /// Sets whether the pool's data centre is evacuated.
    pub fn set_evacuated(&mut self, now: Instant, evacuated: bool) {
        if self.evacuated == evacuated {
            return;
        }
        self.evacuated = evacuated;
        let mut unsent = Vec::new();
        let mut running = 0;
        for (instance, worker) in &self.workers {
            for run in &worker.runs {
                if run.phase == RunPhase::Ordered && run.is_unsent() {
                    unsent.push((instance.clone(), run.task, run.run));
                } else {
                    running += 1;
                }
            }
        }
        let unsent = if evacuated { unsent } else { Vec::new() };
        self.events.push(PoolEvent::Evacuation {
            evacuated,
            running,
            withdrawn: unsent.len(),
        });
        self.withdraw_starts(now, unsent);
        self.end_evacuated_jobs(now);
        self.schedule(now);
    }

    /// Withdraws starts. If a start was never sent, its task is requeued at once. If it was sent
    /// and has no answer, its run is stopped, since the start must not be sent again.
    pub(super) fn withdraw_starts(
        &mut self,
        now: Instant,
        starts: Vec<(InstanceId, TaskId, RunNumber)>,
    ) {
        let mut unsent = Vec::new();
        for (instance, task, number) in starts {
            let Some(worker) = self.workers.get_mut(&instance) else {
                continue;
            };
            let run = worker.run_mut(task, number);
            unsent.extend(run.filter(|run| run.is_unsent()).cloned());
            stop_run(worker, task, number);
        }
        for run in unsent {
            self.requeue(now, run);
        }
    }

    /// Ends jobs that have unplaced tasks while the data centre is evacuated. Jobs of which nothing
    /// was ordered are refused, so that their entries run them elsewhere. The others are given up:
    /// it is unknown whether any of their tasks ran, and they could not end before the evacuation
    /// does. Kept jobs are moved to another pool.
    pub(super) fn end_evacuated_jobs(&mut self, now: Instant) {
        if !self.evacuated {
            return;
        }
        let unkept = self.jobs.iter().filter(|(_, job)| job.kept.is_none());
        let stuck = unkept.filter(|(_, job)| job.has_unplaced());
        let stuck: Vec<(JobId, bool)> = stuck.map(|(id, job)| (*id, job.may_have_begun)).collect();
        for (id, ordered) in stuck {
            let outcome = match ordered {
                true => JobOutcome::GivenUp,
                false => JobOutcome::Refused {
                    kind: RefusalKind::Evacuated,
                    retry_after: MIN_RETRY_AFTER,
                    fits: 0,
                },
            };
            self.finish(now, id, outcome);
        }
    }
}
