//! Breaks of customers' connections that the nodes at the other end do not hear of: the customer is gone, its node's side
//! stays open, and what the node writes is acknowledged and never read.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use fastrand::Rng;
use stand_ins::forwarder::{CutConnect, LinkMode, LinkRequest, NetForwarder, OpenDirection};

/// The answer that a customer no longer waits for. It is kept but not read, since dropping it closes its connection.
pub(crate) type PendingAnswer<T> = Pin<Box<dyn Future<Output = T>>>;

/// A break of the connection of one attempt.
pub(crate) struct UnheardBreak {
    /// Time from the request to the break.
    pub(crate) after: Duration,
    /// The link that the connection goes over, and its mode from the break on. Without a link, the customer stops
    /// reading.
    link: Option<(String, LinkMode)>,
}

/// Draws breaks, and keeps the broken connections open until the end of the soak.
pub(crate) struct UnheardBreaks<T> {
    forwarder: Rc<NetForwarder>,
    link_count: Cell<usize>,
    kept: RefCell<Vec<PendingAnswer<T>>>,
}

impl<T> UnheardBreaks<T> {
    pub(crate) fn new(forwarder: Rc<NetForwarder>) -> Self {
        Self {
            forwarder,
            link_count: Cell::default(),
            kept: RefCell::default(),
        }
    }

    /// Draws a break of the connection of an attempt with this deadline. Returns it, and the address that the customer
    /// connects to, which is `node` itself if there is no link.
    pub(crate) fn draw(
        &self,
        rng: &mut Rng,
        node: SocketAddr,
        deadline: Duration,
    ) -> (UnheardBreak, SocketAddr) {
        // Most answers arrive early in the time that customers give, so most breaks happen early, too.
        let after = deadline.mul_f64(rng.f64().powi(3));
        let mode = match rng.u32(..4) {
            0 => LinkMode::Cut {
                connects: CutConnect::Hang,
            },
            1 => LinkMode::OneWay {
                open: OpenDirection::Forward,
            },
            2 => LinkMode::OneWay {
                open: OpenDirection::Back,
            },
            _ => return (UnheardBreak { after, link: None }, node),
        };
        // A link of its own, since a mode concerns all connections of a link.
        let number = self.link_count.get();
        self.link_count.set(number + 1);
        let name = format!("customer {number}");
        let Ok(address) = self.forwarder.add_link(&name, node) else {
            return (UnheardBreak { after, link: None }, node);
        };
        let link = Some((name, mode));
        (UnheardBreak { after, link }, address)
    }

    /// Breaks the connection over which this answer would arrive.
    pub(crate) async fn apply(&self, unheard: UnheardBreak, answer: PendingAnswer<T>) {
        self.kept.borrow_mut().push(answer);
        let Some((name, mode)) = unheard.link else {
            return;
        };
        let link = Some(name);
        // If the link fails, the customer has stopped reading all the same.
        let _ = self.forwarder.apply(LinkRequest { link, mode }).await;
    }
}
