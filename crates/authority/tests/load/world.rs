//! One authority and dispatchers with slots, in virtual time. Messages take no time and none is lost.

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

/// A dispatcher that runs tasks in its slots and keeps the others in the order of their coming.
pub(crate) struct Dispatcher {
    pub(crate) key: DispatcherKey,
    pub(crate) session: SessionId,
    pub(crate) slots: usize,
    /// Turns every offer away.
    pub(crate) refuses: Option<RetryReason>,
    /// Takes offers and says nothing.
    pub(crate) frozen: bool,
    pub(crate) offers: Vec<TaskOffer>,
    running: BTreeSet<(Instant, AttemptId, Duration)>,
    queued: VecDeque<AttemptId>,
    ran: BTreeMap<AttemptId, Duration>,
}

impl Dispatcher {
    fn counts(&self) -> SlotCounts {
        SlotCounts {
            limit: self.slots as u32,
            running: self.running.len() as u32,
            queued: self.queued.len() as u32,
        }
    }

    fn take(&mut self, now: Instant, attempt: AttemptId, ran: Duration) -> OfferReply {
        if let Some(reason) = self.refuses {
            return OfferReply::NotRun(reason);
        }
        self.ran.insert(attempt, ran);
        if self.running.len() < self.slots {
            self.running.insert((now + ran, attempt, ran));
            return OfferReply::Started;
        }
        self.queued.push_back(attempt);
        OfferReply::Queued
    }
}

pub(crate) struct World {
    pub(crate) now: Instant,
    /// From where answer times are counted.
    pub(crate) start: Instant,
    pub(crate) authority: TaskAuthority,
    pub(crate) contract: Contract,
    pub(crate) dispatchers: Vec<Dispatcher>,
    /// How long tasks of a kind run.
    pub(crate) run_times: BTreeMap<&'static str, Duration>,
    /// Answers by serial, with their times.
    pub(crate) answers: BTreeMap<u64, (Instant, SubmissionOutcome)>,
}

impl World {
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
            refuses: None,
            frozen: false,
            offers: Vec::new(),
            running: BTreeSet::new(),
            queued: VecDeque::new(),
            ran: BTreeMap::new(),
        };
        self.authority.on_session_opened(
            self.now,
            dispatcher.key,
            data_centre.parse().expect("a data centre id"),
            IncarnationId(100 + number as u64),
            dispatcher.session,
            dispatcher.counts(),
        );
        self.dispatchers.push(dispatcher);
        number
    }

    pub(crate) fn allow(&mut self, name: &str, limit: u32) {
        self.authority.set_limit(self.now, &customer(name), limit);
    }

    /// Submits a job; `Ok` has the serial.
    pub(crate) fn submit(&mut self, job: &Job) -> Result<u64, SubmissionRefusal> {
        let terms = Some((&self.contract, ContractVersion(1)));
        let admitted = self
            .authority
            .submit(self.now, job.body(), 0, terms, None)?;
        self.flush();
        Ok(admitted.id.serial)
    }

    pub(crate) fn offers(&self) -> usize {
        let mut offers = 0;
        for dispatcher in &self.dispatchers {
            offers += dispatcher.offers.len();
        }
        offers
    }

    /// Lets the time pass, with all that happens in it.
    pub(crate) fn pass(&mut self, time: Duration) {
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

    /// Each dispatcher tells how its slots stand, as pings do.
    pub(crate) fn tell_slots(&mut self) {
        for dispatcher in &self.dispatchers {
            if dispatcher.frozen {
                continue;
            }
            self.authority
                .on_slots(self.now, dispatcher.key, dispatcher.counts());
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
                    .on_slots(self.now, dispatcher.key, dispatcher.counts());
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
                let ran = dispatcher.ran[&attempt];
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
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: AuthorityAction) {
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
            AuthorityAction::Note(_) => {}
        }
    }

    fn offer(&mut self, key: DispatcherKey, offers: Vec<TaskOffer>) {
        let dispatcher = &mut self.dispatchers[key.0 as usize];
        if dispatcher.frozen {
            dispatcher.offers.extend(offers);
            return;
        }
        let mut verdicts = Vec::new();
        for offer in offers {
            let ran = self.run_times[offer.kind.as_str()];
            verdicts.push((offer.attempt, dispatcher.take(self.now, offer.attempt, ran)));
            dispatcher.offers.push(offer);
        }
        let counts = dispatcher.counts();
        self.authority.on_slots(self.now, key, counts);
        self.authority.on_verdicts(self.now, &verdicts);
    }
}
