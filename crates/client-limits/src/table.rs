//! The connections of a process, and which of them give way.

use std::{collections::BTreeSet, time::Duration};

use model::{text_enum, FastMap, UnknownVariant};

use crate::budget::{ClientBudget, MemoryShare, ShareCount, CONNECTION_BYTES};

/// The bytes that count as progress of a request or an answer. A client that sends a byte now and then to keep its
/// place makes none.
pub const PROGRESS_BYTES: usize = 1_024;

/// How long a connection that holds a reservation may be without progress before it gives way to another. Without this
/// time, a flood of new requests would push out all others before any is whole.
pub const STALL_TIME: Duration = Duration::from_millis(500);

/// A connection of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

text_enum! {
    /// What a connection is doing.
    ConnectionPhase, "phase of a connection", UnknownVariant {
        /// No request is under way.
        Idle => "idle",
        /// A head is being read.
        Head => "head",
        /// A request has been read, or is not being read further, and is carried out.
        Running => "running",
        /// A body is being read.
        Body => "body",
        /// An answer is being written.
        Answer => "answer",
        /// The rest of a request that is already answered is discarded, so that the answer is not lost.
        Discard => "discard",
    }
}

/// The time limits of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PhaseTimes {
    /// The longest time without a request.
    pub idle: Duration,
    /// The longest time from a head's first byte, or from the acceptance of the connection, to its end.
    pub head: Duration,
    /// The longest time that a body may take.
    pub body: Duration,
    /// The longest time in which an answer makes no progress.
    pub answer: Duration,
    /// The longest time for which the rest of an answered request is discarded.
    pub discard: Duration,
}

impl PhaseTimes {
    /// The limit of a phase, None if there is none.
    fn limit(&self, phase: ConnectionPhase) -> Option<Duration> {
        match phase {
            ConnectionPhase::Idle => Some(self.idle),
            ConnectionPhase::Head => Some(self.head),
            ConnectionPhase::Running => None,
            ConnectionPhase::Body => Some(self.body),
            ConnectionPhase::Answer => Some(self.answer),
            ConnectionPhase::Discard => Some(self.discard),
        }
    }
}

/// A connection that has to give way to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction(pub ConnectionId);

/// A connection whose phase has taken too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// The connection.
    pub connection: ConnectionId,
    /// Its phase.
    pub phase: ConnectionPhase,
}

/// There are too many connections, and none gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFull;

/// The outcome of a reservation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReserveOutcome {
    /// Whether the bytes are reserved. If they are not, nothing has changed for the connection.
    pub granted: bool,
    /// The connections that give way, which have to be told in either case.
    pub evictions: Vec<Eviction>,
}

