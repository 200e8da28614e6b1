//! One authority and dispatchers with slots, simulated in virtual time. Messages take no time and none is lost.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use authority::{
    AuthorityAction, AuthoritySettings, DispatcherKey, SubmissionRefusal, TaskAuthority,
};
use model::{
    AttemptEnd, AttemptId, Contract, ContractVersion, CustomerId, DataCentreId, IncarnationId,
    OfferReply, Payload, RetryReason, SessionId, SlotCounts, SubmissionBody, SubmissionKind,
    SubmissionOutcome, TaskBody, TaskOffer, TaskResult,
};

pub(crate) const HOME: &str = "hall";

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn customer(name: &str) -> CustomerId {
    name.parse().expect("a customer id")
}

/// A job of tasks of one kind.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) customer: &'static str,
    pub(crate) kind: &'static str,
    pub(crate) tasks: usize,
    pub(crate) deadline: Duration,
    pub(crate) declared: Option<Duration>,
}

impl Default for Job {
    fn default() -> Self {
        Self {
            customer: "school",
            kind: "hold",
            tasks: 1,
            deadline: ms(5_000),
            declared: None,
        }
    }
}

impl Job {
    fn body(&self) -> SubmissionBody {
        let task = TaskBody {
            kind: self.kind.parse().expect("a kind"),
            payload: Payload::default(),
            declared_run_time: self.declared,
        };
        SubmissionBody {
            customer: customer(self.customer),
            kind: SubmissionKind::Job,
            deadline: Some(self.deadline),
            tasks: vec![task; self.tasks],
        }
    }
}

/// A dispatcher that runs tasks in its slots and queues the others in order of arrival.
pub(crate) struct Dispatcher {
    pub(crate) key: DispatcherKey,
    pub(crate) session: SessionId,
    pub(crate) slots: usize,
    /// The reason with which every offer is refused, if any.
    pub(crate) refusal: Option<RetryReason>,
    /// Whether it accepts offers without replying.
    pub(crate) frozen: bool,
    pub(crate) offers: Vec<TaskOffer>,
    running: BTreeSet<(Instant, AttemptId, Duration)>,
    queued: VecDeque<AttemptId>,
    attempt_run_times: BTreeMap<AttemptId, Duration>,
}

impl Dispatcher {
    fn slot_counts(&self) -> SlotCounts {
        SlotCounts {
            limit: self.slots as u32,
            running: self.running.len() as u32,
            queued: self.queued.len() as u32,
        }
    }

    /// Starts, queues or refuses an offered task that runs for `ran`.
    fn take(&mut self, now: Instant, attempt: AttemptId, ran: Duration) -> OfferReply {
        if let Some(reason) = self.refusal {
            return OfferReply::NotRun(reason);
        }
        self.attempt_run_times.insert(attempt, ran);
        if self.running.len() < self.slots {
            self.running.insert((now + ran, attempt, ran));
            return OfferReply::Started;
        }
        self.queued.push_back(attempt);
        OfferReply::Queued
    }
}

pub(crate) struct Simulation {
    pub(crate) now: Instant,
    /// The time from which answer times are counted.
    pub(crate) start: Instant,
    pub(crate) authority: TaskAuthority,
    pub(crate) contract: Contract,
    pub(crate) dispatchers: Vec<Dispatcher>,
    /// Run time of the tasks of each kind.
    pub(crate) run_times: BTreeMap<&'static str, Duration>,
    /// Answers by serial, with their times.
    pub(crate) answers: BTreeMap<u64, (Instant, SubmissionOutcome)>,
}

impl Simulation {
    pub(crate) fn new(contract: Contract) -> Self {
        let home: DataCentreId = HOME.parse().expect("a data centre id");
        let now = Instant::now();
        Self {
            now,
            start: now,
            authority: TaskAuthority::new(AuthoritySettings::default(), home, IncarnationId(1), 7),
            contract,
            dispatchers: Vec::new(),
            run_times: BTreeMap::from([("hold", ms(200))]),
            answers: BTreeMap::new(),
        }
    }

    pub(crate) fn add_dispatcher(&mut self, slots: usize, data_centre: &str) -> usize {
        let number = self.dispatchers.len();
        let dispatcher = Dispatcher {
            key: DispatcherKey(number as u64),
            session: SessionId(number as u64 + 1),
            slots,
            refusal: None,
            frozen: false,
            offers: Vec::new(),
            running: BTreeSet::new(),
            queued: VecDeque::new(),
            attempt_run_times: BTreeMap::new(),
        };
        self.authority.on_session_opened(
            self.now,
            dispatcher.key,
            data_centre.parse().expect("a data centre id"),
            IncarnationId(100 + number as u64),
            dispatcher.session,
            dispatcher.slot_counts(),
        );
        self.dispatchers.push(dispatcher);
        number
    }

