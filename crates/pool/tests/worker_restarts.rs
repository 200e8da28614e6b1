//! Workers die and restart under the same id. At every millisecond the simulation checks that no
//! worker exceeds its capacity and that no task runs twice at the same time.

mod support;

use jobs::{InstanceId, JobId, JobOutcome};
use support::{Simulation, WorkerFault};

const WHOLE_WORKER: u64 = 16_000;

fn simulation_with_start_times(seed: u64, workers: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, workers);
    simulation.publish_start_times();
    simulation.run_for(100);
    simulation
}

fn only_instance(simulation: &Simulation) -> InstanceId {
    simulation.workers.keys().next().cloned().unwrap()
}

fn outcome(simulation: &Simulation, id: JobId) -> Option<JobOutcome> {
    let result = simulation.results.iter().find(|result| result.id == id);
    result.map(|result| result.outcome)
}

/// Completes some jobs, so that the worker's end numbers are above 1.
fn complete_some_jobs(simulation: &mut Simulation, first: u64) {
    for number in first..first + 5 {
        let id = JobId(number);
        simulation.submit_sized(2, id, vec![40.0], 40.0, WHOLE_WORKER);
        simulation.run_for(150);
        assert_eq!(
            outcome(simulation, id),
            Some(JobOutcome::Completed),
            "{number}"
        );
    }
}

/// A worker dies with a task and restarts at once. Its listing no longer has the run, so the task
/// runs again in the new incarnation. Its end has the number 1, which the former incarnation's ends have long
/// passed, and must be processed all the same.
#[test]
fn a_task_that_died_with_its_worker_runs_again() {
    let mut simulation = simulation_with_start_times(1, 1);
    complete_some_jobs(&mut simulation, 10);
    let (job, instance) = (JobId(1), only_instance(&simulation));
    simulation.submit_sized(1, job, vec![300.0], 300.0, WHOLE_WORKER);
    simulation.run_for(100);
    simulation.restart_worker(&instance);
    simulation.run_for(1_200);
    assert_eq!(outcome(&simulation, job), Some(JobOutcome::Completed));
    complete_some_jobs(&mut simulation, 20);
}

/// An idle worker dies and restarts without notice. The next job's start reaches the new incarnation,
/// whose first end must be processed: if it were acknowledged by the former incarnation's numbers, it
/// would never be listed and the caller would wait in vain.
#[test]
fn the_first_ends_of_a_new_incarnation_are_processed() {
    let mut simulation = simulation_with_start_times(1, 1);
    for round in 1..8 {
        complete_some_jobs(&mut simulation, round * 100);
        simulation.run_for(2_000);
        let instance = only_instance(&simulation);
        simulation.restart_worker(&instance);
    }
    complete_some_jobs(&mut simulation, 1_000);
}

/// Guards against a worker whose runs all seem lost: its owner froze with a listing unread, took it for a fresh one on
/// waking, and acknowledged the former incarnation's ends to the new one, which then never listed its own.
#[test]
fn a_listing_read_after_a_freeze_is_not_acknowledged_to_the_next_incarnation() {
    let mut simulation = simulation_with_start_times(1, 1);
    simulation.restart_time = 50;
    complete_some_jobs(&mut simulation, 10);
    let instance = only_instance(&simulation);
    simulation.submit_sized(2, JobId(1), vec![40.0], 40.0, WHOLE_WORKER / 2);
    simulation.submit_sized(2, JobId(2), vec![400.0], 400.0, WHOLE_WORKER / 2);
    // The short run ends, and is listed, while the owner is frozen.
    simulation.run_for(40);
    simulation.freeze_owner(140);
    simulation.run_for(40);
    assert_eq!(simulation.running(), 1);
    simulation.restart_worker(&instance);
    simulation.run_for(2_000);
    complete_some_jobs(&mut simulation, 20);
}

/// The directory announces a new incarnation before the worker has listed anything. Nothing is started
/// there until it has answered a poll; soon after, it runs tasks.
#[test]
fn a_new_incarnation_in_the_directory_is_polled_first() {
    let mut simulation = simulation_with_start_times(1, 1);
    complete_some_jobs(&mut simulation, 10);
    let instance = only_instance(&simulation);
    simulation.restart_worker(&instance);
    simulation.publish_records();
    simulation.run_for(20);
    complete_some_jobs(&mut simulation, 20);
}

