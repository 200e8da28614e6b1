//! Choice of the dispatcher for a task.

use authority::DispatcherKey;
use model::{Contract, RefusableWork, RetryReason, SubmissionOutcome};

use crate::simulation::{ms, Job, Simulation, HOME};

const REMOTE: &str = "far-hall";

fn simulation() -> Simulation {
    let mut simulation = Simulation::new(Contract {
        may_refuse: RefusableWork::Nothing,
        ..Contract::default()
    });
    simulation.set_limit("school", 400);
    simulation
}

fn offer_counts(simulation: &Simulation) -> Vec<usize> {
    simulation
        .dispatchers
        .iter()
        .map(|dispatcher| dispatcher.offers.len())
        .collect()
}

struct PlacementCase {
    name: &'static str,
    /// Slots and data centre of each dispatcher.
    dispatchers: &'static [(usize, &'static str)],
    tasks: usize,
    /// Number of offers at each dispatcher.
    offers: &'static [std::ops::RangeInclusive<usize>],
}

/// Tasks start at once while any dispatcher has free slots, in the home data centre first. Another data centre gets the
/// tasks that would wait at home for longer than the round trip, as far as its spare slots go.
#[test]
fn a_job_goes_to_free_slots_at_home_first() {
    let cases = [
        PlacementCase {
            name: "unequal numbers of slots",
            dispatchers: &[(4, HOME), (12, HOME)],
            tasks: 16,
            offers: &[4..=4, 12..=12],
        },
        PlacementCase {
            name: "free slots at home",
            dispatchers: &[(8, HOME), (100, REMOTE)],
            tasks: 8,
            offers: &[8..=8, 0..=0],
        },
        PlacementCase {
            name: "the rest goes to the other data centre, but leaves a fifth free there",
            dispatchers: &[(8, HOME), (10, REMOTE)],
            tasks: 30,
            offers: &[22..=22, 8..=8],
        },
        PlacementCase {
            name: "no dispatcher at home",
            dispatchers: &[(10, REMOTE)],
            tasks: 12,
            offers: &[12..=12],
        },
        PlacementCase {
            name: "one dispatcher without slots",
            dispatchers: &[(0, HOME), (4, HOME)],
            tasks: 8,
            offers: &[0..=0, 8..=8],
        },
    ];
    for case in cases {
        let mut simulation = simulation();
        for (slots, data_centre) in case.dispatchers {
            simulation.add_dispatcher(*slots, data_centre);
        }
        let job = Job {
            tasks: case.tasks,
            ..Job::default()
        };
        let serial = simulation.submit(&job).expect(case.name);
        let offers = offer_counts(&simulation);
        for (offers, expected) in offers.iter().zip(case.offers) {
            assert!(expected.contains(offers), "{}: {offers}", case.name);
        }
        simulation.advance(ms(3_000));
        let (_, outcome) = &simulation.answers[&serial];
        assert!(
            matches!(outcome, SubmissionOutcome::Complete(_)),
            "{}: {outcome:?}",
            case.name
        );
    }
}

/// The dispatcher with the most free slots refuses a task. It looks as free as before and would be chosen again; the
/// second attempt has to go to the other dispatcher.
#[test]
fn a_dispatcher_that_refused_a_task_is_avoided() {
    let mut simulation = simulation();
    let large = simulation.add_dispatcher(1_000, HOME);
    simulation.add_dispatcher(1, HOME);
    simulation.dispatchers[large].refusal = Some(RetryReason::EndpointBusy);
    for _ in 0..10 {
        let serial = simulation.submit(&Job::default()).expect("admitted");
        simulation.advance(ms(300));
        let (_, outcome) = &simulation.answers[&serial];
        assert!(
            matches!(outcome, SubmissionOutcome::Complete(_)),
            "{outcome:?}"
        );
    }
    assert!(
        simulation.offer_count() <= 20,
        "{}",
        simulation.offer_count()
    );
}

