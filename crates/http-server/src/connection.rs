//! Serves one connection: one request after the other.

use std::{
    cell::RefCell,
    future::Future,
    pin::{pin, Pin},
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use actix_http::{
    body::{BodySize, BoxBody, MessageBody},
    ConnectionType, HttpMessage as _, Request, Response, ServiceConfig, StatusCode,
};
use bytes::{Bytes, BytesMut};
use client_limits::ConnectionPhase;
use futures::future::poll_fn;
use kernel::ClockSource;
use tokio::{
    net::TcpStream,
    time::{sleep, Sleep},
};

use crate::{
    body::RequestBody,
    gate::{ClientConnection, CloseCause},
    inbound::{BodyState, HeadResult, Inbound},
};

/// The interval at which a client is looked for whose unread bytes fill the buffer.
const HANG_UP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The most bytes of an answer that are encoded at once.
const WRITE_BYTES: usize = 16 * 1_024;

/// What is done with a request whose client ends its side of the connection before the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HalfClose {
    /// The client counts as gone, and the request is dropped.
    Drop,
    /// The request is answered.
    Answer,
}

/// The time from which on bytes of a request may have been held unread, because an earlier request on the same connection
/// was not answered. Attached to requests for which that is so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSince(pub Instant);

/// How a listener treats its clients.
#[derive(Clone)]
pub struct ServerOptions {
    /// What is done with half-closed connections.
    pub half_close: HalfClose,
    /// The answer to a request for which there is no memory. It has to say that nothing of the request has run or will.
    pub refusal: fn() -> Response<BoxBody>,
    /// The clock of the process.
    pub clock: Arc<dyn ClockSource>,
}

/// Answers requests with a handler.
pub struct HttpServer<H> {
    handler: H,
    options: ServerOptions,
    config: ServiceConfig,
}

/// What has become of a request.
enum Served<B> {
    Answered(Response<B>),
    /// Memory for the body could not be reserved, or it has stalled and gave way to another.
    Refused,
    /// The body did not arrive in time.
    TimedOut,
    /// The client is gone.
    Gone,
}

/// What follows an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterAnswer {
    KeepAlive,
    Close,
    /// Unread bytes of the request would reset the connection, and the answer would be lost.
    Discard,
}

