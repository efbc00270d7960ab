//! What entry instances tell each other: the usage of client accounts, their reads of the store, the
//! servers that leave, the limits of servers and the suspects of crashes.
//!
//! News goes to the own availability zone directly and to two instances of each other zone, which
//! pass it on ([`Peers`](crate::mesh::Peers)). The same news may arrive twice, or out of order; each
//! kind is recorded so that this does no harm. News that was passed on counts only if it comes from
//! the own zone and is about another one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_net::UdpSocket;

use fleet::suspect::Record;
use serde::Serialize;
use serving::{Moment, Name, directory::Listing, rate_limit, reader};

use crate::{
    entry::Entry,
    follow,
    mesh::{
        peers::{self, Peer, Recipients},
        send,
    },
    message::{Gossip, LeavingServer, MAX_BYTES, Message, News},
};

/// Time between gossip messages to a peer until one has told what it knows.
const STARTUP_GOSSIP_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which gossip from other zones is collected before it is passed on.
const RELAY_INTERVAL: Duration = Duration::from_millis(100);
/// Senders whose gossip waits to be passed on; that of others is dropped, since they repeat it.
const MAX_COLLECTED: usize = 4096;
/// Size of a message with several elements, in bytes, without its last element.
const BATCH_BYTES: usize = MAX_BYTES / 2;
/// What is gone is forgotten once in this many intervals.
const CLEANUP_ROUNDS: u64 = 100;
/// Number of leaving servers in a message, so that it fits into a datagram.
const MAX_LEAVING_SERVERS: usize = 100;
/// Number of limits in a message, so that it fits into a datagram.
const MAX_LIMIT_REPORTS: usize = 50;
/// All suspects in quarantine are sent once in this many intervals.
const QUARANTINE_ROUNDS: u64 = 20;
/// The capacity is told once in this many intervals.
const CAPACITY_ROUNDS: u64 = 100;
/// The same for the first intervals of an instance.
const STARTUP_CAPACITY_ROUNDS: u64 = 5;
/// Number of these intervals.
const STARTUP_ROUNDS: u64 = 20;
/// Silence after which an instance is not named to others.
const PEER_NEWS_AGE: Duration = Duration::from_secs(3);
/// Time for which a server that leaves is named in each round, since datagrams may be lost.
const LEAVING_REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// Sends the rate limit usage, the positions in the store, the servers that leave and the limits of
/// servers to peers.
pub async fn run(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    loop {
        let announced = entry.announced.listen();
        let interval = if entry.is_informed() {
            rate_limit::report_interval(entry.limiter.lock().instance_count(entry.now()))
        } else {
            STARTUP_GOSSIP_INTERVAL
        };
        let is_announced = entry.kernel.clock.timeout(interval, announced).await.is_ok();
        let recipients = recipients(&entry, round);
        send_leaving(&entry, &socket, &recipients).await;
        send_limits(&entry, &socket, &recipients).await;
        entry.review_breakage();
        send_suspects(&entry, &socket, &recipients).await;
        if is_announced {
            continue;
        }
        round += 1;
        let recipients = recipients_by_turns(&entry, round);
        for part in parts(current_gossip(&entry)) {
            send_news(&socket, &News::Gossip(Box::new(part)), &recipients).await;
        }
        let rounds =
            if round <= STARTUP_ROUNDS { STARTUP_CAPACITY_ROUNDS } else { CAPACITY_ROUNDS };
        if round.is_multiple_of(rounds) {
            send_capacity(&entry, &socket, &self::recipients(&entry, round)).await;
        }
        if round.is_multiple_of(CLEANUP_ROUNDS) {
            entry.forget_gone();
        }
        if round.is_multiple_of(QUARANTINE_ROUNDS) {
            send_quarantined(&entry, &socket, &self::recipients(&entry, round)).await;
        }
    }
}

