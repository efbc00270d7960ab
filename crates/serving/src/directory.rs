//! Backend servers registered in the platform's store.
//!
//! A server that announces that it is leaving, in its listing or in a response, gets no new
//! requests from then on. The announcement holds for that process of the server, whatever its
//! listing says later, also if the store is restored from a copy that is older than it.
//! A server whose listing is removed is dropped, with one exception: listings expire
//! while the store is unreachable, so a removal seen soon after the store
//! recovers takes effect only if the server does not register again in time.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{Moment, Name};

/// Time after the store recovers in which running servers whose listings expired register again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Number of processes from which those that announced that they leave, or were removed, are
/// forgotten if their servers are not listed.
const MAX_REMEMBERED: usize = 1024;

/// Listing of one backend server, as the server itself registers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub id: Name,
    pub service: Name,
    pub address: SocketAddr,
    pub zone: Name,
    /// Version of the server's software. Versions have no order; empty if the listing states none.
    pub version: Name,
    /// Requests that the server runs at once.
    pub slots: u32,
    pub phase: Phase,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Loaded base models.
    pub models: Vec<Name>,
    /// Time left until the process has warmed up; `None` if the listing states none.
    pub warmup_left: Option<Duration>,
}

/// Phase in the life of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Takes new requests.
    Ready,
    /// Takes no new requests and will stop.
    Leaving,
}

/// Effect of an update on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Added,
    Changed,
    /// The update is older than the known listing and was ignored.
    Stale,
    /// The update equals the known listing.
    Same,
    Removed,
    /// Will be removed unless the server registers again within [`REREGISTRATION_GRACE`].
    Lapsed,
    /// The removed server is not in the directory.
    Unknown,
}

/// The registered backend servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: HashMap<Name, Listing>,
    /// Servers whose listings were removed soon after the store recovered, with the end of
    /// their grace period.
    lapsed: HashMap<Name, Moment>,
    /// Processes that announced that they leave: server and its start, in milliseconds since the
    /// Unix epoch.
    announced: HashMap<Name, u64>,
    /// Processes whose listings were removed, in the same form.
    removed: HashMap<Name, u64>,
    store_recovered_at: Option<Moment>,
    /// Number of changes of `servers`.
    generation: u64,
}

impl Listing {
    /// Returns whether a later listing of the same process says nothing else than that less time of
    /// its warm-up is left. The begin and the end of a warm-up say more.
    fn differs_in_time_left_only(&self, later: &Listing) -> bool {
        let (left, later_left) = (self.warmup_left, later.warmup_left);
        let is_same_phase =
            left.is_some_and(|it| it.is_zero()) == later_left.is_some_and(|it| it.is_zero());
        is_same_phase
            && left.is_some() == later_left.is_some()
            && later_left <= left
            && Listing { warmup_left: later_left, ..self.clone() } == *later
    }
}

impl Directory {
    /// Returns a number that grows with each change of the servers.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Records that the store is reachable again after an outage. Servers in their grace period get a new
    /// one, as they could not register in the outage.
    pub fn record_store_recovery(&mut self, now: Moment) {
        self.store_recovered_at = Some(now);
        self.lapsed.values_mut().for_each(|end| *end = now + REREGISTRATION_GRACE);
    }

    /// Records that the recovery of the store recorded at `at` was none, so that removals take effect
    /// at once, unless another one was recorded since. Returns the servers that this removes.
    pub fn forget_store_recovery(&mut self, at: Moment) -> Vec<Name> {
        if self.store_recovered_at.take_if(|recovered_at| *recovered_at == at).is_none() {
            return Vec::new();
        }
        let lapsed: Vec<Name> = self.lapsed.keys().cloned().collect();
        lapsed.iter().for_each(|id| self.remove_now(id));
        lapsed
    }

    /// Records that a process of a server announced in a response that it leaves. Returns whether
    /// this is new.
    pub fn announce_leaving(&mut self, id: &Name, born_ms: u64) -> bool {
        if self.announced.get(id).is_some_and(|known| born_ms <= *known) {
            return false;
        }
        self.remember_leaving(id, born_ms);
        let Some(listing) = self.servers.get_mut(id).filter(|known| known.born_ms == born_ms)
        else {
            return true;
        };
        listing.phase = Phase::Leaving;
        self.generation += 1;
        // A leaving server has no grace period.
        if self.lapsed.contains_key(id) {
            self.remove_now(id);
        }
        true
    }

