//! Servers of the ports: the traits that a process implements, and adapters that connect them to the generated code.
//!
//! Each trait method runs as soon as its message is read, and returns a future for the answer. Whatever the method does
//! before it returns therefore happens in the order in which the messages arrived on the connection.

use std::{future::Future, rc::Rc, time::Duration};

use contracts::{ContractRow, ContractUpdate, HeadNumber};
use futures::future::LocalBoxFuture;
use membership::{
    AskBatch, CentreView, HandoverReport, HeartbeatMessage, HeartbeatReply, MemberView, ReplyBatch,
};
use model::{
    AttemptEnd, AttemptId, ContractVersion, IncarnationId, OfferReply, Payload, SessionId,
    SlotCounts, TaskOffer, VmEntry, WithdrawalReply,
};

use crate::{
    client::EntryClient,
    convert::{
        bad_message, read_attempt, read_end, read_offers, read_slots, read_text, read_view,
        write_offer_reply, write_slots, write_view, write_withdrawal,
    },
    convert_grants::{read_asks, read_handover, write_centre, write_replies},
    peer_capnp::{
        dispatcher_port as dispatcher_capnp, entry_port as entry_capnp,
        session_port as session_capnp,
    },
    PeerError,
};

/// The reply to a request for changes of the contracts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ContractsReply {
    /// Whether the sender holds a complete set that is as new as its peers'. Otherwise the update must be ignored.
    pub loaded: bool,
    /// The contract rows changed after the requested head number.
    pub update: ContractUpdate,
}

/// An answer to a caller that another entry forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub json: Vec<u8>,
}

/// The reply to a ping.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PingReply {
    /// The dispatcher's own state.
    pub view: MemberView,
    /// The dispatcher's slot counts.
    pub slots: SlotCounts,
    /// The dispatcher's view of its data centre, if the view's revision differs from that in the ping.
    pub centre: Option<CentreView>,
}

/// The future reply to a call.
pub type ReplyFuture<T> = LocalBoxFuture<'static, Result<T, PeerError>>;

/// The calls that a dispatcher answers for entries and other dispatchers. Each connection has its own object.
pub trait DispatcherService: 'static {
    /// Serves a session that an entry opens.
    type Session: SessionService;

    /// Opens a session with an entry, and returns it with this dispatcher's incarnation and slot counts.
    fn open_session(
        &self,
        entry: EntryClient,
        incarnation: IncarnationId,
        session: SessionId,
    ) -> ReplyFuture<(Self::Session, IncarnationId, SlotCounts)>;

    /// Finds an entry that has a session with this dispatcher; `None` if it has none.
    fn find_entry(&self, incarnation: IncarnationId) -> ReplyFuture<Option<EntryClient>>;

    /// Handles a heartbeat.
    fn heartbeat(&self, message: HeartbeatMessage) -> ReplyFuture<HeartbeatReply>;

    /// Confirms that this process is alive, and returns its own state, its slot counts, and its view of its data centre
    /// if the revision of that view differs from `revision`.
    fn ping(&self, revision: u64) -> ReplyFuture<PingReply>;

    /// Answers requests for parts of customers' shares; `None` if this dispatcher does not answer them at present.
    fn grant(&self, batch: AskBatch) -> ReplyFuture<Option<ReplyBatch>>;

    /// Handles the report of a former owner about tasks that it still runs at endpoints of this dispatcher.
    fn handover(&self, report: HandoverReport) -> ReplyFuture<()>;

    /// Returns the platform's VM list as last read; empty if it has not been read yet.
    fn vms(&self) -> ReplyFuture<Vec<VmEntry>>;

    /// Returns the contract rows changed after a head number.
    fn contracts(&self, since: HeadNumber) -> ReplyFuture<ContractsReply>;
}

/// The calls that a dispatcher answers on a session with an entry. Dropping the object ends the session.
pub trait SessionService: 'static {
    /// Handles offered tasks and returns one reply per offer, in the same order. Batches are numbered from 1.
    fn offer(
        &self,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> ReplyFuture<(Vec<OfferReply>, SlotCounts)>;

    /// Withdraws attempts. `after_batch` is the number of the last batch of offers sent before.
    fn withdraw(
        &self,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    ) -> ReplyFuture<(Vec<WithdrawalReply>, SlotCounts)>;
}

