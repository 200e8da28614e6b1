//! The authority: takes submissions and emits offers and answers.

mod admission;
mod placement;
mod predicted_late;
mod replies;
mod termination;

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use decisions::{AdmissionPolicy, PlacementTable, RetryBudget, RunTimeTable, SmoothedSaturation};
use model::{
    AttemptId, Contract, ContractVersion, CustomerId, DataCentreId, FastMap, IncarnationId,
    RefusalReason, SubmissionBody, SubmissionId, SubmissionKind, SubmissionOutcome, TaskIndex,
    TicketId,
};

use crate::{
    action::{AuthorityAction, AuthorityEvent},
    attempt::{AttemptPhase, AttemptTable},
    authority::admission::ExpectedWork,
    customer_load::LoadTable,
    memory_usage::MemoryUsage,
    record::{RecordState, SubmissionClass, SubmissionRecord, TaskPhase, TaskRecord},
    refusal::SubmissionRefusal,
    session::{DispatcherKey, SessionTable},
    settings::AuthoritySettings,
    ticket::{TicketStatus, TicketTable},
    waiting::{WaitingTable, WaitingTask},
};

/// A submission that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedSubmission {
    /// The id of the submission.
    pub id: SubmissionId,
    /// When the answer is due.
    pub due: Instant,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReply {
    /// The submission was answered as cancelled.
    Cancelled,
    /// The submission is a request that may have started. It runs on to its own answer.
    TooLate,
    /// There is no such open submission.
    NotOpen,
}

/// The authority that decides on all submissions of one entry.
pub struct TaskAuthority {
    settings: AuthoritySettings,
    incarnation: IncarnationId,
    next_serial: u64,
    records: FastMap<u64, SubmissionRecord>,
    open_count: usize,
    memory: MemoryUsage,
    /// The deadline and serial of each open submission.
    deadlines: BTreeSet<(Instant, u64)>,
    /// The next deadline check of each submission with waiting tasks, by time.
    deadline_checks: BTreeSet<(Instant, u64)>,
    /// The answer time and serial of each answered submission that is kept, the oldest first.
    kept_answers: VecDeque<(Instant, u64)>,
    tickets: TicketTable,
    attempts: AttemptTable,
    waiting: WaitingTable,
    sessions: SessionTable,
    placement: PlacementTable,
    /// Whether tasks wait because no dispatcher could be chosen.
    unplaced: bool,
    /// Mean run time of the tasks completed lately, over all customers.
    mean_run_time: Duration,
    retry_budget: RetryBudget,
    run_times: RunTimeTable,
    admission: AdmissionPolicy,
    load: LoadTable,
    saturation: SmoothedSaturation,
    /// Number of entries that place tasks on the same slots, including this one.
    entries: u32,
    /// When a reachable dispatcher last accepted tasks.
    last_capacity_at: Option<Instant>,
    rng: fastrand::Rng,
    actions: Vec<AuthorityAction>,
}

