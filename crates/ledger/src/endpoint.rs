//! The endpoints that this dispatcher owns, or owned while a task still runs there.

use std::{collections::BTreeMap, time::Instant};

use decisions::{EndpointHealth, HealthSettings};
use model::{EndpointAddress, EndpointId, EndpointState, FastMap, FastSet};

#[derive(Clone, Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) address: EndpointAddress,
    pub(crate) running: u32,
    /// The number of slots that previous owners still use.
    pub(crate) previous_owner_slots: u32,
    pub(crate) state: EndpointState,
    pub(crate) owned: bool,
    /// The health derived from the ends of its tasks.
    pub(crate) health: EndpointHealth,
    /// The limit that the health allowed at the last refresh; at most the endpoint's slots.
    pub(crate) limit: u32,
}

impl EndpointRecord {
    pub(crate) fn new(
        address: EndpointAddress,
        state: EndpointState,
        health: &HealthSettings,
    ) -> Self {
        let health = EndpointHealth::new(health.clone());
        Self {
            limit: address.slots,
            address,
            running: 0,
            previous_owner_slots: 0,
            state,
            owned: true,
            health,
        }
    }

    pub(crate) fn refresh_limit(&mut self, now: Instant) {
        self.limit = self.health.capacity(now, self.address.slots);
    }

    pub(crate) fn free_slots(&self) -> u32 {
        if !self.owned || self.state == EndpointState::Leaving {
            return 0;
        }
        self.limit
            .saturating_sub(self.running + self.previous_owner_slots)
    }
}

/// Endpoints with an index by free slots, so that the search for the one with the most free slots does not grow with
/// the number of endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: FastMap<EndpointId, EndpointRecord>,
    by_free_slots: BTreeMap<u32, FastSet<EndpointId>>,
    /// The sum of [`usable_slots`] over all endpoints.
    limit: u32,
    /// The sum of [`used_slots`] over all endpoints.
    running: u32,
}

impl EndpointTable {
    pub(crate) fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.get(id)
    }

    pub(crate) fn ids(&self) -> Vec<EndpointId> {
        self.endpoints.keys().cloned().collect()
    }

    /// The slots that may be used now, and the slots in use, over all endpoints.
    pub(crate) fn totals(&self) -> (u32, u32) {
        (self.limit, self.running)
    }

    /// Changes an endpoint, if it is known, and updates the index and the totals. Removes it if it is no longer owned
    /// and runs nothing.
    pub(crate) fn update(&mut self, id: &EndpointId, change: impl FnOnce(&mut EndpointRecord)) {
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        let (free, limit, used) = (
            record.free_slots(),
            usable_slots(record),
            used_slots(record),
        );
        change(record);
        self.limit = self.limit - limit + usable_slots(record);
        self.running = self.running - used + self::used_slots(record);
        let (after, gone) = (record.free_slots(), !record.owned && record.running == 0);
        self.reindex(id, free, after);
        if gone {
            self.endpoints.remove(id);
        }
    }

    pub(crate) fn insert(&mut self, record: EndpointRecord) {
        let id = record.address.id.clone();
        if self.endpoints.contains_key(&id) {
            return;
        }
        let free = record.free_slots();
        self.limit += usable_slots(&record);
        self.running += used_slots(&record);
        self.endpoints.insert(id.clone(), record);
        self.reindex(&id, 0, free);
    }

    /// Returns the endpoint with the most free slots, the first by id among equals.
    pub(crate) fn with_most_free_slots(&self) -> Option<EndpointId> {
        let (_, ids) = self.by_free_slots.last_key_value()?;
        ids.iter().min().cloned()
    }

    fn reindex(&mut self, id: &EndpointId, before: u32, after: u32) {
        if before == after {
            return;
        }
        if let Some(ids) = self.by_free_slots.get_mut(&before) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_free_slots.remove(&before);
            }
        }
        if after > 0 {
            self.by_free_slots
                .entry(after)
                .or_default()
                .insert(id.clone());
        }
    }
}

/// The slots in use. Slots of previous owners count only if this dispatcher owns the endpoint.
fn used_slots(record: &EndpointRecord) -> u32 {
    match record.owned {
        true => record.running + record.previous_owner_slots,
        false => record.running,
    }
}

/// The slots that may be used, whether they are free or not.
fn usable_slots(record: &EndpointRecord) -> u32 {
    if !record.owned || record.state == EndpointState::Leaving {
        return 0;
    }
    record.limit
}
