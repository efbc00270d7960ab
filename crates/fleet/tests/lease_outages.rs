//! Leases of one process through long outages, in virtual time: guards against
//! losing a lease while one source is available, and against holding or claiming
//! one on the strength of old reads or expired records.

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

/// Returns a participant whose claim took effect at time 0.
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
fn keeps_lease_for_ten_minutes_without_log() {
    let mut participant = participant_with_lease();

    for second in 1..=600 {
        participant.on_list_read(seconds(second), seconds(second), &listing());
        assert!(participant.held(seconds(second), &resource()).is_some(), "at {second} s");
    }
}

#[test]
fn keeps_lease_for_ten_minutes_without_list() {
    let mut participant = participant_with_lease();

    for second in 1..=600 {
        participant.on_log_read(seconds(second), seconds(second), 0, []);
        assert!(participant.held(seconds(second), &resource()).is_some(), "at {second} s");
    }
}

#[test]
fn loses_lease_without_log_and_list_after_half_of_takeover() {
    let participant = participant_with_lease();

    assert!(participant.held(seconds(2), &resource()).is_some());
    assert!(participant.held(seconds(2) + Duration::from_millis(1), &resource()).is_none());
}

#[test]
fn measures_age_of_read_from_its_request() {
    let mut participant = participant_with_lease();

    // The process was paused for an hour between the request and the answer.
    participant.on_log_read(seconds(3600), seconds(1), 0, []);

    assert!(participant.held(seconds(3600), &resource()).is_none());
}

#[test]
fn loses_lease_before_unrenewed_record_expires() {
    let mut participant = participant_with_lease();
    let half = RULES.retention / 2;

    participant.on_list_read(half, half, &listing());

    assert!(participant.held(half, &resource()).is_none());
}

#[test]
fn renews_at_quarter_of_retention() {
    let mut participant = participant_with_lease();
    let quarter = RULES.retention / 4;
    participant.on_log_read(quarter, quarter, 0, []);

    let early = participant.acquire(quarter - seconds(1), [&resource()]);
    let due = participant.acquire(quarter, [&resource()]);

    assert!(early.is_empty());
    assert!(matches!(due[..], [Record::Renew { .. }]));
}

#[test]
fn does_not_claim_resource_whose_record_may_have_expired() {
    let mut late = Participant::new(holder(), RULES);
    late.on_list_read(Duration::ZERO, Duration::ZERO, &listing());
    late.on_log_read(Duration::ZERO, Duration::ZERO, 100, []);

    let at_once = late.acquire(seconds(1), [&resource()]);
    let afterwards = late.acquire(RULES.retention / 2, [&resource()]);

    assert!(at_once.is_empty());
    assert_eq!(afterwards.len(), 1);
}

#[test]
fn learns_holder_from_peer_if_record_expired() {
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
fn does_not_release_claim_during_its_wait() {
    let mut participant = Participant::new(holder(), RULES);
    let other = Holder { instance: Arc::from("entry-2"), incarnation: 1 };
    let first = Record::Claim { resource: resource(), holder: other, prior: None };
    let second = Record::Claim { resource: resource(), holder: holder(), prior: Some(0) };
    participant.on_log_read(seconds(1), seconds(1), 0, (0..).zip(&[first, second]));

    let claimed = participant.claimed(seconds(2), &resource());
    let releases = participant.release_all(seconds(2), |_| 42);

    assert_eq!(claimed, None);
    assert!(releases.is_empty(), "the previous holder may still be active");
}

#[test]
fn hands_carry_of_release_to_next_holder() {
    let mut participant = participant_with_lease();
    let releases = participant.release_all(seconds(1), |_| 42);
    let next = Holder { instance: Arc::from("entry-2"), incarnation: 1 };
    let claim = Record::Claim { resource: resource(), holder: next.clone(), prior: Some(0) };
    let mut successor = Participant::new(next, RULES);

    let records = [self::claim(), releases[0].clone(), claim];
    successor.on_log_read(seconds(1), seconds(1), 0, (0..).zip(&records));

    let held =
        successor.held(seconds(1), &resource()).expect("no other process holds the resource");
    assert_eq!(held.origin, Origin::Released(42));
    assert_eq!(held.fence, 2);
}

fn listing_in(phase: Phase) -> Listing {
    let mut listing = listing();
    listing.members[0].phase = phase;
    listing
}

/// Returns a participant of another instance that knows of the lease.
fn observer() -> Participant {
    let me = Holder { instance: Arc::from("entry-2"), incarnation: 9 };
    let mut observer = Participant::new(me, RULES);
    observer.on_log_read(Duration::ZERO, Duration::ZERO, 0, [(0, &claim())]);
    observer
}

#[test]
fn expects_next_holder_only_of_lease_that_is_handed_over() {
    let mut observer = observer();
    let release = Record::Release { resource: resource(), fence: 0, carry: 5 };

    observer.on_list_read(seconds(1), seconds(1), &listing_in(Phase::Live));
    let while_live = observer.is_handed_over(&resource());
    observer.on_list_read(seconds(2), seconds(2), &Listing::default());
    let after_crash = observer.is_handed_over(&resource());
    observer.on_list_read(seconds(3), seconds(3), &listing_in(Phase::Leaving));
    let while_leaving = observer.is_handed_over(&resource());
    observer.on_list_read(seconds(4), seconds(4), &Listing::default());
    let after_leaving = observer.is_handed_over(&resource());
    observer.on_log_read(seconds(5), seconds(5), 0, [(1, &release)]);
    let after_release = observer.is_handed_over(&resource());

    assert_eq!(
        [while_live, after_crash, while_leaving, after_leaving, after_release],
        [false, false, true, true, true]
    );
}

#[test]
fn tells_when_a_failed_holder_is_replaced() {
    let mut observer = observer();

    observer.on_list_read(seconds(1), seconds(1), &listing());
    let while_listed = observer.takeover_at(&resource());
    observer.on_list_read(seconds(2), seconds(2), &Listing::default());
    observer.on_list_read(seconds(3), seconds(3), &Listing::default());
    let after_failure = observer.takeover_at(&resource());

    assert_eq!((while_listed, after_failure), (None, Some(seconds(2) + RULES.takeover * 2)));
}

#[test]
fn lease_is_in_force_until_its_release_is_read() {
    let mut participant = participant_with_lease();

    let releases = participant.release_all(seconds(1), |_| 5);
    let before = participant.table().is_in_force(&releases[0]);
    participant.on_log_read(seconds(2), seconds(2), 0, [(1, &releases[0])]);
    let after = participant.table().is_in_force(&releases[0]);

    assert_eq!((before, after), (true, false));
}
