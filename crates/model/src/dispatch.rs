//! Replies and counts that dispatchers send to entries.

use std::{fmt, str::FromStr};

use crate::RetryReason;

/// Identifies one connection of an entry to a dispatcher. An entry incarnation numbers its sessions in ascending order
/// over all dispatchers; a session with a lower number than the latest is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for SessionId {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// A dispatcher's immediate reply to an offered task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferReply {
    /// The task runs.
    Started,
    /// A reservation waits for a slot. The dispatcher has dropped the task's body and asks for it when a slot is free.
    Queued,
    /// The task definitely did not run.
    NotRun(RetryReason),
}

/// A dispatcher's reply to the withdrawal of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawalReply {
    /// The attempt was not started and never will be.
    NotRun,
    /// The attempt runs, or its end is being reported, or the dispatcher can confirm nothing.
    Running,
}

/// Slot counts summed over the endpoints of one dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Slots that may be used.
    pub limit: u32,
    /// Running tasks, and slots reserved for tasks whose bodies were asked for.
    pub running: u32,
    /// Reservations that wait for a slot.
    pub queued: u32,
}
