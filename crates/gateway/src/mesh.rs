//! Datagrams between processes: what entry instances tell side processes and
//! each other.
//!
//! There is no store of certificates on the platform, so datagrams are not
//! encrypted; processes trust the machines' own network, as the platform does.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use async_net::UdpSocket;
use front::server::ListenError;

use kernel::event::Event;
use serving::{
    Moment, Name, backlog::Report, directory::Listing, manifest::Manifest, mirror::Positions,
    residency::SlotUsage,
};

use crate::{
    entry::Entry,
    message::{Gossip, Guide, MAX_BYTES, Message, Status, Work},
    roster::{Server, Sighting},
};

/// Time between guides to an engine with work.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Guides to an engine without work: one in this many intervals.
const IDLE_EVERY: u64 = 4;
/// Shortest time between guides that a waiting request asks for.
const MIN_INTERVAL: Duration = Duration::from_millis(4);
/// Time between datagrams to peers.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Peers that are silent for longer are written to only now and then.
const PEER_SILENCE: Duration = Duration::from_secs(5);
/// Gossip to a silent peer: one in this many intervals.
const SILENT_EVERY: u64 = 10;

/// Other entry instances.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<SocketAddr, Peer>,
}

/// What is known of one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peer {
    pub heard: Option<Moment>,
    pub positions: Positions,
}

impl Peers {
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Peers {
        let known = addresses.into_iter().map(|address| (address, Peer::default()));
        Peers { known: known.collect() }
    }

    /// Adds an address at which a peer may be found.
    pub fn add(&mut self, address: SocketAddr) {
        self.known.entry(address).or_default();
    }

    pub fn hear(&mut self, address: SocketAddr, peer: Peer) {
        self.known.insert(address, peer);
    }

    /// Peers by how much they know, the best first.
    pub fn best(&self) -> Vec<(SocketAddr, Peer)> {
        let mut peers: Vec<_> =
            self.known.iter().map(|(address, peer)| (*address, *peer)).collect();
        peers.sort_by_key(|(_, peer)| {
            std::cmp::Reverse((peer.positions.operator, peer.positions.servers, peer.heard))
        });
        peers
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Peers to write to in this round; after a start all of them.
    fn due(&self, now: Moment, round: u64) -> Vec<SocketAddr> {
        let is_live = |peer: &Peer| now < peer.heard.unwrap_or_default() + PEER_SILENCE;
        let due = self.known.iter();
        let due = due.filter(|(_, peer)| is_live(peer) || round.is_multiple_of(SILENT_EVERY));
        due.map(|(address, _)| *address).collect()
    }
}

/// Opens the port and starts the tasks of an entry instance.
///
/// # Errors
///
/// [`ListenError`] when the port is taken.
pub async fn start_entry(entry: &Arc<Entry>) -> Result<(), ListenError> {
    let socket = Arc::new(open(entry.settings.mesh).await?);
    entry.kernel.spawn_detached(receive(Arc::clone(entry), Arc::clone(&socket)));
    entry.kernel.spawn_detached(guide(Arc::clone(entry), Arc::clone(&socket)));
    entry.kernel.spawn_detached(gossip(Arc::clone(entry), socket));
    Ok(())
}

/// Opens a datagram port.
///
/// # Errors
///
/// [`ListenError`] when the port is taken.
pub async fn open(address: SocketAddr) -> Result<UdpSocket, ListenError> {
    UdpSocket::bind(address).await.map_err(|source| ListenError { address, source })
}

/// Sends a datagram; a lost one is made good by the next.
pub async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let Ok(bytes) = postcard::to_stdvec(message) else { return };
    if MAX_BYTES < bytes.len() {
        log::warn!(event = Event::Mesh, bytes = bytes.len(); "a datagram is too large and is not sent");
        return;
    }
    let _repeated_anyway = socket.send_to(&bytes, to).await;
}

/// Waits for a datagram that can be read.
pub async fn next(socket: &UdpSocket) -> Option<(SocketAddr, Message)> {
    let mut buffer = [0; MAX_BYTES];
    let (length, from) = socket.recv_from(&mut buffer).await.ok()?;
    postcard::from_bytes(&buffer[..length]).ok().map(|message| (from, message))
}

async fn receive(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    loop {
        match next(&socket).await {
            Some((from, Message::Status(status))) => note_status(&entry, from, status),
            Some((from, Message::Work { born_ms, places, work })) => {
                note_work_alone(&entry, from, born_ms, places, &work);
            }
            Some((from, Message::Gossip(gossip))) => note_gossip(&entry, from, &gossip),
            Some((_, Message::Guide(_))) | None => {}
        }
    }
}

