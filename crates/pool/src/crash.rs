//! Identifies tasks that crash the workers on which they run.
//!
//! A few jobs in a thousand crash every worker that starts them. Such a task takes down worker after worker, together
//! with all their other runs, for as long as its customer waits, and a kept job does so without end.
//!
//! A worker's death counts against a task only if the task is known to have been there when the worker died: a start that
//! was sent to a worker that was dead already is no run, and a run on a worker that fell silent may have ended before the
//! worker died. A task that may have been there is restricted like one that was, since it may crash its workers before
//! they can answer.
//!
//! Nor does a death identify a culprit that is no more frequent than the deaths that no task caused, up to a maximum that
//! bounds how many workers a task can take down.
//!
//! One death does not identify the culprit among the runs that were lost with a worker: all of them become suspects. A
//! suspect then runs alone on a worker, so that a second death identifies it and no other task. If no worker gets empty
//! soon, it runs beside runs that are no suspects, since an innocent task would wait there for as long as they last.
//!
//! Deaths that happen together, such as those of a rack, make no task a suspect, and neither does a silent worker that
//! turns out to be alive. A death that something else explains still counts towards the number of deaths that ends a task
//! in any case: a task that crashes its workers does so on days with failing racks too.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{InstanceId, JobId, TaskId, WorkerStartTime};
use model::{FastMap, FastSet};

use crate::death_rate::{DeathRate, WorkerDeath};

/// The number of deaths that make a task a culprit if it ran alone in one of them.
const ISOLATED_CULPRIT_DEATHS: u32 = 2;

/// The number of deaths that make a task a culprit even if it never ran alone.
const CULPRIT_DEATHS: u32 = 3;

/// The number of deaths that make a task a culprit however often workers die without it. It bounds the number of workers
/// that a task can take down.
const CERTAIN_CULPRIT_DEATHS: u32 = 5;

/// Losses within this time may have a common cause. It covers the difference in time between the detection of one
/// silent worker and of another.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);

/// Losses in a pool have a common cause if there are at least this many, and at least one in `COMMON_WORKERS_DIVISOR`
/// of the pool's workers is lost.
const MIN_COMMON_LOSSES: usize = 3;
const COMMON_WORKERS_DIVISOR: usize = 16;

/// The same two bounds for workers that share a label, such as that of a rack.
const MIN_COMMON_LABEL_LOSSES: usize = 2;
const COMMON_LABEL_DIVISOR: usize = 2;

/// How long a loss is remembered even if none of its jobs is open: customers retry within seconds.
const LOSS_MEMORY: Duration = Duration::from_secs(60);

/// The maximum number of losses that are remembered.
const MAX_LOSSES: usize = 512;

/// How long a task is not placed after its second loss, so that it can become known whether the lost workers died. The
/// time doubles with each further loss, which bounds the number of workers that the task can take down before that is
/// known.
const INITIAL_HOLD: Duration = Duration::from_millis(2_500);

/// How long a suspect waits for a worker without other runs. The runs there may last for long, and one lost worker is
/// little evidence. Most runs take less than this, and a job may have nothing running for 3 s, of which the detection of
/// the loss takes 1 s.
const MAX_ALONE_WAIT: Duration = Duration::from_millis(1_500);

/// The maximum number of times that the hold doubles.
const MAX_HOLD_DOUBLINGS: u32 = 6;

/// How long a task is not placed once `CERTAIN_CULPRIT_DEATHS` workers have died that ran it or may have run it.
const LONGEST_HOLD: Duration = Duration::from_secs(300);

/// How long a route is remembered after one of its tasks was identified as a culprit.
const ROUTE_MEMORY: Duration = Duration::from_secs(20);

/// A task whose run was lost with its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LostTask {
    pub(crate) task: TaskId,
    /// The name of the route of the task's job.
    pub(crate) route: Arc<str>,
    /// Whether the task is known to have been there when the worker died, if it died: it had begun, and nothing can have
    /// ended it unheard. Otherwise it may have been, which restricts where it runs next and never identifies it as a
    /// culprit.
    pub(crate) was_there: bool,
    /// How long the task would have run on the worker, or did until the worker was lost.
    pub(crate) exposure: Duration,
}

