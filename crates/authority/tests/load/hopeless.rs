//! Work that waits and can no longer be in time is answered at once.

use std::time::Duration;

use model::{Contract, RefusableWork, RefusalReason, SubmissionOutcome};

use crate::world::{ms, Job, World, HOME};

fn world() -> World {
    let mut world = World::new(Contract {
        may_refuse: RefusableWork::Nothing,
        ..Contract::default()
    });
    world.allow("school", 3);
    world.add_dispatcher(8, HOME);
    world
}

/// When the submission was refused as late, after its arrival.
fn refused_after(world: &World, serial: u64) -> Option<Duration> {
    let (at, outcome) = &world.answers[&serial];
    let SubmissionOutcome::Refused {
        reason: RefusalReason::PredictedLate,
        retry_after: Some(retry_after),
    } = outcome
    else {
        return None;
    };
    assert!(*retry_after >= ms(1_000) && *retry_after <= ms(1_500));
    Some(at.saturating_duration_since(world.start))
}

struct HopelessCase {
    name: &'static str,
    /// How long the three tasks run that hold all of the customer's concurrency.
    ahead: Duration,
    /// When the waiting submission is refused; `None` when it is complete.
    refused: Option<(Duration, Duration)>,
}

/// What the caller sees: a refusal with when to come back, two seconds before the deadline and not at it. What happens:
/// tasks of the kind took 2 s until now; three of them hold the customer's concurrency for longer than ever, and one
/// more, due in 5 s, waits behind them.
#[test]
fn what_waits_too_long_is_refused_when_it_cannot_be_in_time_any_more() {
    let cases = [
        HopelessCase {
            name: "in time after the usual wait",
            ahead: ms(2_000),
            refused: None,
        },
        HopelessCase {
            name: "just in time",
            ahead: ms(2_900),
            refused: None,
        },
        HopelessCase {
            name: "too late",
            ahead: ms(8_000),
            refused: Some((ms(3_000), ms(3_010))),
        },
    ];
    for case in cases {
        let mut world = world();
        world.run_times.insert("hold", ms(2_000));
        let warm = Job {
            tasks: 3,
            deadline: ms(9_000),
            ..Job::default()
        };
        world.submit(&warm).expect("admitted");
        world.pass(ms(3_000));
        world.start = world.now;
        world.run_times.insert("hold", case.ahead);
        world.submit(&warm).expect("admitted");
        world.run_times.insert("hold", ms(2_000));
        let serial = world.submit(&Job::default()).expect("admitted");
        world.pass(ms(9_000));
        let refused = refused_after(&world, serial);
        match case.refused {
            Some((from, to)) => {
                let after = refused.expect(case.name);
                assert!(from <= after && after <= to, "{}: {after:?}", case.name);
            }
            None => {
                let (_, outcome) = &world.answers[&serial];
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
    let mut world = world();
    world.run_times.insert("report", ms(3_000));
    let job = Job {
        kind: "report",
        ..Job::default()
    };
    let mut serials = Vec::new();
    for _ in 0..7 {
        serials.push(world.submit(&job).expect("admitted"));
    }
    world.pass(ms(9_000));
    for serial in &serials[..3] {
        let (_, outcome) = &world.answers[serial];
        assert!(
            matches!(outcome, SubmissionOutcome::Complete(_)),
            "{outcome:?}"
        );
    }
    for serial in &serials[5..] {
        assert_eq!(refused_after(&world, *serial), Some(ms(3_000)));
    }
    assert_eq!(world.offers(), 5);
}
