//! The servers that can be chosen, rebuilt when the listing or the configuration
//! changes.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use fleet::{
    Name,
    member::{Listing, Member, Role},
    state::State,
};
use placement::rendezvous::Server;

use crate::Entry;

/// The servers of one listing under one configuration.
#[derive(Debug, Default)]
pub(super) struct Table {
    listing: Arc<Listing>,
    state: Option<Arc<State>>,
    pub(super) engines: Vec<Server>,
    pub(super) services: BTreeMap<Name, Vec<Server>>,
    /// A server may have two side processes while one replaces the other.
    members: BTreeMap<Name, SmallVec<[Member; 1]>>,
}

/// The side process of a server: the one that holds its lease, if it is listed.
pub(super) fn member(entry: &Entry, table: &Table, server: &Name) -> Option<Member> {
    let members = table.members.get(server)?;
    let lease = format!("server/{server}");
    let holder = entry.node.with_seat(|participant| {
        participant.table().lease(&lease).map(|lease| lease.holder.clone())
    });
    let is_holder = |member: &&Member| {
        holder.as_ref().is_some_and(|holder| {
            holder.instance == member.instance && holder.incarnation == member.incarnation
        })
    };
    members.iter().find(is_holder).or(members.first()).cloned()
}

pub(super) fn current(entry: &Entry) -> Arc<Table> {
    let listing = entry.node.listing();
    let state = entry.node.state();
    let known = Arc::clone(&entry.routing.table.read());
    let is_same_state = match (&known.state, &state) {
        (Some(known), Some(state)) => Arc::ptr_eq(known, state),
        (known, state) => known.is_none() && state.is_none(),
    };
    if Arc::ptr_eq(&known.listing, &listing) && is_same_state {
        return known;
    }
    let built = Arc::new(build(listing, state));
    *entry.routing.table.write() = Arc::clone(&built);
    built
}

fn build(listing: Arc<Listing>, state: Option<Arc<State>>) -> Table {
    let mut table = Table::default();
    let is_drained =
        |server: &Name| state.as_ref().is_some_and(|state| state.drained_servers.contains(server));
    for member in listing.live(Role::Side) {
        let Some(name) = member.server.clone().filter(|server| !is_drained(server)) else {
            continue;
        };
        let server = Server::new(Arc::clone(&name), Arc::clone(&member.zone), member.weight);
        let members = table.members.entry(name).or_default();
        members.push(member.clone());
        if 1 < members.len() {
            continue;
        }
        if member.routes.is_empty() {
            table.engines.push(server);
            continue;
        }
        for route in &member.routes {
            table.services.entry(Arc::clone(route)).or_default().push(server.clone());
        }
    }
    Table { listing, state, ..table }
}