/// The directory still has the entry of the former incarnation, as it may for up to a heartbeat, after the
/// worker has listed its new one. The outdated entry must not stop the worker, however often it is
/// repeated.
#[test]
fn an_outdated_entry_does_not_stop_a_worker() {
    let mut simulation = simulation_with_start_times(1, 1);
    let older: Vec<_> = simulation
        .workers
        .values()
        .map(|w| w.record.clone())
        .collect();
    let instance = only_instance(&simulation);
    simulation.restart_worker(&instance);
    complete_some_jobs(&mut simulation, 10);
    for round in 2..6 {
        let at = simulation.instant();
        for record in &older {
            simulation.pool.upsert_worker(at, record.clone());
        }
        simulation.run_for(20);
        complete_some_jobs(&mut simulation, round * 10);
        simulation.publish_records();
    }
}

/// Starts go unanswered, the worker restarts, and seconds later it receives the starts that were
/// meant for its former incarnation, whose leases its new clock cannot judge. By then it has seen a higher
/// fence and ignores them.
#[test]
fn late_starts_of_a_former_incarnation_are_fenced_out() {
    for seed in 0..20 {
        let mut simulation = simulation_with_start_times(seed, 3);
        for worker in simulation.workers.values_mut() {
            worker.fault.late_starts = 0.6;
        }
        simulation.traffic(600, [0.3, 0.3, 0.3]);
        simulation.pool.record_no_later_claim(500);
        for worker in simulation.workers.values_mut() {
            worker.fault = WorkerFault::default();
        }
        let instances: Vec<_> = simulation.workers.keys().cloned().collect();
        for instance in &instances {
            simulation.restart_worker(instance);
        }
        simulation.publish_records();
        simulation.run_for(14_000);
        assert_eq!(simulation.open_jobs(), 0, "seed {seed}");
        assert_eq!(simulation.running(), 0, "seed {seed}");
        for worker in simulation.workers.values() {
            assert_eq!(worker.highest_fence(), 500, "seed {seed}");
        }
    }
}

/// Workers restart again and again amid lost answers, silence and failures, and the directory
/// reports some restarts late. Every job gets an answer and nothing is left running.
#[test]
fn no_task_runs_twice_while_workers_restart() {
    for seed in 0..60 {
        let mut simulation = simulation_with_start_times(seed, 6);
        for round in 0..8 {
            let instances: Vec<_> = simulation.workers.keys().cloned().collect();
            for instance in instances {
                let fault = WorkerFault {
                    silent: simulation.rng.u32(0..6) == 0,
                    answers_lost: if simulation.rng.bool() { 0.2 } else { 0.0 },
                    fails_runs: simulation.rng.u32(0..8) == 0,
                    ..WorkerFault::default()
                };
                simulation.workers.get_mut(&instance).unwrap().fault = fault;
                if simulation.rng.u32(0..3) == 0 {
                    simulation.restart_worker(&instance);
                }
                let pause = simulation.rng.u64(0..40);
                simulation.traffic(pause, [0.4, 0.4, 0.4]);
            }
            if simulation.rng.bool() {
                simulation.publish_records();
            }
            if round % 3 == 2 {
                simulation.pool.record_no_later_claim(2_000 + round);
            }
            simulation.traffic(500, [0.4, 0.4, 0.4]);
        }
        for worker in simulation.workers.values_mut() {
            worker.fault = WorkerFault::default();
        }
        simulation.publish_records();
        simulation.run_for(14_000);
        assert_eq!(
            simulation.open_jobs(),
            0,
            "seed {seed}: jobs without an answer"
        );
        assert_eq!(simulation.running(), 0, "seed {seed}: left running");
        let done = simulation.results.iter();
        let done = done.filter(|r| r.outcome == JobOutcome::Completed).count();
        assert!(done > 0, "seed {seed}: nothing was served");
    }
}

/// Kept jobs, whose acknowledged ends are final, while workers restart and nothing else fails. No
/// task starts after its end, and all jobs end. Workers restart no faster than a process can start:
/// a faster one could receive the acknowledgement that was sent to its former incarnation, and would never
/// list that many of its own ends.
#[test]
fn acknowledged_ends_of_kept_jobs_are_not_lost() {
    for seed in 0..40 {
        let mut simulation = simulation_with_start_times(seed, 4);
        simulation.submits_kept = true;
        simulation.done_is_final = true;
        simulation.restart_time = 50;
        for _ in 0..10 {
            let instances: Vec<_> = simulation.workers.keys().cloned().collect();
            let instance = &instances[simulation.rng.usize(0..instances.len())];
            simulation.restart_worker(instance);
            let pause = simulation.rng.u64(0..400);
            simulation.traffic(pause, [0.3, 0.3, 0.3]);
            if simulation.rng.bool() {
                simulation.publish_records();
            }
        }
        simulation.run_for(14_000);
        let open = simulation
            .rows
            .values()
            .filter(|(row, _)| !row.state.is_final());
        assert_eq!(open.count(), 0, "seed {seed}: kept jobs that never end");
        assert_eq!(simulation.running(), 0, "seed {seed}: left running");
    }
}
