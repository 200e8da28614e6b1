//! Clients of the ports. A call is sent when the method is called, not when its future is first polled, so calls are
//! sent in the order in which the methods were called.

use std::{future::Future, time::Duration};

use contracts::HeadNumber;
use membership::{AskBatch, HandoverReport, HeartbeatMessage, HeartbeatReply, ReplyBatch};
use model::{
    AttemptEnd, AttemptId, IncarnationId, OfferReply, Payload, SessionId, SlotCounts, TaskOffer,
    VmEntry, WithdrawalReply,
};

use crate::{
    convert::{
        read_offer_reply, read_slots, read_view, read_withdrawal, write_attempt, write_attempts,
        write_end, write_offers, write_slots, write_view,
    },
    convert_grants::{read_centre, read_replies, write_asks, write_handover},
    peer_capnp::{claim_answer, dispatcher_port, entry_port, session_port},
    service::{read_contracts_reply, ContractsReply, ForwardedAnswer, PingReply},
    PeerError,
};

/// A session that was opened with a dispatcher.
pub struct OpenedSession {
    /// The client for calls on the session.
    pub session: SessionClient,
    /// The dispatcher's incarnation.
    pub dispatcher: IncarnationId,
    /// The dispatcher's slot counts.
    pub slots: SlotCounts,
}

/// Client of a dispatcher.
#[derive(Clone)]
pub struct DispatcherClient {
    port: dispatcher_port::Client,
}

impl DispatcherClient {
    pub(crate) fn new(port: dispatcher_port::Client) -> Self {
        Self { port }
    }

    /// Opens a session and passes this entry's own port to the dispatcher.
    ///
    /// # Errors
    ///
    /// The connection broke, or a newer session of this entry is already open.
    pub fn open_session(
        &self,
        entry: entry_port::Client,
        incarnation: IncarnationId,
        session: SessionId,
    ) -> impl Future<Output = Result<OpenedSession, PeerError>> + 'static {
        let mut request = self.port.open_request();
        let mut params = request.get();
        params.set_entry(entry);
        params.set_incarnation(incarnation.0);
        params.set_session(session.0);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            Ok(OpenedSession {
                session: SessionClient {
                    port: reply.get_session()?,
                },
                dispatcher: IncarnationId(reply.get_dispatcher()),
                slots: read_slots(reply.get_slots()?),
            })
        }
    }

    /// Finds an entry that has a session with this dispatcher; `None` if it has none.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn find_entry(
        &self,
        incarnation: IncarnationId,
    ) -> impl Future<Output = Result<Option<EntryClient>, PeerError>> + 'static {
        let mut request = self.port.find_request();
        request.get().set_incarnation(incarnation.0);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            if !reply.get_found() {
                return Ok(None);
            }
            Ok(Some(EntryClient {
                port: reply.get_entry()?,
            }))
        }
    }

    /// Sends a heartbeat and returns the dispatcher's heartbeat in reply.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn heartbeat(
        &self,
        message: &HeartbeatMessage,
    ) -> impl Future<Output = Result<HeartbeatReply, PeerError>> + 'static {
        let mut request = self.port.beat_request();
        write_view(request.get().init_view(), &message.view);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            Ok(HeartbeatReply {
                view: read_view(reply.get()?.get_view()?)?,
            })
        }
    }

    /// Checks that the dispatcher is alive, and returns its own state, its slot counts, and its view of its data centre
    /// if the revision of that view differs from `revision`.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn ping(
        &self,
        revision: u64,
    ) -> impl Future<Output = Result<PingReply, PeerError>> + 'static {
        let mut request = self.port.ping_request();
        request.get().set_revision(revision);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            let centre = match reply.has_centre() {
                true => Some(read_centre(reply.get_centre()?)?),
                false => None,
            };
            Ok(PingReply {
                view: read_view(reply.get_view()?)?,
                slots: read_slots(reply.get_slots()?),
                centre,
            })
        }
    }

    /// Requests parts of customers' shares. `None` if the dispatcher does not answer such requests at present, or has
    /// already received a later one.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn grant(
        &self,
        batch: &AskBatch,
    ) -> impl Future<Output = Result<Option<ReplyBatch>, PeerError>> + 'static {
        let mut request = self.port.grant_request();
        write_asks(request.get().init_batch(), batch);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            if !reply.get_answered() {
                return Ok(None);
            }
            Ok(Some(read_replies(reply.get_batch()?)?))
        }
    }

    /// Reports the tasks that still run at endpoints now owned by the other dispatcher.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn handover(
        &self,
        report: &HandoverReport,
    ) -> impl Future<Output = Result<(), PeerError>> + 'static {
        let mut request = self.port.handover_request();
        write_handover(request.get().init_report(), report);
        let reply = request.send().promise;
        async move {
            reply.await?;
            Ok(())
        }
    }

    /// Returns the platform's VM list as last read by the dispatcher; empty if it has not read the list yet.
    ///
    /// # Errors
    ///
    /// The connection broke, or the list could not be decoded.
    pub fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, PeerError>> + 'static {
        let reply = self.port.vms_request().send().promise;
        async move {
            let reply = reply.await?;
            serde_json::from_slice(reply.get()?.get_json()?).map_err(crate::convert::bad_message)
        }
    }

    /// Returns the contract rows changed after a head number.
    ///
    /// # Errors
    ///
    /// The connection broke, or a row could not be decoded.
    pub fn contracts(
        &self,
        since: HeadNumber,
    ) -> impl Future<Output = Result<ContractsReply, PeerError>> + 'static {
        let mut request = self.port.contracts_request();
        request.get().set_since(since.0);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            read_contracts_reply(reply.get()?, since)
        }
    }
}

