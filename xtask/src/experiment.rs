//! Measures response times and goodput of real processes at several loads, for each placement policy.

use std::{fs, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use eyre::Result;
use load::{run_load, LoadReport, LoadSettings, LoadShape, LoadTargets};
use serde::Serialize;
use serde_json::json;

use crate::{
    fleet::{build_programs, FleetSettings, ProcessFleet},
    usage::load_average,
};

/// Idle time before each load, so that the queue of one load does not affect the next.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Options of an experiment.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ExperimentOptions {
    /// Number of data centres
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    data_centres: u16,
    /// Number of VMs over all data centres, each with an entry and a dispatcher
    #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
    vms: u16,
    /// Number of endpoints over all data centres
    #[bpaf(argument("COUNT"), fallback(50), display_fallback)]
    endpoints: u16,
    /// Number of slots of each endpoint
    #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
    slots: u32,
    /// Loads as percentages of the slots, separated by commas
    #[bpaf(argument("LIST"), fallback("60,80,90,100,130".to_owned()), display_fallback)]
    load: String,
    /// How long calls are sent at each load, in seconds
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    seconds: u64,
    /// Placement policies, separated by commas
    #[bpaf(argument("LIST"), fallback("free_slots".to_owned()), display_fallback)]
    placement: String,
    /// Load shape: trust or utility
    #[bpaf(argument("SHAPE"), fallback(LoadShape::Trust), display_fallback)]
    shape: LoadShape,
    /// Seed of the load plan; the same seed gives the same calls
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of customers that submit calls
    #[bpaf(argument("COUNT"), fallback(5), display_fallback)]
    customers: usize,
    /// Concurrency of each customer's contract; by default, the number of slots of all endpoints
    #[bpaf(argument("COUNT"), optional)]
    concurrency: Option<u32>,
    /// Directory for settings, logs and the report
    #[bpaf(argument("DIR"), fallback(default_out()))]
    out: PathBuf,
}

#[derive(Serialize)]
struct ExperimentRow {
    placement: String,
    percent: f64,
    load_average: [String; 2],
    report: LoadReport,
}

/// Runs every placement policy at every load, prints a table and writes `experiment.json`.
pub(crate) async fn run(options: ExperimentOptions) -> Result<()> {
    build_programs()?;
    let mut rows = Vec::new();
    println!(
        "{:<13} {:>5}  {:>6} {:>6} {:>6}  {:>8} {:>9} {:>8}  {:>8} {:>7} {:>7} {:>5}  load average",
        "placement",
        "load",
        "p50",
        "p90",
        "p99",
        "goodput",
        "messages",
        "wasted",
        "complete",
        "refused",
        "failed",
        "lost"
    );
    for placement in options.placement.split(',') {
        let fleet = start_fleet(&options, placement).await?;
        for percent in options.load.split(',') {
            let row = run_row(&options, &fleet, placement, percent.parse()?).await?;
            print_row(&row);
            rows.push(row);
            let file = options.out.join("experiment.json");
            fs::write(file, serde_json::to_vec_pretty(&rows)?)?;
            actix_rt::time::sleep(SETTLE_TIME).await;
        }
    }
    Ok(())
}

async fn start_fleet(options: &ExperimentOptions, placement: &str) -> Result<ProcessFleet> {
    let fleet = ProcessFleet::start(FleetSettings {
        data_centres: options.data_centres,
        vms: options.vms,
        endpoints: options.endpoints,
        slots: options.slots,
        placement: placement.to_owned(),
        dir: options.out.join(placement),
    })
    .await?;
    let concurrency = options.concurrency.unwrap_or(total_slots(options));
    // The Trust pays for each wasted message, the Utility for each late answer, so only the Utility moves queued tasks.
    let move_queued = options.shape == LoadShape::Utility;
    let contract = json!({ "concurrency": concurrency, "move_queued": move_queued });
    fleet
        .create_contracts("customer", 1..=options.customers, &contract)
        .await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    Ok(fleet)
}

async fn run_row(
    options: &ExperimentOptions,
    fleet: &ProcessFleet,
    placement: &str,
    percent: f64,
) -> Result<ExperimentRow> {
    let slots = total_slots(options);
    let settings = LoadSettings {
        shape: options.shape,
        seed: options.seed,
        task_rate: options.shape.parameters().task_rate(percent, slots),
        duration: Duration::from_secs(options.seconds),
        ..LoadSettings::default()
    };
    let customers = 1..=options.customers;
    let targets = LoadTargets {
        entries: fleet.entries(),
        dispatchers: fleet.dispatcher_admins(),
        endpoints: fleet.endpoint_addresses(),
        customers: customers
            .map(|number| format!("customer-{number}"))
            .collect(),
        slots: Some(slots),
    };
    let before = load_average();
    let (report, _) = run_load(&settings, &targets, |_, _| {}).await?;
    Ok(ExperimentRow {
        placement: placement.to_owned(),
        percent,
        load_average: [before, load_average()],
        report,
    })
}

fn total_slots(options: &ExperimentOptions) -> u32 {
    u32::from(options.endpoints) * options.slots
}

fn print_row(row: &ExperimentRow) {
    let (all, report) = (&row.report.all, &row.report);
    let ratios = all.over_ideal;
    println!(
        "{:<13} {:>4}%  {:>6.2} {:>6.2} {:>6.2}  {:>7.1}% {:>9.2} {:>7.2}%  {:>8} {:>7} {:>7} {:>5}  {} to {}",
        row.placement,
        row.percent,
        ratios.p50,
        ratios.p90,
        ratios.p99,
        report.goodput.unwrap_or(0.0) * 100.0,
        report.messages_per_task.unwrap_or(0.0),
        report.wasted_part.unwrap_or(0.0) * 100.0,
        all.complete,
        all.refused,
        all.failed + all.unknown,
        all.lost,
        row.load_average[0],
        row.load_average[1],
    );
    if let Some(starts) = &report.starts {
        if starts.doubled > 0 || all.wrong > 0 {
            println!(
                "  doubled starts {}, wrong answers {}",
                starts.doubled, all.wrong
            );
        }
    }
}

fn default_out() -> PathBuf {
    PathBuf::from("target/experiment")
}
