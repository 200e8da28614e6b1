//! Fair shares under contention, against admission in order of arrival.

mod support;

use std::{collections::BTreeMap, ops::RangeInclusive};

use fastrand::Rng;
use jobs::{JobId, JobOutcome, RefusalKind};
use model::{LoadPolicies, SharingPolicy};
use pool::{PoolSettings, ShareUse};
use support::{results::JobResult, Simulation, KINDS};

/// The data centres whose entries submit jobs.
const CENTRES: [&str; 3] = ["east", "west", "north"];

/// The workers of one owner.
const WORKERS: usize = 10;

/// The work that the workers of one owner can do, in milliseconds of tasks per millisecond: a worker of 16 cores runs
/// two tasks at a time and one of 24 cores three.
const CAPACITY: f64 = 4.0 * 2.0 * 0.8 + 3.0 * 2.0 + 3.0 * 3.0 * 1.25;

/// How long demand is within the capacity before each replay, in milliseconds.
const CALM_MS: u64 = 6_000;

/// The load in the calm time, as a share of the capacity.
const CALM_LOAD: f64 = 0.7;

/// A submitted job.
#[derive(Clone, Copy, Debug)]
struct SubmittedJob {
    route: usize,
    centre: usize,
    wide: bool,
    /// The work of all tasks, in milliseconds on a worker of speed 1.
    work: f64,
}

/// The multiples of the usual load, by route and data centre.
type LoadFactors = [[f64; 3]; 3];

const USUAL: LoadFactors = [[1.0; 3]; 3];

/// Pools with one owner each, to which jobs are sent at random.
struct Fleet {
    pools: Vec<Simulation>,
    rng: Rng,
    jobs: BTreeMap<JobId, SubmittedJob>,
    results: Vec<JobResult>,
}

/// Jobs in time and all jobs.
type ServedCount = (f64, f64);

/// What callers got in some replays.
#[derive(Clone, Debug, Default)]
struct ReplayScore {
    /// The work done in time, in milliseconds of tasks.
    done: f64,
    /// The lesser of what was requested and what the workers could do, in milliseconds of tasks.
    possible: f64,
    /// The number of jobs refused by shares.
    held: usize,
    routes: [ServedCount; 3],
    centres: [ServedCount; 3],
    /// Narrow and wide jobs, by route.
    widths: [[ServedCount; 2]; 3],
}

impl ReplayScore {
    fn goodput(&self) -> f64 {
        self.done / self.possible
    }

    /// The served share of the worst width class of a route, divided by the mean of its route.
    fn worst_width(&self) -> f64 {
        let widths = self.widths.iter().map(|widths| worst(widths));
        widths.fold(f64::MAX, f64::min)
    }
}

/// The shares of jobs in time.
fn shares(counts: &[ServedCount]) -> Vec<f64> {
    let share = |(served, all): &ServedCount| served / all.max(1.0);
    counts.iter().map(share).collect()
}

/// The least share of jobs in time, divided by the mean of all.
fn worst(counts: &[ServedCount]) -> f64 {
    let shares = shares(counts);
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    shares.iter().copied().fold(f64::MAX, f64::min) / mean
}

impl Fleet {
    fn new(seed: u64, owners: usize, sharing: SharingPolicy) -> Self {
        let settings = PoolSettings {
            policies: LoadPolicies {
                sharing,
                ..LoadPolicies::default()
            },
            ..PoolSettings::default()
        };
        let seeds = (0..owners as u64).map(|number| seed * 100 + number);
        let pools = seeds.map(|seed| Simulation::with_settings(seed, WORKERS, settings.clone()));
        Self {
            pools: pools.collect(),
            rng: Rng::with_seed(seed),
            jobs: BTreeMap::new(),
            results: Vec::new(),
        }
    }

