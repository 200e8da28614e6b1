//! Contract of the endpoint border, seen from the client.

mod support;

use std::{net::TcpListener, time::Duration};

use endpoint_client::{ClientSettings, EndpointClient};
use model::{AttemptEnd, Payload, RetryReason, TaskResult, UnknownReason, MAX_PAYLOAD_BYTES};
use stand_ins::{
    endpoint::{EndpointSettings, EndpointStandIn, Fault, FaultRequest, RunEnd},
    forwarder::{CutConnect, LinkMode, LinkRequest, NetForwarder},
};

use crate::support::{endpoint_at, offer, RawAnswer, RawEndpoint};

const QUICK: &str = r#"{"run_ms":5,"echo":"kept"}"#;

fn done(text: &str) -> AttemptEnd {
    AttemptEnd::Done(TaskResult {
        payload: Payload::from(text.as_bytes()),
    })
}

fn stand_in(slots: u32) -> EndpointStandIn {
    EndpointStandIn::start(EndpointSettings {
        slots,
        ..EndpointSettings::default()
    })
    .unwrap()
}

/// Waits until the condition holds; fails after five seconds.
async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..500 {
        if holds() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never came: {what}");
}

struct FaultCase {
    name: &'static str,
    fault: Fault,
    payload: &'static str,
    end: AttemptEnd,
    starts: usize,
}

fn fault_cases() -> Vec<FaultCase> {
    let case = |name, fault, end, starts| FaultCase {
        name,
        fault,
        payload: QUICK,
        end,
        starts,
    };
    let broken = AttemptEnd::Unknown(UnknownReason::BrokenAnswer);
    let lost = AttemptEnd::Unknown(UnknownReason::ConnectionLost);
    let late = AttemptEnd::Unknown(UnknownReason::DeadlinePassed);
    vec![
        case("healthy", Fault::Healthy, done("kept"), 1),
        case("slow", Fault::Slow { factor: 3.0 }, done("kept"), 1),
        case("fails everything", Fault::FailAll, AttemptEnd::Failed, 1),
        case(
            "busy",
            Fault::Busy,
            AttemptEnd::NotRun(RetryReason::EndpointBusy),
            0,
        ),
        case(
            "leaving",
            Fault::Leaving,
            AttemptEnd::NotRun(RetryReason::EndpointLeaving),
            0,
        ),
        case(
            "echoes another attempt",
            Fault::WrongAttempt,
            broken.clone(),
            1,
        ),
        case("echoes no attempt", Fault::NoAttempt, broken.clone(), 1),
        case("answer cut short", Fault::CutAnswer, broken.clone(), 1),
        case(
            "answer cut, size not named",
            Fault::CutChunks,
            broken.clone(),
            1,
        ),
        case("redirect", Fault::Redirect, broken.clone(), 1),
        case("unknown status", Fault::ServerError, broken.clone(), 1),
        case(
            "closed after the run",
            Fault::CloseAfterStart,
            lost.clone(),
            1,
        ),
        case("closed at the start", Fault::CloseAtStart, lost.clone(), 1),
        case("silent, then closed", Fault::Silent { ms: 50 }, lost, 1),
        case(
            "silent past the limit",
            Fault::Silent { ms: 30_000 },
            late.clone(),
            1,
        ),
        case(
            "answer in time though late",
            Fault::Late { ms: 50 },
            done("kept"),
            1,
        ),
        case("answer too late", Fault::Late { ms: 30_000 }, late, 1),
        FaultCase {
            payload: r#"{"run_ms":5,"fail":true}"#,
            ..case("task fails", Fault::Healthy, AttemptEnd::Failed, 1)
        },
        FaultCase {
            payload: r#"{"run_ms":5,"result_bytes":65537}"#,
            ..case("result too large", Fault::Healthy, broken, 1)
        },
    ]
}

