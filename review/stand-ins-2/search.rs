//! A search without a case of its own: kept jobs under random disruptions of the kinds that the pages name, and all
//! checks that clients and executors allow. `review-2 search:SEED RECORD`.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Queue},
    lost::{check_lost, workers_of},
    platform::{StoreFault, Worker, WorkerPlan},
    record::RunTrace,
    Findings,
};

const PREFIX: &str = "/batch/";
const ZONES: [&str; 5] = ["z1", "z1", "z2", "z2", "z3"];
const CPU: u64 = 16_000;
const ATTEMPTS: usize = 4;
const CANCEL_MS: u64 = 3_000;

struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % below.max(1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.next(100) < percent
    }
}

struct Step {
    count: u64,
    cpu: u64,
    after: Vec<usize>,
}

struct Job {
    id: String,
    steps: Vec<Step>,
    accepted: Option<Duration>,
    /// Whether every attempt was answered with 429 or 503.
    rejected: bool,
    cancelled: Option<Duration>,
}

/// Searches with stored jobs, or with long `Ephemeral` ones whose clients leave unheard: their connections stay open, and
/// they send the job again `RetryMs` later.
pub fn run(seed: u64, record: &str, ephemeral: bool) -> Findings {
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for _ in 0..20 {
        rng.next(2);
    }
    let queues = [Queue { prefix: PREFIX, goal_ms: 6_000, attempts: ATTEMPTS as u32, priority: 0 }];
    let zones = [("z1", 5), ("z2", 5), ("z3", 1)];
    let workers = zones.iter().flat_map(|(zone, count)| workers_of(zone, *count, CPU));
    let mut workers: Vec<WorkerPlan> = workers.collect();
    // One executor of each of two zones has a label that some jobs require.
    for worker in [0, 5] {
        workers[worker].labels[0] = "b".to_owned();
    }
    let mut fleet = Fleet::start(&queues, workers, &ZONES)?;
    fleet.wait_until_serving(PREFIX)?;
    let begun = Instant::now();
    let traffic = Duration::from_secs(40);
    let jobs: Arc<Mutex<Vec<Job>>> = Arc::default();
    let fronts: Vec<_> = fleet.nodes.iter().map(|node| node.front).collect();
    let mut next_job = Duration::ZERO;
    let mut next_fault = Duration::from_secs(2);
    let mut heal: Vec<(Duration, Box<dyn FnOnce(&mut Fleet)>)> = Vec::new();
    let mut clients = Vec::new();
    let mut names = 0;
    while begun.elapsed() < traffic {
        thread::sleep(Duration::from_millis(5));
        let now = begun.elapsed();
        if now >= next_job {
            next_job += Duration::from_millis(60 + rng.next(120));
            let id = fleet.new_job_id();
            let (job, body) = match ephemeral {
                true => draw_ephemeral(&mut rng, id.clone()),
                false => draw_job(&mut rng, id.clone()),
            };
            let index = {
                let mut jobs = jobs.lock().unwrap();
                jobs.push(job);
                jobs.len() - 1
            };
            let (jobs, fronts, record) = (jobs.clone(), fronts.clone(), fleet.record.clone());
            let mut rng = Rng(rng.next(u64::MAX) | 1);
            clients.push(thread::spawn(move || match ephemeral {
                true => ephemeral_client(&mut rng, &record, &fronts, &id, &body),
                false => client(&mut rng, &record, &fronts, &jobs, index, &body),
            }));
        }
        let due = heal.iter().position(|(at, _)| now >= *at);
        if let Some(due) = due {
            let (_, action) = heal.swap_remove(due);
            action(&mut fleet);
        }
        if now >= next_fault && now + Duration::from_secs(8) < traffic {
            next_fault += Duration::from_millis(500 + rng.next(2_500));
            names += 1;
            let (time, action) = disrupt(&mut rng, &mut fleet, names);
            heal.push((now + time, action));
        }
    }
    for (_, action) in heal {
        action(&mut fleet);
    }
    for client in clients {
        let _ = client.join();
    }
    let jobs = std::mem::take(&mut *jobs.lock().unwrap());
    let open = jobs.iter().filter(|job| job.accepted.is_some() && job.cancelled.is_none());
    let open: Vec<String> = open.map(|job| job.id.clone()).collect();
    let mut broken = check_lost(&mut fleet, PREFIX, &open);
    for job in &jobs {
        if job.accepted.is_none() {
            continue;
        }
        match fleet.ask_state(PREFIX, &job.id, Duration::ZERO) {
            Ok(Some(state)) => check_state(&fleet, job, &state, &mut broken),
            other => broken.push(format!("STATE {} {other:?}", job.id)),
        }
    }
    check_runs(&fleet.record.runs(), &jobs, &mut broken);
    for node in &fleet.nodes {
        for line in node.log_lines("panicked") {
            broken.push(format!("PANIC {}: {line}", node.name));
        }
    }
    for line in &broken {
        fleet.record.line(line);
    }
    fleet.record.write(record);
    Ok(broken)
}

