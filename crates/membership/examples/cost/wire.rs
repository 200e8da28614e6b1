//! The bytes that an exchange between two processes sends over the network.

use std::net::SocketAddr;

use capnp::{message::Builder, serialize::compute_serialized_size_in_words};
use capnp_rpc::rpc_capnp;
use membership::{AskBatch, GrantDecision, ReplyBatch};
use peer::peer_capnp::{dispatcher_port, member_view};

/// Bytes of the TCP and IP headers with timestamps.
const HEADER_BYTES: usize = 52;

/// Segments of one exchange: call, return, finish, and a bare acknowledgement.
const SEGMENTS: usize = 4;

pub(crate) fn print_sizes() {
    println!(
        "one heartbeat with its answer: {} bytes of messages, {} with headers",
        heartbeat_bytes() - HEADER_BYTES * SEGMENTS,
        heartbeat_bytes()
    );
}

/// The bytes of a heartbeat and its answer, headers included.
pub(crate) fn heartbeat_bytes() -> usize {
    let call = call_bytes(|content| {
        write_view(
            content
                .init_as::<dispatcher_port::beat_params::Builder<'_>>()
                .init_view(),
        );
    });
    let answer = return_bytes(|content| {
        write_view(
            content
                .init_as::<dispatcher_port::beat_results::Builder<'_>>()
                .init_view(),
        );
    });
    call + answer + finish_bytes() + HEADER_BYTES * SEGMENTS
}

/// The bytes of a batch of asks and its answer, headers included.
pub(crate) fn grant_bytes(batch: &AskBatch, reply: &ReplyBatch) -> usize {
    let call = call_bytes(|content| {
        write_asks(
            content.init_as::<dispatcher_port::grant_params::Builder<'_>>(),
            batch,
        );
    });
    let answer = return_bytes(|content| {
        write_replies(
            content.init_as::<dispatcher_port::grant_results::Builder<'_>>(),
            reply,
        );
    });
    call + answer + finish_bytes() + HEADER_BYTES * SEGMENTS
}

fn call_bytes(write: impl FnOnce(capnp::any_pointer::Builder<'_>)) -> usize {
    let mut message = Builder::new_default();
    let root = message.init_root::<rpc_capnp::message::Builder<'_>>();
    let mut call = root.init_call();
    call.set_question_id(1);
    call.reborrow().init_target().set_imported_cap(0);
    write(call.init_params().init_content());
    compute_serialized_size_in_words(&message) * 8
}

fn return_bytes(write: impl FnOnce(capnp::any_pointer::Builder<'_>)) -> usize {
    let mut message = Builder::new_default();
    let root = message.init_root::<rpc_capnp::message::Builder<'_>>();
    let mut answer = root.init_return();
    answer.set_answer_id(1);
    write(answer.init_results().init_content());
    compute_serialized_size_in_words(&message) * 8
}

fn finish_bytes() -> usize {
    let mut message = Builder::new_default();
    let root = message.init_root::<rpc_capnp::message::Builder<'_>>();
    root.init_finish().set_question_id(1);
    compute_serialized_size_in_words(&message) * 8
}

fn write_view(mut view: member_view::Builder<'_>) {
    let address = SocketAddr::from(([10, 12, 34, 56], 7000));
    view.set_address(address.to_string().as_str());
    view.set_data_centre("rajkot-east-01");
    view.set_incarnation(u64::MAX);
    view.set_head(1);
}

fn write_asks(params: dispatcher_port::grant_params::Builder<'_>, batch: &AskBatch) {
    let mut builder = params.init_batch();
    builder.set_home(batch.home.to_string().as_str());
    builder.set_holder(batch.holder.0);
    builder.set_holder_address(batch.holder_address.to_string().as_str());
    builder.set_serial(batch.serial);
    let mut asks = builder.init_asks(batch.asks.len() as u32);
    for (i, ask) in batch.asks.iter().enumerate() {
        let mut builder = asks.reborrow().get(i as u32);
        builder.set_customer(ask.customer.as_str());
        builder.set_want(ask.want);
        builder.set_held(ask.held);
        builder.set_in_use(ask.in_use);
    }
}

fn write_replies(mut results: dispatcher_port::grant_results::Builder<'_>, batch: &ReplyBatch) {
    results.set_answered(true);
    let mut builder = results.init_batch();
    builder.set_serial(batch.serial);
    let mut replies = builder.init_replies(batch.replies.len() as u32);
    for (i, reply) in batch.replies.iter().enumerate() {
        let mut builder = replies.reborrow().get(i as u32);
        builder.set_customer(reply.customer.as_str());
        if let GrantDecision::Granted { count, share } = reply.decision {
            let mut granted = builder.init_granted();
            granted.set_count(count);
            granted.set_share(share);
        }
    }
}
