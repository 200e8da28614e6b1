//! What dispatchers tell each other about themselves.

use std::net::SocketAddr;

use model::{DataCentreId, IncarnationId};

/// This process, as it shows itself to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnMember {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// This life of it.
    pub incarnation: IncarnationId,
    /// Whether it stops.
    pub stopping: bool,
    /// The newest contract head that it holds.
    pub head: u64,
}

/// A dispatcher as it last showed itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The life of the process. Another one at the same address means that it was restarted.
    pub incarnation: IncarnationId,
    /// Whether it stops. A stopping dispatcher owns nothing and takes no new work.
    pub stopping: bool,
    /// The newest contract head that it holds.
    pub head: u64,
}

impl MemberView {
    /// Whether the two differ in what decides ownership. A new contract head does not.
    pub(crate) fn changes_ownership(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.stopping != other.stopping
            || self.data_centre != other.data_centre
    }
}

/// A dispatcher that may own endpoints or be a customer's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LiveOwner {
    /// Its peer address, by which ownership is reckoned: a restarted process keeps its endpoints.
    pub address: SocketAddr,
    /// The life of the process.
    pub incarnation: IncarnationId,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatMessage {
    /// The sender.
    pub view: MemberView,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// The one that answers.
    pub view: MemberView,
}

/// What the table asks of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send [`crate::MemberTable::heartbeat_message`] to this address.
    SendHeartbeat {
        /// The peer address.
        address: SocketAddr,
    },
    /// The set of live members, or what decides ownership among them, changed.
    ViewChanged,
}