/// While no dispatcher can be chosen, tasks wait and are not refused. The only dispatcher stops; the tasks start when
/// another one opens a session with slots or reports slots later.
#[test]
fn tasks_wait_while_no_dispatcher_can_be_chosen() {
    for initial_slots in [8, 0] {
        let mut simulation = simulation();
        let first = simulation.add_dispatcher(8, HOME);
        simulation.authority.tick(simulation.now);
        let key: DispatcherKey = simulation.dispatchers[first].key;
        simulation.authority.on_dispatcher_stopping(key);
        let job = Job {
            tasks: 8,
            ..Job::default()
        };
        let serial = simulation.submit(&job).expect("within the grace");
        simulation.advance(ms(500));
        assert_eq!(
            simulation.offer_count(),
            0,
            "a stopping dispatcher gets nothing"
        );
        let second = simulation.add_dispatcher(initial_slots, HOME);
        simulation.dispatchers[second].slots = 8;
        simulation.report_slots();
        assert_eq!(offer_counts(&simulation), [0, 8]);
        simulation.advance(ms(1_000));
        let (_, outcome) = &simulation.answers[&serial];
        assert!(
            matches!(outcome, SubmissionOutcome::Complete(_)),
            "{outcome:?}"
        );
    }
}

/// A dispatcher freezes: it accepts offers and does not reply. Its slots look free until its session is given up, and
/// would attract one burst after another. The job has to continue at the other dispatchers.
#[test]
fn a_silent_dispatcher_gets_no_second_burst() {
    let mut simulation = simulation();
    let frozen = simulation.add_dispatcher(100, HOME);
    simulation.add_dispatcher(8, HOME);
    simulation.dispatchers[frozen].frozen = true;
    let job = Job {
        tasks: 8,
        ..Job::default()
    };
    simulation.submit(&job).expect("admitted");
    let before = simulation.dispatchers[frozen].offers.len();
    assert!(before > 0);
    simulation.advance(ms(300));
    let serial = simulation.submit(&job).expect("admitted");
    assert_eq!(simulation.dispatchers[frozen].offers.len(), before);
    simulation.advance(ms(1_000));
    let (_, outcome) = &simulation.answers[&serial];
    assert!(
        matches!(outcome, SubmissionOutcome::Complete(_)),
        "{outcome:?}"
    );
}

/// The only dispatcher is silent, so no dispatcher can be chosen. The waiting tasks are placed on its next report,
/// although it has the same slots as before.
#[test]
fn tasks_that_wait_for_a_silent_dispatcher_are_placed_on_its_next_report() {
    let mut simulation = simulation();
    simulation.add_dispatcher(20, HOME);
    simulation.dispatchers[0].frozen = true;
    let job = Job {
        tasks: 8,
        ..Job::default()
    };
    simulation.submit(&job).expect("admitted");
    simulation.advance(ms(300));
    let serial = simulation.submit(&job).expect("admitted");
    assert_eq!(simulation.offer_count(), 8);
    simulation.dispatchers[0].frozen = false;
    simulation.report_slots();
    assert_eq!(simulation.offer_count(), 16);
    simulation.advance(ms(1_000));
    let (_, outcome) = &simulation.answers[&serial];
    assert!(
        matches!(outcome, SubmissionOutcome::Complete(_)),
        "{outcome:?}"
    );
}

/// The slot counts of a dispatcher cross with offers that it cannot have counted, and make it look empty. Further tasks
/// must not queue behind the offers in transit.
#[test]
fn offers_in_transit_count_on_top_of_reported_slots() {
    let mut simulation = simulation();
    simulation.add_dispatcher(8, HOME);
    simulation.add_dispatcher(8, HOME);
    simulation.dispatchers[0].frozen = true;
    let job = Job {
        tasks: 16,
        ..Job::default()
    };
    simulation.submit(&job).expect("admitted");
    assert_eq!(offer_counts(&simulation), [8, 8]);
    simulation.dispatchers[0].frozen = false;
    simulation.report_slots();
    let more = Job { tasks: 8, ..job };
    simulation.submit(&more).expect("admitted");
    let offers = offer_counts(&simulation);
    assert!(offers[0] < 15, "{offers:?}");
}

/// The reply to an offer comes with slot counts that include its tasks. Counted as unanswered too, they would fill
/// twice the slots, and tasks would leave the home data centre although it has free slots.
#[test]
fn answered_offers_count_once() {
    let mut simulation = simulation();
    simulation.add_dispatcher(8, HOME);
    simulation.add_dispatcher(100, REMOTE);
    for _ in 0..2 {
        let job = Job {
            tasks: 4,
            ..Job::default()
        };
        simulation.submit(&job).expect("admitted");
    }
    assert_eq!(offer_counts(&simulation), [8, 0]);
}
