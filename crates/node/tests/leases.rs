//! The lease of a job that runs under another node's owner: the owner runs it only while the entry confirms it.

mod support;

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use jobs::{JobId, JobOutcome, RefusalKind};
use kernel::{ClockSource, SystemClock};
use node::NodeProcess;
use peer::{JobCall, PoolLink};
use platform_stand_ins::{WorkerPlan, WorkerStandIn};
use settings::NodeSettings;
use support::{job, job_call, post_job, start_node_with_clock, Platform};

/// The lease that follows from the default pause of customers, with a margin for a busy machine.
const LEASE_LIMIT: Duration = Duration::from_millis(600);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The clock of nodes in this process.
fn clock() -> Duration {
    SystemClock.since_boot()
}

/// A node that owns a pool with one worker, and a link to it as an entry has one.
async fn owner_and_link(run_time: Duration) -> (Platform, NodeProcess, PoolLink) {
    owner_with_clock(run_time, Arc::new(SystemClock)).await
}

async fn owner_with_clock(
    run_time: Duration,
    clock: Arc<dyn ClockSource>,
) -> (Platform, NodeProcess, PoolLink) {
    let platform = Platform::start(1, run_time).await;
    let settings = platform.node_settings("vm-o");
    let owner = start_node_with_clock(settings, clock).await;
    for _ in 0..300 {
        if owner.log_lines().contains("worker_answers") {
            break;
        }
        actix_rt::time::sleep(millis(10)).await;
    }
    let link = peer::connect_pool(owner.peer_address(), Arc::default(), || ()).await;
    (platform, owner, link.unwrap())
}

fn call(id: u64, sent_at: Duration) -> JobCall {
    job_call(id, millis(1_500), millis(8_000), sent_at)
}

/// Guards against running on for an entry that was lost while its connection went silent.
#[actix_rt::test]
async fn a_job_that_is_not_confirmed_is_stopped_within_its_lease() {
    let (platform, owner, link) = owner_and_link(millis(3_000)).await;
    let sent = Instant::now();
    let outcome = link.run(&call(1, clock())).await;
    let took = sent.elapsed();
    assert_eq!(outcome, Ok(JobOutcome::GivenUp), "{}", owner.log_lines());
    assert!(took < LEASE_LIMIT, "{took:?}");
    actix_rt::time::sleep(millis(100)).await;
    let runs = platform.workers[0].runs();
    assert_eq!(runs.len(), 1);
    let (ended, _) = runs[0].ended.expect("the run is stopped");
    assert!(ended - sent < LEASE_LIMIT, "{:?}", ended - sent);
}

/// Guards against running a job that was held up on its way for so long that its customer has submitted it elsewhere.
#[actix_rt::test]
async fn a_call_that_is_older_than_the_lease_runs_nothing() {
    let (platform, owner, link) = owner_and_link(millis(50)).await;
    let outcome = link.run(&call(1, clock() - millis(1_000))).await;
    let Ok(JobOutcome::Refused { kind, fits, .. }) = outcome else {
        panic!("{outcome:?} {}", owner.log_lines());
    };
    assert_eq!((kind, fits), (RefusalKind::NotServing, 0));
    assert!(owner.log_lines().contains("job_call_expired"));
    actix_rt::time::sleep(millis(100)).await;
    assert_eq!(platform.workers[0].runs().len(), 0);
}

/// Guards against renewals that count only for one of the jobs on a connection.
#[actix_rt::test]
async fn renewals_keep_all_jobs_of_a_connection_running() {
    let (_platform, owner, link) = owner_and_link(millis(1_200)).await;
    let renewals = async {
        loop {
            actix_rt::time::sleep(millis(100)).await;
            link.renew(clock()).await.unwrap();
        }
    };
    let (first, second) = (call(1, clock()), call(2, clock()));
    let jobs = futures::future::join(link.run(&first), link.run(&second));
    let outcomes = tokio::select! {
        outcomes = jobs => outcomes,
        () = renewals => unreachable!(),
    };
    let completed = (Ok(JobOutcome::Completed), Ok(JobOutcome::Completed));
    assert_eq!(outcomes, completed, "{}", owner.log_lines());
}

