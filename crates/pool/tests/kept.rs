//! Kept jobs: what is stored when, and what an owner may do with jobs of a former one. The world checks at each
//! millisecond that no task runs twice at the same time and no worker holds more than its room.

mod support;

use jobs::{JobId, JobOutcome, KeptState};
use support::{WorkerFault, World};

const JOB: JobId = JobId(7);

fn world(workers: usize) -> World {
    let mut world = World::new(1, workers);
    world.keeps = true;
    world.run_for(300);
    world
}

/// The runs of all workers that ended as done, for each task.
fn done_runs(world: &World) -> Vec<usize> {
    let mut counts = std::collections::BTreeMap::new();
    for worker in world.workers.values() {
        for task in worker.done_tasks() {
            *counts.entry(task).or_insert(0) += 1;
        }
    }
    counts.into_values().collect()
}

fn state(world: &World) -> Option<KeptState> {
    world.rows.get(&JOB).map(|(row, _)| row.state)
}

/// The customer is told that its job is accepted once it is stored, and no task starts before: an owner that dies in
/// between leaves either nothing behind or a job that its successor finds.
#[test]
fn nothing_starts_before_the_job_is_stored() {
    let mut world = world(2);
    world.store_up = false;
    world.submit_sized(1, JOB, vec![100.0; 3], 100.0, 6_800);
    world.run_for(400);
    assert_eq!((world.results.len(), world.running()), (0, 0));
    world.open_store();
    world.run_for(100);
    assert_eq!(world.results[0].outcome, JobOutcome::Accepted);
    assert!(world.running() > 0);
    world.run_for(1_000);
    assert_eq!(state(&world), Some(KeptState::Completed));
    assert_eq!(done_runs(&world), [1, 1, 1]);
}

/// The owner dies while a job runs. Its successor reads the job, stops what runs, counts the ends that the workers still
/// list, and starts only what is not done: the customer sees its job completed, and no task is done twice.
#[test]
fn a_new_owner_resumes_found_jobs() {
    for death in [5, 40, 80, 120, 160, 200, 260] {
        let mut world = world(2);
        world.submit_steps(1, JOB, vec![vec![60.0; 3], vec![90.0; 2]], 80.0, 6_800);
        world.run_for(12 + death);
        world.replace_owner();
        world.run_for(20);
        world.read_rows();
        world.run_for(1_500);
        assert_eq!(
            state(&world),
            Some(KeptState::Completed),
            "died after {death} ms"
        );
        assert!(
            done_runs(&world).iter().all(|runs| *runs == 1),
            "died after {death} ms"
        );
    }
}

/// A worker cannot be reached by the new owner, while the former one may still renew what runs there. The job waits until
/// that surely is over and then runs elsewhere.
#[test]
fn a_new_owner_waits_for_a_worker_that_it_cannot_reach() {
    let mut world = world(2);
    world.submit_sized(1, JOB, vec![900.0; 2], 900.0, 6_800);
    world.run_for(100);
    let life = world.life_of(JOB);
    world.workers.get_mut(&life).unwrap().fault = WorkerFault {
        silent: true,
        ..WorkerFault::default()
    };
    world.replace_owner();
    world.run_for(20);
    world.read_rows();
    world.run_for(600);
    let elsewhere = world.workers.iter().filter(|(other, _)| **other != life);
    let elsewhere: usize = elsewhere.map(|(_, worker)| worker.run_count()).sum();
    assert_eq!(elsewhere, 0);
    world.run_for(5_000);
    assert_eq!(state(&world), Some(KeptState::Completed));
}

/// The process stands still, lets go of its jobs and finds them again in the store. Runs that it had ordered are being
/// stopped meanwhile: their tasks wait once and not twice.
#[test]
fn a_released_and_reloaded_job_runs_once() {
    for pause in [20, 60, 100, 150] {
        let mut world = world(2);
        world.submit_sized(1, JOB, vec![120.0; 4], 120.0, 6_800);
        world.run_for(12 + pause);
        let at = world.instant();
        world.pool.give_up_all(at);
        world.read_rows();
        world.run_for(1_500);
        assert_eq!(
            state(&world),
            Some(KeptState::Completed),
            "after {pause} ms"
        );
        assert!(
            done_runs(&world).iter().all(|runs| *runs == 1),
            "after {pause} ms"
        );
    }
}

