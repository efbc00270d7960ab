//! Hash map split into shards, each with its own lock.

use std::{
    collections::HashMap,
    hash::{BuildHasher as _, Hash, RandomState},
};

use parking_lot::Mutex;

const SHARD_COUNT: usize = 16;

/// Concurrent map; threads that use different shards do not block each other.
#[derive(Debug)]
pub struct Map<K, V> {
    hasher: RandomState,
    shards: [Mutex<HashMap<K, V>>; SHARD_COUNT],
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Map<K, V> {
        Map { hasher: RandomState::new(), shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl<K: Hash + Eq, V> Map<K, V> {
    /// Runs `update` on the shard of `key`, under the shard's lock.
    pub fn with<T>(&self, key: &K, update: impl FnOnce(&mut HashMap<K, V>) -> T) -> T {
        let index = self.hasher.hash_one(key) as usize % SHARD_COUNT;
        update(&mut self.shards[index].lock())
    }

    /// Runs `visit` on every shard in turn, under the lock of that shard alone.
    pub fn for_each_shard(&self, mut visit: impl FnMut(&mut HashMap<K, V>)) {
        for shard in &self.shards {
            visit(&mut shard.lock());
        }
    }
}
