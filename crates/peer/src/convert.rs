//! Turns the model's types into messages and back.

use std::time::Duration;

use capnp::struct_list;
use membership::MemberView;
use model::{
    AttemptEnd, AttemptId, CustomerShare, IncarnationId, OfferReply, Payload, RetryReason,
    SlotCounts, SubmissionId, TaskOffer, TaskResult, WithdrawalReply,
};

use crate::{
    peer_capnp::{attempt, attempt_end, member_view, offer, slots, verdict, withdrawal},
    PeerError,
};

pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn bad(what: impl ToString) -> PeerError {
    PeerError::BadMessage(what.to_string())
}

pub(crate) fn text<'a>(
    value: capnp::Result<capnp::text::Reader<'a>>,
) -> Result<&'a str, PeerError> {
    value?.to_str().map_err(bad)
}

pub(crate) fn write_attempt(mut builder: attempt::Builder<'_>, id: AttemptId) {
    builder.set_incarnation(id.submission.incarnation.0);
    builder.set_serial(id.submission.serial);
    builder.set_task(id.task);
    builder.set_attempt(id.attempt);
}

pub(crate) fn read_attempt(reader: attempt::Reader<'_>) -> AttemptId {
    let incarnation = IncarnationId(reader.get_incarnation());
    let submission = SubmissionId {
        incarnation,
        serial: reader.get_serial(),
    };
    AttemptId {
        submission,
        task: reader.get_task(),
        attempt: reader.get_attempt(),
    }
}

pub(crate) fn write_attempts(
    mut builder: struct_list::Builder<'_, attempt::Owned>,
    attempts: &[AttemptId],
) {
    for (index, attempt) in attempts.iter().enumerate() {
        write_attempt(builder.reborrow().get(index as u32), *attempt);
    }
}

pub(crate) fn write_offers(
    mut builder: struct_list::Builder<'_, offer::Owned>,
    offers: &[TaskOffer],
) {
    for (index, offer) in offers.iter().enumerate() {
        let mut builder = builder.reborrow().get(index as u32);
        write_attempt(builder.reborrow().init_attempt(), offer.attempt);
        builder.set_customer(offer.customer.as_str());
        builder.set_kind(offer.kind.as_str());
        builder.set_share(offer.share.0);
        builder.set_time_left_micros(micros(offer.time_left));
        builder.set_expected_micros(micros(offer.expected_run_time));
        builder.set_payload(&offer.payload.0);
    }
}

pub(crate) fn read_offers(
    reader: struct_list::Reader<'_, offer::Owned>,
) -> Result<Vec<TaskOffer>, PeerError> {
    let mut offers = Vec::with_capacity(reader.len() as usize);
    for reader in reader {
        offers.push(TaskOffer {
            attempt: read_attempt(reader.get_attempt()?),
            customer: text(reader.get_customer())?.parse().map_err(bad)?,
            share: CustomerShare(reader.get_share()),
            kind: text(reader.get_kind())?.parse().map_err(bad)?,
            time_left: Duration::from_micros(reader.get_time_left_micros()),
            expected_run_time: Duration::from_micros(reader.get_expected_micros()),
            payload: Payload::from(reader.get_payload()?),
        });
    }
    Ok(offers)
}

pub(crate) fn write_slots(mut builder: slots::Builder<'_>, counts: SlotCounts) {
    builder.set_limit(counts.limit);
    builder.set_running(counts.running);
    builder.set_queued(counts.queued);
}

pub(crate) fn read_slots(reader: slots::Reader<'_>) -> SlotCounts {
    SlotCounts {
        limit: reader.get_limit(),
        running: reader.get_running(),
        queued: reader.get_queued(),
    }
}

pub(crate) fn write_verdict(mut builder: verdict::Builder<'_>, verdict: OfferReply) {
    match verdict {
        OfferReply::Started => builder.set_started(()),
        OfferReply::Queued => builder.set_queued(()),
        OfferReply::NotRun(reason) => builder.set_not_run(reason.as_str()),
    }
}

pub(crate) fn read_verdict(reader: verdict::Reader<'_>) -> Result<OfferReply, PeerError> {
    Ok(match reader.which().map_err(bad)? {
        verdict::Started(()) => OfferReply::Started,
        verdict::Queued(()) => OfferReply::Queued,
        verdict::NotRun(reason) => OfferReply::NotRun(read_retry(text(reason)?)),
    })
}

pub(crate) fn write_withdrawal(mut builder: withdrawal::Builder<'_>, verdict: WithdrawalReply) {
    match verdict {
        WithdrawalReply::NotRun => builder.set_not_run(()),
        WithdrawalReply::Running => builder.set_running(()),
    }
}

pub(crate) fn read_withdrawal(
    reader: withdrawal::Reader<'_>,
) -> Result<WithdrawalReply, PeerError> {
    Ok(match reader.which().map_err(bad)? {
        withdrawal::NotRun(()) => WithdrawalReply::NotRun,
        withdrawal::Running(()) => WithdrawalReply::Running,
    })
}

pub(crate) fn write_end(
    mut builder: attempt_end::Builder<'_>,
    attempt: AttemptId,
    end: &AttemptEnd,
    ran: Duration,
) {
    write_attempt(builder.reborrow().init_attempt(), attempt);
    builder.set_ran_micros(micros(ran));
    match end {
        AttemptEnd::Done(result) => builder.set_done(&result.payload.0),
        AttemptEnd::Failed => builder.set_failed(()),
        AttemptEnd::NotRun(reason) => builder.set_not_run(reason.as_str()),
        AttemptEnd::Unknown(reason) => builder.set_unknown(reason.as_str()),
    }
}

pub(crate) fn read_end(
    reader: attempt_end::Reader<'_>,
) -> Result<(AttemptId, AttemptEnd, Duration), PeerError> {
    let attempt = read_attempt(reader.get_attempt()?);
    let end = match reader.which().map_err(bad)? {
        attempt_end::Done(bytes) => AttemptEnd::Done(TaskResult {
            payload: Payload::from(bytes?),
        }),
        attempt_end::Failed(()) => AttemptEnd::Failed,
        attempt_end::NotRun(reason) => AttemptEnd::NotRun(read_retry(text(reason)?)),
        attempt_end::Unknown(reason) => AttemptEnd::Unknown(text(reason)?.parse().map_err(bad)?),
    };
    Ok((attempt, end, Duration::from_micros(reader.get_ran_micros())))
}

/// A newer dispatcher may know a reason that this process does not. What counts is that the task was not run.
fn read_retry(reason: &str) -> RetryReason {
    reason.parse().unwrap_or(RetryReason::Withdrawn)
}

pub(crate) fn write_view(mut builder: member_view::Builder<'_>, view: &MemberView) {
    builder.set_address(view.address.to_string().as_str());
    builder.set_data_centre(view.data_centre.as_str());
    builder.set_incarnation(view.incarnation.0);
    builder.set_stopping(view.stopping);
    builder.set_head(view.head);
}

pub(crate) fn read_view(reader: member_view::Reader<'_>) -> Result<MemberView, PeerError> {
    Ok(MemberView {
        address: text(reader.get_address())?.parse().map_err(bad)?,
        data_centre: text(reader.get_data_centre())?.parse().map_err(bad)?,
        incarnation: IncarnationId(reader.get_incarnation()),
        stopping: reader.get_stopping(),
        head: reader.get_head(),
    })
}