/// The store is away for longer than an owner may go on without it: it may have been replaced. Its kept jobs stop, and go
/// on when the store is back.
#[test]
fn kept_jobs_stop_without_the_store_and_resume_later() {
    let mut world = world(2);
    world.submit_sized(1, JOB, vec![3_000.0; 2], 3_000.0, 6_800);
    world.run_for(200);
    assert_eq!(world.running(), 2);
    world.store_up = false;
    world.run_for(1_500);
    assert_eq!(world.running(), 0);
    world.open_store();
    world.run_for(8_000);
    assert_eq!(state(&world), Some(KeptState::Completed));
}

/// A task fails on its first run. The failure is stored before it is acknowledged, and an owner that finds it in both the
/// row and the worker's list counts it once: the job fails after as many runs as its route allows, not sooner.
#[test]
fn a_failed_run_counts_once_over_owners() {
    let mut world = world(1);
    let life = world.workers.keys().next().unwrap().clone();
    world.workers.get_mut(&life).unwrap().fault = WorkerFault {
        fails: true,
        ..WorkerFault::default()
    };
    world.submit_sized(1, JOB, vec![60.0], 60.0, 6_800);
    world.run_for(200);
    world.workers.get_mut(&life).unwrap().fault = WorkerFault::default();
    for _ in 0..4 {
        world.replace_owner();
        world.run_for(5);
        world.read_rows();
        world.run_for(30);
    }
    world.run_for(6_000);
    assert_eq!(state(&world), Some(KeptState::Completed));
}

/// A customer cancels its job: what runs is stopped and nothing of it starts again.
#[test]
fn a_cancelled_job_stops() {
    let mut world = world(2);
    world.submit_sized(1, JOB, vec![900.0; 4], 900.0, 6_800);
    world.run_for(200);
    let at = world.instant();
    world.pool.cancel_kept(at, JOB);
    world.run_for(100);
    assert_eq!(world.running(), 0);
    world.run_for(2_000);
    assert_eq!(done_runs(&world), [0; 0]);
}

/// Hundreds of kept jobs wait, more than the pool can do for long. A new job is refused without trying out all of them,
/// which would take the owner's processor for so long that others count it as silent.
#[test]
fn a_long_queue_is_not_simulated() {
    let mut world = world(4);
    world.traffic(8_000, [4.0, 4.0, 4.0]);
    let before = std::time::Instant::now();
    for number in 0..200 {
        world.submit_sized(1, JobId(1_000_000 + number), vec![60.0; 8], 60.0, 6_800);
    }
    let each = before.elapsed() / 200;
    assert!(each.as_millis() < 10, "{each:?} for an admission");
}

/// The process stands still while a write of a job is under way, and lets the job go. The answer to that write comes after
/// the job was found again and ends of it are being stored: it must not be taken for theirs, or the worker forgets ends
/// that no row has, and an owner that comes then runs their tasks again.
#[test]
fn an_answer_to_a_stale_write_is_ignored() {
    let mut world = world(2);
    world.submit_sized(1, JOB, vec![60.0, 160.0], 100.0, 6_800);
    world.run_for(50);
    world.store_up = false;
    world.run_for(66);
    let before = world.waiting_writes();
    assert_eq!(before.len(), 1, "the first task is done");
    let at = world.instant();
    world.pool.give_up_all(at);
    world.read_rows();
    world.run_for(40);
    let after = world.waiting_writes();
    assert_eq!(after.len(), 2, "its end was found again");
    world.run_for(200);
    world.store_one(&before[0]);
    world.run_for(20);
    world.store_one(&after[1]);
    world.run_for(1_300);
    // The owner is gone before it can store the second task's end.
    world.replace_owner();
    world.open_store();
    world.run_for(20);
    world.read_rows();
    world.run_for(3_000);
    assert_eq!(state(&world), Some(KeptState::Completed));
    assert_eq!(done_runs(&world), [1, 1]);
}

/// Kept jobs are stopped, since the store has not shown for too long that the claim stands, while an order to start a task
/// has not been sent yet. The task waits again with the others; forgotten, its job would never end.
#[test]
fn a_task_whose_start_was_not_sent_is_requeued() {
    for late in [880, 900, 920, 940, 960, 980] {
        let mut world = world(1);
        let life = world.workers.keys().next().unwrap().clone();
        world.contact_up = false;
        world.run_for(late);
        world.workers.get_mut(&life).unwrap().fault = WorkerFault {
            silent: true,
            ..WorkerFault::default()
        };
        world.submit_sized(1, JOB, vec![100.0; 2], 100.0, 6_800);
        world.run_for(300);
        world.workers.get_mut(&life).unwrap().fault = WorkerFault::default();
        world.contact_up = true;
        world.run_for(4_000);
        assert_eq!(state(&world), Some(KeptState::Completed), "after {late} ms");
    }
}
