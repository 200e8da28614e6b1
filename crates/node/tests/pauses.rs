//! Processes that stood still: frozen, or on a suspended machine. Their customers run their jobs elsewhere by then.

mod support;

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{channel, Sender},
        Arc,
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use kernel::{ClockSource, SystemClock};
use platform_stand_ins::{WorkerPlan, WorkerStandIn};
use settings::NodeSettings;
use support::{job, post_job, spawn_post_job, Platform, HOST};

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
    let named = r#""event":"job_held_up","job":"5c0e7a21d94b3702""#;
    assert!(log.contains(named), "the refusal has no line: {log}");
}

/// Guards against refusing new customers for longer than it takes to read what waited.
#[actix_rt::test]
async fn a_suspended_entry_soon_serves_again() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let clock = Arc::new(SuspendableClock::default());
    let settings = platform.node_settings("vm-1");
    let node = platform.start_node_on(settings, clock.clone()).await;
    sleep_ms(300).await;
    clock.suspend(PAUSE);
    let woken = Instant::now();
    let mut refused = 0;
    while post_job(&node, "5c0e7a21d94b3704", &job(1, 10)).await.0 != 200 {
        refused += 1;
        sleep_ms(5).await;
    }
    let took = woken.elapsed();
    assert!(refused > 0, "{}", node.log_lines());
    assert!(took < Duration::from_millis(450), "{took:?}");
}

/// Sends a job, reports that, and returns the head of the answer.
fn post_blocking(mut stream: TcpStream, id: u32, sent: &Sender<()>) -> String {
    let body = job(1, 50).to_string();
    let length = body.len();
    let head = format!("POST /hold/5c0e7a21d94c{id:04x} HTTP/1.1\r\nHost: {HOST}\r\n");
    let text = format!("{head}X-Deadline-Ms: 4000\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).unwrap();
    sent.send(()).unwrap();
    let limit = Some(Duration::from_secs(5));
    stream.set_read_timeout(limit).unwrap();
    let mut answer = [0; 1_024];
    let length = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).to_lowercase()
}

/// Guards against taking jobs for new that waited in the accept queue or in sockets while the process was frozen.
#[actix_rt::test]
async fn a_frozen_entry_refuses_the_jobs_that_waited() {
    let platform = Platform::start(2, Duration::from_millis(50)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    let address = node.customer_address();
    let connect = move || TcpStream::connect(address).unwrap();
    let open: Vec<TcpStream> = (0..20).map(|_| connect()).collect();
    sleep_ms(300).await;
    // From here the process does not run until all have sent their jobs and the pause is over.
    let (sent, all_sent) = channel();
    let streams = open.into_iter().map(Some).chain((0..20).map(|_| None));
    let mut customers = Vec::new();
    for (id, stream) in (0..).zip(streams) {
        let sent = sent.clone();
        customers.push(std::thread::spawn(move || {
            post_blocking(stream.unwrap_or_else(connect), id, &sent)
        }));
    }
    assert_eq!(all_sent.iter().take(40).count(), 40);
    std::thread::sleep(PAUSE);
    wait_until(|| customers.iter().all(JoinHandle::is_finished)).await;
    for customer in customers {
        let answer = customer.join().unwrap();
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after: 1"), "{answer}");
    }
    let runs: usize = platform.workers.iter().map(|w| w.runs().len()).sum();
    let log = node.log_lines();
    let refusals = log.lines().filter(|line| line.contains("request_refused"));
    let refusals = refusals.filter(|line| line.contains("process_paused"));
    assert_eq!((runs, refusals.count()), (0, 40), "{log}");
    sleep_ms(1_000).await;
    let answer = post_job(&node, "5c0e7a21d94b3703", &job(1, 50)).await;
    assert_eq!(answer.0, 200, "{}", node.log_lines());
}
