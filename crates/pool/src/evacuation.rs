//! The evacuated data centres, whose workers get no new runs until the evacuation ends.
//!
//! A data centre is evacuated while it has a row in the store. A reading of the rows only replaces what is known up to
//! its version: a store that has lost its history may show old rows for some seconds, and if an evacuation seemed to be
//! over for that reason, tasks would start on machines that an operator is about to remove.

use model::{DataCentreId, FastMap};

/// The changes found in a reading of all rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centres whose evacuation began.
    pub begun: Vec<DataCentreId>,
    /// Data centres whose evacuation ended.
    pub ended: Vec<DataCentreId>,
}

/// The evacuated data centres known to this process. While the store cannot be read, the last known state stays.
#[derive(Clone, Debug, Default)]
pub struct EvacuationSet {
    /// The evacuated data centres and the versions of their rows.
    evacuated: FastMap<DataCentreId, u64>,
}

impl EvacuationSet {
    /// Whether the data centre is evacuated, so that nothing may be started there.
    pub fn contains(&self, centre: &DataCentreId) -> bool {
        self.evacuated.contains_key(centre)
    }

    /// Notes that a data centre has a row. Returns whether its evacuation is new.
    pub fn begin(&mut self, centre: DataCentreId, version: u64) -> bool {
        let known = self.evacuated.get(&centre).copied();
        self.evacuated
            .insert(centre, version.max(known.unwrap_or_default()));
        known.is_none()
    }

    /// Notes that the row of a data centre was removed. Returns whether it was evacuated.
    pub fn end(&mut self, centre: &DataCentreId) -> bool {
        self.evacuated.remove(centre).is_some()
    }

    /// Applies a reading of all rows at one version of the store. Known rows that are newer than that version stay,
    /// since the reading cannot show them yet.
    pub fn apply_snapshot(
        &mut self,
        rows: Vec<(DataCentreId, u64)>,
        version: u64,
    ) -> EvacuationChange {
        let mut change = EvacuationChange::default();
        let shown = |centre: &DataCentreId| rows.iter().any(|(shown, _)| shown == centre);
        let ended = self.evacuated.iter();
        let ended = ended.filter(|(centre, begun)| **begun <= version && !shown(centre));
        change.ended = ended.map(|(centre, _)| centre.clone()).collect();
        for centre in &change.ended {
            self.evacuated.remove(centre);
        }
        for (centre, begun) in rows {
            if self.begin(centre.clone(), begun) {
                change.begun.push(centre);
            }
        }
        change
    }
}
