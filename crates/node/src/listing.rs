//! When this process reads the list of workers, and when it goes by what another has read.
//!
//! The list's rows change with each heartbeat of each worker, and only owners of pools need it: read by all, it is most of what
//! the VMs of a large fleet receive. Who reads is decided in `claims`; here the reading is begun, put off and confirmed.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use claims::ListTurn;
use model::{text_set, WrongReason};
use platform::RowVersion;
use telemetry::{EventKind, EventLine};
use tokio::time::timeout;

use crate::{metrics::count_list, state::NodeState};

/// The shortest time between two readings. Some 30 rows a second change at 48 workers; a worker that drains has to be left
/// alone within 2 s.
const WORKERS_GAP: Duration = Duration::from_millis(250);

/// The time between two looks at what others have read.
const CONFIRMED_GAP: Duration = Duration::from_millis(100);

/// The time between two readings by a process that stands by. Within the store's history.
const STANDBY_GAP: Duration = Duration::from_millis(15_000);

/// How long after its start a process that stands by reads as often as an owner at the most: it may be one at any moment, and
/// all workers have to be listed before they are divided.
const FIRST_LISTING: Duration = Duration::from_millis(8_000);

/// The same where the workers of all data centres are divided already.
const LATER_LISTING: Duration = Duration::from_millis(1_500);

/// How long a process that has just started waits for the members' rows before it takes itself for one that stands by.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// The time between two looks at whether the list is needed.
const NEED_BEAT: Duration = Duration::from_millis(50);

/// The shortest time between two lines about where the list comes from.
const TOLD_GAP: Duration = Duration::from_millis(1_000);

text_set! {
    /// Where the list of workers comes from.
    ListSource, "source of the list of workers", WrongReason {
        /// This process has read it.
        Read => "read",
        /// Another process has read it, and knows what is known here.
        Confirmed => "confirmed",
    }
}

/// Waits until this process needs the list: it owns a pool, is about to, stands by or is asked for it.
pub(crate) async fn wait_to_read(state: &Rc<NodeState>, begun: Instant) {
    loop {
        let now = state.now();
        let settled = now >= begun + SETTLING_TIME;
        if owns_soon(state) || (settled && stands_by(state, now)) {
            return;
        }
        let asked = timeout(NEED_BEAT, state.wake_workers.notified()).await;
        if asked.is_ok() {
            return;
        }
    }
}

/// Notes that a reading begins, and gives how long it may wait for a change.
pub(crate) fn begin_reading(state: &NodeState) -> Duration {
    let now = state.now();
    let mut directory = state.directory.borrow_mut();
    let current = directory.is_current(now);
    directory.note_asked(now);
    match current {
        true => WORKERS_GAP,
        // Whoever waits for it needs to know at once that there is nothing new.
        false => Duration::ZERO,
    }
}

/// The version up to which others that read the list confirm what is known here. None if it has to be read.
pub(crate) fn take_confirmation(state: &NodeState) -> Option<RowVersion> {
    let now = state.now();
    let mut directory = state.directory.borrow_mut();
    let known = directory.known()?;
    match state.keeper.borrow().list_turn(now, known) {
        ListTurn::Read => None,
        ListTurn::Confirmed { version, at } => {
            directory.note_confirmed(at, version);
            note_source(state, ListSource::Confirmed, version);
            Some(RowVersion(version))
        }
    }
}

/// Notes that the list was read.
pub(crate) fn note_read(state: &NodeState, version: RowVersion) {
    let now = state.now();
    state.directory.borrow_mut().note_read(now, version.0);
    note_source(state, ListSource::Read, version.0);
}

/// Counts where the list came from, and tells the log where that changes. While much changes it does so several times a second.
fn note_source(state: &NodeState, source: ListSource, version: u64) {
    count_list(&state.metrics, source);
    let now = state.now();
    let told = state.list_source.get();
    if told.is_some_and(|(told, at)| told == source || now < at + TOLD_GAP) {
        return;
    }
    state.list_source.set(Some((source, now)));
    let line = EventLine::new("worker_list")
        .text("source", source.as_str())
        .number("version", version);
    state.log(EventKind::Important, line);
}

/// Waits until the next look after a confirmation.
pub(crate) async fn rest_confirmed(state: &Rc<NodeState>) {
    rest_for(state, CONFIRMED_GAP).await;
}

/// Waits until the next reading.
pub(crate) async fn rest(state: &Rc<NodeState>, age: Duration) {
    let listing = match state.directory.borrow().is_divided() {
        true => LATER_LISTING,
        false => FIRST_LISTING,
    };
    if age < listing {
        actix_rt::time::sleep(WORKERS_GAP).await;
        return;
    }
    rest_for(state, WORKERS_GAP).await;
}

async fn rest_for(state: &Rc<NodeState>, gap: Duration) {
    let begun = state.now();
    if owns_soon(state) {
        actix_rt::time::sleep(gap).await;
    } else {
        // Whoever is about to take a pool over is woken.
        let _either = timeout(STANDBY_GAP, state.wake_workers.notified()).await;
    }
    wait_to_read(state, begun).await;
}

/// Whether this process owns a pool or is among the first that would claim one.
fn owns_soon(state: &NodeState) -> bool {
    !state.pools.borrow().is_empty() || state.keeper.borrow().may_claim_soon()
}

fn stands_by(state: &NodeState, now: Instant) -> bool {
    let centre = &state.settings.data_centre;
    let divided = state.directory.borrow().groups(centre).is_some();
    state.keeper.borrow().stands_by(now, divided)
}