fn draw_ephemeral(rng: &mut Rng, id: String) -> (Job, String) {
    let (count, cpu) = (1 + rng.next(4), 2_000);
    let spec = format!("ms={} vary=300", 300 + rng.next(1_200));
    let body = format!(
        "{{\"Spec\":\"{spec}\",\"Ephemeral\":true,\"Phases\":[{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":64,\"EstMs\":900}}]}}"
    );
    let steps = vec![Step { count, cpu, after: Vec::new() }];
    (Job { id, steps, accepted: None, rejected: false, cancelled: None }, body)
}

fn ephemeral_client(
    rng: &mut Rng,
    record: &Arc<crate::record::Record>,
    fronts: &[std::net::SocketAddr],
    id: &str,
    body: &str,
) {
    let deadline = Duration::from_millis([1_500, 4_000][rng.next(2) as usize]);
    for _ in 0..3 {
        let front = fronts[rng.next(fronts.len() as u64) as usize];
        let (path, text, lines, name) = (format!("{PREFIX}{id}"), body.to_owned(), record.clone(), id.to_owned());
        let call = thread::spawn(move || {
            lines.line(&format!("client POST {name} at {front}"));
            let answer = crate::http::call(front, "POST", &path, crate::fleet::HOST, &text, deadline);
            let status = answer.map(|(status, _)| status);
            lines.line(&format!("client POST {name} at {front}: {status:?}"));
            status
        });
        if rng.chance(50) {
            // The break comes within the first 0.4 s, and its node never hears of it.
            thread::sleep(Duration::from_millis(1_300 + rng.next(400)));
            continue;
        }
        match call.join() {
            Ok(Some(502 | 504) | None) => thread::sleep(Duration::from_millis(1_300)),
            _ => return,
        }
    }
}

fn draw_job(rng: &mut Rng, id: String) -> (Job, String) {
    let mut spec = format!("ms={} vary={}", 40 + rng.next(500), 1 + rng.next(400));
    let mut steps = Vec::new();
    let mut phases = Vec::new();
    for step in 0..1 + rng.next(3) as usize {
        let count = 1 + rng.next(10);
        let cpu = 1_000 * (1 + rng.next(6));
        let after: Vec<usize> = (0..step).filter(|_| rng.chance(60)).collect();
        let label = if rng.chance(8) { ",\"Requires\":\"b\"" } else { "" };
        let most = if rng.chance(20) { format!(",\"MaxPerServer\":{}", 1 + rng.next(3)) } else { String::new() };
        phases.push(format!(
            "{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":64,\"EstMs\":400,\"After\":{after:?}{most}{label}}}"
        ));
        steps.push(Step { count, cpu, after });
    }
    if rng.chance(15) {
        spec.push_str(&format!(" once={}", rng.next(4)));
    }
    let body = format!("{{\"Spec\":\"{spec}\",\"Phases\":[{}]}}", phases.join(","));
    let job = Job { id, steps, accepted: None, rejected: false, cancelled: None };
    (job, body)
}

