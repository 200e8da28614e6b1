//! Finds which VM opened a connection, so that links that share an address can be told apart.
//!
//! Everything runs on one machine, so the kernel's own tables say which process has the other end of a loopback
//! connection.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
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
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let (Some(local), Some(inode)) = (fields.get(1), fields.get(9)) else {
            continue;
        };
        if read_address(local) == Some(from) {
            return Some((*inode).to_owned());
        }
    }
    None
}

/// Reads an address of the kernel's table: the IPv4 address as a hexadecimal number in this machine's byte order, and
/// the port.
fn read_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::from((Ipv4Addr::from(ip.to_ne_bytes()), port)))
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
