//! Simulated customers: submit jobs, retry unanswered ones, and probe which routes the nodes know.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use awc::{http::Method, Client, ClientRequest};
use fastrand::Rng;
use futures::future;
use jobs::JobId;
use platform_adapter::DEADLINE_HEADER;
use platform_stand_ins::{estimated_job_body, job_body, says_failed, timed_job_body};
use stand_ins::forwarder::NetForwarder;
use tokio::sync::Notify;

use crate::{
    fleet::{added_prefix, HOST, PREFIX},
    plan::CustomerPlan,
    record::{AttemptEnd, AttemptTrace, JobTrace, ProbeTrace, RouteAnswer, SoakRecord},
    unheard::{PendingAnswer, UnheardBreaks},
};

/// The deadline that customers send with a job whose run time they know.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_500);

/// How much longer than the deadline customers wait for an answer.
const CLIENT_WAIT_MARGIN: Duration = Duration::from_millis(1_000);

/// Delay before an unanswered job is submitted again. It exceeds the leases of workers.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(1_300);

/// The most attempts for one job.
const MAX_ATTEMPTS: usize = 3;

/// The estimate that customers send for a task that takes a worker's own run time, in milliseconds.
const SHORT_ESTIMATE_MS: u64 = 100;

/// How far the estimates of the other run times are off at most, relative to these.
const ESTIMATE_ERROR: f64 = 0.4;

/// The deadline of a job whose run time is only estimated: a fixed part, and some times its run time.
const VARIED_DEADLINE: (Duration, u32) = (Duration::from_millis(1_500), 5);

/// How long a probe waits for an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The HTTP clients that customers share for each node.
const CLIENTS_PER_NODE: usize = 8;

/// What a customer submits in each attempt.
#[derive(Clone, Copy)]
pub(crate) struct Submission<'a> {
    pub(crate) id: JobId,
    pub(crate) body: &'a str,
    pub(crate) deadline: Duration,
}

/// A job as drawn.
struct DrawnJob {
    tasks: u32,
    body: String,
    deadline: Duration,
}

/// The state that all simulated customers share.
pub(crate) struct CustomerSimulator {
    began: std::time::Instant,
    pub(crate) plan: CustomerPlan,
    nodes: Vec<SocketAddr>,
    clients: Vec<Vec<Client>>,
    /// Notified when connections to a node break, by node.
    resets: Vec<Notify>,
    /// Breaks that nodes do not hear of.
    breaks: UnheardBreaks<Option<AttemptEnd>>,
    /// The number of jobs whose customers have not finished.
    pub(crate) open_jobs: Cell<usize>,
    pub(crate) record: Rc<RefCell<SoakRecord>>,
}

