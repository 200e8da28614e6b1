//! A refusal promises that nothing of the attempt has run or will run: its caller submits the job elsewhere at once, and
//! not only after the pause that keeps two attempts apart.

mod support;

use std::collections::BTreeSet;

use jobs::{JobId, JobOutcome};
use support::{Simulation, WorkerFault};

/// The CPU capacity of a worker that holds few tasks, in thousandths of a core.
const SMALL_CPU: u64 = 1_000;

/// The CPU capacity of a worker of ordinary size, in thousandths of a core.
const ORDINARY_CPU: u64 = 16_000;

/// A pool of which is known which jobs have run and which were refused.
struct WatchedPool {
    seed: u64,
    simulation: Simulation,
    /// The jobs of which a task has run.
    ran: BTreeSet<JobId>,
    refused: BTreeSet<JobId>,
    /// The number of results that were looked at.
    seen: usize,
}

impl WatchedPool {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            simulation: Simulation::new(seed, 6),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
            seen: 0,
        }
    }

    /// Runs for a time under traffic, and checks at each millisecond that no refused job has run.
    fn run_for(&mut self, millis: u64, factor: f64) {
        for _ in 0..millis {
            self.simulation.traffic(1, [factor; 3]);
            let running = self.simulation.running_tasks().map(|task| task.job);
            self.ran.extend(running);
            for result in &self.simulation.results[self.seen..] {
                if matches!(result.outcome, JobOutcome::Refused { .. }) {
                    self.refused.insert(result.id);
                }
            }
            self.seen = self.simulation.results.len();
            let both = self.ran.intersection(&self.refused).next();
            let (seed, now) = (self.seed, self.simulation.now);
            assert_eq!(both, None, "seed {seed}: refused, and runs at {now} ms");
        }
    }

    fn set_random_faults(&mut self) {
        for worker in self.simulation.workers.values_mut() {
            let rng = &mut self.simulation.rng;
            worker.fault = WorkerFault {
                silent: rng.u32(0..8) == 0,
                answers_lost: if rng.bool() { rng.f64() * 0.5 } else { 0.0 },
                late_starts: if rng.bool() { rng.f64() * 0.4 } else { 0.0 },
                stops_lost: rng.u32(0..4) == 0,
                fails_runs: rng.u32(0..6) == 0,
                stalls_runs: rng.u32(0..6) == 0,
                slowdown: (rng.u32(0..4) == 0).then_some(6.0),
                ..WorkerFault::default()
            };
        }
    }

    /// One of the events after which an owner lets jobs go.
    fn disturb(&mut self) {
        let simulation = &mut self.simulation;
        let worker = simulation.rng.usize(0..simulation.workers.len());
        let instance = simulation.workers.keys().nth(worker).cloned().unwrap();
        match simulation.rng.u32(0..7) {
            0 => {
                let at = simulation.instant();
                simulation.pool.give_up_all(at);
            }
            1 => simulation.set_evacuated(true),
            2 => simulation.set_evacuated(false),
            3 => simulation.resize(&instance, SMALL_CPU),
            4 => simulation.resize(&instance, ORDINARY_CPU),
            5 => simulation.pool.stop_accepting(),
            _ => simulation.pool.resume_accepting(),
        }
    }
}

/// Guards against a refusal of a job of which a start was ordered, which a worker may carry out later.
#[test]
fn no_task_of_a_refused_job_runs() {
    let mut refusals = 0;
    for seed in 0..40 {
        let mut pool = WatchedPool::new(seed);
        for _ in 0..8 {
            pool.set_random_faults();
            pool.run_for(250, 0.8);
            pool.disturb();
            pool.run_for(250, 0.8);
        }
        pool.simulation.set_evacuated(false);
        pool.run_for(3_000, 0.0);
        refusals += pool.refused.len();
    }
    assert!(refusals > 0, "no job was refused");
}
