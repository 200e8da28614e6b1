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

use crate::offered::offer_evenly;

const FAST: u32 = 100_000;

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
        longest_turn_wait: Duration::from_secs(10),
        read_rate: CallRate::per_second(FAST),
        write_rate: CallRate::per_second(write_rate),
        ..ClientSettings::default()
    };
    let batching = BatcherSettings {
        max_batch,
        longest_wait: Duration::from_secs(30),
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
        give_up: Instant::now() + time_left,
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

fn names(keys: std::ops::Range<u64>) -> Vec<String> {
    keys.map(|n| format!("k{n}")).collect()
}

#[actix_rt::test]
async fn a_record_is_in_the_store_before_its_request_hears_so() {
    let stand_in = stand_in();
    let recorder = recorder(&stand_in, FAST, 500);
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
    // Forty requests hear that their keys are recorded, although the answer to the batch was lost: after its effect,
    // before it, or with the batch landing while it is read back or sent again. Each batch is all or nothing, so one
    // row tells of all; whichever of two equal batches comes second finds the rows of the first.
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
        let recorder = recorder(&stand_in, FAST, 500);
        stand_in.set_faults(faults);
        let results = record_all(&recorder, 1, &names(0..40)).await;
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
async fn a_taken_key_in_a_batch_does_not_fail_the_others() {
    // Fifty keys go in one batch and three were used before. Those three requests hear who has their key; the other
    // 47 are recorded as if the three had not been there.
    let stand_in = stand_in();
    let earlier = recorder(&stand_in, FAST, 500);
    let taken = ["k3".to_owned(), "k20".to_owned(), "k49".to_owned()];
    record_all(&earlier, 9, &taken).await;

    let recorder = recorder(&stand_in, FAST, 500);
    let results = record_all(&recorder, 1, &names(0..50)).await;
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
async fn of_arrivals_of_one_key_one_is_recorded() {
    // A caller resends a hold at once, to the same entry and to another, with answers lost in between. One arrival
    // hears "recorded" and starts; each other hears of that one's record. Two "recorded" would be a doubled booking.
    for seed in 0..5 {
        let stand_in = stand_in();
        let recorders = [
            recorder(&stand_in, FAST, 500),
            recorder(&stand_in, FAST, 500),
        ];
        stand_in.set_faults(FaultSettings::losing_part(0.4, seed));
        let calls = (0..12).map(|serial| {
            let who = serial % 2;
            let own = record(who, serial);
            let recorder = recorders[usize::from(who == 1)].clone();
            async move { (own, recorder.record(request("hold", own, ms(10_000))).await) }
        });
        let ends = join_all(calls).await;
        let winners: Vec<_> = ends
            .iter()
            .filter(|(_, r)| *r == KeyResult::Recorded)
            .collect();
        assert_eq!(winners.len(), 1, "seed {seed}: {ends:?}");
        let winner = winners[0].0;
        for (own, result) in &ends {
            if *own != winner {
                assert_eq!(*result, KeyResult::Exists(winner), "seed {seed}");
            }
        }
    }
}

#[actix_rt::test]
async fn a_store_that_is_down_refuses_in_time_and_takes_keys_when_it_is_back() {
    // The store refuses connections, or answers 503. A request with 200 ms left hears in time that it may not start
    // and, where nothing was sent, that nothing was recorded. When the store is back the next key is recorded.
    let stand_in = stand_in();
    let recorder = recorder(&stand_in, FAST, 500);
    stand_in.stop().await;
    let start = Instant::now();
    let result = recorder.record(request("a", record(1, 1), ms(200))).await;
    assert!(
        matches!(result, KeyResult::NotRecorded { .. }),
        "{result:?}"
    );
    assert!(start.elapsed() < ms(400), "{:?}", start.elapsed());

    let stand_in = stand_in.restart().unwrap();
    let up_again = recorder.record(request("up", record(1, 2), ms(3000))).await;
    assert_eq!(up_again, KeyResult::Recorded);
    stand_in.set_faults(FaultSettings::down(DownMode::Unavailable));
    let first = recorder.record(request("b", record(1, 3), ms(600)));
    let second = async {
        // Behind the batch in doubt, so never sent.
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
async fn a_record_that_lands_after_its_request_gave_up_names_that_request() {
    // A request gives up while its record is in doubt and hears "uncertain", so it does not start. The record lands
    // afterwards. A retry hears of it, and the incarnation that it names knows that nothing ran.
    let stand_in = stand_in();
    let recorder = recorder(&stand_in, FAST, 500);
    stand_in.set_faults(FaultSettings::losing(1, LossTime::LandsLater(300)));
    let own = record(1, 1);
    let call = recorder.record(request("late", own, ms(60)));
    let cut_off = async {
        // After the write left, nothing more gets through until the request has given up.
        while stand_in.faults().answer_loss.next > 0 {
            actix_rt::time::sleep(ms(1)).await;
        }
        stand_in.set_faults(FaultSettings::down(DownMode::Closed));
    };
    let (result, ()) = futures::future::join(call, cut_off).await;
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
async fn a_row_that_cannot_be_read_starts_nothing() {
    // The key's row holds something else than a record. The request hears that it may not start, within its time.
    let stand_in = stand_in();
    let row = WriteRequest {
        table: "request-keys".into(),
        key: "trust/odd".into(),
        expect: ExpectedVersion::Absent,
        value: json!({"serial": "x"}),
    };
    stand_in.write_now(vec![row]).unwrap();
    let recorder = recorder(&stand_in, FAST, 500);
    let result = recorder.record(request("odd", record(1, 1), ms(200))).await;
    assert_eq!(result, KeyResult::Uncertain);
}

#[actix_rt::test]
async fn batches_grow_with_the_load() {
    // A morning rush brings a thousand keyed requests within a moment, or within a second at a process that may write
    // 30 times a second. At one write a key the last would wait for seconds; in batches all go in a few transactions.
    let cases = [
        (FAST, 500, 1_000_000, 1_000, 1..=8),
        (FAST, 1, 1_000_000, 200, 200..=200),
        (30, 500, 1_000, 1_000, 2..=50),
    ];
    for (write_rate, max_batch, per_second, keys, expected) in cases {
        let stand_in = stand_in();
        let recorder = recorder(&stand_in, write_rate, max_batch);
        offer_evenly(&recorder, 1, per_second, keys).await;
        let transactions = stand_in.stats().transactions;
        assert!(
            expected.contains(&transactions),
            "{transactions}, not {expected:?}"
        );
    }
}
