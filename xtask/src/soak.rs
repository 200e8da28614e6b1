//! Runs soak tests, one seed after another.

use std::{
    path::PathBuf,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bpaf::Bpaf;
use eyre::{bail, Result};
use soak::{run_soak, CustomerPlan, FaultMix, SoakPlan};

use crate::fleet::{build_programs, program_path};

/// Options of a soak test.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct SoakOptions {
    /// First seed; by default, the current time
    #[bpaf(argument("SEED"))]
    seed: Option<u64>,
    /// Run the seeds that failed once, instead of others
    #[bpaf(switch)]
    known: bool,
    /// Inject only crashes of workers, in series
    #[bpaf(switch)]
    crashes: bool,
    /// Inject only divisions of the workers among more pools, most while writes to the store are late
    #[bpaf(switch)]
    divisions: bool,
    /// Number of seeds to run, one after another
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    seeds: u64,
    /// Run new seeds for this many minutes, instead of a number of seeds
    #[bpaf(argument("MINUTES"))]
    minutes: Option<u64>,
    /// How long faults are injected for each seed, in seconds
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    time: u64,
    /// Number of nodes
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    nodes: usize,
    /// Number of workers
    #[bpaf(argument("COUNT"), fallback(12), display_fallback)]
    workers: usize,
    /// Every second node decides under load by the policies that are not the default
    #[bpaf(switch)]
    load_policies: bool,
    /// Share of kept jobs among all jobs, in place of the default
    #[bpaf(argument("SHARE"))]
    kept_share: Option<f64>,
    /// Number of clients that do not behave, beside the customers
    #[bpaf(argument("COUNT"), fallback(0), display_fallback)]
    misbehaving: usize,
    /// Jobs per second
    #[bpaf(argument("RATE"), fallback(40.0), display_fallback)]
    rate: f64,
    /// Directory for the settings and logs of each seed
    #[bpaf(
        argument("DIR"),
        fallback(PathBuf::from("target/soak")),
        debug_fallback
    )]
    out: PathBuf,
}

/// With which faults and jobs a seed is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SeedSetting {
    /// All that there are.
    All,
    /// All that there were before breaks that nodes do not hear of.
    Heard,
    /// Only crashes of workers, in series.
    Crashes,
    /// Only divisions of the workers.
    Divisions,
    /// Those that there were when the first seeds failed.
    First,
}

impl SeedSetting {
    fn faults(self) -> FaultMix {
        match self {
            Self::Crashes => FaultMix::CrashSeries,
            Self::Divisions => FaultMix::Divisions,
            Self::All | Self::Heard | Self::First => FaultMix::All,
        }
    }

    fn customers(self) -> CustomerPlan {
        match self {
            Self::First => CustomerPlan::short_jobs(),
            Self::Heard | Self::Crashes => CustomerPlan::heard_breaks(),
            Self::All | Self::Divisions => CustomerPlan::default(),
        }
    }
}

/// Seeds that failed once, one a line, each followed by its setting, unless it is one of the first, and the cause of its
/// failure.
const KNOWN_SEEDS: &str = include_str!("../../crates/soak/known-seeds.txt");

fn known_seeds() -> impl Iterator<Item = (u64, SeedSetting)> {
    KNOWN_SEEDS.lines().filter_map(|line| {
        let mut words = line.split(' ');
        let seed = words.next()?.parse().ok()?;
        let setting = match words.next() {
            Some("all") => SeedSetting::Heard,
            Some("unheard") => SeedSetting::All,
            Some("crashes") => SeedSetting::Crashes,
            _ => SeedSetting::First,
        };
        Some((seed, setting))
    })
}

impl SoakOptions {
    fn plan(&self, seed: u64, setting: SeedSetting) -> SoakPlan {
        let has_additions = setting != SeedSetting::First;
        let customers = setting.customers();
        SoakPlan {
            worker_restarts: has_additions,
            owner_freezes: has_additions,
            crash_series: has_additions,
            store_silences: has_additions,
            load_policies: self.load_policies,
            faults: setting.faults(),
            customers: CustomerPlan {
                kept_share: self.kept_share.unwrap_or(customers.kept_share),
                misbehaving_clients: self.misbehaving,
                ..customers
            },
            seed,
            fault_duration: Duration::from_secs(self.time),
            nodes: self.nodes,
            workers: self.workers,
            rate: self.rate,
            ..SoakPlan::default()
        }
    }
}

/// Runs the seeds and prints a summary line for each. Fails if a seed violated an invariant, or if a node exited on its
/// own or did not stop.
pub(crate) async fn run(options: SoakOptions) -> Result<()> {
    build_programs()?;
    let binary = program_path("cairnpaddle")?;
    let until = options
        .minutes
        .map(|minutes| Instant::now() + Duration::from_secs(60 * minutes));
    let first = match options.seed {
        Some(seed) => seed,
        None => SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs(),
    };
    let mut failed = Vec::new();
    let setting = match (options.crashes, options.divisions) {
        (true, _) => SeedSetting::Crashes,
        (false, true) => SeedSetting::Divisions,
        (false, false) => SeedSetting::All,
    };
    let fresh = move |seed| (seed, setting);
    let seeds: Box<dyn Iterator<Item = (u64, SeedSetting)>> = match (options.known, until) {
        (true, _) => Box::new(known_seeds()),
        (false, Some(_)) => Box::new((first..).map(fresh)),
        (false, None) => Box::new((first..first + options.seeds).map(fresh)),
    };
    for (seed, setting) in seeds {
        if until.is_some_and(|until| Instant::now() >= until) {
            break;
        }
        let plan = options.plan(seed, setting);
        let report = run_soak(&plan, &binary, &options.out.join(seed.to_string())).await?;
        println!(
            "seed {seed}: {} faults, {} jobs, {} completed, {} refused, {} kept, {} of them completed, {} runs, {} broken",
            report.faults,
            report.jobs,
            report.completed,
            report.refused,
            report.kept,
            report.kept_completed,
            report.runs,
            report.failures.len()
        );
        for failure in &report.failures {
            println!("  {failure}");
        }
        if !report.failures.is_empty() {
            failed.push(seed);
        }
    }
    if !failed.is_empty() {
        bail!("soak failed with seeds {failed:?}: invariants were violated, or nodes exited or did not stop");
    }
    Ok(())
}
