//! Tickets: each is the right to run one request once at this incarnation.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{CustomerId, FastMap};

/// Status of a ticket when a request presents it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// The ticket is unused: the request may run under it.
    Unused,
    /// An earlier request used the ticket: the duplicate gets the answer of that request.
    Used,
    /// The ticket was issued to another customer.
    WrongCustomer,
    /// The ticket was never issued here, or it was dropped. Whether a request ran under it is not known.
    Unknown,
}

/// Unused tickets by serial, and a queue of all in order of issue for expiry.
#[derive(Clone, Debug, Default)]
pub(crate) struct TicketTable {
    unused: FastMap<u64, CustomerId>,
    issued: VecDeque<(Instant, u64)>,
}

impl TicketTable {
    pub(crate) fn issue(&mut self, now: Instant, serial: u64, customer: CustomerId) {
        self.unused.insert(serial, customer);
        self.issued.push_back((now, serial));
    }

    pub(crate) fn customer(&self, serial: u64) -> Option<&CustomerId> {
        self.unused.get(&serial)
    }

    pub(crate) fn take(&mut self, serial: u64) -> Option<CustomerId> {
        self.unused.remove(&serial)
    }

    pub(crate) fn len(&self) -> usize {
        self.unused.len()
    }

    pub(crate) fn expire(&mut self, now: Instant, term: Duration) {
        while let Some((at, serial)) = self.issued.front().copied() {
            if at + term > now {
                break;
            }
            self.issued.pop_front();
            self.unused.remove(&serial);
        }
    }
}
