//! The client table of a process, shared by all its listeners and threads.

use std::{
    future::Future,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};

use client_limits::{
    ClientBudget, ClientTable, ConnectionId, ConnectionPhase, Eviction, MemoryShare, PhaseTimes,
    ReserveOutcome, ShareCount, CONNECTION_BYTES,
};
use kernel::release_free_memory;
use model::{text_enum, FastMap, UnknownVariant};
use tokio::sync::Notify;

/// The most time that counts between two sweeps. A process that was frozen or got no processor time has read nothing
/// in the rest, which is not the clients' fault.
const MAX_SWEEP_STEP: Duration = Duration::from_millis(200);

/// The bytes that have become free at which free memory is released.
const MIN_RELEASE_BYTES: u64 = 2_000_000;

/// The shortest time between two releases of free memory, each of which takes some milliseconds.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on requests, besides the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// The limits on time.
    pub times: PhaseTimes,
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes. As much is discarded behind an answer that was given before the body's end.
    pub body_bytes: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            times: PhaseTimes {
                idle: Duration::from_secs(5),
                head: Duration::from_secs(5),
                body: Duration::from_secs(60),
                answer: Duration::from_secs(15),
                discard: Duration::from_secs(2),
            },
            head_bytes: 16 * 1_024,
            body_bytes: 256 * 1_024,
        }
    }
}

/// What an event means for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventEffect {
    /// A connection, request or answer was refused.
    Refused,
    /// A connection was closed although it was being served.
    CutOff,
}

text_enum! {
    /// What the gate has done to clients.
    GateEvent, "event of the client gate", UnknownVariant {
        /// A connection was not accepted.
        ConnectionRefused => "connection_refused",
        /// A connection was closed in favour of a new one.
        ConnectionEvicted => "connection_evicted",
        /// A request was refused because memory for it could not be reserved.
        RequestRefused => "request_refused",
        /// A request or an answer that had stalled was dropped in favour of another.
        StalledEvicted => "stalled_evicted",
        /// An answer was replaced by a refusal because memory for it could not be reserved.
        AnswerRefused => "answer_refused",
        /// A job was refused because memory for it could not be reserved.
        JobRefused => "job_refused",
        /// A head did not arrive in time.
        HeadTimeout => "head_timeout",
        /// A body did not arrive in time.
        BodyTimeout => "body_timeout",
        /// An answer was not taken in time.
        AnswerTimeout => "answer_timeout",
    }
}

impl GateEvent {
    /// What the event means for the client.
    pub const fn effect(self) -> EventEffect {
        match self {
            Self::ConnectionRefused
            | Self::RequestRefused
            | Self::AnswerRefused
            | Self::JobRefused => EventEffect::Refused,
            Self::ConnectionEvicted
            | Self::StalledEvicted
            | Self::HeadTimeout
            | Self::BodyTimeout
            | Self::AnswerTimeout => EventEffect::CutOff,
        }
    }
}

/// Why a connection has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// It gives way to another.
    Evicted,
    /// Its phase has taken too long.
    Expired(ConnectionPhase),
    /// The process is stopping: the connection is closed if no request is under way on it.
    Draining,
}

/// What the gate holds and has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateSnapshot {
    /// The number of open connections.
    pub connections: usize,
    /// The most connections at once.
    pub peak_connections: usize,
    /// The use of each share, in the order of [`MemoryShare::ALL`].
    pub shares: [ShareCount; MemoryShare::ALL.len()],
    /// How often each event has occurred, in the order of [`GateEvent::ALL`].
    pub events: [u64; GateEvent::ALL.len()],
}

/// The client table of a process.
pub struct ClientGate {
    state: Mutex<GateState>,
}

struct GateState {
    table: ClientTable,
    limits: HttpLimits,
    signals: FastMap<ConnectionId, Arc<CloseSignal>>,
    events: [u64; GateEvent::ALL.len()],
    last_sweep: Option<Instant>,
    release: ReleaseTrigger,
}

/// Tells when much memory has become free that the allocator may keep.
#[derive(Default)]
struct ReleaseTrigger {
    /// The most that was held since the last release, in bytes.
    peak: u64,
    released: Option<Instant>,
}

impl ReleaseTrigger {
    /// Returns whether free memory is to be released now that `held` bytes are held.
    fn is_due(&mut self, now: Instant, held: u64) -> bool {
        self.peak = self.peak.max(held);
        let has_fallen = self.peak >= held + MIN_RELEASE_BYTES;
        let is_early = |at| now < at + RELEASE_INTERVAL;
        if !has_fallen || self.released.is_some_and(is_early) {
            return false;
        }
        self.peak = held;
        self.released = Some(now);
        true
    }
}

