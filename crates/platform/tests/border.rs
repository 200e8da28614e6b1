//! Contract tests of the platform client against the platform's stand-in over loopback.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::SystemClock;
use model::{EndpointState, VmEntry, VmRole};
use platform::{
    CallRate, ClientSettings, CommitError, ExpectedVersion, PlatformClient, ReadError,
    RequestError, RowVersion, RowWrite, StoreKey, TableName,
};
use serde_json::json;
use stand_ins::platform::{
    DownMode, FaultSettings, LossTime, PlatformSettings, PlatformStandIn, RacingWrite,
};

const TIMEOUT: Duration = Duration::from_millis(250);

fn stand_in() -> PlatformStandIn {
    PlatformStandIn::start(PlatformSettings::default()).unwrap()
}

fn client(stand_in: &PlatformStandIn) -> PlatformClient {
    let settings = ClientSettings {
        address: stand_in.address(),
        timeout: TIMEOUT,
        write_rate: CallRate::per_second(1000),
        ..ClientSettings::default()
    };
    PlatformClient::new(settings, Arc::new(SystemClock))
}

fn key(text: &str) -> StoreKey {
    text.parse().unwrap()
}

fn write(name: &str, expect: ExpectedVersion) -> RowWrite {
    RowWrite {
        table: TableName::RequestKeys,
        key: key(name),
        expect,
        value: json!({ "name": name }),
    }
}

async fn insert(client: &PlatformClient, name: &str) -> Result<Vec<RowVersion>, CommitError> {
    let writes = vec![write(name, ExpectedVersion::Absent)];
    client.commit(writes).await
}

