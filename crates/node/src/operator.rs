//! What operators write: the configuration, and which data centres are evacuated.

use std::rc::Rc;

use jobs::PoolId;
use model::DataCentreId;
use platform_adapter::{decode_table, FeedPage, OperatorRow, RowChange};
use telemetry::{EventKind, EventLine};

use crate::{
    feeds::{note_unreadable, put_row},
    owner,
    state::NodeState,
    workers,
};

/// Takes what operators wrote. Evacuations go before the configuration that came with them: before there is one no worker is
/// used, so nothing starts before the evacuations are known.
pub(crate) fn take_page(state: &Rc<NodeState>, page: FeedPage, whole: bool) {
    let version = page.version.0;
    let mut evacuated = Vec::new();
    let mut configs = Vec::new();
    for change in page.changes {
        match OperatorRow::of_key(change.key()) {
            OperatorRow::Config => configs.push(change),
            OperatorRow::Evacuation(centre) => {
                let row = evacuation_row(state, change, version);
                match row {
                    Some(row) if whole => evacuated.push((centre, row)),
                    row => take_evacuation(state, centre, row),
                }
            }
            OperatorRow::WrongEvacuation => {
                let line = EventLine::new("evacuation_unusable").text("key", change.key());
                state.log(EventKind::Important, line);
            }
            OperatorRow::Other => (),
        }
    }
    if whole {
        let change = state
            .evacuations
            .borrow_mut()
            .take_whole(evacuated, version);
        for centre in change.begun {
            tell_pools(state, &centre, true);
        }
        for centre in change.ended {
            tell_pools(state, &centre, false);
        }
    }
    for change in configs {
        take_config(state, change);
    }
}

/// The version of an evacuation's row, if it is there. What it holds says nothing, but is told where it cannot be read.
fn evacuation_row(state: &NodeState, change: RowChange, page: u64) -> Option<u64> {
    match change {
        RowChange::Put(row) => Some(row.version.0),
        RowChange::Removed { .. } => None,
        change @ RowChange::Unreadable { .. } => {
            drop(put_row(state, change));
            Some(page)
        }
    }
}

/// Takes one change: the row's version, or that it is gone.
fn take_evacuation(state: &Rc<NodeState>, centre: DataCentreId, row: Option<u64>) {
    let mut evacuations = state.evacuations.borrow_mut();
    let changed = match row {
        Some(version) => evacuations.begin(centre.clone(), version),
        None => evacuations.end(&centre),
    };
    drop(evacuations);
    if changed {
        tell_pools(state, &centre, row.is_some());
    }
}

/// Tells the pools of a data centre, and the log. One without workers is likely none that anybody here knows.
fn tell_pools(state: &Rc<NodeState>, centre: &DataCentreId, evacuated: bool) {
    let workers = state.directory.borrow().of_centre(centre).len();
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

fn take_config(state: &Rc<NodeState>, change: RowChange) {
    let Some(row) = put_row(state, change) else {
        return;
    };
    match decode_table(&row.value) {
        Ok(table) => install_table(state, table),
        Err(error) => note_unreadable(state, &row, &error),
    }
}

/// Versions only rise: an answer that was overtaken must not bring an older configuration back.
fn install_table(state: &Rc<NodeState>, table: jobs::RouteTable) {
    let known = state.table.borrow().as_ref().map(|known| known.version);
    if known.is_some_and(|known| known >= table.version) {
        return;
    }
    let line = EventLine::new("configuration_taken")
        .number("version", table.version.0)
        .number("routes", table.routes.len() as u64)
        .number("former", known.unwrap_or_default().0);
    state.log(EventKind::Important, line);
    *state.table.borrow_mut() = Some(Rc::new(table));
    workers::sort_again(state);
}