/// Tells a connection's task that it has to end.
#[derive(Default)]
struct CloseSignal {
    cause: Mutex<Option<CloseCause>>,
    draining: AtomicBool,
    notify: Notify,
}

impl CloseSignal {
    fn close(&self, cause: CloseCause) {
        let mut known = self.cause.lock().unwrap_or_else(PoisonError::into_inner);
        known.get_or_insert(cause);
        drop(known);
        self.notify.notify_one();
    }

    fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.notify.notify_one();
    }

    /// The cause for which the connection has to end. The notice of draining is returned once.
    fn take(&self) -> Option<CloseCause> {
        let cause = *self.cause.lock().unwrap_or_else(PoisonError::into_inner);
        let draining = || self.draining.swap(false, Ordering::Relaxed);
        cause.or_else(|| draining().then_some(CloseCause::Draining))
    }
}

impl GateSnapshot {
    /// The events since an earlier snapshot, with their numbers.
    pub fn events_since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = (GateEvent, u64)> + 'a {
        let counts = self.events.iter().zip(&earlier.events);
        let events = GateEvent::ALL.iter().zip(counts);
        let since = events.map(|(event, (now, before))| (*event, now - before));
        since.filter(|(_, count)| *count > 0)
    }

    /// The number of events with an effect since an earlier snapshot.
    pub fn count_since(&self, earlier: &Self, effect: EventEffect) -> u64 {
        let events = self.events_since(earlier);
        let counts = events.filter(|(event, _)| event.effect() == effect);
        counts.map(|(_, count)| count).sum()
    }

    /// Describes the events since an earlier snapshot, for a log line.
    pub fn describe_since(&self, earlier: &Self) -> String {
        let events = self.events_since(earlier);
        let texts: Vec<String> = events
            .map(|(event, count)| format!("{event} {count}"))
            .collect();
        format!(
            "{}, with {} connections",
            texts.join(", "),
            self.connections
        )
    }
}

impl ClientGate {
    /// The interval of [`sweep`](Self::sweep).
    pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

    /// The shortest time between two reports of what the gate has done. One report holds any number of clients, so that a
    /// flood of them does not drive other lines out of the log.
    pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

