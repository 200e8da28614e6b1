//! The invariants that hold in every scenario, checked against the records of a run.
//!
//! The endpoints' records show which tasks really started; the answers show what callers received.

use std::{fmt, time::Duration};

use model::{AttemptId, ContractVersion, CustomerId, FastMap, SubmissionId, TaskIndex};
use stand_ins::endpoint::{digest, StartRecord, TaskScript};

use crate::{
    record::{ExitCause, RunRecord, SubmissionRecord},
    script::{AnswerStatus, Label},
};

/// How long, in milliseconds, a leaving endpoint may still get tasks that were already on their way.
const LEAVING_GRACE_MS: u64 = 2000;

/// Tolerances of the invariant checks.
#[derive(Clone, Copy, Debug)]
pub struct InvariantLimits {
    /// How long after its deadline a submission must be answered at the latest. It covers the way to the caller and a
    /// busy test machine.
    pub answer_margin: Duration,
}

impl Default for InvariantLimits {
    fn default() -> Self {
        Self {
            answer_margin: Duration::from_millis(1000),
        }
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokenInvariant {
    /// A task of a submission started more than once.
    TaskStartedTwice {
        /// The submission.
        submission: SubmissionId,
        /// The task.
        task: TaskIndex,
        /// The attempts that started.
        attempts: Vec<AttemptId>,
    },
    /// A non-idempotent request ran more than once, over all submissions with its key or ticket.
    RequestRanTwice {
        /// The request.
        label: Label,
        /// The attempts that started.
        attempts: Vec<AttemptId>,
    },
    /// A complete answer does not have each task's own result.
    WrongResults {
        /// The submission.
        name: Label,
        /// The difference, as text.
        detail: String,
    },
    /// An answer with a status other than complete contains results.
    PartialResults {
        /// The submission.
        name: Label,
        /// How many results.
        results: usize,
    },
    /// A submission was answered as complete although one of its tasks did not run to its end.
    CompleteWithoutRun {
        /// The submission.
        name: Label,
        /// The task.
        task: usize,
    },
    /// A submission was answered as refused although one of its tasks started.
    RefusedButStarted {
        /// The submission.
        name: Label,
        /// The reason of the refusal.
        reason: String,
        /// An attempt that started.
        attempt: AttemptId,
    },
    /// A submission was not answered within its deadline plus the margin.
    LateAnswer {
        /// The submission.
        name: Label,
        /// The deadline of the submission.
        deadline: Duration,
        /// The time until the answer, or until the end of the run if there was none.
        took: Duration,
        /// Whether the submission was answered at all.
        answered: bool,
    },
    /// The caller lost its answer although its entry was not down, killed or frozen.
    LostAnswer {
        /// The submission.
        name: Label,
        /// The error that the caller saw.
        reason: String,
    },
    /// An endpoint got a new task long after it began to leave.
    StartWhileLeaving {
        /// The attempt.
        attempt: AttemptId,
        /// How long the endpoint had been leaving, in milliseconds.
        leaving_for_ms: u64,
    },
    /// An entry used an older version of a contract than before.
    VersionWentBack {
        /// The VM of the entry.
        vm: Label,
        /// The customer of the contract.
        customer: CustomerId,
        /// The version seen before.
        before: ContractVersion,
        /// The older version seen after it.
        after: ContractVersion,
    },
    /// A process did not exit with 0 after SIGTERM, or ended without a signal from the run.
    WrongExit {
        /// The process.
        process: String,
        /// The signal that the run sent to end the process, if any.
        cause: ExitCause,
        /// The exit code; absent if a signal ended the process or it still ran.
        code: Option<i32>,
    },
}

impl fmt::Display for BrokenInvariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TaskStartedTwice {
                submission,
                task,
                attempts,
            } => write!(
                f,
                "task {task} of {submission} started {} times: {}",
                attempts.len(),
                join_attempts(attempts)
            ),
            Self::RequestRanTwice { label, attempts } => write!(
                f,
                "request {label} ran {} times: {}",
                attempts.len(),
                join_attempts(attempts)
            ),
            Self::WrongResults { name, detail } => write!(f, "{name} is complete, but {detail}"),
            Self::PartialResults { name, results } => {
                write!(f, "{name} is not complete, but gives {results} results")
            }
            Self::CompleteWithoutRun { name, task } => {
                write!(
                    f,
                    "{name} is complete, but task {task} never ran to its end"
                )
            }
            Self::RefusedButStarted {
                name,
                reason,
                attempt,
            } => write!(f, "{name} was refused ({reason}), but {attempt} started"),
            Self::LateAnswer {
                name,
                deadline,
                took,
                answered,
            } => {
                let state = if *answered {
                    "was answered after"
                } else {
                    "has no answer after"
                };
                write!(f, "{name}, due in {deadline:?}, {state} {took:?}")
            }
            Self::LostAnswer { name, reason } => {
                write!(f, "{name} lost its answer without cause: {reason}")
            }
            Self::StartWhileLeaving {
                attempt,
                leaving_for_ms,
            } => write!(
                f,
                "{attempt} started on an endpoint that had been leaving for {leaving_for_ms} ms"
            ),
            Self::VersionWentBack {
                vm,
                customer,
                before,
                after,
            } => write!(
                f,
                "{vm} showed version {after} of {customer}'s contract after version {before}"
            ),
            Self::WrongExit {
                process,
                cause,
                code,
            } => write!(f, "{process} ended with code {code:?} ({cause:?})"),
        }
    }
}

