//! A demonstration of the whole system in one process: stand-ins of the platform and the endpoints, dispatchers,
//! entries and a few callers.

mod calls;
mod fleet;
mod report;

pub use crate::{
    calls::{CallerClient, CallerReply, TaskSpec},
    fleet::{DemoFleet, FleetSettings},
    report::DemoReport,
};

use eyre::{ensure, Result};
use model::CustomerId;

/// Runs the demonstration on stand-ins and reports the answers of its calls.
///
/// # Errors
///
/// A process or stand-in could not be started or did not become ready, a call got no answer, a complete answer did not
/// match the tasks' payloads, or stopping the fleet cut submissions or tasks.
pub async fn run(settings: FleetSettings) -> Result<DemoReport> {
    let fleet = DemoFleet::start(settings).await?;
    let customer: CustomerId = "demo-school".parse()?;
    fleet.wait_until_ready().await?;
    fleet.create_contract(&customer).await?;
    fleet.wait_until_in_force(&customer).await?;
    let report = make_calls(&fleet, &customer).await;
    let cut = fleet.stop().await;
    let report = DemoReport { cut, ..report? };
    ensure!(
        report.cut == 0,
        "stopping the fleet cut {} submissions and tasks",
        report.cut
    );
    Ok(report)
}

async fn make_calls(fleet: &DemoFleet, customer: &CustomerId) -> Result<DemoReport> {
    let mut report = DemoReport::default();
    let client = CallerClient::new(fleet.caller_addresses());
    let tasks: Vec<TaskSpec> = (0..5)
        .map(|index| TaskSpec::numbered("week", index))
        .collect();
    report.record("a job of five tasks", client.job(customer, &tasks).await?);
    report.record(
        "a request without a key",
        client
            .request(customer, &TaskSpec::numbered("hold", 0))
            .await?,
    );
    let ticket = client.ticket(customer).await?;
    let task = TaskSpec::numbered("confirm", 1);
    // The ticket is sent again through another entry and must get the answer of the first request.
    report.record(
        "a request with a ticket",
        client
            .request_with_ticket(0, customer, &ticket, &task)
            .await?,
    );
    report.record(
        "the same ticket through another entry",
        client
            .request_with_ticket(1, customer, &ticket, &task)
            .await?,
    );
    report.starts = fleet.starts();
    Ok(report)
}
