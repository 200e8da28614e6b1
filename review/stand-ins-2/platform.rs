//! Stand-ins of the platform's store and of executors, by PROTOCOL.md.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Server},
    json::{base64, base64_len, quote, Json},
    record::Record,
};

/// `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `MaxHoldMs`.
const MAX_HOLD_MS: u64 = 1_000;
/// `RowBytes`.
const ROW_BYTES: usize = 65_536;
/// Longer than any case.
const DARKNESS: Duration = Duration::from_secs(200);
/// How long a stop takes; `StopTimeoutMs` is 50.
const STOP_TIME: Duration = Duration::from_millis(20);

type RowKey = (String, String, String);

struct Row {
    value: String,
    version: u64,
    deleted: bool,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    /// When each executor last wrote its entry.
    heartbeats: HashMap<String, Instant>,
    rejected_rows: u64,
}

/// How the store treats one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    #[default]
    None,
    /// Calls get no answer and do nothing.
    Silent,
    /// Calls get 503 and do nothing.
    Busy,
    /// Connections are reset, and calls do nothing.
    Reset,
    /// Answers take this many milliseconds longer.
    Slow(u64),
    /// A share of the writes, in percent, is done and not answered.
    Lost(u64),
    /// A share of the writes, in percent, is not answered and done 1 to 6 s later.
    Late(u64),
}

/// The store's port for one machine.
pub struct StoreView {
    pub server: Server,
    pub fault: Arc<Mutex<StoreFault>>,
}

impl StoreView {
    pub fn start(store: &Arc<Store>) -> Self {
        let fault: Arc<Mutex<StoreFault>> = Arc::default();
        let (store, current) = (store.clone(), fault.clone());
        let mut draws = 0x9e37_79b9_7f4a_7c15_u64;
        let draws = Mutex::new({
            draws ^= store.now_ms();
            draws
        });
        let server = Server::start(move |request| {
            let draw = {
                let mut state = draws.lock().unwrap();
                *state ^= *state << 13;
                *state ^= *state >> 7;
                *state ^= *state << 17;
                *state
            };
            let is_write = request.path == "/-/rows-tx";
            let fault = *current.lock().unwrap();
            match fault {
                StoreFault::None => Some(store.answer(&request)),
                StoreFault::Silent => {
                    thread::sleep(Duration::from_secs(20));
                    None
                }
                StoreFault::Busy => Some((503, "{}".to_owned())),
                StoreFault::Reset => None,
                StoreFault::Slow(time) => {
                    thread::sleep(Duration::from_millis(time));
                    Some(store.answer(&request))
                }
                StoreFault::Lost(share) if is_write && draw % 100 < share => {
                    store.answer(&request);
                    thread::sleep(Duration::from_secs(20));
                    None
                }
                StoreFault::Late(share) if is_write && draw % 100 < share => {
                    thread::sleep(Duration::from_millis(1_000 + draw / 100 % 5_000));
                    store.answer(&request);
                    None
                }
                StoreFault::Lost(_) | StoreFault::Late(_) => Some(store.answer(&request)),
            }
        });
        Self { server, fault }
    }
}