/// Checks every invariant and returns the violations.
pub fn check_invariants(record: &RunRecord, limits: &InvariantLimits) -> Vec<BrokenInvariant> {
    let starts = StartIndex::new(record);
    let mut broken = Vec::new();
    check_task_starts(&starts, &mut broken);
    check_request_runs(record, &starts, &mut broken);
    for submission in &record.submissions {
        check_answer_time(submission, limits, &mut broken);
        check_answer(record, submission, &starts, &mut broken);
    }
    check_leaving_endpoints(&starts, &mut broken);
    check_observed_versions(record, &mut broken);
    check_accepted_versions(record, &mut broken);
    check_exits(record, &mut broken);
    broken
}

/// Every start, indexed by the keys that the checks use.
struct StartIndex<'a> {
    all: Vec<&'a StartRecord>,
    by_task: FastMap<(SubmissionId, TaskIndex), Vec<&'a StartRecord>>,
    by_label: FastMap<String, Vec<&'a StartRecord>>,
    by_digest: FastMap<&'a str, Vec<&'a StartRecord>>,
}

impl<'a> StartIndex<'a> {
    fn new(record: &'a RunRecord) -> Self {
        let mut index = Self {
            all: Vec::new(),
            by_task: FastMap::default(),
            by_label: FastMap::default(),
            by_digest: FastMap::default(),
        };
        for start in record.endpoints.iter().flat_map(|e| &e.starts) {
            index.add(start);
        }
        index
    }

    fn add(&mut self, start: &'a StartRecord) {
        self.all.push(start);
        let task = (start.attempt.submission, start.attempt.task);
        self.by_task.entry(task).or_default().push(start);
        self.by_digest.entry(&start.digest).or_default().push(start);
        if let Some(label) = run_label(start) {
            self.by_label.entry(label).or_default().push(start);
        }
    }

    fn with_payload(&self, payload: &[u8]) -> &[&'a StartRecord] {
        let starts = self.by_digest.get(digest(payload).as_str());
        starts.map_or(&[], Vec::as_slice)
    }
}

/// The run label of a start: the label in its payload without the task number.
fn run_label(start: &StartRecord) -> Option<String> {
    let script = TaskScript::read(start.payload.as_deref()?.as_bytes());
    let label = script.label?;
    Some(label.split('#').next().unwrap_or_default().to_owned())
}

fn check_task_starts(starts: &StartIndex<'_>, broken: &mut Vec<BrokenInvariant>) {
    for ((submission, task), list) in &starts.by_task {
        if list.len() < 2 {
            continue;
        }
        broken.push(BrokenInvariant::TaskStartedTwice {
            submission: *submission,
            task: *task,
            attempts: attempt_ids(list),
        });
    }
}

fn check_request_runs(
    record: &RunRecord,
    starts: &StartIndex<'_>,
    broken: &mut Vec<BrokenInvariant>,
) {
    let mut labels = Vec::new();
    for submission in &record.submissions {
        if submission.request && !labels.contains(&&submission.run_label) {
            labels.push(&submission.run_label);
        }
    }
    for label in labels {
        let Some(list) = starts.by_label.get(label) else {
            continue;
        };
        if list.len() < 2 {
            continue;
        }
        broken.push(BrokenInvariant::RequestRanTwice {
            label: label.clone(),
            attempts: attempt_ids(list),
        });
    }
}

fn check_answer_time(
    submission: &SubmissionRecord,
    limits: &InvariantLimits,
    broken: &mut Vec<BrokenInvariant>,
) {
    let in_time = submission.took <= submission.deadline + limits.answer_margin;
    if submission.entry_down || (in_time && submission.answer.is_some()) {
        return;
    }
    broken.push(BrokenInvariant::LateAnswer {
        name: submission.name.clone(),
        deadline: submission.deadline,
        took: submission.took,
        answered: submission.answer.is_some(),
    });
}

fn check_answer(
    record: &RunRecord,
    submission: &SubmissionRecord,
    starts: &StartIndex<'_>,
    broken: &mut Vec<BrokenInvariant>,
) {
    let Some(answer) = &submission.answer else {
        return;
    };
    let name = submission.name.clone();
    if answer.status != AnswerStatus::Complete && !answer.results.is_empty() {
        broken.push(BrokenInvariant::PartialResults {
            name: name.clone(),
            results: answer.results.len(),
        });
    }
    match answer.status {
        AnswerStatus::Complete => check_results(submission, &answer.results, starts, broken),
        AnswerStatus::Refused => {
            let Some(start) = find_own_start(record, submission, answer.id, starts) else {
                return;
            };
            broken.push(BrokenInvariant::RefusedButStarted {
                name,
                reason: answer.reason.clone(),
                attempt: start.attempt,
            });
        }
        AnswerStatus::Lost if !submission.entry_down => broken.push(BrokenInvariant::LostAnswer {
            name,
            reason: answer.reason.clone(),
        }),
        AnswerStatus::Lost | AnswerStatus::Failed | AnswerStatus::Unknown => {}
    }
}

