//! Updates of the mirror from the store and from peers.
//!
//! Guards against going back to an older state when updates arrive out of order.

mod support;

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt as _, seq::SliceRandom as _};

use serving::{
    adapter::{self, Adapter},
    cursor::Position,
    directory::{Listing, Phase},
    evacuation::Evacuation,
    manifest::Manifest,
    mirror::{Change, Mirror, Outcome, PeerCopy, Positions},
};

const NOW: Duration = Duration::from_secs(1);

fn manifest(revision: u64) -> Arc<Manifest> {
    Arc::new(Manifest { revision, ..Manifest::default() })
}

fn ready(id: &str) -> Listing {
    support::listing(id, 1, Phase::Ready)
}

fn positions(offset: u64) -> Positions {
    let position = Position { era: 1, offset };
    Positions { operator: position, servers: position }
}

fn version(version: u64) -> Change {
    Change::Version(adapter::Version { adapter: Adapter::new("m", "a1"), number: version })
}

#[test]
fn keeps_the_newest_revision_in_any_order_of_arrival() {
    seeds::run(200, |random| {
        let mut mirror = Mirror::default();
        let mut revisions: Vec<u64> = (1..20).collect();
        revisions.shuffle(random);
        let mut newest = 0;
        for revision in revisions {
            if random.random_bool(0.5) {
                mirror.apply(NOW, Change::Manifest(manifest(revision)));
            } else {
                let copy = PeerCopy {
                    lapsed: Vec::new(),
                    software: BTreeSet::new(),
                    manifest: Some(manifest(revision)),
                    ..Mirror::default().to_peer_copy(NOW)
                };
                mirror.merge(NOW, copy);
            }
            let now = mirror.manifest.as_ref().unwrap().revision;
            assert!(newest <= now, "went back from {newest} to {now}");
            newest = now;
        }
        assert_eq!(newest, 19);
    });
}

#[test]
fn ignores_an_older_version_of_an_adapter() {
    let mut mirror = Mirror::default();

    let first = mirror.apply(NOW, version(3));
    let second = mirror.apply(NOW, version(2));

    assert_eq!((first, second), (Outcome::NewVersion, Outcome::Unchanged));
    assert_eq!(mirror.min_version(&Adapter::new("m", "a1")), 3);
}

#[test]
fn merges_the_servers_of_a_peer_only_if_they_are_newer() {
    let mut mirror = Mirror::default();
    mirror.apply(NOW, Change::Server(ready("s1")));
    mirror.positions = positions(5);
    let older = PeerCopy {
        lapsed: Vec::new(),
        software: BTreeSet::new(),
        generation: 0,
        positions: positions(4),
        manifest: None,
        versions: Vec::new(),
        evacuation: Evacuation::default(),
        servers: vec![ready("s0")],
    };
    let newer = PeerCopy { positions: positions(6), ..older.clone() };

    let is_older_merged = mirror.merge(NOW, older);
    let before: HashSet<_> = mirror.directory.iter().map(|server| server.id.clone()).collect();
    let is_newer_merged = mirror.merge(NOW, newer);

    assert!(!is_older_merged && is_newer_merged);
    assert_eq!(before, HashSet::from([Arc::from("s1")]));
    assert!(mirror.directory.get("s0").is_some() && mirror.directory.get("s1").is_none());
    assert_eq!(mirror.positions, positions(6));
}

// Guards against a follower that misses a server whose listing lapsed and is back: its reader has
// kept it, so no record tells a change.
#[test]
fn merges_the_servers_of_a_peer_that_read_as_far() {
    let mut mirror = Mirror::default();
    mirror.apply(NOW, Change::Server(ready("s1")));
    mirror.positions = positions(5);
    let copy = PeerCopy {
        lapsed: Vec::new(),
        software: BTreeSet::new(),
        generation: 0,
        positions: positions(5),
        manifest: None,
        versions: Vec::new(),
        evacuation: Evacuation::default(),
        servers: vec![ready("s1"), ready("s2")],
    };

    mirror.merge(NOW, copy);

    assert!(mirror.directory.get("s2").is_some());
}

#[test]
fn removes_a_server_whose_record_is_invalid() {
    let mut mirror = Mirror::default();
    mirror.apply(NOW, Change::Server(ready("s1")));
    mirror.apply(NOW, Change::Server(ready("s2")));

    let change = Change::Invalid { server: Some(Arc::from("s1")), reason: "no address".to_owned() };
    mirror.apply(NOW, change);

    assert!(mirror.directory.get("s1").is_none());
    assert!(mirror.directory.get("s2").is_some());
}

// Guards against a server that is used again, since the store's copy is older than its removal.
#[test]
fn restored_store_does_not_bring_back_a_removed_server() {
    let mut mirror = Mirror::default();
    mirror.apply(NOW, Change::Server(ready("s1")));
    mirror.apply(NOW, Change::ServerRemoved(Arc::from("s1")));

    mirror.apply_restored(NOW, Change::Server(ready("s1")));
    let after_restore = mirror.directory.get("s1").is_some();
    mirror.apply_restored(NOW, Change::Server(support::listing("s1", 2, Phase::Ready)));
    let after_restart = mirror.directory.get("s1").is_some();
    mirror.apply(NOW, Change::ServerRemoved(Arc::from("s1")));
    mirror.apply(NOW, Change::Server(support::listing("s1", 2, Phase::Ready)));

    assert_eq!((after_restore, after_restart), (false, true));
    assert!(mirror.directory.get("s1").is_some(), "it registered again");
}

#[test]
fn generation_ignores_positions_and_repeated_records() {
    let mut mirror = Mirror::default();
    mirror.apply(NOW, Change::Manifest(manifest(7)));
    mirror.apply(NOW, version(3));
    mirror.apply(NOW, Change::Server(ready("s1")));
    let first = mirror.generation();

    mirror.apply(NOW, Change::Manifest(manifest(7)));
    mirror.apply(NOW, version(3));
    mirror.apply(NOW, Change::Server(ready("s1")));
    mirror.apply(NOW, Change::ServerRemoved(Arc::from("s2")));
    mirror.positions.servers.offset += 1;
    let repeated = mirror.generation();
    mirror.apply(NOW, Change::ServerRemoved(Arc::from("s1")));

    assert_eq!((first, repeated), (3, 3));
    assert_eq!(mirror.generation(), 4);
}

// Guards against a server that was removed, and comes back from the copy of a peer that keeps it for a while.
#[test]
fn takes_no_lapsed_server_from_a_copy_without_them() {
    let mut peer = Mirror::default();
    peer.apply(NOW, Change::Server(ready("s1")));
    peer.apply(NOW, Change::Server(ready("s2")));
    peer.directory.record_store_recovery(NOW);
    peer.apply(NOW, Change::ServerRemoved("s1".into()));
    let mut copy = peer.to_peer_copy(NOW);
    let mut mirror = Mirror::default();

    copy.drop_lapsed();
    mirror.merge(NOW, copy);

    let listed: Vec<_> = mirror.directory.iter().map(|listing| listing.id.clone()).collect();
    assert_eq!(listed, ["s2".into()]);
    assert_eq!(mirror.directory.lapsed(NOW), []);
}
