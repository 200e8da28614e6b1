//! Runs a scenario against real processes and then checks every invariant.

mod conditions;
mod expectations;
mod peak;
mod steps;

use std::{
    fmt, io,
    path::PathBuf,
    time::{Duration, Instant},
};

use crate::{
    error::StepError,
    invariants::{check_invariants, BrokenInvariant, InvariantLimits},
    load::{BackendState, CallerLoad, EntryBackend},
    operator,
    process::{ChildProcess, ChildSignal, ProcessName},
    record::RunRecord,
    script::{AnswerStatus, ContractLine, Script, ScriptLine, Setup, Statement},
    testbed::ScenarioTestbed,
};

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long processes may take to end after SIGTERM. Longer than their drain limit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// The seed if neither the settings nor the scenario set one.
const DEFAULT_SEED: u64 = 1;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// The path of the `cairnpaddle` binary.
    pub binary: PathBuf,
    /// A directory for settings files and logs, used by this run only.
    pub dir: PathBuf,
    /// The seed; overrides that of the scenario.
    pub seed: Option<u64>,
    /// Tolerances of the invariant checks.
    pub limits: InvariantLimits,
}

/// A step that failed.
#[derive(Debug)]
pub struct StepFailure {
    /// The line number, from 1; 0 for the set-up.
    pub line: usize,
    /// The text of the line.
    pub text: String,
    /// The error.
    pub cause: StepError,
}

/// The result of a run.
#[derive(Debug)]
pub struct RunReport {
    /// The seed that was used.
    pub seed: u64,
    /// The duration of the run.
    pub took: Duration,
    /// The records on which the invariants were checked.
    pub record: RunRecord,
    /// The step that failed; the run stops at the first failure.
    pub failure: Option<StepFailure>,
    /// The violations of invariants.
    pub broken: Vec<BrokenInvariant>,
}

impl RunReport {
    /// Whether every step succeeded and every invariant held.
    pub fn passed(&self) -> bool {
        self.failure.is_none() && self.broken.is_empty()
    }

    fn count(&self, status: AnswerStatus) -> usize {
        let submissions = self.record.submissions.iter();
        let answers = submissions.filter_map(|submission| submission.answer.as_ref());
        answers.filter(|answer| answer.status == status).count()
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let starts: usize = self.record.endpoints.iter().map(|e| e.starts.len()).sum();
        writeln!(
            f,
            "seed {}, took {:?}: {} submissions ({} complete, {} failed, {} refused, {} unknown, {} lost), {starts} starts",
            self.seed,
            self.took,
            self.record.submissions.len(),
            self.count(AnswerStatus::Complete),
            self.count(AnswerStatus::Failed),
            self.count(AnswerStatus::Refused),
            self.count(AnswerStatus::Unknown),
            self.count(AnswerStatus::Lost),
        )?;
        if let Some(failure) = &self.failure {
            writeln!(
                f,
                "line {}: {}\n  {}",
                failure.line, failure.text, failure.cause
            )?;
        }
        for broken in &self.broken {
            writeln!(f, "invariant violated: {broken}")?;
        }
        Ok(())
    }
}

/// Runs a scenario. It must be called inside an actix `System`.
///
/// # Errors
///
/// Fails if the stand-ins cannot be started. Later failures are in the report.
pub async fn run_script(script: &Script, settings: RunSettings) -> io::Result<RunReport> {
    let started = Instant::now();
    let limits = settings.limits;
    let mut run = ScenarioRun::new(script, settings)?;
    let contract_poll = actix_rt::spawn(run.load.clone().poll_contracts());
    let failure = run.run_steps(script).await;
    let record = run.finish(limits.answer_margin).await;
    contract_poll.abort();
    let broken = check_invariants(&record, &limits);
    Ok(RunReport {
        seed: run.seed,
        took: started.elapsed(),
        record,
        failure,
        broken,
    })
}

/// A running scenario.
struct ScenarioRun {
    seed: u64,
    testbed: ScenarioTestbed,
    load: CallerLoad,
    contracts: Vec<ContractLine>,
    /// The number of probe jobs sent, used to give each its own name.
    probes: usize,
}

impl ScenarioRun {
    fn new(script: &Script, settings: RunSettings) -> io::Result<Self> {
        let mut seed = None;
        let (mut contracts, mut fields) = (Vec::new(), Vec::new());
        for line in &script.lines {
            let Statement::Setup(setup) = &line.statement else {
                continue;
            };
            match setup.clone() {
                Setup::Seed(number) => seed = Some(number),
                Setup::DataCentre(_) => {}
                Setup::Contract(line) => contracts.push(line),
                Setup::Setting(line) => fields.push(line),
            }
        }
        let seed = settings.seed.or(seed).unwrap_or(DEFAULT_SEED);
        let testbed = ScenarioTestbed::build(script, fields, settings.binary, settings.dir)?;
        let mut backends = Vec::new();
        for vm in &testbed.vms {
            backends.push(EntryBackend {
                vm: vm.name.clone(),
                address: vm.caller,
                state: BackendState::Down,
            });
        }
        let load = CallerLoad::new(seed, backends);
        Ok(Self {
            seed,
            testbed,
            load,
            contracts,
            probes: 0,
        })
    }

    async fn run_steps(&mut self, script: &Script) -> Option<StepFailure> {
        if let Err(cause) = self.create_contracts().await {
            return Some(StepFailure {
                line: 0,
                text: "contracts of the set-up".to_owned(),
                cause,
            });
        }
        for ScriptLine {
            number,
            text,
            statement,
        } in &script.lines
        {
            let Statement::Step(step) = statement else {
                continue;
            };
            log::info!("scenario: line {number}: {text}");
            if let Err(cause) = self.run_step(step).await {
                return Some(StepFailure {
                    line: *number,
                    text: text.clone(),
                    cause,
                });
            }
        }
        None
    }

    async fn create_contracts(&self) -> Result<(), StepError> {
        let platform = self.testbed.platform.address();
        for line in &self.contracts {
            let made = operator::create_contract(platform, line).await;
            made.map_err(StepError::ContractNotCreated)?;
        }
        Ok(())
    }

    /// Waits for the answers, stops every process as in a planned stop, and collects the records.
    async fn finish(&mut self, margin: Duration) -> RunRecord {
        while !self.load.is_settled(margin) {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        let submissions = self.load.records();
        self.stop_processes().await;
        RunRecord {
            submissions,
            endpoints: self.testbed.records(),
            observations: self.load.observations(),
            exits: self.testbed.take_exits(),
        }
    }

    async fn stop_processes(&mut self) {
        for process in self.testbed.processes() {
            if process.is_frozen() {
                signal_for_shutdown(process, ChildSignal::Thaw);
            }
            if !process.is_ending() {
                signal_for_shutdown(process, ChildSignal::Terminate);
            }
        }
        let started = Instant::now();
        while started.elapsed() < EXIT_TIMEOUT {
            let mut processes = self.testbed.processes().into_iter();
            if processes.all(|process| process.has_ended()) {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn signal_for_shutdown(process: &mut ChildProcess<ProcessName>, signal: ChildSignal) {
    if let Err(error) = process.signal(signal) {
        log::warn!("scenario: {signal:?} to {} failed: {error}", process.name());
    }
}
