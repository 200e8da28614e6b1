//! Replays of bursts whose refused callers come again at their Retry-After, to any of the pools.

mod support;

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use jobs::{JobId, JobOutcome};
use model::{LoadPolicies, ReturnPolicy};
use pool::PoolSettings;
use support::{Simulation, KINDS};

/// The number of workers of a pool.
const WORKERS: usize = 16;

/// The rate of jobs, as a multiple of `KINDS`, that demands the whole capacity of a pool of [`WORKERS`] workers when
/// tasks fill 0.85 of it.
const FULL_LOAD: f64 = 1.41;

/// The work that a pool can do in a second, in core-milliseconds.
const CAPACITY: f64 = 251_600.0;

/// How long a caller tries, in milliseconds.
const PATIENCE_MS: u64 = 40_000;

/// A caller with a refused or an open job. Times are in milliseconds.
#[derive(Clone, Debug)]
struct Caller {
    kind: usize,
    works: Vec<f64>,
    estimate: f64,
    cpu: u64,
    first: u64,
    attempts: u32,
}

impl Caller {
    /// The work of its job, in core-milliseconds.
    fn work(&self) -> f64 {
        self.works.iter().sum::<f64>() * self.cpu as f64 / 1_000.0
    }
}

/// What the callers of a replay experienced.
#[derive(Clone, Debug, Default)]
struct ReplayResult {
    jobs: usize,
    /// Callers served in time at the first attempt.
    first: usize,
    /// Callers that came again, those of them served at the second attempt, and at any attempt.
    returned: usize,
    second: usize,
    later: usize,
    attempts: u32,
    /// The work of new and of returning jobs by second, and the admitted part of the new one, in shares of the
    /// capacity of all pools.
    new_load: BTreeMap<u64, f64>,
    new_admitted: BTreeMap<u64, f64>,
    return_load: BTreeMap<u64, f64>,
    /// The time from the first attempt to the answer of those served later, in milliseconds.
    waits: Vec<u64>,
}

struct Replay {
    pools: Vec<Simulation>,
    rng: Rng,
    callers: BTreeMap<JobId, Caller>,
    returns: BTreeMap<u64, Vec<JobId>>,
    callers_return: bool,
    now: u64,
    result: ReplayResult,
    /// Until when requests wait because the process stands still.
    held_until: u64,
    /// The number of results of each pool that were read.
    read: Vec<usize>,
}

impl Replay {
    fn new(seed: u64, pools: usize, policy: ReturnPolicy) -> Self {
        let settings = PoolSettings {
            policies: LoadPolicies {
                returns: policy,
                ..LoadPolicies::default()
            },
            ..PoolSettings::default()
        };
        let pools = (0..pools as u64).map(|number| {
            Simulation::with_settings(seed * 100 + number, WORKERS, settings.clone())
        });
        let pools: Vec<_> = pools.collect();
        Self {
            read: vec![0; pools.len()],
            pools,
            rng: Rng::with_seed(seed),
            callers: BTreeMap::new(),
            returns: BTreeMap::new(),
            callers_return: true,
            now: 0,
            held_until: 0,
            result: ReplayResult::default(),
        }
    }

    /// New jobs arrive at a multiple of the capacity of all pools, and refused callers come again.
    fn run(&mut self, millis: u64, load: f64) {
        for _ in 0..millis {
            self.now += 1;
            let factor = load * FULL_LOAD * self.pools.len() as f64;
            for (kind, job_kind) in KINDS.iter().enumerate() {
                if self.rng.f64() < job_kind.per_second * factor / 1_000.0 {
                    self.submit_new(kind);
                }
            }
            for id in self.returns.remove(&self.now).unwrap_or_default() {
                match self.now < self.held_until {
                    true => self.returns.entry(self.held_until).or_default().push(id),
                    false => self.attempt(id),
                }
            }
            for pool in &mut self.pools {
                pool.run_for(1);
            }
            self.read_results();
        }
    }

    /// The process of all pools stands still. Requests wait in their sockets and are read together afterwards.
    fn pause(&mut self, millis: u64, load: f64) {
        let until = self.now + millis;
        for pool in &mut self.pools {
            pool.freeze_owner(millis);
        }
        self.held_until = until;
        self.run(millis, load);
    }

