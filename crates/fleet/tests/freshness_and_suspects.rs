//! The freshness rule of the configuration, and decisions on suspected requests.

use std::time::Duration;

use fleet::{
    digest::Digest,
    freshness::Freshness,
    suspect::{Decision, List, Report},
};

const LIMIT: Duration = Duration::from_secs(3);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn is_stale_without_log_and_peers() {
    let mut freshness = Freshness::default();
    freshness.on_log_read(seconds(10));
    freshness.on_list_read(3);
    (11..=20).for_each(|at| freshness.on_exchange_failure(seconds(at)));

    assert!(freshness.is_fresh(seconds(13), LIMIT));
    assert!(!freshness.is_fresh(seconds(14), LIMIT));
}

#[test]
fn stays_fresh_without_log_while_peers_answer() {
    let mut freshness = Freshness::default();
    freshness.on_list_read(3);
    (0..600).for_each(|at| freshness.on_exchange_success(seconds(at)));

    assert!(freshness.is_fresh(seconds(600), LIMIT));
}

#[test]
fn is_stale_if_most_exchanges_fail() {
    let mut freshness = Freshness::default();
    freshness.on_list_read(10);
    freshness.on_exchange_success(seconds(20));
    (0..3).for_each(|_| freshness.on_exchange_failure(seconds(20)));

    assert!(!freshness.is_fresh(seconds(21), LIMIT));
}

#[test]
fn stays_fresh_without_peers() {
    let mut freshness = Freshness::default();
    freshness.on_list_read(0);

    assert!(freshness.is_fresh(seconds(600), LIMIT));
}

#[test]
fn isolates_suspect_and_rejects_it_after_second_crash() {
    let mut list = List::new(seconds(60));
    let fingerprint = Digest::of("poison");
    let report = |crash| Report { fingerprint, crash };

    assert_eq!(list.decide(seconds(0), &fingerprint), Decision::Allow);
    assert!(list.record(seconds(0), &report(1)));
    assert!(
        !list.record(seconds(1), &report(1)),
        "a crash counts once, however often it is reported"
    );
    assert_eq!(list.decide(seconds(1), &fingerprint), Decision::Isolate);
    list.record(seconds(2), &report(2));
    assert_eq!(list.decide(seconds(3), &fingerprint), Decision::Reject(seconds(59)));
    assert_eq!(list.decide(seconds(62), &fingerprint), Decision::Allow);
}

#[test]
fn allows_suspect_that_completed_alone() {
    let mut list = List::new(seconds(60));
    let fingerprint = Digest::of("bystander");
    list.record(seconds(0), &Report { fingerprint, crash: 1 });

    list.remove(&fingerprint);

    assert_eq!(list.decide(seconds(1), &fingerprint), Decision::Allow);
}

// Guards against a suspect that is forgotten by the report of its second crash, since the list is
// full.
#[test]
fn full_list_keeps_the_suspect_that_is_reported() {
    const LIMIT: u32 = 4096;
    let mut list = List::new(seconds(60));
    let fingerprint = |number: u32| Digest::of(number.to_string());
    for number in 0..LIMIT {
        list.record(seconds(0), &Report { fingerprint: fingerprint(number), crash: 1 });
    }

    for number in 0..LIMIT {
        list.record(seconds(1), &Report { fingerprint: fingerprint(number), crash: 2 });
    }

    let is_rejected = |number: &u32| {
        matches!(list.decide(seconds(2), &fingerprint(*number)), Decision::Reject(_))
    };
    assert_eq!((0..LIMIT).filter(is_rejected).count(), LIMIT as usize);
}
