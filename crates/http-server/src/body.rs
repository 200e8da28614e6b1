//! The body of a request, as its handler reads it.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_http::{error::PayloadError, Payload};
use bytes::Bytes;
use futures::Stream;

use crate::inbound::Inbound;

/// The body of a request. It is read from the socket only as the handler asks for it.
pub(crate) struct RequestBody {
    inbound: Rc<RefCell<Inbound>>,
}

impl RequestBody {
    /// The body of the current request of a connection, for the handler's request.
    pub(crate) fn payload(inbound: &Rc<RefCell<Inbound>>) -> Payload {
        let body = Self {
            inbound: inbound.clone(),
        };
        Payload::Stream {
            payload: Box::pin(body),
        }
    }
}

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.inbound.borrow_mut().poll_body(cx)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.inbound.borrow_mut().release_body();
    }
}
