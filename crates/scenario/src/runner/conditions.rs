//! Polling of the conditions that `wait` steps name.

use std::time::{Duration, Instant};

use model::CustomerId;
use stand_ins::endpoint::TaskScript;

use super::{
    expectations::{describe, matches_expected},
    ScenarioRun, POLL_INTERVAL,
};
use crate::{
    caller,
    error::StepError,
    script::{Condition, CountBound, ExpectedAnswer, Label, ProcessTarget, SubmitKind, SubmitStep},
};

/// The deadline of the probe jobs that show how entries answer.
const PROBE_DEADLINE: Duration = Duration::from_secs(2);

/// Whether a condition holds, and the state found, as text.
struct ConditionStatus {
    holds: bool,
    state: String,
}

impl ScenarioRun {
    pub(super) async fn wait(
        &mut self,
        condition: &Condition,
        within: Duration,
    ) -> Result<(), StepError> {
        let started = Instant::now();
        loop {
            let status = self.check_condition(condition).await?;
            if status.holds {
                return Ok(());
            }
            if started.elapsed() > within {
                let state = status.state;
                return Err(StepError::TimedOut { within, state });
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn check_condition(
        &mut self,
        condition: &Condition,
    ) -> Result<ConditionStatus, StepError> {
        match condition {
            Condition::Running { bound, endpoint } => Ok(count_status(
                self.running_count(endpoint.as_deref())?,
                *bound,
                "running",
            )),
            Condition::Started { group, bound } => {
                Ok(count_status(self.start_count(group)?, *bound, "started"))
            }
            Condition::Answered { group, bound } => {
                let (answered, all) = self.load.answered(group)?;
                let bound = bound.unwrap_or(CountBound::Exactly(all));
                Ok(count_status(answered, bound, "answered"))
            }
            Condition::Ready(target) => self.check_ready(target, true).await,
            Condition::Unready(target) => self.check_ready(target, false).await,
            Condition::Live(target) => self.check_live(target).await,
            Condition::Exited(target) => self.check_exited(target),
            Condition::EntriesAnswer { customer, answer } => {
                self.check_entry_answers(customer, answer).await
            }
        }
    }

    fn running_count(&self, endpoint: Option<&str>) -> Result<usize, StepError> {
        if let Some(name) = endpoint {
            return Ok(self.testbed.endpoint(name)?.stand_in.record().running as usize);
        }
        let records = self.testbed.records();
        Ok(records.iter().map(|record| record.running as usize).sum())
    }

    /// The number of tasks of a group that have started, over all endpoints.
    pub(super) fn start_count(&self, group: &str) -> Result<usize, StepError> {
        let mut labels = Vec::new();
        for submission in self.load.group(group)? {
            labels.push(submission.run_label);
        }
        let mut count = 0;
        for record in self.testbed.records() {
            for start in record.starts {
                let payload = start.payload.unwrap_or_default();
                let label = TaskScript::read(payload.as_bytes())
                    .label
                    .unwrap_or_default();
                let run = label.split('#').next().unwrap_or_default();
                count += usize::from(labels.iter().any(|label| label == run));
            }
        }
        Ok(count)
    }

    async fn check_ready(
        &mut self,
        target: &ProcessTarget,
        expect: bool,
    ) -> Result<ConditionStatus, StepError> {
        let mut state = Vec::new();
        for name in self.testbed.targets(target)? {
            if self.is_ready(&name).await? != expect {
                state.push(format!("{name} {}", self.testbed.describe(&name)));
            }
        }
        Ok(ConditionStatus {
            holds: state.is_empty(),
            state: state.join(", "),
        })
    }

    async fn check_live(&mut self, target: &ProcessTarget) -> Result<ConditionStatus, StepError> {
        let mut state = Vec::new();
        for name in self.testbed.targets(target)? {
            let address = self.testbed.vm(&name.vm)?.probe_address(name.role);
            if !caller::probe(address, "live").await {
                state.push(format!("{name} {}", self.testbed.describe(&name)));
            }
        }
        Ok(ConditionStatus {
            holds: state.is_empty(),
            state: state.join(", "),
        })
    }

    fn check_exited(&mut self, target: &ProcessTarget) -> Result<ConditionStatus, StepError> {
        let mut state = Vec::new();
        for name in self.testbed.targets(target)? {
            if self.testbed.is_running(&name)? {
                state.push(format!("{name} runs"));
            }
        }
        Ok(ConditionStatus {
            holds: state.is_empty(),
            state: state.join(", "),
        })
    }

    /// Sends a probe job to every ready entry and compares the answers. The jobs are recorded like any other, so the
    /// invariants are checked for them too.
    async fn check_entry_answers(
        &mut self,
        customer: &CustomerId,
        expected: &ExpectedAnswer,
    ) -> Result<ConditionStatus, StepError> {
        let mut names = Vec::new();
        for backend in self.load.ready_backends() {
            self.probes += 1;
            let name = format!("probe{}", self.probes);
            self.load.submit(&probe_job(&name, customer, backend.vm))?;
            names.push(name);
        }
        let mut state = Vec::new();
        for name in names {
            for record in self.answers(&name).await? {
                let answer = record
                    .answer
                    .filter(|answer| !matches_expected(answer, expected));
                state.extend(answer.map(|answer| format!("{} {}", record.via, describe(&answer))));
            }
        }
        Ok(ConditionStatus {
            holds: state.is_empty(),
            state: state.join(", "),
        })
    }
}

fn probe_job(name: &str, customer: &CustomerId, vm: Label) -> SubmitStep {
    SubmitStep {
        name: name.to_owned(),
        kind: SubmitKind::Job { tasks: 1 },
        customer: customer.clone(),
        run: Duration::from_millis(1),
        deadline: PROBE_DEADLINE,
        declared: None,
        fail_task: None,
        variant: None,
        times: 1,
        every: Duration::ZERO,
        via: Some(vm),
    }
}

fn count_status(count: usize, bound: CountBound, what: &str) -> ConditionStatus {
    ConditionStatus {
        holds: bound.holds(count),
        state: format!("{count} {what}"),
    }
}
