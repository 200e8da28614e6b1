//! Processes that stood still: frozen, or on a suspended machine. Their customers run their jobs elsewhere by then.

mod support;

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use kernel::{ClockSource, SystemClock};
use platform_stand_ins::{WorkerPlan, WorkerStandIn};
use settings::NodeSettings;
use support::{job, spawn_post_job, Platform};

/// Longer than any pause that a node takes for a busy moment.
const PAUSE: Duration = Duration::from_millis(700);

/// The system's clock on a machine that a test can suspend for a while without waiting.
#[derive(Default)]
struct SuspendableClock(AtomicU64);

impl SuspendableClock {
    fn suspend(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap();
        self.0.fetch_add(millis, Ordering::Relaxed);
    }
}

impl ClockSource for SuspendableClock {
    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn since_boot(&self) -> Duration {
        SystemClock.since_boot() + Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Lets all other tasks run until the condition holds, without waiting for a timer.
async fn wait_until(holds: impl Fn() -> bool) {
    let limit = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < limit, "the condition did not come to hold");
        tokio::task::yield_now().await;
    }
}

async fn sleep_ms(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against starting a waiting task when the answer of a worker is read before the tick that notices the pause.
#[actix_rt::test]
async fn a_suspended_owner_starts_no_waiting_task() {
    let platform = Platform::start(1, Duration::from_millis(250)).await;
    let clock = Arc::new(SuspendableClock::default());
    let settings = platform.node_settings("vm-1");
    let node = platform.start_node_on(settings, clock.clone()).await;
    sleep_ms(300).await;
    let worker = &platform.workers[0];
    let answer = spawn_post_job(&node, "5c0e7a21d94b3701", job(3, 100));
    wait_until(|| worker.runs().iter().any(|run| run.ended.is_some())).await;
    clock.suspend(PAUSE);
    sleep_ms(400).await;
    let log = node.log_lines();
    assert_eq!(worker.runs().len(), 2, "{log}");
    assert_eq!(answer.await.unwrap().0, 504, "{log}");
    assert!(log.contains("process_paused"), "{log}");
}

/// Guards against going on to the next pools with a job whose first pool refused it before the entry paused.
#[actix_rt::test]
async fn a_suspended_entry_asks_no_further_pool() {
    let mut platform = Platform::start(1, Duration::from_millis(300)).await;
    let clock = Arc::new(SuspendableClock::default());
    let settings = platform.node_settings("vm-e");
    let entry = platform.start_node_on(settings, clock.clone()).await;
    let plan = WorkerPlan {
        id: "i-west".to_owned(),
        run_time: Duration::from_millis(300),
        ..WorkerPlan::default()
    };
    let worker = WorkerStandIn::start(plan).await;
    let row = worker.entry("svc", "west", "ready");
    platform.store.put("servers", "i-west", &row);
    platform.workers.push(worker);
    let settings = NodeSettings {
        data_centre: "west".parse().unwrap(),
        ..platform.node_settings("vm-w")
    };
    let other = platform.start_node(settings).await;
    wait_until(|| entry.log_lines().contains("link_opened")).await;
    wait_until(|| other.log_lines().contains("worker_answers")).await;
    sleep_ms(600).await;
    let answer = spawn_post_job(&entry, "5c0e7a21d94b3702", job(4, 300));
    wait_until(|| entry.log_lines().contains("job_asked")).await;
    clock.suspend(PAUSE);
    let status = answer.await.unwrap().0;
    let log = entry.log_lines();
    let runs: usize = platform.workers.iter().map(|w| w.runs().len()).sum();
    assert_eq!((status, runs), (503, 0), "{log}");
}
