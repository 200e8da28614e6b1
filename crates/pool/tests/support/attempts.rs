//! The registered attempts in the simulated store.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use jobs::{FenceToken, JobAttemptId, JobId};
use pool::{AttemptLookup, AttemptRegistration};

use super::{Event, Simulation, STORE_TIME_MS};

/// The number of the pool that has registered an attempt.
pub(crate) type PoolNumber = u64;

/// A registration of an attempt.
#[derive(Clone, Copy)]
struct Registration {
    attempt: Option<JobAttemptId>,
    /// Until when runs of the attempt may be left, in simulated milliseconds.
    until: u64,
}

/// The registered attempts. Clones share the rows.
#[derive(Clone, Default)]
pub(crate) struct AttemptTable {
    rows: Rc<RefCell<BTreeMap<(JobId, PoolNumber), Registration>>>,
    /// The number of calls that registered an attempt.
    pub(crate) calls: usize,
    /// The number of this pool.
    pub(crate) pool: PoolNumber,
}

impl AttemptTable {
    /// The table as another pool sees it.
    pub(crate) fn for_pool(&self, pool: PoolNumber) -> Self {
        let rows = self.rows.clone();
        Self {
            rows,
            calls: 0,
            pool,
        }
    }

    pub(crate) fn remove(&self, job: JobId) {
        self.rows.borrow_mut().remove(&(job, self.pool));
    }

    /// The number of registrations.
    pub(crate) fn len(&self) -> usize {
        self.rows.borrow().len()
    }

    fn register(&self, job: JobId, registration: Registration) {
        let mut rows = self.rows.borrow_mut();
        let row = rows.entry((job, self.pool)).or_insert(registration);
        row.until = registration.until.max(row.until);
        row.attempt = registration.attempt;
    }

    /// Until when runs of other attempts may be left.
    fn latest(&self, job: JobId, attempt: Option<JobAttemptId>) -> Option<u64> {
        let rows = self.rows.borrow();
        let of_job = rows.range((job, 0)..=(job, PoolNumber::MAX));
        let others = of_job.filter(|(_, row)| !JobAttemptId::is_same(row.attempt, attempt));
        others.map(|(_, row)| row.until).max()
    }
}

impl Simulation {
    pub(super) fn look_up_attempts(
        &mut self,
        fence: FenceToken,
        job: JobId,
        attempt: Option<JobAttemptId>,
    ) {
        let latest = self.attempts.latest(job, attempt);
        let lookup = match latest.filter(|until| *until > self.now) {
            _ if !self.store_up => AttemptLookup::Unknown,
            None => AttemptLookup::Clear,
            Some(until) => {
                let left = Duration::from_millis(until - self.now);
                AttemptLookup::Until(self.instant() + left)
            }
        };
        let answer = Event::AttemptLookup(fence, job, lookup);
        self.post(STORE_TIME_MS / 2, answer);
    }

    pub(super) fn register_attempt(
        &mut self,
        fence: FenceToken,
        registration: AttemptRegistration,
    ) {
        let until = self.now + super::millis(registration.lifetime);
        self.attempts.calls += 1;
        if self.store_up {
            let attempt = registration.attempt;
            let row = Registration { attempt, until };
            self.attempts.register(registration.job, row);
        }
        let until = self.store_up.then_some(until);
        let answer = Event::AttemptRegistered(fence, registration, until);
        self.post(STORE_TIME_MS / 2, answer);
    }
}
