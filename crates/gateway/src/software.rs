//! Register of the software versions that have ever served, in the platform's store. Each version of
//! a service is one record of the instances' topic, written once and never dropped.
//!
//! While the register has one version of a service, any stream of the service began there, whoever has
//! forgotten about it: after a loss of power of all processes, too. New streams go to registered
//! versions where there are any, so that a version is in the register before it begins streams.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::digest::Digest;
use serde::{Deserialize, Serialize};

use kernel::event::Event;
use serving::{Name, directory::Phase, mirror::Topic, origin::Origin};

use crate::{entry::Entry, ports::Record};

/// Start of the keys of the register. Other keys of the topic are of other kinds.
const KEY_PREFIX: &str = "software.";
/// Start of those with records of this format; others are ignored.
const FORMAT_PREFIX: &str = "software.1.";
/// Time until a failed write is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time for which an instance leaves a write to others; each one waits for another time.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(300);

/// Version of a service in the register.
#[derive(Debug, Serialize, Deserialize)]
struct Registered {
    service: Name,
    version: Name,
}

/// Returns whether a key of the instances' topic is one of the register.
pub fn is_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

/// Decodes a record of the register.
pub fn decode(key: &str, value: &[u8]) -> Option<Origin> {
    if !key.starts_with(FORMAT_PREFIX) {
        return None;
    }
    let Registered { service, version } = postcard::from_bytes(value).ok()?;
    Some(Origin { service, version })
}

impl Entry {
    /// Returns whether at most one version of a service has ever served, as far as this instance
    /// knows.
    pub fn may_have_sole_version(&self, service: &Name) -> bool {
        self.with_mirror(|mirror| {
            let versions = mirror.software.iter().filter(|origin| origin.service == *service);
            versions.count() <= 1
        })
    }

    /// Returns the version that began all streams of a service, if only one has ever served, as the
    /// store tells within `limit`.
    pub async fn sole_version(&self, service: &Name, limit: Duration) -> Option<Origin> {
        let versions = self.software_reads.next(self, limit).await?;
        let sole = sole(&versions, service)?;
        // Servers of emptied zones count, too: streams have begun there.
        let is_listed_alone = self.with_mirror(|mirror| {
            let listed = mirror.directory.iter().filter(|listing| listing.service == *service);
            let mut ready = listed.filter(|listing| listing.phase == Phase::Ready);
            ready.all(|listing| listing.version == sole.version)
        });
        is_listed_alone.then_some(sole)
    }

    /// Returns whether the register has a server's version.
    pub fn is_registered(&self, service: &Name, version: &Name) -> bool {
        let origin = Origin { service: service.clone(), version: version.clone() };
        self.with_mirror(|mirror| mirror.software.contains(&origin))
    }
}

/// Returns the only version of a service among these.
fn sole(versions: &BTreeSet<Origin>, service: &Name) -> Option<Origin> {
    let mut versions = versions.iter().filter(|origin| origin.service == *service);
    let first = versions.next()?;
    versions.next().is_none().then(|| first.clone())
}

/// Reads the register when take-ups need it.
pub async fn read_on_request(entry: Arc<Entry>) {
    let apply = |entry: &Entry, records: Vec<Record>| {
        let versions: BTreeSet<Origin> = records.iter().filter_map(decode_record).collect();
        entry.update_mirror(|_, mirror| mirror.register_software(versions.clone()));
        versions
    };
    entry.software_reads.serve(&entry, Topic::Instances, apply).await;
}

fn decode_record(record: &Record) -> Option<Origin> {
    decode(&record.key, &record.value)
}

/// Writes the versions of listed servers to the register, and all of it again after each restore of the
/// store.
pub async fn write_listed(entry: Arc<Entry>) {
    let mut unconfirmed = BTreeSet::new();
    loop {
        let (changed, restored) = (entry.state_changed.listen(), entry.store_restored.listen());
        unconfirmed.extend(unregistered(&entry));
        if !unconfirmed.is_empty() {
            write(&entry, &mut unconfirmed).await;
            continue;
        }
        let is_restored = futures_lite::future::or(
            async {
                changed.await;
                false
            },
            async {
                restored.await;
                true
            },
        );
        if is_restored.await {
            unconfirmed = entry.with_mirror(|mirror| mirror.software.clone());
        }
    }
}

/// Returns the versions of servers that take requests and are not in the register.
fn unregistered(entry: &Entry) -> BTreeSet<Origin> {
    entry.with_mirror(|mirror| {
        let Some(manifest) = &mirror.manifest else { return BTreeSet::new() };
        let ready = mirror.directory.iter().filter(|listing| listing.phase == Phase::Ready);
        let ready = ready.filter(|listing| manifest.services.contains_key(&listing.service));
        let origins = ready.map(|listing| Origin {
            service: listing.service.clone(),
            version: listing.version.clone(),
        });
        origins.filter(|origin| !mirror.software.contains(origin)).collect()
    })
}

/// Writes the first of these versions, unless another instance has.
async fn write(entry: &Entry, unconfirmed: &mut BTreeSet<Origin>) {
    let Some(origin) = unconfirmed.pop_first() else { return };
    let was_registered = entry.is_registered(&origin.service, &origin.version);
    let delay = MAX_WRITE_DELAY.mul_f64(rand::random());
    entry.kernel.clock.sleep(delay).await;
    if !was_registered && entry.is_registered(&origin.service, &origin.version) {
        return;
    }
    let (key, value) = encode(&origin);
    match (entry.store.announce)(&key, value).await {
        Ok(()) => {
            log::info!(
                event = Event::Software, service = &*origin.service, version = &*origin.version;
                "registered a software version that serves"
            );
            entry.update_mirror(|_, mirror| mirror.register_software([origin]));
        }
        Err(error) => {
            log::warn!(
                event = Event::Announce;
                "cannot register a software version in the store; retrying: {error}"
            );
            unconfirmed.insert(origin);
            entry.kernel.clock.sleep(RETRY_DELAY).await;
        }
    }
}

fn encode(origin: &Origin) -> (String, Bytes) {
    let Origin { service, version } = origin.clone();
    let digest = Digest::of_parts([service.as_bytes(), version.as_bytes()]);
    let value = postcard::to_stdvec(&Registered { service, version });
    (format!("{FORMAT_PREFIX}{digest}"), value.map(Bytes::from).unwrap_or_default())
}
