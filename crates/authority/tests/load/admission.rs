//! Which submissions are refused, with which retry-after, and which are not.

use std::time::Duration;

use model::{Contract, RefusableWork, RefusalReason, SubmissionOutcome};

use crate::simulation::{ms, Job, Simulation, HOME};

/// A contract under which nothing is refused for the sake of other customers.
fn strict() -> Contract {
    Contract {
        may_refuse: RefusableWork::Nothing,
        ..Contract::default()
    }
}

/// Runs a job so that the run time of its kind is measured.
fn warm_up(simulation: &mut Simulation, customer: &'static str) {
    let job = Job {
        customer,
        tasks: 4,
        deadline: ms(9_000),
        ..Job::default()
    };
    simulation.submit(&job).expect("admitted");
    simulation.advance(ms(4_000));
    simulation.authority.tick(simulation.now);
}

fn count_complete(simulation: &Simulation, serials: &[u64], within: Duration) -> usize {
    let mut complete = 0;
    for serial in serials {
        let (at, outcome) = &simulation.answers[serial];
        let in_time = at.saturating_duration_since(simulation.start) <= within;
        complete += usize::from(in_time && matches!(outcome, SubmissionOutcome::Complete(_)));
    }
    complete
}

struct RefusalCase {
    name: &'static str,
    limit: u32,
    run_time: Duration,
    /// Number of jobs submitted at once, of 8 tasks each and due within 2 s, on 8 slots.
    jobs: usize,
    reason: RefusalReason,
    refused: std::ops::RangeInclusive<usize>,
    /// Whether the refusals contain a retry-after.
    comes_back: bool,
}

