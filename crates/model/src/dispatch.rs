//! What entries and dispatchers say to each other about attempts.

use std::{fmt, str::FromStr};

use crate::RetryReason;

/// One connection of an entry to a dispatcher. The numbers of one entry incarnation only go up, over all its
/// dispatchers; a session with a lower number than the latest is over.
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

/// What a dispatcher says at once about an offered task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferReply {
    /// It runs.
    Started,
    /// A reservation waits for a slot; the dispatcher has dropped the body and will ask for it.
    Queued,
    /// Definitely not run.
    NotRun(RetryReason),
}

/// What a dispatcher says about a withdrawn attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawalReply {
    /// It was not started and never will be.
    NotRun,
    /// It runs, or its end is on the way, or nothing can be confirmed.
    Running,
}

/// The slots of one dispatcher's endpoints together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Slots that may be used.
    pub limit: u32,
    /// Tasks that run, with slots held for bodies that were asked for.
    pub running: u32,
    /// Reservations that wait.
    pub queued: u32,
}
