//! Runs the jobs that the entries of other nodes send to the pools of this node.
//!
//! Each job runs under the lease of its connection: the owner ends it as soon as its entry has not confirmed it for the
//! length of the lease. The entry may be lost without any sign, and its customer then submits the job elsewhere.

use std::{cell::Cell, rc::Rc, time::Duration};

use claims::NodeId;
use futures::future::{select, Either, LocalBoxFuture};
use jobs::{JobAttemptId, JobId, JobOutcome, PoolId};
use peer::{JobCall, PoolService};
use pool::{AttemptLease, AttemptPresence, LeaseTerm};
use telemetry::{EventKind, EventLine};
use tokio::time::timeout;

use crate::{attempts, metrics, owner, state::NodeState};

/// The service that this node provides to an entry on one connection.
pub(crate) struct PoolPort {
    state: Rc<NodeState>,
    lease: Rc<Cell<AttemptLease>>,
}

impl PoolPort {
    /// The service of a new connection.
    pub(crate) fn new(state: Rc<NodeState>) -> Self {
        let lease = AttemptLease::new(state.attempt_times.entry_lease);
        Self {
            state,
            lease: Rc::new(Cell::new(lease)),
        }
    }

    /// Begins the attempt of a call that has arrived. None if the call was held up for so long that its customer may
    /// have submitted the job elsewhere.
    fn begin_attempt(&self, call: &JobCall) -> Option<LeaseTerm> {
        let now = self.state.clock.since_boot();
        let mut lease = self.lease.get();
        let term = lease.begin(now, call.sent_at);
        self.lease.set(lease);
        term
    }
}

impl PoolService for PoolPort {
    fn offer(&self, call: JobCall) -> u32 {
        owner::offer_locally(&self.state, &call)
    }

    fn renew(&self, sent_at: Duration) -> Duration {
        let now = self.state.clock.since_boot();
        let mut lease = self.lease.get();
        lease.confirm(now, sent_at);
        self.lease.set(lease);
        now
    }

    fn presence(&self, job: JobId, attempt: Option<JobAttemptId>, pool: PoolId) -> AttemptPresence {
        attempts::presence_here(&self.state, job, attempt, &pool)
    }

    fn run(&self, call: JobCall) -> LocalBoxFuture<'static, JobOutcome> {
        let state = self.state.clone();
        let age = state.clock.since_boot().saturating_sub(call.sent_at);
        record_arrival(&state, &call, age);
        let Some(term) = self.begin_attempt(&call) else {
            log_expired_call(&state, &call, age);
            return Box::pin(std::future::ready(owner::NOT_SERVING));
        };
        if state.has_paused() {
            return Box::pin(std::future::ready(owner::NOT_SERVING));
        }
        let attempt = LeasedAttempt {
            state,
            watch: LeaseWatch {
                lease: self.lease.clone(),
                term,
            },
            job: call.request.id,
            entry: call.entry.clone(),
        };
        Box::pin(attempt.run(call))
    }
}

/// Counts the time for which a call was under way as part of its customer's wait.
pub(crate) fn aged_call(mut call: JobCall, age: Duration) -> JobCall {
    call.terms.time_left = call.terms.time_left.saturating_sub(age);
    let retry_in = call.terms.retry_in;
    call.terms.retry_in = retry_in.map(|time| time.saturating_sub(age));
    call.terms.waited = call.terms.waited.saturating_add(age);
    call
}

/// Tells whether the lease of an attempt is over.
#[derive(Clone)]
pub(crate) struct LeaseWatch {
    lease: Rc<Cell<AttemptLease>>,
    term: LeaseTerm,
}

impl LeaseWatch {
    /// The time until the attempt ends unless it is confirmed again. None if it is over. `now` is the time since boot.
    pub(crate) fn time_left(&self, now: Duration) -> Option<Duration> {
        self.lease.get().time_left(now, self.term)
    }
}

/// An attempt that runs only while its entry confirms it.
struct LeasedAttempt {
    state: Rc<NodeState>,
    watch: LeaseWatch,
    job: JobId,
    entry: NodeId,
}

impl LeasedAttempt {
    /// Runs the job until it ends or its lease is over. The end of the lease cancels the job and stops its runs.
    async fn run(self, call: JobCall) -> JobOutcome {
        let watch = Some(self.watch.clone());
        // Read anew: the process may have stood still since the call was read.
        let made_at = self.state.now();
        let age = self.state.clock.since_boot().saturating_sub(call.sent_at);
        let call = aged_call(call, age);
        let run = owner::run_locally(self.state.clone(), call.pool.clone(), call, made_at, watch);
        let run = std::pin::pin!(run);
        let lease_end = std::pin::pin!(self.wait_for_lease_end());
        match select(run, lease_end).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => {
                self.log_end();
                JobOutcome::GivenUp
            }
        }
    }

    async fn wait_for_lease_end(&self) {
        while let Some(time_left) = self.time_left() {
            // Timers stand still while the machine is suspended, but the lease goes on.
            let _woken = timeout(time_left, self.state.late_tick.notified()).await;
        }
    }

    fn time_left(&self) -> Option<Duration> {
        let now = self.state.clock.since_boot();
        self.watch.time_left(now)
    }

    fn log_end(&self) {
        let now = self.state.clock.since_boot();
        let line = EventLine::new("job_cancelled")
            .text("why", "entry_unconfirmed")
            .text("job", self.job)
            .text("entry", &self.entry)
            .millis(
                "unconfirmed_ms",
                self.watch.lease.get().unconfirmed_time(now),
            );
        self.state.log(EventKind::Important, line);
    }
}

/// Logs and counts the age of a job call.
fn record_arrival(state: &NodeState, call: &JobCall, age: Duration) {
    metrics::time_call_age(&state.metrics, age);
    let line = EventLine::new("job_call_arrived")
        .text("job", call.request.id)
        .text("entry", &call.entry)
        .millis("age_ms", age);
    state.log(EventKind::Routine, line);
}

fn log_expired_call(state: &NodeState, call: &JobCall, age: Duration) {
    let line = EventLine::new("job_call_expired")
        .text("job", call.request.id)
        .text("entry", &call.entry)
        .millis("age_ms", age);
    state.log(EventKind::Important, line);
}
