//! Keeps the mirror up to date: from the platform's store, from the instance of the zone that reads
//! it for the others (`serving::reader`), or from any peer while the store is unreachable.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hyper::Request;

use kernel::event::Event;
use services::http::{self, Error};
use serving::{
    Moment, Name,
    cursor::{Cursor, Position, Read, Verdict},
    directory::Effect,
    evacuation,
    mirror::{Change, Mirror, Outcome, PeerCopy, Positions, Topic},
    reader::Version,
};

use crate::{
    entry::Entry,
    listen::PEER_COPY_PATH,
    origin,
    ports::{Record, Snapshot, Tail},
    quarantine::archive,
    software,
};

/// Time that a read of a log waits for the first new record.
const READ_WAIT: Duration = Duration::from_millis(2000);
/// Time that a read of the servers' log waits for the first new record. Heartbeats keep this log
/// busy, so silence means a dead connection, and leaving servers must be noticed in time.
const SERVERS_READ_WAIT: Duration = Duration::from_millis(250);
/// Pause after a read of the servers' log, so that heartbeats are read in batches.
const SERVERS_BATCH_INTERVAL: Duration = Duration::from_millis(450);
/// First delay after a failed call; it doubles with each consecutive one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after a failed call to read a log; a failed announcement waits up to eight times
/// as long.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Time between checks whether a peer has newer data.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a response of the store after which peers are queried.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between checks whether another instance still reads the store for this one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a request for a peer's copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest copy of a peer's mirror, in bytes.
const MAX_COPY_BYTES: usize = 8 * 1024 * 1024;

/// Starts the tasks that update the mirror.
pub fn start(entry: &Arc<Entry>) {
    for topic in [Topic::Operator, Topic::Servers, Topic::Instances] {
        entry.kernel.spawn_detached(follow_log(Arc::clone(entry), topic));
    }
    entry.kernel.spawn_detached(announce(Arc::clone(entry)));
    entry.kernel.spawn_detached(follow_peers(Arc::clone(entry)));
    entry.kernel.spawn_detached(archive::run(Arc::clone(entry)));
    entry.kernel.spawn_detached(software::write_listed(Arc::clone(entry)));
    entry.kernel.spawn_detached(software::read_on_request(Arc::clone(entry)));
    entry.kernel.spawn_detached(origin::archive::run(Arc::clone(entry)));
    entry.kernel.spawn_detached(origin::archive::read_on_request(Arc::clone(entry)));
}

/// Reads one log for as long as the process runs, except while another instance reads it for this
/// one.
async fn follow_log(entry: Arc<Entry>, topic: Topic) {
    let mut cursor = Cursor::default();
    let mut delay = MIN_RETRY_DELAY;
    loop {
        if cursor.has_position() && entry.follows_reader() {
            entry.kernel.clock.sleep(READER_CHECK_INTERVAL).await;
        } else {
            read_log(&entry, topic, &mut cursor, &mut delay).await;
        }
    }
}

/// Removes the servers whose grace period has ended; to be called after a read of the servers' log, which
/// has those that have registered again. An instance that follows a reader gets them with its copies.
fn expire_servers(entry: &Entry) {
    let expired = entry.update_mirror(|now, mirror| mirror.directory.expire(now));
    for server in expired {
        log::info!(
            event = Event::ServerGone, server = &*server;
            "removed a server that did not register again after the outage of the store"
        );
    }
}

