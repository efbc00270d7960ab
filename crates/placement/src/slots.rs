//! Adapter slots of one backend server. Its side process is the authority on them.
//!
//! A request pins its adapter before the load completes and unpins it at its end. A
//! pinned adapter is never evicted.

use std::{collections::HashMap, time::Duration};

use fleet::{decay, lease::Moment};

/// Half-life of an adapter's use count.
const USE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Maximum number of evicted adapters whose usage is kept; at the limit, all are dropped.
const MAX_EVICTED_USAGES: usize = 4096;

/// Eviction policy, a plug-in.
#[derive(Debug)]
pub struct Eviction {
    pub name: &'static str,
    /// Returns the value of keeping an adapter; the lowest is evicted first.
    pub score: fn(Usage, Moment) -> f64,
}

inventory::collect!(Eviction);

inventory::submit! {
    Eviction { name: "frequency", score: decayed_use_count }
}

inventory::submit! {
    Eviction { name: "lru", score: |usage, _now| usage.last_used.as_secs_f64() }
}

/// Usage of an adapter, kept across evictions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub last_used: Moment,
    /// Decayed number of uses at `last_used`.
    pub use_count: f64,
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub adapter: fleet::Name,
    pub version: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Loading,
    Resident,
    /// The engine seems to have crashed or lost the adapter. The slot is kept until the
    /// last request that uses it ends, because the engine may still have the adapter.
    Unconfirmed,
}

#[derive(Clone, Debug)]
struct Slot {
    id: SlotId,
    key: Key,
    phase: Phase,
    pins: u32,
    usage: Usage,
}

/// Identifies one occupancy of a slot and is never reused, so that a late call for an
/// earlier occupancy does not affect a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotId(u64);

/// Result of pinning an adapter. The adapter is pinned in all cases but `Blocked`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pin {
    /// The adapter is loaded.
    Resident(SlotId),
    /// A load for an earlier request is in progress.
    Loading(SlotId),
    /// The caller must unload the victim, if any, and then load the adapter.
    Load { id: SlotId, victim: Option<Key> },
    /// No slot is free or evictable, or the adapter's own slot is unconfirmed.
    Blocked,
}

/// Adapter slots of one backend server.
#[derive(Clone, Debug)]
pub struct Slots {
    capacity: usize,
    score: fn(Usage, Moment) -> f64,
    /// Occupied slots.
    slots: Vec<Slot>,
    last_id: u64,
    /// Usage of evicted adapters, restored when they are loaded again.
    evicted_usages: HashMap<Key, Usage>,
}

impl Slots {
    pub fn new(capacity: usize, eviction: &Eviction) -> Slots {
        Slots {
            capacity,
            score: eviction.score,
            slots: Vec::new(),
            last_id: 0,
            evicted_usages: HashMap::new(),
        }
    }

