//! Into how many pools workers are divided, and which worker belongs to which pool.

use std::{collections::BTreeMap, net::SocketAddr};

use claims::{is_outgrown, plan_groups, GroupRow, GroupSpread, LinkRate, VmCapacity};
use jobs::InstanceId;

fn vms(count: usize, cores: f64, megabits: f64) -> Vec<VmCapacity> {
    vec![VmCapacity::new(cores, LinkRate::from_megabits(megabits)); count]
}

/// Checks the number of pools for so many workers and these VMs.
fn check(workers: usize, vms: &[VmCapacity], expect: u32) {
    assert_eq!(
        plan_groups(workers, vms),
        expect,
        "{workers} workers, {vms:?}"
    );
}

/// Links of 2 Mbit/s carry about 170 starts a second, and 24 workers start 170 to 300. A single owner's link
/// would be full while those of its neighbours are idle.
#[test]
fn narrow_links_get_one_pool_each() {
    check(24, &vms(4, 0.12, 2.0), 4);
    check(24, &vms(3, 0.12, 2.0), 3);
}

/// Where links and processors carry many times the load, pools stay large, because large pools place better.
#[test]
fn wide_links_keep_large_pools() {
    let mut mixed = vms(3, 0.5, 200.0);
    mixed.extend(vms(7, 0.12, 25.0));
    check(74, &mixed, 2);
    check(117, &mixed, 3);
    check(12, &vms(2, 0.25, 1_000.0), 1);
}

/// Two large VMs and a dozen small ones, where an equal share is slightly more than each large VM is planned
/// to carry. Twelve pools of ten workers with twenty slots each would refuse jobs of eight tasks that two
/// pools of sixty take.
#[test]
fn large_vms_just_below_their_share_are_not_replaced_by_small_ones() {
    let mut mixed = vms(2, 0.5, 200.0);
    mixed.extend(vms(11, 0.12, 25.0));
    check(117, &mixed, 2);
    check(145, &mixed, 4);
}

/// Two large owners get a quarter more workers. A new plan would have five pools, and dividing anew would
/// abandon all running jobs; the two owners can carry the workers, so their callers must not notice anything.
/// A division that was made when only the first worker was listed is outgrown.
#[test]
fn a_division_stands_while_its_owners_can_carry_it() {
    let mut mixed = vms(2, 0.5, 200.0);
    mixed.extend(vms(11, 0.12, 25.0));
    assert!(plan_groups(150, &mixed) > 2);
    assert!(!is_outgrown(150, &mixed, 2));
    assert!(is_outgrown(240, &mixed, 2));
    assert!(is_outgrown(24, &vms(4, 0.12, 2.0), 1));
}

/// There is a pool for the workers even if no VM is known yet or none suffices.
#[test]
fn there_is_at_least_one_pool_without_vms_or_capacity() {
    check(5, &[], 1);
    check(0, &[], 1);
    check(1, &vms(9, 0.01, 0.1), 1);
}

fn sizes(row: GroupRow, workers: &[(InstanceId, SocketAddr)]) -> Vec<usize> {
    let mut sizes: BTreeMap<u32, usize> = BTreeMap::new();
    for (instance, address) in workers {
        *sizes.entry(row.group_of(instance, *address)).or_default() += 1;
    }
    sizes.into_values().collect()
}

fn workers(step: u8) -> Vec<(InstanceId, SocketAddr)> {
    let workers = (0..24_u8).map(|number| {
        let instance = InstanceId::from(format!("i-{:x}", u32::from(number) * 7_919).as_str());
        (instance, ([10, 128, 0, 9 + number * step], 8_080).into())
    });
    workers.collect()
}

/// With consecutive addresses, one group gets far more workers by hash than another, and the link of its
/// owner is the first to fill up.
#[test]
fn consecutive_addresses_are_grouped_evenly() {
    let workers = workers(1);
    let row = GroupRow::balanced(4, workers.iter().map(|(instance, at)| (instance, *at)));
    assert_eq!(row.spread, GroupSpread::Address);
    assert_eq!(sizes(row, &workers), [6, 6, 6, 6]);
}

/// Workers have every fourth address, so by address all of them would be in one of four groups.
#[test]
fn unbalanced_addresses_fall_back_to_hashes() {
    let workers = workers(4);
    let row = GroupRow::balanced(4, workers.iter().map(|(instance, at)| (instance, *at)));
    assert_eq!(row.spread, GroupSpread::Life);
    assert!(sizes(row, &workers).len() > 1);
}

/// Rows of earlier builds do not say which property divides the workers. The workers must stay in their
/// groups.
#[test]
fn rows_of_earlier_builds_are_read() {
    let row: GroupRow = serde_json::from_str(r#"{"groups":3}"#).unwrap();
    assert_eq!((row.groups, row.spread), (3, GroupSpread::Life));
}
