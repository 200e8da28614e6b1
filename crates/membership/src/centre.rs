//! What a dispatcher tells entries about its data centre.

use std::net::SocketAddr;

use model::DataCentreId;

use crate::split_shares;

/// A data centre as one of its dispatchers sees it. Entries have no member table and go by this.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CentreView {
    /// Never 0; goes up with each change in the life of the dispatcher.
    pub revision: u64,
    /// The addresses of [`crate::MemberTable::owners`].
    pub owners: Vec<SocketAddr>,
    /// As [`crate::MemberTable::listed`].
    pub listed: Vec<SocketAddr>,
    /// What each data centre counts for when concurrency is split: see [`crate::split_shares`].
    pub slots: Vec<(DataCentreId, u32)>,
}

impl CentreView {
    /// Takes another view; the revision goes up only when something differs, so that nobody is told in vain.
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

    /// The share of a data centre in a concurrency.
    pub fn share_of(&self, data_centre: &DataCentreId, concurrency: u32) -> u32 {
        let shares = split_shares(concurrency, self.slots.iter().cloned());
        let share = shares.iter().find(|(id, _)| id == data_centre);
        share.map_or(0, |(_, share)| *share)
    }
}
