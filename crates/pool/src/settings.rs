//! Times and limits of a pool.

use std::time::Duration;

use model::{DisabledMechanisms, LoadPolicies};

/// Times and limits of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// The lease of a worker's runs: how long they continue without a renewal by the owner. Below the longest lease
    /// that workers grant, 1 s, so that the runs of a dead owner are over before a customer's next attempt. Above the
    /// time of three polls.
    pub lease: Duration,
    /// How long a poll may wait at the worker for a run to end. Three polls fit into a lease.
    pub poll_wait: Duration,
    /// How much longer than its wait a poll may take before it counts as unanswered. Round trips within a region take
    /// under 5 ms, and a slowed process of the system takes some tens of milliseconds.
    pub poll_margin: Duration,
    /// The maximum to which `poll_margin` grows where answers are late in general. A poll, with its wait, has to end
    /// within the lease that it renews.
    pub max_poll_margin: Duration,
    /// The delay after which a second poll is sent beside an unanswered one, while answers are being lost. A lost poll
    /// hides all ended runs of its worker until the poll times out, and the objective of a wide job of short tasks
    /// leaves a tenth of a second in all for everything beside the run time.
    pub poll_hedge_delay: Duration,
    /// How long after a missed answer the pool assumes that answers are being lost. Such faults last seconds, and an
    /// unneeded poll costs some microseconds.
    pub lost_answer_memory: Duration,
    /// The minimum time that a start may go unanswered before it is sent again, about ten round trips. The time used
    /// grows where answers are late in general. Starting twice under one run number is idempotent, so a limit that is
    /// too short costs only a message.
    pub start_resend_delay: Duration,
    /// The maximum to which `start_resend_delay` grows: a start that is carried out later is of no use to most jobs.
    pub max_start_resend_delay: Duration,
    /// How long a start may go unanswered before its connection counts as silent. Its answer is accepted until then:
    /// closing a connection whose answer is only late costs a new connection on a path that is already full. Longer
    /// than a lease, so that the start can no longer be carried out.
    pub order_answer_timeout: Duration,
    /// The number of starts that may be resent for each order sent, beside a few that are always allowed. In the worst
    /// conditions seen, one start in 18 is lost. If more go unanswered, the path is full, and copies would only fill it
    /// further.
    pub max_resend_share: f64,
    /// The number of starts of one run that may go unanswered before the run is stopped and the task placed elsewhere.
    pub max_unanswered_starts: u32,
    /// The time between two attempts to reach a worker that does not answer.
    pub retry_delay: Duration,
    /// The margin after a lease's end, on the worker's clock, before the run counts as over. It covers a clock drift of
    /// 2% over a lease and the time that the run takes to end.
    pub lease_expiry_margin: Duration,
    /// A job is refused if its predicted time exceeds this multiple of its objective: work on late jobs makes others
    /// late.
    pub refusal_factor: f64,
    /// The multiple of a job's objective after which its answer is of no use to the customer.
    pub useless_factor: f64,
    /// The maximum number of waiting tasks. At 200 bytes per task this bounds the queue's memory to a few megabytes.
    pub max_queued_tasks: usize,
    /// The most memory that the jobs of all pools of a process may take, in bytes. Further jobs are refused.
    pub max_job_bytes: u64,
    /// The share of a pool's CPU capacity that tasks of mixed sizes can fill. The published backlog is computed with
    /// it.
    pub packing_share: f64,
    /// A run is checked for a stall once it takes this multiple of its predicted time.
    pub stall_factor: f64,
    /// Added to the time from `stall_factor`, so that short tasks are not stopped because of a late poll.
    pub stall_margin: Duration,
    /// How long a customer waits after an attempt without an answer before it submits the job again.
    pub customer_retry: Duration,
    /// The policies for decisions under load.
    pub policies: LoadPolicies,
    /// The mechanisms that are switched off, for experiments.
    pub switched_off: DisabledMechanisms,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(800),
            poll_wait: Duration::from_millis(250),
            poll_margin: Duration::from_millis(120),
            max_poll_margin: Duration::from_millis(500),
            poll_hedge_delay: Duration::from_millis(40),
            lost_answer_memory: Duration::from_secs(3),
            start_resend_delay: Duration::from_millis(30),
            max_start_resend_delay: Duration::from_millis(400),
            order_answer_timeout: Duration::from_millis(1_000),
            max_resend_share: 0.15,
            max_unanswered_starts: 3,
            retry_delay: Duration::from_millis(40),
            lease_expiry_margin: Duration::from_millis(60),
            refusal_factor: 1.0,
            useless_factor: 3.0,
            max_queued_tasks: 20_000,
            max_job_bytes: 15_000_000,
            packing_share: 0.85,
            stall_factor: 2.5,
            stall_margin: Duration::from_millis(60),
            customer_retry: Duration::from_millis(1_300),
            policies: LoadPolicies::default(),
            switched_off: DisabledMechanisms::default(),
        }
    }
}
