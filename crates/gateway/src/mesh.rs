//! Exchange of datagrams between processes: demand reports of entry instances
//! to side processes, their status reports, and gossip between entry instances.
//!
//! The platform has no certificate store, so datagrams are not encrypted. Like
//! the platform, the processes trust the network of the machines.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use async_net::UdpSocket;
use fleet::suspect::Record;
use front::server::ListenError;

use kernel::event::Event;
use serving::{
    Moment, Name, backlog::Report, directory::Listing, manifest::Manifest, mirror::Positions,
    residency::SlotUsage,
};

use crate::{
    entry::Entry,
    message::{Demand, Gossip, LeavingServer, MAX_BYTES, Message, Status, Work},
    roster::{Server, StatusReport},
};

/// Time between demand reports to an engine with work.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);
/// Demand reports to an engine without work are sent once in this many intervals.
const IDLE_DEMAND_ROUNDS: u64 = 4;
/// Shortest time between rounds of demand reports, since each new load request triggers one.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(4);
/// Time between gossip messages to a peer.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Time between gossip messages to a peer until one has told what it knows.
const STARTUP_GOSSIP_INTERVAL: Duration = Duration::from_millis(30);
/// Silence after which a peer gets gossip less often.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Silence after which a peer has most likely stopped for good. It still gets gossip now and then,
/// since it may be behind a long partition.
const STOPPED_PEER_TIMEOUT: Duration = Duration::from_secs(600);
/// Gossip to such a peer is sent once in this many intervals.
const STOPPED_PEER_ROUNDS: u64 = 400;
/// What is gone is forgotten once in this many intervals.
const CLEANUP_ROUNDS: u64 = 100;
/// Number of leaving servers in a message, so that it fits into a datagram.
const MAX_LEAVING_SERVERS: usize = 100;
/// Number of limits in a message, so that it fits into a datagram.
const MAX_LIMIT_REPORTS: usize = 50;
/// Number of suspects in a message, so that it fits into a datagram.
const MAX_SUSPECT_RECORDS: usize = 12;
/// All suspects in quarantine are sent once in this many intervals.
const QUARANTINE_ROUNDS: u64 = 20;
/// Time for which a server that leaves is named in each round, since datagrams may be lost.
const LEAVING_REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Gossip to a silent peer is sent once in this many intervals.
const SILENT_PEER_ROUNDS: u64 = 10;

/// The other entry instances.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<SocketAddr, Peer>,
}

/// State of a peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peer {
    /// Time of the latest gossip; `None` before the first one.
    pub last_seen: Option<Moment>,
    /// Positions up to which the peer has read the store.
    pub positions: Positions,
    /// Random number of the latest start of the peer's process; 0 before the first gossip.
    pub incarnation: u64,
}

impl Peers {
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Peers {
        let known = addresses.into_iter().map(|address| (address, Peer::default()));
        Peers { known: known.collect() }
    }

    /// Adds the address of a possible peer.
    pub fn add(&mut self, address: SocketAddr) {
        self.known.entry(address).or_default();
    }

    /// Records the state of a peer. Returns the one before.
    pub fn update(&mut self, address: SocketAddr, peer: Peer) -> Option<Peer> {
        self.known.insert(address, peer)
    }

