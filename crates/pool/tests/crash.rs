//! Tasks that crash their workers: their jobs fail, all other jobs are served, and workers are lost
//! only until the culprits are identified.

mod support;

use jobs::{JobId, JobOutcome, KeptState, LifeId, StepRecord};
use pool::PoolEvent;
use support::{crashing::CrashReturn, results::credit, World, KINDS};

const HALF_WORKER: u64 = 8_000;
const WHOLE_WORKER: u64 = 16_000;

/// A multiple of the usual traffic at which little capacity is free.
const LOAD: f64 = 1.8;

fn kept_world(seed: u64, workers: usize, returns: CrashReturn) -> World {
    let mut world = World::new(seed, workers);
    world.publish_birth_times();
    world.submits_kept = true;
    world.crashes.return_kind = returns;
    world.run_for(100);
    world
}

fn state(world: &World, job: JobId) -> Option<KeptState> {
    world.rows.get(&job).map(|(row, _)| row.state)
}

fn deaths(world: &World) -> u32 {
    world.crashes.deaths.values().sum()
}

fn outcome(world: &World, id: JobId) -> Option<JobOutcome> {
    let results = world.results.iter().rev();
    let mut of_job = results.filter(|result| result.id == id);
    of_job.next().map(|result| result.outcome)
}

fn common_cause_losses(world: &World) -> usize {
    let events = world.crashes.events.iter();
    let common = events.filter(|n| matches!(n, PoolEvent::CrashSuspected { common: true, .. }));
    common.count()
}

/// Guards against a kept job that crashes one worker after another for good. It fails after few
/// deaths, wherever in its work it crashes and however its workers come back.
#[test]
fn a_crashing_kept_job_fails() {
    for returns in [CrashReturn::SameId, CrashReturn::NewId] {
        for share in [0.0, 0.5, 0.95] {
            let mut world = kept_world(1, 6, returns);
            let job = JobId(7);
            world.make_crashing(job, share);
            world.submit_sized(1, job, vec![200.0, 200.0], 200.0, HALF_WORKER);
            world.run_for(20_000);
            let case = format!("{returns:?}, at {share}");
            assert_eq!(state(&world, job), Some(KeptState::Failed), "{case}");
            assert!(
                (2..=3).contains(&deaths(&world)),
                "{case}: {}",
                deaths(&world)
            );
        }
    }
}

/// Guards against failing innocent jobs because of what ran beside them.
#[test]
fn jobs_beside_a_crashing_task_complete() {
    for seed in 0..10 {
        let mut world = kept_world(seed, 4, CrashReturn::SameId);
        world.make_crashing(JobId(1), 0.5);
        world.make_crashing(JobId(2), 0.7);
        for id in 1..12 {
            world.submit_sized(1, JobId(id), vec![300.0], 300.0, 5_000);
        }
        world.run_for(30_000);
        for id in 1..12 {
            let expected = match id {
                1 | 2 => KeptState::Failed,
                _ => KeptState::Completed,
            };
            assert_eq!(
                state(&world, JobId(id)),
                Some(expected),
                "seed {seed}, job {id}"
            );
        }
        assert!(deaths(&world) <= 6, "seed {seed}: {}", deaths(&world));
    }
}

/// Guards against each new owner counting deaths from zero. The deaths that a former owner saw are
/// in the job's row.
#[test]
fn recorded_deaths_survive_a_change_of_owner() {
    let mut world = kept_world(3, 4, CrashReturn::SameId);
    let job = JobId(7);
    world.make_crashing(job, 0.5);
    world.submit_sized(1, job, vec![200.0], 200.0, WHOLE_WORKER);
    world.run_for(4_000);
    let recorded = |world: &World| -> usize {
        let (row, _) = &world.rows[&job];
        let deaths = |step: &StepRecord| step.deaths.len();
        row.progress.iter().map(deaths).sum()
    };
    assert!(recorded(&world) > 0);
    for _ in 0..3 {
        world.replace_owner();
        world.read_rows();
        world.run_for(6_000);
    }
    assert_eq!(state(&world, job), Some(KeptState::Failed));
    assert!(deaths(&world) <= 3, "{}", deaths(&world));
}

