//! Assignment of status reports to listed servers, the roster, and the splitting
//! of streams into events.
//!
//! Guards against requests to engines that no longer exist: after a power outage
//! of all machines, the store still lists the engines that ran before it.

use std::{sync::Arc, time::Duration};

use gateway::{
    message::{Residents, Status},
    relay::EventBuffer,
    roster::{Roster, StatusReport},
};
use serving::{
    adapter::{self, Adapter},
    directory::{Directory, Listing, Phase},
    evacuation::Evacuation,
    residency::SlotUsage,
};

fn listing(id: &str, born_ms: u64, phase: Phase) -> Listing {
    Listing {
        id: Arc::from(id),
        service: Arc::from("models"),
        address: "10.0.0.1:9000".parse().unwrap(),
        zone: Arc::from("a"),
        version: Arc::from("v1"),
        slots: 4,
        phase,
        born_ms,
        models: Vec::new(),
        warmup_left: None,
    }
}

fn status_report(server: Option<&str>, born_ms: u64) -> StatusReport {
    let status = Status { server: server.map(Arc::from), born_ms, ..Status::default() };
    StatusReport { received_at: Duration::ZERO, status: Arc::new(status), is_outdated: false }
}

#[test]
fn attributes_status_report_to_running_process_only() {
    let stopped = listing("i-old", 100, Phase::Ready);
    let running = listing("i-new", 200, Phase::Ready);

    let report = status_report(None, 200);

    assert!(!report.is_about(&stopped));
    assert!(report.is_about(&running));
}

#[test]
fn accepts_report_of_restarted_server_before_its_listing_is_updated() {
    let listed = listing("i-1", 100, Phase::Ready);

    assert!(status_report(Some("i-1"), 200).is_about(&listed));
    assert!(!status_report(Some("i-2"), 200).is_about(&listed));
}

#[test]
fn offers_only_ready_servers_to_requests() {
    let mut directory = Directory::default();
    directory.upsert(listing("i-1", 1, Phase::Ready));
    directory.upsert(listing("i-2", 1, Phase::Leaving));

    let roster = Roster::new(&directory, &Evacuation::default());

    assert_eq!(roster.servers("models").len(), 1);
    assert!(roster.servers("other").is_empty());
    assert_eq!(roster.preferred_server("models", &Adapter::new("base", "a1"), |_| true), Some(0));
}

#[test]
fn prefers_one_server_per_availability_zone_for_an_adapter() {
    let mut directory = Directory::default();
    for (id, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "a"), ("i-4", "b")] {
        directory.upsert(Listing { zone: Arc::from(zone), ..listing(id, 1, Phase::Ready) });
    }

    let roster = Roster::new(&directory, &Evacuation::default());

    let servers = roster.servers("models");
    for zone in ["a", "b"] {
        let index = roster
            .preferred_in_zone("models", &Adapter::new("base", "a1"), zone, |_| true)
            .unwrap();
        assert_eq!(&*servers[index].zone, zone);
    }
    assert_eq!(
        roster.preferred_in_zone("models", &Adapter::new("base", "a1"), "c", |_| true),
        None
    );
}

// Guards against adapters whose home stays on a server that takes few requests and no loads.
#[test]
fn moves_the_home_of_an_adapter_off_a_server_that_takes_no_loads() {
    let mut directory = Directory::default();
    for id in ["i-1", "i-2", "i-3"] {
        directory.upsert(listing(id, 1, Phase::Ready));
    }
    let roster = Roster::new(&directory, &Evacuation::default());
    let home = roster.preferred_server("models", &Adapter::new("base", "a1"), |_| true).unwrap();
    let servers = roster.servers("models");

    let moved = roster.preferred_server("models", &Adapter::new("base", "a1"), |listing| {
        listing.id != servers[home].id
    });

    assert!(moved.is_some_and(|moved| moved != home));
    assert_eq!(roster.preferred_server("models", &Adapter::new("base", "a1"), |_| false), None);
}

#[test]
fn forwards_whole_events_and_keeps_the_last_id() {
    let mut events = EventBuffer::default();

    let first = events.push(b"id: 1\ndata: x\n\nid: 2\nda");
    let second = events.push(b"ta: y\r\n\r\nid: 3\n");
    let rest = events.push(b"data: z\n\n");

    assert_eq!(&first[..], b"id: 1\ndata: x\n\n");
    assert_eq!(&second[..], b"id: 2\ndata: y\r\n\r\n");
    assert_eq!(&rest[..], b"id: 3\ndata: z\n\n");
    assert_eq!(events.last_id().map(|id| &id[..]), Some(&b"3"[..]));
}

fn version(model: &str, name: &str, number: u64) -> adapter::Version {
    adapter::Version { adapter: Adapter::new(model, name), number }
}

fn adapters(names: &[&str]) -> Vec<adapter::Version> {
    names.iter().map(|name| version("base", name, 1)).collect()
}

fn residents(revision: u64, names: &[&str]) -> Residents {
    Residents {
        born_ms: 200,
        revision,
        slot_usage: SlotUsage::default(),
        adapters: adapters(names),
        pending: Vec::new(),
        work: Vec::new(),
    }
}

// Guards against an evicted adapter that is taken for one that takes long to load, until the whole
// status comes.
#[test]
fn keeps_evicted_adapters_as_recent_ones() {
    let mut status = Status { born_ms: 200, adapters: adapters(&["a", "b"]), ..Status::default() };
    status.recent = adapters(&["c"]);

    let is_same = status.update(&residents(0, &["b", "c"]));

    assert!(is_same);
    assert_eq!(status.adapters, adapters(&["b", "c"]));
    assert_eq!(status.recent, adapters(&["a"]));
}

// Guards against adapters of one process or model that are added to the status of another.
#[test]
fn rejects_residents_of_another_revision() {
    let mut status = Status { born_ms: 200, revision: 1, ..Status::default() };

    let is_same = status.update(&residents(2, &["a"]));

    assert!(!is_same);
    assert_eq!(status.adapters, []);
}
