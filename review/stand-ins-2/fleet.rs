//! Nodes as separate processes, with the stand-ins that they need, and a client.

use std::{
    collections::HashMap,
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http,
    json::Json,
    platform::{Store, StoreView, Worker, WorkerPlan},
    record::Record,
};

/// The host of all queues.
pub const HOST: &str = "jobs.example";

extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// A queue of the configuration.
pub struct Queue {
    pub prefix: &'static str,
    pub goal_ms: u64,
    pub attempts: u32,
    pub priority: u32,
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub store: StoreView,
    child: Option<Child>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    dir: PathBuf,
    next_job: u64,
    /// How many tasks each job has that was sent.
    task_counts: Mutex<HashMap<String, u64>>,
    /// The attempts that the queues allow.
    pub attempts: usize,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        for worker in &self.workers {
            worker.crash();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Three free ports on a loopback address of the node's own. On a shared address a port could be taken, as that of an
/// outgoing connection, before the node listens or while it is down. They are held together, so that they differ.
fn free_addresses(node: usize) -> [SocketAddr; 3] {
    let id = std::process::id();
    let address = format!("127.{}.{}.{}:0", 64 + id % 64, 1 + id / 64 % 250, node + 1);
    let listeners = [0; 3].map(|_| TcpListener::bind(&address).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

impl Node {
    fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let copy = log.try_clone().expect("a log file");
        // As `run` in deploy/system.toml, with the settings in a temporary folder.
        let mut command = Command::new("target/release/cairnpaddle");
        command.arg("node").arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(copy);
        // SAFETY: `prctl` is called with constants only. The node ends if this program does.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        self.child = command.spawn().ok();
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => false,
        }
    }

    /// The lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Fleet {
    /// Starts the store with this configuration, these executors, and a node in each of these zones.
    pub fn start(queues: &[Queue], workers: Vec<WorkerPlan>, zones: &[&str]) -> Result<Self, String> {
        let name = format!("cairnpaddle-review-2-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        if !PathBuf::from("target/release/cairnpaddle").is_file() {
            return Err("target/release/cairnpaddle is not built".to_owned());
        }
        let record = Arc::new(Record::new());
        let store = Store::start();
        store.put("op", "config", &config(1, queues));
        let workers = workers.into_iter();
        let workers = workers.map(|plan| Worker::start(plan, store.clone(), record.clone()));
        let workers: Vec<Arc<Worker>> = workers.collect();
        let mut fleet = Self {
            record,
            workers,
            nodes: Vec::new(),
            dir,
            next_job: 0x5c0e_7a21_0000_0001,
            task_counts: Mutex::default(),
            attempts: queues.iter().map(|queue| queue.attempts as usize).max().unwrap_or(1),
            store,
        };
        for (index, zone) in zones.iter().enumerate() {
            let node = fleet.new_node(index, zone)?;
            fleet.nodes.push(node);
        }
        for node in &mut fleet.nodes {
            node.start();
        }
        Ok(fleet)
    }

    fn new_node(&self, index: usize, zone: &str) -> Result<Node, String> {
        let name = format!("edge-{zone}-{}", index + 1);
        let [front, ready, peer] = free_addresses(index);
        let store = StoreView::start(&self.store);
        // platform/settings.json.template, filled with the figures of a small deployment.
        let settings = format!(
            "{{\"vm\":\"{name}\",\"data_centre\":\"{zone}\",\"customer_listen\":\"{front}\",\"ready_listen\":\"{ready}\",\"peer_listen\":\"{peer}\",\"store\":\"{}\",\"stop_grace_s\":6,\"longest_lease_ms\":1000,\"customer_retry_ms\":1300,\"config_limit_ms\":2000,\"far_factor\":2,\"cores\":0.25,\"link_mbps\":1000.0,\"load\":{{\"placement\":\"expected_end\",\"sharing\":\"max_min\"}},\"orders\":\"call\"}}",
            store.server.address
        );
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        Ok(Node {
            log: self.dir.join(format!("{name}.log")),
            name,
            front,
            settings: path,
            store,
            child: None,
        })
    }

    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index].kill();
        self.record.line(&format!("node {} is killed", self.nodes[index].name));
    }

    pub fn restart_node(&mut self, index: usize) {
        self.nodes[index].start();
        self.record.line(&format!("node {} starts again", self.nodes[index].name));
    }

