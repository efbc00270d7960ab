//! Origins of streams in the platform's store, so that they outlast all processes of the system.
//!
//! While streams of a service may have begun at more than one software version, each instance of a small fleet
//! writes the origins of its own streams. In a larger one, the instances that read the store for their zones
//! write them for their followers, too, which delegate them to the reader. An instance that follows nobody, or
//! whose reader does not confirm, writes for itself. So writes are few and bounded, whatever the number of
//! streams, and the time until an origin is in the store does not grow with the fleet (`serving::archive`).
//!
//! While there is one version only, nothing is written; the register of versions (`gateway::software`) tells
//! it. Nobody follows the topic. An instance reads it for take-ups of streams that no process knows.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;

use kernel::event::Event;
use serving::{
    Moment, Name,
    archive::{Delegation, Part, Receipt, Write, Written},
    mirror::Topic,
    origin::{Answer, Key, Origin, Record},
    reader::Followed,
};

use crate::{
    entry::Entry,
    mesh,
    message::{Message, OriginNotice},
    ports,
};

/// Start of the keys with records of this format; others are ignored.
const FORMAT_PREFIX: &str = "origins.1.";
/// Time between two writes of the whole fleet.
const FLEET_WRITE_INTERVAL: Duration = Duration::from_millis(15);
/// Longest time between two writes of an instance in a fleet whose instances all write for themselves.
const MAX_OWN_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which an instance delegates new origins to its reader.
const DELEGATION_INTERVAL: Duration = Duration::from_millis(40);
/// Time in which a reader may confirm that the store has origins: until its next write, and for that.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(200);
/// Times for which a reader is asked.
const MAX_REQUESTS: usize = 2;
/// Time between checks whether several versions are listed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two rounds while there is one version of each service.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a caller may take a stream up after its version has left the list.
const MAX_RETURN_TIME: Duration = Duration::from_secs(60);

/// Versions that were listed lately, with the last time of each.
#[derive(Default)]
struct RecentVersions(HashMap<Origin, Moment>);

/// The records of this instance in the store.
struct Writer {
    key: String,
    written: Written,
}

impl Entry {
    /// Records what another instance delegates to this one, which confirms it once the store has it.
    pub fn record_delegated(&self, from: SocketAddr, notice: &OriginNotice) {
        let receipt = Receipt { to: from, id: notice.id };
        self.origins.delegated.lock().record(self.now(), receipt, &notice.records);
    }

    /// Returns the process that reads the store for this instance.
    fn followed_reader(&self) -> Option<Followed> {
        self.readers.lock().followed(self.now())
    }

