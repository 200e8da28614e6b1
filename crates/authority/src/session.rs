//! The dispatchers as this entry sees them.

use std::{fmt, time::Instant};

use model::{DataCentreId, FastMap, IncarnationId, SessionId, SlotCounts};

/// A dispatcher as this entry counts them; one a peer address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatcherKey(pub u64);

impl fmt::Display for DispatcherKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "d{}", self.0)
    }
}

/// Whether a dispatcher can be reached.
#[derive(Clone, Debug)]
pub(crate) enum SessionState {
    Open {
        session: SessionId,
        batch: u64,
    },
    /// What may have started there is not known until it comes back or is given up at `until`.
    Lost {
        until: Instant,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct DispatcherSession {
    pub(crate) data_centre: DataCentreId,
    pub(crate) incarnation: IncarnationId,
    pub(crate) state: SessionState,
    pub(crate) stopping: bool,
    pub(crate) slots: SlotCounts,
    /// Offered since the last word; counted on top of `slots`, so that a burst is not sent to one place.
    pub(crate) sent_since: u32,
}

impl DispatcherSession {
    /// The open session and its last batch.
    pub(crate) fn open(&self) -> Option<(SessionId, u64)> {
        match self.state {
            SessionState::Open { session, batch } => Some((session, batch)),
            SessionState::Lost { .. } => None,
        }
    }

    /// Takes the number of the next batch.
    pub(crate) fn next_batch(&mut self) -> Option<(SessionId, u64)> {
        match &mut self.state {
            SessionState::Open { session, batch } => {
                *batch += 1;
                Some((*session, *batch))
            }
            SessionState::Lost { .. } => None,
        }
    }
}

pub(crate) type SessionTable = FastMap<DispatcherKey, DispatcherSession>;