    /// Creates the gate of a process.
    pub fn new(budget: ClientBudget, limits: HttpLimits) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(GateState {
                table: ClientTable::new(budget),
                limits,
                signals: FastMap::default(),
                events: [0; GateEvent::ALL.len()],
                last_sweep: None,
                release: ReleaseTrigger::default(),
            }),
        })
    }

    /// Registers a connection that was accepted; another may have to give way. None if it cannot be served.
    pub fn open(self: &Arc<Self>) -> Option<ClientConnection> {
        let mut state = self.lock();
        let Ok((id, eviction)) = state.table.open() else {
            state.count(GateEvent::ConnectionRefused);
            return None;
        };
        if let Some(eviction) = eviction {
            state.count(GateEvent::ConnectionEvicted);
            state.evict(eviction);
        }
        let signal = Arc::<CloseSignal>::default();
        state.signals.insert(id, signal.clone());
        drop(state);
        Some(ClientConnection {
            id,
            signal,
            gate: self.clone(),
        })
    }

    /// What all clients together may take.
    pub fn budget(&self) -> ClientBudget {
        *self.lock().table.budget()
    }

    /// The limits on requests.
    pub fn limits(&self) -> HttpLimits {
        self.lock().limits
    }

    /// Changes the limits on requests, for open connections too.
    pub fn set_limits(&self, limits: HttpLimits) {
        self.lock().limits = limits;
    }

    /// Ends connections whose phase has taken too long. To be called at each [`SWEEP_INTERVAL`](Self::SWEEP_INTERVAL) or
    /// more often.
    pub fn sweep(&self, now: Instant) {
        let mut state = self.lock();
        let last = state.last_sweep.unwrap_or(now);
        let passed = now.saturating_duration_since(last);
        if state.last_sweep.is_some() && passed < Self::SWEEP_INTERVAL {
            return;
        }
        state.last_sweep = Some(now);
        let limits = state.limits;
        let expired = state
            .table
            .advance(passed.min(MAX_SWEEP_STEP), &limits.times);
        let held = state.held_bytes();
        if state.release.is_due(now, held) {
            release_free_memory();
        }
        for expiry in expired {
            if let Some(event) = timeout_event(expiry.phase) {
                state.count(event);
            }
            state.close(expiry.connection, CloseCause::Expired(expiry.phase));
        }
    }

    /// Closes the connections on which no request is under way.
    pub fn close_idle(&self) {
        for signal in self.lock().signals.values() {
            signal.drain();
        }
    }

    /// Takes memory for an open job of `bytes` until the returned value is dropped. None if the share is used up.
    pub fn reserve_job(self: &Arc<Self>, bytes: u64) -> Option<JobReservation> {
        let mut state = self.lock();
        let Some(taken) = state.table.reserve_job(bytes) else {
            state.count(GateEvent::JobRefused);
            return None;
        };
        drop(state);
        Some(JobReservation {
            taken,
            gate: self.clone(),
        })
    }

    /// What the gate holds and has done.
    pub fn snapshot(&self) -> GateSnapshot {
        let state = self.lock();
        let mut shares = [ShareCount::default(); MemoryShare::ALL.len()];
        for (count, share) in shares.iter_mut().zip(MemoryShare::ALL) {
            *count = state.table.count(*share);
        }
        GateSnapshot {
            connections: state.table.connections(),
            peak_connections: state.table.peak_connections(),
            shares,
            events: state.events,
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    /// What is held for all clients, in bytes.
    fn held_bytes(&self) -> u64 {
        let shares = MemoryShare::ALL.iter();
        let reserved: u64 = shares.map(|share| self.table.count(*share).used).sum();
        reserved + (self.table.connections() * CONNECTION_BYTES) as u64
    }

    fn count(&mut self, event: GateEvent) {
        self.events[event as usize] += 1;
    }

    fn evict(&self, Eviction(id): Eviction) {
        self.close(id, CloseCause::Evicted);
    }

    fn close(&self, id: ConnectionId, cause: CloseCause) {
        if let Some(signal) = self.signals.get(&id) {
            signal.close(cause);
        }
    }

    fn apply(&mut self, outcome: &ReserveOutcome, refused: GateEvent) -> bool {
        for eviction in &outcome.evictions {
            self.count(GateEvent::StalledEvicted);
            self.evict(*eviction);
        }
        if !outcome.granted {
            self.count(refused);
        }
        outcome.granted
    }
}

fn timeout_event(phase: ConnectionPhase) -> Option<GateEvent> {
    match phase {
        ConnectionPhase::Head => Some(GateEvent::HeadTimeout),
        ConnectionPhase::Body => Some(GateEvent::BodyTimeout),
        ConnectionPhase::Answer => Some(GateEvent::AnswerTimeout),
        ConnectionPhase::Idle | ConnectionPhase::Running | ConnectionPhase::Discard => None,
    }
}

/// Memory that is taken for an open job.
pub struct JobReservation {
    taken: u64,
    gate: Arc<ClientGate>,
}

impl Drop for JobReservation {
    fn drop(&mut self) {
        self.gate.lock().table.release_job(self.taken);
    }
}

/// A connection that the gate counts until the value is dropped.
pub struct ClientConnection {
    id: ConnectionId,
    signal: Arc<CloseSignal>,
    gate: Arc<ClientGate>,
}

impl ClientConnection {
    /// The limits on requests.
    pub(crate) fn limits(&self) -> HttpLimits {
        self.gate.limits()
    }

    /// Begins a phase. Returns false if the connection has to end.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) -> bool {
        self.gate.lock().table.set_phase(self.id, phase)
    }

    pub(crate) fn record_progress(&self, bytes: usize) {
        self.gate.lock().table.record_progress(self.id, bytes);
    }

    /// Reserves memory for a request that is this long. Returns whether it is reserved.
    pub(crate) fn reserve_request(&self, bytes: u64) -> bool {
        let mut state = self.gate.lock();
        let outcome = state.table.reserve_request(self.id, bytes);
        state.apply(&outcome, GateEvent::RequestRefused)
    }

    /// Gives back what is reserved for the request beyond this length.
    pub(crate) fn shrink_request(&self, bytes: u64) {
        self.gate.lock().table.shrink_request(self.id, bytes);
    }

    /// Reserves memory for an answer that is this long. Returns whether it is reserved.
    pub(crate) fn reserve_answer(&self, bytes: u64) -> bool {
        let mut state = self.gate.lock();
        let outcome = state.table.reserve_answer(self.id, bytes);
        state.apply(&outcome, GateEvent::AnswerRefused)
    }

    /// Gives back what is reserved for the answer.
    pub(crate) fn release_answer(&self) {
        self.gate.lock().table.release_answer(self.id);
    }

    /// Waits until the connection has to end.
    pub(crate) fn closed(&self) -> impl Future<Output = CloseCause> {
        let signal = self.signal.clone();
        async move {
            loop {
                if let Some(cause) = signal.take() {
                    return cause;
                }
                signal.notify.notified().await;
            }
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.table.close(self.id);
        state.signals.remove(&self.id);
    }
}
