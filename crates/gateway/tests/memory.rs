//! Servers and peers that are gone.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use gateway::{
    mesh::{Peer, Peers},
    roster::{self, Server},
};
use kernel::shard;
use serving::Name;

/// Servers that come and go in a test, each under a name of its own.
const SERVERS: usize = 1000;

// Guards against an entry for each server that there ever was.
#[test]
fn forgets_servers_that_are_not_listed_and_not_in_use() {
    let servers: shard::Map<Name, Server> = shard::Map::default();
    let name = |number: usize| Name::from(format!("i-{number}"));
    for number in 0..SERVERS {
        servers.with(&name(number), |map| drop(map.insert(name(number), Server::default())));
    }
    let busy = name(7);
    servers.with(&busy, |map| map.get_mut(&busy).unwrap().backlog.record_send(10));

    roster::forget_unlisted(&servers, |id| **id == *"i-3");

    let mut left: Vec<Name> = Vec::new();
    servers.for_each_shard(|map| left.extend(map.keys().cloned()));
    left.sort();
    assert_eq!(left, [Arc::from("i-3"), busy]);
}

// Guards against frequent gossip to every address that a peer ever had, and against two sides of a
// long partition that never find each other again.
#[test]
fn sends_little_to_peers_that_have_stopped() {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let mut peers = Peers::new([]);
    let seen = |seconds| Peer { last_seen: Some(Duration::from_secs(seconds)), ..Peer::default() };
    peers.update(address(1), seen(1));
    peers.update(address(2), seen(690));
    peers.update(address(3), seen(699));

    let now = Duration::from_secs(700);
    let zone = Name::from("a");
    let due: Vec<SocketAddr> = (1..=400)
        .flat_map(|round| peers.recipients((&address(9), &zone), now, round).direct)
        .collect();

    let counts = [1, 2, 3].map(|port| due.iter().filter(|it| **it == address(port)).count());
    assert_eq!(counts, [1, 40, 400]);
}
