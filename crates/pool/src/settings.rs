//! Times and limits of a pool.

use std::time::Duration;

use model::SwitchedOff;

/// Times and limits of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// How long a worker keeps runs going without word from the owner. Below the workers' own maximum of 1 s, so that
    /// what a dead owner left behind is over before its customer's next attempt; well above three looks.
    pub lease: Duration,
    /// How long a look may wait at the worker for an end. Three looks fit into a lease.
    pub poll_wait: Duration,
    /// How much longer than its wait a look may take before it counts as unanswered. Round trips within a region take
    /// under 5 ms; a slowed process of the system takes some tens.
    pub poll_margin: Duration,
    /// The most that `look_margin` grows to where answers come late on the whole: with its wait a look has to end within
    /// a lease, which it renews.
    pub max_poll_margin: Duration,
    /// While answers get lost, a look that has waited for this long gets a second one beside it, since a lost look hides
    /// all ends of its worker until it is given up, and a wide job of short tasks has a tenth of a second in all for what isn't
    /// work.
    pub poll_hedge_delay: Duration,
    /// How long after an answer was missed answers count as getting lost. Such troubles last seconds, and a look too many
    /// costs some microseconds.
    pub lost_answer_memory: Duration,
    /// The least time that a start may go unanswered before it is sent again, some ten round trips; answers that come
    /// later on the whole lengthen it. Starting twice under one run number is idempotent, so a short limit costs one
    /// message.
    pub start_resend_delay: Duration,
    /// The most that the same time grows to: a start that is carried out later is of no use to most jobs.
    pub max_start_resend_delay: Duration,
    /// How long a start or stop may go unanswered before its connection counts as silent. Its answer counts until then:
    /// closing a connection whose answer is only late costs a new one, on the path that is full already. Longer than a
    /// lease, so that the start can no longer be carried out.
    pub order_answer_timeout: Duration,
    /// Starts that are sent again, as a share of those sent first, beside a few that are always allowed. One in 18 gets
    /// lost in the worst times seen; more than that says that the path is full, and copies would only fill it further.
    pub max_resend_share: f64,
    /// Starts of one run that may go unanswered before the run is stopped and the task placed elsewhere.
    pub max_unanswered_starts: u32,
    /// The time between two tries of a worker that does not answer.
    pub retry_delay: Duration,
    /// Added to a lease's end on a worker's clock before the run counts as over: the clock's drift of 2% over a lease
    /// and the time to end.
    pub lease_expiry_margin: Duration,
    /// A job whose predicted end is beyond this many times its objective is refused: work on late jobs makes others late.
    pub refusal_factor: f64,
    /// Beyond this many times its objective an answer is worth nothing to its customer.
    pub useless_factor: f64,
    /// The most tasks that wait. At 200 bytes a task this bounds the queue's memory to a few megabytes.
    pub max_queued_tasks: usize,
    /// The share of a pool's processor room that tasks of mixed sizes fill, for the published backlog.
    pub packing_share: f64,
    /// A run is looked at for a stall once it takes this many times its predicted time.
    pub stall_factor: f64,
    /// Added to `stall_after`, so that short tasks are not stopped for a late look.
    pub stall_margin: Duration,
    /// What does not work, for experiments.
    pub switched_off: SwitchedOff,
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
            packing_share: 0.85,
            stall_factor: 2.5,
            stall_margin: Duration::from_millis(60),
            switched_off: SwitchedOff::default(),
        }
    }
}
