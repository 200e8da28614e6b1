//! Simulated customers: submit jobs, retry unanswered ones, and probe which routes the nodes know.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use awc::{http::Method, Client, ClientRequest};
use fastrand::Rng;
use futures::future::{self, Either};
use jobs::JobId;
use platform_adapter::DEADLINE_HEADER;
use platform_stand_ins::{job_body, says_failed, timed_job_body};
use tokio::sync::Notify;

use crate::{
    fleet::{added_prefix, HOST, PREFIX},
    plan::CustomerPlan,
    record::{AttemptEnd, AttemptTrace, JobTrace, ProbeTrace, RouteAnswer, SoakRecord},
};

/// The deadline that customers send with a job.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_500);

/// How much longer than the deadline customers wait for an answer.
const CLIENT_WAIT_MARGIN: Duration = Duration::from_millis(1_000);

/// Delay before an unanswered job is submitted again. It exceeds the leases of workers.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(1_300);

/// The most attempts for one job.
const MAX_ATTEMPTS: usize = 3;

/// The estimate that customers send for a task that takes a worker's own run time, in milliseconds.
const SHORT_ESTIMATE_MS: u64 = 100;

/// How long a probe waits for an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The HTTP clients that customers share for each node.
const CLIENTS_PER_NODE: usize = 8;

/// The state that all simulated customers share.
pub(crate) struct CustomerSimulator {
    began: std::time::Instant,
    plan: CustomerPlan,
    nodes: Vec<SocketAddr>,
    clients: Vec<Vec<Client>>,
    /// Notified when connections to a node break, by node.
    resets: Vec<Notify>,
    /// The number of kept jobs whose customers have not finished.
    pub(crate) open_kept_jobs: Cell<usize>,
    pub(crate) record: Rc<RefCell<SoakRecord>>,
}

