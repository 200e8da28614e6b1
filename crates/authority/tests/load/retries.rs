//! Retries are bounded by the retry budget of the customer.

use model::{Contract, RefusalReason, RetryReason, SubmissionOutcome};

use crate::simulation::{customer, ms, Job, Simulation, HOME};

struct RetryCase {
    name: &'static str,
    retry_percent: u32,
    refusal: RetryReason,
    /// Number of offers for 200 single tasks within a tenth of a second.
    offers: std::ops::RangeInclusive<usize>,
}

/// Every offer is refused as busy. Without a budget, each task would be tried eight times, and the messages would grow
/// eightfold while the endpoints have the least time for them. The callers get refusals with a retry-after soon after
/// the budget is spent.
#[test]
fn repeated_busy_replies_cost_few_offers_beyond_the_first() {
    let cases = [
        RetryCase {
            name: "no retries but the initial ones and the floor",
            retry_percent: 0,
            refusal: RetryReason::EndpointBusy,
            offers: 240..=243,
        },
        RetryCase {
            name: "retries for a fifth of the tasks",
            retry_percent: 20,
            refusal: RetryReason::EndpointBusy,
            offers: 240..=283,
        },
        RetryCase {
            name: "a full queue is overload too",
            retry_percent: 20,
            refusal: RetryReason::QueueFull,
            offers: 240..=283,
        },
        RetryCase {
            name: "an unreachable endpoint is overload too",
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

/// A job completes although its first dispatcher is stopping. Such a refusal comes from a change and not from overload,
/// so it costs nothing of the budget, to which the contract adds nothing here.
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

/// Endpoints are busy for a moment, and a customer with much work spends its retry budget, so much of its work is
/// refused. Another customer has a budget of its own, and its request is served after a moment.
#[test]
fn a_spent_budget_does_not_affect_other_customers() {
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
    assert!(complete(serial), "a started job runs to its end");
    assert!(complete(served), "each customer has a budget");
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
