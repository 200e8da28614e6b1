//! What a node counts and times.

use jobs::JobOutcome;
use pool::{PoolNote, StartAnswer};
use telemetry::{CounterFamily, NodeMetrics, TelemetryError, TimeFamily};

const ANSWERS: CounterFamily = CounterFamily {
    name: "node_answers_total",
    meaning: "Jobs answered to customers, by outcome",
    label: "outcome",
    values: &["completed", "failed", "refused", "given_up"],
};

const REFUSALS: CounterFamily = CounterFamily {
    name: "node_refusals_total",
    meaning: "Requests refused before anything of them ran, by reason",
    label: "reason",
    values: &[
        "too_late",
        "queue_full",
        "no_room_ever",
        "not_serving",
        "unreachable",
        "already_running",
        "unsupported",
        "process_paused",
        "no_configuration",
    ],
};

const ADMISSIONS: CounterFamily = CounterFamily {
    name: "node_admissions_total",
    meaning: "Jobs that reached a pool that this node owns, by decision",
    label: "decision",
    values: &["admitted", "refused"],
};

const RUN_ENDS: CounterFamily = CounterFamily {
    name: "node_run_ends_total",
    meaning: "Runs that workers listed as ended, by cause",
    label: "cause",
    values: &["done", "failed", "stopped", "lapsed", "gang"],
};

const RETRIES: CounterFamily = CounterFamily {
    name: "node_retries_total",
    meaning: "Tasks that wait for a place again, by why their run is over",
    label: "reason",
    values: &[
        "failed",
        "stopped",
        "lapsed",
        "gang",
        "turned_away",
        "new_life",
        "lease_over",
        "not_there",
    ],
};

const STARTS_NOT_DONE: CounterFamily = CounterFamily {
    name: "node_starts_not_done_total",
    meaning: "Starts that a worker did not answer with success, by answer",
    label: "answer",
    values: &[
        "outrun",
        "late",
        "no_room",
        "not_allowed",
        "no_answer",
        "new_life",
        "fenced_out",
        "unhealthy",
        "malformed",
    ],
};

const SUSPENSIONS: CounterFamily = CounterFamily {
    name: "node_suspensions_total",
    meaning: "Workers that get no new runs for a while, by cause",
    label: "cause",
    values: &["failing", "stalled", "silent", "unhealthy"],
};

const JOB_TIME: TimeFamily = TimeFamily {
    name: "node_job_seconds",
    meaning: "Time from a customer's request to its answer",
};

const QUEUE_WAIT: TimeFamily = TimeFamily {
    name: "node_queue_wait_seconds",
    meaning: "Time from a customer's request to the placing of each task",
};

const RUN_TIME: TimeFamily = TimeFamily {
    name: "node_run_seconds",
    meaning: "Time from the placing of a run to its listed end",
};

/// Every counter family, in the order of the page.
pub const COUNTERS: &[CounterFamily] = &[
    ANSWERS,
    REFUSALS,
    ADMISSIONS,
    RUN_ENDS,
    RETRIES,
    STARTS_NOT_DONE,
    SUSPENSIONS,
];

/// Every histogram, in the order of the page.
pub const TIMES: &[TimeFamily] = &[JOB_TIME, QUEUE_WAIT, RUN_TIME];

pub(crate) fn new_metrics() -> Result<NodeMetrics, TelemetryError> {
    NodeMetrics::new(COUNTERS, TIMES)
}

/// Counts a refusal that no job was read for.
pub(crate) fn count_refusal(metrics: &NodeMetrics, reason: &str) {
    metrics.count(REFUSALS.name, reason);
}

pub(crate) fn count_answer(metrics: &NodeMetrics, outcome: JobOutcome, took: std::time::Duration) {
    let name = match outcome {
        JobOutcome::Completed => "completed",
        JobOutcome::Failed => "failed",
        JobOutcome::GivenUp => "given_up",
        JobOutcome::Refused { kind, .. } => {
            metrics.count(REFUSALS.name, kind.as_str());
            "refused"
        }
    };
    metrics.count(ANSWERS.name, name);
    metrics.time(JOB_TIME.name, took);
}

pub(crate) fn count_note(metrics: &NodeMetrics, note: &PoolNote) {
    match note {
        PoolNote::Admission { refusal, .. } => {
            let decision = if refusal.is_some() {
                "refused"
            } else {
                "admitted"
            };
            metrics.count(ADMISSIONS.name, decision);
        }
        PoolNote::Placed { waited, .. } => metrics.time(QUEUE_WAIT.name, *waited),
        PoolNote::Ended { cause, took, .. } => {
            metrics.count(RUN_ENDS.name, cause.as_str());
            metrics.time(RUN_TIME.name, *took);
            if *cause != jobs::EndCause::Done {
                metrics.count(RETRIES.name, cause.as_str());
            }
        }
        PoolNote::RunLost { loss, .. } => {
            let reason = match loss {
                pool::RunLoss::Lapsed => "lease_over",
                loss => loss.as_str(),
            };
            metrics.count(RETRIES.name, reason);
        }
        PoolNote::StartTrouble { answer, .. } => {
            metrics.count(STARTS_NOT_DONE.name, start_answer(*answer));
        }
        PoolNote::Suspended { cause, .. } => metrics.count(SUSPENSIONS.name, cause.as_str()),
        _ => (),
    }
}

/// The text form of an answer to a start, in logs and metrics.
pub(crate) fn start_answer(answer: StartAnswer) -> &'static str {
    match answer {
        StartAnswer::Started(_) => "started",
        StartAnswer::Outrun(_) => "outrun",
        StartAnswer::Late(_) => "late",
        StartAnswer::NoRoom(_) => "no_room",
        StartAnswer::NotAllowed(_) => "not_allowed",
        StartAnswer::Failed(failure) => failure.as_str(),
    }
}
