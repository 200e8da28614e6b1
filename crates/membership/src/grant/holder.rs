//! The entry's side of grants.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{CustomerId, FastMap, IncarnationId};
use thiserror::Error;

use super::{base_share, AskBatch, GrantAsk, GrantDecision, GrantReply, GrantSettings, ReplyBatch};
use crate::hashing::rendezvous;

/// Bytes of a batch without asks, together with its answer, headers included.
const BATCH_BYTES: u32 = 568;

/// Bytes that one ask and its answer add to a batch, for a customer id of 18 bytes.
const ASK_BYTES: u32 = 96;

/// How far the byte budget may be overdrawn, so that all asks that follow a change of view go out at once.
const MAX_BUDGET_OVERDRAFT: Duration = Duration::from_secs(2);

/// The reason why a task may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartRefusal {
    /// The customer has no share in this data centre that this entry knows of.
    #[error("the customer has no share in this data centre")]
    NoShare,
    /// The grant is used up, or no grant is in force. An ask is pending or due.
    #[error("the customer's grant is used up or not in force")]
    NoGrant,
}

/// The grants of one entry and its demand, for each customer.
///
/// A customer without work, tasks or a grant costs no message. All customers of an entry with the same home share a
/// message.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    own: SocketAddr,
    incarnation: IncarnationId,
    settings: GrantSettings,
    live: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    customers: FastMap<CustomerId, CustomerState>,
    serial: u64,
    /// The time up to which the byte budget is spent.
    budget_spent_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct CustomerState {
    share: u32,
    home: Option<SocketAddr>,
    grant: Option<Grant>,
    in_use: u32,
    waiting: u32,
    /// The highest demand since the last ask.
    peak: u32,
    /// The time since which the grant has been larger than needed.
    excess_since: Option<Instant>,
    pending_ask: Option<PendingAsk>,
    /// The time since which asks have gone unanswered or no home was known.
    unanswered_since: Option<Instant>,
    ask_due: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    count: u32,
    /// The customer's share that the home based the grant on.
    share: u32,
    expires_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    serial: u64,
    sent_at: Instant,
    want: u32,
    held: u32,
}

impl GrantHolder {
    /// Creates a holder without grants. `own` is the peer address of the dispatcher on the same VM.
    pub fn new(own: SocketAddr, incarnation: IncarnationId, settings: GrantSettings) -> Self {
        Self {
            own,
            incarnation,
            settings,
            live: Vec::new(),
            listed: Vec::new(),
            customers: FastMap::default(),
            serial: 0,
            budget_spent_until: None,
        }
    }

    /// Sets the view: the addresses of [`crate::MemberTable::owners`] and of [`crate::MemberTable::listed`]. A customer
    /// whose home changed is asked for at the new home with the next tick; an answer of the old home is ignored.
    pub fn set_view(&mut self, now: Instant, live: Vec<SocketAddr>, listed: Vec<SocketAddr>) {
        self.live = live;
        self.listed = listed;
        for (customer, state) in &mut self.customers {
            let home = rendezvous(customer, self.live.iter().copied());
            if home == state.home {
                continue;
            }
            state.home = home;
            state.pending_ask = None;
            if state.is_active(now) {
                state.ask_due = Some(now);
            }
        }
    }

    /// Sets the customer's share in this data centre; 0 if the contract is retired. A lower share takes effect at once.
    pub fn set_share(&mut self, customer: &CustomerId, share: u32) {
        if let Some(state) = self.customers.get_mut(customer) {
            state.share = share;
            return;
        }
        let state = CustomerState {
            share,
            home: rendezvous(customer, self.live.iter().copied()),
            ..CustomerState::default()
        };
        self.customers.insert(customer.clone(), state);
    }

