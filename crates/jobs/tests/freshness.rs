//! How old a routing configuration can be.

use std::time::Duration;

use jobs::TableFreshness;

const LIMIT: Duration = Duration::from_millis(3_000);

/// Records reads that began at these times, in milliseconds, and checks the answers at `now`.
fn check(reads: &[u64], now: u64, age: Option<u64>, within: bool) {
    let mut freshness = TableFreshness::default();
    for begun in reads {
        freshness.record_read(Duration::from_millis(*begun));
    }
    let now = Duration::from_millis(now);
    assert_eq!(freshness.age(now), age.map(Duration::from_millis));
    assert_eq!(freshness.is_within(LIMIT, now), within);
}

/// Guards against a configuration that was never confirmed, or too long ago, passing as recent.
#[test]
fn age_counts_from_the_sending_of_the_newest_answered_read() {
    check(&[], 5_000, None, false);
    check(&[1_000], 4_000, Some(3_000), true);
    check(&[1_000], 4_001, Some(3_001), false);
    check(&[1_000, 3_500], 4_001, Some(501), true);
    check(&[3_500, 1_000], 4_001, Some(501), true);
}
