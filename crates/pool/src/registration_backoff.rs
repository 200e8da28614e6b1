//! How long an owner whose registrations of attempts fail takes no job that needs one.
//!
//! An owner that is cut off from the store can run a job only until its customer may come again. Other owners may reach the
//! store, so jobs that take longer are refused here, and their entries submit them there.

use std::time::{Duration, Instant};

/// The bounds of the time after a failure in which registrations are expected to fail. Each failure in a row doubles it.
const BACKOFF_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(4_000));

/// Whether registrations are expected to fail.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegistrationBackoff {
    until: Option<Instant>,
    length: Duration,
}

impl RegistrationBackoff {
    /// Records that a registration failed. Failures during the backoff do not prolong it.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        if self.is_active(now) {
            return;
        }
        let (shortest, longest) = BACKOFF_BOUNDS;
        self.length = (self.length * 2).clamp(shortest, longest);
        self.until = Some(now + self.length);
    }

    /// Records that a registration succeeded.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Whether registrations are expected to fail.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
