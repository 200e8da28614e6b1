//! Writes the log lines of pools and of the claim controller.

use claims::ClaimEvent;
use jobs::{FenceToken, JobOutcome, PoolId};
use peer::JobCall;
use pool::{AttemptLookup, PoolEvent, ShareUse};
use telemetry::{EventKind, EventLine};

use crate::{
    metrics::{count_event, count_offer, lookup_label, start_answer_label},
    state::NodeState,
};

/// Adds an outcome to a line, and returns the line with the kind of event it is logged as.
pub(crate) fn outcome_line(line: EventLine, outcome: JobOutcome) -> (EventKind, EventLine) {
    match outcome {
        JobOutcome::Completed => (EventKind::Routine, line.text("outcome", "completed")),
        JobOutcome::Accepted => (EventKind::Routine, line.text("outcome", "accepted")),
        JobOutcome::Failed => (EventKind::Important, line.text("outcome", "failed")),
        JobOutcome::GivenUp => (EventKind::Important, line.text("outcome", "given_up")),
        JobOutcome::Refused {
            kind,
            retry_after,
            fits,
        } => {
            let line = line.number("fits", fits);
            let line = line.text("outcome", "refused").text("reason", kind);
            (
                EventKind::Important,
                line.millis("retry_after_ms", retry_after),
            )
        }
    }
}

/// Logs what a pool decided or learned.
pub(crate) fn log_pool_event(state: &NodeState, id: &PoolId, fence: FenceToken, event: &PoolEvent) {
    count_event(&state.metrics, event);
    let (kind, line) = pool_line(event);
    state.log(kind, line.text("pool", id).number("fence", fence.0));
}

