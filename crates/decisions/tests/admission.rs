//! Admission decisions for a table of submissions and loads.

use std::time::{Duration, Instant};

use decisions::{
    AdmissionDecision, AdmissionPolicy, AdmissionQuery, DrainRate, EstimateSource, RunTimeEstimate,
    Saturation, WaitEstimator, WorkClass,
};
use model::{
    Contract, ContractState, CustomerShare, RefusableWork,
    RefusalReason::{
        self, CanNeverRun, NoCapacity, OverConcurrency, Overloaded, PredictedLate, RetiredCustomer,
        TooManyTasks, WrongDeadline,
    },
};

const MS: Duration = Duration::from_millis(1);

fn contract(may_refuse: RefusableWork) -> Contract {
    Contract {
        may_refuse,
        ..Contract::default()
    }
}

/// A job of 40 tasks of 250 ms each, which 40 slots can answer in 250 ms.
fn job(contract: &Contract) -> AdmissionQuery<'_> {
    AdmissionQuery {
        contract,
        class: WorkClass::Job,
        tasks: 40,
        longest_estimate: RunTimeEstimate {
            run_time: MS * 250,
            source: EstimateSource::Measured,
        },
        tail_run_time: MS * 250,
        expected_work: MS * 10_000,
        deadline: MS * 2000,
        open_tasks: 0,
        open_work: Duration::ZERO,
        granted_concurrency: 40,
        predicted_wait: Duration::ZERO,
        saturation: Saturation(0.5),
    }
}

fn estimate(ms: u32, source: EstimateSource) -> RunTimeEstimate {
    RunTimeEstimate {
        run_time: MS * ms,
        source,
    }
}

/// Checks the decision: `None` expects admission, otherwise the reason and the shortest retry-after time in
/// milliseconds, to which up to half is added at random.
fn check(query: AdmissionQuery<'_>, expect: Option<(RefusalReason, Option<u32>)>) {
    let policy = AdmissionPolicy::default();
    for seed in 0..20 {
        let decision = policy.decide(&query, &mut fastrand::Rng::with_seed(seed));
        match (decision, expect) {
            (AdmissionDecision::Admit, None) => {}
            (
                AdmissionDecision::Refuse {
                    reason,
                    retry_after,
                },
                Some((expect, at)),
            ) => {
                assert_eq!(reason, expect, "{query:?}");
                assert_eq!(retry_after.is_some(), at.is_some(), "{query:?}");
                let (after, at) = (retry_after.unwrap_or_default(), MS * at.unwrap_or_default());
                assert!(
                    after >= at && after <= at.mul_f64(1.5),
                    "{after:?} {query:?}"
                );
            }
            _ => panic!("{decision:?}, not {expect:?}: {query:?}"),
        }
    }
}

#[test]
fn submissions_outside_the_contract_are_refused_for_good() {
    let default_contract = Contract::default();
    check(job(&default_contract), None);
    let retired = Contract {
        state: ContractState::Retired,
        ..Contract::default()
    };
    check(job(&retired), Some((RetiredCustomer, None)));
    check(
        AdmissionQuery {
            tasks: 370,
            ..job(&default_contract)
        },
        None,
    );
    check(
        AdmissionQuery {
            tasks: 371,
            ..job(&default_contract)
        },
        Some((TooManyTasks, None)),
    );
    check(
        AdmissionQuery {
            deadline: MS * 10_000,
            ..job(&default_contract)
        },
        None,
    );
    check(
        AdmissionQuery {
            deadline: MS * 10_001,
            ..job(&default_contract)
        },
        Some((WrongDeadline, None)),
    );
    check(
        AdmissionQuery {
            deadline: Duration::ZERO,
            ..job(&default_contract)
        },
        Some((WrongDeadline, None)),
    );
}

#[test]
fn work_too_long_for_its_deadline_is_refused_for_good() {
    use EstimateSource::{Declared, Measured, Stale};
    let default_contract = Contract::default();
    let longest = |ms, source| AdmissionQuery {
        longest_estimate: estimate(ms, source),
        ..job(&default_contract)
    };
    check(longest(2000, Measured), None);
    check(longest(2001, Measured), Some((CanNeverRun, None)));
    // Declared run times may be off by a factor of a hundred, and stale ones may have changed.
    check(longest(200_000, Declared), None);
    check(longest(200_000, Stale), None);
    check(longest(200_001, Declared), Some((CanNeverRun, None)));
    check(
        AdmissionQuery {
            expected_work: MS * 80_001,
            ..job(&default_contract)
        },
        Some((CanNeverRun, None)),
    );
}

#[test]
fn a_customer_over_its_concurrency_limit_is_refused() {
    let default_contract = Contract::default();
    let busy = |work, granted_concurrency| AdmissionQuery {
        open_tasks: 400,
        open_work: MS * work,
        granted_concurrency,
        ..job(&default_contract)
    };
    check(busy(56_000, 40), None);
    check(busy(66_000, 40), Some((OverConcurrency, Some(250))));
    check(busy(0, 4), Some((OverConcurrency, Some(850))));
    check(busy(0, 0), Some((OverConcurrency, Some(200))));
}

