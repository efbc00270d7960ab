//! Table of the servers that can be chosen, rebuilt when the instance list or the
//! configuration changes. It leaves out drained servers and those without a live side
//! process.

use std::{collections::BTreeMap, sync::Arc};

use smallvec::SmallVec;

use fleet::{
    Name,
    member::{Listing, Member, Role},
    state::State,
};
use placement::rendezvous::Server;

use crate::Entry;

/// Servers of one instance list under one configuration.
#[derive(Debug, Default)]
pub(super) struct Table {
    listing: Arc<Listing>,
    state: Option<Arc<State>>,
    /// Servers that are model engines.
    pub(super) engines: Vec<Server>,
    /// Servers that are plain services, by route.
    pub(super) services: BTreeMap<Name, Vec<Server>>,
    /// Side processes by server; there may be two while one replaces the other.
    members: BTreeMap<Name, SmallVec<[Member; 1]>>,
}

/// Returns the side process of a server: the holder of its lease, or the first in the
/// instance list if the holder is not listed.
pub(super) fn member(entry: &Entry, table: &Table, server: &Name) -> Option<Member> {
    let members = table.members.get(server)?;
    let lease = format!("server/{server}");
    let holder = entry.node.with_participant(|participant| {
        participant.table().lease(&lease).map(|lease| lease.holder.clone())
    });
    let is_holder = |member: &&Member| {
        holder.as_ref().is_some_and(|holder| {
            holder.instance == member.instance && holder.incarnation == member.incarnation
        })
    };
    members.iter().find(is_holder).or(members.first()).cloned()
}

/// Returns the table for the current instance list and configuration.
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
