//! A machine is added while writes to the store get no answer and are carried out late. The workers are divided into
//! more pools, and a worker's new owner stores the ends of its runs in the rows of another pool's kept jobs.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use platform_stand_ins::RunRecord;
use serde_json::json;

use crate::{
    fleet::{
        ask_states, hand_in, hand_in_kept, new_job_id, start_nodes, start_store, start_workers,
        AcceptedJobs, Node, PREFIX, SERVICE,
    },
    proxy::StoreProxy,
    record::{record_runs, runs_by_task},
    CaseResult, Setup, Verdict,
};

const ZONE: &str = "regina-hall";

/// More than one machine of 0.25 cores is meant to carry, so that the workers are divided anew once there are others.
const WORKERS: usize = 52;

/// The traffic: one kept job and one that need not be stored in each interval.
const JOB_INTERVAL: Duration = Duration::from_millis(60);
const TRAFFIC_TIME: Duration = Duration::from_millis(9_000);

/// When the machine is added, after the start of the traffic.
const ADDED_AFTER: Duration = Duration::from_millis(4_000);

/// The disruption: `platform_lost`, x = 0.35, for_s = 4.5, how = late.
const LATE_SHARE: f64 = 0.35;
const LATE_TIME: Duration = Duration::from_millis(4_500);

/// `finish_s`.
const FINISH_TIME: Duration = Duration::from_secs(14);

pub(crate) async fn run(setup: &Setup) -> CaseResult {
    let record = &setup.record;
    let store = start_store().await;
    let workers = start_workers(&store, SERVICE, ZONE, "r1-1", WORKERS).await;
    let proxy = StoreProxy::start(store.address()).await?;
    let mut nodes = Vec::new();
    for number in 0..2 {
        nodes.push(Node::new(&setup.dir, number, ZONE, proxy.address)?);
    }
    start_nodes(&mut nodes[..1]).await?;
    let customers = nodes[0].customers;
    let accepted = AcceptedJobs::default();
    let step = |count: u32, after: &[u32]| json!({"Count": count, "Cpu": 2000, "MemMb": 64, "EstMs": 300, "After": after});
    let kept = json!({
        "Spec": "run-ms-300",
        "Phases": [step(36, &[]), step(2, &[0]), step(2, &[1]), step(2, &[2])],
    });
    let loose = json!({
        "Spec": "run-ms-60", "Ephemeral": true,
        "Phases": [{"Count": 8, "Cpu": 1000, "MemMb": 64, "EstMs": 60}],
    });
    let began = Instant::now();
    let mut added = false;
    while began.elapsed() < TRAFFIC_TIME {
        hand_in_kept(record, customers, &accepted, &kept, Duration::from_secs(8));
        let patience = Duration::from_millis(1_500);
        let path = format!("{PREFIX}{}", new_job_id());
        let _answer = hand_in(record, customers, &path, &loose, patience);
        if !added && began.elapsed() >= ADDED_AFTER {
            added = true;
            if setup.trouble {
                proxy.make_writes_late(LATE_SHARE, LATE_TIME);
                record.add("0.35 of the writes get no answer and are carried out 1 to 6 s later, for 4.5 s");
            }
            record.add("a machine is added");
            nodes[1].start()?;
        }
        sleep(JOB_INTERVAL).await;
    }
    record.add("the traffic ends");
    sleep(FINISH_TIME).await;
    record.add(format!("{} writes were late", proxy.late_writes()));
    ask_states(record, customers, &accepted).await;
    let mut twice = 0;
    let accepted = accepted.borrow();
    for (task, runs) in runs_by_task(&workers) {
        record_runs(record, &runs);
        let is_kept = accepted.iter().any(|id| task.starts_with(id.as_str()));
        if is_kept && ran_twice(&runs) {
            twice += 1;
            record.add(format!("TWICE: {task}"));
        }
    }
    record.add(format!(
        "{} kept jobs, {twice} tasks ran twice",
        accepted.len()
    ));
    match (setup.trouble, proxy.late_writes()) {
        (true, 0) => Err("no write was late".into()),
        _ if twice > 0 => Ok(Verdict::Broken),
        _ => Ok(Verdict::Held),
    }
}

/// Whether two runs of a task overlap, or one began after another had ended `done` with an end that was taken note of.
fn ran_twice(runs: &[(String, RunRecord)]) -> bool {
    runs.iter().enumerate().any(|(index, (_, run))| {
        let noted_done =
            run.acknowledged.is_some() && run.ended.is_some_and(|(_, how)| how == "done");
        runs[index + 1..].iter().any(|(_, later)| {
            let overlaps = run.ended.is_none_or(|(at, _)| later.began < at);
            overlaps || noted_done
        })
    })
}
