//! The answering side of the ports: traits that a process implements, and the glue to the generated code.
//!
//! Each trait method runs as soon as its message is read and returns a future for the answer. What it does before
//! it returns therefore happens in the order in which the messages of a connection came.

use std::{future::Future, rc::Rc, time::Duration};

use contracts::{ContractRow, ContractUpdate, HeadNumber};
use futures::future::LocalBoxFuture;
use membership::{
    AskBatch, BeatMessage, BeatReply, CentreView, HandoverReport, MemberView, ReplyBatch,
};
use model::{
    AttemptEnd, AttemptId, ContractVersion, IncarnationId, OfferReply, Payload, SessionId,
    SlotCounts, TaskOffer, VmEntry, WithdrawalReply,
};

use crate::{
    client::EntryClient,
    convert::{
        bad, read_attempt, read_end, read_offers, read_slots, read_view, text, write_slots,
        write_verdict, write_view, write_withdrawal,
    },
    convert_grants::{read_asks, read_handover, write_centre, write_replies},
    peer_capnp::{
        dispatcher_port as dispatcher_capnp, entry_port as entry_capnp,
        session_port as session_capnp,
    },
    PeerError,
};

/// What a dispatcher knows of the contracts beyond what the asker knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ContractNews {
    /// Whether the sender holds a complete set that is as new as its peers'. The update says nothing otherwise.
    pub loaded: bool,
    /// The rows.
    pub update: ContractUpdate,
}

/// A caller-facing answer passed on by another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub json: Vec<u8>,
}

/// The answer to a ping.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PingReply {
    /// How the dispatcher sees itself.
    pub view: MemberView,
    /// Its slots.
    pub slots: SlotCounts,
    /// How it sees its data centre, if that has changed since the revision that the ping named.
    pub centre: Option<CentreView>,
}

/// An answer on its way.
pub type ReplyFuture<T> = LocalBoxFuture<'static, Result<T, PeerError>>;

/// What a dispatcher offers to entries and other dispatchers. One object a connection.
pub trait DispatcherService: 'static {
    /// The session type.
    type Session: SessionService;

    /// Opens a session.
    fn open(
        &self,
        entry: EntryClient,
        incarnation: IncarnationId,
        session: SessionId,
    ) -> ReplyFuture<(Self::Session, IncarnationId, SlotCounts)>;

    /// Finds an entry that has a session here.
    fn find(&self, incarnation: IncarnationId) -> ReplyFuture<Option<EntryClient>>;

    /// Takes a heartbeat.
    fn beat(&self, message: BeatMessage) -> ReplyFuture<BeatReply>;

    /// Says that this process is alive, how it sees itself and how its slots stand, and how it sees its data centre
    /// if that is another revision.
    fn ping(&self, revision: u64) -> ReplyFuture<PingReply>;

    /// Answers asks for parts of customers' shares; `None` when it does not answer such now.
    fn grant(&self, batch: AskBatch) -> ReplyFuture<Option<ReplyBatch>>;

    /// Takes in what an earlier owner still runs at endpoints of this dispatcher.
    fn handover(&self, report: HandoverReport) -> ReplyFuture<()>;

    /// Gives the platform's VM list as last read.
    fn vms(&self) -> ReplyFuture<Vec<VmEntry>>;

    /// Gives contract rows changed after a head number.
    fn contracts(&self, since: HeadNumber) -> ReplyFuture<ContractNews>;
}

/// A session of a dispatcher with an entry. It is over when the object is dropped.
pub trait SessionService: 'static {
    /// Takes offers.
    fn offer(
        &self,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> ReplyFuture<(Vec<OfferReply>, SlotCounts)>;

    /// Takes attempts back.
    fn withdraw(
        &self,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    ) -> ReplyFuture<(Vec<WithdrawalReply>, SlotCounts)>;
}

/// What an entry offers to a dispatcher that it has a session with.
pub trait EntryService: 'static {
    /// Gives the body of a queued attempt, once.
    fn claim(&self, attempt: AttemptId) -> ReplyFuture<Option<Payload>>;

    /// Takes ends in.
    fn ended(
        &self,
        ends: Vec<(AttemptId, AttemptEnd, Duration)>,
        slots: SlotCounts,
    ) -> ReplyFuture<()>;

    /// Takes a word on slots.
    fn slots(&self, slots: SlotCounts) -> ReplyFuture<()>;

    /// Gives the caller-facing answer of a submission as it stands.
    fn outcome(&self, serial: u64) -> ReplyFuture<Option<ForwardedAnswer>>;

    /// Runs a request under a ticket or key, or gives the answer that it has.
    fn run(&self, serial: u64, json: Vec<u8>) -> ReplyFuture<ForwardedAnswer>;
}

/// Makes a port of a dispatcher's service.
pub fn dispatcher_port<S: DispatcherService>(service: S) -> dispatcher_capnp::Client {
    capnp_rpc::new_client(DispatcherGlue(service))
}

/// Makes a port of an entry's service.
pub fn entry_port<S: EntryService>(service: S) -> entry_capnp::Client {
    capnp_rpc::new_client(EntryGlue(service))
}

