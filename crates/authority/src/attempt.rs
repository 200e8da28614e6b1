//! Attempts that a dispatcher may hold.

use model::{AttemptId, CustomerId, FastMap, FastSet, SessionId, TaskKind};

use crate::DispatcherKey;

/// Progress of an attempt at its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// The body was sent with the offer: the task may have started.
    Offered,
    /// The dispatcher keeps a reservation without the body: the task has certainly not started.
    Queued,
    /// The body was sent when the dispatcher claimed it: the task may have started.
    Claimed,
    /// The dispatcher reported that the task runs.
    Running,
}

impl AttemptPhase {
    /// Whether the body may have reached an endpoint.
    pub fn may_have_started(self) -> bool {
        match self {
            Self::Queued => false,
            Self::Offered | Self::Claimed | Self::Running => true,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) customer: CustomerId,
    /// Kept here because the submission's tasks may have been dropped by the time the run time is known.
    pub(crate) kind: TaskKind,
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) session: SessionId,
    pub(crate) phase: AttemptPhase,
}

/// Attempts by id and by dispatcher. An attempt stays in the table until it is known to have ended, even after its
/// submission was answered, because until then it uses a part of the customer's concurrency.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTable {
    by_id: FastMap<AttemptId, InFlightAttempt>,
    by_dispatcher: FastMap<DispatcherKey, FastSet<AttemptId>>,
}

impl AttemptTable {
    pub(crate) fn insert(&mut self, attempt: AttemptId, in_flight: InFlightAttempt) {
        self.by_dispatcher
            .entry(in_flight.dispatcher)
            .or_default()
            .insert(attempt);
        self.by_id.insert(attempt, in_flight);
    }

    pub(crate) fn get(&self, attempt: &AttemptId) -> Option<&InFlightAttempt> {
        self.by_id.get(attempt)
    }

    pub(crate) fn get_mut(&mut self, attempt: &AttemptId) -> Option<&mut InFlightAttempt> {
        self.by_id.get_mut(attempt)
    }

    pub(crate) fn remove(&mut self, attempt: &AttemptId) -> Option<InFlightAttempt> {
        let in_flight = self.by_id.remove(attempt)?;
        if let Some(attempts) = self.by_dispatcher.get_mut(&in_flight.dispatcher) {
            attempts.remove(attempt);
        }
        Some(in_flight)
    }

    /// The attempts at one dispatcher, sorted so that runs are deterministic.
    pub(crate) fn ids_at(&self, dispatcher: DispatcherKey) -> Vec<AttemptId> {
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

    pub(crate) fn list(&self) -> Vec<(AttemptId, DispatcherKey, AttemptPhase)> {
        let mut list = Vec::with_capacity(self.by_id.len());
        for (attempt, in_flight) in &self.by_id {
            list.push((*attempt, in_flight.dispatcher, in_flight.phase));
        }
        list.sort_unstable_by_key(|(attempt, ..)| *attempt);
        list
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}
