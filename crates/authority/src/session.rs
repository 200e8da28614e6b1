//! Sessions of the entry with dispatchers.

use std::time::Instant;

pub use decisions::DispatcherKey;
use model::{FastMap, IncarnationId, SessionId, SlotCounts};

/// Connection state of a dispatcher.
#[derive(Clone, Debug)]
pub(crate) enum SessionState {
    Open {
        session: SessionId,
        batch: u64,
    },
    /// The connection is lost. Whether attempts there have started is unknown until the dispatcher reconnects; at
    /// `reconnect_by` it is given up.
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
    /// When the dispatcher last announced a change of its slots in this session.
    pub(crate) announced_at: Option<Instant>,
    /// Number of attempts at the dispatcher in the phase "offered", which `slots` cannot have counted yet.
    pub(crate) unanswered_offers: u32,
}

impl DispatcherSession {
    /// The open session and the number of its last batch.
    pub(crate) fn open_session(&self) -> Option<(SessionId, u64)> {
        match self.state {
            SessionState::Open { session, batch } => Some((session, batch)),
            SessionState::Lost { .. } => None,
        }
    }

    /// Increments the batch number and returns it with the open session.
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
