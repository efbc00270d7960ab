//! Availability zones that the operators have emptied: their servers get no new requests until
//! the zone is taken back. Requests that run there go on.
//!
//! What is known of a zone is ordered by the position in the operators' log, so records, snapshots
//! and copies of peers may arrive late and in any order. A snapshot lists only the zones that are
//! emptied: one that it lacks was taken back before its end.
//!
//! A restored store may lack the newest records of a zone. A zone whose record is lost stays emptied,
//! and one whose old record is back counts as emptied, until the operators write again: nothing tells
//! an old record from a new one at the same offset, and a zone that is left out for a while costs less
//! than requests to one that may be switched off.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Name, cursor::Position};

/// Number of zones from which those that were taken back are forgotten, the oldest first.
const MAX_REMEMBERED: usize = 256;

/// What is known of emptied zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    zones: BTreeMap<Name, Zone>,
}

/// Newest knowledge of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Zone {
    is_emptied: bool,
    /// Position in the log up to which this holds.
    known_at: Position,
}

/// Record of a zone in the operators' log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub zone: Name,
    pub is_emptied: bool,
    /// Position after the record.
    pub end: Position,
}

impl Evacuation {
    pub fn is_emptied(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.is_emptied)
    }

    /// Returns the emptied zones.
    pub fn emptied(&self) -> BTreeSet<Name> {
        let emptied = self.zones.iter().filter(|(_, zone)| zone.is_emptied);
        emptied.map(|(name, _)| name.clone()).collect()
    }

    /// Applies one record, unless something newer is known. Returns whether a zone was emptied or
    /// taken back.
    pub fn apply(&mut self, record: &Record) -> bool {
        let told = Zone { is_emptied: record.is_emptied, known_at: record.end };
        self.learn(&record.zone, told)
    }

    /// Applies the records of a snapshot that ends at `end`. Returns whether a zone was emptied or
    /// taken back.
    pub fn apply_snapshot(&mut self, records: &[Record], end: Position) -> bool {
        let before = self.emptied();
        let listed: BTreeSet<&Name> = records.iter().map(|record| &record.zone).collect();
        self.record_absence(|name| !listed.contains(name), end);
        for record in records {
            self.apply(record);
        }
        before != self.emptied()
    }

    /// Merges what a peer knows. `end` is the position up to which this instance has read the log, and
    /// `told_end` that of the peer. Returns whether a zone was emptied or taken back.
    ///
    /// A peer that has not read the log since a restore tells again once it has.
    pub fn merge(&mut self, end: Position, told: &Evacuation, told_end: Position) -> bool {
        if told_end.era < end.era {
            return false;
        }
        let before = self.emptied();
        // Either one may have read the log of this era only after a zone was taken back.
        let is_unseen =
            |name: &Name, zone: &Zone| zone.is_covered_by(end) && !self.has_seen(name, end.era);
        let news = told.zones.iter().filter(|(name, zone)| !is_unseen(name, zone));
        let news: Vec<(Name, Zone)> = news.map(|(name, zone)| (name.clone(), *zone)).collect();
        self.record_absence(|name| !told.has_seen(name, told_end.era), told_end);
        for (name, zone) in news {
            self.learn(&name, zone);
        }
        before != self.emptied()
    }

    /// Records that the log up to `end` does not empty those zones. If what is known of one belongs to
    /// an earlier era, a restore may have lost its record, and it stays as it is.
    fn record_absence(&mut self, is_absent: impl Fn(&Name) -> bool, end: Position) {
        let absent = self.zones.iter_mut().filter(|(name, _)| is_absent(name));
        for (_, zone) in absent.filter(|(_, zone)| zone.is_covered_by(end)) {
            zone.is_emptied = false;
            zone.known_at = end;
        }
    }

    /// Returns whether something is known of a zone from the log of this era.
    fn has_seen(&self, name: &Name, era: u64) -> bool {
        self.zones.get(name).is_some_and(|zone| zone.known_at.era == era)
    }

    /// Records what is told of a zone, unless something newer is known. At equal positions, a zone
    /// that was taken back counts, since only the end of a snapshot tells that.
    fn learn(&mut self, name: &Name, told: Zone) -> bool {
        let Some(known) = self.zones.get_mut(name) else {
            self.zones.insert(name.clone(), told);
            self.forget_oldest();
            return told.is_emptied;
        };
        let rank = |zone: &Zone| (zone.known_at, !zone.is_emptied);
        if rank(&told) <= rank(known) {
            return false;
        }
        let is_change = told.is_emptied != known.is_emptied;
        *known = told;
        is_change
    }

    /// Forgets the zone that was taken back first if there are too many.
    fn forget_oldest(&mut self) {
        if self.zones.len() <= MAX_REMEMBERED {
            return;
        }
        let returned = self.zones.iter().filter(|(_, zone)| !zone.is_emptied);
        let oldest = returned.min_by_key(|(_, zone)| zone.known_at).map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.zones.remove(&name);
        }
    }
}

impl Zone {
    /// Returns whether a reader of the log up to `end` knows all that is known here.
    fn is_covered_by(&self, end: Position) -> bool {
        self.known_at.era == end.era && self.known_at <= end
    }
}
