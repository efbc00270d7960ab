//! Origins of streams in the platform's store, so that they outlast all processes of the system.
//!
//! While streams of a service may have begun at more than one software version, each instance keeps the
//! origins of its streams of that service in one record, which it replaces as a whole: writes are few and
//! bounded, whatever the number of streams. While there is one version only, nothing is written; the
//! register of versions (`gateway::software`) tells it. Nobody follows the topic. An instance reads it for
//! take-ups of streams that no process knows.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;

use kernel::event::Event;
use serving::{
    Moment, Name,
    mirror::Topic,
    origin::{Answer, Key, Origin, Record},
};

use crate::{entry::Entry, ports};

/// Start of the keys with records of this format; others are ignored.
const FORMAT_PREFIX: &str = "origins.1.";
/// Time between two writes of the whole fleet.
const FLEET_WRITE_INTERVAL: Duration = Duration::from_millis(15);
/// Time for which a caller may take a stream up after its version has left the list.
const MAX_RETURN_TIME: Duration = Duration::from_secs(60);
/// Limit of the streams in one record, which the store limits in size.
const MAX_STREAMS: usize = 2000;

/// Versions that were listed lately, with the last time of each.
#[derive(Default)]
struct RecentVersions(HashMap<Origin, Moment>);

impl Entry {
    /// Returns what the store has of a stream's origin, within `limit`.
    pub async fn archived_origin(&self, key: &Key, limit: Duration) -> Answer {
        match self.origins.archive_reads.next(self, limit).await {
            Some(()) => self.known_origin(key),
            None => Answer::Unknown,
        }
    }
}

/// Reads the archive when take-ups need it.
pub async fn read_on_request(entry: Arc<Entry>) {
    entry.origins.archive_reads.serve(&entry, Topic::Streams, record_all).await;
}

/// Writes the origins of this instance's streams while there are several versions of a service.
pub async fn run(entry: Arc<Entry>) {
    let key = format!("{FORMAT_PREFIX}{}.{:x}", entry.settings.instance, entry.incarnation);
    let mut versions = RecentVersions::default();
    let mut written: HashSet<(Key, Origin)> = HashSet::new();
    loop {
        entry.kernel.clock.sleep(write_interval(&entry)).await;
        let services = versions.services_with_several(&entry);
        let records = entry.origins.own_records(entry.now(), &services);
        let current = records.iter().map(|it| (it.key.clone(), it.origin.clone())).collect();
        let is_outdated = services.is_empty() && !written.is_empty();
        if written.is_superset(&current) && !is_outdated {
            continue;
        }
        match (entry.store.archive)(&key, encode(&records)).await {
            Ok(()) => written = current,
            Err(error) => log::warn!(
                event = Event::Announce;
                "cannot write the origins of streams to the store; retrying: {error}"
            ),
        }
    }
}

/// Returns the time between two writes of one instance, which keeps those of the fleet bounded.
fn write_interval(entry: &Entry) -> Duration {
    let instances = entry.limiter.lock().instance_count(entry.now());
    FLEET_WRITE_INTERVAL * (instances as u32).max(1)
}

/// Encodes the records that expire last. An empty value drops the key.
fn encode(records: &[Record]) -> Bytes {
    if records.is_empty() {
        return Bytes::new();
    }
    let mut records = records.to_vec();
    records.sort_by_key(|record| std::cmp::Reverse(record.remaining));
    records.truncate(MAX_STREAMS);
    postcard::to_stdvec(&records).map(Bytes::from).unwrap_or_default()
}

/// Records all origins of the archive.
fn record_all(entry: &Entry, items: Vec<ports::Record>) {
    let mut registry = entry.origins.registry.lock();
    for item in items.iter().filter(|item| item.key.starts_with(FORMAT_PREFIX)) {
        match postcard::from_bytes::<Vec<Record>>(&item.value) {
            Ok(records) => records.iter().for_each(|record| registry.record(entry.now(), record)),
            Err(error) => log::warn!(
                event = Event::RecordSkipped, key = &*item.key;
                "invalid record of origins of streams: {error}"
            ),
        }
    }
}

impl RecentVersions {
    /// Returns the services of which several versions were listed lately.
    fn services_with_several(&mut self, entry: &Entry) -> BTreeSet<Name> {
        let now = entry.now();
        entry.with_mirror(|mirror| {
            for listing in mirror.directory.iter() {
                let (service, version) = (listing.service.clone(), listing.version.clone());
                self.0.insert(Origin { service, version }, now);
            }
        });
        self.0.retain(|_, listed_at| now < *listed_at + MAX_RETURN_TIME);
        let mut counts: HashMap<&Name, usize> = HashMap::new();
        self.0.keys().for_each(|origin| *counts.entry(&origin.service).or_default() += 1);
        counts.into_iter().filter(|(_, count)| 1 < *count).map(|(it, _)| it.clone()).collect()
    }
}
