//! What entries and homes tell each other about grants. One message carries all customers of a home.

use std::{net::SocketAddr, time::Duration};

use model::{CustomerId, IncarnationId};

/// An entry's asks to one home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskBatch {
    /// The home's peer address.
    pub home: SocketAddr,
    /// The life of the entry that asks.
    pub holder: IncarnationId,
    /// The peer address of the dispatcher on the entry's VM, by which base shares are reckoned.
    pub holder_address: SocketAddr,
    /// Goes up with every batch of this holder. A home turns away one that came late.
    pub serial: u64,
    /// One for each customer with work or with a grant, at this home.
    pub asks: Vec<GrantAsk>,
}

/// What an entry needs of one customer's share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantAsk {
    /// The customer.
    pub customer: CustomerId,
    /// How many tasks at once the entry has use for.
    pub want: u32,
    /// The limit that the entry goes by from now on until a reply: what it does not need it has given up already.
    pub held: u32,
    /// Tasks that run or may run. After a grant shrank or lapsed this may be more than `held`.
    pub in_use: u32,
}

/// The home's answer to one batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyBatch {
    /// The batch's serial.
    pub serial: u64,
    /// How long the grants hold, counted by the holder from before it sent the batch.
    pub term: Duration,
    /// One for each ask, in their order.
    pub replies: Vec<GrantReply>,
}

/// The home's answer about one customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// The customer.
    pub customer: CustomerId,
    /// What the home decided.
    pub decision: GrantDecision,
}

/// What a home decided on an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    /// The entry may have `count` tasks at once until the term ends. It may be less than it holds.
    Granted {
        /// Tasks at once.
        count: u32,
        /// The customer's share in this data centre that the home went by. A holder that learns of a lower one scales
        /// its grant down at once, without a message.
        share: u32,
    },
    /// The home does not take itself for the home of this customer. What the entry holds stays as it was.
    NotHome,
}
