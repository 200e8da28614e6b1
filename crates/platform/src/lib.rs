//! A client of the platform's table service, object store and VM list.
//!
//! Each call ends with an answer, with an error that means that the call definitely had no effect, or with an error
//! that leaves its effect uncertain. `docs/design/0001-interfaces.md` specifies the platform's interfaces.

mod client;
mod error;
mod rate;
mod rows;
mod wire;

pub use crate::{
    client::{
        classify_body_error, classify_send_error, ClientSettings, PlatformClient, WritePermit,
    },
    error::{CommitError, ReadError, RequestError},
    rate::{CallRate, InvalidRate, RateLimiter},
    rows::{
        ExpectedVersion, InvalidKey, InvalidTable, KeyedRow, RowConflict, RowVersion, RowWrite,
        StoreKey, TableName, TableRow,
    },
};
