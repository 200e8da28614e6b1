//! The estimated age of requests that arrive with less time than others of their route.

use std::{sync::Arc, time::Duration};

use fastrand::Rng;
use pool::BudgetTracker;

/// The remaining time of a new request: customers of the route give 1.8 to 2.4 s. A retried request has less left.
fn new_request_time(rng: &mut Rng) -> Duration {
    Duration::from_millis(rng.u64(1_800..2_400))
}

fn trained_tracker(rng: &mut Rng, route: &Arc<str>) -> BudgetTracker {
    let mut tracker = BudgetTracker::default();
    for _ in 0..2_000 {
        let left = new_request_time(rng);
        assert_eq!(
            tracker.record_request(route, left),
            Duration::ZERO,
            "a new request"
        );
    }
    tracker
}

/// All processes lose power, and customers that got no answer retry. Their requests are far too late. If they were
/// taken for new ones, they would occupy the capacity needed for requests that are in time.
#[test]
fn a_retried_request_is_recognised_by_its_remaining_time() {
    let (mut rng, route) = (Rng::with_seed(1), Arc::from("r-1"));
    let mut tracker = trained_tracker(&mut rng, &route);
    let age = tracker.record_request(&route, Duration::from_millis(450));
    assert!(age > Duration::from_millis(900), "{age:?}");
    assert!(age <= Duration::from_millis(1_950), "{age:?}");
}

/// While a third of all requests are old, new ones must not be taken for old ones, nor old ones for new.
#[test]
fn many_retried_requests_do_not_lower_the_learned_budget() {
    let (mut rng, route) = (Rng::with_seed(2), Arc::from("r-1"));
    let mut tracker = trained_tracker(&mut rng, &route);
    for number in 0..60 {
        let old = number % 3 == 0;
        let left = if old {
            Duration::from_millis(500)
        } else {
            new_request_time(&mut rng)
        };
        let age = tracker.record_request(&route, left);
        assert_eq!(
            age > Duration::ZERO,
            old,
            "request {number}: {left:?} {age:?}"
        );
    }
}

/// A process that has just started has learned no budgets. It takes over those that others have published, but not in
/// place of budgets that it has learned itself.
#[test]
fn a_new_process_learns_from_others() {
    let (mut rng, route) = (Rng::with_seed(3), Arc::from("r-1"));
    let published = trained_tracker(&mut rng, &route).learned_budgets();
    let mut tracker = BudgetTracker::default();
    for budget in &published {
        tracker.adopt(budget);
    }
    assert!(
        tracker.record_request(&route, Duration::from_millis(450)) > Duration::from_millis(900)
    );
    let mut known = BudgetTracker::default();
    known.record_request(&route, Duration::from_millis(600));
    for budget in &published {
        known.adopt(budget);
    }
    assert_eq!(
        known.record_request(&route, Duration::from_millis(590)),
        Duration::ZERO
    );
}
