//! The owner's link, on which what is sent stands in a queue.

/// The bytes of calls and of their answers on a link, heads included.
pub(super) const START_BYTES: u64 = 900;
pub(super) const POLL_BYTES: u64 = 300;
pub(super) const STOP_BYTES: u64 = 270;
pub(super) const ANSWER_BYTES: u64 = 120;
pub(super) const LISTING_BYTES: u64 = 250;

/// One direction of the owner's link: what is sent stands in a queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SimulatedLink {
    /// Bytes a millisecond; none for a link that never fills.
    pub(super) bytes_per_ms: Option<f64>,
    /// When all that was sent has left, in milliseconds.
    free_at: f64,
}

impl SimulatedLink {
    /// How long something takes from now until it has left the link.
    pub(super) fn send(&mut self, now: u64, bytes: u64) -> u64 {
        let Some(rate) = self.bytes_per_ms else {
            return 0;
        };
        self.free_at = self.free_at.max(now as f64) + bytes as f64 / rate;
        (self.free_at - now as f64).ceil() as u64
    }
}
