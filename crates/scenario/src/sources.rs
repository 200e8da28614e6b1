//! Finds the VM that opened a connection, so that links that share an address can be told apart.
//!
//! All processes run on one machine, so the kernel's socket table shows which process owns the other end of a loopback
//! connection.

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use stand_ins::forwarder::SourceFinder;

use crate::script::Label;

/// The process ids of the run with their VMs. Clones share the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourceList {
    pids: Arc<Mutex<Vec<(u32, Label)>>>,
}

impl SourceList {
    pub(crate) fn add_process(&self, pid: u32, vm: &str) {
        let mut pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        pids.push((pid, vm.to_owned()));
    }

    /// Returns a function that maps the source address of a connection to its VM.
    pub(crate) fn finder(&self) -> SourceFinder {
        let list = self.clone();
        Arc::new(move |from| list.find_vm(from))
    }

    fn find_vm(&self, from: SocketAddr) -> Option<Label> {
        let inode = socket_inode(&fs::read_to_string("/proc/net/tcp").ok()?, from)?;
        let pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        // Newest first, because the pid of an ended process may have been reused by a later one.
        let found = pids.iter().rev().find(|(pid, _)| has_socket(*pid, &inode));
        found.map(|(_, vm)| vm.clone())
    }
}

/// The inode of the socket whose local address is `from`.
fn socket_inode(table: &str, from: SocketAddr) -> Option<String> {
    // In the table only the local address follows a colon and a space; the remote address follows a space alone.
    let own = format!(": {} ", table_address(from)?);
    let line = table.lines().find(|line| line.contains(&own))?;
    line.split_whitespace().nth(9).map(str::to_owned)
}

/// Formats an address as in the kernel's table: the IPv4 address as a hexadecimal number in native byte order, then the
/// port in hexadecimal. `None` for IPv6.
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
