//! What an evacuation changes for a pool: its workers get no start until its data centre is taken back.
//!
//! Failure prevented: an operator evacuates a data centre and takes its machines away, and tasks that were started since
//! are lost with them. All ways to a start end in `send_orders`, which lets none pass; what runs goes on to its end.

use std::time::Instant;

use jobs::{JobId, JobOutcome, LifeId, RefusalKind, RunNumber, TaskId};

use super::{stop_run, WorkerPool, MIN_RETRY_AFTER};
use crate::{action::PoolNote, worker::RunPhase};

impl WorkerPool {
    /// Says whether the pool's data centre is evacuated.
    pub fn set_evacuated(&mut self, now: Instant, evacuated: bool) {
        if self.evacuated == evacuated {
            return;
        }
        self.evacuated = evacuated;
        let mut unsent = Vec::new();
        let mut running = 0;
        for (life, worker) in &self.workers {
            for run in &worker.runs {
                if run.phase == RunPhase::Ordered && run.tries == 0 {
                    unsent.push((life.clone(), run.task, run.run));
                } else {
                    running += 1;
                }
            }
        }
        let unsent = if evacuated { unsent } else { Vec::new() };
        self.notes.push(PoolNote::Evacuation {
            evacuated,
            running,
            withdrawn: unsent.len(),
        });
        self.withdraw_starts(now, unsent);
        self.end_evacuated_jobs(now);
        self.schedule(now);
    }

    /// Takes starts back. One that was never sent lets its task wait again at once; one that was sent and has no answer is
    /// stopped, since it must not be sent again.
    pub(super) fn withdraw_starts(
        &mut self,
        now: Instant,
        starts: Vec<(LifeId, TaskId, RunNumber)>,
    ) {
        let mut unsent = Vec::new();
        for (life, task, number) in starts {
            let Some(worker) = self.workers.get_mut(&life) else {
                continue;
            };
            let run = worker.run_mut(task, number);
            unsent.extend(run.filter(|run| run.tries == 0).cloned());
            stop_run(worker, task, number);
        }
        for run in unsent {
            self.requeue(now, run);
        }
    }

    /// Lets go of jobs whose tasks wait while nothing may start: their entries find places elsewhere for those of which
    /// nothing has begun. Of the others nobody can say that nothing ran, and their end would wait for the data centre's
    /// return. Kept jobs wait for it.
    pub(super) fn end_evacuated_jobs(&mut self, now: Instant) {
        if !self.evacuated {
            return;
        }
        let unkept = self.jobs.iter().filter(|(_, job)| job.kept.is_none());
        let stuck = unkept.filter(|(_, job)| job.has_unplaced());
        let stuck: Vec<(JobId, bool)> = stuck.map(|(id, job)| (*id, job.ordered)).collect();
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
