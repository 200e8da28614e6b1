//! Copies the bytes of one connection, with a bounded delay queue for each direction.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        tcp::{ReadHalf, WriteHalf},
        TcpStream,
    },
    sync::{mpsc, watch},
    time::{sleep_until, Instant},
};

use crate::forwarder::link::{FlowState, LinkCounters};

/// The most bytes read at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// The most chunks in transit in one direction. More put back pressure on the sender, like a congested network.
const MAX_CHUNKS: usize = 64;

/// Bytes in transit, with the time from which they may be delivered.
struct DelayedChunk {
    due: Instant,
    bytes: Vec<u8>,
}

#[derive(Clone, Copy)]
enum FlowDirection {
    Forward,
    Back,
}

impl FlowDirection {
    fn is_silent(self, state: &FlowState) -> bool {
        match self {
            Self::Forward => state.forward_silent,
            Self::Back => state.back_silent,
        }
    }
}

/// Forwards one connection to `target` until it ends, is reset, or the link closes.
///
/// A connection accepted while either direction is silent reaches the target only after the link heals, since a
/// handshake needs both directions.
pub(super) async fn forward(
    mut near: TcpStream,
    target: SocketAddr,
    mut flow: watch::Receiver<FlowState>,
    counters: &LinkCounters,
) -> io::Result<()> {
    near.set_nodelay(true)?;
    let passes = |state: &FlowState| !state.forward_silent && !state.back_silent;
    // Read before connecting: the target may use the connection as soon as its kernel has accepted it, and a reset
    // that arrives before this task continues would otherwise be missed.
    let resets = match flow.wait_for(passes).await {
        Ok(state) => state.resets,
        Err(_) => return Err(io::ErrorKind::ConnectionReset.into()),
    };
    let mut far = TcpStream::connect(target).await?;
    far.set_nodelay(true)?;
    let ended = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let forward = copy_one_way(
            near_read,
            far_write,
            FlowDirection::Forward,
            flow.clone(),
            &counters.forward_bytes,
        );
        let back = copy_one_way(
            far_read,
            near_write,
            FlowDirection::Back,
            flow.clone(),
            &counters.back_bytes,
        );
        tokio::select! {
            ended = async { tokio::try_join!(forward, back).map(|_| ()) } => ended,
            () = wait_for_reset(&mut flow, resets) => Err(io::ErrorKind::ConnectionReset.into()),
        }
    };
    if ended.is_err() {
        near.set_zero_linger()?;
        far.set_zero_linger()?;
    }
    ended
}

/// Waits until the connection is to be reset or the link closes.
async fn wait_for_reset(flow: &mut watch::Receiver<FlowState>, resets: u64) {
    let _ = flow.wait_for(|state| state.resets != resets).await;
}

/// Copies bytes in one direction until the sender closes, and passes the close on.
async fn copy_one_way(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    direction: FlowDirection,
    flow: watch::Receiver<FlowState>,
    delivered: &AtomicU64,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
    let reader = read_chunks(from, sender, flow.clone());
    let writer = write_chunks(to, receiver, direction, flow, delivered);
    tokio::try_join!(reader, writer).map(|_| ())
}

async fn read_chunks(
    mut from: ReadHalf<'_>,
    sender: mpsc::Sender<DelayedChunk>,
    flow: watch::Receiver<FlowState>,
) -> io::Result<()> {
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let count = from.read(&mut bytes).await?;
        bytes.truncate(count);
        let due = Instant::now() + flow.borrow().delay;
        // An empty chunk marks the end of the stream, so that the close also waits until a cut link heals.
        if sender.send(DelayedChunk { due, bytes }).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut to: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<DelayedChunk>,
    direction: FlowDirection,
    mut flow: watch::Receiver<FlowState>,
    delivered: &AtomicU64,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.due).await;
        if flow
            .wait_for(|state| !direction.is_silent(state))
            .await
            .is_err()
        {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if chunk.bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&chunk.bytes).await?;
        delivered.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
    }
    Ok(())
}
