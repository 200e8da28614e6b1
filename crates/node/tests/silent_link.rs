//! A connection to an owner that goes silent for good, while the owner's heartbeats arrive and new connections work.

#[path = "support/fake_owner.rs"]
mod fake_owner;
mod support;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use fake_owner::announce_pool;
use support::{job, post_job, Platform, CENTRE};

/// Announces a pool, accepts connections and reads nothing from them. Counts them.
async fn fake_owner(platform: &Platform) -> Rc<Cell<usize>> {
    let listener = announce_pool(platform, "vm-o", CENTRE).await;
    let accepted = Rc::new(Cell::new(0));
    let count = accepted.clone();
    actix_rt::spawn(async move {
        let mut held = Vec::new();
        loop {
            held.push(listener.accept().await.unwrap());
            count.set(held.len());
        }
    });
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
