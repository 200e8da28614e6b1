//! Request and answer bodies of the platform's HTTP interface.

use model::VmEntry;
use serde::{Deserialize, Serialize};

use crate::{KeyedRow, RowConflict, RowVersion, RowWrite};

#[derive(Serialize)]
pub(crate) struct TransactionBody<'a> {
    pub(crate) writes: &'a [RowWrite],
}

#[derive(Deserialize)]
pub(crate) struct CommitAnswer {
    pub(crate) versions: Vec<RowVersion>,
}

#[derive(Deserialize)]
pub(crate) struct ConflictAnswer {
    pub(crate) conflicts: Vec<RowConflict>,
}

#[derive(Deserialize)]
pub(crate) struct ListAnswer {
    pub(crate) rows: Vec<KeyedRow>,
}

#[derive(Deserialize)]
pub(crate) struct VmAnswer {
    pub(crate) vms: Vec<VmEntry>,
}
