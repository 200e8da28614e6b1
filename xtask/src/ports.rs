//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use eyre::{eyre, Result};

/// Lowest port to try. The range lies below the ports that the operating system gives to outgoing connections, which
/// could otherwise take a port between the check and the start of its process.
const LOWEST_PORT: u16 = 12_000;
const HIGHEST_PORT: u16 = 30_000;

/// Hands out ports that were free when checked, each at most once.
pub(crate) struct PortFinder {
    next: u16,
}

impl PortFinder {
    pub(crate) fn new() -> Self {
        let offset = u16::try_from(std::process::id() % 100).unwrap_or(0);
        Self {
            next: LOWEST_PORT + offset * 100,
        }
    }

    pub(crate) fn single(&mut self) -> Result<SocketAddr> {
        self.consecutive(1)
    }

    /// Returns the address of the first of `count` consecutive free ports.
    pub(crate) fn consecutive(&mut self, count: u16) -> Result<SocketAddr> {
        let mut length = 0;
        while self.next < HIGHEST_PORT {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if TcpListener::bind(address).is_err() {
                length = 0;
                continue;
            }
            length += 1;
            if length == count {
                let first = self.next - count;
                return Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, first)));
            }
        }
        Err(eyre!(
            "no {count} consecutive free ports were found below port {HIGHEST_PORT}"
        ))
    }
}
