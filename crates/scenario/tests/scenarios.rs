//! Runs the scenario files against real processes, one after the other.
//!
//! `SCENARIO_SEED` overrides the seed in the files; each report names the seed that was used.

use std::{
    env, fs,
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
};

use scenario::{find_binary, invariants::InvariantLimits, parse_script, run_script, RunSettings};

/// Held while a scenario runs. Scenarios measure answer times, so no two may run at once.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// How many of the last lines of each log a failed run prints.
const LOG_LINES: usize = 40;

fn scenarios_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn run(name: &str) {
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let path = scenarios_dir().join(format!("{name}.scenario"));
    let script = parse_script(&fs::read_to_string(&path).unwrap())
        .unwrap_or_else(|error| panic!("{name}.scenario: {error}"));
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    let settings = RunSettings {
        binary: find_binary().unwrap_or_else(|error| panic!("{error}")),
        dir: dir.clone(),
        seed: env::var("SCENARIO_SEED")
            .ok()
            .and_then(|text| text.parse().ok()),
        limits: InvariantLimits::default(),
    };
    let report = actix_rt::System::new()
        .block_on(run_script(&script, settings))
        .unwrap();
    println!("{name}: {report}");
    if !report.passed() {
        panic!("{name}: {report}\n{}", logs(&dir));
    }
}

fn logs(dir: &Path) -> String {
    let mut text = String::new();
    let mut paths: Vec<_> = fs::read_dir(dir)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    paths.sort();
    for path in paths {
        let log = fs::read_to_string(&path).unwrap();
        let lines: Vec<_> = log.lines().collect();
        let from = lines.len().saturating_sub(LOG_LINES);
        text.push_str(&format!("== {}\n", path.display()));
        text.push_str(&lines[from..].join("\n"));
        text.push('\n');
    }
    text
}

macro_rules! scenarios {
    ($($name:ident,)+) => {
        $(
            #[test]
            fn $name() {
                run(stringify!($name));
            }
        )+

        const LISTED_SCENARIOS: &[&str] = &[$(stringify!($name),)+];
    };
}

scenarios! {
    burst_tenfold,
    cancellation_wave,
    cancellations_while_dispatcher_dies,
    claims_lapse_while_frozen,
    contract_change_everywhere,
    crossed_and_late_answers,
    data_centres_cut_apart,
    dispatcher_dies_in_outage,
    dispatchers_cut_apart,
    endpoint_dies,
    endpoint_leaves,
    endpoint_leaves_as_owner_stops,
    endpoints_that_misbehave,
    freeze_dispatcher,
    freeze_entry,
    job_through,
    jobs_that_can_never_run,
    key_in_doubt,
    kill_dispatcher,
    kill_entry,
    limit_after_home_killed,
    limit_lowered_under_load,
    limit_over_vms_and_data_centres,
    lost_endpoint_answer,
    operators_race_at_two_entries,
    owner_stops_with_long_tasks,
    platform_down_at_start,
    platform_down_at_work,
    platform_loses_answers,
    platform_slow,
    racing_operators,
    request_by_key,
    request_by_ticket,
    request_once,
    rolling_replacement,
    stop_after_entry_died,
    stop_with_slots_full,
    stopping_entry_is_unready,
    straggling_endpoint,
    terminate_dispatcher,
    terminate_entry,
    terminate_owner,
    vm_cut_from_endpoint,
    vm_cut_from_platform,
    vm_list_lags,
    vm_starts_in_outage,
}

#[test]
fn every_file_is_listed() {
    let mut files = Vec::new();
    for entry in fs::read_dir(scenarios_dir()).unwrap() {
        let path = entry.unwrap().path();
        files.push(path.file_stem().unwrap().to_string_lossy().into_owned());
    }
    files.sort();
    assert_eq!(files, LISTED_SCENARIOS);
}
