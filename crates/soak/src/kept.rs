//! Customers of kept jobs: they submit a job until it is accepted, ask for its state until it is final, and sometimes
//! cancel it or submit it once more.

use std::time::Duration;

use awc::http::Method;
use fastrand::Rng;
use futures::future;
use jobs::JobId;
use platform_stand_ins::{crashing_job_body, job_state, kept_steps_body};

use crate::{
    customers::{is_unanswered, CustomerSimulator, Submission, DEADLINE, RETRY_DELAY},
    record::{AttemptEnd, KeptState, KeptTrace, StateRead},
};

/// The most tasks of a kept job.
const MAX_TASKS: u32 = 3;

/// Bounds of the run time of its tasks, in milliseconds.
const RUN_TIMES_MS: (u64, u64) = (50, 600);

/// The most attempts to submit a job.
const MAX_ATTEMPTS: usize = 8;

/// Bounds of the time between two questions for a job's state, in milliseconds.
const READ_GAPS_MS: (u64, u64) = (200, 800);

/// How long after a final state its customer asks once more.
const LAST_READ_DELAY: Duration = Duration::from_secs(3);

/// The share of accepted jobs that are cancelled.
const CANCEL_SHARE: f64 = 0.15;

/// Bounds of the time from acceptance to cancellation, in milliseconds.
const CANCEL_DELAYS_MS: (u64, u64) = (0, 900);

/// The share of accepted jobs that are submitted once more, as by a request that was held up on its way.
const RESUBMIT_SHARE: f64 = 0.1;

/// Bounds of the time from acceptance to that submission, in milliseconds.
const RESUBMIT_DELAYS_MS: (u64, u64) = (100, 3_000);

/// Pause between two tries of a request without an answer.
const REQUEST_PAUSE: Duration = Duration::from_millis(500);

/// How long a customer waits for a state or an acknowledgement.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

impl CustomerSimulator {
    /// Submits a kept job and follows it until it is final.
    pub(crate) async fn follow_kept_job(&self, mut rng: Rng) {
        let tasks = rng.u32(1..=MAX_TASKS);
        let run_time_ms = rng.u64(RUN_TIMES_MS.0..RUN_TIMES_MS.1);
        // A plan without such jobs gives the customers the same numbers as before there were any.
        let plan = &self.plan;
        let steps = match plan.kept_steps {
            0 | 1 => 1,
            most => rng.u32(1..=most),
        };
        let fails = plan.kept_failing_share > 0.0 && rng.f64() < plan.kept_failing_share;
        let body = kept_steps_body(steps, tasks, run_time_ms, fails);
        self.follow_job(rng, body.to_string(), tasks * steps, false)
            .await;
    }

    /// Submits a kept job whose task crashes every worker that runs it, and follows it until it is final.
    pub(crate) async fn follow_crashing_job(&self, rng: Rng) {
        self.open_jobs.set(self.open_jobs.get() + 1);
        let body = crashing_job_body(RUN_TIMES_MS.0);
        self.follow_job(rng, body.to_string(), 1, true).await;
        self.open_jobs.set(self.open_jobs.get() - 1);
    }

    async fn follow_job(&self, mut rng: Rng, body: String, tasks: u32, crashes_workers: bool) {
        let id = JobId(rng.u64(..));
        let job = KeptJob::new(self, id, body);
        job.update_trace(|trace| {
            trace.tasks = tasks;
            trace.crashes_workers = crashes_workers;
        });
        if job.submit(&mut rng).await {
            let cancels = rng.f64() < CANCEL_SHARE;
            let resubmits = rng.f64() < RESUBMIT_SHARE;
            future::join3(
                job.read_until_final(rng.fork()),
                job.cancel(rng.fork(), cancels),
                job.resubmit(rng.fork(), resubmits),
            )
            .await;
        }
    }
}

/// A kept job of one customer.
struct KeptJob<'a> {
    simulator: &'a CustomerSimulator,
    id: JobId,
    body: String,
    /// The index of its trace in the record.
    index: usize,
}

impl<'a> KeptJob<'a> {
    fn new(simulator: &'a CustomerSimulator, id: JobId, body: String) -> Self {
        let mut record = simulator.record.borrow_mut();
        record.kept_jobs.push(KeptTrace {
            id,
            tasks: 1,
            crashes_workers: false,
            deadline: DEADLINE,
            attempts: Vec::new(),
            reads: Vec::new(),
            cancel_sent: None,
            cancel_acknowledged: None,
        });
        Self {
            simulator,
            id,
            body,
            index: record.kept_jobs.len() - 1,
        }
    }

