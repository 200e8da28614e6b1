//! Measures keys a second and the added latency of group commit against the platform's stand-in.
//!
//! `cargo run --release -p request-keys --example group_commit`, some 100 s.

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

use crate::offered::offer_evenly;

/// A rate that never holds a process back.
const UNLIMITED: u32 = 100_000;

/// One measurement.
struct Offer {
    name: &'static str,
    vms: u64,
    write_rate: u32,
    max_batch: usize,
}

#[actix_rt::main]
async fn main() {
    let single = Offer {
        name: "1 VM, one key a write",
        vms: 1,
        write_rate: UNLIMITED,
        max_batch: 1,
    };
    let batched = Offer {
        name: "1 VM, batched",
        max_batch: 500,
        ..single
    };
    let paced = Offer {
        name: "1 VM, 30 writes/s",
        write_rate: 30,
        ..batched
    };
    let eight = Offer {
        name: "8 VMs, 30 writes/s each",
        vms: 8,
        ..paced
    };
    let eight_slower = Offer {
        name: "8 VMs, 20 writes/s each",
        write_rate: 20,
        ..eight
    };
    let eight_unpaced = Offer {
        name: "8 VMs, unpaced",
        write_rate: UNLIMITED,
        ..eight
    };
    let sixty = Offer {
        name: "60 VMs, 2 writes/s each",
        vms: 60,
        write_rate: 2,
        ..paced
    };
    let three = Offer {
        name: "3 VMs, 60 writes/s each",
        vms: 3,
        write_rate: 60,
        ..paced
    };
    let plan: [(&Offer, &[u64]); 8] = [
        (&three, &[200, 1_000, 5_000]),
        (&single, &[20, 100, 200]),
        (&batched, &[20, 100, 200, 1_000, 5_000, 20_000]),
        (&paced, &[20, 200, 1_000, 5_000]),
        (&eight, &[200, 1_000, 5_000]),
        (&eight_slower, &[200, 1_000, 5_000]),
        (&eight_unpaced, &[200, 1_000, 5_000]),
        (&sixty, &[200, 1_000, 5_000]),
    ];
    for (offer, rates) in plan {
        for per_second in rates {
            measure(offer, *per_second).await;
        }
    }
}

/// Offers keys for four seconds, spread evenly over the VMs.
async fn measure(offer: &Offer, per_second: u64) {
    let stand_in = PlatformStandIn::start(PlatformSettings::default()).unwrap();
    let start = Instant::now();
    let vms = (0..offer.vms).map(|vm| {
        let recorder = recorder(&stand_in, offer);
        async move {
            offer_evenly(
                &recorder,
                vm,
                per_second / offer.vms,
                per_second * 4 / offer.vms,
            )
            .await
        }
    });
    let mut latencies = join_all(vms).await.concat();
    latencies.sort_unstable();
    let took = start.elapsed().as_secs_f64();
    let (keys, transactions) = (latencies.len(), stand_in.stats().transactions);
    println!(
        "{}: offered {per_second}/s, done {:.0}/s, {:.1} keys a transaction, {:.0} transactions/s, p50 {:.1} ms, p99 \
         {:.1} ms",
        offer.name,
        keys as f64 / took,
        keys as f64 / transactions as f64,
        transactions as f64 / took,
        latencies[keys / 2].as_secs_f64() * 1e3,
        latencies[keys * 99 / 100].as_secs_f64() * 1e3,
    );
}

fn recorder(stand_in: &PlatformStandIn, offer: &Offer) -> KeyRecorder {
    let settings = ClientSettings {
        address: stand_in.address(),
        write_rate: CallRate::per_second(offer.write_rate),
        timeout: Duration::from_secs(20),
        max_permit_wait: Duration::from_secs(20),
        ..ClientSettings::default()
    };
    let batching = BatcherSettings {
        max_batch: offer.max_batch,
        longest_wait: Duration::from_secs(30),
        ..BatcherSettings::default()
    };
    let client = PlatformClient::new(settings, Arc::new(SystemClock));
    KeyRecorder::new(client, batching)
}