/// Guards against a job that its entry has dropped but that the renewals for the entry's other jobs keep running.
#[actix_rt::test]
async fn renewals_do_not_keep_a_dropped_job_running() {
    let (platform, _owner, link) = owner_and_link(millis(1_200)).await;
    let kept = call(1, clock());
    let kept = std::pin::pin!(link.run(&kept));
    let dropped = tokio::time::timeout(millis(150), link.run(&call(2, clock()))).await;
    assert!(dropped.is_err());
    let dropped_at = Instant::now();
    let renewals = async {
        for _ in 0..5 {
            link.renew(clock()).await.unwrap();
            actix_rt::time::sleep(millis(100)).await;
        }
    };
    let (_, ()) = futures::future::join(kept, renewals).await;
    let runs = platform.workers[0].runs();
    let run = runs
        .iter()
        .find(|run| run.task.starts_with(&JobId(2).to_string()));
    let (ended, _) = run.unwrap().ended.unwrap();
    let overrun = ended.saturating_duration_since(dropped_at);
    assert!(overrun < millis(200), "{overrun:?}");
}

/// Guards against a bound of the owner's clock that only heartbeats raise, which are seconds apart in large fleets.
#[actix_rt::test]
async fn an_answer_to_a_renewal_tells_the_owners_clock() {
    let (_platform, _owner, link) = owner_and_link(millis(50)).await;
    let sent = clock();
    let answered = link.renew(sent).await.unwrap();
    // The protocol has whole microseconds.
    assert!(answered + Duration::from_micros(1) > sent);
    assert!(answered <= clock());
}

/// The system's clock on a machine that can be suspended for a while.
#[derive(Default)]
struct SuspendedClock {
    suspended_micros: AtomicU64,
}

impl ClockSource for SuspendedClock {
    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn since_boot(&self) -> Duration {
        let suspended = self.suspended_micros.load(Ordering::Relaxed);
        SystemClock.since_boot() + Duration::from_micros(suspended)
    }
}

/// Guards against an owner whose machine was suspended, and whose timers count only the time in which it ran.
#[actix_rt::test]
async fn a_suspension_of_the_owner_counts_as_time_of_the_lease() {
    let owner_clock = Arc::new(SuspendedClock::default());
    let (_platform, owner, link) = owner_with_clock(millis(3_000), owner_clock.clone()).await;
    let sent = Instant::now();
    let suspension = async {
        actix_rt::time::sleep(millis(50)).await;
        owner_clock
            .suspended_micros
            .store(390_000, Ordering::Relaxed);
    };
    let call = call(1, clock());
    let (outcome, ()) = futures::future::join(link.run(&call), suspension).await;
    let took = sent.elapsed();
    assert_eq!(outcome, Ok(JobOutcome::GivenUp), "{}", owner.log_lines());
    assert!(took < millis(250), "{took:?}");
}

/// Starts a node in a data centre of its own, with or without a worker.
async fn start_centre(
    platform: &Platform,
    centre: &str,
    worker: Option<&WorkerStandIn>,
) -> NodeProcess {
    if let Some(worker) = worker {
        let entry = worker.entry("svc", centre, "ready");
        platform.store.put("servers", "i-far", &entry);
    }
    let settings = NodeSettings {
        data_centre: centre.parse().unwrap(),
        ..platform.node_settings(&format!("vm-{centre}"))
    };
    platform.start_node(settings).await
}

/// Guards against a lease that ends although the entry lives and waits, so that long jobs in other data centres fail.
#[actix_rt::test]
async fn a_long_job_at_a_remote_owner_completes() {
    let platform = Platform::start(0, Duration::ZERO).await;
    let plan = WorkerPlan {
        id: "i-far".to_owned(),
        run_time: millis(1_500),
        ..WorkerPlan::default()
    };
    let worker = WorkerStandIn::start(plan).await;
    let owner = start_centre(&platform, "west", Some(&worker)).await;
    let entry = start_centre(&platform, "north", None).await;
    let (status, _) = post_job(&entry, "5c0e7a21d94b36fb", &job(1, 1_500)).await;
    assert_eq!(status, 200, "{}\n{}", entry.log_lines(), owner.log_lines());
    assert!(owner.log_lines().contains("job_call_arrived"));
}
