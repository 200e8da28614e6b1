//! Placement by expected end between data centres, and what fails in it: an owner that is silent, a profile that cannot
//! be read, a clock that stops.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use claims::{ClaimRow, Heartbeat, LinkRate, MemberRow, NodeId, PoolNews};
use jobs::FenceToken;
use kernel::{ClockSource, SystemClock};
use model::{LoadPolicies, PlacementPolicy};
use node::NodeProcess;
use platform_stand_ins::{WorkerPlan, WorkerStandIn};
use pool::{PoolLoad, PublishedProfile, StartProfile};
use settings::NodeSettings;
use support::{job, post_job, spawn_post_job, Platform};
use tokio::net::{TcpListener, UdpSocket};

const POOL: &str = "west/0";

/// How long the runs of the tests take.
const RUN_TIME: Duration = Duration::from_millis(600);

fn settings(platform: &Platform, vm: &str) -> NodeSettings {
    NodeSettings {
        load: LoadPolicies {
            placement: PlacementPolicy::ExpectedEnd,
            ..LoadPolicies::default()
        },
        ..platform.node_settings(vm)
    }
}

/// Announces a pool of another data centre with much free capacity, accepts connections and answers nothing.
/// `profile_version` replaces the first byte of its encoded start profile.
async fn silent_owner(platform: &Platform, profile_version: u8) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let socket = UdpSocket::bind(address).await.unwrap();
    let node = NodeId::from("vm-w");
    let row = ClaimRow {
        node: node.clone(),
        incarnation: 7,
        address,
    };
    let row = serde_json::to_value(&row).unwrap();
    platform.store.put("claims", POOL, &row);
    let member = MemberRow {
        node,
        incarnation: 7,
        data_centre: "west".parse().unwrap(),
        cores: 4.0,
        link: LinkRate::from_megabits(1_000.0),
        address,
        refreshes: 3,
        waits: Vec::new(),
    };
    let member = serde_json::to_value(&member).unwrap();
    platform.store.put("members", "vm-w", &member);
    actix_rt::spawn(async move {
        let mut held = Vec::new();
        loop {
            held.push(listener.accept().await.unwrap());
        }
    });
    actix_rt::spawn(async move {
        let mut peers: Vec<SocketAddr> = Vec::new();
        let mut buffer = [0; 8_192];
        loop {
            while let Ok((_, from)) = socket.try_recv_from(&mut buffer) {
                if !peers.contains(&from) {
                    peers.push(from);
                }
            }
            let bytes = heartbeat_bytes(profile_version);
            for peer in &peers {
                let _sent = socket.try_send_to(&bytes, *peer);
            }
            actix_rt::time::sleep(Duration::from_millis(40)).await;
        }
    });
}

fn heartbeat_bytes(profile_version: u8) -> Vec<u8> {
    // None of the first eight bytes is zero, so that they stand in the packed message as they are.
    let profile = StartProfile::new(0x0101_0101, 1.0, [0x0101; 5]);
    let profile = PublishedProfile::Known(profile);
    let heartbeat = Heartbeat {
        node: NodeId::from("vm-w"),
        incarnation: 7,
        data_centre: "west".parse().unwrap(),
        cores: 4.0,
        link: LinkRate::from_megabits(1_000.0),
        leaving: false,
        clock: SystemClock.since_boot(),
        reading: None,
        hears: Vec::new(),
        pools: vec![PoolNews {
            pool: POOL.parse().unwrap(),
            fence: FenceToken(1_000),
            load: PoolLoad {
                capacity: 64_000,
                free: 64_000,
                ..PoolLoad::default()
            },
            start_profile: profile,
            yielding: false,
            held: Vec::new(),
        }],
    };
    let mut bytes = peer::encode_heartbeat(&heartbeat);
    let encoded = &profile.encode()[..8];
    let found = bytes.windows(8).position(|window| window == encoded);
    bytes[found.unwrap()] = profile_version;
    bytes
}

