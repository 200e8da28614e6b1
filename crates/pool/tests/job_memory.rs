//! The memory that open jobs take, which clients could otherwise fill with jobs that wait.

mod support;

use jobs::{JobId, JobOutcome, RefusalKind};
use pool::PoolSettings;
use support::Simulation;

/// Memory for a few of the jobs of [`submit`], in bytes.
const FEW_JOBS: u64 = 4_000;

const SUBMITTED: u64 = 20;

fn simulation() -> Simulation {
    let settings = PoolSettings {
        max_job_bytes: FEW_JOBS,
        ..PoolSettings::default()
    };
    Simulation::with_settings(1, 2, settings)
}

fn submit(simulation: &mut Simulation, id: u64) {
    simulation.submit_sized(1, JobId(id), vec![100.0], 100.0, 500);
}

fn refused(simulation: &Simulation) -> usize {
    let outcomes = simulation.results.iter().map(|result| result.outcome);
    let is_full = |outcome| {
        matches!(
            outcome,
            JobOutcome::Refused {
                kind: RefusalKind::QueueFull,
                ..
            }
        )
    };
    outcomes.filter(|outcome| is_full(*outcome)).count()
}

/// Jobs beyond the memory are refused, and the memory is free again once the others have ended.
#[test]
fn jobs_beyond_the_memory_are_refused_until_others_end() {
    let mut simulation = simulation();
    for id in 0..SUBMITTED {
        submit(&mut simulation, id);
    }
    let open = simulation.pool.open_jobs();
    assert!(open > 1 && open < SUBMITTED as usize, "{open} jobs");
    assert_eq!(refused(&simulation), SUBMITTED as usize - open);
    assert!(simulation.pool.job_bytes() <= FEW_JOBS);
    simulation.run_for(1_000);
    assert_eq!(simulation.pool.job_bytes(), 0);
    submit(&mut simulation, SUBMITTED);
    assert_eq!(simulation.pool.open_jobs(), 1);
}

/// The pools of one process share its memory.
#[test]
fn jobs_of_other_pools_count() {
    let mut simulation = simulation();
    simulation.pool.set_other_job_bytes(FEW_JOBS);
    submit(&mut simulation, 1);
    assert_eq!(refused(&simulation), 1);
    simulation.pool.set_other_job_bytes(0);
    submit(&mut simulation, 2);
    assert_eq!(simulation.pool.open_jobs(), 1);
}
