//! Execution of steps.

use std::time::{Duration, Instant};

use stand_ins::{
    endpoint::{Fault, FaultRequest, TaskScript},
    forwarder::{LinkMode, OpenDirection},
    platform::{DownMode, FaultSettings, RacingWrite},
};

use super::{ScenarioRun, POLL_INTERVAL};
use crate::{
    caller,
    error::StepError,
    load::BackendState,
    operator,
    process::{ChildSignal, ProcessName},
    script::{
        ChangeStep, EndpointChange, EndpointStep, LinkChange, LinkStep, PlatformStep, ProcessRole,
        ProcessTarget, Step, TicketStep,
    },
};

/// How long processes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

impl ScenarioRun {
    pub(super) async fn run_step(&mut self, step: &Step) -> Result<(), StepError> {
        match step {
            Step::Start { target, unready } => self.start(target, *unready).await,
            Step::Ticket(step) => self.get_ticket(step).await,
            Step::Submit(step) => self.load.submit(step),
            Step::Cancel(group) => self.cancel(group),
            Step::Kill(target) => self.signal(target, ChildSignal::Kill),
            Step::Terminate(target) => self.signal(target, ChildSignal::Terminate),
            Step::Freeze(target) => self.signal(target, ChildSignal::Freeze),
            Step::Thaw(target) => self.signal(target, ChildSignal::Thaw),
            Step::Link(step) => self.change_link(step).await,
            Step::Heal => self.testbed.set_link_mode(None, LinkMode::Pass).await,
            Step::Platform(step) => {
                change_faults(&mut self.testbed.faults, step);
                self.testbed
                    .platform
                    .set_faults(self.testbed.faults.clone());
                Ok(())
            }
            Step::Endpoint(step) => self.change_endpoint(step).await,
            Step::Change(step) => self.change_contract(step),
            Step::Wait { condition, within } => self.wait(condition, *within).await,
            Step::Expect(expectation) => self.expect(expectation).await,
        }
    }

