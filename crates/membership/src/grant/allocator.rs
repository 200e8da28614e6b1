//! The home dispatcher's side of grants.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{CustomerId, FastMap, IncarnationId};

use super::{
    base_share, fair_target, AskBatch, GrantAsk, GrantDecision, GrantReply, GrantSettings,
    ReplyBatch,
};
use crate::{
    hashing::{rendezvous, StableHash},
    member::LiveOwner,
};

/// How long a departed dispatcher is remembered, so that its return is recognised. Longer than the hour for which parts
/// of the system at times lose contact with each other.
const DEPARTED_RETENTION: Duration = Duration::from_secs(2 * 3600);

/// Leases parts of the shares of the customers whose home this dispatcher is.
///
/// The state is an allocation for each such customer, with a lease for each entry that has work of that customer. None
/// of it is stored or handed over; a new home learns it from the asks.
#[derive(Clone, Debug)]
pub struct GrantAllocator {
    own: SocketAddr,
    settings: GrantSettings,
    live: Vec<LiveOwner>,
    listed: Vec<SocketAddr>,
    departed: FastMap<IncarnationId, Instant>,
    shares: FastMap<CustomerId, u32>,
    allocations: FastMap<CustomerId, CustomerAllocation>,
    last_batches: FastMap<IncarnationId, LastBatch>,
    /// The end of recovery for a customer whose allocation is created now. Grants of previous homes have expired by
    /// then.
    recovery_until: Option<Instant>,
    last_input: Option<Instant>,
}

#[derive(Clone, Debug)]
struct CustomerAllocation {
    /// Until this time grants are confirmed but not raised.
    recovery_until: Instant,
    leases: FastMap<IncarnationId, Lease>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    address: SocketAddr,
    /// The largest count that the holder can hold now, running tasks included.
    count: u32,
    want: u32,
    expires_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LastBatch {
    serial: u64,
    expires_at: Instant,
}

impl GrantAllocator {
    /// Creates an allocator for the dispatcher at `own`, which is the home of no customer yet.
    pub fn new(own: SocketAddr, settings: GrantSettings) -> Self {
        Self {
            own,
            settings,
            live: Vec::new(),
            listed: Vec::new(),
            departed: FastMap::default(),
            shares: FastMap::default(),
            allocations: FastMap::default(),
            last_batches: FastMap::default(),
            recovery_until: None,
            last_input: None,
        }
    }

    /// Sets the view: `live` as [`crate::MemberTable::owners`], `listed` as [`crate::MemberTable::listed`].
    ///
    /// For a customer whose home this dispatcher becomes, the allocation starts in recovery until the grants of the
    /// previous home have expired. The allocation of a customer that has another home now is dropped; its holders
    /// report to the new home.
    pub fn set_view(&mut self, now: Instant, live: Vec<LiveOwner>, listed: Vec<SocketAddr>) {
        self.detect_own_pause(now);
        self.listed = listed;
        if live == self.live {
            return;
        }
        let returned = live
            .iter()
            .any(|owner| self.departed.remove(&owner.incarnation).is_some());
        for owner in &self.live {
            if !live.contains(owner) {
                self.departed.insert(owner.incarnation, now);
            }
        }
        self.live = live;
        self.recovery_until = Some(now + self.settings.reclaim_after());
        if returned {
            self.restart_recovery(now);
        }
        self.update_allocations();
    }

    /// Sets the customer's share in this data centre; 0 if the contract is retired. A lower share takes effect for each
    /// holder at its next renewal, so at the latest when its term ends.
    pub fn set_share(&mut self, now: Instant, customer: CustomerId, share: u32) {
        self.detect_own_pause(now);
        self.shares.insert(customer.clone(), share);
        self.update_allocation(customer);
    }

    /// Answers a batch of asks. Returns `None` for a batch that arrives after a later one of the same holder: its held
    /// counts are out of date, and the holder would ignore the answer.
    pub fn on_ask(&mut self, now: Instant, batch: &AskBatch) -> Option<ReplyBatch> {
        self.detect_own_pause(now);
        let last = self.last_batches.get(&batch.holder);
        if last.is_some_and(|last| batch.serial <= last.serial) {
            return None;
        }
        let expires_at = now + self.settings.reclaim_after();
        let serial = batch.serial;
        self.last_batches
            .insert(batch.holder, LastBatch { serial, expires_at });
        let mut replies = Vec::with_capacity(batch.asks.len());
        for ask in &batch.asks {
            replies.push(GrantReply {
                customer: ask.customer.clone(),
                decision: self.decide_grant(now, batch, ask),
            });
        }
        Some(ReplyBatch {
            serial,
            term: self.settings.term,
            replies,
        })
    }

    /// Removes expired leases. Must be called at least twice within [`GrantSettings::max_input_gap`].
    pub fn tick(&mut self, now: Instant) {
        self.detect_own_pause(now);
        self.last_batches.retain(|_, last| now < last.expires_at);
        for allocation in self.allocations.values_mut() {
            allocation.expire(now);
        }
        self.departed
            .retain(|_, left_at| now.saturating_duration_since(*left_at) < DEPARTED_RETENTION);
    }

    /// The sum of the leases on the customer's share; 0 if this dispatcher is not its home.
    pub fn leased(&self, customer: &CustomerId) -> u32 {
        let allocation = self.allocations.get(customer);
        allocation.map_or(0, |a| a.leases.values().map(|lease| lease.count).sum())
    }

    /// The customers whose home this dispatcher is.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.allocations.keys()
    }

