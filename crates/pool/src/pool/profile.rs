//! Computes the start profile of a pool for its owner's heartbeats.
//!
//! The pool is reduced to slots, each of which holds one task of typical size at a time. The waiting work takes the
//! slots that become free first. This costs some microseconds per heartbeat; the forecast of admission control, which
//! knows each worker's capacity over time, would cost about as much for every single waiting task.

use std::{cmp::Reverse, collections::BinaryHeap, time::Instant};

use super::WorkerPool;
use crate::{
    placement::is_sluggish,
    start_profile::{StartProfile, START_HORIZONS},
    worker::TrackedWorker,
};

/// The maximum number of slots that are counted. No job is wider than a part of this.
const MAX_SLOTS: usize = 1_024;

/// The maximum number of waiting tasks that are placed on slots. With more, no further task can start soon.
const MAX_PLACED_TASKS: usize = 512;

/// The times from now at which slots become free, in microseconds, earliest first.
type SlotTimes = BinaryHeap<Reverse<u64>>;

impl WorkerPool {
    /// How many tasks of typical size could start how soon, beside the waiting work. None while no jobs have arrived
    /// from which that size is known, or if the pool takes no jobs.
    pub fn start_profile(&self, now: Instant) -> Option<StartProfile> {
        if !self.accepting || self.evacuated {
            return None;
        }
        let task_cpu = self.arrivals.typical_cpu(now).filter(|cpu| *cpu > 0)?;
        let mut workers = self.workers_for_new_jobs(now);
        if workers.len() > 1 {
            workers.retain(|worker| !is_sluggish(worker, self.median_slowness));
        }
        let slowness: f64 = workers.iter().map(|worker| worker.slowness).sum();
        let slowness = slowness / workers.len().max(1) as f64;
        let mut slots = SlotTimes::with_capacity(MAX_SLOTS);
        let max_per_worker = (MAX_SLOTS / workers.len().max(1)).max(1);
        for worker in workers {
            self.add_slots(&mut slots, worker, task_cpu, max_per_worker, now);
        }
        self.place_waiting(&mut slots, task_cpu, slowness);
        let starts = START_HORIZONS.map(|horizon| {
            let horizon = horizon.as_micros() as u64;
            slots.iter().filter(|Reverse(at)| *at <= horizon).count()
        });
        Some(StartProfile::new(task_cpu, slowness, starts))
    }

    /// Places the waiting tasks on the slots that become free first, in the order of the queue.
    fn place_waiting(&self, slots: &mut SlotTimes, task_cpu: u64, slowness: f64) {
        let mut left = MAX_PLACED_TASKS;
        let last_horizon = START_HORIZONS[START_HORIZONS.len() - 1].as_micros() as u64;
        for (_, job) in self.queued_jobs() {
            for (step, spec) in job.placeable_steps() {
                let cpu = spec.demand.cpu.0 * job.steps[step].waiting.len() as u64;
                let tasks = cpu.div_ceil(task_cpu) as usize;
                let run_time = self.predict_run_time(&job.terms, spec).mul_f64(slowness);
                for _ in 0..tasks {
                    let Some(mut earliest) = slots.peek_mut() else {
                        return;
                    };
                    if earliest.0 > last_horizon {
                        return;
                    }
                    if left == 0 {
                        drop(earliest);
                        slots.clear();
                        return;
                    }
                    left -= 1;
                    earliest.0 += run_time.as_micros() as u64;
                }
            }
        }
    }

    /// Adds the slots of a worker: those that are free now and those that become free when its runs end.
    fn add_slots(
        &self,
        slots: &mut SlotTimes,
        worker: &TrackedWorker,
        task_cpu: u64,
        max_slots: usize,
        now: Instant,
    ) {
        let ends = worker.runs.iter().map(|run| {
            let left = self.remaining_time(run, worker.slowness, now);
            (left.as_micros() as u64, run.demand.cpu.0)
        });
        let mut ends: Vec<(u64, u64)> = ends.collect();
        ends.sort_unstable();
        let used = worker.used_capacity().cpu.0.cast_signed();
        let mut free = worker.record.capacity.cpu.0.cast_signed() - used;
        let mut added = 0;
        for (at, freed) in std::iter::once((0, 0)).chain(ends) {
            free += freed.cast_signed();
            let fitting = (free.max(0).cast_unsigned() / task_cpu) as usize;
            let fitting = fitting.min(max_slots);
            for _ in added..fitting {
                slots.push(Reverse(at));
            }
            added = added.max(fitting);
        }
    }
}
