//! Carries out the faults of a plan, and mends them when their time is over.

use std::{io, time::Duration};

use platform_stand_ins::{ExecutorFault, StoreFault};
use scenario::ChildSignal;
use stand_ins::forwarder::LinkMode;

use crate::{
    fleet::SoakFleet,
    plan::FaultKind,
    record::{Disturbance, DrainTrace, FaultScope},
    run::SoakError,
};

/// How long a planned stop takes at most, its restart included.
const STOP_TIME: Duration = Duration::from_millis(7_500);

/// How long a worker serves on after it has said that it leaves.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// How long a dead worker's entry stays: three heartbeats of the platform, shortened.
const ENTRY_TIME: Duration = Duration::from_millis(1_500);

/// How long a worker's entry still tells of its former life.
const HEARTBEAT_TIME: Duration = Duration::from_millis(700);

/// How long it takes after a new life until nodes have begun to use it, and after a start until a node serves.
const START_TIME: Duration = Duration::from_millis(1_500);

/// What has to be done when a fault's time is over.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Mend {
    Thaw(usize),
    StoreLink(usize),
    WorkerLink(usize, usize),
    Store,
    Worker(usize),
    Unlist(usize),
    Leave(usize),
    Rebirth(usize),
    Tell(usize),
}

/// What follows from a fault.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultTrace {
    pub(crate) disturbances: Vec<Disturbance>,
    pub(crate) drains: Vec<DrainTrace>,
    /// What has to be mended, and after which time.
    pub(crate) mends: Vec<(Duration, Mend)>,
}

/// Carries out one fault.
pub(crate) async fn carry_out(
    fleet: &mut SoakFleet,
    kind: FaultKind,
) -> Result<FaultTrace, SoakError> {
    let now = fleet.now();
    let FaultTrace {
        mut disturbances,
        mut drains,
        mut mends,
    } = FaultTrace::default();
    let mut note = |scope, planned, length| {
        disturbances.push(Disturbance {
            scope,
            planned,
            from: now,
            until: now + length,
        });
    };
    match kind {
        FaultKind::Stop(node) => {
            note(FaultScope::Node(node), true, STOP_TIME);
            fleet.signal(node, ChildSignal::Terminate)?;
        }
        FaultKind::Kill(node, length) => {
            note(FaultScope::Node(node), false, length + START_TIME);
            fleet.kill(node, length);
        }
        FaultKind::KillAll => {
            note(FaultScope::Store, false, START_TIME);
            for node in 0..fleet.nodes.len() {
                fleet.kill(node, Duration::ZERO);
            }
        }
        FaultKind::Freeze(node, length) => {
            note(FaultScope::Node(node), false, length);
            fleet.hold_down(node, length);
            fleet.signal(node, ChildSignal::Freeze)?;
            mends.push((length, Mend::Thaw(node)));
        }
        FaultKind::Reload(node) => fleet.signal(node, ChildSignal::Reload)?,
        FaultKind::StoreLink(node, mode, length) => {
            note(FaultScope::Node(node), false, length);
            fleet.set_store_link(node, mode).await;
            mends.push((length, Mend::StoreLink(node)));
        }
        FaultKind::WorkerLink(worker, node, mode, length) => {
            note(FaultScope::Worker(worker), false, length);
            fleet.set_worker_link(worker, node, mode).await;
            mends.push((length, Mend::WorkerLink(worker, node)));
        }
        FaultKind::Store(fault, length) => {
            note(FaultScope::Store, false, length);
            fleet.set_store(fault);
            mends.push((length, Mend::Store));
        }
        FaultKind::Forget => {
            note(FaultScope::Store, false, Duration::ZERO);
            fleet.forget_history();
        }
        FaultKind::Worker(worker, fault, length) => {
            // What a worker carries out late may come after the fault's end.
            note(
                FaultScope::Worker(worker),
                false,
                length + Duration::from_secs(2),
            );
            fleet.set_worker(worker, fault);
            mends.push((length, Mend::Worker(worker)));
        }
        FaultKind::Crash(worker, length) => {
            note(
                FaultScope::Worker(worker),
                false,
                length + ENTRY_TIME + START_TIME,
            );
            if let Some(life) = fleet.worker_life(worker) {
                fleet.crash(worker);
                mends.push((ENTRY_TIME, Mend::Unlist(life)));
                mends.push((length, Mend::Rebirth(worker)));
            }
        }
        FaultKind::StartAgain(worker) => {
            note(
                FaultScope::Worker(worker),
                false,
                HEARTBEAT_TIME + START_TIME,
            );
            fleet.start_again(worker);
            mends.push((HEARTBEAT_TIME, Mend::Tell(worker)));
        }
        FaultKind::Drain(worker) => {
            if let Some(life) = fleet.worker_life(worker) {
                fleet.say_draining(worker);
                let said = now;
                drains.push(DrainTrace { life, said });
                mends.push((DRAIN_TIME, Mend::Leave(worker)));
                mends.push((DRAIN_TIME + START_TIME, Mend::Rebirth(worker)));
            }
        }
        FaultKind::Configure => (),
    }
    Ok(FaultTrace {
        disturbances,
        drains,
        mends,
    })
}

/// Mends what a fault left behind.
pub(crate) async fn mend(fleet: &mut SoakFleet, mend: Mend) -> Result<(), SoakError> {
    match mend {
        Mend::Thaw(node) => fleet.signal(node, ChildSignal::Thaw)?,
        Mend::StoreLink(node) => fleet.set_store_link(node, LinkMode::Pass).await,
        Mend::WorkerLink(worker, node) => {
            fleet.set_worker_link(worker, node, LinkMode::Pass).await;
        }
        Mend::Store => fleet.set_store(StoreFault::None),
        Mend::Worker(worker) => fleet.set_worker(worker, ExecutorFault::None),
        Mend::Unlist(life) => fleet.unlist(life),
        Mend::Leave(worker) => {
            if let Some(life) = fleet.worker_life(worker) {
                fleet.crash(worker);
                fleet.unlist(life);
            }
        }
        Mend::Rebirth(worker) => fleet.start_worker(worker).await?,
        Mend::Tell(worker) => fleet.tell_worker(worker),
    }
    Ok(())
}

impl From<io::Error> for SoakError {
    fn from(cause: io::Error) -> Self {
        Self::Setup(cause.to_string())
    }
}
