//! Tickets: the right to run one request at this incarnation, once.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{CustomerId, FastMap};

/// What a ticket is good for when it is presented.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// It was not used: the request may run under it.
    Unused,
    /// A request came with it before: the second arrival gets that one's answer.
    Used,
    /// It was issued to another customer.
    WrongCustomer,
    /// It is not known here: never issued, or forgotten. Whether a request ran under it cannot be said.
    Unknown,
}

/// Unused tickets by serial, oldest first for expiry.
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
