//! Runs a plan and checks the resulting record.

use std::{
    cell::RefCell,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use fastrand::Rng;
use thiserror::Error;
use tokio::task::JoinHandle;

use crate::{
    checks::{check_invariants, InvariantViolation, FINISH_LIMIT},
    customers::CustomerSimulator,
    faults::{follow_up_crashes, inject_fault, run_follow_up, FollowUp},
    fleet::SoakFleet,
    misbehaving,
    plan::{FaultKind, FaultStep, SoakPlan},
    record::{AttemptEnd, KeptState, ProbeTrace, SoakRecord},
};

/// Time for all processes to start before the load begins.
const STARTUP_WAIT: Duration = Duration::from_millis(2_500);

/// How long the load continues after the last fault has ended: the recovery limit, plus time for some jobs after it.
const RECOVERY_LOAD: Duration = Duration::from_secs(8);

/// Time for the last customers to get their answers after the load ends.
const FINAL_ANSWER_WAIT: Duration = Duration::from_secs(4);

/// Interval at which the main loop polls processes and due actions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// XORed with the plan's seed to seed the customers, so that they draw other numbers than the faults.
const CUSTOMER_SEED_MASK: u64 = 0x5eed_5eed;

/// Error that prevents a soak from running.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SoakError {
    /// A process, file or link could not be created.
    #[error("soak setup failed: {0}")]
    Setup(String),
}

impl SoakError {
    pub(crate) fn setup(cause: impl std::fmt::Display) -> Self {
        Self::Setup(cause.to_string())
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Violated invariants, and processes that exited on their own or did not stop.
    pub failures: Vec<String>,
    /// Number of jobs submitted.
    pub jobs: usize,
    /// Number of jobs that were submitted more than once.
    pub retried: usize,
    /// Number of attempts whose connection broke unheard by its node.
    pub unheard: usize,
    /// Number of jobs completed.
    pub completed: usize,
    /// Number of jobs refused.
    pub refused: usize,
    /// Number of kept jobs submitted.
    pub kept: usize,
    /// Number of kept jobs that were shown as completed.
    pub kept_completed: usize,
    /// Number of task runs on workers.
    pub runs: usize,
    /// Number of faults injected.
    pub faults: usize,
}

/// Runs one plan with the node program `binary`. Writes the settings and logs of the nodes and the list of faults to
/// `dir`.
///
/// # Errors
///
/// A process, file or link could not be created. Failures of the system under test are in the report instead.
pub async fn run_soak(plan: &SoakPlan, binary: &Path, dir: &Path) -> Result<SoakReport, SoakError> {
    fs::create_dir_all(dir)?;
    let fleet = SoakFleet::start(plan, PathBuf::from(binary), dir).await?;
    let addresses = fleet.nodes.iter().map(|node| node.customer_address);
    let record = Rc::new(RefCell::new(SoakRecord {
        stray_limit: plan.stray_limit,
        ..SoakRecord::default()
    }));
    let simulator = CustomerSimulator::new(
        fleet.began(),
        plan.customers,
        addresses.collect(),
        record.clone(),
        fleet.forwarder.clone(),
    );
    let mut run = SoakRun {
        plan,
        fleet,
        simulator: Rc::new(simulator),
        record,
        follow_ups: Vec::new(),
        versions: Vec::new(),
        rng: Rng::with_seed(plan.seed ^ CUSTOMER_SEED_MASK),
    };
    run.run().await?;
    run.report(dir)
}

struct SoakRun<'a> {
    plan: &'a SoakPlan,
    fleet: SoakFleet,
    simulator: Rc<CustomerSimulator>,
    record: Rc<RefCell<SoakRecord>>,
    follow_ups: Vec<(Duration, FollowUp)>,
    /// Versions of the configuration and when each was written.
    versions: Vec<(u64, Duration)>,
    rng: Rng,
}

