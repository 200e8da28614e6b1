//! The lease under which an owner runs the attempts of an entry.

use std::time::Duration;

/// The confirmations by which an entry keeps its attempts at an owner running, over one connection.
///
/// Each message of the entry confirms all attempts that are open on the connection at the time of its sending: messages
/// arrive in the order of their sending, so attempts that the entry had given up before have ended by then. All times
/// are those of the owner's clock since boot, also the time of sending, which is a lower bound.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLease {
    length: Duration,
    /// When the entry last sent a confirmation.
    confirmed: Duration,
    /// How often the lease had run out when a confirmation arrived.
    lapses: u64,
}

/// The attempts that began without a lapse of the lease in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm(u64);

impl AttemptLease {
    /// A lease that nothing has confirmed yet.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            confirmed: Duration::ZERO,
            lapses: 0,
        }
    }

    /// Records a confirmation that was sent at `sent_at` and arrived at `now`.
    ///
    /// It may arrive before the owner has acted on the end of the lease, if the owner was frozen meanwhile. Attempts
    /// whose lease was over then stay over: the customer may have submitted the job elsewhere.
    pub fn confirm(&mut self, now: Duration, sent_at: Duration) {
        if self.is_over(now) {
            self.lapses += 1;
        }
        // A time ahead of the clock is no lower bound. Without this limit it would keep attempts running for as long as
        // it is ahead.
        self.confirmed = self.confirmed.max(sent_at.min(now));
    }

    /// Begins an attempt whose call was sent at `sent_at` and arrived at `now`. None if the call is older than the
    /// lease, so that its customer may have submitted the job elsewhere.
    pub fn begin(&mut self, now: Duration, sent_at: Duration) -> Option<LeaseTerm> {
        if now.saturating_sub(sent_at) >= self.length {
            return None;
        }
        self.confirm(now, sent_at);
        Some(LeaseTerm(self.lapses))
    }

    /// The time until the attempts of a term end unless they are confirmed again. None if they are over.
    pub fn time_left(&self, now: Duration, term: LeaseTerm) -> Option<Duration> {
        if term.0 != self.lapses || self.is_over(now) {
            return None;
        }
        Some((self.confirmed + self.length).saturating_sub(now))
    }

    /// The time since the last confirmation was sent.
    pub fn unconfirmed_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed)
    }

    fn is_over(&self, now: Duration) -> bool {
        now >= self.confirmed + self.length
    }
}
