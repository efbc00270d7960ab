//! Decisions on requests that differ and share an attribute, at one instance.

use std::{sync::Arc, time::Duration};

use smallvec::smallvec;

use fleet::{
    Name,
    digest::Digest,
    lease::Moment,
    suspect::{Attribute, Decision, Identity, List, Report, Suspects},
};

/// Time for which a suspect is kept, and length of the first quarantine.
const RETENTION: Duration = Duration::from_secs(600);
/// Length of the first quarantine while nothing else completes.
const UNCONFIRMED: Duration = Duration::from_secs(10);
/// Number of requests of a flood, each with a part of its own.
const FLOOD: usize = 70_000;
/// Account of most requests.
const COUNCIL: &str = "council";

fn seconds(seconds: f64) -> Moment {
    Duration::from_secs_f64(seconds)
}

fn service() -> Name {
    Arc::from("engines")
}

fn part(id: &str) -> Attribute {
    Attribute::new("part", id)
}

/// Returns a request like no other one, with these parts.
fn request(account: &str, number: usize, parts: &[&str]) -> Identity {
    let mut identity = Identity::of_request(Digest::of(number.to_string()), Arc::from(account));
    identity.attributes.extend(parts.iter().map(|id| part(id)));
    identity
}

fn report(request: Identity, crash: u64) -> Report {
    Report { request, service: service(), crash, on_trial: Suspects::new() }
}

/// Returns a list in which a different request with these parts ran at each of these crashes.
fn list_with_crashes(parts: &[&str], times: &[f64]) -> List {
    let mut list = List::new(RETENTION);
    for (number, at) in times.iter().enumerate() {
        list.record(seconds(*at), &report(request(COUNCIL, number, parts), number as u64));
    }
    list
}

fn decide(list: &mut List, at: f64, parts: &[&str]) -> Decision {
    list.decide(seconds(at), &request(COUNCIL, 1000, parts))
}

fn is_rejected(list: &mut List, at: f64, parts: &[&str]) -> bool {
    matches!(decide(list, at, parts), Decision::Reject(_))
}

fn is_tried(list: &mut List, at: f64, parts: &[&str]) -> bool {
    matches!(decide(list, at, parts), Decision::Try { .. })
}

/// Completes a request with these parts.
fn complete(list: &mut List, at: f64, parts: &[&str]) {
    list.complete(seconds(at), &request(COUNCIL, 2000, parts), &service(), true);
}

// Guards against requests, no two alike, that share a part which crashes every server.
#[test]
fn rejects_what_shares_a_part_with_requests_at_three_crashes() {
    let mut list = list_with_crashes(&["first", "deadly"], &[0.0, 1.0]);
    for at in [0.1, 1.1, 1.9] {
        complete(&mut list, at, &["first", "session"]);
    }

    let after_two = is_tried(&mut list, 1.9, &["first", "deadly"]);
    list.record(seconds(2.0), &report(request(COUNCIL, 2, &["first", "deadly"]), 2));
    complete(&mut list, 2.1, &["first", "session"]);
    complete(&mut list, 2.2, &["session"]);
    let while_reports_arrive = decide(&mut list, 2.1, &["first", "deadly"]);
    let after_three = decide(&mut list, 2.3, &["first", "deadly"]);

    assert!(after_two);
    assert_eq!(while_reports_arrive, Decision::Hold(seconds(0.2)));
    assert_eq!(after_three, Decision::Reject(RETENTION));
    assert_eq!(decide(&mut list, 2.3, &["first", "session"]), Decision::Allow);
}

// Guards against a route that stops because nearly all of its requests have a part that was in
// flight at a crash.
#[test]
fn lets_a_part_that_completed_lately_run_freely() {
    let mut list = List::new(RETENTION);
    complete(&mut list, 0.0, &["first"]);
    list.record(seconds(1.0), &report(request(COUNCIL, 1, &["first"]), 1));

    assert_eq!(decide(&mut list, 1.1, &["first"]), Decision::Allow);
}

// Guards against an account that invents parts until nothing is known of those of others.
#[test]
fn flood_of_one_account_does_not_displace_the_completions_of_another() {
    let mut list = List::new(RETENTION);
    for number in 0..FLOOD {
        let flood = request("flood", 10_000 + number, &[&format!("{number:x}")]);
        list.complete(seconds(0.5), &flood, &service(), true);
    }

    complete(&mut list, 0.6, &["first"]);
    list.record(seconds(1.0), &report(request(COUNCIL, 1, &["first"]), 1));

    assert_eq!(decide(&mut list, 1.1, &["first"]), Decision::Allow);
}

// Guards against parts that are blamed for servers that crash all at once.
#[test]
fn counts_crashes_at_the_same_time_once() {
    let mut list = list_with_crashes(&["first"], &[0.0, 0.1, 0.15, 0.2, 0.25]);

    assert!(is_tried(&mut list, 1.0, &["first"]));
}

