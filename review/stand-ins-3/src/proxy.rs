//! A proxy between nodes and the store. It forwards one call after the other on each connection. A share of the writes can
//! get no answer and be carried out late, as the pages say.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, sleep_until, Instant},
};

/// How long the platform's store takes for a read, and for a transaction with its `TxMs` of 8 ms.
const READ_TIME: Duration = Duration::from_millis(4);
const WRITE_TIME: Duration = Duration::from_millis(12);

/// The share of the writes that are late until a moment.
#[derive(Clone, Copy)]
struct LateWrites {
    share: f64,
    until: Instant,
}

#[derive(Default)]
struct ProxyState {
    late: RefCell<Option<LateWrites>>,
    late_count: Cell<u64>,
}

impl ProxyState {
    /// Whether a write that has just arrived is to be late.
    fn takes_late(&self) -> bool {
        let late = self
            .late
            .borrow()
            .filter(|late| Instant::now() < late.until);
        let is_late = late.is_some_and(|late| fastrand::f64() < late.share);
        self.late_count
            .set(self.late_count.get() + u64::from(is_late));
        is_late
    }
}

/// A proxy in front of the store.
pub(crate) struct StoreProxy {
    pub(crate) address: SocketAddr,
    state: Rc<ProxyState>,
}

impl StoreProxy {
    pub(crate) async fn start(store: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::<ProxyState>::default();
        let proxy_state = state.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = proxy_state.clone();
                actix_rt::spawn(async move {
                    let _ended = forward(stream, store, &state).await;
                });
            }
        });
        Ok(Self { address, state })
    }

    /// For this time, leaves a share of the writes without an answer and carries them out 1 to 6 s later.
    pub(crate) fn make_writes_late(&self, share: f64, time: Duration) {
        let until = Instant::now() + time;
        *self.state.late.borrow_mut() = Some(LateWrites { share, until });
    }

    /// The number of late writes.
    pub(crate) fn late_writes(&self) -> u64 {
        self.state.late_count.get()
    }
}

async fn forward(mut client: TcpStream, store: SocketAddr, state: &ProxyState) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut server = TcpStream::connect(store).await?;
    server.set_nodelay(true)?;
    let (mut requests, mut answers) = (Vec::new(), Vec::new());
    loop {
        let request = read_message(&mut client, &mut requests).await?;
        let is_write = request.starts_with(b"POST /-/rows-tx");
        let usual = if is_write { WRITE_TIME } else { READ_TIME };
        let earliest = Instant::now() + usual;
        if is_write && state.takes_late() {
            actix_rt::spawn(carry_out_late(store, request));
            // The connection stays open and delivers nothing further.
            let mut rest = [0; 1_024];
            while client.read(&mut rest).await? > 0 {}
            return Ok(());
        }
        server.write_all(&request).await?;
        let answer = read_message(&mut server, &mut answers).await?;
        sleep_until(earliest).await;
        client.write_all(&answer).await?;
    }
}

async fn carry_out_late(store: SocketAddr, request: Vec<u8>) -> io::Result<()> {
    sleep(Duration::from_millis(fastrand::u64(1_000..=6_000))).await;
    let mut server = TcpStream::connect(store).await?;
    server.write_all(&request).await?;
    read_message(&mut server, &mut Vec::new()).await?;
    Ok(())
}

/// Reads one message with its body. Nodes and the stand-in state the length of each body.
async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let mut lines = head.lines();
            let length = lines.find_map(|line| line.strip_prefix("content-length:"));
            let length: usize = length
                .and_then(|text| text.trim().parse().ok())
                .unwrap_or(0);
            let whole = end + 4 + length;
            if buffer.len() >= whole {
                let rest = buffer.split_off(whole);
                return Ok(std::mem::replace(buffer, rest));
            }
        }
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
