//! Schedules when this process reads the list of workers, and when it relies on what another process has read.
//!
//! The rows of the list change with each heartbeat of each worker, and only owners of pools need them. If all
//! processes read the list, it would be most of what the VMs of a large fleet receive. `claims` decides which
//! process reads; this module starts, delays and confirms the reads.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use claims::PollDecision;
use model::{text_enum, UnknownVariant};
use platform::RowVersion;
use telemetry::{EventKind, EventLine};
use tokio::time::timeout;

use crate::{metrics::count_list_source, state::NodeState};

/// The shortest time between two reads, and how long a read waits for a change. Some 30 rows a second change at 48
/// workers, and a worker that drains must get no more starts within 2 s.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which this process checks what others have read.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between two reads by a standby process. It is short enough for the store to still have the history.
const STANDBY_READ_INTERVAL: Duration = Duration::from_millis(15_000);

/// How long at most after its start a standby process reads as often as an owner. It may become an owner at any
/// moment, and all workers must be listed before they are divided into groups.
const STARTUP_READ_PERIOD: Duration = Duration::from_millis(8_000);

/// Replaces [`STARTUP_READ_PERIOD`] if the workers of all data centres are already divided into groups.
const GROUPED_STARTUP_READ_PERIOD: Duration = Duration::from_millis(1_500);

/// How long a process that has just started waits for the members' rows before it may regard itself as a standby.
const MEMBERS_SETTLING_TIME: Duration = Duration::from_millis(300);

/// The interval at which a process checks whether it needs the list.
const NEED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest time between two log lines about the source of the list.
const SOURCE_LOG_INTERVAL: Duration = Duration::from_millis(1_000);

text_enum! {
    /// Where the list of workers comes from.
    ListSource, "source of the list of workers", UnknownVariant {
        /// This process has read it.
        Read => "read",
        /// Another process has read it, and its digest matches the list known here.
        Confirmed => "confirmed",
    }
}

/// Waits until this process needs the list: it owns a pool, may soon claim one, is a standby or has been requested
/// to read it.
pub(crate) async fn wait_until_needed(state: &Rc<NodeState>, begun: Instant) {
    loop {
        let now = state.now();
        let settled = now >= begun + MEMBERS_SETTLING_TIME;
        if owns_or_may_claim(state) || (settled && is_standby(state, now)) {
            return;
        }
        let woken = timeout(NEED_POLL_INTERVAL, state.worker_list_needed.notified()).await;
        if woken.is_ok() {
            return;
        }
    }
}

/// Records that a read begins, and returns how long the read may wait for a change.
pub(crate) fn begin_read(state: &NodeState) -> Duration {
    let now = state.now();
    let mut directory = state.directory.borrow_mut();
    let current = directory.is_current(now);
    directory.record_request(now);
    match current {
        true => LIST_READ_INTERVAL,
        // The list is not current, so a read without changes must be answered at once to make it current again.
        false => Duration::ZERO,
    }
}

/// Returns the version up to which other readers confirm the list that is known here. None if the list has to be
/// read.
pub(crate) fn take_confirmation(state: &NodeState) -> Option<RowVersion> {
    let now = state.now();
    let mut directory = state.directory.borrow_mut();
    let known = directory.known_list()?;
    match state.claim_controller.borrow().poll_decision(now, known) {
        PollDecision::Read => None,
        PollDecision::Confirmed { version, at } => {
            directory.record_confirmation(at, version);
            record_source(state, ListSource::Confirmed, version);
            Some(RowVersion(version))
        }
    }
}

/// Records that the list was read.
pub(crate) fn record_read(state: &NodeState, version: RowVersion) {
    let now = state.now();
    state.directory.borrow_mut().record_read(now, version.0);
    record_source(state, ListSource::Read, version.0);
}

/// Counts the source of the list and logs it when it changes, at most once per [`SOURCE_LOG_INTERVAL`]: while many
/// rows change, the source changes several times a second.
fn record_source(state: &NodeState, source: ListSource, version: u64) {
    count_list_source(&state.metrics, source);
    let now = state.now();
    let last = state.list_source.get();
    if last.is_some_and(|(last_source, at)| last_source == source || now < at + SOURCE_LOG_INTERVAL)
    {
        return;
    }
    state.list_source.set(Some((source, now)));
    let line = EventLine::new("worker_list")
        .text("source", source.as_str())
        .number("version", version);
    state.log(EventKind::Important, line);
}

/// Waits until the next check after a confirmation.
pub(crate) async fn wait_after_confirmation(state: &Rc<NodeState>) {
    wait_between_reads(state, CONFIRMATION_POLL_INTERVAL).await;
}

/// Waits until the next read.
pub(crate) async fn wait_after_read(state: &Rc<NodeState>, age: Duration) {
    let period = match state.directory.borrow().is_divided() {
        true => GROUPED_STARTUP_READ_PERIOD,
        false => STARTUP_READ_PERIOD,
    };
    if age < period {
        actix_rt::time::sleep(LIST_READ_INTERVAL).await;
        return;
    }
    wait_between_reads(state, LIST_READ_INTERVAL).await;
}

async fn wait_between_reads(state: &Rc<NodeState>, gap: Duration) {
    let begun = state.now();
    if owns_or_may_claim(state) {
        actix_rt::time::sleep(gap).await;
    } else {
        // A process that may soon claim a pool is woken earlier.
        let _either = timeout(STANDBY_READ_INTERVAL, state.worker_list_needed.notified()).await;
    }
    wait_until_needed(state, begun).await;
}

/// Returns whether this process owns a pool or is among the first that would claim one.
fn owns_or_may_claim(state: &NodeState) -> bool {
    !state.pools.borrow().is_empty() || state.claim_controller.borrow().may_claim_soon()
}

fn is_standby(state: &NodeState, now: Instant) -> bool {
    let centre = &state.settings.data_centre;
    let divided = state.directory.borrow().groups(centre).is_some();
    state.claim_controller.borrow().is_standby(now, divided)
}
