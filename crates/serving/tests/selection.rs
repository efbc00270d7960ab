//! Choice of the backend server, and the limits above which requests are rejected.
//!
//! Guards against long waits during bursts of requests, with slow or failing
//! servers, and when many rarely used adapters are requested at once.

use std::{sync::Arc, time::Duration};

use serving::{
    backlog::{Backlog, Report},
    manifest::{Homes, RetryPolicy, Route},
    rejection,
    selection::{self, AdapterState, Candidate},
};

const IDLE: Candidate = Candidate {
    adapter: AdapterState::Present,
    slot_queue: 0,
    outstanding_tokens: 0,
    requests_in_flight: 0,
    slots: 64,
    slowdown: 1.0,
    is_measured: true,
    failure_rate: 0.0,
    is_same_zone: true,
    is_suspect: false,
    pause: Duration::ZERO,
    is_limited: false,
};

fn chosen(candidates: &[Candidate]) -> usize {
    selection::choose_engine(1800, candidates).expect("a candidate is usable").index
}

fn route(urgency: u8) -> Route {
    Route {
        name: Arc::from("route"),
        host: Arc::from("host"),
        prefix: Arc::from("/a/"),
        retry_policy: RetryPolicy::Stream,
        timeout: Some(Duration::from_secs(5)),
        objective: Duration::from_secs(1),
        pause: Some(Duration::from_millis(400)),
        urgency,
        targets: [(Arc::from("models"), 1)].into_iter().collect(),
        attempts: 1,
        is_public: false,
        homes: Homes::new(),
    }
}

#[test]
fn prefers_a_resident_adapter_over_the_preferred_server() {
    let home = Candidate { adapter: AdapterState::Home, ..IDLE };

    assert_eq!(chosen(&[home, IDLE]), 1);
}

#[test]
fn loads_an_adapter_on_its_preferred_server() {
    let foreign = Candidate { adapter: AdapterState::Foreign, ..IDLE };
    let home = Candidate { adapter: AdapterState::Home, outstanding_tokens: 4000, ..IDLE };

    assert_eq!(chosen(&[foreign, home]), 1);
}

#[test]
fn loads_elsewhere_when_the_preferred_server_has_no_free_slot() {
    let home = Candidate { adapter: AdapterState::Home, outstanding_tokens: 6000, ..IDLE };
    let full = Candidate { slot_queue: 1, ..home };
    let queued = Candidate { slot_queue: 2, ..home };
    let foreign = Candidate { adapter: AdapterState::Foreign, ..IDLE };
    let present = Candidate { slot_queue: 1, outstanding_tokens: 6000, ..IDLE };

    assert_eq!(chosen(&[home, foreign]), 0);
    assert_eq!(chosen(&[full, foreign]), 0, "it gets the next free slot");
    assert_eq!(chosen(&[queued, foreign]), 1);
    assert_eq!(chosen(&[foreign, present]), 1, "a resident adapter needs no free slot");
}

#[test]
fn counts_loads_queued_for_a_slot() {
    let queued = Candidate { adapter: AdapterState::Home, slot_queue: 4, ..IDLE };
    let foreign = Candidate { adapter: AdapterState::Foreign, ..IDLE };
    let other_queue = Candidate { adapter: AdapterState::Foreign, slot_queue: 1, ..IDLE };

    assert_eq!(chosen(&[queued, foreign]), 1);
    assert_eq!(chosen(&[queued, other_queue]), 1, "a shorter queue elsewhere");
    assert!(
        Duration::from_millis(1000) <= selection::choose_engine(1800, &[queued]).unwrap().expected,
        "a caller that cannot wait this long is rejected at once"
    );
}

#[test]
fn loads_elsewhere_when_the_server_is_overloaded() {
    let busy = Candidate { outstanding_tokens: 30_000, ..IDLE };
    let foreign = Candidate { adapter: AdapterState::Foreign, ..IDLE };

    assert_eq!(chosen(&[busy, foreign]), 1);
}

