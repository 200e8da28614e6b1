//! When waiting tasks will end, by trying out the order in which they get places.
//!
//! Each worker is a list of when its free room will change: runs that end, and tasks that were tried out to begin
//! later. Tasks are put one after another on the worker that ends them first. Counting free cores over all workers
//! instead would overlook that 7 cores free on each of ten workers hold no task of 8.

use std::time::Duration;

/// A change of a worker's free room.
#[derive(Clone, Copy, Debug)]
struct RoomChange {
    /// From now.
    at: Duration,
    /// In thousandths of a core.
    by: i64,
}

/// A worker in the forecast.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerForecast {
    /// Processor room that nothing takes now, in thousandths of a core.
    free: i64,
    /// Processor room in all.
    room: u64,
    /// How many times as long runs take as on a worker of mean speed.
    slowness: f64,
    /// In order of time.
    changes: Vec<RoomChange>,
}

impl WorkerForecast {
    pub(crate) fn new(free: u64, room: u64, slowness: f64) -> Self {
        Self {
            free: free.cast_signed(),
            room,
            slowness,
            changes: Vec::new(),
        }
    }

    /// Adds a run that takes room now.
    pub(crate) fn add_running(&mut self, left: Duration, cpu: u64) {
        self.change(left, cpu.cast_signed());
    }

    fn change(&mut self, at: Duration, by: i64) {
        // What ends at a moment makes room for what begins then.
        let before = |change: &RoomChange| (change.at, change.by <= 0) <= (at, by <= 0);
        let place = self.changes.partition_point(before);
        self.changes.insert(place, RoomChange { at, by });
    }

    /// From when on, but not before `earliest`, there is room for a task for as long as it runs, if ever.
    fn room_from(&self, ask: &WaitingGroup, earliest: Duration) -> Option<Duration> {
        if ask.cpu > self.room {
            return None;
        }
        let (cpu, run_time) = (ask.cpu.cast_signed(), self.run_time(ask));
        let mut free = self.free;
        let mut from: Option<Duration> = None;
        let mut changes = self.changes.iter().peekable();
        while let Some(change) = changes.next_if(|change| change.at <= earliest) {
            free += change.by;
        }
        if free >= cpu {
            from = Some(earliest);
        }
        for change in changes {
            if from.is_some_and(|from| change.at >= from + run_time) {
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

    fn run_time(&self, ask: &WaitingGroup) -> Duration {
        ask.work.mul_f64(self.slowness)
    }

    /// Puts a task on it and gives its end.
    fn put(&mut self, from: Duration, ask: &WaitingGroup) -> Duration {
        let end = from + self.run_time(ask);
        let cpu = ask.cpu.cast_signed();
        if from.is_zero() {
            self.free -= cpu;
        } else {
            self.change(from, -cpu);
        }
        self.change(end, cpu);
        end
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
        let mut last = earliest;
        for _ in 0..group.count {
            let mut best: Option<(Duration, Duration, usize)> = None;
            for (number, worker) in self.workers.iter().enumerate() {
                let Some(from) = worker.room_from(group, earliest) else {
                    continue;
                };
                let end = from + worker.run_time(group);
                if best.is_none_or(|(sooner, _, _)| end < sooner) {
                    best = Some((end, from, number));
                }
            }
            let (_, from, number) = best?;
            let end = self.workers[number].put(from, group);
            last = last.max(end);
        }
        Some(last)
    }
}
