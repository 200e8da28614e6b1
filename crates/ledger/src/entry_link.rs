//! The entries as this dispatcher sees them: sessions, and ends that wait to be confirmed.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::{AttemptEnd, AttemptId, FastMap, IncarnationId, SessionId};
use thiserror::Error;

/// A session that a later one of the same entry has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("session {0} is over")]
pub struct StaleSession(pub SessionId);

#[derive(Clone, Debug)]
pub(crate) struct UnconfirmedEnd {
    pub(crate) end: AttemptEnd,
    pub(crate) ran: Duration,
    pub(crate) at: Instant,
}

/// Batches seen, numbered from 1. The highest number seen is not enough: a batch that overtook the one before it would
/// then vouch for that one, and a task still on its way would be told "not run" and start.
#[derive(Clone, Debug, Default)]
pub(crate) struct BatchTracker {
    /// Every batch up to this one was seen.
    contiguous: u64,
    out_of_order: BTreeSet<u64>,
}

impl BatchTracker {
    pub(crate) fn record(&mut self, batch: u64) {
        self.out_of_order.insert(batch);
        while self.out_of_order.remove(&(self.contiguous + 1)) {
            self.contiguous += 1;
        }
    }

    pub(crate) fn has_all_up_to(&self, until: u64) -> bool {
        self.contiguous >= until
    }
}

#[derive(Clone, Debug)]
pub(crate) struct EntryLink {
    pub(crate) session: SessionId,
    pub(crate) connected: bool,
    pub(crate) last_heard: Instant,
    /// Which batches of offers were seen on this session.
    pub(crate) batches: BatchTracker,
    /// Ends that the entry has not confirmed. An attempt is forgotten only after that: a withdrawal that crosses
    /// the report would otherwise find nothing and be told "not run" of a task that ran.
    pub(crate) unconfirmed: FastMap<AttemptId, UnconfirmedEnd>,
}

/// Links are never forgotten: the last session number is what turns away bytes of an old connection, however late
/// they are read. A link costs about a hundred bytes, and a process sees a few dozen new entries a day.
pub(crate) type LinkTable = FastMap<IncarnationId, EntryLink>;