    /// Delegates records to a reader. Returns whether it has confirmed all of them.
    async fn delegate(&self, reader: SocketAddr, records: &[Record]) -> bool {
        let Some(socket) = self.mesh_socket.get() else { return false };
        for batch in mesh::batches(records.iter().cloned()) {
            let id = rand::random();
            let confirmation = self.origins.confirmations.expect(id);
            let notice = OriginNotice { id, records: batch };
            let mut is_confirmed = false;
            for _ in 0..MAX_REQUESTS {
                mesh::send(socket, reader, &Message::ArchiveRequest(notice.clone())).await;
                let reply = self.kernel.clock.timeout(CONFIRMATION_TIMEOUT, confirmation.reply());
                is_confirmed = reply.await.is_ok();
                if is_confirmed {
                    break;
                }
            }
            if !is_confirmed {
                return false;
            }
        }
        true
    }

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

/// Writes the origins of streams while there are several versions of a service, or delegates them to the
/// instance that reads the store for this one.
pub async fn run(entry: Arc<Entry>) {
    let mut versions = RecentVersions::default();
    let mut services = BTreeSet::new();
    let mut next_review = Moment::ZERO;
    let mut writer = Writer::new(&entry);
    let mut delegation = Delegation::default();
    loop {
        entry.kernel.clock.sleep(interval(&entry, &services)).await;
        let now = entry.now();
        if next_review <= now {
            services = versions.services_with_several(&entry);
            next_review = now + REVIEW_INTERVAL;
        }
        let reader = writing_reader(&entry);
        let mut records = delegation.remaining(reader, entry.origins.archivable(now, &services));
        if let Some(reader) = reader.filter(|_| !records.is_empty()) {
            let is_confirmed = entry.delegate(reader.address, &records).await;
            let outcome = if is_confirmed { "confirmed" } else { "unconfirmed" };
            metrics::counter!("chivelatch_delegated_origins_total", "outcome" => outcome)
                .increment(records.len() as u64);
            if is_confirmed {
                delegation.record_confirmation(&records);
                records.clear();
            }
        }
        writer.write(&entry, &records).await;
        send_receipts(&entry, &writer.written, &delegation).await;
        if services.is_empty() {
            writer.drop_records(&entry).await;
        }
    }
}

/// Tells other instances that the store has what they have delegated to this one.
async fn send_receipts(entry: &Entry, written: &Written, delegation: &Delegation) {
    let Some(socket) = entry.mesh_socket.get() else { return };
    let receipts = entry.origins.delegated.lock().take_receipts(entry.now(), written, delegation);
    for Receipt { to, id } in receipts {
        mesh::send(socket, to, &Message::OriginReceipt { id }).await;
    }
}

/// Returns the time until an instance looks for new origins.
fn interval(entry: &Entry, services: &BTreeSet<Name>) -> Duration {
    if services.is_empty() {
        return IDLE_INTERVAL;
    }
    let own_interval = own_interval(entry);
    if own_interval <= MAX_OWN_INTERVAL {
        return own_interval;
    }
    if entry.followed_reader().is_some() {
        return DELEGATION_INTERVAL;
    }
    let zones = entry.peers.lock().zone_count(&entry.settings.zone, entry.now());
    FLEET_WRITE_INTERVAL * zones as u32
}

/// Returns the time between two writes of an instance, if all of them write for themselves.
fn own_interval(entry: &Entry) -> Duration {
    let instances = entry.limiter.lock().instance_count(entry.now());
    FLEET_WRITE_INTERVAL * (instances as u32).max(1)
}

/// Returns the process that writes the origins of this instance's streams, if it is another one.
fn writing_reader(entry: &Entry) -> Option<Followed> {
    entry.followed_reader().filter(|_| MAX_OWN_INTERVAL < own_interval(entry))
}

impl Writer {
    fn new(entry: &Entry) -> Writer {
        let key = format!("{FORMAT_PREFIX}{}.{:x}", entry.settings.instance, entry.incarnation);
        Writer { key, written: Written::default() }
    }

    /// Writes the records that are not in the store yet, if there are any.
    async fn write(&mut self, entry: &Entry, records: &[Record]) {
        let now = entry.now();
        let Some(write) = self.written.next(now, records) else { return };
        if self.replace(entry, write.part, &write.records).await {
            self.written.record(now, &write);
        }
    }

    /// Drops what was written.
    async fn drop_records(&mut self, entry: &Entry) {
        let parts: Vec<Part> = self.written.parts().collect();
        for part in parts {
            if self.replace(entry, part, &[]).await {
                self.written.record(entry.now(), &Write { part, records: Vec::new() });
            }
        }
    }

    /// Replaces a record in the store. Returns whether the store has it.
    async fn replace(&self, entry: &Entry, part: Part, records: &[Record]) -> bool {
        let (key, part) = match part {
            Part::Whole => (self.key.clone(), "whole"),
            Part::Recent => (format!("{}.recent", self.key), "recent"),
        };
        let value = encode(records);
        metrics::counter!("chivelatch_archive_writes_total", "part" => part).increment(1);
        metrics::counter!("chivelatch_archive_written_bytes_total").increment(value.len() as u64);
        let outcome = (entry.store.archive)(&key, value).await;
        if let Err(error) = &outcome {
            log::warn!(
                event = Event::Announce, records = records.len();
                "cannot write the origins of streams to the store; retrying: {error}"
            );
        }
        outcome.is_ok()
    }
}

/// Encodes the records of one key. An empty value drops the key.
fn encode(records: &[Record]) -> Bytes {
    if records.is_empty() {
        return Bytes::new();
    }
    postcard::to_stdvec(records).map(Bytes::from).unwrap_or_default()
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
