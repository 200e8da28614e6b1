//! Waiting work that can no longer be in time is refused at once.

use std::time::Duration;

use model::{Contract, RefusableWork, RefusalReason, SubmissionOutcome};

use crate::simulation::{ms, Job, Simulation, HOME};

fn simulation() -> Simulation {
    let mut simulation = Simulation::new(Contract {
        may_refuse: RefusableWork::Nothing,
        ..Contract::default()
    });
    simulation.set_limit("school", 3);
    simulation.add_dispatcher(8, HOME);
    simulation
}

/// Time from the start until the submission was refused as predicted late; `None` for any other answer.
fn refused_after(simulation: &Simulation, serial: u64) -> Option<Duration> {
    let (at, outcome) = &simulation.answers[&serial];
    let SubmissionOutcome::Refused {
        reason: RefusalReason::PredictedLate,
        retry_after: Some(retry_after),
    } = outcome
    else {
        return None;
    };
    assert!(*retry_after >= ms(1_000) && *retry_after <= ms(1_500));
    Some(at.saturating_duration_since(simulation.start))
}

struct PredictedLateCase {
    name: &'static str,
    /// Run time of the three tasks that use all of the customer's concurrency.
    blocking_run_time: Duration,
    /// Bounds of the time at which the waiting submission is refused; `None` when it completes.
    refused: Option<(Duration, Duration)>,
}

/// Tasks of the kind took 2 s until now. Three of them use the customer's concurrency for longer than ever, and one
/// more, due in 5 s, waits behind them. It is refused with a retry-after two seconds before its deadline and not at it.
#[test]
fn a_waiting_task_is_refused_once_it_cannot_be_in_time() {
    let cases = [
        PredictedLateCase {
            name: "in time after the usual wait",
            blocking_run_time: ms(2_000),
            refused: None,
        },
        PredictedLateCase {
            name: "just in time",
            blocking_run_time: ms(2_900),
            refused: None,
        },
        PredictedLateCase {
            name: "too late",
            blocking_run_time: ms(8_000),
            refused: Some((ms(3_000), ms(3_010))),
        },
    ];
    for case in cases {
        let mut simulation = simulation();
        simulation.run_times.insert("hold", ms(2_000));
        let three_tasks = Job {
            tasks: 3,
            deadline: ms(9_000),
            ..Job::default()
        };
        simulation.submit(&three_tasks).expect("admitted");
        simulation.advance(ms(3_000));
        simulation.start = simulation.now;
        simulation.run_times.insert("hold", case.blocking_run_time);
        simulation.submit(&three_tasks).expect("admitted");
        simulation.run_times.insert("hold", ms(2_000));
        let serial = simulation.submit(&Job::default()).expect("admitted");
        simulation.advance(ms(9_000));
        let refused = refused_after(&simulation, serial);
        match case.refused {
            Some((from, to)) => {
                let after = refused.expect(case.name);
                assert!(from <= after && after <= to, "{}: {after:?}", case.name);
            }
            None => {
                let (_, outcome) = &simulation.answers[&serial];
                let complete = matches!(outcome, SubmissionOutcome::Complete(_));
                assert!(complete, "{}: {outcome:?}", case.name);
            }
        }
    }
}

/// The run time of a new kind is unknown. Its first three tasks take 3 s, and the tasks that wait behind them are due
/// two seconds later. The first two ends are too few for an estimate and let two more tasks start; from the third end
/// on, waiting tasks are refused when a slot gets free, instead of starting and ending too late.
#[test]
fn a_free_slot_does_not_go_to_a_task_that_would_end_too_late() {
    let mut simulation = simulation();
    simulation.run_times.insert("report", ms(3_000));
    let job = Job {
        kind: "report",
        ..Job::default()
    };
    let mut serials = Vec::new();
    for _ in 0..7 {
        serials.push(simulation.submit(&job).expect("admitted"));
    }
    simulation.advance(ms(9_000));
    for serial in &serials[..3] {
        let (_, outcome) = &simulation.answers[serial];
        assert!(
            matches!(outcome, SubmissionOutcome::Complete(_)),
            "{outcome:?}"
        );
    }
    for serial in &serials[5..] {
        assert_eq!(refused_after(&simulation, *serial), Some(ms(3_000)));
    }
    assert_eq!(simulation.offer_count(), 5);
}
