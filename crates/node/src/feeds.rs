//! Follows the tables of the platform's store and applies their changes.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use claims::{ClaimRow, GroupRow, MemberRow, NodeId};
use futures::future::{select, Either};
use jobs::PoolId;
use platform::{RequestError, RowVersion};
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

/// How long the feed of cancelled jobs waits for a change once there are kept jobs. Two lost answers in a row, one with the
/// wait and one without, and the client's timeouts take 2.2 s of the 3 s in which cancelled jobs have to stop.
const CANCELLED_JOBS_FEED_WAIT: Duration = Duration::from_millis(1_000);

/// How long the feed of moved jobs waits for a change. The owners' periodic reads find a job whose notice is lost.
const MOVED_JOBS_FEED_WAIT: Duration = Duration::from_millis(10_000);

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

/// How far the feed of a table has come.
#[derive(Default)]
struct FeedProgress {
    /// The version after which changes are read, None if the whole table has to be read.
    after: Option<RowVersion>,
    /// The newest version that an answer had.
    newest: RowVersion,
    /// Whether the last answer had only a part of the changes.
    partial: bool,
    /// The failed reads since the last answer.
    failures: Option<ReadFailures>,
}

/// Failed reads in a row.
#[derive(Clone, Copy)]
struct ReadFailures {
    since: Instant,
    count: u32,
}

/// A read of a table: how long it may wait for a change, and when it began.
struct TableRead {
    table: StoreTable,
    wait: Duration,
    begun: Instant,
    /// The same moment on the clock that goes on while the machine is suspended.
    begun_since_boot: Duration,
}

impl TableRead {
    fn begin(state: &NodeState, table: StoreTable, wait: Duration) -> Self {
        Self {
            table,
            wait,
            begun: state.now(),
            begun_since_boot: state.clock.since_boot(),
        }
    }
}

