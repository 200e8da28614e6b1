//! A stand-in for an executor: runs tasks under leases and fencing tokens, as the protocol page says.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{HttpAnswer, HttpRequest, HttpServer},
    json::{object, Json},
    record::{Record, RunEvent, RunEventKind},
    store::Store,
};

/// The ends that one answer lists.
const MAX_LISTED_ENDS: usize = 500;

const MAX_HOLD_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(2);

/// The time after which the platform removes the entry of an executor that is silent: three heartbeats.
const ENTRY_LAPSE: Duration = Duration::from_millis(4_500);

/// Begins the text of a task; its run time in milliseconds follows.
pub const RUN_TIME_SPEC: &str = "run-ms-";

pub struct WorkerPlan {
    pub id: String,
    pub zone: String,
    /// The kind, a label.
    pub kind: &'static str,
    pub rack: String,
}

/// The room of an executor, as on the sheet of `saarthi-diary`.
const CPU: u64 = 16_000;
const MEMORY_MB: u64 = 32_768;

struct Run {
    task: String,
    run: u64,
    began: Instant,
    run_time: Duration,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    at: Instant,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_number: u64,
    /// The highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    last_lapse: Option<Instant>,
}

pub struct Worker {
    pub plan: WorkerPlan,
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
    /// The Unix millisecond of the start.
    born: u64,
    alive: AtomicBool,
    sequence: AtomicU64,
    record: Arc<Record>,
    server: Mutex<Option<HttpServer>>,
}

