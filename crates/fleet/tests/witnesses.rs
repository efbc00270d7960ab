//! Freshness of the configuration and suspected requests.

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
fn an_instance_cut_from_log_and_peers_is_not_fresh() {
    let mut freshness = Freshness::default();
    freshness.on_log_read(seconds(10));
    freshness.on_list_read(3);
    (11..=20).for_each(|at| freshness.on_exchange_failure(seconds(at)));

    assert!(freshness.is_fresh(seconds(13), LIMIT));
    assert!(!freshness.is_fresh(seconds(14), LIMIT));
}

#[test]
fn an_outage_of_the_log_alone_stops_nothing() {
    let mut freshness = Freshness::default();
    freshness.on_list_read(3);
    (0..600).for_each(|at| freshness.on_exchange_success(seconds(at)));

    assert!(freshness.is_fresh(seconds(600), LIMIT));
}

#[test]
fn a_minority_that_only_reaches_itself_is_not_fresh() {
    let mut freshness = Freshness::default();
    freshness.on_list_read(10);
    freshness.on_exchange_success(seconds(20));
    (0..3).for_each(|_| freshness.on_exchange_failure(seconds(20)));

    assert!(!freshness.is_fresh(seconds(21), LIMIT));
}

#[test]
fn an_instance_without_peers_goes_on() {
    let mut freshness = Freshness::default();
    freshness.on_list_read(0);

    assert!(freshness.is_fresh(seconds(600), LIMIT));
}

#[test]
fn a_suspect_runs_alone_once_and_is_refused_after_its_second_crash() {
    let mut list = List::new(seconds(60));
    let fingerprint = Digest::of("poison");
    let report = |crash| Report { fingerprint, crash };

    assert_eq!(list.decide(seconds(0), &fingerprint), Decision::Allow);
    assert!(list.record(seconds(0), &report(1)));
    assert!(
        !list.record(seconds(1), &report(1)),
        "one crash counts once, however often it is told"
    );
    assert_eq!(list.decide(seconds(1), &fingerprint), Decision::Isolate);
    list.record(seconds(2), &report(2));
    assert_eq!(list.decide(seconds(3), &fingerprint), Decision::Reject(seconds(59)));
    assert_eq!(list.decide(seconds(62), &fingerprint), Decision::Allow);
}

#[test]
fn a_bystander_that_ran_alone_is_cleared() {
    let mut list = List::new(seconds(60));
    let fingerprint = Digest::of("bystander");
    list.record(seconds(0), &Report { fingerprint, crash: 1 });

    list.remove(&fingerprint);

    assert_eq!(list.decide(seconds(1), &fingerprint), Decision::Allow);
}
