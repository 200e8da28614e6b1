//! When waiting tasks will end, by trying out the order in which they get places.
//!
//! Each worker is a list of when its free room will change: runs that end, and tasks that were tried out to begin
//! later. Tasks are put one after another on the worker that ends them first. Counting free cores over all workers
//! instead would overlook that 7 cores free on each of ten workers hold no task of 8.

use std::time::Duration;

/// A time from now, in microseconds: a forecast adds and compares some ten thousand of them.
type Micros = u64;

/// A change of a worker's free room.
#[derive(Clone, Copy, Debug)]
struct CapacityChange {
    at: Micros,
    /// In thousandths of a core.
    by: i64,
}

/// A worker in the forecast.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerForecast {
    /// Processor room that nothing takes now, in thousandths of a core. Below zero on a worker that has shrunk: what ends there
    /// does not make room at once.
    free: i64,
    /// Processor room in all.
    room: u64,
    /// How many times as long runs take as on a worker of mean speed.
    slowness: f64,
    /// In order of time.
    changes: Vec<CapacityChange>,
}

/// When a task would begin and end on a worker.
#[derive(Clone, Copy, Debug)]
struct TaskTimes {
    from: Micros,
    end: Micros,
}

/// A task as the forecast counts.
#[derive(Clone, Copy, Debug)]
struct TaskDemand {
    cpu: u64,
    /// On a worker of mean speed, in microseconds.
    work: f64,
    earliest: Micros,
}

impl WorkerForecast {
    pub(crate) fn new(room: u64, used: u64, slowness: f64) -> Self {
        let signed = |room: u64| i64::try_from(room).unwrap_or(i64::MAX);
        Self {
            free: signed(room).saturating_sub(signed(used)),
            room,
            slowness,
            changes: Vec::new(),
        }
    }

    /// Adds a run that takes room now.
    pub(crate) fn add_running(&mut self, left: Duration, cpu: u64) {
        self.add_change(micros(left), cpu.cast_signed());
    }

    fn add_change(&mut self, at: Micros, by: i64) {
        // What ends at a moment makes room for what begins then.
        let before = |change: &CapacityChange| (change.at, change.by <= 0) <= (at, by <= 0);
        let place = self.changes.partition_point(before);
        self.changes.insert(place, CapacityChange { at, by });
    }

    /// From when on, but not before the earliest, there is room for a task for as long as it runs, if ever.
    fn earliest_start(&self, ask: &TaskDemand) -> Option<Micros> {
        if ask.cpu > self.room {
            return None;
        }
        let (cpu, run_time) = (ask.cpu.cast_signed(), self.run_time(ask));
        let mut free = self.free;
        let mut from: Option<Micros> = None;
        let mut changes = self.changes.iter().peekable();
        while let Some(change) = changes.next_if(|change| change.at <= ask.earliest) {
            free += change.by;
        }
        if free >= cpu {
            from = Some(ask.earliest);
        }
        for change in changes {
            if from.is_some_and(|from| change.at >= from.saturating_add(run_time)) {
                return from;
            }
            free += change.by;
            if free < cpu {
                from = None;
            } else if from.is_none() {
                from = Some(change.at);
            }
        }
        from
    }

    fn run_time(&self, ask: &TaskDemand) -> Micros {
        // The cast saturates.
        (ask.work * self.slowness) as Micros
    }

    fn times(&self, ask: &TaskDemand) -> Option<TaskTimes> {
        let from = self.earliest_start(ask)?;
        let end = from.saturating_add(self.run_time(ask));
        Some(TaskTimes { from, end })
    }

    fn reserve(&mut self, times: TaskTimes, cpu: u64) {
        let cpu = cpu.cast_signed();
        if times.from == 0 {
            self.free -= cpu;
        } else {
            self.add_change(times.from, -cpu);
        }
        self.add_change(times.end, cpu);
    }
}

/// Tasks of the same shape that wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingGroup {
    pub(crate) count: usize,
    pub(crate) cpu: u64,
    /// The predicted run time on a worker of mean speed.
    pub(crate) work: Duration,
}

/// All workers of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolForecast {
    pub(crate) workers: Vec<WorkerForecast>,
}

impl PoolForecast {
    /// Places a group, none of it before `earliest`, and gives the end of its last task, counted from now. None if a
    /// task never fits.
    pub(crate) fn place(&mut self, group: &WaitingGroup, earliest: Duration) -> Option<Duration> {
        if group.count == 0 {
            return Some(earliest);
        }
        let ask = TaskDemand {
            cpu: group.cpu,
            work: group.work.as_secs_f64() * 1e6,
            earliest: micros(earliest),
        };
        // Only the worker that got a task has to be looked at again for the next one.
        let times = self.workers.iter().map(|worker| worker.times(&ask));
        let mut times: Vec<Option<TaskTimes>> = times.collect();
        let mut last = ask.earliest;
        for _ in 0..group.count {
            let ends = times.iter().enumerate();
            let ends = ends.filter_map(|(number, times)| Some((times.as_ref()?.end, number)));
            let (end, number) = ends.min()?;
            if let Some(chosen) = times[number] {
                self.workers[number].reserve(chosen, ask.cpu);
            }
            times[number] = self.workers[number].times(&ask);
            last = last.max(end);
        }
        Some(Duration::from_micros(last))
    }
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}
