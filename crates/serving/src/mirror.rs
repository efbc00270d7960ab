//! Local mirror of the platform's store: the configuration, the announced adapter
//! versions, the emptied zones, the software versions that serve and the backend servers, with the
//! positions up to which the logs were read.
//!
//! Invariant: the mirror never goes back to an older state, whether an update
//! comes from the store or from a peer.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    Moment, Name,
    adapter::{self, Adapter},
    cursor::Position,
    directory::{Directory, Effect, Listing},
    evacuation::{self, Evacuation},
    manifest::Manifest,
    origin::Origin,
};

/// A decoded record of the store.
#[derive(Clone, Debug)]
pub enum Change {
    Manifest(Arc<Manifest>),
    /// An announced adapter version.
    Version(adapter::Version),
    /// An availability zone that is emptied or taken back.
    Zone {
        zone: Name,
        is_emptied: bool,
    },
    Server(Listing),
    ServerRemoved(Name),
    /// A record that cannot be decoded.
    Invalid {
        /// Server whose record this is, which is removed.
        server: Option<Name>,
        reason: String,
    },
    /// A record that serving does not use.
    Ignored,
}

/// A log of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Configuration, adapter versions and emptied zones.
    Operator,
    /// Backend servers.
    Servers,
    /// Addresses of the entry instances.
    Instances,
    /// Origins of streams.
    Streams,
}

/// Positions up to which the logs were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Positions {
    pub operator: Position,
    pub servers: Position,
}

/// Contents of the mirror, sent to a peer that cannot reach the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerCopy {
    /// Number of changes of the peer's mirror.
    pub generation: u64,
    pub positions: Positions,
    pub manifest: Option<Arc<Manifest>>,
    /// Base model, adapter and version.
    pub versions: Vec<(Name, Name, u64)>,
    pub evacuation: Evacuation,
    pub servers: Vec<Listing>,
    /// Those whose listings were removed, with the time until this takes effect.
    pub lapsed: Vec<(Name, Duration)>,
    pub software: BTreeSet<Origin>,
}

/// Local mirror of the platform's store.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    pub manifest: Option<Arc<Manifest>>,
    pub directory: Directory,
    pub evacuation: Evacuation,
    pub positions: Positions,
    /// Software versions of services that have ever served, as the store has them.
    pub software: BTreeSet<Origin>,
    /// Newest announced version of each adapter.
    versions: HashMap<Adapter, u64>,
    /// Number of changes of the manifest, the versions, the emptied zones and the software.
    generation: u64,
}

/// Effect of a [`Change`] on the mirror.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The manifest of this revision replaced an older one.
    NewManifest(u64),
    /// The manifest of this revision is not newer than the known one.
    StaleManifest(u64),
    NewVersion,
    Server(Effect),
    Unchanged,
}

impl PeerCopy {
    /// Drops the servers whose listings were removed: the store was there all the while, so that their
    /// removal takes effect, whatever the peer takes its own failures for.
    pub fn drop_lapsed(&mut self) {
        let lapsed: HashSet<Name> = self.lapsed.drain(..).map(|(id, _)| id).collect();
        self.servers.retain(|listing| !lapsed.contains(&listing.id));
    }
}

impl Mirror {
    /// Applies one record.
    pub fn apply(&mut self, now: Moment, change: Change) -> Outcome {
        match change {
            Change::Manifest(manifest) => self.apply_manifest(manifest),
            Change::Version(adapter::Version { adapter, number }) => {
                let known = self.versions.entry(adapter).or_default();
                if number <= *known {
                    return Outcome::Unchanged;
                }
                *known = number;
                self.generation += 1;
                Outcome::NewVersion
            }
            // Without its position, a record of a zone has no order.
            Change::Zone { .. } => Outcome::Unchanged,
            Change::Server(listing) => Outcome::Server(self.directory.upsert(listing)),
            Change::ServerRemoved(id) => Outcome::Server(self.directory.remove(now, &id)),
            Change::Invalid { server: Some(id), .. } => {
                Outcome::Server(self.directory.remove(now, &id))
            }
            Change::Invalid { server: None, .. } => Outcome::Unchanged,
            Change::Ignored => Outcome::Unchanged,
        }
    }

    /// Applies one record of a store that was restored from an older copy. A server that is known to
    /// have been removed is not added again.
    pub fn apply_restored(&mut self, now: Moment, change: Change) -> Outcome {
        match change {
            Change::Server(listing) if self.directory.was_removed(&listing) => Outcome::Unchanged,
            change => self.apply(now, change),
        }
    }

