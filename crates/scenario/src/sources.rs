//! Finds which VM opened a connection, so that links that share an address can be told apart.
//!
//! Everything runs on one machine, so the kernel's own tables say which process has the other end of a loopback
//! connection.

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use stand_ins::forwarder::SourceFinder;

use crate::script::Label;

/// The processes of the run and their VMs. Clones share the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourceList {
    pids: Arc<Mutex<Vec<(u32, Label)>>>,
}

impl SourceList {
    pub(crate) fn add(&self, pid: u32, vm: &str) {
        let mut pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        pids.push((pid, vm.to_owned()));
    }

    /// Looks a connection up by the address it comes from.
    pub(crate) fn finder(&self) -> SourceFinder {
        let list = self.clone();
        Arc::new(move |from| list.find(from))
    }

    fn find(&self, from: SocketAddr) -> Option<Label> {
        let inode = socket_inode(&fs::read_to_string("/proc/net/tcp").ok()?, from)?;
        let pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        // Newest first: a pid of a process that has ended may have been given to a later one.
        let found = pids.iter().rev().find(|(pid, _)| has_socket(*pid, &inode));
        found.map(|(_, vm)| vm.clone())
    }
}

/// The inode of the socket whose own address is `from`.
fn socket_inode(table: &str, from: SocketAddr) -> Option<String> {
    // Only the socket's own address follows a colon and a space, that of the other side follows one space.
    let own = format!(": {} ", table_address(from)?);
    let line = table.lines().find(|line| line.contains(&own))?;
    line.split_whitespace().nth(9).map(str::to_owned)
}

/// An address as the kernel's table has it: the IPv4 address as a hexadecimal number in this machine's byte order, and the
/// port.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn has_socket(pid: u32, inode: &str) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let wanted = format!("socket:[{inode}]");
    for entry in entries.flatten() {
        if fs::read_link(entry.path()).is_ok_and(|target| target.as_os_str() == wanted.as_str()) {
            return true;
        }
    }
    false
}
