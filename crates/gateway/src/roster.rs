//! The servers of a service as requests see them: a copy that is made anew when
//! the directory changes, with what placement needs worked out once.

use std::{collections::HashMap, sync::Arc};

use placement::rendezvous;
use serving::{
    Moment, Name,
    backlog::Backlog,
    directory::{Directory, Listing, Phase},
};

use crate::message::Status;

/// What the side process on a host last said about its engine.
#[derive(Clone, Debug)]
pub struct Sighting {
    pub at: Moment,
    pub status: Arc<Status>,
}

/// Servers that take new work, by service.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    services: HashMap<Name, Arc<Vec<Listing>>>,
    hashes: HashMap<Name, Arc<Vec<rendezvous::Server>>>,
}

impl Roster {
    pub fn new(directory: &Directory) -> Roster {
        let mut services: HashMap<Name, Vec<Listing>> = HashMap::new();
        for listing in directory.iter().filter(|listing| listing.phase == Phase::Ready) {
            services.entry(listing.service.clone()).or_default().push(listing.clone());
        }
        let mut roster = Roster::default();
        for (service, mut servers) in services {
            servers.sort_by(|a, b| a.id.cmp(&b.id));
            let hashes = servers.iter().map(|listing| {
                rendezvous::Server::new(listing.id.clone(), listing.zone.clone(), 1)
            });
            roster.hashes.insert(service.clone(), Arc::new(hashes.collect()));
            roster.services.insert(service, Arc::new(servers));
        }
        roster
    }

    /// Servers of a service, in a fixed order.
    pub fn servers(&self, service: &str) -> Arc<Vec<Listing>> {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Position of the server at which an adapter is at home for all.
    pub fn home(&self, service: &str, adapter: &str) -> Option<usize> {
        let hashes = self.hashes.get(service)?;
        rendezvous::first(rendezvous::seed(adapter), hashes, 1).first().copied()
    }

    /// Position of the server in one availability zone at which it is at home for that zone.
    pub fn zone_home(&self, service: &str, adapter: &str, zone: &str) -> Option<usize> {
        let hashes = self.hashes.get(service)?;
        let is_inside = |server: &&rendezvous::Server| &*server.zone == zone;
        let inside: Vec<rendezvous::Server> = hashes.iter().filter(is_inside).cloned().collect();
        let order = rendezvous::first(rendezvous::seed(adapter), &inside, 1);
        let chosen = &inside[*order.first()?];
        hashes.iter().position(|server| server.name == chosen.name)
    }
}

/// What an entry instance knows of one server beside its listing.
#[derive(Debug, Default)]
pub struct Server {
    pub backlog: Backlog,
    /// Requests that wait for an adapter, by base model, adapter and version.
    pub wants: HashMap<(Name, Name, u64), u32>,
    /// Own requests in flight by adapter.
    pub in_flight: HashMap<Name, u32>,
    /// Adapters used since the last guide.
    pub used: Vec<Name>,
    pub failures: u32,
    pub suspect_until: Moment,
}

impl Sighting {
    /// Whether it is about the server that the list shows.
    pub fn is_of(&self, listing: &Listing) -> bool {
        self.status.born_ms == listing.born_ms || self.status.server.as_ref() == Some(&listing.id)
    }
}