/// The calls that an entry answers for a dispatcher that it has a session with.
pub trait EntryService: 'static {
    /// Returns the body of a queued attempt; `None` if the attempt no longer exists. The body may be sent only once.
    fn claim(&self, attempt: AttemptId) -> ReplyFuture<Option<Payload>>;

    /// Handles the ends of attempts.
    fn report_ends(
        &self,
        ends: Vec<(AttemptId, AttemptEnd, Duration)>,
        slots: SlotCounts,
    ) -> ReplyFuture<()>;

    /// Handles new slot counts of the dispatcher.
    fn report_slots(&self, slots: SlotCounts) -> ReplyFuture<()>;

    /// Returns the current answer to the caller of a submission; `None` if the submission is unknown.
    fn outcome(&self, serial: u64) -> ReplyFuture<Option<ForwardedAnswer>>;

    /// Runs a request under a ticket or key, or returns the answer that the entry already has.
    fn run(&self, serial: u64, json: Vec<u8>) -> ReplyFuture<ForwardedAnswer>;
}

/// Creates the port of a dispatcher's service.
pub fn dispatcher_port<S: DispatcherService>(service: S) -> dispatcher_capnp::Client {
    capnp_rpc::new_client(DispatcherAdapter(service))
}

/// Creates the port of an entry's service.
pub fn entry_port<S: EntryService>(service: S) -> entry_capnp::Client {
    capnp_rpc::new_client(EntryAdapter(service))
}

pub(crate) fn read_contracts_reply(
    reader: dispatcher_capnp::contracts_results::Reader<'_>,
    since: HeadNumber,
) -> Result<ContractsReply, PeerError> {
    let mut rows = Vec::new();
    for row in reader.get_rows()? {
        rows.push(ContractRow {
            customer: read_text(row.get_customer())?
                .parse()
                .map_err(bad_message)?,
            version: ContractVersion(row.get_version()),
            head: HeadNumber(row.get_head()),
            contract: serde_json::from_slice(row.get_json()?).map_err(bad_message)?,
        });
    }
    let update = ContractUpdate {
        since,
        head: HeadNumber(reader.get_head()),
        rows,
    };
    Ok(ContractsReply {
        loaded: reader.get_loaded(),
        update,
    })
}

fn write_contracts_reply(
    mut results: dispatcher_capnp::contracts_results::Builder<'_>,
    reply: &ContractsReply,
) -> Result<(), PeerError> {
    results.set_loaded(reply.loaded);
    results.set_head(reply.update.head.0);
    let mut rows = results.init_rows(reply.update.rows.len() as u32);
    for (index, row) in reply.update.rows.iter().enumerate() {
        let mut builder = rows.reborrow().get(index as u32);
        builder.set_customer(row.customer.as_str());
        builder.set_version(row.version.0);
        builder.set_head(row.head.0);
        builder.set_json(&serde_json::to_vec(&row.contract).map_err(bad_message)?);
    }
    Ok(())
}

struct DispatcherAdapter<S>(S);
struct SessionAdapter<S>(S);
struct EntryAdapter<S>(S);

type CallResult = Result<(), capnp::Error>;

/// Waits for the reply of a service. Returns the error instead if the request could not be decoded.
async fn await_reply<T>(answer: Result<ReplyFuture<T>, PeerError>) -> Result<T, PeerError> {
    answer?.await
}

impl<S: DispatcherService> dispatcher_capnp::Server for DispatcherAdapter<S> {
    fn open(
        self: Rc<Self>,
        params: dispatcher_capnp::OpenParams,
        mut results: dispatcher_capnp::OpenResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params.get().and_then(|params| {
            let entry = EntryClient::new(params.get_entry()?);
            Ok(self.0.open_session(
                entry,
                IncarnationId(params.get_incarnation()),
                SessionId(params.get_session()),
            ))
        });
        async move {
            let (session, incarnation, slots) =
                await_reply(answer.map_err(PeerError::from)).await?;
            let mut results = results.get();
            results.set_session(capnp_rpc::new_client(SessionAdapter(session)));
            results.set_dispatcher(incarnation.0);
            write_slots(results.init_slots(), slots);
            Ok(())
        }
    }

