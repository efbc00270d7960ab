//! The adapter slots of one backend server. Its side process is the authority:
//! an adapter is pinned from the moment a request needs it, before its load
//! ends, and a pinned adapter is never evicted.

use std::{collections::HashMap, time::Duration};

use fleet::{decay, lease::Moment};

/// Half-life of a slot's use count.
const USE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Adapters remembered after they left.
const KEPT_DEPARTED: usize = 4096;

/// Rates an adapter for eviction; the lowest rating goes first.
#[derive(Debug)]
pub struct Victim {
    pub name: &'static str,
    pub rating: fn(Usage, Moment) -> f64,
}

inventory::collect!(Victim);

inventory::submit! {
    Victim { name: "frequency", rating: decayed_uses }
}

inventory::submit! {
    Victim { name: "lru", rating: |usage, _now| usage.last_used.as_secs_f64() }
}

/// How an adapter has been used while loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub last_used: Moment,
    /// Use count at `last_used`, decayed.
    pub uses: f64,
}

/// An adapter at one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub adapter: fleet::Name,
    pub version: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Loading,
    Resident,
    /// The engine seems to have crashed. It stays until the last request that used
    /// it has ended, in case it has not.
    Doubtful,
}

#[derive(Clone, Debug)]
struct Slot {
    stay: Stay,
    key: Key,
    phase: Phase,
    pins: u32,
    usage: Usage,
}

/// Names one stay of an adapter in a slot, so that what belongs to an earlier stay
/// cannot touch a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stay(u64);

/// What a request for an adapter leads to. In every case but `Full` it is pinned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pin {
    /// Loaded.
    Resident(Stay),
    /// Somebody else is loading it.
    Loading(Stay),
    /// The caller has to load it, after unloading the victim.
    Load { stay: Stay, victim: Option<Key> },
    /// Every slot is pinned, or the adapter's own is in doubt.
    Full,
}

/// Slots of one backend server.
#[derive(Clone, Debug)]
pub struct Slots {
    capacity: usize,
    rating: fn(Usage, Moment) -> f64,
    slots: Vec<Slot>,
    last_stay: u64,
    /// How adapters were used that have left, so that one that comes back is known.
    departed: HashMap<Key, Usage>,
}

impl Slots {
    pub fn new(capacity: usize, victim: &Victim) -> Slots {
        Slots {
            capacity,
            rating: victim.rating,
            slots: Vec::new(),
            last_stay: 0,
            departed: HashMap::new(),
        }
    }

    /// Pins an adapter for one request.
    pub fn pin(&mut self, now: Moment, key: &Key) -> Pin {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.key == *key) {
            let pin = match slot.phase {
                Phase::Resident => Pin::Resident(slot.stay),
                Phase::Loading => Pin::Loading(slot.stay),
                Phase::Doubtful => {
                    cov_mark::hit!(pin_on_a_doubtful_adapter);
                    return Pin::Full;
                }
            };
            slot.pins += 1;
            slot.usage = used(slot.usage, now);
            return pin;
        }
        let victim = if self.slots.len() < self.capacity { None } else { self.victim(now) };
        if self.capacity <= self.slots.len() && victim.is_none() {
            return Pin::Full;
        }
        let victim = victim.map(|index| self.evict(index));
        let usage = used(self.departed.remove(key).unwrap_or_default(), now);
        let stay = self.next_stay();
        self.slots.push(Slot { stay, key: key.clone(), phase: Phase::Loading, pins: 1, usage });
        Pin::Load { stay, victim }
    }

    /// Ends one request's use.
    pub fn unpin(&mut self, stay: Stay) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.stay == stay) {
            slot.pins = slot.pins.saturating_sub(1);
        }
        self.slots.retain(|slot| slot.phase != Phase::Doubtful || 0 < slot.pins);
    }

    /// The load that `pin` asked for has ended.
    pub fn loaded(&mut self, stay: Stay) {
        let loading = |slot: &&mut Slot| slot.stay == stay && slot.phase == Phase::Loading;
        if let Some(slot) = self.slots.iter_mut().find(loading) {
            slot.phase = Phase::Resident;
        }
    }

    /// The load that `pin` asked for has failed.
    pub fn load_failed(&mut self, stay: Stay) {
        self.slots.retain(|slot| slot.stay != stay);
    }

    /// The engine seems to have lost an adapter.
    pub fn lose(&mut self, key: &Key) {
        self.slots.retain(|slot| slot.key != *key || 0 < slot.pins);
        let lost = self.slots.iter_mut().filter(|slot| slot.key == *key);
        lost.for_each(|slot| slot.phase = Phase::Doubtful);
    }

    /// Takes in an adapter that the engine has loaded without this process's order;
    /// tells whether there was room.
    pub fn adopt(&mut self, now: Moment, key: Key) -> bool {
        if self.capacity <= self.slots.len() || self.slots.iter().any(|slot| slot.key == key) {
            return false;
        }
        let usage = Usage { last_used: now, uses: 0.0 };
        let stay = self.next_stay();
        self.slots.push(Slot { stay, key, phase: Phase::Resident, pins: 0, usage });
        true
    }

    /// The engine seems to have crashed.
    pub fn doubt(&mut self) {
        self.slots.retain(|slot| 0 < slot.pins);
        self.slots.iter_mut().for_each(|slot| slot.phase = Phase::Doubtful);
    }

    /// Whether an adapter is loaded or being loaded.
    pub fn is_present(&self, key: &Key) -> bool {
        self.slots.iter().any(|slot| slot.key == *key && slot.phase != Phase::Doubtful)
    }

    /// Whether a request for an adapter could not even begin to wait for it.
    pub fn is_blocked(&self, key: &Key) -> bool {
        let own = self.slots.iter().find(|slot| slot.key == *key);
        own.map_or(!self.has_room(), |slot| slot.phase == Phase::Doubtful)
    }

    /// Whether an adapter is loaded.
    pub fn is_resident(&self, key: &Key) -> bool {
        self.slots.iter().any(|slot| slot.key == *key && slot.phase == Phase::Resident)
    }

    /// Whether a new adapter could be taken in now.
    pub fn has_room(&self) -> bool {
        self.slots.len() < self.capacity || self.slots.iter().any(is_evictable)
    }

    /// Adapters with their pins, for reports.
    pub fn list(&self) -> impl Iterator<Item = (&Key, u32)> {
        self.slots.iter().map(|slot| (&slot.key, slot.pins))
    }

    fn evict(&mut self, index: usize) -> Key {
        let slot = self.slots.swap_remove(index);
        if KEPT_DEPARTED <= self.departed.len() {
            self.departed.clear();
        }
        self.departed.insert(slot.key.clone(), slot.usage);
        slot.key
    }

    fn next_stay(&mut self) -> Stay {
        self.last_stay += 1;
        Stay(self.last_stay)
    }

    fn victim(&self, now: Moment) -> Option<usize> {
        let rating = |index: &usize| (self.rating)(self.slots[*index].usage, now);
        (0..self.slots.len())
            .filter(|index| is_evictable(&self.slots[*index]))
            .min_by(|a, b| rating(a).total_cmp(&rating(b)))
    }
}

fn is_evictable(slot: &Slot) -> bool {
    slot.pins == 0 && slot.phase == Phase::Resident
}

fn used(usage: Usage, now: Moment) -> Usage {
    Usage { last_used: now, uses: decayed_uses(usage, now) + 1.0 }
}

fn decayed_uses(usage: Usage, now: Moment) -> f64 {
    usage.uses * decay::remaining(usage.last_used, now, USE_HALF_LIFE)
}
