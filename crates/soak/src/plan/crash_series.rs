//! Draws workers that crash one after another, several of a rack at once, or just as they get a suspected task, and
//! tasks that crash their workers.

use std::time::Duration;

use fastrand::Rng;

use super::{draw_time, FaultKind, FaultStep, SoakPlan};
use crate::fleet::rack_workers;

/// Bounds of the time between the starts of two series, in milliseconds.
const SERIES_GAPS_MS: (u64, u64) = (800, 3_500);

/// Bounds of the time between two restarts of one worker in a series, in milliseconds.
const REPEAT_GAPS_MS: (u64, u64) = (60, 700);

/// The most restarts of one worker in a series.
const MAX_REPEATS: u32 = 4;

/// The longest time between the first and the last crash in a rack, in milliseconds.
const RACK_SPREAD_MS: u64 = 1_200;

/// Bounds of the time until the replacement of a crashed worker starts, in milliseconds.
const REPLACE_TIMES_MS: (u64, u64) = (300, 2_000);

/// The most workers that restart as a suspect is sent to them, in one series.
const MAX_TRAPS: u32 = 3;

/// The most tasks that crash their workers, in one plan.
const MAX_CRASHING_JOBS: u32 = 2;

/// Adds series of crashes to the steps of a plan.
pub(super) fn add_crash_series(rng: &mut Rng, plan: &SoakPlan, steps: &mut Vec<FaultStep>) {
    let mut at = Duration::ZERO;
    loop {
        at += draw_time(rng, SERIES_GAPS_MS);
        if at >= plan.fault_duration {
            break;
        }
        let worker = rng.usize(..plan.workers);
        match rng.u32(..4) {
            0 => add_repeats(rng, worker, at, steps),
            1 => add_rack_crashes(rng, plan, worker, at, steps),
            2 => add_rack_restarts(rng, plan, worker, at, steps),
            _ => add_trap(rng, worker, at, steps),
        }
    }
    for _ in 0..rng.u32(..=MAX_CRASHING_JOBS) {
        let at = plan.fault_duration.mul_f64(rng.f64());
        let kind = FaultKind::CrashingJob;
        steps.push(FaultStep { at, kind });
    }
    steps.sort_by_key(|step| step.at);
}

fn add_repeats(rng: &mut Rng, worker: usize, mut at: Duration, steps: &mut Vec<FaultStep>) {
    for _ in 0..rng.u32(2..=MAX_REPEATS) {
        let kind = FaultKind::StartAgain(worker);
        steps.push(FaultStep { at, kind });
        at += draw_time(rng, REPEAT_GAPS_MS);
    }
}

fn add_rack_crashes(
    rng: &mut Rng,
    plan: &SoakPlan,
    worker: usize,
    at: Duration,
    steps: &mut Vec<FaultStep>,
) {
    for worker in rack_workers(worker, plan.workers) {
        let at = at + draw_time(rng, (0, RACK_SPREAD_MS));
        let kind = FaultKind::Crash(worker, draw_time(rng, REPLACE_TIMES_MS));
        steps.push(FaultStep { at, kind });
    }
}

fn add_rack_restarts(
    rng: &mut Rng,
    plan: &SoakPlan,
    worker: usize,
    at: Duration,
    steps: &mut Vec<FaultStep>,
) {
    // All at the same time, or one after another.
    let spread_ms = if rng.bool() { 1 } else { RACK_SPREAD_MS };
    for worker in rack_workers(worker, plan.workers) {
        for _ in 0..rng.u32(1..=2) {
            let at = at + draw_time(rng, (0, spread_ms));
            let kind = FaultKind::StartAgain(worker);
            steps.push(FaultStep { at, kind });
        }
    }
}

fn add_trap(rng: &mut Rng, worker: usize, at: Duration, steps: &mut Vec<FaultStep>) {
    let kind = FaultKind::TrapSuspects(rng.u32(1..=MAX_TRAPS));
    steps.push(FaultStep { at, kind });
    let kind = FaultKind::StartAgain(worker);
    steps.push(FaultStep { at, kind });
}