    /// Counts a task that starts now.
    ///
    /// # Errors
    ///
    /// Returns the reason why the task may not start. The term is checked at each start, so that a process that was
    /// paused notices an expired grant, whatever waits in its queues.
    pub fn start(&mut self, now: Instant, customer: &CustomerId) -> Result<(), StartRefusal> {
        let limit = self.limit(now, customer);
        let retry_interval = self.settings.retry_interval;
        let state = self
            .customers
            .get_mut(customer)
            .ok_or(StartRefusal::NoShare)?;
        if state.share == 0 {
            return Err(StartRefusal::NoShare);
        }
        if state.in_use >= limit {
            state.peak = state.peak.max(state.in_use + state.waiting.max(1));
            state.schedule_ask(now, retry_interval);
            return Err(StartRefusal::NoGrant);
        }
        state.in_use += 1;
        state.record_demand();
        Ok(())
    }

    /// Counts a task that ended, or that certainly did not start.
    pub fn finish(&mut self, customer: &CustomerId) {
        if let Some(state) = self.customers.get_mut(customer) {
            state.in_use = state.in_use.saturating_sub(1);
        }
    }

    /// Sets how many tasks of the customer run or may run, and how many wait for a grant, for callers that count both
    /// themselves.
    pub fn set_demand(&mut self, now: Instant, customer: &CustomerId, in_use: u32, waiting: u32) {
        if let Some(state) = self.customers.get_mut(customer) {
            state.in_use = in_use;
        }
        self.set_waiting(now, customer, waiting);
    }

    /// Sets how many tasks of the customer wait for a grant at this entry.
    pub fn set_waiting(&mut self, now: Instant, customer: &CustomerId, waiting: u32) {
        let limit = self.limit(now, customer);
        let retry_interval = self.settings.retry_interval;
        let Some(state) = self.customers.get_mut(customer) else {
            return;
        };
        state.waiting = waiting;
        state.record_demand();
        if state.demand() > limit {
            state.schedule_ask(now, retry_interval);
        }
    }

    /// The number of tasks of the customer that may be in use at `now`.
    pub fn limit(&self, now: Instant, customer: &CustomerId) -> u32 {
        let Some(state) = self.customers.get(customer) else {
            return 0;
        };
        if let Some(count) = state.granted(now) {
            return count;
        }
        if state.home_is_unresponsive(now, self.settings.base_share_after) {
            return base_share(state.share, customer, self.own, &self.listed);
        }
        0
    }

    /// The time at which the grant behind [`Self::limit`] expires; `None` for a limit that does not expire by itself.
    pub fn expires_at(&self, now: Instant, customer: &CustomerId) -> Option<Instant> {
        let grant = self.customers.get(customer)?.grant?;
        (now < grant.expires_at).then_some(grant.expires_at)
    }

    /// Replaces the address that determines this entry's base shares, once a more exact one is known than at the start.
    pub fn set_own_address(&mut self, own: SocketAddr) {
        self.own = own;
    }

    /// The number of tasks of the customer that run or may run.
    pub fn in_use(&self, customer: &CustomerId) -> u32 {
        self.customers.get(customer).map_or(0, |h| h.in_use)
    }

    /// Returns the batches to send at `now`, the longest due first.
    ///
    /// `now` must be read before anything is sent, as the holder counts its terms from it.
    pub fn tick(&mut self, now: Instant) -> Vec<AskBatch> {
        let mut batches = Vec::new();
        for home in self.homes_due(now) {
            if self
                .budget_spent_until
                .is_some_and(|until| until > now + MAX_BUDGET_OVERDRAFT)
            {
                break;
            }
            let batch = self.build_batch(now, home);
            self.charge_budget(now, batch.asks.len() as u32);
            batches.push(batch);
        }
        batches
    }

    /// Applies a home's answer. An answer to any but the latest ask about a customer is ignored; the home relies on
    /// that.
    pub fn on_reply(&mut self, now: Instant, batch: &ReplyBatch) {
        for reply in &batch.replies {
            let Some(state) = self.customers.get_mut(&reply.customer) else {
                continue;
            };
            let Some(pending_ask) = state
                .pending_ask
                .filter(|pending_ask| pending_ask.serial == batch.serial)
            else {
                continue;
            };
            state.pending_ask = None;
            state.apply_reply(now, pending_ask, reply, batch.term, &self.settings);
        }
    }

