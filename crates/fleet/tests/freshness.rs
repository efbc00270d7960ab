//! The freshness rule of the configuration.

use std::time::Duration;

use fleet::freshness::Freshness;

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
