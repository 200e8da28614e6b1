//! Idempotency keys that callers choose, recorded in the platform before their requests start.
//!
//! [`KeyBatcher`] decides what is written and read and when; [`KeyRecorder`] does the I/O.
//! `docs/design/0003-contracts-and-keys.md` gives the ways weighed and the figures.

mod batcher;
mod record;
mod recorder;

pub use crate::{
    batcher::{
        BatchOutcome, BatcherSettings, KeyAction, KeyBatcher, PendingKeyId, ReadOutcome,
        TurnOutcome,
    },
    record::{BodyDigest, KeyRecord, KeyRequest, KeyResult, RequestKey},
    recorder::KeyRecorder,
};
