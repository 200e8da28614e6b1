//! Attempts at one job whose customer has left the first one unheard and submits the job again after its pause.

mod support;

use std::{
    io::Write as _,
    net::TcpStream,
    time::{Duration, Instant},
};

use model::Mechanism;
use node::NodeProcess;
use platform_stand_ins::{RunRecord, StoreFault, WorkerStandIn};
use serde_json::{json, Value};
use settings::NodeSettings;
use support::{job, post_job, spawn_post_job, Platform, HOST};

const JOB: &str = "5c0e7a21d94b3c01";

/// How long customers wait before they submit a job again, by default.
const CUSTOMER_RETRY: Duration = Duration::from_millis(1_300);

/// An estimate of which the job may outlast the customer's pause.
const LONG_ESTIMATE_MS: u64 = 900;

/// An estimate below 0.4 of the pause, so that the attempt is not registered.
const SHORT_ESTIMATE_MS: u64 = 300;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

async fn sleep_ms(time: u64) {
    actix_rt::time::sleep(millis(time)).await;
}

/// A deployment with a node and a worker in each data centre.
struct Deployment {
    platform: Platform,
    nodes: Vec<NodeProcess>,
}

impl Deployment {
    async fn start(centres: &[&str], run_time: Duration) -> Self {
        let mut platform = Platform::start(0, run_time).await;
        let mut nodes = Vec::new();
        for centre in centres {
            platform.add_worker(centre, run_time).await;
            let settings = NodeSettings {
                data_centre: centre.parse().unwrap(),
                // Runs last far longer than their estimates.
                switched_off: vec![Mechanism::StallStop],
                ..platform.node_settings(&format!("vm-{centre}"))
            };
            nodes.push(platform.start_node(settings).await);
        }
        let deployment = Self { platform, nodes };
        for node in &deployment.nodes {
            deployment.wait_for_line(node, "pool_taken").await;
            deployment.wait_for_line(node, "worker_answers").await;
            if deployment.nodes.len() > 1 {
                deployment.wait_for_line(node, "link_opened").await;
            }
        }
        // The leases of a former owner, of which a new one cannot know, are over by then.
        sleep_ms(900).await;
        deployment
    }

    async fn wait_for_line(&self, node: &NodeProcess, event: &str) {
        for _ in 0..800 {
            if node.log_lines().contains(event) {
                return;
            }
            sleep_ms(10).await;
        }
        panic!("no {event}: {}", node.log_lines());
    }

    /// The runs on all workers, in the order of their beginning.
    fn runs(&self) -> Vec<RunRecord> {
        let workers = self.platform.workers.iter();
        let mut runs: Vec<RunRecord> = workers.flat_map(WorkerStandIn::runs).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }

    fn registrations(&self) -> usize {
        self.platform.store.keys("attempts").len()
    }

    fn logs(&self) -> String {
        self.nodes.iter().map(NodeProcess::log_lines).collect()
    }
}

/// Guards against stopping a long job at the end of the customer's pause although the store answers, and against
/// registrations that are left in the store.
#[actix_rt::test]
async fn a_registered_job_outlasts_the_pause() {
    let deployment = Deployment::start(&["east"], millis(1_600)).await;
    let answer = spawn_post_job(&deployment.nodes[0], JOB, job(1, LONG_ESTIMATE_MS));
    sleep_ms(1_400).await;
    assert_eq!(deployment.registrations(), 1, "{}", deployment.logs());
    let (status, _) = answer.await.unwrap();
    assert_eq!(status, 200, "{}", deployment.logs());
    sleep_ms(400).await;
    assert_eq!(deployment.registrations(), 0, "{}", deployment.logs());
}

