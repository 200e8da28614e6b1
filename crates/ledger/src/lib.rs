//! The dispatcher's state: slots, reservations and attempts, without I/O.
//!
//! A [`SlotLedger`] knows exactly how many tasks run on each endpoint that it owns. An offered task starts at once on a
//! free slot; otherwise the ledger keeps a reservation without the body and claims the body from the entry when a slot
//! is free. So a task that waits here has certainly not started, whatever happens to this process.
//!
//! Inputs are method calls with the current time; the resulting messages and starts are returned by
//! [`SlotLedger::take_actions`].

mod action;
mod endpoint;
mod entry_link;
mod ledger;
mod settings;

pub use crate::{
    action::LedgerAction,
    entry_link::StaleSession,
    ledger::{ClaimNumber, SlotLedger},
    settings::LedgerSettings,
};
