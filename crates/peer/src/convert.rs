//! Converts between messages of the peer protocol and types of the model.

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

pub(crate) fn bad_message(reason: impl ToString) -> PeerError {
    PeerError::BadMessage(reason.to_string())
}

pub(crate) fn read_text<'a>(
    value: capnp::Result<capnp::text::Reader<'a>>,
) -> Result<&'a str, PeerError> {
    value?.to_str().map_err(bad_message)
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
            customer: read_text(reader.get_customer())?
                .parse()
                .map_err(bad_message)?,
            share: CustomerShare(reader.get_share()),
            kind: read_text(reader.get_kind())?.parse().map_err(bad_message)?,
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

pub(crate) fn write_offer_reply(mut builder: verdict::Builder<'_>, reply: OfferReply) {
    match reply {
        OfferReply::Started => builder.set_started(()),
        OfferReply::Queued => builder.set_queued(()),
        OfferReply::NotRun(reason) => builder.set_not_run(reason.as_str()),
    }
}

pub(crate) fn read_offer_reply(reader: verdict::Reader<'_>) -> Result<OfferReply, PeerError> {
    Ok(match reader.which().map_err(bad_message)? {
        verdict::Started(()) => OfferReply::Started,
        verdict::Queued(()) => OfferReply::Queued,
        verdict::NotRun(reason) => OfferReply::NotRun(read_retry(read_text(reason)?)),
    })
}

pub(crate) fn write_withdrawal(mut builder: withdrawal::Builder<'_>, reply: WithdrawalReply) {
    match reply {
        WithdrawalReply::NotRun => builder.set_not_run(()),
        WithdrawalReply::Running => builder.set_running(()),
    }
}

pub(crate) fn read_withdrawal(
    reader: withdrawal::Reader<'_>,
) -> Result<WithdrawalReply, PeerError> {
    Ok(match reader.which().map_err(bad_message)? {
        withdrawal::NotRun(()) => WithdrawalReply::NotRun,
        withdrawal::Running(()) => WithdrawalReply::Running,
    })
}

pub(crate) fn write_end(
    mut builder: attempt_end::Builder<'_>,
    attempt: AttemptId,
    end: &AttemptEnd,
    run_time: Duration,
) {
    write_attempt(builder.reborrow().init_attempt(), attempt);
    builder.set_ran_micros(micros(run_time));
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
    let end = match reader.which().map_err(bad_message)? {
        attempt_end::Done(bytes) => AttemptEnd::Done(TaskResult {
            payload: Payload::from(bytes?),
        }),
        attempt_end::Failed(()) => AttemptEnd::Failed,
        attempt_end::NotRun(reason) => AttemptEnd::NotRun(read_retry(read_text(reason)?)),
        attempt_end::Unknown(reason) => {
            AttemptEnd::Unknown(read_text(reason)?.parse().map_err(bad_message)?)
        }
    };
    Ok((attempt, end, Duration::from_micros(reader.get_ran_micros())))
}

/// Parses the reason why a task did not run. A reason that this process does not know, as a newer dispatcher may send,
/// is read as `Withdrawn`, since what matters is that the task did not run.
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
        address: read_text(reader.get_address())?
            .parse()
            .map_err(bad_message)?,
        data_centre: read_text(reader.get_data_centre())?
            .parse()
            .map_err(bad_message)?,
        incarnation: IncarnationId(reader.get_incarnation()),
        stopping: reader.get_stopping(),
        head: reader.get_head(),
    })
}
