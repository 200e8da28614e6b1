//! Clients of a node that do not behave.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use platform_stand_ins::{
    config_row, job_body, says_failed, timed_job_body, RoutePlan, StoreStandIn, WorkerPlan,
    WorkerStandIn,
};
use serde_json::{json, Value};

use crate::{
    crowd::{chunked_request, chunks, questions, sized_request, Crowd},
    process::{
        wait_until, TestProcess, CONTROL_MEMORY, FEW_DESCRIPTORS, SMALLEST_DESCRIPTORS,
        SMALLEST_MEMORY,
    },
    TURN,
};

const HOST: &str = "clients.example";

/// The longest body that the configuration allows, in bytes.
const MAX_BODY: usize = 262_144;

/// The length of a large body, in bytes.
const LARGE_BODY: usize = 250 * 1_024;

/// The clients of a crowd that sends large bodies.
const CROWD: usize = 600;

/// The clients of a crowd whose requests take many times their length in the process.
const DENSE_CROWD: usize = 1_500;

/// The clients of a crowd that sends many requests each and reads no answers.
const SILENT_READERS: usize = 60;

/// The clients of a crowd that exceeds [`FEW_DESCRIPTORS`].
const MANY_CONNECTIONS: usize = 400;

/// How often an ordinary customer tries.
const MAX_TRIES: usize = 60;

/// Each whole body is in the process at once, and freed memory stays with it.
#[actix_rt::test]
async fn whole_large_bodies() {
    let body = padded_job(LARGE_BODY);
    let mut sent = sized_request("/hold/5c0e7a21d94b36f8", HOST, body.len());
    sent.extend_from_slice(&body);
    check_customers(CROWD, vec![sent]).await;
}

/// A body without its last byte is held for as long as its client likes.
#[actix_rt::test]
async fn large_bodies_without_their_last_byte() {
    check_customers(CROWD, unfinished_body(LARGE_BODY)).await;
}

/// What a crowd took stays with the process, and a second crowd takes as much on top of it.
#[actix_rt::test]
async fn memory_is_returned_when_a_crowd_has_left() {
    let _turn = TURN.lock().await;
    let testbed = NodeTestbed::start(SMALLEST_DESCRIPTORS).await;
    for _ in 0..2 {
        let crowd = Crowd::send(testbed.customers, CROWD, unfinished_body(LARGE_BODY)).await;
        testbed.process.settle().await;
        drop(crowd);
        testbed.serve_ordinary_job("after the crowd").await;
        wait_until("the memory is returned", || async {
            testbed.process.resident_memory() < CONTROL_MEMORY
        })
        .await;
    }
}

/// As above, in pieces that arrive one after the other.
#[actix_rt::test]
async fn large_bodies_in_pieces_without_an_end() {
    let whole = unfinished_body(LARGE_BODY).concat();
    let pieces = whole.chunks(8 * 1_024).map(<[u8]>::to_vec).collect();
    check_customers(CROWD, pieces).await;
}

/// A body in chunks does not state its length, and grows until its client stops.
#[actix_rt::test]
async fn large_chunks_without_an_end() {
    let body = padded_job(LARGE_BODY);
    let sent = [
        chunked_request("/hold/5c0e7a21d94b36f8", HOST),
        chunks(&body, 64 * 1_024),
    ];
    check_customers(CROWD, vec![sent.concat()]).await;
}

/// What a chunk of one byte takes in the process is many times its length.
#[actix_rt::test]
async fn chunks_of_one_byte_without_an_end() {
    let body = padded_job(48 * 1_024);
    let sent = [
        chunked_request("/hold/5c0e7a21d94b36f8", HOST),
        chunks(&body, 1),
    ];
    check_customers(DENSE_CROWD, vec![sent.concat()]).await;
}

