//! The configuration never goes back, whatever comes from the store or a peer.

mod support;

use std::{collections::HashSet, sync::Arc, time::Duration};

use rand::{RngExt as _, seq::SliceRandom as _};

use serving::{
    directory::{Listing, Phase},
    knowledge::{Change, Copy, Knowledge, Outcome, Positions},
    manifest::Manifest,
};

const NOW: Duration = Duration::from_secs(1);

fn manifest(revision: u64) -> Arc<Manifest> {
    Arc::new(Manifest { revision, ..Manifest::default() })
}

fn ready(id: &str) -> Listing {
    support::listing(id, 1, Phase::Ready)
}

fn version(version: u64) -> Change {
    Change::Version { model: Arc::from("m"), adapter: Arc::from("a1"), version }
}

#[test]
fn revisions_only_rise_in_any_order_of_arrival() {
    seeds::run(200, |random| {
        let mut knowledge = Knowledge::default();
        let mut revisions: Vec<u64> = (1..20).collect();
        revisions.shuffle(random);
        let mut newest = 0;
        for revision in revisions {
            if random.random_bool(0.5) {
                knowledge.apply(NOW, Change::Manifest(manifest(revision)));
            } else {
                let copy =
                    Copy { manifest: Some(manifest(revision)), ..Knowledge::default().copy() };
                knowledge.adopt(NOW, copy);
            }
            let now = knowledge.manifest.as_ref().unwrap().revision;
            assert!(newest <= now, "went back from {newest} to {now}");
            newest = now;
        }
        assert_eq!(newest, 19);
    });
}

#[test]
fn an_older_version_of_an_adapter_is_ignored() {
    let mut knowledge = Knowledge::default();

    let first = knowledge.apply(NOW, version(3));
    let second = knowledge.apply(NOW, version(2));

    assert_eq!((first, second), (Outcome::NewVersion, Outcome::Nothing));
    assert_eq!(knowledge.version(&Arc::from("m"), &Arc::from("a1")), 3);
}

#[test]
fn a_peers_list_counts_only_when_it_is_newer() {
    let mut knowledge = Knowledge::default();
    knowledge.apply(NOW, Change::Server(ready("s1")));
    knowledge.positions = Positions { operator: 5, servers: 5 };
    let older = Copy {
        positions: Positions { operator: 4, servers: 4 },
        manifest: None,
        versions: Vec::new(),
        servers: vec![ready("s0")],
    };
    let newer = Copy { positions: Positions { operator: 6, servers: 6 }, ..older.clone() };

    let took_older = knowledge.adopt(NOW, older);
    let before: HashSet<_> = knowledge.directory.iter().map(|server| server.id.clone()).collect();
    let took_newer = knowledge.adopt(NOW, newer);

    assert!(!took_older && took_newer);
    assert_eq!(before, HashSet::from([Arc::from("s1")]));
    assert!(knowledge.directory.get("s0").is_some() && knowledge.directory.get("s1").is_none());
    assert_eq!(knowledge.positions.servers, 6);
}

#[test]
fn an_unreadable_record_names_no_server() {
    let mut knowledge = Knowledge::default();
    knowledge.apply(NOW, Change::Server(ready("s1")));
    knowledge.apply(NOW, Change::Server(ready("s2")));

    let change = Change::Unreadable { key: Arc::from("s1"), reason: "no address".to_owned() };
    knowledge.apply(NOW, change);

    assert!(knowledge.directory.get("s1").is_none());
    assert!(knowledge.directory.get("s2").is_some());
}

#[test]
fn only_what_requests_are_served_by_counts_as_a_change() {
    let mut knowledge = Knowledge::default();
    knowledge.apply(NOW, Change::Manifest(manifest(7)));
    knowledge.apply(NOW, version(3));
    knowledge.apply(NOW, Change::Server(ready("s1")));
    let known = knowledge.changes();

    knowledge.apply(NOW, Change::Manifest(manifest(7)));
    knowledge.apply(NOW, version(3));
    knowledge.apply(NOW, Change::Server(ready("s1")));
    knowledge.apply(NOW, Change::ServerGone(Arc::from("s2")));
    knowledge.positions.servers += 1;
    let repeated = knowledge.changes();
    knowledge.apply(NOW, Change::ServerGone(Arc::from("s1")));

    assert_eq!((known, repeated), (3, 3));
    assert_eq!(knowledge.changes(), 4);
}
