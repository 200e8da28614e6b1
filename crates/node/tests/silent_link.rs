//! A connection to an owner that goes silent for good, while the owner's heartbeats arrive and new connections work.

mod support;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use claims::{ClaimRow, Heartbeat, LinkRate, NodeId, PoolNews};
use jobs::FenceToken;
use kernel::{ClockSource, SystemClock};
use model::DataCentreId;
use pool::{PoolLoad, PublishedProfile};
use support::{job, post_job, Platform, CENTRE};
use tokio::net::{TcpListener, UdpSocket};

/// Announces a pool by heartbeats, accepts connections and reads nothing from them. Counts them.
async fn fake_owner(platform: &Platform) -> Rc<std::cell::Cell<usize>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let socket = UdpSocket::bind(address).await.unwrap();
    let row = ClaimRow {
        node: NodeId::from("vm-o"),
        incarnation: 7,
        address,
    };
    let pool = format!("{CENTRE}/0");
    platform
        .store
        .put("claims", &pool, &serde_json::to_value(&row).unwrap());
    let accepted = Rc::new(std::cell::Cell::new(0));
    let count = accepted.clone();
    actix_rt::spawn(async move {
        let mut held = Vec::new();
        loop {
            held.push(listener.accept().await.unwrap());
            count.set(held.len());
        }
    });
    actix_rt::spawn(async move {
        let mut peers: Vec<std::net::SocketAddr> = Vec::new();
        let mut buffer = [0; 8_192];
        loop {
            while let Ok((_, from)) = socket.try_recv_from(&mut buffer) {
                if !peers.contains(&from) {
                    peers.push(from);
                }
            }
            let heartbeat = Heartbeat {
                node: NodeId::from("vm-o"),
                incarnation: 7,
                data_centre: CENTRE.parse::<DataCentreId>().unwrap(),
                cores: 4.0,
                link: LinkRate::from_megabits(1_000.0),
                leaving: false,
                clock: SystemClock.since_boot(),
                reading: None,
                hears: Vec::new(),
                pools: vec![PoolNews {
                    pool: pool.parse().unwrap(),
                    fence: FenceToken(1_000),
                    load: PoolLoad {
                        capacity: 64_000,
                        free: 64_000,
                        ..PoolLoad::default()
                    },
                    start_profile: PublishedProfile::Missing,
                    yielding: false,
                    held: Vec::new(),
                }],
            };
            let bytes = peer::encode_heartbeat(&heartbeat);
            for peer in &peers {
                let _sent = socket.try_send_to(&bytes, *peer);
            }
            actix_rt::time::sleep(Duration::from_millis(40)).await;
        }
    });
    let member = claims::MemberRow {
        node: NodeId::from("vm-o"),
        incarnation: 7,
        data_centre: CENTRE.parse().unwrap(),
        cores: 4.0,
        link: LinkRate::from_megabits(1_000.0),
        address,
        refreshes: 3,
        waits: Vec::new(),
    };
    platform
        .store
        .put("members", "vm-o", &serde_json::to_value(&member).unwrap());
    accepted
}

/// Guards against sending job after job over a silent connection, each of which waits for its whole deadline of 4 s.
#[actix_rt::test]
async fn a_silent_connection_to_an_owner_is_replaced() {
    let platform = Platform::start(1, Duration::from_millis(20)).await;
    let connections = fake_owner(&platform).await;
    let mut settings = platform.node_settings("vm-e");
    settings.cores = 0.1;
    let entry = platform.start_node(settings).await;
    for _ in 0..300 {
        if entry.log_lines().contains("link_opened") {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(connections.get(), 1, "{}", entry.log_lines());
    let sent = Instant::now();
    let (status, _) = post_job(&entry, "5c0e7a21d94b38f1", &job(1, 50)).await;
    let took = sent.elapsed();
    assert_eq!(status, 504);
    assert!(took < Duration::from_millis(1_500), "{took:?}");
    for _ in 0..100 {
        if connections.get() > 1 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no new connection: {}", entry.log_lines());
}
