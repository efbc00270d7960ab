//! Ready servers by service, and what this instance knows of each server.
//!
//! The roster is a copy of the directory, without the servers of emptied zones, with precomputed
//! hashes for placement. It is replaced when the directory or the emptied zones change.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use kernel::shard;
use placement::rendezvous;
use serving::{
    Moment, Name,
    adapter::{self, Adapter},
    backlog::Backlog,
    directory::{Directory, Listing, Phase},
    evacuation::Evacuation,
    mirror::Mirror,
    pause::Pause,
};

use crate::message::Status;

/// Latest status report of a host's side process.
#[derive(Clone, Debug)]
pub struct StatusReport {
    pub received_at: Moment,
    pub status: Arc<Status>,
    /// Whether a later report belongs to another revision of the status, which was lost.
    pub is_outdated: bool,
}

/// Servers that take new requests, by service.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    services: HashMap<Name, Service>,
    emptied_zones: BTreeSet<Name>,
    /// Addresses of the side processes of model engines.
    side_hosts: Vec<SocketAddr>,
}

/// Servers of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    listings: Arc<Vec<Listing>>,
    /// Input of rendezvous hashing: one node for each listing, in the same order.
    nodes: Vec<rendezvous::Server>,
    zones: HashMap<Name, Zone>,
}

/// Servers of one service in one availability zone.
#[derive(Clone, Debug, Default)]
struct Zone {
    nodes: Vec<rendezvous::Server>,
    /// Positions of the nodes among the service's servers.
    positions: Vec<usize>,
}

impl Roster {
    /// Returns the roster of the ready servers outside of the emptied zones.
    pub fn new(directory: &Directory, evacuation: &Evacuation) -> Roster {
        let mut services: HashMap<Name, Vec<Listing>> = HashMap::new();
        let ready = directory.iter().filter(|listing| listing.phase == Phase::Ready);
        for listing in ready.filter(|listing| !evacuation.is_emptied(&listing.zone)) {
            services.entry(listing.service.clone()).or_default().push(listing.clone());
        }
        let services = services.into_iter();
        Roster {
            services: services.map(|(name, listings)| (name, build_service(listings))).collect(),
            emptied_zones: evacuation.emptied(),
            side_hosts: Vec::new(),
        }
    }

    /// Adds the side processes of the model engines. `mesh_port` is the port of all processes for
    /// datagrams.
    pub fn with_side_hosts(self, mirror: &Mirror, mesh_port: u16) -> Roster {
        Roster { side_hosts: side_hosts(mirror, mesh_port), ..self }
    }

    /// Returns the addresses of the side processes of all model engines that do not leave, or of all
    /// if each of them leaves.
    pub fn side_hosts(&self) -> impl Iterator<Item = SocketAddr> {
        self.side_hosts.iter().copied()
    }

    /// Returns whether a zone that was emptied in an earlier roster takes requests again. Its servers
    /// may have to warm up, and state this late.
    pub fn takes_back(&self, earlier: &Roster, zone: &Name) -> bool {
        earlier.emptied_zones.contains(zone) && !self.emptied_zones.contains(zone)
    }

    /// Returns the availability zones whose servers get no new requests.
    pub fn emptied_zones(&self) -> &BTreeSet<Name> {
        &self.emptied_zones
    }

    /// Returns the servers of a service, ordered by id.
    pub fn servers(&self, service: &str) -> Arc<Vec<Listing>> {
        self.services.get(service).map(|service| Arc::clone(&service.listings)).unwrap_or_default()
    }

    /// Returns the position of the server that all instances prefer for an adapter, among those
    /// for which `takes_loads` is true.
    pub fn preferred_server(
        &self,
        service: &str,
        adapter: &Adapter,
        takes_loads: impl Fn(&Listing) -> bool,
    ) -> Option<usize> {
        let service = self.services.get(service)?;
        preferred(adapter, &service.nodes, |index| takes_loads(&service.listings[index]))
    }

    /// Returns the position of the server that one availability zone prefers for an adapter, among
    /// those for which `takes_loads` is true.
    pub fn preferred_in_zone(
        &self,
        service: &str,
        adapter: &Adapter,
        zone: &str,
        takes_loads: impl Fn(&Listing) -> bool,
    ) -> Option<usize> {
        let service = self.services.get(service)?;
        let zone = service.zones.get(zone)?;
        let is_eligible = |index: usize| takes_loads(&service.listings[zone.positions[index]]);
        preferred(adapter, &zone.nodes, is_eligible).map(|index| zone.positions[index])
    }
}

