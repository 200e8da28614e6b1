//! Measures the throughput in keys per second and the added latency of group commit against the platform's stand-in.
//!
//! Run with `cargo run --release -p request-keys --example group_commit`; it takes about 100 s.

#[path = "../tests/offered/mod.rs"]
mod offered;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use kernel::SystemClock;
use platform::{CallRate, ClientSettings, PlatformClient};
use request_keys::{BatcherSettings, KeyRecorder};
use stand_ins::platform::{PlatformSettings, PlatformStandIn};

use crate::offered::record_at_even_rate;

/// A write rate, in writes per second, that never limits a process.
const UNLIMITED_RATE: u32 = 100_000;

/// The settings of one measurement.
struct Measurement {
    name: &'static str,
    vms: u64,
    write_rate: u32,
    max_batch: usize,
}

#[actix_rt::main]
async fn main() {
    let single = Measurement {
        name: "1 VM, one key a write",
        vms: 1,
        write_rate: UNLIMITED_RATE,
        max_batch: 1,
    };
    let batched = Measurement {
        name: "1 VM, batched",
        max_batch: 500,
        ..single
    };
    let paced = Measurement {
        name: "1 VM, 30 writes/s",
        write_rate: 30,
        ..batched
    };
    let eight = Measurement {
        name: "8 VMs, 30 writes/s each",
        vms: 8,
        ..paced
    };
    let eight_slower = Measurement {
        name: "8 VMs, 20 writes/s each",
        write_rate: 20,
        ..eight
    };
    let eight_unpaced = Measurement {
        name: "8 VMs, unpaced",
        write_rate: UNLIMITED_RATE,
        ..eight
    };
    let sixty = Measurement {
        name: "60 VMs, 2 writes/s each",
        vms: 60,
        write_rate: 2,
        ..paced
    };
    let three = Measurement {
        name: "3 VMs, 60 writes/s each",
        vms: 3,
        write_rate: 60,
        ..paced
    };
    let plan: [(&Measurement, &[u64]); 8] = [
        (&three, &[200, 1_000, 5_000]),
        (&single, &[20, 100, 200]),
        (&batched, &[20, 100, 200, 1_000, 5_000, 20_000]),
        (&paced, &[20, 200, 1_000, 5_000]),
        (&eight, &[200, 1_000, 5_000]),
        (&eight_slower, &[200, 1_000, 5_000]),
        (&eight_unpaced, &[200, 1_000, 5_000]),
        (&sixty, &[200, 1_000, 5_000]),
    ];
    for (measurement, rates) in plan {
        for per_second in rates {
            measure(measurement, *per_second).await;
        }
    }
}

/// Submits keys for four seconds, spread evenly over the VMs, and prints throughput and latency.
async fn measure(measurement: &Measurement, per_second: u64) {
    let stand_in = PlatformStandIn::start(PlatformSettings::default()).unwrap();
    let start = Instant::now();
    let vms = (0..measurement.vms).map(|vm| {
        let recorder = recorder(&stand_in, measurement);
        async move {
            record_at_even_rate(
                &recorder,
                vm,
                per_second / measurement.vms,
                per_second * 4 / measurement.vms,
            )
            .await
        }
    });
    let mut latencies = join_all(vms).await.concat();
    latencies.sort_unstable();
    let elapsed = start.elapsed().as_secs_f64();
    let (keys, transactions) = (latencies.len(), stand_in.stats().transactions);
    println!(
        "{}: offered {per_second}/s, done {:.0}/s, {:.1} keys a transaction, {:.0} transactions/s, p50 {:.1} ms, p99 \
         {:.1} ms",
        measurement.name,
        keys as f64 / elapsed,
        keys as f64 / transactions as f64,
        transactions as f64 / elapsed,
        latencies[keys / 2].as_secs_f64() * 1e3,
        latencies[keys * 99 / 100].as_secs_f64() * 1e3,
    );
}

fn recorder(stand_in: &PlatformStandIn, measurement: &Measurement) -> KeyRecorder {
    let settings = ClientSettings {
        address: stand_in.address(),
        write_rate: CallRate::per_second(measurement.write_rate),
        timeout: Duration::from_secs(20),
        max_permit_wait: Duration::from_secs(20),
        ..ClientSettings::default()
    };
    let batching = BatcherSettings {
        max_batch: measurement.max_batch,
        max_wait: Duration::from_secs(30),
        ..BatcherSettings::default()
    };
    let client = PlatformClient::new(settings, Arc::new(SystemClock));
    KeyRecorder::new(client, batching)
}
