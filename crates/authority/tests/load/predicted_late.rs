//! Work that waits and can no longer be in time is answered at once.

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

/// When the submission was refused as late, after its arrival.
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
    /// How long the three tasks run that hold all of the customer's concurrency.
    blocking_run_time: Duration,
    /// When the waiting submission is refused; `None` when it is complete.
    refused: Option<(Duration, Duration)>,
}

/// What the caller sees: a refusal with when to come back, two seconds before the deadline and not at it. What happens:
/// tasks of the kind took 2 s until now; three of them hold the customer's concurrency for longer than ever, and one
/// more, due in 5 s, waits behind them.
#[test]
fn what_waits_too_long_is_refused_when_it_cannot_be_in_time_any_more() {
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
        let warm = Job {
            tasks: 3,
            deadline: ms(9_000),
            ..Job::default()
        };
        simulation.submit(&warm).expect("admitted");
        simulation.advance(ms(3_000));
        simulation.start = simulation.now;
        simulation.run_times.insert("hold", case.blocking_run_time);
        simulation.submit(&warm).expect("admitted");
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

/// What the caller sees: a refusal when the slots get free, and not a start that ends too late. What happens: nothing is
/// known of a new kind; its first three tasks take 3 s, and what waited behind them is due 2 s later. The first two ends
/// are too few to go by and let two more start; from the third on nothing does.
#[test]
fn a_free_slot_does_not_go_to_what_would_end_too_late() {
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