/// Passes the collected gossip from other zones on in the own one.
pub async fn relay(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    loop {
        entry.kernel.clock.sleep(RELAY_INTERVAL).await;
        let collected = std::mem::take(&mut *entry.collected_news.lock());
        let collected: Vec<_> =
            collected.into_iter().map(|((origin, _), news)| (origin, news)).collect();
        if collected.is_empty() {
            continue;
        }
        let members = entry.peers.lock().in_zone(&entry.settings.zone, entry.now(), 1);
        for batch in batches(collected) {
            let message = Message::Relayed(batch);
            for member in &members {
                send(&socket, *member, &message).await;
            }
        }
    }
}

/// Records what a peer tells, and what other zones told it.
pub async fn receive(entry: &Arc<Entry>, socket: &UdpSocket, from: SocketAddr, message: Message) {
    match message {
        Message::News(news) => record(entry, socket, from, &news).await,
        Message::ForZone(news) => {
            record(entry, socket, from, &news).await;
            pass_on(entry, socket, from, news).await;
        }
        Message::Relayed(news) if is_in_zone(entry, &from) => {
            for (origin, news) in news {
                let is_foreign = origin != entry.settings.mesh && !is_in_zone(entry, &origin);
                if is_foreign && !claims_zone(&news, &entry.settings.zone) {
                    apply(entry, origin, &news);
                }
            }
        }
        Message::Relayed(_) => {
            metrics::counter!("chivelatch_mesh_dropped_total", "reason" => "relay").increment(1);
        }
        _ => {}
    }
}

/// Sends the suspects that are in quarantine.
async fn send_quarantined(entry: &Entry, socket: &UdpSocket, recipients: &Recipients) {
    let records = entry.quarantine.list.lock().quarantined(entry.now());
    send_records(socket, records, recipients).await;
}

fn recipients(entry: &Entry, round: u64) -> Recipients {
    let own = (&entry.settings.mesh, &entry.settings.zone);
    entry.peers.lock().recipients(own, entry.now(), round)
}

fn recipients_by_turns(entry: &Entry, round: u64) -> Recipients {
    let own = (&entry.settings.mesh, &entry.settings.zone);
    entry.peers.lock().recipients_by_turns(own, entry.now(), round)
}

fn current_gossip(entry: &Entry) -> Gossip {
    let (positions, generation) =
        entry.with_mirror(|mirror| (mirror.positions, mirror.generation()));
    let (now, manifest) = (entry.now(), entry.manifest());
    let peers: Vec<SocketAddr> = entry.peers.lock().addresses().collect();
    let mut limiter = entry.limiter.lock();
    peers.into_iter().for_each(|peer| limiter.add_peer(peer));
    if let Some(manifest) = &manifest {
        limiter.set_accounts(now, &manifest.accounts);
    }
    let usage = limiter.usage_report(now, entry.incarnation);
    drop(limiter);
    Gossip {
        zone: entry.settings.zone.clone(),
        positions,
        reader: entry.reader_report(generation),
        usage,
    }
}

/// Splits gossip into parts that fit into datagrams, each with the usage of some accounts.
pub fn parts(gossip: Gossip) -> Vec<Gossip> {
    let mut groups = batches(gossip.usage.usage.clone());
    if groups.is_empty() {
        groups.push(Vec::new());
    }
    let reports = gossip.usage.clone().split(groups);
    reports.into_iter().map(|usage| Gossip { usage, ..gossip.clone() }).collect()
}

async fn send_news(socket: &UdpSocket, news: &News, recipients: &Recipients) {
    if !recipients.direct.is_empty() {
        let message = Message::News(news.clone());
        for peer in &recipients.direct {
            send(socket, *peer, &message).await;
        }
    }
    if !recipients.relays.is_empty() {
        let message = Message::ForZone(news.clone());
        for peer in &recipients.relays {
            send(socket, *peer, &message).await;
        }
    }
}