    fn find(
        self: Rc<Self>,
        params: dispatcher_capnp::FindParams,
        mut results: dispatcher_capnp::FindResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .map(|params| self.0.find_entry(IncarnationId(params.get_incarnation())));
        async move {
            if let Some(entry) = await_reply(answer.map_err(PeerError::from)).await? {
                let mut results = results.get();
                results.set_entry(entry.into_port());
                results.set_found(true);
            }
            Ok(())
        }
    }

    fn beat(
        self: Rc<Self>,
        params: dispatcher_capnp::BeatParams,
        mut results: dispatcher_capnp::BeatResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = read_heartbeat(&params).map(|message| self.0.heartbeat(message));
        async move {
            let reply = await_reply(answer).await?;
            write_view(results.get().init_view(), &reply.view);
            Ok(())
        }
    }

    fn ping(
        self: Rc<Self>,
        params: dispatcher_capnp::PingParams,
        mut results: dispatcher_capnp::PingResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .map(|params| self.0.ping(params.get_revision()));
        async move {
            let reply = await_reply(answer.map_err(PeerError::from)).await?;
            let mut results = results.get();
            write_slots(results.reborrow().init_slots(), reply.slots);
            write_view(results.reborrow().init_view(), &reply.view);
            if let Some(centre) = &reply.centre {
                write_centre(results.init_centre(), centre);
            }
            Ok(())
        }
    }

    fn vms(
        self: Rc<Self>,
        _params: dispatcher_capnp::VmsParams,
        mut results: dispatcher_capnp::VmsResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = self.0.vms();
        async move {
            let vms = answer.await?;
            let json =
                serde_json::to_vec(&vms).map_err(|error| PeerError::Failed(error.to_string()))?;
            results.get().set_json(&json);
            Ok(())
        }
    }

    fn grant(
        self: Rc<Self>,
        params: dispatcher_capnp::GrantParams,
        mut results: dispatcher_capnp::GrantResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = read_grant(&params).map(|batch| self.0.grant(batch));
        async move {
            if let Some(batch) = await_reply(answer).await? {
                let mut results = results.get();
                results.set_answered(true);
                write_replies(results.init_batch(), &batch);
            }
            Ok(())
        }
    }

    fn handover(
        self: Rc<Self>,
        params: dispatcher_capnp::HandoverParams,
        _results: dispatcher_capnp::HandoverResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = read_report(&params).map(|report| self.0.handover(report));
        async move { Ok(await_reply(answer).await?) }
    }

    fn contracts(
        self: Rc<Self>,
        params: dispatcher_capnp::ContractsParams,
        mut results: dispatcher_capnp::ContractsResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .map(|params| self.0.contracts(HeadNumber(params.get_since())));
        async move {
            let reply = await_reply(answer.map_err(PeerError::from)).await?;
            write_contracts_reply(results.get(), &reply)?;
            Ok(())
        }
    }
}

impl<S: SessionService> session_capnp::Server for SessionAdapter<S> {
    fn offer(
        self: Rc<Self>,
        params: session_capnp::OfferParams,
        mut results: session_capnp::OfferResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = read_offer_batch(&params).map(|(batch, offers)| self.0.offer(batch, offers));
        async move {
            let (replies, slots) = await_reply(answer).await?;
            let mut results = results.get();
            write_slots(results.reborrow().init_slots(), slots);
            let mut builder = results.init_verdicts(replies.len() as u32);
            for (index, reply) in replies.iter().enumerate() {
                write_offer_reply(builder.reborrow().get(index as u32), *reply);
            }
            Ok(())
        }
    }

