//! Where tasks go.

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
    /// Offers at each.
    offers: &'static [std::ops::RangeInclusive<usize>],
}

/// What the caller sees: its tasks start at once while any dispatcher has free slots, at home first. Another data centre
/// gets what would wait here for longer than the way there and back, as far as its spare slots go.
#[test]
fn a_job_goes_to_free_slots_at_home_first() {
    let cases = [
        PlacementCase {
            name: "unequal room",
            dispatchers: &[(4, HOME), (12, HOME)],
            tasks: 16,
            offers: &[4..=4, 12..=12],
        },
        PlacementCase {
            name: "home has room",
            dispatchers: &[(8, HOME), (100, REMOTE)],
            tasks: 8,
            offers: &[8..=8, 0..=0],
        },
        PlacementCase {
            name: "the rest goes away, but leaves a fifth there",
            dispatchers: &[(8, HOME), (10, REMOTE)],
            tasks: 30,
            offers: &[22..=22, 8..=8],
        },
        PlacementCase {
            name: "no home",
            dispatchers: &[(10, REMOTE)],
            tasks: 12,
            offers: &[12..=12],
        },
        PlacementCase {
            name: "no slots at one",
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

/// What the caller sees: its task runs at the second try. What happens: the dispatcher with most free slots turns it
/// away; it looks as free as before and would draw the task again.
#[test]
fn the_one_that_refused_is_passed_over() {
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

/// What the caller sees: a late start and not a refusal, while nobody can be chosen. What happens: the only dispatcher
/// stops; tasks wait; another one comes, or its slots do.
#[test]
fn tasks_wait_while_there_is_no_choice() {
    for comes_with in [8, 0] {
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
        let second = simulation.add_dispatcher(comes_with, HOME);
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

/// What the caller sees: its job goes on at the others. What happens: a dispatcher freezes; it takes offers and says
/// nothing. Its slots look free until its session is given up, and would draw one burst after another.
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

/// What the caller sees: tasks that wait start when the dispatcher speaks again. What happens: the only dispatcher is
/// silent, so nobody can be chosen; then its next word comes, with the slots that it had before.
#[test]
fn tasks_that_wait_for_a_silent_dispatcher_go_on_its_next_word() {
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

/// What the caller sees: its tasks do not queue behind others that are on their way. What happens: a dispatcher's hint
/// crosses with offers, which it cannot have counted, and makes it look empty.
#[test]
fn offers_on_their_way_count_on_top_of_a_hint() {
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

/// What the caller sees: tasks stay at home while there is room. What happens: the answer to an offer brings a hint that
/// counts its tasks; counted as unanswered too, they would fill twice the slots.
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