fn client(
    rng: &mut Rng,
    record: &crate::record::Record,
    fronts: &[std::net::SocketAddr],
    jobs: &Mutex<Vec<Job>>,
    index: usize,
    body: &str,
) {
    let id = jobs.lock().unwrap()[index].id.clone();
    let path = format!("{PREFIX}{id}");
    let call = |rng: &mut Rng, method: &str, body: &str| {
        let front = fronts[rng.next(fronts.len() as u64) as usize];
        let limit = Duration::from_millis(4_000);
        let answer = crate::http::call(front, method, &path, crate::fleet::HOST, body, limit);
        let status = answer.map(|(status, _)| status);
        record.line(&format!("client {method} {id} at {front}: {status:?}"));
        status
    };
    let mut all_rejected = true;
    let mut accepted = false;
    for _ in 0..6 {
        match call(rng, "POST", body) {
            Some(200..=299) => {
                accepted = true;
                all_rejected = false;
                break;
            }
            Some(429 | 503) => {
                if rng.chance(50) {
                    break;
                }
                thread::sleep(Duration::from_millis(1_000));
            }
            _ => {
                all_rejected = false;
                thread::sleep(Duration::from_millis(1_300));
            }
        }
    }
    {
        let mut jobs = jobs.lock().unwrap();
        jobs[index].rejected = all_rejected;
        if accepted {
            jobs[index].accepted = Some(record.now());
        }
    }
    if !accepted {
        return;
    }
    if rng.chance(12) {
        thread::sleep(Duration::from_millis(rng.next(1_500)));
        for _ in 0..4 {
            // The job isn't owed from the first try on.
            jobs.lock().unwrap()[index].cancelled.get_or_insert(Duration::MAX);
            if matches!(call(rng, "DELETE", ""), Some(200..=299 | 410)) {
                jobs.lock().unwrap()[index].cancelled = Some(record.now());
                return;
            }
            thread::sleep(Duration::from_millis(700));
        }
        return;
    }
    if rng.chance(15) {
        // "Occasionally, such a request also arrives seconds after the 2xx response for that ID."
        thread::sleep(Duration::from_millis(500 + rng.next(4_000)));
        call(rng, "POST", body);
    }
}

type Healing = (Duration, Box<dyn FnOnce(&mut Fleet)>);

