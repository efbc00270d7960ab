//! Origins of streams: what a registry keeps, and who holds them.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serving::{
    Moment,
    directory::{Listing, Phase},
    origin::{Answer, Key, Origin, Progress, Record, Registry, holders},
};

const NOW: Moment = Duration::from_secs(1);
const LIFETIME: Duration = Duration::from_secs(20);

fn origin(version: &str) -> Origin {
    Origin { service: Arc::from("models"), version: Arc::from(version) }
}

fn key(account: &str, attempt: &str) -> Key {
    Key::new(&Arc::from(account), attempt)
}

fn record(account: &str, attempt: &str, version: &str) -> Record {
    Record { key: key(account, attempt), origin: origin(version), remaining: LIFETIME }
}

// Guards against a stream that goes on at another version or service, or at a version that is not
// known.
#[test]
fn admits_servers_of_the_version_that_began_the_stream() {
    let server = support::listing("s1", 1, Phase::Ready);
    let upgraded = Listing { version: Arc::from("v2"), ..server.clone() };
    let foreign = Listing { service: Arc::from("desk"), ..server.clone() };
    let begun = Progress::Begun(origin("v1"));

    let admitted = |progress: &Progress| {
        [&server, &upgraded, &foreign].map(|server| progress.admit(server).is_some())
    };

    assert_eq!(admitted(&Progress::NotBegun), [true, true, true]);
    assert_eq!(admitted(&begun), [true, false, false]);
    assert_eq!(admitted(&Progress::Unknown), [false, false, false]);
}

// Guards against an id that another account used, and against origins that are believed too long.
#[test]
fn knows_a_stream_by_account_and_attempt_while_it_may_be_taken_up() {
    let mut registry = Registry::default();
    registry.record(NOW, &record("council", "r1", "v1"));

    assert_eq!(registry.get(NOW, &key("council", "r1")), Answer::Known(origin("v1")));
    assert_eq!(registry.get(NOW, &key("other", "r1")), Answer::Unknown);
    assert_eq!(registry.get(NOW, &key("council", "r2")), Answer::Unknown);
    assert_eq!(registry.get(NOW + LIFETIME, &key("council", "r1")), Answer::Unknown);
}

// Guards against two streams under one id, of which the later one would be joined.
#[test]
fn believes_neither_of_two_origins_of_one_stream() {
    let mut registry = Registry::default();
    for version in ["v1", "v2", "v1"] {
        registry.record(NOW, &record("council", "r1", version));
    }

    assert_eq!(registry.get(NOW, &key("council", "r1")), Answer::Contradictory);
}

// Guards against a flood of one account that displaces the streams of another.
#[test]
fn displaces_only_streams_of_the_account_with_the_most() {
    const LIMIT: usize = 100;
    let mut registry = Registry::new(LIMIT);
    for number in 0..10 {
        registry.record(NOW, &record("council", &format!("r{number}"), "v1"));
    }

    for number in 0..10 * LIMIT {
        registry.record(NOW, &record("flood", &format!("f{number}"), "v1"));
    }

    assert_eq!(registry.len(), LIMIT);
    for number in 0..10 {
        let known = registry.get(NOW, &key("council", &format!("r{number}")));
        assert_eq!(known, Answer::Known(origin("v1")));
    }
}

// Guards against instances that ask others than those who were told, as they know other processes.
#[test]
fn finds_holders_although_some_processes_come_and_go() {
    let hash = |name: &str| {
        name.bytes().fold(7u64, |hash, it| {
            (hash ^ u64::from(it)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23)
        })
    };
    let address = |number: u8| SocketAddr::from(([10, 0, 0, number], 7600));
    for number in 0..200 {
        let key = key("council", &format!("r{number}"));
        let told = holders(&key, (0..12).map(address), 2, hash);

        let asked = holders(&key, (0..14).map(address), 4, hash);

        assert!(told.iter().all(|it| asked.contains(it)), "{told:?} {asked:?}");
    }
}
