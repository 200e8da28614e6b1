//! Finds the VM that opened a connection, so that links that share an address can be told apart.
//!
//! All processes run on one machine, so the kernel knows which of them owns the other end of a loopback connection.

use std::{
    fs,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use stand_ins::forwarder::{ConnectionEnds, SourceFinder};

use crate::{script::Label, socket_table::find_inode};

/// How often the owner of a connection is looked for. A process may connect before its id is in the list.
const SEARCHES: u32 = 10;

/// The pause between two searches.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// The process ids of the run with their VMs. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct SourceList {
    pids: Arc<Mutex<Vec<(u32, Label)>>>,
}

impl SourceList {
    /// Adds a process of a VM.
    pub fn add_process(&self, pid: u32, vm: &str) {
        let mut pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        pids.push((pid, vm.to_owned()));
    }

    /// Returns a function that finds the VM of a connection. It may block for `SEARCHES` pauses.
    pub fn finder(&self) -> SourceFinder {
        let list = self.clone();
        Arc::new(move |ends| list.find_vm(ends))
    }

    fn find_vm(&self, ends: ConnectionEnds) -> Option<Label> {
        for _ in 0..SEARCHES {
            let inode = match find_inode(ends) {
                Ok(inode) => inode?,
                Err(error) => {
                    log::warn!("scenario: cannot look up a socket: {error}");
                    return None;
                }
            };
            if let Some(vm) = self.find_owner(inode) {
                return Some(vm);
            }
            thread::sleep(SEARCH_PAUSE);
        }
        None
    }

    fn find_owner(&self, inode: u32) -> Option<Label> {
        // A copy, so that searches do not wait for each other.
        let pids = self
            .pids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        // Newest first, because the pid of an ended process may have been reused by a later one.
        let found = pids
            .into_iter()
            .rev()
            .find(|(pid, _)| has_socket(*pid, inode));
        found.map(|(_, vm)| vm)
    }
}

fn has_socket(pid: u32, inode: u32) -> bool {
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
