//! Load generator that records keys at an even rate.

use std::time::{Duration, Instant};

use futures::future::join_all;
use model::IncarnationId;
use request_keys::{BodyDigest, KeyRecord, KeyRecorder, KeyRequest, KeyResult, RequestKey};

/// Records keys at an even rate, asserts that each is recorded, and returns the latencies in ascending order.
pub(crate) async fn record_at_even_rate(
    recorder: &KeyRecorder,
    incarnation: u64,
    per_second: u64,
    keys: u64,
) -> Vec<Duration> {
    let start = Instant::now();
    let calls = (0..keys).map(|n| async move {
        let due = start + Duration::from_micros(n * 1_000_000 / per_second);
        actix_rt::time::sleep_until(due.into()).await;
        let begin = Instant::now();
        assert_eq!(
            recorder.record(request(incarnation, n)).await,
            KeyResult::Recorded
        );
        begin.elapsed()
    });
    let mut latencies = join_all(calls).await;
    latencies.sort_unstable();
    latencies
}

fn request(incarnation: u64, serial: u64) -> KeyRequest {
    KeyRequest {
        key: RequestKey {
            customer: "trust".parse().unwrap(),
            key: format!("k{incarnation}-{serial}").parse().unwrap(),
        },
        record: KeyRecord {
            incarnation: IncarnationId(incarnation),
            serial,
            body_digest: BodyDigest(7),
        },
        deadline: Instant::now() + Duration::from_secs(20),
    }
}