fn check_results(
    submission: &SubmissionRecord,
    results: &[Vec<u8>],
    starts: &StartIndex<'_>,
    broken: &mut Vec<BrokenInvariant>,
) {
    let wrong = |detail| BrokenInvariant::WrongResults {
        name: submission.name.clone(),
        detail,
    };
    if results.len() != submission.payloads.len() {
        let detail = format!(
            "gives {} results for {} tasks",
            results.len(),
            submission.payloads.len()
        );
        broken.push(wrong(detail));
        return;
    }
    for (task, (result, payload)) in results.iter().zip(&submission.payloads).enumerate() {
        if result != payload {
            broken.push(wrong(format!("result {task} is not its task's")));
            continue;
        }
        let ran = starts
            .with_payload(payload)
            .iter()
            .any(|start| start.end.is_some());
        if !ran {
            broken.push(BrokenInvariant::CompleteWithoutRun {
                name: submission.name.clone(),
                task,
            });
        }
    }
}

/// Finds a start that certainly belongs to the submission, by the id in its answer or by a payload that no other
/// submission shares.
fn find_own_start<'a>(
    record: &RunRecord,
    submission: &SubmissionRecord,
    id: Option<SubmissionId>,
    starts: &StartIndex<'a>,
) -> Option<&'a StartRecord> {
    for start in &starts.all {
        if Some(start.attempt.submission) == id {
            return Some(start);
        }
    }
    for payload in &submission.payloads {
        let shared = record
            .submissions
            .iter()
            .any(|other| other.name != submission.name && other.payloads.contains(payload));
        if shared {
            continue;
        }
        if let Some(start) = starts.with_payload(payload).first() {
            return Some(start);
        }
    }
    None
}

fn check_leaving_endpoints(starts: &StartIndex<'_>, broken: &mut Vec<BrokenInvariant>) {
    for start in &starts.all {
        match start.leaving_for_ms {
            Some(leaving_for_ms) if leaving_for_ms > LEAVING_GRACE_MS => {
                broken.push(BrokenInvariant::StartWhileLeaving {
                    attempt: start.attempt,
                    leaving_for_ms,
                });
            }
            _ => {}
        }
    }
}

fn check_observed_versions(record: &RunRecord, broken: &mut Vec<BrokenInvariant>) {
    let mut newest = FastMap::default();
    for observation in &record.observations {
        let key = (&observation.vm, &observation.customer);
        let before = *newest.entry(key).or_insert(observation.version);
        if observation.version < before {
            broken.push(BrokenInvariant::VersionWentBack {
                vm: observation.vm.clone(),
                customer: observation.customer.clone(),
                before,
                after: observation.version,
            });
            continue;
        }
        newest.insert(key, observation.version);
    }
}

/// Checks that a job sent after the answer to another job, to the same entry and for the same customer, is accepted
/// under the same contract version or a newer one. Requests are skipped, because a repeated request gets the first
/// answer with its old version.
fn check_accepted_versions(record: &RunRecord, broken: &mut Vec<BrokenInvariant>) {
    let mut jobs = Vec::new();
    for submission in record
        .submissions
        .iter()
        .filter(|submission| !submission.request)
    {
        let version = submission.answer.as_ref().and_then(|answer| answer.version);
        jobs.extend(version.map(|version| (submission, version)));
    }
    for (first, before) in &jobs {
        for (second, after) in &jobs {
            let same = (&first.via, &first.customer) == (&second.via, &second.customer);
            if !same || second.sent < first.sent + first.took || after >= before {
                continue;
            }
            broken.push(BrokenInvariant::VersionWentBack {
                vm: first.via.clone(),
                customer: first.customer.clone(),
                before: *before,
                after: *after,
            });
        }
    }
}

fn check_exits(record: &RunRecord, broken: &mut Vec<BrokenInvariant>) {
    for exit in &record.exits {
        let expected = match exit.cause {
            ExitCause::Terminated => exit.code == Some(0),
            ExitCause::Killed => true,
            ExitCause::Unrequested => false,
        };
        if expected {
            continue;
        }
        broken.push(BrokenInvariant::WrongExit {
            process: exit.process.clone(),
            cause: exit.cause,
            code: exit.code,
        });
    }
}

fn attempt_ids(starts: &[&StartRecord]) -> Vec<AttemptId> {
    starts.iter().map(|start| start.attempt).collect()
}

fn join_attempts(attempts: &[AttemptId]) -> String {
    let texts: Vec<_> = attempts.iter().map(ToString::to_string).collect();
    texts.join(", ")
}
