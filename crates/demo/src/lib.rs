//! The whole path in one process: stand-ins of the platform and the endpoints, dispatchers, entries, a few callers.

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

/// Runs the demonstration on stand-ins and says what came of it.
///
/// # Errors
///
/// A part could not be started, or an answer was not what it should be.
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
        "{} submissions were cut by the stop",
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
    // The second arrival comes through another entry and must get the first one's answer.
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
