//! Follows the tables of the platform's store.

use std::{rc::Rc, time::Duration};

use claims::{ClaimRow, GroupRow, MemberRow, NodeId};
use jobs::PoolId;
use platform::RowVersion;
use platform_adapter::{FeedPage, RowChange, StoreError, StoreTable, StoredRow};
use pool::UsualWait;
use telemetry::{EventKind, EventLine};

use crate::{groups, keeping, listing, operator, owner, state::NodeState, workers};

/// How long the feed of what operators write waits for a change, as a share of the time in which that has to be in force. A
/// connection that has gone silent is found after this time and the client's limit.
const URGENT_SHARE: f64 = 0.6;

/// How long any other feed waits for a change.
const FEED_WAIT: Duration = Duration::from_millis(3_000);

/// The shortest time between two readings of the members' table, of which heartbeats tell earlier.
const MEMBERS_GAP: Duration = Duration::from_millis(4_000);

/// The same for a process that hears nobody: the rows alone tell it who lives.
const ALONE_MEMBERS_GAP: Duration = Duration::from_millis(900);

/// The same until the first members are known, which heartbeats need.
const FIRST_MEMBERS_GAP: Duration = Duration::from_millis(100);

/// How long after the start that is.
const FIRST_MEMBERS_TIME: Duration = Duration::from_millis(2_700);

/// The shortest time between two readings of cancelled jobs, which have to be stopped within 3 s.
const JOBS_GAP: Duration = Duration::from_millis(100);

/// The shortest time between two readings of any other table.
const FEED_GAP: Duration = Duration::from_millis(15);

/// The pause after a reading that shows rows older than those that are known. A store that has lost its history does so for
/// seconds, and the workers' table is large.
const STALE_PAUSE: Duration = Duration::from_millis(400);

/// Changes from which on an answer may be a part of them: the store tells some hundreds at a time. What is read on at once counts
/// as current only when little is left: a part that was taken for all had starts leave for workers that were about to go.
const PARTIAL_PAGE: usize = 250;

