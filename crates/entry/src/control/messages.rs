//! Messages to the control actor from its ports at dispatchers and from the process around it.
//!
//! The port sends them with `do_send`, which preserves their order, and receives the answer on a channel in the
//! message.

use std::time::Duration;

use actix::Message;
use authority::DispatcherKey;
use model::{AttemptEnd, AttemptId, Payload, SessionId, SlotCounts};
use peer::{ForwardedAnswer, PeerError};
use tokio::sync::oneshot;

pub(crate) type ReplyTo<T> = oneshot::Sender<Result<T, PeerError>>;

/// A dispatcher claims the body of a queued attempt.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimRequest {
    pub(crate) session: SessionId,
    pub(crate) attempt: AttemptId,
    pub(crate) reply: ReplyTo<Option<Payload>>,
}

/// A dispatcher reports ended attempts.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AttemptReport {
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) ends: Vec<(AttemptId, AttemptEnd, Duration)>,
    pub(crate) slots: SlotCounts,
    pub(crate) reply: ReplyTo<()>,
}

/// A dispatcher sends its current slot counts.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SlotUpdate {
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) session: SessionId,
    pub(crate) slots: SlotCounts,
}

/// Another entry asks for the outcome of a submission of this entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct OutcomeRequest {
    pub(crate) serial: u64,
    pub(crate) reply: ReplyTo<Option<ForwardedAnswer>>,
}

/// Another entry forwards a request with a ticket or key over which this entry has authority.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ForwardedRequest {
    pub(crate) serial: u64,
    pub(crate) json: Vec<u8>,
    pub(crate) reply: ReplyTo<ForwardedAnswer>,
}

/// The connection to a dispatcher has closed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkBroken {
    pub(crate) dispatcher: DispatcherKey,
    pub(crate) session: SessionId,
}

/// Starts a graceful stop.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopRequest;

/// Returns the number of open submissions. With `answer_open`, they are answered now with their current state.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct StopQuery {
    pub(crate) answer_open: bool,
}