    /// Waits until each zone's node has run a job of its own.
    pub fn wait_until_serving(&mut self, prefix: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(25);
        for index in 0..self.nodes.len() {
            loop {
                let id = self.new_job_id();
                let body = r#"{"Spec":"ms=20","Ephemeral":true,"Phases":[{"Count":1,"Cpu":500,"MemMb":64,"EstMs":20}]}"#;
                if let Some((200, _)) = self.post(index, prefix, &id, body, 1_200) {
                    break;
                }
                if Instant::now() > until {
                    let node = &self.nodes[index];
                    let last = node.log_lines("").pop().unwrap_or_default();
                    return Err(format!("node {} does not serve; its log ends with: {last}", node.name));
                }
                std::thread::sleep(Duration::from_millis(200));
            }
        }
        Ok(())
    }

    pub fn new_job_id(&mut self) -> String {
        self.next_job = self.next_job.wrapping_add(0x9e37_79b9_7f4a_7c15) | 1;
        format!("{:016x}", self.next_job)
    }

    fn call(&self, node: usize, method: &str, path: &str, body: &str, limit_ms: u64) -> Option<(u16, String)> {
        let limit = Duration::from_millis(limit_ms);
        let answer = http::call(self.nodes[node].front, method, path, HOST, body, limit);
        let shown = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        let name = &self.nodes[node].name;
        self.record.line(&format!("client {method} {path} at {name}: {shown}"));
        answer
    }

    pub fn post(&self, node: usize, prefix: &str, id: &str, body: &str, limit_ms: u64) -> Option<(u16, String)> {
        let phases = Json::parse(body.as_bytes());
        let counts = phases.get("Phases").list().iter().map(|phase| phase.get("Count").number().unwrap_or(0));
        self.task_counts.lock().unwrap().insert(id.to_owned(), counts.sum());
        self.call(node, "POST", &format!("{prefix}{id}"), body, limit_ms)
    }

    /// How many tasks a job has; `None` if it was not sent by [`Self::post`].
    pub fn task_count(&self, id: &str) -> Option<u64> {
        self.task_counts.lock().unwrap().get(id).copied()
    }

    /// The state of a job: `Ok(None)` if it is said not to exist, `Err` without a usable answer.
    pub fn state(&self, node: usize, prefix: &str, id: &str) -> Result<Option<String>, String> {
        match self.call(node, "GET", &format!("{prefix}{id}"), "", 1_500) {
            Some((200, body)) => Ok(Some(Json::parse(body.as_bytes()).get("State").text().to_owned())),
            Some((410, _)) => Ok(None),
            Some((status, _)) => Err(status.to_string()),
            None => Err("no answer".to_owned()),
        }
    }

    pub fn pending(&self, node: usize, prefix: &str) -> Option<u64> {
        let answer = self.call(node, "GET", prefix, "", 1_500);
        let (_, body) = answer.filter(|(status, _)| *status == 200)?;
        Json::parse(body.as_bytes()).get("Pending").number()
    }

    /// Asks for a job's state at all nodes in turn, for up to `limit`, as clients do that come again after a 503.
    pub fn ask_state(&self, prefix: &str, id: &str, limit: Duration) -> Result<Option<String>, String> {
        let until = Instant::now() + limit;
        loop {
            let mut last = Err("no node".to_owned());
            for node in 0..self.nodes.len() {
                last = self.state(node, prefix, id);
                if last.is_ok() {
                    return last;
                }
            }
            if Instant::now() >= until {
                return last;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    }

    /// How many tasks run, and how much processor capacity the executors have that are up, in thousandths of a core.
    pub fn running_tasks(&self) -> Vec<String> {
        self.workers.iter().flat_map(|worker| worker.running()).collect()
    }
}

fn config(version: u64, queues: &[Queue]) -> String {
    let routes = queues.iter().map(|queue| {
        format!(
            "{{\"Name\":\"r-{}\",\"Host\":\"{HOST}\",\"Prefix\":\"{}\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"GoalMs\":{},\"Priority\":{},\"Service\":\"svc\",\"Attempts\":{},\"Stretch\":1.6}}",
            queue.prefix.trim_matches('/'),
            queue.prefix,
            queue.goal_ms,
            queue.priority,
            queue.attempts
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"svc\",\"HealthPath\":\"/healthz\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"AdmissionCheck\":false,\"Standby\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