    async fn start(&mut self, target: &ProcessTarget, unready: bool) -> Result<(), StepError> {
        let names = self.testbed.targets(target)?;
        for name in &names {
            self.testbed.start(name)?;
            if name.role == ProcessRole::Entry {
                self.load.set_backend_state(&name.vm, BackendState::Unready);
            }
        }
        if unready {
            return Ok(());
        }
        let started = Instant::now();
        for name in &names {
            while !self.is_ready(name).await? {
                if started.elapsed() > READY_TIMEOUT || !self.testbed.is_running(name)? {
                    return Err(StepError::TimedOut {
                        within: started.elapsed(),
                        state: format!("{name} is not ready, {}", self.testbed.describe(name)),
                    });
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Probes whether a process is ready. A ready entry becomes a ready backend of the load balancer.
    pub(super) async fn is_ready(&mut self, name: &ProcessName) -> Result<bool, StepError> {
        let address = self.testbed.vm(&name.vm)?.probe_address(name.role);
        let ready = caller::probe(address, "ready").await;
        if ready && name.role == ProcessRole::Entry {
            self.load.set_backend_state(&name.vm, BackendState::Ready);
        }
        Ok(ready)
    }

    async fn get_ticket(&mut self, step: &TicketStep) -> Result<(), StepError> {
        let backend = self.load.backend(step.via.as_ref())?;
        let ticket = caller::get_ticket(backend.address, &step.customer).await;
        let ticket = ticket.map_err(StepError::NoTicket)?;
        self.load.store_ticket(&step.name, &step.customer, ticket);
        Ok(())
    }

    /// Cancels the submissions of a group that have no answer yet. A caller learns the id of a submission only with its
    /// answer, so the id is taken from the endpoints' records, and a submission of which no task has started is not
    /// cancelled.
    fn cancel(&mut self, group: &str) -> Result<(), StepError> {
        let records = self.testbed.records();
        for submission in self.load.group(group)? {
            if submission.answer.is_some() {
                continue;
            }
            let mut starts = records.iter().flat_map(|record| &record.starts);
            let started = starts.find(|start| {
                let payload = start.payload.as_deref().unwrap_or_default();
                let label = TaskScript::read(payload.as_bytes())
                    .label
                    .unwrap_or_default();
                label.split('#').next() == Some(submission.run_label.as_str())
            });
            let Some(start) = started else {
                continue;
            };
            let id = start.attempt.submission;
            let backend = self.load.backend(Some(&submission.via))?;
            actix_rt::spawn(caller::cancel(backend.address, !submission.request, id));
        }
        Ok(())
    }

    fn signal(&mut self, target: &ProcessTarget, signal: ChildSignal) -> Result<(), StepError> {
        for name in self.testbed.targets(target)? {
            self.testbed.signal(&name, signal)?;
            if name.role != ProcessRole::Entry {
                continue;
            }
            let state = match signal {
                ChildSignal::Thaw => BackendState::Ready,
                _ => BackendState::Down,
            };
            self.load.set_backend_state(&name.vm, state);
            if matches!(signal, ChildSignal::Kill | ChildSignal::Freeze) {
                self.load.mark_entry_down(&name.vm);
            }
        }
        Ok(())
    }

    async fn change_link(&mut self, step: &LinkStep) -> Result<(), StepError> {
        for (link, forward) in self.testbed.links_between(&step.from, &step.to)? {
            let mode = match step.change {
                LinkChange::Cut(connects) => LinkMode::Cut { connects },
                LinkChange::CutOneWay if forward => LinkMode::OneWay {
                    open: OpenDirection::Back,
                },
                LinkChange::CutOneWay => LinkMode::OneWay {
                    open: OpenDirection::Forward,
                },
                LinkChange::Delay(time) => LinkMode::Delay {
                    ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
                },
                LinkChange::Reset => LinkMode::Reset,
            };
            self.testbed.set_link_mode(Some(link), mode).await?;
        }
        Ok(())
    }

    async fn change_endpoint(&mut self, step: &EndpointStep) -> Result<(), StepError> {
        let endpoint = self.testbed.endpoint(&step.name)?;
        match step.change {
            EndpointChange::Fault(request) => endpoint.stand_in.set_fault(request),
            EndpointChange::Stop => endpoint.stand_in.stop().await,
            EndpointChange::Leave => {
                let request = FaultRequest::always(Fault::LeavingSilently);
                endpoint.stand_in.set_fault(request);
                self.testbed.mark_leaving(&step.name)?;
            }
        }
        Ok(())
    }

    fn change_contract(&mut self, step: &ChangeStep) -> Result<(), StepError> {
        let backend = self.load.backend(step.via.as_ref())?;
        self.load.record_change_start(&step.name);
        let (load, step) = (self.load.clone(), step.clone());
        actix_rt::spawn(async move {
            let outcome = operator::change_contract(backend.address, &step.line).await;
            load.record_change_outcome(&step.name, outcome);
        });
        Ok(())
    }
}

fn change_faults(faults: &mut FaultSettings, step: &PlatformStep) {
    match step {
        PlatformStep::Up => *faults = FaultSettings::default(),
        PlatformStep::Down => faults.down = DownMode::Unavailable,
        PlatformStep::Closed => faults.down = DownMode::Closed,
        PlatformStep::ReadOnly => faults.down = DownMode::WritesUnavailable,
        PlatformStep::Slow(time) => faults.slow_ms = millis(*time),
        PlatformStep::Stale(time) => faults.stale_vms_ms = millis(*time),
        PlatformStep::LoseAnswers(count) => faults.answer_loss.next = *count,
        PlatformStep::Race(customer, times) => faults.racing_writes.push(RacingWrite {
            table: "contracts".to_owned(),
            key: customer.to_string(),
            times: *times,
            writes: Vec::new(),
        }),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