    fn update_trace(&self, change: impl FnOnce(&mut KeptTrace)) {
        change(&mut self.simulator.record.borrow_mut().kept_jobs[self.index]);
    }

    /// Submits the job until an answer says what became of it. Returns whether it is accepted.
    async fn submit(&self, rng: &mut Rng) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            let end = self.submit_once(rng).await;
            if !is_unanswered(end) {
                return matches!(end, AttemptEnd::Answered(200..300) | AttemptEnd::Failed);
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        false
    }

    async fn submit_once(&self, rng: &mut Rng) -> AttemptEnd {
        let (_, wait_limit) = self.simulator.draw_wait(rng, DEADLINE);
        let node = self.simulator.draw_node(rng);
        let submission = Submission {
            id: self.id,
            body: &self.body,
            deadline: DEADLINE,
        };
        let attempt = self
            .simulator
            .attempt(rng, node, submission, wait_limit)
            .await;
        self.update_trace(|trace| trace.attempts.push(attempt));
        attempt.end
    }

    /// Submits the accepted job once more, if this is one of those jobs.
    async fn resubmit(&self, mut rng: Rng, resubmits: bool) {
        if resubmits {
            sleep_between(&mut rng, RESUBMIT_DELAYS_MS).await;
            self.submit_once(&mut rng).await;
        }
    }

    /// Cancels the accepted job, if this is one of those jobs.
    async fn cancel(&self, mut rng: Rng, cancels: bool) {
        if !cancels {
            return;
        }
        sleep_between(&mut rng, CANCEL_DELAYS_MS).await;
        let sent = self.simulator.now();
        self.update_trace(|trace| trace.cancel_sent = Some(sent));
        loop {
            let node = self.simulator.draw_node(&mut rng);
            if let Some((200..300 | 410, _)) = self.request(&mut rng, node, Method::DELETE).await {
                let acknowledged = self.simulator.now();
                self.update_trace(|trace| trace.cancel_acknowledged = Some(acknowledged));
                return;
            }
            actix_rt::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Asks for the state until it is final, and once more later.
    async fn read_until_final(&self, mut rng: Rng) {
        while !self
            .read_state(&mut rng)
            .await
            .is_some_and(KeptState::is_final)
        {
            sleep_between(&mut rng, READ_GAPS_MS).await;
        }
        actix_rt::time::sleep(LAST_READ_DELAY).await;
        while self.read_state(&mut rng).await.is_none() {
            actix_rt::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Asks a node for the state. Returns `None` if the answer does not show it.
    async fn read_state(&self, rng: &mut Rng) -> Option<KeptState> {
        let sent = self.simulator.now();
        let node = self.simulator.draw_node(rng);
        let (status, answer) = self.request(rng, node, Method::GET).await?;
        let state = kept_state(status, &answer)?;
        let read = StateRead {
            node,
            sent,
            answered: self.simulator.now(),
            state,
        };
        self.update_trace(|trace| trace.reads.push(read));
        Some(state)
    }

    /// Sends a request without a body to a node. Returns the status and the body of a complete answer.
    async fn request(&self, rng: &mut Rng, node: usize, method: Method) -> Option<(u16, Vec<u8>)> {
        let request = self.simulator.job_request(rng, node, method, self.id);
        let mut answer = request.timeout(REQUEST_TIMEOUT).send().await.ok()?;
        let body = answer.body().await.ok()?;
        Some((answer.status().as_u16(), body.to_vec()))
    }
}

fn kept_state(status: u16, answer: &[u8]) -> Option<KeptState> {
    if status == 410 {
        return Some(KeptState::Unknown);
    }
    match job_state(answer)?.as_str() {
        "completed" => Some(KeptState::Completed),
        "failed" => Some(KeptState::Failed),
        "canceled" => Some(KeptState::Cancelled),
        "queued" | "running" => Some(KeptState::Open),
        _ => None,
    }
}

async fn sleep_between(rng: &mut Rng, bounds_ms: (u64, u64)) {
    let delay = Duration::from_millis(rng.u64(bounds_ms.0..bounds_ms.1));
    actix_rt::time::sleep(delay).await;
}