impl CustomerSimulator {
    pub(crate) fn new(
        began: std::time::Instant,
        plan: CustomerPlan,
        nodes: Vec<SocketAddr>,
        record: Rc<RefCell<SoakRecord>>,
        forwarder: Rc<NetForwarder>,
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
            breaks: UnheardBreaks::new(forwarder),
            open_jobs: Cell::default(),
            record,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Submits one job, which is kept with the plan's probability, and follows it to its end.
    pub(crate) async fn run_customer(&self, mut rng: Rng) {
        self.open_jobs.set(self.open_jobs.get() + 1);
        // A plan without kept jobs gives the customers the same numbers as before there were any.
        if self.plan.kept_share > 0.0 && rng.f64() < self.plan.kept_share {
            self.follow_kept_job(rng).await;
        } else {
            self.submit_job(rng).await;
        }
        self.open_jobs.set(self.open_jobs.get() - 1);
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
            .request(method, job_url(self.nodes[node], id))
            .insert_header(("Host", HOST))
    }

    /// Submits one job, with retries, until it gets a final answer, its customer leaves early, or no attempt is left.
    async fn submit_job(&self, mut rng: Rng) {
        let id = JobId(rng.u64(..));
        let DrawnJob {
            tasks,
            body,
            deadline,
        } = self.draw_job(&mut rng);
        let submission = Submission {
            id,
            body: &body,
            deadline,
        };
        let mut node = rng.usize(..self.nodes.len());
        let index = {
            let mut record = self.record.borrow_mut();
            record.jobs.push(JobTrace {
                id,
                tasks,
                deadline,
                attempts: Vec::new(),
                open_since: None,
            });
            record.jobs.len() - 1
        };
        for _ in 0..MAX_ATTEMPTS {
            let (leaves_early, wait_limit) = self.draw_wait(&mut rng, deadline);
            self.record.borrow_mut().jobs[index].open_since = Some(self.now());
            let attempt = self.attempt(&mut rng, node, submission, wait_limit).await;
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
    pub(crate) fn draw_wait(&self, rng: &mut Rng, deadline: Duration) -> (bool, Duration) {
        let leaves_early = rng.f64() < self.plan.early_leave_share;
        let wait_limit = if leaves_early {
            Duration::from_millis(rng.u64(5..300))
        } else {
            deadline + CLIENT_WAIT_MARGIN
        };
        (leaves_early, wait_limit)
    }

    fn draw_job(&self, rng: &mut Rng) -> DrawnJob {
        let tasks = rng.u32(1..=self.plan.max_tasks);
        if rng.f64() >= self.plan.long_share {
            return DrawnJob {
                tasks,
                body: job_body(tasks, SHORT_ESTIMATE_MS).to_string(),
                deadline: DEADLINE,
            };
        }
        // As with kept jobs, a plan without such jobs draws the same numbers as before.
        if self.plan.varied_share > 0.0 && rng.f64() < self.plan.varied_share {
            return self.draw_varied_job(rng);
        }
        let run_time_ms = u64::try_from(self.plan.long_run.as_millis()).unwrap_or(u64::MAX);
        DrawnJob {
            tasks: 1,
            body: timed_job_body(1, run_time_ms).to_string(),
            deadline: DEADLINE,
        }
    }

    fn draw_varied_job(&self, rng: &mut Rng) -> DrawnJob {
        let (shortest, longest) = self.plan.varied_runs_ms;
        let run_time = Duration::from_millis(rng.u64(shortest..=longest));
        let error = 1.0 + ESTIMATE_ERROR * (2.0 * rng.f64() - 1.0);
        let (fixed, factor) = VARIED_DEADLINE;
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let body = estimated_job_body(1, millis(run_time), millis(run_time.mul_f64(error)));
        DrawnJob {
            tasks: 1,
            body: body.to_string(),
            deadline: fixed + run_time * factor,
        }
    }

    pub(crate) async fn attempt(
        &self,
        rng: &mut Rng,
        node: usize,
        submission: Submission<'_>,
        wait_limit: Duration,
    ) -> AttemptTrace {
        let Submission { id, body, deadline } = submission;
        let mut request = self
            .job_request(rng, node, Method::POST, id)
            .insert_header((DEADLINE_HEADER, deadline.as_millis().to_string()))
            .timeout(deadline + CLIENT_WAIT_MARGIN * 2);
        let body = body.to_owned();
        let is_reset = rng.f64() < self.plan.reset_share;
        let mut unheard_break = None;
        // Without such breaks, the same numbers are drawn as before there were any.
        if self.plan.unheard_share > 0.0 && rng.f64() < self.plan.unheard_share {
            let (drawn, address) = self.breaks.draw(rng, self.nodes[node], deadline);
            request = request.uri(job_url(address, id));
            unheard_break = Some(drawn);
        }
        let sent = self.now();
        let mut answer: PendingAnswer<Option<AttemptEnd>> = Box::pin(async move {
            let mut answer = request.send_body(body).await.ok()?;
            let status = answer.status().as_u16();
            let body = answer.body().await.ok()?;
            Some(match says_failed(&body) {
                true => AttemptEnd::Failed,
                false => AttemptEnd::Answered(status),
            })
        });
        let reset = async {
            match is_reset {
                true => self.resets[node].notified().await,
                false => future::pending().await,
            }
        };
        let breaks_after = unheard_break.as_ref().map(|unheard| unheard.after);
        let unheard = async {
            match breaks_after {
                Some(after) => actix_rt::time::sleep(after).await,
                None => future::pending().await,
            }
        };
        let end = tokio::select! {
            biased;
            end = &mut answer => end.unwrap_or(AttemptEnd::Broken),
            () = reset => AttemptEnd::Broken,
            () = unheard => AttemptEnd::Unheard,
            () = actix_rt::time::sleep(wait_limit) => AttemptEnd::GaveUp,
        };
        let ended = self.now();
        if let (AttemptEnd::Unheard, Some(unheard_break)) = (end, unheard_break) {
            self.breaks.apply(unheard_break, answer).await;
        }
        AttemptTrace {
            node,
            sent,
            ended,
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

fn job_url(node: SocketAddr, id: JobId) -> String {
    format!("http://{node}{PREFIX}{id}")
}

/// Returns whether the customer has to come again: the answer does not say what became of the job.
pub(crate) fn is_unanswered(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Broken
            | AttemptEnd::Unheard
            | AttemptEnd::GaveUp
            | AttemptEnd::Answered(502 | 504)
    )
}
