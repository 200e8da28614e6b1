//! Injects the faults of a plan and runs their follow-ups when they are due.

use std::{io, time::Duration};

use platform_stand_ins::{StoreFault, WorkerFault};
use scenario::ChildSignal;
use stand_ins::forwarder::{LinkError, LinkMode};

use crate::{
    fleet::{LateWrites, SoakFleet},
    plan::FaultKind,
    record::{Disturbance, DrainTrace, FaultScope},
    run::SoakError,
};

/// The longest that a planned stop takes, including the restart.
const STOP_TIME: Duration = Duration::from_millis(7_500);

/// How long a worker keeps serving after its store entry was set to `draining`.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// How long the store entry of a crashed worker remains: three heartbeats of the platform, shortened.
const STALE_ENTRY_TIME: Duration = Duration::from_millis(1_500);

/// How long the store entry of a restarted worker still describes the worker before the restart.
const ENTRY_UPDATE_TIME: Duration = Duration::from_millis(700);

/// How long it takes until nodes use a newly started worker, and until a newly started node serves.
const START_TIME: Duration = Duration::from_millis(1_500);

/// The connections of customers to a frozen node break after the freeze's length divided by this: late enough for some
/// requests to arrive before, and early enough for their customers to come again before the node wakes.
const RESET_FRACTION: u32 = 3;

/// How long workers may restart under suspects.
const TRAP_TIME: Duration = Duration::from_millis(3_000);

/// How long a worker that crashed is down, and until its entry in the store says so.
const CRASH_TIME: Duration = Duration::from_millis(1_700);

/// How long the jobs of a data centre whose workers are divided anew may wait: found kept jobs, for 2.2 s and a read.
const DIVISION_TIME: Duration = Duration::from_millis(3_500);

/// The share of the writes that are late, and the bounds of the time after which they are carried out.
const LATE_WRITE_SHARE: f64 = 0.35;
const MIN_WRITE_DELAY: Duration = Duration::from_secs(1);
const MAX_WRITE_DELAY: Duration = Duration::from_secs(6);

/// How long a task that crashes its workers goes on: three crashes, one after the other.
const CRASHING_JOB_TIME: Duration = Duration::from_secs(6);

/// An action that ends a fault or continues it, due some time after the injection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FollowUp {
    Thaw(usize),
    /// Breaks connections of customers to a node.
    ResetCustomers(usize),
    HealStoreLink(usize),
    HealWorkerLink(usize, usize),
    HealStore,
    EndLateWrites,
    HealWorker(usize),
    RemoveStoreEntry(usize),
    FinishDrain(usize),
    StartWorker(usize),
    WriteReadyEntry(usize),
    RemoveTrap,
}

/// The records and follow-ups of an injected fault.
#[derive(Clone, Debug, Default)]
pub(crate) struct InjectionTrace {
    pub(crate) disturbances: Vec<Disturbance>,
    pub(crate) drains: Vec<DrainTrace>,
    /// The follow-ups, each with its delay.
    pub(crate) follow_ups: Vec<(Duration, FollowUp)>,
}

/// Returns the follow-ups of the crashes that the workers themselves have met since the last call. Every other worker
/// comes back under its id, the others are replaced.
pub(crate) fn follow_up_crashes(fleet: &mut SoakFleet) -> Vec<(Duration, FollowUp)> {
    let mut follow_ups = Vec::new();
    for worker in fleet.take_crashed_workers() {
        let Some(instance) = fleet.worker_instance(worker) else {
            continue;
        };
        if instance.is_multiple_of(2) {
            follow_ups.push((CRASH_TIME, FollowUp::WriteReadyEntry(worker)));
            continue;
        }
        fleet.crash_worker(worker);
        follow_ups.push((STALE_ENTRY_TIME, FollowUp::RemoveStoreEntry(instance)));
        follow_ups.push((CRASH_TIME, FollowUp::StartWorker(worker)));
    }
    follow_ups
}

