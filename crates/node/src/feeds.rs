//! Follows the tables of the platform's store and applies their changes.

use std::{rc::Rc, time::Duration};

use claims::{ClaimRow, GroupRow, MemberRow, NodeId};
use jobs::PoolId;
use platform::RowVersion;
use platform_adapter::{FeedPage, RowChange, StoreError, StoreTable, StoredRow};
use pool::RouteBudget;
use telemetry::{EventKind, EventLine};

use crate::{
    groups, kept_jobs, list_schedule, operator, owner, run_time_news, state::NodeState, workers,
};

/// How long the feed of the operators' table waits for a change, as a share of `config_limit_ms`, the time within which
/// a change must be in force. A connection that has gone silent is detected after this wait plus the client's timeout.
const OPERATOR_FEED_WAIT_SHARE: f64 = 0.6;

/// How long the feed of any other table waits for a change.
const FEED_WAIT_TIME: Duration = Duration::from_millis(3_000);

/// The shortest time between two reads of the members' table. Heartbeats report changes of members sooner.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_millis(4_000);

/// The shortest time between two reads of the members' table while no heartbeats arrive: only the rows then show which
/// processes are alive.
const ISOLATED_MEMBERS_READ_INTERVAL: Duration = Duration::from_millis(900);

/// The shortest time between two reads of the members' table while the first members are being discovered. Heartbeats
/// can be exchanged only with known members.
const STARTUP_MEMBERS_READ_INTERVAL: Duration = Duration::from_millis(100);

/// How long after the start the members' table is read at the startup interval.
const STARTUP_MEMBERS_PERIOD: Duration = Duration::from_millis(2_700);

/// The shortest time between two reads of cancelled jobs, which have to be stopped within 3 s.
const CANCELLED_JOBS_READ_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time between two reads of any other table.
const FEED_READ_INTERVAL: Duration = Duration::from_millis(15);

/// The delay after a read that returns rows older than those already known. A store that has lost its history
/// returns such rows for seconds, and the workers' table is large.
const STALE_READ_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The number of changes from which on an answer counts as partial: the store returns some hundreds of changes at a
/// time. The rest is read at once, and the table counts as current only when little is left. When a partial answer
/// was taken for a complete one, starts were sent to workers that were about to leave.
const PARTIAL_PAGE_CHANGES: usize = 250;