/// The platform's store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// One transaction at a time in each part.
    parts: Mutex<HashMap<String, Arc<Mutex<()>>>>,
    began: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
            began: Instant::now(),
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            expiring.expire_entries();
        });
        store
    }

    fn now_ms(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }

    /// Writes a row as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        if table == "servers" {
            rows.heartbeats.insert(key.to_owned(), Instant::now());
        }
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        let row = Row {
            value: base64(value.as_bytes()),
            version,
            deleted: false,
        };
        rows.rows.insert(row_key, row);
        drop(rows);
        self.changed.notify_all();
    }

    /// How many rows were rejected since they were longer than `RowBytes`.
    pub fn rejected_rows(&self) -> u64 {
        self.rows.lock().unwrap().rejected_rows
    }

    /// The length in bytes of the longest row of a table.
    pub fn longest_row(&self, table: &str) -> usize {
        let rows = self.rows.lock().unwrap();
        let of_table = rows.rows.iter().filter(|((t, _, _), row)| t == table && !row.deleted);
        of_table.map(|(_, row)| base64_len(&row.value)).max().unwrap_or(0)
    }

    /// Removes the entries of executors that have been silent for three heartbeats.
    fn expire_entries(&self) {
        let mut rows = self.rows.lock().unwrap();
        let silent = rows.heartbeats.iter().filter(|(_, at)| at.elapsed() > HEARTBEAT * 3);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            rows.heartbeats.remove(&id);
            rows.version += 1;
            let version = rows.version;
            let row_key = ("servers".to_owned(), String::new(), id);
            if let Some(row) = rows.rows.get_mut(&row_key) {
                row.deleted = true;
                row.version = version;
            }
        }
        drop(rows);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let latency = Duration::from_millis(4);
        match request.path.as_str() {
            "/-/rows-tx" => {
                let call = Json::parse(&request.body);
                let answer = self.transact(&call, request.body.len(), latency);
                thread::sleep(latency / 2);
                answer
            }
            "/-/rows-get" => {
                thread::sleep(latency);
                (200, self.range(request))
            }
            "/-/rows-feed" => {
                thread::sleep(latency);
                (200, self.feed(request))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, call: &Json, length: usize, latency: Duration) -> (u16, String) {
        let lists = ["Expected", "Writes", "Remove"].map(|list| call.get(list).list());
        let [expected, writes, removals] = lists;
        if expected.len() + writes.len() + removals.len() > 100 || length > 1_000_000 {
            return (400, "{}".to_owned());
        }
        let too_long = |write: &&Json| base64_len(write.get("Value").text()) > ROW_BYTES;
        if writes.iter().any(|write| too_long(&write)) {
            self.rows.lock().unwrap().rejected_rows += 1;
            return (400, "{}".to_owned());
        }
        let part = expected.iter().chain(writes).chain(removals).next();
        let part = part.map_or("", |entry| entry.get("part").text()).to_owned();
        let part = self.parts.lock().unwrap().entry(part).or_default().clone();
        let _turn = part.lock().unwrap();
        thread::sleep(latency);
        let mut rows = self.rows.lock().unwrap();
        for entry in expected {
            let current = rows.rows.get(&row_key(entry)).filter(|row| !row.deleted);
            if current.map_or(0, |row| row.version) != entry.get("Ver").number().unwrap_or(0) {
                let body = format!(
                    "{{\"rows\":[],\"Ver\":{},\"NowMs\":{}}}",
                    rows.version,
                    self.now_ms()
                );
                return (412, body);
            }
        }
        rows.version += 1;
        let version = rows.version;
        for write in writes {
            let row = Row {
                value: write.get("Value").text().to_owned(),
                version,
                deleted: false,
            };
            rows.rows.insert(row_key(write), row);
        }
        for removal in removals {
            if let Some(row) = rows.rows.get_mut(&row_key(removal)) {
                row.deleted = true;
                row.version = version;
            }
        }
        drop(rows);
        self.changed.notify_all();
        (200, format!("{{\"Ver\":{version},\"NowMs\":{}}}", self.now_ms()))
    }

    fn range(&self, request: &Request) -> String {
        let (table, part) = (request.query("Table"), request.query("part"));
        let (from, target) = (request.query("From"), request.query("Target"));
        let limit = request.query("Limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for (row_key, row) in &rows.rows {
            let (of, in_part, key) = row_key;
            let in_range = key.as_str() >= from && (target.is_empty() || key.as_str() < target);
            if of != table || in_part != part || !in_range || row.deleted {
                continue;
            }
            if found.len() >= limit || bytes + row.value.len() > 1_000_000 {
                more = true;
                break;
            }
            bytes += row.value.len();
            found.push(row_json(row_key, row));
        }
        format!(
            "{{\"rows\":[{}],\"MorePages\":{more},\"Ver\":{},\"NowMs\":{}}}",
            found.join(","),
            rows.version,
            self.now_ms()
        )
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.query("Table");
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait = request.query("WaitMs").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let of_table = rows.rows.iter();
            let newer = of_table.filter(|((of, _, _), row)| of == table && row.version > after);
            let mut found: Vec<(&RowKey, &Row)> = newer.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, row)| row.version);
                let found: Vec<String> = found.iter().map(|(key, row)| row_json(key, row)).collect();
                return format!(
                    "{{\"rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                    found.join(","),
                    rows.version,
                    self.now_ms()
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_key(entry: &Json) -> RowKey {
    let text = |name: &str| entry.get(name).text().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json((table, part, key): &RowKey, row: &Row) -> String {
    let head = format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{}",
        quote(table),
        quote(part),
        quote(key),
        row.version
    );
    match row.deleted {
        true => format!("{head},\"Deleted\":true}}"),
        false => format!("{head},\"Value\":{}}}", quote(&row.value)),
    }
}

/// How an executor is made.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    pub id: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
}

