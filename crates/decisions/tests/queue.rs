//! The queue: order, limits and the invariants of every sequence of operations.

use std::time::{Duration, Instant};

use decisions::{FairQueue, PushError, QueueEntry, QueueSettings};
use model::{AttemptId, CustomerShare, FastSet, IncarnationId, SubmissionId};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest, Strategy};

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

/// Runs a script and compares what came out.
///
/// `+a1.0` pushes task 0 of job 1 of customer `a`, which takes 100 ms and is due after 99 s; `/300` sets the run time,
/// `@500` the due time and `*2` the share. `pop3` pops three times. `a:250/10` bills `a` 250 ms for the 10 ms it was
/// charged. `-1.0` removes a task, `-1` a submission. `t500` sets the time, `drop` collects what is overdue.
fn check(script: &str, expect: &str) {
    let start = Instant::now();
    let mut queue = FairQueue::new(QueueSettings {
        max_entries: 12,
        ..QueueSettings::default()
    });
    let mut now = start;
    let mut out = Vec::new();
    for word in script.split_whitespace() {
        let entries = if let Some(word) = word.strip_prefix('+') {
            out.extend(pushed(queue.push(now, parsed(start, word))));
            vec![]
        } else if let Some(times) = word.strip_prefix("pop") {
            let times = times.parse().unwrap_or(1);
            (0..times).filter_map(|_| queue.pop(now)).collect()
        } else if let Some((customer, bill)) = word.split_once(':') {
            let (ran, expected) = bill.split_once('/').unwrap();
            let (ran, expected) = (ran.parse().unwrap(), expected.parse().unwrap());
            queue.charge(&customer.parse().unwrap(), ms(ran), ms(expected));
            vec![]
        } else if let Some(removed) = word.strip_prefix('-') {
            match removed.split_once('.') {
                Some((job, task)) => {
                    let attempt = attempt(job.parse().unwrap(), task.parse().unwrap());
                    Vec::from_iter(queue.remove(&attempt))
                }
                None => queue.remove_submission(submission(removed.parse().unwrap())),
            }
        } else if let Some(at) = word.strip_prefix('t') {
            now = start + ms(at.parse().unwrap());
            vec![]
        } else {
            assert_eq!(word, "drop");
            queue.drop_overdue(now)
        };
        out.extend(entries.iter().map(name));
    }
    assert_eq!(out.join(" "), expect, "{script}");
}

/// Reads `a1.0`, then the settings in any number, each led by its mark.
fn parsed(start: Instant, word: &str) -> QueueEntry {
    let end = word.find(['/', '@', '*']).unwrap_or(word.len());
    let (id, settings) = word.split_at(end);
    let (job, task) = id[1..].split_once('.').unwrap();
    let (job, task) = (job.parse().unwrap(), task.parse().unwrap());
    let mut entry = entry(start, &id[..1], job, task, 100, 99_000);
    for (n, mark) in settings.char_indices().filter(|(_, c)| !c.is_ascii_digit()) {
        let digits: String = settings[n + 1..]
            .chars()
            .take_while(char::is_ascii_digit)
            .collect();
        let number: u64 = digits.parse().unwrap();
        match mark {
            '/' => entry.expected = ms(number),
            '@' => entry.due = start + ms(number),
            _ => entry.share = CustomerShare(number as u32),
        }
    }
    entry
}

#[test]
fn customers_take_turns_by_slot_time_and_share() {
    check("+a1.0 +a1.1 +a1.2 +b2.0 pop5", "a1.0 b2.0 a1.1 a1.2");
    check(
        "+a1.0/300 +a1.1/300 +b2.0 +b2.1 +b2.2 +b2.3 pop5",
        "a1.0 b2.0 b2.1 b2.2 a1.1",
    );
    check(
        "+a1.0*2 +a1.1*2 +a1.2*2 +a1.3*2 +b2.0 +b2.1 +b2.2 pop6",
        "a1.0 b2.0 a1.1 b2.1 a1.2 a1.3",
    );
}

#[test]
fn within_a_customer_whole_jobs_go_by_deadline() {
    check(
        "+a1.0@8000 +a2.0@7000 +a1.1@8000 +a2.1@7001 pop4",
        "a2.0 a2.1 a1.0 a1.1",
    );
    check("+a1.0@8000 +a2.0@7000 +a1.1@6000 pop3", "a1.0 a1.1 a2.0");
}

#[test]
fn bills_follow_the_measured_run_time_within_limits() {
    check(
        "+a1.0/10 +a1.1/10 +b2.0 +b2.1 +b2.2 pop a:250/10 pop4",
        "a1.0 b2.0 b2.1 b2.2 a1.1",
    );
    check(
        "+a1.0/1000 +a1.1/1000 +b2.0 +b2.1 +b2.2 pop a:50/1000 pop3",
        "a1.0 b2.0 a1.1 b2.1",
    );
    check(
        "+a1.0 +a1.1 +b2.0/1000 +b2.1/1000 +b2.2/1000 +b2.3/1000 +b2.4/1000 +b2.5/1000 pop a:60000/100 pop7",
        "a1.0 b2.0 b2.1 b2.2 b2.3 b2.4 a1.1 b2.5",
    );
    check(
        "+a1.0/1000 +a1.1/1000 +a1.2/1000 +b2.0/1000 +b2.1/1000 +b2.2/1000 pop a:0/3000 a:0/3000 pop4",
        "a1.0 a1.1 b2.0 a1.2 b2.1",
    );
}

#[test]
fn idle_time_gives_no_credit() {
    check(
        "+a1.0 +a1.1 +a1.2 +a1.3 pop2 +b2.0 +b2.1 +b2.2 pop4",
        "a1.0 a1.1 b2.0 a1.2 b2.1 a1.3",
    );
}

#[test]
fn cancelled_work_goes_out_once() {
    check(
        "+a1.0 +a1.1 +a1.2 +a2.0 -1.1 -1.1 -1 -1 pop2",
        "a1.1 a1.0 a1.2 a2.0",
    );
}

#[test]
fn overdue_work_gets_no_slot_and_goes_out_once() {
    check(
        "+a1.0@500 +a2.0@500 +a3.0 t499 drop t500 drop pop2 +a4.0@500",
        "a1.0 a2.0 a3.0 due",
    );
    check(
        "+a1.0@500 +a2.0@500 +a3.0@500 +a4.0 t500 pop -1.0 -1.0 -2 drop",
        "a4.0 a1.0 a2.0 a3.0",
    );
}

#[test]
fn a_full_queue_and_a_second_push_give_the_entry_back() {
    check(
        "+a1.0 +a1.0 +a1.1 +a1.2 +a1.3 +a1.4 +a1.5 +a1.6 +a1.7 +a1.8 +a1.9 +a1.10 +a1.11 +a1.12",
        "twice full",
    );
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
