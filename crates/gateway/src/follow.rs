//! Follows the platform's store, and peers while the store cannot be read.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use hyper::Request;

use kernel::event::Event;
use services::http::{self, Error};
use serving::{
    Moment, Name,
    directory::Effect,
    mirror::{Change, Mirror, Outcome, PeerCopy, Positions, Topic},
};

use crate::{
    entry::Entry,
    listen::COPY_PATH,
    ports::{Record, Tail},
};

/// Time that a read waits for the first new record of a quiet log.
const LONG_WAIT: Duration = Duration::from_millis(2000);
/// The same for the servers' log, which heartbeats keep busy: silence there means that the
/// connection is dead, and leaving servers must be heard of in time.
const SERVERS_WAIT: Duration = Duration::from_millis(250);
/// Pause after servers' records, so that their heartbeats are read together.
const SERVERS_PAUSE: Duration = Duration::from_millis(450);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Time between looks at whether peers know more.
const PEER_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer of the store after which peers are asked.
const STORE_SILENCE: Duration = Duration::from_millis(700);
/// Time that a peer may take to send what it knows.
const COPY_TIMEOUT: Duration = Duration::from_millis(700);

/// Starts following.
pub fn start(entry: &Arc<Entry>) {
    for topic in [Topic::Operator, Topic::Servers, Topic::Instances] {
        entry.kernel.spawn_detached(follow(Arc::clone(entry), topic));
    }
    entry.kernel.spawn_detached(announce(Arc::clone(entry)));
    entry.kernel.spawn_detached(follow_peers(Arc::clone(entry)));
}

