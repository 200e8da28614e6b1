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