/// Returns whether a peer is known to be in the own zone.
fn is_in_zone(entry: &Entry, address: &SocketAddr) -> bool {
    let peers = entry.peers.lock();
    peers.get(address).is_some_and(|peer| peer.zone.as_ref() == Some(&entry.settings.zone))
}

/// Returns whether news says that its sender is in a zone.
fn claims_zone(news: &News, zone: &Name) -> bool {
    matches!(news, News::Gossip(gossip) if gossip.zone == *zone)
}

/// Passes news of another zone on in the own one, gossip together with others.
async fn pass_on(entry: &Entry, socket: &UdpSocket, from: SocketAddr, news: News) {
    if let News::Gossip(gossip) = &news {
        let mut collected = entry.collected_news.lock();
        if collected.len() < MAX_COLLECTED {
            collected.insert((from, gossip.usage.part), news);
        }
        return;
    }
    let members = entry.peers.lock().in_zone(&entry.settings.zone, entry.now(), 1);
    let message = Message::Relayed(vec![(from, news)]);
    for member in members {
        send(socket, member, &message).await;
    }
}

/// Splits elements into batches, each of which fits into a datagram.
pub fn batches<T: Serialize>(elements: impl IntoIterator<Item = T>) -> Vec<Vec<T>> {
    let mut batches = Vec::new();
    let (mut batch, mut bytes) = (Vec::new(), 0);
    for element in elements {
        bytes += postcard::experimental::serialized_size(&element).unwrap_or(0);
        batch.push(element);
        if BATCH_BYTES < bytes {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}

/// Applies news that came from its sender directly, and tells one that has just started what is in
/// quarantine.
async fn record(entry: &Arc<Entry>, socket: &UdpSocket, from: SocketAddr, news: &News) {
    let is_first = apply(entry, from, news);
    if is_first {
        let direct = Recipients { direct: vec![from], relays: Vec::new() };
        send_news(socket, &News::Suspects(Vec::new()), &direct).await;
        send_peers(entry, socket, &direct).await;
        send_capacity(entry, socket, &direct).await;
        send_quarantined(entry, socket, &direct).await;
    }
}

/// Tells an instance that has just started of the others: it knows only a few addresses while it
/// cannot read the store, and so may others that start at the same time.
async fn send_peers(entry: &Entry, socket: &UdpSocket, recipients: &Recipients) {
    let heard = entry.peers.lock().heard(entry.now(), PEER_NEWS_AGE);
    let others = heard.into_iter().filter(|address| !recipients.direct.contains(address));
    for batch in batches(others) {
        send_news(socket, &News::Peers(batch), recipients).await;
    }
}

/// Adds possible peers that another instance tells of. All instances use the same port.
fn record_peers(entry: &Entry, addresses: &[SocketAddr]) {
    let own = entry.settings.mesh;
    let others = addresses.iter().filter(|it| it.port() == own.port() && **it != own);
    let mut peers = entry.peers.lock();
    for address in others {
        peers.add_told(*address);
    }
}

/// Applies news of an instance, whoever passed it on. Returns whether it is the first gossip since
/// the instance started.
fn apply(entry: &Arc<Entry>, from: SocketAddr, news: &News) -> bool {
    match news {
        News::Gossip(gossip) => return record_gossip(entry, from, gossip),
        News::Leaving(servers) => {
            for server in servers {
                entry.record_leaving(&server.server, server.born_ms);
            }
        }
        News::Limits(reports) => entry.record_limit_reports(reports),
        News::Suspects(records) => {
            entry.record_suspects(records);
            entry.record_informed();
        }
        News::Peers(addresses) => record_peers(entry, addresses),
        News::Capacity(capacity) => entry.peers.lock().record_capacity(&from, *capacity),
        News::EarlierSuspects | News::EarlierGossip => {}
    }
    false
}

/// Records the gossip of a peer. Returns whether it is the first one of this start of the peer.
fn record_gossip(entry: &Arc<Entry>, from: SocketAddr, gossip: &Gossip) -> bool {
    let now = entry.now();
    if !entry.limiter.lock().record_report(now, from, &gossip.usage) {
        // A later one arrived first.
        return false;
    }
    let incarnation = gossip.usage.incarnation;
    let peer = Peer {
        last_seen: Some(now),
        zone: Some(gossip.zone.clone()),
        positions: gossip.positions,
        incarnation,
        capacity: 0,
    };
    let previous = entry.peers.lock().update(from, peer);
    if let Some(answers) = gossip.reader.answers {
        entry.record_peer_answers(answers);
    }
    if gossip.zone == entry.settings.zone {
        record_reader(entry, now, from, gossip);
    }
    previous.is_none_or(|previous| previous.incarnation != incarnation)
}

/// Records what an instance of the own zone tells of its reads of the store, and follows it.
fn record_reader(entry: &Arc<Entry>, now: Moment, from: SocketAddr, gossip: &Gossip) {
    let capacity = entry.peers.lock().get(&from).map_or(0, |peer| peer.capacity);
    let rank = reader::rank(peers::rank(from), capacity);
    let mut readers = entry.readers.lock();
    let needs_copy = readers.record_report(now, from, rank, gossip.reader);
    let is_source = readers.source(now) == Some(from);
    let is_current = is_source && readers.is_current(from);
    drop(readers);
    if let Some(silence) = gossip.reader.silence.filter(|_| is_source) {
        entry.record_servers_answer(now.saturating_sub(silence));
    }
    if needs_copy {
        follow::fetch_reader_copy(entry, from, gossip.reader.incarnation);
    } else if is_current {
        entry.update_mirror(|_, mirror| mirror.advance(gossip.positions));
    }
}

/// Sends the own processor share, if the settings state one.
async fn send_capacity(entry: &Entry, socket: &UdpSocket, recipients: &Recipients) {
    if entry.settings.capacity != 0 {
        send_news(socket, &News::Capacity(entry.settings.capacity), recipients).await;
    }
}

/// Sends the servers that announced lately that they leave to peers, if there are any.
async fn send_leaving(entry: &Entry, socket: &UdpSocket, recipients: &Recipients) {
    let servers: Vec<LeavingServer> = {
        let (now, mut servers) = (entry.now(), entry.leaving_servers.lock());
        servers.retain(|(announced_at, _)| now < *announced_at + LEAVING_REPEAT_PERIOD);
        servers.iter().rev().take(MAX_LEAVING_SERVERS).map(|(_, server)| server.clone()).collect()
    };
    if !servers.is_empty() {
        send_news(socket, &News::Leaving(servers), recipients).await;
    }
}

/// Sends what changed lately about suspects to peers.
async fn send_suspects(entry: &Entry, socket: &UdpSocket, recipients: &Recipients) {
    let changes = entry.quarantine.list.lock().changes(entry.now());
    send_records(socket, changes, recipients).await;
}

async fn send_records(socket: &UdpSocket, records: Vec<Record>, recipients: &Recipients) {
    for batch in batches(records) {
        send_news(socket, &News::Suspects(batch), recipients).await;
    }
}

/// Sends the limits of servers to peers and to the side processes of these servers, if there are
/// any.
async fn send_limits(entry: &Entry, socket: &UdpSocket, recipients: &Recipients) {
    entry.with_mirror(|mirror| {
        entry.gate.limits.lock().retain(|id| mirror.directory.get(id).is_some());
    });
    entry.log_warmups();
    for reports in entry.limit_reports().chunks(MAX_LIMIT_REPORTS) {
        let news = News::Limits(reports.to_vec());
        send_news(socket, &news, recipients).await;
        let listings = entry.with_mirror(|mirror| {
            let listings = reports.iter().filter_map(|report| mirror.directory.get(&report.server));
            listings.cloned().collect::<Vec<Listing>>()
        });
        for listing in listings {
            send(socket, entry.side_address(&listing), &Message::News(news.clone())).await;
        }
    }
}