/// Reads one log for as long as the process runs.
async fn follow(entry: Arc<Entry>, topic: Topic) {
    let mut position = None;
    let mut pause = FIRST_PAUSE;
    loop {
        if topic != Topic::Instances {
            position = position.map(|own: u64| own.max(known_position(&entry, topic)));
        }
        let read = match position {
            None => read_newest(&entry, topic).await,
            Some(position) => read_on(&entry, topic, position).await,
        };
        match read {
            Ok(next) => {
                entry.store_answered(topic);
                position = next;
                pause = FIRST_PAUSE;
                if topic == Topic::Servers {
                    entry.kernel.clock.sleep(SERVERS_PAUSE).await;
                }
            }
            Err(error) => {
                entry.store_failed(topic, &error);
                entry.kernel.clock.sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
        let expired = entry.update_knowledge(|now, known| known.directory.expire(now));
        for server in expired {
            log::info!(event = Event::ServerGone, server = &*server; "it did not come back after the store's outage");
        }
    }
}

fn known_position(entry: &Entry, topic: Topic) -> u64 {
    entry.with_knowledge(|knowledge| match topic {
        Topic::Operator => knowledge.positions.operator,
        Topic::Servers => knowledge.positions.servers,
        Topic::Instances => 0,
    })
}

async fn read_newest(entry: &Entry, topic: Topic) -> Result<Option<u64>, Error> {
    let snapshot = (entry.store.newest)(topic).await?;
    if snapshot.end < known_position(entry, topic) {
        log::warn!(
            event = Event::StoreStale, topic:? = topic, end = snapshot.end;
            "the store answered with an older state; it is not used"
        );
        return Ok(Some(known_position(entry, topic)));
    }
    let present: HashSet<Name> = snapshot.records.iter().map(|record| record.key.clone()).collect();
    apply(entry, topic, snapshot.records, snapshot.end);
    if topic == Topic::Servers {
        let gone = entry.update_knowledge(|now, known| known.retain_servers(now, &present));
        for (server, effect) in gone {
            log::info!(event = Event::Server, server = &*server, effect:? = effect; "not in the list");
        }
    }
    Ok(Some(snapshot.end))
}

async fn read_on(entry: &Entry, topic: Topic, from: u64) -> Result<Option<u64>, Error> {
    let wait = if topic == Topic::Servers { SERVERS_WAIT } else { LONG_WAIT };
    match (entry.store.read)(topic, from, wait).await? {
        Tail::Expired => {
            log::info!(event = Event::LogExpired, topic:? = topic, from; "reading the newest records");
            Ok(None)
        }
        Tail::Records { records, next } => {
            if !records.is_empty() {
                apply(entry, topic, records, next);
            }
            Ok(Some(next))
        }
    }
}

fn apply(entry: &Entry, topic: Topic, records: Vec<Record>, next: u64) {
    if topic == Topic::Instances {
        let mut peers = entry.peers.lock();
        for record in records {
            let address = std::str::from_utf8(&record.value).ok();
            let address = address.and_then(|text| text.parse::<SocketAddr>().ok());
            match address {
                Some(address) if address != entry.settings.mesh => peers.add(address),
                _ => {}
            }
        }
        return;
    }
    entry.update_knowledge(|now, knowledge| {
        for record in records {
            apply_record(now, knowledge, record, next);
        }
        match topic {
            Topic::Operator => {
                knowledge.positions.operator = knowledge.positions.operator.max(next);
            }
            Topic::Servers => knowledge.positions.servers = knowledge.positions.servers.max(next),
            Topic::Instances => {}
        }
    });
}

fn apply_record(now: Moment, knowledge: &mut Mirror, record: Record, position: u64) {
    let key = &*record.key;
    if let Change::Invalid { reason, .. } = &record.change {
        log::warn!(event = Event::RecordSkipped, key, position; "{reason}");
    }
    let is_server = matches!(record.change, Change::Server(_) | Change::ServerRemoved(_));
    match knowledge.apply(now, record.change) {
        Outcome::NewManifest(revision) => {
            log::info!(event = Event::Configuration, revision, position; "a new revision is in force");
        }
        Outcome::StaleManifest(revision) => {
            log::info!(event = Event::Configuration, revision, position; "an older revision is ignored");
        }
        Outcome::NewVersion => log::info!(event = Event::Version, key, position; "a new version"),
        Outcome::Server(Effect::Same) => {}
        Outcome::Server(effect) if is_server => {
            log::info!(event = Event::Server, server = key, effect:? = effect, position; "the list changed");
        }
        Outcome::Server(_) | Outcome::Unchanged => {}
    }
}

/// Makes this instance known to its peers.
async fn announce(entry: Arc<Entry>) {
    let address = entry.settings.mesh;
    let mut pause = FIRST_PAUSE;
    loop {
        let value = address.to_string().into_bytes().into();
        match (entry.store.announce)(&entry.settings.instance, value).await {
            Ok(()) => return,
            Err(error) => log::warn!(event = Event::Announce; "{error}"),
        }
        entry.kernel.clock.sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE * 8);
    }
}

/// Takes what peers know while the store cannot be read.
async fn follow_peers(entry: Arc<Entry>) {
    loop {
        entry.kernel.clock.sleep(PEER_INTERVAL).await;
        if entry.store_silence() < STORE_SILENCE {
            continue;
        }
        let own = entry.with_knowledge(|knowledge| knowledge.positions);
        let peers = entry.peers.lock().best();
        let knows_more = |positions: Positions| {
            own.operator < positions.operator || own.servers < positions.servers
        };
        let has_nothing = entry.manifest().is_none();
        let better = peers.into_iter().find(|(_, peer)| has_nothing || knows_more(peer.positions));
        let Some((address, _)) = better else { continue };
        match ask_peer(&entry, address).await {
            Ok(copy) => {
                let positions = copy.positions;
                let is_newer = entry.update_knowledge(|now, knowledge| knowledge.merge(now, copy));
                log::info!(
                    event = Event::PeerCopy, peer:% = address, is_newer,
                    operator = positions.operator, servers = positions.servers,
                    store_silent_ms = entry.store_silence().as_millis() as u64;
                    "took what a peer knows"
                );
            }
            Err(error) => log::info!(event = Event::PeerCopy, peer:% = address; "{error}"),
        }
    }
}

async fn ask_peer(entry: &Entry, address: SocketAddr) -> Result<PeerCopy, Error> {
    let request: Request<_> = http::get(COPY_PATH);
    let response = entry.pool.fetch(address, request, COPY_TIMEOUT).await?;
    postcard::from_bytes(response.body())
        .map_err(|error| Error::Unreadable { reason: error.to_string() })
}
