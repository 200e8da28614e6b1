//! Retries are bounded by what the customer has saved up.

use model::{Contract, RefusalReason, RetryReason, SubmissionOutcome};

use crate::simulation::{customer, ms, Job, Simulation, HOME};

struct RetryCase {
    name: &'static str,
    retry_percent: u32,
    refusal: RetryReason,
    /// Offers for 200 single tasks within a tenth of a second.
    offers: std::ops::RangeInclusive<usize>,
}

/// What the caller sees: refusals with when to come back, soon after the budget is spent. What happens: every offer is
/// turned away as busy, each task would be tried eight times, and the messages would grow eightfold while the
/// endpoints have the least time for them.
#[test]
fn a_storm_of_busy_answers_costs_little_more_than_the_first_offers() {
    let cases = [
        RetryCase {
            name: "no retries but the floor",
            retry_percent: 0,
            refusal: RetryReason::EndpointBusy,
            offers: 240..=243,
        },
        RetryCase {
            name: "a fifth",
            retry_percent: 20,
            refusal: RetryReason::EndpointBusy,
            offers: 240..=283,
        },
        RetryCase {
            name: "a full queue tells of load too",
            retry_percent: 20,
            refusal: RetryReason::QueueFull,
            offers: 240..=283,
        },
        RetryCase {
            name: "an unreachable endpoint too",
            retry_percent: 20,
            refusal: RetryReason::EndpointUnreachable,
            offers: 240..=283,
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(Contract {
            retry_percent: case.retry_percent,
            ..Contract::default()
        });
        simulation.set_limit("school", 400);
        for _ in 0..2 {
            let number = simulation.add_dispatcher(8, HOME);
            simulation.dispatchers[number].refusal = Some(case.refusal);
        }
        let mut serials = Vec::new();
        for _ in 0..200 {
            serials.push(simulation.submit(&Job::default()).expect(case.name));
        }
        simulation.advance(ms(2_000));
        let offers = simulation.offer_count();
        assert!(case.offers.contains(&offers), "{}: {offers}", case.name);
        for serial in serials {
            let (_, outcome) = &simulation.answers[&serial];
            let SubmissionOutcome::Refused {
                reason: RefusalReason::RetryBudgetSpent,
                retry_after: Some(_),
            } = outcome
            else {
                panic!("{}: {outcome:?}", case.name);
            };
        }
    }
}

/// What the caller sees: its job is complete although its first dispatcher is stopping. The refusal tells of a change
/// and not of load, so it costs nothing of the budget: here there is none.
#[test]
fn a_stopping_dispatcher_costs_no_budget() {
    let mut simulation = Simulation::new(Contract {
        retry_percent: 0,
        ..Contract::default()
    });
    simulation.set_limit("school", 400);
    let stopping = simulation.add_dispatcher(1_000, HOME);
    simulation.add_dispatcher(8, HOME);
    simulation.dispatchers[stopping].refusal = Some(RetryReason::DispatcherStopping);
    let job = Job {
        tasks: 8,
        ..Job::default()
    };
    let serial = simulation.submit(&job).expect("admitted");
    let key = simulation.dispatchers[stopping].key;
    simulation.authority.on_dispatcher_stopping(key);
    simulation.advance(ms(1_000));
    let (_, outcome) = &simulation.answers[&serial];
    assert!(
        matches!(outcome, SubmissionOutcome::Complete(_)),
        "{outcome:?}"
    );
}

/// What the caller sees: a request of one customer is served after a moment, while much of another's work is refused.
/// What happens: endpoints are busy for a moment, and the one with much work spends its budget; the other has its own.
#[test]
fn a_spent_budget_leaves_others_alone() {
    let mut simulation = Simulation::new(Contract {
        retry_percent: 0,
        ..Contract::default()
    });
    simulation.set_limit("noisy", 400);
    simulation.set_limit("quiet", 400);
    let number = simulation.add_dispatcher(8, HOME);
    let noisy = Job {
        customer: "noisy",
        tasks: 8,
        ..Job::default()
    };
    let serial = simulation.submit(&noisy).expect("admitted");
    simulation.dispatchers[number].refusal = Some(RetryReason::EndpointBusy);
    for _ in 0..20 {
        simulation.submit(&noisy).expect("admitted");
    }
    let quiet = Job {
        customer: "quiet",
        ..Job::default()
    };
    let served = simulation.submit(&quiet).expect("admitted");
    simulation.dispatchers[number].refusal = None;
    simulation.advance(ms(2_000));
    let complete = |serial: u64| {
        matches!(
            simulation.answers[&serial].1,
            SubmissionOutcome::Complete(_)
        )
    };
    assert!(complete(serial), "what had started runs to its end");
    assert!(complete(served), "everybody has a budget");
    assert_eq!(simulation.authority.usage(&customer("noisy")), (0, 0));
    let mut refused = 0;
    for (_, outcome) in simulation.answers.values() {
        refused += usize::from(matches!(
            outcome,
            SubmissionOutcome::Refused {
                reason: RefusalReason::RetryBudgetSpent,
                retry_after: Some(_),
            }
        ));
    }
    assert!(refused >= 15, "160 tasks had 40 retries: {refused}");
}
