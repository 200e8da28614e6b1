//! Which process looks for open kept jobs, and which pools have an owner only for the sake of such jobs.
//!
//! The jobs of a pool that has lost its owner and its workers are known to nobody but the store. If only processes that
//! had such jobs themselves looked there, the jobs would wait for ever once those processes are gone. So one process of
//! each data centre reads the open jobs, whatever it has seen before, and the pools that it finds are claimed.

use std::time::Instant;

use jobs::PoolId;
use model::{DataCentreId, FastMap};

use super::{polling::capacity_order, ClaimController};
use crate::rows::MemberRow;

/// Sort key of the processes of a data centre, the one that reads the open jobs first: owners before the others, since
/// they know the workers, then by capacity.
type ReaderOrder = (bool, (u64, u64));

impl ClaimController {
    /// Whether this process reads the open kept jobs for its data centre.
    ///
    /// A process that has just started does not: until heartbeats arrive, each would take itself for the first.
    pub fn reads_open_jobs(&self, now: Instant) -> bool {
        !self.leaving && !self.is_starting(now) && self.is_among(&self.open_jobs_readers(now))
    }

    /// Records the pools that have open kept jobs, by a read of all of them. Only an owner can move such a job to a pool
    /// that has workers.
    pub fn on_open_jobs(&mut self, now: Instant, homes: impl IntoIterator<Item = PoolId>) {
        for home in homes {
            self.pools.entry(home).or_default().open_jobs_read = Some(now);
        }
    }

    /// Whether a pool has workers or, by a recent read, open kept jobs.
    pub(super) fn needs_owner(&self, now: Instant, pool: &PoolId) -> bool {
        let Some(state) = self.pools.get(pool) else {
            return false;
        };
        let memory = self.settings.open_jobs_memory;
        let has_open_jobs = state.open_jobs_read.is_some_and(|at| now < at + memory);
        state.has_workers || has_open_jobs
    }

    pub(super) fn is_without_workers(&self, pool: &PoolId) -> bool {
        self.pools.get(pool).is_none_or(|state| !state.has_workers)
    }

    /// This process's rank among the candidates for a pool without workers. Those that read the open jobs come first: in a
    /// large fleet, the others may not know that the pool needs an owner, and waiting for each of them takes longer than a
    /// job may stand still. `usual` is the rank among all candidates.
    pub(super) fn rank_for_open_jobs(&self, now: Instant, usual: u32) -> u32 {
        let readers = self.open_jobs_readers(now);
        let own_order = self.reader_order(&self.own_row);
        let before = match self.is_among(&readers) {
            true => readers.values().filter(|order| **order < own_order).count(),
            false => readers.len() + usual as usize,
        };
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// The first process of each data centre, among those that this process hears.
    fn open_jobs_readers(&self, now: Instant) -> FastMap<DataCentreId, ReaderOrder> {
        let members = self.members.values().map(|member| &member.row);
        let live = members.filter(|row| self.live_peer(now, &row.node).is_some());
        let mut readers: FastMap<DataCentreId, ReaderOrder> = FastMap::default();
        for row in live.chain(std::iter::once(&self.own_row)) {
            let order = self.reader_order(row);
            let first = readers.entry(row.data_centre.clone()).or_insert(order);
            *first = order.min(*first);
        }
        readers
    }

    /// Whether this process is the reader of its data centre.
    fn is_among(&self, readers: &FastMap<DataCentreId, ReaderOrder>) -> bool {
        readers.get(&self.own_row.data_centre) == Some(&self.reader_order(&self.own_row))
    }

    fn reader_order(&self, row: &MemberRow) -> ReaderOrder {
        (!self.owners.contains_key(&row.node), capacity_order(row))
    }
}
