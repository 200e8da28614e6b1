//! Messages between entries and homes about grants. One message carries all customers of a home.

use std::{net::SocketAddr, time::Duration};

use model::{CustomerId, IncarnationId};

/// An entry's asks to one home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskBatch {
    /// The home's peer address.
    pub home: SocketAddr,
    /// The incarnation of the entry that asks.
    pub holder: IncarnationId,
    /// The peer address of the dispatcher on the entry's VM, which determines base shares.
    pub holder_address: SocketAddr,
    /// Increases with every batch of this holder. A home rejects a batch that arrives after a later one.
    pub serial: u64,
    /// One ask for each customer of this home with work or with a grant.
    pub asks: Vec<GrantAsk>,
}

/// An entry's request for a part of one customer's share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantAsk {
    /// The customer.
    pub customer: CustomerId,
    /// The number of concurrent tasks that the entry has use for.
    pub want: u32,
    /// The limit that the entry observes from now until a reply. What it does not need is already given up.
    pub held: u32,
    /// The number of tasks that run or may run. After a grant shrank or expired this may exceed `held`.
    pub in_use: u32,
}

/// The home's answer to one batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyBatch {
    /// The batch's serial.
    pub serial: u64,
    /// The duration of the grants, which the holder counts from before it sent the batch.
    pub term: Duration,
    /// One reply for each ask, in the same order.
    pub replies: Vec<GrantReply>,
}

/// The home's answer about one customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// The customer.
    pub customer: CustomerId,
    /// The decision of the home.
    pub decision: GrantDecision,
}

/// The decision of a home on an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    /// The entry may run `count` tasks at once until the term ends. This may be less than it holds.
    Granted {
        /// The number of concurrent tasks.
        count: u32,
        /// The customer's share in this data centre that the home based the grant on. A holder that learns of a lower
        /// share scales its grant down at once, without a message.
        share: u32,
    },
    /// The dispatcher does not consider itself the home of this customer. What the entry holds does not change.
    NotHome,
}
