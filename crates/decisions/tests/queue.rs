//! The queue: order, limits and the invariants of every sequence of operations.

use std::time::{Duration, Instant};

use decisions::{FairQueue, PushError, QueueEntry, QueueSettings};
use model::{AttemptId, CustomerShare, FastSet, IncarnationId, SubmissionId};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest, Strategy};

/// One step on a queue: times in milliseconds, customers by letter, jobs and tasks by number.
#[derive(Clone, Copy, Debug)]
enum Step {
    Push(&'static str, u64, u32, u64, u64),
    Share(&'static str, u64, u32, u64, u64, u32),
    Pop,
    Charge(&'static str, u64, u64),
    Remove(u64, u32),
    Cancel(u64),
    Overdue(u64),
    Later(u64),
}

use Step::{Cancel, Charge, Later, Overdue, Pop, Push, Remove, Share};

fn submission(job: u64) -> SubmissionId {
    SubmissionId {
        incarnation: IncarnationId(1),
        serial: job,
    }
}

fn attempt(job: u64, task: u32) -> AttemptId {
    AttemptId {
        submission: submission(job),
        task,
        attempt: 0,
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn entry(start: Instant, customer: &str, job: u64, task: u32, run: u64, due: u64) -> QueueEntry {
    QueueEntry {
        attempt: attempt(job, task),
        customer: customer.parse().unwrap(),
        share: CustomerShare(1),
        expected: ms(run),
        due: start + ms(due),
    }
}

fn name(entry: &QueueEntry) -> String {
    let attempt = entry.attempt;
    format!(
        "{}{}.{}",
        entry.customer, attempt.submission.serial, attempt.task
    )
}

fn pushed(result: Result<(), PushError>) -> Vec<String> {
    match result {
        Ok(()) => vec![],
        Err(PushError::Full(_)) => vec!["full".into()],
        Err(PushError::Overdue(_)) => vec!["due".into()],
        Err(PushError::Duplicate(_)) => vec!["twice".into()],
    }
}

/// Runs the steps and compares what came out, one word an entry.
fn check(steps: &[Step], expect: &str) {
    let start = Instant::now();
    let mut queue = FairQueue::new(QueueSettings {
        max_entries: 12,
        ..QueueSettings::default()
    });
    let mut now = start;
    let mut out = Vec::new();
    for step in steps {
        let entries = match *step {
            Push(customer, job, task, run, due) => {
                let entry = entry(start, customer, job, task, run, due);
                out.extend(pushed(queue.push(now, entry)));
                vec![]
            }
            Share(customer, job, task, run, due, share) => {
                let entry = entry(start, customer, job, task, run, due);
                let share = CustomerShare(share);
                out.extend(pushed(queue.push(now, QueueEntry { share, ..entry })));
                vec![]
            }
            Pop => Vec::from_iter(queue.pop(now)),
            Charge(customer, ran, expected) => {
                queue.charge(&customer.parse().unwrap(), ms(ran), ms(expected));
                vec![]
            }
            Remove(job, task) => Vec::from_iter(queue.remove(&attempt(job, task))),
            Cancel(job) => queue.remove_submission(submission(job)),
            Overdue(at) => {
                now = start + ms(at);
                queue.drop_overdue(now)
            }
            Later(at) => {
                now = start + ms(at);
                vec![]
            }
        };
        out.extend(entries.iter().map(name));
    }
    assert_eq!(out.join(" "), expect, "{steps:?}");
}

#[test]
fn customers_take_turns_whatever_they_have_waiting() {
    let steps = [
        Push("a", 1, 0, 100, 9000),
        Push("a", 1, 1, 100, 9000),
        Push("a", 1, 2, 100, 9000),
        Push("b", 2, 0, 100, 9000),
        Pop,
        Pop,
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a1.0 b2.0 a1.1 a1.2");
}

#[test]
fn long_tasks_count_for_more() {
    let steps = [
        Push("a", 1, 0, 300, 9000),
        Push("a", 1, 1, 300, 9000),
        Push("b", 2, 0, 100, 9000),
        Push("b", 2, 1, 100, 9000),
        Push("b", 2, 2, 100, 9000),
        Push("b", 2, 3, 100, 9000),
        Pop,
        Pop,
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a1.0 b2.0 b2.1 b2.2 a1.1");
}

#[test]
fn twice_the_share_gets_twice_the_turns() {
    let steps = [
        Share("a", 1, 0, 100, 9000, 2),
        Share("a", 1, 1, 100, 9000, 2),
        Share("a", 1, 2, 100, 9000, 2),
        Share("a", 1, 3, 100, 9000, 2),
        Push("b", 2, 0, 100, 9000),
        Push("b", 2, 1, 100, 9000),
        Push("b", 2, 2, 100, 9000),
        Pop,
        Pop,
        Pop,
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a1.0 b2.0 a1.1 b2.1 a1.2 a1.3");
}

#[test]
fn within_a_customer_whole_jobs_go_by_deadline() {
    let steps = [
        Push("a", 1, 0, 100, 8000),
        Push("a", 2, 0, 100, 7000),
        Push("a", 1, 1, 100, 8000),
        Push("a", 2, 1, 100, 7001),
        Pop,
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a2.0 a2.1 a1.0 a1.1");
}

#[test]
fn an_earlier_deadline_moves_the_whole_job() {
    let steps = [
        Push("a", 1, 0, 100, 8000),
        Push("a", 2, 0, 100, 7000),
        Push("a", 1, 1, 100, 6000),
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a1.0 a1.1 a2.0");
}

#[test]
fn a_measured_long_run_is_billed() {
    let steps = [
        Push("a", 1, 0, 10, 9000),
        Push("a", 1, 1, 10, 9000),
        Push("b", 2, 0, 100, 9000),
        Push("b", 2, 1, 100, 9000),
        Push("b", 2, 2, 100, 9000),
        Pop,
        Charge("a", 250, 10),
        Pop,
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a1.0 b2.0 b2.1 b2.2 a1.1");
}

#[test]
fn a_measured_short_run_is_given_back() {
    let steps = [
        Push("a", 1, 0, 1000, 9000),
        Push("a", 1, 1, 1000, 9000),
        Push("b", 2, 0, 100, 9000),
        Push("b", 2, 1, 100, 9000),
        Push("b", 2, 2, 100, 9000),
        Pop,
        Charge("a", 50, 1000),
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a1.0 b2.0 a1.1 b2.1");
}

#[test]
fn idle_time_gives_no_credit() {
    let steps = [
        Push("a", 1, 0, 100, 9000),
        Push("a", 1, 1, 100, 9000),
        Push("a", 1, 2, 100, 9000),
        Push("a", 1, 3, 100, 9000),
        Pop,
        Pop,
        Push("b", 2, 0, 100, 9000),
        Push("b", 2, 1, 100, 9000),
        Push("b", 2, 2, 100, 9000),
        Pop,
        Pop,
        Pop,
        Pop,
    ];
    check(&steps, "a1.0 a1.1 b2.0 a1.2 b2.1 a1.3");
}

#[test]
fn cancelled_work_goes_out_once() {
    let steps = [
        Push("a", 1, 0, 100, 9000),
        Push("a", 1, 1, 100, 9000),
        Push("a", 1, 2, 100, 9000),
        Push("a", 2, 0, 100, 9000),
        Remove(1, 1),
        Remove(1, 1),
        Cancel(1),
        Cancel(1),
        Pop,
        Pop,
    ];
    check(&steps, "a1.1 a1.0 a1.2 a2.0");
}

#[test]
fn overdue_work_gets_no_slot() {
    let steps = [
        Push("a", 1, 0, 100, 500),
        Push("a", 2, 0, 100, 500),
        Push("a", 3, 0, 100, 5000),
        Overdue(499),
        Overdue(500),
        Pop,
        Pop,
        Push("a", 4, 0, 100, 500),
    ];
    check(&steps, "a1.0 a2.0 a3.0 due");
}

#[test]
fn what_came_due_can_still_be_withdrawn_once() {
    let steps = [
        Push("a", 1, 0, 100, 500),
        Push("a", 2, 0, 100, 500),
        Push("a", 3, 0, 100, 500),
        Push("a", 4, 0, 100, 5000),
        Later(500),
        Pop,
        Remove(1, 0),
        Remove(1, 0),
        Cancel(2),
        Overdue(501),
    ];
    check(&steps, "a4.0 a1.0 a2.0 a3.0");
}

#[test]
fn a_huge_bill_is_limited() {
    let mut steps = vec![Push("a", 1, 0, 100, 99_000), Push("a", 1, 1, 100, 99_000)];
    for task in 0..7 {
        steps.push(Push("b", 2, task, 1000, 99_000));
    }
    steps.extend([Pop, Charge("a", 60_000, 100)]);
    steps.extend([Pop; 7]);
    check(&steps, "a1.0 b2.0 b2.1 b2.2 b2.3 b2.4 a1.1 b2.5");
}

#[test]
fn a_huge_refund_is_limited() {
    let mut steps = vec![];
    for task in 0..4 {
        steps.push(Push("a", 1, task, 1000, 99_000));
        steps.push(Push("b", 2, task, 1000, 99_000));
    }
    steps.extend([Pop, Charge("a", 0, 3000), Charge("a", 0, 3000)]);
    steps.extend([Pop; 4]);
    check(&steps, "a1.0 a1.1 b2.0 a1.2 b2.1");
}

#[test]
fn a_full_queue_and_a_second_push_give_the_entry_back() {
    let mut steps = vec![Push("a", 1, 0, 100, 9000), Push("a", 1, 0, 100, 9000)];
    for task in 1..13 {
        steps.push(Push("a", 1, task, 100, 9000));
    }
    check(&steps, "twice full");
}

#[test]
fn predictions_follow_what_waits() {
    let start = Instant::now();
    let mut queue = FairQueue::new(QueueSettings::default());
    for task in 0..40 {
        queue
            .push(start, entry(start, "a", 1, task, 100, 9000))
            .unwrap();
    }
    queue
        .push(start, entry(start, "b", 2, 0, 100, 9000))
        .unwrap();
    let wait =
        |customer: &str| queue.predicted_wait(&customer.parse().unwrap(), CustomerShare(1), 4);
    assert_eq!(queue.predicted_drain(4), ms(1025));
    assert_eq!(queue.predicted_drain(0), Duration::MAX);
    assert_eq!(wait("a"), ms(1025));
    assert_eq!(wait("b"), ms(50));
    assert_eq!(wait("c"), ms(0));
}

#[test]
fn customers_that_left_are_forgotten() {
    let start = Instant::now();
    let mut queue = FairQueue::new(QueueSettings::default());
    for customer in 0..100 {
        let name = format!("c{customer}");
        queue
            .push(start, entry(start, &name, customer, 0, 100, 9000))
            .unwrap();
        queue.remove_submission(submission(customer));
    }
    assert_eq!(queue.customers(), 0);
}

#[derive(Clone, Debug)]
enum RandomStep {
    Push(u64, u32, u64, u64),
    Pop,
    Charge(u64, u64, u64),
    Remove(u64, u32),
    Cancel(u64),
    Later(u64),
}

fn random_step() -> impl Strategy<Value = RandomStep> {
    prop::strategy::Union::new_weighted(vec![
        (
            6,
            (0..6_u64, 0..5_u32, 1..5000_u64, 1..4000_u64)
                .prop_map(|(j, t, run, due)| RandomStep::Push(j, t, run, due))
                .boxed(),
        ),
        (4, prop::strategy::Just(RandomStep::Pop).boxed()),
        (
            2,
            (0..4_u64, 0..50_000_u64, 0..50_000_u64)
                .prop_map(|(c, ran, expected)| RandomStep::Charge(c, ran, expected))
                .boxed(),
        ),
        (
            1,
            (0..6_u64, 0..5_u32)
                .prop_map(|(j, t)| RandomStep::Remove(j, t))
                .boxed(),
        ),
        (1, (0..6_u64).prop_map(RandomStep::Cancel).boxed()),
        (1, (0..1500_u64).prop_map(RandomStep::Later).boxed()),
    ])
}

proptest! {
    // Whatever the order of operations, every entry that was taken in goes out exactly once.
    #[test]
    fn every_entry_goes_out_exactly_once(
        steps in prop::collection::vec(random_step(), 1..200),
    ) {
        let start = Instant::now();
        let mut queue = FairQueue::new(QueueSettings { max_entries: 20, ..QueueSettings::default() });
        let mut now = start;
        let mut inside = FastSet::default();
        for step in steps {
            let out = match step {
                RandomStep::Push(job, task, run, due) => {
                    let name = format!("c{}", job % 4);
                    let offset = now.duration_since(start).as_millis() as u64;
                    let entry = entry(start, &name, job, task, run, offset + due);
                    let attempt = entry.attempt;
                    if queue.push(now, entry).is_ok() {
                        prop_assert!(inside.insert(attempt));
                    }
                    vec![]
                }
                RandomStep::Pop => Vec::from_iter(queue.pop(now)),
                RandomStep::Charge(customer, ran, expected) => {
                    let customer = format!("c{customer}").parse().unwrap();
                    queue.charge(&customer, ms(ran), ms(expected));
                    vec![]
                }
                RandomStep::Remove(job, task) => Vec::from_iter(queue.remove(&attempt(job, task))),
                RandomStep::Cancel(job) => queue.remove_submission(submission(job)),
                RandomStep::Later(by) => {
                    now += ms(by);
                    if by % 2 == 0 { queue.drop_overdue(now) } else { vec![] }
                }
            };
            for entry in out {
                prop_assert!(inside.remove(&entry.attempt));
            }
        }
        while let Some(entry) = queue.pop(now) {
            prop_assert!(entry.due > now);
            prop_assert!(inside.remove(&entry.attempt));
        }
        for entry in queue.drop_overdue(now) {
            prop_assert!(inside.remove(&entry.attempt));
        }
        prop_assert!(inside.is_empty());
        prop_assert_eq!(queue.len(), 0);
        prop_assert_eq!(queue.predicted_drain(1), Duration::ZERO);
    }

    // However the others' run times and bills look, a customer that waits is served after a bounded number of
    // turns: nobody can be more than the debt limit behind, and each turn of another moves that one on.
    #[test]
    fn no_customer_starves(
        runs in prop::collection::vec(50..5000_u64, 1..8),
        bills in prop::collection::vec(50..200_u64, 1..8),
    ) {
        let start = Instant::now();
        let mut queue = FairQueue::new(QueueSettings::default());
        queue.push(start, entry(start, "small", 0, 0, 100, 500_000)).unwrap();
        queue.pop(start).unwrap();
        queue.charge(&"small".parse().unwrap(), ms(100_000), ms(100));
        queue.push(start, entry(start, "small", 0, 1, 100, 500_000)).unwrap();
        let mut turns = 0;
        for task in 0.. {
            for (n, run) in runs.iter().enumerate() {
                let job = n as u64 + 1;
                let name = format!("big{n}");
                queue.push(start, entry(start, &name, job, task, *run, 1000)).unwrap();
                queue.push(start, entry(start, &name, job + 100, task, *run, 1000)).unwrap();
            }
            let popped = queue.pop(start).unwrap();
            if popped.customer.as_str() == "small" {
                break;
            }
            turns += 1;
            let ran = bills[turns % bills.len()];
            queue.charge(&popped.customer, ms(ran), popped.expected);
            // Each turn costs at least 50 ms. The small one is at most 5 s behind and each of the others gets at
            // most 1 s back, so each has at most 120 turns before it.
            prop_assert!(turns <= 7 * 120, "starved");
        }
    }
}
