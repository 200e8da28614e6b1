//! Contracts: versioned rows, compare-and-set changes, a local view that never goes back.
//!
//! `docs/design/0003-contracts-and-keys.md` gives the ways weighed and the figures.

mod editor;
mod reader;
mod rows;
mod view;

pub use crate::{
    editor::{ContractEditor, EditError, EditorSettings, ExpectedContract},
    reader::{ContractReader, PollError},
    rows::{BrokenRow, ChangeId, ContractRow, ContractUpdate, HeadNumber},
    view::ContractView,
};
