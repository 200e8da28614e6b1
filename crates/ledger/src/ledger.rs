//! The ledger: takes offers and withdrawals, and returns starts, claims and reports.

mod queueing;
mod running;
mod sessions;

use std::{
    collections::{BTreeSet, VecDeque},
    time::Instant,
};

use decisions::{FairQueue, FleetLatency, RunTimeSettings, RunTimeTable};
use model::{AttemptId, EndpointId, FastMap, IncarnationId, SessionId, SlotCounts, TaskOffer};

use crate::{
    action::LedgerAction, endpoint::EndpointTable, entry_link::LinkTable, settings::LedgerSettings,
};

/// The number of a claim, unique within one dispatcher process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNumber(pub u64);

/// A queued task without its body.
#[derive(Clone, Debug)]
struct Reservation {
    entry: IncarnationId,
    session: SessionId,
    /// The offer with an empty payload.
    offer: TaskOffer,
}

/// A slot that is occupied while the body of its task is claimed.
#[derive(Clone, Debug)]
struct PendingClaim {
    number: ClaimNumber,
    endpoint: EndpointId,
    reservation: Reservation,
}

/// A running task.
#[derive(Clone, Debug)]
struct RunningTask {
    entry: IncarnationId,
    endpoint: EndpointId,
    started: Instant,
    deadline: Instant,
    customer: model::CustomerId,
    kind: model::TaskKind,
    expected: std::time::Duration,
}

/// The slots of one dispatcher, the tasks that wait for them and the tasks that run in them.
pub struct SlotLedger {
    settings: LedgerSettings,
    endpoints: EndpointTable,
    /// Slots that previous owners still use, also on endpoints that are not owned yet.
    previous_owner_slots: FastMap<EndpointId, u32>,
    queue: FairQueue,
    reservations: FastMap<AttemptId, Reservation>,
    claims: FastMap<AttemptId, PendingClaim>,
    claim_deadlines: BTreeSet<(Instant, ClaimNumber, AttemptId)>,
    next_claim_number: u64,
    run_times: RunTimeTable,
    fleet: FleetLatency,
    running: FastMap<AttemptId, RunningTask>,
    links: LinkTable,
    stopping: bool,
    last_tick: Option<Instant>,
    actions: Vec<LedgerAction>,
    ends_by_age: VecDeque<(Instant, IncarnationId, AttemptId)>,
}

impl SlotLedger {
    /// Creates an empty ledger without endpoints.
    pub fn new(settings: LedgerSettings) -> Self {
        let queue = queueing::new_queue(&settings);
        Self {
            settings,
            endpoints: EndpointTable::default(),
            previous_owner_slots: FastMap::default(),
            queue,
            reservations: FastMap::default(),
            claims: FastMap::default(),
            claim_deadlines: BTreeSet::new(),
            next_claim_number: 1,
            run_times: RunTimeTable::new(RunTimeSettings::default()),
            fleet: FleetLatency::default(),
            running: FastMap::default(),
            links: LinkTable::default(),
            stopping: false,
            last_tick: None,
            actions: Vec::new(),
            ends_by_age: VecDeque::new(),
        }
    }

    /// Returns the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<LedgerAction> {
        std::mem::take(&mut self.actions)
    }

    /// The slots of all owned endpoints together. While stopping, the limit is 0.
    pub fn slots(&self) -> SlotCounts {
        let (limit, running) = self.endpoints.totals();
        let limit = if self.stopping { 0 } else { limit };
        SlotCounts {
            limit,
            running,
            queued: self.reservations.len() as u32,
        }
    }

    /// Rejects all new tasks from now on. Waiting tasks are returned as not run; running tasks are allowed to end.
    pub fn stop(&mut self, now: Instant) {
        self.stopping = true;
        self.return_all_reservations(now);
    }

    /// Whether no task runs or waits and every connected entry has confirmed every end.
    pub fn is_drained(&self) -> bool {
        let confirmed = self
            .links
            .values()
            .all(|link| !link.connected || link.unconfirmed.is_empty());
        self.running.is_empty()
            && self.claims.is_empty()
            && self.reservations.is_empty()
            && confirmed
    }

    /// The number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Closes silent sessions, expires claims, drops overdue reservations and old ends, refreshes limits and fills free
    /// slots.
    pub fn tick(&mut self, now: Instant) {
        self.close_silent_sessions(now);
        self.expire_claims(now);
        self.drop_overdue(now);
        self.drop_old_ends(now);
        self.refresh_limits(now);
        self.fill_slots(now);
    }
}