/// Reads one log once. Waits for `delay` after a failure, and increases it.
async fn read_log(entry: &Arc<Entry>, topic: Topic, cursor: &mut Cursor, delay: &mut Duration) {
    let generation = entry.with_mirror(Mirror::generation);
    let read = match cursor.next_read(mirrored_position(entry, topic)) {
        Read::Snapshot => read_snapshot(entry, topic, cursor).await,
        Read::Tail(from) => read_tail(entry, topic, cursor, from).await,
    };
    match read {
        Ok(()) => {
            if topic == Topic::Servers {
                expire_servers(entry);
            }
            if generation != entry.with_mirror(Mirror::generation) {
                entry.readers.lock().record_own_change();
            }
            entry.record_store_response(topic);
            *delay = MIN_RETRY_DELAY;
            if topic == Topic::Instances {
                entry.record_archive_read();
            }
            if topic == Topic::Servers {
                entry.kernel.clock.sleep(SERVERS_BATCH_INTERVAL).await;
            }
        }
        Err(error) => {
            entry.record_store_failure(topic, &error);
            entry.kernel.clock.sleep(*delay).await;
            *delay = (*delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

/// Returns the position up to which the mirror has a log. It has no records of the instances' log,
/// which only yields peer addresses.
fn mirrored_position(entry: &Entry, topic: Topic) -> Position {
    entry.with_mirror(|mirror| match topic {
        Topic::Operator => mirror.positions.operator,
        Topic::Servers => mirror.positions.servers,
        Topic::Instances | Topic::Streams => Position::default(),
    })
}

/// Reads the newest records of a log.
async fn read_snapshot(entry: &Entry, topic: Topic, cursor: &mut Cursor) -> Result<(), Error> {
    let Snapshot { records, end } = (entry.store.snapshot)(topic).await?;
    let verdict = cursor.record_snapshot(mirrored_position(entry, topic), end);
    match verdict {
        Verdict::Apply => {}
        Verdict::ApplyRestored => record_restore(entry, topic, end),
        Verdict::Discard | Verdict::Stale => {
            return ignore_stale(entry, topic, end).await;
        }
    }
    if topic == Topic::Servers {
        entry.record_servers_answer(entry.now());
    }
    let (zones, records): (Vec<Record>, Vec<Record>) =
        records.into_iter().partition(|record| matches!(record.change, Change::Zone { .. }));
    if topic == Topic::Operator {
        let zones: Vec<_> = zones.iter().filter_map(|it| zone_record(it, end.era)).collect();
        entry.update_mirror(|_, mirror| mirror.apply_zone_snapshot(&zones, end));
    }
    let present: HashSet<Name> = records.iter().map(|record| record.key.clone()).collect();
    apply(entry, topic, records, end, verdict);
    if topic == Topic::Servers {
        let removed = entry.update_mirror(|now, mirror| mirror.retain_servers(now, &present));
        for (server, effect) in removed {
            log::info!(
                event = Event::Server, server = &*server, effect:? = effect;
                "a listed server is missing from the snapshot of the store"
            );
        }
    }
    Ok(())
}

/// Reads a log from a position on.
async fn read_tail(
    entry: &Entry,
    topic: Topic,
    cursor: &mut Cursor,
    from: Position,
) -> Result<(), Error> {
    let wait = if topic == Topic::Servers { SERVERS_READ_WAIT } else { READ_WAIT };
    let tail = (entry.store.read)(topic, from.offset, wait).await?;
    if from < mirrored_position(entry, topic) {
        // A copy with later records was merged meanwhile.
        return Ok(());
    }
    match tail {
        Tail::Expired => {
            log::info!(
                event = Event::LogExpired, topic:? = topic, from = from.offset, era = from.era;
                "the log does not have the next records; reading a snapshot"
            );
            cursor.record_expired();
        }
        Tail::Records { records, next } => {
            let verdict = cursor.record_tail(from, next);
            if topic == Topic::Servers && verdict == Verdict::Apply {
                entry.record_servers_answer(entry.now());
            }
            match verdict {
                Verdict::Apply if records.is_empty() => {}
                Verdict::Apply | Verdict::ApplyRestored => {
                    apply(entry, topic, records, next, Verdict::Apply);
                }
                Verdict::Discard => {}
                Verdict::Stale => return ignore_stale(entry, topic, next).await,
            }
        }
    }
    Ok(())
}

/// Logs a response that is older than the mirror, and waits, so that a store that lags is not read
/// in a loop.
async fn ignore_stale(entry: &Entry, topic: Topic, end: Position) -> Result<(), Error> {
    log::warn!(
        event = Event::StoreStale, topic:? = topic, end = end.offset, era = end.era;
        "ignoring a response of the store that is older than the mirror"
    );
    entry.kernel.clock.sleep(MIN_RETRY_DELAY).await;
    Ok(())
}

/// Records that the store was restored from an older copy. Servers that are missing from it write
/// their records again, as after an outage, and so does this instance.
fn record_restore(entry: &Entry, topic: Topic, end: Position) {
    log::warn!(
        event = Event::StoreRestored, topic:? = topic, end = end.offset, era = end.era;
        "the store was restored from an older copy"
    );
    metrics::counter!("chivelatch_store_restores_total").increment(1);
    entry.update_mirror(|now, mirror| mirror.directory.record_store_recovery(now));
    if topic == Topic::Instances {
        entry.store_restored.notify(usize::MAX);
    }
}

/// Applies the records of one log up to the position `next`.
fn apply(entry: &Entry, topic: Topic, records: Vec<Record>, next: Position, verdict: Verdict) {
    if topic == Topic::Instances {
        for record in records {
            if software::is_key(&record.key) {
                let origin = software::decode(&record.key, &record.value);
                entry.update_mirror(|_, mirror| mirror.register_software(origin));
                continue;
            }
            if archive::is_key(&record.key) {
                archive::read(entry, &record.key, &record.value);
                continue;
            }
            let address = std::str::from_utf8(&record.value).ok();
            let address = address.and_then(|text| text.parse::<SocketAddr>().ok());
            match address {
                Some(address) if address != entry.settings.mesh => {
                    entry.peers.lock().add(address);
                }
                _ => {}
            }
        }
        return;
    }
    entry.update_mirror(|now, mirror| {
        for record in records {
            if let Some(zone) = zone_record(&record, next.era) {
                mirror.apply_zone(&zone);
            }
            apply_record(now, mirror, record, next, verdict);
        }
        match topic {
            Topic::Operator => {
                mirror.positions.operator = mirror.positions.operator.max(next);
            }
            Topic::Servers => mirror.positions.servers = mirror.positions.servers.max(next),
            Topic::Instances | Topic::Streams => {}
        }
    });
}

/// Returns the record as one of an availability zone, if it is one. A response of the store has one era.
fn zone_record(record: &Record, era: u64) -> Option<evacuation::Record> {
    let Change::Zone { zone, is_emptied } = &record.change else { return None };
    let end = Position { era, offset: record.offset.saturating_add(1) };
    Some(evacuation::Record { zone: zone.clone(), is_emptied: *is_emptied, end })
}

fn apply_record(
    now: Moment,
    mirror: &mut Mirror,
    record: Record,
    position: Position,
    verdict: Verdict,
) {
    let (key, era, position) = (&*record.key, position.era, position.offset);
    if let Change::Invalid { reason, .. } = &record.change {
        log::warn!(
            event = Event::RecordSkipped, key, position;
            "invalid record; a server that it is about is removed: {reason}"
        );
    }
    let is_server = matches!(record.change, Change::Server(_) | Change::ServerRemoved(_));
    let version = match &record.change {
        Change::Server(listing) => Name::clone(&listing.version),
        _ => Name::default(),
    };
    let outcome = if verdict == Verdict::ApplyRestored {
        mirror.apply_restored(now, record.change)
    } else {
        mirror.apply(now, record.change)
    };
    match outcome {
        Outcome::NewManifest(revision) => {
            log::info!(
                event = Event::Configuration, revision, position, era;
                "a new configuration revision is active"
            );
        }
        Outcome::StaleManifest(revision) => {
            log::info!(
                event = Event::Configuration, revision, position, era;
                "ignoring a configuration revision that is not newer than the active one"
            );
        }
        Outcome::NewVersion => log::info!(
            event = Event::Version, key, position, era;
            "a new version of an adapter"
        ),
        Outcome::Server(Effect::Same) => {}
        Outcome::Server(effect) if is_server => {
            log::info!(
                event = Event::Server, server = key, version = &*version, effect:? = effect, position,
                era;
                "read a record of a server"
            );
        }
        Outcome::Server(_) | Outcome::Unchanged => {}
    }
}

/// Writes this instance's address to the store, for its peers, and again after each restore of the
/// store.
async fn announce(entry: Arc<Entry>) {
    let address = entry.settings.mesh;
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let restored = entry.store_restored.listen();
        let value = address.to_string().into_bytes().into();
        match (entry.store.announce)(&entry.settings.instance, value).await {
            Ok(()) => {
                delay = MIN_RETRY_DELAY;
                restored.await;
                continue;
            }
            Err(error) => log::warn!(
                event = Event::Announce;
                "cannot announce this instance in the store; retrying: {error}"
            ),
        }
        entry.kernel.clock.sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY * 8);
    }
}

/// Merges the copies of more advanced peers while the store is unreachable.
async fn follow_peers(entry: Arc<Entry>) {
    loop {
        entry.kernel.clock.sleep(PEER_CHECK_INTERVAL).await;
        if entry.store_silence() < STORE_TIMEOUT {
            continue;
        }
        let own = entry.with_mirror(|mirror| mirror.positions);
        let peers = entry.peers.lock().by_progress();
        let is_ahead = |positions: Positions| {
            own.operator < positions.operator || own.servers < positions.servers
        };
        let has_no_manifest = entry.manifest().is_none();
        let source =
            peers.into_iter().find(|(_, peer)| has_no_manifest || is_ahead(peer.positions));
        let Some((address, _)) = source else { continue };
        let _logged = merge_peer_copy(&entry, address).await;
    }
}

/// Fetches a copy of the mirror from the reader of the zone in the background, unless one is being
/// fetched. `incarnation` is that of its process.
pub fn fetch_reader_copy(entry: &Arc<Entry>, reader: SocketAddr, incarnation: u64) {
    if entry.is_fetching_copy.swap(true, Ordering::Relaxed) {
        return;
    }
    let fetcher = Arc::clone(entry);
    entry.kernel.spawn_detached(async move {
        if let Some(generation) = merge_peer_copy(&fetcher, reader).await {
            let version = Version { incarnation, generation };
            fetcher.readers.lock().record_copy(fetcher.now(), reader, version);
        }
        fetcher.is_fetching_copy.store(false, Ordering::Relaxed);
    });
}

/// Fetches and merges the copy of a peer's mirror. Returns its generation, or `None` if it cannot be
/// fetched.
async fn merge_peer_copy(entry: &Entry, address: SocketAddr) -> Option<u64> {
    match fetch_peer_copy(entry, address).await {
        Ok(mut copy) => {
            let (positions, generation) = (copy.positions, copy.generation);
            let era = entry.with_mirror(|mirror| mirror.positions.servers.era);
            let is_restored = era < positions.servers.era;
            if !is_restored && entry.is_store_steady() {
                copy.drop_lapsed();
            }
            let is_newer = entry.update_mirror(|now, mirror| mirror.merge(now, copy));
            if is_restored {
                entry.store_restored.notify(usize::MAX);
            }
            log::info!(
                event = Event::PeerCopy, peer:% = address, is_newer, generation,
                operator = positions.operator.offset, servers = positions.servers.offset,
                era = positions.servers.era,
                store_silent_ms = entry.store_silence().as_millis() as u64;
                "merged the copy of a peer"
            );
            Some(generation)
        }
        Err(error) => {
            log::info!(
                event = Event::PeerCopy, peer:% = address;
                "cannot fetch a peer's copy of the mirror; retrying: {error}"
            );
            None
        }
    }
}

/// Fetches the copy of a peer's mirror.
async fn fetch_peer_copy(entry: &Entry, address: SocketAddr) -> Result<PeerCopy, Error> {
    let request: Request<_> = http::get(PEER_COPY_PATH);
    let response = entry.pool.fetch(address, request, COPY_TIMEOUT, MAX_COPY_BYTES).await?;
    if !response.status().is_success() {
        return Err(Error::from_response(&response));
    }
    postcard::from_bytes(response.body())
        .map_err(|error| Error::Unreadable { reason: error.to_string() })
}
