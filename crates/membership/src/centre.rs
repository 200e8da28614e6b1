//! The state of a data centre that its dispatchers report to entries.

use std::net::SocketAddr;

use model::DataCentreId;

use crate::split_shares;

/// A data centre as one of its dispatchers sees it. Entries have no member table and rely on this view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CentreView {
    /// Never 0. Increases with each change during the life of the dispatcher.
    pub revision: u64,
    /// The addresses of [`crate::MemberTable::owners`].
    pub owners: Vec<SocketAddr>,
    /// The addresses of [`crate::MemberTable::listed`].
    pub listed: Vec<SocketAddr>,
    /// The slots by which concurrency is split over data centres, see [`crate::split_shares`].
    pub slots: Vec<(DataCentreId, u32)>,
}

impl CentreView {
    /// Replaces the view. The revision increases only if something differs, so that no entry is notified needlessly.
    pub fn update(
        &mut self,
        owners: Vec<SocketAddr>,
        listed: Vec<SocketAddr>,
        slots: Vec<(DataCentreId, u32)>,
    ) {
        let same = self.owners == owners && self.listed == listed && self.slots == slots;
        if same && self.revision > 0 {
            return;
        }
        *self = Self {
            revision: self.revision + 1,
            owners,
            listed,
            slots,
        };
    }

    /// The part of `concurrency` that belongs to a data centre; 0 for one that the view does not contain.
    pub fn share_of(&self, data_centre: &DataCentreId, concurrency: u32) -> u32 {
        let shares = split_shares(concurrency, self.slots.iter().cloned());
        let share = shares.iter().find(|(id, _)| id == data_centre);
        share.map_or(0, |(_, share)| *share)
    }
}
