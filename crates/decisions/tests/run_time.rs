//! Expected run times: whom they believe, and what they forget.

use std::time::{Duration, Instant};

use decisions::{
    EstimateSource::{self, Assumed, Declared, Measured, Stale},
    RunTimeEstimate, RunTimeSettings, RunTimeTable,
};

const MS: Duration = Duration::from_millis(1);

/// Notes the run times in milliseconds and compares the mean expected `later` against a declared time.
fn check(ran: &[u64], declared: Option<u32>, later: u32, expect: (u32, EstimateSource)) {
    let start = Instant::now();
    let mut table = RunTimeTable::new(RunTimeSettings::default());
    let (customer, kind) = ("trust".parse().unwrap(), "hold".parse().unwrap());
    for ran in ran {
        table.record(start, &customer, &kind, Duration::from_millis(*ran));
    }
    let declared = declared.map(|n| MS * n);
    let estimate = table.expect(start + MS * later, &customer, &kind, declared);
    let expect = RunTimeEstimate {
        run_time: MS * expect.0,
        source: expect.1,
    };
    assert_eq!(estimate, expect, "{ran:?} {declared:?} {later}");
}

#[test]
fn measured_wins_after_a_few() {
    check(&[], None, 0, (300, Assumed));
    check(&[], Some(20_000), 0, (20_000, Declared));
    check(&[200, 200], Some(20_000), 0, (20_000, Declared));
    check(&[200, 200, 200], Some(20_000), 0, (200, Measured));
    check(&[200, 200, 200], Some(2), 0, (200, Measured));
    check(&[100, 100, 1000], None, 0, (400, Measured));
    check(&[200, 200, 200], Some(2), 60_000, (200, Measured));
    check(&[200, 200, 200], Some(2), 60_001, (200, Stale));
}

#[test]
fn a_changed_run_time_is_learned() {
    // Old ones count half after 256: after 128 of 100 ms, twice 128 of 300 ms rule the mean.
    let old = [100; 256];
    let new = [300; 384];
    let mixed: Vec<u64> = old.iter().chain(&new).copied().collect();
    check(&mixed, None, 0, (275, Measured));
}

#[test]
fn quantiles_are_at_most_a_bucket_too_long() {
    let start = Instant::now();
    let mut table = RunTimeTable::new(RunTimeSettings::default());
    let (customer, kind) = ("trust".parse().unwrap(), "hold".parse().unwrap());
    for n in 1..=100 {
        let ran = if n > 97 { 5000 } else { 100 };
        table.record(start, &customer, &kind, Duration::from_millis(ran));
    }
    for (share, exact) in [
        (0.0, 100),
        (0.5, 100),
        (0.97, 100),
        (0.98, 5000),
        (1.0, 5000),
    ] {
        let quantile = table
            .quantile(start, &customer, &kind, None, share)
            .run_time;
        let exact = Duration::from_millis(exact);
        assert!(
            quantile >= exact && quantile <= exact.mul_f64(1.415),
            "{share} {quantile:?}"
        );
    }
}

#[test]
fn failures_are_counted_and_not_timed() {
    let start = Instant::now();
    let mut table = RunTimeTable::new(RunTimeSettings::default());
    let (customer, kind) = ("trust".parse().unwrap(), "hold".parse().unwrap());
    assert_eq!(table.failure_share(&customer, &kind).0, 0.0);
    for _ in 0..3 {
        table.record(start, &customer, &kind, MS * 200);
        table.record_failure(start, &customer, &kind);
    }
    assert_eq!(table.failure_share(&customer, &kind).0, 3.0 / 8.0);
    assert_eq!(
        table.expect(start, &customer, &kind, None).run_time,
        MS * 200
    );
}

#[test]
fn names_that_never_come_again_are_forgotten() {
    let start = Instant::now();
    let mut table = RunTimeTable::new(RunTimeSettings {
        max_customers: 2,
        max_kinds: 2,
        ..RunTimeSettings::default()
    });
    let mut record = |customer: &str, kind: &str| {
        for _ in 0..3 {
            table.record(
                start,
                &customer.parse().unwrap(),
                &kind.parse().unwrap(),
                MS * 200,
            );
        }
    };
    for (customer, kind) in [
        ("a", "k1"),
        ("a", "k2"),
        ("b", "k1"),
        ("a", "k1"),
        ("a", "k3"),
        ("c", "k1"),
    ] {
        record(customer, kind);
    }
    let known = |customer: &str, kind: &str| {
        let (customer, kind) = (customer.parse().unwrap(), kind.parse().unwrap());
        table.expect(start, &customer, &kind, None).source == Measured
    };
    assert_eq!(table.customers(), 2);
    assert!(known("a", "k1") && known("a", "k3") && known("c", "k1"));
    assert!(!known("a", "k2") && !known("b", "k1"));
}
