//! What this entry may use of each customer's concurrency.
//!
//! The holder of grants decides; the authority places by what it allows, and keeps count of what is in use.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use actix::{ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use authority::DispatcherKey;
use membership::{AskBatch, CentreView, ReplyBatch};
use model::{CustomerId, VmEntry, VmRole};
use settings::EntrySettings;
use telemetry::CounterKind;

use super::{EntryControl, LinkState};

/// What the authority was last told of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UsableGrant {
    limit: u32,
    until: Option<Instant>,
}

/// The dispatcher that counts as this VM's own until the VM list says which it is.
pub(super) fn initial_own_dispatcher(settings: &EntrySettings) -> SocketAddr {
    let mut own_centre = settings
        .dispatchers
        .iter()
        .filter(|peer| peer.data_centre == settings.data_centre);
    own_centre.next().map_or_else(
        || SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        |peer| peer.address,
    )
}

impl EntryControl {
    /// Looks up this VM's own dispatcher, by which its base shares are reckoned.
    pub(super) fn update_own_dispatcher(&mut self, vms: &[VmEntry]) {
        let own = vms
            .iter()
            .find(|vm| vm.role == VmRole::System && vm.id == self.settings.vm);
        let Some(own) = own.filter(|vm| vm.address != self.own_dispatcher) else {
            return;
        };
        self.own_dispatcher = own.address;
        self.grants.set_own(own.address);
        self.select_centre_view();
    }

    /// A dispatcher has told how it sees its data centre.
    pub(super) fn set_centre_view(&mut self, key: DispatcherKey, view: CentreView) {
        let Some(record) = self.dispatchers.get_mut(&key) else {
            return;
        };
        record.centre_view = Some(view);
        self.select_centre_view();
    }

    /// Goes by the view of this VM's own dispatcher, else by that of the lowest address with one: views of several
    /// dispatchers differ for moments, and customers would change homes with each ping. Without any, the last one
    /// stays; grants and base shares go on by it.
    pub(super) fn select_centre_view(&mut self) {
        let mut best: Option<(bool, SocketAddr, &CentreView)> = None;
        for record in self.dispatchers.values() {
            if record.data_centre != self.settings.data_centre {
                continue;
            }
            let Some(view) = &record.centre_view else {
                continue;
            };
            let rank = (record.address != self.own_dispatcher, record.address);
            if best.is_none_or(|(other, address, _)| rank < (other, address)) {
                best = Some((rank.0, rank.1, view));
            }
        }
        let Some(view) = best.map(|(_, _, view)| view.clone()) else {
            return;
        };
        let resized = view.slots != self.centre_view.slots;
        let now = self.clock.now();
        self.grants
            .set_view(now, view.owners.clone(), view.listed.clone());
        // One entry a VM, and the VMs that are listed place on the same slots.
        self.authority
            .set_entries(u32::try_from(view.listed.len()).unwrap_or(u32::MAX));
        self.centre_view = view;
        if resized {
            let customers: Vec<_> = self
                .contracts
                .rows()
                .map(|row| row.customer.clone())
                .collect();
            for customer in customers {
                self.set_share(&customer);
            }
        }
        // A customer whose home changed is asked for there at once.
        self.asks_due = true;
    }

    /// Sets a customer's share after its contract or the data centres have changed. A retired contract keeps its
    /// share: what was accepted before runs to its end.
    pub(super) fn set_share(&mut self, customer: &CustomerId) {
        let concurrency = self
            .contracts
            .get(customer)
            .map_or(0, |(_, contract)| contract.concurrency);
        let share = self
            .centre_view
            .share_of(&self.settings.data_centre, concurrency);
        self.grants.set_share(customer, share);
        if self.centre_view.revision != 0 {
            self.authority.set_share(customer, share);
        }
        self.sync_grant(self.clock.now(), customer);
    }

    /// Tells the holder how much of a customer is in use and waits. To be called when a submission has come; what
    /// ends is seen at the next tick.
    pub(super) fn update_demand(&mut self, now: Instant, customer: &CustomerId) {
        let (in_flight, waiting) = self.authority.usage(customer);
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.grants.set_demand(now, customer, in_flight, waiting);
        self.usable_grants.entry(customer.clone()).or_default();
        self.sync_grant(now, customer);
        self.asks_due |= waiting > 0;
    }

    /// Keeps the authority's limits in step with the grants. Only customers with work or with a grant are looked at.
    pub(super) fn tick_grants(&mut self, ctx: &mut Context<Self>, now: Instant) {
        let customers: Vec<CustomerId> = self.usable_grants.keys().cloned().collect();
        for customer in customers {
            self.update_demand(now, &customer);
            let idle = self.authority.usage(&customer) == (0, 0);
            if idle && self.grants.limit(now, &customer) == 0 {
                self.usable_grants.remove(&customer);
            }
        }
        self.send_asks(ctx);
    }

    /// Sends what the holder wants to ask. What it gives up with that is no longer used from here on.
    pub(super) fn send_asks(&mut self, ctx: &mut Context<Self>) {
        self.asks_due = false;
        let now = self.clock.now();
        for batch in self.grants.tick(now) {
            for ask in &batch.asks {
                self.sync_grant(now, &ask.customer);
            }
            self.send_batch(ctx, &batch);
        }
    }

    /// Tasks that the grants in force let this entry run at once, over all customers.
    pub(super) fn grants_held(&self) -> u32 {
        let limits = self.usable_grants.values().map(|grant| grant.limit);
        limits.fold(0, u32::saturating_add)
    }

    fn send_batch(&mut self, ctx: &mut Context<Self>, batch: &AskBatch) {
        let key = self.dispatcher_keys.get(&batch.home);
        let record = key.and_then(|key| self.dispatchers.get(key));
        let Some(LinkState::Open(open)) = record.map(|record| &record.link) else {
            // The holder asks again, and falls back to its base share when the home stays out of reach.
            return;
        };
        let reply = open.link.client().grant(batch);
        self.events.metrics().count(CounterKind::GrantAsks, 1);
        let home = batch.home;
        ctx.spawn(
            reply
                .into_actor(self)
                .map(move |reply, control, ctx| match reply {
                    Ok(Some(reply)) => control.apply_grants(ctx, &reply),
                    Ok(None) => {}
                    Err(error) => log::debug!("entry: no grants from {home}: {error}"),
                }),
        );
    }

    fn apply_grants(&mut self, ctx: &mut Context<Self>, batch: &ReplyBatch) {
        let now = self.clock.now();
        self.grants.on_reply(now, batch);
        for reply in &batch.replies {
            self.sync_grant(now, &reply.customer);
        }
        self.flush(ctx);
    }

    /// Passes on what the holder allows, if it is something else than before.
    fn sync_grant(&mut self, now: Instant, customer: &CustomerId) {
        let grant = UsableGrant {
            limit: self.grants.limit(now, customer),
            until: self.grants.lapses_at(now, customer),
        };
        let before = self
            .usable_grants
            .get(customer)
            .copied()
            .unwrap_or_default();
        if grant == before {
            return;
        }
        self.usable_grants.insert(customer.clone(), grant);
        self.authority
            .set_limit_until(now, customer, grant.limit, grant.until);
    }
}
