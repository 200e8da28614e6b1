//! Limits what all clients of a process together can take of its memory and descriptors.
//!
//! One [`ClientTable`] counts the connections of all listeners of a process and the bytes that are held for them, by
//! [`MemoryShare`]. Each connection may hold [`CONNECTION_BYTES`] without asking, which is enough for an ordinary
//! request; what is larger is reserved first. If a share is used up, connections without progress give way, the one
//! that has made none for longest first, and only then is the newcomer refused. A connection whose request is being
//! carried out never gives way.
//!
//! The table does no I/O. Its time counts only while the process runs: see [`ClientTable::advance`].

mod budget;
mod table;

pub use crate::{
    budget::{ClientBudget, MemoryShare, ShareCount, CONNECTION_BYTES, SMALLEST_MEMORY},
    table::{
        ClientTable, ConnectionId, ConnectionPhase, Eviction, Expiry, PhaseTimes, ReserveOutcome,
        TableFull, PROGRESS_BYTES, STALL_TIME,
    },
};