    pub(crate) fn set_limit(&mut self, name: &str, limit: u32) {
        self.authority.set_limit(self.now, &customer(name), limit);
    }

    /// Submits a job and returns its serial.
    pub(crate) fn submit(&mut self, job: &Job) -> Result<u64, SubmissionRefusal> {
        let terms = Some((&self.contract, ContractVersion(1)));
        let admitted = self
            .authority
            .submit(self.now, job.body(), 0, terms, None)?;
        self.flush();
        Ok(admitted.id.serial)
    }

    pub(crate) fn offer_count(&self) -> usize {
        let mut offers = 0;
        for dispatcher in &self.dispatchers {
            offers += dispatcher.offers.len();
        }
        offers
    }

    /// Advances the time and handles every event in it.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        self.flush();
        loop {
            let end = self.dispatchers.iter().filter_map(|dispatcher| {
                let (at, ..) = dispatcher.running.first()?;
                Some(*at)
            });
            let next = end.chain(self.authority.next_tick()).min();
            let Some(next) = next.filter(|next| *next <= until) else {
                break;
            };
            self.now = self.now.max(next);
            self.end_tasks();
            self.authority.tick(self.now);
            self.flush();
        }
        self.now = until;
    }

    /// Every dispatcher that is not frozen reports its slot counts, as with a ping.
    pub(crate) fn report_slots(&mut self) {
        for dispatcher in &self.dispatchers {
            if dispatcher.frozen {
                continue;
            }
            self.authority
                .on_slots(self.now, dispatcher.key, dispatcher.slot_counts());
        }
        self.flush();
    }

    fn end_tasks(&mut self) {
        for n in 0..self.dispatchers.len() {
            while let Some(first) = self.dispatchers[n].running.first().copied() {
                if first.0 > self.now {
                    break;
                }
                self.dispatchers[n].running.remove(&first);
                self.start_queued(n);
                let dispatcher = &self.dispatchers[n];
                self.authority
                    .on_slots(self.now, dispatcher.key, dispatcher.slot_counts());
                let payload = Payload::default();
                let end = AttemptEnd::Done(TaskResult { payload });
                self.authority.on_ended(self.now, first.1, end, first.2);
                self.flush();
            }
        }
    }

    fn start_queued(&mut self, n: usize) {
        let dispatcher = &mut self.dispatchers[n];
        while dispatcher.running.len() < dispatcher.slots {
            let Some(attempt) = dispatcher.queued.pop_front() else {
                return;
            };
            let body = self
                .authority
                .on_claim(self.now, dispatcher.session, attempt);
            if body.is_some() {
                let ran = dispatcher.attempt_run_times[&attempt];
                dispatcher.running.insert((self.now + ran, attempt, ran));
            }
        }
    }

    fn flush(&mut self) {
        loop {
            let actions = self.authority.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: AuthorityAction) {
        match action {
            AuthorityAction::Offer {
                dispatcher, offers, ..
            } => self.offer(dispatcher, offers),
            AuthorityAction::Withdraw {
                dispatcher,
                attempts,
                ..
            } => {
                let dispatcher = &mut self.dispatchers[dispatcher.0 as usize];
                dispatcher
                    .queued
                    .retain(|queued| !attempts.contains(queued));
            }
            AuthorityAction::Answer { id, outcome } => {
                let answer = (self.now, outcome.as_ref().clone());
                let before = self.answers.insert(id.serial, answer);
                assert_eq!(before, None, "one answer each");
            }
            AuthorityAction::Event(_) => {}
        }
    }

    fn offer(&mut self, key: DispatcherKey, offers: Vec<TaskOffer>) {
        let dispatcher = &mut self.dispatchers[key.0 as usize];
        if dispatcher.frozen {
            dispatcher.offers.extend(offers);
            return;
        }
        let mut replies = Vec::new();
        for offer in offers {
            let ran = self.run_times[offer.kind.as_str()];
            replies.push((offer.attempt, dispatcher.take(self.now, offer.attempt, ran)));
            dispatcher.offers.push(offer);
        }
        let counts = dispatcher.slot_counts();
        self.authority.on_slots(self.now, key, counts);
        self.authority.on_offer_replies(self.now, &replies);
    }
}
