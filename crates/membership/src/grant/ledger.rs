//! The home dispatcher's side of grants.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{CustomerId, FastMap, IncarnationId};

use super::{
    base_share, fair_target, AskBatch, GrantAsk, GrantReply, GrantSettings, GrantVerdict,
    ReplyBatch,
};
use crate::{
    hashing::{rendezvous, StableHash},
    member::LiveOwner,
};

/// How long a dispatcher that fell silent is remembered, so that its return is known for one. Longer than the hour
/// for which parts of the system lose each other at times.
const LOST_KEPT: Duration = Duration::from_secs(2 * 3600);

/// What a dispatcher has leased of the customers whose home it is.
///
/// State: an account for each such customer and in it a debit for each entry with work of that customer. Nothing of it
/// is stored or handed over; a new home learns it from the asks.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    own: SocketAddr,
    settings: GrantSettings,
    live: Vec<LiveOwner>,
    listed: Vec<SocketAddr>,
    lost: FastMap<IncarnationId, Instant>,
    shares: FastMap<CustomerId, u32>,
    accounts: FastMap<CustomerId, Account>,
    serials: FastMap<IncarnationId, LastBatch>,
    /// When a customer first heard of now may have its first raise: earlier homes' grants have lapsed by then.
    settled_at: Option<Instant>,
    last_input: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Account {
    /// Until then grants are confirmed and not raised.
    settled_at: Instant,
    debits: FastMap<IncarnationId, Debit>,
}

#[derive(Clone, Copy, Debug)]
struct Debit {
    address: SocketAddr,
    /// The most that the holder can hold now, running tasks included.
    count: u32,
    want: u32,
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LastBatch {
    serial: u64,
    until: Instant,
}

impl GrantLedger {
    /// A ledger of the dispatcher at `own`, home of no customer yet.
    pub fn new(own: SocketAddr, settings: GrantSettings) -> Self {
        Self {
            own,
            settings,
            live: Vec::new(),
            listed: Vec::new(),
            lost: FastMap::default(),
            shares: FastMap::default(),
            accounts: FastMap::default(),
            serials: FastMap::default(),
            settled_at: None,
            last_input: None,
        }
    }

    /// Takes a new view: `live` as [`crate::MemberTable::owners`], `listed` as [`crate::MemberTable::listed`].
    ///
    /// A customer that this dispatcher becomes the home of waits out the grants of the home before. One that has
    /// another home now is dropped; its holders report to that one.
    pub fn set_view(&mut self, now: Instant, live: Vec<LiveOwner>, listed: Vec<SocketAddr>) {
        self.note_input(now);
        self.listed = listed;
        if live == self.live {
            return;
        }
        let returned = live
            .iter()
            .any(|owner| self.lost.remove(&owner.incarnation).is_some());
        for owner in &self.live {
            if !live.contains(owner) {
                self.lost.insert(owner.incarnation, now);
            }
        }
        self.live = live;
        self.settled_at = Some(now + self.settings.reclaim_after());
        if returned {
            self.unsettle(now);
        }
        self.choose_accounts();
    }

    /// Sets the customer's share in this data centre; 0 when the contract is retired. A lower one binds each holder
    /// at its next renewal, so at the latest when its term ends.
    pub fn set_share(&mut self, now: Instant, customer: CustomerId, share: u32) {
        self.note_input(now);
        self.shares.insert(customer.clone(), share);
        self.choose_account(customer);
    }

    /// Answers a batch of asks. `None` for a batch that came after a later one of the same holder: what it says it
    /// holds is out of date, and the holder would not obey the answer.
    pub fn on_ask(&mut self, now: Instant, batch: &AskBatch) -> Option<ReplyBatch> {
        self.note_input(now);
        let last = self.serials.get(&batch.holder);
        if last.is_some_and(|last| batch.serial <= last.serial) {
            return None;
        }
        let until = now + self.settings.reclaim_after();
        let serial = batch.serial;
        self.serials
            .insert(batch.holder, LastBatch { serial, until });
        let mut replies = Vec::with_capacity(batch.asks.len());
        for ask in &batch.asks {
            replies.push(GrantReply {
                customer: ask.customer.clone(),
                verdict: self.decide(now, batch, ask),
            });
        }
        Some(ReplyBatch {
            serial,
            term: self.settings.term,
            replies,
        })
    }

    /// Lets time pass. To be called at least twice within [`GrantSettings::frozen_after`].
    pub fn tick(&mut self, now: Instant) {
        self.note_input(now);
        self.serials.retain(|_, last| now < last.until);
        for account in self.accounts.values_mut() {
            account.expire(now);
        }
        self.lost
            .retain(|_, at| now.saturating_duration_since(*at) < LOST_KEPT);
    }

    /// What is debited of the customer's share; 0 where this is not its home.
    pub fn debited(&self, customer: &CustomerId) -> u32 {
        let account = self.accounts.get(customer);
        account.map_or(0, |a| a.debits.values().map(|d| d.count).sum())
    }

    /// The customers whose home this dispatcher is.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.accounts.keys()
    }