fn note_status(entry: &Entry, from: SocketAddr, status: Status) {
    let host = from.ip();
    let sighting = Sighting { at: entry.now(), status: Arc::new(status) };
    note_work(entry, &sighting, host, &sighting.status.work);
    let status = Arc::clone(&sighting.status);
    let known = entry.sightings.with(&host, |sightings| sightings.insert(host, sighting));
    let is_same = known.is_some_and(|known| {
        (known.status.born_ms, &known.status.adapters, &known.status.pending, &known.status.models)
            == (status.born_ms, &status.adapters, &status.pending, &status.models)
    });
    if !is_same {
        entry.residency.notify(usize::MAX);
    }
}

/// Work alone says that the side process lives, and that nothing else has changed.
fn note_work_alone(entry: &Entry, from: SocketAddr, born_ms: u64, places: SlotUsage, work: &Work) {
    let (host, now) = (from.ip(), entry.now());
    let sighting = entry.sightings.with(&host, |sightings| {
        let sighting = sightings.get_mut(&host)?;
        if sighting.status.born_ms != born_ms {
            return None;
        }
        sighting.at = now;
        Arc::make_mut(&mut sighting.status).places = places;
        Some(sighting.clone())
    });
    if let Some(sighting) = sighting {
        note_work(entry, &sighting, host, work);
    }
}

fn note_work(entry: &Entry, sighting: &Sighting, host: IpAddr, work: &Work) {
    let at = sighting.at;
    for listing in entry.servers_on(host).iter().filter(|listing| sighting.is_of(listing)) {
        entry.with_server(&listing.id, |server| {
            server.backlog.clear_peer_reports();
            for (peer, tokens, requests) in work {
                if *peer != entry.settings.mesh {
                    let report = Report { tokens: *tokens, requests: *requests, at };
                    server.backlog.record_peer_report(*peer, report);
                }
            }
        });
    }
}

fn note_gossip(entry: &Entry, from: SocketAddr, gossip: &Gossip) {
    let now = entry.now();
    let peer = Peer { heard: Some(now), positions: gossip.positions };
    entry.peers.lock().hear(from, peer);
    entry.ledger.lock().record_report(now, from, &gossip.statement);
}

/// Tells side processes what their engines should hold.
async fn guide(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    loop {
        let asked = entry.guidance.listen();
        let is_asked = entry.kernel.clock.timeout(BUSY_INTERVAL, asked).await.is_ok();
        if !is_asked {
            round += 1;
        }
        let Some(manifest) = entry.manifest() else { continue };
        for (listing, guide) in guides(&entry, &manifest, is_asked, round) {
            send(&socket, entry.side_of(&listing), &Message::Guide(guide)).await;
        }
        entry.kernel.clock.sleep(MIN_INTERVAL).await;
    }
}

fn guides(entry: &Entry, manifest: &Manifest, is_asked: bool, round: u64) -> Vec<(Listing, Guide)> {
    let mut guides = Vec::new();
    let roster = entry.roster();
    for service in manifest.services.values() {
        let Some(engine) = &service.engine else { continue };
        for listing in roster.servers(&service.name).iter() {
            let model = listing.models.first().or(engine.models.first()).cloned();
            let is_unknown = entry.sighting(listing).is_none();
            let guide = entry.with_server(&listing.id, |server| {
                let is_due = if is_asked {
                    !server.wants.is_empty()
                } else {
                    round.is_multiple_of(IDLE_EVERY) || is_unknown || is_busy(server)
                };
                is_due.then(|| make_guide(listing, server, model, engine.adapter_slots))
            });
            guides.extend(guide.map(|guide| (listing.clone(), guide)));
        }
    }
    guides
}

fn is_busy(server: &Server) -> bool {
    server.backlog.local_work() != (0, 0) || !server.used.is_empty() || !server.wants.is_empty()
}

fn make_guide(listing: &Listing, server: &mut Server, model: Option<Name>, places: usize) -> Guide {
    let (tokens, requests) = server.backlog.local_work();
    Guide {
        server: listing.id.clone(),
        born_ms: listing.born_ms,
        model,
        places,
        tokens,
        requests,
        in_flight: server.in_flight.iter().map(|(name, count)| (name.clone(), *count)).collect(),
        used: std::mem::take(&mut server.used),
        wants: server.wants.keys().cloned().collect(),
    }
}

/// Tells peers what was admitted and how far the store was read.
async fn gossip(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    loop {
        entry.kernel.clock.sleep(GOSSIP_INTERVAL).await;
        round += 1;
        let positions = entry.with_knowledge(|knowledge| knowledge.positions);
        let statement = {
            let (now, manifest) = (entry.now(), entry.manifest());
            let peers: Vec<SocketAddr> = entry.peers.lock().addresses().collect();
            let mut ledger = entry.ledger.lock();
            peers.into_iter().for_each(|peer| ledger.add_peer(peer));
            ledger.create_buckets(now, manifest.iter().flat_map(|manifest| &manifest.accounts));
            ledger.usage_report(now, entry.incarnation)
        };
        let gossip = Gossip { positions, statement };
        let message = Message::Gossip(gossip);
        let due = entry.peers.lock().due(entry.now(), round);
        for peer in due {
            send(&socket, peer, &message).await;
        }
    }
}