    /// The homes with a customer whose ask is due, the longest due first.
    fn homes_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due: BTreeMap<SocketAddr, Instant> = BTreeMap::new();
        for state in self.customers.values_mut() {
            state.check_excess(now, &self.settings);
            let Some(ask_due) = state.ask_due.filter(|due| *due <= now) else {
                continue;
            };
            if state.awaits_reply(now, &self.settings) {
                continue;
            }
            if !state.is_active(now) {
                state.clear();
                continue;
            }
            let Some(home) = state.home else {
                state.unanswered_since.get_or_insert(now);
                continue;
            };
            let earliest = due.entry(home).or_insert(ask_due);
            *earliest = ask_due.min(*earliest);
        }
        let mut homes: Vec<(Instant, SocketAddr)> = due
            .into_iter()
            .map(|(home, ask_due)| (ask_due, home))
            .collect();
        homes.sort_unstable();
        homes.into_iter().map(|(_, home)| home).collect()
    }

    /// Charges the byte budget for a batch with this number of asks.
    fn charge_budget(&mut self, now: Instant, asks: u32) {
        let bytes = BATCH_BYTES + ASK_BYTES * asks;
        let spent = self.budget_spent_until.map_or(now, |until| until.max(now));
        let time = Duration::from_secs(1) * bytes / self.settings.max_bytes_per_second.max(1);
        self.budget_spent_until = Some(spent + time);
    }

    /// Builds one batch with every active customer of the home, whether its ask is due or not: an additional ask costs
    /// some bytes, a separate message later costs several times as many. Customers whose answer may still be on its way
    /// are left out, as that answer would then be ignored.
    fn build_batch(&mut self, now: Instant, home: SocketAddr) -> AskBatch {
        self.serial += 1;
        let mut asks = Vec::new();
        for (customer, state) in &mut self.customers {
            if state.home != Some(home) || !state.is_active(now) {
                continue;
            }
            if state.awaits_reply(now, &self.settings) {
                continue;
            }
            let base = base_share(state.share, customer, self.own, &self.listed);
            let (want, held) = state.prepare_ask(now, self.serial, base, &self.settings);
            asks.push(GrantAsk {
                customer: customer.clone(),
                want,
                held,
                in_use: state.in_use,
            });
        }
        asks.sort_unstable_by(|a, b| a.customer.cmp(&b.customer));
        AskBatch {
            home,
            holder: self.incarnation,
            holder_address: self.own,
            serial: self.serial,
            asks,
        }
    }
}

impl CustomerState {
    fn demand(&self) -> u32 {
        self.in_use.saturating_add(self.waiting)
    }

    fn is_active(&self, now: Instant) -> bool {
        self.demand() > 0 || self.peak > 0 || self.granted(now).is_some_and(|count| count > 0)
    }

    fn awaits_reply(&self, now: Instant, settings: &GrantSettings) -> bool {
        let limit = settings.retry_interval;
        self.pending_ask
            .is_some_and(|pending_ask| now < pending_ask.sent_at + limit)
    }

    /// The grant in force, scaled down if the share has fallen since, so that the sum over all holders falls with the
    /// share.
    fn granted(&self, now: Instant) -> Option<u32> {
        let grant = self.grant.filter(|grant| now < grant.expires_at)?;
        if self.share >= grant.share {
            return Some(grant.count);
        }
        let scaled = u64::from(grant.count) * u64::from(self.share) / u64::from(grant.share);
        Some(scaled as u32)
    }

