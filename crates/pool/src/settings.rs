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
    pub look_wait: Duration,
    /// How much longer than its wait a look may take before it counts as unanswered. Round trips within a region take
    /// under 5 ms; a slowed process of the system takes some tens.
    pub look_margin: Duration,
    /// The most that `look_margin` grows to where answers come late on the whole: with its wait a look has to end within
    /// a lease, which it renews.
    pub longest_look_margin: Duration,
    /// While answers get lost, a look that has waited for this long gets a second one beside it, since a lost look hides
    /// all ends of its worker until it is given up, and a wide job of short tasks has a tenth of a second in all for what isn't
    /// work.
    pub look_hedge: Duration,
    /// How long after an answer was missed answers count as getting lost. Such troubles last seconds, and a look too many
    /// costs some microseconds.
    pub loss_memory: Duration,
    /// The least time that a start may go unanswered before it is sent again, some ten round trips; answers that come
    /// later on the whole lengthen it. Starting twice under one run number is idempotent, so a short limit costs one
    /// message.
    pub order_timeout: Duration,
    /// The most that the same time grows to: a start that is carried out later is of no use to most jobs.
    pub longest_order_timeout: Duration,
    /// How long a start or stop may go unanswered before its connection counts as silent. Its answer counts until then:
    /// closing a connection whose answer is only late costs a new one, on the path that is full already. Longer than a
    /// lease, so that the start can no longer be carried out.
    pub order_give_up: Duration,
    /// Starts that are sent again, as a share of those sent first, beside a few that are always allowed. One in 18 gets
    /// lost in the worst times seen; more than that says that the path is full, and copies would only fill it further.
    pub repeat_share: f64,
    /// Starts of one run that may go unanswered before the run is stopped and the task placed elsewhere.
    pub start_tries: u32,
    /// The time between two tries of a worker that does not answer.
    pub retry_pause: Duration,
    /// Added to a lease's end on a worker's clock before the run counts as over: the clock's drift of 2% over a lease
    /// and the time to end.
    pub lapse_margin: Duration,
    /// A job whose predicted end is beyond this many times its objective is refused: work on late jobs makes others late.
    pub refuse_beyond: f64,
    /// Beyond this many times its objective an answer is worth nothing to its customer.
    pub useless_beyond: f64,
    /// The most tasks that wait. At 200 bytes a task this bounds the queue's memory to a few megabytes.
    pub most_queued: usize,
    /// The share of a pool's processor room that tasks of mixed sizes fill, for the published backlog.
    pub packing: f64,
    /// A run is looked at for a stall once it takes this many times its predicted time.
    pub stall_after: f64,
    /// Added to `stall_after`, so that short tasks are not stopped for a late look.
    pub stall_margin: Duration,
    /// What does not work, for experiments.
    pub switched_off: SwitchedOff,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(800),
            look_wait: Duration::from_millis(250),
            look_margin: Duration::from_millis(120),
            longest_look_margin: Duration::from_millis(500),
            look_hedge: Duration::from_millis(40),
            loss_memory: Duration::from_secs(3),
            order_timeout: Duration::from_millis(30),
            longest_order_timeout: Duration::from_millis(400),
            order_give_up: Duration::from_millis(1_000),
            repeat_share: 0.15,
            start_tries: 3,
            retry_pause: Duration::from_millis(40),
            lapse_margin: Duration::from_millis(60),
            refuse_beyond: 1.0,
            useless_beyond: 3.0,
            most_queued: 20_000,
            packing: 0.85,
            stall_after: 2.5,
            stall_margin: Duration::from_millis(60),
            switched_off: SwitchedOff::default(),
        }
    }
}