    /// Submits jobs at the given share of the capacity times the factors.
    fn play(&mut self, millis: u64, load: f64, factors: LoadFactors) {
        let usual: f64 = KINDS
            .iter()
            .map(|kind| kind.per_second * kind.tasks * kind.work_ms)
            .sum();
        let scale = self.pools.len() as f64 * CAPACITY * load / usual;
        for _ in 0..millis {
            for (route, kind) in KINDS.iter().enumerate() {
                for (centre, factor) in factors[route].iter().enumerate() {
                    let rate = kind.per_second * scale * factor / 3.0;
                    let mut count = rate.floor() as u64;
                    count += u64::from(self.rng.f64() < rate.fract());
                    for _ in 0..count {
                        self.submit(route, centre);
                    }
                }
            }
            for pool in &mut self.pools {
                pool.run_for(1);
            }
        }
    }

    fn submit(&mut self, route: usize, centre: usize) {
        let kind = KINDS[route];
        let spread = |rng: &mut Rng, by: f64| 1.0 + (rng.f64() * 2.0 - 1.0) * by;
        let count = (kind.tasks * spread(&mut self.rng, 0.4)).round().max(1.0);
        let work = kind.work_ms * spread(&mut self.rng, 0.3);
        let works: Vec<f64> = (0..count as u32)
            .map(|_| work * spread(&mut self.rng, 0.15))
            .collect();
        let estimate = work * spread(&mut self.rng, 0.4);
        let cpu = (6_800.0 * spread(&mut self.rng, 0.2)) as u64;
        let id = JobId(self.rng.u64(..));
        let job = SubmittedJob {
            route,
            centre,
            wide: count > kind.tasks,
            work: works.iter().sum(),
        };
        self.jobs.insert(id, job);
        let number = self.rng.usize(..self.pools.len());
        let pool = &mut self.pools[number];
        pool.sender = Some(CENTRES[centre].parse().unwrap());
        pool.submit_sized(route, id, works, estimate, cpu);
    }

    /// Ends the replay and adds the jobs that arrived from `since` to `until` to a score.
    fn add_to(mut self, score: &mut ReplayScore, since: u64, until: u64) {
        for pool in &mut self.pools {
            pool.run_for(4_000);
            self.results.append(&mut pool.results);
        }
        let mut requested = 0.0;
        for result in &self.results {
            if !(since..until).contains(&result.arrived) {
                continue;
            }
            let job = self.jobs[&result.id];
            let in_time = f64::from(u8::from(result.credit() == 1.0));
            requested += job.work;
            score.done += job.work * in_time;
            score.held += usize::from(is_over_share(result.outcome));
            for count in [
                &mut score.routes[job.route],
                &mut score.centres[job.centre],
                &mut score.widths[job.route][usize::from(job.wide)],
            ] {
                count.0 += in_time;
                count.1 += 1.0;
            }
        }
        let capacity = self.pools.len() as f64 * CAPACITY * (until - since) as f64;
        score.possible += f64::min(requested, capacity);
    }
}

fn is_over_share(outcome: JobOutcome) -> bool {
    let refused = |kind| kind == RefusalKind::OverShare;
    matches!(outcome, JobOutcome::Refused { kind, .. } if refused(kind))
}

/// Plays a load after a calm time, and scores it from 0.5 s after its beginning.
fn replay(
    seeds: RangeInclusive<u64>,
    owners: usize,
    sharing: SharingPolicy,
    load: f64,
    factors: LoadFactors,
) -> ReplayScore {
    let loaded_ms = if owners > 12 { 5_000 } else { 10_000 };
    let mut score = ReplayScore::default();
    for seed in seeds {
        let mut fleet = Fleet::new(seed, owners, sharing);
        fleet.play(CALM_MS, CALM_LOAD, USUAL);
        let since = fleet.pools[0].now + 500;
        fleet.play(loaded_ms, load, factors);
        let until = fleet.pools[0].now;
        fleet.add_to(&mut score, since, until);
    }
    println!(
        "load {load} owners {owners} {sharing:?}: goodput {:.3} worst route {:.2} centre {:.2} width {:.2} held {}\n  routes \
         {:.2?} centres {:.2?} widths {:.2?}",
        score.goodput(),
        worst(&score.routes),
        worst(&score.centres),
        score.worst_width(),
        score.held,
        shares(&score.routes),
        shares(&score.centres),
        score.widths.map(|widths| shares(&widths)),
    );
    score
}

