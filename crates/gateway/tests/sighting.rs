//! What a side process says belongs to one process of one engine.
//!
//! Answers the pattern "all machines lose power, and the list still shows the
//! engines of before".

use std::{sync::Arc, time::Duration};

use gateway::{
    message::Status,
    relay::Events,
    roster::{Roster, Sighting},
};
use serving::directory::{Directory, Listing, Phase};

fn listing(id: &str, born_ms: u64, phase: Phase) -> Listing {
    Listing {
        id: Arc::from(id),
        service: Arc::from("models"),
        address: "10.0.0.1:9000".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 4,
        phase,
        born_ms,
        models: Vec::new(),
    }
}

fn sighting(server: Option<&str>, born_ms: u64) -> Sighting {
    let status = Status { server: server.map(Arc::from), born_ms, ..Status::default() };
    Sighting { at: Duration::ZERO, status: Arc::new(status) }
}

#[test]
fn a_sighting_is_not_of_the_process_that_was_there_before() {
    let gone = listing("i-old", 100, Phase::Ready);
    let live = listing("i-new", 200, Phase::Ready);

    let sighting = sighting(None, 200);

    assert!(!sighting.is_of(&gone));
    assert!(sighting.is_of(&live));
}

#[test]
fn a_process_that_started_again_under_its_name_is_known_before_the_list_says_so() {
    let listed = listing("i-1", 100, Phase::Ready);

    assert!(sighting(Some("i-1"), 200).is_of(&listed));
    assert!(!sighting(Some("i-2"), 200).is_of(&listed));
}

#[test]
fn requests_see_only_servers_that_take_new_work() {
    let mut directory = Directory::default();
    directory.upsert(listing("i-1", 1, Phase::Ready));
    directory.upsert(listing("i-2", 1, Phase::Leaving));

    let roster = Roster::new(&directory);

    assert_eq!(roster.servers("models").len(), 1);
    assert!(roster.servers("other").is_empty());
    assert_eq!(roster.home("models", "a1"), Some(0));
}

#[test]
fn an_adapter_has_a_home_in_each_availability_zone() {
    let mut directory = Directory::default();
    for (id, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "a"), ("i-4", "b")] {
        directory.upsert(Listing { zone: Arc::from(zone), ..listing(id, 1, Phase::Ready) });
    }

    let roster = Roster::new(&directory);

    let servers = roster.servers("models");
    for zone in ["a", "b"] {
        let home = roster.zone_home("models", "a1", zone).unwrap();
        assert_eq!(&*servers[home].zone, zone);
    }
    assert_eq!(roster.zone_home("models", "a1", "c"), None);
}

#[test]
fn events_are_passed_on_whole_with_their_last_identifier() {
    let mut events = Events::default();

    let first = events.take(b"id: 1\ndata: x\n\nid: 2\nda");
    let second = events.take(b"ta: y\r\n\r\nid: 3\n");
    let rest = events.take(b"data: z\n\n");

    assert_eq!(&first[..], b"id: 1\ndata: x\n\n");
    assert_eq!(&second[..], b"id: 2\ndata: y\r\n\r\n");
    assert_eq!(&rest[..], b"id: 3\ndata: z\n\n");
    assert_eq!(events.last_id().map(|id| &id[..]), Some(&b"3"[..]));
}
