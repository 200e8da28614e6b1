//! Reports the node's network traffic: in the log by purpose, and as a share of the VM's link.

use std::{rc::Rc, time::Duration, time::Instant};

use claims::LinkRate;
use telemetry::{EventKind, EventLine, TrafficCount, TrafficKind};

use crate::state::NodeState;

/// The interval between two log lines, which have some 300 bytes each. They show afterwards whether the link was full
/// or the processor was busy.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs traffic periodically. Holds the counts of the last line and its time.
pub(crate) struct TrafficLogger {
    logged_at: Instant,
    logged: Vec<TrafficCount>,
}

impl TrafficLogger {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            logged_at: now,
            logged: vec![TrafficCount::default(); TrafficKind::ALL.len()],
        }
    }

    /// Writes a line when one is due: for each kind, the bytes sent and received per second and the number of
    /// calls, as `sent/received/calls`.
    pub(crate) fn tick(&mut self, state: &Rc<NodeState>, now: Instant) {
        let passed = now.saturating_duration_since(self.logged_at);
        if passed < TRAFFIC_LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let mut line = EventLine::new("traffic").millis("for_ms", passed);
        let per_second = |bytes: u64| (bytes as f64 / passed.as_secs_f64()) as u64;
        for (kind, logged) in TrafficKind::ALL.iter().zip(&mut self.logged) {
            let count = state.traffic.count(*kind);
            let (sent, received) = (count.sent - logged.sent, count.received - logged.received);
            let (sent, received) = (per_second(sent), per_second(received));
            let calls = count.calls - logged.calls;
            let rates = format!("{sent}/{received}/{calls}");
            line = line.text(kind.as_str(), rates);
            *logged = count;
        }
        state.log(EventKind::Important, line);
    }
}

/// The time constant of the moving average of a link's use.
const LINK_USE_AVERAGING_TIME: Duration = Duration::from_millis(1_000);

/// The share of the VM's link that is in use, in the busier direction.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkUse {
    last_total: Option<(Instant, TrafficCount)>,
    share: f64,
}

impl LinkUse {
    /// Updates the share from the total traffic until `now`, for a link of the given rate.
    pub(crate) fn update(&mut self, now: Instant, total: TrafficCount, link: LinkRate) {
        let Some((at, former)) = self.last_total.replace((now, total)) else {
            return;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let sent = total.sent.saturating_sub(former.sent);
        let received = total.received.saturating_sub(former.received);
        let share = sent.max(received) as f64 / passed / link.0;
        let weight = (passed / LINK_USE_AVERAGING_TIME.as_secs_f64()).min(1.0);
        self.share += weight * (share - self.share);
    }

    /// The share of the link in use.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}