/// Waits until a condition holds. The limit only ends a test that would otherwise hang.
async fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    for _ in 0.. {
        if is_met() {
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "timed out waiting for {condition}"
        );
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

#[actix_rt::test]
async fn rows_objects_and_vms_are_read_as_written() {
    let stand_in = stand_in();
    let client = client(&stand_in);
    let writes = vec![
        write("b", ExpectedVersion::Absent),
        write("a", ExpectedVersion::Any),
        write("c/1", ExpectedVersion::Absent),
    ];
    assert_eq!(client.commit(writes).await, Ok(vec![RowVersion(1); 3]));

    let row = client.get_row(TableName::RequestKeys, &key("c/1")).await;
    let row = row.unwrap().unwrap();
    assert_eq!(
        (row.version, row.value),
        (RowVersion(1), json!({"name": "c/1"}))
    );
    let absent = client.get_row(TableName::Contracts, &key("c/1")).await;
    assert_eq!(absent, Ok(None));

    let mut listed = Vec::new();
    for after in [StoreKey::default(), key("a"), key("b"), key("c/1")] {
        let rows = client.list_rows(TableName::RequestKeys, &after, 2);
        let keys: Vec<_> = rows.await.unwrap().into_iter().map(|r| r.key).collect();
        listed.push(keys);
    }
    let expected = [
        vec![key("a"), key("b")],
        vec![key("b"), key("c/1")],
        vec![key("c/1")],
        vec![],
    ];
    assert_eq!(listed, expected);

    client
        .put_object(&key("report/1"), vec![0, 255, 7])
        .await
        .unwrap();
    let object = client.get_object(&key("report/1")).await;
    assert_eq!(object, Ok(Some(vec![0, 255, 7])));
    assert_eq!(client.get_object(&key("report/2")).await, Ok(None));
    assert_eq!(client.vm_list().await, Ok(vec![]));
}

#[actix_rt::test]
async fn one_conflict_aborts_the_whole_transaction_and_all_conflicts_are_reported() {
    // A conflict tells the caller that its transaction had no effect. Two of three writes conflict; the third would
    // have succeeded alone and must not have been applied.
    let stand_in = stand_in();
    let client = client(&stand_in);
    insert(&client, "taken").await.unwrap();

    let writes = vec![
        write("free", ExpectedVersion::Absent),
        write("taken", ExpectedVersion::Absent),
        write("gone", ExpectedVersion::Version(RowVersion(3))),
    ];
    let Err(CommitError::Conflict(conflicts)) = client.commit(writes).await else {
        panic!("no conflict");
    };
    let reported: Vec<_> = conflicts
        .iter()
        .map(|c| (c.key.as_str(), c.version))
        .collect();
    assert_eq!(reported, [("taken", Some(RowVersion(1))), ("gone", None)]);
    assert_eq!(stand_in.row("request-keys", "free"), None);
}

/// The outcome of a write as the caller sees it.
#[derive(Debug, PartialEq, Eq)]
enum WriteOutcome {
    Committed,
    Conflict,
    NotSent,
    Uncertain,
}

impl From<Result<Vec<RowVersion>, CommitError>> for WriteOutcome {
    fn from(result: Result<Vec<RowVersion>, CommitError>) -> Self {
        match result {
            Ok(_) => Self::Committed,
            Err(CommitError::Conflict(_)) => Self::Conflict,
            Err(CommitError::NotSent(_)) => Self::NotSent,
            Err(CommitError::Uncertain(_)) => Self::Uncertain,
        }
    }
}

#[actix_rt::test]
async fn a_write_is_reported_as_without_effect_only_if_it_had_none() {
    // Faults occur before, during or after a write takes effect, on new and on kept-alive connections. The client may
    // report "not sent" only if no byte left this process: the caller then starts the work elsewhere, so that a write
    // that took effect after all would make the work run twice.
    let race = RacingWrite::before("request-keys", "k", 1, vec![]);
    let race = FaultSettings::racing(race);
    let slow = FaultSettings {
        slow_ms: 600,
        ..FaultSettings::default()
    };
    use DownMode::{Closed, Unavailable, WritesUnavailable};
    use LossTime::{AfterWrite, BeforeWrite, LandsLater};
    use WriteOutcome::{Committed, Conflict, Uncertain};
    let lose = |when| FaultSettings::losing(1, when);
    let (down, none) = (FaultSettings::down, FaultSettings::default());
    let cases = [
        ("no fault", none, Committed, true),
        ("answer lost after", lose(AfterWrite), Uncertain, true),
        ("answer lost before", lose(BeforeWrite), Uncertain, false),
        ("lands later", lose(LandsLater(100)), Uncertain, true),
        ("503", down(Unavailable), Uncertain, false),
        ("503 to writes", down(WritesUnavailable), Uncertain, false),
        ("closed", down(Closed), Uncertain, false),
        ("slow", slow, Uncertain, false),
        ("racing writer", race, Conflict, true),
    ];
    for warm in [false, true] {
        for (name, faults, expected, takes_effect) in &cases {
            let stand_in = stand_in();
            let client = client(&stand_in);
            if warm {
                client.vm_list().await.unwrap();
            }
            stand_in.set_faults(faults.clone());
            let outcome = insert(&client, "k").await;
            assert_eq!(
                &WriteOutcome::from(outcome),
                expected,
                "{name}, warm {warm}"
            );
            if *takes_effect {
                wait_until(name, || stand_in.row("request-keys", "k").is_some()).await;
            } else if *name != "slow" {
                // A slow write may still take effect after the caller timed out.
                assert_eq!(
                    stand_in.row("request-keys", "k"),
                    None,
                    "{name}, warm {warm}"
                );
            }
            stand_in.stop().await;
        }
    }
}

#[actix_rt::test]
async fn a_refused_connection_is_not_sent_and_the_client_reconnects() {
    // The platform stops listening while the client has a kept-alive connection, and later restarts. In between, writes
    // must end as "not sent", because the client notices the closed connection and a new connection is refused.
    let stand_in = stand_in();
    let client = client(&stand_in);
    insert(&client, "before").await.unwrap();
    stand_in.stop().await;

    // Until the client's socket shows that the peer has closed it, a write may still be sent on it and is uncertain.
    let limit = Instant::now() + Duration::from_secs(10);
    for _ in 0.. {
        match insert(&client, "during").await {
            Err(CommitError::NotSent(RequestError::NoConnection(_))) => break,
            Err(CommitError::Uncertain(_)) => assert!(Instant::now() < limit),
            other => panic!("{other:?}"),
        }
    }
    let read = client.get_row(TableName::RequestKeys, &key("before")).await;
    assert!(
        matches!(read, Err(ReadError(RequestError::NoConnection(_)))),
        "{read:?}"
    );

    let stand_in = stand_in.restart().unwrap();
    let read = client.get_row(TableName::RequestKeys, &key("before")).await;
    assert_eq!(read.unwrap().unwrap().version, RowVersion(1));
    assert_eq!(stand_in.row("request-keys", "during"), None);
}

#[actix_rt::test]
async fn a_process_over_its_rate_is_refused_before_it_sends() {
    // A process with a rate of five writes per second and a longest wait of 500 ms gets a burst of a hundred writes.
    // Writes over the rate must end as "not sent" with a time to retry after, and the store must get no more than the
    // permitted burst: a queue of this VM's writes in the store would make the writes of every other VM time out.
    let stand_in = stand_in();
    let settings = ClientSettings {
        address: stand_in.address(),
        write_rate: CallRate::per_second(5),
        ..ClientSettings::default()
    };
    let client = PlatformClient::new(settings, Arc::new(SystemClock));
    let calls = (0..100).map(|n| {
        let client = client.clone();
        async move { insert(&client, &format!("k{n}")).await }
    });
    let outcomes = futures::future::join_all(calls).await;
    let mut committed = 0;
    for outcome in outcomes {
        match outcome {
            Ok(_) => committed += 1,
            Err(CommitError::NotSent(RequestError::RateLimited { retry_after })) => {
                assert!(retry_after > Duration::from_millis(500));
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((10..=14).contains(&committed), "{committed} committed");
    assert_eq!(stand_in.stats().transactions, committed);
}

#[actix_rt::test]
async fn the_same_seed_loses_the_same_answers() {
    let mut patterns = Vec::new();
    for _ in 0..2 {
        let stand_in = stand_in();
        let client = client(&stand_in);
        stand_in.set_faults(FaultSettings::losing_part(0.5, 7));
        let mut pattern = Vec::new();
        for n in 0..16 {
            let outcome = insert(&client, &format!("k{n}")).await;
            pattern.push(outcome.is_ok());
        }
        assert_eq!(stand_in.stats().transactions, 16);
        patterns.push(pattern);
    }
    assert_eq!(patterns[0], patterns[1]);
    assert!(patterns[0].contains(&true) && patterns[0].contains(&false));
}

#[actix_rt::test]
async fn a_stale_vm_list_shows_the_previous_state() {
    let old = VmEntry {
        id: "e1".parse().unwrap(),
        data_centre: "rajkot-east".parse().unwrap(),
        role: VmRole::Endpoint,
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 8,
        state: EndpointState::Live,
    };
    let leaving = VmEntry {
        state: EndpointState::Leaving,
        ..old.clone()
    };
    let stand_in = PlatformStandIn::start(PlatformSettings {
        vms: vec![old.clone()],
        ..PlatformSettings::default()
    });
    let stand_in = stand_in.unwrap();
    let client = client(&stand_in);
    stand_in.set_vms(vec![leaving.clone()]);
    assert_eq!(client.vm_list().await, Ok(vec![leaving]));
    stand_in.set_faults(FaultSettings {
        stale_vms_ms: 60_000,
        ..FaultSettings::default()
    });
    assert_eq!(client.vm_list().await, Ok(vec![old]));
}

#[actix_rt::test]
async fn faults_are_set_and_counts_are_read_over_http() {
    let stand_in = stand_in();
    let client = client(&stand_in);
    let http = awc::Client::default();
    let url = |path: &str| format!("http://{}/control/{path}", stand_in.address());

    let faults = json!({"down": "unavailable", "answer_loss": {"when": {"lands_later": 5}}});
    let answer = http.put(url("faults")).send_json(&faults).await.unwrap();
    assert_eq!(answer.status(), 204);
    let read = client.vm_list().await;
    assert_eq!(read, Err(ReadError(RequestError::UnexpectedStatus(503))));

    let misspelt = json!({"dwon": "unavailable"});
    let answer = http.put(url("faults")).send_json(&misspelt).await.unwrap();
    assert_eq!(answer.status(), 400);

    http.put(url("faults")).send_json(&json!({})).await.unwrap();
    insert(&client, "k").await.unwrap();
    let mut answer = http.get(url("stats")).send().await.unwrap();
    let stats: serde_json::Value = serde_json::from_slice(&answer.body().await.unwrap()).unwrap();
    assert_eq!(stats["transactions"], 1);
    assert_eq!(stats["rows_written"], 1);
}
