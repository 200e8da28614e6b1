//! The ports of the entries that have a session here.
//!
//! A port cannot leave the control thread, and actor messages must be able to, so the ports are kept beside the
//! control actor: the peer port puts them in, the actor takes them out.

use std::{cell::RefCell, rc::Rc};

use model::{FastMap, IncarnationId, SessionId};
use peer::EntryClient;

/// Entry ports by incarnation. Clones share the same table.
#[derive(Clone, Default)]
pub(crate) struct EntryDirectory {
    entries: Rc<RefCell<FastMap<IncarnationId, EntryRecord>>>,
}

struct EntryRecord {
    session: SessionId,
    client: EntryClient,
}

impl EntryDirectory {
    /// Puts a port in, unless a later session of the same entry is there.
    pub(crate) fn put(&self, entry: IncarnationId, session: SessionId, client: EntryClient) {
        let mut entries = self.entries.borrow_mut();
        if entries
            .get(&entry)
            .is_some_and(|record| record.session >= session)
        {
            return;
        }
        entries.insert(entry, EntryRecord { session, client });
    }

    /// The port of an entry's session, unless the session is over.
    pub(crate) fn get(&self, entry: IncarnationId, session: SessionId) -> Option<EntryClient> {
        let entries = self.entries.borrow();
        entries
            .get(&entry)
            .filter(|record| record.session == session)
            .map(|record| record.client.clone())
    }

    /// The port of an entry, whatever its session.
    pub(crate) fn find(&self, entry: IncarnationId) -> Option<EntryClient> {
        self.entries
            .borrow()
            .get(&entry)
            .map(|record| record.client.clone())
    }

    /// The ports of all entries with a session.
    pub(crate) fn all(&self) -> Vec<EntryClient> {
        self.entries
            .borrow()
            .values()
            .map(|record| record.client.clone())
            .collect()
    }

    /// Entries with a session.
    pub(crate) fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Forgets a session that is over.
    pub(crate) fn remove(&self, entry: IncarnationId, session: SessionId) {
        let mut entries = self.entries.borrow_mut();
        if entries
            .get(&entry)
            .is_some_and(|record| record.session == session)
        {
            entries.remove(&entry);
        }
    }
}
