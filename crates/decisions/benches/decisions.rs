//! The cost of each decision by the number of waiting jobs, customers and dispatchers.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion};
use decisions::{
    AdmissionPolicy, AdmissionQuery, DispatcherKey, EndKind, EndReport, EndpointHealth,
    EstimateSource, FailureRate, FairQueue, HealthSettings, PlacementQuery, PlacementSettings,
    PlacementTable, QueueEntry, QueueSettings, RetryBudget, RetrySettings, RunTimeEstimate,
    RunTimeSettings, RunTimeTable, Saturation, SlotsHint, WorkClass,
};
use model::{
    AttemptId, Contract, CustomerId, CustomerShare, DataCentreId, IncarnationId, SubmissionId,
    TaskKind,
};

const JOBS: [u64; 4] = [10, 100, 1_000, 10_000];
const CUSTOMERS: [u64; 3] = [14, 140, 1_400];
const DISPATCHERS: [u64; 4] = [3, 8, 60, 600];
const TASKS_PER_JOB: u32 = 10;
const RUN_TIME: Duration = Duration::from_millis(200);

fn names(customers: u64) -> Vec<CustomerId> {
    (0..customers)
        .filter_map(|n| format!("customer-{n}").parse().ok())
        .collect()
}

fn submission(job: u64) -> SubmissionId {
    SubmissionId {
        incarnation: IncarnationId(1),
        serial: job,
    }
}

fn entry(now: Instant, names: &[CustomerId], job: u64, task: u32) -> QueueEntry {
    QueueEntry {
        attempt: AttemptId {
            submission: submission(job),
            task,
            attempt: 0,
        },
        customer: names[job as usize % names.len()].clone(),
        share: CustomerShare(1),
        expected: RUN_TIME,
        due: now + Duration::from_secs(10) + Duration::from_micros(job * 7919 % 1_000_000),
    }
}

fn filled(now: Instant, names: &[CustomerId], jobs: u64) -> FairQueue {
    let mut queue = FairQueue::new(QueueSettings {
        max_entries: usize::MAX,
        ..QueueSettings::default()
    });
    for job in 0..jobs {
        for task in 0..TASKS_PER_JOB {
            let _ = queue.push(now, entry(now, names, job, task));
        }
    }
    queue
}

/// Queue operations that keep the length: a turn pops a task, corrects its charge and pushes it again; a cancellation
/// removes a whole job and pushes it again.
fn queue(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("queue");
    for customers in CUSTOMERS {
        let names = names(customers);
        for jobs in JOBS {
            let id = format!("{customers}-customers/{jobs}-jobs");
            let mut queue = filled(now, &names, jobs);
            group.bench_function(BenchmarkId::new("turn", &id), |b| {
                b.iter(|| {
                    let Some(entry) = queue.pop(now) else {
                        return;
                    };
                    queue.correct_charge(&entry.customer, RUN_TIME * 2, RUN_TIME);
                    let _ = queue.push(now, entry);
                });
            });
            let mut job = 0;
            group.bench_function(BenchmarkId::new("cancel", &id), |b| {
                b.iter(|| {
                    job = (job + 1) % jobs;
                    for entry in queue.remove_submission(submission(job)) {
                        let _ = queue.push(now, entry);
                    }
                });
            });
            group.bench_function(BenchmarkId::new("wait", &id), |b| {
                b.iter(|| {
                    let wait = queue.predicted_wait(&names[0], CustomerShare(1), 136);
                    black_box((wait, queue.predicted_drain(136)))
                });
            });
        }
    }
    group.finish();
}

fn tables(c: &mut Criterion) {
    let now = Instant::now();
    let kind: Option<TaskKind> = "hold".parse().ok();
    let Some(kind) = kind else {
        return;
    };
    let mut group = c.benchmark_group("tables");
    for customers in CUSTOMERS {
        let names = names(customers);
        let mut times = RunTimeTable::new(RunTimeSettings::default());
        let mut budget = RetryBudget::new(RetrySettings::default());
        let mut n = 0;
        let mut next = move |names: &[CustomerId]| {
            n = (n + 1) % names.len();
            names[n].clone()
        };
        group.bench_function(BenchmarkId::new("run_time", customers), |b| {
            b.iter(|| {
                let name = next(&names);
                times.record(now, &name, &kind, RUN_TIME);
                black_box(times.expected_run_time(now, &name, &kind, None));
                black_box(times.quantile(now, &name, &kind, None, 0.99))
            });
        });
        group.bench_function(BenchmarkId::new("retry", customers), |b| {
            b.iter(|| {
                let name = next(&names);
                budget.on_placed(now, &name, 10, 20);
                black_box(budget.try_retry(now, &name))
            });
        });
    }
    group.finish();
}

fn placement(c: &mut Criterion) {
    let now = Instant::now();
    let local: Option<DataCentreId> = "local".parse().ok();
    let Some(local) = local else {
        return;
    };
    let mut group = c.benchmark_group("placement");
    for dispatchers in DISPATCHERS {
        let rng = fastrand::Rng::with_seed(1);
        let settings = PlacementSettings::default();
        let mut table = PlacementTable::new(settings, local.clone(), rng);
        for key in 0..dispatchers {
            table.add_dispatcher(DispatcherKey(key), &local);
        }
        for running in [20, 50] {
            let hint = SlotsHint {
                limit: 45,
                running,
                queued: 0,
            };
            for key in 0..dispatchers {
                table.on_hint(now, DispatcherKey(key), hint, 0);
            }
            let query = PlacementQuery {
                mean_run_time: RUN_TIME,
            };
            let state = if running < 45 { "free" } else { "full" };
            group.bench_function(BenchmarkId::new(state, dispatchers), |b| {
                b.iter(|| {
                    let key = table.choose(now, query);
                    if let Some(key) = key {
                        table.on_hint(now, key, hint, 0);
                        table.on_end(key);
                    }
                    key
                });
            });
        }
    }
    group.finish();
}

/// Decisions whose cost does not depend on the number of jobs, customers or dispatchers.
fn constant(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("constant");
    let contract = Contract::default();
    let policy = AdmissionPolicy::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let query = AdmissionQuery {
        contract: &contract,
        class: WorkClass::Job,
        tasks: 40,
        longest_estimate: RunTimeEstimate {
            run_time: RUN_TIME,
            source: EstimateSource::Measured,
        },
        tail_run_time: RUN_TIME * 5,
        expected_work: RUN_TIME * 40,
        deadline: Duration::from_secs(10),
        open_tasks: 20,
        open_work: RUN_TIME * 20,
        granted_concurrency: 40,
        predicted_wait: Duration::from_millis(500),
        saturation: Saturation(1.5),
    };
    group.bench_function("admission", |b| {
        b.iter(|| policy.decide(black_box(&query), &mut rng));
    });
    let mut health = EndpointHealth::new(HealthSettings::default());
    let report = EndReport {
        kind: EndKind::Done,
        ran: RUN_TIME,
        expected: RUN_TIME,
        failure_rate: FailureRate(0.0),
    };
    group.bench_function("health", |b| {
        b.iter(|| {
            health.on_start(now);
            health.on_end(now, black_box(report));
            health.capacity(now, 8)
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    queue(&mut criterion);
    tables(&mut criterion);
    placement(&mut criterion);
    constant(&mut criterion);
    criterion.final_summary();
}
