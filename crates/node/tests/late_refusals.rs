//! An owner refuses a job so late that its customer may have come back already.

#[path = "support/fake_owner.rs"]
mod fake_owner;
mod support;

use std::{sync::Arc, time::Duration};

use fake_owner::announce_pool;
use futures::{
    future::{ready, LocalBoxFuture},
    FutureExt as _,
};
use jobs::{JobAttemptId, JobId, JobOutcome, PoolId, RefusalKind};
use kernel::{ClockSource, SystemClock};
use peer::{serve_pool, JobCall, PoolService};
use pool::AttemptPresence;
use settings::NodeSettings;
use support::{job, spawn_post_job, Platform};
use telemetry::TrafficCounters;

/// How long customers wait before they submit a job again, by default.
const CUSTOMER_RETRY: Duration = Duration::from_millis(1_300);

/// An estimate with which the job is in time although it begins after the customer's pause.
const ESTIMATE_MS: u64 = 3_000;

/// An owner that holds a job for a time, begins nothing of it, and lets it go as in an evacuation.
#[derive(Clone)]
struct LateOwner(Duration);

impl PoolService for LateOwner {
    fn presence(&self, _: JobId, _: Option<JobAttemptId>, _: PoolId) -> AttemptPresence {
        AttemptPresence::Unknown
    }

    fn run(&self, _call: JobCall) -> LocalBoxFuture<'static, JobOutcome> {
        let refused = JobOutcome::Refused {
            kind: RefusalKind::Evacuated,
            retry_after: Duration::from_secs(1),
            fits: 0,
        };
        let answer = actix_rt::time::sleep(self.0).then(move |()| ready(refused));
        answer.boxed_local()
    }

    fn offer(&self, _call: JobCall) -> u32 {
        0
    }

    fn renew(&self, _sent_at: Duration) -> Duration {
        SystemClock.since_boot()
    }
}

/// Submits a job whose first pool lets it go after `held`, and returns how many runs began at the second pool.
async fn runs_after(held: Duration) -> usize {
    let platform = Platform::start(1, Duration::from_millis(300)).await;
    let other = platform.start_node(platform.node_settings("vm-0")).await;
    let listener = announce_pool(&platform, "vm-n", "north").await;
    let traffic = Arc::new(TrafficCounters::default());
    actix_rt::spawn(serve_pool(listener, traffic, move || LateOwner(held)));
    let settings = NodeSettings {
        data_centre: "north".parse().unwrap(),
        ..platform.node_settings("vm-e")
    };
    let entry = platform.start_node(settings).await;
    for _ in 0..400 {
        let linked = entry.log_lines().matches("link_opened").count() == 2;
        if linked && other.log_lines().contains("worker_answers") {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    // Leases of a former owner, which a new one cannot know, are over by then.
    actix_rt::time::sleep(Duration::from_millis(900)).await;
    let answer = spawn_post_job(&entry, "5c0e7a21d94b38f3", job(1, ESTIMATE_MS));
    answer.await.unwrap();
    let log = entry.log_lines();
    assert!(log.contains(r#""reason":"evacuated""#), "{log}");
    platform.workers[0].runs().len()
}

/// Guards against beginning a job at a further pool after its customer's pause: if the customer's connection broke and
/// the entry did not notice, its next attempt runs elsewhere by then.
#[actix_rt::test]
async fn a_job_refused_after_the_pause_begins_nowhere() {
    let held = CUSTOMER_RETRY + Duration::from_millis(50);
    assert_eq!(runs_after(held).await, 0);
}

/// Guards against giving up jobs that their first pool lets go in time.
#[actix_rt::test]
async fn a_job_refused_at_once_begins_at_a_further_pool() {
    assert_eq!(runs_after(Duration::from_millis(20)).await, 1);
}
