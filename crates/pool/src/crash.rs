//! Tasks under which workers died.
//!
//! Load it answers: a few jobs in a thousand crash whatever worker starts them. Harm prevented: such a task takes worker after
//! worker, each with all that runs there, for as long as its customer waits, and a kept one for good.
//!
//! One death does not name the culprit among the runs that died with a worker: all of them are suspects. A suspect runs
//! alone, so that a second death names it and no neighbour. Deaths that came together, as those of a rack do, blame nobody,
//! and neither does a silent worker that turns out to live.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{BirthTime, JobId, LifeId, TaskId};
use model::{FastMap, FastSet};

/// Deaths under one task that name it, if it ran alone in one of them.
const ISOLATED_CULPRIT_DEATHS: u32 = 2;

/// Deaths under one task that name it whatever ran beside it.
const CULPRIT_DEATHS: u32 = 3;

/// Losses within this time may have one cause: it covers how much later one silent worker is noticed than another.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);

/// The least losses of a pool that have one cause, and the share of its workers that they have to be.
const MIN_COMMON_LOSSES: usize = 3;
const COMMON_WORKERS_DIVISOR: usize = 16;

/// The same of workers that share a label, such as a rack.
const MIN_COMMON_LABEL_LOSSES: usize = 2;
const COMMON_LABEL_DIVISOR: usize = 2;

/// How long a loss is remembered beyond the jobs that it concerns: customers come again within seconds.
const LOSS_MEMORY: Duration = Duration::from_secs(60);

/// The most losses that are remembered.
const MAX_LOSSES: usize = 512;

/// How long a task waits after its second loss until it is known whether those workers died. It doubles with each further loss,
/// which bounds how many workers the task can take of which nothing is heard.
const INITIAL_HOLD: Duration = Duration::from_millis(2_500);

/// The most that this doubles.
const MAX_HOLD_DOUBLINGS: u32 = 6;

/// How long a route that handed in a culprit is known for it.
const ROUTE_MEMORY: Duration = Duration::from_secs(20);

/// A run that was lost with its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LostTask {
    pub(crate) task: TaskId,
    /// The name of its job's route.
    pub(crate) route: Arc<str>,
}

/// A worker that was lost with its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WorkerLoss {
    pub(crate) life: LifeId,
    pub(crate) born: Option<BirthTime>,
    /// Where it listened, if that is known.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) tasks: Vec<LostTask>,
    /// Whether one run alone was lost with it.
    pub(crate) was_alone: bool,
    pub(crate) at: Instant,
    /// Whether it is known to have died; it may as well have been out of reach.
    pub(crate) died: bool,
}

/// How many workers a pool has, for judging whether losses have one cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerCounts {
    pub(crate) workers: usize,
    pub(crate) labels: FastMap<Arc<str>, usize>,
}

/// What speaks against a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LossCounts {
    deaths: u32,
    /// Deaths in which it ran alone.
    alone: u32,
    /// Losses of which it is not known whether the worker died.
    unconfirmed: u32,
    last: Option<Instant>,
}

impl LossCounts {
    fn is_culprit(&self) -> bool {
        self.deaths >= CULPRIT_DEATHS || (self.deaths >= ISOLATED_CULPRIT_DEATHS && self.alone > 0)
    }

    fn losses(&self) -> u32 {
        self.deaths + self.unconfirmed
    }
}

/// How a task may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskRestriction {
    /// Like any other.
    None,
    /// On a worker of its own.
    Alone,
    /// Not now: it is not yet known whether it took two workers or more.
    Wait,
}

/// What became of a loss that was told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashFindings {
    /// Tasks that are named now.
    pub(crate) culprits: Vec<TaskId>,
    /// Whether the loss has a cause that it shares with others.
    pub(crate) common: bool,
}

/// Which tasks lost their workers, and what follows.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashTracker {
    losses: Vec<WorkerLoss>,
    /// Losses of the last moments, blamed on anything or not.
    recent_losses: Vec<WorkerLoss>,
    /// Follows from `losses`.
    loss_counts: FastMap<TaskId, LossCounts>,
    culprits: FastSet<TaskId>,
    /// Routes that handed in a culprit, and when that was named last.
    routes: FastMap<Arc<str>, Instant>,
}

