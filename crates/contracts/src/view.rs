//! What this process knows of the contracts.

use std::collections::BTreeMap;

use model::{Contract, ContractVersion, CustomerId, FastMap};

use crate::{ContractRow, ContractUpdate, HeadNumber};

/// The newest known version of each contract. It never goes back: an older row and an older head are passed over,
/// wherever they come from and in whatever order.
#[derive(Clone, Debug, Default)]
pub struct ContractView {
    rows: FastMap<CustomerId, ContractRow>,
    /// The customers by the number of their newest change, so that an update for a peer costs what changed and not
    /// what is there.
    by_head: BTreeMap<HeadNumber, CustomerId>,
    head: HeadNumber,
    max_peer_head: HeadNumber,
    loaded: bool,
    ready: bool,
}

impl ContractView {
    /// The newest known version of a customer's contract.
    pub fn get(&self, customer: &CustomerId) -> Option<(ContractVersion, &Contract)> {
        let row = self.rows.get(customer)?;
        Some((row.version, &row.contract))
    }

    /// Every known row, in no order.
    pub fn rows(&self) -> impl Iterator<Item = &ContractRow> {
        self.rows.values()
    }

    /// The head up to which every change is known.
    pub fn head(&self) -> HeadNumber {
        self.head
    }

    /// The head, once a complete set of contracts was read from the platform or a peer.
    pub fn loaded_head(&self) -> Option<HeadNumber> {
        self.loaded.then_some(self.head)
    }

    /// Whether contracts may be served: a complete set was read that is at least as new as any head that a peer had
    /// named until then.
    ///
    /// Without it a process that starts while it can reach only an old answer would serve limits that its peers
    /// have already replaced, so that an accepted change seems to revert. Once ready it stays so: a change that a
    /// peer hears of first takes hold here within the poll interval, and refusing all work meanwhile would do harm.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Notes the head that a peer named.
    pub fn note_peer_head(&mut self, head: HeadNumber) {
        self.max_peer_head = self.max_peer_head.max(head);
    }

    /// Takes in an update and gives the customers whose contract changed by it.
    pub fn apply(&mut self, update: ContractUpdate) -> Vec<CustomerId> {
        let mut changed = Vec::new();
        for row in update.rows {
            let customer = row.customer.clone();
            if self.apply_row(row) {
                changed.push(customer);
            }
        }
        // An update for a view that is further on leaves a gap behind this one's head: its rows are good, but the
        // head may not skip the changes in between, or they would never be asked for.
        let complete = update.since <= self.head;
        if complete {
            self.loaded = true;
            self.head = self.head.max(update.head);
        }
        self.ready |= self.loaded && self.head >= self.max_peer_head;
        changed
    }

    /// Everything that a view with this head does not know yet.
    pub fn newer_than(&self, head: HeadNumber) -> ContractUpdate {
        let mut rows = Vec::new();
        for (_, customer) in self.by_head.range(head.next()..) {
            rows.extend(self.rows.get(customer).cloned());
        }
        ContractUpdate {
            since: head,
            head: self.head,
            rows,
        }
    }

    fn apply_row(&mut self, row: ContractRow) -> bool {
        if let Some(known) = self.rows.get(&row.customer) {
            if known.version >= row.version {
                return false;
            }
            self.by_head.remove(&known.head);
        }
        self.by_head.insert(row.head, row.customer.clone());
        self.rows.insert(row.customer.clone(), row);
        true
    }
}
