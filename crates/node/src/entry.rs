//! Hands a customer's job to the owner of a pool.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::OwnerView;
use futures::future::{select, Either};
use jobs::{JobOutcome, JobRequest, JobTerms, RefusalKind, RouteRule};
use model::DataCentreId;
use peer::JobCall;
use telemetry::{EventKind, EventLine};
use tokio::time::timeout;

use crate::{owner, state::NodeState};

/// When a customer may come back while no owner of a pool can be reached: an owner is replaced within a second.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);

/// The most pools that are asked for one job. The nearest takes it unless it is full; each further one costs a round
/// trip, and a job that three turned away is not helped by a fourth.
const MOST_ASKED: usize = 3;

/// A job as it came in.
pub(crate) struct EntryJob {
    pub(crate) request: Arc<JobRequest>,
    pub(crate) rule: Rc<RouteRule>,
    pub(crate) arrived: Instant,
    /// When its customer stops waiting.
    pub(crate) deadline: Instant,
}

/// Runs a job to its end.
pub(crate) async fn run_job(state: &Rc<NodeState>, job: &EntryJob) -> JobOutcome {
    let mut last = JobOutcome::Refused {
        kind: RefusalKind::Unreachable,
        retry_after: NO_OWNER_RETRY,
    };
    for (pool, owner) in pools_in_order(state).into_iter().take(MOST_ASKED) {
        let now = state.now();
        let left = job.deadline.saturating_duration_since(now);
        let call = job_call(state, job, &pool, now);
        let asked = timeout(left, ask(state, &pool, &owner, call)).await;
        let outcome = match asked {
            Ok(Some(outcome)) => outcome,
            Ok(None) => continue,
            Err(_) => JobOutcome::GivenUp,
        };
        note_asked(state, job, &pool, &owner, outcome);
        match outcome {
            JobOutcome::Refused { .. } => last = outcome,
            outcome => return outcome,
        }
    }
    last
}

/// The pools whose owners can take a job: this data centre's first, then by their load.
fn pools_in_order(state: &NodeState) -> Vec<(DataCentreId, OwnerView)> {
    let now = state.now();
    let keeper = state.keeper.borrow();
    let here = &state.settings.data_centre;
    let mut pools = Vec::new();
    for pool in keeper.pools() {
        let Some(owner) = keeper.owner(now, &pool) else {
            continue;
        };
        let reached = owner.here || state.links.get(owner.address).is_some();
        if owner.alive && reached {
            pools.push((pool, owner));
        }
    }
    pools.sort_by_key(|(pool, owner)| {
        let load = owner.load;
        (pool != here, load.backlog, std::cmp::Reverse(load.free))
    });
    pools
}

fn job_call(state: &NodeState, job: &EntryJob, pool: &DataCentreId, now: Instant) -> JobCall {
    let rule = &job.rule;
    JobCall {
        entry: state.node(),
        pool: pool.clone(),
        request: job.request.clone(),
        terms: JobTerms {
            service: rule.service.clone(),
            route: rule.name.clone(),
            priority: rule.priority,
            attempts: rule.attempts,
            stretch: rule.stretch,
            goal: rule.goal,
            time_left: job.deadline.saturating_duration_since(now),
            waited: now.saturating_duration_since(job.arrived),
        },
    }
}

/// Asks one owner. None if the job surely did not reach it.
async fn ask(
    state: &Rc<NodeState>,
    pool: &DataCentreId,
    owner: &OwnerView,
    call: JobCall,
) -> Option<JobOutcome> {
    if owner.here {
        return Some(owner::run_here(state.clone(), pool.clone(), call).await);
    }
    let link = state.links.get(owner.address)?;
    let lost = std::pin::pin!(link.lost.notified());
    let run = std::pin::pin!(link.link.run(&call));
    match select(run, lost).await {
        Either::Left((Ok(outcome), _)) => Some(outcome),
        // It may run there. Its owner stops it, or its lease ends, before the customer's next try.
        Either::Left((Err(_), _)) | Either::Right(_) => Some(JobOutcome::GivenUp),
    }
}

fn note_asked(
    state: &NodeState,
    job: &EntryJob,
    pool: &DataCentreId,
    owner: &OwnerView,
    outcome: JobOutcome,
) {
    let line = EventLine::new("job_asked")
        .text("job", job.request.id)
        .text("pool", pool)
        .text("owner", &owner.node)
        .number("fence", owner.fence.0);
    let (kind, line) = crate::notes::outcome_line(line, outcome);
    let waited = state.now().saturating_duration_since(job.arrived);
    state.log(kind, line.millis("waited_ms", waited));
}

/// Whether this node can have a job run at all.
pub(crate) fn can_serve(state: &NodeState) -> bool {
    !pools_in_order(state).is_empty()
}

/// Logs how a customer's request ended.
pub(crate) fn note_answered(state: &NodeState, job: &EntryJob, outcome: JobOutcome) {
    let line = EventLine::new("job_answered")
        .text("job", job.request.id)
        .text("route", &job.rule.name)
        .number("tasks", job.request.task_count());
    let (kind, line) = crate::notes::outcome_line(line, outcome);
    let kind = if kind == EventKind::Plain {
        EventKind::Plain
    } else {
        EventKind::Kept
    };
    let took = state.now().saturating_duration_since(job.arrived);
    let limit = job.deadline.saturating_duration_since(job.arrived);
    state.log(
        kind,
        line.millis("took_ms", took).millis("deadline_ms", limit),
    );
}