#[test]
fn predicted_late_work_is_refused_with_retry_after() {
    let default_contract = contract(RefusableWork::Nothing);
    let waiting = |ms| AdmissionQuery {
        predicted_wait: MS * ms,
        ..job(&default_contract)
    };
    check(waiting(1400), None);
    check(waiting(1401), Some((PredictedLate, Some(200))));
    check(waiting(2400), Some((PredictedLate, Some(1000))));
    check(waiting(600_000), Some((PredictedLate, Some(30_000))));
    let saturation = Saturation::new(1, 0);
    check(
        AdmissionQuery {
            saturation,
            ..job(&default_contract)
        },
        Some((NoCapacity, Some(200))),
    );
}

#[test]
fn overload_refuses_only_what_the_contract_allows() {
    use RefusableWork::{Everything, Jobs, Nothing};
    use WorkClass::{Job, Request};
    // The work that may be refused, the class, the open tasks of 40 granted, and the saturation from which it is
    // refused.
    let cases = [
        (Nothing, Job, 40, None),
        (Nothing, Request, 40, None),
        (Jobs, Job, 11, Some(2.0)),
        (Jobs, Job, 10, Some(4.0)),
        (Jobs, Request, 40, None),
        (Everything, Job, 11, Some(2.0)),
        (Everything, Request, 40, Some(6.0)),
    ];
    for (may_refuse, class, open_tasks, from) in cases {
        let contract = contract(may_refuse);
        for saturation in [0.5, 1.9, 2.0, 3.9, 4.0, 5.9, 6.0, 100.0] {
            let query = AdmissionQuery {
                class,
                open_tasks,
                predicted_wait: MS * 600,
                saturation: Saturation(saturation),
                ..job(&contract)
            };
            let refused = from.is_some_and(|from| saturation >= from);
            check(query, refused.then_some((Overloaded, Some(600))));
        }
    }
}

#[test]
fn retry_after_is_jittered() {
    let default_contract = Contract::default();
    let query = AdmissionQuery {
        predicted_wait: MS * 4000,
        ..job(&default_contract)
    };
    let policy = AdmissionPolicy::default();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut tenths = [0; 10];
    for _ in 0..1000 {
        let AdmissionDecision::Refuse {
            retry_after: Some(after),
            ..
        } = policy.decide(&query, &mut rng)
        else {
            panic!("admitted");
        };
        let spread = (after - MS * 2600).as_secs_f64() / 1.3;
        tenths[(spread * 10.0) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| *n > 50), "{tenths:?}");
}

#[test]
fn the_tail_run_time_is_reserved() {
    let default_contract = Contract::default();
    let tail_run_time = |ms, wait| AdmissionQuery {
        tail_run_time: MS * ms,
        predicted_wait: MS * wait,
        ..job(&default_contract)
    };
    check(tail_run_time(1750, 200), None);
    check(tail_run_time(1750, 201), Some((PredictedLate, Some(200))));
    // A tail run time as long as the whole deadline does not lead to the refusal of every submission of the kind.
    check(tail_run_time(2000, 1400), None);
}

#[test]
fn predicted_wait_follows_the_share_and_the_drain_rate() {
    let estimator = |share, active_shares, slots, drain_rate| WaitEstimator {
        pending_work: MS * 10_000,
        share: CustomerShare(share),
        active_shares,
        drain_rate,
        slots,
    };
    let none = DrainRate::default();
    let cases = [
        (estimator(1, 4, 20.0, none), 2000),
        (estimator(2, 4, 20.0, none), 1000),
        (estimator(1, 0, 20.0, none), 500),
        (estimator(1, 4, 20.0, drain_rate_after(8, true)), 1250),
        (estimator(1, 4, 20.0, drain_rate_after(8, false)), 2000),
        (estimator(1, 4, 20.0, drain_rate_after(2, true)), 2000),
        (estimator(1, 4, 20.0, drain_rate_after(100, true)), 500),
        (estimator(1, 4, 0.0, none), 1_000_000),
    ];
    for (estimator, expect) in cases {
        let wait = estimator.predicted_wait();
        let off = wait.abs_diff(MS * expect);
        assert!(
            off < MS * expect / 100,
            "{wait:?}, not {expect}: {estimator:?}"
        );
    }
}

/// The drain rate after a minute in which work for this many slots started, with or without a backlog.
fn drain_rate_after(slots: u32, backlog: bool) -> DrainRate {
    let start = Instant::now();
    let mut drain = DrainRate::default();
    for n in 0..6000 {
        drain.on_start(start + MS * 10 * n, MS * 10 * slots, backlog);
    }
    drain
}