fn pool_line(event: &PoolEvent) -> (EventKind, EventLine) {
    match event {
        PoolEvent::Admission {
            job,
            refusal,
            predicted,
            start_delay,
            objective,
            queued,
            delays_admitted,
            takes_reserved,
            share,
            returned,
            return_in,
        } => {
            let line = EventLine::new("job_admission").text("job", job);
            let kind = if refusal.is_some() {
                EventKind::Important
            } else {
                EventKind::Routine
            };
            let outcome = refusal.map_or("admitted", jobs::RefusalKind::as_str);
            let line = line
                .text("outcome", outcome)
                .millis("predicted_ms", *predicted);
            let line = line.millis("lag_ms", *start_delay);
            let line = line.millis("objective_ms", *objective);
            let line = line.number("queued_tasks", *queued as u64);
            let line = line.number("harms", u8::from(*delays_admitted));
            let line = line.number("crowds", u8::from(*takes_reserved));
            let line = match returned {
                Some(waited) => line
                    .number("returned", 1_u8)
                    .millis("since_refusal_ms", *waited),
                None => line,
            };
            let line = match return_in {
                Some(time) => line.millis("return_in_ms", *time),
                None => line,
            };
            (kind, add_share(line, share.as_ref()))
        }
        PoolEvent::ReturnKept { job, waited } => {
            let line = EventLine::new("return_kept").text("job", job);
            (EventKind::Routine, line.millis("since_refusal_ms", *waited))
        }
        PoolEvent::ReturnMissed { job } => {
            let line = EventLine::new("return_missed").text("job", job);
            (EventKind::Routine, line)
        }
        PoolEvent::Congestion {
            congested,
            smoothed,
            minimum,
            window,
        } => {
            let name = if *congested {
                "path_strained"
            } else {
                "path_quiet"
            };
            let line = EventLine::new(name)
                .millis("answer_ms", *smoothed)
                .millis("least_ms", *minimum)
                .number("window", *window as u64);
            (EventKind::Important, line)
        }
        PoolEvent::WorkerRestarted {
            instance,
            born,
            runs,
        } => {
            let line = EventLine::new("worker_reborn").text("worker", instance);
            let line = match born {
                Some(born) => line.text("born", born),
                None => line,
            };
            (EventKind::Important, line.number("runs", *runs as u64))
        }
        PoolEvent::WorkerResized {
            instance,
            former_capacity,
            capacity,
            withdrawn,
        } => {
            let line = EventLine::new("worker_resized")
                .text("worker", instance)
                .text("cpu", capacity.cpu)
                .text("memory", capacity.memory)
                .number("accelerators", capacity.accelerators)
                .text("former_cpu", former_capacity.cpu)
                .text("former_memory", former_capacity.memory);
            (
                EventKind::Important,
                line.number("withdrawn", *withdrawn as u64),
            )
        }
        PoolEvent::CrashSuspected {
            instance,
            died,
            common,
            suspects,
            begun,
            alone,
        } => {
            let line = EventLine::new("crash_suspected")
                .text("worker", instance)
                .text("died", died)
                .text("common", common)
                .text("alone", alone);
            let line = line.number("begun", *begun as u64);
            (
                EventKind::Important,
                line.number("suspects", *suspects as u64),
            )
        }
        PoolEvent::CrashCleared { instance } => {
            let line = EventLine::new("crash_cleared").text("worker", instance);
            (EventKind::Important, line)
        }
        PoolEvent::CrashCulprit {
            task,
            deaths,
            alone,
        } => {
            let line = EventLine::new("crash_culprit")
                .text("task", task)
                .number("deaths", *deaths);
            (EventKind::Important, line.number("alone", *alone))
        }
        PoolEvent::ForeignEndFound {
            instance,
            task,
            run,
            cause,
        } => {
            let line = EventLine::new("foreign_end").text("task", task);
            let line = line.number("run", run.0).text("worker", instance);
            (EventKind::Important, line.text("cause", cause.as_str()))
        }
        PoolEvent::WorkersReserved { workers, suspects } => {
            let line = EventLine::new("workers_reserved").number("workers", *workers as u64);
            (
                EventKind::Important,
                line.number("suspects", *suspects as u64),
            )
        }
        PoolEvent::Evacuation {
            evacuated,
            running,
            withdrawn,
        } => {
            let line = EventLine::new("pool_evacuation")
                .text("evacuated", evacuated)
                .number("running", *running as u64);
            (
                EventKind::Important,
                line.number("withdrawn", *withdrawn as u64),
            )
        }
        PoolEvent::KeptStored { job, version } => {
            let line = EventLine::new("job_stored").text("job", job);
            (EventKind::Routine, line.number("version", *version))
        }
        PoolEvent::KeptFound { job, version } => {
            let line = EventLine::new("job_found").text("job", job);
            (EventKind::Important, line.number("version", *version))
        }
        PoolEvent::KeptResumed { job, version, done } => {
            let line = EventLine::new("job_resumed").text("job", job);
            let line = line.number("version", *version);
            (EventKind::Important, line.number("done", *done as u64))
        }
        PoolEvent::KeptEnded { job, state } => {
            let line = EventLine::new("kept_job_ended").text("job", job);
            (EventKind::Routine, line.text("state", state.as_str()))
        }
        PoolEvent::KeptMoving {
            job,
            home,
            stranded_for,
        } => {
            let line = EventLine::new("kept_job_moving").text("job", job);
            let line = line.text("home", home);
            (
                EventKind::Important,
                line.millis("stranded_ms", *stranded_for),
            )
        }
        PoolEvent::KeptMissing { job, version } => {
            let line = EventLine::new("kept_job_missing").text("job", job);
            (EventKind::Important, line.number("version", *version))
        }
        PoolEvent::KeptMoved { job } => {
            let line = EventLine::new("kept_job_moved").text("job", job);
            (EventKind::Important, line)
        }
        PoolEvent::KeptSuperseded { job } => {
            let line = EventLine::new("kept_job_superseded").text("job", job);
            (EventKind::Important, line)
        }
        PoolEvent::KeptSuspended => (EventKind::Important, EventLine::new("kept_jobs_suspended")),
        PoolEvent::RunPlaced {
            task,
            run,
            instance,
            waited,
        } => {
            let line = EventLine::new("run_placed")
                .text("task", task)
                .number("run", run.0);
            (
                EventKind::Routine,
                line.text("worker", instance).millis("waited_ms", *waited),
            )
        }
        PoolEvent::StartFailed {
            task,
            run,
            instance,
            answer,
            starts_sent,
        } => {
            let line = EventLine::new("start_not_done")
                .text("task", task)
                .number("run", run.0);
            let line = line
                .text("worker", instance)
                .text("answer", start_answer_label(*answer));
            (EventKind::Important, line.number("tries", *starts_sent))
        }
        PoolEvent::RunEnded {
            task,
            run,
            instance,
            cause,
            took,
        } => {
            let line = EventLine::new("run_ended")
                .text("task", task)
                .number("run", run.0);
            let line = line.text("worker", instance).text("cause", cause.as_str());
            (EventKind::Routine, line.millis("took_ms", *took))
        }
        PoolEvent::RunLost {
            task,
            run,
            instance,
            loss,
            beginning,
        } => {
            let line = EventLine::new("run_lost")
                .text("task", task)
                .number("run", run.0);
            let line = line.text("worker", instance).text("cause", loss.as_str());
            (
                EventKind::Important,
                line.text("beginning", beginning.as_str()),
            )
        }
        PoolEvent::RunStalled {
            task,
            run,
            instance,
            took,
            percent,
            evidence,
        } => {
            let line = EventLine::new("run_stalled")
                .text("task", task)
                .number("run", run.0);
            let line = line.text("worker", instance).millis("took_ms", *took);
            let line = line.number("percent", *percent);
            (
                EventKind::Important,
                line.text("evidence", evidence.as_str()),
            )
        }
        PoolEvent::EndsCutOff {
            instance,
            first_end,
            runs,
        } => {
            let line = EventLine::new("ends_cut_off").text("worker", instance);
            let line = line.number("first_end", *first_end);
            (EventKind::Important, line.number("runs", *runs as u64))
        }
        PoolEvent::ForeignRun {
            task,
            run,
            instance,
        } => {
            let line = EventLine::new("foreign_run")
                .number("run", run.0)
                .text("worker", instance);
            let line = match task {
                Some(task) => line.text("task", task),
                None => line,
            };
            (EventKind::Important, line)
        }
        PoolEvent::WorkerSuspended {
            instance,
            cause,
            pause,
        } => {
            let line = EventLine::new("worker_suspended").text("worker", instance);
            (
                EventKind::Important,
                line.text("cause", cause.as_str())
                    .millis("pause_ms", *pause),
            )
        }
        PoolEvent::WorkerSilent { instance, runs } => {
            let line = EventLine::new("worker_silent").text("worker", instance);
            (EventKind::Important, line.number("runs", *runs as u64))
        }
        PoolEvent::WorkerAnswers {
            instance,
            clock_offset,
        } => {
            let line = EventLine::new("worker_answers").text("worker", instance);
            (
                EventKind::Important,
                line.number("clock_offset_ms", *clock_offset),
            )
        }
        PoolEvent::WorkerChanged { instance, change } => {
            let line = EventLine::new("worker_changed").text("worker", instance);
            (EventKind::Important, line.text("change", change.as_str()))
        }
        PoolEvent::JobEnded {
            job,
            outcome,
            took,
            objective,
        } => {
            let line = EventLine::new("job_ended").text("job", job);
            let (kind, line) = outcome_line(line, *outcome);
            (
                kind,
                line.millis("took_ms", *took)
                    .millis("objective_ms", *objective),
            )
        }
        PoolEvent::JobAbandoned { job, stopped } => {
            let line = EventLine::new("job_abandoned").text("job", job);
            (
                EventKind::Important,
                line.number("stopped_runs", *stopped as u64),
            )
        }
        PoolEvent::EarlierRuns { job } => (
            EventKind::Important,
            EventLine::new("job_has_earlier_runs").text("job", job),
        ),
        PoolEvent::AttemptsLookedUp { job, lookup, left } => {
            let kind = match lookup {
                AttemptLookup::Clear => EventKind::Routine,
                AttemptLookup::Until(_) | AttemptLookup::Unknown => EventKind::Important,
            };
            let found = lookup_label(lookup);
            let line = EventLine::new("attempts_looked_up").text("job", job);
            (kind, line.text("found", found).millis("left_ms", *left))
        }
        PoolEvent::AttemptRegistered {
            job,
            registered,
            left,
        } => {
            let kind = match registered {
                true => EventKind::Routine,
                false => EventKind::Important,
            };
            let line = EventLine::new("attempt_registered").text("job", job);
            let line = line.text("registered", registered);
            (kind, line.millis("left_ms", *left))
        }
        PoolEvent::AttemptOver { job, took } => {
            let line = EventLine::new("attempt_over").text("job", job);
            (EventKind::Important, line.millis("after_ms", *took))
        }
    }
}