    /// Pins an adapter for one request.
    pub fn pin(&mut self, now: Moment, key: &Key) -> Pin {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.key == *key) {
            let pin = match slot.phase {
                Phase::Resident => Pin::Resident(slot.id),
                Phase::Loading => Pin::Loading(slot.id),
                Phase::Unconfirmed => {
                    cov_mark::hit!(pin_of_unconfirmed_adapter);
                    return Pin::Blocked;
                }
            };
            slot.pins += 1;
            slot.usage = record_use(slot.usage, now);
            return pin;
        }
        let victim = if self.slots.len() < self.capacity { None } else { self.pick_victim(now) };
        if self.capacity <= self.slots.len() && victim.is_none() {
            return Pin::Blocked;
        }
        let victim = victim.map(|index| self.evict(index));
        let usage = record_use(self.evicted_usages.remove(key).unwrap_or_default(), now);
        let id = self.allocate_id();
        self.slots.push(Slot { id, key: key.clone(), phase: Phase::Loading, pins: 1, usage });
        Pin::Load { id, victim }
    }

    /// Releases the pin of one request.
    pub fn unpin(&mut self, id: SlotId) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.id == id) {
            slot.pins = slot.pins.saturating_sub(1);
        }
        self.slots.retain(|slot| slot.phase != Phase::Unconfirmed || 0 < slot.pins);
    }

    /// Records that a load requested by [`Pin::Load`] completed.
    pub fn load_succeeded(&mut self, id: SlotId) {
        let loading = |slot: &&mut Slot| slot.id == id && slot.phase == Phase::Loading;
        if let Some(slot) = self.slots.iter_mut().find(loading) {
            slot.phase = Phase::Resident;
        }
    }

    /// Records that a load requested by [`Pin::Load`] failed, and frees the slot.
    pub fn load_failed(&mut self, id: SlotId) {
        self.slots.retain(|slot| slot.id != id);
    }

    /// Records that the engine seems to have lost an adapter.
    pub fn mark_lost(&mut self, key: &Key) {
        self.slots.retain(|slot| slot.key != *key || 0 < slot.pins);
        let lost = self.slots.iter_mut().filter(|slot| slot.key == *key);
        lost.for_each(|slot| slot.phase = Phase::Unconfirmed);
    }

    /// Adds an adapter that the engine has loaded without a request by this process.
    /// Returns false if no slot is free or the adapter already has one.
    pub fn adopt(&mut self, now: Moment, key: Key) -> bool {
        if self.capacity <= self.slots.len() || self.slots.iter().any(|slot| slot.key == key) {
            return false;
        }
        let usage = Usage { last_used: now, use_count: 0.0 };
        let id = self.allocate_id();
        self.slots.push(Slot { id, key, phase: Phase::Resident, pins: 0, usage });
        true
    }

    /// Records that the engine seems to have crashed, which loses all adapters.
    pub fn mark_all_lost(&mut self) {
        self.slots.retain(|slot| 0 < slot.pins);
        self.slots.iter_mut().for_each(|slot| slot.phase = Phase::Unconfirmed);
    }

    /// Returns whether an adapter is resident or being loaded.
    pub fn is_present(&self, key: &Key) -> bool {
        self.slots.iter().any(|slot| slot.key == *key && slot.phase != Phase::Unconfirmed)
    }

    /// Returns whether [`Slots::pin`] would return [`Pin::Blocked`].
    pub fn is_blocked(&self, key: &Key) -> bool {
        let own = self.slots.iter().find(|slot| slot.key == *key);
        own.map_or(!self.has_room(), |slot| slot.phase == Phase::Unconfirmed)
    }

    /// Returns whether an adapter is resident.
    pub fn is_resident(&self, key: &Key) -> bool {
        self.slots.iter().any(|slot| slot.key == *key && slot.phase == Phase::Resident)
    }

    /// Returns whether a slot is free or can be freed by an eviction.
    pub fn has_room(&self) -> bool {
        self.slots.len() < self.capacity || self.slots.iter().any(is_evictable)
    }

    /// Returns the adapters with their pin counts, for status reports.
    pub fn list(&self) -> impl Iterator<Item = (&Key, u32)> {
        self.slots.iter().map(|slot| (&slot.key, slot.pins))
    }

    fn evict(&mut self, index: usize) -> Key {
        let slot = self.slots.swap_remove(index);
        if MAX_EVICTED_USAGES <= self.evicted_usages.len() {
            self.evicted_usages.clear();
        }
        self.evicted_usages.insert(slot.key.clone(), slot.usage);
        slot.key
    }

    fn allocate_id(&mut self) -> SlotId {
        self.last_id += 1;
        SlotId(self.last_id)
    }

    fn pick_victim(&self, now: Moment) -> Option<usize> {
        let score = |index: &usize| (self.score)(self.slots[*index].usage, now);
        (0..self.slots.len())
            .filter(|index| is_evictable(&self.slots[*index]))
            .min_by(|a, b| score(a).total_cmp(&score(b)))
    }
}

fn is_evictable(slot: &Slot) -> bool {
    slot.pins == 0 && slot.phase == Phase::Resident
}

fn record_use(usage: Usage, now: Moment) -> Usage {
    Usage { last_used: now, use_count: decayed_use_count(usage, now) + 1.0 }
}

fn decayed_use_count(usage: Usage, now: Moment) -> f64 {
    usage.use_count * decay::remaining(usage.last_used, now, USE_HALF_LIFE)
}
