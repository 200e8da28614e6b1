//! Messages to the control actor from its port at the dispatchers and from the process around it.
//!
//! The port sends them with `do_send`, which keeps their order, and waits for the answer on a channel inside.

use std::time::Duration;

use actix::Message;
use authority::DispatcherKey;
use model::{AttemptEnd, AttemptId, Payload, SessionId, SlotCounts};
use peer::{ForwardedAnswer, PeerError};
use tokio::sync::oneshot;

pub(crate) type ReplyTo<T> = oneshot::Sender<Result<T, PeerError>>;

/// A dispatcher asks for the body of a queued attempt.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimRequest {
    pub(crate) session: SessionId,
    pub(crate) attempt: AttemptId,
    pub(crate) reply: ReplyTo<Option<Payload>>,
}

/// A dispatcher reports ends.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AttemptReport {
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) ends: Vec<(AttemptId, AttemptEnd, Duration)>,
    pub(crate) slots: SlotCounts,
    pub(crate) reply: ReplyTo<()>,
}

/// A dispatcher tells how its slots stand.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SlotUpdate {
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) session: SessionId,
    pub(crate) slots: SlotCounts,
}

/// Another entry asks for an answer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct OutcomeRequest {
    pub(crate) serial: u64,
    pub(crate) reply: ReplyTo<Option<ForwardedAnswer>>,
}

/// Another entry passes on a request with a ticket or key whose authority this one is.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ForwardedRequest {
    pub(crate) serial: u64,
    pub(crate) json: Vec<u8>,
    pub(crate) reply: ReplyTo<ForwardedAnswer>,
}

/// A connection to a dispatcher broke.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkBroken {
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) session: SessionId,
}

/// The process begins to stop.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopRequest;

/// How many submissions are still open. With `cut`, they are answered now as they stand.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct StopQuery {
    pub(crate) answer_open: bool,
}