async fn wait_for_line(node: &NodeProcess, text: &str) {
    for _ in 0..500 {
        if node.log_lines().contains(text) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no {text}: {}", node.log_lines());
}

/// The lines of an event.
fn event_lines(node: &NodeProcess, event: &str) -> Vec<String> {
    let event = format!(r#""event":"{event}""#);
    let log = node.log_lines();
    let lines = log.lines().filter(|line| line.contains(&event));
    lines.map(str::to_owned).collect()
}

/// Guards against refusing a job while another data centre has free workers, and against sending one there that its own
/// data centre can run in time.
#[actix_rt::test]
async fn only_a_job_without_a_local_place_goes_to_another_data_centre() {
    let mut platform = Platform::start(1, RUN_TIME).await;
    let east = platform.start_node(settings(&platform, "vm-e")).await;
    let plan = WorkerPlan {
        id: "i-west".to_owned(),
        run_time: RUN_TIME,
        ..WorkerPlan::default()
    };
    let worker = WorkerStandIn::start(plan).await;
    let row = worker.entry("svc", "west", "ready");
    platform.store.put("servers", "i-west", &row);
    platform.workers.push(worker);
    let west = NodeSettings {
        data_centre: "west".parse().unwrap(),
        ..settings(&platform, "vm-w")
    };
    let west = platform.start_node(west).await;
    wait_for_line(&east, "link_opened").await;
    wait_for_line(&west, "worker_answers").await;
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    let first = spawn_post_job(&east, "5c0e7a21d94b3801", job(2, 600));
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let second = post_job(&east, "5c0e7a21d94b3802", &job(2, 600)).await;
    let statuses = (first.await.unwrap().0, second.0);
    assert_eq!(statuses, (200, 200), "{}", east.log_lines());
    let runs = platform.workers.iter().map(|worker| worker.runs().len());
    assert_eq!(runs.collect::<Vec<_>>(), [2, 2], "{}", east.log_lines());
    let rounds = event_lines(&east, "offers_asked");
    let [round] = rounds.as_slice() else {
        panic!("{rounds:?}");
    };
    assert!(round.contains("5c0e7a21d94b3802"), "{round}");
    assert!(round.contains(r#""outcome":"remote""#), "{round}");
    assert_eq!(event_lines(&west, "offer_made").len(), 1);
}

/// Guards against a job that waits for its whole deadline of 4 s because it was sent to an owner in another data centre
/// that cannot be reached while its heartbeats still arrive.
#[actix_rt::test]
async fn a_silent_owner_elsewhere_costs_only_the_wait_for_its_offer() {
    let platform = Platform::start(1, RUN_TIME).await;
    silent_owner(&platform, 1).await;
    let entry = platform.start_node(settings(&platform, "vm-e")).await;
    wait_for_line(&entry, "link_opened").await;
    wait_for_line(&entry, "worker_answers").await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let sent = Instant::now();
    let (status, _) = post_job(&entry, "5c0e7a21d94b3803", &job(6, 600)).await;
    let took = sent.elapsed();
    let log = entry.log_lines();
    assert_eq!(status, 429, "{log}");
    assert!(took < Duration::from_millis(400), "{took:?}\n{log}");
    let rounds = event_lines(&entry, "offers_asked");
    let [round] = rounds.as_slice() else {
        panic!("{rounds:?}");
    };
    assert!(round.contains(r#""pools":2,"answered":1"#), "{round}");
    assert!(event_lines(&entry, "profile_unreadable").is_empty());
}

/// Guards against dropping the heartbeats of an owner whose profile has a newer encoding, and against logging that with
/// each of them.
#[actix_rt::test]
async fn an_unreadable_profile_is_ignored_and_logged_once() {
    let platform = Platform::start(1, Duration::from_millis(20)).await;
    silent_owner(&platform, 2).await;
    let entry = platform.start_node(settings(&platform, "vm-e")).await;
    wait_for_line(&entry, "link_opened").await;
    wait_for_line(&entry, "worker_answers").await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let (status, _) = post_job(&entry, "5c0e7a21d94b3804", &job(1, 20)).await;
    assert_eq!(status, 200, "{}", entry.log_lines());
    let lines = event_lines(&entry, "profile_unreadable");
    assert_eq!(lines.len(), 1, "{lines:?}");
}

/// The system's clock on a machine that a test can suspend for a while without waiting.
#[derive(Default)]
struct SuspendableClock(AtomicU64);

impl ClockSource for SuspendableClock {
    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn since_boot(&self) -> Duration {
        SystemClock.since_boot() + Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Guards against submitting a job after a pause in the round of offers: its customer may have run it elsewhere.
#[actix_rt::test]
async fn a_job_is_not_submitted_after_a_pause_in_its_offer_round() {
    let platform = Platform::start(1, RUN_TIME).await;
    silent_owner(&platform, 1).await;
    let clock = Arc::new(SuspendableClock::default());
    let settings = settings(&platform, "vm-e");
    let entry = platform.start_node_on(settings, clock.clone()).await;
    wait_for_line(&entry, "link_opened").await;
    wait_for_line(&entry, "worker_answers").await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let answer = spawn_post_job(&entry, "5c0e7a21d94b3805", job(4, 600));
    actix_rt::time::sleep(Duration::from_millis(40)).await;
    clock.0.fetch_add(700, Ordering::Relaxed);
    let status = answer.await.unwrap().0;
    let log = entry.log_lines();
    assert_eq!(status, 503, "{log}");
    let submissions = event_lines(&entry, "job_asked");
    assert!(submissions.len() <= 1, "{log}");
    assert!(platform.workers[0].runs().is_empty(), "{log}");
}
