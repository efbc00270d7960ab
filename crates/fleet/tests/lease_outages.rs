//! One holder through long outages, in virtual time.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::{
    Name,
    lease::{Evidence, Holder, Origin, Participant, Record, Rules, Table},
    member::{Listing, Member, Phase, Role},
};

const RULES: Rules = Rules {
    takeover: Duration::from_secs(4),
    retention: Duration::from_secs(86_400),
    evidence: Evidence::LogOrList,
};

fn holder() -> Holder {
    Holder { instance: Arc::from("entry-1"), incarnation: 7 }
}

fn listing() -> Listing {
    let Holder { instance, incarnation } = holder();
    let member = Member {
        instance,
        incarnation,
        role: Role::Entry,
        zone: Arc::from("a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        phase: Phase::Live,
        server: None,
        weight: 1,
        routes: Vec::new(),
    };
    Listing { members: vec![member] }
}

fn resource() -> Name {
    Arc::from("quota/council/0")
}

fn claim() -> Record {
    Record::Claim { resource: resource(), holder: holder(), prior: None }
}

/// A participant that has won its claim at the start.
fn participant_with_lease() -> Participant {
    let mut participant = Participant::new(holder(), RULES);
    participant.on_list_read(Duration::ZERO, Duration::ZERO, &listing());
    participant.on_log_read(Duration::ZERO, Duration::ZERO, 0, [(0, &claim())]);
    participant
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn ten_minutes_without_the_log_stop_no_holder() {
    let mut participant = participant_with_lease();

    for second in 1..=600 {
        participant.on_list_read(seconds(second), seconds(second), &listing());
        assert!(participant.held(seconds(second), &resource()).is_some(), "at {second} s");
    }
}

#[test]
fn ten_minutes_without_the_list_stop_no_holder() {
    let mut participant = participant_with_lease();

    for second in 1..=600 {
        participant.on_log_read(seconds(second), seconds(second), 0, []);
        assert!(participant.held(seconds(second), &resource()).is_some(), "at {second} s");
    }
}

#[test]
fn without_both_a_holder_stops_after_half_of_the_takeover() {
    let participant = participant_with_lease();

    assert!(participant.held(seconds(2), &resource()).is_some());
    assert!(participant.held(seconds(2) + Duration::from_millis(1), &resource()).is_none());
}

#[test]
fn a_read_counts_from_when_it_was_asked() {
    let mut participant = participant_with_lease();

    // The process was paused for an hour between asking and reading.
    participant.on_log_read(seconds(3600), seconds(1), 0, []);

    assert!(participant.held(seconds(3600), &resource()).is_none());
}

#[test]
fn a_holder_that_cannot_renew_stops_before_its_record_expires() {
    let mut participant = participant_with_lease();
    let half = RULES.retention / 2;

    participant.on_list_read(half, half, &listing());

    assert!(participant.held(half, &resource()).is_none());
}

#[test]
fn a_renewal_is_due_at_a_quarter_of_the_retention() {
    let mut participant = participant_with_lease();
    let quarter = RULES.retention / 4;
    participant.on_log_read(quarter, quarter, 0, []);

    let early = participant.acquire(quarter - seconds(1), [&resource()]);
    let due = participant.acquire(quarter, [&resource()]);

    assert!(early.is_empty());
    assert!(matches!(due[..], [Record::Renew { .. }]));
}

#[test]
fn what_a_missing_record_may_hold_is_not_claimed() {
    let mut late = Participant::new(holder(), RULES);
    late.on_list_read(Duration::ZERO, Duration::ZERO, &listing());
    late.on_log_read(Duration::ZERO, Duration::ZERO, 100, []);

    let at_once = late.acquire(seconds(1), [&resource()]);
    let afterwards = late.acquire(RULES.retention / 2, [&resource()]);

    assert!(at_once.is_empty());
    assert_eq!(afterwards.len(), 1);
}

#[test]
fn a_peer_tells_who_holds_what_a_missing_record_says() {
    let mut table = Table::default();
    let other = Holder { instance: Arc::from("entry-2"), incarnation: 1 };
    table.apply(0, &Record::Claim { resource: resource(), holder: other.clone(), prior: None });
    let mut late = Participant::new(holder(), RULES);
    late.on_log_read(Duration::ZERO, Duration::ZERO, 100, []);

    late.install_table(table);

    assert_eq!(late.table().lease(&resource()).map(|lease| &lease.holder), Some(&other));
    assert!(late.acquire(RULES.retention, [&resource()]).is_empty());
}

#[test]
fn a_tenure_that_has_not_started_is_not_released() {
    let mut participant = Participant::new(holder(), RULES);
    let other = Holder { instance: Arc::from("entry-2"), incarnation: 1 };
    let first = Record::Claim { resource: resource(), holder: other, prior: None };
    let second = Record::Claim { resource: resource(), holder: holder(), prior: Some(0) };
    participant.on_log_read(seconds(1), seconds(1), 0, (0..).zip(&[first, second]));

    let claimed = participant.claimed(seconds(2), &resource());
    let releases = participant.release_all(seconds(2), |_| 42);

    assert_eq!(claimed, None);
    assert!(releases.is_empty(), "the holder before may still act");
}

#[test]
fn a_release_passes_on_what_is_left() {
    let mut participant = participant_with_lease();
    let releases = participant.release_all(seconds(1), |_| 42);
    let next = Holder { instance: Arc::from("entry-2"), incarnation: 1 };
    let claim = Record::Claim { resource: resource(), holder: next.clone(), prior: Some(0) };
    let mut successor = Participant::new(next, RULES);

    let records = [self::claim(), releases[0].clone(), claim];
    successor.on_log_read(seconds(1), seconds(1), 0, (0..).zip(&records));

    let held = successor.held(seconds(1), &resource()).expect("nobody else holds it");
    assert_eq!(held.origin, Origin::Released(42));
    assert_eq!(held.fence, 2);
}
