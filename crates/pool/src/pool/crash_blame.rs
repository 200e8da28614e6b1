//! Workers that die under their runs: what the pool tells the book of crashes, and what follows for tasks and workers.
//!
//! Such a worker is not sick: it gets runs again as soon as it answers. What speaks against a task of a kept job is stored
//! with the job, so that it outlives the owner.

use std::time::Instant;

use jobs::{
    BirthTime, JobId, JobOutcome, KeptState, LifeId, StepRecord, TaskDeath, TaskId, WorkerRecord,
    WorkerState,
};
use model::{FastSet, Mechanism};

use super::{schedule::task_id, WorkerPool};
use crate::{
    action::PoolNote,
    crash::{LostTask, PoolShape, TaskCaution, WorkerLoss},
    worker::WorkerLedger,
};

/// The share of a pool's workers that are emptied for suspects at the most.
const MAX_RESERVED_DIVISOR: usize = 8;

impl WorkerPool {
    /// Notes that a worker was lost with tasks that may have begun, of one of which it may have died. Gives the tasks that are
    /// named now; the caller gives their jobs up once it has put the runs away.
    pub(super) fn note_worker_loss(
        &mut self,
        now: Instant,
        life: &LifeId,
        begun: impl Iterator<Item = TaskId>,
        died: bool,
    ) -> Vec<TaskId> {
        let Some(worker) = self.workers.get(life) else {
            return Vec::new();
        };
        // One that leaves ends with all that runs there, as it has said.
        let is_leaving = worker.record.state == WorkerState::Draining;
        if is_leaving || !self.is_enabled(Mechanism::CrashBlame) {
            return Vec::new();
        }
        let tasks: Vec<LostTask> = begun.filter_map(|task| self.lost_task(task)).collect();
        if tasks.is_empty() {
            return Vec::new();
        }
        let loss = WorkerLoss {
            life: life.clone(),
            born: worker.born,
            address: Some(worker.record.address),
            labels: worker.record.labels.clone(),
            alone: tasks.len() == 1,
            tasks,
            at: now,
            died,
        };
        let suspects = loss.tasks.len();
        let loss_result = self.crashes.note_loss(loss, &self.pool_shape());
        self.notes.push(PoolNote::CrashSuspected {
            life: life.clone(),
            died,
            common: loss_result.common,
            suspects,
        });
        self.store_deaths();
        loss_result.culprits
    }

    /// A worker that was lost is known to have died.
    pub(super) fn confirm_crash(&mut self, now: Instant, life: &LifeId) {
        let culprits = self.crashes.confirm(now, life);
        self.store_deaths();
        self.fail_culprit_jobs(now, culprits);
    }

    /// A worker answers in the life in which it was lost.
    pub(super) fn clear_crash(&mut self, life: &LifeId, born: Option<BirthTime>) {
        if self.crashes.acquit(life, born) {
            self.notes
                .push(PoolNote::CrashCleared { life: life.clone() });
        }
    }

    /// Takes a worker that the directory has anew: one that was lost may have come back as it.
    pub(super) fn note_new_worker(&mut self, now: Instant, record: &WorkerRecord) {
        if self.crashes.is_empty() {
            return;
        }
        let culprits = self
            .crashes
            .note_listed(now, &record.life, record.born, record.address);
        self.store_deaths();
        self.fail_culprit_jobs(now, culprits);
    }

    /// Takes the deaths that a kept job's row tells of.
    pub(super) fn load_recorded_deaths(&mut self, now: Instant, id: JobId, steps: &[StepRecord]) {
        if !self.is_enabled(Mechanism::CrashBlame) {
            return;
        }
        let mut culprits = Vec::new();
        for (step, record) in steps.iter().enumerate() {
            for death in &record.deaths {
                let task = task_id(id, step, death.task);
                let loss = WorkerLoss {
                    life: death.life.clone(),
                    born: death.born,
                    address: None,
                    labels: Vec::new(),
                    tasks: self.lost_task(task).into_iter().collect(),
                    alone: false,
                    at: now,
                    died: true,
                };
                culprits.extend(self.crashes.note_recorded(loss));
            }
        }
        self.fail_culprit_jobs(now, culprits);
    }

    /// Ends the jobs of tasks that are named: a further try would only cost a further worker.
    pub(super) fn fail_culprit_jobs(&mut self, now: Instant, culprits: Vec<TaskId>) {
        for task in culprits {
            self.notes.push(PoolNote::CrashCulprit { task });
            match self.is_kept(task.job) {
                true => self.end_kept(now, task.job, KeptState::Failed),
                false => self.finish(now, task.job, JobOutcome::Failed),
            }
        }
    }

    pub(super) fn prune_crashes(&mut self, now: Instant) {
        if !self.crashes.is_empty() {
            let jobs = &self.jobs;
            self.crashes.forget(now, |job| jobs.contains_key(&job));
        }
    }

    /// Empties some workers for suspects that find none empty: on a full pool they would never run.
    pub(super) fn reserve_workers_for_suspects(&mut self, now: Instant) {
        if self.crashes.is_empty() {
            self.reserved_for_suspects.clear();
            return;
        }
        let waiting = self.crashes.suspects().filter(|task| {
            let job = self.jobs.get(&task.job);
            let waits = job.is_some_and(|job| job.waits(task.step as usize, task.index));
            waits && self.crashes.caution(now, *task) == TaskCaution::Alone
        });
        let waiting = waiting.count();
        let former = std::mem::take(&mut self.reserved_for_suspects);
        if waiting == 0 {
            return;
        }
        let open = self
            .workers
            .values()
            .filter(|worker| worker.is_open() && !worker.runs.iter().any(|run| run.alone));
        let mut open: Vec<&WorkerLedger> = open.collect();
        let most = (open.len() / MAX_RESERVED_DIVISOR).max(1);
        open.sort_by_key(|worker| {
            let was_reserved = former.contains(&worker.record.life);
            (worker.runs.len(), !was_reserved)
        });
        let reserved = open.iter().take(waiting.min(most));
        self.reserved_for_suspects = reserved.map(|worker| worker.record.life.clone()).collect();
    }

    pub(super) fn is_kept(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.kept.is_some())
    }

    /// None for a task of a job that is not here any more.
    fn lost_task(&self, task: TaskId) -> Option<LostTask> {
        let job = self.jobs.get(&task.job)?;
        Some(LostTask {
            task,
            route: job.terms.route.clone(),
        })
    }

    fn pool_shape(&self) -> PoolShape {
        let mut shape = PoolShape {
            workers: self.workers.len(),
            ..PoolShape::default()
        };
        for worker in self.workers.values() {
            for label in &worker.record.labels {
                *shape.labels.entry(label.clone()).or_default() += 1;
            }
        }
        shape
    }

    /// Has the deaths stored that stand against tasks of kept jobs.
    fn store_deaths(&mut self) {
        let suspects = self.crashes.suspects().map(|task| task.job);
        let kept: FastSet<JobId> = suspects.filter(|id| self.is_kept(*id)).collect();
        for id in kept {
            let deaths = self.crashes.deaths_of(id);
            let kept = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut());
            let Some(kept) = kept.filter(|kept| kept.end.is_none()) else {
                continue;
            };
            let mut changed = false;
            for (task, life, born) in deaths {
                let Some(record) = kept.progress.get_mut(task.step as usize) else {
                    continue;
                };
                let task = task.index;
                changed |= record.note_death(TaskDeath { task, life, born });
            }
            if changed {
                kept.revision += 1;
                self.store_changes(id);
            }
        }
    }
}