/// Jobs that cannot be in time are refused at once with a retry-after, and each accepted job completes in time. A job
/// that can never be in time is refused without a retry-after.
#[test]
fn a_burst_is_limited_to_jobs_that_can_be_in_time() {
    let cases = [
        RefusalCase {
            name: "within the slots",
            limit: 40,
            run_time: ms(200),
            jobs: 5,
            reason: RefusalReason::PredictedLate,
            refused: 0..=0,
            comes_back: true,
        },
        RefusalCase {
            name: "three times what the slots do in time",
            limit: 400,
            run_time: ms(200),
            jobs: 30,
            reason: RefusalReason::PredictedLate,
            refused: 20..=24,
            comes_back: true,
        },
        RefusalCase {
            name: "far over the own limit",
            limit: 2,
            run_time: ms(200),
            jobs: 10,
            reason: RefusalReason::OverConcurrency,
            refused: 7..=9,
            comes_back: true,
        },
        RefusalCase {
            name: "longer than its deadline",
            limit: 40,
            run_time: ms(3_000),
            jobs: 3,
            reason: RefusalReason::CanNeverRun,
            refused: 3..=3,
            comes_back: false,
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(strict());
        simulation.set_limit("school", case.limit);
        simulation.add_dispatcher(8, HOME);
        simulation.run_times.insert("hold", case.run_time);
        warm_up(&mut simulation, "school");
        simulation.start = simulation.now;
        let job = Job {
            tasks: 8,
            deadline: ms(2_000),
            ..Job::default()
        };
        let (mut serials, mut refused) = (Vec::new(), 0);
        for _ in 0..case.jobs {
            match simulation.submit(&job) {
                Ok(serial) => serials.push(serial),
                Err(refusal) => {
                    refused += 1;
                    assert_eq!(refusal.reason, case.reason, "{}", case.name);
                    let comes_back = refusal.retry_after.is_some();
                    assert_eq!(comes_back, case.comes_back, "{}", case.name);
                }
            }
        }
        assert!(case.refused.contains(&refused), "{}: {refused}", case.name);
        simulation.advance(ms(4_000));
        let complete = count_complete(&simulation, &serials, job.deadline);
        assert_eq!(complete, serials.len(), "{}", case.name);
    }
}

/// One customer submits 60 jobs at once, so all slots and the queue are its own; then a small customer submits. The
/// first is refused most of its jobs, and the second gets every answer in time.
#[test]
fn a_customer_far_over_its_limit_does_not_delay_another() {
    let mut simulation = Simulation::new(strict());
    simulation.set_limit("big", 8);
    simulation.set_limit("small", 8);
    simulation.add_dispatcher(16, HOME);
    warm_up(&mut simulation, "big");
    simulation.start = simulation.now;
    let big = Job {
        customer: "big",
        tasks: 8,
        deadline: ms(2_000),
        ..Job::default()
    };
    let mut refused = 0;
    for _ in 0..60 {
        let Err(refusal) = simulation.submit(&big) else {
            continue;
        };
        refused += 1;
        assert!(refusal.retry_after.is_some_and(|after| after <= ms(30_000)));
    }
    assert!(refused >= 50, "{refused}");
    let small = Job {
        customer: "small",
        ..big
    };
    let mut serials = Vec::new();
    for _ in 0..4 {
        serials.push(simulation.submit(&small).expect("below its own limit"));
    }
    simulation.advance(ms(4_000));
    assert_eq!(
        count_complete(&simulation, &serials, ms(2_000)),
        serials.len()
    );
}

/// While run times are not measured, wrong declarations cause no refusal of work that fits.
#[test]
fn declared_times_off_by_a_hundredfold_refuse_nothing() {
    for declared in [ms(2), ms(200), ms(20_000)] {
        let mut simulation = Simulation::new(strict());
        simulation.set_limit("school", 40);
        simulation.add_dispatcher(8, HOME);
        let job = Job {
            tasks: 8,
            declared: Some(declared),
            ..Job::default()
        };
        let mut serials = Vec::new();
        for _ in 0..4 {
            serials.push(simulation.submit(&job).expect("fits"));
        }
        simulation.advance(ms(1_000));
        for _ in 0..4 {
            serials.push(simulation.submit(&job).expect("fits"));
        }
        simulation.advance(ms(1_000));
        assert_eq!(count_complete(&simulation, &serials, ms(5_000)), 8);
    }
}

/// When all slots have just become unreachable, submissions are refused for lack of slots only after the grace.
#[test]
fn submissions_are_accepted_within_the_grace_without_slots() {
    let mut simulation = Simulation::new(strict());
    simulation.set_limit("school", 40);
    let number = simulation.add_dispatcher(8, HOME);
    warm_up(&mut simulation, "school");
    simulation.dispatchers[number].slots = 0;
    simulation.report_slots();
    simulation
        .submit(&Job::default())
        .expect("within the grace");
    simulation.advance(ms(3_500));
    let refusal = simulation.submit(&Job::default()).expect_err("over");
    assert_eq!(refusal.reason, RefusalReason::NoCapacity);
    assert!(refusal.retry_after.is_some());
}

/// Ended and cancelled work is subtracted from the load, so an idle system accepts a full burst again and again.
#[test]
fn ended_work_is_not_counted() {
    let mut simulation = Simulation::new(strict());
    simulation.set_limit("school", 40);
    simulation.add_dispatcher(8, HOME);
    warm_up(&mut simulation, "school");
    let job = Job {
        tasks: 8,
        deadline: ms(2_000),
        ..Job::default()
    };
    for round in 0..20 {
        let mut cancelled = 0;
        for _ in 0..6 {
            cancelled = simulation
                .submit(&job)
                .unwrap_or_else(|refusal| panic!("round {round}: {refusal}"));
        }
        simulation.advance(ms(100));
        simulation.authority.cancel(simulation.now, cancelled);
        simulation.advance(ms(2_500));
    }
}

/// Short work is accepted beside long tasks that have slots of their own, because only tasks that have not started
/// delay it.
#[test]
fn running_tasks_do_not_add_to_the_predicted_wait() {
    let mut simulation = Simulation::new(strict());
    simulation.set_limit("school", 400);
    simulation.add_dispatcher(16, HOME);
    simulation.run_times.insert("report", ms(3_000));
    warm_up(&mut simulation, "school");
    let long = Job {
        kind: "report",
        tasks: 8,
        deadline: ms(9_000),
        ..Job::default()
    };
    simulation.submit(&long).expect("fits");
    simulation.advance(ms(4_000));
    simulation.submit(&long).expect("fits");
    let short = Job {
        tasks: 8,
        deadline: ms(2_000),
        ..Job::default()
    };
    simulation
        .submit(&short)
        .expect("half of the slots are free");
}

/// A burst of short jobs completes, though it is five times the slots. Then jobs whose tasks occupy all slots for
/// seconds arrive again and again; what exceeds such a lasting overload is refused, as the contract allows.
#[test]
fn a_burst_is_not_overload_but_a_lasting_excess_is() {
    let mut simulation = Simulation::new(Contract::default());
    simulation.set_limit("school", 400);
    simulation.add_dispatcher(4, HOME);
    let short = Job {
        tasks: 4,
        deadline: ms(8_000),
        ..Job::default()
    };
    let mut serials = Vec::new();
    for _ in 0..5 {
        serials.push(simulation.submit(&short).expect("a burst"));
        simulation.advance(ms(5));
        simulation.authority.tick(simulation.now);
    }
    simulation.advance(ms(8_000));
    assert_eq!(count_complete(&simulation, &serials, ms(8_000)), 5);
    let mut refused = 0;
    for _ in 0..600 {
        match simulation.submit(&short) {
            Ok(_) => {}
            Err(refusal) => {
                refused += usize::from(refusal.reason == RefusalReason::Overloaded);
                assert!(refusal.retry_after.is_some());
            }
        }
        simulation.advance(ms(20));
        simulation.authority.tick(simulation.now);
    }
    assert!(refused >= 100, "{refused}");
}
