//! Connections that waited to be accepted while the process stood still.

use std::{cell::Cell, net::TcpStream, time::Duration};

use kernel::{serve_with_drain, AcceptDrain};
use tokio::{net::TcpListener, time::timeout};

/// Guards against regarding the accept queue as empty while connections wait in it.
#[actix_rt::test]
async fn a_drain_ends_once_all_waiting_connections_are_accepted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect(address).unwrap();
    let _customers: Vec<TcpStream> = (0..3).map(connect).collect();
    let drain = AcceptDrain::default();
    drain.begin();
    let accepted = Cell::new(0);
    let server = serve_with_drain(listener, &drain, |stream| {
        assert!(drain.is_pending());
        accepted.set(accepted.get() + 1);
        async move { drop(stream) }
    });
    assert!(timeout(Duration::from_millis(200), server).await.is_err());
    assert_eq!((accepted.get(), drain.is_pending()), (3, false));
}