#[test]
fn each_completion_clears_a_part_of_one_crash() {
    let mut list = list_with_crashes(&["rare"], &[0.0, 1.0, 2.0]);

    complete(&mut list, 2.1, &["rare"]);
    let after_one = is_tried(&mut list, 3.0, &["rare"]);
    complete(&mut list, 3.1, &["rare"]);
    complete(&mut list, 3.2, &["rare"]);

    assert!(after_one);
    assert_eq!(decide(&mut list, 3.3, &["rare"]), Decision::Allow);
}

// Guards against a part that is cleared by an error, which may come before what crashes a server.
#[test]
fn error_clears_a_request_and_not_its_parts() {
    let mut list = list_with_crashes(&["deadly"], &[0.0, 1.0]);

    let failed = request(COUNCIL, 0, &["deadly"]);
    let cleared = list.complete(seconds(1.5), &failed, &service(), false);
    list.record(seconds(2.0), &report(request(COUNCIL, 2, &["deadly"]), 2));

    assert_eq!(cleared[..], [failed.fingerprint]);
    assert!(is_rejected(&mut list, 3.0, &["deadly"]));
}

// Guards against parts that are blamed for one poison request that is sent again and again.
#[test]
fn does_not_blame_the_parts_of_one_request() {
    let mut list = List::new(RETENTION);
    for crash in 0..4 {
        let poison = request(COUNCIL, 1, &["session"]);
        list.record(seconds(crash as f64), &report(poison, crash));
    }

    assert!(is_tried(&mut list, 5.0, &["session"]));
}

// Guards against a caller that names the part of another account in requests that crash servers.
#[test]
fn evidence_of_one_account_does_not_bind_another() {
    let mut list = list_with_crashes(&["shared"], &[0.0, 1.0, 2.0]);
    complete(&mut list, 2.1, &["other"]);
    assert!(is_rejected(&mut list, 3.0, &["shared"]));
    let other = request("other", 1000, &["shared"]);

    let unbound = list.decide(seconds(3.0), &other);
    list.record(seconds(4.0), &report(request("other", 3, &["shared"]), 3));
    let bound = list.decide(seconds(5.0), &other);

    assert!(matches!(unbound, Decision::Try { .. }), "{unbound:?}");
    assert!(matches!(bound, Decision::Reject(_)), "{bound:?}");
}

// Guards against parts that always came together, one of which is sound.
#[test]
fn rejects_parts_together_that_crashes_do_not_tell_apart() {
    let mut list = list_with_crashes(&["deadly", "session"], &[0.0, 1.0, 2.0]);
    complete(&mut list, 2.1, &["other"]);

    let both = is_rejected(&mut list, 3.0, &["deadly", "session"]);
    let one = is_tried(&mut list, 3.0, &["session"]);
    let other = is_tried(&mut list, 3.0, &["deadly"]);
    list.record(seconds(3.5), &report(request(COUNCIL, 3, &["deadly"]), 3));
    let told_apart = is_rejected(&mut list, 4.0, &["deadly"]);
    let sound = is_tried(&mut list, 4.0, &["session"]);

    assert!(both && one && other);
    assert!(told_apart && sound);
}

// Guards against a long quarantine of everything while all servers crash for another reason.
#[test]
fn quarantine_is_short_while_no_other_request_completes() {
    let mut list = list_with_crashes(&["first"], &[0.0, 1.0, 2.0]);
    let mut served = list.clone();

    let unconfirmed = decide(&mut list, 3.0, &["first"]);
    complete(&mut served, 2.5, &["other"]);
    let confirmed = decide(&mut served, 3.0, &["first"]);

    assert_eq!(unconfirmed, Decision::Reject(UNCONFIRMED));
    assert_eq!(confirmed, Decision::Reject(RETENTION));
}

#[test]
fn takes_three_more_crashes_while_servers_crash_without_the_part() {
    let mut list = list_with_crashes(&["rare"], &[0.0, 1.0, 2.0]);
    list.record(seconds(1.5), &report(request(COUNCIL, 9, &["other"]), 9));

    let after_three = is_tried(&mut list, 3.0, &["rare"]);
    for crash in [3, 4, 5] {
        let report = report(request(COUNCIL, crash, &["rare"]), crash as u64);
        list.record(seconds(crash as f64), &report);
    }

    assert!(after_three);
    assert!(is_rejected(&mut list, 6.0, &["rare"]));
}

#[test]
fn tries_again_after_the_quarantine_and_rejects_after_one_more_crash() {
    let mut list = list_with_crashes(&["deadly"], &[0.0, 1.0, 2.0]);
    complete(&mut list, 2.1, &["other"]);
    assert!(is_rejected(&mut list, 3.0, &["deadly"]));

    let later = is_tried(&mut list, 604.0, &["deadly"]);
    let deadly = report(request(COUNCIL, 5, &["deadly"]), 5);
    list.record(seconds(605.0), &Report { on_trial: smallvec![part("deadly").digest], ..deadly });

    assert!(later);
    assert!(is_rejected(&mut list, 606.0, &["deadly"]));
}
