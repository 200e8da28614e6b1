//! Workers list only the first of their unacknowledged ends at once. What is missing from such a listing may have ended.

mod support;

use std::sync::Arc;

use jobs::{JobId, KeptState, MAX_LISTED_ENDS};
use support::Simulation;

const JOB: JobId = JobId(7);

/// A kept job whose row cannot be written.
const STALLED_JOB: JobId = JobId(8);

fn state(simulation: &Simulation, job: JobId) -> KeptState {
    simulation.rows[&job].0.state
}

/// Short tasks that fill the workers without being kept.
fn submit_short_jobs(simulation: &mut Simulation, first_id: u64, count: u64) {
    simulation.submits_kept = false;
    for number in 0..count {
        simulation.submit_sized(0, JobId(first_id + number), vec![20.0; 16], 20.0, 400);
    }
    simulation.submits_kept = true;
}

/// Runs short jobs for `millis` beside an end that cannot be stored, and returns the most unacknowledged ends of a worker.
fn run_beside_unstored_end(simulation: &mut Simulation, millis: u64) -> usize {
    simulation.submit_sized(1, STALLED_JOB, vec![60.0], 60.0, 400);
    simulation.run_for(40);
    simulation.stalled_jobs.insert(STALLED_JOB);
    let mut most_ends = 0;
    for round in 0..millis / 20 {
        submit_short_jobs(simulation, 1_000 + 10 * round, 2);
        if round == 20 {
            simulation.submit_sized(1, JOB, vec![60.0; 4], 60.0, 400);
        }
        simulation.run_for(20);
        let ends = simulation.workers.values();
        let ends = ends.map(|worker| worker.unacknowledged_ends());
        most_ends = most_ends.max(ends.max().unwrap_or(0));
    }
    most_ends
}

/// Guards against a second run of a task that is done, whose end its worker has not listed yet because an earlier one
/// cannot be stored.
#[test]
fn a_run_that_is_missing_from_a_partial_listing_is_not_repeated() {
    let mut simulation = Simulation::of_kept_jobs(1);
    simulation.done_is_final = true;
    for worker in simulation.workers.values_mut() {
        worker.add_unknown_ends(1);
    }
    simulation.submit_sized(1, STALLED_JOB, vec![60.0], 60.0, 400);
    simulation.submit_sized(1, JOB, vec![160.0; 4], 160.0, 400);
    simulation.run_for(40);
    simulation.stalled_jobs.insert(STALLED_JOB);
    simulation.run_for(60);
    for worker in simulation.workers.values_mut() {
        worker.add_unknown_ends(600);
    }
    simulation.run_for(2_000);
    assert_eq!(simulation.done_runs_of(JOB), 4);
    simulation.restore_partitions();
    simulation.run_for(1_000);
    assert_eq!(state(&simulation, JOB), KeptState::Completed);
    assert_eq!(simulation.done_runs_of(JOB), 4);
}

/// Guards against a second run after a change of owner: a worker with many ends lists the end of a found job last, and the
/// first end cannot be stored for longer than found jobs are held back.
#[test]
fn a_new_owner_waits_for_all_ends_of_a_worker() {
    let mut simulation = Simulation::of_kept_jobs(2);
    simulation.submit_sized(1, STALLED_JOB, vec![60.0], 60.0, 400);
    simulation.run_for(12);
    simulation.submit_sized(1, JOB, vec![160.0; 4], 160.0, 400);
    simulation.run_for(20);
    simulation.freeze_owner(300);
    simulation.run_for(100);
    for worker in simulation.workers.values_mut() {
        worker.add_unknown_ends(600);
    }
    simulation.run_for(200);
    assert_eq!(simulation.done_runs_of(JOB), 4);
    simulation.rows.get_mut(&STALLED_JOB).unwrap().0.home = Arc::from("east/1");
    simulation.stalled_jobs.insert(STALLED_JOB);
    simulation.replace_owner();
    simulation.run_for(5);
    simulation.read_rows();
    simulation.run_for(5_000);
    assert_eq!(simulation.done_runs_of(JOB), 4, "no task runs again");
    simulation.restore_partitions();
    simulation.run_for(1_000);
    assert_eq!(state(&simulation, JOB), KeptState::Completed);
    assert_eq!(simulation.done_runs_of(JOB), 4);
}

/// Guards against late answers: an end that cannot be stored must not fill a worker's listing so that the ends of other
/// jobs are not listed.
#[test]
fn unacknowledged_ends_of_a_worker_stay_below_what_it_lists() {
    let mut simulation = Simulation::of_kept_jobs(1);
    let most_ends = run_beside_unstored_end(&mut simulation, 3_000);
    assert!(most_ends > MAX_LISTED_ENDS / 2, "{most_ends}");
    assert!(most_ends < MAX_LISTED_ENDS, "{most_ends}");
    simulation.restore_partitions();
    simulation.run_for(1_000);
    let before = simulation.starts_sent;
    submit_short_jobs(&mut simulation, 9_000, 2);
    simulation.run_for(500);
    assert!(
        simulation.starts_sent >= before + 32,
        "the worker gets runs again"
    );
    assert_eq!(state(&simulation, STALLED_JOB), KeptState::Completed);
}

/// Guards against the same fault among kept jobs alone: one partition of the store in eight is unavailable for 4.5 s under a
/// load of wide kept jobs, with a change of owner in the middle.
#[test]
fn kept_jobs_run_once_while_a_partition_is_unavailable() {
    for change_at in [None, Some(60), Some(160)] {
        let mut simulation = Simulation::of_kept_jobs(2);
        simulation.done_is_final = true;
        simulation.read_rows();
        for round in 0..300 {
            if round == 20 {
                simulation.stalled_jobs = (0..400).step_by(8).map(JobId).collect();
            }
            if round == 245 {
                simulation.restore_partitions();
            }
            if Some(round) == change_at {
                simulation.replace_owner();
                simulation.run_for(5);
                simulation.read_rows();
            }
            simulation.submit_sized(0, JobId(round), vec![60.0; 8], 60.0, 400);
            simulation.run_for(20);
        }
        simulation.run_for(1_000);
        // The periodic read, which finds the jobs that the store kept for the former owner late.
        simulation.read_rows();
        simulation.run_for(7_000);
        let runs = simulation.done_runs();
        assert!(runs.values().all(|count| *count == 1), "{change_at:?}");
        let states = simulation.rows.values().map(|(row, _)| row.state);
        let open = states.filter(|state| !state.is_final()).count();
        assert_eq!(open, 0, "{change_at:?}");
        assert!(simulation.rows.len() > 250, "{change_at:?}");
    }
}
