//! Single failures of workers and owners in simulated time.

mod support;

use jobs::{JobId, JobOutcome};
use support::{Simulation, WorkerFault};

const JOB: JobId = JobId(1);

fn set_all_faults(simulation: &mut Simulation, fault: WorkerFault) {
    for worker in simulation.workers.values_mut() {
        worker.fault = fault;
    }
}

fn outcomes(simulation: &Simulation) -> Vec<(JobId, JobOutcome)> {
    simulation
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
    let mut simulation = Simulation::new(1, 1);
    simulation.submit_sized(1, JOB, vec![600.0], 600.0, 6_800);
    simulation.run_for(100);
    set_all_faults(
        &mut simulation,
        WorkerFault {
            answers_lost: 1.0,
            stalls_runs: true,
            ..WorkerFault::default()
        },
    );
    simulation.add_worker(support::worker_record(1, 16_000), 1.0);
    simulation.run_for(2_600);
    assert_eq!(outcomes(&simulation), [(JOB, JobOutcome::Completed)]);
}

/// A new owner finds runs of the former one, and its stops are lost. The runs end by their leases,
/// which the new owner must not renew. Until then nothing may be placed beside them, since the capacity
/// they take is unknown.
#[test]
fn runs_of_a_former_owner_end_by_their_leases() {
    let mut simulation = Simulation::new(1, 1);
    simulation.submit_sized(1, JOB, vec![5_000.0, 5_000.0], 700.0, 7_900);
    simulation.run_for(200);
    assert_eq!(simulation.running(), 2);
    set_all_faults(
        &mut simulation,
        WorkerFault {
            stops_lost: true,
            ..WorkerFault::default()
        },
    );
    simulation.change_owner();
    simulation.run_for(30);
    simulation.submit_sized(2, JobId(2), vec![50.0], 50.0, 7_900);
    simulation.run_for(1_000);
    simulation.submit_sized(2, JobId(3), vec![50.0], 50.0, 7_900);
    simulation.run_for(400);
    assert_eq!(simulation.running(), 0, "the former owner's runs are over");
    assert!(outcomes(&simulation).contains(&(JobId(3), JobOutcome::Completed)));
}

/// A customer's connection breaks, and it submits the same job again before the runs of the first
/// attempt have ended. Starting at once would run tasks twice, so the second attempt is given up, and
/// the customer tries again later.
#[test]
fn a_resubmitted_job_does_not_run_twice_at_once() {
    let mut simulation = Simulation::new(1, 4);
    simulation.submit_sized(1, JOB, vec![500.0, 500.0], 500.0, 6_800);
    simulation.run_for(100);
    simulation.disconnect_customer(JOB);
    simulation.submit_again(JOB);
    simulation.run_for(20);
    assert_eq!(outcomes(&simulation), [(JOB, JobOutcome::GivenUp)]);
    simulation.run_for(200);
    simulation.submit_again(JOB);
    simulation.run_for(1_500);
    assert_eq!(outcomes(&simulation)[1..], [(JOB, JobOutcome::Completed)]);
}

/// A worker fails every run. It is free again at once, so without suspension it would draw every
/// waiting task until the attempts are used up, and jobs that could have been done would be
/// reported as failed.
#[test]
fn a_worker_that_fails_everything_does_not_fail_jobs() {
    let mut simulation = Simulation::new(3, 6);
    if let Some(worker) = simulation.workers.values_mut().next() {
        worker.fault = WorkerFault {
            fails_runs: true,
            ..WorkerFault::default()
        };
    }
    simulation.traffic(6_000, [0.2, 0.2, 0.2]);
    simulation.run_for(5_000);
    let failed = simulation
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
    let mut simulation = Simulation::new(1, 1);
    set_all_faults(
        &mut simulation,
        WorkerFault {
            stalls_runs: true,
            ..WorkerFault::default()
        },
    );
    simulation.submit_sized(0, JOB, vec![60.0], 60.0, 6_800);
    simulation.run_for(50);
    simulation.add_worker(support::worker_record(1, 16_000), 1.0);
    simulation.run_for(450);
    assert_eq!(outcomes(&simulation), [(JOB, JobOutcome::Completed)]);
}

/// Another owner takes one worker of the pool, as when workers are redistributed and this owner does
/// not know of it yet. The job that runs there is given up, since its tasks may still run. The job
/// on the other worker continues, and the owner keeps the pool.
#[test]
fn a_taken_over_worker_costs_only_its_own_jobs() {
    let mut simulation = Simulation::new(1, 2);
    let (first, second) = (JobId(1), JobId(2));
    simulation.submit_sized(1, first, vec![600.0; 2], 600.0, 7_900);
    simulation.submit_sized(1, second, vec![600.0; 2], 600.0, 7_900);
    simulation.run_for(100);
    let taken = simulation.worker_running(first);
    assert_ne!(
        taken,
        simulation.worker_running(second),
        "each job has a worker of its own"
    );
    simulation.take_worker(&taken);
    simulation.run_for(1_500);
    assert_eq!(
        outcomes(&simulation),
        [
            (first, JobOutcome::GivenUp),
            (second, JobOutcome::Completed)
        ]
    );
    assert!(!simulation.released);
    let other = simulation
        .workers
        .keys()
        .find(|instance| **instance != taken)
        .unwrap()
        .clone();
    simulation.take_worker(&other);
    simulation.submit_sized(1, JobId(3), vec![600.0], 600.0, 7_900);
    simulation.run_for(100);
    assert!(simulation.released, "no worker is left");
}
