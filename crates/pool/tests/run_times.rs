//! Predictions by the distribution of run times, with uneven workers and a few long tasks.

mod support;

use fastrand::Rng;
use jobs::{JobId, JobOutcome};
use model::{LoadPolicies, RunTimePolicy};
use pool::{PoolSettings, RouteRunTimes};
use support::{worker_record, Simulation, KINDS};

/// The number of workers in a replay, each with two slots.
const WORKERS: usize = 24;

/// The speeds of uneven workers. Their mean is 1.25.
const UNEVEN_SPEEDS: [f64; 3] = [0.35, 1.0, 2.4];
const UNIFORM_SPEEDS: [f64; 3] = [1.25; 3];

/// The share of long tasks, and how many times as long they take.
const LONG_SHARE: f64 = 0.03;
const LONG_FACTOR: f64 = 7.0;

fn settings(run_times: RunTimePolicy) -> PoolSettings {
    PoolSettings {
        policies: LoadPolicies {
            run_times,
            ..LoadPolicies::default()
        },
        ..PoolSettings::default()
    }
}

fn simulation(seed: u64, speeds: &[f64], policy: RunTimePolicy) -> Simulation {
    let mut simulation = Simulation::with_settings(seed, 0, settings(policy));
    for (number, speed) in speeds.iter().enumerate() {
        simulation.add_worker(worker_record(number, 16_000), *speed);
    }
    simulation.run_for(50);
    simulation
}

/// Submits a random job of a kind, some of whose tasks are long.
fn submit(simulation: &mut Simulation, rng: &mut Rng, kind: usize) {
    let job_kind = KINDS[kind];
    let spread = |rng: &mut Rng, by: f64| 1.0 + (rng.f64() * 2.0 - 1.0) * by;
    let count = (job_kind.tasks * spread(rng, 0.4)).round().max(1.0) as usize;
    let job_work = job_kind.work_ms * spread(rng, 0.2);
    let mut works = vec![job_work; count];
    for work in &mut works {
        if rng.f64() < LONG_SHARE {
            *work *= LONG_FACTOR;
        }
    }
    let estimate = job_work * spread(rng, 0.4);
    let cpu = (6_800.0 * spread(rng, 0.2)) as u64;
    let id = JobId(rng.u64(..));
    simulation.submit_sized(kind, id, works, estimate, cpu);
}

/// Plays traffic of `load` times the capacity and returns the share of jobs that ended in time.
fn replay(seed: u64, load: f64, speeds: [f64; 3], policy: RunTimePolicy) -> f64 {
    const MILLIS: u64 = 30_000;
    const WARM_UP: u64 = 10_000;
    let speeds: Vec<f64> = (0..WORKERS).map(|number| speeds[number % 3]).collect();
    let capacity: f64 = speeds.iter().map(|speed| speed * 2.0).sum();
    let long = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0);
    let work = KINDS
        .iter()
        .map(|kind| kind.per_second * kind.tasks * kind.work_ms / 1_000.0);
    let factor = load * capacity / (work.sum::<f64>() * long);
    let mut simulation = simulation(seed, &speeds, policy);
    // All simulations get the same jobs.
    let mut rng = Rng::with_seed(seed);
    for _ in 0..MILLIS {
        for (kind, job_kind) in KINDS.iter().enumerate() {
            if rng.f64() < job_kind.per_second * factor / 1_000.0 {
                submit(&mut simulation, &mut rng, kind);
            }
        }
        simulation.run_for(1);
    }
    simulation.run_for(8_000);
    let results = simulation
        .results
        .iter()
        .filter(|result| result.arrived >= WARM_UP);
    let in_time: Vec<bool> = results.map(|result| result.credit() == 1.0).collect();
    let served = in_time.iter().filter(|in_time| **in_time).count();
    served as f64 / in_time.len() as f64
}

/// Checks that uneven workers serve nearly as many jobs in time as uniform ones of the same capacity, and more than if
/// run times were predicted by their mean.
fn check_replay(seed: u64, load: f64) {
    let mean = replay(seed, load, UNEVEN_SPEEDS, RunTimePolicy::Mean);
    let uneven = replay(seed, load, UNEVEN_SPEEDS, RunTimePolicy::Distribution);
    let uniform = replay(seed, load, UNIFORM_SPEEDS, RunTimePolicy::Distribution);
    let seen = format!("uneven {uneven:.3}, uniform {uniform:.3}, by the mean {mean:.3}");
    assert!(uneven > mean && uneven >= 0.95 * uniform, "{seen}");
}

/// Guards against the loss of jobs to slow workers and to long tasks below the capacity.
#[test]
fn uneven_workers_below_their_capacity() {
    check_replay(1, 0.8);
}

