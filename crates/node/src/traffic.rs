//! What the node sends and receives: told in the log by what for, and as a share of its link.

use std::{rc::Rc, time::Duration, time::Instant};

use claims::LinkRate;
use telemetry::{EventKind, EventLine, TrafficCount, TrafficKind};

use crate::state::NodeState;

/// The time between two lines. One line of some 300 bytes, so that a full link can be told from a full processor
/// afterwards.
const TRAFFIC_BEAT: Duration = Duration::from_secs(5);

/// What the last line told.
pub(crate) struct TrafficNotes {
    at: Instant,
    told: Vec<TrafficCount>,
}

impl TrafficNotes {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            at: now,
            told: vec![TrafficCount::default(); TrafficKind::ALL.len()],
        }
    }

    /// Writes a line when one is due: of each kind the bytes a second, out/in, and the calls.
    pub(crate) fn tick(&mut self, state: &Rc<NodeState>, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        if passed < TRAFFIC_BEAT {
            return;
        }
        self.at = now;
        let mut line = EventLine::new("traffic").millis("for_ms", passed);
        let a_second = |bytes: u64| (bytes as f64 / passed.as_secs_f64()) as u64;
        for (kind, told) in TrafficKind::ALL.iter().zip(&mut self.told) {
            let count = state.traffic.count(*kind);
            let (sent, received) = (count.sent - told.sent, count.received - told.received);
            let (sent, received) = (a_second(sent), a_second(received));
            let calls = count.calls - told.calls;
            let rates = format!("{sent}/{received}/{calls}");
            line = line.text(kind.as_str(), rates);
            *told = count;
        }
        state.log(EventKind::Important, line);
    }
}

/// How long the past counts for what a link carries at present.
const USE_TIME: Duration = Duration::from_millis(1_000);

/// The share of the VM's link that is in use, in the busier direction.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkUse {
    counted: Option<(Instant, TrafficCount)>,
    share: f64,
}

impl LinkUse {
    /// Takes what was counted until now on a link that carries so much.
    pub(crate) fn take(&mut self, now: Instant, total: TrafficCount, link: LinkRate) {
        let Some((at, former)) = self.counted.replace((now, total)) else {
            return;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let sent = total.sent.saturating_sub(former.sent);
        let received = total.received.saturating_sub(former.received);
        let share = sent.max(received) as f64 / passed / link.0;
        let weight = (passed / USE_TIME.as_secs_f64()).min(1.0);
        self.share += weight * (share - self.share);
    }

    /// The share.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}
