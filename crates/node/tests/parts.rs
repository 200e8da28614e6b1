//! Jobs that are divided among owners of which one refuses its part.

#[path = "support/fake_owner.rs"]
mod fake_owner;
mod support;

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use fake_owner::announce_pool;
use futures::{
    future::{pending, ready, LocalBoxFuture},
    FutureExt as _,
};
use jobs::{JobAttemptId, JobId, JobOutcome, PoolId, RefusalKind};
use kernel::{ClockSource, SystemClock};
use peer::{serve_pool, JobCall, PoolService};
use pool::AttemptPresence;
use support::{job, post_job, Platform};
use telemetry::TrafficCounters;

/// The number of tasks of the job.
const TASKS: u32 = 4;

/// The number of tasks that an owner offers to run.
const OFFERED: u32 = 2;

/// An owner that refuses whole jobs, and runs parts without an end or refuses them too.
#[derive(Clone)]
struct PartOwner {
    refuses_parts: bool,
    /// Whether it offers nothing at the first time, so that it is asked again once another owner has refused its part.
    offers_later: bool,
    /// How often it was asked what it could take.
    asked: Rc<Cell<usize>>,
    /// The number of parts that were begun by any owner.
    begun: Rc<Cell<usize>>,
    /// The number of parts that were refused by any owner.
    refused: Rc<Cell<usize>>,
}

impl PartOwner {
    fn fits(&self) -> u32 {
        self.asked.set(self.asked.get() + 1);
        match self.offers_later && self.asked.get() == 1 {
            true => 0,
            false => OFFERED,
        }
    }
}

fn refusal(fits: u32) -> LocalBoxFuture<'static, JobOutcome> {
    let refused = JobOutcome::Refused {
        kind: RefusalKind::TooLate,
        retry_after: Duration::from_secs(1),
        fits,
    };
    ready(refused).boxed_local()
}

impl PoolService for PartOwner {
    fn presence(&self, _: JobId, _: Option<JobAttemptId>, _: PoolId) -> AttemptPresence {
        AttemptPresence::Unknown
    }

    fn run(&self, call: JobCall) -> LocalBoxFuture<'static, JobOutcome> {
        if call.request.task_count() == u64::from(TASKS) {
            return refusal(self.fits());
        }
        if self.refuses_parts {
            self.refused.set(self.refused.get() + 1);
            return refusal(0);
        }
        self.begun.set(self.begun.get() + 1);
        pending().boxed_local()
    }

    fn offer(&self, _call: JobCall) -> u32 {
        self.fits()
    }

    fn renew(&self, _sent_at: Duration) -> Duration {
        SystemClock.since_boot()
    }
}

/// Guards against refusing a job of which another owner runs a part: its customer submits it elsewhere at once. One owner
/// begins its part, the second refuses the other part, and the third refuses it too.
#[actix_rt::test]
async fn a_refused_part_does_not_refuse_its_job() {
    let platform = Platform::start(0, Duration::from_millis(10)).await;
    let (begun, refused) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let owners = [
        ("vm-n", "north", false, false),
        ("vm-s", "south", true, false),
        ("vm-w", "west", true, true),
    ];
    for (node, centre, refuses_parts, offers_later) in owners {
        let listener = announce_pool(&platform, node, centre).await;
        let owner = PartOwner {
            refuses_parts,
            offers_later,
            asked: Rc::default(),
            begun: begun.clone(),
            refused: refused.clone(),
        };
        let traffic = Arc::new(TrafficCounters::default());
        actix_rt::spawn(serve_pool(listener, traffic, move || owner.clone()));
    }
    let entry = platform.start_node(platform.node_settings("vm-e")).await;
    for _ in 0..400 {
        if entry.log_lines().matches("link_opened").count() == owners.len() {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let (status, _) = post_job(&entry, "5c0e7a21d94b38f2", &job(TASKS, 50)).await;
    let log = entry.log_lines();
    assert_eq!((begun.get(), refused.get()), (1, 2), "{log}");
    assert_eq!(status, 504, "{log}");
}
