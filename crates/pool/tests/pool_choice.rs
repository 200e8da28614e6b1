//! The order in which an entry asks pools, and the division of a step among them.

use std::time::Duration;

use fastrand::Rng;
use jobs::StepSpec;
use pool::{divide_step, order_pools, PoolCandidate, PoolLoad};

fn candidate(same_data_centre: bool, free: u64, sent_cpu: u64, backlog_ms: u64) -> PoolCandidate {
    let backlog = Duration::from_millis(backlog_ms);
    PoolCandidate {
        same_data_centre,
        same_process: false,
        load: PoolLoad {
            capacity: 400_000,
            free,
            backlog,
        },
        sent_cpu,
    }
}

fn first_choices(candidates: &[PoolCandidate]) -> Vec<usize> {
    let mut rng = Rng::with_seed(1);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        counts[order_pools(candidates, 0, &mut rng)[0]] += 1;
    }
    counts
}

/// Many entries learn at the same moment that one pool has the most free capacity. They must not all send to it until
/// the next report.
#[test]
fn entries_with_the_same_reports_do_not_all_choose_the_same_pool() {
    let counts = first_choices(&[
        candidate(true, 90_000, 0, 0),
        candidate(true, 80_000, 0, 0),
        candidate(true, 70_000, 0, 0),
        candidate(true, 0, 0, 100),
    ]);
    assert!(counts[0] < 600 && counts[1] > 200, "{counts:?}");
    assert_eq!(counts[3], 0, "the worst pool is never the better of two");
}

#[test]
fn demand_sent_since_the_last_report_counts_as_taken() {
    let counts = first_choices(&[
        candidate(true, 90_000, 60_000, 0),
        candidate(true, 50_000, 0, 0),
    ]);
    assert_eq!(counts, [0, 1_000]);
}

#[test]
fn other_data_centres_come_last() {
    let candidates = [
        candidate(false, 300_000, 0, 0),
        candidate(true, 0, 0, 50),
        candidate(false, 100_000, 0, 0),
    ];
    assert_eq!(
        order_pools(&candidates, 0, &mut Rng::with_seed(1)),
        [1, 0, 2]
    );
}

/// Each task is in exactly one part, and a step is divided only if the pools together can take all of its tasks.
#[test]
fn a_step_is_divided_only_whole() {
    let step = StepSpec {
        count: 7,
        ..StepSpec::default()
    };
    let counts = |fits: &[u32]| {
        let parts = divide_step(&step, fits)?;
        let parts = parts
            .into_iter()
            .map(|part| part.map(|part| (part.first, part.count)));
        Some(parts.collect::<Vec<_>>())
    };
    assert_eq!(counts(&[3, 0, 2]), None);
    assert_eq!(
        counts(&[3, 0, 9]),
        Some(vec![Some((0, 3)), None, Some((3, 4))])
    );
    assert_eq!(counts(&[7, 5]), Some(vec![Some((0, 7)), None]));
    assert_eq!(counts(&[]), None);
}

/// A customer's job arrives at a process that owns a pool itself. If that pool has free capacity for the job, asking
/// another owner would only send the job's bytes over two links. If it has not, the job would wait there while other
/// pools have free capacity.
#[test]
fn an_own_pool_is_asked_first_if_it_has_the_capacity() {
    let own = PoolCandidate {
        same_process: true,
        ..candidate(true, 20_000, 0, 0)
    };
    let others = [
        candidate(true, 90_000, 0, 0),
        candidate(true, 80_000, 0, 0),
        own,
    ];
    for seed in 0..50 {
        let mut rng = Rng::with_seed(seed);
        assert_eq!(order_pools(&others, 13_600, &mut rng)[0], 2);
        assert_ne!(order_pools(&others, 27_200, &mut rng)[0], 2);
    }
}