fn disrupt(rng: &mut Rng, fleet: &mut Fleet, name: u64) -> Healing {
    let node = rng.next(fleet.nodes.len() as u64) as usize;
    let node_name = fleet.nodes[node].name.clone();
    let seconds = |rng: &mut Rng, most: u64| Duration::from_millis(300 + rng.next(most * 1_000));
    let set_all = |fleet: &Fleet, fault: StoreFault| {
        for node in &fleet.nodes {
            *node.store.fault.lock().unwrap() = fault;
        }
    };
    let up: Vec<Arc<Worker>> = fleet.workers.iter().filter(|worker| !worker.is_dead()).cloned().collect();
    let worker = up[rng.next(up.len() as u64) as usize].clone();
    match rng.next(15) {
        0 | 1 => {
            fleet.kill_node(node);
            (seconds(rng, 3), Box::new(move |fleet| fleet.restart_node(node)))
        }
        2 | 3 => {
            fleet.record.line(&format!("node {node_name} freezes"));
            fleet.nodes[node].signal("STOP");
            let back = move |fleet: &mut Fleet| {
                fleet.record.line(&format!("node {} wakes", fleet.nodes[node].name));
                fleet.nodes[node].signal("CONT");
            };
            (seconds(rng, 3), Box::new(back))
        }
        4 => {
            fleet.record.line(&format!("node {node_name} gets SIGTERM"));
            fleet.nodes[node].signal("TERM");
            let back = move |fleet: &mut Fleet| {
                fleet.nodes[node].kill();
                fleet.restart_node(node);
            };
            (Duration::from_millis(6_500), Box::new(back))
        }
        5 => {
            let faults = [StoreFault::Silent, StoreFault::Busy, StoreFault::Reset, StoreFault::Slow(300)];
            let fault = faults[rng.next(4) as usize];
            fleet.record.line(&format!("store for all: {fault:?}"));
            set_all(fleet, fault);
            let back = move |fleet: &mut Fleet| {
                fleet.record.line("store for all: back");
                set_all(fleet, StoreFault::None);
            };
            (seconds(rng, 4), Box::new(back))
        }
        6 | 7 => {
            let faults = [StoreFault::Lost(35), StoreFault::Late(35)];
            let fault = faults[rng.next(2) as usize];
            fleet.record.line(&format!("store for all: {fault:?}"));
            set_all(fleet, fault);
            let back = move |fleet: &mut Fleet| {
                fleet.record.line("store for all: back");
                set_all(fleet, StoreFault::None);
            };
            (seconds(rng, 4), Box::new(back))
        }
        8 | 9 => {
            let faults = [StoreFault::Silent, StoreFault::Busy, StoreFault::Reset, StoreFault::Late(50)];
            let fault = faults[rng.next(4) as usize];
            fleet.record.line(&format!("store for {node_name}: {fault:?}"));
            *fleet.nodes[node].store.fault.lock().unwrap() = fault;
            let back = move |fleet: &mut Fleet| {
                fleet.record.line(&format!("store for {}: back", fleet.nodes[node].name));
                *fleet.nodes[node].store.fault.lock().unwrap() = StoreFault::None;
            };
            (seconds(rng, 6), Box::new(back))
        }
        10 | 13 | 14 => {
            // The only executor of its zone, and the last ones with a label, more often than others.
            let rare = |worker: &&Arc<Worker>| worker.plan.zone == "z3" || worker.plan.labels[0] == "b";
            let rare: Vec<_> = up.iter().filter(rare).collect();
            let worker = match rng.chance(60) && !rare.is_empty() {
                true => rare[rng.next(rare.len() as u64) as usize].clone(),
                false => worker,
            };
            worker.crash();
            let plan = WorkerPlan { id: format!("i-new-{name}"), ..worker.plan.clone() };
            let back = move |fleet: &mut Fleet| {
                let worker = Worker::start(plan, fleet.store.clone(), fleet.record.clone());
                fleet.workers.push(worker);
            };
            (seconds(rng, 6), Box::new(back))
        }
        11 => {
            fleet.record.line(&format!("executor {} refuses starts", worker.plan.id));
            worker.set_refuses_starts(true);
            (seconds(rng, 5), Box::new(move |_| worker.set_refuses_starts(false)))
        }
        _ => {
            fleet.record.line(&format!("executor {} starts late", worker.plan.id));
            worker.set_late_starts(true);
            (seconds(rng, 5), Box::new(move |_| worker.set_late_starts(false)))
        }
    }
}

fn task_parts(task: &str) -> (&str, usize, u64) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default();
    let step = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
    let index = parts.next().and_then(|index| index.parse().ok()).unwrap_or(0);
    (job, step, index)
}

fn check_state(fleet: &Fleet, job: &Job, state: &str, broken: &mut Vec<String>) {
    let runs = fleet.record.runs_by_job().remove(&job.id).unwrap_or_default();
    let is_done = |step: usize, index: u64| {
        runs.iter().any(|run| {
            let (_, s, i) = task_parts(&run.task);
            s == step && i == index && run.ended.is_some_and(|(_, how)| how == "done")
        })
    };
    let mut tasks = job.steps.iter().enumerate().flat_map(|(s, step)| (0..step.count).map(move |i| (s, i)));
    let all_done = tasks.all(|(step, index)| is_done(step, index));
    match state {
        "completed" if !all_done => broken.push(format!("MIXED {} is completed, a task isn't done", job.id)),
        "completed" => (),
        "canceled" if job.cancelled.is_some() => (),
        _ if job.cancelled.is_some() => {
            if job.cancelled != Some(Duration::MAX) {
                broken.push(format!("CANCEL {} is {state}", job.id));
            }
        }
        "failed" => {
            let mut failed: HashMap<&str, usize> = HashMap::new();
            for run in &runs {
                if run.ended.is_some_and(|(_, how)| how == "failed") {
                    *failed.entry(&run.task).or_default() += 1;
                }
            }
            if failed.values().all(|count| *count < ATTEMPTS) {
                broken.push(format!("LOST {} is failed without cause", job.id));
            }
        }
        _ => broken.push(format!("STATE {} is {state} at the end, all done: {all_done}", job.id)),
    }
}