// What the caller sees: each task either ends as it did at the endpoint, or is "unknown"; only "busy" and "leaving"
// become a not-run, which may be placed again.
// Order: the endpoint shows one fault for one task, then is healthy again; the client must not send a second time.
// Why: a not-run said of a task that started would let it start twice.
#[actix_rt::test]
async fn classifies_each_fault_and_sends_once() {
    for case in fault_cases() {
        let stand_in = stand_in(8);
        stand_in.set_fault(FaultRequest::next(case.fault, 1));
        let client = EndpointClient::new(ClientSettings::default());
        let mut offer = offer(1, case.payload);
        offer.time_left = Duration::from_millis(300);
        let end = client
            .run(&stand_in.endpoint_address(), &offer, || ())
            .await;
        assert_eq!(end, case.end, "{}", case.name);
        let record = stand_in.record();
        assert_eq!(record.starts.len(), case.starts, "{}", case.name);
        if case.starts == 1 {
            assert_eq!(record.starts[0].attempt, offer.attempt, "{}", case.name);
        }
    }
}

// What the caller sees: an endpoint with a fault for one task serves the next task on whatever connection is left.
// Order: a faulty answer, then a healthy task with another attempt id over the same client.
// Why: bytes left of a broken answer must not be read as the next task's answer.
#[actix_rt::test]
async fn next_task_after_a_fault_gets_its_own_answer() {
    for case in fault_cases() {
        if case.fault == Fault::Leaving {
            continue;
        }
        let stand_in = stand_in(8);
        stand_in.set_fault(FaultRequest::next(case.fault, 1));
        let client = EndpointClient::new(ClientSettings::default());
        let mut first = offer(1, case.payload);
        first.time_left = Duration::from_millis(100);
        client
            .run(&stand_in.endpoint_address(), &first, || ())
            .await;
        let second = offer(2, r#"{"run_ms":1,"echo":"second"}"#);
        let end = client
            .run(&stand_in.endpoint_address(), &second, || ())
            .await;
        assert_eq!(end, done("second"), "{}", case.name);
    }
}

// What the caller sees: neither of two tasks gets the other's answer; both are unknown.
// Order: two tasks run at once, the endpoint sends each the other's whole answer.
// Why: the echoed attempt id is the only thing that tells a crossed answer from the right one.
#[actix_rt::test]
async fn crossed_answers_are_not_delivered() {
    let stand_in = stand_in(8);
    stand_in.set_fault(FaultRequest::next(Fault::Crossed { ms: 1000 }, 2));
    let client = EndpointClient::new(ClientSettings::default());
    let endpoint = stand_in.endpoint_address();
    let (first, second) = (offer(1, "first"), offer(2, "second"));
    let (first, second) = futures::join!(
        client.run(&endpoint, &first, || ()),
        client.run(&endpoint, &second, || ()),
    );
    let broken = AttemptEnd::Unknown(UnknownReason::BrokenAnswer);
    assert_eq!((first, second), (broken.clone(), broken));
    assert_eq!(stand_in.record().starts.len(), 2);
}

// What the caller sees: a task for an endpoint that is gone is a not-run and is placed elsewhere.
// Order: nothing listens at the address, so the connection is refused before a byte is written.
// Why: it is the one lost call that is certainly no start.
#[actix_rt::test]
async fn refused_connection_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = EndpointClient::new(ClientSettings::default());
    let end = client
        .run(&endpoint_at(address), &offer(1, QUICK), || ())
        .await;
    let expect = AttemptEnd::NotRun(RetryReason::EndpointUnreachable);
    assert_eq!(end, expect);
}

struct RawCase {
    name: &'static str,
    answers: &'static [RawAnswer],
    second: AttemptEnd,
    /// Requests and connections that the endpoint saw.
    counts: (u32, u32),
}

