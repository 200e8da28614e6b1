//! How a customer's concurrency is divided: between data centres, between VMs, and between entries that ask.
//!
//! Pure functions: processes with the same inputs come to the same result.

use std::{cmp::Reverse, net::SocketAddr};

use model::{CustomerId, DataCentreId};

use crate::hashing::{score, StableHash};

/// Splits `concurrency` over data centres in proportion to their endpoints' slots, by largest remainder.
///
/// Every data centre with slots gets at least 1 if there is enough for all, so that a small customer can be served in
/// a data centre that is cut off; the largest shares pay for it. The sum is exactly `concurrency`, or 0 without slots.
/// The share of a data centre out of reach stays with it: it may be serving, and no other can know. Ties go to the
/// lesser id. Result in the order of ids.
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

/// The part of `share` that the entry on the VM `own` may use when no home can be reached.
///
/// It divides over the VMs that the VM list names, not over the live ones: processes that cannot hear each other agree
/// on the list. So the base shares of all VMs add up to exactly `share`, on however many sides of a cut they are. The
/// remainder goes to the VMs with the highest rendezvous scores for the customer, other VMs for other customers.
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

/// The max-min fair part of `share` for the first of `wants`.
///
/// Load: several entries have more work of one customer than its share. Harm prevented: the entry that asked first, or
/// asks most, holds all of it while callers at other entries wait. Whoever wants less than an even part gets all it
/// wants, and what that leaves goes evenly to the rest; a remainder of one each goes to the least of `ties`, one per
/// want, so that the same entry does not always gain. Cost: a sort of the wants.
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

/// The asker's part where everybody in `rest` wants more than an even part of `left`.
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

/// Gives each place with slots at least 1, one at a time from the place with the largest share.
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
