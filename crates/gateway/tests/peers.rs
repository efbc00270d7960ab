//! Guards against messages from each instance to each, against zones that hear nothing because the
//! instances that pass messages on have stopped, and against small fleets that pay for a middle hop.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use gateway::mesh::{Peer, Peers, Recipients};
use serving::{Moment, Name};

const NOW: Moment = Duration::from_secs(100);
const SENDER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 99)), 9000);

fn address(zone: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, zone as u8, index as u8], 9000))
}

fn zone(number: usize) -> Name {
    Name::from(format!("zone-{number}"))
}

/// Returns the peers of `zones` zones with `count` instances each, last heard at `seen`.
fn fleet(zones: usize, count: usize, seen: impl Fn(usize, usize) -> Moment) -> Peers {
    let mut peers = Peers::new([]);
    for number in 0..zones {
        for index in 0..count {
            let last_seen = Some(seen(number, index));
            let peer = Peer { last_seen, zone: Some(zone(number)), ..Peer::default() };
            peers.update(address(number, index), peer);
        }
    }
    peers
}

fn zone_of(address: &SocketAddr) -> u8 {
    let SocketAddr::V4(address) = address else { panic!("the addresses are of IPv4") };
    address.ip().octets()[2]
}

#[test]
fn reaches_other_zones_through_two_instances_each() {
    let peers = fleet(6, 11, |_, _| NOW);

    let Recipients { direct, relays } = peers.recipients((&SENDER, &zone(0)), NOW, 1);

    assert_eq!(direct.len(), 11);
    assert!(direct.iter().all(|address| zone_of(address) == 0));
    let counts = [1, 2, 3, 4, 5].map(|zone| relays.iter().filter(|it| zone_of(it) == zone).count());
    assert_eq!(counts, [2; 5]);
}

#[test]
fn chooses_other_instances_for_silent_ones() {
    let peers = fleet(2, 11, |_, _| NOW);
    let chosen = peers.recipients((&SENDER, &zone(0)), NOW, 1).relays;
    let later = NOW + Duration::from_millis(1100);
    let is_silent = |zone, index| chosen.contains(&address(zone, index));
    let peers = fleet(2, 11, |zone, index| if is_silent(zone, index) { NOW } else { later });

    let now_chosen = peers.recipients((&SENDER, &zone(0)), later, 1).relays;

    assert_eq!(now_chosen.len(), 2);
    assert!(now_chosen.iter().all(|address| !chosen.contains(address)));
}

#[test]
fn sends_directly_to_a_zone_in_which_nobody_is_heard() {
    let later = NOW + Duration::from_secs(2);
    let peers = fleet(2, 11, |zone, _| if zone == 1 { NOW } else { later });

    let Recipients { direct, relays } = peers.recipients((&SENDER, &zone(0)), later, 1);

    assert_eq!((direct.len(), relays.len()), (22, 0));
}

#[test]
fn sends_directly_within_a_small_fleet() {
    let peers = fleet(4, 2, |_, _| NOW);

    let Recipients { direct, relays } = peers.recipients((&SENDER, &zone(0)), NOW, 1);

    assert_eq!((direct.len(), relays.len()), (8, 0));
}

#[test]
fn sends_directly_to_peers_of_unknown_zone() {
    let mut peers = fleet(2, 11, |_, _| NOW);
    peers.add(address(7, 7));

    let direct = peers.recipients((&SENDER, &zone(0)), Duration::from_secs(1), 1).direct;

    assert!(direct.contains(&address(7, 7)));
}

// Guards against a few instances that pass on what all others send.
#[test]
fn all_instances_of_a_zone_pass_on_about_as_much() {
    let peers = fleet(6, 45, |_, _| NOW);
    let mut counts: HashMap<SocketAddr, usize> = HashMap::new();

    for sender in 0..225 {
        let sender = address(0, sender);
        for relay in peers.recipients((&sender, &zone(0)), NOW, 1).relays {
            *counts.entry(relay).or_default() += 1;
        }
    }

    // 225 senders with two relays among 45: ten each in the mean.
    assert_eq!(counts.len(), 5 * 45);
    assert!(counts.values().all(|count| *count <= 25), "{:?}", counts.values().max());
}

// Guards against gossip that crosses the border of a zone once for each instance that passes it on.
#[test]
fn repeats_gossip_through_one_instance_of_each_zone_by_turns() {
    let peers = fleet(6, 11, |_, _| NOW);
    let all = peers.recipients((&SENDER, &zone(0)), NOW, 1).relays;

    let turns = [1, 2, 3].map(|round| peers.recipients_by_turns((&SENDER, &zone(0)), NOW, round));

    for turn in &turns {
        assert_eq!((turn.direct.len(), turn.relays.len()), (11, 5));
    }
    assert_eq!(turns[0], turns[2]);
    let mut both = [&turns[0].relays[..], &turns[1].relays[..]].concat();
    both.sort_by_key(|address| all.iter().position(|it| it == address));
    assert_eq!(both, all);
}

// Guards against small machines that pass on as much as large ones.
#[test]
fn passes_on_by_processor_share() {
    let mut peers = fleet(2, 10, |_, _| NOW);
    for index in 0..10 {
        peers.record_capacity(&address(1, index), if index < 2 { 500 } else { 63 });
    }

    let chosen = (0..200u8).flat_map(|sender| {
        let sender = SocketAddr::from(([10, 1, 0, sender], 9000));
        peers.recipients_by_turns((&sender, &zone(0)), NOW, 0).relays
    });

    let is_large = |relay: &SocketAddr| [address(1, 0), address(1, 1)].contains(relay);
    let large = chosen.filter(is_large).count();
    // Two thirds of the processor share of the zone.
    assert!((110..=160).contains(&large), "{large}");
}

#[test]
fn keeps_the_processor_share_of_a_peer_that_gossips() {
    let mut peers = fleet(2, 10, |_, _| NOW);
    peers.record_capacity(&address(1, 0), 500);

    peers.update(address(1, 0), Peer { zone: Some(zone(1)), ..Peer::default() });

    assert_eq!(peers.get(&address(1, 0)).map(|peer| peer.capacity), Some(500));
}
