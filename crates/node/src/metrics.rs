//! The metrics of a node.

use http_server::{GateEvent, GateSnapshot};
use jobs::{EndCause, JobOutcome, RefusalKind};
use pool::{
    AttemptLookup, CallFailure, PoolEvent, RunLoss, StallEvidence, StartAnswer, SuspensionCause,
};
use telemetry::{
    CounterFamily, NodeMetrics, TelemetryError, TimeFamily, TrafficCounters, TrafficKind,
};

use crate::{entry::OfferOutcome, list_schedule::ListSource};

const ANSWERS: &str = "node_answers_total";
const REFUSALS: &str = "node_refusals_total";
const ADMISSIONS: &str = "node_admissions_total";
const RETURNS: &str = "node_returns_total";
const RUN_ENDS: &str = "node_run_ends_total";
const RETRIES: &str = "node_retries_total";
const STARTS_NOT_DONE: &str = "node_starts_not_done_total";
const SUSPENSIONS: &str = "node_suspensions_total";
const STALLS: &str = "node_stalls_total";
const LIST_SOURCES: &str = "node_worker_lists_total";
const CAPACITY_CHANGES: &str = "node_room_changes_total";
const CRASHES: &str = "node_crashes_total";
const EVACUATIONS: &str = "node_evacuations_total";
const OFFER_ROUNDS: &str = "node_offer_rounds_total";
const OFFERS: &str = "node_offers_total";
const LOOKUPS: &str = "node_attempt_lookups_total";
const REGISTRATIONS: &str = "node_attempt_registrations_total";
const CALLS: &str = "node_traffic_calls_total";
const SENT_BYTES: &str = "node_traffic_sent_bytes_total";
const RECEIVED_BYTES: &str = "node_traffic_received_bytes_total";
const CLIENT_EVENTS: &str = "node_client_limits_total";

/// Reasons of refusals before a job was read.
pub(crate) const EARLY_REFUSAL_REASONS: [&str; 4] = [
    "process_paused",
    "process_stopped",
    "no_configuration",
    "configuration_old",
];

/// Answers to a start, apart from failures of the call.
const START_ANSWERS: [&str; 4] = ["outrun", "late", "no_room", "not_allowed"];

/// Every counter family, in the order of the page. Label values are the texts that the log uses too.
pub fn counter_families() -> Vec<CounterFamily> {
    let family = |name, meaning, label, values| CounterFamily {
        name,
        meaning,
        label,
        values,
    };
    let refusals = RefusalKind::ALL.iter().map(|kind| kind.as_str());
    let ends = || EndCause::ALL.iter().map(|cause| cause.as_str());
    let losses = RunLoss::ALL.iter().map(|loss| loss.as_str());
    let failures = CallFailure::ALL.iter().map(|failure| failure.as_str());
    let suspensions = SuspensionCause::ALL.iter().map(|cause| cause.as_str());
    let stalls = StallEvidence::ALL.iter().map(|evidence| evidence.as_str());
    let kinds = || TrafficKind::ALL.iter().map(|kind| kind.as_str());
    vec![
        family(
            ANSWERS,
            "Jobs answered to customers, by outcome",
            "outcome",
            vec!["completed", "accepted", "failed", "refused", "given_up"],
        ),
        family(
            REFUSALS,
            "Requests refused before anything of them ran, by reason",
            "reason",
            refusals.chain(EARLY_REFUSAL_REASONS).collect(),
        ),
        family(
            ADMISSIONS,
            "Jobs that reached a pool that this node owns, by decision",
            "decision",
            vec!["admitted", "refused"],
        ),
        family(
            RETURNS,
            "Scheduled returns of refused jobs, by step: the caller was told a time, it came in its turn, it did not come",
            "step",
            vec!["scheduled", "kept", "missed"],
        ),
        family(
            RUN_ENDS,
            "Runs that workers listed as ended, by cause",
            "cause",
            ends().collect(),
        ),
        family(
            RETRIES,
            "Tasks that wait for a place again, by why their run is over",
            "reason",
            ends()
                .filter(|cause| *cause != EndCause::Done.as_str())
                .chain(losses)
                .collect(),
        ),
        family(
            STARTS_NOT_DONE,
            "Starts that a worker did not answer with success, by answer",
            "answer",
            START_ANSWERS.into_iter().chain(failures).collect(),
        ),
        family(
            SUSPENSIONS,
            "Workers that get no new runs for a while, by cause",
            "cause",
            suspensions.collect(),
        ),
        family(
            STALLS,
            "Runs that were stopped as stalled, by what showed it",
            "evidence",
            stalls.collect(),
        ),
        family(
            LIST_SOURCES,
            "Lists of workers that were read or confirmed by another node's reading, by where they came from",
            "source",
            ListSource::ALL.iter().map(|source| source.as_str()).collect(),
        ),
        family(
            CAPACITY_CHANGES,
            "Changes of a worker's room while it ran, by whether it holds what it held before",
            "change",
            vec!["grown", "shrunk"],
        ),
        family(
            CRASHES,
            "Workers lost with runs, by what followed: their tasks are suspects, the losses have one cause, the worker lives; and \
             tasks that are named",
            "finding",
            vec!["suspected", "common", "cleared", "culprit"],
        ),
        family(
            EVACUATIONS,
            "Evacuations of data centres that this node has read, by change",
            "change",
            vec!["begun", "ended"],
        ),
        family(
            OFFER_ROUNDS,
            "Rounds in which pools were asked for offers by expected end, by what followed",
            "outcome",
            OfferOutcome::ALL.iter().map(|outcome| outcome.as_str()).collect(),
        ),
        family(
            OFFERS,
            "Offers that pools of this node made while jobs are placed by expected end, by how much of the job they cover",
            "fits",
            vec!["whole", "part", "none"],
        ),
        family(
            LOOKUPS,
            "Lookups of other attempts at jobs that may outlast their customers' pause, by what was found",
            "found",
            vec!["none", "runs", "unknown"],
        ),
        family(
            REGISTRATIONS,
            "Registrations of attempts in the store, by whether they hold",
            "outcome",
            vec!["registered", "failed"],
        ),
        family(
            CALLS,
            "Calls, datagrams and customers' requests, by what they are for; between entries and owners none are counted",
            "kind",
            kinds().collect(),
        ),
        family(
            SENT_BYTES,
            "Bytes sent, with heads of HTTP and without those of TCP and UDP, by what they are for",
            "kind",
            kinds().collect(),
        ),
        family(
            RECEIVED_BYTES,
            "Bytes received, likewise",
            "kind",
            kinds().collect(),
        ),
        family(
            CLIENT_EVENTS,
            "Clients that were turned away or cut off to stay within the limits on memory, descriptors and time, by what was done",
            "event",
            GateEvent::ALL.iter().map(|event| event.as_str()).collect(),
        ),
    ]
}

