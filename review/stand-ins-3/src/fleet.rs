//! Nodes as separate processes, with the stand-ins of the platform.

use std::{
    cell::RefCell,
    error::Error,
    fs::{self, File},
    io::{self, Write as _},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::{task::JoinHandle, time::sleep};
use platform_stand_ins::{StoreStandIn, WorkerPlan, WorkerStandIn};
use serde_json::{json, Value};

use crate::{
    http::{self, Answer},
    record::Record,
};

/// The host of all queues, and the path prefix of the first.
pub(crate) const HOST: &str = "hall.example";
pub(crate) const PREFIX: &str = "/hold/";

/// The service of the first queue.
pub(crate) const SERVICE: &str = "svc";

/// The path prefix of the second queue, and its service.
pub(crate) const SECOND_PREFIX: &str = "/offer/";
pub(crate) const SECOND_SERVICE: &str = "svc-2";

/// How many failed runs of a task the queues allow.
const ATTEMPTS: u32 = 3;

/// How long nodes may take until they are ready, and how long the fleet then settles before the traffic starts. On the
/// users' platform the traffic starts 10 s after the machines do.
const READY_LIMIT: Duration = Duration::from_secs(10);
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// The file in the temporary folder that lists the processes that were started.
const PROCESS_LIST: &str = "processes";

/// A worker with its id.
pub(crate) type NamedWorker = (String, WorkerStandIn);

/// A node process. It is killed when dropped.
pub(crate) struct Node {
    pub(crate) customers: SocketAddr,
    ready: SocketAddr,
    dir: PathBuf,
    name: String,
    child: Option<Child>,
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

/// Finds different ports that are free for TCP and UDP.
fn free_addresses<const COUNT: usize>(ip: [u8; 4]) -> io::Result<[SocketAddr; COUNT]> {
    let mut found = [SocketAddr::from((ip, 0)); COUNT];
    let mut held = Vec::new();
    while held.len() < COUNT {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
        let address = listener.local_addr()?;
        if let Ok(socket) = UdpSocket::bind(address) {
            found[held.len()] = address;
            held.push((listener, socket));
        }
    }
    Ok(found)
}

impl Node {
    /// Writes the settings of a node as the project's template does for a machine of a small deployment.
    pub(crate) fn new(dir: &Path, number: u8, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let ip = [127, 0, 68, number + 1];
        let name = format!("edge-{zone}-{}", number + 1);
        let [customers, ready, peers] = free_addresses(ip)?;
        let settings = json!({
            "vm": name,
            "data_centre": zone,
            "customer_listen": customers.to_string(),
            "ready_listen": ready.to_string(),
            "peer_listen": peers.to_string(),
            "store": store.to_string(),
            "stop_grace_s": 6,
            "longest_lease_ms": 1000,
            "customer_retry_ms": 1300,
            "config_limit_ms": 2000,
            "far_factor": 2,
            "cores": 0.25,
            "link_mbps": 1000.0,
            "memory_mb": 260,
            "max_descriptors": 4100,
            "load": {"placement": "expected_end", "sharing": "max_min"},
            "orders": "call",
        });
        fs::write(dir.join(format!("{name}.json")), settings.to_string())?;
        Ok(Self {
            customers,
            ready,
            dir: dir.to_owned(),
            name,
            child: None,
        })
    }

    /// Starts the process with the command of the deploy file.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        let log = File::create(self.dir.join(format!("{}.log", self.name)))?;
        let mut command = Command::new("target/release/cairnpaddle");
        command.args(["node", "--settings"]);
        command.arg(self.dir.join(format!("{}.json", self.name)));
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        let list = self.dir.join(PROCESS_LIST);
        let mut list = File::options().create(true).append(true).open(list)?;
        writeln!(list, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the node is ready.
    async fn wait_ready(&self) -> Result<(), Box<dyn Error>> {
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            let patience = Duration::from_secs(1);
            let answer = http::send(self.ready, "GET", "/-/readyz", "", patience).await;
            if matches!(answer, Some((200, _))) {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(format!("{} is not ready", self.name).into())
    }
}

/// Says that no process of the case is left.
pub(crate) fn clear_process_list(dir: &Path) {
    let _removed = fs::remove_file(dir.join(PROCESS_LIST));
}

/// Starts nodes and waits until they are ready and have settled.
pub(crate) async fn start_nodes(nodes: &mut [Node]) -> Result<(), Box<dyn Error>> {
    for node in nodes.iter_mut() {
        node.start()?;
    }
    for node in nodes.iter() {
        node.wait_ready().await?;
    }
    sleep(SETTLING_TIME).await;
    Ok(())
}

/// Starts a store with a configuration of two queues, each with a service of its own.
pub(crate) async fn start_store() -> StoreStandIn {
    let store = StoreStandIn::start().await;
    store.put("op", "config", &config());
    store
}

fn config() -> Value {
    let queue = |name: &str, prefix: &str, service: &str| {
        json!({
            "Name": name, "Host": HOST, "Prefix": prefix, "Kind": "non_idempotent",
            "TimeoutMs": 60_000, "GoalMs": 60, "Priority": 0, "Service": service,
            "Attempts": ATTEMPTS, "Stretch": 1.6,
        })
    };
    let service = |name: &str| json!({ "Name": name, "HealthPath": "/healthz", "MaxConns": 64, "AdmissionCheck": false });
    json!({
        "Version": 3,
        "Routes": [queue("r-1", PREFIX, SERVICE), queue("r-2", SECOND_PREFIX, SECOND_SERVICE)],
        "Services": [service(SERVICE), service(SECOND_SERVICE)],
        "Limits": { "MaxBodyBytes": 262_144 },
    })
}

/// Starts workers of a service in a zone and rack, each of 16 cores and 32 GB, and lists them in the store.
pub(crate) async fn start_workers(
    store: &StoreStandIn,
    service: &str,
    zone: &str,
    rack: &str,
    count: usize,
) -> Vec<NamedWorker> {
    let mut workers = Vec::new();
    for _ in 0..count {
        let id = format!("i-{:08x}", fastrand::u32(..));
        let plan = WorkerPlan {
            id: id.clone(),
            initial_clock_ms: fastrand::u64(100_000..900_000),
            ..WorkerPlan::default()
        };
        let worker = WorkerStandIn::start(plan).await;
        let mut entry = worker.entry(service, zone, "ready");
        entry["Labels"] = json!(["a", rack]);
        store.put("servers", &id, &entry);
        workers.push((id, worker));
    }
    workers
}

/// A job's id, as a customer chooses it.
pub(crate) fn new_job_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// The ids of kept jobs whose POST was answered with 2xx.
pub(crate) type AcceptedJobs = Rc<RefCell<Vec<String>>>;

/// Hands a job in, once, and records the answer.
pub(crate) fn hand_in(
    record: &Record,
    customers: SocketAddr,
    path: &str,
    body: &Value,
    patience: Duration,
) -> JoinHandle<Answer> {
    let (record, path, body) = (record.clone(), path.to_owned(), body.to_string());
    record.add_body(&body);
    record.add(format!("POST {path} sent to {customers}"));
    actix_rt::spawn(async move {
        let answer = http::send(customers, "POST", &path, &body, patience).await;
        record.add(format!("POST {path} answered: {answer:?}"));
        answer
    })
}

/// Hands a kept job in and notes whether it was accepted.
pub(crate) fn hand_in_kept(
    record: &Record,
    customers: SocketAddr,
    accepted: &AcceptedJobs,
    body: &Value,
    patience: Duration,
) {
    let id = new_job_id();
    let path = format!("{PREFIX}{id}");
    let submission = hand_in(record, customers, &path, body, patience);
    let accepted = accepted.clone();
    actix_rt::spawn(async move {
        if matches!(submission.await, Ok(Some((200..=299, _)))) {
            accepted.borrow_mut().push(id);
        }
    });
}

/// Asks for the state of each job and records the answers.
pub(crate) async fn ask_states(record: &Record, customers: SocketAddr, accepted: &AcceptedJobs) {
    let ids = accepted.borrow().clone();
    for id in ids {
        let path = format!("{PREFIX}{id}");
        let answer = http::send(customers, "GET", &path, "", Duration::from_secs(2)).await;
        record.add(format!("GET {path} answered: {answer:?}"));
    }
}