fn side_hosts(mirror: &Mirror, mesh_port: u16) -> Vec<SocketAddr> {
    let Some(manifest) = &mirror.manifest else { return Vec::new() };
    let has_engine = |listing: &&Listing| {
        manifest.services.get(&listing.service).is_some_and(|service| service.engine.is_some())
    };
    let engines: Vec<&Listing> = mirror.directory.iter().filter(has_engine).collect();
    let staying = engines.iter().filter(|listing| listing.phase == Phase::Ready).copied();
    let mut hosts: Vec<&Listing> = staying.collect();
    if hosts.is_empty() {
        hosts = engines;
    }
    let addresses = hosts.iter().map(|it| SocketAddr::new(it.address.ip(), mesh_port));
    let mut addresses: Vec<SocketAddr> = addresses.collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

fn build_service(mut listings: Vec<Listing>) -> Service {
    listings.sort_by(|a, b| a.id.cmp(&b.id));
    let mut service = Service::default();
    for (position, listing) in listings.iter().enumerate() {
        let node = rendezvous::Server::new(listing.id.clone(), listing.zone.clone(), 1);
        let zone = service.zones.entry(listing.zone.clone()).or_default();
        zone.nodes.push(node.clone());
        zone.positions.push(position);
        service.nodes.push(node);
    }
    service.listings = Arc::new(listings);
    service
}

fn preferred(
    adapter: &Adapter,
    nodes: &[rendezvous::Server],
    is_eligible: impl Fn(usize) -> bool,
) -> Option<usize> {
    // By the name alone, as in earlier builds: during a release all instances prefer the same servers.
    let hash = rendezvous::hash(&adapter.name);
    let first = rendezvous::preferred(hash, nodes, 1).first().copied()?;
    if is_eligible(first) {
        return Some(first);
    }
    rendezvous::preferred(hash, nodes, nodes.len()).into_iter().find(|index| is_eligible(*index))
}

/// Forgets the servers that are not listed any more, unless requests still wait or run there.
pub fn forget_unlisted(servers: &shard::Map<Name, Server>, is_listed: impl Fn(&Name) -> bool) {
    servers.for_each_shard(|servers| {
        servers.retain(|id, server| is_listed(id) || server.is_in_use());
    });
}

/// State of a server at this instance, in addition to its listing.
#[derive(Debug, Default)]
pub struct Server {
    pub backlog: Backlog,
    /// Number of requests that wait for an adapter, by the oldest version that may run.
    pub load_requests: HashMap<adapter::Version, u32>,
    /// Number of this instance's requests in flight, by adapter.
    pub in_flight: HashMap<Adapter, u32>,
    /// Adapters used since the last demand report, once for each use.
    pub used: Vec<Adapter>,
    /// What the latest demand report told.
    pub told: Told,
    pub consecutive_failures: u32,
    /// Time until which the server is avoided because it failed.
    pub suspect_until: Moment,
    pub pause: Pause,
}

/// Work that a demand report told.
#[derive(Debug, Default)]
pub struct Told {
    /// Time of the report; `None` before the first one.
    pub at: Option<Moment>,
    /// Prompt tokens outstanding and requests in flight.
    pub work: (u64, u32),
    /// Requests in flight, by adapter.
    pub in_flight: HashMap<Adapter, u32>,
    /// Whether requests were waiting for an adapter.
    pub has_load_requests: bool,
}

impl Server {
    /// Returns whether the latest demand report tells the present work, and no load request that was
    /// withdrawn since.
    pub fn is_told(&self) -> bool {
        let is_withdrawn = self.told.has_load_requests && self.load_requests.is_empty();
        let is_same = self.told.work == self.backlog.local_work()
            && self.told.in_flight == self.in_flight
            && self.used.is_empty();
        is_same && !is_withdrawn
    }

    fn is_in_use(&self) -> bool {
        self.backlog.local_work() != (0, 0) || !self.load_requests.is_empty()
    }
}

impl StatusReport {
    /// Returns whether the report is about the listed server and not about another process on the
    /// same host.
    pub fn is_about(&self, listing: &Listing) -> bool {
        self.status.born_ms == listing.born_ms || self.status.server.as_ref() == Some(&listing.id)
    }
}
