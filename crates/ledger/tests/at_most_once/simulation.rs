//! The simulated network and endpoints around one authority and two ledgers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use authority::{AuthorityAction, AuthoritySettings, DispatcherKey, TaskAuthority};
use ledger::{ClaimNumber, LedgerAction, LedgerSettings, SlotLedger};
use model::{
    AttemptEnd, AttemptId, Contract, ContractVersion, CustomerId, DuplicateDetection,
    EndpointAddress, EndpointState, FailureReason, IncarnationId, OfferReply, Payload, RetryReason,
    SessionId, SubmissionBody, SubmissionKind, SubmissionOutcome, TaskBody, TaskOffer, TaskResult,
    UnknownReason, WithdrawalReply,
};

/// One event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum SimulationStep {
    SubmitJob(u32),
    SubmitRequest,
    /// The caller submits a refused submission again.
    SubmitAgain(u64),
    /// The next message in flight to a dispatcher arrives or, if `second` is set, the one behind it.
    ToDispatcher {
        to: usize,
        second: bool,
    },
    /// As [`Self::ToDispatcher`], for a message from a dispatcher to the entry.
    ToEntry {
        from: usize,
        second: bool,
    },
    /// A message of a broken connection to a dispatcher is still read.
    DeliverStaleToDispatcher(usize),
    /// A message of a broken connection to the entry is still handled.
    DeliverStaleToEntry(usize),
    /// A running task ends; the number is taken modulo the number of running tasks.
    EndTask {
        task: usize,
        fate: TaskFate,
    },
    /// This many ms pass.
    Advance(u64),
    /// The entry loses its connection to a dispatcher, which detects the loss at a later step.
    LoseConnection(usize),
    DispatcherDetectsLoss(usize),
    Connect(usize),
    /// A dispatcher dies, and a new process without state takes its place.
    Kill(usize),
    Cancel(u64),
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum TaskFate {
    Done,
    Failed,
    Busy,
    Unknown,
}

#[derive(Clone, Debug)]
enum MessageToDispatcher {
    Offer {
        session: SessionId,
        batch: u64,
        offers: Vec<TaskOffer>,
    },
    Withdraw {
        session: SessionId,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    },
    Body {
        attempt: AttemptId,
        claim: ClaimNumber,
        body: Option<Payload>,
    },
    Confirmed(AttemptId),
}

#[derive(Clone, Debug)]
enum MessageToEntry {
    OfferReplies(Vec<(AttemptId, OfferReply)>),
    WithdrawalReplies(Vec<(AttemptId, WithdrawalReply)>),
    Claim {
        session: SessionId,
        attempt: AttemptId,
        claim: ClaimNumber,
    },
    Ended(AttemptId, AttemptEnd),
}

struct Dispatcher {
    ledger: SlotLedger,
    incarnation: IncarnationId,
    session: Option<SessionId>,
    to_dispatcher: VecDeque<MessageToDispatcher>,
    to_entry: VecDeque<MessageToEntry>,
    /// The session whose connection is lost without the dispatcher having noticed.
    undetected_loss: Option<SessionId>,
}

/// A task that runs on an endpoint, and the dispatcher incarnation that started it.
struct RunningTask {
    dispatcher: usize,
    incarnation: IncarnationId,
    attempt: AttemptId,
}

pub(crate) struct Simulation {
    now: Instant,
    authority: TaskAuthority,
    dispatchers: Vec<Dispatcher>,
    stale_to_dispatcher: VecDeque<(usize, IncarnationId, MessageToDispatcher)>,
    /// Messages that the entry had received before it closed the session, and handles afterwards.
    stale_to_entry: VecDeque<(usize, MessageToEntry)>,
    /// Attempts whose withdrawal a dispatcher has confirmed, so that they must not start.
    withdrawn: BTreeSet<AttemptId>,
    running: Vec<RunningTask>,
    /// The number of starts by (serial, task). A start that the endpoint rejected as busy is subtracted again.
    started: BTreeMap<(u64, u32), u32>,
    /// The answers by serial.
    answers: BTreeMap<u64, SubmissionOutcome>,
    /// Whether each submission is a job, and its number of tasks, by serial.
    submissions: BTreeMap<u64, (bool, u32)>,
    next_session: u64,
    next_incarnation: u64,
    violations: Vec<String>,
}

const ENTRY: IncarnationId = IncarnationId(1);

/// The reported run time of each task: far below the deadlines, so that no task is refused for it.
const RUN_TIME: Duration = Duration::from_millis(50);

