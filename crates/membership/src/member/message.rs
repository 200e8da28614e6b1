//! Messages in which dispatchers describe themselves.

use std::net::SocketAddr;

use model::{DataCentreId, IncarnationId};

/// This process as it describes itself to other dispatchers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnMember {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The incarnation of this process.
    pub incarnation: IncarnationId,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The newest contract head that it holds.
    pub head: u64,
}

/// A dispatcher as it last described itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The incarnation of the process. Another one at the same address means that the process was restarted.
    pub incarnation: IncarnationId,
    /// Whether it is stopping. A stopping dispatcher owns nothing and takes no new work.
    pub stopping: bool,
    /// The newest contract head that it holds.
    pub head: u64,
}

impl MemberView {
    /// Whether the two differ in a field that determines ownership. A new contract head does not.
    pub(crate) fn changes_ownership(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.stopping != other.stopping
            || self.data_centre != other.data_centre
    }
}

/// A dispatcher that may own endpoints or be a customer's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LiveOwner {
    /// Its peer address, which determines ownership: a restarted process keeps its endpoints.
    pub address: SocketAddr,
    /// The incarnation of the process.
    pub incarnation: IncarnationId,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatMessage {
    /// The sender as it describes itself.
    pub view: MemberView,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// The answering dispatcher as it describes itself.
    pub view: MemberView,
}

/// An action that the process around the table has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send [`crate::MemberTable::heartbeat_message`] to this address.
    SendHeartbeat {
        /// The peer address.
        address: SocketAddr,
    },
    /// The set of live members, or a field that determines ownership among them, changed.
    ViewChanged,
}