/// A worker that was lost with its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WorkerLoss {
    pub(crate) instance: InstanceId,
    pub(crate) born: Option<WorkerStartTime>,
    /// The address on which the worker listened, if known.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) tasks: Vec<LostTask>,
    /// Whether a single run that may have begun was lost with the worker.
    pub(crate) was_alone: bool,
    pub(crate) lost_at: Instant,
    /// Whether the worker is known to have died, rather than possibly being out of reach.
    pub(crate) died: bool,
    /// Whether the worker has left the directory. It may come back under another id and at another address, so nothing
    /// else may ever confirm its death.
    pub(crate) departed: bool,
}

impl WorkerLoss {
    /// Whether the worker counts as dead for the bound on starts.
    fn may_have_died(&self) -> bool {
        self.died || self.departed
    }
}

/// The death of a worker that counts against a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CountedDeath {
    pub(crate) task: TaskId,
    pub(crate) instance: InstanceId,
    pub(crate) born: Option<WorkerStartTime>,
    /// Whether the worker is known to have died, and the task to have been there.
    pub(crate) is_known: bool,
}

/// The number of workers of a pool, in all and by label, for deciding whether losses have a common cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerCounts {
    pub(crate) workers: usize,
    pub(crate) labels: FastMap<Arc<str>, usize>,
}

/// The worker losses that count against a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LossCounts {
    pub(crate) deaths: u32,
    /// The number of deaths in which the task ran alone.
    pub(crate) alone: u32,
    /// The number of deaths of which it is not known whether the task was there, and of workers that have left the
    /// directory.
    possible: u32,
    /// The number of the other losses, of which it is not known whether the worker died.
    unconfirmed: u32,
    /// The number of losses of which it is not known whether the task was there.
    uncertain: u32,
    last_loss: Option<Instant>,
    /// The number of deaths that something else explains.
    explained: u32,
    /// The number of the other losses that something else explains and in which the task was there. A worker that was
    /// only out of reach answers again, which takes its loss back.
    explained_possible: u32,
    last_explained: Option<Instant>,
}

impl LossCounts {
    /// The number of known deaths, whether or not something else explains them.
    pub(crate) fn known_deaths(&self) -> u32 {
        self.deaths + self.explained
    }

    fn is_certain_culprit(&self) -> bool {
        self.known_deaths() >= CERTAIN_CULPRIT_DEATHS
    }

    fn may_be_culprit(&self) -> bool {
        self.deaths >= CULPRIT_DEATHS || (self.deaths >= ISOLATED_CULPRIT_DEATHS && self.alone > 0)
    }

    fn losses(&self) -> u32 {
        self.deaths + self.possible + self.unconfirmed
    }

    /// Whether as many workers may have died under the task as may die at most. An unconfirmed loss counts beside losses
    /// that something else explains, since it is explained only once others are lost too.
    fn is_exhausted(&self) -> bool {
        let explained = self.explained + self.explained_possible;
        let losses = match explained {
            0 => self.deaths + self.possible,
            _ => self.losses() + explained,
        };
        losses >= CERTAIN_CULPRIT_DEATHS
    }

    /// How long after its last loss the task is not placed.
    fn hold(&self) -> Duration {
        let Some(doublings) = self.losses().checked_sub(ISOLATED_CULPRIT_DEATHS) else {
            return Duration::ZERO;
        };
        INITIAL_HOLD * 2_u32.pow(doublings.min(MAX_HOLD_DOUBLINGS))
    }
}

/// How a suspected task may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskRestriction {
    /// On any worker.
    None,
    /// On a worker without other runs.
    Alone,
    /// On any worker without another suspect: it has waited for an empty one for long enough.
    Apart,
    /// Not now: two or more workers may have died under it, and it is not known yet whether they did.
    Hold,
}

impl TaskRestriction {
    /// The restrictions under which a task may be placed, the laxest first.
    pub(crate) const PLACEABLE: [Self; 3] = [Self::None, Self::Apart, Self::Alone];

