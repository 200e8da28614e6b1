//! The fair queue: order, limits, and invariants over random sequences of operations.

use std::time::{Duration, Instant};

use decisions::{FairQueue, PushError, QueueEntry, QueueSettings};
use model::{AttemptId, CustomerShare, FastSet, IncarnationId, SubmissionId};
use proptest::prelude::{prop, prop_assert, prop_oneof, proptest, Just, Strategy};

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

/// Runs a script and checks which entries were returned or rejected.
fn check(script: &str, expect: &str) {
    let mut out = run(script);
    out.retain(|event| !event.starts_with('+'));
    assert_eq!(out.join(" "), expect, "{script}");
}

/// Runs a script on a queue with space for twelve entries. Returns the queued entries, prefixed with `+`, and the
/// returned or rejected ones.
///
/// `+a1.0` pushes task 0 of job 1 of customer `a`, which takes 100 ms and is due after 99 s; `/300` sets the run time,
/// `@500` the due time and `*2` the share. `pop3` pops three times. `a:250/10` replaces the charge of 10 ms for a task
/// of `a` by 250 ms. `-1.0` removes a task, `-1` a submission. `t500` sets the time, and `drop` takes the overdue
/// entries.
fn run(script: &str) -> Vec<String> {
    let start = Instant::now();
    let mut queue = FairQueue::new(QueueSettings {
        max_entries: 12,
        ..QueueSettings::default()
    });
    let mut now = start;
    let mut events = Vec::new();
    for word in script.split_whitespace() {
        let mut out = Vec::new();
        if let Some(word) = word.strip_prefix('+') {
            events.push(push(&mut queue, now, parse_entry(start, word)));
        } else if let Some(times) = word.strip_prefix("pop") {
            out.extend((0..times.parse().unwrap_or(1)).filter_map(|_| queue.pop(now)));
            assert!(out.iter().all(|entry| entry.due > now), "{script}");
        } else if let Some((customer, charge)) = word.split_once(':') {
            let (ran, expected) = charge.split_once('/').unwrap();
            let (ran, expected) = (ran.parse().unwrap(), expected.parse().unwrap());
            queue.correct_charge(&customer.parse().unwrap(), ms(ran), ms(expected));
        } else if let Some((job, task)) = word.strip_prefix('-').and_then(|id| id.split_once('.')) {
            out.extend(queue.remove(&attempt(job.parse().unwrap(), task.parse().unwrap())));
        } else if let Some(job) = word.strip_prefix('-') {
            out = queue.remove_submission(submission(job.parse().unwrap()));
        } else if let Some(at) = word.strip_prefix('t') {
            now = start + ms(at.parse().unwrap());
        } else {
            assert_eq!(word, "drop");
            out = queue.take_overdue(now);
        }
        events.extend(out.iter().map(label));
    }
    events
}

fn push(queue: &mut FairQueue, now: Instant, entry: QueueEntry) -> String {
    let label = label(&entry);
    match queue.push(now, entry) {
        Ok(()) => format!("+{label}"),
        Err(PushError::Full(_)) => "full".into(),
        Err(PushError::Overdue(_)) => "due".into(),
        Err(PushError::Duplicate(_)) => "twice".into(),
        Err(PushError::OtherCustomer(_)) => "other".into(),
    }
}

fn label(entry: &QueueEntry) -> String {
    let attempt = entry.attempt;
    let (job, task) = (attempt.submission.serial, attempt.task);
    format!("{}{job}.{task}", entry.customer)
}

