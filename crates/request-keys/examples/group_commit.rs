//! Measures keys a second and the added latency of group commit against the platform's stand-in.
//!
//! `cargo run --release -p request-keys --example group_commit`, some 30 s.

#[path = "../tests/offered/mod.rs"]
mod offered;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::SystemClock;
use platform::{CallRate, ClientSettings, PlatformClient};
use request_keys::{BatcherSettings, KeyRecorder};
use stand_ins::platform::{PlatformSettings, PlatformStandIn};

use crate::offered::offer_evenly;

/// A rate that never holds a process back.
const UNLIMITED: u32 = 100_000;

#[actix_rt::main]
async fn main() {
    for per_second in [20, 100, 200] {
        measure("one key a write", UNLIMITED, 1, per_second).await;
    }
    for per_second in [20, 100, 200, 1_000, 5_000, 20_000] {
        measure("batched", UNLIMITED, 500, per_second).await;
    }
    for per_second in [20, 200, 1_000, 5_000] {
        measure("batched, 30 writes/s", 30, 500, per_second).await;
    }
}

async fn measure(name: &str, write_rate: u32, max_batch: usize, per_second: u64) {
    let stand_in = PlatformStandIn::start(PlatformSettings::default()).unwrap();
    let settings = ClientSettings {
        address: stand_in.address(),
        write_rate: CallRate::per_second(write_rate),
        ..ClientSettings::default()
    };
    let batching = BatcherSettings {
        max_batch,
        longest_wait: Duration::from_secs(30),
        ..BatcherSettings::default()
    };
    let client = PlatformClient::new(settings, Arc::new(SystemClock));
    let recorder = KeyRecorder::new(client, batching);
    let keys = per_second * 2;
    let start = Instant::now();
    let latencies = offer_evenly(&recorder, per_second, keys).await;
    let took = start.elapsed().as_secs_f64();
    let transactions = stand_in.stats().transactions;
    println!(
        "{name}: offered {per_second}/s, done {:.0}/s, {:.1} keys a transaction, {:.0} transactions/s, p50 {:.1} ms, \
         p99 {:.1} ms",
        keys as f64 / took,
        keys as f64 / transactions as f64,
        transactions as f64 / took,
        latencies[latencies.len() / 2].as_secs_f64() * 1e3,
        latencies[latencies.len() * 99 / 100].as_secs_f64() * 1e3,
    );
}