fn check_runs(runs: &[RunTrace], jobs: &[Job], broken: &mut Vec<String>) {
    let by_id: HashMap<&str, &Job> = jobs.iter().map(|job| (job.id.as_str(), job)).collect();
    let mut by_task: HashMap<&str, Vec<&RunTrace>> = HashMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let end_of = |run: &RunTrace| run.ended.map_or(Duration::MAX, |(at, _)| at);
    for (task, runs) in &by_task {
        for (index, first) in runs.iter().enumerate() {
            for second in &runs[index + 1..] {
                if second.began < end_of(first) && first.began < end_of(second) {
                    broken.push(format!("TWICE {task} on {} and {} at {:?}", first.worker, second.worker, second.began));
                }
                let noted = first.ended.is_some_and(|(_, how)| how == "done") && first.noted.is_some();
                if noted && second.began > end_of(first) {
                    broken.push(format!("TWICE {task} again at {:?}, done on {}", second.began, first.worker));
                }
            }
        }
        let failed = runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "failed"));
        let failed: Vec<_> = failed.collect();
        if failed.len() > ATTEMPTS {
            broken.push(format!("BUDGET {task} failed {} times", failed.len()));
        }
    }
    for run in runs {
        let (id, step, _) = task_parts(&run.task);
        let Some(job) = by_id.get(id) else {
            continue;
        };
        if job.rejected {
            broken.push(format!("REFUSED {} starts at {:?}", run.task, run.began));
        }
        let cancel = job.cancelled.filter(|at| *at != Duration::MAX);
        let limit = cancel.map(|at| at + Duration::from_millis(CANCEL_MS));
        if limit.is_some_and(|limit| run.began > limit) {
            broken.push(format!("UNASKED {} starts at {:?}, cancelled {cancel:?}", run.task, run.began));
        }
        if limit.is_some_and(|limit| end_of(run) > limit + Duration::from_millis(60)) {
            broken.push(format!("UNASKED? {} runs until {:?}, cancelled {cancel:?}", run.task, run.ended));
        }
        for before in &job.steps[step].after {
            for index in 0..job.steps[*before].count {
                let task = format!("{id}.0.{before}.{index}");
                let runs = by_task.get(task.as_str());
                let mut runs = runs.into_iter().flatten();
                let done = runs.any(|r| r.ended.is_some_and(|(at, how)| how == "done" && at <= run.began));
                if !done {
                    broken.push(format!("ORDER {} starts before {task} is done", run.task));
                }
            }
        }
    }
    check_room(runs, &by_id, broken);
}

fn check_room(runs: &[RunTrace], jobs: &HashMap<&str, &Job>, broken: &mut Vec<String>) {
    let cpu = |run: &RunTrace| {
        let (id, step, _) = task_parts(&run.task);
        jobs.get(id).map_or(500, |job| job.steps[step].cpu)
    };
    for run in runs {
        let beside = runs.iter().filter(|other| {
            other.worker == run.worker
                && other.began <= run.began
                && other.ended.is_none_or(|(at, _)| at > run.began)
        });
        let used: u64 = beside.map(cpu).sum();
        if used > CPU {
            broken.push(format!("LIMIT {} at {:?}: {used}", run.worker, run.began));
        }
    }
}
