//! Submissions, changes and tickets of a run, shared between the steps and the tasks that wait for answers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use model::{ContractVersion, CustomerId};
use serde_json::Value;
use stand_ins::endpoint::TaskScript;

use crate::{
    caller::{self, CallerDedup, CallerRequest},
    error::StepError,
    operator::ChangeOutcome,
    record::{AnswerRecord, SubmissionRecord, VersionObservation},
    script::{Label, RequestDedup, SubmitKind, SubmitStep},
    testbed::NameMap,
};

/// Interval at which the contracts in force at the entries are polled.
const CONTRACT_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// How long after its deadline a caller still waits, so that a late answer is reported as late and not as lost.
const CALLER_GRACE: Duration = Duration::from_secs(10);

/// Whether an entry takes submissions, as known to the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendState {
    /// The entry was ready, so the balancer sends submissions to it.
    Ready,
    /// The entry was started but is not ready yet. A caller that addresses it directly must still get an answer.
    Unready,
    /// The entry was not started, got SIGTERM or SIGKILL, or is frozen. A caller that addresses it directly need not
    /// get an answer.
    Down,
}

/// An entry as a backend of the load balancer.
#[derive(Clone, Debug)]
pub(crate) struct EntryBackend {
    pub(crate) vm: Label,
    pub(crate) address: SocketAddr,
    pub(crate) state: BackendState,
}

/// The submissions of one step.
struct SubmissionGroup {
    name: Label,
    times: usize,
}

/// A submission, answered or not, and when it was sent.
struct SentSubmission {
    record: SubmissionRecord,
    sent: Instant,
}

/// The state of callers and operators.
#[derive(Default)]
struct LoadState {
    backends: Vec<EntryBackend>,
    groups: Vec<SubmissionGroup>,
    submissions: Vec<SentSubmission>,
    tickets: NameMap<(CustomerId, String)>,
    changes: NameMap<Option<ChangeOutcome>>,
    observations: Vec<VersionObservation>,
    rng: Rng,
}

impl LoadState {
    fn ready_backends(&self) -> Vec<EntryBackend> {
        let ready = self.backends.iter();
        let ready = ready.filter(|backend| backend.state == BackendState::Ready);
        ready.cloned().collect()
    }
}

/// The load of a run. Clones share its state.
#[derive(Clone)]
pub(crate) struct CallerLoad {
    started: Instant,
    inner: Rc<RefCell<LoadState>>,
}

