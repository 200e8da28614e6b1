//! Sessions with entries, and ends that the entries have not confirmed.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::{AttemptEnd, AttemptId, FastMap, IncarnationId, SessionId};
use thiserror::Error;

/// The error for a session that a later one of the same entry has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("session {0} is over")]
pub struct StaleSession(pub SessionId);

#[derive(Clone, Debug)]
pub(crate) struct UnconfirmedEnd {
    pub(crate) end: AttemptEnd,
    pub(crate) ran: Duration,
    /// When the end was recorded, whether or not the entry was connected. It is dropped after the retention time.
    pub(crate) reported_at: Instant,
}

/// Tracks the received batches, numbered from 1. The highest number is not enough: if a batch overtook the previous
/// one, it would imply that the previous one was received as well, and a task still in flight would be answered "not
/// run" and then start.
#[derive(Clone, Debug, Default)]
pub(crate) struct BatchTracker {
    /// Every batch up to this one was received.
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
    /// The batches of offers that were received on this session.
    pub(crate) batches: BatchTracker,
    /// Ends that the entry has not confirmed. An attempt is dropped only after that: a withdrawal that crosses the
    /// report would otherwise not find the attempt and be answered "not run" although the task ran.
    pub(crate) unconfirmed: FastMap<AttemptId, UnconfirmedEnd>,
}

/// The link of each entry. Links are never removed: the last session number is what rejects messages of an old
/// connection, however late they are read. A link takes about a hundred bytes, and a process sees a few dozen new
/// entries a day.
pub(crate) type LinkTable = FastMap<IncarnationId, EntryLink>;