/// Parses `a1.0`, followed by any number of settings, each prefixed with its mark.
fn parse_entry(start: Instant, word: &str) -> QueueEntry {
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
fn a_customers_jobs_run_whole_and_by_deadline() {
    check(
        "+a1.0@8000 +a2.0@7000 +a1.1@8000 +a2.1@7001 pop4",
        "a2.0 a2.1 a1.0 a1.1",
    );
    check("+a1.0@8000 +a2.0@7000 +a1.1@6000 pop3", "a1.0 a1.1 a2.0");
}

#[test]
fn charges_follow_the_measured_run_time_within_limits() {
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
fn cancelled_work_is_returned_once() {
    check(
        "+a1.0 +a1.1 +a1.2 +a2.0 -1.1 -1.1 -1 -1 pop2",
        "a1.1 a1.0 a1.2 a2.0",
    );
}

#[test]
fn overdue_work_gets_no_slot_and_is_returned_once() {
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
fn rejected_pushes_return_the_entry() {
    check(
        "+a1.0 +a1.0 +a1.1 +a1.2 +a1.3 +a1.4 +a1.5 +a1.6 +a1.7 +a1.8 +a1.9 +a1.10 +a1.11 +a1.12",
        "twice full",
    );
    check("+a1.0 +b1.1 pop +b1.1 pop2", "other a1.0 b1.1");
}

#[test]
fn predicted_waits_follow_the_queued_work() {
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
    for (customer, slots, expect) in [
        ("a", 4, ms(1025)),
        ("b", 4, ms(50)),
        ("c", 4, Duration::ZERO),
        ("a", 0, Duration::MAX),
        ("c", 0, Duration::MAX),
    ] {
        let wait = queue.predicted_wait(&customer.parse().unwrap(), CustomerShare(1), slots);
        assert_eq!(wait, expect, "{customer} {slots}");
    }
    assert_eq!(queue.predicted_drain(4), ms(1025));
    assert_eq!(queue.predicted_drain(0), Duration::MAX);
    queue.remove_submission(submission(1));
    assert_eq!(queue.predicted_drain(1), ms(100));
}

#[test]
fn idle_customers_are_removed() {
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

/// A random word of a script. Each job belongs to one of four customers.
fn random_word() -> impl Strategy<Value = String> {
    let push = (0..6_usize, 0..5, 1..5000, 1..20_000).prop_map(|(job, task, run, due)| {
        let customer = ["a", "b", "c", "d"][job % 4];
        format!("+{customer}{job}.{task}/{run}@{due}")
    });
    let charge = (0..4_usize, 0..50_000, 0..50_000)
        .prop_map(|(n, ran, expected)| format!("{}:{ran}/{expected}", ["a", "b", "c", "d"][n]));
    let remove = (0..6, 0..5).prop_map(|(job, task)| format!("-{job}.{task}"));
    prop_oneof![
        6 => push,
        4 => Just("pop".to_owned()),
        2 => charge,
        1 => remove,
        1 => (0..6).prop_map(|job| format!("-{job}")),
        1 => Just("drop".to_owned()),
        1 => (0..9000).prop_map(|at| format!("t{at}")),
    ]
}

proptest! {
    // Whatever the order of operations, every queued entry is returned exactly once.
    #[test]
    fn every_entry_is_returned_exactly_once(
        words in prop::collection::vec(random_word(), 1..200),
    ) {
        let mut inside = FastSet::default();
        for event in run(&format!("{} pop20 drop", words.join(" "))) {
            if let Some(label) = event.strip_prefix('+') {
                prop_assert!(inside.insert(label.to_owned()));
            } else if event.contains('.') {
                prop_assert!(inside.remove(&event));
            }
        }
        prop_assert!(inside.is_empty(), "{inside:?} never went out");
    }

    // Whatever the run times and charges of the others, a waiting customer is served after a bounded number of turns:
    // it can be behind by no more than the debt limit, and each turn of another customer advances that customer.
    #[test]
    fn no_customer_starves(
        runs in prop::collection::vec(50..5000_u64, 1..8),
        run_times in prop::collection::vec(50..200_u64, 1..8),
    ) {
        let start = Instant::now();
        let mut queue = FairQueue::new(QueueSettings::default());
        queue.push(start, entry(start, "small", 0, 0, 100, 500_000)).unwrap();
        queue.pop(start).unwrap();
        queue.correct_charge(&"small".parse().unwrap(), ms(100_000), ms(100));
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
            let ran = run_times[turns % run_times.len()];
            queue.correct_charge(&popped.customer, ms(ran), popped.expected);
            // Each turn costs at least 50 ms. The small customer is at most 5 s behind and each of the others is
            // credited at most 1 s, so each of them gets at most 120 turns before it.
            prop_assert!(turns <= 7 * 120, "starved");
        }
    }
}