    fn withdraw(
        self: Rc<Self>,
        params: session_capnp::WithdrawParams,
        mut results: session_capnp::WithdrawResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params.get().and_then(|params| {
            let mut attempts = Vec::new();
            for attempt in params.get_attempts()? {
                attempts.push(read_attempt(attempt));
            }
            Ok(self.0.withdraw(params.get_after_batch(), attempts))
        });
        async move {
            let (replies, slots) = await_reply(answer.map_err(PeerError::from)).await?;
            let mut results = results.get();
            write_slots(results.reborrow().init_slots(), slots);
            let mut builder = results.init_withdrawals(replies.len() as u32);
            for (index, reply) in replies.iter().enumerate() {
                write_withdrawal(builder.reborrow().get(index as u32), *reply);
            }
            Ok(())
        }
    }
}

impl<S: EntryService> entry_capnp::Server for EntryAdapter<S> {
    fn claim(
        self: Rc<Self>,
        params: entry_capnp::ClaimParams,
        mut results: entry_capnp::ClaimResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .and_then(|params| Ok(self.0.claim(read_attempt(params.get_attempt()?))));
        async move {
            let body = await_reply(answer.map_err(PeerError::from)).await?;
            let mut answer = results.get().init_answer();
            match body {
                Some(payload) => answer.set_body(&payload.0),
                None => answer.set_gone(()),
            }
            Ok(())
        }
    }

    fn ended(
        self: Rc<Self>,
        params: entry_capnp::EndedParams,
        _results: entry_capnp::EndedResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = read_ends(&params).map(|(ends, slots)| self.0.report_ends(ends, slots));
        async move { Ok(await_reply(answer).await?) }
    }

    fn slots(
        self: Rc<Self>,
        params: entry_capnp::SlotsParams,
        _results: entry_capnp::SlotsResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .and_then(|params| Ok(self.0.report_slots(read_slots(params.get_slots()?))));
        async move { Ok(await_reply(answer.map_err(PeerError::from)).await?) }
    }

    fn outcome(
        self: Rc<Self>,
        params: entry_capnp::OutcomeParams,
        mut results: entry_capnp::OutcomeResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .map(|params| self.0.outcome(params.get_serial()));
        async move {
            if let Some(answer) = await_reply(answer.map_err(PeerError::from)).await? {
                let mut results = results.get();
                results.set_status(answer.status);
                results.set_json(&answer.json);
                results.set_found(true);
            }
            Ok(())
        }
    }

    fn run(
        self: Rc<Self>,
        params: entry_capnp::RunParams,
        mut results: entry_capnp::RunResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .and_then(|params| Ok(self.0.run(params.get_serial(), params.get_json()?.to_vec())));
        async move {
            let answer = await_reply(answer.map_err(PeerError::from)).await?;
            let mut results = results.get();
            results.set_status(answer.status);
            results.set_json(&answer.json);
            Ok(())
        }
    }
}

fn read_heartbeat(params: &dispatcher_capnp::BeatParams) -> Result<HeartbeatMessage, PeerError> {
    Ok(HeartbeatMessage {
        view: read_view(params.get()?.get_view()?)?,
    })
}

fn read_grant(params: &dispatcher_capnp::GrantParams) -> Result<AskBatch, PeerError> {
    read_asks(params.get()?.get_batch()?)
}

fn read_report(params: &dispatcher_capnp::HandoverParams) -> Result<HandoverReport, PeerError> {
    read_handover(params.get()?.get_report()?)
}

fn read_offer_batch(
    params: &session_capnp::OfferParams,
) -> Result<(u64, Vec<TaskOffer>), PeerError> {
    let params = params.get()?;
    Ok((params.get_batch(), read_offers(params.get_offers()?)?))
}

type ReportedEnds = (Vec<(AttemptId, AttemptEnd, Duration)>, SlotCounts);

fn read_ends(params: &entry_capnp::EndedParams) -> Result<ReportedEnds, PeerError> {
    let params = params.get()?;
    let mut ends = Vec::new();
    for end in params.get_ends()? {
        ends.push(read_end(end)?);
    }
    Ok((ends, read_slots(params.get_slots()?)))
}