const JOB_TIME_FAMILY: TimeFamily = TimeFamily {
    name: "node_job_seconds",
    meaning: "Time from a customer's request to its answer",
};

const QUEUE_WAIT_FAMILY: TimeFamily = TimeFamily {
    name: "node_queue_wait_seconds",
    meaning: "Time from a customer's request to the placing of each task",
};

const RUN_TIME_FAMILY: TimeFamily = TimeFamily {
    name: "node_run_seconds",
    meaning: "Time from the placing of a run to its listed end",
};

const CALL_AGE_FAMILY: TimeFamily = TimeFamily {
    name: "node_job_call_age_seconds",
    meaning: "Time from an entry's sending of a job to its arrival at the owner, or more",
};

const OVERRUN_FAMILY: TimeFamily = TimeFamily {
    name: "node_attempt_overrun_seconds",
    meaning: "Time from the end of a job at its owner to the end of the last of its runs, if any was left",
};

/// Every histogram family, in the order of the page.
pub const TIME_FAMILIES: &[TimeFamily] = &[
    JOB_TIME_FAMILY,
    QUEUE_WAIT_FAMILY,
    RUN_TIME_FAMILY,
    CALL_AGE_FAMILY,
    OVERRUN_FAMILY,
];

pub(crate) fn new_metrics() -> Result<NodeMetrics, TelemetryError> {
    NodeMetrics::new(&counter_families(), TIME_FAMILIES)
}

/// Copies the traffic counters into the metrics.
pub(crate) fn set_traffic(metrics: &NodeMetrics, counters: &TrafficCounters) {
    for kind in TrafficKind::ALL {
        let count = counters.count(*kind);
        metrics.set(CALLS, kind.as_str(), count.calls);
        metrics.set(SENT_BYTES, kind.as_str(), count.sent);
        metrics.set(RECEIVED_BYTES, kind.as_str(), count.received);
    }
}

/// Copies the counts of the client gate into the metrics.
pub(crate) fn set_clients(metrics: &NodeMetrics, snapshot: &GateSnapshot) {
    for (event, count) in GateEvent::ALL.iter().zip(snapshot.events) {
        metrics.set(CLIENT_EVENTS, event.as_str(), count);
    }
}

/// Counts a refusal before a job was read.
pub(crate) fn count_refusal(metrics: &NodeMetrics, reason: &str) {
    metrics.count(REFUSALS, reason);
}

pub(crate) fn count_answer(metrics: &NodeMetrics, outcome: JobOutcome, took: std::time::Duration) {
    let name = match outcome {
        JobOutcome::Completed => "completed",
        JobOutcome::Accepted => "accepted",
        JobOutcome::Failed => "failed",
        JobOutcome::GivenUp => "given_up",
        JobOutcome::Refused { kind, .. } => {
            metrics.count(REFUSALS, kind.as_str());
            "refused"
        }
    };
    metrics.count(ANSWERS, name);
    metrics.time(JOB_TIME_FAMILY.name, took);
}

