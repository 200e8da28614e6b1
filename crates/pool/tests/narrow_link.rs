//! An owner whose link is too slow for the starts that its pool has capacity for.

mod support;

use model::Mechanism;
use pool::PoolSettings;
use support::{
    results::{credit, summary},
    Simulation,
};

/// The rate of a link that carries about 110 starts per second with their polls. The usual traffic takes half of it.
const LINK_BYTES_PER_SECOND: f64 = 250_000.0;

/// The number of workers: enough for three times the traffic, so that only the link is a bottleneck.
const WORKERS: usize = 48;

/// The duration of each load, in milliseconds.
const LOAD_TIME_MS: u64 = 10_000;

fn settings(off: &[Mechanism]) -> PoolSettings {
    PoolSettings {
        switched_off: off.iter().copied().collect(),
        ..PoolSettings::default()
    }
}

/// The credit earned per second at `factor` times the usual traffic with the mechanisms in `off` disabled, and the
/// number of starts sent per completed task.
fn goodput(factor: f64, off: &[Mechanism]) -> (f64, f64) {
    let (mut earned, mut starts, mut done) = (0.0, 0, 0);
    for seed in 0..2 {
        let mut simulation = Simulation::with_settings(seed, WORKERS, settings(off));
        simulation.limit_link_rate(LINK_BYTES_PER_SECOND);
        simulation.traffic(LOAD_TIME_MS, [factor; 3]);
        simulation.run_for(4_000);
        earned += simulation.results.iter().map(|r| r.credit()).sum::<f64>() / 2.0;
        starts += simulation.starts_sent;
        done += simulation
            .workers
            .values()
            .map(|w| w.done_tasks().len())
            .sum::<usize>();
    }
    let earned = earned / (LOAD_TIME_MS as f64 / 1_000.0);
    (earned, starts as f64 / done as f64)
}

/// More work arrives than the owner's link carries, so that each start is delayed by those sent before it. If starts
/// were sent again after 30 ms, as on an idle path, the copies would fill the link further, workers would seem silent,
/// and nothing would be served although the link carries as much as before. Work that the link cannot carry has to be
/// refused, and the rest served.
#[test]
fn goodput_holds_beyond_what_the_link_carries() {
    let mut peak: f64 = 0.0;
    for factor in [0.5, 1.0, 1.5, 2.0, 3.0] {
        let (earned, copies) = goodput(factor, &[]);
        let off = [Mechanism::AnswerLimits, Mechanism::StartWindow];
        let (without, copies_without) = goodput(factor, &off);
        println!(
            "offered {factor}: earned {earned:.1}/s, {copies:.2} starts a task; with neither {without:.1}/s, {copies_without:.2}"
        );
        peak = peak.max(earned);
        assert!(earned >= 0.9 * peak, "{earned:.1} of {peak:.1} at {factor}");
        assert!(copies < 1.3, "{copies:.2} starts a task at {factor}");
    }
}

/// Six seconds of three times the usual traffic, followed by the usual traffic. Two seconds later jobs must be served
/// as before: nothing that the overload left behind may keep the link full.
#[test]
fn service_is_back_two_seconds_after_an_overload() {
    let mut simulation = Simulation::with_settings(1, WORKERS, settings(&[]));
    simulation.limit_link_rate(LINK_BYTES_PER_SECOND);
    simulation.traffic(3_000, [0.6; 3]);
    simulation.traffic(6_000, [3.0; 3]);
    simulation.traffic(2_000, [0.6; 3]);
    let from = simulation.results.len();
    simulation.results.drain(..from);
    let begun = simulation.now;
    simulation.traffic(6_000, [0.6; 3]);
    simulation.run_for(4_000);
    simulation.results.retain(|result| result.arrived >= begun);
    let credit = credit(&simulation.results);
    assert!(credit > 0.9, "{}", summary(&simulation.results));
}