pub(crate) fn read_contract_news(
    reader: dispatcher_capnp::contracts_results::Reader<'_>,
    since: HeadNumber,
) -> Result<ContractNews, PeerError> {
    let mut rows = Vec::new();
    for row in reader.get_rows()? {
        rows.push(ContractRow {
            customer: text(row.get_customer())?.parse().map_err(bad)?,
            version: ContractVersion(row.get_version()),
            head: HeadNumber(row.get_head()),
            contract: serde_json::from_slice(row.get_json()?).map_err(bad)?,
        });
    }
    let update = ContractUpdate {
        since,
        head: HeadNumber(reader.get_head()),
        rows,
    };
    Ok(ContractNews {
        loaded: reader.get_loaded(),
        update,
    })
}

fn write_contract_news(
    mut results: dispatcher_capnp::contracts_results::Builder<'_>,
    news: &ContractNews,
) -> Result<(), PeerError> {
    results.set_loaded(news.loaded);
    results.set_head(news.update.head.0);
    let mut rows = results.init_rows(news.update.rows.len() as u32);
    for (index, row) in news.update.rows.iter().enumerate() {
        let mut builder = rows.reborrow().get(index as u32);
        builder.set_customer(row.customer.as_str());
        builder.set_version(row.version.0);
        builder.set_head(row.head.0);
        builder.set_json(&serde_json::to_vec(&row.contract).map_err(bad)?);
    }
    Ok(())
}

struct DispatcherGlue<S>(S);
struct SessionGlue<S>(S);
struct EntryGlue<S>(S);

type CallResult = Result<(), capnp::Error>;

/// Waits for an answer that could be asked for, or gives the error of a message that could not be read.
async fn settle<T>(answer: Result<ReplyFuture<T>, PeerError>) -> Result<T, PeerError> {
    answer?.await
}

impl<S: DispatcherService> dispatcher_capnp::Server for DispatcherGlue<S> {
    fn open(
        self: Rc<Self>,
        params: dispatcher_capnp::OpenParams,
        mut results: dispatcher_capnp::OpenResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params.get().and_then(|params| {
            let entry = EntryClient::new(params.get_entry()?);
            Ok(self.0.open(
                entry,
                IncarnationId(params.get_incarnation()),
                SessionId(params.get_session()),
            ))
        });
        async move {
            let (session, incarnation, slots) = settle(answer.map_err(PeerError::from)).await?;
            let mut results = results.get();
            results.set_session(capnp_rpc::new_client(SessionGlue(session)));
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
            .map(|params| self.0.find(IncarnationId(params.get_incarnation())));
        async move {
            if let Some(entry) = settle(answer.map_err(PeerError::from)).await? {
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
        let answer = read_beat(&params).map(|message| self.0.beat(message));
        async move {
            let reply = settle(answer).await?;
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
            let reply = settle(answer.map_err(PeerError::from)).await?;
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
            if let Some(batch) = settle(answer).await? {
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
        async move { Ok(settle(answer).await?) }
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
            let news = settle(answer.map_err(PeerError::from)).await?;
            write_contract_news(results.get(), &news)?;
            Ok(())
        }
    }
}

impl<S: SessionService> session_capnp::Server for SessionGlue<S> {
    fn offer(
        self: Rc<Self>,
        params: session_capnp::OfferParams,
        mut results: session_capnp::OfferResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = read_offer_batch(&params).map(|(batch, offers)| self.0.offer(batch, offers));
        async move {
            let (verdicts, slots) = settle(answer).await?;
            let mut results = results.get();
            write_slots(results.reborrow().init_slots(), slots);
            let mut builder = results.init_verdicts(verdicts.len() as u32);
            for (index, verdict) in verdicts.iter().enumerate() {
                write_verdict(builder.reborrow().get(index as u32), *verdict);
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
            let (verdicts, slots) = settle(answer.map_err(PeerError::from)).await?;
            let mut results = results.get();
            write_slots(results.reborrow().init_slots(), slots);
            let mut builder = results.init_withdrawals(verdicts.len() as u32);
            for (index, verdict) in verdicts.iter().enumerate() {
                write_withdrawal(builder.reborrow().get(index as u32), *verdict);
            }
            Ok(())
        }
    }
}

impl<S: EntryService> entry_capnp::Server for EntryGlue<S> {
    fn claim(
        self: Rc<Self>,
        params: entry_capnp::ClaimParams,
        mut results: entry_capnp::ClaimResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .and_then(|params| Ok(self.0.claim(read_attempt(params.get_attempt()?))));
        async move {
            let body = settle(answer.map_err(PeerError::from)).await?;
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
        let answer = read_ends(&params).map(|(ends, slots)| self.0.ended(ends, slots));
        async move { Ok(settle(answer).await?) }
    }

    fn slots(
        self: Rc<Self>,
        params: entry_capnp::SlotsParams,
        _results: entry_capnp::SlotsResults,
    ) -> impl Future<Output = CallResult> + 'static {
        let answer = params
            .get()
            .and_then(|params| Ok(self.0.slots(read_slots(params.get_slots()?))));
        async move { Ok(settle(answer.map_err(PeerError::from)).await?) }
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
            if let Some(answer) = settle(answer.map_err(PeerError::from)).await? {
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
            let answer = settle(answer.map_err(PeerError::from)).await?;
            let mut results = results.get();
            results.set_status(answer.status);
            results.set_json(&answer.json);
            Ok(())
        }
    }
}

fn read_beat(params: &dispatcher_capnp::BeatParams) -> Result<BeatMessage, PeerError> {
    Ok(BeatMessage {
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
