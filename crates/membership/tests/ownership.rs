//! Ownership of endpoints by rendezvous hashing.

use std::net::SocketAddr;

use membership::{rendezvous, OwnershipMap, StableHash};
use model::{CustomerId, EndpointId, FastMap};
use proptest::prelude::*;

fn member(n: u16) -> SocketAddr {
    let [high, low] = n.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn endpoint(n: u32) -> EndpointId {
    format!("exec-{n}").parse().unwrap()
}

fn members(numbers: impl IntoIterator<Item = u16>) -> Vec<SocketAddr> {
    numbers.into_iter().map(member).collect()
}

fn endpoints(count: u32) -> Vec<EndpointId> {
    (0..count).map(endpoint).collect()
}

// Processes of different builds must agree on these values. If they change, two builds name different owners while a
// deployment runs.
#[test]
fn the_hash_is_fixed() {
    let customer: CustomerId = "school-7".parse().unwrap();
    let v6: SocketAddr = "[2001:db8::1]:7000".parse().unwrap();
    let hashes = [
        endpoint(0).stable_hash(),
        customer.stable_hash(),
        member(1).stable_hash(),
        v6.stable_hash(),
    ];
    insta::assert_snapshot!(format!("{hashes:016x?}"), @"[7a9270ab806b3066, e7c6663e957e606b, 55b8bb26671b6a36, 60dee79148ca9c1e]");
}

#[test]
fn endpoints_have_no_owner_without_members() {
    let mut map = OwnershipMap::default();
    let moves = map.update([], endpoints(3));
    assert_eq!(moves, []);
    assert_eq!(map.owner(&endpoint(0)), None);
    let moves = map.update([member(1)], endpoints(3));
    assert_eq!(moves.len(), 3);
    assert_eq!(map.owned_by(member(1)).count(), 3);
}

#[test]
fn the_same_view_moves_nothing() {
    let mut map = OwnershipMap::default();
    map.update(members(0..7), endpoints(50));
    let mut reversed = members(0..7);
    reversed.reverse();
    assert_eq!(map.update(reversed, endpoints(50)), []);
}

#[test]
fn an_endpoint_that_is_gone_has_no_owner() {
    let mut map = OwnershipMap::default();
    map.update(members(0..7), endpoints(50));
    let owner = map.owner(&endpoint(49));
    let moves = map.update(members(0..7), endpoints(49));
    assert_eq!(moves.len(), 1);
    assert_eq!((moves[0].from, moves[0].to), (owner, None));
    assert_eq!(map.owner(&endpoint(49)), None);
}

/// Checks that every member owns between `least` and `most` endpoints.
fn check_balance(members_count: u16, endpoints_count: u32, least: usize, most: usize) {
    let mut map = OwnershipMap::default();
    map.update(members(0..members_count), endpoints(endpoints_count));
    for n in 0..members_count {
        let owned = map.owned_by(member(n)).count();
        assert!((least..=most).contains(&owned), "{n}: {owned}");
    }
}

#[test]
fn ownership_is_balanced_at_7_and_60_members() {
    // The means are 7.1, 6.4 and 76.7.
    check_balance(7, 50, 2, 13);
    check_balance(60, 384, 1, 14);
    check_balance(60, 4600, 50, 105);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn only_the_endpoints_of_a_changed_member_move(
        numbers in prop::collection::btree_set(any::<u16>(), 2..40),
        count in 1..300u32,
        pick in any::<prop::sample::Index>(),
    ) {
        let all = members(numbers.iter().copied());
        let changed = all[pick.index(all.len())];
        let rest: Vec<SocketAddr> = all.iter().copied().filter(|m| *m != changed).collect();
        let mut map = OwnershipMap::default();
        map.update(all.clone(), endpoints(count));
        let owned = map.owned_by(changed).count();
        let moves = map.update(rest, endpoints(count));
        prop_assert_eq!(moves.len(), owned);
        prop_assert!(moves.iter().all(|m| m.from == Some(changed) && m.to.is_some()));
        let moves = map.update(all, endpoints(count));
        prop_assert_eq!(moves.len(), owned);
        prop_assert!(moves.iter().all(|m| m.to == Some(changed)));
    }

    #[test]
    fn the_map_agrees_with_rendezvous(
        numbers in prop::collection::btree_set(any::<u16>(), 1..40),
        count in 1..50u32,
    ) {
        let all = members(numbers);
        let mut map = OwnershipMap::default();
        map.update(all.clone(), endpoints(count));
        for n in 0..count {
            let alone = rendezvous(&endpoint(n), all.iter().rev().copied());
            prop_assert_eq!(map.owner(&endpoint(n)), alone);
        }
    }

    // Each endpoint is one draw, so the count of a member has a variance of about its mean. The bound is the mean plus
    // six standard deviations, plus three for small means.
    #[test]
    fn balance_is_bounded(
        numbers in prop::collection::btree_set(any::<u16>(), 1..60),
        count in 1..400u32,
    ) {
        let all = members(numbers);
        let mut map = OwnershipMap::default();
        map.update(all.clone(), endpoints(count));
        let mut owned: FastMap<SocketAddr, u32> = FastMap::default();
        for n in 0..count {
            *owned.entry(map.owner(&endpoint(n)).unwrap()).or_default() += 1;
        }
        let mean = f64::from(count) / all.len() as f64;
        let bound = mean + 6.0 * mean.sqrt() + 3.0;
        let most = owned.values().max().copied().unwrap_or_default();
        prop_assert!(f64::from(most) <= bound, "{} > {}", most, bound);
    }
}
