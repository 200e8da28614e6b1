//! A map of limited size that forgets what was used longest ago.

use std::{borrow::Borrow, collections::BTreeMap, hash::Hash};

use model::FastMap;

/// State per customer or kind with a limit on the number of keys.
///
/// Load: names that come from callers and never come again. Harm: without a limit the process grows until it is
/// killed, and every request in it is cut. Reason: what was used longest ago is the cheapest to learn again.
///
/// Each operation costs O(log n).
#[derive(Debug)]
pub(crate) struct LruMap<K, V> {
    capacity: usize,
    values: FastMap<K, (u64, V)>,
    recency: BTreeMap<u64, K>,
    next_use: u64,
}

impl<K: Clone + Eq + Hash, V> LruMap<K, V> {
    /// An empty map of at most `capacity` keys, at least one.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            values: FastMap::default(),
            recency: BTreeMap::new(),
            next_use: 0,
        }
    }

    /// The value without a note that it was used.
    pub(crate) fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.values.get(key).map(|(_, value)| value)
    }

    /// The value, made by `make` where absent, and the note that it was used now.
    pub(crate) fn touch_or_insert(&mut self, key: &K, make: impl FnOnce() -> V) -> &mut V {
        if !self.values.contains_key(key) && self.values.len() >= self.capacity {
            self.evict_least_recent();
        }
        let this_use = self.next_use;
        self.next_use += 1;
        let (last_use, value) = self
            .values
            .entry(key.clone())
            .or_insert_with(|| (this_use, make()));
        self.recency.remove(last_use);
        self.recency.insert(this_use, key.clone());
        *last_use = this_use;
        value
    }

    /// The number of keys.
    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    fn evict_least_recent(&mut self) {
        if let Some((_, key)) = self.recency.pop_first() {
            self.values.remove(&key);
        }
    }
}
