//! Contract tests of the client against the stand-in over loopback.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::SystemClock;
use model::{EndpointState, VmEntry, VmRole};
use platform::{
    CallFailure, CallRate, ClientSettings, CommitError, ExpectedVersion, PlatformClient, ReadError,
    RowVersion, RowWrite, StoreKey, TableName,
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

/// Waits for a condition; the limit only ends a test that would hang.
async fn wait_until(what: &str, mut met: impl FnMut() -> bool) {
    let start = Instant::now();
    for _ in 0.. {
        if met() {
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "waited for {what}"
        );
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

#[actix_rt::test]
async fn rows_objects_and_vms_come_back_as_written() {
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
async fn one_conflict_undoes_the_whole_transaction_and_every_conflict_is_named() {
    // A caller sees a conflict and may take it that nothing of its transaction took effect. Two of three writes
    // meet rows that are not as expected; the third would have been fine and must not be there afterwards.
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
    let named: Vec<_> = conflicts
        .iter()
        .map(|c| (c.key.as_str(), c.version))
        .collect();
    assert_eq!(named, [("taken", Some(RowVersion(1))), ("gone", None)]);
    assert_eq!(stand_in.row("request-keys", "free"), None);
}

/// How a write ends for the caller.
#[derive(Debug, PartialEq, Eq)]
enum WriteEnd {
    Committed,
    Conflict,
    NotSent,
    Uncertain,
}

impl From<Result<Vec<RowVersion>, CommitError>> for WriteEnd {
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
async fn a_write_says_no_effect_only_when_it_had_none() {
    // The caller sees how its write ended. A fault strikes before, during or after the effect; the connection is
    // new or kept alive from an earlier call. Only where no byte left this process may the client say "not sent":
    // a caller that heard so starts the work elsewhere, and a write that took effect after all would run it twice.
    let race = RacingWrite::before("request-keys", "k", 1, vec![]);
    let race = FaultSettings::racing(race);
    let slow = FaultSettings {
        slow_ms: 600,
        ..FaultSettings::default()
    };
    use DownMode::{Closed, Unavailable, WritesUnavailable};
    use LossTime::{AfterWrite, BeforeWrite, LandsLater};
    use WriteEnd::{Committed, Conflict, Uncertain};
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
        for (name, faults, expected, there) in &cases {
            let stand_in = stand_in();
            let client = client(&stand_in);
            if warm {
                client.vm_list().await.unwrap();
            }
            stand_in.set_faults(faults.clone());
            let end = insert(&client, "k").await;
            assert_eq!(&WriteEnd::from(end), expected, "{name}, warm {warm}");
            if *there {
                wait_until(name, || stand_in.row("request-keys", "k").is_some()).await;
            } else if *name != "slow" {
                // A slow write has no fixed end: it may land after the caller gave up.
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
async fn a_refused_connection_is_not_sent_and_the_store_comes_back() {
    // The platform stops listening while the client holds a kept-alive connection, then comes back. The caller sees
    // a definite "not sent" in between, because the dead connection is noticed and a new one is refused.
    let stand_in = stand_in();
    let client = client(&stand_in);
    insert(&client, "before").await.unwrap();
    stand_in.stop().await;

    // Until this side's socket shows that the peer closed, a write may still leave on it: that is uncertain.
    let limit = Instant::now() + Duration::from_secs(10);
    for _ in 0.. {
        match insert(&client, "during").await {
            Err(CommitError::NotSent(CallFailure::NoConnection(_))) => break,
            Err(CommitError::Uncertain(_)) => assert!(Instant::now() < limit),
            other => panic!("{other:?}"),
        }
    }
    let read = client.get_row(TableName::RequestKeys, &key("before")).await;
    assert!(
        matches!(read, Err(ReadError(CallFailure::NoConnection(_)))),
        "{read:?}"
    );

    let stand_in = stand_in.restart().unwrap();
    let read = client.get_row(TableName::RequestKeys, &key("before")).await;
    assert_eq!(read.unwrap().unwrap().version, RowVersion(1));
    assert_eq!(stand_in.row("request-keys", "during"), None);
}

#[actix_rt::test]
async fn a_process_over_its_rate_is_turned_away_before_it_sends() {
    // A burst of a hundred writes comes at a process that may send five a second and wait 500 ms at most. The caller
    // sees "not sent" with when to come back, and the store sees no more than the burst, since a queue of this VM's
    // writes in the store would time out the writes of every other VM.
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
    let ends = futures::future::join_all(calls).await;
    let mut committed = 0;
    for end in ends {
        match end {
            Ok(_) => committed += 1,
            Err(CommitError::NotSent(CallFailure::OverRate { retry_after })) => {
                assert!(retry_after > Duration::from_millis(500));
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((10..=14).contains(&committed), "{committed} committed");
    assert_eq!(stand_in.stats().transactions, committed);
}

#[actix_rt::test]
async fn lost_answers_by_fraction_are_the_same_for_the_same_seed() {
    let mut patterns = Vec::new();
    for _ in 0..2 {
        let stand_in = stand_in();
        let client = client(&stand_in);
        stand_in.set_faults(FaultSettings::losing_part(0.5, 7));
        let mut pattern = Vec::new();
        for n in 0..16 {
            let end = insert(&client, &format!("k{n}")).await;
            pattern.push(end.is_ok());
        }
        assert_eq!(stand_in.stats().transactions, 16);
        patterns.push(pattern);
    }
    assert_eq!(patterns[0], patterns[1]);
    assert!(patterns[0].contains(&true) && patterns[0].contains(&false));
}

#[actix_rt::test]
async fn a_stale_vm_list_is_the_one_of_before() {
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
async fn faults_and_counts_are_reached_over_http() {
    let stand_in = stand_in();
    let client = client(&stand_in);
    let http = awc::Client::default();
    let url = |path: &str| format!("http://{}/control/{path}", stand_in.address());

    let faults = json!({"down": "unavailable", "answer_loss": {"when": {"lands_later": 5}}});
    let answer = http.put(url("faults")).send_json(&faults).await.unwrap();
    assert_eq!(answer.status(), 204);
    let read = client.vm_list().await;
    assert_eq!(read, Err(ReadError(CallFailure::WrongStatus(503))));

    let wrong = json!({"dwon": "unavailable"});
    let answer = http.put(url("faults")).send_json(&wrong).await.unwrap();
    assert_eq!(answer.status(), 400);

    http.put(url("faults")).send_json(&json!({})).await.unwrap();
    insert(&client, "k").await.unwrap();
    let mut answer = http.get(url("stats")).send().await.unwrap();
    let stats: serde_json::Value = serde_json::from_slice(&answer.body().await.unwrap()).unwrap();
    assert_eq!(stats["transactions"], 1);
    assert_eq!(stats["rows_written"], 1);
}
