//! Client of the platform's table service, object store and VM list.
//!
//! Each call ends in one of three ways: an answer, a definite "had no effect", or "nobody can say". The borders are
//! those of `docs/design/0001-interfaces.md`.

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
