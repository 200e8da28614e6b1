//! The cost of computing an offer, which is how much of a job a pool could take, by the number of waiting jobs.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion};
use jobs::{
    CpuMillis, FenceToken, InstanceId, JobId, JobRequest, JobTerms, MemoryMegabytes,
    ResourceDemand, ServiceId, StepSpec, WorkerClock, WorkerListing, WorkerRecord, WorkerState,
};
use pool::{PoolAction, PoolInit, PoolSettings, WaiterId, WorkerPool};

const WORKERS: usize = 60;
const WAITING: [u64; 3] = [0, 20, 60];
const SERVICE: &str = "svc";

fn resources(cpu: u64) -> ResourceDemand {
    ResourceDemand {
        cpu: CpuMillis(cpu),
        memory: MemoryMegabytes(64),
        accelerators: 0,
    }
}

fn record(number: usize) -> WorkerRecord {
    WorkerRecord {
        instance: InstanceId::from(format!("i-{number:03}").as_str()),
        born: None,
        service: ServiceId::from(SERVICE),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "east".parse().expect("a name"),
        state: WorkerState::Ready,
        capacity: ResourceDemand {
            memory: MemoryMegabytes(65_536),
            ..resources(if number % 3 == 2 { 48_000 } else { 32_000 })
        },
        labels: Vec::new(),
    }
}

fn job(id: u64, count: u32, millis: u64) -> JobRequest {
    JobRequest {
        id: JobId(id),
        text: Arc::from(""),
        steps: vec![StepSpec {
            count,
            demand: resources(16_000),
            estimate: Duration::from_millis(millis),
            ..StepSpec::default()
        }],
        kept: false,
        unsupported: None,
    }
}

/// `firm` jobs are admitted even if they will be late, so that they wait.
fn terms(firm: bool) -> JobTerms {
    JobTerms {
        service: ServiceId::from(SERVICE),
        route: Arc::from("r"),
        priority: 1,
        attempts: 3,
        stretch: 1.6,
        goal: Duration::from_millis(60),
        time_left: Duration::from_secs(60),
        waited: Duration::ZERO,
        firm,
        origin: None,
        retry_in: None,
        attempt_id: None,
    }
}

/// A pool whose capacity is all taken, with `waiting` jobs waiting.
fn busy_pool(now: Instant, waiting: u64) -> WorkerPool {
    let init = PoolInit {
        seed: 1,
        name: Arc::from("east/0"),
        fence: FenceToken(1),
        platform_millis: 1,
        far_factor: 2.0,
        evacuated: false,
        settings: PoolSettings::default(),
    };
    let mut pool = WorkerPool::new(init, now);
    for number in 0..WORKERS {
        pool.upsert_worker(now, record(number));
    }
    for action in pool.take_actions() {
        if let PoolAction::Poll(order) = action {
            let listing = WorkerListing {
                clock: WorkerClock(1_000),
                ..WorkerListing::default()
            };
            pool.on_poll_answer(now, now, &order, Ok(listing));
        }
    }
    let job_count = 20 + waiting;
    for id in 0..job_count {
        let request = Arc::new(job(id, 8, 300));
        pool.submit(now, WaiterId(id), request, terms(true));
    }
    pool
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("offer");
    for waiting in WAITING {
        let now = Instant::now();
        let mut pool = busy_pool(now, waiting);
        let (request, terms) = (job(1_000_000, 8, 300), terms(false));
        group.bench_function(BenchmarkId::from_parameter(waiting), |bencher| {
            bencher.iter(|| black_box(pool.offer(now, &request, &terms)));
        });
    }
    group.finish();
    criterion.final_summary();
}
