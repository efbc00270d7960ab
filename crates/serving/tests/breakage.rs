//! Which attempts the crash of a server explains.

use std::{sync::Arc, time::Duration};

use fleet::{
    digest::Digest,
    suspect::{Identity, Suspects},
};
use serving::{
    Moment,
    breakage::{self, Attempt, Breakage, Step},
    directory::{Directory, Listing, Phase},
};

fn listing(born_ms: u64, phase: Phase) -> Listing {
    Listing {
        id: Arc::from("i-1"),
        service: Arc::from("desk"),
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

fn directory(listings: impl IntoIterator<Item = Listing>) -> Directory {
    let mut directory = Directory::default();
    for listing in listings {
        directory.upsert(listing);
    }
    directory
}

fn attempt(request: &str) -> Attempt {
    let request = Identity::of_request(Digest::of(request), Arc::from("council"));
    Attempt { request, on_trial: Suspects::new() }
}

fn seconds(seconds: f64) -> Moment {
    Duration::from_secs_f64(seconds)
}

#[test]
fn probes_once_for_all_attempts_that_break_together() {
    let (server, mut breakage) = (listing(7, Phase::Ready), Breakage::default());
    let directory = directory([server.clone()]);
    let crash = breakage::crash_id(&server);

    let steps = ["a", "b", "c"]
        .map(|request| breakage.record(seconds(1.0), &server, &directory, attempt(request)));
    let reports = breakage.take(crash);

    assert_eq!(steps, [Step::Probe, Step::Await, Step::Await]);
    assert_eq!(reports.len(), 3);
    assert!(reports.iter().all(|report| report.crash == crash && report.on_trial.is_empty()));
    assert!(breakage.is_empty());
}

// Guards against requests that are suspected since their server left as planned.
#[test]
fn ignores_servers_that_leave_or_were_removed() {
    let server = listing(7, Phase::Ready);
    let mut breakage = Breakage::default();
    let leaving = directory([listing(7, Phase::Leaving)]);
    let removed = directory([]);

    let steps = [&leaving, &removed]
        .map(|directory| breakage.record(seconds(1.0), &server, directory, attempt("a")));

    assert_eq!(steps, [Step::Ignore; 2]);
    assert!(breakage.is_empty());
}

#[test]
fn takes_a_later_process_or_none_in_the_list_for_a_crash() {
    let server = listing(7, Phase::Ready);
    let listed = directory([server.clone()]);
    for (later, is_crash) in [
        (directory([listing(8, Phase::Ready)]), true),
        (directory([]), true),
        (directory([server.clone()]), false),
        (directory([listing(7, Phase::Leaving)]), false),
    ] {
        let mut breakage = Breakage::default();
        breakage.record(seconds(1.0), &server, &listed, attempt("a"));
        let while_probing = breakage.review(seconds(1.1), &later).len();
        breakage.record_connection(breakage::crash_id(&server));

        let crashed = breakage.review(seconds(2.0), &later);

        assert_eq!(while_probing, 0);
        assert_eq!(crashed.len(), usize::from(is_crash), "{later:?}");
    }
}

#[test]
fn forgets_completed_requests_and_old_attempts() {
    let server = listing(7, Phase::Ready);
    let listed = directory([server.clone()]);
    let mut breakage = Breakage::default();
    let crash = breakage::crash_id(&server);
    for request in ["a", "b"] {
        breakage.record(seconds(1.0), &server, &listed, attempt(request));
    }
    breakage.record_connection(crash);

    breakage.forget(&Digest::of("a"));
    let left = breakage.clone().take(crash);
    breakage.review(seconds(8.0), &listed);

    assert_eq!(left.len(), 1);
    assert_eq!(left[0].request.fingerprint, Digest::of("b"));
    assert!(breakage.take(crash).is_empty());
}

#[test]
fn tells_the_processes_of_a_server_apart() {
    let ids = [7, 8].map(|born_ms| breakage::crash_id(&listing(born_ms, Phase::Ready)));

    assert_ne!(ids[0], ids[1]);
}