impl TaskAuthority {
    /// Creates an empty authority. `seed` feeds the random choices, such as the one between equally good dispatchers.
    pub fn new(
        settings: AuthoritySettings,
        data_centre: DataCentreId,
        incarnation: IncarnationId,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            incarnation,
            next_serial: 1,
            records: FastMap::default(),
            open_count: 0,
            memory: MemoryUsage::default(),
            deadlines: BTreeSet::new(),
            deadline_checks: BTreeSet::new(),
            kept_answers: VecDeque::new(),
            tickets: TicketTable::default(),
            attempts: AttemptTable::default(),
            waiting: WaitingTable::default(),
            sessions: SessionTable::default(),
            placement: PlacementTable::new(settings.placement.clone(), data_centre, rng.fork()),
            unplaced: false,
            mean_run_time: settings.run_times.assumed,
            retry_budget: RetryBudget::new(settings.retries.clone()),
            run_times: RunTimeTable::new(settings.run_times.clone()),
            admission: AdmissionPolicy::new(settings.admission.clone()),
            load: LoadTable::default(),
            saturation: SmoothedSaturation::default(),
            entries: 1,
            last_capacity_at: None,
            rng,
            actions: Vec::new(),
            settings,
        }
    }

    /// This entry's incarnation.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Removes and returns the pending actions, in order.
    pub fn take_actions(&mut self) -> Vec<AuthorityAction> {
        std::mem::take(&mut self.actions)
    }

    /// Accepts or refuses a submission. `digest` identifies its body. `serial` is the reserved serial of a ticket or of
    /// a recorded key, if any.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with a retry-after if another try can succeed. Nothing of the submission runs.
    pub fn submit(
        &mut self,
        now: Instant,
        body: SubmissionBody,
        digest: u64,
        contract: Option<(&Contract, ContractVersion)>,
        serial: Option<u64>,
    ) -> Result<AdmittedSubmission, SubmissionRefusal> {
        let customer = body.customer.clone();
        let (contract, version, work) = match self.admit(now, &body, contract) {
            Ok(terms) => terms,
            Err(refusal) => {
                let reason = refusal.reason;
                self.emit_event(AuthorityEvent::Refused { customer, reason });
                return Err(refusal);
            }
        };
        let serial = serial.unwrap_or_else(|| self.reserve_serial());
        let first_attempt = match self.records.get(&serial) {
            None => 0,
            Some(earlier) if earlier.is_refused() => earlier.next_attempt,
            Some(_) => return Err(SubmissionRefusal::permanent(RefusalReason::KeyReused)),
        };
        self.tickets.take(serial);
        let id = self.submission_id(serial);
        let due = now + body.deadline.unwrap_or_else(|| contract.answer_within());
        let mut record = new_record(body, digest, due, first_attempt);
        record.apply_terms(contract, version);
        let tasks = record.tasks.len() as u32;
        let total = assign_run_times(&mut record, work);
        self.load
            .accept(now, &customer, contract.share, tasks, total);
        self.emit_event(AuthorityEvent::Admitted {
            id,
            customer: customer.clone(),
            version,
            tasks,
        });
        for task in 0..tasks {
            self.waiting
                .push(&customer, WaitingTask { due, serial, task });
        }
        self.memory.add_open(&record);
        self.records.insert(serial, record);
        self.open_count += 1;
        self.deadlines.insert((due, serial));
        self.place(now);
        self.schedule_deadline_check(now, serial);
        Ok(AdmittedSubmission { id, due })
    }

    /// Reserves a serial for a key that has to be recorded before its request may start.
    pub fn reserve_serial(&mut self) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        serial
    }

    /// Answers a reserved serial with `refusal` and keeps the answer like any other. A duplicate, or a key whose row
    /// reaches the store late, then finds that nothing ran and nothing will run.
    pub fn refuse_reserved(
        &mut self,
        now: Instant,
        serial: u64,
        body: SubmissionBody,
        digest: u64,
        refusal: SubmissionOutcome,
    ) {
        if self.records.contains_key(&serial) {
            return;
        }
        let mut record = new_record(body, digest, now, 0);
        record.tasks.clear();
        record.state = RecordState::Answered {
            outcome: Arc::new(refusal),
            at: now,
        };
        self.records.insert(serial, record);
        self.kept_answers.push_back((now, serial));
    }

    /// Issues a ticket.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Overloaded`] if too many tickets are unused.
    pub fn issue_ticket(
        &mut self,
        now: Instant,
        customer: &CustomerId,
    ) -> Result<TicketId, RefusalReason> {
        self.tickets.expire(now, self.settings.ticket_term);
        if self.tickets.len() >= self.settings.max_tickets {
            return Err(RefusalReason::Overloaded);
        }
        let serial = self.reserve_serial();
        self.tickets.issue(now, serial, customer.clone());
        Ok(TicketId(self.submission_id(serial)))
    }

    /// Returns the status of a ticket of this incarnation.
    pub fn check_ticket(
        &mut self,
        now: Instant,
        serial: u64,
        customer: &CustomerId,
    ) -> TicketStatus {
        if self.records.contains_key(&serial) {
            return TicketStatus::Used;
        }
        self.tickets.expire(now, self.settings.ticket_term);
        match self.tickets.customer(serial) {
            Some(owner) if owner == customer => TicketStatus::Unused,
            Some(_) => TicketStatus::WrongCustomer,
            None => TicketStatus::Unknown,
        }
    }

    /// The answer of a submission: `None` if the submission is unknown here, `Some(None)` while it is open.
    pub fn outcome(&self, serial: u64) -> Option<Option<Arc<SubmissionOutcome>>> {
        match &self.records.get(&serial)?.state {
            RecordState::Open => Some(None),
            RecordState::Answered { outcome, .. } => Some(Some(outcome.clone())),
        }
    }

    /// Whether a submission is a job.
    pub fn is_job(&self, serial: u64) -> bool {
        self.records
            .get(&serial)
            .is_some_and(|record| record.class == SubmissionClass::Job)
    }

    /// Whether a submission was refused: nothing of it ran, and it may be submitted again under the same serial.
    pub fn is_refused(&self, serial: u64) -> bool {
        self.records
            .get(&serial)
            .is_some_and(|record| record.is_refused())
    }

    /// The digest of a submission's body, which distinguishes a duplicate from another request under the same ticket or
    /// key.
    pub fn digest(&self, serial: u64) -> Option<u64> {
        self.records.get(&serial).map(|record| record.digest)
    }

    /// The contract version under which a submission was accepted; `None` if it was not accepted or is unknown.
    pub fn version(&self, serial: u64) -> Option<ContractVersion> {
        let version = self.records.get(&serial)?.version;
        (version != ContractVersion::default()).then_some(version)
    }

    /// Sets how many tasks of a customer this entry may have at dispatchers at once.
    pub fn set_limit(&mut self, now: Instant, customer: &CustomerId, limit: u32) {
        self.waiting.set_limit(customer, limit, None);
        self.place(now);
    }

    /// Sets the most that a customer's limit can grow to. Admission uses this maximum, placement the limit.
    pub fn set_max_limit(&mut self, customer: &CustomerId, max_limit: u32) {
        self.waiting.set_max_limit(customer, max_limit);
    }

    /// Like [`Self::set_limit`], for a limit that lapses: from `until` on nothing of the customer is placed.
    ///
    /// This process may be paused while a lease on concurrency lapses and goes to other entries. If it placed by the
    /// old limit after the pause, the customer would run more than its contract allows. The time is compared at each
    /// placement, so that inputs queued during the pause cannot bypass it.
    pub fn set_limit_until(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        limit: u32,
        until: Option<Instant>,
    ) {
        self.waiting.set_limit(customer, limit, until);
        self.place(now);
    }

    /// Sets how many entries place tasks on the same slots, including this one. Until this is called, the entry assumes
    /// that it is the only one. It then predicts too short a wait and refuses too little, and the excess that it
    /// accepted stays in the dispatchers' queues until its deadline.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Number of attempts at dispatchers and of tasks waiting here, for one customer.
    pub fn usage(&self, customer: &CustomerId) -> (u32, usize) {
        self.waiting.usage(customer)
    }

    /// Customers that this entry has seen.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.waiting.customers()
    }

    /// Number of submissions without an answer.
    pub fn open_submissions(&self) -> usize {
        self.open_count
    }

    /// Number of attempts that dispatchers may hold, including those of answered submissions.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// The attempts that dispatchers may hold, each with its dispatcher and phase, sorted by id.
    pub fn attempts(&self) -> Vec<(AttemptId, DispatcherKey, AttemptPhase)> {
        self.attempts.list()
    }

    /// When [`Self::tick`] has to be called next; `None` if nothing is pending.
    pub fn next_tick(&self) -> Option<Instant> {
        let due = self.deadlines.first().map(|(due, _)| *due);
        let resume = self.waiting.next_resume();
        let check = self.deadline_checks.first().map(|(check_at, _)| *check_at);
        due.into_iter().chain(resume).chain(check).min()
    }

    fn submission_id(&self, serial: u64) -> SubmissionId {
        SubmissionId {
            incarnation: self.incarnation,
            serial,
        }
    }

    fn emit_event(&mut self, event: AuthorityEvent) {
        self.actions.push(AuthorityAction::Event(event));
    }
}