/// Guards against running on beside the customer's next attempt when the attempt could not be registered, and against
/// refusing long jobs while the store is away.
#[actix_rt::test]
async fn a_long_job_is_stopped_in_time_while_the_store_is_silent() {
    let deployment = Deployment::start(&["east", "west"], millis(2_500)).await;
    deployment.platform.store.set_fault(StoreFault::Silent);
    let sent = Instant::now();
    let (status, _) = post_job(&deployment.nodes[0], JOB, &job(1, LONG_ESTIMATE_MS)).await;
    let log = deployment.logs();
    assert_eq!(status, 504, "{log}");
    assert!(log.contains(r#""event":"owners_asked""#), "{log}");
    sleep_ms(100).await;
    let runs = deployment.runs();
    assert_eq!(runs.len(), 1, "{log}");
    let (ended, _) = runs[0].ended.expect("the run is stopped");
    assert!(ended < sent + CUSTOMER_RETRY, "{:?}", ended - sent);
}

/// Guards against parts of one attempt that take each other for another attempt while the store is silent, so that every
/// divided long job fails.
#[actix_rt::test]
async fn a_divided_long_job_completes_while_the_store_is_silent() {
    let deployment = Deployment::start(&["east", "west"], millis(600)).await;
    deployment.platform.store.set_fault(StoreFault::Silent);
    let (status, _) = post_job(&deployment.nodes[0], JOB, &job(4, LONG_ESTIMATE_MS)).await;
    let log = deployment.logs();
    assert_eq!(status, 200, "{log}");
    assert!(log.contains(r#""event":"owners_asked""#), "{log}");
    let workers = deployment.platform.workers.iter();
    let runs: Vec<usize> = workers.map(|worker| worker.runs().len()).collect();
    assert_eq!(runs, [2, 2], "{log}");
}

/// Guards against an owner that starts the customer's next attempt while the store is silent, although another owner
/// still has runs of the former one.
#[actix_rt::test]
async fn an_attempt_that_another_owner_has_is_found_while_the_store_is_silent() {
    let deployment = Deployment::start(&["east", "west"], millis(2_500)).await;
    let first = spawn_post_job(&deployment.nodes[0], JOB, job(1, LONG_ESTIMATE_MS));
    sleep_ms(1_200).await;
    assert_eq!(deployment.registrations(), 1, "{}", deployment.logs());
    deployment.platform.store.set_fault(StoreFault::Silent);
    sleep_ms(100).await;
    let (status, _) = post_job(&deployment.nodes[1], JOB, &job(1, LONG_ESTIMATE_MS)).await;
    let log = deployment.nodes[1].log_lines();
    assert_eq!(status, 504, "{log}");
    assert!(log.contains(r#""event":"owners_asked""#), "{log}");
    let west = &deployment.platform.workers[1];
    assert_eq!(west.runs(), Vec::new(), "{log}");
    drop(first);
}

/// Guards against two runs of a task in two data centres after a break that the first entry does not hear.
#[actix_rt::test]
async fn the_next_attempt_starts_after_the_runs_of_an_unheard_one() {
    let deployment = Deployment::start(&["east", "west"], millis(2_000)).await;
    let first = spawn_post_job(&deployment.nodes[0], JOB, job(1, LONG_ESTIMATE_MS));
    let mut status = 0;
    for _ in 0..4 {
        actix_rt::time::sleep(CUSTOMER_RETRY).await;
        let body = job(1, LONG_ESTIMATE_MS);
        status = post_job(&deployment.nodes[1], JOB, &body).await.0;
        if status == 200 {
            break;
        }
    }
    let log = deployment.logs();
    assert_eq!(status, 200, "{log}");
    assert_eq!(first.await.unwrap().0, 200, "{log}");
    let runs = deployment.runs();
    assert!(runs.len() > 1, "the second attempt ran nothing: {log}");
    for pair in runs.windows(2) {
        let (ended, _) = pair[0].ended.expect("the former run has ended");
        assert!(ended <= pair[1].began, "{pair:?} {log}");
    }
}

/// Sends a job over a connection of its own, without reading the answer.
fn send_job(node: &NodeProcess, body: &Value) -> TcpStream {
    let body = body.to_string();
    let head = format!(
        "POST /hold/{JOB} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 6000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(node.customer_address()).unwrap();
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .unwrap();
    stream
}

/// Guards against counting an attempt's time from when its request was read, after the process stood still for less than
/// a pause.
#[actix_rt::test]
async fn the_time_that_a_request_waited_in_its_socket_counts() {
    let deployment = Deployment::start(&["east"], millis(3_000)).await;
    let sent = Instant::now();
    let stream = send_job(&deployment.nodes[0], &job(1, SHORT_ESTIMATE_MS));
    // The node is on this thread.
    std::thread::sleep(millis(400));
    sleep_ms(1_600).await;
    let runs = deployment.runs();
    assert_eq!(runs.len(), 1, "{}", deployment.logs());
    let (ended, _) = runs[0].ended.expect("the run is stopped");
    let took = ended - sent;
    assert!(took < CUSTOMER_RETRY, "{took:?} {}", deployment.logs());
    drop(stream);
}

/// Guards against rows of lost processes that pile up in the store.
#[actix_rt::test]
async fn registrations_of_a_lost_process_are_swept() {
    let platform = Platform::start(1, millis(50)).await;
    for partition in 0..8 {
        let key = format!("{partition:016x}.vm-gone.1.0");
        let row = json!({ "until_ms": 50_000, "pool": "east/0", "fence": 1 });
        let part = format!("p{partition}");
        platform.store.put_in("attempts", &part, &key, &row);
    }
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    for _ in 0..100 {
        if platform.store.keys("attempts").is_empty() {
            break;
        }
        sleep_ms(100).await;
    }
    let left = platform.store.keys("attempts");
    assert_eq!(left, Vec::<String>::new(), "{}", node.log_lines());
    assert!(node.log_lines().contains("registrations_swept"));
}

/// Guards against registrations whose answers were lost and that therefore stay in the store for good.
#[actix_rt::test]
async fn a_registration_without_an_answer_is_removed() {
    let deployment = Deployment::start(&["east"], millis(1_900)).await;
    let store = &deployment.platform.store;
    let answer = spawn_post_job(&deployment.nodes[0], JOB, job(1, LONG_ESTIMATE_MS));
    sleep_ms(250).await;
    store.set_fault(StoreFault::WriteAnswersLost);
    let (status, _) = answer.await.unwrap();
    store.set_fault(StoreFault::None);
    assert_eq!(status, 504, "{}", deployment.logs());
    assert!(deployment.registrations() > 0, "{}", deployment.logs());
    sleep_ms(6_500).await;
    assert_eq!(deployment.registrations(), 0, "{}", deployment.logs());
}
