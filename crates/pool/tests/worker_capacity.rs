//! Workers whose capacity shrinks and grows while they have runs. At each start the simulation checks
//! that the worker's runs, including those being stopped, fit with the new one into the capacity that
//! the directory shows to its owner.

mod support;

use jobs::{InstanceId, JobId, JobOutcome, RefusalKind};
use support::{Simulation, WorkerFault};

const WHOLE_WORKER: u64 = 16_000;
const QUARTER_WORKER: u64 = 4_000;

fn first_instance(simulation: &Simulation) -> InstanceId {
    simulation.workers.keys().next().cloned().unwrap()
}

fn outcome(simulation: &Simulation, id: JobId) -> Option<JobOutcome> {
    let result = simulation.results.iter().find(|result| result.id == id);
    result.map(|result| result.outcome)
}

fn is_refused(outcome: Option<JobOutcome>, expected: RefusalKind) -> bool {
    matches!(outcome, Some(JobOutcome::Refused { kind, .. }) if kind == expected)
}

/// Guards against starts that were placed before a worker shrank and are sent afterwards.
#[test]
fn unsent_starts_are_withdrawn_from_a_shrunk_worker() {
    let mut simulation = Simulation::new(1, 1);
    let (job, instance) = (JobId(1), first_instance(&simulation));
    simulation.submit_sized(1, job, vec![300.0; 4], 300.0, QUARTER_WORKER);
    simulation.resize(&instance, QUARTER_WORKER);
    simulation.run_for(100);
    assert_eq!(simulation.workers[&instance].run_count(), 1);
    simulation.resize(&instance, WHOLE_WORKER);
    simulation.run_for(800);
    assert_eq!(outcome(&simulation, job), Some(JobOutcome::Completed));
}

/// Guards against an unanswered start that is sent again to a worker that has shrunk in the
/// meantime.
#[test]
fn lost_starts_are_not_resent_beyond_the_capacity() {
    let mut simulation = Simulation::new(2, 1);
    let (first, second) = (JobId(1), JobId(2));
    let instance = first_instance(&simulation);
    simulation.submit_sized(1, first, vec![600.0], 600.0, 8_000);
    simulation.run_for(20);
    simulation.workers.get_mut(&instance).unwrap().fault.silent = true;
    simulation.submit_sized(1, second, vec![600.0], 600.0, 8_000);
    simulation.run_for(10);
    simulation.resize(&instance, 8_000);
    simulation.workers.get_mut(&instance).unwrap().fault.silent = false;
    simulation.run_for(4_000);
    assert_eq!(outcome(&simulation, first), Some(JobOutcome::Completed));
}

/// Guards against a job that waits until its deadline for capacity that no worker has any more. It is
/// refused at once.
#[test]
fn a_job_that_no_worker_can_hold_any_more_is_refused() {
    let mut simulation = Simulation::new(3, 1);
    let [running, waiting, small] = [1, 2, 3].map(JobId);
    let instance = first_instance(&simulation);
    simulation.submit_sized(1, running, vec![300.0], 300.0, WHOLE_WORKER);
    simulation.submit_sized(1, waiting, vec![900.0], 900.0, WHOLE_WORKER);
    simulation.run_for(20);
    simulation.resize(&instance, 8_000);
    assert!(is_refused(
        outcome(&simulation, waiting),
        RefusalKind::NeverFits
    ));
    simulation.submit_sized(1, small, vec![900.0], 900.0, QUARTER_WORKER);
    simulation.run_for(3_000);
    assert_eq!(outcome(&simulation, running), Some(JobOutcome::Completed));
    assert_eq!(outcome(&simulation, small), Some(JobOutcome::Completed));
}

/// Guards against admitting a job because of runs that end on a worker that is still over its capacity.
/// The job would be late.
#[test]
fn an_overcommitted_worker_does_not_count_as_capacity() {
    let mut simulation = Simulation::new(4, 1);
    let instance = first_instance(&simulation);
    simulation.submit_sized(1, JobId(1), vec![60.0], 60.0, 8_000);
    simulation.submit_sized(1, JobId(2), vec![900.0], 900.0, 8_000);
    simulation.run_for(20);
    simulation.resize(&instance, 8_000);
    simulation.submit_sized(1, JobId(3), vec![60.0], 60.0, 8_000);
    assert!(is_refused(
        outcome(&simulation, JobId(3)),
        RefusalKind::TooLate
    ));
}

/// Guards against a worker with no capacity, or with more capacity than any real worker, that affects more
/// than its own runs.
#[test]
fn any_capacity_is_handled() {
    for cpu in [0, 1, WHOLE_WORKER, 1 << 50, u64::MAX] {
        let mut simulation = Simulation::new(5, 3);
        let instance = first_instance(&simulation);
        simulation.resize(&instance, cpu);
        for number in 0..20 {
            simulation.submit_sized(2, JobId(number), vec![200.0], 200.0, QUARTER_WORKER);
            simulation.run_for(120);
        }
        simulation.run_for(1_000);
        for number in 0..20 {
            let outcome = outcome(&simulation, JobId(number));
            assert_eq!(outcome, Some(JobOutcome::Completed), "{cpu}, job {number}");
        }
    }
}

/// Guards against a start that exceeds its worker's capacity, over random sequences of capacity changes,
/// faults and changes of owner.
#[test]
fn no_start_exceeds_a_changing_capacity() {
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed, 6);
        for _ in 0..12 {
            let instances: Vec<_> = simulation.workers.keys().cloned().collect();
            for instance in instances {
                if simulation.rng.bool() {
                    let cpu = simulation.rng.u64(0..24) * 1_000;
                    simulation.resize(&instance, cpu);
                }
                let fault = WorkerFault {
                    silent: simulation.rng.u32(0..8) == 0,
                    answers_lost: if simulation.rng.bool() { 0.3 } else { 0.0 },
                    late_starts: if simulation.rng.u32(0..4) == 0 {
                        0.3
                    } else {
                        0.0
                    },
                    stops_lost: simulation.rng.u32(0..8) == 0,
                    ..WorkerFault::default()
                };
                simulation.workers.get_mut(&instance).unwrap().fault = fault;
                simulation.traffic(60, [0.6, 0.6, 0.6]);
            }
            if simulation.rng.u32(0..6) == 0 {
                simulation.change_owner();
            }
        }
        for worker in simulation.workers.values_mut() {
            worker.fault = WorkerFault::default();
        }
        simulation.run_for(14_000);
        assert_eq!(
            simulation.open_jobs(),
            0,
            "seed {seed}: jobs without an answer"
        );
        assert_eq!(simulation.running(), 0, "seed {seed}: left running");
    }
}