/// A request behind one that still runs is read ahead, and nothing takes what was read.
#[actix_rt::test]
async fn small_chunks_behind_a_long_job() {
    let job = timed_job_body(1, 30_000).to_string().into_bytes();
    let sent = [
        sized_request("/hold/5c0e7a21d94b36f8", HOST, job.len()),
        job,
        chunked_request("/hold/5c0e7a21d94b36f9", HOST),
        chunks(&padded_job(48 * 1_024), 1),
    ];
    check_customers(DENSE_CROWD, vec![sent.concat()]).await;
}

/// A job takes several times the length of its body once it is decoded.
#[actix_rt::test]
async fn jobs_that_grow_when_they_are_decoded() {
    let step = |index: u32| {
        let after = vec![0; if index == 0 { 0 } else { 400 }];
        json!({ "Count": 1, "Cpu": 1, "MemMb": 1, "EstMs": 100, "After": after })
    };
    let steps: Vec<Value> = (0..250).map(step).collect();
    let job = json!({ "Spec": "run-ms-30000", "Ephemeral": true, "Phases": steps });
    let job = job.to_string().into_bytes();
    assert!(job.len() < MAX_BODY, "{} bytes", job.len());
    let sent = [
        sized_request("/hold/5c0e7a21d94b36f8", HOST, job.len()),
        job,
    ];
    check_customers(DENSE_CROWD, vec![sent.concat()]).await;
}

/// Answers that nobody reads pile up in the process.
#[actix_rt::test]
async fn answers_that_are_never_read() {
    let sent = questions("/unknown", HOST, 40_000);
    check_customers(SILENT_READERS, vec![sent]).await;
}

/// The same on the listener of the readiness check, whose answers are longer.
#[actix_rt::test]
async fn metrics_that_are_never_read() {
    let sent = questions("/metrics", HOST, 2_000);
    check(
        Listener::Ready,
        SMALLEST_DESCRIPTORS,
        SILENT_READERS,
        vec![sent],
    )
    .await;
}

/// Connections take all descriptors, and none is left for the store, workers and other nodes.
#[actix_rt::test]
async fn more_idle_connections_than_descriptors() {
    check(
        Listener::Customers,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        Vec::new(),
    )
    .await;
}

/// Requests that are carried out for long take all connections, and none of these gives way.
#[actix_rt::test]
async fn more_long_jobs_than_connections() {
    let job = timed_job_body(1, 30_000).to_string().into_bytes();
    let sent = [
        sized_request("/hold/5c0e7a21d94b36f8", HOST, job.len()),
        job,
    ];
    check(
        Listener::Customers,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        vec![sent.concat()],
    )
    .await;
}

/// Heads that never end take all descriptors, as idle connections do.
#[actix_rt::test]
async fn more_endless_heads_than_descriptors() {
    let head = format!("POST /hold/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: {HOST}\r\nX-Pad: ");
    check(
        Listener::Customers,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        vec![head.into_bytes()],
    )
    .await;
}

/// Connections to the listener of the readiness check take all descriptors, too.
#[actix_rt::test]
async fn more_connections_to_the_readiness_check_than_descriptors() {
    check(
        Listener::Ready,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        Vec::new(),
    )
    .await;
}

async fn check_customers(count: usize, pieces: Vec<Vec<u8>>) {
    check(Listener::Customers, SMALLEST_DESCRIPTORS, count, pieces).await;
}

/// The listener that a crowd connects to.
#[derive(Clone, Copy)]
enum Listener {
    Customers,
    Ready,
}

async fn check(listener: Listener, descriptors: u64, count: usize, pieces: Vec<Vec<u8>>) {
    let _turn = TURN.lock().await;
    let mut testbed = NodeTestbed::start(descriptors).await;
    testbed.serve_ordinary_job("before the crowd").await;
    let address = match listener {
        Listener::Customers => testbed.customers,
        Listener::Ready => testbed.ready,
    };
    let crowd = Crowd::send(address, count, pieces).await;
    testbed.process.settle().await;
    testbed.process.check_usage(SMALLEST_MEMORY);
    testbed.serve_ordinary_job("beside the crowd").await;
    drop(crowd);
    testbed.serve_ordinary_job("after the crowd").await;
    testbed.process.check_usage(SMALLEST_MEMORY);
}

