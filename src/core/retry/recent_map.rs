use std::collections::{BTreeMap, VecDeque};

/// Values by key, of which at most a fixed number is kept; the key that was inserted first is
/// removed first.
#[derive(Debug, Clone)]
pub struct RecentMap<K, V> {
    entries: BTreeMap<K, V>,
    /// Keys of `entries`, oldest first.
    insertion_order: VecDeque<K>,
    max_entries: usize,
}

impl<K: Ord + Copy, V> RecentMap<K, V> {
    /// Creates an empty map that keeps at most `max_entries` values.
    ///
    /// ```
    /// let mut map = toucanring::core::retry::RecentMap::new(1);
    /// map.insert(7, "old");
    /// map.insert(8, "new");
    /// assert_eq!((map.get(7), map.get(8)), (None, Some(&"new")));
    /// ```
    #[must_use]
    pub const fn new(max_entries: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            max_entries,
        }
    }

    /// Number of values kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no value is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The value of a key; none when it was not inserted or removed again.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(&key)
    }

    /// The value of a key, to be changed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.entries.get_mut(&key)
    }

    /// All entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries.iter().map(|(key, value)| (*key, value))
    }

    /// The entries with a lower key, in the order of their keys.
    pub fn below(&self, key: K) -> impl Iterator<Item = (K, &V)> {
        self.entries.range(..key).map(|(key, value)| (*key, value))
    }

    /// Sets the value of a key. A new key makes room for itself by removing the oldest one.
    pub fn insert(&mut self, key: K, value: V) {
        if self.entries.insert(key, value).is_some() {
            return;
        }
        self.insertion_order.push_back(key);
        if self.insertion_order.len() <= self.max_entries {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.entries.remove(&oldest);
        }
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(K, &V) -> bool) {
        let entries = &mut self.entries;
        entries.retain(|key, value| keep(*key, value));
        self.insertion_order.retain(|key| entries.contains_key(key));
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let removed = self.entries.remove(&key)?;
        self.insertion_order.retain(|known| *known != key);
        Some(removed)
    }
}
