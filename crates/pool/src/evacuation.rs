//! Which data centres are evacuated: their workers get nothing new until they are taken back.
//!
//! An evacuation is a row that exists. What a reading shows is believed by its version: a store that has lost its history
//! may for seconds show its rows as they were before, and an evacuation that seemed to be over for that would let tasks
//! start where an operator is about to take the machines away.

use model::{DataCentreId, FastMap};

/// What a reading changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Evacuated from now on.
    pub begun: Vec<DataCentreId>,
    /// Taken back.
    pub ended: Vec<DataCentreId>,
}

/// The data centres that are evacuated, as far as this process knows. While the store cannot be read it is what was last
/// read.
#[derive(Clone, Debug, Default)]
pub struct EvacuationSet {
    /// The versions of their rows.
    evacuated: FastMap<DataCentreId, u64>,
}

impl EvacuationSet {
    /// Whether nothing may be started there.
    pub fn contains(&self, centre: &DataCentreId) -> bool {
        self.evacuated.contains_key(centre)
    }

    /// A row is there. Says whether its data centre was not evacuated before.
    pub fn begin(&mut self, centre: DataCentreId, version: u64) -> bool {
        let known = self.evacuated.get(&centre).copied();
        self.evacuated
            .insert(centre, version.max(known.unwrap_or_default()));
        known.is_none()
    }

    /// A row was removed. Says whether its data centre was evacuated.
    pub fn end(&mut self, centre: &DataCentreId) -> bool {
        self.evacuated.remove(centre).is_some()
    }

    /// Takes all rows as of one version. A row that is newer than that is not shown yet, and stays.
    pub fn apply_snapshot(
        &mut self,
        rows: Vec<(DataCentreId, u64)>,
        version: u64,
    ) -> EvacuationChange {
        let mut change = EvacuationChange::default();
        let shown = |centre: &DataCentreId| rows.iter().any(|(shown, _)| shown == centre);
        let over = self.evacuated.iter();
        let over = over.filter(|(centre, begun)| **begun <= version && !shown(centre));
        change.ended = over.map(|(centre, _)| centre.clone()).collect();
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