    fn submit_new(&mut self, kind: usize) {
        let mut spread = |by: f64| 1.0 + (self.rng.f64() * 2.0 - 1.0) * by;
        let count = (KINDS[kind].tasks * spread(0.4)).round().max(1.0) as usize;
        let work = KINDS[kind].work_ms * spread(0.5);
        let caller = Caller {
            kind,
            works: (0..count).map(|_| work * spread(0.15)).collect(),
            estimate: work * spread(0.4),
            cpu: (6_800.0 * spread(0.2)) as u64,
            first: self.now,
            attempts: 0,
        };
        let id = JobId(self.rng.u64(..));
        self.callers.insert(id, caller);
        self.result.jobs += 1;
        match self.now < self.held_until {
            true => self.returns.entry(self.held_until).or_default().push(id),
            false => self.attempt(id),
        }
    }

    /// Submits a job to a random pool, and if that refuses it, to another one that offers to take the whole.
    fn attempt(&mut self, id: JobId) {
        let caller = self.callers.get_mut(&id).unwrap();
        caller.attempts += 1;
        let caller = caller.clone();
        let capacity = CAPACITY * self.pools.len() as f64;
        let share = caller.work() / capacity;
        let is_new = caller.attempts == 1;
        let load = match is_new {
            true => &mut self.result.new_load,
            false => &mut self.result.return_load,
        };
        *load.entry(self.now / 1_000).or_default() += share;
        self.result.attempts += 1;
        self.result.returned += usize::from(caller.attempts == 2);
        let count = self.pools.len();
        let first = self.rng.usize(..count);
        let mut told = self.submit_to(first, id, &caller);
        for other in (1..count).map(|step| (first + step) % count) {
            if told.is_none() {
                break;
            }
            let Caller {
                kind,
                estimate,
                cpu,
                ..
            } = caller;
            let fits = self.pools[other].offer_sized(kind, id, &caller.works, estimate, cpu);
            if fits as usize >= caller.works.len() {
                let again = self.submit_to(other, id, &caller);
                told = again.and_then(|again| told.map(|told| told.max(again)));
            }
        }
        let Some(told) = told else {
            if is_new {
                *self
                    .result
                    .new_admitted
                    .entry(self.now / 1_000)
                    .or_default() += share;
            }
            return;
        };
        let seconds = told.as_millis().div_ceil(1_000) as u64;
        let at = self.now + seconds * 1_000;
        if self.callers_return && at < caller.first + PATIENCE_MS {
            self.returns.entry(at).or_default().push(id);
        }
    }

    /// Submits a job to a pool. Returns the Retry-After if it was refused.
    fn submit_to(&mut self, pool: usize, id: JobId, caller: &Caller) -> Option<Duration> {
        let Caller {
            kind,
            estimate,
            cpu,
            ..
        } = *caller;
        let pool = &mut self.pools[pool];
        pool.submit_sized(kind, id, caller.works.clone(), estimate, cpu);
        let last = pool.results.last().filter(|last| last.id == id);
        match last.map(|last| last.outcome) {
            Some(JobOutcome::Refused { retry_after, .. }) => {
                pool.results.pop();
                Some(retry_after)
            }
            _ => None,
        }
    }

    fn read_results(&mut self) {
        for (pool, read) in self.pools.iter().zip(&mut self.read) {
            for result in &pool.results[*read..] {
                let caller = &self.callers[&result.id];
                let is_served = result.credit() > 0.0;
                match caller.attempts {
                    1 => self.result.first += usize::from(result.credit() == 1.0),
                    2 => self.result.second += usize::from(is_served),
                    _ => (),
                }
                if caller.attempts > 1 && is_served {
                    self.result.later += 1;
                    self.result.waits.push(self.now - caller.first);
                }
            }
            *read = pool.results.len();
        }
    }
}

/// The load outside of a burst, as a share of the capacity.
const CALM_LOAD: f64 = 0.6;

/// A burst of four seconds at twice the capacity, after which callers come again for as long as they were told at most.
fn burst(seed: u64, pools: usize, policy: ReturnPolicy, callers_return: bool) -> Replay {
    let mut replay = Replay::new(seed, pools, policy);
    replay.callers_return = callers_return;
    replay.run(3_000, CALM_LOAD);
    replay.run(4_000, 2.0);
    replay
}

impl ReplayResult {
    fn second_share(&self) -> f64 {
        self.second as f64 / self.returned.max(1) as f64
    }

    fn goodput(&self) -> f64 {
        (self.first + self.later) as f64 / self.jobs as f64
    }

