//! Contract tests of the recorder against the platform's stand-in over loopback.

mod offered;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use kernel::SystemClock;
use model::IncarnationId;
use platform::{CallRate, ClientSettings, PlatformClient};
use request_keys::{
    BatcherSettings, BodyDigest, KeyRecord, KeyRecorder, KeyRequest, KeyResult, RequestKey,
};
use serde_json::json;
use stand_ins::platform::{
    DownMode, ExpectedVersion, FaultSettings, LossTime, PlatformSettings, PlatformStandIn,
    WriteRequest,
};

use crate::offered::record_at_even_rate;

const UNLIMITED_RATE: u32 = 100_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn stand_in() -> PlatformStandIn {
    PlatformStandIn::start(PlatformSettings::default()).unwrap()
}

fn recorder(stand_in: &PlatformStandIn, write_rate: u32, max_batch: usize) -> KeyRecorder {
    let settings = ClientSettings {
        address: stand_in.address(),
        timeout: ms(300),
        max_permit_wait: Duration::from_secs(10),
        read_rate: CallRate::per_second(UNLIMITED_RATE),
        write_rate: CallRate::per_second(write_rate),
        ..ClientSettings::default()
    };
    let batching = BatcherSettings {
        max_batch,
        max_wait: Duration::from_secs(30),
        ..BatcherSettings::default()
    };
    let client = PlatformClient::new(settings, Arc::new(SystemClock));
    KeyRecorder::new(client, batching)
}

fn record(incarnation: u64, serial: u64) -> KeyRecord {
    KeyRecord {
        incarnation: IncarnationId(incarnation),
        serial,
        body_digest: BodyDigest(0xfeed),
    }
}

fn request(key: &str, record: KeyRecord, time_left: Duration) -> KeyRequest {
    KeyRequest {
        key: RequestKey {
            customer: "trust".parse().unwrap(),
            key: key.parse().unwrap(),
        },
        record,
        deadline: Instant::now() + time_left,
    }
}

async fn record_all(recorder: &KeyRecorder, incarnation: u64, keys: &[String]) -> Vec<KeyResult> {
    let calls = (0..).zip(keys).map(|(serial, key)| {
        recorder.record(request(
            key,
            record(incarnation, serial),
            Duration::from_secs(20),
        ))
    });
    join_all(calls).await
}

fn numbered_keys(keys: std::ops::Range<u64>) -> Vec<String> {
    keys.map(|n| format!("k{n}")).collect()
}

#[actix_rt::test]
async fn a_record_is_stored_before_its_request_gets_recorded() {
    let stand_in = stand_in();
    let recorder = recorder(&stand_in, UNLIMITED_RATE, 500);
    let own = record(1, 5);
    let result = recorder.record(request("hold-7", own, ms(1000))).await;
    assert_eq!(result, KeyResult::Recorded);
    let row = stand_in.row("request-keys", "trust/hold-7").unwrap();
    let expected = json!({
        "incarnation": "0000000000000001", "serial": 5, "body_digest": "000000000000feed",
    });
    assert_eq!(row.value, expected);
}

#[actix_rt::test]
async fn a_lost_answer_is_read_back_and_each_key_recorded_once() {
    // Forty requests are answered "recorded" although the answer to their batch was lost: after the write, before it,
    // or with the write applied while the batch is read back or sent again. A batch is all or nothing, so one row
    // decides for all; whichever of two equal batches arrives second conflicts with the rows of the first.
    use LossTime::{AfterWrite, BeforeWrite, LandsLater};
    let lose = FaultSettings::losing;
    let cases = [
        ("after", lose(1, AfterWrite)),
        ("before", lose(1, BeforeWrite)),
        ("before, three times", lose(3, BeforeWrite)),
        ("lands while read back", lose(1, LandsLater(2))),
        ("lands late, three times", lose(3, LandsLater(30))),
    ];
    for (name, faults) in cases {
        let stand_in = stand_in();
        let recorder = recorder(&stand_in, UNLIMITED_RATE, 500);
        stand_in.set_faults(faults);
        let results = record_all(&recorder, 1, &numbered_keys(0..40)).await;
        assert!(
            results.iter().all(|r| *r == KeyResult::Recorded),
            "{name}: {results:?}"
        );
        actix_rt::time::sleep(ms(60)).await;
        assert_eq!(stand_in.stats().rows_written, 40, "{name}");
        let row = stand_in.row("request-keys", "trust/k39").unwrap();
        assert_eq!(
            (row.version, &row.value["serial"]),
            (1, &json!(39)),
            "{name}"
        );
    }
}

