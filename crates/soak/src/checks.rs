//! Checks the invariants against the record of what customers and workers observed. Time limits apply only while no
//! fault is active nearby.

mod kept;

use std::{fmt, time::Duration};

use jobs::{JobId, TaskId};
use model::{text_enum, FastMap, FastSet, UnknownVariant};

use crate::record::{
    AttemptEnd, AttemptTrace, JobTrace, RouteAnswer, RunEnd, RunTrace, SoakRecord,
};

/// The most concurrent runs that fit on a worker: two of the soak's tasks.
const MAX_WORKER_RUNS: usize = 2;

/// How long the effects of a fault may last after it: the time that the platform allows before it counts a machine as
/// reachable again.
const FAULT_AFTERMATH: Duration = Duration::from_secs(3);

/// How much later than its deadline an answer may arrive, since the machine is shared with all stand-ins.
const ANSWER_SLACK: Duration = Duration::from_millis(700);

/// How much later than the actual end of a run a worker may record it, or a customer learn of it: one step of a
/// stand-in.
const CLOCK_SLACK: Duration = Duration::from_millis(20);

/// How long a worker may still get work after it was announced as draining, with some slack.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);

/// How long a configuration takes to be in force after it was written, with some slack.
const CONFIG_LIMIT: Duration = Duration::from_millis(2_500);

/// A connection that ends without an answer this long after its request was sent counts as cut. If it ends earlier, the
/// request may have arrived on a connection that was just being closed.
const CUT_THRESHOLD: Duration = Duration::from_millis(250);

/// How long after the customer's last answer a run may still start: a lease of 0.8 s, with some slack. By then a start
/// that a worker executes late is refused.
const ORPHAN_START_LIMIT: Duration = Duration::from_millis(1_300);

/// How often a task has to fail in one attempt before its job may be reported as failed.
const ROUTE_ATTEMPTS: usize = 3;

/// How many workers have to die under a task before its job may be reported as failed.
const CRASHES_TO_FAIL: usize = 2;

/// How long after the end of all faults jobs must be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(6);

/// How long after the end of all traffic accepted kept jobs must be final, and known to be.
pub(crate) const FINISH_LIMIT: Duration = Duration::from_secs(14);

text_enum! {
    /// An invariant of the system. A violation is reported under the text of its variant.
    SoakInvariant, "promise", UnknownVariant {
        /// A worker never has more concurrent runs than fit.
        Capacity => "room",
        /// A task never has two concurrent runs.
        Twice => "twice",
        /// A job is reported as completed only after all its tasks were done.
        Completed => "completed",
        /// A job is reported as failed only after one of its tasks has failed as often as its route allows, or after
        /// several workers have died under it.
        Failed => "failed",
        /// No task of a refused job runs: the customer takes a refusal to mean that nothing was run.
        Refused => "refused",
        /// Each answer arrives by its deadline, with some slack, unless a fault or planned work affects the node or the
        /// store during the request or shortly before.
        InTime => "in_time",
        /// A planned stop cuts no request.
        Stop => "stop",
        /// A draining worker gets no new work.
        Drain => "drain",
        /// A new configuration comes into force within the limit.
        Config => "config",
        /// A node never returns to an older configuration.
        ConfigBack => "config_back",
        /// No task starts long after its customer got the last answer.
        Orphan => "orphan",
        /// No task starts between two attempts of its job, or after the last, later than the record's limit.
        Stray => "stray",
        /// An accepted kept job stays known until its customer cancels it, and gets a final state.
        Lost => "lost",
        /// The final state of a kept job does not change.
        Settled => "settled",
        /// A kept job is shown as cancelled only after its customer asked for that, and its tasks end soon after the
        /// cancellation was acknowledged.
        Cancelled => "cancelled",
        /// No task of a kept job starts after a run of it was done and that end was acknowledged to the worker, or after
        /// the job was shown as completed.
        Again => "again",
        /// A kept job's task under which several workers have died is not started much more.
        Budget => "budget",
        /// Jobs are served again after all faults have ended.
        Recovery => "recovery",
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The violated invariant.
    pub invariant: SoakInvariant,
    /// What was observed.
    pub details: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.details)
    }
}

