//! An owner that stands still for less than a pause, and a worker that hears everything but stops.

mod support;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{channel, Sender},
        Arc,
    },
    time::{Duration, Instant},
};

use kernel::{ClockSource as _, SystemClock};
use platform_stand_ins::{RunRecord, WorkerPlan, WorkerStandIn};
use serde_json::Value;
use support::{job_call, start_node_with_clock, Platform, CENTRE};

/// How long a customer waits before it submits its job again.
const CUSTOMER_RETRY: Duration = Duration::from_millis(1_300);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Starts a worker on a thread of its own, which goes on while the owner stalls. Returns its entry, and a way to ask for
/// its runs.
fn start_worker() -> (Value, Sender<Sender<Vec<RunRecord>>>) {
    let (entry_sender, entry) = channel();
    let (ask, asked) = channel::<Sender<Vec<RunRecord>>>();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let plan = WorkerPlan {
                id: "i-0".to_owned(),
                run_time: millis(4_000),
                ..WorkerPlan::default()
            };
            let worker = WorkerStandIn::start(plan).await;
            let entry = worker.entry("svc", CENTRE, "ready");
            entry_sender.send(entry).unwrap();
            loop {
                actix_rt::time::sleep(millis(5)).await;
                if let Ok(answer) = asked.try_recv() {
                    answer.send(worker.runs()).unwrap();
                }
            }
        });
    });
    (entry.recv().unwrap(), ask)
}

/// Starts a proxy that swallows stops and counts polls.
fn start_proxy(target: SocketAddr, polls: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || loop {
        let (client, _) = listener.accept().unwrap();
        let server = TcpStream::connect(target).unwrap();
        client.set_nodelay(true).unwrap();
        server.set_nodelay(true).unwrap();
        let (back, answers) = (client.try_clone().unwrap(), server.try_clone().unwrap());
        let polls = polls.clone();
        let is_passed = move |text: &str| {
            polls.fetch_add(usize::from(text.contains("/-/hold")), Ordering::SeqCst);
            !text.contains("/-/run-stop")
        };
        std::thread::spawn(move || pump(client, server, is_passed));
        std::thread::spawn(move || pump(answers, back, |_| true));
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_passed: impl Fn(&str) -> bool) {
    let mut buffer = [0; 65_536];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        let bytes = &buffer[..length];
        if is_passed(&String::from_utf8_lossy(bytes)) && to.write_all(bytes).is_err() {
            break;
        }
    }
    let _closed = to.shutdown(std::net::Shutdown::Both);
}

/// Guards against a poll that an owner sends after a short stall, before it looks at the leases of attempts: it renews
/// the run of an ended attempt, beside the customer's next one.
#[actix_rt::test]
async fn a_poll_answered_during_a_stall_renews_no_ended_attempt() {
    let (mut entry, ask) = start_worker();
    let polls = Arc::new(AtomicUsize::new(0));
    let target = entry["Addr"].as_str().unwrap().parse().unwrap();
    entry["Addr"] = start_proxy(target, polls.clone()).to_string().into();
    let platform = Platform::start(0, Duration::ZERO).await;
    platform.store.put("servers", "i-0", &entry);
    let owner = start_node_with_clock(platform.node_settings("vm-o"), Arc::new(SystemClock)).await;
    for _ in 0..300 {
        if owner.log_lines().contains("worker_answers") {
            break;
        }
        actix_rt::time::sleep(millis(10)).await;
    }
    let link = peer::connect_pool(owner.peer_address(), Arc::default(), || ()).await;
    let link = link.unwrap();
    let call = job_call(1, millis(3_500), millis(15_000), SystemClock.since_boot());
    let run = link.run(&call);
    let stall = async {
        actix_rt::time::sleep(millis(80)).await;
        let confirmed = Instant::now();
        link.renew(SystemClock.since_boot()).await.unwrap();
        actix_rt::time::sleep(millis(320)).await;
        // The entry is lost. The stall begins with a poll at the worker, and ends after the end of the attempt's lease.
        let seen = polls.load(Ordering::SeqCst);
        while polls.load(Ordering::SeqCst) == seen {
            actix_rt::time::sleep(millis(1)).await;
        }
        std::thread::sleep(millis(300));
        confirmed
    };
    let (_, confirmed) = futures::future::join(run, stall).await;
    actix_rt::time::sleep(millis(1_800)).await;
    let (sender, runs) = channel();
    ask.send(sender).unwrap();
    let runs = runs.recv().unwrap();
    let (ended, _) = runs[0].ended.expect("the run has ended");
    let alive = ended - confirmed;
    assert!(alive < CUSTOMER_RETRY, "alive for {alive:?}");
}