impl CustomerSimulator {
    pub(crate) fn new(
        began: std::time::Instant,
        plan: CustomerPlan,
        nodes: Vec<SocketAddr>,
        record: Rc<RefCell<SoakRecord>>,
    ) -> Self {
        let clients = nodes
            .iter()
            .map(|_| (0..CLIENTS_PER_NODE).map(|_| Client::default()).collect());
        Self {
            began,
            plan,
            clients: clients.collect(),
            resets: nodes.iter().map(|_| Notify::new()).collect(),
            nodes,
            open_kept_jobs: Cell::default(),
            record,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Submits one job, which is kept with the plan's probability, and follows it to its end.
    pub(crate) async fn run_customer(&self, mut rng: Rng) {
        // A plan without kept jobs gives the customers the same numbers as before there were any.
        if self.plan.kept_share > 0.0 && rng.f64() < self.plan.kept_share {
            self.follow_kept_job(rng).await;
        } else {
            self.submit_job(rng).await;
        }
    }

    pub(crate) fn draw_node(&self, rng: &mut Rng) -> usize {
        rng.usize(..self.nodes.len())
    }

    /// Returns a request for a job, to be sent by one of the clients of a node.
    pub(crate) fn job_request(
        &self,
        rng: &mut Rng,
        node: usize,
        method: Method,
        id: JobId,
    ) -> ClientRequest {
        let client = &self.clients[node][rng.usize(..CLIENTS_PER_NODE)];
        client
            .request(method, format!("http://{}{PREFIX}{id}", self.nodes[node]))
            .insert_header(("Host", HOST))
    }

    /// Submits one job, with retries, until it gets a final answer, its customer leaves early, or no attempt is left.
    async fn submit_job(&self, mut rng: Rng) {
        let id = JobId(rng.u64(..));
        let (tasks, body) = self.draw_job(&mut rng);
        let mut node = rng.usize(..self.nodes.len());
        let index = {
            let mut record = self.record.borrow_mut();
            record.jobs.push(JobTrace {
                id,
                tasks,
                deadline: DEADLINE,
                attempts: Vec::new(),
                open_since: None,
            });
            record.jobs.len() - 1
        };
        for _ in 0..MAX_ATTEMPTS {
            let (leaves_early, wait_limit) = self.draw_wait(&mut rng);
            self.record.borrow_mut().jobs[index].open_since = Some(self.now());
            let attempt = self.attempt(&mut rng, node, id, &body, wait_limit).await;
            {
                let mut record = self.record.borrow_mut();
                record.jobs[index].open_since = None;
                record.jobs[index].attempts.push(attempt);
            }
            if leaves_early || !is_unanswered(attempt.end) {
                return;
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
            node = rng.usize(..self.nodes.len());
        }
    }

    /// Draws whether a customer leaves early, and how long it waits for an answer.
    pub(crate) fn draw_wait(&self, rng: &mut Rng) -> (bool, Duration) {
        let leaves_early = rng.f64() < self.plan.early_leave_share;
        let wait_limit = if leaves_early {
            Duration::from_millis(rng.u64(5..300))
        } else {
            DEADLINE + CLIENT_WAIT_MARGIN
        };
        (leaves_early, wait_limit)
    }

    /// Draws the number of tasks of a job and its body.
    fn draw_job(&self, rng: &mut Rng) -> (u32, String) {
        let tasks = rng.u32(1..=self.plan.max_tasks);
        if rng.f64() >= self.plan.long_share {
            return (tasks, job_body(tasks, SHORT_ESTIMATE_MS).to_string());
        }
        let run_time_ms = u64::try_from(self.plan.long_run.as_millis()).unwrap_or(u64::MAX);
        (1, timed_job_body(1, run_time_ms).to_string())
    }

    pub(crate) async fn attempt(
        &self,
        rng: &mut Rng,
        node: usize,
        id: JobId,
        body: &str,
        wait_limit: Duration,
    ) -> AttemptTrace {
        let request = self
            .job_request(rng, node, Method::POST, id)
            .insert_header((DEADLINE_HEADER, DEADLINE.as_millis().to_string()))
            .timeout(DEADLINE + CLIENT_WAIT_MARGIN * 2);
        let body = body.to_owned();
        let sent = self.now();
        let complete_answer = async {
            let mut answer = request.send_body(body).await.ok()?;
            let status = answer.status().as_u16();
            let body = answer.body().await.ok()?;
            Some(match says_failed(&body) {
                true => AttemptEnd::Failed,
                false => AttemptEnd::Answered(status),
            })
        };
        let is_reset = rng.f64() < self.plan.reset_share;
        let reset = async {
            match is_reset {
                true => self.resets[node].notified().await,
                false => future::pending().await,
            }
        };
        let complete_answer = std::pin::pin!(complete_answer);
        let reset = std::pin::pin!(reset);
        let answer_or_reset = future::select(complete_answer, reset);
        let end = match actix_rt::time::timeout(wait_limit, answer_or_reset).await {
            Ok(Either::Left((Some(end), _))) => end,
            Ok(Either::Left((None, _)) | Either::Right(_)) => AttemptEnd::Broken,
            Err(_) => AttemptEnd::GaveUp,
        };
        AttemptTrace {
            node,
            sent,
            ended: self.now(),
            end,
        }
    }

    /// Breaks the connections of a share of the attempts that are under way at a node.
    pub(crate) fn reset_connections(&self, node: usize) {
        self.resets[node].notify_waiters();
    }

    /// Asks a node whether it knows the route added by `version`. Returns `None` if the answer does not show it.
    pub(crate) async fn probe(&self, node: usize, version: u64) -> Option<RouteAnswer> {
        let prefix = added_prefix(version);
        let request = self.clients[node][0]
            .get(format!("http://{}{prefix}", self.nodes[node]))
            .insert_header(("Host", HOST))
            .timeout(PROBE_TIMEOUT);
        match request.send().await.ok()?.status().as_u16() {
            200 => Some(RouteAnswer::Known),
            404 => Some(RouteAnswer::Unknown),
            503 => Some(RouteAnswer::NotReady),
            _ => None,
        }
    }

    /// Adds a probe to the record.
    pub(crate) fn record_probe(&self, trace: ProbeTrace) {
        self.record.borrow_mut().probes.push(trace);
    }
}

/// Returns whether the customer has to come again: the answer does not say what became of the job.
pub(crate) fn is_unanswered(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Broken | AttemptEnd::GaveUp | AttemptEnd::Answered(502 | 504)
    )
}
