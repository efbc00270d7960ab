//! Decisions on requests that were running when a server crashed, at one instance.

use std::{sync::Arc, time::Duration};

use smallvec::smallvec;

use fleet::{
    Name,
    digest::Digest,
    lease::Moment,
    suspect::{
        Decision, Identity, List, Record, Report, Suspects,
        trial::{Span, Trial, Trials},
    },
};

/// Time for which a suspect is kept, and length of the first quarantine.
const RETENTION: Duration = Duration::from_secs(60);
/// Time after which all reports of a crash have arrived.
const SETTLED: f64 = 0.3;
/// Limit on the number of suspects.
const MAX_SUSPECTS: usize = 4096;

fn seconds(seconds: f64) -> Moment {
    Duration::from_secs_f64(seconds)
}

fn name(text: &str) -> Name {
    Arc::from(text)
}

fn poison() -> Digest {
    Digest::of("poison")
}

fn innocent() -> Digest {
    Digest::of("innocent")
}

fn request(fingerprint: Digest) -> Identity {
    Identity::of_request(fingerprint, name("council"))
}

fn report(fingerprint: Digest, crash: u64) -> Report {
    let on_trial = Suspects::new();
    Report { request: request(fingerprint), service: name("desk"), crash, on_trial }
}

fn trial(fingerprint: Digest, crash: u64) -> Report {
    Report { on_trial: smallvec![fingerprint], ..report(fingerprint, crash) }
}

fn tried(fingerprint: Digest, is_exclusive: bool) -> Decision {
    Decision::Try { suspects: smallvec![fingerprint], is_exclusive }
}

fn is_rejected(list: &mut List, at: f64, fingerprint: Digest) -> bool {
    matches!(list.decide(seconds(at), &request(fingerprint)), Decision::Reject(_))
}

fn is_tried(list: &mut List, at: f64, fingerprint: Digest) -> bool {
    matches!(list.decide(seconds(at), &request(fingerprint)), Decision::Try { .. })
}

/// Returns a list in which a request has crashed two servers, the second one on trial at 1 s.
fn list_with_poison() -> List {
    let mut list = List::new(RETENTION);
    list.record(seconds(0.0), &report(poison(), 1));
    list.record(seconds(1.0), &trial(poison(), 2));
    list
}

#[test]
fn tries_suspect_and_rejects_it_after_a_crash_on_trial() {
    let mut list = List::new(RETENTION);
    let (poison, request) = (poison(), request(poison()));

    let before = list.decide(seconds(0.0), &request);
    let is_new = list.record(seconds(0.0), &report(poison, 1));
    let is_repeat_new = list.record(seconds(0.5), &report(poison, 1));
    let after_first = list.decide(seconds(0.5), &request);
    list.record(seconds(2.0), &trial(poison, 2));
    let while_reports_arrive = list.decide(seconds(2.1), &request);
    let after_second = list.decide(seconds(3.0), &request);

    assert_eq!(before, Decision::Allow);
    assert_eq!((is_new, is_repeat_new), (true, false), "a crash counts once");
    assert_eq!(after_first, tried(poison, false));
    assert_eq!(while_reports_arrive, Decision::Hold(seconds(0.2)));
    assert_eq!(after_second, Decision::Reject(RETENTION));
    assert!(is_rejected(&mut list, 62.9, poison));
}

#[test]
fn allows_suspect_that_completed() {
    let mut list = List::new(RETENTION);
    list.record(seconds(0.0), &report(innocent(), 1));

    let cleared = list.complete(seconds(0.5), &request(innocent()), &name("desk"), true);

    assert_eq!(cleared[..], [innocent()]);
    assert_eq!(list.decide(seconds(1.0), &request(innocent())), Decision::Allow);
}

// Guards against a suspect that was cleared and comes back with a report that was under way.
#[test]
fn late_report_does_not_bring_a_cleared_suspect_back() {
    let mut list = List::new(RETENTION);
    list.record(seconds(0.0), &report(innocent(), 1));
    let late = list.get(seconds(0.1), &innocent()).unwrap();
    list.complete(seconds(0.2), &request(innocent()), &name("desk"), true);

    list.merge(seconds(0.3), &late);
    list.record(seconds(0.4), &report(innocent(), 1));

    assert_eq!(list.decide(seconds(1.0), &request(innocent())), Decision::Allow);
}

