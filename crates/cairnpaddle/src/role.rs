//! Starting the roles.

use eyre::{bail, Result};
use settings::{DispatcherSettings, EntrySettings};

/// Runs an entry until it has drained.
pub(crate) fn run_entry(settings: EntrySettings) -> Result<()> {
    bail!(
        "the entry of {} cannot start: this build has none yet",
        settings.vm
    )
}

/// Runs a dispatcher until it has drained.
pub(crate) fn run_dispatcher(settings: DispatcherSettings) -> Result<()> {
    bail!(
        "the dispatcher of {} cannot start: this build has none yet",
        settings.vm
    )
}
