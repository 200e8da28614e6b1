//! Crash blame: records losses of workers, and handles the tasks that are suspected of causing
//! them.
//!
//! A worker that was lost is not unhealthy: it gets runs again as soon as it answers. The deaths
//! under a task of a kept job are stored with the job, so that they survive a change of owner.

use std::time::{Duration, Instant};

use jobs::{
    InstanceId, JobId, JobOutcome, KeptState, StepRecord, TaskDeath, TaskId, WorkerRecord,
    WorkerStartTime, WorkerState,
};
use model::{FastMap, FastSet, Mechanism};

use super::{schedule::task_id, WorkerPool};
use crate::{
    action::{PoolEvent, RunBeginning},
    crash::{LostTask, TaskRestriction, WorkerCounts, WorkerLoss},
    death_rate::WorkerDeath,
    placement::can_hold,
    worker::{TrackedRun, TrackedWorker},
};

/// At most one in this many open workers is emptied for crash suspects, but at least one.
const MAX_RESERVED_DIVISOR: usize = 8;

/// How long a task counts as exposed to a death that a former owner recorded.
const RECORDED_EXPOSURE: Duration = Duration::from_secs(1);

/// A run that was lost with its worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRun {
    task: TaskId,
    /// Whether a start of it may have reached the worker.
    sent: bool,
    /// Whether it is known to have been there when the worker died.
    was_there: bool,
    exposure: Duration,
}

impl LostRun {
    /// A run that is lost now.
    pub(super) fn new(now: Instant, run: &TrackedRun, was_there: bool) -> Self {
        let elapsed = now.saturating_duration_since(run.placed_at);
        Self {
            task: run.task,
            sent: !matches!(
                run.beginning,
                RunBeginning::Unsent | RunBeginning::Unreached
            ),
            was_there,
            exposure: elapsed.min(run.predicted),
        }
    }
}

impl WorkerPool {
    /// Records the loss of a worker with tasks that may have begun, one of which may have killed
    /// it. Returns the tasks that this identifies as culprits; the caller ends their jobs once it
    /// has removed the runs.
    pub(super) fn record_worker_loss(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        runs: Vec<LostRun>,
        died: bool,
    ) -> Vec<TaskId> {
        let Some(worker) = self.workers.get(instance) else {
            return Vec::new();
        };
        // A draining worker ends with all its runs, as it has announced, so no task is to blame.
        let is_leaving = worker.record.state == WorkerState::Draining;
        if is_leaving || !self.is_enabled(Mechanism::CrashBlame) {
            return Vec::new();
        }
        let sent = runs.iter().filter(|run| run.sent);
        let tasks: Vec<LostTask> = sent.filter_map(|run| self.lost_task(run)).collect();
        if tasks.is_empty() {
            // A worker that begins to publish its start time has not restarted.
            if died && worker.born.is_some() {
                self.crashes.record_idle_death(WorkerDeath {
                    instance: instance.clone(),
                    born: worker.born,
                    died_at: now,
                });
            }
            return Vec::new();
        }
        let loss = WorkerLoss {
            instance: instance.clone(),
            born: worker.born,
            address: Some(worker.record.address),
            labels: worker.record.labels.clone(),
            was_alone: tasks.len() == 1,
            tasks,
            lost_at: now,
            died,
            departed: worker.unlisted_since.is_some(),
        };
        let (suspects, alone) = (loss.tasks.len(), loss.was_alone);
        let begun = loss.tasks.iter().filter(|lost| lost.was_there).count();
        let findings = self.crashes.record_loss(loss, &self.count_workers());
        self.events.push(PoolEvent::CrashSuspected {
            instance: instance.clone(),
            died,
            common: findings.common,
            suspects,
            begun,
            alone,
        });
        self.store_deaths();
        findings.culprits
    }

    /// Records that a lost worker is known to have died.
    pub(super) fn confirm_crash(&mut self, now: Instant, instance: &InstanceId) {
        let culprits = self.crashes.confirm_death(now, instance);
        self.store_deaths();
        self.fail_culprit_jobs(now, culprits);
    }