// Guards against an innocent request that is rejected for two crashes of a request beside it.
#[test]
fn does_not_reject_a_suspect_while_another_one_explains_its_crashes() {
    let mut list = list_with_poison();
    list.record(seconds(0.0), &report(innocent(), 1));
    list.record(seconds(1.0), &trial(innocent(), 2));

    let settled = 1.0 + SETTLED;
    let ambiguous = [poison(), innocent()].map(|it| list.decide(seconds(settled), &request(it)));
    list.complete(seconds(2.0), &request(innocent()), &name("desk"), true);
    let resolved = [poison(), innocent()].map(|it| is_rejected(&mut list, 2.1, it));

    assert_eq!(ambiguous, [tried(poison(), true), tried(innocent(), true)]);
    assert_eq!(resolved, [true, false]);
}

// Guards against an innocent request that is rejected beside several poison requests, none of which
// ran at all of its crashes.
#[test]
fn does_not_count_crashes_that_quarantined_requests_explain() {
    let mut list = list_with_poison();
    assert!(is_rejected(&mut list, 2.0, poison()));
    let other = Digest::of("other poison");
    list.record(seconds(10.0), &report(other, 11));
    list.record(seconds(11.0), &trial(other, 12));
    assert!(is_rejected(&mut list, 12.0, other));

    for (at, crash) in [(12.5, 1), (12.6, 2), (12.7, 11), (12.8, 12)] {
        list.record(seconds(at), &trial(innocent(), crash));
    }
    let beside_both = is_tried(&mut list, 14.0, innocent());
    list.complete(seconds(14.1), &request(innocent()), &name("desk"), true);

    assert!(beside_both);
    assert_eq!(list.decide(seconds(14.2), &request(innocent())), Decision::Allow);
}

// Guards against a request that is rejected because servers crash for another reason.
#[test]
fn takes_one_more_crash_while_other_servers_crash() {
    let mut list = list_with_poison();
    list.record(seconds(1.5), &report(innocent(), 3));

    let after_two = is_tried(&mut list, 2.0, poison());
    list.record(seconds(2.5), &trial(poison(), 4));
    let after_three = is_rejected(&mut list, 3.0, poison());

    assert!(after_two && after_three);
}

#[test]
fn rejects_after_three_crashes_beside_a_suspect_that_is_never_seen_again() {
    let mut list = list_with_poison();
    list.record(seconds(0.0), &report(innocent(), 1));
    list.record(seconds(1.0), &report(innocent(), 2));

    let after_two = is_tried(&mut list, 2.0, poison());
    list.record(seconds(2.5), &trial(poison(), 4));

    assert!(after_two);
    assert!(is_rejected(&mut list, 3.0, poison()));
}

#[test]
fn clears_suspects_of_a_crash_that_did_not_happen() {
    let mut list = list_with_poison();

    let is_new = list.refute(seconds(1.1), 2);
    let later = list.record(seconds(1.2), &report(innocent(), 2));

    assert!(is_new && later);
    assert_eq!(list.crashed_at(2), None);
    assert_eq!(list.decide(seconds(2.0), &request(poison())), tried(poison(), false));
    assert_eq!(list.decide(seconds(2.0), &request(innocent())), Decision::Allow);
}

// Guards against a row of crashes at the end of each quarantine, and against a request that is
// rejected for ever though a new version of its service runs it.
#[test]
fn tries_again_after_the_quarantine_and_doubles_it_after_one_more_crash() {
    let mut list = list_with_poison();
    let first = list.decide(seconds(2.0), &request(poison()));
    let mut mended = list.clone();

    let after_first = list.decide(seconds(63.0), &request(poison()));
    list.record(seconds(64.0), &trial(poison(), 3));
    let second = list.decide(seconds(65.0), &request(poison()));
    mended.complete(seconds(64.0), &request(poison()), &name("desk"), true);

    assert_eq!(first, Decision::Reject(RETENTION));
    assert_eq!(after_first, tried(poison(), true));
    assert_eq!(second, Decision::Reject(RETENTION * 2));
    assert_eq!(mended.decide(seconds(65.0), &request(poison())), Decision::Allow);
}

#[test]
fn forgets_a_suspect_that_does_not_come_back() {
    let mut list = List::new(RETENTION);
    list.record(seconds(0.0), &report(innocent(), 1));

    let before = is_tried(&mut list, 59.9, innocent());
    list.expire(seconds(60.0));

    assert!(before && list.is_empty());
}

#[test]
fn adopts_the_quarantine_of_a_peer_in_any_order_of_its_reports() {
    let mut peer = list_with_poison();
    let early = peer.get(seconds(1.1), &poison()).unwrap();
    assert!(is_rejected(&mut peer, 2.0, poison()));
    let late = peer.get(seconds(2.0), &poison()).unwrap();

    for records in [[&early, &late], [&late, &early], [&late, &late]] {
        let mut list = List::new(RETENTION);
        for record in records {
            list.merge(seconds(10.0), record);
        }

        assert!(is_rejected(&mut list, 10.0, poison()), "{records:?}");
    }
}