    /// Whether the task is suspected of having caused the loss of a worker.
    pub(crate) fn is_suspect(self) -> bool {
        self != Self::None
    }
}

/// The result of recording a loss.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashFindings {
    /// Tasks that are newly identified as culprits.
    pub(crate) culprits: Vec<TaskId>,
    /// Whether the loss has a common cause with other losses.
    pub(crate) common: bool,
}

/// The tasks whose workers were lost, and the culprits found among them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashTracker {
    losses: Vec<WorkerLoss>,
    /// The losses that something else explains, with the tasks that they do not count against: a common cause, or a culprit
    /// beside them. They restrict no task until `CERTAIN_CULPRIT_DEATHS` workers may have died under it.
    explained_losses: Vec<WorkerLoss>,
    /// All losses within `COMMON_CAUSE_WINDOW`, whether or not they count against a task.
    recent_losses: Vec<WorkerLoss>,
    /// The deaths that no task caused.
    death_rate: DeathRate,
    /// The number of the pool's workers when one was lost last.
    workers: usize,
    /// Derived from `losses` and `explained_losses`.
    loss_counts: FastMap<TaskId, LossCounts>,
    culprits: FastSet<TaskId>,
    /// The routes of culprits, and when one was last identified.
    routes: FastMap<Arc<str>, Instant>,
}

