//! The entries as this dispatcher sees them: sessions, and ends that wait to be confirmed.

use std::time::{Duration, Instant};

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

#[derive(Clone, Debug)]
pub(crate) struct EntryLink {
    pub(crate) session: SessionId,
    pub(crate) connected: bool,
    /// The last batch of offers seen on this session.
    pub(crate) batch: u64,
    /// Ends that the entry has not confirmed. An attempt is forgotten only after that: a withdrawal that crosses
    /// the report would otherwise find nothing and be told "not run" of a task that ran.
    pub(crate) unconfirmed: FastMap<AttemptId, UnconfirmedEnd>,
}

/// Links are never forgotten: the last session number is what turns away bytes of an old connection, however late
/// they are read. A link costs about a hundred bytes, and a process sees a few dozen new entries a day.
pub(crate) type LinkTable = FastMap<IncarnationId, EntryLink>;
