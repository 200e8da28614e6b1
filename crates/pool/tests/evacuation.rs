//! Evacuation of a data centre: its workers get no starts in any way until the evacuation ends, and
//! callers of waiting jobs get correct answers.

mod support;

use jobs::{JobId, JobOutcome, RefusalKind};
use model::DataCentreId;
use pool::{EvacuationChange, EvacuationSet, PoolLoad};
use support::{Simulation, WorkerFault};

const WHOLE_WORKER: u64 = 16_000;

fn outcome(simulation: &Simulation, id: JobId) -> Option<JobOutcome> {
    let result = simulation.results.iter().find(|result| result.id == id);
    result.map(|result| result.outcome)
}

fn is_refused(outcome: Option<JobOutcome>) -> bool {
    matches!(
        outcome,
        Some(JobOutcome::Refused {
            kind: RefusalKind::Evacuated,
            ..
        })
    )
}

/// One job runs and another waits when the data centre is evacuated. The first completes. The
/// second is refused at once, which is correct since none of its tasks ran. A third is refused on
/// arrival. After the evacuation a fourth completes.
#[test]
fn running_jobs_continue_and_waiting_jobs_are_refused() {
    let mut simulation = Simulation::new(1, 1);
    let [first, second, third, fourth] = [1, 2, 3, 4].map(JobId);
    simulation.submit_sized(1, first, vec![300.0], 300.0, WHOLE_WORKER);
    simulation.run_for(50);
    simulation.submit_sized(1, second, vec![900.0], 900.0, WHOLE_WORKER);
    simulation.run_for(10);
    let starts = simulation.starts_sent;
    simulation.set_evacuated(true);
    assert!(is_refused(outcome(&simulation, second)));
    simulation.submit_sized(1, third, vec![300.0], 300.0, WHOLE_WORKER);
    assert!(is_refused(outcome(&simulation, third)));
    assert_eq!(simulation.offer(4, 100, 6_800), 0);
    assert_eq!(
        simulation.pool.load(simulation.instant()),
        PoolLoad::default()
    );
    simulation.run_for(1_000);
    assert_eq!(outcome(&simulation, first), Some(JobOutcome::Completed));
    assert_eq!(simulation.starts_sent, starts);
    simulation.set_evacuated(false);
    simulation.submit_sized(1, fourth, vec![300.0], 300.0, WHOLE_WORKER);
    simulation.run_for(1_000);
    assert_eq!(outcome(&simulation, fourth), Some(JobOutcome::Completed));
}

/// Only one of a job's two tasks is placed when the data centre is evacuated. The second may not
/// start, and the first has begun, so the job must not be refused as if nothing had run. It is given
/// up at once, which leaves the outcome open, instead of waiting for the end of the evacuation.
#[test]
fn a_started_job_that_cannot_finish_is_given_up_at_once() {
    let mut simulation = Simulation::new(1, 1);
    let wide = JobId(1);
    simulation.submit_sized(1, wide, vec![300.0; 2], 100.0, WHOLE_WORKER);
    simulation.run_for(50);
    let starts = simulation.starts_sent;
    simulation.set_evacuated(true);
    assert_eq!(outcome(&simulation, wide), Some(JobOutcome::GivenUp));
    simulation.run_for(1_000);
    assert_eq!(simulation.starts_sent, starts);
    assert_eq!(simulation.running(), 0, "nobody waits for it");
}

/// Starts are unanswered when the data centre is evacuated. They are not sent again, whether they
/// were carried out or not, but stopped. A run that fails is not started again either.
#[test]
fn unanswered_starts_are_not_resent() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 4);
        for worker in simulation.workers.values_mut() {
            worker.fault = WorkerFault {
                answers_lost: 0.3,
                late_starts: 0.5,
                fails_runs: seed % 3 == 0,
                ..WorkerFault::default()
            };
        }
        simulation.traffic(1_000, [0.6, 0.6, 0.6]);
        let starts = simulation.starts_sent;
        simulation.set_evacuated(true);
        simulation.traffic(3_000, [0.3, 0.3, 0.3]);
        assert_eq!(simulation.starts_sent, starts, "seed {seed}");
        simulation.set_evacuated(false);
        for worker in simulation.workers.values_mut() {
            worker.fault = WorkerFault::default();
        }
        simulation.run_for(8_000);
        let before = simulation.results.len();
        simulation.traffic(3_000, [0.3, 0.3, 0.3]);
        simulation.run_for(8_000);
        let served = simulation.results[before..].iter();
        let served = served.filter(|r| r.outcome == JobOutcome::Completed);
        assert!(served.count() > 0, "seed {seed}: nothing after the return");
        assert_eq!(
            simulation.open_jobs(),
            0,
            "seed {seed}: jobs without an answer"
        );
    }
}

/// A kept job was accepted before the evacuation, which guarantees its caller that it will run. So it
/// waits and runs after the evacuation.
#[test]
fn a_kept_job_waits_for_the_end_of_the_evacuation() {
    let mut simulation = Simulation::new(1, 1);
    simulation.submits_kept = true;
    let kept = JobId(1);
    simulation.submit_sized(1, kept, vec![300.0; 2], 100.0, WHOLE_WORKER);
    simulation.run_for(60);
    let starts = simulation.starts_sent;
    simulation.set_evacuated(true);
    simulation.run_for(2_000);
    assert_eq!(simulation.starts_sent, starts);
    simulation.set_evacuated(false);
    simulation.run_for(2_000);
    let (row, _) = &simulation.rows[&kept];
    assert!(row.state.is_final(), "{:?}", row.state);
}

/// A new owner of the pool knows of the evacuation before it knows any worker.
#[test]
fn a_new_owner_starts_nothing_while_evacuated() {
    let mut simulation = Simulation::new(1, 2);
    simulation.traffic(500, [0.5, 0.5, 0.5]);
    simulation.set_evacuated(true);
    simulation.change_owner();
    let starts = simulation.starts_sent;
    simulation.traffic(2_000, [0.5, 0.5, 0.5]);
    assert_eq!(simulation.starts_sent, starts);
}

fn centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

fn changed(begun: &[&str], ended: &[&str]) -> EvacuationChange {
    EvacuationChange {
        begun: begun.iter().map(|name| centre(name)).collect(),
        ended: ended.iter().map(|name| centre(name)).collect(),
    }
}

/// After a loss of the store's history, all rows are read as of version 20. An evacuation that
/// began later is not in that snapshot and must not end because of it; one that began before and is
/// missing has ended.
#[test]
fn an_older_snapshot_does_not_end_a_newer_evacuation() {
    let mut evacuations = EvacuationSet::default();
    assert!(evacuations.begin(centre("east"), 10));
    assert!(!evacuations.begin(centre("east"), 10));
    assert!(evacuations.begin(centre("west"), 30));
    let change = evacuations.apply_snapshot(vec![(centre("north"), 15)], 20);
    assert_eq!(change, changed(&["north"], &["east"]));
    assert!(evacuations.contains(&centre("west")));
    assert!(!evacuations.contains(&centre("east")));
    assert!(evacuations.end(&centre("west")));
    assert!(!evacuations.end(&centre("west")));
    assert_eq!(
        evacuations.apply_snapshot(Vec::new(), 40),
        changed(&[], &["north"])
    );
}
