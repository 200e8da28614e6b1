//! An owner of a pool that is not a node: a test decides how it answers.

use std::{net::SocketAddr, time::Duration};

use claims::{ClaimRow, Heartbeat, LinkRate, MemberRow, NodeId, PoolNews};
use jobs::FenceToken;
use kernel::{ClockSource, SystemClock};
use model::DataCentreId;
use pool::{PoolLoad, PublishedProfile};
use tokio::net::{TcpListener, UdpSocket};

use crate::support::Platform;

const INCARNATION: u64 = 7;
const CORES: f64 = 4.0;

/// Announces the first pool of a data centre by a claim and by heartbeats. Entries connect to the returned listener.
pub(crate) async fn announce_pool(
    platform: &Platform,
    node: &'static str,
    centre: &str,
) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let socket = UdpSocket::bind(address).await.unwrap();
    let row = ClaimRow {
        node: NodeId::from(node),
        incarnation: INCARNATION,
        address,
    };
    let pool = format!("{centre}/0");
    platform
        .store
        .put("claims", &pool, &serde_json::to_value(&row).unwrap());
    let centre: DataCentreId = centre.parse().unwrap();
    let member = MemberRow {
        node: NodeId::from(node),
        incarnation: INCARNATION,
        data_centre: centre.clone(),
        cores: CORES,
        link: LinkRate::from_megabits(1_000.0),
        address,
        refreshes: 3,
        waits: Vec::new(),
    };
    actix_rt::spawn(async move {
        let mut peers: Vec<SocketAddr> = Vec::new();
        let mut buffer = [0; 8_192];
        loop {
            while let Ok((_, from)) = socket.try_recv_from(&mut buffer) {
                if !peers.contains(&from) {
                    peers.push(from);
                }
            }
            let bytes = peer::encode_heartbeat(&heartbeat(node, &centre, &pool));
            for peer in &peers {
                let _sent = socket.try_send_to(&bytes, *peer);
            }
            actix_rt::time::sleep(Duration::from_millis(40)).await;
        }
    });
    platform
        .store
        .put("members", node, &serde_json::to_value(&member).unwrap());
    listener
}

fn heartbeat(node: &str, centre: &DataCentreId, pool: &str) -> Heartbeat {
    Heartbeat {
        node: NodeId::from(node),
        incarnation: INCARNATION,
        data_centre: centre.clone(),
        cores: CORES,
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
    }
}