/// Logs an offer to an entry. `held` is the number of tasks for which capacity is held for other offers.
pub(crate) fn log_offer(state: &NodeState, call: &JobCall, fits: u32, held: usize) {
    count_offer(&state.metrics, fits, call.request.task_count());
    let line = EventLine::new("offer_made")
        .text("job", call.request.id)
        .text("pool", &call.pool)
        .text("entry", &call.entry)
        .number("tasks", call.request.task_count())
        .number("fits", fits)
        .number("held", held as u64);
    state.log(EventKind::Routine, line);
}

/// Logs what the claim controller learned.
pub(crate) fn log_claim_event(state: &NodeState, event: &ClaimEvent) {
    let line = match event {
        ClaimEvent::PeerHeard(node) => EventLine::new("peer_heard").text("peer", node),
        ClaimEvent::PeerSilent { node, age } => EventLine::new("peer_silent")
            .text("peer", node)
            .millis("age_ms", *age),
        ClaimEvent::OwnerChanged { pool, node, fence } => EventLine::new("owner_changed")
            .text("pool", pool)
            .text("owner", node)
            .number("fence", fence.0),
        ClaimEvent::Claiming {
            pool,
            why,
            expected,
        } => EventLine::new("claiming")
            .text("pool", pool)
            .text("why", why.as_str())
            .number("expected", *expected),
    };
    state.log(EventKind::Important, line);
}

/// Adds the share of a job's class and its use, both in core-milliseconds per second.
fn add_share(line: EventLine, share: Option<&ShareUse>) -> EventLine {
    let Some(ShareUse { class, share, used }) = share else {
        return line;
    };
    // The casts saturate.
    line.text("class", class)
        .number("share", share.round() as u64)
        .number("use", used.round() as u64)
}
