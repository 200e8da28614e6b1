//! Division of a customer's concurrency between data centres, between VMs, and between entries that ask.
//!
//! All functions are pure: processes with the same inputs compute the same result.

use std::{cmp::Reverse, net::SocketAddr};

use model::{CustomerId, DataCentreId};

use crate::hashing::{score, StableHash};

/// Splits `concurrency` over data centres in proportion to the slots of their endpoints, by largest remainder.
///
/// Every data centre with slots gets at least 1 if there is enough for all, taken from the largest shares, so that a
/// small customer can be served in a data centre that is cut off. The sum is exactly `concurrency`, or 0 without slots.
/// An unreachable data centre keeps its share: it may be serving, and no other data centre can know. Ties go to the
/// lesser id. The result is sorted by id.
pub fn split_shares(
    concurrency: u32,
    slots: impl IntoIterator<Item = (DataCentreId, u32)>,
) -> Vec<(DataCentreId, u32)> {
    let mut slots: Vec<(DataCentreId, u32)> = slots.into_iter().collect();
    slots.sort_unstable();
    let numbers: Vec<u32> = slots.iter().map(|(_, n)| *n).collect();
    let mut shares = by_largest_remainder(concurrency, &numbers);
    let used = numbers.iter().filter(|n| **n > 0).count();
    if concurrency as usize >= used {
        raise_to_one(&mut shares, &numbers);
    }
    let ids = slots.into_iter().map(|(id, _)| id);
    ids.zip(shares).collect()
}

/// The part of `share` that the entry on the VM `own` may use if no home can be reached.
///
/// The share is divided over the VMs in the VM list, not over the live ones, since processes that cannot reach each
/// other still agree on the list. The base shares of all VMs therefore add up to exactly `share`, however the network
/// is partitioned. The remainder goes to the VMs with the highest rendezvous scores for the customer, which are other
/// VMs for other customers.
pub fn base_share(
    share: u32,
    customer: &CustomerId,
    own: SocketAddr,
    listed: &[SocketAddr],
) -> u32 {
    let Some(whole) = share.checked_div(listed.len() as u32) else {
        return 0;
    };
    if !listed.contains(&own) {
        return 0;
    }
    let remainder = share as usize % listed.len();
    let hash = customer.stable_hash();
    let rank_of = |address: &SocketAddr| (score(hash, address.stable_hash()), *address);
    let own_rank = rank_of(&own);
    let above = listed.iter().filter(|a| rank_of(a) > own_rank).count();
    whole + u32::from(above < remainder)
}

/// The max-min fair part of `share` for the first of `wants`, which are pairs of a wanted count and a tie-breaker.
///
/// Without fairness, when several entries have more work of one customer than its share, the entry that asked first or
/// asks for most would hold all of it while callers at other entries wait. An entry that wants less than an even part
/// gets all that it wants, and the rest is divided evenly. A remainder goes one each to the entries with the least
/// tie-breakers, so that it is not always the same entry that gains. Costs a sort of the wants.
pub fn fair_target(share: u32, wants: &[(u32, u64)]) -> u32 {
    let Some(&asker) = wants.first() else {
        return 0;
    };
    let mut sorted = wants.to_vec();
    sorted.sort_unstable();
    let mut left = share;
    for (i, want) in sorted.iter().enumerate() {
        let others = (sorted.len() - i) as u32;
        let even = left / others;
        if want.0 > even {
            return share_of_rest(left, &sorted[i..], asker);
        }
        if *want == asker {
            return want.0;
        }
        left -= want.0;
    }
    asker.0
}

/// The asker's part if every entry in `rest` wants more than an even part of `left`.
fn share_of_rest(left: u32, rest: &[(u32, u64)], asker: (u32, u64)) -> u32 {
    let count = rest.len() as u32;
    let before = rest.iter().filter(|want| want.1 < asker.1).count() as u32;
    left / count + u32::from(before < left % count)
}

fn by_largest_remainder(concurrency: u32, slots: &[u32]) -> Vec<u32> {
    let total: u64 = slots.iter().copied().map(u64::from).sum();
    if total == 0 {
        return vec![0; slots.len()];
    }
    let mut shares = Vec::with_capacity(slots.len());
    let mut remainders = Vec::with_capacity(slots.len());
    let mut left = concurrency;
    for (i, n) in slots.iter().enumerate() {
        let product = u64::from(concurrency) * u64::from(*n);
        let whole = (product / total) as u32;
        left -= whole;
        remainders.push((Reverse(product % total), i));
        shares.push(whole);
    }
    remainders.sort_unstable();
    for (_, i) in remainders.into_iter().take(left as usize) {
        shares[i] += 1;
    }
    shares
}

/// Raises each share with slots to at least 1, taking from the largest share one at a time.
fn raise_to_one(shares: &mut [u32], slots: &[u32]) {
    for i in 0..shares.len() {
        if slots[i] == 0 || shares[i] > 0 {
            continue;
        }
        let largest = (0..shares.len()).max_by_key(|&j| (shares[j], Reverse(j)));
        if let Some(j) = largest {
            shares[j] -= 1;
            shares[i] = 1;
        }
    }
}
