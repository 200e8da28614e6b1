//! Applies what operators write to the store: the configuration, and which data centres are evacuated.

use std::rc::Rc;

use jobs::{PoolId, RouteTable};
use model::DataCentreId;
use platform::RowVersion;
use platform_adapter::{decode_table, FeedPage, OperatorRow, RowChange};
use telemetry::{EventKind, EventLine};

use crate::{
    clients,
    feeds::{log_unreadable_row, stored_row},
    owner,
    state::NodeState,
    workers,
};

/// Applies changes of the operators' table. Evacuations are applied before a configuration of the same page:
/// without a configuration no worker is used, so nothing starts before the evacuations are known.
pub(crate) fn apply_page(state: &Rc<NodeState>, page: FeedPage, is_snapshot: bool) {
    let version = page.version.0;
    let mut evacuated = Vec::new();
    let mut configs = Vec::new();
    for change in page.changes {
        match OperatorRow::from_key(change.key()) {
            OperatorRow::Config => configs.push(change),
            OperatorRow::Evacuation(centre) => {
                let row = evacuation_row(state, change, version);
                match row {
                    Some(row) if is_snapshot => evacuated.push((centre, row)),
                    row => apply_evacuation(state, centre, row),
                }
            }
            OperatorRow::InvalidEvacuation => {
                let line = EventLine::new("evacuation_unusable").text("key", change.key());
                state.log(EventKind::Important, line);
            }
            OperatorRow::Other => (),
        }
    }
    if is_snapshot {
        let change = state
            .evacuations
            .borrow_mut()
            .apply_snapshot(evacuated, version);
        for centre in change.begun {
            apply_evacuation_to_pools(state, &centre, true);
        }
        for centre in change.ended {
            apply_evacuation_to_pools(state, &centre, false);
        }
    }
    for change in configs {
        apply_config(state, change);
    }
}

/// Returns the version of an evacuation's row if the row exists. The row's content has no meaning. An unreadable row
/// is logged and gets the version of the page, because its own is unknown.
fn evacuation_row(state: &NodeState, change: RowChange, page_version: u64) -> Option<u64> {
    match change {
        RowChange::Put(row) => Some(row.version.0),
        RowChange::Removed { .. } => None,
        change @ RowChange::Unreadable { .. } => {
            drop(stored_row(state, change));
            Some(page_version)
        }
    }
}

/// Applies one change of an evacuation: `row` is the row's version, or None if the row is gone.
fn apply_evacuation(state: &Rc<NodeState>, centre: DataCentreId, row: Option<u64>) {
    let mut evacuations = state.evacuations.borrow_mut();
    let changed = match row {
        Some(version) => evacuations.begin(centre.clone(), version),
        None => evacuations.end(&centre),
    };
    drop(evacuations);
    if changed {
        apply_evacuation_to_pools(state, &centre, row.is_some());
    }
}

/// Applies a change of an evacuation to the pools of a data centre, and logs and counts it. If the logged number of
/// workers is 0, this node most likely knows no such data centre.
fn apply_evacuation_to_pools(state: &Rc<NodeState>, centre: &DataCentreId, evacuated: bool) {
    let workers = state.directory.borrow().workers_of_centre(centre).len();
    let event = match evacuated {
        true => "evacuation_begun",
        false => "evacuation_ended",
    };
    crate::metrics::count_evacuation(&state.metrics, evacuated);
    let line = EventLine::new(event)
        .text("data_centre", centre)
        .number("workers", workers as u64);
    state.log(EventKind::Important, line);
    let pools: Vec<PoolId> = state.pools.borrow().keys().cloned().collect();
    for pool in pools {
        if pool.data_centre == *centre {
            owner::with_pool(state, &pool, |pool, now| pool.set_evacuated(now, evacuated));
        }
    }
}

fn apply_config(state: &Rc<NodeState>, change: RowChange) {
    let Some(row) = stored_row(state, change) else {
        return;
    };
    match decode_table(&row.value) {
        Ok(table) => install_table(state, table, row.version),
        Err(error) => log_unreadable_row(state, &row, &error),
    }
}

/// Installs a configuration if its version is higher than the current one: an answer of the store that arrives late
/// must not bring back an older configuration. The logged age is that of the former one.
fn install_table(state: &Rc<NodeState>, table: RouteTable, row: RowVersion) {
    let known = state
        .route_table
        .borrow()
        .as_ref()
        .map(|known| known.version);
    if known.is_some_and(|known| known >= table.version) {
        return;
    }
    let line = EventLine::new("configuration_taken")
        .number("version", table.version.0)
        .number("routes", table.routes.len() as u64)
        .number("former", known.unwrap_or_default().0)
        .number("row", row.0)
        .millis("age_ms", state.table_age().unwrap_or_default());
    state.log(EventKind::Important, line);
    let limits = clients::http_limits(&state.settings, table.limits);
    state.clients.set_limits(limits);
    *state.route_table.borrow_mut() = Some(Rc::new(table));
    workers::reclassify_entries(state);
}