    /// Returns the peers by their positions in the store, the most advanced first.
    pub fn by_progress(&self) -> Vec<(SocketAddr, Peer)> {
        let mut peers: Vec<_> =
            self.known.iter().map(|(address, peer)| (*address, *peer)).collect();
        peers.sort_by_key(|(_, peer)| {
            std::cmp::Reverse((peer.positions.operator, peer.positions.servers, peer.last_seen))
        });
        peers
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Returns the peers to send gossip to in this round, without the silent ones in most rounds. A
    /// peer that has sent nothing yet counts as silent only `PEER_TIMEOUT` after the start.
    pub fn due(&self, now: Moment, round: u64) -> Vec<SocketAddr> {
        let is_due = |peer: &Peer| {
            let silence = now.saturating_sub(peer.last_seen.unwrap_or_default());
            let rounds = match silence {
                silence if silence < PEER_TIMEOUT => 1,
                silence if silence < STOPPED_PEER_TIMEOUT => SILENT_PEER_ROUNDS,
                _ => STOPPED_PEER_ROUNDS,
            };
            round.is_multiple_of(rounds)
        };
        let due = self.known.iter().filter(|(_, peer)| is_due(peer));
        due.map(|(address, _)| *address).collect()
    }
}

/// Opens the datagram socket and starts the tasks of an entry instance.
///
/// # Errors
///
/// Returns [`ListenError`] if the port cannot be opened.
pub async fn start_entry(entry: &Arc<Entry>) -> Result<(), ListenError> {
    let socket = Arc::new(open(entry.settings.mesh).await?);
    let _first_time = entry.mesh_socket.set(Arc::clone(&socket));
    entry.kernel.spawn_detached(receive(Arc::clone(entry), Arc::clone(&socket)));
    entry.kernel.spawn_detached(send_demands(Arc::clone(entry), Arc::clone(&socket)));
    entry.kernel.spawn_detached(gossip(Arc::clone(entry), socket));
    Ok(())
}

/// Opens a datagram socket.
///
/// # Errors
///
/// Returns [`ListenError`] if the port cannot be opened.
pub async fn open(address: SocketAddr) -> Result<UdpSocket, ListenError> {
    UdpSocket::bind(address).await.map_err(|source| ListenError { address, source })
}

/// Sends a datagram without any guarantee; the next one makes up for a lost one.
pub async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let Ok(bytes) = postcard::to_stdvec(message) else { return };
    if MAX_BYTES < bytes.len() {
        log::warn!(
            event = Event::Mesh, bytes = bytes.len();
            "dropping a datagram to {to} that is above {MAX_BYTES} bytes"
        );
        return;
    }
    let _best_effort = socket.send_to(&bytes, to).await;
}

/// Waits for the next datagram. Returns `None` if it cannot be received or decoded.
pub async fn next(socket: &UdpSocket) -> Option<(SocketAddr, Message)> {
    let mut buffer = [0; MAX_BYTES];
    let (length, from) = socket.recv_from(&mut buffer).await.ok()?;
    postcard::from_bytes(&buffer[..length]).ok().map(|message| (from, message))
}

async fn receive(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    loop {
        match next(&socket).await {
            Some((from, Message::Status(status))) => record_status(&entry, from, status),
            Some((from, Message::Work { born_ms, slot_usage, work })) => {
                record_work_update(&entry, from, born_ms, slot_usage, &work);
            }
            Some((from, Message::Gossip(gossip))) => {
                if record_gossip(&entry, from, &gossip) {
                    send(&socket, from, &Message::Suspects(Vec::new())).await;
                    send_quarantined(&entry, &socket, &[from]).await;
                }
            }
            Some((_, Message::Leaving(servers))) => {
                for server in servers {
                    entry.record_leaving(&server.server, server.born_ms);
                }
            }
            Some((_, Message::Limits(reports))) => entry.record_limit_reports(&reports),
            Some((from, Message::PermitRequest(request))) => {
                let reply = entry.answer_permit_request(&request);
                send(&socket, from, &Message::PermitReply(reply)).await;
            }
            Some((_, Message::PermitReply(reply))) => entry.record_permit_reply(reply),
            Some((_, Message::Suspects(records))) => {
                entry.record_suspects(&records);
                entry.record_informed();
            }
            Some((from, Message::TrialRequest(request))) => {
                let reply = entry.answer_trial_request(from, &request);
                send(&socket, from, &Message::TrialReply(reply)).await;
            }
            Some((_, Message::TrialReply(reply))) => entry.record_trial_reply(reply),
            Some((_, Message::TrialEnd { id })) => entry.record_trial_end(id),
            Some((_, Message::Demand(_) | Message::EarlierGossip)) | None => {}
        }
    }
}

/// Records a status report and wakes waiting requests if adapters or models changed.
fn record_status(entry: &Entry, from: SocketAddr, status: Status) {
    let host = from.ip();
    let report = StatusReport { received_at: entry.now(), status: Arc::new(status) };
    record_work(entry, &report, host, &report.status.work);
    let status = Arc::clone(&report.status);
    let previous = entry.status_reports.with(&host, |reports| reports.insert(host, report));
    let is_unchanged = previous.is_some_and(|previous| {
        (
            previous.status.born_ms,
            &previous.status.adapters,
            &previous.status.pending,
            &previous.status.models,
        ) == (status.born_ms, &status.adapters, &status.pending, &status.models)
    });
    if !is_unchanged {
        entry.state_changed.notify(usize::MAX);
    }
}

