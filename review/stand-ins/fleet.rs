//! A small deployment on loopback: the store, executors, and the project's own nodes as processes.

use std::{
    ffi::{c_int, c_ulong},
    fs::File,
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, HttpAnswer, HttpServer},
    json::{object, Json},
    record::Record,
    store::Store,
    worker::{Worker, WorkerPlan},
};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

/// How long clients wait for an answer, as on the sheets of the small deployments.
pub const DEADLINE: Duration = Duration::from_millis(1_500);

/// How long clients wait for the answer to a stored job of several seconds.
pub const LONG_DEADLINE: Duration = Duration::from_secs(10);

/// How long clients wait after no answer before they send the same request again.
const RETRY: Duration = Duration::from_millis(1_300);

/// How long a client tries to hand in a job that the case needs.
const SUBMIT_TIME: Duration = Duration::from_secs(5);

/// A case could not run.
pub type Trouble = String;

pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    _store_server: HttpServer,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts the platform and one node for each zone named in `zones`, and waits until all nodes are ready.
    pub fn start(
        zones: &[&str],
        workers: Vec<WorkerPlan>,
        record: Arc<Record>,
    ) -> Result<Self, Trouble> {
        let (store, store_server) = Store::start().map_err(|error| error.to_string())?;
        store.put("op", "config", &configuration());
        let mut running = Vec::new();
        for plan in workers {
            let worker = Worker::start(plan, &store, &record).map_err(|error| error.to_string())?;
            running.push(worker);
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store_address = store_server.address;
        let mut fleet = Self {
            record,
            store,
            _store_server: store_server,
            workers: running,
            nodes: Vec::new(),
            folder,
        };
        for (index, zone) in zones.iter().enumerate() {
            let node = start_node(&fleet.folder, index, zone, store_address)?;
            fleet.nodes.push(node);
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn wait_until_ready(&self) -> Result<(), Trouble> {
        let limit = Instant::now() + Duration::from_secs(30);
        let mut ready = 0;
        // Ready three times in a row, half a second apart: the workers are divided into pools meanwhile.
        while ready < 3 {
            if Instant::now() > limit {
                return Err("the nodes did not get ready".to_owned());
            }
            thread::sleep(Duration::from_millis(500));
            let is_ready = |node: &Node| {
                let answer = call(node.ready, "GET", HOST, "/-/readyz", "", DEADLINE);
                answer.is_some_and(|(status, _)| status == 200)
            };
            ready = if self.nodes.iter().all(is_ready) {
                ready + 1
            } else {
                0
            };
        }
        thread::sleep(Duration::from_secs(1));
        self.record.line("all nodes are ready".to_owned());
        Ok(())
    }

    /// Sends one request to a node and records request and answer.
    pub fn send(&self, node: usize, method: &str, path: &str, body: &str) -> Option<HttpAnswer> {
        send(
            &self.record,
            self.nodes[node].front,
            method,
            path,
            body,
            DEADLINE,
        )
    }

    /// Submits a job until it is accepted, as a client does: again after no answer, a refusal or a 5xx answer.
    pub fn submit(
        &self,
        node: usize,
        id: &str,
        body: &str,
        deadline: Duration,
    ) -> Result<(), Trouble> {
        let (front, path) = (self.nodes[node].front, format!("{PREFIX}{id}"));
        let until = Instant::now() + SUBMIT_TIME;
        loop {
            let answer = send(&self.record, front, "POST", &path, body, deadline);
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return Ok(());
            }
            if Instant::now() + RETRY > until {
                return Err(format!("job {id} was not accepted"));
            }
            thread::sleep(RETRY);
        }
    }

    /// The state of a job as a node shows it; None without an answer.
    pub fn state(&self, node: usize, id: &str) -> Option<String> {
        let (status, body) = self.send(node, "GET", &format!("{PREFIX}{id}"), "")?;
        match status {
            200 => Some(Json::parse(&body)?.get("State").as_str()?.to_owned()),
            status => Some(status.to_string()),
        }
    }
}

pub fn send(
    record: &Record,
    front: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    deadline: Duration,
) -> Option<HttpAnswer> {
    let short = &body[..body.len().min(200)];
    record.line(format!("sent {method} {path} {short}"));
    let answer = call(front, method, HOST, path, body, deadline);
    record.line(match &answer {
        Some((status, text)) => format!("answered {method} {path}: {status} {text}"),
        None => format!("answered {method} {path}: no answer"),
    });
    answer
}

/// A job of one step that has to be stored.
pub fn kept_job(tasks: u64, cpu: u64, kind: Option<&str>, estimate_ms: u64, run_ms: u64) -> String {
    let mut step = step(tasks, cpu, estimate_ms);
    step.extend(kind.map(|kind| ("Requires", Json::text(kind))));
    job(vec![object(step)], run_ms)
}

/// A job of two steps, one task each, that has to be stored.
pub fn two_step_job(estimate_ms: u64, run_ms: u64) -> String {
    let mut second = step(1, 6_800, estimate_ms);
    second.push(("After", Json::List(vec![Json::number(0)])));
    job(
        vec![object(step(1, 6_800, estimate_ms)), object(second)],
        run_ms,
    )
}

fn step(tasks: u64, cpu: u64, estimate_ms: u64) -> Vec<(&'static str, Json)> {
    vec![
        ("Count", Json::number(tasks)),
        ("Cpu", Json::number(cpu)),
        ("MemMb", Json::number(64)),
        ("EstMs", Json::number(estimate_ms)),
    ]
}

/// A job of one step that need not be stored, whose answer comes when it has ended.
pub fn ephemeral_job(tasks: u64, cpu: u64, estimate_ms: u64, run_ms: u64) -> String {
    let mut fields = job_fields(vec![object(step(tasks, cpu, estimate_ms))], run_ms);
    fields.push(("Ephemeral", Json::Bool(true)));
    object(fields).to_string()
}

fn job(steps: Vec<Json>, run_ms: u64) -> String {
    object(job_fields(steps, run_ms)).to_string()
}

fn job_fields(steps: Vec<Json>, run_ms: u64) -> Vec<(&'static str, Json)> {
    let spec = format!("{}{run_ms}", crate::worker::RUN_TIME_SPEC);
    vec![("Spec", Json::text(&spec)), ("Phases", Json::List(steps))]
}

fn configuration() -> Json {
    let route = object(vec![
        ("Name", Json::text("r-3hwrr6x")),
        ("Host", Json::text(HOST)),
        ("Prefix", Json::text(PREFIX)),
        ("Kind", Json::text("non_idempotent")),
        ("TimeoutMs", Json::number(1_500)),
        ("GoalMs", Json::number(60)),
        ("Priority", Json::number(0)),
        ("Service", Json::text("diarybook")),
        ("Attempts", Json::number(4)),
        ("Stretch", Json::Number(1.6)),
    ]);
    let service = object(vec![
        ("Name", Json::text("diarybook")),
        ("HealthPath", Json::text("/healthz")),
        ("MaxConns", Json::number(64)),
        ("Protocol", Json::text("h1")),
        ("Tls", Json::Bool(false)),
        ("AdmissionCheck", Json::Bool(false)),
        ("Standby", Json::Bool(false)),
    ]);
    object(vec![
        ("Version", Json::number(7)),
        ("Routes", Json::List(vec![route])),
        ("Services", Json::List(vec![service])),
        (
            "Limits",
            object(vec![("MaxBodyBytes", Json::number(262_144))]),
        ),
    ])
}

/// Starts a node with the command of the deploy file and the settings of its template.
fn start_node(folder: &Path, index: usize, zone: &str, store: SocketAddr) -> Result<Node, Trouble> {
    let template = std::fs::read_to_string("platform/settings.json.template");
    let template = template.map_err(|error| format!("no settings template: {error}"))?;
    let (front, ready, peer) = (free_port()?, free_port()?, free_port()?);
    let settings = template
        .replace("{{Node}}", &format!("edge-{zone}-{}", index + 1))
        .replace("{{Zone}}", zone)
        .replace("{{Listen.Front}}", &front.to_string())
        .replace("{{Listen.Ready}}", &ready.to_string())
        .replace("{{Ip}}:{{PortRange.0}}", &peer.to_string())
        .replace("{{platform.Addr}}", &store.to_string())
        .replace("{{Bounds.GraceS}}", "6")
        .replace("{{Bounds.MaxHoldMs}}", "1000")
        .replace("{{#Bounds.RetryMs}}", "")
        .replace("{{/Bounds.RetryMs}}", "")
        .replace("{{.}}", "1300")
        .replace("{{Bounds.ConfigMs}}", "2000")
        .replace("{{Bounds.FarFactor}}", "3")
        .replace("{{Limits.CpuShare}}", "0.25")
        .replace("{{Limits.LinkMbps}}", "1000.0")
        .replace("{{Orders}}", "call");
    if settings.contains("{{") {
        return Err("the settings template has a field that this case does not fill".to_owned());
    }
    let file = folder.join(format!("node-{index}.json"));
    std::fs::write(&file, settings).map_err(|error| error.to_string())?;
    let log = folder.join(format!("node-{index}.log"));
    let log = match std::env::var_os("REVIEW_LOGS") {
        Some(folder) => Path::new(&folder).join(format!("node-{index}.log")),
        None => log,
    };
    let output = File::create(log).map_err(|error| error.to_string())?;
    let errors = output.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new("target/release/cairnpaddle");
    command.args(["node", "--settings"]).arg(&file);
    // SAFETY: the closure calls nothing but `prctl`, which is safe between fork and exec.
    unsafe { command.pre_exec(end_with_parent) };
    let process = command
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("target/release/cairnpaddle was not started: {error}"))?;
    Ok(Node {
        front,
        ready,
        process,
    })
}

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}

/// Has the kernel end this process when its parent ends, so that no node is left over when a case is killed.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: c_int = 1;
    const SIGKILL: c_ulong = 9;
    // SAFETY: this option takes one number and touches no memory.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// A loopback address whose port is free for TCP and UDP.
fn free_port() -> Result<SocketAddr, Trouble> {
    for _ in 0..50 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".to_owned())
}
