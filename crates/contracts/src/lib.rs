//! Storage of customer contracts: versioned rows, compare-and-set changes, and a local view whose versions never
//! decrease.
//!
//! `docs/design/0003-contracts-and-keys.md` describes the alternatives that were considered, with figures.

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
