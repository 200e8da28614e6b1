//! The part of each customer's concurrency that this entry may use.
//!
//! A customer's home is the dispatcher that grants parts of the customer's share of this data centre to the entries. An
//! entry that cannot reach the home uses a fixed part, its base share. The grant holder decides the limits; the
//! authority places tasks within them and counts the tasks in flight.

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

/// The limit of a customer that the authority was last given, and when it expires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UsableGrant {
    limit: u32,
    until: Option<Instant>,
}

/// The dispatcher that is treated as this VM's own until the VM list names the right one: the first one of this data
/// centre in the settings, or an unspecified address if there is none.
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
    /// Looks up this VM's own dispatcher, on which its base shares depend.
    pub(super) fn update_own_dispatcher(&mut self, vms: &[VmEntry]) {
        let own = vms
            .iter()
            .find(|vm| vm.role == VmRole::System && vm.id == self.settings.vm);
        let Some(own) = own.filter(|vm| vm.address != self.own_dispatcher) else {
            return;
        };
        self.own_dispatcher = own.address;
        self.grants.set_own_address(own.address);
        self.select_centre_view();
    }

    /// Stores a dispatcher's view of its data centre.
    pub(super) fn set_centre_view(&mut self, key: DispatcherKey, view: CentreView) {
        let Some(record) = self.dispatchers.get_mut(&key) else {
            return;
        };
        record.centre_view = Some(view);
        self.select_centre_view();
    }

    /// Selects the view of this VM's own dispatcher, or else that of the lowest address that has one. The choice does
    /// not depend on which dispatcher answered last: the views of several dispatchers differ for moments, and customers
    /// would change homes with each ping.
    /// If there is no view, the last one stays in use for grants and base shares.
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
        // There is one entry per VM, and the entries of all listed VMs place tasks on the same slots.
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
        // Grants of a customer whose home changed are requested from the new home at once.
        self.asks_due = true;
    }

    /// Sets a customer's share after a change of its contract or of the data centres' slots. A retired contract keeps
    /// its share, so that work accepted before can finish.
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
            self.authority.set_max_limit(customer, share);
        }
        self.sync_grant(self.clock.now(), customer);
    }

    /// Updates the grant holder with a customer's tasks in flight and waiting. To be called after a submission arrives;
    /// tasks that end are counted at the next tick.
    pub(super) fn update_demand(&mut self, now: Instant, customer: &CustomerId) {
        let (in_flight, waiting) = self.authority.usage(customer);
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.grants.set_demand(now, customer, in_flight, waiting);
        self.usable_grants.entry(customer.clone()).or_default();
        self.sync_grant(now, customer);
        self.asks_due |= waiting > 0;
    }

    /// Updates the authority's limits from the grants, only for customers with work or with a grant.
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

    /// Sends the holder's requests for grants. A request may give up a part of a grant, so the authority's limits are
    /// updated before it is sent.
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

    /// Number of tasks that the current grants let this entry run at once, over all customers.
    pub(super) fn grants_held(&self) -> u32 {
        let limits = self.usable_grants.values().map(|grant| grant.limit);
        limits.fold(0, u32::saturating_add)
    }

    fn send_batch(&mut self, ctx: &mut Context<Self>, batch: &AskBatch) {
        let key = self.dispatcher_keys.get(&batch.home);
        let record = key.and_then(|key| self.dispatchers.get(key));
        let Some(LinkState::Open(open)) = record.map(|record| &record.link) else {
            // The holder asks again, and falls back to its base share if the home stays unreachable.
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
                    Err(error) => log::debug!("entry: grant request to {home} failed: {error}"),
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

    /// Passes the holder's limit for a customer to the authority if it has changed.
    fn sync_grant(&mut self, now: Instant, customer: &CustomerId) {
        let grant = UsableGrant {
            limit: self.grants.limit(now, customer),
            until: self.grants.expires_at(now, customer),
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
