//! Converts between messages and the types of grants, views of data centres and reports about handed-over endpoints.

use std::{net::SocketAddr, time::Duration};

use capnp::text_list;
use membership::{
    AskBatch, CentreView, GrantAsk, GrantDecision, GrantReply, HandoverCount, HandoverReport,
    ReplyBatch,
};
use model::IncarnationId;

use crate::{
    convert::{bad_message, micros, read_text},
    peer_capnp::{ask_batch, centre_view, grant_reply, handover_report, reply_batch},
    PeerError,
};

pub(crate) fn write_asks(mut builder: ask_batch::Builder<'_>, batch: &AskBatch) {
    builder.set_home(batch.home.to_string().as_str());
    builder.set_holder(batch.holder.0);
    builder.set_holder_address(batch.holder_address.to_string().as_str());
    builder.set_serial(batch.serial);
    let mut asks = builder.init_asks(batch.asks.len() as u32);
    for (index, ask) in batch.asks.iter().enumerate() {
        let mut builder = asks.reborrow().get(index as u32);
        builder.set_customer(ask.customer.as_str());
        builder.set_want(ask.want);
        builder.set_held(ask.held);
        builder.set_in_use(ask.in_use);
    }
}

pub(crate) fn read_asks(reader: ask_batch::Reader<'_>) -> Result<AskBatch, PeerError> {
    let mut asks = Vec::new();
    for ask in reader.get_asks()? {
        asks.push(GrantAsk {
            customer: read_text(ask.get_customer())?
                .parse()
                .map_err(bad_message)?,
            want: ask.get_want(),
            held: ask.get_held(),
            in_use: ask.get_in_use(),
        });
    }
    Ok(AskBatch {
        home: read_text(reader.get_home())?.parse().map_err(bad_message)?,
        holder: IncarnationId(reader.get_holder()),
        holder_address: read_text(reader.get_holder_address())?
            .parse()
            .map_err(bad_message)?,
        serial: reader.get_serial(),
        asks,
    })
}

pub(crate) fn write_replies(mut builder: reply_batch::Builder<'_>, batch: &ReplyBatch) {
    builder.set_serial(batch.serial);
    builder.set_term_micros(micros(batch.term));
    let mut replies = builder.init_replies(batch.replies.len() as u32);
    for (index, reply) in batch.replies.iter().enumerate() {
        let mut builder = replies.reborrow().get(index as u32);
        builder.set_customer(reply.customer.as_str());
        match reply.decision {
            GrantDecision::Granted { count, share } => {
                let mut granted = builder.init_granted();
                granted.set_count(count);
                granted.set_share(share);
            }
            GrantDecision::NotHome => builder.set_not_home(()),
        }
    }
}

pub(crate) fn read_replies(reader: reply_batch::Reader<'_>) -> Result<ReplyBatch, PeerError> {
    let mut replies = Vec::new();
    for reply in reader.get_replies()? {
        let decision = match reply.which().map_err(bad_message)? {
            grant_reply::Granted(granted) => GrantDecision::Granted {
                count: granted.get_count(),
                share: granted.get_share(),
            },
            grant_reply::NotHome(()) => GrantDecision::NotHome,
        };
        replies.push(GrantReply {
            customer: read_text(reply.get_customer())?
                .parse()
                .map_err(bad_message)?,
            decision,
        });
    }
    Ok(ReplyBatch {
        serial: reader.get_serial(),
        term: Duration::from_micros(reader.get_term_micros()),
        replies,
    })
}

pub(crate) fn write_centre(mut builder: centre_view::Builder<'_>, view: &CentreView) {
    builder.set_revision(view.revision);
    write_addresses(
        builder.reborrow().init_owners(view.owners.len() as u32),
        &view.owners,
    );
    write_addresses(
        builder.reborrow().init_listed(view.listed.len() as u32),
        &view.listed,
    );
    let mut slots = builder.init_slots(view.slots.len() as u32);
    for (index, (data_centre, count)) in view.slots.iter().enumerate() {
        let mut builder = slots.reborrow().get(index as u32);
        builder.set_data_centre(data_centre.as_str());
        builder.set_slots(*count);
    }
}

pub(crate) fn read_centre(reader: centre_view::Reader<'_>) -> Result<CentreView, PeerError> {
    let mut slots = Vec::new();
    for centre_slots in reader.get_slots()? {
        let data_centre = read_text(centre_slots.get_data_centre())?
            .parse()
            .map_err(bad_message)?;
        slots.push((data_centre, centre_slots.get_slots()));
    }
    Ok(CentreView {
        revision: reader.get_revision(),
        owners: read_addresses(reader.get_owners()?)?,
        listed: read_addresses(reader.get_listed()?)?,
        slots,
    })
}

pub(crate) fn write_handover(mut builder: handover_report::Builder<'_>, report: &HandoverReport) {
    builder.set_from(report.from.to_string().as_str());
    builder.set_incarnation(report.incarnation.0);
    builder.set_serial(report.serial);
    let mut counts = builder.init_counts(report.counts.len() as u32);
    for (index, count) in report.counts.iter().enumerate() {
        let mut builder = counts.reborrow().get(index as u32);
        builder.set_endpoint(count.endpoint.as_str());
        let mut times = builder.init_time_left_micros(count.time_left.len() as u32);
        for (index, duration) in count.time_left.iter().enumerate() {
            times.set(index as u32, micros(*duration));
        }
    }
}

pub(crate) fn read_handover(
    reader: handover_report::Reader<'_>,
) -> Result<HandoverReport, PeerError> {
    let mut counts = Vec::new();
    for count in reader.get_counts()? {
        let times = count.get_time_left_micros()?;
        counts.push(HandoverCount {
            endpoint: read_text(count.get_endpoint())?
                .parse()
                .map_err(bad_message)?,
            time_left: times.iter().map(Duration::from_micros).collect(),
        });
    }
    Ok(HandoverReport {
        from: read_text(reader.get_from())?.parse().map_err(bad_message)?,
        incarnation: IncarnationId(reader.get_incarnation()),
        serial: reader.get_serial(),
        counts,
    })
}

fn write_addresses(mut builder: text_list::Builder<'_>, addresses: &[SocketAddr]) {
    for (index, address) in addresses.iter().enumerate() {
        builder.set(index as u32, address.to_string().as_str());
    }
}

fn read_addresses(reader: text_list::Reader<'_>) -> Result<Vec<SocketAddr>, PeerError> {
    let mut addresses = Vec::with_capacity(reader.len() as usize);
    for address in reader {
        addresses.push(read_text(address)?.parse().map_err(bad_message)?);
    }
    Ok(addresses)
}
