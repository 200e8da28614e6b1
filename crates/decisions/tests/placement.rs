//! Placement: which dispatchers a sequence of tasks goes to.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use decisions::{
    DispatcherKey, PlacementQuery, PlacementRule, PlacementSettings, PlacementTable, SlotsHint,
};
use model::DataCentreId;

/// One step of a test. Dispatchers 1 to 9 are local, 11 to 19 are in `b`, and 21 to 29 are in `c`; the round trip to
/// `b` and to `c` takes 2 ms.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A hint of a dispatcher: its key, limit, running tasks, queued tasks and unanswered offers.
    Hint(u64, u32, u32, u32, u32),
    /// Makes a data centre unreachable, or reachable again with `false`.
    Cut(&'static str, bool),
    /// Removes a dispatcher.
    Gone(u64),
    /// Sets the time, in milliseconds since the start.
    At(u64),
    /// The number of choices, the mean run time in milliseconds, and how many tasks go to which dispatcher.
    Choose(u32, u64, &'static [(u64, u32)]),
}

use Step::{At, Choose, Cut, Gone, Hint};

fn centre(key: u64) -> DataCentreId {
    ["a", "b", "c"][key as usize / 10].parse().unwrap()
}

fn table(settings: PlacementSettings, seed: u64) -> PlacementTable {
    let rng = fastrand::Rng::with_seed(seed);
    let mut table = PlacementTable::new(settings, centre(0), rng);
    for remote in [11, 21] {
        table.set_data_centre(&centre(remote), Duration::from_millis(2));
    }
    table
}

fn choose(table: &mut PlacementTable, now: Instant, mean_ms: u64) -> Option<DispatcherKey> {
    let mean_run_time = Duration::from_millis(mean_ms);
    table.choose(now, PlacementQuery { mean_run_time })
}

/// Runs the steps with several seeds. In the expected choices, key 0 means that no dispatcher was chosen.
fn check(steps: &[Step]) {
    for seed in 0..20 {
        let start = Instant::now();
        let mut now = start;
        let mut table = table(PlacementSettings::default(), seed);
        for (n, step) in steps.iter().enumerate() {
            match *step {
                Hint(key, limit, running, queued, unanswered) => {
                    table.add_dispatcher(DispatcherKey(key), &centre(key));
                    let hint = SlotsHint {
                        limit,
                        running,
                        queued,
                    };
                    table.on_hint(now, DispatcherKey(key), hint, unanswered);
                }
                Cut(name, cut) => table.set_reachable(&name.parse().unwrap(), !cut),
                Gone(key) => table.remove_dispatcher(DispatcherKey(key)),
                At(ms) => now = start + Duration::from_millis(ms),
                Choose(times, mean_ms, expect) => {
                    let mut chosen = BTreeMap::new();
                    for _ in 0..times {
                        let key = choose(&mut table, now, mean_ms).map_or(0, |key| key.0);
                        *chosen.entry(key).or_default() += 1;
                    }
                    let chosen: Vec<(u64, u32)> = chosen.into_iter().collect();
                    assert_eq!(chosen, expect, "step {n} seed {seed}");
                }
            }
        }
    }
}

#[test]
fn free_slots_are_filled_before_anything_queues() {
    check(&[
        Hint(1, 8, 8, 4, 0),
        Hint(2, 8, 3, 0, 0),
        Hint(3, 8, 0, 0, 0),
        Choose(13, 200, &[(2, 5), (3, 8)]),
    ]);
}

#[test]
fn unanswered_offers_count_as_load() {
    check(&[
        Hint(1, 8, 0, 0, 0),
        Choose(8, 200, &[(1, 8)]),
        Hint(2, 8, 7, 0, 0),
        // The hint was sent before five of the eight tasks arrived there.
        Hint(1, 8, 3, 0, 5),
        Choose(1, 200, &[(2, 1)]),
        Hint(1, 8, 7, 0, 0),
        Choose(1, 200, &[(1, 1)]),
    ]);
}

/// Sends 100 tasks to five dispatchers that each have `running` of `limit` slots in use; none may get more than `most`.
fn check_even(draws: u32, limit: u32, running: u32, most: u32) {
    let settings = PlacementSettings {
        draws,
        ..PlacementSettings::default()
    };
    let mut table = table(settings, 3);
    let now = Instant::now();
    let mut chosen = BTreeMap::new();
    for key in 1..=5 {
        table.add_dispatcher(DispatcherKey(key), &centre(key));
        let hint = SlotsHint {
            limit,
            running,
            queued: 0,
        };
        table.on_hint(now, DispatcherKey(key), hint, 0);
    }
    for _ in 0..100 {
        let key = choose(&mut table, now, 200).unwrap();
        *chosen.entry(key).or_insert(0) += 1;
    }
    assert!(chosen.values().all(|n| *n <= most), "{draws} {chosen:?}");
}

#[test]
fn equal_dispatchers_get_equal_load() {
    check_even(2, 100, 0, 25);
    check_even(8, 100, 0, 21);
    check_even(2, 8, 8, 25);
    check_even(8, 8, 8, 21);
}

#[test]
fn dispatchers_without_a_hint_or_removed_are_not_chosen() {
    check(&[
        Choose(1, 200, &[(0, 1)]),
        Hint(1, 8, 0, 0, 0),
        Hint(2, 8, 0, 0, 0),
        Hint(3, 8, 0, 0, 0),
        Gone(1),
        Choose(16, 200, &[(2, 8), (3, 8)]),
        Gone(2),
        Choose(9, 200, &[(3, 9)]),
        Gone(3),
        Choose(1, 200, &[(0, 1)]),
    ]);
}

#[test]
fn a_dispatcher_that_does_not_answer_gets_no_more_tasks() {
    check(&[
        Hint(1, 80, 0, 0, 0),
        Choose(2, 200, &[(1, 2)]),
        Hint(2, 8, 8, 9, 0),
        At(249),
        Choose(1, 200, &[(1, 1)]),
        At(250),
        Choose(5, 200, &[(2, 5)]),
        Hint(1, 80, 3, 0, 0),
        Choose(1, 200, &[(1, 1)]),
    ]);
}

#[test]
fn a_shift_needs_a_gain_in_time_and_spare_slots() {
    let full = [
        Hint(1, 8, 8, 0, 0),
        Hint(11, 8, 0, 0, 0),
        Hint(21, 8, 4, 0, 0),
    ];
    let with = |steps: &[Step]| check(&[&full, steps].concat());
    // One of eight slots, a fifth rounded down, stays free. `b` has seven spare slots and `c` has three.
    with(&[
        Choose(4, 200, &[(11, 4)]),
        Choose(6, 200, &[(11, 3), (21, 3)]),
    ]);
    with(&[
        Choose(10, 200, &[(11, 7), (21, 3)]),
        Choose(5, 200, &[(1, 5)]),
    ]);
    with(&[Choose(1, 200, &[(11, 1)])]);
    // Waiting for one of eight slots with tasks of 32 ms takes 4 ms, as long as two round trips.
    with(&[Choose(1, 32, &[(1, 1)]), Choose(1, 32, &[(11, 1)])]);
    with(&[Cut("b", true), Choose(1, 200, &[(21, 1)])]);
    with(&[Cut("b", true), Cut("c", true), Choose(9, 200, &[(1, 9)])]);
    with(&[Cut("b", true), Cut("b", false), Choose(1, 200, &[(11, 1)])]);
    with(&[At(2000), Choose(1, 200, &[(11, 1)])]);
    with(&[At(2001), Choose(1, 200, &[(1, 1)])]);
    with(&[Hint(1, 8, 7, 0, 0), Choose(1, 200, &[(1, 1)])]);
}

#[test]
fn without_local_slots_tasks_queue_at_a_reachable_data_centre() {
    check(&[
        Hint(11, 8, 8, 9, 0),
        Hint(21, 8, 8, 0, 0),
        Choose(1, 200, &[(21, 1)]),
    ]);
    check(&[
        Hint(11, 8, 0, 0, 0),
        Cut("b", true),
        Choose(1, 200, &[(0, 1)]),
    ]);
}

#[test]
fn slots_and_saturation_are_of_the_data_centre_that_queues() {
    let now = Instant::now();
    let mut table = table(PlacementSettings::default(), 1);
    let mut check = |key, running, queued, slots, saturation| {
        let hint = SlotsHint {
            limit: 8,
            running,
            queued,
        };
        table.add_dispatcher(DispatcherKey(key), &centre(key));
        table.on_hint(now, DispatcherKey(key), hint, 0);
        assert_eq!(table.slots(now), slots);
        assert_eq!(table.saturation(now).0, saturation);
    };
    check(11, 8, 8, 8, 2.0);
    check(21, 6, 0, 8, 0.75);
    check(1, 8, 4, 8, 1.5);
    check(2, 6, 0, 16, 18.0 / 16.0);
    for key in [1, 2, 11, 21] {
        table.remove_dispatcher(DispatcherKey(key));
    }
    assert_eq!(table.slots(now), 0);
    assert!(table.saturation(now).0.is_infinite());
}

#[test]
fn baseline_rules_stay_local() {
    for (rule, most) in [
        (PlacementRule::RandomOwner, 400),
        (PlacementRule::TwoChoices, 255),
    ] {
        let settings = PlacementSettings {
            rule,
            ..PlacementSettings::default()
        };
        let mut table = table(settings, 5);
        let now = Instant::now();
        for key in [1, 2, 3, 4, 11] {
            table.add_dispatcher(DispatcherKey(key), &centre(key));
        }
        let mut chosen = BTreeMap::new();
        for _ in 0..1000 {
            *chosen
                .entry(choose(&mut table, now, 200).unwrap().0)
                .or_insert(0) += 1;
        }
        assert_eq!(
            chosen.keys().copied().collect::<Vec<_>>(),
            [1, 2, 3, 4],
            "{rule:?}"
        );
        assert!(chosen.values().all(|n| *n <= most), "{rule:?} {chosen:?}");
        // Ended tasks reduce the outstanding ones, so the dispatcher whose tasks ended is chosen next.
        if rule == PlacementRule::TwoChoices {
            (0..200).for_each(|_| table.on_end(DispatcherKey(3)));
            let threes = (0..100)
                .filter(|_| choose(&mut table, now, 200).unwrap().0 == 3)
                .count();
            assert!(threes > 30, "{threes}");
        }
    }
}

/// Dispatcher 1 has most of the free slots; there is no other one, or only dispatcher 2.
#[test]
fn an_avoided_dispatcher_is_chosen_only_without_another() {
    let query = PlacementQuery {
        mean_run_time: Duration::from_millis(200),
    };
    let avoided = DispatcherKey(1);
    let full = SlotsHint {
        limit: 1,
        running: 1,
        queued: 5,
    };
    let empty = SlotsHint {
        limit: 100,
        ..SlotsHint::default()
    };
    for seed in 0..20 {
        let now = Instant::now();
        let mut table = table(PlacementSettings::default(), seed);
        table.add_dispatcher(avoided, &centre(1));
        table.on_hint(now, avoided, empty, 0);
        assert_eq!(table.choose_avoiding(now, query, avoided), Some(avoided));
        let other = DispatcherKey(2);
        table.add_dispatcher(other, &centre(2));
        table.on_hint(now, other, full, 0);
        assert_eq!(table.choose_avoiding(now, query, avoided), Some(other));
        assert_eq!(table.choose(now, query), Some(avoided));
    }
}

/// A hint that arrived together with the answers already counts the tasks.
#[test]
fn answered_offers_do_not_count_twice() {
    let now = Instant::now();
    let mut table = table(PlacementSettings::default(), 1);
    let key = DispatcherKey(1);
    table.add_dispatcher(key, &centre(1));
    let hint = SlotsHint {
        limit: 8,
        running: 4,
        queued: 0,
    };
    table.on_hint(now, key, hint, 4);
    assert_eq!(table.saturation(now), decisions::Saturation(1.0));
    for _ in 0..4 {
        table.on_answer(key);
    }
    assert_eq!(table.saturation(now), decisions::Saturation(0.5));
}