fn new_record(
    body: SubmissionBody,
    digest: u64,
    due: Instant,
    first_attempt: u32,
) -> SubmissionRecord {
    let class = match body.kind {
        SubmissionKind::Job => SubmissionClass::Job,
        SubmissionKind::Request(_) => SubmissionClass::Request,
    };
    let mut tasks = Vec::with_capacity(body.tasks.len());
    for body in body.tasks {
        tasks.push(TaskRecord {
            body,
            expected_run_time: Duration::ZERO,
            started: false,
            attempt_count: first_attempt,
            phase: TaskPhase::Waiting,
        });
    }
    SubmissionRecord {
        customer: body.customer,
        class,
        version: ContractVersion::default(),
        share: model::CustomerShare::default(),
        retry_percent: 0,
        move_queued: false,
        digest,
        due,
        check_at: None,
        tasks,
        done: 0,
        first_attempt,
        next_attempt: first_attempt,
        state: RecordState::Open,
    }
}

/// Stores the expected run times in the tasks and returns their sum.
fn assign_run_times(record: &mut SubmissionRecord, work: ExpectedWork) -> Duration {
    let mut total = Duration::ZERO;
    for (task, expected) in record.tasks.iter_mut().zip(work.run_times) {
        task.expected_run_time = expected;
        total = total.saturating_add(expected);
    }
    total
}

fn waiting_task(record: &SubmissionRecord, serial: u64, task: TaskIndex) -> WaitingTask {
    WaitingTask {
        due: record.due,
        serial,
        task,
    }
}
