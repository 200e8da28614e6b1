//! The dispatcher's state: slots, reservations and attempts, without I/O.
//!
//! A [`SlotLedger`] knows exactly how many tasks run on each endpoint it owns. An offered task starts at once on a
//! free slot; otherwise the ledger keeps a reservation without the body and asks the entry for it when a slot is
//! free. So a task that waits here has certainly not started, whatever becomes of this process.
//!
//! Inputs come as method calls with the time; what has to be sent comes out of [`SlotLedger::take_actions`].

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