struct Run {
    task: String,
    run: u64,
    began: Instant,
    ends: Instant,
    how: &'static str,
    stopped: Option<Instant>,
}

struct End {
    number: u64,
    at: Instant,
    task: String,
    run: u64,
    how: &'static str,
}

struct WorkerState {
    fence: u64,
    lease_end: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_number: u64,
    /// The highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
    dead: bool,
    /// Whether it lost its power: nothing is answered, and connections stay open.
    dark: bool,
    /// Whether starts are answered with 503 and not carried out.
    refuses_starts: bool,
    /// Whether all that starts fails after this many milliseconds.
    fails_after: Option<u64>,
    /// Whether starts get no answer and are carried out 2 to 12 s later.
    late_starts: bool,
    /// When the lease was last found to have lapsed.
    lapsed: Option<Instant>,
}

/// An executor. Its tasks follow their job's `Spec`: `ms=400` says how long each runs, and `fail=1:150` that the task
/// of index 1 fails after 150 ms, whenever it is started.
pub struct Worker {
    pub plan: WorkerPlan,
    state: Mutex<WorkerState>,
    changed: Condvar,
    began: Instant,
    server: Mutex<Option<Server>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Worker {
    pub fn start(plan: WorkerPlan, store: Arc<Store>, record: Arc<Record>) -> Arc<Self> {
        let worker = Arc::new(Self {
            plan,
            state: Mutex::new(WorkerState {
                fence: 0,
                lease_end: 0,
                runs: Vec::new(),
                ends: Vec::new(),
                last_number: 0,
                over: HashMap::new(),
                dead: false,
                dark: false,
                refuses_starts: false,
                fails_after: None,
                late_starts: false,
                lapsed: None,
            }),
            changed: Condvar::new(),
            began: Instant::now(),
            server: Mutex::default(),
            record,
            store,
        });
        let answering = worker.clone();
        let server = Server::start(move |request| answering.answer(&request));
        let address = server.address;
        *worker.server.lock().unwrap() = Some(server);
        let ticking = worker.clone();
        thread::spawn(move || ticking.run_ticks());
        let beating = worker.clone();
        thread::spawn(move || beating.run_heartbeats(address));
        worker
    }

    /// Ends the executor's process: its connections break, its port is closed, and all that ran there is gone.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.dead = true;
        for run in std::mem::take(&mut state.runs) {
            self.record.ended(&self.plan.id, &run.task, run.run, "died");
        }
        drop(state);
        self.changed.notify_all();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        self.record.line(&format!("executor {} is gone", self.plan.id));
    }

    /// Takes the executor's power away for good: its connections stay open and carry nothing any more, and it writes no
    /// entry.
    pub fn lose_power(&self) {
        let mut state = self.state.lock().unwrap();
        state.dark = true;
        state.dead = true;
        for run in std::mem::take(&mut state.runs) {
            self.record.ended(&self.plan.id, &run.task, run.run, "died");
        }
        drop(state);
        self.record.line(&format!("executor {} is dark", self.plan.id));
    }

    pub fn set_refuses_starts(&self, refuses: bool) {
        self.state.lock().unwrap().refuses_starts = refuses;
    }

    pub fn set_fails_after(&self, millis: Option<u64>) {
        self.record.line(&format!("executor {} fails all that it starts: {}", self.plan.id, millis.is_some()));
        self.state.lock().unwrap().fails_after = millis;
    }

    pub fn set_late_starts(&self, late: bool) {
        self.state.lock().unwrap().late_starts = late;
    }