// Guards against a report from the network that makes an instance reject a request for ever.
#[test]
fn bounds_what_a_peer_reports() {
    let mut record: Record = list_with_poison().get(seconds(1.0), &poison()).unwrap();
    record.quarantine =
        Some(fleet::suspect::Quarantine { count: u32::MAX, remaining: Duration::MAX });
    record.runs[0].age = Duration::MAX;
    let mut list = List::new(RETENTION);

    list.merge(seconds(10.0), &record);

    let Decision::Reject(wait) = list.decide(seconds(10.0), &request(poison())) else {
        panic!("the request is in quarantine");
    };
    assert!(wait <= Duration::from_secs(24 * 3600));
}

#[test]
fn tells_changes_for_a_while_and_quarantines_on_demand() {
    let mut list = list_with_poison();
    list.record(seconds(1.0), &report(innocent(), 1));

    let early = list.changes(seconds(1.2)).len();
    let late = list.changes(seconds(2.0)).len();
    let is_rejected = is_rejected(&mut list, 2.0, poison());

    assert_eq!((early, late, is_rejected), (2, 0, true));
    assert_eq!(list.changes(seconds(2.1)).len(), 1);
    assert_eq!(list.quarantined(seconds(30.0)).len(), 1);
}

// Guards against a suspect that is forgotten by the report of its next crash, since the list is
// full.
#[test]
fn full_list_keeps_the_suspect_that_is_reported() {
    let mut list = List::new(RETENTION);
    let fingerprint = |number: usize| Digest::of(number.to_string());
    for number in 0..MAX_SUSPECTS {
        list.record(seconds(0.0), &report(fingerprint(number), number as u64));
    }

    for round in 1..=2 {
        for number in 0..MAX_SUSPECTS {
            let crash = (round * MAX_SUSPECTS + number) as u64;
            list.record(seconds(1.0), &trial(fingerprint(number), crash));
        }
    }

    let rejected =
        (0..MAX_SUSPECTS).filter(|number| is_rejected(&mut list, 2.0, fingerprint(*number)));
    assert_eq!(rejected.count(), MAX_SUSPECTS);
}

// Guards against an account that displaces the suspects of another one.
#[test]
fn flood_of_one_account_does_not_displace_the_suspects_of_another() {
    let mut list = list_with_poison();
    assert!(is_rejected(&mut list, 2.0, poison()));

    for number in 0..2 * MAX_SUSPECTS {
        let fingerprint = Digest::of(number.to_string());
        let request = Identity::of_request(fingerprint, name("flood"));
        let flood = Report { request, ..report(fingerprint, number as u64) };
        list.record(seconds(3.0), &flood);
    }

    assert!(is_rejected(&mut list, 4.0, poison()));
    assert!(list.open_count() <= MAX_SUSPECTS);
}

fn started(id: u64, fingerprint: Digest, server: &str, is_exclusive: bool) -> Trial {
    let spans = smallvec![Span { suspect: fingerprint, lifetime: seconds(1.0) }];
    let (server, started_at) = (name(server), seconds(0.0));
    Trial { id, spans, started_at, server, is_exclusive, holder: None }
}

// Guards against a suspect that nobody runs until the end of the trial of an instance that was killed.
#[test]
fn ends_the_trials_of_instances_that_are_not_heard() {
    let mut trials = Trials::default();
    let now = seconds(0.0);
    let holder = Some("10.0.0.1:7600".parse().unwrap());
    trials.start(now, Trial { holder, ..started(1, poison(), "s1", false) });
    trials.start(now, started(2, innocent(), "s2", false));

    let before = trials.start(now, started(3, poison(), "s3", false));
    trials.retain_holders(|_| false);
    let after = trials.start(now, started(4, poison(), "s3", false));
    let own = trials.start(now, started(5, innocent(), "s3", false));

    assert_eq!((before, after, own), (false, true, false));
}

#[test]
fn runs_one_trial_of_a_suspect_at_a_time() {
    let mut trials = Trials::default();
    let now = seconds(0.0);

    let first = trials.start(now, started(1, poison(), "s1", false));
    let repeated = trials.start(now, started(1, poison(), "s1", false));
    let second = trials.start(now, started(2, poison(), "s2", false));
    let other = trials.start(now, started(3, innocent(), "s1", false));
    trials.end(1);
    let after_end = trials.start(now, started(4, poison(), "s2", false));
    let after_expiry = trials.start(seconds(1.0), started(5, poison(), "s2", false));

    assert_eq!((first, repeated, second, other), (true, true, false, true));
    assert!(after_end && after_expiry);
}

