//! Map cut into shards, each under its own lock.

use std::{
    collections::HashMap,
    hash::{BuildHasher as _, Hash, RandomState},
};

use parking_lot::Mutex;

const SHARDS: usize = 16;

/// Concurrent map; callers on different shards do not wait for each other.
#[derive(Debug)]
pub struct Map<K, V> {
    hasher: RandomState,
    shards: [Mutex<HashMap<K, V>>; SHARDS],
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Map<K, V> {
        Map { hasher: RandomState::new(), shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl<K: Hash + Eq, V> Map<K, V> {
    /// Runs `update` with the shard that holds `key`, under its lock.
    pub fn with<T>(&self, key: &K, update: impl FnOnce(&mut HashMap<K, V>) -> T) -> T {
        let index = self.hasher.hash_one(key) as usize % SHARDS;
        update(&mut self.shards[index].lock())
    }

    /// Runs `visit` for every shard in turn.
    pub fn for_each_shard(&self, mut visit: impl FnMut(&mut HashMap<K, V>)) {
        for shard in &self.shards {
            visit(&mut shard.lock());
        }
    }
}
