//! Messages to the control actor from the peer port and from the process around it.
//!
//! The port sends them with `do_send`, which keeps their order, and waits for the answer on a channel inside.

use actix::Message;
use contracts::HeadNumber;
use membership::{AskBatch, BeatMessage, BeatReply, HandoverReport, ReplyBatch};
use model::{
    AttemptId, IncarnationId, OfferReply, SessionId, SlotCounts, TaskOffer, VmEntry,
    WithdrawalReply,
};
use peer::{ContractNews, PeerError, PingReply};
use tokio::sync::oneshot;

pub(crate) type ReplyTo<T> = oneshot::Sender<Result<T, PeerError>>;

/// An entry opens a session.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SessionOpened {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
    pub(crate) reply: ReplyTo<(IncarnationId, SlotCounts)>,
}

/// The connection of a session broke.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SessionEnded {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
}

/// An entry offers tasks.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct OffersMade {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
    pub(crate) batch: u64,
    pub(crate) offers: Vec<TaskOffer>,
    pub(crate) reply: ReplyTo<(Vec<OfferReply>, SlotCounts)>,
}

/// An entry takes attempts back.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct WithdrawalsMade {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
    pub(crate) after_batch: u64,
    pub(crate) attempts: Vec<AttemptId>,
    pub(crate) reply: ReplyTo<(Vec<WithdrawalReply>, SlotCounts)>,
}

/// A heartbeat of another dispatcher.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct BeatTaken {
    pub(crate) message: BeatMessage,
    pub(crate) reply: ReplyTo<BeatReply>,
}

/// An entry asks whether this dispatcher is alive.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PingTaken {
    pub(crate) session: Option<(IncarnationId, SessionId)>,
    /// The revision of the view of the data centre that the entry has.
    pub(crate) revision: u64,
    pub(crate) reply: ReplyTo<PingReply>,
}

/// An entry asks for parts of customers' shares.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct GrantsAsked {
    pub(crate) batch: AskBatch,
    pub(crate) reply: ReplyTo<Option<ReplyBatch>>,
}

/// An earlier owner of endpoints tells what it still runs there.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HandoverTaken {
    pub(crate) report: HandoverReport,
    pub(crate) reply: ReplyTo<()>,
}

/// Somebody asks for the VM list.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct VmsAsked {
    pub(crate) reply: ReplyTo<Vec<VmEntry>>,
}

/// Somebody asks for contract rows.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ContractsAsked {
    pub(crate) since: HeadNumber,
    pub(crate) reply: ReplyTo<ContractNews>,
}

/// The process begins to stop.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopBegun;

/// What still holds the process: 0 when it may end.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct StopState;