#[actix_rt::test]
async fn a_conflicting_key_in_a_batch_does_not_fail_the_others() {
    // Fifty keys go in one batch and three were used before. Those three requests get the existing record; the other 47
    // are recorded as if the three had not been in the batch.
    let stand_in = stand_in();
    let earlier = recorder(&stand_in, UNLIMITED_RATE, 500);
    let taken = ["k3".to_owned(), "k20".to_owned(), "k49".to_owned()];
    record_all(&earlier, 9, &taken).await;

    let recorder = recorder(&stand_in, UNLIMITED_RATE, 500);
    let results = record_all(&recorder, 1, &numbered_keys(0..50)).await;
    for (n, result) in results.iter().enumerate() {
        let expected = match n {
            3 => KeyResult::Exists(record(9, 0)),
            20 => KeyResult::Exists(record(9, 1)),
            49 => KeyResult::Exists(record(9, 2)),
            _ => KeyResult::Recorded,
        };
        assert_eq!(*result, expected, "key {n}");
    }
    let stats = stand_in.stats();
    assert_eq!(stats.rows_written, 50);
    println!("50 keys, 3 taken: {stats:?}");
}

#[actix_rt::test]
async fn only_one_of_several_requests_with_one_key_is_recorded() {
    // A caller resends a request at once, to the same entry and to another, while answers are lost. One arrival is
    // answered "recorded" and starts; the others get its record. Two "recorded" answers would run the request twice.
    for seed in 0..5 {
        let stand_in = stand_in();
        let recorders = [
            recorder(&stand_in, UNLIMITED_RATE, 500),
            recorder(&stand_in, UNLIMITED_RATE, 500),
        ];
        stand_in.set_faults(FaultSettings::losing_part(0.4, seed));
        let calls = (0..12).map(|serial| {
            let incarnation = serial % 2;
            let own = record(incarnation, serial);
            let recorder = recorders[usize::from(incarnation == 1)].clone();
            async move { (own, recorder.record(request("hold", own, ms(10_000))).await) }
        });
        let results = join_all(calls).await;
        let winners: Vec<_> = results
            .iter()
            .filter(|(_, r)| *r == KeyResult::Recorded)
            .collect();
        assert_eq!(winners.len(), 1, "seed {seed}: {results:?}");
        let winner = winners[0].0;
        for (own, result) in &results {
            if *own != winner {
                assert_eq!(*result, KeyResult::Exists(winner), "seed {seed}");
            }
        }
    }
}