    /// Clears the loss of a worker that answers in the incarnation in which it was lost.
    pub(super) fn clear_crash(&mut self, instance: &InstanceId, born: Option<WorkerStartTime>) {
        if self.crashes.discard_loss(instance, born) {
            self.store_deaths();
            self.events.push(PoolEvent::CrashCleared {
                instance: instance.clone(),
            });
        }
    }

    /// Notes that a worker has left the directory, which a lost one may have done because it died.
    pub(super) fn record_departure(&mut self, instance: &InstanceId) {
        if self.crashes.record_departure(instance) {
            self.store_deaths();
        }
    }

    /// Handles a worker that is new in the directory. It may be a lost worker that has come back,
    /// which shows that the lost one died.
    pub(super) fn on_new_worker(&mut self, now: Instant, record: &WorkerRecord) {
        if self.crashes.is_empty() {
            return;
        }
        let culprits =
            self.crashes
                .apply_directory_entry(now, &record.instance, record.born, record.address);
        self.store_deaths();
        self.fail_culprit_jobs(now, culprits);
    }

    /// Loads the deaths that are recorded in a kept job's row.
    pub(super) fn load_recorded_deaths(&mut self, now: Instant, id: JobId, steps: &[StepRecord]) {
        if !self.is_enabled(Mechanism::CrashBlame) {
            return;
        }
        let mut culprits = Vec::new();
        for (step, record) in steps.iter().enumerate() {
            let deaths = record.deaths.iter().map(|death| (death, true));
            let possible = record.possible_deaths.iter().map(|death| (death, false));
            for (death, is_known) in deaths.chain(possible) {
                let run = LostRun {
                    task: task_id(id, step, death.task),
                    sent: true,
                    was_there: is_known,
                    exposure: RECORDED_EXPOSURE,
                };
                let loss = WorkerLoss {
                    instance: death.life.clone(),
                    born: death.born,
                    address: None,
                    labels: Vec::new(),
                    tasks: self.lost_task(&run).into_iter().collect(),
                    was_alone: false,
                    lost_at: now,
                    died: is_known,
                    departed: !is_known,
                };
                culprits.extend(self.crashes.restore_death(loss));
            }
        }
        self.fail_culprit_jobs(now, culprits);
    }

    /// Fails the jobs of culprit tasks: another attempt would only cost another worker.
    pub(super) fn fail_culprit_jobs(&mut self, now: Instant, culprits: Vec<TaskId>) {
        for task in culprits {
            let counts = self.crashes.losses_of(task);
            self.events.push(PoolEvent::CrashCulprit {
                task,
                deaths: counts.known_deaths(),
                alone: counts.alone,
            });
            match self.is_kept(task.job) {
                true => self.end_kept(now, task.job, KeptState::Failed),
                false => self.finish(now, task.job, JobOutcome::Failed),
            }
        }
    }

    pub(super) fn prune_crashes(&mut self, now: Instant) {
        if !self.crashes.is_empty() {
            let jobs = &self.jobs;
            self.crashes.prune(now, |job| jobs.contains_key(&job));
        }
    }

    /// Reserves some workers, so that they become empty, for crash suspects that find no empty one.
    /// Otherwise these would never run on a full pool.
    pub(super) fn reserve_workers_for_suspects(&mut self, now: Instant) {
        if self.crashes.is_empty() && self.reserved_for_suspects.is_empty() {
            return;
        }
        let waiting = self.crashes.suspects().filter(|task| {
            let job = self.jobs.get(&task.job);
            let waits = job.is_some_and(|job| job.is_placeable(task.step as usize, task.index));
            waits && self.crashes.restriction(now, *task) == TaskRestriction::Alone
        });
        let waiting: Vec<TaskId> = waiting.collect();
        let former = std::mem::take(&mut self.reserved_for_suspects);
        if !waiting.is_empty() {
            self.reserved_for_suspects = self.choose_reserved(&waiting, &former);
        }
        if self.reserved_for_suspects != former {
            self.events.push(PoolEvent::WorkersReserved {
                workers: self.reserved_for_suspects.len(),
                suspects: waiting.len(),
            });
        }
    }