impl<H, F, B> HttpServer<H>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response<B>>,
    B: MessageBody,
{
    /// Creates a server. To be called on the thread that serves the connections.
    pub fn new(handler: H, options: ServerOptions) -> Rc<Self> {
        Rc::new(Self {
            handler,
            options,
            config: ServiceConfig::default(),
        })
    }

    /// Serves a connection to its end.
    pub(crate) async fn serve(&self, stream: TcpStream, client: ClientConnection) {
        let inbound = Inbound::new(stream, client, self.config.clone());
        let inbound = Rc::new(RefCell::new(inbound));
        let mut held_since = None;
        loop {
            let request = match read_head(&inbound).await {
                Ok(request) => request,
                Err(HeadFailure::Closed) => return,
                Err(HeadFailure::Refused) => {
                    let refusal = (self.options.refusal)();
                    return write_last(&inbound, refusal).await;
                }
                Err(HeadFailure::Invalid(status)) => {
                    return write_last(&inbound, Response::new(status)).await;
                }
            };
            let began = self.options.clock.now();
            let is_safe = request.method().is_safe();
            if let Some(since) = held_since {
                request.extensions_mut().insert(HeldSince(since));
            }
            let answer = match self.answer(&inbound, request).await {
                Served::Answered(response) => self.write_answer(&inbound, is_safe, response).await,
                Served::Refused => return write_last(&inbound, (self.options.refusal)()).await,
                Served::TimedOut => {
                    let response = Response::new(StatusCode::REQUEST_TIMEOUT);
                    return write_last(&inbound, response).await;
                }
                Served::Gone => return,
            };
            match answer {
                Some(AfterAnswer::KeepAlive) => (),
                Some(AfterAnswer::Discard) => return discard(&inbound).await,
                Some(AfterAnswer::Close) | None => return,
            }
            let mut inbound = inbound.borrow_mut();
            inbound.release_request();
            held_since = inbound.has_unread().then(|| held_since.unwrap_or(began));
        }
    }

    /// Runs the handler until it has answered or the connection has to end.
    async fn answer(&self, inbound: &Rc<RefCell<Inbound>>, request: Request) -> Served<B> {
        inbound.borrow().client.set_phase(ConnectionPhase::Running);
        let request = match inbound.borrow().body {
            BodyState::Ended => request,
            _ => request.replace_payload(RequestBody::payload(inbound)).0,
        };
        // Boxed, so that an idle connection does not hold the memory of a handler.
        let mut handler = Box::pin((self.handler)(request));
        let mut closed = Box::pin(inbound.borrow().client.closed());
        let mut hang_up_check: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| loop {
            if let Poll::Ready(response) = handler.as_mut().poll(cx) {
                return Poll::Ready(Served::Answered(response));
            }
            if let Poll::Ready(cause) = closed.as_mut().poll(cx) {
                match cause {
                    CloseCause::Expired(_) => return Poll::Ready(Served::TimedOut),
                    CloseCause::Evicted => return Poll::Ready(Served::Refused),
                    CloseCause::Draining => {
                        closed = Box::pin(inbound.borrow().client.closed());
                        continue;
                    }
                }
            }
            let mut inbound = inbound.borrow_mut();
            if inbound.body == BodyState::Refused {
                return Poll::Ready(Served::Refused);
            }
            if inbound.ended {
                return self.after_end(&inbound);
            }
            if inbound.poll_read_ahead(cx).is_ready() {
                continue;
            }
            if inbound.is_full() && hangs_up(&inbound, &mut hang_up_check, cx) {
                return Poll::Ready(Served::Gone);
            }
            return Poll::Pending;
        })
        .await
    }

    /// Writes the answer of the handler. None if the client does not get it, and the connection ends.
    async fn write_answer(
        &self,
        inbound: &RefCell<Inbound>,
        is_safe: bool,
        response: Response<B>,
    ) -> Option<AfterAnswer> {
        inbound.borrow().client.set_phase(ConnectionPhase::Answer);
        let fits = match response.body().size() {
            BodySize::Sized(bytes) => inbound.borrow().client.reserve_answer(bytes),
            BodySize::None | BodySize::Stream => true,
        };
        let after = match (fits, is_safe) {
            (true, _) => write_response(inbound, response).await,
            (false, true) => write_response(inbound, (self.options.refusal)()).await,
            // The request may have run, so a refusal would be false. Without an answer the client knows that it does not
            // know.
            (false, false) => None,
        };
        inbound.borrow().client.release_answer();
        after
    }

    fn after_end(&self, inbound: &Inbound) -> Poll<Served<B>> {
        let is_whole = inbound.body == BodyState::Ended;
        match self.options.half_close {
            HalfClose::Answer if is_whole => Poll::Pending,
            HalfClose::Answer | HalfClose::Drop => Poll::Ready(Served::Gone),
        }
    }
}

/// Checks now and then whether a client has hung up.
fn hangs_up(inbound: &Inbound, check: &mut Option<Pin<Box<Sleep>>>, cx: &mut Context<'_>) -> bool {
    loop {
        let timer = check.get_or_insert_with(|| Box::pin(sleep(HANG_UP_CHECK_INTERVAL)));
        if timer.as_mut().poll(cx).is_pending() {
            return false;
        }
        *check = None;
        if inbound.has_hung_up() {
            return true;
        }
    }
}

/// Why there is no further request on a connection.
enum HeadFailure {
    Closed,
    Refused,
    Invalid(StatusCode),
}

async fn read_head(inbound: &RefCell<Inbound>) -> Result<Request, HeadFailure> {
    let mut is_idle = {
        let inbound = inbound.borrow();
        let is_idle = inbound.has_served() && !inbound.has_unread();
        let phase = match is_idle {
            true => ConnectionPhase::Idle,
            false => ConnectionPhase::Head,
        };
        inbound.client.set_phase(phase);
        is_idle
    };
    loop {
        {
            let mut inbound = inbound.borrow_mut();
            if is_idle && inbound.has_unread() {
                is_idle = false;
                inbound.client.set_phase(ConnectionPhase::Head);
            }
            let max_bytes = inbound.client.limits().head_bytes;
            match inbound.decode_head(max_bytes) {
                HeadResult::Request(request) => return Ok(request),
                HeadResult::Partial if inbound.ended => return Err(HeadFailure::Closed),
                HeadResult::Partial => (),
                HeadResult::TooLong => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(HeadFailure::Invalid(status));
                }
                HeadResult::Malformed => {
                    return Err(HeadFailure::Invalid(StatusCode::BAD_REQUEST));
                }
            }
            let bytes = inbound.unread_bytes() as u64;
            if !inbound.client.reserve_request(bytes) {
                return Err(HeadFailure::Refused);
            }
        }
        let closed = inbound.borrow().client.closed();
        let filled = poll_fn(|cx| inbound.borrow_mut().poll_fill(cx));
        tokio::select! {
            biased;
            // What has arrived is read before a connection is closed as idle.
            () = filled => (),
            cause = closed => {
                let has_unread = inbound.borrow().has_unread();
                match cause {
                    CloseCause::Expired(ConnectionPhase::Head) if has_unread => {
                        return Err(HeadFailure::Invalid(StatusCode::REQUEST_TIMEOUT));
                    }
                    CloseCause::Draining if has_unread => (),
                    _ => return Err(HeadFailure::Closed),
                }
            }
        }
    }
}

