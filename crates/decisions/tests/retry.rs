//! The retry budget: how many retries are granted after which placements.

use std::time::{Duration, Instant};

use decisions::{RetryBudget, RetrySettings};
use model::CustomerId;

/// Each step has a time in milliseconds, the placements made then, the requested retries and the granted ones.
fn check(percent: u32, steps: &[(u64, u32, u32, u32)]) {
    let start = Instant::now();
    let customer: CustomerId = "trust".parse().unwrap();
    let mut budget = RetryBudget::new(RetrySettings::default());
    for (n, (at, placed, asked, expect)) in steps.iter().enumerate() {
        let now = start + Duration::from_millis(*at);
        budget.on_placed(now, &customer, *placed, percent);
        let mut granted = 0;
        for _ in 0..*asked {
            granted += u32::from(budget.try_retry(now, &customer));
        }
        assert_eq!(granted, *expect, "step {n}");
    }
}

#[test]
fn the_budget_grows_with_first_placements() {
    check(20, &[(0, 100, 100, 21), (0, 4, 100, 0), (0, 1, 100, 1)]);
}

#[test]
fn every_customer_has_the_floor_rate() {
    check(
        20,
        &[
            (0, 1, 5, 1),
            (500, 0, 5, 0),
            (1000, 0, 5, 1),
            (60_000, 0, 5, 1),
        ],
    );
    check(0, &[(0, 1000, 5, 1), (2000, 1000, 5, 1)]);
}

#[test]
fn saved_tokens_are_limited() {
    check(20, &[(0, 100_000, 1000, 40), (60_000, 0, 1000, 1)]);
}

#[test]
fn budgets_are_per_customer_and_bounded_in_number() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(RetrySettings {
        max_customers: 2,
        ..RetrySettings::default()
    });
    for n in 0..10 {
        let customer = format!("c{n}").parse().unwrap();
        assert!(budget.try_retry(now, &customer));
        assert!(!budget.try_retry(now, &customer));
    }
    assert_eq!(budget.customers(), 2);
}

#[test]
fn initial_tokens_are_granted_once() {
    let start = Instant::now();
    let customer: CustomerId = "trust".parse().unwrap();
    let mut budget = RetryBudget::new(RetrySettings {
        initial_tokens: 10.0,
        ..RetrySettings::default()
    });
    for (at, granted) in [(0, 10), (0, 0), (60_000, 1)] {
        let now = start + Duration::from_millis(at);
        for n in 0..20 {
            assert_eq!(budget.try_retry(now, &customer), n < granted);
        }
    }
}
