//! The cost of one job of 40 tasks from its submission to its answer, by open submissions and by customers.

use std::time::{Duration, Instant};

use authority::{AuthorityAction, AuthoritySettings, DispatcherKey, TaskAuthority};
use criterion::{BenchmarkId, Criterion};
use model::{
    AttemptEnd, AttemptId, Contract, ContractVersion, CustomerId, DataCentreId, IncarnationId,
    OfferReply, Payload, SessionId, SlotCounts, SubmissionBody, SubmissionKind, TaskBody, TaskKind,
    TaskResult,
};

const OPEN_SUBMISSIONS: [usize; 3] = [10, 1_000, 10_000];
const CUSTOMER_COUNTS: [usize; 3] = [14, 140, 1_400];
const TASKS_PER_JOB: usize = 40;
const RUN_TIME: Duration = Duration::from_millis(200);
const DISPATCHERS: u64 = 3;

/// An authority with open submissions whose tasks run.
struct LoadedEntry {
    authority: TaskAuthority,
    now: Instant,
    customers: Vec<CustomerId>,
    kind: TaskKind,
    contract: Contract,
    next: usize,
}

impl LoadedEntry {
    fn new(home: &DataCentreId, kind: &TaskKind, customers: usize, open: usize) -> Self {
        let now = Instant::now();
        let settings = AuthoritySettings {
            max_open_submissions: usize::MAX,
            max_kept_answers: 1_000,
            ..AuthoritySettings::default()
        };
        let mut authority = TaskAuthority::new(settings, home.clone(), IncarnationId(1), 7);
        for key in 1..=DISPATCHERS {
            let slots = SlotCounts {
                limit: 1_000_000,
                ..SlotCounts::default()
            };
            let (dispatcher, session) = (DispatcherKey(key), SessionId(key));
            let incarnation = IncarnationId(100 + key);
            authority.on_session_opened(now, dispatcher, home.clone(), incarnation, session, slots);
        }
        let names = (0..customers).filter_map(|n| format!("customer-{n}").parse().ok());
        let mut entry = Self {
            authority,
            now,
            customers: names.collect(),
            kind: kind.clone(),
            contract: Contract::default(),
            next: 0,
        };
        for customer in &entry.customers {
            entry.authority.set_limit(now, customer, 1_000_000);
        }
        for _ in 0..open {
            entry.submit(1);
        }
        entry
    }

    fn submit(&mut self, tasks: usize) -> Vec<AttemptId> {
        self.next = (self.next + 1) % self.customers.len();
        let task = TaskBody {
            kind: self.kind.clone(),
            payload: Payload::default(),
            declared_run_time: None,
        };
        let body = SubmissionBody {
            customer: self.customers[self.next].clone(),
            kind: SubmissionKind::Job,
            deadline: None,
            tasks: vec![task; tasks],
        };
        let terms = Some((&self.contract, ContractVersion(1)));
        let admitted = self.authority.submit(self.now, body, 0, terms, None);
        assert!(
            admitted.is_ok(),
            "the submission was refused, which costs less than the work to measure"
        );
        let mut attempts = Vec::with_capacity(tasks);
        for action in self.authority.take_actions() {
            if let AuthorityAction::Offer { offers, .. } = action {
                attempts.extend(offers.iter().map(|offer| offer.attempt));
            }
        }
        let replies: Vec<_> = attempts
            .iter()
            .map(|attempt| (*attempt, OfferReply::Started))
            .collect();
        self.authority.on_offer_replies(self.now, &replies);
        attempts
    }

    fn run_job(&mut self) -> usize {
        let attempts = self.submit(TASKS_PER_JOB);
        for attempt in attempts {
            let payload = Payload::default();
            let end = AttemptEnd::Done(TaskResult { payload });
            self.authority.on_ended(self.now, attempt, end, RUN_TIME);
        }
        self.authority.tick(self.now);
        self.authority.take_actions().len()
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let (Ok(home), Ok(kind)) = ("hall".parse(), "hold".parse()) else {
        return;
    };
    let mut group = criterion.benchmark_group("job_of_40");
    for customers in CUSTOMER_COUNTS {
        for open in OPEN_SUBMISSIONS {
            let mut entry = LoadedEntry::new(&home, &kind, customers, open);
            let id = format!("{customers}-customers/{open}-open");
            group.bench_function(BenchmarkId::from_parameter(id), |b| {
                // The clock does not advance, so the open submissions stay open.
                b.iter(|| entry.run_job());
            });
        }
    }
    group.finish();
    criterion.final_summary();
}
