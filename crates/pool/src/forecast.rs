//! Forecasts when waiting tasks will end, by simulating the order in which they are placed.
//!
//! Each worker is a list of the times at which its free CPU capacity changes: when runs end, and when simulated tasks
//! begin and end. Tasks are placed one after another on the worker that ends them first. Counting free cores over all
//! workers instead would overlook that ten workers with 7 free cores each cannot hold a task of 8 cores.

use std::time::Duration;

/// A time from now, in microseconds. A plain integer, since a forecast adds and compares some ten thousand of them.
type Micros = u64;

/// A change of a worker's free CPU capacity.
#[derive(Clone, Copy, Debug)]
struct CapacityChange {
    time: Micros,
    /// The change, in thousandths of a core.
    delta: i64,
}

/// A worker in the forecast.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerForecast {
    /// The CPU capacity that is free now, in thousandths of a core. Negative on a worker whose capacity has shrunk,
    /// where the end of a run does not free capacity at once.
    free: i64,
    /// The total CPU capacity, in thousandths of a core.
    capacity: u64,
    /// The ratio of run times to those on a worker of mean speed.
    slowness: f64,
    /// The changes, ordered by time.
    changes: Vec<CapacityChange>,
}

/// The times at which a task would begin and end on a worker.
#[derive(Clone, Copy, Debug)]
struct TaskTimes {
    start: Micros,
    end: Micros,
}

/// What a task needs, in the units of the forecast.
#[derive(Clone, Copy, Debug)]
struct TaskDemand {
    cpu: u64,
    /// The run time on a worker of mean speed, in microseconds.
    mean_run_time: f64,
    /// The time before which the task must not begin.
    earliest: Micros,
}

impl WorkerForecast {
    pub(crate) fn new(capacity: u64, used: u64, slowness: f64) -> Self {
        let signed = |capacity: u64| i64::try_from(capacity).unwrap_or(i64::MAX);
        Self {
            free: signed(capacity).saturating_sub(signed(used)),
            capacity,
            slowness,
            changes: Vec::new(),
        }
    }

    /// Adds the end of a running task, which occupies capacity until then.
    pub(crate) fn add_running(&mut self, left: Duration, cpu: u64) {
        self.add_change(micros(left), cpu.cast_signed());
    }

    fn add_change(&mut self, time: Micros, delta: i64) {
        // A task that ends frees its capacity before another begins at the same time.
        let before = |other: &CapacityChange| (other.time, other.delta <= 0) <= (time, delta <= 0);
        let index = self.changes.partition_point(before);
        self.changes.insert(index, CapacityChange { time, delta });
    }

    /// The earliest time, not before `demand.earliest`, from which there is capacity for the task's whole run time.
    /// None if it never fits.
    fn earliest_start(&self, demand: &TaskDemand) -> Option<Micros> {
        if demand.cpu > self.capacity {
            return None;
        }
        let (cpu, run_time) = (demand.cpu.cast_signed(), self.run_time(demand));
        let mut free = self.free;
        let mut start: Option<Micros> = None;
        let mut changes = self.changes.iter().peekable();
        while let Some(change) = changes.next_if(|change| change.time <= demand.earliest) {
            free += change.delta;
        }
        if free >= cpu {
            start = Some(demand.earliest);
        }
        for change in changes {
            if start.is_some_and(|start| change.time >= start.saturating_add(run_time)) {
                return start;
            }
            free += change.delta;
            if free < cpu {
                start = None;
            } else if start.is_none() {
                start = Some(change.time);
            }
        }
        start
    }

    fn run_time(&self, demand: &TaskDemand) -> Micros {
        // The cast saturates.
        (demand.mean_run_time * self.slowness) as Micros
    }

    fn times(&self, demand: &TaskDemand) -> Option<TaskTimes> {
        let start = self.earliest_start(demand)?;
        let end = start.saturating_add(self.run_time(demand));
        Some(TaskTimes { start, end })
    }

    fn reserve(&mut self, times: TaskTimes, cpu: u64) {
        let cpu = cpu.cast_signed();
        if times.start == 0 {
            self.free -= cpu;
        } else {
            self.add_change(times.start, -cpu);
        }
        self.add_change(times.end, cpu);
    }
}

/// Waiting tasks with the same demand and run time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingGroup {
    pub(crate) count: usize,
    pub(crate) cpu: u64,
    /// The predicted run time on a worker of mean speed.
    pub(crate) run_time: Duration,
}

/// The forecast for all workers of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolForecast {
    pub(crate) workers: Vec<WorkerForecast>,
    /// Which worker a task is placed on.
    pub(crate) rule: PlacementRule,
}

/// Which worker a task is placed on in a forecast.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PlacementRule {
    /// The one on which the task ends first.
    #[default]
    EarliestEnd,
    /// The one on which it can begin first, and among several of these the one on which it ends first. Tasks are placed
    /// like that: none waits for a faster worker. If workers differ by a factor of two or more, the other rule predicts
    /// ends that are too early.
    EarliestStart,
}

impl PoolForecast {
    /// Places a group, with no task before `earliest`, and returns the time from now to the end of its last task. None
    /// if a task never fits.
    pub(crate) fn place(&mut self, group: &WaitingGroup, earliest: Duration) -> Option<Duration> {
        if group.count == 0 {
            return Some(earliest);
        }
        let demand = TaskDemand {
            cpu: group.cpu,
            mean_run_time: group.run_time.as_secs_f64() * 1e6,
            earliest: micros(earliest),
        };
        // Only the worker that got a task has to be computed again for the next one.
        let times = self.workers.iter().map(|worker| worker.times(&demand));
        let mut times: Vec<Option<TaskTimes>> = times.collect();
        let mut last = demand.earliest;
        for _ in 0..group.count {
            let ends = times.iter().enumerate();
            let ends = ends.filter_map(|(number, times)| {
                let times = times.as_ref()?;
                let start = match self.rule {
                    PlacementRule::EarliestEnd => 0,
                    PlacementRule::EarliestStart => times.start,
                };
                Some((start, times.end, number))
            });
            let (_, end, number) = ends.min()?;
            if let Some(chosen) = times[number] {
                self.workers[number].reserve(chosen, demand.cpu);
            }
            times[number] = self.workers[number].times(&demand);
            last = last.max(end);
        }
        Some(Duration::from_micros(last))
    }
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}