    /// The most work that callers brought back in any second, as a share of the capacity.
    fn max_return_load(&self) -> f64 {
        self.return_load.values().copied().fold(0.0, f64::max)
    }

    fn summary(&self) -> String {
        let waits = self.waits.iter().sum::<u64>() / self.waits.len().max(1) as u64;
        format!(
            "jobs {} first {} returned {} second {:.3} goodput {:.3} attempts {:.2} most returning {:.2} wait {waits} ms",
            self.jobs,
            self.first,
            self.returned,
            self.second_share(),
            self.goodput(),
            f64::from(self.attempts) / self.jobs as f64,
            self.max_return_load(),
        )
    }
}

/// What the page requires of scheduled returns where there is capacity for them.
fn assert_returns_served(result: &ReplayResult) {
    let summary = result.summary();
    assert!(result.returned > 100, "{summary}");
    assert!(result.second_share() >= 0.95, "{summary}");
    let free = 1.0 - CALM_LOAD;
    assert!(result.max_return_load() <= 1.1 * free, "{summary}");
}

/// Load: a burst at twice the capacity. Guards against refused callers that return together and are refused again, or
/// take the capacity of new work.
#[test]
fn refused_callers_are_served_at_their_second_attempt() {
    for seed in 0..3 {
        let mut backlog = burst(seed, 1, ReturnPolicy::Backlog, true);
        backlog.run(30_000, CALM_LOAD);
        let mut scheduled = burst(seed, 1, ReturnPolicy::Scheduled, true);
        scheduled.run(30_000, CALM_LOAD);
        let (backlog, scheduled) = (&backlog.result, &scheduled.result);
        println!("seed {seed} backlog: {}", backlog.summary());
        println!("seed {seed} scheduled: {}", scheduled.summary());
        assert_returns_served(scheduled);
        assert!(scheduled.goodput() >= backlog.goodput(), "seed {seed}");
        assert!(scheduled.attempts < backlog.attempts, "seed {seed}");
    }
}

/// Load: the same at three owners; callers return to any of them. Guards against schedules that hold only at the owner
/// that refused the job.
#[test]
fn callers_that_return_to_another_owner_are_served() {
    for seed in 0..3 {
        let mut replay = burst(seed, 3, ReturnPolicy::Scheduled, true);
        replay.run(30_000, CALM_LOAD);
        println!("seed {seed}: {}", replay.result.summary());
        assert_returns_served(&replay.result);
    }
}

/// Failure: one of three owners is replaced after the burst, and its schedule is lost with it. Guards against callers that
/// are refused again because only that owner expected them.
#[test]
fn callers_of_a_replaced_owner_are_served() {
    for seed in 0..3 {
        let mut replay = burst(seed, 3, ReturnPolicy::Scheduled, true);
        replay.run(1_000, CALM_LOAD);
        replay.pools[0].change_owner();
        replay.run(29_000, CALM_LOAD);
        println!("seed {seed}: {}", replay.result.summary());
        assert_returns_served(&replay.result);
    }
}

/// Failure: no refused caller returns. Guards against capacity that stays reserved for callers that never come.
#[test]
fn nothing_stays_reserved_when_nobody_returns() {
    let mut sums = [0.0; 2];
    for seed in 0..4 {
        for (policy, sum) in [ReturnPolicy::Backlog, ReturnPolicy::Scheduled]
            .into_iter()
            .zip(&mut sums)
        {
            let mut replay = burst(seed, 1, policy, false);
            // The load stays above the capacity, so that work is refused for each reservation.
            replay.run(12_000, 1.3);
            println!("seed {seed} {policy:?}: {}", replay.result.summary());
            *sum += replay.result.goodput() / 4.0;
        }
    }
    let [backlog, scheduled] = sums;
    assert!(
        scheduled >= 0.98 * backlog,
        "{scheduled:.3} of {backlog:.3}"
    );
}

/// Failure: the owner's process stands still for five seconds, in which the times of many returns pass; all these callers
/// and the new ones are read together afterwards. Guards against a reservation for all of them, which would refuse new
/// work for seconds.
#[test]
fn returns_that_became_due_during_a_pause_do_not_shut_out_new_work() {
    for seed in 0..3 {
        let mut replay = burst(seed, 1, ReturnPolicy::Scheduled, true);
        replay.run(1_000, CALM_LOAD);
        replay.pause(5_000, CALM_LOAD);
        let first = replay.now / 1_000 + 1;
        replay.run(8_000, CALM_LOAD);
        let result = &replay.result;
        let sum = |load: &BTreeMap<u64, f64>| {
            load.range(first..first + 6)
                .map(|(_, load)| load)
                .sum::<f64>()
        };
        let (admitted, all) = (sum(&result.new_admitted), sum(&result.new_load));
        println!(
            "seed {seed}: admitted {admitted:.2} of {all:.2}; {}",
            result.summary()
        );
        assert!(
            admitted >= 0.75 * all,
            "seed {seed}: {admitted:.2} of {all:.2}"
        );
    }
}