fn customer() -> CustomerId {
    "school".parse().expect("a customer id")
}

fn new_ledger(now: Instant, number: usize) -> SlotLedger {
    // Pings are not simulated.
    let session_timeout = Duration::from_secs(3600);
    let mut ledger = SlotLedger::new(LedgerSettings {
        session_timeout,
        ..LedgerSettings::default()
    });
    let address = EndpointAddress {
        id: format!("endpoint-{number}")
            .parse()
            .expect("an endpoint id"),
        address: ([127, 0, 0, 1], 1000 + number as u16).into(),
        slots: 2,
    };
    ledger.set_endpoints(now, &[(address, EndpointState::Live)]);
    ledger
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        let settings = AuthoritySettings {
            reconnect_wait: Duration::from_secs(2),
            ..Default::default()
        };
        let mut authority = TaskAuthority::new(settings, "hall".parse().expect("an id"), ENTRY, 7);
        authority.set_limit(now, &customer(), 6);
        let mut simulation = Self {
            now,
            authority,
            dispatchers: Vec::new(),
            stale_to_dispatcher: VecDeque::new(),
            stale_to_entry: VecDeque::new(),
            withdrawn: BTreeSet::new(),
            running: Vec::new(),
            started: BTreeMap::new(),
            answers: BTreeMap::new(),
            submissions: BTreeMap::new(),
            next_session: 1,
            next_incarnation: 100,
            violations: Vec::new(),
        };
        for number in 0..2 {
            let dispatcher = simulation.new_dispatcher(number);
            simulation.dispatchers.push(dispatcher);
            simulation.connect(number);
        }
        simulation
    }

    pub(crate) fn violations(&self) -> &[String] {
        &self.violations
    }

    pub(crate) fn apply(&mut self, step: SimulationStep) {
        match step {
            SimulationStep::SubmitJob(tasks) => self.submit(true, tasks),
            SimulationStep::SubmitRequest => self.submit(false, 1),
            SimulationStep::SubmitAgain(serial) => self.submit_again(serial),
            SimulationStep::ToDispatcher { to, second } => self.deliver_to_dispatcher(to, second),
            SimulationStep::ToEntry { from, second } => self.deliver_to_entry(from, second),
            SimulationStep::DeliverStaleToDispatcher(index) => {
                self.deliver_stale_to_dispatcher(index)
            }
            SimulationStep::DeliverStaleToEntry(index) => self.deliver_stale_to_entry(index),
            SimulationStep::EndTask { task, fate } => self.end_task(task, fate),
            SimulationStep::Advance(millis) => self.advance(Duration::from_millis(millis)),
            SimulationStep::LoseConnection(number) => self.lose_connection(number),
            SimulationStep::DispatcherDetectsLoss(number) => self.detect_loss(number),
            SimulationStep::Connect(number) => self.connect(number),
            SimulationStep::Kill(number) => self.kill(number),
            SimulationStep::Cancel(serial) => {
                self.authority.cancel(self.now, serial);
            }
        }
        self.flush();
    }

    /// Delivers all messages and ends all tasks, so that every submission gets its answer.
    pub(crate) fn run_to_completion(&mut self) {
        for _ in 0..400 {
            for number in 0..2 {
                if self.dispatchers[number].session.is_none() {
                    self.apply(SimulationStep::Connect(number));
                }
                self.apply(SimulationStep::ToDispatcher {
                    to: number,
                    second: false,
                });
                self.apply(SimulationStep::ToEntry {
                    from: number,
                    second: false,
                });
            }
            self.apply(SimulationStep::EndTask {
                task: 0,
                fate: TaskFate::Done,
            });
            self.apply(SimulationStep::DeliverStaleToDispatcher(0));
            self.apply(SimulationStep::Advance(25));
        }
        let open: Vec<u64> = self
            .submissions
            .keys()
            .filter(|serial| !self.answers.contains_key(serial))
            .copied()
            .collect();
        for serial in open {
            self.violations
                .push(format!("submission {serial} has no answer"));
        }
        for (serial, outcome) in self.answers.clone() {
            self.check_answer(serial, &outcome);
        }
        let left = self.authority.attempts();
        if !left.is_empty() {
            self.violations
                .push(format!("attempts hold concurrency for ever: {left:?}"));
        }
    }

    fn check_answer(&mut self, serial: u64, outcome: &SubmissionOutcome) {
        let (_, tasks) = self.submissions[&serial];
        let starts = |task| {
            self.started
                .get(&(serial, task))
                .copied()
                .unwrap_or_default()
        };
        match outcome {
            SubmissionOutcome::Refused { .. } => {
                let ran = (0..tasks).any(|task| starts(task) > 0);
                if ran {
                    self.violations
                        .push(format!("submission {serial} was answered not run but ran"));
                }
            }
            SubmissionOutcome::Complete(results) => {
                let want: Vec<TaskResult> =
                    (0..tasks).map(|task| result_of(serial, task)).collect();
                if *results != want {
                    self.violations.push(format!(
                        "submission {serial} got the results of another submission"
                    ));
                }
            }
            SubmissionOutcome::Failed(FailureReason::TaskFailed | FailureReason::TaskUnknown)
            | SubmissionOutcome::Failed(_)
            | SubmissionOutcome::Unknown(_) => {}
        }
    }

    fn new_dispatcher(&mut self, number: usize) -> Dispatcher {
        self.next_incarnation += 1;
        Dispatcher {
            ledger: new_ledger(self.now, number),
            incarnation: IncarnationId(self.next_incarnation),
            session: None,
            to_dispatcher: VecDeque::new(),
            to_entry: VecDeque::new(),
            undetected_loss: None,
        }
    }

    fn submit(&mut self, job: bool, tasks: u32) {
        let serial = self.authority.reserve_serial();
        self.submit_as(serial, job, tasks);
    }

    fn submit_again(&mut self, serial: u64) {
        if !self.authority.is_refused(serial) {
            return;
        }
        if let Some((job, tasks)) = self.submissions.get(&serial).copied() {
            self.submit_as(serial, job, tasks);
        }
    }

    fn submit_as(&mut self, serial: u64, job: bool, tasks: u32) {
        let kind = match job {
            true => SubmissionKind::Job,
            false => SubmissionKind::Request(DuplicateDetection::PerSubmission),
        };
        let mut bodies = Vec::new();
        for task in 0..tasks {
            let payload = result_of(serial, task).payload;
            let kind = "hold".parse().expect("a kind");
            bodies.push(TaskBody {
                kind,
                payload,
                declared_run_time: None,
            });
        }
        let deadline = Some(Duration::from_millis(1500));
        let body = SubmissionBody {
            customer: customer(),
            kind,
            deadline,
            tasks: bodies,
        };
        let contract = Contract::default();
        let terms = Some((&contract, ContractVersion(1)));
        if self
            .authority
            .submit(self.now, body, 0, terms, Some(serial))
            .is_ok()
        {
            self.submissions.insert(serial, (job, tasks));
            self.answers.remove(&serial);
        }
    }

    fn flush(&mut self) {
        for action in self.authority.take_actions() {
            match action {
                AuthorityAction::Offer {
                    dispatcher,
                    session,
                    batch,
                    offers,
                } => {
                    self.send(
                        dispatcher,
                        session,
                        MessageToDispatcher::Offer {
                            session,
                            batch,
                            offers,
                        },
                    );
                }
                AuthorityAction::Withdraw {
                    dispatcher,
                    session,
                    after_batch,
                    attempts,
                } => {
                    self.send(
                        dispatcher,
                        session,
                        MessageToDispatcher::Withdraw {
                            session,
                            after_batch,
                            attempts,
                        },
                    );
                }
                AuthorityAction::Answer { id, outcome } => {
                    self.check_answer(id.serial, &outcome);
                    if self
                        .answers
                        .insert(id.serial, outcome.as_ref().clone())
                        .is_some()
                    {
                        self.violations
                            .push(format!("submission {} was answered twice", id.serial));
                    }
                }
                AuthorityAction::Event(_) => {}
            }
        }
        for number in 0..self.dispatchers.len() {
            self.flush_ledger(number);
        }
    }

    fn send(
        &mut self,
        dispatcher: DispatcherKey,
        session: SessionId,
        message: MessageToDispatcher,
    ) {
        let dispatcher = &mut self.dispatchers[dispatcher.0 as usize];
        if dispatcher.session == Some(session) {
            dispatcher.to_dispatcher.push_back(message);
        }
    }

    fn flush_ledger(&mut self, number: usize) {
        for action in self.dispatchers[number].ledger.take_actions() {
            let dispatcher = &mut self.dispatchers[number];
            match action {
                LedgerAction::Start { offer, .. } => {
                    let incarnation = dispatcher.incarnation;
                    self.start(number, incarnation, &offer);
                }
                LedgerAction::Claim {
                    session,
                    attempt,
                    claim,
                    ..
                } => {
                    if dispatcher.session == Some(session) {
                        dispatcher.to_entry.push_back(MessageToEntry::Claim {
                            session,
                            attempt,
                            claim,
                        });
                    } else {
                        dispatcher.ledger.on_claim_failed(self.now, attempt, claim);
                    }
                }
                LedgerAction::Report {
                    session,
                    attempt,
                    end,
                    ..
                } => {
                    if dispatcher.session == Some(session) {
                        dispatcher
                            .to_entry
                            .push_back(MessageToEntry::Ended(attempt, end));
                    }
                }
            }
        }
    }

    fn start(&mut self, dispatcher: usize, incarnation: IncarnationId, offer: &TaskOffer) {
        let attempt = offer.attempt;
        if offer.payload != result_of(attempt.submission.serial, attempt.task).payload {
            self.violations
                .push(format!("{attempt} started with the body of another task"));
        }
        if self.withdrawn.contains(&attempt) {
            self.violations.push(format!(
                "{attempt} started after its withdrawal was confirmed"
            ));
        }
        let starts = self
            .started
            .entry((attempt.submission.serial, attempt.task))
            .or_default();
        *starts += 1;
        if *starts > 1 {
            self.violations
                .push(format!("{attempt} started a second time"));
        }
        self.running.push(RunningTask {
            dispatcher,
            incarnation,
            attempt,
        });
    }

    fn end_task(&mut self, index: usize, fate: TaskFate) {
        if self.running.is_empty() {
            return;
        }
        let task = self.running.remove(index % self.running.len());
        let key = (task.attempt.submission.serial, task.attempt.task);
        let end = match fate {
            TaskFate::Done => AttemptEnd::Done(result_of(key.0, key.1)),
            TaskFate::Failed => AttemptEnd::Failed,
            TaskFate::Unknown => AttemptEnd::Unknown(UnknownReason::ConnectionLost),
            TaskFate::Busy => {
                *self.started.entry(key).or_default() -= 1;
                AttemptEnd::NotRun(RetryReason::EndpointBusy)
            }
        };
        let dispatcher = &mut self.dispatchers[task.dispatcher];
        if dispatcher.incarnation == task.incarnation {
            dispatcher.ledger.on_task_ended(self.now, task.attempt, end);
        }
    }

    fn deliver_to_dispatcher(&mut self, number: usize, second: bool) {
        let queue = &mut self.dispatchers[number].to_dispatcher;
        if let Some(message) = pop_message(queue, second) {
            self.handle_at_dispatcher(number, message);
        }
    }

    fn handle_at_dispatcher(&mut self, number: usize, message: MessageToDispatcher) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[number];
        let answer = match message {
            MessageToDispatcher::Offer {
                session,
                batch,
                offers,
            } => {
                let attempts: Vec<_> = offers.iter().map(|offer| offer.attempt).collect();
                let replies = dispatcher.ledger.offer(now, ENTRY, session, batch, offers);
                let replies = attempts.into_iter().zip(replies).collect();
                (dispatcher.session == Some(session))
                    .then_some(MessageToEntry::OfferReplies(replies))
            }
            MessageToDispatcher::Withdraw {
                session,
                after_batch,
                attempts,
            } => {
                let replies =
                    dispatcher
                        .ledger
                        .withdraw(now, ENTRY, session, after_batch, &attempts);
                let replies: Vec<_> = attempts.into_iter().zip(replies).collect();
                for (attempt, reply) in &replies {
                    if *reply == WithdrawalReply::NotRun {
                        self.withdrawn.insert(*attempt);
                    }
                }
                (dispatcher.session == Some(session))
                    .then_some(MessageToEntry::WithdrawalReplies(replies))
            }
            MessageToDispatcher::Body {
                attempt,
                claim,
                body,
            } => {
                dispatcher
                    .ledger
                    .on_claim_answered(now, attempt, claim, body);
                None
            }
            MessageToDispatcher::Confirmed(attempt) => {
                dispatcher.ledger.on_confirmed(ENTRY, attempt);
                None
            }
        };
        dispatcher.to_entry.extend(answer);
    }

    fn deliver_to_entry(&mut self, number: usize, second: bool) {
        if let Some(message) = pop_message(&mut self.dispatchers[number].to_entry, second) {
            if let Some(answer) = self.handle_at_entry(message) {
                self.dispatchers[number].to_dispatcher.push_back(answer);
            }
        }
    }

    /// Returns the answer that is sent on the connection. For stale messages that connection is gone.
    fn handle_at_entry(&mut self, message: MessageToEntry) -> Option<MessageToDispatcher> {
        match message {
            MessageToEntry::OfferReplies(replies) => {
                self.authority.on_offer_replies(self.now, &replies);
                None
            }
            MessageToEntry::WithdrawalReplies(replies) => {
                self.authority.on_withdrawn(self.now, &replies);
                None
            }
            MessageToEntry::Claim {
                session,
                attempt,
                claim,
            } => {
                let body = self.authority.on_claim(self.now, session, attempt);
                Some(MessageToDispatcher::Body {
                    attempt,
                    claim,
                    body,
                })
            }
            MessageToEntry::Ended(attempt, end) => {
                self.authority.on_ended(self.now, attempt, end, RUN_TIME);
                Some(MessageToDispatcher::Confirmed(attempt))
            }
        }
    }

    fn deliver_stale_to_entry(&mut self, index: usize) {
        if self.stale_to_entry.is_empty() {
            return;
        }
        let index = index % self.stale_to_entry.len();
        if let Some((_, message)) = self.stale_to_entry.remove(index) {
            let _connection_gone = self.handle_at_entry(message);
        }
    }

    fn deliver_stale_to_dispatcher(&mut self, index: usize) {
        if self.stale_to_dispatcher.is_empty() {
            return;
        }
        let index = index % self.stale_to_dispatcher.len();
        let Some((number, incarnation, message)) = self.stale_to_dispatcher.remove(index) else {
            return;
        };
        // A confirmation or a body answers a call and is lost with the connection of that call.
        let call = matches!(
            message,
            MessageToDispatcher::Offer { .. } | MessageToDispatcher::Withdraw { .. }
        );
        if call && self.dispatchers[number].incarnation == incarnation {
            self.handle_at_dispatcher(number, message);
        }
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        self.authority.tick(self.now);
        for dispatcher in &mut self.dispatchers {
            dispatcher.ledger.tick(self.now);
        }
    }

    fn lose_connection(&mut self, number: usize) {
        let dispatcher = &mut self.dispatchers[number];
        let Some(session) = dispatcher.session.take() else {
            return;
        };
        let incarnation = dispatcher.incarnation;
        dispatcher.undetected_loss = Some(session);
        let unread = std::mem::take(&mut dispatcher.to_entry);
        self.stale_to_entry
            .extend(unread.into_iter().map(|message| (number, message)));
        for message in std::mem::take(&mut self.dispatchers[number].to_dispatcher) {
            if let MessageToDispatcher::Body { attempt, claim, .. } = &message {
                self.dispatchers[number]
                    .ledger
                    .on_claim_failed(self.now, *attempt, *claim);
            }
            self.stale_to_dispatcher
                .push_back((number, incarnation, message));
        }
        self.authority
            .on_session_lost(self.now, DispatcherKey(number as u64), session);
    }

    fn detect_loss(&mut self, number: usize) {
        let dispatcher = &mut self.dispatchers[number];
        if let Some(session) = dispatcher.undetected_loss.take() {
            dispatcher.ledger.on_session_lost(self.now, ENTRY, session);
        }
    }

    fn connect(&mut self, number: usize) {
        let session = SessionId(self.next_session);
        let dispatcher = &mut self.dispatchers[number];
        if dispatcher.session.is_some() {
            return;
        }
        self.next_session += 1;
        dispatcher
            .ledger
            .open_session(self.now, ENTRY, session)
            .expect("sessions only go up");
        dispatcher.session = Some(session);
        let slots = dispatcher.ledger.slots();
        let incarnation = dispatcher.incarnation;
        let data_centre = "hall".parse().expect("an id");
        let key = DispatcherKey(number as u64);
        self.authority
            .on_session_opened(self.now, key, data_centre, incarnation, session, slots);
    }

    fn kill(&mut self, number: usize) {
        self.lose_connection(number);
        self.dispatchers[number] = self.new_dispatcher(number);
    }
}

fn result_of(serial: u64, task: u32) -> TaskResult {
    TaskResult {
        payload: Payload::from(format!("{serial}/{task}").as_bytes()),
    }
}

fn pop_message<T>(queue: &mut VecDeque<T>, second: bool) -> Option<T> {
    let index = usize::from(second && queue.len() > 1);
    queue.remove(index)
}
