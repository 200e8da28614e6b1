//! What a connection receives: its socket, the bytes that were read and the decoder.

use std::{
    io,
    mem::MaybeUninit,
    os::fd::AsRawFd as _,
    pin::Pin,
    task::{ready, Context, Poll},
};

use actix_http::{
    body::BodySize,
    error::{ParseError, PayloadError},
    h1::{Codec, Message, MessageType},
    header, HttpMessage as _, Request, Response, ServiceConfig,
};
use bytes::{Bytes, BytesMut};
use client_limits::{ConnectionPhase, CONNECTION_BYTES};
use tokio::{
    io::{AsyncRead as _, AsyncWrite as _, ReadBuf},
    net::TcpStream,
};
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::gate::ClientConnection;

/// The most bytes that are read at once.
const READ_BYTES: usize = 8 * 1_024;

/// The bytes by which the reservation of a body without a stated length grows.
const RESERVE_STEP: u64 = 16 * 1_024;

/// The interim answer that lets a client send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How much of the current request's body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyState {
    /// There is none, or it was read to its end.
    Ended,
    /// Nobody has asked for it.
    Waiting,
    /// It is being read.
    Reading,
    /// Memory for it could not be reserved.
    Refused,
    /// It broke off, or is malformed.
    Broken,
}

/// The length of a request's body, if its head states it.
pub fn stated_length(request: &Request) -> Option<u64> {
    let length = request.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

/// What a connection receives, and its socket.
pub(crate) struct Inbound {
    stream: TcpStream,
    pub(crate) client: ClientConnection,
    codec: Codec,
    /// What was read and not decoded.
    buffer: BytesMut,
    pub(crate) body: BodyState,
    /// The length of the current head, in bytes.
    head_bytes: u64,
    /// The bytes of the current body that were handed out.
    body_bytes: u64,
    /// The length of the current body, if it is stated.
    stated_bytes: Option<u64>,
    /// Whether the client waits for leave to send the body.
    expects_continue: bool,
    /// Whether the client has ended its side of the connection.
    pub(crate) ended: bool,
    /// Whether a head has been read.
    has_served: bool,
}

/// What decoding a head has led to.
pub(crate) enum HeadResult {
    /// A whole head.
    Request(Request),
    /// More bytes are needed.
    Partial,
    /// The head is longer than the limit.
    TooLong,
    /// The bytes are no head.
    Malformed,
}

impl Inbound {
    pub(crate) fn new(stream: TcpStream, client: ClientConnection, config: ServiceConfig) -> Self {
        Self {
            stream,
            client,
            codec: Codec::new(config),
            buffer: BytesMut::new(),
            body: BodyState::Ended,
            head_bytes: 0,
            body_bytes: 0,
            stated_bytes: None,
            expects_continue: false,
            ended: false,
            has_served: false,
        }
    }

    /// Whether a request has been read on this connection.
    pub(crate) fn has_served(&self) -> bool {
        self.has_served
    }

    /// Whether bytes were read that are not decoded.
    pub(crate) fn has_unread(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The number of bytes that were read and not decoded.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the connection stays open after the answer, by what request and answer say.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Decodes a head from what was read.
    pub(crate) fn decode_head(&mut self, max_bytes: usize) -> HeadResult {
        let before = self.buffer.len();
        match self.codec.decode(&mut self.buffer) {
            Ok(Some(Message::Item(request))) => {
                self.head_bytes = (before - self.buffer.len()) as u64;
                self.begin_body(&request);
                HeadResult::Request(request)
            }
            Ok(None) if before > max_bytes => HeadResult::TooLong,
            Ok(None) => HeadResult::Partial,
            Err(ParseError::TooLarge) => HeadResult::TooLong,
            Ok(Some(Message::Chunk(_))) | Err(_) => HeadResult::Malformed,
        }
    }

    fn begin_body(&mut self, request: &Request) {
        self.has_served = true;
        self.body_bytes = 0;
        self.stated_bytes = stated_length(request);
        self.expects_continue = request.head().expect();
        self.body = match self.codec.message_type() {
            MessageType::None => BodyState::Ended,
            MessageType::Payload | MessageType::Stream => BodyState::Waiting,
        };
    }

    /// Hands out the next part of the body. Pending also if memory for the body could not be reserved or the connection has
    /// to end; the connection's task then drops the reader.
    pub(crate) fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PayloadError>>> {
        if !self.begin_reading(cx) {
            return Poll::Pending;
        }
        loop {
            match self.body {
                BodyState::Ended => return Poll::Ready(None),
                BodyState::Broken => {
                    return Poll::Ready(Some(Err(PayloadError::Incomplete(None))));
                }
                BodyState::Waiting | BodyState::Reading | BodyState::Refused => (),
            }
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    self.body_bytes += chunk.len() as u64;
                    if !self.reserve_body() {
                        return Poll::Pending;
                    }
                    return Poll::Ready(Some(Ok(chunk)));
                }
                Ok(Some(Message::Chunk(None))) => {
                    // A request that has already given way is refused, so its handler must not get the whole body.
                    if !self.client.set_phase(ConnectionPhase::Running) {
                        return Poll::Pending;
                    }
                    self.body = BodyState::Ended;
                    continue;
                }
                Ok(None) if !self.ended => (),
                Ok(None | Some(Message::Item(_))) | Err(_) => {
                    self.body = BodyState::Broken;
                    continue;
                }
            }
            ready!(self.poll_fill(cx));
        }
    }

    /// Reserves memory for a body that is asked for, and lets the client send it. Returns whether it can be read.
    fn begin_reading(&mut self, cx: &mut Context<'_>) -> bool {
        if self.body != BodyState::Waiting {
            return self.body != BodyState::Refused;
        }
        self.body = BodyState::Reading;
        if !self.client.set_phase(ConnectionPhase::Body) {
            return false;
        }
        if !self.reserve_body() {
            return false;
        }
        if std::mem::take(&mut self.expects_continue) {
            // The few bytes fit into the socket's buffer, since the client has taken all earlier answers. A client
            // that does not get them sends the body after a while.
            let _sent = Pin::new(&mut self.stream).poll_write(cx, CONTINUE);
        }
        true
    }

    /// Reserves memory for the head and for the body, as long as it is stated to be or is so far.
    fn reserve_body(&mut self) -> bool {
        let so_far = match self.body_bytes {
            bytes if bytes <= CONNECTION_BYTES as u64 => bytes,
            bytes => bytes.next_multiple_of(RESERVE_STEP),
        };
        let bytes = self.stated_bytes.unwrap_or(so_far);
        let reserved = self.client.reserve_request(self.head_bytes + bytes);
        if !reserved {
            self.body = BodyState::Refused;
        }
        reserved
    }

    /// Gives back the memory of the body. What was handed out is no longer held.
    pub(crate) fn release_body(&mut self) {
        self.client.shrink_request(self.head_bytes);
    }

    /// Gives back all memory of the request.
    pub(crate) fn release_request(&mut self) {
        self.client.shrink_request(0);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads the rest of the body from what was received. Returns whether the body has ended: otherwise the next request
    /// cannot be read.
    pub(crate) fn skip_received_body(&mut self) -> bool {
        while self.body != BodyState::Ended && self.body != BodyState::Broken {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(_)))) => (),
                Ok(Some(Message::Chunk(None))) => self.body = BodyState::Ended,
                Ok(None) => return false,
                Ok(Some(Message::Item(_))) | Err(_) => self.body = BodyState::Broken,
            }
        }
        self.body == BodyState::Ended
    }

    /// Reads more bytes. A broken connection counts as ended.
    pub(crate) fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.ended {
            return Poll::Ready(());
        }
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let mut read = ReadBuf::uninit(&mut bytes);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read));
        let received = read.filled();
        if result.is_err() || received.is_empty() {
            self.ended = true;
            return Poll::Ready(());
        }
        self.buffer.extend_from_slice(received);
        self.client.record_progress(received.len());
        Poll::Ready(())
    }

    /// Reads ahead while a request is carried out, which also shows that the client has left. Pending if the buffer is
    /// full.
    pub(crate) fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_full() {
            return Poll::Pending;
        }
        self.poll_fill(cx)
    }

    /// Whether nothing more is read ahead.
    pub(crate) fn is_full(&self) -> bool {
        self.buffer.len() >= CONNECTION_BYTES
    }

    /// Asks the operating system whether the client has closed the connection, which reading does not show while earlier
    /// bytes are unread.
    pub(crate) fn has_hung_up(&self) -> bool {
        let hang_up = libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR;
        let mut entry = libc::pollfd {
            fd: self.stream.as_raw_fd(),
            events: libc::POLLRDHUP,
            revents: 0,
        };
        // SAFETY: `entry` is one valid, writable pollfd, and its descriptor is open as long as `stream` lives.
        let ready = unsafe { libc::poll(&raw mut entry, 1, 0) };
        ready > 0 && entry.revents & hang_up != 0
    }

    /// Reads and drops what arrives. Returns the number of bytes, 0 at the end.
    pub(crate) fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let mut read = ReadBuf::uninit(&mut bytes);
        self.buffer = BytesMut::new();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read));
        Poll::Ready(result.map_or(0, |()| read.filled().len()))
    }

    /// Encodes the head of an answer.
    pub(crate) fn encode_head(
        &mut self,
        response: Response<()>,
        size: BodySize,
        out: &mut BytesMut,
    ) -> io::Result<()> {
        self.codec.encode(Message::Item((response, size)), out)
    }

    /// Encodes a part of the body of an answer, or its end.
    pub(crate) fn encode_chunk(
        &mut self,
        chunk: Option<Bytes>,
        out: &mut BytesMut,
    ) -> io::Result<()> {
        self.codec.encode(Message::Chunk(chunk), out)
    }

    /// Writes bytes and removes from `out` what was written.
    pub(crate) fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut BytesMut,
    ) -> Poll<io::Result<()>> {
        while !out.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, out))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            let _sent = out.split_to(written);
            self.client.record_progress(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Ends this side of the connection.
    pub(crate) fn poll_shutdown(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