    /// Applies one record of a zone.
    pub fn apply_zone(&mut self, record: &evacuation::Record) {
        self.generation += u64::from(self.evacuation.apply(record));
    }

    /// Applies the records of zones in a snapshot of the operators' log that ends at `end`.
    pub fn apply_zone_snapshot(&mut self, records: &[evacuation::Record], end: Position) {
        self.generation += u64::from(self.evacuation.apply_snapshot(records, end));
    }

    /// Adds software versions that have served. None is ever dropped.
    pub fn register_software(&mut self, versions: impl IntoIterator<Item = Origin>) {
        let known = self.software.len();
        self.software.extend(versions);
        self.generation += (self.software.len() - known) as u64;
    }

    /// Returns a number that grows with each change of the manifest, the versions, the emptied zones,
    /// the software or the servers, but not of the positions.
    pub fn generation(&self) -> u64 {
        self.generation + self.directory.generation()
    }

    /// Returns the oldest version of an adapter that may run: the newest announced one, or 0 if
    /// none was announced.
    pub fn min_version(&self, adapter: &Adapter) -> u64 {
        self.versions.get(adapter).copied().unwrap_or(0)
    }

    /// Removes the servers that are missing from `present`, the ids of all servers in the store.
    /// Returns them with the effect of the removal.
    pub fn retain_servers(&mut self, now: Moment, present: &HashSet<Name>) -> Vec<(Name, Effect)> {
        self.directory.retain(now, present)
    }

    pub fn to_peer_copy(&self, now: Moment) -> PeerCopy {
        let versions = self.versions.iter();
        PeerCopy {
            generation: self.generation(),
            positions: self.positions,
            manifest: self.manifest.clone(),
            versions: versions
                .map(|(Adapter { model, name }, number)| (model.clone(), name.clone(), *number))
                .collect(),
            evacuation: self.evacuation.clone(),
            servers: self.directory.iter().cloned().collect(),
            lapsed: self.directory.lapsed(now),
            software: self.software.clone(),
        }
    }

    /// Records that the mirror has the logs up to `positions` without further changes.
    pub fn advance(&mut self, positions: Positions) {
        self.positions.operator = self.positions.operator.max(positions.operator);
        self.positions.servers = self.positions.servers.max(positions.servers);
    }

    /// Merges the newer parts of a peer's copy. Returns whether it had any. At equal positions, the
    /// peer's servers count: it may have kept one whose listing lapsed and is back.
    pub fn merge(&mut self, now: Moment, copy: PeerCopy) -> bool {
        let mut is_newer = false;
        if let Some(manifest) = copy.manifest {
            is_newer |= matches!(self.apply_manifest(manifest), Outcome::NewManifest(_));
        }
        for (model, name, number) in copy.versions {
            let adapter = Adapter { model, name };
            let change = Change::Version(adapter::Version { adapter, number });
            is_newer |= self.apply(now, change) == Outcome::NewVersion;
        }
        self.register_software(copy.software);
        let (end, told_end) = (self.positions.operator, copy.positions.operator);
        if self.evacuation.merge(end, &copy.evacuation, told_end) {
            self.generation += 1;
            is_newer = true;
        }
        self.positions.operator = self.positions.operator.max(copy.positions.operator);
        if self.positions.servers <= copy.positions.servers {
            is_newer |= self.positions.servers < copy.positions.servers;
            if self.positions.servers.era < copy.positions.servers.era {
                self.directory.record_store_recovery(now);
            }
            self.positions.servers = copy.positions.servers;
            let present = copy.servers.iter().map(|listing| listing.id.clone()).collect();
            self.retain_servers(now, &present);
            for listing in copy.servers {
                self.directory.upsert(listing);
            }
            for (id, remaining) in copy.lapsed {
                self.directory.lapse(now, &id, remaining);
            }
        }
        is_newer
    }

    fn apply_manifest(&mut self, manifest: Arc<Manifest>) -> Outcome {
        let revision = manifest.revision;
        if self.manifest.as_ref().is_some_and(|known| revision <= known.revision) {
            return Outcome::StaleManifest(revision);
        }
        self.manifest = Some(manifest);
        self.generation += 1;
        Outcome::NewManifest(revision)
    }
}
