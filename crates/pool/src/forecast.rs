//! When waiting tasks will end, by trying out the order in which they get places.
//!
//! Each worker is a list of what runs there, with when it is predicted to end and how much room it then frees. Tasks
//! are put one after another on the worker that ends them first. Counting free cores over all workers instead
//! would overlook that 7 cores free on each of ten workers hold no task of 8.

use std::time::Duration;

/// A worker in the forecast.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerForecast {
    /// Processor room that nothing takes now, in thousandths of a core.
    pub(crate) free: u64,
    /// Processor room in all.
    pub(crate) room: u64,
    /// How many times as long runs take as on a worker of mean speed.
    pub(crate) slowness: f64,
    /// When runs end, counted from now, and what each frees.
    ends: Vec<(Duration, u64)>,
}

impl WorkerForecast {
    pub(crate) fn new(free: u64, room: u64, slowness: f64) -> Self {
        Self {
            free,
            room,
            slowness,
            ends: Vec::new(),
        }
    }

    /// Adds a run that takes room now.
    pub(crate) fn add_running(&mut self, left: Duration, cpu: u64) {
        let place = self.ends.partition_point(|(end, _)| *end <= left);
        self.ends.insert(place, (left, cpu));
    }

    /// When there will be room for a task, if ever.
    fn room_from(&self, cpu: u64) -> Option<Duration> {
        if cpu > self.room {
            return None;
        }
        let mut free = self.free;
        if free >= cpu {
            return Some(Duration::ZERO);
        }
        for (end, freed) in &self.ends {
            free += freed;
            if free >= cpu {
                return Some(*end);
            }
        }
        None
    }

    /// Puts a task on it and gives its end.
    fn put(&mut self, from: Duration, work: Duration, cpu: u64) -> Duration {
        let end = from + work.mul_f64(self.slowness);
        // What has ended by then is free for it.
        while let Some((freed_at, freed)) = self.ends.first().copied() {
            if freed_at > from {
                break;
            }
            self.ends.remove(0);
            self.free += freed;
        }
        self.free = self.free.saturating_sub(cpu);
        self.add_running(end, cpu);
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
    /// Places a group and gives the end of its last task, counted from now. None if a task never fits.
    pub(crate) fn place(&mut self, group: WaitingGroup) -> Option<Duration> {
        let mut last = Duration::ZERO;
        for _ in 0..group.count {
            let mut best: Option<(Duration, Duration, usize)> = None;
            for (number, worker) in self.workers.iter().enumerate() {
                let Some(from) = worker.room_from(group.cpu) else {
                    continue;
                };
                let end = from + group.work.mul_f64(worker.slowness);
                if best.is_none_or(|(sooner, _, _)| end < sooner) {
                    best = Some((end, from, number));
                }
            }
            let (_, from, number) = best?;
            let end = self.workers[number].put(from, group.work, group.cpu);
            last = last.max(end);
        }
        Some(last)
    }
}
