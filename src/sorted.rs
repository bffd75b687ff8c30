//! A map that is stored as a sorted vector and searched by binary search.

/// A map from `K` to `V` in ascending order of `K`.
///
/// ```
/// let mut map = dragonflylug::sorted::SortedMap::default();
/// map.insert(2, "b");
/// map.insert(1, "a");
/// assert_eq!(map.get(&1), Some(&"a"));
/// assert_eq!(map.keys().copied().collect::<Vec<_>>(), [1, 2]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(probe, _)| probe.cmp(key))
    }

    /// Inserts a value and returns the value that it replaces, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.position(key).ok()?;
        Some(&self.entries[index].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.position(key).ok()?;
        Some(&mut self.entries[index].1)
    }

    /// Returns a mutable reference to the value of a key; inserts `create()` first if the key is
    /// missing.
    pub fn get_or_insert_with(&mut self, key: K, create: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, create()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.position(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    /// Returns whether the map contains a key.
    pub fn contains_key(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Keeps the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Removes and returns the entry with the smallest key.
    pub fn pop_first(&mut self) -> Option<(K, V)> {
        if self.entries.is_empty() {
            return None;
        }
        Some(self.entries.remove(0))
    }

    /// Returns the entry at an index in key order.
    pub fn entry_at(&self, index: usize) -> Option<(&K, &V)> {
        self.entries.get(index).map(|(key, value)| (key, value))
    }

    /// Returns an iterator over the entries in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Returns an iterator over the entries in key order, with mutable references to the values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns an iterator over the keys in ascending order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.entries.iter().map(|(key, _)| key)
    }

    /// Returns an iterator over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.entries.iter().map(|(_, value)| value)
    }

    /// Returns an iterator over mutable references to the values in key order.
    pub fn values_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut V> {
        self.entries.iter_mut().map(|(_, value)| value)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