    fn home_is_unresponsive(&self, now: Instant, base_share_after: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= base_share_after)
    }

    fn record_demand(&mut self) {
        let demand = self.demand();
        self.peak = self.peak.max(demand);
        let grant = self.grant.map_or(0, |grant| grant.count);
        if demand.saturating_mul(2) >= grant {
            self.excess_since = None;
        }
    }

    /// Makes an ask due if less than half of the grant has been used for a while, which returns the rest so that other
    /// entries need not wait for the renewal. A threshold of one half absorbs the fluctuation of short tasks without a
    /// message for each.
    fn check_excess(&mut self, now: Instant, settings: &GrantSettings) {
        let granted = self.granted(now).unwrap_or_default();
        if self.demand().saturating_mul(2) >= granted {
            self.excess_since = None;
            return;
        }
        let since = *self.excess_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= settings.return_unused_after {
            self.peak = self.demand();
            self.ask_due = Some(self.ask_due.map_or(now, |due| due.min(now)));
        }
    }

    /// Makes an ask due now, or one retry interval after the pending one.
    fn schedule_ask(&mut self, now: Instant, retry_interval: Duration) {
        let soonest = match self.pending_ask {
            Some(pending_ask) => now.max(pending_ask.sent_at + retry_interval),
            // The answer to the last ask has already set the time of the next.
            None if self.ask_due.is_some_and(|due| due <= now + retry_interval) => return,
            None => now,
        };
        self.ask_due = Some(self.ask_due.map_or(soonest, |due| due.min(soonest)));
    }

    /// Reduces the grant to what is needed, then returns the counts to ask for and to report as held.
    fn prepare_ask(
        &mut self,
        now: Instant,
        serial: u64,
        base: u32,
        settings: &GrantSettings,
    ) -> (u32, u32) {
        let mut want = with_headroom(self.peak.max(self.demand()), settings.headroom_percent);
        if want > 0 && self.granted(now).is_none_or(|count| count == 0) {
            want = want.max(base.min(settings.min_initial_ask));
        }
        let held = match self.granted(now) {
            Some(granted) => granted.min(want),
            None if self.home_is_unresponsive(now, settings.base_share_after) => base,
            None => 0,
        };
        if let Some(grant) = self.grant.as_mut().filter(|grant| now < grant.expires_at) {
            grant.count = held;
            grant.share = grant.share.min(self.share);
        }
        self.peak = self.demand();
        self.excess_since = None;
        self.pending_ask = Some(PendingAsk {
            serial,
            sent_at: now,
            want,
            held,
        });
        self.unanswered_since.get_or_insert(now);
        self.ask_due = Some(now + settings.retry_interval);
        (want, held)
    }

    fn apply_reply(
        &mut self,
        now: Instant,
        pending_ask: PendingAsk,
        reply: &GrantReply,
        term: Duration,
        settings: &GrantSettings,
    ) {
        let GrantDecision::Granted { count, share } = reply.decision else {
            return;
        };
        self.unanswered_since = None;
        self.grant = Some(Grant {
            count,
            share,
            expires_at: pending_ask.sent_at + term,
        });
        let next = if count < pending_ask.held {
            // The home frees the part that it took back only when an ask confirms that the holder has given it up, and
            // other entries wait for that part.
            now
        } else if self.demand() > count && count >= pending_ask.want {
            // A burst arrived while the ask was pending. The home granted all that was asked for and may have more, so
            // waiting would delay the burst and help no other entry. The cost is one ask per round trip.
            now
        } else if self.demand() > count || (count == 0 && self.peak > 0) {
            now + settings.retry_interval
        } else {
            // With a shorter term in the settings, a renewal after the end of the term would be useless.
            pending_ask.sent_at + settings.renewal_interval.min(term * 2 / 3)
        };
        self.ask_due = Some(next);
    }

    fn clear(&mut self) {
        self.ask_due = None;
        self.pending_ask = None;
        self.unanswered_since = None;
        self.grant = None;
    }
}

/// The demand plus headroom, so that the next task needs no round trip; 0 if there is no demand.
fn with_headroom(demand: u32, percent: u32) -> u32 {
    if demand == 0 {
        return 0;
    }
    let more = (u64::from(demand) * u64::from(percent) / 100).max(1);
    demand.saturating_add(more as u32)
}
