//! Grants that this dispatcher gives as the home of customers, and the view of the data centre sent to entries.
//!
//! A customer's home is the one dispatcher of a data centre that grants parts of the customer's share there to the
//! entries.

use std::collections::BTreeMap;

use actix::{Context, Handler};
use model::{CustomerId, DataCentreId, EndpointState, VmEntry, VmRole};

use super::{DispatcherControl, GrantRequest};

impl DispatcherControl {
    /// Updates the data-centre view from the current members and VM list. Nothing is sent or granted before the list
    /// has been read: without it every share would be 0, and such grants would stop the customers. An entry whose home
    /// does not answer uses its base share.
    pub(super) fn update_centre_view(&mut self) {
        if self.vms.is_empty() {
            return;
        }
        let owners = self.members.owners();
        let listed = self.members.listed();
        let slots = count_slots(&self.vms);
        let resized = slots != self.centre_view.slots;
        let addresses = owners.iter().map(|owner| owner.address).collect();
        self.centre_view.update(addresses, listed.clone(), slots);
        self.grants.set_view(self.clock.now(), owners, listed);
        if resized {
            let customers: Vec<_> = self
                .contract_view
                .rows()
                .map(|row| row.customer.clone())
                .collect();
            self.update_shares(&customers);
        }
    }

    /// Sets the shares of customers after a change of their contracts or of the data centres' slots. A retired contract
    /// keeps its share, so that work accepted before can finish.
    pub(super) fn update_shares(&mut self, customers: &[CustomerId]) {
        let now = self.clock.now();
        for customer in customers {
            let Some((_, contract)) = self.contract_view.get(customer) else {
                continue;
            };
            let share = self
                .centre_view
                .share_of(&self.settings.data_centre, contract.concurrency);
            self.grants.set_share(now, customer.clone(), share);
        }
    }
}

impl Handler<GrantRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: GrantRequest, _: &mut Context<Self>) {
        let reply = match self.centre_view.revision {
            0 => None,
            _ => self.grants.on_ask(self.clock.now(), &request.batch),
        };
        let _gone = request.reply.send(Ok(reply));
    }
}

/// Returns the weight of each data centre: the slots of its endpoints. A data centre with system VMs but no endpoint
/// counts 1, since its entries still have callers, whose tasks go to other data centres. Leaving VMs do not count.
fn count_slots(vms: &[VmEntry]) -> Vec<(DataCentreId, u32)> {
    let mut slots: BTreeMap<DataCentreId, u32> = BTreeMap::new();
    for vm in vms {
        if vm.state == EndpointState::Leaving {
            continue;
        }
        let counted = slots.entry(vm.data_centre.clone()).or_default();
        if vm.role == VmRole::Endpoint {
            *counted = counted.saturating_add(vm.slots);
        }
    }
    let mut counts: Vec<_> = slots.into_iter().collect();
    for (_, count) in &mut counts {
        *count = (*count).max(1);
    }
    counts
}