impl ReserveOutcome {
    fn new(granted: bool) -> Self {
        Self {
            granted,
            evictions: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct Connection {
    phase: ConnectionPhase,
    /// When the phase began.
    began: Duration,
    /// When progress was last made.
    progress: Duration,
    /// The bytes since then, which do not count as progress yet.
    uncounted: usize,
    /// The reserved bytes of the requests' and the answers' share.
    reserved: [u64; 2],
    /// Whether it has been told to give way.
    evicted: bool,
}

impl Connection {
    fn can_give_way(&self) -> bool {
        self.phase != ConnectionPhase::Running && !self.evicted
    }

    fn reserved(&mut self, share: ReservedShare) -> &mut u64 {
        &mut self.reserved[share as usize]
    }

    fn holds_any(&self) -> bool {
        self.reserved.iter().any(|bytes| *bytes > 0)
    }
}

/// A share of which connections reserve parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservedShare {
    Requests,
    Answers,
}

impl ReservedShare {
    const ALL: [Self; 2] = [Self::Requests, Self::Answers];

    fn memory_share(self) -> MemoryShare {
        match self {
            Self::Requests => MemoryShare::Requests,
            Self::Answers => MemoryShare::Answers,
        }
    }
}

/// All connections of a process with what is held for them.
#[derive(Debug)]
pub struct ClientTable {
    budget: ClientBudget,
    now: Duration,
    next_id: u64,
    connections: FastMap<ConnectionId, Connection>,
    /// The connections that can give way, by their last progress.
    waiting: BTreeSet<(Duration, ConnectionId)>,
    /// Those of them that hold reservations.
    holding: BTreeSet<(Duration, ConnectionId)>,
    counts: [ShareCount; MemoryShare::ALL.len()],
    peak_connections: usize,
}

impl ClientTable {
    /// Creates a table without connections.
    pub fn new(budget: ClientBudget) -> Self {
        Self {
            budget,
            now: Duration::ZERO,
            next_id: 0,
            connections: FastMap::default(),
            waiting: BTreeSet::new(),
            holding: BTreeSet::new(),
            counts: Default::default(),
            peak_connections: 0,
        }
    }

    /// The limits.
    pub fn budget(&self) -> &ClientBudget {
        &self.budget
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// The most connections that were open at once.
    pub fn peak_connections(&self) -> usize {
        self.peak_connections
    }

    /// How much of a share is in use.
    pub fn count(&self, share: MemoryShare) -> ShareCount {
        self.counts[share as usize]
    }

    /// Lets time pass in which the process ran and read, and returns the connections whose phase has taken too long. The
    /// caller leaves out the time in which the process stood still: what a client sent then was not read.
    pub fn advance(&mut self, passed: Duration, times: &PhaseTimes) -> Vec<Expiry> {
        self.now += passed;
        let mut expired = Vec::new();
        for (id, connection) in &mut self.connections {
            let Some(limit) = times.limit(connection.phase) else {
                continue;
            };
            let since = match connection.phase {
                ConnectionPhase::Answer => connection.progress,
                _ => connection.began,
            };
            if connection.evicted || self.now < since + limit {
                continue;
            }
            connection.evicted = true;
            expired.push(Expiry {
                connection: *id,
                phase: connection.phase,
            });
        }
        for expiry in &expired {
            self.remove_from_order(expiry.connection);
        }
        expired
    }

    /// Adds a connection that was accepted. If there are too many, the one that gives way to it is returned, or the
    /// newcomer is refused because the requests of all others are being carried out.
    pub fn open(&mut self) -> Result<(ConnectionId, Option<Eviction>), TableFull> {
        let eviction = match self.connections.len() < self.budget.connections {
            true => None,
            false => Some(self.evict_waiting().ok_or(TableFull)?),
        };
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            phase: ConnectionPhase::Head,
            began: self.now,
            progress: self.now,
            uncounted: 0,
            reserved: [0; 2],
            evicted: false,
        };
        self.connections.insert(id, connection);
        self.add_to_order(id);
        self.peak_connections = self.peak_connections.max(self.connections.len());
        Ok((id, eviction))
    }

    /// Removes a connection that has ended, with what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        self.remove_from_order(id);
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        for share in ReservedShare::ALL {
            let held = connection.reserved[share as usize];
            self.counts[share.memory_share() as usize].give_back(held);
        }
    }

    /// Begins a phase of a connection. Returns false, and changes nothing, if the connection has been told to end.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase) -> bool {
        let known = self.connections.get(&id);
        if known.is_none_or(|connection| connection.evicted) {
            return false;
        }
        let now = self.now;
        self.update(id, |connection| {
            connection.phase = phase;
            connection.began = now;
            connection.progress = now;
            connection.uncounted = 0;
        });
        true
    }

