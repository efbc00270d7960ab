//! What a process knows from the platform's store: the configuration, announced
//! adapter versions and the backend servers, each with the position up to which
//! its log was read. Everything only moves forward, also when it comes from a
//! peer.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    Moment, Name,
    directory::{Directory, Effect, Listing},
    manifest::Manifest,
};

/// One decoded record of the store.
#[derive(Clone, Debug)]
pub enum Change {
    Manifest(Arc<Manifest>),
    Version {
        model: Name,
        adapter: Name,
        version: u64,
    },
    Server(Listing),
    ServerGone(Name),
    /// A record that names nothing usable, with the reason.
    Unreadable {
        key: Name,
        reason: String,
    },
    /// A record of no concern.
    Other,
}

/// A log of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    Operator,
    Servers,
    Instances,
}

/// Positions up to which the logs were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Positions {
    pub operator: u64,
    pub servers: u64,
}

/// A copy for a peer that cannot read the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Copy {
    pub positions: Positions,
    pub manifest: Option<Arc<Manifest>>,
    pub versions: Vec<(Name, Name, u64)>,
    pub servers: Vec<Listing>,
}

/// What one process knows.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    pub manifest: Option<Arc<Manifest>>,
    pub directory: Directory,
    pub positions: Positions,
    versions: HashMap<(Name, Name), u64>,
    /// New manifests and versions so far.
    changes: u64,
}

/// What a change did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    NewManifest(u64),
    OldManifest(u64),
    NewVersion,
    Server(Effect),
    Nothing,
}

impl Knowledge {
    /// Takes one record.
    pub fn apply(&mut self, now: Moment, change: Change) -> Outcome {
        match change {
            Change::Manifest(manifest) => self.apply_manifest(manifest),
            Change::Version { model, adapter, version } => {
                let known = self.versions.entry((model, adapter)).or_default();
                if version <= *known {
                    return Outcome::Nothing;
                }
                *known = version;
                self.changes += 1;
                Outcome::NewVersion
            }
            Change::Server(listing) => Outcome::Server(self.directory.upsert(listing)),
            Change::ServerGone(id) => Outcome::Server(self.directory.remove(now, &id)),
            Change::Unreadable { key, .. } => Outcome::Server(self.directory.remove(now, &key)),
            Change::Other => Outcome::Nothing,
        }
    }

    /// How often what requests are served by has changed; positions do not count.
    pub fn changes(&self) -> u64 {
        self.changes + self.directory.generation()
    }

    /// The oldest version of an adapter that may run; 0 when none was announced.
    pub fn version(&self, model: &Name, adapter: &Name) -> u64 {
        self.versions.get(&(model.clone(), adapter.clone())).copied().unwrap_or(0)
    }

    /// Takes away the servers that a complete reading of the list did not show.
    pub fn retain_servers(&mut self, now: Moment, present: &HashSet<Name>) -> Vec<(Name, Effect)> {
        self.directory.retain(now, present)
    }

    pub fn copy(&self) -> Copy {
        let versions = self.versions.iter();
        Copy {
            positions: self.positions,
            manifest: self.manifest.clone(),
            versions: versions
                .map(|((model, adapter), version)| (model.clone(), adapter.clone(), *version))
                .collect(),
            servers: self.directory.iter().cloned().collect(),
        }
    }

    /// Takes a peer's copy where it is newer; tells whether anything was.
    pub fn adopt(&mut self, now: Moment, copy: Copy) -> bool {
        let mut is_newer = false;
        if let Some(manifest) = copy.manifest {
            is_newer |= matches!(self.apply_manifest(manifest), Outcome::NewManifest(_));
        }
        for (model, adapter, version) in copy.versions {
            let change = Change::Version { model, adapter, version };
            is_newer |= self.apply(now, change) == Outcome::NewVersion;
        }
        self.positions.operator = self.positions.operator.max(copy.positions.operator);
        if self.positions.servers < copy.positions.servers {
            self.positions.servers = copy.positions.servers;
            let present = copy.servers.iter().map(|listing| listing.id.clone()).collect();
            self.retain_servers(now, &present);
            for listing in copy.servers {
                self.directory.upsert(listing);
            }
            is_newer = true;
        }
        is_newer
    }

    fn apply_manifest(&mut self, manifest: Arc<Manifest>) -> Outcome {
        let revision = manifest.revision;
        if self.manifest.as_ref().is_some_and(|known| revision <= known.revision) {
            return Outcome::OldManifest(revision);
        }
        self.manifest = Some(manifest);
        self.changes += 1;
        Outcome::NewManifest(revision)
    }
}