/// Guards against blaming tasks for a failed rack, whose workers are lost together.
#[test]
fn a_failed_rack_blames_no_task() {
    let mut world = kept_world(4, 12, CrashReturn::SameId);
    for id in 1..9 {
        world.submit_sized(1, JobId(id), vec![1_500.0], 1_500.0, HALF_WORKER);
    }
    world.run_for(200);
    let busy = world.workers.iter().filter(|(_, w)| w.run_count() > 0);
    let lives: Vec<LifeId> = busy.map(|(life, _)| life.clone()).collect();
    assert!(lives.len() >= 3);
    for life in &lives {
        world.crash(life);
    }
    world.run_for(12_000);
    assert!(common_cause_losses(&world) > 0);
    for id in 1..9 {
        assert_eq!(
            state(&world, JobId(id)),
            Some(KeptState::Completed),
            "job {id}"
        );
    }
}

/// Guards against blaming tasks for a worker that was only out of reach.
#[test]
fn a_worker_that_was_cut_off_blames_no_task() {
    let mut world = kept_world(5, 4, CrashReturn::SameId);
    let job = JobId(1);
    world.submit_sized(1, job, vec![900.0], 900.0, WHOLE_WORKER);
    world.run_for(100);
    let life = world.worker_running(job);
    world.workers.get_mut(&life).unwrap().fault.silent = true;
    world.run_for(1_300);
    world.workers.get_mut(&life).unwrap().fault.silent = false;
    world.run_for(6_000);
    let cleared = |event: &PoolEvent| *event == PoolEvent::CrashCleared { life: life.clone() };
    assert!(world.crashes.events.iter().any(cleared));
    assert_eq!(state(&world, job), Some(KeptState::Completed));
    let (row, _) = &world.rows[&job];
    assert!(row.progress.iter().all(|step| step.deaths.is_empty()));
}

/// Guards against a customer whose further attempts crash further workers. A job that is known for
/// it fails at once.
#[test]
fn the_next_attempt_of_a_crashing_job_fails_at_once() {
    let mut world = World::new(6, 6);
    world.publish_birth_times();
    world.crashes.away_ms = 400;
    let job = JobId(1);
    world.make_crashing(job, 0.1);
    for _ in 0..4 {
        world.submit_sized(1, job, vec![600.0], 600.0, WHOLE_WORKER);
        world.run_for(6_000);
    }
    assert_eq!(outcome(&world, job), Some(JobOutcome::Failed));
    assert!(deaths(&world) <= 3, "{}", deaths(&world));
    let before = world.starts_sent;
    world.submit_again(job);
    assert_eq!(outcome(&world, job), Some(JobOutcome::Failed));
    assert_eq!(world.starts_sent, before);
}

/// Runs traffic in which a share of the jobs of one kind crashes its workers. Returns what the
/// innocent jobs earned and how many of them failed.
fn replay(seed: u64, share: f64) -> (f64, usize) {
    let mut world = World::new(seed, 24);
    world.publish_birth_times();
    world.run_for(200);
    let mut culprits = Vec::new();
    for _ in 0..12_000 {
        for (kind, plan) in KINDS.iter().enumerate() {
            if world.rng.f64() >= plan.per_second * LOAD / 1_000.0 {
                continue;
            }
            let id = JobId(world.rng.u64(..));
            if kind == 2 && world.rng.f64() < share {
                world.make_crashing(id, 0.5);
                culprits.push(id);
            }
            world.submit(kind, id);
        }
        world.run_for(1);
    }
    world.run_for(12_000);
    let innocent = world.results.iter().filter(|r| !culprits.contains(&r.id));
    let innocent: Vec<_> = innocent.cloned().collect();
    let failed = innocent.iter().filter(|r| r.outcome == JobOutcome::Failed);
    (credit(&innocent), failed.count())
}

/// Guards against innocent jobs suffering from crashing ones. With one crashing job in 200 of a
/// kind, they earn at least 0.95 of what they earn without.
#[test]
fn innocent_jobs_are_served_beside_crashing_ones() {
    let (mut with, mut without) = (0.0, 0.0);
    for seed in 0..6 {
        let (earned, failed) = replay(seed, 0.005);
        with += earned;
        without += replay(seed, 0.0).0;
        assert_eq!(failed, 0, "seed {seed}");
    }
    assert!(with >= 0.95 * without, "{with} of {without}");
}
