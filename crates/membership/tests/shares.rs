//! Division of a customer's concurrency.

use std::net::SocketAddr;

use membership::{base_share, fair_target, split_shares};
use model::{CustomerId, DataCentreId};
use proptest::prelude::*;

fn centre(n: usize) -> DataCentreId {
    format!("dc-{n:02}").parse().unwrap()
}

fn split(concurrency: u32, slots: &[u32]) -> Vec<u32> {
    let slots = slots.iter().enumerate().map(|(i, n)| (centre(i), *n));
    let shares = split_shares(concurrency, slots);
    shares.into_iter().map(|(_, share)| share).collect()
}

fn check_split(concurrency: u32, slots: &[u32], expect: &[u32]) {
    assert_eq!(
        split(concurrency, slots),
        expect,
        "{concurrency} over {slots:?}"
    );
}

#[test]
fn concurrency_over_data_centres() {
    check_split(40, &[136, 136, 128], &[14, 13, 13]);
    check_split(100, &[90, 10], &[90, 10]);
    check_split(10, &[1000, 1, 1], &[8, 1, 1]);
    check_split(3, &[1000, 1, 1], &[1, 1, 1]);
    check_split(2, &[10, 10, 10], &[1, 1, 0]);
    check_split(1, &[10, 20, 10], &[0, 1, 0]);
    check_split(5, &[0, 10, 0], &[0, 5, 0]);
    check_split(5, &[0, 0], &[0, 0]);
    check_split(5, &[], &[]);
    check_split(1_000_000, &[u32::MAX, u32::MAX], &[500_000, 500_000]);
}

/// Checks the part of each of `wants` when it is the asker. Ties go to the earlier one.
fn check_fair(share: u32, wants: &[u32], expect: &[u32]) {
    let numbered: Vec<(u32, u64)> = (0u64..).zip(wants).map(|(i, want)| (*want, i)).collect();
    for (i, target) in expect.iter().enumerate() {
        let mut rotated = numbered.clone();
        rotated.rotate_left(i);
        assert_eq!(fair_target(share, &rotated), *target, "{i} of {wants:?}");
    }
}

#[test]
fn share_over_entries() {
    check_fair(10, &[3], &[3]);
    check_fair(10, &[30], &[10]);
    check_fair(10, &[30, 30], &[5, 5]);
    check_fair(10, &[30, 2, 30], &[4, 2, 4]);
    check_fair(10, &[30, 30, 30], &[4, 3, 3]);
    check_fair(1, &[5, 5, 5], &[1, 0, 0]);
    check_fair(0, &[5], &[0]);
    check_fair(5, &[0, 0], &[0, 0]);
    assert_eq!(fair_target(5, &[]), 0);
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_add_up(concurrency in 0..2000u32, slots in prop::collection::vec(0..500u32, 0..13)) {
        let shares = split(concurrency, &slots);
        let used = slots.iter().filter(|n| **n > 0).count();
        let expect = if used == 0 { 0 } else { concurrency };
        prop_assert_eq!(shares.iter().sum::<u32>(), expect);
        for (share, n) in shares.iter().zip(&slots) {
            prop_assert!(*n > 0 || *share == 0);
            prop_assert!(*n == 0 || *share > 0 || concurrency < used as u32);
        }
    }

    #[test]
    fn base_shares_add_up(share in 0..500u32, count in 1..60u8, name in "[a-z]{1,12}") {
        let customer: CustomerId = name.parse().unwrap();
        let listed: Vec<SocketAddr> = (0..count).map(address).collect();
        let mut sum = 0;
        for own in &listed {
            let base = base_share(share, &customer, *own, &listed);
            let whole = share / u32::from(count);
            prop_assert!(base == whole || base == whole + 1);
            sum += base;
        }
        prop_assert_eq!(sum, share);
        prop_assert_eq!(base_share(share, &customer, address(200), &listed), 0);
        prop_assert_eq!(base_share(share, &customer, address(0), &[]), 0);
    }

    #[test]
    fn fair_targets_add_up(share in 0..300u32, wants in prop::collection::vec(0..100u32, 1..60)) {
        let mut numbered: Vec<(u32, u64)> = (0u64..).zip(&wants).map(|(i, w)| (*w, i)).collect();
        let mut targets = Vec::new();
        for _ in 0..numbered.len() {
            let target = fair_target(share, &numbered);
            prop_assert!(target <= numbered[0].0);
            targets.push(target);
            numbered.rotate_left(1);
        }
        let wanted: u32 = wants.iter().sum();
        prop_assert_eq!(targets.iter().sum::<u32>(), share.min(wanted));
        let most = targets.iter().max().unwrap();
        for (target, want) in targets.iter().zip(&wants) {
            prop_assert!(target == want || target + 1 >= *most, "{} of {}", target, want);
        }
    }
}
