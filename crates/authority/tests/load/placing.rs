//! Where tasks go.

use authority::DispatcherKey;
use model::{Contract, RefusableWork, RetryReason, SubmissionOutcome};

use crate::world::{ms, Job, World, HOME};

const AWAY: &str = "far-hall";

fn world() -> World {
    let mut world = World::new(Contract {
        may_refuse: RefusableWork::Nothing,
        ..Contract::default()
    });
    world.allow("school", 400);
    world
}

fn counts(world: &World) -> Vec<usize> {
    world
        .dispatchers
        .iter()
        .map(|dispatcher| dispatcher.offers.len())
        .collect()
}

struct PlacingCase {
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
        PlacingCase {
            name: "unequal room",
            dispatchers: &[(4, HOME), (12, HOME)],
            tasks: 16,
            offers: &[4..=4, 12..=12],
        },
        PlacingCase {
            name: "home has room",
            dispatchers: &[(8, HOME), (100, AWAY)],
            tasks: 8,
            offers: &[8..=8, 0..=0],
        },
        PlacingCase {
            name: "the rest goes away, but leaves a fifth there",
            dispatchers: &[(8, HOME), (10, AWAY)],
            tasks: 30,
            offers: &[22..=22, 8..=8],
        },
        PlacingCase {
            name: "no home",
            dispatchers: &[(10, AWAY)],
            tasks: 12,
            offers: &[12..=12],
        },
        PlacingCase {
            name: "no slots at one",
            dispatchers: &[(0, HOME), (4, HOME)],
            tasks: 8,
            offers: &[0..=0, 8..=8],
        },
    ];
    for case in cases {
        let mut world = world();
        for (slots, data_centre) in case.dispatchers {
            world.add_dispatcher(*slots, data_centre);
        }
        let job = Job {
            tasks: case.tasks,
            ..Job::default()
        };
        let serial = world.submit(&job).expect(case.name);
        let offers = counts(&world);
        for (offers, expected) in offers.iter().zip(case.offers) {
            assert!(expected.contains(offers), "{}: {offers}", case.name);
        }
        world.pass(ms(3_000));
        let (_, outcome) = &world.answers[&serial];
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
    let mut world = world();
    let large = world.add_dispatcher(1_000, HOME);
    world.add_dispatcher(1, HOME);
    world.dispatchers[large].refuses = Some(RetryReason::EndpointBusy);
    for _ in 0..10 {
        let serial = world.submit(&Job::default()).expect("admitted");
        world.pass(ms(300));
        let (_, outcome) = &world.answers[&serial];
        assert!(
            matches!(outcome, SubmissionOutcome::Complete(_)),
            "{outcome:?}"
        );
    }
    assert!(world.offers() <= 20, "{}", world.offers());
}

/// What the caller sees: a late start and not a refusal, while nobody can be chosen. What happens: the only dispatcher
/// stops; tasks wait; another one comes, or its slots do.
#[test]
fn tasks_wait_while_there_is_no_choice() {
    for comes_with in [8, 0] {
        let mut world = world();
        let first = world.add_dispatcher(8, HOME);
        world.authority.tick(world.now);
        let key: DispatcherKey = world.dispatchers[first].key;
        world.authority.on_dispatcher_stopping(key);
        let job = Job {
            tasks: 8,
            ..Job::default()
        };
        let serial = world.submit(&job).expect("within the grace");
        world.pass(ms(500));
        assert_eq!(world.offers(), 0, "a stopping dispatcher gets nothing");
        let second = world.add_dispatcher(comes_with, HOME);
        world.dispatchers[second].slots = 8;
        world.tell_slots();
        assert_eq!(counts(&world), [0, 8]);
        world.pass(ms(1_000));
        let (_, outcome) = &world.answers[&serial];
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
    let mut world = world();
    let frozen = world.add_dispatcher(100, HOME);
    world.add_dispatcher(8, HOME);
    world.dispatchers[frozen].frozen = true;
    let job = Job {
        tasks: 8,
        ..Job::default()
    };
    world.submit(&job).expect("admitted");
    let before = world.dispatchers[frozen].offers.len();
    assert!(before > 0);
    world.pass(ms(300));
    let serial = world.submit(&job).expect("admitted");
    assert_eq!(world.dispatchers[frozen].offers.len(), before);
    world.pass(ms(1_000));
    let (_, outcome) = &world.answers[&serial];
    assert!(
        matches!(outcome, SubmissionOutcome::Complete(_)),
        "{outcome:?}"
    );
}

/// What the caller sees: tasks that wait start when the dispatcher speaks again. What happens: the only dispatcher is
/// silent, so nobody can be chosen; then its next word comes, with the slots that it had before.
#[test]
fn tasks_that_wait_for_a_silent_dispatcher_go_on_its_next_word() {
    let mut world = world();
    world.add_dispatcher(20, HOME);
    world.dispatchers[0].frozen = true;
    let job = Job {
        tasks: 8,
        ..Job::default()
    };
    world.submit(&job).expect("admitted");
    world.pass(ms(300));
    let serial = world.submit(&job).expect("admitted");
    assert_eq!(world.offers(), 8);
    world.dispatchers[0].frozen = false;
    world.tell_slots();
    assert_eq!(world.offers(), 16);
    world.pass(ms(1_000));
    let (_, outcome) = &world.answers[&serial];
    assert!(
        matches!(outcome, SubmissionOutcome::Complete(_)),
        "{outcome:?}"
    );
}

/// What the caller sees: its tasks do not queue behind others that are on their way. What happens: a dispatcher's hint
/// crosses with offers, which it cannot have counted, and makes it look empty.
#[test]
fn offers_on_their_way_count_on_top_of_a_hint() {
    let mut world = world();
    world.add_dispatcher(8, HOME);
    world.add_dispatcher(8, HOME);
    world.dispatchers[0].frozen = true;
    let job = Job {
        tasks: 16,
        ..Job::default()
    };
    world.submit(&job).expect("admitted");
    assert_eq!(counts(&world), [8, 8]);
    world.dispatchers[0].frozen = false;
    world.tell_slots();
    let more = Job { tasks: 8, ..job };
    world.submit(&more).expect("admitted");
    let offers = counts(&world);
    assert!(offers[0] < 15, "{offers:?}");
}

/// What the caller sees: tasks stay at home while there is room. What happens: the answer to an offer brings a hint that
/// counts its tasks; counted as unanswered too, they would fill twice the slots.
#[test]
fn answered_offers_count_once() {
    let mut world = world();
    world.add_dispatcher(8, HOME);
    world.add_dispatcher(100, AWAY);
    for _ in 0..2 {
        let job = Job {
            tasks: 4,
            ..Job::default()
        };
        world.submit(&job).expect("admitted");
    }
    assert_eq!(counts(&world), [8, 0]);
}
