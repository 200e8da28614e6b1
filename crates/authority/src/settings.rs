//! Limits of the entry's state.

use std::time::Duration;

use decisions::{AdmissionSettings, PlacementSettings, RetrySettings, RunTimeSettings};
use model::ByteSize;

/// The retries that a customer starts with at an entry: as many as it may save up later, one for each task that it has
/// running by default. Endpoints whose owner died are still busy for a moment when the next owner offers them work.
/// Customers are forgotten by the thousand only, so the retries are granted once in a process's life.
const INITIAL_RETRIES: f64 = 40.0;

/// Dispatchers drawn to take the best of. With the two or three dispatchers that a data centre has today, two draws send
/// one task in some to a full dispatcher beside a free one; with twenty, more draws than two make entries run to the
/// same one, and the setting has to go down again (docs/design/0002-decisions.md has both measured).
const DISPATCHER_DRAWS: u32 = 8;

/// Limits of the entry's state. Every table is bounded, so that a flood of submissions costs refusals, not memory.
#[derive(Clone, Debug)]
pub struct AuthoritySettings {
    /// Submissions without an answer at once. One more is refused as overloaded.
    pub max_open_submissions: usize,
    /// Bytes of their payloads together. A submission that would go above it is refused as overloaded.
    pub max_open_bytes: ByteSize,
    /// Answered submissions kept so that a second arrival gets the first answer.
    pub max_kept_answers: usize,
    /// Bytes of their results together. Above it the oldest are forgotten; a second arrival is then told "unknown".
    pub max_kept_bytes: ByteSize,
    /// How long an answer is kept.
    pub outcome_retention: Duration,
    /// How long an unused ticket is good.
    pub ticket_term: Duration,
    /// Unused tickets at once.
    pub max_tickets: usize,
    /// What is refused at submission.
    pub admission: AdmissionSettings,
    /// How dispatchers are chosen.
    pub placement: PlacementSettings,
    /// How run times are learned.
    pub run_times: RunTimeSettings,
    /// The budget of retries after refusals that tell of load.
    pub retries: RetrySettings,
    /// The first pause before a task is placed again after a refusal that tells of load.
    pub retry_backoff: Duration,
    /// The longest such pause.
    pub max_retry_backoff: Duration,
    /// How long submissions are still accepted after the last slot went out of reach. Endpoints of a dead dispatcher
    /// have another owner within its suspect time; refusing meanwhile would turn away work that can be done in time.
    pub capacity_grace: Duration,
    /// The time that a lost dispatcher has to come back before what may have started there is given up.
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
                first_saved: INITIAL_RETRIES,
                ..RetrySettings::default()
            },
            retry_backoff: Duration::from_millis(5),
            max_retry_backoff: Duration::from_millis(200),
            capacity_grace: Duration::from_secs(3),
            reconnect_wait: Duration::from_secs(5),
        }
    }
}