/// Client of a session with a dispatcher.
#[derive(Clone)]
pub struct SessionClient {
    port: session_port::Client,
}

impl SessionClient {
    /// Offers tasks with their bodies. Returns one reply per offer, in the same order, and the dispatcher's slot
    /// counts. The batches of a session are numbered from 1.
    ///
    /// # Errors
    ///
    /// The connection broke: each task may or may not have started.
    pub fn offer(
        &self,
        batch: u64,
        offers: &[TaskOffer],
    ) -> impl Future<Output = Result<(Vec<OfferReply>, SlotCounts), PeerError>> + 'static {
        let mut request = self.port.offer_request();
        let mut params = request.get();
        params.set_batch(batch);
        write_offers(params.init_offers(offers.len() as u32), offers);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            let mut replies = Vec::new();
            for offer_reply in reply.get_verdicts()? {
                replies.push(read_offer_reply(offer_reply)?);
            }
            Ok((replies, read_slots(reply.get_slots()?)))
        }
    }

    /// Withdraws attempts. `after_batch` is the number of the last batch of offers sent before.
    ///
    /// # Errors
    ///
    /// The connection broke: nothing is confirmed.
    pub fn withdraw(
        &self,
        after_batch: u64,
        attempts: &[AttemptId],
    ) -> impl Future<Output = Result<(Vec<WithdrawalReply>, SlotCounts), PeerError>> + 'static {
        let mut request = self.port.withdraw_request();
        let mut params = request.get();
        params.set_after_batch(after_batch);
        write_attempts(params.init_attempts(attempts.len() as u32), attempts);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            let mut replies = Vec::new();
            for withdrawal in reply.get_withdrawals()? {
                replies.push(read_withdrawal(withdrawal)?);
            }
            Ok((replies, read_slots(reply.get_slots()?)))
        }
    }
}

/// Client of an entry.
#[derive(Clone)]
pub struct EntryClient {
    port: entry_port::Client,
}

impl EntryClient {
    pub(crate) fn new(port: entry_port::Client) -> Self {
        Self { port }
    }

    pub(crate) fn into_port(self) -> entry_port::Client {
        self.port
    }

    /// Requests the body of a queued attempt; `None` if the attempt no longer exists.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn claim(
        &self,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<Option<Payload>, PeerError>> + 'static {
        let mut request = self.port.claim_request();
        write_attempt(request.get().init_attempt(), attempt);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            match reply
                .get()?
                .get_answer()?
                .which()
                .map_err(crate::convert::bad_message)?
            {
                claim_answer::Body(body) => Ok(Some(Payload::from(body?))),
                claim_answer::Gone(()) => Ok(None),
            }
        }
    }

    /// Reports how attempts ended. When the future completes, the entry has processed the report.
    ///
    /// # Errors
    ///
    /// The connection broke: nothing is confirmed.
    pub fn report_ends(
        &self,
        ends: &[(AttemptId, AttemptEnd, Duration)],
        slots: SlotCounts,
    ) -> impl Future<Output = Result<(), PeerError>> + 'static {
        let mut request = self.port.ended_request();
        let mut params = request.get();
        write_slots(params.reborrow().init_slots(), slots);
        let mut builder = params.init_ends(ends.len() as u32);
        for (index, (attempt, end, run_time)) in ends.iter().enumerate() {
            write_end(
                builder.reborrow().get(index as u32),
                *attempt,
                end,
                *run_time,
            );
        }
        let reply = request.send().promise;
        async move {
            reply.await?;
            Ok(())
        }
    }

    /// Reports the dispatcher's slot counts to the entry.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn report_slots(
        &self,
        slots: SlotCounts,
    ) -> impl Future<Output = Result<(), PeerError>> + 'static {
        let mut request = self.port.slots_request();
        write_slots(request.get().init_slots(), slots);
        let reply = request.send().promise;
        async move {
            reply.await?;
            Ok(())
        }
    }

    /// Returns the current answer to the caller of a submission of this entry; `None` if the entry does not know the
    /// submission.
    ///
    /// # Errors
    ///
    /// A connection broke: that to the dispatcher, or that between the dispatcher and the entry.
    pub fn outcome(
        &self,
        serial: u64,
    ) -> impl Future<Output = Result<Option<ForwardedAnswer>, PeerError>> + 'static {
        let mut request = self.port.outcome_request();
        request.get().set_serial(serial);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            if !reply.get_found() {
                return Ok(None);
            }
            Ok(Some(ForwardedAnswer {
                status: reply.get_status(),
                json: reply.get_json()?.to_vec(),
            }))
        }
    }

    /// Runs a request under a ticket or key whose authority is this entry, or returns the answer that the entry already
    /// has.
    ///
    /// # Errors
    ///
    /// A connection broke, that to the dispatcher or that between the dispatcher and the entry. The outcome is unknown.
    pub fn run(
        &self,
        serial: u64,
        json: &[u8],
    ) -> impl Future<Output = Result<ForwardedAnswer, PeerError>> + 'static {
        let mut request = self.port.run_request();
        let mut params = request.get();
        params.set_serial(serial);
        params.set_json(json);
        let reply = request.send().promise;
        async move {
            let reply = reply.await?;
            let reply = reply.get()?;
            Ok(ForwardedAnswer {
                status: reply.get_status(),
                json: reply.get_json()?.to_vec(),
            })
        }
    }
}
