//! Measures how processor time, memory and network traffic of an entry and a dispatcher grow, with one table for each
//! parameter, on real processes. The operating system counts processor time and memory per process, so a busy
//! machine lengthens responses but hardly changes these figures.

use std::{
    collections::BTreeMap,
    fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use eyre::{bail, Result};
use load::{run_load, LoadSettings, LoadTargets};
use serde::Serialize;
use serde_json::{json, Value};

use crate::{
    fleet::{build_programs, FleetSettings, ProcessFleet},
    http,
    usage::{load_average, tcp_bytes, ProcessUsage},
};

/// How long processes are measured, idle or under load.
const SAMPLE_TIME: Duration = Duration::from_secs(8);
/// Wait before a measurement, so that the effects of a start or a change have ended.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Number of contracts in the tables `members` and `changes`: the number of teams in the target.
const TEAM_COUNT: usize = 140;

/// Options of the measurements.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct SlopesOptions {
    /// Tables, separated by commas: starts, open, endpoints, contracts, members, changes
    #[bpaf(
        argument("LIST"),
        fallback("starts,open,endpoints,contracts,members,changes".to_owned()),
        display_fallback
    )]
    tables: String,
    /// Directory for settings, logs and the figures
    #[bpaf(argument("DIR"), fallback(default_out()))]
    out: PathBuf,
}

/// One row of a table: the value of the parameter and the figures measured at that value.
#[derive(Debug, Serialize)]
struct SlopeRow {
    table: String,
    load_average: String,
    figures: BTreeMap<&'static str, f64>,
}

/// Measures the requested tables, prints each row and writes `slopes.json`.
pub(crate) async fn run(options: SlopesOptions) -> Result<()> {
    build_programs()?;
    let mut rows = Vec::new();
    for table in options.tables.split(',') {
        let dir = options.out.join(table);
        let figures = match table {
            "starts" => measure_starts(dir).await?,
            "open" => measure_open(dir).await?,
            "endpoints" => measure_endpoints(dir).await?,
            "contracts" => measure_contracts(dir).await?,
            "members" => measure_members(dir).await?,
            "changes" => measure_changes(dir).await?,
            other => bail!("unknown table {other}"),
        };
        rows.extend(figures);
        fs::write(
            options.out.join("slopes.json"),
            serde_json::to_vec_pretty(&rows)?,
        )?;
    }
    Ok(())
}

fn default_out() -> PathBuf {
    PathBuf::from("target/slopes")
}