    /// Restarts recovery if the gap since the last input is so long that other processes may have chosen another home,
    /// and that home may have granted. Without this, a home that resumes after a freeze would grant from its old
    /// leases, and the customer would run up to twice its share. Recovery for a term, as in a new home, is enough,
    /// since the other home grants nothing after it has learned that this one is back.
    fn detect_own_pause(&mut self, now: Instant) {
        let last = self.last_input.replace(now).unwrap_or(now);
        if now.saturating_duration_since(last) > self.settings.max_input_gap {
            self.restart_recovery(now);
        }
    }

    /// Restarts recovery for every customer: grants are only confirmed until it ends.
    ///
    /// Also used when a departed dispatcher returns: it may have been the home of the same customers on its side of a
    /// network partition, and its holders come back to this home one by one.
    fn restart_recovery(&mut self, now: Instant) {
        let recovery_until = now + self.settings.reclaim_after();
        self.recovery_until = Some(recovery_until);
        for allocation in self.allocations.values_mut() {
            allocation.recovery_until = recovery_until;
        }
    }

    fn update_allocations(&mut self) {
        let customers: Vec<CustomerId> = self.shares.keys().cloned().collect();
        for customer in customers {
            self.update_allocation(customer);
        }
    }

    fn update_allocation(&mut self, customer: CustomerId) {
        let home = rendezvous(&customer, self.live.iter().map(|owner| owner.address));
        let Some(recovery_until) = self.recovery_until.filter(|_| home == Some(self.own)) else {
            self.allocations.remove(&customer);
            return;
        };
        self.allocations
            .entry(customer)
            .or_insert_with(|| CustomerAllocation {
                recovery_until,
                leases: FastMap::default(),
            });
    }

    fn decide_grant(&mut self, now: Instant, batch: &AskBatch, ask: &GrantAsk) -> GrantDecision {
        let Some(mut allocation) = self.allocations.remove(&ask.customer) else {
            return GrantDecision::NotHome;
        };
        allocation.expire(now);
        let share = self.shares.get(&ask.customer).copied().unwrap_or_default();
        let grantable =
            self.grantable_share(share, &ask.customer, &allocation, batch.holder_address);
        let free = grantable.saturating_sub(allocation.leased_to_others(batch.holder));
        let fair = if now < allocation.recovery_until {
            let base = base_share(share, &ask.customer, batch.holder_address, &self.listed);
            ask.want.min(ask.held.max(base))
        } else {
            fair_target(grantable, &allocation.wants(batch.holder, ask))
        };
        let count = fair.min(free);
        allocation.record_lease(batch, ask, count, now + self.settings.reclaim_after());
        self.allocations.insert(ask.customer.clone(), allocation);
        GrantDecision::Granted { count, share }
    }

    /// The share minus the base shares of listed VMs that are neither live in this home's view nor hold a lease.
    ///
    /// If the network of the data centre is partitioned, each side has a home. Without this reservation both would
    /// grant the whole share for as long as the partition lasts. An entry cut off from its home uses its base share,
    /// and base shares add up to the share, so a home that reserves those of unseen VMs keeps the sum. A side with most
    /// of the VMs keeps at least 1: otherwise a customer with a concurrency of 1 would stall whenever the VM list lags
    /// behind the death of the one VM that has its base share. That costs at most one task above the share.
    fn grantable_share(
        &self,
        share: u32,
        customer: &CustomerId,
        allocation: &CustomerAllocation,
        asker: SocketAddr,
    ) -> u32 {
        let mut unseen: usize = 0;
        let mut reserved: u32 = 0;
        for address in &self.listed {
            let live = self.live.iter().any(|owner| owner.address == *address);
            if live || *address == asker || allocation.has_holder_at(*address) {
                continue;
            }
            unseen += 1;
            reserved += base_share(share, customer, *address, &self.listed);
        }
        let rest = share.saturating_sub(reserved);
        if unseen * 2 < self.listed.len() {
            return rest.max(share.min(1));
        }
        rest
    }
}

impl CustomerAllocation {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| now < lease.expires_at);
    }

    fn leased_to_others(&self, holder: IncarnationId) -> u32 {
        let mut sum: u32 = 0;
        for (other, lease) in &self.leases {
            if *other != holder {
                sum = sum.saturating_add(lease.count);
            }
        }
        sum
    }

    fn has_holder_at(&self, address: SocketAddr) -> bool {
        self.leases.values().any(|lease| lease.address == address)
    }

    /// The counts that all holders want, each with a number that breaks ties. The asker's is the first.
    fn wants(&self, holder: IncarnationId, ask: &GrantAsk) -> Vec<(u32, u64)> {
        let customer = ask.customer.stable_hash();
        let mut wants = vec![(ask.want, holder.0 ^ customer)];
        for (other, lease) in &self.leases {
            if *other != holder {
                wants.push((lease.want, other.0 ^ customer));
            }
        }
        wants
    }

    /// Records the largest count that the holder can hold from now on: the maximum of the count that it reports to
    /// hold, as the reply may be lost, its tasks in use, and the granted count. A part that the reply takes away
    /// becomes free only when a later ask confirms that the holder has given it up.
    fn record_lease(
        &mut self,
        batch: &AskBatch,
        ask: &GrantAsk,
        granted: u32,
        expires_at: Instant,
    ) {
        let count = granted.max(ask.held).max(ask.in_use);
        if count == 0 && ask.want == 0 {
            self.leases.remove(&batch.holder);
            return;
        }
        let lease = Lease {
            address: batch.holder_address,
            count,
            want: ask.want,
            expires_at,
        };
        self.leases.insert(batch.holder, lease);
    }
}
