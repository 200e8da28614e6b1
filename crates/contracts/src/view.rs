//! The local copy of all contracts in this process.

use std::collections::BTreeMap;

use model::{Contract, ContractVersion, CustomerId, FastMap};

use crate::{ContractRow, ContractUpdate, HeadNumber};

/// The newest known version of each contract. Versions and the head never decrease: older rows and heads are ignored,
/// whatever their source and order of arrival.
#[derive(Clone, Debug, Default)]
pub struct ContractView {
    rows: FastMap<CustomerId, ContractRow>,
    /// The customers by the number of their newest change, so that the cost of an update for a peer depends on the
    /// number of changes and not on the number of contracts.
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

    /// Every known row, in unspecified order.
    pub fn rows(&self) -> impl Iterator<Item = &ContractRow> {
        self.rows.values()
    }

    /// The number of the change up to which all changes are known.
    pub fn head(&self) -> HeadNumber {
        self.head
    }

    /// The head, or `None` until a complete set of contracts has been read from the platform or a peer.
    pub fn loaded_head(&self) -> Option<HeadNumber> {
        self.loaded.then_some(self.head)
    }

    /// Whether contracts may be served: a complete set has been read that is at least as new as every head that peers
    /// had reported until then.
    ///
    /// Without this check, a process that starts while only outdated contracts are reachable would serve limits that
    /// its peers have already replaced, and an accepted change would seem to revert. A view that is ready stays ready:
    /// a change that a peer learns of first takes effect here within the poll interval, and refusing all work until
    /// then would do more harm.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Records the head that a peer reported.
    pub fn note_peer_head(&mut self, head: HeadNumber) {
        self.max_peer_head = self.max_peer_head.max(head);
    }

    /// Applies an update and returns the customers whose contract changed.
    pub fn apply(&mut self, update: ContractUpdate) -> Vec<CustomerId> {
        let mut changed = Vec::new();
        for row in update.rows {
            let customer = row.customer.clone();
            if self.apply_row(row) {
                changed.push(customer);
            }
        }
        // An update that starts after this view's head leaves a gap. Its rows are valid, but the head must not skip
        // the changes in the gap, or they would never be requested.
        let complete = update.since <= self.head;
        if complete {
            self.loaded = true;
            self.head = self.head.max(update.head);
        }
        self.ready |= self.loaded && self.head >= self.max_peer_head;
        changed
    }

    /// The update that brings a view with this head up to date.
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