/// All classes request 1.6 and 2.2 times the capacity. Guards against refusals that fall on the wide jobs and on the
/// routes whose jobs fit with difficulty, and against shares that leave capacity idle.
#[test]
fn a_general_overload_is_shared_by_all_classes() {
    for (load, goodput) in [(1.6, 0.90), (2.2, 0.85)] {
        let score = replay(1..=6, 1, SharingPolicy::MaxMin, load, USUAL);
        assert!(score.goodput() >= goodput, "{load}");
        assert!(worst(&score.routes) >= 0.8, "{load}");
        assert!(worst(&score.centres) >= 0.8, "{load}");
        assert!(score.worst_width() >= 0.8, "{load}");
    }
}

/// Only wide and narrow jobs of one route arrive, at 1.6 times the capacity. Guards against narrow jobs that take each
/// place as it becomes free, so that a wide job never finds enough of them at once.
#[test]
fn wide_jobs_are_served_beside_narrow_jobs_of_their_route() {
    let factors = [[4.7; 3], [0.0; 3], [0.0; 3]];
    let play = |sharing| replay(1..=4, 1, sharing, 1.6, factors).widths[0];
    let (before, after) = (
        play(SharingPolicy::ArrivalOrder),
        play(SharingPolicy::MaxMin),
    );
    assert!(worst(&after) > worst(&before));
    assert!(worst(&after) >= 0.8);
}

/// Asserts that one route at five times its usual load leaves the other routes better served than in order of arrival,
/// and no capacity idle.
fn assert_others_are_served(route: usize) {
    let mut factors = USUAL;
    factors[route] = [5.0; 3];
    let play = |sharing| replay(1..=4, 1, sharing, CALM_LOAD, factors);
    let (before, after) = (
        play(SharingPolicy::ArrivalOrder),
        play(SharingPolicy::MaxMin),
    );
    let others = |score: &ReplayScore| {
        let shares = shares(&score.routes);
        let others = (0..3).filter(|other| *other != route);
        others.map(|other| shares[other] / 2.0).sum::<f64>()
    };
    assert!(others(&after) > others(&before) + 0.05, "route {route}");
    assert!(after.goodput() > 0.95 * before.goodput(), "route {route}");
}

/// One route requests five times its usual load. Guards against refusals of the other routes' jobs, whose load is as
/// usual, and against capacity left idle by the shares.
#[test]
fn one_route_in_excess_does_not_crowd_out_the_others() {
    for route in 1..3 {
        assert_others_are_served(route);
    }
}

/// The same with the route of the first priority, for which capacity is reserved besides the shares.
#[test]
fn the_route_of_the_first_priority_in_excess_does_not_crowd_out_the_others() {
    assert_others_are_served(0);
}

/// The callers of one data centre request five times their usual load. Guards against refusals of the callers of the
/// other data centres.
#[test]
fn one_data_centre_in_excess_does_not_crowd_out_the_others() {
    let factors = [[5.0, 1.0, 1.0]; 3];
    let play = |sharing| replay(1..=6, 1, sharing, CALM_LOAD, factors);
    let (before, after) = (
        play(SharingPolicy::ArrivalOrder),
        play(SharingPolicy::MaxMin),
    );
    let (before_shares, shares) = (shares(&before.centres), shares(&after.centres));
    for other in 1..3 {
        assert!(shares[other] > before_shares[other] + 0.1);
        assert!(shares[other] > shares[0] + 0.1);
    }
    assert!(after.goodput() > before.goodput());
}

