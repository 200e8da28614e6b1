//! Validated JSON settings of the three roles: entry, dispatcher and node.
//!
//! Every field has a default, given in its doc comment, except for `vm` and `data_centre`, which a file has to set:
//! two VMs with the same default identity would look like one VM to their peers. Unknown fields are rejected. Times
//! are whole milliseconds with the unit in the field's name.

mod dispatcher;
mod duration;
mod entry;
mod error;
mod log;
mod node;
mod number;
mod parse;
mod shared;

pub use crate::{
    dispatcher::{DispatcherSettings, EndpointCallSettings},
    duration::{DurationMs, InvalidDuration},
    entry::{EntrySettings, PlacementPolicy},
    error::{SettingsError, SettingsErrorKind},
    log::{InvalidLogName, LogLevel, LogPart, LogSettings},
    node::{NodeSettings, OrderPath},
    parse::{
        dispatcher_schema, entry_schema, load_dispatcher, load_entry, load_node, node_schema,
        parse_dispatcher, parse_entry, parse_node,
    },
    shared::{DispatcherPeer, DrainSettings, UNSET_NAME},
};
