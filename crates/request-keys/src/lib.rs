//! Records idempotency keys chosen by callers in the platform's table before their requests start.
//!
//! [`KeyBatcher`] is a state machine that decides what is written and read and when; [`KeyRecorder`] does the I/O.
//! `docs/design/0003-contracts-and-keys.md` compares the alternatives and gives the measurements.

mod batcher;
mod record;
mod recorder;

pub use crate::{
    batcher::{
        BatchOutcome, BatcherSettings, KeyAction, KeyBatcher, PendingKeyId, PermitOutcome,
        ReadOutcome,
    },
    record::{BodyDigest, KeyRecord, KeyRequest, KeyResult, RequestKey},
    recorder::KeyRecorder,
};
