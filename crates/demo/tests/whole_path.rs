//! Runs the demonstration: the whole system on stand-ins, in one process.

use demo::FleetSettings;

#[actix_rt::test]
async fn every_call_is_complete_and_nothing_runs_twice() {
    let report = demo::run(FleetSettings::default())
        .await
        .expect("the demonstration runs");
    assert!(report.is_complete(), "{report}");
    // Five tasks of the job, one request and one request with a ticket. Sending the ticket again starts nothing.
    assert_eq!(report.starts, 7, "{report}");
}
