//! Messages to the control actor from the peer port and from the process around it.
//!
//! The port sends them with `do_send`, which preserves their order, and receives the answer on a channel in the
//! message.

use actix::Message;
use contracts::HeadNumber;
use membership::{AskBatch, HandoverReport, HeartbeatMessage, HeartbeatReply, ReplyBatch};
use model::{
    AttemptId, IncarnationId, OfferReply, SessionId, SlotCounts, TaskOffer, VmEntry,
    WithdrawalReply,
};
use peer::{ContractsReply, PeerError, PingReply};
use tokio::sync::oneshot;

pub(crate) type ReplyTo<T> = oneshot::Sender<Result<T, PeerError>>;

/// An entry opens a session.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SessionRequest {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
    pub(crate) reply: ReplyTo<(IncarnationId, SlotCounts)>,
}

/// The connection of a session has closed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SessionClosed {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
}

/// An entry offers tasks.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct OfferRequest {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
    pub(crate) batch: u64,
    pub(crate) offers: Vec<TaskOffer>,
    pub(crate) reply: ReplyTo<(Vec<OfferReply>, SlotCounts)>,
}

/// An entry withdraws attempts.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct WithdrawalRequest {
    pub(crate) entry: IncarnationId,
    pub(crate) session: SessionId,
    pub(crate) after_batch: u64,
    pub(crate) attempts: Vec<AttemptId>,
    pub(crate) reply: ReplyTo<(Vec<WithdrawalReply>, SlotCounts)>,
}

/// A heartbeat from another dispatcher.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HeartbeatRequest {
    pub(crate) message: HeartbeatMessage,
    pub(crate) reply: ReplyTo<HeartbeatReply>,
}

/// An entry pings this dispatcher, with or without an open session.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PingRequest {
    pub(crate) session: Option<(IncarnationId, SessionId)>,
    /// The revision of the data-centre view that the entry has.
    pub(crate) revision: u64,
    pub(crate) reply: ReplyTo<PingReply>,
}

/// An entry requests grants, which are parts of customers' shares.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct GrantRequest {
    pub(crate) batch: AskBatch,
    pub(crate) reply: ReplyTo<Option<ReplyBatch>>,
}

/// The previous owner of endpoints reports the tasks that it still runs there.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HandoverRequest {
    pub(crate) report: HandoverReport,
    pub(crate) reply: ReplyTo<()>,
}

/// A peer requests the VM list.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct VmListRequest {
    pub(crate) reply: ReplyTo<Vec<VmEntry>>,
}

/// A peer or an entry requests the contract rows changed after a head number.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ContractRequest {
    pub(crate) since: HeadNumber,
    pub(crate) reply: ReplyTo<ContractsReply>,
}

/// Starts a graceful stop.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopRequest;

/// Returns the number of running tasks, at least 1 until the ledger is drained; 0 means that the process may exit.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct StopQuery;
