//! Requests with an idempotency key: the key is recorded in the platform's table before the request starts.

use std::time::{Duration, Instant};

use actix::{ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use model::{IdempotencyKey, RefusalReason, SubmissionBody, SubmissionOutcome};
use request_keys::{BodyDigest, KeyRecord, KeyRequest, KeyResult, RequestKey};
use telemetry::TimeKind;
use tokio::sync::oneshot;

use super::{
    callers::{default_retry_after, ready, refusal, AnswerFuture},
    EntryControl,
};

/// The content of a request with a key.
pub(super) struct KeyedBody {
    pub(super) body: SubmissionBody,
    pub(super) digest: u64,
    /// The request as received, to be forwarded if another entry has authority over the key.
    pub(super) raw: Vec<u8>,
}

/// A keyed request whose key is being recorded.
struct KeyedRequest {
    keyed: KeyedBody,
    serial: u64,
    deadline: Instant,
    waiter: oneshot::Sender<AnswerFuture>,
}

impl EntryControl {
    /// Records the key and runs the request, or answers a duplicate with the first arrival's answer.
    pub(super) fn run_keyed(
        &mut self,
        ctx: &mut Context<Self>,
        key: IdempotencyKey,
        keyed: KeyedBody,
    ) -> AnswerFuture {
        let customer = keyed.body.customer.clone();
        // A request that would be refused anyway should not cost a write to the store.
        let contract = match self.check_customer(&customer) {
            Ok(contract) => contract,
            Err(reason) => return ready(self.refuse(reason)),
        };
        let (now, limit) = (self.clock.now(), contract.answer_within());
        let time_left = keyed.body.deadline.unwrap_or(limit);
        if time_left > limit {
            return ready(self.refuse(RefusalReason::WrongDeadline));
        }
        let serial = self.authority.reserve_serial();
        let incarnation = self.authority.incarnation();
        let record = KeyRecord {
            incarnation,
            serial,
            body_digest: BodyDigest(keyed.digest),
        };
        // Recording may take half of the time; the other half is for the run itself.
        let record_deadline = now + time_left / 2;
        let request = KeyRequest {
            key: RequestKey { customer, key },
            record,
            deadline: record_deadline,
        };
        let recorder = self.recorder.clone();
        let arrived = now;
        let (waiter, answer) = oneshot::channel();
        let pending = KeyedRequest {
            keyed,
            serial,
            deadline: now + time_left,
            waiter,
        };
        let recorded = async move { recorder.record(request).await }.into_actor(self);
        ctx.spawn(recorded.map(move |result, control, ctx| {
            if result == KeyResult::Recorded {
                let took = control.clock.now().saturating_duration_since(arrived);
                control.events.metrics().time(TimeKind::KeyCommit, took);
            }
            control.on_key_result(pending, result);
            control.flush(ctx);
        }));
        Box::pin(async move {
            match answer.await {
                Ok(answer) => answer.await,
                Err(_) => refusal(RefusalReason::Stopping),
            }
        })
    }

    fn on_key_result(&mut self, request: KeyedRequest, result: KeyResult) {
        let KeyedRequest {
            keyed,
            serial,
            deadline,
            waiter,
        } = request;
        let answer = match result {
            KeyResult::Recorded => self.run_recorded(serial, keyed, deadline),
            KeyResult::Exists(first) => self.answer_existing(first, keyed),
            KeyResult::NotRecorded { retry_after } => self.refuse_keyed(
                serial,
                keyed,
                RefusalReason::KeyNotRecorded,
                Some(retry_after),
            ),
            // The row may exist or be written later, and names this serial. A duplicate that reads the row finds the
            // refusal stored under the serial, which shows that nothing ran.
            KeyResult::Uncertain => {
                let reason = RefusalReason::KeyNotRecorded;
                self.refuse_keyed(serial, keyed, reason, default_retry_after(reason))
            }
        };
        // The caller may have disconnected; the answer stays available under the key.
        let _gone = waiter.send(answer);
    }

    fn run_recorded(&mut self, serial: u64, keyed: KeyedBody, deadline: Instant) -> AnswerFuture {
        let time_left = deadline.saturating_duration_since(self.clock.now());
        if time_left.is_zero() {
            return self.refuse_keyed(serial, keyed, RefusalReason::DeadlinePassed, None);
        }
        let body = SubmissionBody {
            deadline: Some(time_left),
            ..keyed.body.clone()
        };
        match self.accept(body, keyed.digest, Some(serial)) {
            Ok(id) => self.wait_for(id.serial),
            Err(refusal) => self.refuse_keyed(serial, keyed, refusal.reason, refusal.retry_after),
        }
    }

    /// Answers a request whose key was recorded before: the record names the submission that has the answer.
    fn answer_existing(&mut self, first: KeyRecord, keyed: KeyedBody) -> AnswerFuture {
        if first.body_digest != BodyDigest(keyed.digest) {
            return ready(self.refuse(RefusalReason::KeyReused));
        }
        if first.incarnation == self.authority.incarnation() {
            return self.run_duplicate(first.serial, keyed.body, keyed.digest);
        }
        self.forward_request(first.submission(), keyed.raw)
    }

    /// Stores the refusal under the serial that the key's row may name. A duplicate finds it there, and runs instead,
    /// because nothing ran.
    fn refuse_keyed(
        &mut self,
        serial: u64,
        keyed: KeyedBody,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> AnswerFuture {
        let refused = SubmissionOutcome::Refused {
            reason,
            retry_after,
        };
        self.authority
            .refuse_reserved(self.clock.now(), serial, keyed.body, keyed.digest, refused);
        ready(self.outcome_now(serial))
    }
}