impl Worker {
    pub fn start(
        plan: WorkerPlan,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            plan,
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis() as u64),
            alive: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            record: record.clone(),
            server: Mutex::new(None),
        });
        let handler = worker.clone();
        let server = HttpServer::start(move |request| Some(handler.answer(&request)))?;
        let address = server.address;
        *worker.server.lock().unwrap() = Some(server);
        let ticking = worker.clone();
        thread::spawn(move || {
            while ticking.is_alive() {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            while beating.is_alive() {
                store.put(
                    "servers",
                    &beating.plan.id,
                    &beating.entry(&address.to_string()),
                );
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(ENTRY_LAPSE);
            store.remove("servers", &beating.plan.id);
        });
        Ok(worker)
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Ends the executor for good, with all that it runs.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().as_ref() {
            server.stop();
        }
        let mut state = self.state.lock().unwrap();
        let runs = std::mem::take(&mut state.runs);
        for run in runs {
            self.note(RunEventKind::Died, &run.task, run.run, 0);
        }
        self.record
            .line(format!("executor {} is lost for good", self.plan.id));
    }

    /// The tasks that run now.
    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.runs.iter().map(|run| run.task.clone()).collect()
    }

    fn entry(&self, address: &str) -> Json {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        object(vec![
            ("Service", Json::text("diarybook")),
            ("Addr", Json::text(address)),
            ("Zone", Json::text(&self.plan.zone)),
            ("Version", Json::text("v1")),
            ("Slots", Json::number(8)),
            ("State", Json::text("ready")),
            ("ColdLeftMs", Json::number(0)),
            (
                "Capacity",
                object(vec![
                    ("Cpu", Json::number(CPU)),
                    ("MemMb", Json::number(MEMORY_MB)),
                    ("Gpu", Json::number(0)),
                ]),
            ),
            (
                "Labels",
                Json::List(vec![
                    Json::text(self.plan.kind),
                    Json::text(&self.plan.rack),
                ]),
            ),
            ("ClockMs", Json::number(self.clock())),
            ("Seq", Json::number(sequence)),
            ("born", Json::number(self.born)),
        ])
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 400_000
    }

    fn note(&self, kind: RunEventKind, task: &str, run: u64, number: u64) {
        self.record.run_event(RunEvent {
            at: Instant::now(),
            kind,
            worker: self.plan.id.clone(),
            task: task.to_owned(),
            run,
            number,
        });
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = self.clock() > state.lease_end;
        if lapsed {
            state.last_lapse = Some(now);
        }
        let runs = std::mem::take(&mut state.runs);
        for run in runs {
            let finished = now >= run.began + run.run_time;
            match (lapsed, finished) {
                (true, _) => self.end(&mut state, &run.task, run.run, "lapsed"),
                (false, true) => self.end(&mut state, &run.task, run.run, "done"),
                (false, false) => state.runs.push(run),
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.last_number += 1;
        let number = state.last_number;
        state.ends.push(End {
            number,
            task: task.to_owned(),
            run,
            how,
            at: Instant::now(),
        });
        close(state, task, run);
        self.note(RunEventKind::Ended(how), task, run, number);
        self.changed.notify_all();
    }

    fn answer(&self, request: &HttpRequest) -> HttpAnswer {
        let expected = request.header("X-Expect-Instance");
        if expected.is_some_and(|id| id != self.plan.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let fence = body.get("Fence").as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&mut state, &body),
            "/-/run-stop" => self.stop_run(&mut state, &body),
            "/-/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> HttpAnswer {
        let answer = object(vec![
            ("ClockMs", Json::number(self.clock())),
            ("Reason", Json::text(reason)),
        ]);
        (409, answer.to_string())
    }

    fn accept(&self) -> HttpAnswer {
        let answer = object(vec![("ClockMs", Json::number(self.clock()))]);
        (200, answer.to_string())
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(until) = body.get("DeadlineMs").as_u64() {
            let until = until.min(self.clock() + MAX_HOLD_MS);
            state.lease_end = state.lease_end.max(until);
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> HttpAnswer {
        let task = body.get("Task").as_str().unwrap_or("").to_owned();
        let run = body.get("Run").as_u64().unwrap_or(0);
        if state
            .runs
            .iter()
            .any(|known| known.task == task && known.run == run)
        {
            self.extend_lease(state, body);
            return self.accept();
        }
        if body.get("DeadlineMs").as_u64().unwrap_or(0) <= self.clock() {
            return self.refuse("late");
        }
        self.extend_lease(state, body);
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return self.refuse("old");
        }
        let spec = body.get("Spec").as_str().unwrap_or("");
        let millis = spec
            .strip_prefix(RUN_TIME_SPEC)
            .and_then(|text| text.parse().ok());
        self.note(RunEventKind::Started, &task, run, 0);
        state.runs.push(Run {
            task,
            run,
            began: Instant::now(),
            run_time: Duration::from_millis(millis.unwrap_or(50)),
        });
        self.accept()
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> HttpAnswer {
        let task = body.get("Task").as_str().unwrap_or("").to_owned();
        let run = body.get("Run").as_u64().unwrap_or(0);
        let running = state.runs.iter();
        let mut running = running.map(|known| known.task == task && known.run == run);
        if let Some(index) = running.position(|is_it| is_it) {
            state.runs.remove(index);
            self.end(state, &task, run, "stopped");
        }
        close(state, &task, run);
        self.accept()
    }

    /// Notes the ends up to `LastSeen`, waits for an end that was not noted, and lists runs and ends.
    fn hold(&self, body: &Json) -> HttpAnswer {
        let mut state = self.state.lock().unwrap();
        if self.clock() > state.lease_end {
            state.last_lapse = Some(Instant::now());
        }
        self.extend_lease(&mut state, body);
        self.take_note(&mut state, body.get("LastSeen").as_u64().unwrap_or(0));
        let wait = body.get("WaitMs").as_u64().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.ends.is_empty() && self.is_alive() {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        let running = state.runs.iter().map(|run| {
            let progress = run.began.elapsed().as_secs_f64() / run.run_time.as_secs_f64();
            Json::List(vec![
                Json::text(&run.task),
                Json::number(run.run),
                Json::text(""),
                Json::number((progress * 100.0).min(99.0) as u64),
            ])
        });
        let ends = state.ends.iter().take(MAX_LISTED_ENDS).map(|end| {
            Json::List(vec![
                Json::number(end.number),
                Json::text(&end.task),
                Json::number(end.run),
                Json::text(end.how),
                Json::text(""),
            ])
        });
        let answer = object(vec![
            ("ClockMs", Json::number(self.clock())),
            ("Running", Json::List(running.collect())),
            ("EndedRuns", Json::List(ends.collect())),
            ("born", Json::number(self.born)),
        ]);
        (200, answer.to_string())
    }

    fn take_note(&self, state: &mut State, last_seen: u64) {
        let noted = state.ends.partition_point(|end| end.number <= last_seen);
        let last_lapse = state.last_lapse;
        for end in state.ends.drain(..noted) {
            // An end does not count as noted if the lease lapsed in between.
            if last_lapse.is_none_or(|lapse| lapse < end.at) {
                self.note(RunEventKind::Noted, &end.task, end.run, end.number);
            }
        }
    }
}

fn close(state: &mut State, task: &str, run: u64) {
    let closed = state.closed.entry(task.to_owned()).or_insert(0);
    *closed = run.max(*closed);
}