/// Failure: more jobs are refused than the table holds. Guards against a table that grows without a limit, and against
/// one that drops the callers that were refused first.
#[test]
fn a_full_table_drops_the_latest_returns() {
    const REFUSED: u64 = 5_000;
    const TABLE: usize = 4_096;
    let mut replay = Replay::new(1, 1, ReturnPolicy::Scheduled);
    let pool = &mut replay.pools[0];
    // Fills the pool: two tasks fit on a worker of 16 cores, three on one of 24.
    for number in 0..37 {
        pool.submit_sized(1, JobId(REFUSED + number), vec![900.0], 900.0, 6_800);
    }
    // The store says that no other attempt at them has runs.
    pool.run_for(20);
    assert!(pool.results.is_empty());
    let mut told = Vec::new();
    for number in 0..REFUSED {
        pool.submit_sized(2, JobId(number), vec![200.0], 200.0, 6_800);
        let refused = pool.results.pop().unwrap();
        let JobOutcome::Refused { retry_after, .. } = refused.outcome else {
            panic!("{:?}", refused.outcome);
        };
        told.push(retry_after.as_secs());
    }
    pool.run_for(1_000 * told[0]);
    pool.submit_sized(2, JobId(0), vec![200.0], 200.0, 6_800);
    assert_eq!(
        pool.kept_returns,
        [JobId(0)],
        "the first one is in its turn"
    );
    // Returns stay in their turn for ten seconds, so those of the last ten seconds are left.
    pool.run_for(30_000 - 1_000 * told[0]);
    let last: Vec<u64> = (1..REFUSED).filter(|id| told[*id as usize] > 20).collect();
    for id in &last {
        pool.submit_sized(2, JobId(*id), vec![200.0], 200.0, 6_800);
    }
    let kept = pool.kept_returns.len() - 1;
    assert_eq!(kept, last.len() - (REFUSED as usize - TABLE));
}

/// A caller returns before its time while the pool is still full. Guards against callers that get ahead of others by
/// trying more often: its time stays the same.
#[test]
fn a_caller_that_returns_early_keeps_its_time() {
    let mut replay = Replay::new(1, 1, ReturnPolicy::Scheduled);
    let pool = &mut replay.pools[0];
    let submit = |pool: &mut Simulation, number: u64| {
        pool.submit_sized(1, JobId(number), vec![900.0; 4], 900.0, 6_800);
        match pool.results.last() {
            Some(last) if last.id == JobId(number) => match last.outcome {
                JobOutcome::Refused { retry_after, .. } => Some(retry_after),
                _ => None,
            },
            _ => None,
        }
    };
    let mut told = Vec::new();
    for number in 0..30 {
        told.extend(submit(pool, number).map(|time| (number, time)));
    }
    let (last, time) = *told.last().unwrap();
    assert!(time > Duration::from_secs(2), "{time:?}");
    pool.run_for(100);
    let again = submit(pool, last);
    assert_eq!(again, Some(time - Duration::from_millis(100)));
    assert_eq!(pool.kept_returns, []);
}

/// Failure: the owner that refused a job is lost, and its caller returns to one that had only offered a part. Guards
/// against owners that do not know that the job was refused before.
#[test]
fn an_owner_that_offered_less_than_the_whole_expects_the_caller() {
    let mut replay = Replay::new(1, 1, ReturnPolicy::Scheduled);
    let pool = &mut replay.pools[0];
    let works = vec![200.0; 60];
    let offered = pool.offer_sized(2, JobId(1), &works, 200.0, 6_800);
    assert!(offered < 60, "{offered}");
    pool.run_for(500);
    pool.submit_sized(2, JobId(1), works.clone(), 200.0, 6_800);
    assert_eq!(pool.kept_returns, [], "before its time");
    pool.run_for(600);
    pool.submit_sized(2, JobId(1), works, 200.0, 6_800);
    assert_eq!(pool.kept_returns, [JobId(1)]);
}
