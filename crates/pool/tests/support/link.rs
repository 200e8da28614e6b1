//! The owner's simulated link, on which messages queue.

/// The bytes of calls and of their answers on a link, including headers.
pub(super) const START_BYTES: u64 = 900;
pub(super) const POLL_BYTES: u64 = 300;
pub(super) const STOP_BYTES: u64 = 270;
pub(super) const ANSWER_BYTES: u64 = 120;
pub(super) const LISTING_BYTES: u64 = 250;

/// One direction of the owner's link, on which messages queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SimulatedLink {
    /// The rate in bytes per millisecond. None for a link of unlimited rate.
    pub(super) bytes_per_ms: Option<f64>,
    /// The time at which all queued messages have left the link, in milliseconds.
    free_at: f64,
}

impl SimulatedLink {
    /// Queues a message and returns the time from now until it has left the link, in milliseconds.
    pub(super) fn send(&mut self, now: u64, bytes: u64) -> u64 {
        let Some(rate) = self.bytes_per_ms else {
            return 0;
        };
        self.free_at = self.free_at.max(now as f64) + bytes as f64 / rate;
        (self.free_at - now as f64).ceil() as u64
    }
}
