//! Two pools with workers of their own. A customer whose attempt at one of them has ended without an answer submits its
//! job to the other one after a pause. At every millisecond, no task may run twice over both pools.

mod support;

use std::{collections::BTreeSet, time::Duration};

use jobs::{InstanceId, JobAttemptId, JobId, JobOutcome};
use model::FastSet;
use pool::{AttemptPresence, AttemptTimes, PoolSettings};
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
    /// The attempts whose customers no longer listen, by pool, although their connections seem open.
    unheard: [FastSet<JobId>; 2],
    /// The number of owners so far.
    owners: u64,
    /// The worker of each pool that another owner has taken.
    taken: [Option<InstanceId>; 2],
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
            unheard: Default::default(),
            owners: 2,
            taken: [None, None],
        }
    }

    /// Two pools whose owners look up attempts in the same store.
    fn with_shared_store(seed: u64) -> Self {
        let mut pools = Self::new(seed, CUSTOMER_RETRY_MS);
        pools.pools[1].attempts = pools.pools[0].attempts.for_pool(1);
        pools
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
                if !self.unheard[pool].contains(&job) {
                    self.plan_attempt(pool, job);
                }
            }
            for result in &results {
                self.unheard[pool].remove(&result.id);
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

    /// The customer of each open job leaves with this probability, and its connection stays open.
    fn break_unheard(&mut self, probability: f64) {
        for index in 0..2 {
            let pool = &mut self.pools[index];
            let mut open = pool.open_ids();
            open.retain(|job| !self.unheard[index].contains(job) && pool.rng.f64() < probability);
            for job in open {
                self.unheard[index].insert(job);
                self.plan_attempt(index, job);
            }
        }
    }

    /// Submits a job of one task that takes far longer than its customer estimates, and whose customer leaves at once.
    fn submit_and_leave(&mut self, estimate_ms: f64) {
        let index = self.pools[0].rng.usize(0..2);
        let pool = &mut self.pools[index];
        let job = JobId(pool.rng.u64(..));
        pool.submit_sized(1, job, vec![3_000.0], estimate_ms, 6_800);
        self.unheard[index].insert(job);
        self.plan_attempt(index, job);
    }

    /// Another process takes over one of the pools, or the store is silent for a while.
    fn disturb_owners(&mut self) {
        let index = self.pools[0].rng.usize(0..2);
        let pool = &mut self.pools[index];
        match pool.rng.u32(0..6) {
            0 => {
                self.owners += 1;
                pool.attempts = pool.attempts.for_pool(self.owners);
                pool.change_owner();
                let unheard = std::mem::take(&mut self.unheard[index]);
                for job in self.pools[index].drop_customers() {
                    if !unheard.contains(&job) {
                        self.plan_attempt(index, job);
                    }
                }
            }
            1 => pool.store_up = false,
            2 => pool.freeze_owner(400),
            3 if self.taken[index].is_none() => {
                let worker = pool.rng.usize(0..pool.workers.len());
                let instance = pool.workers.keys().nth(worker).cloned().unwrap();
                pool.take_worker_with_runs(&instance);
                self.taken[index] = Some(instance);
            }
            _ => pool.store_up = true,
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

/// Guards against runs of an attempt whose customer has left unheard beside those of its next attempt: no process ends the
/// first attempt, and either owner may fail.
#[test]
fn no_task_runs_beside_an_attempt_that_its_customer_left_unheard() {
    for seed in 0..40 {
        let mut pools = TwoPools::with_shared_store(seed);
        let mut served = 0;
        for round in 0..24 {
            if round % 6 == 0 && seed % 4 != 0 {
                pools.set_random_faults();
            }
            pools.run_for(250, [0.3, 1.2, 0.3]);
            pools.break_unheard(0.3);
            pools.submit_and_leave(300.0);
            pools.run_for(130, [0.3, 1.2, 0.3]);
            pools.submit_and_leave(900.0);
            pools.run_for(120, [0.3, 1.2, 0.3]);
            if seed % 3 != 0 {
                pools.disturb_owners();
            }
            let results = pools.pools.iter().flat_map(|pool| &pool.results);
            served = results
                .filter(|result| result.outcome == JobOutcome::Completed)
                .count();
        }
        assert!(served > 0, "seed {seed}: nothing was served");
    }
}

/// Guards against an attempt that is registered again and again once its registration lasts until its deadline.
#[test]
fn an_attempt_is_registered_no_more_often_than_its_registrations_expire() {
    // A registration lasts 2.0 s and is renewed 0.9 s before its end.
    const RENEWAL_MS: u64 = 1_100;
    const DEADLINE_MS: u64 = 4_500;
    let mut simulation = Simulation::new(1, 1);
    for worker in simulation.workers.values_mut() {
        worker.fault.slowdown = Some(20.0);
    }
    let job = JobId(1);
    simulation.submit_sized(1, job, vec![600.0], 600.0, 6_800);
    simulation.run_for(DEADLINE_MS + 500);
    let mut results = simulation.results.iter();
    let given_up = results.any(|result| result.outcome == JobOutcome::GivenUp);
    assert!(given_up, "{:?}", simulation.results);
    let calls = simulation.attempts.calls as u64;
    let most = DEADLINE_MS / RENEWAL_MS;
    assert!((2..=most).contains(&calls), "{calls} registrations");
}

const FIRST_ATTEMPT: Option<JobAttemptId> = Some(JobAttemptId(7));
const NEXT_ATTEMPT: Option<JobAttemptId> = Some(JobAttemptId(8));

/// A job of which one pool has registered the first attempt, and another pool.
fn registered_attempt() -> (Simulation, Simulation, JobId) {
    let [mut first, mut second] = TwoPools::with_shared_store(0).pools;
    // The leases of a former owner, of which a new one cannot know, are over by then.
    first.run_for(2_000);
    second.run_for(2_000);
    let job = JobId(1);
    first.attempt_id = FIRST_ATTEMPT;
    first.submit_sized(1, job, vec![3_000.0], 900.0, 6_800);
    first.run_for(600);
    second.run_for(600);
    let placed = (first.running(), first.attempts.len());
    assert_eq!(placed, (1, 1), "not registered");
    (first, second, job)
}

/// Guards against parts of one attempt that are held up by each other: one that is placed after another part has been
/// registered would wait, or be given up.
#[test]
fn a_part_is_placed_beside_its_own_registered_attempt() {
    for (attempt, placed) in [(FIRST_ATTEMPT, 1), (NEXT_ATTEMPT, 0)] {
        let (first, mut second, job) = registered_attempt();
        second.attempt_id = attempt;
        second.submit_from(&first, job);
        second.run_for(100);
        assert_eq!(second.running(), placed, "{attempt:?}");
    }
}

/// Guards against taking parts of one attempt for those of others while the store is silent, also after a part has ended
/// and while its runs still end.
#[test]
fn an_owner_tells_its_attempt_from_others() {
    let (mut first, _, job) = registered_attempt();
    for worker in first.workers.values_mut() {
        worker.fault.silent = true;
    }
    for ended in [false, true] {
        if ended {
            first.disconnect_customer(job);
        }
        let at = first.instant();
        let presence = |attempt| first.pool.attempt_presence(at, job, attempt);
        assert_eq!(presence(FIRST_ATTEMPT), AttemptPresence::Absent, "{ended}");
        assert_eq!(presence(NEXT_ATTEMPT), AttemptPresence::Present, "{ended}");
        assert_eq!(presence(None), AttemptPresence::Present, "{ended}");
    }
}