pub(crate) fn count_event(metrics: &NodeMetrics, event: &PoolEvent) {
    match event {
        PoolEvent::Admission {
            refusal, return_in, ..
        } => {
            if return_in.is_some() {
                metrics.count(RETURNS, "scheduled");
            }
            let decision = if refusal.is_some() {
                "refused"
            } else {
                "admitted"
            };
            metrics.count(ADMISSIONS, decision);
        }
        PoolEvent::ReturnKept { .. } => metrics.count(RETURNS, "kept"),
        PoolEvent::ReturnMissed { .. } => metrics.count(RETURNS, "missed"),
        PoolEvent::RunPlaced { waited, .. } => metrics.time(QUEUE_WAIT_FAMILY.name, *waited),
        PoolEvent::RunEnded { cause, took, .. } => {
            metrics.count(RUN_ENDS, cause.as_str());
            metrics.time(RUN_TIME_FAMILY.name, *took);
            if *cause != EndCause::Done {
                metrics.count(RETRIES, cause.as_str());
            }
        }
        PoolEvent::RunLost { loss, .. } => {
            metrics.count(RETRIES, loss.as_str());
        }
        PoolEvent::StartFailed { answer, .. } => {
            metrics.count(STARTS_NOT_DONE, start_answer_label(*answer));
        }
        PoolEvent::WorkerResized {
            former_capacity,
            capacity,
            ..
        } => {
            let grown = capacity.holds(former_capacity);
            metrics.count(CAPACITY_CHANGES, if grown { "grown" } else { "shrunk" });
        }
        PoolEvent::CrashSuspected { common, .. } => {
            let finding = if *common { "common" } else { "suspected" };
            metrics.count(CRASHES, finding);
        }
        PoolEvent::AttemptOver { took, .. } => metrics.time(OVERRUN_FAMILY.name, *took),
        PoolEvent::CrashCleared { .. } => metrics.count(CRASHES, "cleared"),
        PoolEvent::CrashCulprit { .. } => metrics.count(CRASHES, "culprit"),
        PoolEvent::RunStalled { evidence, .. } => metrics.count(STALLS, evidence.as_str()),
        PoolEvent::AttemptsLookedUp { lookup, .. } => {
            metrics.count(LOOKUPS, lookup_label(lookup));
        }
        PoolEvent::AttemptRegistered { registered, .. } => {
            let outcome = match registered {
                true => "registered",
                false => "failed",
            };
            metrics.count(REGISTRATIONS, outcome);
        }
        PoolEvent::WorkerSuspended { cause, .. } => metrics.count(SUSPENSIONS, cause.as_str()),
        _ => (),
    }
}

/// Records the age of a job call that has arrived.
pub(crate) fn time_call_age(metrics: &NodeMetrics, age: std::time::Duration) {
    metrics.time(CALL_AGE_FAMILY.name, age);
}

/// Counts that an evacuation of a data centre has begun or ended.
pub(crate) fn count_evacuation(metrics: &NodeMetrics, evacuated: bool) {
    let change = match evacuated {
        true => "begun",
        false => "ended",
    };
    metrics.count(EVACUATIONS, change);
}

/// Counts a round of offers.
pub(crate) fn count_offer_round(metrics: &NodeMetrics, outcome: OfferOutcome) {
    metrics.count(OFFER_ROUNDS, outcome.as_str());
}

/// Counts an offer of `fits` of a job's tasks.
pub(crate) fn count_offer(metrics: &NodeMetrics, fits: u32, tasks: u64) {
    let covered = match u64::from(fits) {
        0 => "none",
        fits if fits < tasks => "part",
        _ => "whole",
    };
    metrics.count(OFFERS, covered);
}

/// Counts the source of a list of workers.
pub(crate) fn count_list_source(metrics: &NodeMetrics, source: ListSource) {
    metrics.count(LIST_SOURCES, source.as_str());
}

/// Returns the text of what a lookup of other attempts found, for logs and metrics.
pub(crate) fn lookup_label(lookup: &AttemptLookup) -> &'static str {
    match lookup {
        AttemptLookup::Clear => "none",
        AttemptLookup::Until(_) => "runs",
        AttemptLookup::Unknown => "unknown",
    }
}

/// Returns the text of an answer to a start, for logs and metrics.
pub(crate) fn start_answer_label(answer: StartAnswer) -> &'static str {
    match answer {
        StartAnswer::Started(_) => "started",
        StartAnswer::Superseded(_) => "outrun",
        StartAnswer::LeaseExpired(_) => "late",
        StartAnswer::NoCapacity(_) => "no_room",
        StartAnswer::NotAllowed(_) => "not_allowed",
        StartAnswer::Failed(failure) => failure.as_str(),
    }
}
