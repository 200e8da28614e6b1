//! A job that is not kept is submitted again after an attempt without an answer. By then everything that the attempt
//! started has to be over, also where a process of the system was frozen meanwhile.

use std::time::Duration;

use scenario::find_binary;
use soak::{run_soak, CustomerPlan, FaultMix, FreezePlan, SoakPlan};

/// How long after an attempt its starts may still arrive: the way of a start sent just before, on a busy machine.
const STRAY_LIMIT: Duration = Duration::from_millis(100);

/// Fails if an owner that was frozen runs jobs that their entries answered 504 long before, beside their next attempts.
#[actix_rt::test]
async fn a_woken_owner_runs_no_job_of_an_ended_attempt() {
    let plan = SoakPlan {
        seed: 1,
        fault_duration: Duration::from_secs(7),
        nodes: 6,
        workers: 60,
        rate: 60.0,
        crash_series: false,
        faults: FaultMix::Freezes(FreezePlan {
            lengths_ms: (1_300, 2_400),
            gaps_ms: (400, 600),
            silent_store: true,
        }),
        customers: CustomerPlan {
            long_share: 1.0,
            kept_share: 0.0,
            early_leave_share: 0.0,
            reset_share: 0.0,
            ..CustomerPlan::default()
        },
        stray_limit: Some(STRAY_LIMIT),
        ..SoakPlan::default()
    };
    let binary = find_binary().expect("the program");
    let dir = std::env::temp_dir().join(format!("attempts-{}", std::process::id()));
    let report = run_soak(&plan, &binary, &dir).await.expect("a soak");
    assert!(report.failures.is_empty(), "{report:#?}\nlogs: {dir:?}");
    assert!(report.retried > 0, "{report:#?}");
    std::fs::remove_dir_all(&dir).expect("the logs are removed");
}
