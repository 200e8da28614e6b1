//! The lease under which an owner runs the attempts of an entry.

use std::time::Duration;

use pool::AttemptLease;

const LENGTH: Duration = Duration::from_millis(400);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a lease that counts from a confirmation's arrival: one that was held up must not lengthen it.
#[test]
fn a_lease_counts_from_the_sending_of_the_last_confirmation() {
    let mut lease = AttemptLease::new(LENGTH);
    let term = lease.begin(millis(5_100), millis(5_000)).unwrap();
    assert_eq!(lease.time_left(millis(5_100), term), Some(millis(300)));
    lease.confirm(millis(5_300), millis(5_150));
    assert_eq!(lease.time_left(millis(5_300), term), Some(millis(250)));
    lease.confirm(millis(5_350), millis(5_050));
    assert_eq!(lease.time_left(millis(5_549), term), Some(millis(1)));
    assert_eq!(lease.time_left(millis(5_550), term), None);
    assert_eq!(lease.unconfirmed_time(millis(5_550)), LENGTH);
}

/// Guards against an owner that was frozen and reads its entry's latest renewal before it looks at the lease.
#[test]
fn an_attempt_whose_lease_was_over_is_not_revived() {
    let mut lease = AttemptLease::new(LENGTH);
    let term = lease.begin(millis(5_000), millis(5_000)).unwrap();
    lease.confirm(millis(5_400), millis(5_390));
    assert_eq!(lease.time_left(millis(5_400), term), None);
    let next = lease.begin(millis(5_410), millis(5_400)).unwrap();
    assert_eq!(lease.time_left(millis(5_410), next), Some(millis(390)));
    assert_eq!(lease.time_left(millis(5_410), term), None);
}

/// Guards against a job that was held up on its way for as long as the lease, or longer.
#[test]
fn a_call_that_is_too_old_begins_no_attempt() {
    let mut lease = AttemptLease::new(LENGTH);
    assert!(lease.begin(millis(5_399), millis(5_000)).is_some());
    assert_eq!(lease.begin(millis(5_400), millis(5_000)), None);
    assert_eq!(lease.begin(millis(9_000), Duration::ZERO), None);
}

/// Guards against an entry whose time is ahead of the owner's, which would keep its attempts for as long.
#[test]
fn a_confirmation_from_the_future_counts_as_sent_now() {
    let mut lease = AttemptLease::new(LENGTH);
    let term = lease.begin(millis(5_000), millis(90_000)).unwrap();
    assert_eq!(lease.time_left(millis(5_000), term), Some(LENGTH));
    lease.confirm(millis(5_100), millis(90_000));
    assert_eq!(lease.time_left(millis(5_500), term), None);
}