fn raw_cases() -> Vec<RawCase> {
    use RawAnswer::{Close, Garbage, Reset, Whole, WholeThenClose};

    let lost = AttemptEnd::Unknown(UnknownReason::ConnectionLost);
    vec![
        RawCase {
            name: "connection is reused",
            answers: &[Whole, Whole],
            second: done("ok"),
            counts: (2, 1),
        },
        RawCase {
            name: "reused connection closes after the request",
            answers: &[Whole, Close, Whole],
            second: lost.clone(),
            counts: (2, 1),
        },
        RawCase {
            name: "reused connection is reset after the request",
            answers: &[Whole, Reset, Whole],
            second: lost,
            counts: (2, 1),
        },
        RawCase {
            name: "reused connection answers garbage",
            answers: &[Whole, Garbage, Whole],
            second: AttemptEnd::Unknown(UnknownReason::BrokenAnswer),
            counts: (2, 1),
        },
        RawCase {
            name: "idle connection was closed, so a new one is made",
            answers: &[WholeThenClose, Whole],
            second: done("ok"),
            counts: (2, 2),
        },
    ]
}

// What the caller sees: a task whose connection broke is unknown, and the endpoint saw it once.
// Order: a first task leaves an idle connection; the second is written to it, read whole by the endpoint, and the
// connection breaks before the answer.
// Why: many HTTP libraries send again on a fresh connection when a reused one breaks; that would be a second start.
#[actix_rt::test]
async fn broken_reused_connection_is_not_sent_again() {
    for case in raw_cases() {
        let raw = RawEndpoint::start(case.answers).await;
        let endpoint = endpoint_at(raw.address);
        let client = EndpointClient::new(ClientSettings::default());
        let first = client.run(&endpoint, &offer(1, QUICK), || ()).await;
        assert_eq!(first, done("ok"), "{}", case.name);
        // Lets a close of the idle connection arrive.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let second = client.run(&endpoint, &offer(2, QUICK), || ()).await;
        assert_eq!(second, case.second, "{}", case.name);
        // A silent second sending would come within this time.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(raw.counts(), case.counts, "{}", case.name);
    }
}

