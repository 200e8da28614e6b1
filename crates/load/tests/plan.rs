//! Load plans: they follow the users' shapes, and the same seed gives the same calls.

use std::time::Duration;

use load::{plan_load, CallKind, LoadSettings, LoadShape, PlannedCall, BURST_FACTOR};

fn long_run_settings(shape: LoadShape) -> LoadSettings {
    LoadSettings {
        shape,
        task_rate: 1_000.0,
        duration: Duration::from_secs(400),
        customers: 4,
        ..LoadSettings::default()
    }
}

fn assert_near(value: f64, expected: f64, tolerance: f64) {
    let least = expected * (1.0 - tolerance);
    let most = expected * (1.0 + tolerance);
    assert!(
        (least..=most).contains(&value),
        "{value} is not near {expected}"
    );
}

fn run_times(calls: &[PlannedCall]) -> Vec<u64> {
    let times = calls.iter().flat_map(|call| call.run_ms.iter().copied());
    times.collect()
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    let settings = LoadSettings::default();
    let other = LoadSettings {
        seed: 2,
        ..settings.clone()
    };
    assert_eq!(plan_load(&settings), plan_load(&settings));
    assert_ne!(plan_load(&settings), plan_load(&other));
}

#[test]
fn run_times_follow_the_specified_distribution() {
    for shape in [LoadShape::Trust, LoadShape::Utility] {
        let times = run_times(&plan_load(&long_run_settings(shape)));
        let long = times.iter().filter(|ms| **ms >= 2_000).count();
        assert_near(long as f64 / times.len() as f64, 0.03, 0.1);
        assert!(times
            .iter()
            .all(|ms| (50..=1_000).contains(ms) || (2_000..=5_000).contains(ms)));
        // Log-uniform run times: as many from 50 to 223 ms as from 224 ms to 1 s.
        let short = times.iter().filter(|ms| **ms < 224).count();
        assert_near(short as f64, (times.len() - long) as f64 / 2.0, 0.02);
        let mean = times.iter().sum::<u64>() as f64 / times.len() as f64;
        assert_near(
            mean,
            shape.parameters().mean_run().as_secs_f64() * 1e3,
            0.03,
        );
    }
}

#[test]
fn jobs_and_requests_follow_the_shape() {
    for (shape, requests) in [(LoadShape::Trust, 0.4), (LoadShape::Utility, 0.2)] {
        let calls = plan_load(&long_run_settings(shape));
        let count = calls.len() as f64;
        let single = calls.iter().filter(|call| call.kind == CallKind::Request);
        assert_near(single.count() as f64 / count, requests, 0.05);
        let sizes: Vec<usize> = calls.iter().map(|call| call.run_ms.len()).collect();
        assert!(sizes.iter().all(|size| *size <= 40 || *size == 370));
        assert!(sizes.contains(&370));
        let mean = sizes.iter().sum::<usize>() as f64 / count;
        assert_near(mean, shape.parameters().mean_tasks(), 0.05);
        for call in &calls {
            assert!(call.kind == CallKind::Job || call.run_ms.len() == 1);
        }
    }
}

#[test]
fn calls_are_in_order_and_at_the_requested_rate() {
    let settings = long_run_settings(LoadShape::Trust);
    let calls = plan_load(&settings);
    assert!(calls
        .windows(2)
        .all(|pair| pair[0].send_at <= pair[1].send_at));
    assert!(calls.last().unwrap().send_at < settings.duration);
    let tasks = run_times(&calls).len() as f64;
    assert_near(tasks / settings.duration.as_secs_f64(), 1_000.0, 0.05);
}

#[test]
fn the_burst_has_ten_times_the_rate() {
    let settings = LoadSettings {
        burst: true,
        ..long_run_settings(LoadShape::Utility)
    };
    let calls = plan_load(&settings);
    let calls_between = |from: f64, to: f64| {
        let inside = calls.iter().filter(|call| {
            let run_fraction = call.send_at.as_secs_f64() / settings.duration.as_secs_f64();
            run_fraction >= from && run_fraction < to
        });
        inside.count() as f64
    };
    assert_near(
        calls_between(0.4, 0.5),
        BURST_FACTOR * calls_between(0.1, 0.2),
        0.1,
    );
    assert_near(calls_between(0.5, 0.6), calls_between(0.1, 0.2), 0.15);
}

#[test]
fn utility_customers_differ_in_size() {
    let count = |shape: LoadShape, customer: usize| {
        let calls = plan_load(&long_run_settings(shape));
        calls
            .iter()
            .filter(|call| call.customer == customer)
            .count() as f64
    };
    assert_near(
        count(LoadShape::Utility, 0),
        4.0 * count(LoadShape::Utility, 3),
        0.1,
    );
    assert_near(count(LoadShape::Trust, 0), count(LoadShape::Trust, 3), 0.1);
}

#[test]
fn task_rate_keeps_the_requested_percentage_of_slots_busy() {
    let parameters = LoadShape::Trust.parameters();
    let rate = parameters.task_rate(80.0, 400);
    assert_near(rate * parameters.mean_run().as_secs_f64(), 320.0, 0.001);
}