/// One route uses most of a pool that has capacity for all. Guards against shares that limit it although nobody else
/// lacks capacity.
#[test]
fn nothing_is_held_back_while_there_is_capacity_for_all() {
    let factors = [[0.5; 3], [0.2; 3], [2.0; 3]];
    let play = |sharing| replay(1..=3, 1, sharing, 0.45, factors);
    let (before, after) = (
        play(SharingPolicy::ArrivalOrder),
        play(SharingPolicy::MaxMin),
    );
    assert_eq!(after.held, 0);
    assert!(after.goodput() > before.goodput() - 0.01);
}

/// Owners of 3, 12 and 36 pools limit shares by what each observes, while jobs are spread over them at random. Guards
/// against unevenness that adds up over the owners.
#[test]
fn many_owners_are_even_together() {
    for owners in [3, 12, 36] {
        let score = replay(1..=1, owners, SharingPolicy::MaxMin, 1.6, USUAL);
        assert!(worst(&score.routes) >= 0.8, "{owners}");
        assert!(worst(&score.centres) >= 0.8, "{owners}");
        assert!(score.worst_width() >= 0.8, "{owners}");
    }
}

/// Guards against capacity that the shares of many owners leave idle together.
#[test]
fn many_owners_reach_the_goodput_of_one() {
    let scores = [12, 36].map(|owners| replay(1..=1, owners, SharingPolicy::MaxMin, 1.6, USUAL));
    for score in scores {
        assert!(score.goodput() >= 0.90, "{}", score.goodput());
    }
}

/// The number of jobs that one owner refused by shares.
fn held(pool: &Simulation) -> usize {
    let refusals = pool.admissions.iter().map(|(refusal, _)| *refusal);
    let held = refusals.filter(|refusal| *refusal == Some(RefusalKind::OverShare));
    held.count()
}

/// An owner takes a pool over in the middle of an overload. Guards against refusals by shares that rest on the first
/// few requests it sees.
#[test]
fn a_new_owner_limits_nobody_before_it_has_seen_contention() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(seed, 1, SharingPolicy::MaxMin);
        fleet.play(250, 4.0, USUAL);
        assert_eq!(held(&fleet.pools[0]), 0, "seed {seed}");
        fleet.play(3_000, 4.0, USUAL);
        assert!(held(&fleet.pools[0]) > 0, "seed {seed}");
    }
}

/// The owner's process stands still for 1.2 s in the middle of an overload. Guards against counting the pause as time
/// without requests, by which rates would fall and buckets would fill.
#[test]
fn rates_are_discarded_after_a_pause() {
    let mut fleet = Fleet::new(1, 1, SharingPolicy::MaxMin);
    fleet.play(3_000, 4.0, USUAL);
    assert!(held(&fleet.pools[0]) > 0);
    fleet.pools[0].run_for(1_200);
    fleet.pools[0].admissions.clear();
    fleet.play(250, 4.0, USUAL);
    let (_, first) = &fleet.pools[0].admissions[0];
    assert_eq!(first.as_ref().unwrap().used, 0.0);
    assert_eq!(held(&fleet.pools[0]), 0);
}

/// Parts of divided jobs arrive at a pool that limits shares. Guards against a job of which one part runs and another is
/// refused, and against divided jobs as a way around the shares.
#[test]
fn parts_of_divided_jobs_are_charged_and_never_refused_by_shares() {
    let mut fleet = Fleet::new(1, 1, SharingPolicy::MaxMin);
    fleet.play(3_000, 4.0, USUAL);
    assert!(held(&fleet.pools[0]) > 0);
    fleet.pools[0].admissions.clear();
    fleet.pools[0].firm = true;
    fleet.play(300, 4.0, USUAL);
    let parts = &fleet.pools[0].admissions;
    assert!(parts.iter().all(|(refusal, _)| refusal.is_none()));
    let of_first = |share: &&ShareUse| share.class == parts[0].1.as_ref().unwrap().class;
    let mut shares = parts.iter().filter_map(|(_, share)| share.as_ref());
    let first = shares.find(of_first).unwrap().used;
    assert!(shares.rfind(of_first).unwrap().used > first);
}
