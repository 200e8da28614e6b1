//! The times that keep two attempts of one customer apart.

use std::time::Duration;

use pool::{AttemptTimes, PoolSettings};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against leases that, one after the other, outlast a customer's pause, so that its next attempt runs beside
/// the last one.
#[test]
fn all_leases_together_are_shorter_than_the_customers_pause() {
    for retry in (500..10_000).step_by(50) {
        for longest in [200, 500, 800, 1_000, 15_000] {
            let Some(times) = AttemptTimes::derive(millis(retry), millis(longest)) else {
                continue;
            };
            assert!(times.worker_lease <= millis(longest), "{times:?}");
            assert!(times.longest_overrun() <= millis(retry), "{times:?}");
        }
    }
}

#[test]
fn the_usual_pause_leaves_the_usual_lease() {
    let times = AttemptTimes::derive(millis(1_300), millis(1_000)).unwrap();
    assert_eq!(times.worker_lease, PoolSettings::default().lease);
}

/// Guards against a node that does not start where customers come back a little sooner than usual.
#[test]
fn a_shorter_pause_shortens_the_leases() {
    let times = AttemptTimes::derive(millis(900), millis(1_000)).unwrap();
    assert!(times.worker_lease >= millis(500), "{times:?}");
    assert!(times.entry_lease >= millis(249), "{times:?}");
}

#[test]
fn a_pause_that_is_too_short_for_any_lease_is_rejected() {
    assert_eq!(AttemptTimes::derive(millis(750), millis(1_000)), None);
}
