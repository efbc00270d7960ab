//! Backend servers as the platform's list shows them.
//!
//! A server that announces its leaving gets no new work from that moment on. A
//! server whose entry is removed is gone, with one exception: entries lapse while
//! the list's store is away, so a removal seen just after its return counts only
//! when the entry is still missing some time later.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{Moment, Name};

/// Time after the store's return in which live servers register again.
pub const RETURN_GRACE: Duration = Duration::from_millis(2200);

/// One backend server as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub id: Name,
    pub service: Name,
    pub address: SocketAddr,
    pub zone: Name,
    pub slots: u32,
    pub phase: Phase,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Base models that it holds.
    pub models: Vec<Name>,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Ready,
    Leaving,
}

/// What a change of the list did to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Added,
    Changed,
    /// The entry is older than what is known.
    Stale,
    Same,
    Removed,
    /// Removed unless it comes back within [`RETURN_GRACE`].
    Lapsed,
    Unknown,
}

/// All backend servers known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: HashMap<Name, Listing>,
    /// Removed just after the store's return, with the end of their grace.
    lapsed: HashMap<Name, Moment>,
    returned: Option<Moment>,
    /// Changes of `servers` so far.
    changes: u64,
}

impl Directory {
    /// How often what [`Directory::iter`] shows has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Notes that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Moment) {
        self.returned = Some(now);
    }

    /// Takes an entry of the list.
    pub fn put(&mut self, listing: Listing) -> Effect {
        let Some(known) = self.servers.get(&listing.id) else {
            self.insert(listing);
            return Effect::Added;
        };
        if listing.born_ms < known.born_ms {
            return Effect::Stale;
        }
        let is_same_process = listing.born_ms == known.born_ms;
        if is_same_process && known.phase == Phase::Leaving && listing.phase == Phase::Ready {
            return Effect::Stale;
        }
        self.lapsed.remove(&listing.id);
        if *known == listing {
            return Effect::Same;
        }
        self.insert(listing);
        Effect::Changed
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: Moment, id: &Name) -> Effect {
        let Some(known) = self.servers.get(id) else { return Effect::Unknown };
        let grace_end = self.returned.map(|returned| returned + RETURN_GRACE);
        if let Some(grace_end) = grace_end.filter(|end| now < *end)
            && known.phase == Phase::Ready
        {
            self.lapsed.insert(id.clone(), grace_end);
            return Effect::Lapsed;
        }
        self.drop_server(id);
        Effect::Removed
    }

    /// Takes away what is not in a complete reading of the list; returns it.
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

    /// Drops the servers whose grace is over; returns them.
    pub fn expire(&mut self, now: Moment) -> Vec<Name> {
        let over: Vec<Name> =
            self.lapsed.iter().filter(|(_, end)| **end <= now).map(|(id, _)| id.clone()).collect();
        over.iter().for_each(|id| self.drop_server(id));
        over
    }

    pub fn get(&self, id: &str) -> Option<&Listing> {
        self.servers.get(id)
    }

    /// All servers, also leaving ones.
    pub fn iter(&self) -> impl Iterator<Item = &Listing> {
        self.servers.values()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn insert(&mut self, listing: Listing) {
        self.servers.insert(listing.id.clone(), listing);
        self.changes += 1;
    }

    fn drop_server(&mut self, id: &Name) {
        self.servers.remove(id);
        self.lapsed.remove(id);
        self.changes += 1;
    }
}