/// Writes the last answer of a connection, discards what the client goes on to send, and closes the connection.
async fn write_last(inbound: &RefCell<Inbound>, mut response: Response<BoxBody>) {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    inbound.borrow().client.set_phase(ConnectionPhase::Answer);
    if write_response(inbound, response).await.is_some() {
        discard(inbound).await;
    }
}

/// Writes an answer. None if the client did not take it.
async fn write_response<B: MessageBody>(
    inbound: &RefCell<Inbound>,
    mut response: Response<B>,
) -> Option<AfterAnswer> {
    let is_read = inbound.borrow_mut().skip_received_body();
    if !is_read {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    let size = response.body().size();
    let mut body = None;
    let head = response.map_body(|_, whole| body = Some(whole));
    let mut out = BytesMut::new();
    let encoded = inbound.borrow_mut().encode_head(head, size, &mut out);
    encoded.ok()?;
    let body = body.filter(|_| !matches!(size, BodySize::None | BodySize::Sized(0)));
    if let Some(body) = body {
        write_body(inbound, body, &mut out).await?;
    }
    write_out(inbound, &mut out).await?;
    let inbound = inbound.borrow();
    Some(match inbound.keeps_alive() && !inbound.ended {
        _ if !is_read => AfterAnswer::Discard,
        true => AfterAnswer::KeepAlive,
        false if inbound.has_unread() => AfterAnswer::Discard,
        false => AfterAnswer::Close,
    })
}

/// Encodes the body of an answer part by part, and writes what does not fit into `out`.
async fn write_body(
    inbound: &RefCell<Inbound>,
    body: impl MessageBody,
    out: &mut BytesMut,
) -> Option<()> {
    let mut body = pin!(body);
    while let Some(chunk) = poll_fn(|cx| body.as_mut().poll_next(cx)).await {
        let mut chunk = chunk.ok()?;
        while !chunk.is_empty() {
            let part = chunk.split_to(chunk.len().min(WRITE_BYTES));
            encode_chunk(inbound, Some(part), out)?;
            if out.len() >= WRITE_BYTES {
                write_out(inbound, out).await?;
            }
        }
    }
    encode_chunk(inbound, None, out)
}

fn encode_chunk(
    inbound: &RefCell<Inbound>,
    chunk: Option<Bytes>,
    out: &mut BytesMut,
) -> Option<()> {
    inbound.borrow_mut().encode_chunk(chunk, out).ok()
}

/// Writes bytes to the socket. None if the connection is broken or has to end.
async fn write_out(inbound: &RefCell<Inbound>, out: &mut BytesMut) -> Option<()> {
    let mut closed = Box::pin(inbound.borrow().client.closed());
    poll_fn(|cx| {
        if let Poll::Ready(written) = inbound.borrow_mut().poll_write(cx, out) {
            return Poll::Ready(written.ok());
        }
        while let Poll::Ready(cause) = closed.as_mut().poll(cx) {
            match cause {
                CloseCause::Draining => closed = Box::pin(inbound.borrow().client.closed()),
                CloseCause::Evicted | CloseCause::Expired(_) => return Poll::Ready(None),
            }
        }
        Poll::Pending
    })
    .await
}

/// Ends this side of the connection and discards what the client goes on to send, within the limits of time and of a
/// body's length. A connection that is closed with unread bytes is reset, and its client may lose the answer.
async fn discard(inbound: &RefCell<Inbound>) {
    let max_bytes = {
        let inbound = inbound.borrow();
        inbound.client.set_phase(ConnectionPhase::Discard);
        inbound.client.limits().body_bytes
    };
    let closed = inbound.borrow().client.closed();
    let discarded = async {
        let shut = poll_fn(|cx| inbound.borrow_mut().poll_shutdown(cx)).await;
        let mut left = if shut.is_ok() { max_bytes } else { 0 };
        while left > 0 {
            let bytes = poll_fn(|cx| inbound.borrow_mut().poll_discard(cx)).await;
            left = match bytes {
                0 => 0,
                bytes => left.saturating_sub(bytes),
            };
        }
    };
    tokio::select! {
        () = discarded => (),
        _ = closed => (),
    }
}
