//! How old a request is that comes with less time than others of its route.

use std::{sync::Arc, time::Duration};

use fastrand::Rng;
use pool::BudgetTracker;

/// Customers of one route give 1.8 to 2.4 s; a request that was cut off comes again with what is left.
fn fresh(rng: &mut Rng) -> Duration {
    Duration::from_millis(rng.u64(1_800..2_400))
}

fn taught(rng: &mut Rng, route: &Arc<str>) -> BudgetTracker {
    let mut book = BudgetTracker::default();
    for _ in 0..2_000 {
        let left = fresh(rng);
        assert_eq!(
            book.record_request(route, left),
            Duration::ZERO,
            "a new request"
        );
    }
    book
}

/// All processes lose power, and customers who got no answer come again. Their requests are far too late; taken for new ones
/// they would take the places of those that are not.
#[test]
fn a_returning_request_is_known_by_what_is_left_of_its_time() {
    let (mut rng, route) = (Rng::with_seed(1), Arc::from("r-1"));
    let mut book = taught(&mut rng, &route);
    let age = book.record_request(&route, Duration::from_millis(450));
    assert!(age > Duration::from_millis(900), "{age:?}");
    assert!(age <= Duration::from_millis(1_950), "{age:?}");
}

/// For seconds a third of all requests are old. New ones must not be taken for old ones afterwards, nor old ones for new.
#[test]
fn many_returning_requests_do_not_become_the_usual() {
    let (mut rng, route) = (Rng::with_seed(2), Arc::from("r-1"));
    let mut book = taught(&mut rng, &route);
    for number in 0..60 {
        let old = number % 3 == 0;
        let left = if old {
            Duration::from_millis(500)
        } else {
            fresh(&mut rng)
        };
        let age = book.record_request(&route, left);
        assert_eq!(
            age > Duration::ZERO,
            old,
            "request {number}: {left:?} {age:?}"
        );
    }
}

/// A process that has just started knows nothing of its own. It takes over what others have published, but not in place of
/// what it has learnt itself.
#[test]
fn a_new_process_learns_from_others() {
    let (mut rng, route) = (Rng::with_seed(3), Arc::from("r-1"));
    let usual = taught(&mut rng, &route).learned_budgets();
    let mut book = BudgetTracker::default();
    for wait in &usual {
        book.adopt(wait);
    }
    assert!(book.record_request(&route, Duration::from_millis(450)) > Duration::from_millis(900));
    let mut known = BudgetTracker::default();
    known.record_request(&route, Duration::from_millis(600));
    for wait in &usual {
        known.adopt(wait);
    }
    assert_eq!(
        known.record_request(&route, Duration::from_millis(590)),
        Duration::ZERO
    );
}