    /// Adds or updates a listing, unless the known one is newer.
    pub fn upsert(&mut self, mut listing: Listing) -> Effect {
        let announced = self.announced.get(&listing.id);
        let is_leaving = announced.is_some_and(|announced| listing.born_ms <= *announced);
        let listed_phase = listing.phase;
        if is_leaving {
            listing.phase = Phase::Leaving;
        }
        if listing.phase == Phase::Leaving {
            self.remember_leaving(&listing.id, listing.born_ms);
        }
        let Some(known) = self.servers.get(&listing.id) else {
            self.insert(listing);
            return Effect::Added;
        };
        if listing.born_ms < known.born_ms {
            return Effect::Stale;
        }
        let is_same_process = listing.born_ms == known.born_ms;
        if is_same_process && known.phase == Phase::Leaving && listed_phase == Phase::Ready {
            return Effect::Stale;
        }
        let was_lapsed = self.lapsed.remove(&listing.id).is_some();
        if known.differs_in_time_left_only(&listing) {
            self.servers.insert(listing.id.clone(), listing);
            // Copies of the directory have the end of the grace period.
            self.generation += u64::from(was_lapsed);
            return if was_lapsed { Effect::Changed } else { Effect::Same };
        }
        self.insert(listing);
        Effect::Changed
    }

    /// Returns whether the listing of this process was removed, and not added again since.
    pub fn was_removed(&self, listing: &Listing) -> bool {
        self.removed.get(&listing.id).is_some_and(|removed| listing.born_ms <= *removed)
    }

    /// Removes a listing, or starts its grace period if the store recovered recently.
    pub fn remove(&mut self, now: Moment, id: &Name) -> Effect {
        let Some(known) = self.servers.get(id) else { return Effect::Unknown };
        let grace_end = self.store_recovered_at.map(|recovered| recovered + REREGISTRATION_GRACE);
        if let Some(grace_end) = grace_end.filter(|end| now < *end)
            && known.phase == Phase::Ready
        {
            self.lapsed.insert(id.clone(), grace_end);
            return Effect::Lapsed;
        }
        self.remove_now(id);
        Effect::Removed
    }

    /// Removes the servers that are missing from `present`, the ids of all servers in the store.
    /// Returns them with the effect of the removal.
    pub fn retain(&mut self, now: Moment, present: &HashSet<Name>) -> Vec<(Name, Effect)> {
        let missing: Vec<Name> =
            self.servers.keys().filter(|id| !present.contains(*id)).cloned().collect();
        missing
            .into_iter()
            .map(|id| {
                let effect = self.remove(now, &id);
                (id, effect)
            })
            .collect()
    }

    /// Removes and returns the servers whose grace period has ended, after a read of the servers' log that
    /// ended `now`.
    pub fn expire(&mut self, now: Moment) -> Vec<Name> {
        let expired: Vec<Name> =
            self.lapsed.iter().filter(|(_, end)| **end <= now).map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.remove_now(id));
        expired
    }

    /// Returns the servers in their grace period, with what is left of it.
    pub fn lapsed(&self, now: Moment) -> Vec<(Name, Duration)> {
        let lapsed = self.lapsed.iter();
        lapsed.map(|(id, end)| (id.clone(), end.saturating_sub(now))).collect()
    }

    /// Records that the listing of a server was removed, which takes effect after `remaining`.
    pub fn lapse(&mut self, now: Moment, id: &Name, remaining: Duration) {
        if self.servers.contains_key(id) {
            self.lapsed.insert(id.clone(), now + remaining.min(REREGISTRATION_GRACE));
        }
    }

    pub fn get(&self, id: &str) -> Option<&Listing> {
        self.servers.get(id)
    }

    /// Returns all servers, including those that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = &Listing> {
        self.servers.values()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn remember_leaving(&mut self, id: &Name, born_ms: u64) {
        if MAX_REMEMBERED <= self.announced.len() {
            self.announced.retain(|id, _| self.servers.contains_key(id));
        }
        let known = self.announced.entry(id.clone()).or_default();
        *known = born_ms.max(*known);
    }

    fn insert(&mut self, listing: Listing) {
        self.removed.remove(&listing.id);
        self.servers.insert(listing.id.clone(), listing);
        self.generation += 1;
    }

    fn remove_now(&mut self, id: &Name) {
        if MAX_REMEMBERED <= self.removed.len() {
            self.removed.clear();
        }
        if let Some(listing) = self.servers.remove(id) {
            self.removed.insert(id.clone(), listing.born_ms);
        }
        self.lapsed.remove(id);
        self.generation += 1;
    }
}
