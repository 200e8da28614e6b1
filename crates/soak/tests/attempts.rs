//! A job that is not kept is submitted again after an attempt without an answer. By then everything that the attempt
//! started has to be over, also where a process of the system was frozen meanwhile, or where the attempt's node has not
//! heard that the customer's connection broke.

use std::time::Duration;

use scenario::find_binary;
use soak::{run_soak, CustomerPlan, FaultMix, FreezePlan, SoakPlan, SoakReport};
use tokio::sync::Mutex;

/// Held by the running test, since the nodes of all soaks of a process have the same addresses.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// The fewest unheard breaks that a run has to have had.
const MIN_UNHEARD: usize = 50;

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
            ..CustomerPlan::heard_breaks()
        },
        stray_limit: Some(STRAY_LIMIT),
        ..SoakPlan::default()
    };
    let report = check(&plan).await;
    assert!(report.retried > 0, "{report:#?}");
}

/// Guards against two runs of one task after a break of the customer's connection that its node does not hear of: the node
/// goes on with the attempt, and the customer's next one is run by another data centre.
#[actix_rt::test]
async fn a_break_that_no_node_hears_leads_to_no_second_run() {
    let report = check(&unheard_breaks(1, FaultMix::None)).await;
    assert!(report.unheard > MIN_UNHEARD, "{report:#?}");
}

/// Guards against the same where nodes are killed, stopped or frozen, or the store is away, between the break and the next
/// attempt.
#[actix_rt::test]
async fn an_unheard_break_and_one_fault_lead_to_no_second_run() {
    // The seed has faults of all four kinds.
    let report = check(&unheard_breaks(4, FaultMix::SingleNodes)).await;
    assert!(report.unheard > MIN_UNHEARD, "{report:#?}");
}

/// Long jobs of customers half of whose connections break unheard, on two data centres with workers to spare.
fn unheard_breaks(seed: u64, faults: FaultMix) -> SoakPlan {
    SoakPlan {
        seed,
        fault_duration: Duration::from_secs(7),
        nodes: 4,
        workers: 40,
        rate: 20.0,
        crash_series: false,
        faults,
        customers: CustomerPlan {
            long_share: 1.0,
            varied_share: 1.0,
            varied_runs_ms: (800, 2_000),
            kept_share: 0.0,
            early_leave_share: 0.0,
            reset_share: 0.0,
            unheard_share: 0.5,
            ..CustomerPlan::default()
        },
        ..SoakPlan::default()
    }
}

/// Runs a plan, and expects that no invariant is violated.
async fn check(plan: &SoakPlan) -> SoakReport {
    let _running = RUNNING.lock().await;
    let binary = find_binary().expect("the program");
    let dir = std::env::temp_dir().join(format!("attempts-{}-{}", std::process::id(), plan.seed));
    let report = run_soak(plan, &binary, &dir).await.expect("a soak");
    assert!(report.failures.is_empty(), "{report:#?}\nlogs: {dir:?}");
    std::fs::remove_dir_all(&dir).expect("the logs are removed");
    report
}