/// One node with its store and workers.
struct NodeTestbed {
    process: TestProcess,
    customers: SocketAddr,
    ready: SocketAddr,
    _store: StoreStandIn,
    _workers: Vec<WorkerStandIn>,
}

impl NodeTestbed {
    async fn start(descriptors: u64) -> Self {
        let store = StoreStandIn::start().await;
        let route = RoutePlan {
            name: "r-1".to_owned(),
            host: HOST.to_owned(),
            prefix: "/hold/".to_owned(),
            service: "svc".to_owned(),
        };
        let mut config = config_row(1, &[route]);
        config["Limits"] = json!({
            "MaxBodyBytes": MAX_BODY, "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000,
        });
        store.put("op", "config", &config);
        let mut workers = Vec::new();
        for number in 0..4 {
            let id = format!("i-{number}");
            let plan = WorkerPlan {
                id: id.clone(),
                ..WorkerPlan::default()
            };
            let worker = WorkerStandIn::start(plan).await;
            store.put("servers", &id, &worker.entry("svc", "east", "ready"));
            workers.push(worker);
        }
        let [customers, ready, peers] = free_addresses();
        let settings = json!({
            "vm": "node-1", "data_centre": "east", "customer_listen": customers,
            "ready_listen": ready, "peer_listen": peers, "store": store.address(),
        });
        let process = TestProcess::start("node", &settings, descriptors);
        let testbed = Self {
            process,
            customers,
            ready,
            _store: store,
            _workers: workers,
        };
        let url = format!("http://{ready}/-/readyz");
        wait_until("the node is ready", || async {
            let answer = Client::default().get(&url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
        testbed
    }

    /// Submits a job as an ordinary customer does, who comes again after a refusal or a broken connection.
    async fn serve_ordinary_job(&self, when: &str) {
        let mut last = None;
        for attempt in 0..MAX_TRIES {
            last = self.submit(attempt).await;
            if last == Some(200) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(250)).await;
        }
        panic!(
            "no ordinary job is served {when}: {last:?}\n{}",
            self.process.log_end()
        );
    }

    async fn submit(&self, attempt: usize) -> Option<u16> {
        let url = format!(
            "http://{}/hold/{:016x}",
            self.customers,
            fastrand::u64(..) ^ attempt as u64
        );
        let request = Client::default()
            .post(url)
            .insert_header(("Host", HOST))
            .insert_header(("X-Deadline-Ms", "4000"))
            .timeout(Duration::from_secs(5));
        let mut answer = request.send_body(job_body(1, 50).to_string()).await.ok()?;
        let body = answer.body().await.ok()?;
        assert!(!says_failed(&body), "a job has failed: {body:?}");
        Some(answer.status().as_u16())
    }
}

/// Addresses whose ports are free for TCP and UDP.
fn free_addresses() -> [SocketAddr; 3] {
    [8_161, 8_167, 7_720].map(|port| {
        let run = std::process::id();
        // The casts keep the lowest byte on purpose.
        let (high, low) = ((run >> 8) as u8, run as u8);
        SocketAddr::from(([127, high.max(1), low, 200], port))
    })
}

/// A job of one short task, padded with blanks.
fn padded_job(length: usize) -> Vec<u8> {
    let mut body = job_body(1, 50).to_string().into_bytes();
    body.resize(length, b' ');
    body
}

/// A request whose body lacks its last byte.
fn unfinished_body(length: usize) -> Vec<Vec<u8>> {
    let mut body = padded_job(length);
    body.pop();
    vec![sized_request("/hold/5c0e7a21d94b36f8", HOST, length), body]
}
