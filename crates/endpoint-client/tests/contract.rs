//! Contract tests of the endpoint interface, from the client's side.

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
async fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    for _ in 0..500 {
        if is_met() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for {condition}");
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

// Each task must end as it did at the endpoint or as unknown; only "busy" and "leaving" count as not run, after which a
// task may be placed again. If a started task were reported as not run, it could start twice. The endpoint has a fault
// for one task and is healthy afterwards, so that a second send by the client would be recorded as another start.
#[actix_rt::test]
async fn each_fault_is_classified_and_the_task_is_sent_once() {
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

// Guards against reading the remaining bytes of a faulty answer as the next task's answer. A task gets a faulty answer,
// and the same client then sends another task to the healthy endpoint, on whatever connection is left.
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

// Guards against delivering one task's answer to another task. Two tasks run at once and the endpoint sends each the
// other's complete answer. Only the echoed attempt id shows this, and both tasks must end as unknown.
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

// A task for an endpoint that is gone must end as not run, so that it is placed elsewhere. Nothing listens at the
// address, so the connection is refused before a byte is written. Of all failed calls, only those without a connection
// have certainly not started the task.
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
    /// The expected end of the second task.
    second: AttemptEnd,
    /// The numbers of requests and connections that the endpoint counted.
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

// Many HTTP libraries send again on a new connection when a reused one is lost, which would start the task twice. A
// first task leaves an idle connection. The second task is written to it and read by the endpoint, and the connection
// is lost before the answer. The second task must end as unknown and arrive once.
#[actix_rt::test]
async fn broken_reused_connection_is_not_sent_again() {
    for case in raw_cases() {
        let raw = RawEndpoint::start(case.answers).await;
        let endpoint = endpoint_at(raw.address);
        let client = EndpointClient::new(ClientSettings::default());
        let first = client.run(&endpoint, &offer(1, QUICK), || ()).await;
        assert_eq!(first, done("ok"), "{}", case.name);
        // Leaves time for the idle connection's close to arrive.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let second = client.run(&endpoint, &offer(2, QUICK), || ()).await;
        assert_eq!(second, case.second, "{}", case.name);
        // A second send would arrive within this time.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(raw.counts(), case.counts, "{}", case.name);
    }
}

// A task that runs when its endpoint is killed must end as unknown, never as not run. The endpoint's listener and
// connections close after the task has started. The HTTP library reports the lost answer as a failure to connect, and
// the task must not be classified as never sent.
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
async fn tasks_beyond_the_slots_are_refused_as_busy() {
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

// A leaving endpoint finishes its running tasks. The first task starts, the endpoint begins to leave and refuses a
// second task, and the first task must still get its answer.
#[actix_rt::test]
async fn leaving_endpoint_finishes_running_tasks() {
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

// A task that was sent before a link is cut ends as unknown at its timeout, even if its answer would arrive after the
// link is restored. A task that needs a connection during the cut ends as not run. The first task runs over an open
// connection when the link is cut, and its time passes. The second task's connection hangs, so that certainly no byte
// of it was sent. Then the link is restored and a third task is served.
#[actix_rt::test]
async fn cut_link_is_not_run_before_sending_and_unknown_after() {
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
        set_link_mode(
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
    set_link_mode(&forwarder, LinkMode::Pass).await;
    let third = client.run(&endpoint, &offer(3, QUICK), || ()).await;
    assert_eq!(third, done("kept"));
    let record = stand_in.record();
    assert_eq!(record.starts.len(), 2);
}

/// Sets the mode of every link of the forwarder.
async fn set_link_mode(forwarder: &NetForwarder, mode: LinkMode) {
    let request = LinkRequest { link: None, mode };
    forwarder.apply(request).await.unwrap();
}
