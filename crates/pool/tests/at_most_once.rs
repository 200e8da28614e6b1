//! Random faults of workers and owners. At every millisecond, no worker may hold more than its capacity and no task may
//! run twice at the same time. At the end, every job must have got an answer and no run may be left, and some jobs must
//! have completed.

mod support;

use jobs::JobOutcome;
use support::{Simulation, WorkerFault};

/// A random combination of faults for one worker.
fn random_fault(simulation: &mut Simulation) -> WorkerFault {
    let rng = &mut simulation.rng;
    WorkerFault {
        silent: rng.u32(0..4) == 0,
        refuses_connections: false,
        answers_lost: if rng.bool() { rng.f64() * 0.5 } else { 0.0 },
        late_starts: if rng.bool() { rng.f64() * 0.4 } else { 0.0 },
        stops_lost: rng.u32(0..4) == 0,
        fails_runs: rng.u32(0..6) == 0,
        stalls_runs: rng.u32(0..6) == 0,
        slowdown: (rng.u32(0..4) == 0).then_some(6.0),
    }
}

fn run_random_faults(seed: u64, link: Option<f64>) {
    let mut simulation = Simulation::new(seed, 6);
    if let Some(rate) = link {
        simulation.limit_link_rate(rate);
    }
    for _ in 0..6 {
        let instances: Vec<_> = simulation.workers.keys().cloned().collect();
        for instance in instances {
            let fault = if simulation.rng.u32(0..3) == 0 {
                random_fault(&mut simulation)
            } else {
                WorkerFault::default()
            };
            simulation.workers.get_mut(&instance).unwrap().fault = fault;
        }
        let factor = simulation.rng.f64() * 0.8;
        simulation.traffic(700, [factor, factor, factor]);
        // Some customers lose their connections and submit again, at once or after a pause.
        let open = simulation.open_ids();
        let mut disconnected = Vec::new();
        for id in open {
            if simulation.rng.bool() {
                simulation.disconnect_customer(id);
                disconnected.push(id);
            }
        }
        let pause = if simulation.rng.bool() { 0 } else { 1_300 };
        simulation.run_for(pause);
        for id in disconnected {
            simulation.submit_again(id);
        }
        if simulation.rng.u32(0..5) == 0 {
            simulation.change_owner();
        }
        if simulation.rng.u32(0..8) == 0 {
            let at = simulation.instant();
            simulation.pool.give_up_all(at);
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
    assert_eq!(
        simulation.running(),
        0,
        "seed {seed}: runs without a waiting job"
    );
    assert!(
        !simulation.released,
        "seed {seed}: the pool was released without another owner"
    );
    let completed = simulation
        .results
        .iter()
        .filter(|r| r.outcome == JobOutcome::Completed)
        .count();
    assert!(completed > 0, "seed {seed}: nothing was served");
}

#[test]
fn no_task_runs_twice_whatever_workers_do() {
    for seed in 0..60 {
        run_random_faults(seed, None);
    }
}

/// The same on a link that carries less than what is sent. The link's queue delays orders and answers, so that copies
/// of a start arrive together, and answers arrive after the owner's timeout.
#[test]
fn no_task_runs_twice_on_a_narrow_link() {
    for seed in 100..140 {
        run_random_faults(seed, Some(25_000.0));
    }
}
