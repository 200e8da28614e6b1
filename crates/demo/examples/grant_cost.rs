//! What grants cost: the wait of a customer's first submission for its grant, and messages a second.
//!
//! `cargo run -p demo --example grant_cost`. Everything runs in one process, 8 VMs on one control thread.

use std::time::{Duration, Instant};

use awc::Client;
use demo::{CallerClient, DemoFleet, FleetSettings, TaskSpec};
use eyre::{eyre, Result};
use model::CustomerId;

const CUSTOMERS: u32 = 40;
const METRIC: &str = "cairnpaddle_grant_asks_total";

/// Longer than the demonstration's term and margin, so that every home grants.
const SETTLED: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(10);

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
    for number in 1..=CUSTOMERS {
        let customer = format!("school-{number}").parse()?;
        fleet.create_contract(&customer).await?;
        customers.push(customer);
    }
    for customer in &customers {
        fleet.wait_until_in_force(customer).await?;
    }
    actix_rt::time::sleep(SETTLED).await;
    compare_first(&fleet, &customers).await?;
    for active in [0, 10, CUSTOMERS as usize] {
        count_asks(&fleet, &customers[..active]).await?;
    }
    fleet.stop().await;
    Ok(())
}

/// First and second submission of each customer, through the same entry.
async fn compare_first(fleet: &DemoFleet, customers: &[CustomerId]) -> Result<()> {
    let entries = fleet.caller_addresses();
    let (mut first, mut second) = (Vec::new(), Vec::new());
    for (number, customer) in customers.iter().enumerate() {
        let client = CallerClient::new(vec![entries[number % entries.len()]]);
        // Connects, so that neither of the two pays for it.
        client.ticket(customer).await?;
        first.push(timed_job(&client, customer).await?);
        second.push(timed_job(&client, customer).await?);
    }
    println!("first submission: {}", summary(first));
    println!("second submission: {}", summary(second));
    Ok(())
}

async fn timed_job(client: &CallerClient, customer: &CustomerId) -> Result<Duration> {
    let begun = Instant::now();
    let reply = client
        .job(customer, &[TaskSpec::numbered("week", 0)])
        .await?;
    if reply.status != "complete" {
        return Err(eyre!("{}: {:?}", reply.status, reply.reason));
    }
    Ok(begun.elapsed())
}

/// Each active customer has one job of one task after the other, at each entry in turn.
async fn count_asks(fleet: &DemoFleet, active: &[CustomerId]) -> Result<()> {
    let before = asks(fleet).await?;
    let begun = Instant::now();
    let mut callers = Vec::new();
    for customer in active {
        let client = CallerClient::new(fleet.caller_addresses());
        let customer = customer.clone();
        callers.push(actix_rt::spawn(async move {
            let mut jobs: u32 = 0;
            while begun.elapsed() < WINDOW {
                timed_job(&client, &customer).await?;
                jobs += 1;
            }
            Ok::<u32, eyre::Report>(jobs)
        }));
    }
    actix_rt::time::sleep(WINDOW).await;
    let mut jobs = 0;
    for caller in callers {
        jobs += caller.await??;
    }
    let took = begun.elapsed().as_secs_f64();
    let sent = asks(fleet).await? - before;
    println!(
        "{} active customers: {:.1} jobs/s, {:.1} batches of asks/s over 8 entries",
        active.len(),
        f64::from(jobs) / took,
        sent / took
    );
    Ok(())
}

async fn asks(fleet: &DemoFleet) -> Result<f64> {
    let client = Client::default();
    let mut sum = 0.0;
    for address in fleet.caller_addresses() {
        let url = format!("http://{address}/metrics");
        let mut reply = client.get(url).send().await.map_err(|e| eyre!("{e}"))?;
        let body = reply.body().await.map_err(|e| eyre!("{e}"))?;
        let page = String::from_utf8_lossy(&body).into_owned();
        let line = page.lines().find(|line| line.starts_with(METRIC));
        let value = line.and_then(|line| line.rsplit(' ').next());
        sum += value.map_or(Ok(0.0), str::parse)?;
    }
    Ok(sum)
}

fn summary(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    format!("median {:?}, p90 {:?}, most {:?}", at(50), at(90), at(100))
}
