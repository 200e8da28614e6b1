//! Strategies for every value that the peer protocol carries.

use std::{net::SocketAddr, time::Duration};

use contracts::{ContractRow, ContractUpdate, HeadNumber};
use membership::{
    AskBatch, CentreView, GrantAsk, GrantDecision, GrantReply, HandoverCount, HandoverReport,
    MemberView, ReplyBatch,
};
use model::{
    AttemptEnd, AttemptId, Contract, ContractVersion, CustomerShare, EndpointState, IncarnationId,
    OfferReply, Payload, RetryReason, SlotCounts, SubmissionId, TaskOffer, TaskResult,
    UnknownReason, VmEntry, VmRole, WithdrawalReply,
};
use peer::{ContractsReply, ForwardedAnswer};
use proptest::{
    collection::vec,
    prelude::{any, prop_oneof, Just, Strategy},
    sample::select,
};

const NAME: &str = "[A-Za-z0-9._:-]{1,64}";

pub(crate) fn bytes() -> impl Strategy<Value = Vec<u8>> {
    vec(any::<u8>(), 0..300)
}

pub(crate) fn payload() -> impl Strategy<Value = Payload> {
    bytes().prop_map(Payload::from)
}

/// A duration in whole microseconds, as the protocol carries it.
fn duration() -> impl Strategy<Value = Duration> {
    any::<u64>().prop_map(Duration::from_micros)
}

pub(crate) fn attempt() -> impl Strategy<Value = AttemptId> {
    any::<(u64, u64, u32, u32)>().prop_map(|(incarnation, serial, task, attempt)| AttemptId {
        submission: SubmissionId {
            incarnation: IncarnationId(incarnation),
            serial,
        },
        task,
        attempt,
    })
}

pub(crate) fn offer() -> impl Strategy<Value = TaskOffer> {
    let names = (NAME, NAME);
    let rest = (any::<u32>(), duration(), duration(), payload());
    (attempt(), names, rest).prop_map(|(attempt, (customer, kind), rest)| {
        let (share, time_left, expected_run_time, payload) = rest;
        TaskOffer {
            attempt,
            customer: customer.parse().expect("a name"),
            share: CustomerShare(share),
            kind: kind.parse().expect("a name"),
            time_left,
            expected_run_time,
            payload,
        }
    })
}

fn retry() -> impl Strategy<Value = RetryReason> {
    select(RetryReason::ALL)
}

pub(crate) fn offer_reply() -> impl Strategy<Value = OfferReply> {
    prop_oneof![
        Just(OfferReply::Started),
        Just(OfferReply::Queued),
        retry().prop_map(OfferReply::NotRun),
    ]
}

pub(crate) fn withdrawal() -> impl Strategy<Value = WithdrawalReply> {
    select(&[WithdrawalReply::NotRun, WithdrawalReply::Running][..])
}

pub(crate) fn end() -> impl Strategy<Value = (AttemptId, AttemptEnd, Duration)> {
    let end = prop_oneof![
        payload().prop_map(|payload| AttemptEnd::Done(TaskResult { payload })),
        Just(AttemptEnd::Failed),
        retry().prop_map(AttemptEnd::NotRun),
        select(UnknownReason::ALL).prop_map(AttemptEnd::Unknown),
    ];
    (attempt(), end, duration())
}

pub(crate) fn slots() -> impl Strategy<Value = SlotCounts> {
    any::<(u32, u32, u32)>().prop_map(|(limit, running, queued)| SlotCounts {
        limit,
        running,
        queued,
    })
}

fn address() -> impl Strategy<Value = SocketAddr> {
    prop_oneof![
        any::<([u8; 4], u16)>().prop_map(SocketAddr::from),
        any::<([u16; 8], u16)>().prop_map(SocketAddr::from),
    ]
}

pub(crate) fn view() -> impl Strategy<Value = MemberView> {
    let numbers = any::<(u64, bool, u64)>();
    (address(), NAME, numbers).prop_map(|(address, name, (incarnation, stopping, head))| {
        MemberView {
            address,
            data_centre: name.parse().expect("a name"),
            incarnation: IncarnationId(incarnation),
            stopping,
            head,
        }
    })
}

