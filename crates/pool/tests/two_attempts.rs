//! Two pools with workers of their own. A customer whose attempt at one of them has ended without an answer submits its
//! job to the other one after a pause. At every millisecond, no task may run twice over both pools.

mod support;

use std::{collections::BTreeSet, time::Duration};

use jobs::{JobId, JobOutcome};
use pool::{AttemptTimes, PoolSettings};
use support::{Simulation, WorkerFault};

/// The pause of customers, in milliseconds.
const CUSTOMER_RETRY_MS: u64 = 1_300;

/// A job that its customer submits again.
struct NextAttempt {
    /// When, in milliseconds.
    due: u64,
    /// The index of the pool.
    pool: usize,
    job: JobId,
}

struct TwoPools {
    pools: [Simulation; 2],
    next_attempts: Vec<NextAttempt>,
    /// The number of results of each pool that its customers have received.
    received: [usize; 2],
    /// The time from the end of an attempt to the next one, in milliseconds.
    pause: u64,
    /// Whether workers restart. Otherwise starts may be carried out late, which after a restart only the fencing token
    /// of the store would prevent.
    restarts: bool,
}

impl TwoPools {
    fn new(seed: u64, pause: u64) -> Self {
        let mut pools = [Simulation::new(seed, 5), Simulation::new(seed + 1_000, 5)];
        for pool in &mut pools {
            pool.publish_start_times();
        }
        Self {
            pools,
            next_attempts: Vec::new(),
            received: [0; 2],
            pause,
            restarts: !seed.is_multiple_of(2),
        }
    }

    fn run_for(&mut self, millis: u64, factor: [f64; 3]) {
        for _ in 0..millis {
            for pool in &mut self.pools {
                pool.traffic(1, factor);
            }
            self.receive_answers();
            self.submit_due();
            self.check_tasks();
        }
    }

    fn plan_attempt(&mut self, last_pool: usize, job: JobId) {
        self.next_attempts.push(NextAttempt {
            due: self.pools[0].now + self.pause,
            pool: 1 - last_pool,
            job,
        });
    }

    fn receive_answers(&mut self) {
        for pool in 0..2 {
            let results = self.pools[pool].results.split_off(self.received[pool]);
            let given_up = results.iter().filter(|r| r.outcome == JobOutcome::GivenUp);
            let given_up: Vec<JobId> = given_up.map(|result| result.id).collect();
            for job in given_up {
                self.plan_attempt(pool, job);
            }
            self.pools[pool].results.extend(results);
            self.received[pool] = self.pools[pool].results.len();
        }
    }

    fn submit_due(&mut self) {
        let now = self.pools[0].now;
        let due = self.next_attempts.extract_if(.., |next| next.due <= now);
        for next in due.collect::<Vec<_>>() {
            let [first, second] = &mut self.pools;
            let (pool, other) = match next.pool {
                0 => (first, second),
                _ => (second, first),
            };
            pool.submit_from(other, next.job);
        }
    }

    fn check_tasks(&self) {
        let tasks: BTreeSet<_> = self.pools[0].running_tasks().collect();
        for task in self.pools[1].running_tasks() {
            let now = self.pools[1].now;
            assert!(!tasks.contains(&task), "{task} runs twice at {now} ms");
        }
    }

    /// Each open job's customer leaves with this probability.
    fn disconnect_customers(&mut self, probability: f64) {
        for index in 0..2 {
            let pool = &mut self.pools[index];
            let mut open = pool.open_ids();
            open.retain(|_| pool.rng.f64() < probability);
            for job in open {
                self.pools[index].disconnect_customer(job);
                self.plan_attempt(index, job);
            }
        }
    }

    fn set_random_faults(&mut self) {
        for pool in &mut self.pools {
            for worker in pool.workers.values_mut() {
                let rng = &mut pool.rng;
                let lossy = rng.u32(0..3) == 0;
                let late = !self.restarts && rng.u32(0..4) == 0;
                worker.fault = WorkerFault {
                    silent: rng.u32(0..8) == 0,
                    answers_lost: if lossy { rng.f64() * 0.4 } else { 0.0 },
                    stops_lost: rng.bool(),
                    late_starts: if late { 0.3 } else { 0.0 },
                    slowdown: rng.bool().then(|| 1.0 + rng.f64() * 4.0),
                    ..WorkerFault::default()
                };
            }
        }
    }

    /// A rare event at one of the pools.
    fn disturb(&mut self) {
        let index = self.pools[0].rng.usize(0..2);
        let pool = &mut self.pools[index];
        let (at, worker) = (pool.instant(), pool.rng.usize(0..pool.workers.len()));
        match pool.rng.u32(0..10) {
            0 => pool.pool.give_up_all(at),
            1 if self.restarts => {
                let instance = pool.workers.keys().nth(worker).cloned().unwrap();
                pool.restart_worker(&instance);
            }
            _ => (),
        }
    }
}

fn run_random_faults(seed: u64, pause: u64) {
    let mut pools = TwoPools::new(seed, pause);
    for _ in 0..4 {
        pools.set_random_faults();
        for _ in 0..6 {
            pools.run_for(500, [0.3, 0.8, 0.3]);
            pools.disconnect_customers(0.3);
            pools.disturb();
        }
    }
    for pool in &mut pools.pools {
        for worker in pool.workers.values_mut() {
            worker.fault = WorkerFault::default();
        }
    }
    pools.run_for(14_000, [0.0; 3]);
    for pool in &pools.pools {
        let left = (pool.open_jobs(), pool.running());
        assert_eq!(left, (0, 0), "seed {seed}: jobs or runs are left");
    }
    let mut results = pools.pools.iter().flat_map(|pool| &pool.results);
    let served = results.any(|result| result.outcome == JobOutcome::Completed);
    assert!(served, "seed {seed}: nothing was served");
}

/// Guards against an ended attempt whose stop is not heard and whose run is renewed together with its neighbours.
#[test]
fn no_task_runs_beside_its_former_attempt() {
    for seed in 0..40 {
        run_random_faults(seed, CUSTOMER_RETRY_MS);
    }
}

/// Guards against a renewal after the end of the attempt that is hidden by what the customer's pause has in reserve.
#[test]
fn runs_end_with_the_lease_granted_before_their_attempt_ended() {
    let retry = Duration::from_millis(CUSTOMER_RETRY_MS);
    let times = AttemptTimes::derive(retry, PoolSettings::default().lease).unwrap();
    let pause = (times.longest_overrun() - times.entry_lease).as_millis();
    for seed in 100..140 {
        run_random_faults(seed, u64::try_from(pause).unwrap());
    }
}

/// Guards against ended attempts that are never reported as over, or late.
#[test]
fn the_pool_reports_how_long_runs_outlive_their_attempt() {
    let mut pools = TwoPools::new(1, CUSTOMER_RETRY_MS);
    pools.run_for(1_000, [1.0; 3]);
    pools.disconnect_customers(1.0);
    pools.run_for(100, [0.0; 3]);
    for pool in &pools.pools {
        let longest = pool.overruns.iter().max().unwrap();
        assert!(*longest < Duration::from_millis(50), "{longest:?}");
    }
}