    /// Records that a connection has received or sent bytes.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: usize) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.uncounted += bytes;
        if connection.uncounted < PROGRESS_BYTES {
            return;
        }
        self.update(id, |connection| {
            connection.uncounted = 0;
            connection.progress = now;
        });
    }

    /// Reserves memory for a request that is `bytes` long so far, or as a whole if its length is stated.
    pub fn reserve_request(&mut self, id: ConnectionId, bytes: u64) -> ReserveOutcome {
        self.reserve(id, ReservedShare::Requests, bytes)
    }

    /// Reserves memory for an answer that is `bytes` long.
    pub fn reserve_answer(&mut self, id: ConnectionId, bytes: u64) -> ReserveOutcome {
        self.reserve(id, ReservedShare::Answers, bytes)
    }

    /// Gives back what a connection holds for its request beyond `bytes`.
    pub fn shrink_request(&mut self, id: ConnectionId, bytes: u64) {
        self.shrink(id, ReservedShare::Requests, excess(bytes));
    }

    /// Gives back what a connection holds for its answer.
    pub fn release_answer(&mut self, id: ConnectionId) {
        self.shrink(id, ReservedShare::Answers, 0);
    }

    /// Takes memory for an open job of `bytes`, and returns what of it has to be given back with
    /// [`release_job`](Self::release_job). None if the share is used up. A small job always fits: there is at most one
    /// for each connection.
    pub fn reserve_job(&mut self, bytes: u64) -> Option<u64> {
        let excess = excess(bytes);
        let limit = self.budget.limit(MemoryShare::Jobs);
        let taken = self.counts[MemoryShare::Jobs as usize].take(excess, limit);
        taken.then_some(excess)
    }

    /// Gives back what [`reserve_job`](Self::reserve_job) has taken.
    pub fn release_job(&mut self, taken: u64) {
        self.counts[MemoryShare::Jobs as usize].give_back(taken);
    }

    /// Reserves `bytes` less what each connection may hold. Connections without progress give way if the share is used
    /// up. What they hold counts as free at once: they are told before anything else is read.
    fn reserve(&mut self, id: ConnectionId, share: ReservedShare, bytes: u64) -> ReserveOutcome {
        let Some(connection) = self.connections.get_mut(&id) else {
            return ReserveOutcome::new(false);
        };
        if connection.evicted {
            return ReserveOutcome::new(false);
        }
        let wanted = excess(bytes);
        let Some(more) = wanted.checked_sub(*connection.reserved(share)) else {
            return ReserveOutcome::new(true);
        };
        let limit = self.budget.limit(share.memory_share());
        let mut outcome = ReserveOutcome::new(wanted <= limit.0);
        while outcome.granted && !self.counts[share.memory_share() as usize].take(more, limit) {
            match self.evict_holder(id, share) {
                Some(eviction) => outcome.evictions.push(eviction),
                None => outcome.granted = false,
            }
        }
        if outcome.granted {
            self.update(id, |connection| *connection.reserved(share) = wanted);
        }
        outcome
    }

    fn shrink(&mut self, id: ConnectionId, share: ReservedShare, left: u64) {
        let mut freed = 0;
        self.update(id, |connection| {
            let held = connection.reserved(share);
            freed = held.saturating_sub(left);
            *held -= freed;
        });
        self.counts[share.memory_share() as usize].give_back(freed);
    }

    /// Evicts the connection that has made no progress for longest.
    fn evict_waiting(&mut self) -> Option<Eviction> {
        let (_, id) = *self.waiting.first()?;
        Some(self.evict(id))
    }

    /// Evicts the connection that has made no progress for longest, and for [`STALL_TIME`], among those that hold
    /// memory of a share. What it holds is given back.
    fn evict_holder(&mut self, newcomer: ConnectionId, share: ReservedShare) -> Option<Eviction> {
        let stalled = self
            .holding
            .iter()
            .take_while(|(progress, _)| *progress + STALL_TIME <= self.now);
        let mut holders = stalled.filter(|(_, id)| {
            let held = self.connections.get(id);
            *id != newcomer && held.is_some_and(|held| held.reserved[share as usize] > 0)
        });
        let (_, id) = *holders.next()?;
        self.shrink(id, share, 0);
        Some(self.evict(id))
    }

    fn evict(&mut self, id: ConnectionId) -> Eviction {
        self.remove_from_order(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.evicted = true;
        }
        Eviction(id)
    }

    /// Changes a connection and its place in the order of those that can give way.
    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        self.remove_from_order(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            change(connection);
        }
        self.add_to_order(id);
    }

    fn add_to_order(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        if !connection.can_give_way() {
            return;
        }
        let place = (connection.progress, id);
        self.waiting.insert(place);
        if connection.holds_any() {
            self.holding.insert(place);
        }
    }

    fn remove_from_order(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let place = (connection.progress, id);
        self.waiting.remove(&place);
        self.holding.remove(&place);
    }
}

/// What of `bytes` is more than each connection may hold.
fn excess(bytes: u64) -> u64 {
    bytes.saturating_sub(CONNECTION_BYTES as u64)
}
