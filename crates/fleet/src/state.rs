//! The configuration in force, computed deterministically from its records.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    change::{Access, Change, Record, Rejection, Repeat, Urgency},
    digest::Digest,
};

/// The published configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Number of accepted records.
    pub revision: u64,
    pub accounts: BTreeMap<Name, Account>,
    pub keys: BTreeMap<Name, Key>,
    /// Key id by digest of the secret; contains exactly the valid keys.
    pub key_index: BTreeMap<Digest, Name>,
    pub adapters: BTreeMap<Name, Adapter>,
    pub drained_servers: BTreeSet<Name>,
    pub routes: BTreeMap<Name, Route>,
}

/// Limits of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Tokens per second over the whole fleet.
    pub rate: u64,
    /// Tokens that may exceed the rate in any interval.
    pub burst: u64,
}

/// An API key; only the digest of its secret is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Key {
    pub account: Name,
    pub digest: Digest,
    pub withdrawn: bool,
}

/// An adapter and its published versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Adapter {
    /// Version served to requests without an explicit version.
    pub selected: u32,
    /// Base model by version.
    pub versions: BTreeMap<u32, Name>,
}

/// A route to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub access: Access,
    pub repeat: Repeat,
    pub urgency: Urgency,
}

impl State {
    /// Applies one record and returns the resulting revision. The state is unchanged on a
    /// rejection.
    ///
    /// # Errors
    ///
    /// [`Rejection`], the same on every replica.
    pub fn apply(&mut self, record: &Record) -> Result<u64, Rejection> {
        if let Change::Snapshot { .. } = record.change {
            return Ok(self.revision);
        }
        if record.expected != self.revision {
            return Err(Rejection::Stale { expected: record.expected, actual: self.revision });
        }
        self.apply_change(&record.change)?;
        self.revision += 1;
        Ok(self.revision)
    }

    /// Returns the id and the account of the valid key whose secret has this digest.
    pub fn lookup_key(&self, digest: &Digest) -> Option<(&Name, &Name)> {
        let key = self.key_index.get(digest)?;
        let account = &self.keys.get(key)?.account;
        Some((key, account))
    }

    /// Whether a key id exists and is not withdrawn.
    pub fn is_key_valid(&self, key: &str) -> bool {
        self.keys.get(key).is_some_and(|key| !key.withdrawn)
    }

    /// Resolves `adapter` or `adapter@version` to a published version.
    pub fn resolve(&self, model: &str) -> Option<(Name, u32)> {
        let (adapter, version) = match model.rsplit_once('@') {
            Some((adapter, version)) => (adapter, Some(version.parse().ok()?)),
            None => (model, None),
        };
        let (name, adapter) = self.adapters.get_key_value(adapter)?;
        let version = version.unwrap_or(adapter.selected);
        adapter.versions.contains_key(&version).then(|| (Arc::clone(name), version))
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::SetAccount { account, rate, burst } => self.set_account(account, *rate, *burst),
            Change::IssueKey { account, key, digest } => self.issue_key(account, key, *digest),
            Change::WithdrawKey { key } => self.withdraw_key(key),
            Change::PublishVersion { adapter, version, model } => {
                self.publish_version(adapter, *version, model)
            }
            Change::SelectVersion { adapter, version } => self.select_version(adapter, *version),
            Change::UnpublishVersion { adapter, version } => {
                self.unpublish_version(adapter, *version)
            }
            Change::DrainServer { server } => {
                self.drained_servers.insert(Arc::clone(server));
                Ok(())
            }
            Change::RestoreServer { server } => self.restore_server(server),
            Change::SetRoute { route, access, repeat, urgency } => {
                let value = Route { access: *access, repeat: *repeat, urgency: *urgency };
                self.routes.insert(Arc::clone(route), value);
                Ok(())
            }
            Change::RemoveRoute { route } => self.remove_route(route),
            Change::Snapshot { .. } => Ok(()),
        }
    }

    fn set_account(&mut self, account: &Name, rate: u64, burst: u64) -> Result<(), Rejection> {
        if burst < rate {
            return Err(Rejection::BurstTooSmall { rate, burst });
        }
        self.accounts.insert(Arc::clone(account), Account { rate, burst });
        Ok(())
    }

    fn issue_key(&mut self, account: &Name, key: &Name, digest: Digest) -> Result<(), Rejection> {
        if !self.accounts.contains_key(account) {
            return Err(Rejection::NoAccount { account: Arc::clone(account) });
        }
        // A withdrawn secret must never become valid again, so withdrawn keys are checked as well.
        let is_known = self.keys.values().any(|known| known.digest == digest);
        if is_known || self.keys.contains_key(key) {
            return Err(Rejection::KeyExists { key: Arc::clone(key) });
        }
        let value = Key { account: Arc::clone(account), digest, withdrawn: false };
        self.keys.insert(Arc::clone(key), value);
        self.key_index.insert(digest, Arc::clone(key));
        Ok(())
    }

    fn withdraw_key(&mut self, key: &Name) -> Result<(), Rejection> {
        let Some(value) = self.keys.get_mut(key) else {
            return Err(Rejection::NoKey { key: Arc::clone(key) });
        };
        value.withdrawn = true;
        self.key_index.remove(&value.digest);
        Ok(())
    }

    fn publish_version(
        &mut self,
        adapter: &Name,
        version: u32,
        model: &Name,
    ) -> Result<(), Rejection> {
        let entry = self.adapters.entry(Arc::clone(adapter)).or_default();
        if let Some(model) = entry.versions.get(&version) {
            return Err(Rejection::VersionExists {
                adapter: Arc::clone(adapter),
                version,
                model: Arc::clone(model),
            });
        }
        if entry.versions.is_empty() {
            entry.selected = version;
        }
        entry.versions.insert(version, Arc::clone(model));
        Ok(())
    }

    fn select_version(&mut self, adapter: &Name, version: u32) -> Result<(), Rejection> {
        let known = self.adapters.get_mut(adapter);
        let Some(entry) = known.filter(|entry| entry.versions.contains_key(&version)) else {
            return Err(Rejection::NoVersion { adapter: Arc::clone(adapter), version });
        };
        entry.selected = version;
        Ok(())
    }

    fn unpublish_version(&mut self, adapter: &Name, version: u32) -> Result<(), Rejection> {
        let known = self.adapters.get_mut(adapter);
        let Some(entry) = known.filter(|entry| entry.versions.contains_key(&version)) else {
            return Err(Rejection::NoVersion { adapter: Arc::clone(adapter), version });
        };
        if entry.selected == version && 1 < entry.versions.len() {
            return Err(Rejection::VersionSelected { adapter: Arc::clone(adapter), version });
        }
        entry.versions.remove(&version);
        if entry.versions.is_empty() {
            self.adapters.remove(adapter);
        }
        Ok(())
    }

    fn restore_server(&mut self, server: &Name) -> Result<(), Rejection> {
        if !self.drained_servers.remove(server) {
            return Err(Rejection::NotDrained { server: Arc::clone(server) });
        }
        Ok(())
    }

    fn remove_route(&mut self, route: &Name) -> Result<(), Rejection> {
        match self.routes.remove(route) {
            Some(_) => Ok(()),
            None => Err(Rejection::NoRoute { route: Arc::clone(route) }),
        }
    }
}
