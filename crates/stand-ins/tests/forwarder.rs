//! The effects of each link mode of the network stand-in on open and new connections.

use std::{
    io,
    net::SocketAddr,
    process::Command,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use stand_ins::forwarder::{
    ConnectionEnds, CutConnect, LinkError, LinkMode, LinkRequest, NetForwarder, OpenDirection,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// How long a connection is watched for silence. Bytes on loopback take less.
const SILENCE_WINDOW: Duration = Duration::from_millis(150);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Threads that start processes while a link changes its mode.
const PROCESS_STARTERS: usize = 4;
const MODE_CHANGES: usize = 300;

/// Starts a target that echoes each byte.
async fn echo_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

/// Connects through a new link and returns both ends of the connection.
async fn open_pair(forwarder: &NetForwarder) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = forwarder
        .add_link("pair", listener.local_addr().unwrap())
        .unwrap();
    let near = TcpStream::connect(link).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (near, far)
}

async fn set_mode(forwarder: &NetForwarder, mode: LinkMode) {
    let request = LinkRequest { link: None, mode };
    forwarder.apply(request).await.unwrap();
}

async fn echoed(stream: &mut TcpStream, text: &str) -> io::Result<String> {
    stream.write_all(text.as_bytes()).await?;
    let mut bytes = vec![0; text.len()];
    timeout(READ_TIMEOUT, stream.read_exact(&mut bytes)).await??;
    Ok(String::from_utf8(bytes).unwrap())
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    timeout(SILENCE_WINDOW, stream.read(&mut [0; 1]))
        .await
        .is_err()
}

#[actix_rt::test]
async fn passes_bytes_and_the_end() {
    let forwarder = NetForwarder::start().unwrap();
    let link = forwarder.add_link("a-b", echo_target().await).unwrap();
    let mut stream = TcpStream::connect(link).await.unwrap();
    let text = "x".repeat(3_000_000);
    let (mut from, mut to) = stream.split();
    let send = async {
        to.write_all(text.as_bytes()).await.unwrap();
        to.shutdown().await.unwrap();
    };
    let mut back = Vec::new();
    let ((), read) = futures::join!(send, from.read_to_end(&mut back));
    assert_eq!(read.unwrap(), text.len());
    let status = &forwarder.status()[0];
    assert_eq!(status.forward_bytes, text.len() as u64);
    assert_eq!(status.back_bytes, text.len() as u64);
}

// A partition drops packets without a reset, and TCP retransmits afterwards. So bytes written on both sides of an open
// connection during a cut must cause no error, and must arrive in order after the link heals.
#[actix_rt::test]
async fn cut_holds_bytes_until_the_heal() {
    let forwarder = NetForwarder::start().unwrap();
    let (mut near, mut far) = open_pair(&forwarder).await;
    set_mode(
        &forwarder,
        LinkMode::Cut {
            connects: CutConnect::Hang,
        },
    )
    .await;
    near.write_all(b"there").await.unwrap();
    far.write_all(b"back").await.unwrap();
    assert!(is_silent(&mut far).await);
    assert!(is_silent(&mut near).await);
    set_mode(&forwarder, LinkMode::Pass).await;
    let (mut there, mut back) = ([0; 5], [0; 4]);
    timeout(READ_TIMEOUT, far.read_exact(&mut there))
        .await
        .unwrap()
        .unwrap();
    timeout(READ_TIMEOUT, near.read_exact(&mut back))
        .await
        .unwrap()
        .unwrap();
    assert_eq!((&there, &back), (b"there", b"back"));
}

// A close is a packet too: if the near side closes during a cut, the far side must not see it until the link heals.
#[actix_rt::test]
async fn cut_delays_a_close_until_the_heal() {
    let forwarder = NetForwarder::start().unwrap();
    let (near, mut far) = open_pair(&forwarder).await;
    set_mode(
        &forwarder,
        LinkMode::Cut {
            connects: CutConnect::Hang,
        },
    )
    .await;
    drop(near);
    assert!(is_silent(&mut far).await);
    set_mode(&forwarder, LinkMode::Pass).await;
    let count = timeout(READ_TIMEOUT, far.read(&mut [0; 1]))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(count, 0);
}

#[actix_rt::test]
async fn one_way_passes_only_that_way() {
    for open in [OpenDirection::Forward, OpenDirection::Back] {
        let forwarder = NetForwarder::start().unwrap();
        let (mut near, mut far) = open_pair(&forwarder).await;
        set_mode(&forwarder, LinkMode::OneWay { open }).await;
        near.write_all(b"n").await.unwrap();
        far.write_all(b"f").await.unwrap();
        let (passing, silent) = match open {
            OpenDirection::Forward => (&mut far, &mut near),
            OpenDirection::Back => (&mut near, &mut far),
        };
        let count = timeout(READ_TIMEOUT, passing.read(&mut [0; 1]))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(count, 1, "{open:?}");
        assert!(is_silent(silent).await, "{open:?}");
    }
}

#[actix_rt::test]
async fn new_connection_on_a_cut_link_hangs_or_is_refused() {
    let cases = [
        (
            LinkMode::Cut {
                connects: CutConnect::Hang,
            },
            None,
        ),
        (
            LinkMode::OneWay {
                open: OpenDirection::Forward,
            },
            None,
        ),
        (
            LinkMode::OneWay {
                open: OpenDirection::Back,
            },
            None,
        ),
        (
            LinkMode::Cut {
                connects: CutConnect::Refuse,
            },
            Some(io::ErrorKind::ConnectionRefused),
        ),
    ];
    for (mode, expect) in cases {
        let forwarder = NetForwarder::start().unwrap();
        let link = forwarder.add_link("a-b", echo_target().await).unwrap();
        set_mode(&forwarder, mode).await;
        // The second must hang like the first, which must not have taken the last place in the accept queue.
        for _ in 0..2 {
            let connected = timeout(SILENCE_WINDOW, TcpStream::connect(link)).await;
            let error = connected.ok().map(|result| result.unwrap_err().kind());
            assert_eq!(error, expect, "{mode:?}");
        }
        set_mode(&forwarder, LinkMode::Pass).await;
        let mut stream = TcpStream::connect(link).await.unwrap();
        assert_eq!(
            echoed(&mut stream, "again").await.unwrap(),
            "again",
            "{mode:?}"
        );
    }
}

#[actix_rt::test]
async fn reset_ends_open_connections_and_takes_new_ones() {
    let forwarder = NetForwarder::start().unwrap();
    let (mut near, mut far) = open_pair(&forwarder).await;
    set_mode(&forwarder, LinkMode::Reset).await;
    for stream in [&mut near, &mut far] {
        let read = timeout(READ_TIMEOUT, stream.read(&mut [0; 1]))
            .await
            .unwrap();
        assert_eq!(read.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
    let link = forwarder.add_link("other", echo_target().await).unwrap();
    let mut stream = TcpStream::connect(link).await.unwrap();
    assert_eq!(echoed(&mut stream, "new").await.unwrap(), "new");
}

#[actix_rt::test]
async fn delay_counts_each_way_and_does_not_add_up() {
    let forwarder = NetForwarder::start().unwrap();
    let link = forwarder.add_link("a-b", echo_target().await).unwrap();
    set_mode(&forwarder, LinkMode::Delay { ms: 100 }).await;
    let mut stream = TcpStream::connect(link).await.unwrap();
    let start = Instant::now();
    // The many chunks are in transit together, so they take one delay in total, not one each.
    let text = "x".repeat(200_000);
    assert_eq!(echoed(&mut stream, &text).await.unwrap().len(), text.len());
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(200), "{took:?}");
    assert!(took < Duration::from_millis(1000), "{took:?}");
}

#[actix_rt::test]
async fn control_calls_drive_one_link_by_name() {
    let mut forwarder = NetForwarder::start().unwrap();
    let cut = forwarder.add_link("a-b", echo_target().await).unwrap();
    let open = forwarder.add_link("a-c", echo_target().await).unwrap();
    let control = forwarder
        .serve_control(SocketAddr::from(([127, 0, 0, 1], 0)))
        .unwrap();
    let url = format!("http://{control}/control/links");
    let client = awc::Client::default();
    let body = r#"{"link":"a-b","mode":"cut","connects":"refuse"}"#;
    let answer = client
        .post(&url)
        .insert_header(("content-type", "application/json"))
        .send_body(body)
        .await
        .unwrap();
    assert_eq!(answer.status().as_u16(), 204);
    let error = TcpStream::connect(cut).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    let mut stream = TcpStream::connect(open).await.unwrap();
    assert_eq!(echoed(&mut stream, "open").await.unwrap(), "open");
    let shown = client.get(&url).send().await.unwrap().body().await.unwrap();
    let shown = String::from_utf8(shown.to_vec()).unwrap();
    assert!(
        shown.contains(r#""link":"a-b""#) && shown.contains(r#""mode":"cut""#),
        "{shown}"
    );
    let unknown = LinkRequest {
        link: Some("a-x".to_owned()),
        mode: LinkMode::Pass,
    };
    let error = forwarder.apply(unknown).await.unwrap_err();
    assert_eq!(error, LinkError::Unknown("a-x".to_owned()));
}

// All processes use the same address for a dispatcher, but a partition may separate only two dispatchers. So with two
// sources that connect to one address, a cut of the link of one source must silence its open and new connections until
// the link heals, and must not affect the connections of the other source.
#[actix_rt::test]
async fn shared_links_are_cut_by_source() {
    let forwarder = NetForwarder::start().unwrap();
    let sources: Arc<Mutex<Vec<(SocketAddr, &str)>>> = Arc::default();
    let known = Arc::clone(&sources);
    let finder = move |ends: ConnectionEnds| {
        let known = known.lock().unwrap();
        let found = known.iter().find(|(address, _)| *address == ends.from);
        found.map(|(_, name)| (*name).to_owned())
    };
    let names = |source: &str| (source.to_owned(), format!("{source}>target"));
    let links = [names("a"), names("b")];
    let link = forwarder
        .add_shared_links(echo_target().await, &links, Arc::new(finder))
        .unwrap();
    let connect = |name| {
        let sources = Arc::clone(&sources);
        async move {
            let socket = TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let from = socket.local_addr().unwrap();
            sources.lock().unwrap().push((from, name));
            socket.connect(link).await.unwrap()
        }
    };
    let (mut a, mut b) = (connect("a").await, connect("b").await);
    assert_eq!(echoed(&mut a, "a1").await.unwrap(), "a1");
    assert_eq!(echoed(&mut b, "b1").await.unwrap(), "b1");
    let request = |mode| LinkRequest {
        link: Some("a>target".to_owned()),
        mode,
    };
    let cut = |connects| request(LinkMode::Cut { connects });
    forwarder.apply(cut(CutConnect::Hang)).await.unwrap();
    a.write_all(b"a2").await.unwrap();
    let mut new = connect("a").await;
    new.write_all(b"n1").await.unwrap();
    assert!(is_silent(&mut a).await);
    assert!(is_silent(&mut new).await);
    assert_eq!(echoed(&mut b, "b2").await.unwrap(), "b2");
    forwarder.apply(cut(CutConnect::Refuse)).await.unwrap();
    let mut refused = connect("a").await;
    let read = timeout(READ_TIMEOUT, refused.read(&mut [0; 1]))
        .await
        .unwrap();
    assert_eq!(read.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    forwarder.apply(request(LinkMode::Pass)).await.unwrap();
    for (stream, expect) in [(&mut a, b"a2"), (&mut new, b"n1")] {
        let mut bytes = [0; 2];
        timeout(READ_TIMEOUT, stream.read_exact(&mut bytes))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(&bytes, expect);
    }
}

/// Finding the source of a connection reads tables of the kernel, which takes tens of milliseconds on a machine with
/// many sockets. Bytes of other connections must pass meanwhile: sessions need answers within half a second, so a delay
/// here would make a peer look silent.
#[actix_rt::test]
async fn a_slow_source_search_does_not_delay_other_connections() {
    let forwarder = NetForwarder::start().unwrap();
    let plain = forwarder.add_link("plain", echo_target().await).unwrap();
    let mut open = TcpStream::connect(plain).await.unwrap();
    echoed(&mut open, "a").await.unwrap();
    let finder = |_: ConnectionEnds| {
        std::thread::sleep(Duration::from_millis(400));
        Some("near".to_owned())
    };
    let links = ["near".to_owned()];
    let links: Vec<_> = links
        .iter()
        .map(|name| (name.clone(), name.clone()))
        .collect();
    let shared = forwarder
        .add_shared_links(echo_target().await, &links, Arc::new(finder))
        .unwrap();
    let mut searched = TcpStream::connect(shared).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let begun = Instant::now();
    echoed(&mut open, "b").await.unwrap();
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(200), "{took:?}");
    assert_eq!(echoed(&mut searched, "c").await.unwrap(), "c");
}

/// Guards against a link that ends when its mode changes while the test process starts another one: the new process
/// holds the link's socket until its program is loaded.
#[actix_rt::test]
async fn a_link_keeps_its_port_while_processes_start() {
    let forwarder = NetForwarder::start().unwrap();
    let link = forwarder.add_link("a-b", echo_target().await).unwrap();
    let stopped = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..PROCESS_STARTERS)
        .map(|_| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            })
        })
        .collect();
    let connects = CutConnect::Refuse;
    for _ in 0..MODE_CHANGES {
        set_mode(&forwarder, LinkMode::Cut { connects }).await;
        set_mode(&forwarder, LinkMode::Pass).await;
    }
    stopped.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().unwrap();
    }
    let mut stream = TcpStream::connect(link).await.unwrap();
    assert_eq!(echoed(&mut stream, "hello").await.unwrap(), "hello");
}

/// Guards against a connection that crosses a cut since nobody knows whose it is.
#[actix_rt::test]
async fn a_connection_of_an_unknown_source_is_closed() {
    let forwarder = NetForwarder::start().unwrap();
    let links = [("a".to_owned(), "a>target".to_owned())];
    let link = forwarder
        .add_shared_links(echo_target().await, &links, Arc::new(|_| None))
        .unwrap();
    let mut stream = TcpStream::connect(link).await.unwrap();
    let read = timeout(READ_TIMEOUT, stream.read(&mut [0; 1])).await;
    assert_eq!(read.unwrap().unwrap(), 0);
}
