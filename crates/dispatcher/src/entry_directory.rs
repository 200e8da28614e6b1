//! The ports of the entries that have a session with this dispatcher.
//!
//! The clients of entry ports are not `Send`, but actor messages have to be. So they are kept beside the control actor
//! on its thread: the peer port inserts them, and the actor looks them up.

use std::{cell::RefCell, rc::Rc};

use model::{FastMap, IncarnationId, SessionId};
use peer::EntryClient;

/// Entry ports by incarnation. Clones share one table.
#[derive(Clone, Default)]
pub(crate) struct EntryDirectory {
    entries: Rc<RefCell<FastMap<IncarnationId, EntryRecord>>>,
}

struct EntryRecord {
    session: SessionId,
    client: EntryClient,
}

impl EntryDirectory {
    /// Inserts a port, unless the same or a later session of the entry is present.
    pub(crate) fn register(&self, entry: IncarnationId, session: SessionId, client: EntryClient) {
        let mut entries = self.entries.borrow_mut();
        if entries
            .get(&entry)
            .is_some_and(|record| record.session >= session)
        {
            return;
        }
        entries.insert(entry, EntryRecord { session, client });
    }

    /// Returns the port of an entry's session, or `None` if the session is over.
    pub(crate) fn get(&self, entry: IncarnationId, session: SessionId) -> Option<EntryClient> {
        let entries = self.entries.borrow();
        entries
            .get(&entry)
            .filter(|record| record.session == session)
            .map(|record| record.client.clone())
    }

    /// Returns the port of an entry, whatever its session.
    pub(crate) fn find(&self, entry: IncarnationId) -> Option<EntryClient> {
        self.entries
            .borrow()
            .get(&entry)
            .map(|record| record.client.clone())
    }

    /// Returns the ports of all entries with a session.
    pub(crate) fn all(&self) -> Vec<EntryClient> {
        self.entries
            .borrow()
            .values()
            .map(|record| record.client.clone())
            .collect()
    }

    /// Number of entries with a session.
    pub(crate) fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Removes a session that is over; a later session of the entry stays.
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