/// Injects one fault. `FaultKind::Configure` and `FaultKind::CrashingJob` need nothing here: the caller adds the route,
/// or submits the job.
pub(crate) async fn inject_fault(
    fleet: &mut SoakFleet,
    kind: FaultKind,
) -> Result<InjectionTrace, SoakError> {
    let now = fleet.now();
    let InjectionTrace {
        mut disturbances,
        mut drains,
        mut follow_ups,
    } = InjectionTrace::default();
    let mut add_disturbance = |scope, planned, length| {
        disturbances.push(Disturbance {
            scope,
            planned,
            from: now,
            until: now + length,
        });
    };
    match kind {
        FaultKind::Stop(node) => {
            add_disturbance(FaultScope::Node(node), true, STOP_TIME);
            fleet.signal_node(node, ChildSignal::Terminate)?;
        }
        FaultKind::Kill(node, length) => {
            add_disturbance(FaultScope::Node(node), false, length + START_TIME);
            fleet.kill_node(node, length);
        }
        FaultKind::KillAll => {
            add_disturbance(FaultScope::Store, false, START_TIME);
            for node in 0..fleet.nodes.len() {
                fleet.kill_node(node, Duration::ZERO);
            }
        }
        FaultKind::FreezeOwner(number, length) => {
            let owners = fleet.pool_owners()?;
            if let Some(node) = owners.get(number % owners.len().max(1)).copied() {
                add_disturbance(FaultScope::Node(node), false, length);
                follow_ups.extend(freeze_node(fleet, node, length)?);
            }
        }
        FaultKind::Freeze(node, length) => {
            add_disturbance(FaultScope::Node(node), false, length);
            follow_ups.extend(freeze_node(fleet, node, length)?);
        }
        FaultKind::Reload(node) => fleet.signal_node(node, ChildSignal::Reload)?,
        FaultKind::StoreLink(node, mode, length) => {
            add_disturbance(FaultScope::Node(node), false, length);
            fleet.set_store_link(node, mode).await?;
            follow_ups.push((length, FollowUp::HealStoreLink(node)));
        }
        FaultKind::WorkerLink(worker, node, mode, length) => {
            add_disturbance(FaultScope::Worker(worker), false, length);
            fleet.set_worker_link(worker, node, mode).await?;
            follow_ups.push((length, FollowUp::HealWorkerLink(worker, node)));
        }
        FaultKind::Store(fault, length) => {
            add_disturbance(FaultScope::Store, false, length);
            fleet.set_store_fault(fault);
            follow_ups.push((length, FollowUp::HealStore));
        }
        FaultKind::Forget => {
            add_disturbance(FaultScope::Store, false, Duration::ZERO);
            fleet.forget_history();
        }
        FaultKind::SilenceStore => {
            add_disturbance(FaultScope::Store, false, Duration::ZERO);
            fleet.silence_store();
        }
        FaultKind::LateWrites(length) => {
            add_disturbance(FaultScope::Store, false, length + MAX_WRITE_DELAY);
            fleet.set_late_writes(Some(LateWrites {
                share: LATE_WRITE_SHARE,
                delays: MIN_WRITE_DELAY..MAX_WRITE_DELAY,
            }));
            follow_ups.push((length, FollowUp::EndLateWrites));
        }
        FaultKind::Divide(groups) => {
            add_disturbance(FaultScope::Workers, false, DIVISION_TIME);
            fleet.divide_workers(groups);
        }
        FaultKind::Worker(worker, fault, length) => {
            // A late start may still be executed after the end of the fault.
            add_disturbance(
                FaultScope::Worker(worker),
                false,
                length + Duration::from_secs(2),
            );
            fleet.set_worker_fault(worker, fault);
            follow_ups.push((length, FollowUp::HealWorker(worker)));
        }
        FaultKind::Crash(worker, length) => {
            add_disturbance(
                FaultScope::Worker(worker),
                false,
                length + STALE_ENTRY_TIME + START_TIME,
            );
            if let Some(instance) = fleet.worker_instance(worker) {
                fleet.crash_worker(worker);
                follow_ups.push((STALE_ENTRY_TIME, FollowUp::RemoveStoreEntry(instance)));
                follow_ups.push((length, FollowUp::StartWorker(worker)));
            }
        }
        FaultKind::StartAgain(worker) => {
            add_disturbance(
                FaultScope::Worker(worker),
                false,
                ENTRY_UPDATE_TIME + START_TIME,
            );
            fleet.restart_worker(worker);
            follow_ups.push((ENTRY_UPDATE_TIME, FollowUp::WriteReadyEntry(worker)));
        }
        FaultKind::TrapSuspects(restarts) => {
            add_disturbance(FaultScope::Workers, false, TRAP_TIME);
            fleet.trap_suspects(restarts);
            follow_ups.push((TRAP_TIME, FollowUp::RemoveTrap));
        }
        FaultKind::CrashingJob => {
            add_disturbance(FaultScope::Workers, false, CRASHING_JOB_TIME);
        }
        FaultKind::Drain(worker) => {
            if let Some(instance) = fleet.worker_instance(worker) {
                fleet.announce_draining(worker);
                let announced = now;
                drains.push(DrainTrace {
                    instance,
                    announced,
                });
                follow_ups.push((DRAIN_TIME, FollowUp::FinishDrain(worker)));
                follow_ups.push((DRAIN_TIME + START_TIME, FollowUp::StartWorker(worker)));
            }
        }
        FaultKind::Configure => (),
    }
    Ok(InjectionTrace {
        disturbances,
        drains,
        follow_ups,
    })
}

