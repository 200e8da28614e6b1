//! Starting the roles.

use eyre::Result;
use settings::{DispatcherSettings, EntrySettings};

/// Runs an entry until it has drained.
pub(crate) fn run_entry(settings: EntrySettings) -> Result<()> {
    entry::run(settings)
}

/// Runs a dispatcher until it has drained.
pub(crate) fn run_dispatcher(settings: DispatcherSettings) -> Result<()> {
    dispatcher::run(settings)
}
