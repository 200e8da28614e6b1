//! Attempts that a dispatcher may hold.

use model::{AttemptId, CustomerId, FastMap, FastSet, SessionId, TaskKind};

use crate::DispatcherKey;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlightPhase {
    /// The body was sent with the offer: it may have started.
    Offered,
    /// The dispatcher keeps a reservation without the body: it has certainly not started.
    Queued,
    /// The body was sent on the dispatcher's ask: it may have started.
    Claimed,
    /// The dispatcher said that it runs.
    Running,
}

impl FlightPhase {
    /// Whether the body may have reached an endpoint.
    pub fn may_have_started(self) -> bool {
        match self {
            Self::Queued => false,
            Self::Offered | Self::Claimed | Self::Running => true,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct FlightRecord {
    pub(crate) customer: CustomerId,
    /// Kept here because the task may have lost its submission by the time its run time is known.
    pub(crate) kind: TaskKind,
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) session: SessionId,
    pub(crate) phase: FlightPhase,
}

/// Attempts by id and by dispatcher. An attempt stays here until it is known to have ended, also when its
/// submission has its answer, because until then it holds a part of the customer's concurrency.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlightTable {
    flights: FastMap<AttemptId, FlightRecord>,
    by_dispatcher: FastMap<DispatcherKey, FastSet<AttemptId>>,
}

impl FlightTable {
    pub(crate) fn insert(&mut self, attempt: AttemptId, flight: FlightRecord) {
        self.by_dispatcher
            .entry(flight.dispatcher)
            .or_default()
            .insert(attempt);
        self.flights.insert(attempt, flight);
    }

    pub(crate) fn get(&self, attempt: &AttemptId) -> Option<&FlightRecord> {
        self.flights.get(attempt)
    }

    pub(crate) fn get_mut(&mut self, attempt: &AttemptId) -> Option<&mut FlightRecord> {
        self.flights.get_mut(attempt)
    }

    pub(crate) fn remove(&mut self, attempt: &AttemptId) -> Option<FlightRecord> {
        let flight = self.flights.remove(attempt)?;
        if let Some(attempts) = self.by_dispatcher.get_mut(&flight.dispatcher) {
            attempts.remove(attempt);
        }
        Some(flight)
    }

    /// The attempts at one dispatcher, in a fixed order so that a run can be repeated.
    pub(crate) fn at(&self, dispatcher: DispatcherKey) -> Vec<AttemptId> {
        let mut attempts: Vec<_> = self
            .by_dispatcher
            .get(&dispatcher)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        attempts.sort_unstable();
        attempts
    }

    pub(crate) fn list(&self) -> Vec<(AttemptId, DispatcherKey, FlightPhase)> {
        let mut list = Vec::with_capacity(self.flights.len());
        for (attempt, flight) in &self.flights {
            list.push((*attempt, flight.dispatcher, flight.phase));
        }
        list.sort_unstable_by_key(|(attempt, ..)| *attempt);
        list
    }

    pub(crate) fn len(&self) -> usize {
        self.flights.len()
    }
}
