//! Expected run times: their sources, quantiles and eviction.

use std::time::{Duration, Instant};

use decisions::{
    EstimateSource::{self, Assumed, Declared, Measured, Stale},
    RunTimeEstimate, RunTimeSettings, RunTimeTable,
};

const MS: Duration = Duration::from_millis(1);

/// Records the run times in milliseconds and checks the expected run time, given the declared one, `later` milliseconds
/// later.
fn check(ran: &[u64], declared: Option<u32>, later: u32, expect: (u32, EstimateSource)) {
    let start = Instant::now();
    let mut table = RunTimeTable::new(RunTimeSettings::default());
    let (customer, kind) = ("trust".parse().unwrap(), "hold".parse().unwrap());
    for ran in ran {
        table.record(start, &customer, &kind, Duration::from_millis(*ran));
    }
    let declared = declared.map(|n| MS * n);
    let estimate = table.expected_run_time(start + MS * later, &customer, &kind, declared);
    let expect = RunTimeEstimate {
        run_time: MS * expect.0,
        source: expect.1,
    };
    assert_eq!(estimate, expect, "{ran:?} {declared:?} {later}");
}

#[test]
fn measured_run_times_replace_declared_ones() {
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
fn older_samples_lose_half_their_weight_per_window() {
    // Whenever 256 samples are recorded their weight is halved, so after 384 samples of 300 ms the older ones of 100 ms
    // make up an eighth of the mean.
    let old = [100; 256];
    let new = [300; 384];
    let mixed: Vec<u64> = old.iter().chain(&new).copied().collect();
    check(&mixed, None, 0, (275, Measured));
}

#[test]
fn quantiles_overestimate_by_at_most_one_bucket() {
    let start = Instant::now();
    let mut table = RunTimeTable::new(RunTimeSettings::default());
    let (customer, kind) = ("trust".parse().unwrap(), "hold".parse().unwrap());
    for n in 1..=100 {
        let ran = if n > 97 { 5000 } else { 100 };
        table.record(start, &customer, &kind, Duration::from_millis(ran));
    }
    for (fraction, exact) in [
        (0.0, 100),
        (0.5, 100),
        (0.97, 100),
        (0.98, 5000),
        (1.0, 5000),
    ] {
        let quantile = table
            .quantile(start, &customer, &kind, None, fraction)
            .run_time;
        let exact = Duration::from_millis(exact);
        assert!(
            quantile >= exact && quantile <= exact.mul_f64(1.415),
            "{fraction} {quantile:?}"
        );
    }
}

#[test]
fn failures_count_but_add_no_run_time() {
    let start = Instant::now();
    let mut table = RunTimeTable::new(RunTimeSettings::default());
    let (customer, kind) = ("trust".parse().unwrap(), "hold".parse().unwrap());
    assert_eq!(table.failure_rate(&customer, &kind).0, 0.0);
    for _ in 0..3 {
        table.record(start, &customer, &kind, MS * 200);
        table.record_failure(start, &customer, &kind);
    }
    assert_eq!(table.failure_rate(&customer, &kind).0, 3.0 / 8.0);
    assert_eq!(
        table
            .expected_run_time(start, &customer, &kind, None)
            .run_time,
        MS * 200
    );
}

#[test]
fn least_recently_used_customers_and_kinds_are_evicted() {
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
        table
            .expected_run_time(start, &customer, &kind, None)
            .source
            == Measured
    };
    assert_eq!(table.customers(), 2);
    assert!(known("a", "k1") && known("a", "k3") && known("c", "k1"));
    assert!(!known("a", "k2") && !known("b", "k1"));
}
