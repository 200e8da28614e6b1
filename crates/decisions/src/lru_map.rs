//! A map of limited size that evicts the least recently used entry.

use std::{borrow::Borrow, collections::BTreeMap, hash::Hash};

use model::FastMap;

/// Holds a value per customer or per task kind, for a limited number of keys.
///
/// Keys come from callers and may never come again. Without a limit the process would grow until it is killed, which
/// cuts every request in it. The least recently used value is the cheapest one to learn again.
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
    /// Creates an empty map of at most `capacity` keys, but at least one.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            values: FastMap::default(),
            recency: BTreeMap::new(),
            next_use: 0,
        }
    }

    /// Returns the value without marking it as used.
    pub(crate) fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.values.get(key).map(|(_, value)| value)
    }

    /// Returns the value, inserting the result of `make` if the key is absent, and marks it as the most recently used.
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