impl CallerLoad {
    pub(crate) fn new(seed: u64, backends: Vec<EntryBackend>) -> Self {
        let inner = LoadState {
            backends,
            rng: Rng::with_seed(seed),
            ..LoadState::default()
        };
        Self {
            started: Instant::now(),
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Sets the state of a VM's entry.
    pub(crate) fn set_backend_state(&self, vm: &str, state: BackendState) {
        for backend in &mut self.inner.borrow_mut().backends {
            if backend.vm == vm {
                backend.state = state;
            }
        }
    }

    /// Records that the entry of a VM was killed or frozen, so that its unanswered submissions need no timely answer.
    pub(crate) fn mark_entry_down(&self, vm: &str) {
        for submission in &mut self.inner.borrow_mut().submissions {
            if submission.record.via == vm && submission.record.answer.is_none() {
                submission.record.entry_down = true;
            }
        }
    }

    /// The backend of a VM, or a random ready one.
    pub(crate) fn backend(&self, via: Option<&Label>) -> Result<EntryBackend, StepError> {
        let mut inner = self.inner.borrow_mut();
        if let Some(vm) = via {
            let found = inner.backends.iter().find(|backend| backend.vm == *vm);
            return found
                .cloned()
                .ok_or_else(|| StepError::UnknownVm(vm.clone()));
        }
        let ready = inner.ready_backends();
        inner
            .rng
            .choice(ready)
            .ok_or_else(|| StepError::UnknownVm("with a ready entry".to_owned()))
    }

    /// The entries that are ready.
    pub(crate) fn ready_backends(&self) -> Vec<EntryBackend> {
        self.inner.borrow().ready_backends()
    }

    pub(crate) fn store_ticket(&self, name: &str, customer: &CustomerId, ticket: String) {
        let value = (customer.clone(), ticket);
        self.inner
            .borrow_mut()
            .tickets
            .insert(name.to_owned(), value);
    }

    /// Sends the submissions of a step in the background, each on its own connection.
    pub(crate) fn submit(&self, step: &SubmitStep) -> Result<(), StepError> {
        let deduplication = self.deduplication(step)?;
        if let Some(vm) = &step.via {
            self.backend(Some(vm))?;
        }
        self.inner.borrow_mut().groups.push(SubmissionGroup {
            name: step.name.clone(),
            times: step.times as usize,
        });
        let (load, step) = (self.clone(), step.clone());
        actix_rt::spawn(async move {
            for number in 1..=step.times {
                load.send_submission(&step, number, deduplication.clone());
                if !step.every.is_zero() && number < step.times {
                    actix_rt::time::sleep(step.every).await;
                }
            }
        });
        Ok(())
    }

    fn deduplication(&self, step: &SubmitStep) -> Result<CallerDedup, StepError> {
        Ok(match &step.kind {
            SubmitKind::Job { .. } => CallerDedup::Job,
            SubmitKind::Request(RequestDedup::Plain) => CallerDedup::Plain,
            SubmitKind::Request(RequestDedup::Key(key)) => CallerDedup::Key(key.clone()),
            SubmitKind::Request(RequestDedup::Ticket(name)) => {
                let inner = self.inner.borrow();
                let found = inner.tickets.get(name);
                let (_, ticket) = found.ok_or_else(|| StepError::UnknownName(name.clone()))?;
                CallerDedup::Ticket(ticket.clone())
            }
        })
    }

    fn send_submission(&self, step: &SubmitStep, number: u32, deduplication: CallerDedup) {
        let name = match step.times {
            1 => step.name.clone(),
            _ => format!("{}.{number}", step.name),
        };
        let run_label = run_label(step, &name);
        let payloads = payloads(step, &run_label);
        let backend = self.backend(step.via.as_ref());
        let mut record = SubmissionRecord {
            group: step.name.clone(),
            name,
            customer: step.customer.clone(),
            request: !matches!(step.kind, SubmitKind::Job { .. }),
            run_label,
            payloads: payloads.clone(),
            deadline: step.deadline,
            via: String::new(),
            answer: None,
            sent: self.started.elapsed(),
            took: Duration::ZERO,
            entry_down: false,
        };
        let Ok(backend) = backend else {
            record.entry_down = true;
            record.answer = Some(caller::lost_answer("no entry is ready".to_owned()));
            self.push(record);
            return;
        };
        record.entry_down = backend.state == BackendState::Down;
        record.via = backend.vm;
        let index = self.push(record);
        let request = CallerRequest {
            customer: step.customer.clone(),
            payloads,
            declared: step.declared.unwrap_or(step.run),
            deadline: step.deadline,
            deduplication,
        };
        let load = self.clone();
        actix_rt::spawn(async move {
            let timeout = request.deadline + CALLER_GRACE;
            let answer = caller::submit(backend.address, &request, timeout).await;
            load.store_answer(index, answer);
        });
    }

    fn push(&self, record: SubmissionRecord) -> usize {
        let submissions = &mut self.inner.borrow_mut().submissions;
        submissions.push(SentSubmission {
            record,
            sent: Instant::now(),
        });
        submissions.len() - 1
    }

    fn store_answer(&self, index: usize, answer: AnswerRecord) {
        let submission = &mut self.inner.borrow_mut().submissions[index];
        log::info!(
            "scenario: {} answered {:?} {} after {:?}",
            submission.record.name,
            answer.status,
            answer.reason,
            submission.sent.elapsed()
        );
        submission.record.took = submission.sent.elapsed();
        submission.record.answer = Some(answer);
    }

    /// The submissions of a group.
    pub(crate) fn group(&self, name: &str) -> Result<Vec<SubmissionRecord>, StepError> {
        let inner = self.inner.borrow();
        if !inner.groups.iter().any(|group| group.name == name) {
            return Err(StepError::UnknownName(name.to_owned()));
        }
        let members = inner
            .submissions
            .iter()
            .filter(|submission| submission.record.group == name);
        Ok(members
            .map(|submission| submission.record.clone())
            .collect())
    }

    /// The number of answered submissions of a group, and the number that the group will have in all.
    pub(crate) fn answered(&self, name: &str) -> Result<(usize, usize), StepError> {
        let members = self.group(name)?;
        let answered = members
            .iter()
            .filter(|record| record.answer.is_some())
            .count();
        let inner = self.inner.borrow();
        let groups = inner.groups.iter().filter(|group| group.name == name);
        Ok((answered, groups.map(|group| group.times).sum()))
    }

    /// Whether every submission was sent and is answered or overdue by more than `margin`.
    pub(crate) fn is_settled(&self, margin: Duration) -> bool {
        let inner = self.inner.borrow();
        let expected: usize = inner.groups.iter().map(|group| group.times).sum();
        if inner.submissions.len() < expected {
            return false;
        }
        for submission in &inner.submissions {
            let overdue = submission.sent.elapsed() > submission.record.deadline + margin;
            if submission.record.answer.is_none() && !overdue {
                return false;
            }
        }
        true
    }

    /// Every submission. Without an answer, the time taken is the time since it was sent.
    pub(crate) fn records(&self) -> Vec<SubmissionRecord> {
        let mut records = Vec::new();
        for submission in &self.inner.borrow().submissions {
            let mut record = submission.record.clone();
            if record.answer.is_none() {
                record.took = submission.sent.elapsed();
            }
            records.push(record);
        }
        records
    }

    pub(crate) fn record_change_start(&self, name: &str) {
        self.inner
            .borrow_mut()
            .changes
            .insert(name.to_owned(), None);
    }

    pub(crate) fn record_change_outcome(&self, name: &str, outcome: ChangeOutcome) {
        log::info!(
            "scenario: change {name} ended {:?}: {}",
            outcome.status,
            outcome.message
        );
        self.inner
            .borrow_mut()
            .changes
            .insert(name.to_owned(), Some(outcome));
    }

    /// The outcome of a change; `None` while the change is under way.
    pub(crate) fn change_outcome(&self, name: &str) -> Result<Option<ChangeOutcome>, StepError> {
        let inner = self.inner.borrow();
        let found = inner.changes.get(name).cloned();
        found.ok_or_else(|| StepError::UnknownName(name.to_owned()))
    }

    /// Polls the contracts of every ready entry until the task is aborted.
    pub(crate) async fn poll_contracts(self) {
        loop {
            for backend in self.ready_backends() {
                if let Some(shown) = caller::read_contracts(backend.address).await {
                    self.inner
                        .borrow_mut()
                        .observations
                        .extend(parse_observations(&backend.vm, &shown));
                }
            }
            actix_rt::time::sleep(CONTRACT_POLL_INTERVAL).await;
        }
    }

    pub(crate) fn observations(&self) -> Vec<VersionObservation> {
        self.inner.borrow().observations.clone()
    }
}

/// The label that identifies the runs of a submission. Submissions with the same key or ticket share it.
fn run_label(step: &SubmitStep, name: &str) -> Label {
    match &step.kind {
        SubmitKind::Request(RequestDedup::Key(key)) => format!("key-{key}"),
        SubmitKind::Request(RequestDedup::Ticket(ticket)) => format!("ticket-{ticket}"),
        SubmitKind::Job { .. } | SubmitKind::Request(RequestDedup::Plain) => name.to_owned(),
    }
}

fn payloads(step: &SubmitStep, run_label: &str) -> Vec<Vec<u8>> {
    let tasks = match step.kind {
        SubmitKind::Job { tasks } => tasks,
        SubmitKind::Request(_) => 1,
    };
    let variant = step
        .variant
        .map_or(String::new(), |variant| format!("~{variant}"));
    let mut payloads = Vec::new();
    for task in 0..tasks {
        let script = TaskScript {
            run_ms: u64::try_from(step.run.as_millis()).ok(),
            fail: step.fail_task == Some(task),
            label: Some(format!("{run_label}#{task}{variant}")),
            ..TaskScript::default()
        };
        payloads.push(serde_json::to_vec(&script).unwrap_or_default());
    }
    payloads
}

/// Reads the customers and versions from an entry's list of contracts, which is the field `contracts` or the whole
/// value.
fn parse_observations(vm: &str, shown: &Value) -> Vec<VersionObservation> {
    let list = shown.get("contracts").unwrap_or(shown);
    let mut observations = Vec::new();
    for item in list.as_array().into_iter().flatten() {
        let customer = item["customer"].as_str().and_then(|text| text.parse().ok());
        let (Some(customer), Some(version)) = (customer, item["version"].as_u64()) else {
            continue;
        };
        observations.push(VersionObservation {
            vm: vm.to_owned(),
            customer,
            version: ContractVersion(version),
        });
    }
    observations
}