/// Freezes a node and returns the follow-ups: its customers' connections break, and it is thawed.
fn freeze_node(
    fleet: &mut SoakFleet,
    node: usize,
    length: Duration,
) -> io::Result<[(Duration, FollowUp); 2]> {
    fleet.extend_down_time(node, length);
    fleet.signal_node(node, ChildSignal::Freeze)?;
    Ok([
        (length / RESET_FRACTION, FollowUp::ResetCustomers(node)),
        (length, FollowUp::Thaw(node)),
    ])
}

/// Runs one follow-up of a fault.
pub(crate) async fn run_follow_up(
    fleet: &mut SoakFleet,
    follow_up: FollowUp,
) -> Result<(), SoakError> {
    match follow_up {
        // The customers are not part of the fleet; the caller breaks their connections.
        FollowUp::ResetCustomers(_) => (),
        FollowUp::Thaw(node) => fleet.signal_node(node, ChildSignal::Thaw)?,
        FollowUp::HealStoreLink(node) => fleet.set_store_link(node, LinkMode::Pass).await?,
        FollowUp::HealWorkerLink(worker, node) => {
            fleet.set_worker_link(worker, node, LinkMode::Pass).await?;
        }
        FollowUp::HealStore => fleet.set_store_fault(StoreFault::None),
        FollowUp::EndLateWrites => fleet.set_late_writes(None),
        FollowUp::HealWorker(worker) => fleet.set_worker_fault(worker, WorkerFault::None),
        FollowUp::RemoveStoreEntry(instance) => fleet.remove_store_entry(instance),
        FollowUp::FinishDrain(worker) => {
            if let Some(instance) = fleet.worker_instance(worker) {
                fleet.crash_worker(worker);
                fleet.remove_store_entry(instance);
            }
        }
        FollowUp::StartWorker(worker) => fleet.start_worker(worker).await?,
        FollowUp::RemoveTrap => fleet.trap_suspects(0),
        FollowUp::WriteReadyEntry(worker) => fleet.write_ready_entry(worker),
    }
    Ok(())
}

impl From<io::Error> for SoakError {
    fn from(cause: io::Error) -> Self {
        Self::Setup(cause.to_string())
    }
}

impl From<LinkError> for SoakError {
    fn from(cause: LinkError) -> Self {
        Self::Setup(cause.to_string())
    }
}