pub(crate) fn centre() -> impl Strategy<Value = CentreView> {
    let slots =
        (NAME, any::<u32>()).prop_map(|(name, slots)| (name.parse().expect("a name"), slots));
    (
        any::<u64>(),
        vec(address(), 0..5),
        vec(address(), 0..5),
        vec(slots, 0..4),
    )
        .prop_map(|(revision, owners, listed, slots)| CentreView {
            revision,
            owners,
            listed,
            slots,
        })
}

pub(crate) fn ask_batch() -> impl Strategy<Value = AskBatch> {
    let ask =
        (NAME, any::<(u32, u32, u32)>()).prop_map(|(customer, (want, held, in_use))| GrantAsk {
            customer: customer.parse().expect("a name"),
            want,
            held,
            in_use,
        });
    (address(), address(), any::<(u64, u64)>(), vec(ask, 0..6)).prop_map(
        |(home, holder_address, (holder, serial), asks)| {
            let holder = IncarnationId(holder);
            AskBatch {
                home,
                holder,
                holder_address,
                serial,
                asks,
            }
        },
    )
}

pub(crate) fn reply_batch() -> impl Strategy<Value = ReplyBatch> {
    let decision = prop_oneof![
        any::<(u32, u32)>().prop_map(|(count, share)| GrantDecision::Granted { count, share }),
        Just(GrantDecision::NotHome),
    ];
    let reply = (NAME, decision).prop_map(|(customer, decision)| GrantReply {
        customer: customer.parse().expect("a name"),
        decision,
    });
    (any::<(u64, u32)>(), vec(reply, 0..6)).prop_map(|((serial, micros), replies)| {
        let term = Duration::from_micros(u64::from(micros));
        ReplyBatch {
            serial,
            term,
            replies,
        }
    })
}

pub(crate) fn report() -> impl Strategy<Value = HandoverReport> {
    let count = (NAME, vec(any::<u32>(), 0..5)).prop_map(|(endpoint, micros)| HandoverCount {
        endpoint: endpoint.parse().expect("a name"),
        time_left: micros
            .into_iter()
            .map(|micros| Duration::from_micros(u64::from(micros)))
            .collect(),
    });
    (address(), any::<(u64, u64)>(), vec(count, 0..5)).prop_map(
        |(from, (incarnation, serial), counts)| HandoverReport {
            from,
            incarnation: IncarnationId(incarnation),
            serial,
            counts,
        },
    )
}

pub(crate) fn contracts_reply() -> impl Strategy<Value = ContractsReply> {
    let row = (NAME, any::<(u64, u64)>(), contract()).prop_map(
        |(customer, (version, head), contract)| ContractRow {
            customer: customer.parse().expect("a name"),
            version: ContractVersion(version),
            head: HeadNumber(head),
            contract,
        },
    );
    (any::<(bool, u64, u64)>(), vec(row, 0..8)).prop_map(|((loaded, since, head), rows)| {
        ContractsReply {
            loaded,
            update: ContractUpdate {
                since: HeadNumber(since),
                head: HeadNumber(head),
                rows,
            },
        }
    })
}

fn contract() -> impl Strategy<Value = Contract> {
    any::<(u32, u64, u32, u32, bool)>().prop_map(
        |(concurrency, answer_within_ms, share, retry, second)| Contract {
            concurrency,
            answer_within_ms,
            share: CustomerShare(share),
            retry_percent: retry,
            move_queued: second,
            ..Contract::default()
        },
    )
}

pub(crate) fn vm() -> impl Strategy<Value = VmEntry> {
    let role = select(&[VmRole::System, VmRole::Endpoint][..]);
    let state = select(&[EndpointState::Live, EndpointState::Leaving][..]);
    let rest = (role, state, any::<u32>());
    (NAME, NAME, address(), rest).prop_map(|(id, centre, address, (role, state, slots))| VmEntry {
        id: id.parse().expect("a name"),
        data_centre: centre.parse().expect("a name"),
        role,
        address,
        slots,
        state,
    })
}

pub(crate) fn forwarded() -> impl Strategy<Value = ForwardedAnswer> {
    (any::<u16>(), bytes()).prop_map(|(status, json)| ForwardedAnswer { status, json })
}