#[test]
fn avoids_a_server_with_slow_responses() {
    let mut backlog = Backlog::default();
    let now = Duration::from_secs(1);
    for _ in 0..5 {
        backlog.record_latency(now, Duration::from_millis(100), Duration::from_millis(500));
    }
    let slow = Candidate { slowdown: backlog.slowdown(now), ..IDLE };
    let other_zone = Candidate { is_same_zone: false, ..IDLE };

    assert!(2.0 < slow.slowdown);
    assert_eq!(chosen(&[slow, other_zone]), 1);
    assert!(backlog.slowdown(now + Duration::from_secs(20)) < 1.2, "it is tried again");
}

#[test]
fn avoids_a_server_that_fails_part_of_its_requests() {
    let mut backlog = Backlog::default();
    let now = Duration::from_secs(1);
    for request in 0..20 {
        backlog.record_outcome(now, request % 2 == 0);
    }
    let failing = Candidate { failure_rate: backlog.failure_rate(now), ..IDLE };
    let busy = Candidate { requests_in_flight: 2, slots: 4, ..IDLE };

    assert!((0.3..0.7).contains(&failing.failure_rate));
    let servers = [Candidate { slots: 4, ..failing }, busy];
    assert!((0..9).all(|draw| selection::choose_plain_server(&servers, draw) == Some(1)));
    assert!(backlog.failure_rate(now + Duration::from_secs(30)) < 0.01, "it is tried again");
}

#[test]
fn uses_a_suspect_server_only_as_the_last_resort() {
    let suspect = Candidate { is_suspect: true, ..IDLE };
    let busy = Candidate { outstanding_tokens: 20_000, ..IDLE };

    assert_eq!(chosen(&[suspect, busy]), 1);
    assert_eq!(chosen(&[suspect]), 0);
}

#[test]
fn chooses_the_plain_server_with_the_fewest_requests_per_slot() {
    let small = Candidate { requests_in_flight: 3, slots: 4, ..IDLE };
    let large = Candidate { requests_in_flight: 4, slots: 16, ..IDLE };

    let servers = [small, large];
    assert!((0..9).all(|draw| selection::choose_plain_server(&servers, draw) == Some(1)));
}

#[test]
fn counts_work_reported_by_peers_until_it_is_stale() {
    let mut backlog = Backlog::default();
    let peer = "127.0.0.1:7600".parse().unwrap();
    let now = Duration::from_secs(1);
    backlog.record_send(100);

    backlog.record_peer_report(peer, Report { tokens: 5000, requests: 2, at: now });

    assert_eq!((backlog.outstanding_tokens(now), backlog.requests_in_flight(now)), (5100, 3));
    assert_eq!(backlog.outstanding_tokens(now + Duration::from_secs(5)), 100);
}

#[test]
fn rejects_less_urgent_requests_earlier() {
    let remaining = Duration::from_secs(5);

    let limits =
        [0, 1, 2].map(|urgency| rejection::first_event_limit(&route(urgency), urgency, remaining));

    assert!(limits.is_sorted_by(|a, b| b < a), "{limits:?}");
    assert!(route(2).objective <= limits[2]);
}

#[test]
fn retry_delay_grows_with_the_expected_time() {
    let limit = Duration::from_secs(1);

    let soon = rejection::retry_after(Duration::from_millis(1100), limit);
    let later = rejection::retry_after(Duration::from_millis(4000), limit);

    assert!(soon < later && Duration::from_secs(3) <= later);
}

// Guards against a server that gets no request any more although it costs no more than the others.
#[test]
fn spreads_requests_over_plain_servers_of_about_the_same_cost() {
    let fast = Candidate { slowdown: 0.7, slots: 8, ..IDLE };
    let avoided = Candidate { slowdown: 1.0, is_measured: false, ..fast };
    let slow = Candidate { slowdown: 3.0, ..fast };
    let other_zone = Candidate { is_same_zone: false, ..fast };
    let servers = [fast, avoided, slow, other_zone];

    let chosen = (0..90).map(|draw| selection::choose_plain_server(&servers, draw).unwrap());
    let mut counts = [0; 4];
    chosen.for_each(|index| counts[index] += 1);

    assert_eq!(counts, [45, 45, 0, 0]);
    let limited = [fast, Candidate { is_limited: true, ..fast }];
    assert!((0..9).all(|draw| selection::choose_plain_server(&limited, draw) == Some(1)));
    assert_eq!(selection::choose_plain_server(&[], 1), None);
}