impl CrashTracker {
    /// Whether no loss is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.explained_losses.is_empty()
    }

    /// The tasks against which losses count.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.loss_counts.keys().copied()
    }

    /// The losses that count against a task.
    pub(crate) fn losses_of(&self, task: TaskId) -> LossCounts {
        self.loss_counts.get(&task).copied().unwrap_or_default()
    }

    /// Records the loss of a worker that had runs.
    pub(crate) fn record_loss(
        &mut self,
        loss: WorkerLoss,
        worker_counts: &WorkerCounts,
    ) -> CrashFindings {
        let now = loss.lost_at;
        self.workers = worker_counts.workers;
        self.recent_losses
            .retain(|other| now < other.lost_at + COMMON_CAUSE_WINDOW);
        self.recent_losses.push(loss.clone());
        let loss = self.narrow_to_culprit_routes(loss);
        self.add_loss(loss);
        let common = self.exclude_common_cause(worker_counts);
        CrashFindings {
            culprits: self.find_culprits(now),
            common,
        }
    }

    /// Records the death of a worker that had no runs, unless it had lost them before.
    pub(crate) fn record_idle_death(&mut self, death: WorkerDeath) {
        let is_same =
            |loss: &WorkerLoss| loss.instance == death.instance && loss.born == death.born;
        if !self.losses.iter().any(is_same) {
            self.death_rate.record(death);
        }
    }

    /// Records a death that a former owner stored. Returns the culprits that it identifies.
    pub(crate) fn restore_death(&mut self, loss: WorkerLoss) -> Vec<TaskId> {
        let now = loss.lost_at;
        self.add_loss(loss);
        self.find_culprits(now)
    }

    /// Discards the loss of a worker that answers again in the same incarnation and so was only out of reach. Returns
    /// whether there was such a loss.
    pub(crate) fn discard_loss(
        &mut self,
        instance: &InstanceId,
        born: Option<WorkerStartTime>,
    ) -> bool {
        let stays =
            |loss: &WorkerLoss| loss.died || loss.instance != *instance || loss.born != born;
        let known = self.losses.len();
        let known_explained = self.explained_losses.len();
        self.losses.retain(stays);
        self.explained_losses.retain(stays);
        let cleared = self.losses.len() != known;
        if cleared || self.explained_losses.len() != known_explained {
            self.recount_losses();
        }
        cleared
    }

    /// Confirms the death of a lost worker that is now in another incarnation. Returns the culprits that it identifies.
    pub(crate) fn confirm_death(&mut self, now: Instant, instance: &InstanceId) -> Vec<TaskId> {
        self.confirm_deaths_where(now, |loss| loss.instance == *instance)
    }

    /// Takes a new directory entry, which confirms the death of a lost worker of the same id or at the same address.
    /// Returns the culprits that it identifies.
    pub(crate) fn apply_directory_entry(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        born: Option<WorkerStartTime>,
        address: SocketAddr,
    ) -> Vec<TaskId> {
        self.confirm_deaths_where(now, |loss| match loss.instance == *instance {
            true => born.is_some() && loss.born.is_some() && loss.born != born,
            false => loss.address == Some(address),
        })
    }

    /// Clears a completed task of all losses. Returns whether there were any.
    pub(crate) fn clear_task(&mut self, task: TaskId) -> bool {
        if !self.loss_counts.contains_key(&task) {
            return false;
        }
        for loss in self.losses.iter_mut().chain(&mut self.explained_losses) {
            loss.tasks.retain(|lost| lost.task != task);
        }
        self.recount_losses();
        true
    }

    /// Drops losses older than `LOSS_MEMORY` that concern no open job, and routes older than `ROUTE_MEMORY`.
    pub(crate) fn prune(&mut self, now: Instant, is_open: impl Fn(JobId) -> bool) {
        let known = self.losses.len() + self.explained_losses.len();
        let is_current = |loss: &WorkerLoss| {
            let recent = now < loss.lost_at + LOSS_MEMORY;
            recent || loss.tasks.iter().any(|lost| is_open(lost.task.job))
        };
        self.losses.retain(is_current);
        self.explained_losses.retain(is_current);
        self.routes
            .retain(|_, identified| now < *identified + ROUTE_MEMORY);
        if self.losses.len() + self.explained_losses.len() != known {
            self.recount_losses();
        }
    }

    /// How a task may be placed now.
    pub(crate) fn restriction(&self, now: Instant, task: TaskId) -> TaskRestriction {
        let Some(counts) = self.loss_counts.get(&task) else {
            return TaskRestriction::None;
        };
        let last = counts.last_loss.max(counts.last_explained);
        if counts.is_exhausted() && last.is_some_and(|last| now < last + LONGEST_HOLD) {
            return TaskRestriction::Hold;
        }
        if counts.losses() == 0 {
            return TaskRestriction::None;
        }
        let Some(last) = counts.last_loss else {
            return TaskRestriction::Alone;
        };
        let held_until = last + counts.hold();
        if now < held_until {
            TaskRestriction::Hold
        } else if now < held_until + MAX_ALONE_WAIT {
            TaskRestriction::Alone
        } else {
            TaskRestriction::Apart
        }
    }

    /// Whether a task was lost with a worker of which it is not known whether the task was there. Its next worker is
    /// watched, so that the next loss does not happen before its start arrives.
    pub(crate) fn needs_watch(&self, task: TaskId) -> bool {
        self.losses_of(task).uncertain > 0
    }

    /// Whether a task of the job is a culprit.
    pub(crate) fn has_culprit(&self, job: JobId) -> bool {
        self.culprits.iter().any(|task| task.job == job)
    }

    /// Notes that a lost worker has left the directory. Returns whether this changes a loss.
    pub(crate) fn record_departure(&mut self, instance: &InstanceId) -> bool {
        let mut changed = false;
        for loss in self.losses.iter_mut().chain(&mut self.explained_losses) {
            let departs = loss.instance == *instance && !loss.may_have_died();
            loss.departed |= departs;
            changed |= departs;
        }
        if changed {
            self.recount_losses();
        }
        changed
    }

    /// The known and possible deaths that count against a job's tasks.
    pub(crate) fn deaths_of(&self, job: JobId) -> Vec<CountedDeath> {
        let mut deaths = Vec::new();
        for loss in self.losses.iter().filter(|loss| loss.may_have_died()) {
            let of_job = loss.tasks.iter().filter(|lost| lost.task.job == job);
            deaths.extend(of_job.map(|lost| CountedDeath {
                task: lost.task,
                instance: loss.instance.clone(),
                born: loss.born,
                is_known: loss.died && lost.was_there,
            }));
        }
        deaths
    }

    fn add_loss(&mut self, loss: WorkerLoss) {
        merge_loss(&mut self.losses, loss);
    }

    /// Records that something else explains a loss than these tasks.
    fn add_explained(&mut self, loss: &WorkerLoss, tasks: Vec<LostTask>) {
        if tasks.is_empty() {
            return;
        }
        let loss = WorkerLoss {
            tasks,
            ..loss.clone()
        };
        merge_loss(&mut self.explained_losses, loss);
    }

    fn confirm_deaths_where(
        &mut self,
        now: Instant,
        is_same_worker: impl Fn(&WorkerLoss) -> bool,
    ) -> Vec<TaskId> {
        let mut changed = false;
        for loss in self.losses.iter_mut().chain(&mut self.explained_losses) {
            let confirmed = !loss.died && is_same_worker(loss);
            loss.died |= confirmed;
            changed |= confirmed;
        }
        match changed {
            true => self.find_culprits(now),
            false => Vec::new(),
        }
    }

    /// Stops counting recent losses that have a common cause against their tasks, except against the tasks of a job
    /// that ran on all lost workers, since that job may be the cause. Returns whether there are such losses.
    fn exclude_common_cause(&mut self, worker_counts: &WorkerCounts) -> bool {
        let least = MIN_COMMON_LOSSES.max(worker_counts.workers.div_ceil(COMMON_WORKERS_DIVISOR));
        let mut common: Vec<&WorkerLoss> = Vec::new();
        if self.recent_losses.len() >= least {
            common.extend(&self.recent_losses);
        } else {
            for (label, workers) in &worker_counts.labels {
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
        let common_jobs = jobs_on_all(&common);
        let excluded: FastSet<(InstanceId, Option<WorkerStartTime>)> = common
            .iter()
            .map(|loss| (loss.instance.clone(), loss.born))
            .collect();
        let is_excluded =
            |loss: &WorkerLoss| excluded.contains(&(loss.instance.clone(), loss.born));
        self.explain_losses(is_excluded, |lost| common_jobs.contains(&lost.task.job));
        true
    }

    /// If the worker ran tasks of routes that have had culprits lately, limits the suspects to those tasks.
    fn narrow_to_culprit_routes(&mut self, mut loss: WorkerLoss) -> WorkerLoss {
        let known = |lost: &LostTask| lost.was_there && self.routes.contains_key(&lost.route);
        let (suspects, others): (Vec<_>, Vec<_>) = loss.tasks.drain(..).partition(known);
        if suspects.is_empty() {
            loss.tasks = others;
            return loss;
        }
        self.add_explained(&loss, others);
        loss.tasks = suspects;
        loss
    }

    /// Stops counting some losses against their tasks, except against those that stay.
    fn explain_losses(
        &mut self,
        is_explained: impl Fn(&WorkerLoss) -> bool,
        stays: impl Fn(&LostTask) -> bool,
    ) {
        let mut losses = std::mem::take(&mut self.losses);
        for loss in losses.iter_mut().filter(|loss| is_explained(loss)) {
            let (tasks, others) = loss.tasks.drain(..).partition(&stays);
            self.add_explained(loss, others);
            loss.tasks = tasks;
        }
        self.losses = losses;
    }

    /// Recounts the losses and returns the tasks that are newly identified as culprits.
    fn find_culprits(&mut self, now: Instant) -> Vec<TaskId> {
        self.recount_losses();
        let suspects = self.loss_counts.iter();
        let suspects = suspects.filter(|(task, _)| !self.culprits.contains(*task));
        let culprits = suspects.filter(|(task, counts)| {
            counts.is_certain_culprit()
                || (counts.may_be_culprit() && self.has_sufficient_odds(now, **task))
        });
        let culprits: Vec<TaskId> = culprits.map(|(task, _)| *task).collect();
        if culprits.is_empty() {
            return culprits;
        }
        self.culprits.extend(&culprits);
        let is_culprit = |lost: &LostTask| lost.was_there && culprits.contains(&lost.task);
        for loss in &self.losses {
            let lost_culprits = loss.tasks.iter().filter(|lost| is_culprit(lost));
            let routes = lost_culprits.map(|lost| (lost.route.clone(), now));
            self.routes.extend(routes);
        }
        // The other tasks that were lost with a culprit did not cause that death.
        let has_culprit = |loss: &WorkerLoss| loss.tasks.iter().any(is_culprit);
        self.explain_losses(has_culprit, |lost| culprits.contains(&lost.task));
        self.recount_losses();
        culprits
    }

    /// Whether the deaths under a task are its doing rather than chance.
    fn has_sufficient_odds(&self, now: Instant, task: TaskId) -> bool {
        let mut deaths = Vec::new();
        for loss in self.losses.iter().filter(|loss| loss.died) {
            let of_task = |lost: &&LostTask| lost.was_there && lost.task == task;
            let lost = loss.tasks.iter().find(of_task);
            deaths.extend(lost.map(|lost| (loss.lost_at, lost.exposure)));
        }
        let odds = self
            .death_rate
            .culprit_odds(now, self.workers, deaths.into_iter());
        odds.is_sufficient()
    }

    fn recount_losses(&mut self) {
        let death_rate = &mut self.death_rate;
        self.losses.retain(|loss| {
            let is_over = loss.died && loss.tasks.is_empty();
            if is_over {
                // No task is left that could have caused it.
                death_rate.record(WorkerDeath {
                    instance: loss.instance.clone(),
                    born: loss.born,
                    died_at: loss.lost_at,
                });
            }
            !is_over
        });
        self.loss_counts.clear();
        for loss in &self.losses {
            for lost in &loss.tasks {
                let counts = self.loss_counts.entry(lost.task).or_default();
                let died_under_it = loss.died && lost.was_there;
                counts.deaths += u32::from(died_under_it);
                counts.alone += u32::from(died_under_it && loss.was_alone);
                counts.possible += u32::from(loss.may_have_died() && !died_under_it);
                counts.unconfirmed += u32::from(!loss.may_have_died());
                counts.uncertain += u32::from(!lost.was_there);
                counts.last_loss = counts.last_loss.max(Some(loss.lost_at));
            }
        }
        self.explained_losses.retain(|loss| !loss.tasks.is_empty());
        for loss in &self.explained_losses {
            // A task that may not even have been there, and a death that something else explains, hold nothing back: such a
            // task would wait in vain where workers restart often.
            for lost in loss.tasks.iter().filter(|lost| lost.was_there) {
                let counts = self.loss_counts.entry(lost.task).or_default();
                counts.explained += u32::from(loss.died);
                counts.explained_possible += u32::from(!loss.died);
                counts.last_explained = counts.last_explained.max(Some(loss.lost_at));
            }
        }
        let loss_counts = &self.loss_counts;
        self.culprits.retain(|task| loss_counts.contains_key(task));
    }
}

/// Adds a loss. There is one per incarnation of a worker; a second report of it is merged into the first.
fn merge_loss(losses: &mut Vec<WorkerLoss>, loss: WorkerLoss) {
    let same = |other: &&mut WorkerLoss| other.instance == loss.instance && other.born == loss.born;
    if let Some(known) = losses.iter_mut().find(same) {
        known.died |= loss.died;
        known.departed |= loss.departed;
        for lost in loss.tasks {
            match known.tasks.iter_mut().find(|l| l.task == lost.task) {
                Some(same) => {
                    same.was_there |= lost.was_there;
                    same.exposure = same.exposure.max(lost.exposure);
                }
                None => known.tasks.push(lost),
            }
        }
        known.was_alone &= known.tasks.len() == 1;
        return;
    }
    if losses.len() == MAX_LOSSES {
        losses.remove(0);
    }
    losses.push(loss);
}

/// The jobs that had runs on every one of the lost workers.
fn jobs_on_all(losses: &[&WorkerLoss]) -> FastSet<JobId> {
    let Some((first, others)) = losses.split_first() else {
        return FastSet::default();
    };
    let runs_on = |loss: &WorkerLoss, job| loss.tasks.iter().any(|lost| lost.task.job == job);
    let jobs = first.tasks.iter().map(|lost| lost.task.job);
    jobs.filter(|job| others.iter().all(|other| runs_on(other, *job)))
        .collect()
}