impl SoakRun<'_> {
    async fn run(&mut self) -> Result<(), SoakError> {
        actix_rt::time::sleep(STARTUP_WAIT).await;
        let misbehaving = self.start_misbehaving_clients();
        let begun = self.fleet.now();
        let mut steps = self.plan.steps();
        steps.reverse();
        let (mut next_job, mut next_probe) = (begun, begun);
        let mut healed = None;
        loop {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            let now = self.fleet.now();
            self.fleet.poll_processes()?;
            while steps.last().is_some_and(|step| begun + step.at <= now) {
                let Some(FaultStep { kind, .. }) = steps.pop() else {
                    break;
                };
                self.inject_fault(kind).await?;
            }
            self.run_due_follow_ups(now).await?;
            while now >= next_job {
                next_job += Duration::from_secs_f64(1.0 / self.plan.rate);
                let (simulator, rng) = (self.simulator.clone(), self.rng.fork());
                actix_rt::spawn(async move { simulator.run_customer(rng).await });
            }
            if now >= next_probe {
                next_probe = now + PROBE_INTERVAL;
                self.probe_all();
            }
            if healed.is_none() && steps.is_empty() && self.follow_ups.is_empty() {
                healed = Some(now);
                self.record.borrow_mut().healed = self.last_fault_end(now);
            }
            let end = self.record.borrow().healed + RECOVERY_LOAD;
            if healed.is_some() && now >= end {
                break;
            }
        }
        actix_rt::time::sleep(FINAL_ANSWER_WAIT).await;
        let finished = self.await_jobs().await;
        for client in misbehaving {
            client.abort();
        }
        finished
    }

    fn start_misbehaving_clients(&mut self) -> Vec<JoinHandle<()>> {
        let nodes = self.fleet.nodes.iter().map(|node| node.customer_address);
        let nodes: Vec<SocketAddr> = nodes.collect();
        let count = self.plan.customers.misbehaving_clients;
        let clients = (0..count).map(|_| misbehaving::run_client(nodes.clone(), self.rng.fork()));
        clients.map(actix_rt::spawn).collect()
    }

    /// Waits until all customers have finished, at most as long as kept jobs may take. That is more than the longest
    /// deadline.
    async fn await_jobs(&mut self) -> Result<(), SoakError> {
        let until = self.fleet.now() + FINISH_LIMIT;
        while self.simulator.open_jobs.get() > 0 && self.fleet.now() < until {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            self.run_due_follow_ups(self.fleet.now()).await?;
        }
        Ok(())
    }

    /// Returns when the last recorded fault ends, at least `now`: a planned stop may still be in progress after the
    /// last follow-up has run.
    fn last_fault_end(&self, now: Duration) -> Duration {
        let record = self.record.borrow();
        let ends = record.disturbances.iter().map(|fault| fault.until);
        ends.max().unwrap_or(now).max(now)
    }

    async fn inject_fault(&mut self, kind: FaultKind) -> Result<(), SoakError> {
        if kind == FaultKind::Configure {
            let version = self.fleet.add_route();
            self.versions.push((version, self.fleet.now()));
        }
        if kind == FaultKind::CrashingJob {
            let (simulator, rng) = (self.simulator.clone(), self.rng.fork());
            actix_rt::spawn(async move { simulator.follow_crashing_job(rng).await });
        }
        let now = self.fleet.now();
        let trace = inject_fault(&mut self.fleet, kind).await?;
        let follow_ups = trace.follow_ups.into_iter();
        self.follow_ups
            .extend(follow_ups.map(|(after, follow_up)| (now + after, follow_up)));
        let mut record = self.record.borrow_mut();
        record.disturbances.extend(trace.disturbances);
        record.drains.extend(trace.drains);
        Ok(())
    }

    async fn run_due_follow_ups(&mut self, now: Duration) -> Result<(), SoakError> {
        let crashes = follow_up_crashes(&mut self.fleet).into_iter();
        self.follow_ups
            .extend(crashes.map(|(after, follow_up)| (now + after, follow_up)));
        let (due, later) = self.follow_ups.drain(..).partition(|(at, _)| *at <= now);
        self.follow_ups = later;
        let due: Vec<(Duration, FollowUp)> = due;
        for (_, due) in due {
            if let FollowUp::ResetCustomers(node) = due {
                self.simulator.reset_connections(node);
            }
            run_follow_up(&mut self.fleet, due).await?;
        }
        Ok(())
    }

    /// Asks each node for the two newest routes.
    fn probe_all(&self) {
        let newest = self.versions.iter().rev().take(2);
        for (version, written) in newest.copied() {
            for (node, process) in self.fleet.nodes.iter().enumerate() {
                let (simulator, start_count) = (self.simulator.clone(), process.start_count);
                let asked = self.fleet.now();
                actix_rt::spawn(async move {
                    if let Some(answer) = simulator.probe(node, version).await {
                        simulator.record_probe(ProbeTrace {
                            node,
                            start_count,
                            version,
                            written,
                            asked,
                            answer,
                        });
                    }
                });
            }
        }
    }

    fn report(mut self, dir: &Path) -> Result<SoakReport, SoakError> {
        let mut record = self.record.borrow().clone();
        record.runs = self.fleet.take_runs();
        record.stops = std::mem::take(&mut self.fleet.stops);
        record.ended = self.fleet.now();
        let mut faults: Vec<String> = self.plan.steps().iter().map(|s| format!("{s:?}")).collect();
        faults.extend(record.disturbances.iter().map(|fault| format!("{fault:?}")));
        fs::write(dir.join("faults.txt"), faults.join("\n"))?;
        let violations = check_invariants(&record);
        let violations = violations.iter().map(InvariantViolation::to_string);
        let count = |status: &dyn Fn(u16) -> bool| {
            let ends = record.jobs.iter().filter_map(|job| job.attempts.last());
            let answered = ends.filter(|a| matches!(a.end, AttemptEnd::Answered(s) if status(s)));
            answered.count()
        };
        Ok(SoakReport {
            failures: violations
                .chain(self.fleet.process_failures.iter().cloned())
                .collect(),
            jobs: record.jobs.len(),
            retried: record
                .jobs
                .iter()
                .filter(|job| job.attempts.len() > 1)
                .count(),
            unheard: record
                .jobs
                .iter()
                .flat_map(|job| &job.attempts)
                .filter(|attempt| attempt.end == AttemptEnd::Unheard)
                .count(),
            completed: count(&|status| status == 200),
            refused: count(&|status| status == 429 || status == 503),
            kept: record.kept_jobs.len(),
            kept_completed: record
                .kept_jobs
                .iter()
                .filter(|job| job.last_state() == Some(KeptState::Completed))
                .count(),
            runs: record.runs.len(),
            faults: self.plan.steps().len(),
        })
    }
}
