//! What each step does.

use std::time::{Duration, Instant};

use stand_ins::{
    endpoint::{Fault, FaultRequest, TaskScript},
    forwarder::{LinkMode, OpenDirection},
    platform::{DownMode, FaultSettings, RacingWrite},
};

use super::{ScenarioRun, LOOK_PAUSE};
use crate::{
    caller,
    error::StepError,
    load::DoorState,
    operator,
    process::{ChildSignal, ProcessName},
    script::{
        ChangeStep, EndpointChange, EndpointStep, LinkChange, LinkStep, PlatformStep, ProcessRole,
        ProcessTarget, Step, TicketStep,
    },
};

/// How long a process may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

impl ScenarioRun {
    pub(super) async fn make_step(&mut self, step: &Step) -> Result<(), StepError> {
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
            Step::Heal => self.world.order_link(None, LinkMode::Pass).await,
            Step::Platform(step) => {
                change_faults(&mut self.world.faults, step);
                self.world.platform.set_faults(self.world.faults.clone());
                Ok(())
            }
            Step::Endpoint(step) => self.change_endpoint(step).await,
            Step::Change(step) => self.change_contract(step),
            Step::Wait { condition, within } => self.wait(condition, *within).await,
            Step::Expect(expectation) => self.expect(expectation).await,
        }
    }

    async fn start(&mut self, target: &ProcessTarget, unready: bool) -> Result<(), StepError> {
        let names = self.world.targets(target)?;
        for name in &names {
            self.world.start(name)?;
            if name.role == ProcessRole::Entry {
                self.load.set_door(&name.vm, DoorState::Unready);
            }
        }
        if unready {
            return Ok(());
        }
        let begun = Instant::now();
        for name in &names {
            while !self.is_ready(name).await? {
                if begun.elapsed() > READY_LIMIT || !self.world.is_running(name)? {
                    return Err(StepError::TimedOut {
                        within: begun.elapsed(),
                        state: format!("{name} is not ready, {}", self.world.describe(name)),
                    });
                }
                actix_rt::time::sleep(LOOK_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Asks a process whether it is ready, and tells the callers of an entry that is.
    pub(super) async fn is_ready(&mut self, name: &ProcessName) -> Result<bool, StepError> {
        let address = self.world.vm(&name.vm)?.probe_address(name.role);
        let ready = caller::probe(address, "ready").await;
        if ready && name.role == ProcessRole::Entry {
            self.load.set_door(&name.vm, DoorState::Open);
        }
        Ok(ready)
    }

    async fn get_ticket(&mut self, step: &TicketStep) -> Result<(), StepError> {
        let door = self.load.door(step.via.as_ref())?;
        let ticket = caller::ticket(door.address, &step.customer).await;
        let ticket = ticket.map_err(StepError::NoTicket)?;
        self.load.keep_ticket(&step.name, &step.customer, ticket);
        Ok(())
    }

    /// Cancels what has no answer yet. A caller learns the id of a job only with its answer, so the id is taken from
    /// the endpoints' records: a job of which nothing has started is left alone.
    fn cancel(&mut self, group: &str) -> Result<(), StepError> {
        let records = self.world.records();
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
            let door = self.load.door(Some(&submission.via))?;
            actix_rt::spawn(caller::cancel(door.address, !submission.request, id));
        }
        Ok(())
    }

    fn signal(&mut self, target: &ProcessTarget, signal: ChildSignal) -> Result<(), StepError> {
        for name in self.world.targets(target)? {
            self.world.signal(&name, signal)?;
            if name.role != ProcessRole::Entry {
                continue;
            }
            let state = match signal {
                ChildSignal::Thaw => DoorState::Open,
                _ => DoorState::Closed,
            };
            self.load.set_door(&name.vm, state);
            if matches!(signal, ChildSignal::Kill | ChildSignal::Freeze) {
                self.load.disturb(&name.vm);
            }
        }
        Ok(())
    }

    async fn change_link(&mut self, step: &LinkStep) -> Result<(), StepError> {
        for (link, forward) in self.world.links_between(&step.from, &step.to)? {
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
            self.world.order_link(Some(link), mode).await?;
        }
        Ok(())
    }

    async fn change_endpoint(&mut self, step: &EndpointStep) -> Result<(), StepError> {
        let endpoint = self.world.endpoint(&step.name)?;
        match step.change {
            EndpointChange::Fault(order) => endpoint.stand_in.set_fault(order),
            EndpointChange::Stop => endpoint.stand_in.stop().await,
            EndpointChange::Leave => {
                let order = FaultRequest::always(Fault::LeavingSilently);
                endpoint.stand_in.set_fault(order);
                self.world.leave(&step.name)?;
            }
        }
        Ok(())
    }

    fn change_contract(&mut self, step: &ChangeStep) -> Result<(), StepError> {
        let door = self.load.door(step.via.as_ref())?;
        self.load.change_begins(&step.name);
        let (load, step) = (self.load.clone(), step.clone());
        actix_rt::spawn(async move {
            let end = operator::change(door.address, &step.line).await;
            load.change_ends(&step.name, end);
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