impl CrashTracker {
    /// Whether nothing speaks against any task.
    pub(crate) fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// The tasks that something speaks against.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.loss_counts.keys().copied()
    }

    /// Takes a loss of a worker with runs.
    pub(crate) fn note_loss(&mut self, loss: WorkerLoss, shape: &WorkerCounts) -> CrashFindings {
        let now = loss.at;
        self.recent_losses
            .retain(|other| now < other.at + COMMON_CAUSE_WINDOW);
        self.recent_losses.push(loss.clone());
        let loss = self.narrow_to_culprit_routes(loss);
        self.add_loss(loss);
        let common = self.exclude_common_cause(shape);
        CrashFindings {
            culprits: self.find_culprits(now),
            common,
        }
    }

    /// Takes a death that is on record, as a former owner saw it.
    pub(crate) fn note_recorded_death(&mut self, loss: WorkerLoss) -> Vec<TaskId> {
        let now = loss.at;
        self.add_loss(loss);
        self.find_culprits(now)
    }

    /// A worker answers in the life in which it was lost: it was only out of reach. Says whether it was.
    pub(crate) fn discard_loss(&mut self, life: &LifeId, born: Option<BirthTime>) -> bool {
        let known = self.losses.len();
        self.losses
            .retain(|loss| loss.died || loss.life != *life || loss.born != born);
        let acquitted = self.losses.len() != known;
        if acquitted {
            self.recount_losses();
        }
        acquitted
    }

    /// A worker that was lost has another life now.
    pub(crate) fn confirm_death(&mut self, now: Instant, life: &LifeId) -> Vec<TaskId> {
        self.confirm_deaths_where(now, |loss| loss.life == *life)
    }

    /// Takes a worker that the directory has anew.
    pub(crate) fn note_listed(
        &mut self,
        now: Instant,
        life: &LifeId,
        born: Option<BirthTime>,
        address: SocketAddr,
    ) -> Vec<TaskId> {
        self.confirm_deaths_where(now, |loss| match loss.life == *life {
            true => born.is_some() && loss.born.is_some() && loss.born != born,
            false => loss.address == Some(address),
        })
    }

    /// A task is done: nothing speaks against it any more.
    pub(crate) fn clear_task(&mut self, task: TaskId) {
        if !self.loss_counts.contains_key(&task) {
            return;
        }
        for loss in &mut self.losses {
            loss.tasks.retain(|lost| lost.task != task);
        }
        self.recount_losses();
    }

    /// Forgets what is long ago and concerns no job that `is_open`.
    pub(crate) fn forget(&mut self, now: Instant, is_open: impl Fn(JobId) -> bool) {
        let known = self.losses.len();
        self.losses.retain(|loss| {
            let recent = now < loss.at + LOSS_MEMORY;
            recent || loss.tasks.iter().any(|lost| is_open(lost.task.job))
        });
        self.routes.retain(|_, named| now < *named + ROUTE_MEMORY);
        if self.losses.len() != known {
            self.recount_losses();
        }
    }

    /// How a task may be placed.
    pub(crate) fn restriction(&self, now: Instant, task: TaskId) -> TaskRestriction {
        let Some(standing) = self.loss_counts.get(&task) else {
            return TaskRestriction::None;
        };
        let doublings = match standing.losses() {
            0 => return TaskRestriction::None,
            1 => return TaskRestriction::Alone,
            losses => (losses - ISOLATED_CULPRIT_DEATHS).min(MAX_HOLD_DOUBLINGS),
        };
        let hold = INITIAL_HOLD * 2_u32.pow(doublings);
        match standing.last.is_some_and(|last| now < last + hold) {
            true => TaskRestriction::Wait,
            false => TaskRestriction::Alone,
        }
    }

    /// Whether a task of the job was named.
    pub(crate) fn has_culprit(&self, job: JobId) -> bool {
        self.culprits.iter().any(|task| task.job == job)
    }

    /// The deaths that stand against a job's tasks.
    pub(crate) fn deaths_of(&self, job: JobId) -> Vec<(TaskId, LifeId, Option<BirthTime>)> {
        let mut deaths = Vec::new();
        for loss in self.losses.iter().filter(|loss| loss.died) {
            let of_job = loss.tasks.iter().filter(|lost| lost.task.job == job);
            deaths.extend(of_job.map(|lost| (lost.task, loss.life.clone(), loss.born)));
        }
        deaths
    }

    /// Adds a loss; of one life there is one, also if it is told twice.
    fn add_loss(&mut self, loss: WorkerLoss) {
        let same = |other: &&mut WorkerLoss| other.life == loss.life && other.born == loss.born;
        if let Some(known) = self.losses.iter_mut().find(same) {
            known.died |= loss.died;
            for lost in loss.tasks {
                if !known.tasks.contains(&lost) {
                    known.tasks.push(lost);
                }
            }
            return;
        }
        if self.losses.len() == MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(loss);
    }

    fn confirm_deaths_where(
        &mut self,
        now: Instant,
        is_meant: impl Fn(&WorkerLoss) -> bool,
    ) -> Vec<TaskId> {
        let mut changed = false;
        for loss in &mut self.losses {
            let dies = !loss.died && is_meant(loss);
            loss.died |= dies;
            changed |= dies;
        }
        match changed {
            true => self.find_culprits(now),
            false => Vec::new(),
        }
    }

    /// Takes losses of the last moments out that have one cause. What one job had on all of them is not excused: it may be that
    /// cause. Says whether there are such.
    fn exclude_common_cause(&mut self, shape: &WorkerCounts) -> bool {
        let least = MIN_COMMON_LOSSES.max(shape.workers.div_ceil(COMMON_WORKERS_DIVISOR));
        let mut common: Vec<&WorkerLoss> = Vec::new();
        if self.recent_losses.len() >= least {
            common.extend(&self.recent_losses);
        } else {
            for (label, workers) in &shape.labels {
                let least = MIN_COMMON_LABEL_LOSSES.max(workers.div_ceil(COMMON_LABEL_DIVISOR));
                let labelled = self.recent_losses.iter();
                let labelled: Vec<_> = labelled.filter(|l| l.labels.contains(label)).collect();
                if labelled.len() >= least {
                    common.extend(labelled);
                }
            }
        }
        if common.is_empty() {
            return false;
        }
        let everywhere = jobs_on_all(&common);
        let excused: FastSet<(LifeId, Option<BirthTime>)> = common
            .iter()
            .map(|loss| (loss.life.clone(), loss.born))
            .collect();
        for loss in &mut self.losses {
            if excused.contains(&(loss.life.clone(), loss.born)) {
                loss.tasks
                    .retain(|lost| everywhere.contains(&lost.task.job));
            }
        }
        true
    }

    /// Of a worker that ran tasks of a route which hands in culprits, only those are suspects.
    fn narrow_to_culprit_routes(&self, mut loss: WorkerLoss) -> WorkerLoss {
        let known = |lost: &LostTask| self.routes.contains_key(&lost.route);
        if loss.tasks.iter().any(known) {
            loss.tasks.retain(known);
        }
        loss
    }

    /// Finds who is named now, and what stands against the others.
    fn find_culprits(&mut self, now: Instant) -> Vec<TaskId> {
        self.recount_losses();
        let named = self.loss_counts.iter();
        let named =
            named.filter(|(task, standing)| standing.is_culprit() && !self.culprits.contains(task));
        let named: Vec<TaskId> = named.map(|(task, _)| *task).collect();
        if named.is_empty() {
            return named;
        }
        self.culprits.extend(&named);
        for loss in &mut self.losses {
            let culprits = loss.tasks.iter().filter(|l| named.contains(&l.task));
            let routes: Vec<_> = culprits.map(|lost| lost.route.clone()).collect();
            if routes.is_empty() {
                continue;
            }
            // What died beside a culprit is innocent of that death.
            loss.tasks.retain(|lost| named.contains(&lost.task));
            for route in routes {
                self.routes.insert(route, now);
            }
        }
        self.recount_losses();
        named
    }

    fn recount_losses(&mut self) {
        self.losses.retain(|loss| !loss.tasks.is_empty());
        self.loss_counts.clear();
        for loss in &self.losses {
            for lost in &loss.tasks {
                let standing = self.loss_counts.entry(lost.task).or_default();
                standing.deaths += u32::from(loss.died);
                standing.alone += u32::from(loss.died && loss.was_alone);
                standing.unconfirmed += u32::from(!loss.died);
                standing.last = standing.last.max(Some(loss.at));
            }
        }
        let standings = &self.loss_counts;
        self.culprits.retain(|task| standings.contains_key(task));
    }
}

/// The jobs that ran on each of the workers.
fn jobs_on_all(losses: &[&WorkerLoss]) -> FastSet<JobId> {
    let Some((first, others)) = losses.split_first() else {
        return FastSet::default();
    };
    let runs_on = |loss: &WorkerLoss, job| loss.tasks.iter().any(|lost| lost.task.job == job);
    let jobs = first.tasks.iter().map(|lost| lost.task.job);
    jobs.filter(|job| others.iter().all(|other| runs_on(other, *job)))
        .collect()
}
