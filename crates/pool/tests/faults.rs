//! Single failures of workers and owners in simulated time.

mod support;

use jobs::{JobId, JobOutcome};
use support::{WorkerFault, World};

const JOB: JobId = JobId(1);

fn with_fault(world: &mut World, fault: WorkerFault) {
    for worker in world.workers.values_mut() {
        worker.fault = fault;
    }
}

fn outcomes(world: &World) -> Vec<(JobId, JobOutcome)> {
    world
        .results
        .iter()
        .map(|result| (result.id, result.outcome))
        .collect()
}

/// A worker receives its owner's calls, but all its answers are lost. If its leases were still
/// renewed, its run would never count as over and the caller would wait until its deadline. The
/// leases must expire, so that the task runs elsewhere.
#[test]
fn a_worker_whose_answers_are_lost_loses_its_runs() {
    let mut world = World::new(1, 1);
    world.submit_sized(1, JOB, vec![600.0], 600.0, 6_800);
    world.run_for(100);
    with_fault(
        &mut world,
        WorkerFault {
            answers_lost: 1.0,
            stalls_runs: true,
            ..WorkerFault::default()
        },
    );
    world.add_worker(support::worker_record(1, 16_000), 1.0);
    world.run_for(2_600);
    assert_eq!(outcomes(&world), [(JOB, JobOutcome::Completed)]);
}

/// A new owner finds runs of the former one, and its stops are lost. The runs end by their leases,
/// which the new owner must not renew. Until then nothing may be placed beside them, since the room
/// they take is unknown.
#[test]
fn runs_of_a_former_owner_end_by_their_leases() {
    let mut world = World::new(1, 1);
    world.submit_sized(1, JOB, vec![5_000.0, 5_000.0], 700.0, 7_900);
    world.run_for(200);
    assert_eq!(world.running(), 2);
    with_fault(
        &mut world,
        WorkerFault {
            stops_lost: true,
            ..WorkerFault::default()
        },
    );
    world.change_owner();
    world.run_for(30);
    world.submit_sized(2, JobId(2), vec![50.0], 50.0, 7_900);
    world.run_for(1_000);
    world.submit_sized(2, JobId(3), vec![50.0], 50.0, 7_900);
    world.run_for(400);
    assert_eq!(world.running(), 0, "the former owner's runs are over");
    assert!(outcomes(&world).contains(&(JobId(3), JobOutcome::Completed)));
}

/// A customer's connection breaks, and it submits the same job again before the runs of the first
/// attempt have ended. Starting at once would run tasks twice, so the customer is told that the
/// outcome is unknown and tries again later.
#[test]
fn a_resubmitted_job_does_not_run_twice_at_once() {
    let mut world = World::new(1, 4);
    world.submit_sized(1, JOB, vec![500.0, 500.0], 500.0, 6_800);
    world.run_for(100);
    world.disconnect_customer(JOB);
    world.submit_again(JOB);
    world.run_for(20);
    assert_eq!(outcomes(&world), [(JOB, JobOutcome::GivenUp)]);
    world.run_for(200);
    world.submit_again(JOB);
    world.run_for(1_500);
    assert_eq!(outcomes(&world)[1..], [(JOB, JobOutcome::Completed)]);
}

/// A worker fails every run. It is free again at once, so without suspension it would draw every
/// waiting task until the attempts are used up, and jobs that could have been done would be
/// reported as failed.
#[test]
fn a_worker_that_fails_everything_does_not_fail_jobs() {
    let mut world = World::new(3, 6);
    if let Some(worker) = world.workers.values_mut().next() {
        worker.fault = WorkerFault {
            fails_runs: true,
            ..WorkerFault::default()
        };
    }
    world.traffic(6_000, [0.2, 0.2, 0.2]);
    world.run_for(5_000);
    let failed = world
        .results
        .iter()
        .filter(|result| result.outcome == JobOutcome::Failed)
        .count();
    assert_eq!(failed, 0);
}

/// Tasks stall on a worker that still answers. They are stopped once they are overdue without
/// progress, and run elsewhere long before their callers give up.
#[test]
fn stalled_tasks_are_moved() {
    let mut world = World::new(1, 1);
    with_fault(
        &mut world,
        WorkerFault {
            stalls_runs: true,
            ..WorkerFault::default()
        },
    );
    world.submit_sized(0, JOB, vec![60.0], 60.0, 6_800);
    world.run_for(50);
    world.add_worker(support::worker_record(1, 16_000), 1.0);
    world.run_for(450);
    assert_eq!(outcomes(&world), [(JOB, JobOutcome::Completed)]);
}

/// Another owner takes one worker of the pool, as when workers are redistributed and this owner has
/// not been told yet. The job that runs there is given up, since its tasks may still run. The job
/// on the other worker continues, and the owner keeps the pool.
#[test]
fn a_taken_over_worker_costs_only_its_own_jobs() {
    let mut world = World::new(1, 2);
    let (first, second) = (JobId(1), JobId(2));
    world.submit_sized(1, first, vec![600.0; 2], 600.0, 7_900);
    world.submit_sized(1, second, vec![600.0; 2], 600.0, 7_900);
    world.run_for(100);
    let taken = world.worker_running(first);
    assert_ne!(
        taken,
        world.worker_running(second),
        "each job has a worker of its own"
    );
    world.take_worker(&taken);
    world.run_for(1_500);
    assert_eq!(
        outcomes(&world),
        [
            (first, JobOutcome::GivenUp),
            (second, JobOutcome::Completed)
        ]
    );
    assert!(!world.released);
    let other = world
        .workers
        .keys()
        .find(|life| **life != taken)
        .unwrap()
        .clone();
    world.take_worker(&other);
    world.submit_sized(1, JobId(3), vec![600.0], 600.0, 7_900);
    world.run_for(100);
    assert!(world.released, "no worker is left");
}