/// The delay before a failed read is repeated.
const FAILED_READ_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Follows a table for as long as the process runs. When the store no longer has the history that the feed needs,
/// the whole table is read again.
///
/// The rows of such a read may be older than what is already known. Applying them would end evacuations that have
/// just begun and bring back workers that have left, so they are ignored until the store has caught up with the
/// known version.
pub(crate) async fn follow_table(state: Rc<NodeState>, table: StoreTable) {
    let urgent = table == StoreTable::Operator;
    let limit = state.settings.config_limit_ms.duration();
    let wait = match urgent {
        true => limit.mul_f64(OPERATOR_FEED_WAIT_SHARE),
        false => FEED_WAIT_TIME,
    };
    let begun = state.now();
    if table == StoreTable::Workers {
        list_schedule::wait_until_needed(&state, begun).await;
    }
    let mut after: Option<RowVersion> = None;
    let mut partial = false;
    let mut lost_since = None;
    let mut newest = RowVersion(0);
    loop {
        if table == StoreTable::Workers && after.is_some() && !partial {
            if let Some(version) = list_schedule::take_confirmation(&state) {
                newest = newest.max(version);
                after = Some(newest);
                list_schedule::wait_after_confirmation(&state).await;
                continue;
            }
        }
        let wait = match table {
            StoreTable::Workers => list_schedule::begin_read(&state),
            _ => wait,
        };
        let read = match after {
            None => state.store.read_all(table, "").await,
            Some(after) => state.store.feed(table, after, wait).await,
        };
        match read {
            Ok(page) => {
                if let Some(since) = lost_since.take() {
                    log_store_regained(&state, table, since);
                }
                let is_snapshot = after.is_none();
                if page.version < newest {
                    log_stale_rows(&state, table, page.version, newest);
                    actix_rt::time::sleep(STALE_READ_RETRY_DELAY).await;
                    continue;
                }
                newest = page.version;
                after = Some(newest);
                partial = !is_snapshot && page.changes.len() >= PARTIAL_PAGE_CHANGES;
                apply_page(&state, table, page, is_snapshot);
                if partial {
                    continue;
                }
                if table == StoreTable::Workers {
                    list_schedule::record_read(&state, newest);
                }
                let age = state.now().saturating_duration_since(begun);
                wait_for_next_read(&state, table, age).await;
            }
            Err(StoreError::HistoryGone) => {
                let line = EventLine::new("history_gone").text("table", table.as_str());
                state.log(EventKind::Important, line);
                after = None;
            }
            Err(error) => {
                let now = state.now();
                state.directory.borrow_mut().record_store_failure(now);
                if lost_since.is_none() {
                    lost_since = Some(now);
                    log_store_lost(&state, table, &error);
                }
                actix_rt::time::sleep(FAILED_READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the next read of a table may begin. That read then waits for a change by itself.
async fn wait_for_next_read(state: &Rc<NodeState>, table: StoreTable, age: Duration) {
    let gap = match table {
        StoreTable::Workers => return list_schedule::wait_after_read(state, age).await,
        StoreTable::Members => members_read_interval(state, age),
        StoreTable::Operator | StoreTable::Claims => FEED_READ_INTERVAL,
        StoreTable::Jobs
        | StoreTable::EndedJobs
        | StoreTable::CancelledJobs
        | StoreTable::PendingJobs => CANCELLED_JOBS_READ_INTERVAL,
    };
    actix_rt::time::sleep(gap).await;
}

fn members_read_interval(state: &NodeState, age: Duration) -> Duration {
    if age < STARTUP_MEMBERS_PERIOD {
        return STARTUP_MEMBERS_READ_INTERVAL;
    }
    match state.claim_controller.borrow().is_isolated(state.now()) {
        true => ISOLATED_MEMBERS_READ_INTERVAL,
        false => MEMBERS_READ_INTERVAL,
    }
}

fn log_stale_rows(state: &NodeState, table: StoreTable, shown: RowVersion, known: RowVersion) {
    let line = EventLine::new("stale_rows")
        .text("table", table.as_str())
        .number("shown", shown.0)
        .number("known", known.0);
    state.log(EventKind::Important, line);
}

fn log_store_lost(state: &NodeState, table: StoreTable, error: &StoreError) {
    let line = EventLine::new("store_lost")
        .text("table", table.as_str())
        .text("error", error);
    state.log(EventKind::Important, line);
}

fn log_store_regained(state: &NodeState, table: StoreTable, since: std::time::Instant) {
    let now = state.now();
    let line = EventLine::new("store_regained")
        .text("table", table.as_str())
        .millis("away_ms", now.saturating_duration_since(since));
    state.log(EventKind::Important, line);
}

fn apply_page(state: &Rc<NodeState>, table: StoreTable, page: FeedPage, is_snapshot: bool) {
    match table {
        StoreTable::Operator => operator::apply_page(state, page, is_snapshot),
        StoreTable::Workers => workers::apply_page(state, page, is_snapshot),
        StoreTable::Members => apply_members(state, page),
        StoreTable::Claims => {
            let version = page.version.0;
            apply_claims(state, page);
            owner::record_sole_ownership(state, version);
        }
        StoreTable::CancelledJobs => apply_cancelled(state, page),
        // These tables are read by row or by part and have no feed.
        StoreTable::Jobs | StoreTable::EndedJobs | StoreTable::PendingJobs => (),
    }
}

/// Returns the row of a change, or None if the row was removed or cannot be read. An unreadable row is logged.
pub(crate) fn stored_row(state: &NodeState, change: RowChange) -> Option<StoredRow> {
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

pub(crate) fn log_unreadable_row(state: &NodeState, row: &StoredRow, error: &serde_json::Error) {
    let line = EventLine::new("row_unreadable")
        .text("key", &row.key)
        .number("version", row.version.0)
        .text("error", error);
    state.log(EventKind::Important, line);
}

fn apply_members(state: &NodeState, page: FeedPage) {
    let now = state.now();
    for change in page.changes {
        match change {
            RowChange::Put(row) => match serde_json::from_slice::<MemberRow>(&row.value) {
                Ok(member) => {
                    import_budgets(state, &member);
                    run_time_news::import(state, &member, &row.value);
                    state.claim_controller.borrow_mut().on_member(now, member);
                }
                Err(error) => log_unreadable_row(state, &row, &error),
            },
            RowChange::Removed { key } => {
                state
                    .claim_controller
                    .borrow_mut()
                    .on_member_gone(&NodeId::from(key.as_str()));
            }
            change @ RowChange::Unreadable { .. } => drop(stored_row(state, change)),
        }
    }
}

/// Imports the time budgets of requests that another process, or this process's own former incarnation, has
/// published.
fn import_budgets(state: &NodeState, member: &MemberRow) {
    let mut tracker = state.request_budgets.borrow_mut();
    for published in &member.waits {
        tracker.adopt(&RouteBudget {
            route: published.route.clone(),
            budget: Duration::from_millis(published.least_ms),
        });
    }
}

fn apply_cancelled(state: &Rc<NodeState>, page: FeedPage) {
    for change in page.changes {
        if let Some(row) = stored_row(state, change) {
            kept_jobs::apply_cancelled(state, &row);
        }
    }
}

fn apply_claims(state: &Rc<NodeState>, page: FeedPage) {
    for change in page.changes {
        let Some(row) = stored_row(state, change) else {
            continue;
        };
        if let Some(centre) = groups::centre_of_key(&row.key) {
            match serde_json::from_slice::<GroupRow>(&row.value) {
                Ok(groups) => {
                    let mut versions = state.group_versions.borrow_mut();
                    versions.insert(centre.clone(), row.version.0);
                    drop(versions);
                    groups::apply_groups(state, centre, groups, row.version);
                }
                Err(error) => log_unreadable_row(state, &row, &error),
            }
            continue;
        }
        let Ok(pool) = row.key.parse::<PoolId>() else {
            continue;
        };
        match serde_json::from_slice::<ClaimRow>(&row.value) {
            Ok(claim) => owner::apply_claim(state, &pool, claim, row.version, page.clock),
            Err(error) => log_unreadable_row(state, &row, &error),
        }
    }
}
