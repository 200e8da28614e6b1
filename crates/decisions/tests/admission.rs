//! Admission: a table of submissions, the picture at their arrival and the verdict.

use std::time::{Duration, Instant};

use decisions::{
    AdmissionPolicy, AdmissionQuery, AdmissionVerdict, DrainRate, EstimateSource, RunTimeEstimate,
    Saturation, WaitPicture, WorkClass,
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

/// A job of 40 tasks of 250 ms each, which can be answered in 250 ms by 40 slots.
fn job(contract: &Contract) -> AdmissionQuery<'_> {
    AdmissionQuery {
        contract,
        class: WorkClass::Job,
        tasks: 40,
        largest: RunTimeEstimate {
            run_time: MS * 250,
            source: EstimateSource::Measured,
        },
        slowest: MS * 250,
        expected_work: MS * 10_000,
        deadline: MS * 2000,
        running: 0,
        running_work: Duration::ZERO,
        granted: 40,
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

/// Compares the verdict: `None` for admission, otherwise the reason and the earliest time to come back in, in
/// milliseconds, of which up to half is added at random.
fn check(query: AdmissionQuery<'_>, expect: Option<(RefusalReason, Option<u32>)>) {
    let policy = AdmissionPolicy::default();
    for seed in 0..20 {
        let verdict = policy.decide(&query, &mut fastrand::Rng::with_seed(seed));
        match (verdict, expect) {
            (AdmissionVerdict::Admit, None) => {}
            (
                AdmissionVerdict::Refuse {
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
            _ => panic!("{verdict:?}, not {expect:?}: {query:?}"),
        }
    }
}

#[test]
fn what_the_contract_does_not_cover_never_runs() {
    let usual = Contract::default();
    check(job(&usual), None);
    let retired = Contract {
        state: ContractState::Retired,
        ..Contract::default()
    };
    check(job(&retired), Some((RetiredCustomer, None)));
    check(
        AdmissionQuery {
            tasks: 370,
            ..job(&usual)
        },
        None,
    );
    check(
        AdmissionQuery {
            tasks: 371,
            ..job(&usual)
        },
        Some((TooManyTasks, None)),
    );
    check(
        AdmissionQuery {
            deadline: MS * 10_000,
            ..job(&usual)
        },
        None,
    );
    check(
        AdmissionQuery {
            deadline: MS * 10_001,
            ..job(&usual)
        },
        Some((WrongDeadline, None)),
    );
    check(
        AdmissionQuery {
            deadline: Duration::ZERO,
            ..job(&usual)
        },
        Some((WrongDeadline, None)),
    );
}

#[test]
fn what_cannot_be_in_time_alone_never_runs() {
    use EstimateSource::{Declared, Measured, Stale};
    let usual = Contract::default();
    let largest = |ms, source| AdmissionQuery {
        largest: estimate(ms, source),
        ..job(&usual)
    };
    check(largest(2000, Measured), None);
    check(largest(2001, Measured), Some((CanNeverRun, None)));
    // Declared times may be off by a hundredfold, old ones may have changed.
    check(largest(200_000, Declared), None);
    check(largest(200_000, Stale), None);
    check(largest(200_001, Declared), Some((CanNeverRun, None)));
    check(
        AdmissionQuery {
            expected_work: MS * 80_001,
            ..job(&usual)
        },
        Some((CanNeverRun, None)),
    );
}

#[test]
fn a_customer_at_its_limit_is_told_so() {
    let usual = Contract::default();
    let running = |work, granted| AdmissionQuery {
        running: 400,
        running_work: MS * work,
        granted,
        ..job(&usual)
    };
    check(running(56_000, 40), None);
    check(running(66_000, 40), Some((OverConcurrency, Some(250))));
    check(running(0, 4), Some((OverConcurrency, Some(850))));
    check(running(0, 0), Some((OverConcurrency, Some(200))));
}

#[test]
fn hopeless_work_is_refused_with_when_to_come_back() {
    let usual = contract(RefusableWork::Nothing);
    let waiting = |ms| AdmissionQuery {
        predicted_wait: MS * ms,
        ..job(&usual)
    };
    check(waiting(1400), None);
    check(waiting(1401), Some((PredictedLate, Some(200))));
    check(waiting(2400), Some((PredictedLate, Some(1000))));
    check(waiting(600_000), Some((PredictedLate, Some(30_000))));
    let saturation = Saturation::new(1, 0);
    check(
        AdmissionQuery {
            saturation,
            ..job(&usual)
        },
        Some((NoCapacity, Some(200))),
    );
}

#[test]
fn under_overload_the_contract_says_what_goes_first() {
    use RefusableWork::{Everything, Jobs, Nothing};
    use WorkClass::{Job, Request};
    // What may be refused, job or request, tasks running of 40 granted, from which saturation it is refused.
    let cases = [
        (Nothing, Job, 40, None),
        (Nothing, Request, 40, None),
        (Jobs, Job, 11, Some(2.0)),
        (Jobs, Job, 10, Some(4.0)),
        (Jobs, Request, 40, None),
        (Everything, Job, 11, Some(2.0)),
        (Everything, Request, 40, Some(6.0)),
    ];
    for (may_refuse, class, running, from) in cases {
        let contract = contract(may_refuse);
        for saturation in [0.5, 1.9, 2.0, 3.9, 4.0, 5.9, 6.0, 100.0] {
            let query = AdmissionQuery {
                class,
                running,
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
fn refused_callers_do_not_come_back_together() {
    let usual = Contract::default();
    let query = AdmissionQuery {
        predicted_wait: MS * 4000,
        ..job(&usual)
    };
    let policy = AdmissionPolicy::default();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut tenths = [0; 10];
    for _ in 0..1000 {
        let AdmissionVerdict::Refuse {
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
fn time_is_kept_for_a_rare_long_task() {
    let usual = Contract::default();
    let slowest = |ms, wait| AdmissionQuery {
        slowest: MS * ms,
        predicted_wait: MS * wait,
        ..job(&usual)
    };
    check(slowest(1750, 200), None);
    check(slowest(1750, 201), Some((PredictedLate, Some(200))));
    // One that does not fit at all does not close the kind.
    check(slowest(2000, 1400), None);
}

#[test]
fn the_wait_follows_the_share_and_what_was_had_lately() {
    let picture = |share, all_shares, slots, drain| WaitPicture {
        own_work: MS * 10_000,
        share: CustomerShare(share),
        all_shares,
        drain,
        slots,
    };
    let none = DrainRate::default();
    let cases = [
        (picture(1, 4, 20.0, none), 2000),
        (picture(2, 4, 20.0, none), 1000),
        (picture(1, 0, 20.0, none), 500),
        (picture(1, 4, 20.0, drained(8, true)), 1250),
        (picture(1, 4, 20.0, drained(8, false)), 2000),
        (picture(1, 4, 20.0, drained(2, true)), 2000),
        (picture(1, 4, 20.0, drained(100, true)), 500),
        (picture(1, 4, 0.0, none), 1_000_000),
    ];
    for (picture, expect) in cases {
        let wait = picture.predicted_wait();
        let off = wait.abs_diff(MS * expect);
        assert!(
            off < MS * expect / 100,
            "{wait:?}, not {expect}: {picture:?}"
        );
    }
}

/// The rate after a minute in which this many slots' worth started, with or without backlog.
fn drained(slots: u32, backlog: bool) -> DrainRate {
    let start = Instant::now();
    let mut drain = DrainRate::default();
    for n in 0..6000 {
        drain.on_start(start + MS * 10 * n, MS * 10 * slots, backlog);
    }
    drain
}