#[actix_rt::test]
async fn keys_are_refused_in_time_during_an_outage_and_recorded_after_it() {
    // The store refuses connections, or answers 503. A request with 200 ms left is refused in time, and where nothing
    // was sent the result is "not recorded". Once the store has recovered, the next key is recorded.
    let stand_in = stand_in();
    let recorder = recorder(&stand_in, UNLIMITED_RATE, 500);
    stand_in.stop().await;
    let start = Instant::now();
    let result = recorder.record(request("a", record(1, 1), ms(200))).await;
    assert!(
        matches!(result, KeyResult::NotRecorded { .. }),
        "{result:?}"
    );
    assert!(start.elapsed() < ms(400), "{:?}", start.elapsed());

    let stand_in = stand_in.restart().unwrap();
    let after_restart = recorder.record(request("up", record(1, 2), ms(3000))).await;
    assert_eq!(after_restart, KeyResult::Recorded);
    stand_in.set_faults(FaultSettings::down(DownMode::Unavailable));
    let first = recorder.record(request("b", record(1, 3), ms(600)));
    let second = async {
        // This key is queued behind the batch in doubt, so it is never sent.
        while recorder.queue_len() > 0 {
            actix_rt::time::sleep(ms(1)).await;
        }
        recorder.record(request("c", record(1, 4), ms(200))).await
    };
    let (first, second) = futures::future::join(first, second).await;
    assert_eq!(first, KeyResult::Uncertain);
    assert!(
        matches!(second, KeyResult::NotRecorded { .. }),
        "{second:?}"
    );

    stand_in.set_faults(FaultSettings::default());
    let result = recorder.record(request("a", record(1, 5), ms(3000))).await;
    assert_eq!(result, KeyResult::Recorded);
    assert_eq!(stand_in.row("request-keys", "trust/c"), None);
}

#[actix_rt::test]
async fn a_record_written_after_its_request_timed_out_names_that_request() {
    // A request times out while its record is in doubt and is answered "uncertain", so it does not start. The record is
    // written afterwards. A retry gets that record, and the incarnation it names knows that nothing ran.
    let stand_in = stand_in();
    let recorder = recorder(&stand_in, UNLIMITED_RATE, 500);
    stand_in.set_faults(FaultSettings::losing(1, LossTime::LandsLater(300)));
    let own = record(1, 1);
    let call = recorder.record(request("late", own, ms(60)));
    let cut_connections = async {
        // Once the write has been sent, the store refuses connections until the request has timed out.
        while stand_in.faults().answer_loss.next > 0 {
            actix_rt::time::sleep(ms(1)).await;
        }
        stand_in.set_faults(FaultSettings::down(DownMode::Closed));
    };
    let (result, ()) = futures::future::join(call, cut_connections).await;
    assert_ne!(result, KeyResult::Recorded);
    stand_in.set_faults(FaultSettings::default());
    while stand_in.row("request-keys", "trust/late").is_none() {
        actix_rt::time::sleep(ms(5)).await;
    }
    let retry = recorder
        .record(request("late", record(2, 8), ms(3000)))
        .await;
    assert_eq!(retry, KeyResult::Exists(own));
}

#[actix_rt::test]
async fn an_unreadable_row_gives_an_uncertain_result() {
    // The key's row does not hold a valid record. By its deadline the request is answered "uncertain", so it does not
    // start.
    let stand_in = stand_in();
    let row = WriteRequest {
        table: "request-keys".into(),
        key: "trust/odd".into(),
        expect: ExpectedVersion::Absent,
        value: json!({"serial": "x"}),
    };
    stand_in.write_now(vec![row]).unwrap();
    let recorder = recorder(&stand_in, UNLIMITED_RATE, 500);
    let result = recorder.record(request("odd", record(1, 1), ms(200))).await;
    assert_eq!(result, KeyResult::Uncertain);
}

#[actix_rt::test]
async fn batches_grow_with_the_load() {
    // A thousand keyed requests arrive within a moment, or within a second at a process limited to 30 writes a second.
    // With one write per key the last request would wait for seconds; with batches a few transactions suffice.
    let cases = [
        (UNLIMITED_RATE, 500, 1_000_000, 1_000, 1..=8),
        (UNLIMITED_RATE, 1, 1_000_000, 200, 200..=200),
        (30, 500, 1_000, 1_000, 2..=50),
    ];
    for (write_rate, max_batch, per_second, keys, expected) in cases {
        let stand_in = stand_in();
        let recorder = recorder(&stand_in, write_rate, max_batch);
        record_at_even_rate(&recorder, 1, per_second, keys).await;
        let transactions = stand_in.stats().transactions;
        assert!(
            expected.contains(&transactions),
            "{transactions}, not {expected:?}"
        );
    }
}