/// Records a change of the work in flight alone. It confirms that the side process is alive and
/// that the rest of its latest status report still holds.
fn record_work_update(
    entry: &Entry,
    from: SocketAddr,
    born_ms: u64,
    slot_usage: SlotUsage,
    work: &Work,
) {
    let (host, now) = (from.ip(), entry.now());
    let report = entry.status_reports.with(&host, |reports| {
        let report = reports.get_mut(&host)?;
        if report.status.born_ms != born_ms {
            return None;
        }
        report.received_at = now;
        Arc::make_mut(&mut report.status).slot_usage = slot_usage;
        Some(report.clone())
    });
    if let Some(report) = report {
        record_work(entry, &report, host, work);
    }
}

/// Records the work of the other entry instances at an engine.
fn record_work(entry: &Entry, report: &StatusReport, host: IpAddr, work: &Work) {
    let at = report.received_at;
    for listing in entry.servers_on(host).iter().filter(|listing| report.is_about(listing)) {
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

/// Records the report of a peer. Returns whether it is the first one of this start of the peer.
fn record_gossip(entry: &Entry, from: SocketAddr, gossip: &Gossip) -> bool {
    let now = entry.now();
    let incarnation = gossip.usage.incarnation;
    let peer = Peer { last_seen: Some(now), positions: gossip.positions, incarnation };
    let previous = entry.peers.lock().update(from, peer);
    entry.limiter.lock().record_report(now, from, &gossip.usage);
    previous.is_none_or(|previous| previous.incarnation != incarnation)
}

/// Sends demand reports to the side processes, at intervals and when a request starts to wait.
async fn send_demands(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    loop {
        let triggered = entry.load_requested.listen();
        let is_triggered = entry.kernel.clock.timeout(DEMAND_INTERVAL, triggered).await.is_ok();
        if !is_triggered {
            round += 1;
        }
        let Some(manifest) = entry.manifest() else { continue };
        for (listing, demand) in due_demands(&entry, &manifest, is_triggered, round) {
            send(&socket, entry.side_address(&listing), &Message::Demand(demand)).await;
        }
        entry.kernel.clock.sleep(MIN_DEMAND_INTERVAL).await;
    }
}

/// Returns the demand reports to send in this round. A round triggered by a load request has only
/// those with load requests.
fn due_demands(
    entry: &Entry,
    manifest: &Manifest,
    is_triggered: bool,
    round: u64,
) -> Vec<(Listing, Demand)> {
    let mut demands = Vec::new();
    let roster = entry.roster();
    for service in manifest.services.values() {
        let Some(engine) = &service.engine else { continue };
        for listing in roster.servers(&service.name).iter() {
            let model = listing.models.first().or(engine.models.first()).cloned();
            let has_no_report = entry.status_report(listing).is_none();
            let demand = entry.with_server(&listing.id, |server| {
                let is_due = if is_triggered {
                    !server.load_requests.is_empty()
                } else {
                    round.is_multiple_of(IDLE_DEMAND_ROUNDS) || has_no_report || is_busy(server)
                };
                is_due.then(|| take_demand(listing, server, model, engine.adapter_slots))
            });
            demands.extend(demand.map(|demand| (listing.clone(), demand)));
        }
    }
    demands
}

fn is_busy(server: &Server) -> bool {
    server.backlog.local_work() != (0, 0)
        || !server.used.is_empty()
        || !server.load_requests.is_empty()
}

/// Returns the demand report for a server and resets its used adapters.
fn take_demand(
    listing: &Listing,
    server: &mut Server,
    model: Option<Name>,
    adapter_slots: usize,
) -> Demand {
    let (tokens, requests) = server.backlog.local_work();
    Demand {
        server: listing.id.clone(),
        born_ms: listing.born_ms,
        model,
        adapter_slots,
        tokens,
        requests,
        in_flight: server.in_flight.iter().map(|(name, count)| (name.clone(), *count)).collect(),
        used: std::mem::take(&mut server.used),
        load_requests: server.load_requests.keys().cloned().collect(),
    }
}

/// Sends the rate limit usage, the positions in the store, the servers that leave and the limits of
/// servers to peers.
async fn gossip(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    loop {
        let announced = entry.announced.listen();
        let interval = if entry.is_informed() { GOSSIP_INTERVAL } else { STARTUP_GOSSIP_INTERVAL };
        let is_announced = entry.kernel.clock.timeout(interval, announced).await.is_ok();
        send_leaving(&entry, &socket, round).await;
        send_limits(&entry, &socket, round).await;
        entry.review_breakage();
        send_suspects(&entry, &socket, round).await;
        if is_announced {
            continue;
        }
        round += 1;
        let positions = entry.with_mirror(|mirror| mirror.positions);
        let usage = {
            let (now, manifest) = (entry.now(), entry.manifest());
            let peers: Vec<SocketAddr> = entry.peers.lock().addresses().collect();
            let mut limiter = entry.limiter.lock();
            peers.into_iter().for_each(|peer| limiter.add_peer(peer));
            if let Some(manifest) = &manifest {
                limiter.set_accounts(now, &manifest.accounts);
            }
            limiter.usage_report(now, entry.incarnation)
        };
        let gossip = Gossip { positions, usage };
        let message = Message::Gossip(gossip);
        let due = entry.peers.lock().due(entry.now(), round);
        for peer in &due {
            send(&socket, *peer, &message).await;
        }
        if round.is_multiple_of(CLEANUP_ROUNDS) {
            entry.forget_gone();
        }
        if round.is_multiple_of(QUARANTINE_ROUNDS) {
            send_quarantined(&entry, &socket, &due).await;
        }
    }
}

/// Sends the servers that announced lately that they leave to peers, if there are any.
async fn send_leaving(entry: &Entry, socket: &UdpSocket, round: u64) {
    let servers: Vec<LeavingServer> = {
        let (now, mut servers) = (entry.now(), entry.leaving_servers.lock());
        servers.retain(|(announced_at, _)| now < *announced_at + LEAVING_REPEAT_PERIOD);
        servers.iter().rev().take(MAX_LEAVING_SERVERS).map(|(_, server)| server.clone()).collect()
    };
    if servers.is_empty() {
        return;
    }
    let message = Message::Leaving(servers);
    let due = entry.peers.lock().due(entry.now(), round);
    for peer in due {
        send(socket, peer, &message).await;
    }
}

/// Sends what changed lately about suspects to peers.
async fn send_suspects(entry: &Entry, socket: &UdpSocket, round: u64) {
    let now = entry.now();
    let changes = entry.quarantine.list.lock().changes(now);
    if !changes.is_empty() {
        let due = entry.peers.lock().due(now, round);
        send_records(socket, &changes, &due).await;
    }
}

/// Sends the suspects that are in quarantine.
async fn send_quarantined(entry: &Entry, socket: &UdpSocket, peers: &[SocketAddr]) {
    let records = entry.quarantine.list.lock().quarantined(entry.now());
    send_records(socket, &records, peers).await;
}

async fn send_records(socket: &UdpSocket, records: &[Record], peers: &[SocketAddr]) {
    for records in records.chunks(MAX_SUSPECT_RECORDS) {
        let message = Message::Suspects(records.to_vec());
        for peer in peers {
            send(socket, *peer, &message).await;
        }
    }
}

/// Sends the limits of servers to peers and to the side processes of these servers, if there are
/// any.
async fn send_limits(entry: &Entry, socket: &UdpSocket, round: u64) {
    let now = entry.now();
    entry.with_mirror(|mirror| {
        entry.gate.limits.lock().retain(|id| mirror.directory.get(id).is_some());
    });
    for reports in entry.limit_reports().chunks(MAX_LIMIT_REPORTS) {
        let message = Message::Limits(reports.to_vec());
        let due = entry.peers.lock().due(now, round);
        let listings = entry.with_mirror(|mirror| {
            let listings = reports.iter().filter_map(|report| mirror.directory.get(&report.server));
            listings.cloned().collect::<Vec<Listing>>()
        });
        let sides = listings.iter().map(|listing| entry.side_address(listing));
        for address in due.into_iter().chain(sides) {
            send(socket, address, &message).await;
        }
    }
}