/// The pause after a reading that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Follows a table for as long as the process runs. The history may be gone at any time; then all is read again.
///
/// What is read then may be older than what is known. Believed, it would end evacuations that have just begun, and bring
/// workers back that have left; so it is passed over until the store is as far as it was.
pub(crate) async fn follow(state: Rc<NodeState>, table: StoreTable) {
    let urgent = table == StoreTable::Operator;
    let limit = state.settings.config_limit_ms.duration();
    let wait = match urgent {
        true => limit.mul_f64(URGENT_SHARE),
        false => FEED_WAIT,
    };
    let begun = state.now();
    if table == StoreTable::Workers {
        listing::wait_to_read(&state, begun).await;
    }
    let mut after: Option<RowVersion> = None;
    let mut partial = false;
    let mut lost_since = None;
    let mut newest = RowVersion(0);
    loop {
        if table == StoreTable::Workers && after.is_some() && !partial {
            if let Some(version) = listing::take_confirmation(&state) {
                newest = newest.max(version);
                after = Some(newest);
                listing::rest_confirmed(&state).await;
                continue;
            }
        }
        let wait = match table {
            StoreTable::Workers => listing::begin_reading(&state),
            _ => wait,
        };
        let read = match after {
            None => state.store.read_all(table, "").await,
            Some(after) => state.store.feed(table, after, wait).await,
        };
        match read {
            Ok(page) => {
                if let Some(since) = lost_since.take() {
                    note_regained(&state, table, since);
                }
                let whole = after.is_none();
                if page.version < newest {
                    note_stale(&state, table, page.version, newest);
                    actix_rt::time::sleep(STALE_PAUSE).await;
                    continue;
                }
                newest = page.version;
                after = Some(newest);
                partial = !whole && page.changes.len() >= PARTIAL_PAGE;
                take_page(&state, table, page, whole);
                if partial {
                    continue;
                }
                if table == StoreTable::Workers {
                    listing::note_read(&state, newest);
                }
                let age = state.now().saturating_duration_since(begun);
                rest(&state, table, age).await;
            }
            Err(StoreError::HistoryGone) => {
                let line = EventLine::new("history_gone").text("table", table.as_str());
                state.log(EventKind::Important, line);
                after = None;
            }
            Err(error) => {
                let now = state.now();
                state.directory.borrow_mut().note_failure(now);
                if lost_since.is_none() {
                    lost_since = Some(now);
                    note_lost(&state, table, &error);
                }
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits until a table is to be read again.
async fn rest(state: &Rc<NodeState>, table: StoreTable, age: Duration) {
    let gap = match table {
        StoreTable::Workers => return listing::rest(state, age).await,
        StoreTable::Members => members_gap(state, age),
        StoreTable::Operator | StoreTable::Claims => FEED_GAP,
        StoreTable::Jobs
        | StoreTable::EndedJobs
        | StoreTable::CancelledJobs
        | StoreTable::PendingJobs => JOBS_GAP,
    };
    actix_rt::time::sleep(gap).await;
}

fn members_gap(state: &NodeState, age: Duration) -> Duration {
    if age < FIRST_MEMBERS_TIME {
        return FIRST_MEMBERS_GAP;
    }
    match state.keeper.borrow().hears_nobody(state.now()) {
        true => ALONE_MEMBERS_GAP,
        false => MEMBERS_GAP,
    }
}

fn note_stale(state: &NodeState, table: StoreTable, shown: RowVersion, known: RowVersion) {
    let line = EventLine::new("stale_rows")
        .text("table", table.as_str())
        .number("shown", shown.0)
        .number("known", known.0);
    state.log(EventKind::Important, line);
}

fn note_lost(state: &NodeState, table: StoreTable, error: &StoreError) {
    let line = EventLine::new("store_lost")
        .text("table", table.as_str())
        .text("error", error);
    state.log(EventKind::Important, line);
}

fn note_regained(state: &NodeState, table: StoreTable, since: std::time::Instant) {
    let now = state.now();
    let line = EventLine::new("store_regained")
        .text("table", table.as_str())
        .millis("away_ms", now.saturating_duration_since(since));
    state.log(EventKind::Important, line);
}

fn take_page(state: &Rc<NodeState>, table: StoreTable, page: FeedPage, whole: bool) {
    match table {
        StoreTable::Operator => operator::take_page(state, page, whole),
        StoreTable::Workers => workers::take_page(state, page, whole),
        StoreTable::Members => take_members(state, page),
        StoreTable::Claims => {
            let version = page.version.0;
            take_claims(state, page);
            owner::note_sole_owner(state, version);
        }
        StoreTable::CancelledJobs => take_cancelled(state, page),
        // Read by row or by part, not followed.
        StoreTable::Jobs | StoreTable::EndedJobs | StoreTable::PendingJobs => (),
    }
}

/// The row, if it was written and can be read. What cannot be read is logged.
pub(crate) fn put_row(state: &NodeState, change: RowChange) -> Option<StoredRow> {
    match change {
        RowChange::Put(row) => Some(row),
        RowChange::Removed { .. } => None,
        RowChange::Unreadable { key, reason } => {
            let line = EventLine::new("row_unreadable").text("key", &key);
            state.log(EventKind::Important, line.text("error", &reason));
            None
        }
    }
}

pub(crate) fn note_unreadable(state: &NodeState, row: &StoredRow, error: &serde_json::Error) {
    let line = EventLine::new("row_unreadable")
        .text("key", &row.key)
        .number("version", row.version.0)
        .text("error", error);
    state.log(EventKind::Important, line);
}

fn take_members(state: &NodeState, page: FeedPage) {
    let now = state.now();
    for change in page.changes {
        match change {
            RowChange::Put(row) => match serde_json::from_slice::<MemberRow>(&row.value) {
                Ok(member) => {
                    adopt_waits(state, &member);
                    state.keeper.borrow_mut().on_member(now, member);
                }
                Err(error) => note_unreadable(state, &row, &error),
            },
            RowChange::Removed { key } => {
                state
                    .keeper
                    .borrow_mut()
                    .on_member_gone(&NodeId::from(key.as_str()));
            }
            change @ RowChange::Unreadable { .. } => drop(put_row(state, change)),
        }
    }
}

/// Takes over what a process has learnt of customers' times, its own former life among them.
fn adopt_waits(state: &NodeState, member: &MemberRow) {
    let mut waits = state.waits.borrow_mut();
    for wait in &member.waits {
        waits.adopt(&UsualWait {
            route: wait.route.clone(),
            time: Duration::from_millis(wait.least_ms),
        });
    }
}

fn take_cancelled(state: &Rc<NodeState>, page: FeedPage) {
    for change in page.changes {
        if let Some(row) = put_row(state, change) {
            keeping::take_cancelled(state, &row);
        }
    }
}

fn take_claims(state: &Rc<NodeState>, page: FeedPage) {
    for change in page.changes {
        let Some(row) = put_row(state, change) else {
            continue;
        };
        if let Some(centre) = groups::centre_of_key(&row.key) {
            match serde_json::from_slice::<GroupRow>(&row.value) {
                Ok(groups) => {
                    let mut versions = state.group_versions.borrow_mut();
                    versions.insert(centre.clone(), row.version.0);
                    drop(versions);
                    groups::take_groups(state, centre, groups, row.version);
                }
                Err(error) => note_unreadable(state, &row, &error),
            }
            continue;
        }
        let Ok(pool) = row.key.parse::<PoolId>() else {
            continue;
        };
        match serde_json::from_slice::<ClaimRow>(&row.value) {
            Ok(claim) => owner::take_claim(state, &pool, claim, row.version, page.clock),
            Err(error) => note_unreadable(state, &row, &error),
        }
    }
}
