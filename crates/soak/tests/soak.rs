//! Short soak of the real program. `cargo run -p xtask -- soak` runs longer ones.

use std::time::Duration;

use scenario::find_binary;
use soak::{run_soak, SoakPlan};

/// Any fault may occur on any node or worker, repeatedly and overlapping others. Answers must still be true and in
/// time, no worker may get too many runs, no task may run twice at once, and all jobs must be served afterwards.
#[actix_rt::test]
async fn a_short_soak_keeps_all_promises() {
    check(1).await;
}

async fn check(seed: u64) {
    let plan = SoakPlan {
        worker_restarts: true,
        seed,
        fault_duration: Duration::from_secs(8),
        nodes: 3,
        workers: 8,
        rate: 15.0,
        ..SoakPlan::default()
    };
    let binary = find_binary().expect("the program");
    let dir = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    let report = run_soak(&plan, &binary, &dir).await.expect("a soak");
    assert!(report.failures.is_empty(), "{report:#?}\nlogs: {dir:?}");
    assert!(report.completed > report.jobs / 2, "{report:#?}");
    std::fs::remove_dir_all(&dir).expect("the logs are removed");
}