    /// Failure: this home was frozen for so long that others took another for the home, and that one granted. Symptom
    /// without this: on thawing it grants from its old debits, and the customer runs up to twice its share. A gap in
    /// its own inputs shows it; waiting out a term as a new home would is enough, since the other home's last grant
    /// is no later than the news that this one is back.
    fn note_input(&mut self, now: Instant) {
        let last = self.last_input.replace(now).unwrap_or(now);
        if now.saturating_duration_since(last) > self.settings.frozen_after {
            self.unsettle(now);
        }
    }

    /// Back to confirming only, for every account.
    ///
    /// Also when a lost dispatcher is heard again: it may have been home of the same customers on its side of a cut,
    /// and its holders come back to this home one by one.
    fn unsettle(&mut self, now: Instant) {
        let settled_at = now + self.settings.reclaim_after();
        self.settled_at = Some(settled_at);
        for account in self.accounts.values_mut() {
            account.settled_at = settled_at;
        }
    }

    fn choose_accounts(&mut self) {
        let customers: Vec<CustomerId> = self.shares.keys().cloned().collect();
        for customer in customers {
            self.choose_account(customer);
        }
    }

    fn choose_account(&mut self, customer: CustomerId) {
        let home = rendezvous(&customer, self.live.iter().map(|owner| owner.address));
        let Some(settled_at) = self.settled_at.filter(|_| home == Some(self.own)) else {
            self.accounts.remove(&customer);
            return;
        };
        self.accounts.entry(customer).or_insert_with(|| Account {
            settled_at,
            debits: FastMap::default(),
        });
    }

    fn decide(&mut self, now: Instant, batch: &AskBatch, ask: &GrantAsk) -> GrantVerdict {
        let Some(mut account) = self.accounts.remove(&ask.customer) else {
            return GrantVerdict::NotHome;
        };
        account.expire(now);
        let share = self.shares.get(&ask.customer).copied().unwrap_or_default();
        let whole = self.reachable_share(share, &ask.customer, &account, batch.holder_address);
        let free = whole.saturating_sub(account.debited_to_others(batch.holder));
        let fair = if now < account.settled_at {
            let base = base_share(share, &ask.customer, batch.holder_address, &self.listed);
            ask.want.min(ask.held.max(base))
        } else {
            fair_target(whole, &account.wants(batch.holder, ask))
        };
        let count = fair.min(free);
        account.debit(batch, ask, count, now + self.settings.reclaim_after());
        self.accounts.insert(ask.customer.clone(), account);
        GrantVerdict::Granted { count, share }
    }

    /// The share without the base shares of listed VMs that this home neither sees live nor has a debit for.
    ///
    /// Failure: the data centre's own network is cut in two, and each side has a home. Symptom without this: both
    /// grant the whole share, for as long as the cut lasts. An entry cut off from its home goes by its base share, and
    /// base shares add up to the share; so a home that leaves those of the VMs out of its sight alone keeps the sum.
    /// A side with most of the VMs keeps at least 1: else a customer with a concurrency of 1 stands still whenever the
    /// VM list lags behind the death of the one VM that has its base share. That is one task over at most.
    fn reachable_share(
        &self,
        share: u32,
        customer: &CustomerId,
        account: &Account,
        asker: SocketAddr,
    ) -> u32 {
        let mut unseen: usize = 0;
        let mut set_aside: u32 = 0;
        for address in &self.listed {
            let live = self.live.iter().any(|owner| owner.address == *address);
            if live || *address == asker || account.has_holder_at(*address) {
                continue;
            }
            unseen += 1;
            set_aside += base_share(share, customer, *address, &self.listed);
        }
        let rest = share.saturating_sub(set_aside);
        if unseen * 2 < self.listed.len() {
            return rest.max(share.min(1));
        }
        rest
    }
}

impl Account {
    fn expire(&mut self, now: Instant) {
        self.debits.retain(|_, debit| now < debit.until);
    }

    fn debited_to_others(&self, holder: IncarnationId) -> u32 {
        let mut sum: u32 = 0;
        for (other, debit) in &self.debits {
            if *other != holder {
                sum = sum.saturating_add(debit.count);
            }
        }
        sum
    }

    fn has_holder_at(&self, address: SocketAddr) -> bool {
        self.debits.values().any(|debit| debit.address == address)
    }

    /// The wants of all holders, the asker's first, each with a number that breaks ties.
    fn wants(&self, holder: IncarnationId, ask: &GrantAsk) -> Vec<(u32, u64)> {
        let customer = ask.customer.stable_hash();
        let mut wants = vec![(ask.want, holder.0 ^ customer)];
        for (other, debit) in &self.debits {
            if *other != holder {
                wants.push((debit.want, other.0 ^ customer));
            }
        }
        wants
    }

    /// Debits the most that the holder can hold from now on: what it says it holds, should the reply be lost, or what
    /// the reply grants. A part that the reply takes away is free only when a later ask shows that it was given up.
    fn debit(&mut self, batch: &AskBatch, ask: &GrantAsk, granted: u32, until: Instant) {
        let count = granted.max(ask.held).max(ask.in_use);
        if count == 0 && ask.want == 0 {
            self.debits.remove(&batch.holder);
            return;
        }
        let debit = Debit {
            address: batch.holder_address,
            count,
            want: ask.want,
            until,
        };
        self.debits.insert(batch.holder, debit);
    }
}
