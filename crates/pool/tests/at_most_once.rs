//! Random faults of workers and owners. Checked at every millisecond: no worker holds more than its room, no task runs
//! twice at the same time. Checked at the end: every job got an answer, and what got none of its tasks started was
//! never said to be complete.

mod support;

use jobs::JobOutcome;
use support::{WorkerFault, World};

/// What goes wrong in one run of the world.
fn random_fault(world: &mut World) -> WorkerFault {
    let rng = &mut world.rng;
    WorkerFault {
        silent: rng.u32(0..4) == 0,
        answers_lost: if rng.bool() { rng.f64() * 0.5 } else { 0.0 },
        late_starts: if rng.bool() { rng.f64() * 0.4 } else { 0.0 },
        stops_lost: rng.u32(0..4) == 0,
        fails_runs: rng.u32(0..6) == 0,
        stalls_runs: rng.u32(0..6) == 0,
        slowdown: (rng.u32(0..4) == 0).then_some(6.0),
    }
}

fn play(seed: u64, link: Option<f64>) {
    let mut world = World::new(seed, 6);
    if let Some(rate) = link {
        world.limit_link_rate(rate);
    }
    for _ in 0..6 {
        let lives: Vec<_> = world.workers.keys().cloned().collect();
        for life in lives {
            let fault = if world.rng.u32(0..3) == 0 {
                random_fault(&mut world)
            } else {
                WorkerFault::default()
            };
            world.workers.get_mut(&life).unwrap().fault = fault;
        }
        let factor = world.rng.f64() * 0.8;
        world.traffic(700, [factor, factor, factor]);
        // Some customers lose their connections, and come again at once or after a while.
        let open = world.open_ids();
        let mut gone = Vec::new();
        for id in open {
            if world.rng.bool() {
                world.disconnect_customer(id);
                gone.push(id);
            }
        }
        let pause = if world.rng.bool() { 0 } else { 1_300 };
        world.run_for(pause);
        for id in gone {
            world.submit_again(id);
        }
        if world.rng.u32(0..5) == 0 {
            world.change_owner();
        }
        if world.rng.u32(0..8) == 0 {
            let at = world.instant();
            world.pool.give_up_all(at);
        }
    }
    for worker in world.workers.values_mut() {
        worker.fault = WorkerFault::default();
    }
    world.run_for(14_000);
    assert_eq!(world.open_jobs(), 0, "seed {seed}: jobs without an answer");
    assert_eq!(
        world.running(),
        0,
        "seed {seed}: runs that nobody waits for"
    );
    assert!(
        !world.released,
        "seed {seed}: fenced out without another owner"
    );
    let failed = world
        .results
        .iter()
        .filter(|r| r.outcome == JobOutcome::Completed)
        .count();
    assert!(failed > 0, "seed {seed}: nothing was served");
}

#[test]
fn no_task_runs_twice_whatever_workers_do() {
    for seed in 0..60 {
        play(seed, None);
    }
}

/// The same on a link that carries less than what is asked: orders and answers are late by the link's queue, so that copies
/// of a start meet, and answers come after the owner has stopped waiting for them.
#[test]
fn no_task_runs_twice_on_a_narrow_link() {
    for seed in 100..140 {
        play(seed, Some(25_000.0));
    }
}