/// Follows a table for as long as the process runs. When the store no longer has the history that the feed needs,
/// the whole table is read again.
///
/// The rows of such a read may be older than what is already known. Applying them would end evacuations that have
/// just begun and bring back workers that have left, so they are ignored until the store has caught up with the
/// known version.
pub(crate) async fn follow_table(state: Rc<NodeState>, table: StoreTable) {
    let begun = state.now();
    if table == StoreTable::Workers {
        list_schedule::wait_until_needed(&state, begun).await;
    }
    let mut progress = FeedProgress::default();
    loop {
        if table == StoreTable::Workers && progress.after.is_some() && !progress.partial {
            if let Some(version) = list_schedule::take_confirmation(&state) {
                progress.newest = progress.newest.max(version);
                progress.after = Some(progress.newest);
                list_schedule::wait_after_confirmation(&state).await;
                continue;
            }
        }
        let read = TableRead::begin(&state, table, read_wait(&state, table, &progress));
        let answer = match progress.after {
            None => read_start(&state, table).await,
            Some(after) => match read_feed(&state, &read, after).await {
                Some(answer) => answer,
                None => continue,
            },
        };
        match answer {
            Ok(page) => {
                state.attempts.record_clock(state.now(), page.clock);
                if let Some(failures) = progress.failures.take() {
                    log_store_regained(&state, table, failures.since);
                }
                if page.version < progress.newest {
                    log_stale_rows(&state, table, page.version, progress.newest);
                    actix_rt::time::sleep(STALE_READ_RETRY_DELAY).await;
                    continue;
                }
                apply_answer(&state, &mut progress, &read, page);
                if progress.partial {
                    continue;
                }
                let age = state.now().saturating_duration_since(begun);
                wait_for_next_read(&state, table, age).await;
            }
            Err(StoreError::HistoryGone) => {
                let line = EventLine::new("history_gone").text("table", table.as_str());
                state.log(EventKind::Important, line);
                progress.after = None;
            }
            Err(error) => {
                record_failure(&state, &mut progress, &read, &error);
                actix_rt::time::sleep(FAILED_READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads where the feed of a table begins, at the start of the process and whenever the store no longer has the history
/// that the feed needs.
///
/// Tables of notices are not read: their rows lie in the partitions of the jobs and are never removed. The notices since the
/// last answer are missed, so the pools read their jobs instead; see [`apply_page`].
async fn read_start(state: &NodeState, table: StoreTable) -> Result<FeedPage, StoreError> {
    match table {
        StoreTable::CancelledJobs
        | StoreTable::MovedJobs
        | StoreTable::Jobs
        | StoreTable::EndedJobs
        | StoreTable::PendingJobs
        | StoreTable::Attempts => state.store.begin_feed(table).await,
        // All rows of these tables are in the unnamed partition.
        StoreTable::Operator | StoreTable::Workers | StoreTable::Members | StoreTable::Claims => {
            let all = state.store.read_partition(table, "").await?;
            Ok(FeedPage {
                changes: all.rows,
                version: all.version,
                clock: all.clock,
            })
        }
    }
}

/// Reads the changes after a version. `None` if the read waits longer than the table now allows.
async fn read_feed(
    state: &NodeState,
    read: &TableRead,
    after: RowVersion,
) -> Option<Result<FeedPage, StoreError>> {
    let feed = state.store.feed(read.table, after, read.wait);
    let waits_longer = read.wait > CANCELLED_JOBS_FEED_WAIT;
    if read.table != StoreTable::CancelledJobs || !waits_longer {
        return Some(feed.await);
    }
    let seen = std::pin::pin!(state.kept_view.wait_until_seen());
    match select(std::pin::pin!(feed), seen).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => None,
    }
}

/// Returns how long the next read of a table may wait for a change.
///
/// A retry does not wait: it shows at once whether the store answers again, and if it is lost too, it costs only the
/// client's timeout.
fn read_wait(state: &NodeState, table: StoreTable, progress: &FeedProgress) -> Duration {
    let usual = match table {
        StoreTable::Workers => list_schedule::begin_read(state),
        // After a suspension, the answer to the former feed says nothing about the time since it was sent.
        StoreTable::Operator if !state.is_table_current() => Duration::ZERO,
        StoreTable::Operator => {
            let limit = state.settings.config_limit_ms.duration();
            limit.mul_f64(OPERATOR_FEED_WAIT_SHARE)
        }
        StoreTable::MovedJobs => MOVED_JOBS_FEED_WAIT,
        StoreTable::CancelledJobs if state.kept_view.has_seen() => CANCELLED_JOBS_FEED_WAIT,
        _ => FEED_WAIT_TIME,
    };
    match progress.failures {
        Some(_) => Duration::ZERO,
        None => usual,
    }
}

/// Applies an answer of the store that is not older than what is known.
fn apply_answer(
    state: &Rc<NodeState>,
    progress: &mut FeedProgress,
    read: &TableRead,
    page: FeedPage,
) {
    let is_snapshot = progress.after.is_none();
    progress.newest = page.version;
    progress.after = Some(page.version);
    progress.partial = !is_snapshot && page.changes.len() >= PARTIAL_PAGE_CHANGES;
    apply_page(state, read.table, page, is_snapshot);
    if progress.partial {
        return;
    }
    match read.table {
        StoreTable::Workers => list_schedule::record_read(state, progress.newest),
        StoreTable::Operator => {
            let mut freshness = state.table_freshness.get();
            freshness.record_read(read.begun_since_boot);
            state.table_freshness.set(freshness);
        }
        _ => (),
    }
}

fn record_failure(
    state: &NodeState,
    progress: &mut FeedProgress,
    read: &TableRead,
    error: &StoreError,
) {
    let now = state.now();
    state.directory.borrow_mut().record_store_failure(now);
    let failures = progress.failures.get_or_insert(ReadFailures {
        since: now,
        count: 0,
    });
    failures.count += 1;
    log_read_failure(state, read, failures.count, error);
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
        | StoreTable::MovedJobs
        | StoreTable::PendingJobs
        | StoreTable::Attempts => CANCELLED_JOBS_READ_INTERVAL,
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

/// Logs a failed read: the first of a row, each that went unanswered if the table is the operators', and every further
/// one whose number is a power of two. How long each one took shows whether several silent waits add up.
fn log_read_failure(state: &NodeState, read: &TableRead, count: u32, error: &StoreError) {
    let is_unanswered = *error == StoreError::NoAnswer(RequestError::TimedOut);
    let is_urgent = read.table == StoreTable::Operator && is_unanswered;
    if !is_urgent && !count.is_power_of_two() {
        return;
    }
    let event = match count {
        1 => "store_lost",
        _ => "store_read_failed",
    };
    let took = state.now().saturating_duration_since(read.begun);
    let line = EventLine::new(event)
        .text("table", read.table.as_str())
        .text("error", error)
        .number("tries", count)
        .millis("wait_ms", read.wait)
        .millis("took_ms", took);
    state.log(EventKind::Important, line);
}

fn log_store_regained(state: &NodeState, table: StoreTable, since: Instant) {
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
        // The notices before the start of the feed were missed.
        StoreTable::CancelledJobs | StoreTable::MovedJobs if is_snapshot => {
            kept_jobs::reread_rows(state, page.version);
        }
        StoreTable::CancelledJobs => apply_cancelled(state, page),
        StoreTable::MovedJobs => kept_jobs::apply_moved(state, page),
        // These tables are read by row or by part and have no feed.
        StoreTable::Jobs
        | StoreTable::EndedJobs
        | StoreTable::PendingJobs
        | StoreTable::Attempts => (),
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