/// As above, when all of the capacity is needed.
#[test]
fn uneven_workers_at_their_capacity() {
    check_replay(1, 1.0);
}

/// As above, when a part of the jobs has to be refused.
#[test]
fn uneven_workers_above_their_capacity() {
    check_replay(1, 1.3);
}

/// A pool of equal workers that has seen some hundred runs of each kind.
fn experienced_simulation(seed: u64) -> Simulation {
    let mut simulation = simulation(seed, &[1.0; 8], RunTimePolicy::Distribution);
    let mut rng = Rng::with_seed(seed);
    for _ in 0..60 {
        for kind in 0..KINDS.len() {
            submit(&mut simulation, &mut rng, kind);
        }
        simulation.run_for(500);
    }
    simulation.run_for(8_000);
    simulation
}

/// Submits one task of 14 s, seven times its estimate, which advances by one percent in 140 ms. Returns how many starts
/// it took, and whether it completed.
fn run_long_task(simulation: &mut Simulation) -> (u64, bool) {
    let before = simulation.starts_sent;
    simulation.submit_sized(1, JobId(1), vec![14_000.0], 2_000.0, 6_800);
    simulation.run_for(16_000);
    let result = simulation
        .results
        .iter()
        .find(|result| result.id == JobId(1));
    let is_completed = result.is_some_and(|result| result.outcome == JobOutcome::Completed);
    (simulation.starts_sent - before, is_completed)
}

/// Guards against stopping a long task that advances: all its work is lost, and it is as long at the next worker.
#[test]
fn a_long_task_that_progresses_is_not_stopped() {
    assert_eq!(run_long_task(&mut experienced_simulation(1)), (1, true));
}

/// Guards against a run that occupies its worker for ever, and against one that is stopped only after 2.5 times its
/// predicted time although it advanced before.
#[test]
fn a_run_whose_progress_stops_is_stopped() {
    for stalls_after in [20, 600] {
        let mut simulation = experienced_simulation(1);
        let submitted = simulation.now;
        simulation.submit_sized(1, JobId(1), vec![900.0], 900.0, 6_800);
        simulation.run_for(stalls_after);
        let stalled = simulation.worker_running(JobId(1));
        let worker = simulation.workers.get_mut(&stalled).unwrap();
        worker.fault.stalls_runs = true;
        simulation.run_for(4_000);
        let results = &simulation.results;
        let result = results.iter().find(|result| result.id == JobId(1));
        let result = result.unwrap();
        assert_eq!(result.outcome, JobOutcome::Completed);
        let took = result.ended - submitted;
        assert!(took < 2_400, "{took} ms, stalled after {stalls_after} ms");
    }
}

/// Guards against a new owner that takes long tasks for stalled ones until it has seen enough of them itself.
#[test]
fn a_new_owner_starts_from_the_published_distribution() {
    let published = experienced_simulation(1).pool.published_run_times();
    assert_eq!(published.len(), KINDS.len());
    assert!(published.iter().all(|route| route.ratios.len() <= 64));
    let mut fresh = simulation(2, &[1.0; 4], RunTimePolicy::Distribution);
    let (starts, _) = run_long_task(&mut fresh);
    assert!(starts > 1, "nothing is known");
    let mut next = simulation(2, &[1.0; 4], RunTimePolicy::Distribution);
    assert_eq!(next.pool.adopt_run_times(&published), 0);
    assert_eq!(run_long_task(&mut next), (1, true));
}

/// Guards against a damaged row that gives a new owner wrong predictions, or keeps it from adopting the rest.
#[test]
fn damaged_distributions_are_ignored() {
    let published = experienced_simulation(1).pool.published_run_times();
    let text = published[0].ratios.clone();
    let changed = match text.as_bytes()[20] {
        b'A' => "B",
        _ => "A",
    };
    let damaged = [
        String::new(),
        "?".repeat(text.len()),
        text[1..].to_owned(),
        text.repeat(100),
        format!("{}{changed}{}", &text[..20], &text[21..]),
        "A".repeat(text.len()),
    ];
    for ratios in damaged {
        let bad = RouteRunTimes {
            ratios: ratios.clone(),
            ..published[0].clone()
        };
        let mut next = simulation(2, &[1.0; 4], RunTimePolicy::Distribution);
        let rows = [bad, published[1].clone()];
        assert_eq!(next.pool.adopt_run_times(&rows), 1, "{ratios}");
        let adopted = next.pool.published_run_times();
        let routes: Vec<_> = adopted.iter().map(|route| &route.route).collect();
        assert_eq!(routes, [&published[1].route], "{ratios}");
    }
}