    pub fn is_dead(&self) -> bool {
        self.state.lock().unwrap().dead
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.runs.iter().map(|run| run.task.clone()).collect()
    }

    /// How many ends are listed, and how many of those with the result `done`.
    pub fn listed_ends(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        let done = state.ends.iter().filter(|end| end.how == "done").count();
        (state.ends.len(), done)
    }

    fn clock(&self) -> u64 {
        400_000 + self.began.elapsed().as_millis() as u64
    }

    fn run_heartbeats(&self, address: SocketAddr) {
        let labels: Vec<String> = self.plan.labels.iter().map(|label| quote(label)).collect();
        let mut seq = 0;
        while !self.is_dead() {
            seq += 1;
            let entry = format!(
                "{{\"Service\":\"svc\",\"Addr\":\"{address}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":262144,\"Gpu\":0}},\"Labels\":[{}],\"ClockMs\":{},\"Seq\":{seq}}}",
                quote(&self.plan.zone),
                self.plan.cpu,
                labels.join(","),
                self.clock()
            );
            self.store.put("servers", &self.plan.id, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn run_ticks(&self) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().unwrap();
            if state.dead {
                return;
            }
            let now = Instant::now();
            let lapsed = self.clock() > state.lease_end;
            if lapsed {
                state.lapsed = Some(now);
            }
            let mut over = Vec::new();
            let mut index = 0;
            while index < state.runs.len() {
                let run = &state.runs[index];
                let how = if now >= run.ends {
                    Some(run.how)
                } else if run.stopped.is_some_and(|at| now >= at + STOP_TIME) {
                    Some("stopped")
                } else if lapsed {
                    Some("lapsed")
                } else {
                    None
                };
                match how {
                    Some(how) => over.push((state.runs.remove(index), how)),
                    None => index += 1,
                }
            }
            if over.is_empty() {
                continue;
            }
            for (run, how) in over {
                state.last_number += 1;
                let number = state.last_number;
                note_over(&mut state, &run.task, run.run);
                self.record.ended(&self.plan.id, &run.task, run.run, how);
                state.ends.push(End {
                    number,
                    at: now,
                    task: run.task,
                    run: run.run,
                    how,
                });
            }
            drop(state);
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let expected = request.header("X-Expect-Instance");
        if expected.is_some_and(|id| id != self.plan.id) {
            return Some((421, "{}".to_owned()));
        }
        let call = Json::parse(&request.body);
        let mut state = self.state.lock().unwrap();
        if state.dark {
            drop(state);
            thread::sleep(DARKNESS);
            return None;
        }
        if state.dead {
            return None;
        }
        let fence = call.get("Fence").number().unwrap_or(0);
        if fence < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/-/run-start" if state.refuses_starts => Some((503, "{}".to_owned())),
            "/-/run-start" if state.late_starts => {
                let time = 2_000 + state.last_number * 7_919 % 10_000;
                drop(state);
                thread::sleep(Duration::from_millis(time));
                let mut state = self.state.lock().unwrap();
                if !state.dead && fence >= state.fence {
                    self.start_run(&mut state, &call);
                }
                None
            }
            "/-/run-start" => Some(self.start_run(&mut state, &call)),
            "/-/run-stop" => Some(self.stop_run(&mut state, &call)),
            "/-/hold" => {
                drop(state);
                self.hold(&call)
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        let body = format!("{{\"ClockMs\":{},\"Reason\":{}}}", self.clock(), quote(reason));
        (409, body)
    }

    fn extend_lease(&self, state: &mut WorkerState, call: &Json) {
        if let Some(end) = call.get("DeadlineMs").number() {
            state.lease_end = state.lease_end.max(end.min(self.clock() + MAX_HOLD_MS));
        }
    }

    fn start_run(&self, state: &mut WorkerState, call: &Json) -> (u16, String) {
        let (task, number) = (call.get("Task").text(), call.get("Run").number().unwrap_or(0));
        let same = |run: &Run| run.task == task && run.run == number;
        if state.runs.iter().any(same) {
            self.extend_lease(state, call);
            return (200, format!("{{\"ClockMs\":{}}}", self.clock()));
        }
        if call.get("DeadlineMs").number().unwrap_or(0) <= self.clock() {
            return self.refuse("late");
        }
        self.extend_lease(state, call);
        if state.over.get(task).is_some_and(|over| *over >= number) {
            return self.refuse("old");
        }
        let index: u64 = task.rsplit('.').next().and_then(|i| i.parse().ok()).unwrap_or(0);
        let step = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
        let first = !state.over.contains_key(task) && self.record.is_first(task);
        let (time, how) = task_plan(call.get("Spec").text(), step, index, first);
        let (time, how) = match state.fails_after {
            Some(millis) => (Duration::from_millis(millis), "failed"),
            None => (time, how),
        };
        let now = Instant::now();
        self.record.started(&self.plan.id, task, number);
        state.runs.push(Run {
            task: task.to_owned(),
            run: number,
            began: now,
            ends: now + time,
            how,
            stopped: None,
        });
        (200, format!("{{\"ClockMs\":{}}}", self.clock()))
    }

    fn stop_run(&self, state: &mut WorkerState, call: &Json) -> (u16, String) {
        let (task, number) = (call.get("Task").text(), call.get("Run").number().unwrap_or(0));
        for run in &mut state.runs {
            if run.task == task && run.run == number && run.stopped.is_none() {
                run.stopped = Some(Instant::now());
            }
        }
        note_over(state, task, number);
        (200, format!("{{\"ClockMs\":{}}}", self.clock()))
    }

    fn hold(&self, call: &Json) -> Option<(u16, String)> {
        let seen = call.get("LastSeen").number().unwrap_or(0);
        let wait = call.get("WaitMs").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        self.extend_lease(&mut state, call);
        let lapsed = state.lapsed;
        let (seen_ends, left): (Vec<End>, Vec<End>) =
            std::mem::take(&mut state.ends).into_iter().partition(|end| end.number <= seen);
        state.ends = left;
        for end in seen_ends {
            // A lapse between the two leaves the end unnoted.
            if lapsed.is_none_or(|at| at < end.at) {
                self.record.noted(&self.plan.id, &end.task, end.run);
            }
        }
        loop {
            if state.dead {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                return Some((200, self.listing(&state)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn listing(&self, state: &WorkerState) -> String {
        let now = Instant::now();
        let running = state.runs.iter().map(|run| {
            let whole = (run.ends - run.began).as_secs_f64().max(0.001);
            let percent = ((now - run.began).as_secs_f64() / whole * 100.0).min(99.0);
            format!("[{},{},\"\",{}]", quote(&run.task), run.run, percent as u64)
        });
        let running: Vec<String> = running.collect();
        let ended = state.ends.iter().take(500);
        let ended = ended.map(|end| {
            format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how)
        });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"ClockMs\":{},\"Running\":[{}],\"EndedRuns\":[{}]}}",
            self.clock(),
            running.join(","),
            ended.join(",")
        )
    }
}

fn note_over(state: &mut WorkerState, task: &str, run: u64) {
    let over = state.over.entry(task.to_owned()).or_default();
    *over = (*over).max(run);
}

fn task_plan(spec: &str, step: u64, index: u64, first: bool) -> (Duration, &'static str) {
    let mut plan = (Duration::ZERO, "done");
    for word in spec.split_whitespace() {
        match word.split_once('=') {
            Some(("ms", time)) => plan.0 += Duration::from_millis(time.parse().unwrap_or(100)),
            // Tasks of a job differ by up to this time.
            Some(("vary", time)) => {
                let most: u64 = time.parse().unwrap_or(0);
                plan.0 += Duration::from_millis(index * 37 % most.max(1));
            }
            Some(("fail", fault)) => {
                let (task, time) = fault.split_once(':').unwrap_or((fault, "100"));
                if task.parse() == Ok(index) {
                    return (Duration::from_millis(time.parse().unwrap_or(100)), "failed");
                }
            }
            // So long do the tasks of later steps take.
            Some(("later", time)) if step > 0 => {
                plan.0 = Duration::from_millis(time.parse().unwrap_or(100));
            }
            // The task's first run fails.
            Some(("once", task)) if first && task.parse() == Ok(index) => {
                plan.1 = "failed";
            }
            _ => (),
        }
    }
    plan
}
