//! Tasks that crash whatever worker starts them, and workers that come back.

use std::collections::BTreeMap;

use jobs::{JobId, LifeId, TaskId};
use pool::{CallFailure, PoolNote};

use super::{Event, World, ONE_WAY};

/// Starts of a task that may follow the third death under it.
const STARTS_BEYOND: u32 = 2;

/// How a worker that crashed comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashReturn {
    /// Under its id.
    SameId,
    /// Under a new one, at its address.
    NewId,
}

/// What crashes workers, and what came of it.
pub(crate) struct CrashPlan {
    /// The jobs whose first task crashes its worker, and how much of its work it does before.
    pub(crate) jobs: BTreeMap<JobId, f64>,
    pub(crate) returns: CrashReturn,
    /// How long a worker is away, in milliseconds.
    pub(crate) away: u64,
    /// Workers that are away, and until when.
    down: BTreeMap<LifeId, u64>,
    /// Deaths under each task that crashes workers.
    pub(crate) deaths: BTreeMap<TaskId, u32>,
    beyond: BTreeMap<TaskId, u32>,
    /// What the pool noted of crashes.
    pub(crate) notes: Vec<PoolNote>,
}

impl Default for CrashPlan {
    fn default() -> Self {
        Self {
            jobs: BTreeMap::new(),
            returns: CrashReturn::SameId,
            away: 2_500,
            down: BTreeMap::new(),
            deaths: BTreeMap::new(),
            beyond: BTreeMap::new(),
            notes: Vec::new(),
        }
    }
}

impl World {
    /// The job's first task crashes its workers once it has done this share of its work.
    pub(crate) fn poison(&mut self, job: JobId, share: f64) {
        self.crashes.jobs.insert(job, share);
    }

    /// A worker crashes: what runs there is gone, its connections break, and it is away for a while.
    pub(crate) fn crash(&mut self, life: &LifeId) {
        let until = self.now + self.crashes.away;
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.fault.silent = true;
        worker.runs.clear();
        let broken = std::mem::take(&mut worker.waiting);
        for (call, order, sent, _) in broken {
            let none = Err(CallFailure::NoAnswer);
            self.post(ONE_WAY, Event::LookAnswer(call, order, sent, none));
        }
        self.crashes.down.insert(life.clone(), until);
    }

    /// Lets tasks crash their workers, and workers come back.
    pub(super) fn step_crashes(&mut self) {
        let mut dying = Vec::new();
        for (life, worker) in &self.workers {
            for run in &worker.runs {
                let share = self.crashes.jobs.get(&run.task.job);
                let crashes = share.is_some_and(|share| run.done >= run.work * share);
                if crashes && run.task.index == 0 {
                    dying.push((life.clone(), run.task));
                }
            }
        }
        for (life, task) in dying {
            *self.crashes.deaths.entry(task).or_default() += 1;
            self.crash(&life);
        }
        let down = self.crashes.down.iter();
        let back = down.filter(|(_, until)| self.now >= **until);
        let back: Vec<LifeId> = back.map(|(life, _)| life.clone()).collect();
        for life in back {
            self.crashes.down.remove(&life);
            self.come_back(&life);
        }
    }

    fn come_back(&mut self, life: &LifeId) {
        if self.crashes.returns == CrashReturn::SameId {
            self.workers.get_mut(life).unwrap().fault.silent = false;
            self.rebirth(life);
            self.tell_all();
            return;
        }
        let former = self.workers.remove(life).unwrap();
        let at = self.instant();
        self.pool.unlist_worker(at, life);
        let mut record = former.record;
        record.life = LifeId::from(format!("{life}+").as_str());
        self.add_worker(record, former.speed);
    }

    /// Counts the starts of tasks that have crashed three workers.
    pub(super) fn count_start(&mut self, task: TaskId) {
        if self
            .crashes
            .deaths
            .get(&task)
            .is_none_or(|deaths| *deaths < 3)
        {
            return;
        }
        let beyond = self.crashes.beyond.entry(task).or_default();
        *beyond += 1;
        assert!(*beyond <= STARTS_BEYOND, "{task} crashes on and on");
    }
}