fn print_row(table: &str, figures: &[(&'static str, f64)]) -> SlopeRow {
    let row = SlopeRow {
        table: table.to_owned(),
        load_average: load_average(),
        figures: figures.iter().copied().collect(),
    };
    let mut line = format!("{table:<10}");
    for (name, value) in figures {
        line += &format!(" {name}={value:.3}");
    }
    println!("{line} load_average={}", row.load_average);
    row
}

/// Usage of all entries and of all dispatchers at one moment.
#[derive(Clone, Copy)]
struct UsageSnapshot {
    entry: ProcessUsage,
    dispatcher: ProcessUsage,
    at: Instant,
}

impl UsageSnapshot {
    fn take(fleet: &ProcessFleet) -> Result<Self> {
        Ok(Self {
            entry: ProcessUsage::total(&fleet.entry_pids())?,
            dispatcher: ProcessUsage::total(&fleet.dispatcher_pids())?,
            at: Instant::now(),
        })
    }

    /// Mean processor use of one entry and of one dispatcher since `before`, in percent of a core. There are `count` of
    /// each.
    fn percent_since(&self, before: &Self, count: u16) -> (f64, f64) {
        let time = (self.at - before.at).as_secs_f64() * f64::from(count) / 100.0;
        let entry = (self.entry.cpu - before.entry.cpu) / time;
        let dispatcher = (self.dispatcher.cpu - before.dispatcher.cpu) / time;
        (entry, dispatcher)
    }

    /// Mean memory of one entry and of one dispatcher, in MiB. There are `count` of each.
    fn memory(&self, count: u16) -> (f64, f64) {
        let mib = |rss: u64| rss as f64 / 1024.0 / f64::from(count);
        (mib(self.entry.rss), mib(self.dispatcher.rss))
    }
}

/// Measures an idle fleet and returns the figures of one entry and one dispatcher.
async fn measure_idle(fleet: &ProcessFleet, vms: u16) -> Result<Vec<(&'static str, f64)>> {
    actix_rt::time::sleep(SETTLE_TIME).await;
    let before = UsageSnapshot::take(fleet)?;
    actix_rt::time::sleep(SAMPLE_TIME).await;
    let after = UsageSnapshot::take(fleet)?;
    let (entry_cpu, dispatcher_cpu) = after.percent_since(&before, vms);
    let (entry_mib, dispatcher_mib) = after.memory(vms);
    Ok(vec![
        ("entry_cpu_percent", entry_cpu),
        ("dispatcher_cpu_percent", dispatcher_cpu),
        ("entry_mib", entry_mib),
        ("dispatcher_mib", dispatcher_mib),
    ])
}

fn permissive_contract() -> Value {
    json!({ "concurrency": 100_000, "answer_within_ms": 600_000, "may_refuse": "nothing" })
}

/// Measures processor time per task start, on one VM with enough endpoint slots for all tasks.
async fn measure_starts(dir: PathBuf) -> Result<Vec<SlopeRow>> {
    let mut rows = Vec::new();
    for rate in [0.0, 100.0, 300.0, 1_000.0, 2_000.0] {
        let fleet = ProcessFleet::start(FleetSettings {
            endpoints: 30,
            slots: 60,
            dir: dir.clone(),
            ..FleetSettings::default()
        })
        .await?;
        fleet
            .create_contracts("customer", 1..=5, &permissive_contract())
            .await?;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let before = UsageSnapshot::take(&fleet)?;
        let settings = LoadSettings {
            task_rate: rate,
            duration: SAMPLE_TIME,
            ..LoadSettings::default()
        };
        let targets = LoadTargets {
            entries: fleet.entries(),
            dispatchers: fleet.dispatcher_admins(),
            customers: (1..=5).map(|number| format!("customer-{number}")).collect(),
            ..LoadTargets::default()
        };
        let (report, _) = run_load(&settings, &targets, |_, _| {}).await?;
        if rate == 0.0 {
            actix_rt::time::sleep(SAMPLE_TIME).await;
        }
        let after = UsageSnapshot::take(&fleet)?;
        let seconds = (after.at - before.at).as_secs_f64();
        let (entry_mib, dispatcher_mib) = after.memory(1);
        let offers = report.counters.unwrap_or_default().offers;
        rows.push(print_row(
            "starts",
            &[
                ("rate", rate),
                ("tasks", report.useful_tasks as f64),
                ("offers", offers),
                ("seconds", seconds),
                ("entry_cpu_s", after.entry.cpu - before.entry.cpu),
                (
                    "dispatcher_cpu_s",
                    after.dispatcher.cpu - before.dispatcher.cpu,
                ),
                ("entry_mib", entry_mib),
                ("dispatcher_mib", dispatcher_mib),
                ("messages_per_task", report.messages_per_task.unwrap_or(0.0)),
                ("p99_over_ideal", report.all.over_ideal.p99),
            ],
        ));
    }
    Ok(rows)
}

/// Measures memory per open submission, including the caller's connection. The submissions have one task each and wait
/// for the only slot.
async fn measure_open(dir: PathBuf) -> Result<Vec<SlopeRow>> {
    let fleet = ProcessFleet::start(FleetSettings {
        endpoints: 1,
        slots: 1,
        dir,
        ..FleetSettings::default()
    })
    .await?;
    fleet
        .create_contracts("customer", 1..=1, &permissive_contract())
        .await?;
    let entry = fleet.entries()[0];
    let mut rows = Vec::new();
    let mut sent = 0;
    for target_count in [0, 500, 1_000, 2_000] {
        while sent < target_count {
            sent += 1;
            actix_rt::spawn(send_long_task(entry));
            if sent % 50 == 0 {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
        actix_rt::time::sleep(SETTLE_TIME).await;
        let page = http::text(fleet.client(), entry, "/v1/status").await?;
        let status: Value = serde_json::from_str(&page)?;
        let (entry_mib, dispatcher_mib) = UsageSnapshot::take(&fleet)?.memory(1);
        rows.push(print_row(
            "open",
            &[
                ("sent", f64::from(target_count)),
                (
                    "open",
                    status["open_submissions"].as_f64().unwrap_or(f64::NAN),
                ),
                ("entry_mib", entry_mib),
                ("dispatcher_mib", dispatcher_mib),
            ],
        ));
    }
    Ok(rows)
}

/// Sends a job of one task that runs for a minute. Its answer is not used, and the job ends when the processes are
/// killed.
async fn send_long_task(entry: std::net::SocketAddr) {
    let connector = awc::Connector::new().limit(0);
    let client = awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish();
    // base64 of {"run_ms":60000}
    let task = json!({ "kind": "load", "payload": "eyJydW5fbXMiOjYwMDAwfQ==" });
    let body = json!({ "customer": "customer-1", "tasks": [task] });
    let sent = client.post(format!("http://{entry}/v1/jobs"));
    drop(sent.send_json(&body).await);
}

/// Measures idle usage per owned endpoint, with one dispatcher.
async fn measure_endpoints(dir: PathBuf) -> Result<Vec<SlopeRow>> {
    let mut rows = Vec::new();
    for endpoints in [10, 100, 200] {
        let fleet = ProcessFleet::start(FleetSettings {
            endpoints,
            dir: dir.clone(),
            ..FleetSettings::default()
        })
        .await?;
        let mut figures = vec![("endpoints", f64::from(endpoints))];
        figures.extend(measure_idle(&fleet, 1).await?);
        rows.push(print_row("endpoints", &figures));
    }
    Ok(rows)
}

/// Measures idle usage per contract, on two VMs.
async fn measure_contracts(dir: PathBuf) -> Result<Vec<SlopeRow>> {
    let fleet = ProcessFleet::start(FleetSettings {
        vms: 2,
        dir,
        ..FleetSettings::default()
    })
    .await?;
    let mut rows = Vec::new();
    let mut created = 0;
    for target_count in [10, 140, 1_400] {
        let started = Instant::now();
        fleet
            .create_contracts("team", created + 1..=target_count, &json!({}))
            .await?;
        created = target_count;
        let creation_s = started.elapsed().as_secs_f64();
        let mut figures = vec![
            ("contracts", target_count as f64),
            ("creation_s", creation_s),
        ];
        figures.extend(measure_idle(&fleet, 2).await?);
        rows.push(print_row("contracts", &figures));
    }
    Ok(rows)
}

/// Measures idle usage and network traffic per member of a data centre, with [`TEAM_COUNT`] contracts.
async fn measure_members(dir: PathBuf) -> Result<Vec<SlopeRow>> {
    let mut rows = Vec::new();
    for vms in [2, 4, 8, 16] {
        let fleet = ProcessFleet::start(FleetSettings {
            vms,
            endpoints: 16,
            dir: dir.clone(),
            ..FleetSettings::default()
        })
        .await?;
        fleet
            .create_contracts("team", 1..=TEAM_COUNT, &json!({}))
            .await?;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let mut figures = vec![("members", f64::from(vms))];
        let bytes = read_link_bytes(&fleet)?;
        let started = Instant::now();
        figures.extend(measure_idle(&fleet, vms).await?);
        let time = started.elapsed().as_secs_f64() * f64::from(vms) * 1e3;
        let after = read_link_bytes(&fleet)?;
        let names = [
            "entry_peer_kb_s",
            "entry_platform_kb_s",
            "dispatcher_peer_kb_s",
            "dispatcher_platform_kb_s",
        ];
        for (index, name) in names.into_iter().enumerate() {
            figures.push((name, (after[index] - bytes[index]) / time));
        }
        rows.push(print_row("members", &figures));
    }
    Ok(rows)
}

/// Bytes exchanged so far between entries and dispatchers, entries and the platform, dispatchers and all peers, and
/// dispatchers and the platform, in this order.
fn read_link_bytes(fleet: &ProcessFleet) -> Result<[f64; 4]> {
    let mut bytes = [0.0; 4];
    let (entries, dispatchers) = (fleet.entry_pids(), fleet.dispatcher_pids());
    let (peers, platform) = (fleet.peer_ports(), fleet.platform_ports());
    let sums = [
        (&entries, &peers),
        (&entries, &platform),
        (&dispatchers, &peers),
        (&dispatchers, &platform),
    ];
    for (index, (pids, ports)) in sums.into_iter().enumerate() {
        bytes[index] = tcp_bytes(pids, ports)? as f64;
    }
    Ok(bytes)
}

/// Measures processor use per contract change, and the time until a change is in force everywhere, on eight VMs.
async fn measure_changes(dir: PathBuf) -> Result<Vec<SlopeRow>> {
    let vms = 8;
    let fleet = ProcessFleet::start(FleetSettings {
        data_centres: 3,
        vms,
        endpoints: 16,
        dir,
        ..FleetSettings::default()
    })
    .await?;
    fleet
        .create_contracts("team", 1..=TEAM_COUNT, &json!({}))
        .await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let mut versions = vec![1; TEAM_COUNT];
    let mut rows = Vec::new();
    for rate in [0.0, 1.0, 5.0, 20.0] {
        let before = UsageSnapshot::take(&fleet)?;
        let count = (rate * SAMPLE_TIME.as_secs_f64()) as usize;
        for number in 0..count {
            let due = Duration::from_secs_f64(number as f64 / rate);
            actix_rt::time::sleep(due.saturating_sub(before.at.elapsed())).await;
            change_contract(&fleet, &mut versions, number % TEAM_COUNT).await?;
        }
        actix_rt::time::sleep(SAMPLE_TIME.saturating_sub(before.at.elapsed())).await;
        let after = UsageSnapshot::take(&fleet)?;
        let seconds = (after.at - before.at).as_secs_f64();
        let (entry_cpu, dispatcher_cpu) = after.percent_since(&before, vms);
        rows.push(print_row(
            "changes",
            &[
                ("changes_per_s", count as f64 / seconds),
                ("entry_cpu_percent", entry_cpu),
                ("dispatcher_cpu_percent", dispatcher_cpu),
            ],
        ));
    }
    rows.push(measure_propagation(&fleet, &mut versions).await?);
    Ok(rows)
}

/// Measures the time from the answer to the operator until every entry has the change in force.
async fn measure_propagation(fleet: &ProcessFleet, versions: &mut [u64]) -> Result<SlopeRow> {
    let mut times = Vec::new();
    for index in 0..20 {
        let version = change_contract(fleet, versions, index).await?;
        let customer = format!("team-{}", index + 1);
        let time = fleet.wait_for_version(&customer, version).await?;
        times.push(time.as_secs_f64());
        // Varies the interval, so that changes do not synchronise with the polling of the readers.
        actix_rt::time::sleep(Duration::from_millis(37 * (index as u64 % 11))).await;
    }
    times.sort_by(f64::total_cmp);
    Ok(print_row(
        "in_force",
        &[
            ("changes", times.len() as f64),
            ("p50_s", times[times.len() / 2]),
            ("max_s", times[times.len() - 1]),
        ],
    ))
}

async fn change_contract(fleet: &ProcessFleet, versions: &mut [u64], index: usize) -> Result<u64> {
    let customer = format!("team-{}", index + 1);
    let contract = json!({ "concurrency": 40 + versions[index] % 10 });
    let precondition = ("If-Match", format!("\"{}\"", versions[index]));
    let entries = fleet.entries();
    let entry = entries[index % entries.len()];
    let version =
        http::put_contract(fleet.client(), entry, &customer, precondition, &contract).await?;
    versions[index] = version;
    Ok(version)
}
