//! Measures the cost of grants: how long a customer's first submission waits for its grant, and how many messages per
//! second are sent to ask for grants.
//!
//! `cargo run -p demo --example grant_cost`. All 8 VMs run in one process, on one control thread.

use std::time::{Duration, Instant};

use awc::Client;
use demo::{CallerClient, DemoFleet, FleetSettings, TaskSpec};
use eyre::{eyre, Result};
use model::CustomerId;

const CUSTOMER_COUNT: u32 = 40;
const GRANT_ASKS_METRIC: &str = "cairnpaddle_grant_asks_total";

/// Longer than the grant term and margin of the fleet, after which every home dispatcher grants.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const MEASURE_TIME: Duration = Duration::from_secs(10);

#[actix_rt::main]
async fn main() -> Result<()> {
    let fleet = DemoFleet::start(FleetSettings {
        vms: 8,
        endpoints: 8,
        slots: 8,
        ..FleetSettings::default()
    })
    .await?;
    fleet.wait_until_ready().await?;
    let mut customers: Vec<CustomerId> = Vec::new();
    for number in 1..=CUSTOMER_COUNT {
        let customer = format!("school-{number}").parse()?;
        fleet.create_contract(&customer).await?;
        customers.push(customer);
    }
    for customer in &customers {
        fleet.wait_until_in_force(customer).await?;
    }
    actix_rt::time::sleep(SETTLE_TIME).await;
    compare_first_and_second(&fleet, &customers).await?;
    for active in [0, 10, CUSTOMER_COUNT as usize] {
        measure_grant_asks(&fleet, &customers[..active]).await?;
    }
    fleet.stop().await;
    Ok(())
}

/// Compares the first and the second submission of each customer, both through the same entry.
async fn compare_first_and_second(fleet: &DemoFleet, customers: &[CustomerId]) -> Result<()> {
    let entries = fleet.caller_addresses();
    let (mut first, mut second) = (Vec::new(), Vec::new());
    for (number, customer) in customers.iter().enumerate() {
        let client = CallerClient::new(vec![entries[number % entries.len()]]);
        // Opens the connection, so that neither measured submission includes the time to connect.
        client.ticket(customer).await?;
        first.push(timed_job(&client, customer).await?);
        second.push(timed_job(&client, customer).await?);
    }
    println!("first submission: {}", summary(first));
    println!("second submission: {}", summary(second));
    Ok(())
}

async fn timed_job(client: &CallerClient, customer: &CustomerId) -> Result<Duration> {
    let started = Instant::now();
    let reply = client
        .job(customer, &[TaskSpec::numbered("week", 0)])
        .await?;
    if reply.status != "complete" {
        return Err(eyre!("{}: {:?}", reply.status, reply.reason));
    }
    Ok(started.elapsed())
}

/// Counts the batches of grant asks while each active customer submits jobs of one task, one after another, to the
/// entries in turn.
async fn measure_grant_asks(fleet: &DemoFleet, active: &[CustomerId]) -> Result<()> {
    let before = read_grant_asks(fleet).await?;
    let started = Instant::now();
    let mut callers = Vec::new();
    for customer in active {
        let client = CallerClient::new(fleet.caller_addresses());
        let customer = customer.clone();
        callers.push(actix_rt::spawn(async move {
            let mut jobs: u32 = 0;
            while started.elapsed() < MEASURE_TIME {
                timed_job(&client, &customer).await?;
                jobs += 1;
            }
            Ok::<u32, eyre::Report>(jobs)
        }));
    }
    actix_rt::time::sleep(MEASURE_TIME).await;
    let mut jobs = 0;
    for caller in callers {
        jobs += caller.await??;
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let grant_asks = read_grant_asks(fleet).await? - before;
    println!(
        "{} active customers: {:.1} jobs/s, {:.1} batches of grant asks/s over 8 entries",
        active.len(),
        f64::from(jobs) / elapsed_s,
        grant_asks / elapsed_s
    );
    Ok(())
}

async fn read_grant_asks(fleet: &DemoFleet) -> Result<f64> {
    let client = Client::default();
    let mut sum = 0.0;
    for address in fleet.caller_addresses() {
        let url = format!("http://{address}/metrics");
        let mut reply = client.get(url).send().await.map_err(|e| eyre!("{e}"))?;
        let body = reply.body().await.map_err(|e| eyre!("{e}"))?;
        let page = String::from_utf8_lossy(&body).into_owned();
        let line = page
            .lines()
            .find(|line| line.starts_with(GRANT_ASKS_METRIC));
        let value = line.and_then(|line| line.rsplit(' ').next());
        sum += value.map_or(Ok(0.0), str::parse)?;
    }
    Ok(sum)
}

fn summary(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
    format!(
        "median {:?}, p90 {:?}, max {:?}",
        percentile(50),
        percentile(90),
        percentile(100)
    )
}