// What the caller sees: an endpoint that is killed while a task runs makes it unknown, never a not-run.
// Order: the task starts, the endpoint's listener and connections close, the client would find no one to connect to.
// Why: the library reports the lost answer as a failure to connect, which must not count as one.
#[actix_rt::test]
async fn killed_endpoint_is_unknown() {
    let stand_in = stand_in(8);
    let client = EndpointClient::new(ClientSettings::default());
    let endpoint = stand_in.endpoint_address();
    let offer = offer(1, r#"{"run_ms":1000}"#);
    let kill = async {
        wait_until("the start", || stand_in.record().running == 1).await;
        stand_in.stop().await;
    };
    let (end, ()) = futures::join!(client.run(&endpoint, &offer, || ()), kill);
    assert_eq!(end, AttemptEnd::Unknown(UnknownReason::ConnectionLost));
    assert_eq!(stand_in.record().starts.len(), 1);
}

#[actix_rt::test]
async fn slots_are_a_real_limit() {
    let stand_in = stand_in(2);
    let client = EndpointClient::new(ClientSettings::default());
    let endpoint = stand_in.endpoint_address();
    let mut calls = Vec::new();
    for serial in 0..5 {
        let (client, endpoint) = (client.clone(), endpoint.clone());
        calls.push(async move {
            let offer = offer(serial, r#"{"run_ms":200}"#);
            client.run(&endpoint, &offer, || ()).await
        });
    }
    let ends = futures::future::join_all(calls).await;
    let busy = AttemptEnd::NotRun(RetryReason::EndpointBusy);
    assert_eq!(ends.iter().filter(|end| **end == busy).count(), 3);
    let record = stand_in.record();
    assert_eq!((record.starts.len(), record.most_running), (2, 2));
    assert_eq!(record.refusals.len(), 3);
}

// What the caller sees: a task that runs when its endpoint begins to leave still gets its answer.
// Order: the task starts, the endpoint leaves, a second task is turned away, the first one ends.
// Why: leaving finishes what runs.
#[actix_rt::test]
async fn leaving_endpoint_finishes_what_runs() {
    let stand_in = stand_in(8);
    let client = EndpointClient::new(ClientSettings::default());
    let endpoint = stand_in.endpoint_address();
    let first = offer(1, r#"{"run_ms":300,"echo":"whole"}"#);
    let second = offer(2, QUICK);
    let leave = async {
        wait_until("the start", || stand_in.record().running == 1).await;
        stand_in.set_fault(FaultRequest::always(Fault::Leaving));
        client.run(&endpoint, &second, || ()).await
    };
    let (first, second) = futures::join!(client.run(&endpoint, &first, || ()), leave);
    assert_eq!(first, done("whole"));
    assert_eq!(second, AttemptEnd::NotRun(RetryReason::EndpointLeaving));
    let record = stand_in.record();
    assert_eq!(record.starts.len(), 1);
    assert_eq!(record.starts[0].end, Some(RunEnd::Done));
    assert!(record.refusals[0].leaving_for_ms.is_some());
}

#[actix_rt::test]
async fn largest_payload_and_result_pass_and_headers_arrive() {
    let stand_in = stand_in(8);
    let client = EndpointClient::new(ClientSettings::default());
    let payload = "x".repeat(MAX_PAYLOAD_BYTES.0 as usize);
    let offer = offer(1, &payload);
    let mut started = false;
    let end = client
        .run(&stand_in.endpoint_address(), &offer, || started = true)
        .await;
    assert_eq!(end, done(&payload));
    assert!(started);
    let record = stand_in.record();
    assert_eq!(record.starts[0].customer, offer.customer);
    assert_eq!(record.starts[0].kind, offer.kind);
    assert_eq!(
        record.starts[0].digest,
        stand_ins::endpoint::digest(payload.as_bytes())
    );
}

// What the caller sees: a task for an endpoint that is cut off before it is connected to is a not-run; one that was
// sent before the cut is unknown once its time is over, also when the answer would come after the heal.
// Order: a task runs over an open connection, the link is cut, the time of the task passes; a second task needs a new
// connection, which hangs; the link heals and a third task is served.
// Why: only the second one's bytes certainly stayed here.
#[actix_rt::test]
async fn cut_link_is_not_run_before_and_unknown_after_sending() {
    let stand_in = stand_in(8);
    let forwarder = NetForwarder::start().unwrap();
    let endpoint = endpoint_at(forwarder.add_link("d-e", stand_in.address()).unwrap());
    let client = EndpointClient::new(ClientSettings {
        connect_timeout: Duration::from_millis(200),
        ..ClientSettings::default()
    });
    let mut first = offer(1, r#"{"run_ms":100}"#);
    first.time_left = Duration::from_millis(500);
    let cut = async {
        wait_until("the start", || stand_in.record().running == 1).await;
        order(
            &forwarder,
            LinkMode::Cut {
                connects: CutConnect::Hang,
            },
        )
        .await;
        client.run(&endpoint, &offer(2, QUICK), || ()).await
    };
    let (first, second) = futures::join!(client.run(&endpoint, &first, || ()), cut);
    assert_eq!(first, AttemptEnd::Unknown(UnknownReason::DeadlinePassed));
    assert_eq!(second, AttemptEnd::NotRun(RetryReason::EndpointUnreachable));
    order(&forwarder, LinkMode::Pass).await;
    let third = client.run(&endpoint, &offer(3, QUICK), || ()).await;
    assert_eq!(third, done("kept"));
    let record = stand_in.record();
    assert_eq!(record.starts.len(), 2);
}

async fn order(forwarder: &NetForwarder, mode: LinkMode) {
    let order = LinkRequest { link: None, mode };
    forwarder.apply(order).await.unwrap();
}