    /// The workers to reserve for suspects, in the order of their ids. Each can hold one of them.
    fn choose_reserved(&self, suspects: &[TaskId], former: &[InstanceId]) -> Vec<InstanceId> {
        let open = self.workers.values().filter(|worker| {
            worker.accepts_runs()
                && !worker.runs.iter().any(|run| run.restriction.is_suspect())
                && suspects
                    .iter()
                    .any(|task| self.can_hold_task(worker, *task))
        });
        let mut open: Vec<&TrackedWorker> = open.collect();
        let max_reserved = (open.len() / MAX_RESERVED_DIVISOR).max(1);
        open.sort_by_key(|worker| {
            let was_reserved = former.contains(&worker.record.instance);
            (worker.runs.len(), !was_reserved)
        });
        let reserved = open.iter().take(suspects.len().min(max_reserved));
        let reserved = reserved.map(|worker| worker.record.instance.clone());
        let mut reserved: Vec<InstanceId> = reserved.collect();
        reserved.sort();
        reserved
    }

    pub(super) fn can_hold_task(&self, worker: &TrackedWorker, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let spec = job.request.steps.get(task.step as usize);
        spec.is_some_and(|spec| can_hold(&worker.record, spec, &job.terms.service))
    }

    pub(super) fn is_kept(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.kept.is_some())
    }

    /// Returns `None` if the task's job is no longer in the pool.
    fn lost_task(&self, run: &LostRun) -> Option<LostTask> {
        let job = self.jobs.get(&run.task.job)?;
        Some(LostTask {
            task: run.task,
            route: job.terms.route.clone(),
            was_there: run.was_there,
            exposure: run.exposure,
        })
    }

    fn count_workers(&self) -> WorkerCounts {
        let mut counts = WorkerCounts {
            workers: self.workers.len(),
            ..WorkerCounts::default()
        };
        for worker in self.workers.values() {
            for label in &worker.record.labels {
                *counts.labels.entry(label.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Stores the deaths that count against tasks of kept jobs, so that the next owner counts the same ones.
    fn store_deaths(&mut self) {
        if !self.is_enabled(Mechanism::CrashBlame) {
            return;
        }
        let suspects: FastSet<JobId> = self.crashes.suspects().map(|task| task.job).collect();
        let mut affected = Vec::new();
        for (id, job) in &self.jobs {
            let Some(kept) = &job.kept else {
                continue;
            };
            let has_deaths =
                |step: &StepRecord| !step.deaths.is_empty() || !step.possible_deaths.is_empty();
            if suspects.contains(id) || kept.progress.iter().any(has_deaths) {
                affected.push(*id);
            }
        }
        for id in affected {
            if self.update_recorded_deaths(id) {
                self.store_changes(id);
            }
        }
    }

    /// Takes the deaths that count against a job's tasks over into its row. Returns whether the row changed.
    pub(super) fn update_recorded_deaths(&mut self, id: JobId) -> bool {
        let kept = self.jobs.get_mut(&id).and_then(|job| job.kept.as_mut());
        let Some(kept) = kept.filter(|kept| kept.final_state.is_none()) else {
            return false;
        };
        let mut deaths: FastMap<u32, Vec<TaskDeath>> = FastMap::default();
        let mut possible_deaths: FastMap<u32, Vec<TaskDeath>> = FastMap::default();
        for death in self.crashes.deaths_of(id) {
            let task_death = TaskDeath {
                task: death.task.index,
                life: death.instance,
                born: death.born,
            };
            let of_kind = match death.is_known {
                true => &mut deaths,
                false => &mut possible_deaths,
            };
            of_kind.entry(death.task.step).or_default().push(task_death);
        }
        let mut changed = false;
        for (step, record) in (0..).zip(&mut kept.progress) {
            changed |= record.replace_deaths(deaths.remove(&step).unwrap_or_default());
            let possible = possible_deaths.remove(&step).unwrap_or_default();
            changed |= record.replace_possible_deaths(possible);
        }
        kept.revision += u64::from(changed);
        changed
    }
}
