//! Settings of the authority.

use std::time::Duration;

use decisions::{AdmissionSettings, PlacementSettings, RetrySettings, RunTimeSettings};
use model::ByteSize;

/// Retries that a customer's budget holds when an entry first sees the customer. They are as many as the customer may
/// save up later: one for each task that it has running by default. The endpoints of a dead owner are still busy for a
/// moment when the next owner offers them work, so a customer needs retries before it has saved any. The budget forgets
/// customers only above thousands of them, so the retries are granted once in a process's life.
const INITIAL_RETRIES: f64 = 40.0;

/// Number of dispatchers drawn at random, of which the best is chosen. With the two or three dispatchers that a data
/// centre has today, two draws send some tasks to a full dispatcher although another is free. With twenty dispatchers,
/// more than two draws make several entries choose the same one, and this value has to be reduced (see
/// docs/design/0002-decisions.md for figures on both).
const DISPATCHER_DRAWS: u32 = 8;

/// Settings of the authority. Every table is bounded, so that a flood of submissions leads to refusals and not to
/// unbounded memory use.
#[derive(Clone, Debug)]
pub struct AuthoritySettings {
    /// Maximum number of open submissions, which are those without an answer. A further one is refused as overloaded.
    pub max_open_submissions: usize,
    /// Maximum payload size of all open submissions together. A submission that would exceed it is refused as
    /// overloaded.
    pub max_open_bytes: ByteSize,
    /// Maximum number of answered submissions kept, so that a duplicate gets the first answer.
    pub max_kept_answers: usize,
    /// Maximum result size of all kept answers together. Above it the oldest are dropped, and a duplicate of such a
    /// submission is answered "unknown".
    pub max_kept_bytes: ByteSize,
    /// How long an answer is kept.
    pub outcome_retention: Duration,
    /// How long an unused ticket is valid.
    pub ticket_term: Duration,
    /// Maximum number of unused tickets.
    pub max_tickets: usize,
    /// The admission rules for new submissions.
    pub admission: AdmissionSettings,
    /// How dispatchers are chosen.
    pub placement: PlacementSettings,
    /// How run times are estimated.
    pub run_times: RunTimeSettings,
    /// The budget for retries after refusals that are caused by overload.
    pub retries: RetrySettings,
    /// Base of the exponential backoff before a task is placed again after a refusal that is caused by overload. The
    /// first backoff lasts between one and two times this value.
    pub initial_retry_backoff: Duration,
    /// Upper bound of the backoff that starts with `initial_retry_backoff`.
    pub max_retry_backoff: Duration,
    /// How long submissions are still accepted after the last slot became unreachable. The endpoints of a dead
    /// dispatcher get another owner within its suspect time, so work refused in the meantime could have been done in
    /// time.
    pub capacity_grace: Duration,
    /// How long a lost dispatcher may take to reconnect before attempts that may have started there are given up.
    pub reconnect_wait: Duration,
}

impl Default for AuthoritySettings {
    fn default() -> Self {
        Self {
            max_open_submissions: 20_000,
            max_open_bytes: ByteSize(256 * 1024 * 1024),
            max_kept_answers: 50_000,
            max_kept_bytes: ByteSize(256 * 1024 * 1024),
            outcome_retention: Duration::from_secs(120),
            ticket_term: Duration::from_secs(600),
            max_tickets: 50_000,
            admission: AdmissionSettings::default(),
            placement: PlacementSettings {
                draws: DISPATCHER_DRAWS,
                ..PlacementSettings::default()
            },
            run_times: RunTimeSettings::default(),
            retries: RetrySettings {
                initial_tokens: INITIAL_RETRIES,
                ..RetrySettings::default()
            },
            initial_retry_backoff: Duration::from_millis(5),
            max_retry_backoff: Duration::from_millis(200),
            capacity_grace: Duration::from_secs(3),
            reconnect_wait: Duration::from_secs(5),
        }
    }
}
