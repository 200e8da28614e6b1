//! The dispatchers as this entry sees them.

use std::time::Instant;

pub use decisions::DispatcherKey;
use model::{FastMap, IncarnationId, SessionId, SlotCounts};

/// Whether a dispatcher can be reached.
#[derive(Clone, Debug)]
pub(crate) enum SessionState {
    Open {
        session: SessionId,
        batch: u64,
    },
    /// What may have started there is not known until it comes back or is given up at `until`.
    Lost {
        reconnect_by: Instant,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct DispatcherSession {
    pub(crate) incarnation: IncarnationId,
    pub(crate) state: SessionState,
    pub(crate) stopping: bool,
    pub(crate) slots: SlotCounts,
    /// Attempts there in the phase "offered": what `slots` cannot have counted.
    pub(crate) unanswered_offers: u32,
}

impl DispatcherSession {
    /// The open session and its last batch.
    pub(crate) fn open_session(&self) -> Option<(SessionId, u64)> {
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