/// Checks all invariants and returns their violations.
pub fn check_invariants(record: &SoakRecord) -> Vec<InvariantViolation> {
    let mut checker = InvariantChecker {
        record,
        violations: Vec::new(),
    };
    checker.check_worker_capacity();
    checker.check_concurrent_runs();
    checker.check_answers();
    checker.check_orphans();
    checker.check_stray_starts();
    checker.check_stops();
    checker.check_drains();
    checker.check_config();
    checker.check_kept_jobs();
    checker.check_recovery();
    checker.violations
}

struct InvariantChecker<'a> {
    record: &'a SoakRecord,
    violations: Vec<InvariantViolation>,
}

impl InvariantChecker<'_> {
    fn add_violation(&mut self, invariant: SoakInvariant, details: String) {
        self.violations
            .push(InvariantViolation { invariant, details });
    }

    fn check_worker_capacity(&mut self) {
        for run in &self.record.runs {
            let on_worker = self
                .record
                .runs
                .iter()
                .filter(|r| r.instance == run.instance);
            let concurrent = on_worker.filter(|r| r.began <= run.began && !has_ended(r, run.began));
            let count = concurrent.count();
            if count > MAX_WORKER_RUNS {
                let details = format!(
                    "{count} concurrent runs on worker instance {} at {:?}",
                    run.instance, run.began
                );
                self.add_violation(SoakInvariant::Capacity, details);
            }
        }
    }

    fn check_concurrent_runs(&mut self) {
        let mut by_task: FastMap<TaskId, Vec<&RunTrace>> = FastMap::default();
        for run in &self.record.runs {
            by_task.entry(run.task).or_default().push(run);
        }
        for (task, mut runs) in by_task {
            runs.sort_by_key(|run| run.began);
            for pair in runs.windows(2) {
                if !has_ended(pair[0], pair[1].began + CLOCK_SLACK) {
                    let details = format!(
                        "task {task} in runs {} and {} at {:?}",
                        pair[0].run, pair[1].run, pair[1].began
                    );
                    self.add_violation(SoakInvariant::Twice, details);
                }
            }
        }
    }

    fn check_answers(&mut self) {
        let mut done: FastMap<JobId, FastSet<TaskId>> = FastMap::default();
        let mut begun: FastSet<JobId> = FastSet::default();
        for run in &self.record.runs {
            begun.insert(run.task.job);
            if run.end == Some(RunEnd::Done) {
                done.entry(run.task.job).or_default().insert(run.task);
            }
        }
        for job in &self.record.jobs {
            let tasks = done.get(&job.id).map_or(0, FastSet::len);
            self.check_job(job, tasks, begun.contains(&job.id));
        }
    }

    fn check_job(&mut self, job: &JobTrace, done: usize, begun: bool) {
        let completed = job.ended_with(200);
        if completed && done < job.tasks as usize {
            let details = format!("job {} with {done} of {} tasks done", job.id, job.tasks);
            self.add_violation(SoakInvariant::Completed, details);
        }
        if begun && job.attempts.iter().all(|attempt| is_refusal(attempt.end)) {
            self.add_violation(SoakInvariant::Refused, format!("job {} ran", job.id));
        }
        for attempt in &job.attempts {
            let since = job.joined_since(attempt);
            if attempt.end == AttemptEnd::Failed && !self.may_fail(job.id, since, attempt.ended) {
                let details = format!(
                    "job {} at {:?} without cause: {}",
                    job.id,
                    attempt.ended,
                    self.list_runs(job.id)
                );
                self.add_violation(SoakInvariant::Failed, details);
            }
            self.check_answer_time(job.id, job.deadline, attempt);
        }
    }

    /// Lists all runs of a job, for the details of a violation.
    fn list_runs(&self, job: JobId) -> String {
        let runs = self.record.runs.iter().filter(|run| run.task.job == job);
        let lines = runs.map(|run| {
            let RunTrace {
                task,
                run,
                instance,
                began,
                ended,
                end,
                ..
            } = run;
            format!("{task} run {run} on {instance} {began:?} to {ended:?} {end:?}")
        });
        lines.collect::<Vec<_>>().join("; ")
    }

    fn check_answer_time(&mut self, job: JobId, deadline: Duration, attempt: &AttemptTrace) {
        let took = attempt.ended - attempt.sent;
        let late = took > deadline + ANSWER_SLACK;
        let from = attempt.sent.saturating_sub(FAULT_AFTERMATH);
        if late
            && self
                .record
                .is_node_undisturbed(attempt.node, from, attempt.ended)
        {
            let details = format!(
                "request for job {job} to node {} ended after {took:?}",
                attempt.node
            );
            self.add_violation(SoakInvariant::InTime, details);
        }
    }

    /// Returns whether a task of the job gave cause to report the job as failed at the end of an attempt, by runs that
    /// began at `since` or later. Crashes count over all attempts, since a task that crashes its workers does so in each.
    fn may_fail(&self, job: JobId, since: Duration, ended: Duration) -> bool {
        let mut failures: FastMap<TaskId, usize> = FastMap::default();
        let mut crashes: FastMap<TaskId, usize> = FastMap::default();
        let runs = self.record.runs.iter().filter(|run| run.task.job == job);
        for run in runs.filter(|run| has_ended(run, ended + CLOCK_SLACK)) {
            match run.end {
                Some(RunEnd::Failed) if run.began >= since => {
                    *failures.entry(run.task).or_default() += 1;
                }
                Some(RunEnd::Died) => *crashes.entry(run.task).or_default() += 1,
                _ => (),
            }
        }
        failures.values().any(|count| *count >= ROUTE_ATTEMPTS)
            || crashes.values().any(|count| *count >= CRASHES_TO_FAIL)
    }

    fn check_orphans(&mut self) {
        let mut last_ends: FastMap<JobId, Duration> = FastMap::default();
        for job in &self.record.jobs {
            let attempts = job.attempts.iter();
            let ended = attempts.map(|attempt| attempt.under_way_until(job.deadline));
            last_ends.insert(job.id, ended.max().unwrap_or(self.record.ended));
        }
        let open_attempts = self.open_attempts();
        let kept = self.record.kept_jobs.iter().map(|job| job.id);
        let kept: FastSet<JobId> = kept.collect();
        for run in &self.record.runs {
            if kept.contains(&run.task.job) {
                continue;
            }
            let open_since = open_attempts.get(&run.task.job);
            if open_since.is_some_and(|sent| run.began >= *sent) {
                continue;
            }
            let ended = last_ends.get(&run.task.job).copied();
            if ended.is_none_or(|ended| run.began > ended + ORPHAN_START_LIMIT) {
                let details = format!(
                    "task {} began at {:?}, the last request for its job ended at {ended:?}",
                    run.task, run.began
                );
                self.add_violation(SoakInvariant::Orphan, details);
            }
        }
    }

    /// Returns when the attempts that have not ended were sent, by job.
    fn open_attempts(&self) -> FastMap<JobId, Duration> {
        let jobs = self.record.jobs.iter();
        jobs.filter_map(|job| Some((job.id, job.open_since?)))
            .collect()
    }

    fn check_stray_starts(&mut self) {
        let Some(limit) = self.record.stray_limit else {
            return;
        };
        let jobs = self.record.jobs.iter().map(|job| (job.id, job));
        let jobs: FastMap<JobId, &JobTrace> = jobs.collect();
        for run in &self.record.runs {
            // A job without an ended attempt has none to compare with.
            let Some(job) = jobs.get(&run.task.job) else {
                continue;
            };
            if job.open_since.is_some_and(|sent| run.began >= sent) {
                continue;
            }
            let earlier = job.attempts.iter().filter(|a| a.sent <= run.began);
            let Some(ended) = earlier.map(|a| a.under_way_until(job.deadline)).max() else {
                continue;
            };
            if run.began > ended + limit {
                let details = format!(
                    "task {} began at {:?}, the request for its job had ended at {ended:?}",
                    run.task, run.began
                );
                self.add_violation(SoakInvariant::Stray, details);
            }
        }
    }

    fn check_stops(&mut self) {
        let mut begun: FastMap<JobId, Vec<Duration>> = FastMap::default();
        for run in &self.record.runs {
            begun.entry(run.task.job).or_default().push(run.began);
        }
        for job in &self.record.jobs {
            let starts = begun.get(&job.id).map_or(&[][..], Vec::as_slice);
            for attempt in &job.attempts {
                if self.is_cut_by_stop(attempt, starts) {
                    let details =
                        format!("request for job {} cut at node {}", job.id, attempt.node);
                    self.add_violation(SoakInvariant::Stop, details);
                }
            }
        }
    }

    /// Returns whether a planned stop cut an attempt whose request the node had read: a run of the job began during the
    /// attempt, or the attempt had waited for more than [`CUT_THRESHOLD`].
    fn is_cut_by_stop(&self, attempt: &AttemptTrace, starts: &[Duration]) -> bool {
        if attempt.end != AttemptEnd::Broken {
            return false;
        }
        let stops = self.record.stops.iter();
        let mut stops = stops.filter(|stop| {
            stop.node == attempt.node
                && attempt.ended >= stop.requested
                && attempt.sent <= stop.exited
        });
        let waited = attempt.ended - attempt.sent > CUT_THRESHOLD;
        let mut starts = starts.iter();
        let began = starts.any(|began| (attempt.sent..=attempt.ended).contains(began));
        let from = attempt.sent.saturating_sub(FAULT_AFTERMATH);
        stops.next().is_some()
            && (waited || began)
            && self.record.has_no_unplanned_fault(from, attempt.ended)
    }

    fn check_drains(&mut self) {
        for drain in &self.record.drains {
            let limit = drain.announced + DRAIN_LIMIT;
            for run in &self.record.runs {
                let late = run.instance == drain.instance && run.began > limit;
                if late
                    && self.record.has_no_unplanned_fault(
                        drain.announced.saturating_sub(FAULT_AFTERMATH),
                        run.began,
                    )
                {
                    let details = format!(
                        "task {} started on worker instance {} at {:?}",
                        run.task, run.instance, run.began
                    );
                    self.add_violation(SoakInvariant::Drain, details);
                }
            }
        }
    }

    fn check_config(&mut self) {
        let mut newest_versions: FastMap<(usize, usize), u64> = FastMap::default();
        let mut not_ready: FastSet<(usize, usize, u64)> = FastSet::default();
        for probe in &self.record.probes {
            let asked_before = (probe.node, probe.start_count, probe.version);
            let newest = newest_versions
                .entry((probe.node, probe.start_count))
                .or_default();
            match probe.answer {
                RouteAnswer::Known => {
                    *newest = probe.version.max(*newest);
                    not_ready.remove(&asked_before);
                    continue;
                }
                RouteAnswer::Unknown if probe.version <= *newest => {
                    let details = format!(
                        "node {} no longer has the route of version {}",
                        probe.node, probe.version
                    );
                    self.add_violation(SoakInvariant::ConfigBack, details);
                    continue;
                }
                RouteAnswer::Unknown => (),
                // A single such answer may come from a process that has just waked from a pause.
                RouteAnswer::NotReady if not_ready.insert(asked_before) => continue,
                RouteAnswer::NotReady => (),
            }
            let late = probe.asked > probe.written + CONFIG_LIMIT;
            let from = probe.written.saturating_sub(FAULT_AFTERMATH);
            let undisturbed = self
                .record
                .is_node_undisturbed(probe.node, from, probe.asked);
            if late && undisturbed {
                let details = format!(
                    "node {} does not have the route of version {}",
                    probe.node, probe.version
                );
                self.add_violation(SoakInvariant::Config, details);
            }
        }
    }

    fn check_recovery(&mut self) {
        let from = self.record.healed + RECOVERY_LIMIT;
        let jobs = self.record.jobs.iter();
        let jobs = jobs.filter(|job| job.attempts.first().is_some_and(|a| a.sent >= from));
        let (mut all, mut served) = (0, 0);
        for job in jobs {
            all += 1;
            served += usize::from(job.ended_with(200));
        }
        if all == 0 || served * 10 < all * 9 {
            let details = format!("{served} of {all} jobs served");
            self.add_violation(SoakInvariant::Recovery, details);
        }
    }
}

impl JobTrace {
    fn ended_with(&self, status: u16) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.end == AttemptEnd::Answered(status))
    }

    /// Returns when the first attempt was sent whose runs this attempt may have joined: itself, or an earlier one that
    /// is still under way at its node.
    fn joined_since(&self, attempt: &AttemptTrace) -> Duration {
        let attempts = self.attempts.iter();
        let open = attempts.filter(|a| a.under_way_until(self.deadline) >= attempt.sent);
        let sent = open.map(|a| a.sent).min();
        sent.map_or(attempt.sent, |sent| sent.min(attempt.sent))
    }
}

/// Returns whether the answer means that no part of the job has run or will run.
fn is_refusal(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Answered(404 | 429 | 503))
}

fn has_ended(run: &RunTrace, at: Duration) -> bool {
    run.ended.is_some_and(|ended| ended <= at)
}