// Guards against requests that wait for an attribute until the end of a long run, since the run is
// the trial of a request as well.
#[test]
fn trial_of_an_attribute_ends_before_that_of_its_request() {
    let mut trials = Trials::default();
    let attribute = Digest::of("attribute");
    let mut both = started(1, poison(), "s1", false);
    both.spans.push(Span { suspect: attribute, lifetime: seconds(0.2) });
    trials.start(seconds(0.0), both.clone());

    let early = trials.start(seconds(0.1), started(2, attribute, "s2", false));
    let late = trials.start(seconds(0.2), started(3, attribute, "s2", false));
    let of_request = trials.start(seconds(0.2), started(4, poison(), "s2", false));

    assert_eq!((early, late, of_request), (false, true, false));
    assert_eq!(both.suspects(seconds(0.1))[..], [poison(), attribute]);
    assert_eq!(both.suspects(seconds(0.2))[..], [poison()]);
    assert!(!both.covers(&name("s1"), &smallvec![attribute], seconds(0.2)));
}

#[test]
fn runs_an_exclusive_trial_without_others_on_the_server() {
    let mut trials = Trials::default();
    let now = seconds(0.0);
    trials.start(now, started(1, innocent(), "s1", false));

    let beside = trials.start(now, started(2, poison(), "s1", true));
    let elsewhere = trials.start(now, started(3, poison(), "s2", true));
    let joining = trials.start(now, started(4, Digest::of("third"), "s2", false));

    assert_eq!((beside, elsewhere, joining), (false, true, false));
}

// Guards against an innocent request that one instance goes on rejecting, and makes all others
// reject, since the report that it has completed was lost.
#[test]
fn answers_a_peer_that_still_suspects_a_cleared_request() {
    let mut peer = list_with_poison();
    let mut list = peer.clone();
    list.complete(seconds(1.1), &request(poison()), &name("desk"), true);
    assert!(is_rejected(&mut peer, 2.0, poison()));
    assert_eq!(peer.take_unsaved(), [poison()]);
    let wrong = peer.get(seconds(25.0), &poison()).unwrap();
    list.expire(seconds(25.0));
    let before = list.changes(seconds(25.0)).len();

    list.merge(seconds(25.0), &wrong);
    let answers = list.changes(seconds(25.1));
    answers.iter().for_each(|answer| assert!(peer.merge(seconds(25.1), answer)));

    assert_eq!((before, answers.len()), (0, 1));
    assert_eq!(list.decide(seconds(25.2), &request(poison())), Decision::Allow);
    assert_eq!(peer.decide(seconds(25.2), &request(poison())), Decision::Allow);
    assert_eq!(peer.take_unsaved(), [poison()], "its quarantine is dropped from the store");
}

// Guards against an innocent request that is suspected for a crash that is reported after it has
// completed elsewhere, however long after.
#[test]
fn completion_clears_earlier_crashes_that_are_reported_later() {
    let mut list = List::new(RETENTION);
    list.complete(seconds(100.0), &request(innocent()), &name("desk"), true);
    let mut peer = list_with_poison();
    peer.record(seconds(90.0), &report(innocent(), 1));
    let late = peer.get(seconds(101.0), &innocent()).unwrap();

    list.merge(seconds(101.0), &late);
    let after_late = list.decide(seconds(101.0), &request(innocent()));
    list.record(seconds(102.0), &report(innocent(), 3));

    assert_eq!(after_late, Decision::Allow);
    assert_eq!(list.changes(seconds(101.1)).len(), 1, "the peers have to know of it");
    assert!(is_tried(&mut list, 102.0, innocent()), "a later crash counts");
}

// Guards against an instance that has just started and takes an old completion for a recent one.
#[test]
fn completion_from_before_the_start_of_an_instance_is_not_recent() {
    let mut peer = List::new(RETENTION);
    peer.complete(seconds(100.0), &request(poison()), &name("desk"), true);
    peer.record(seconds(105.0), &report(poison(), 1));
    let mut record = peer.get(seconds(105.0), &poison()).unwrap();
    record.completed_age = Some(Duration::from_secs(3600));
    let mut list = List::new(RETENTION);

    list.merge(seconds(2.0), &record);
    list.record(seconds(3.0), &trial(poison(), 2));

    assert!(is_rejected(&mut list, 4.0, poison()));
}
