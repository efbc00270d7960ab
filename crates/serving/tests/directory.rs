//! Backend servers through leaving, silence, restarts and outages of the store.
//!
//! Answers the pattern "the store is away while servers leave and others live on".

mod support;

use std::{collections::HashSet, sync::Arc, time::Duration};

use serving::{
    Name,
    directory::{Directory, Effect, Phase, REREGISTRATION_GRACE},
};

use support::listing;

fn name(id: &str) -> Name {
    Arc::from(id)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn with_one_server() -> Directory {
    let mut directory = Directory::default();
    directory.upsert(listing("s1", 1, Phase::Ready));
    directory
}

#[test]
fn a_removed_server_is_gone_at_once() {
    let mut directory = with_one_server();

    let effect = directory.remove(seconds(10), &name("s1"));

    assert_eq!(effect, Effect::Removed);
    assert!(directory.is_empty());
}

#[test]
fn a_server_that_lapsed_during_an_outage_is_kept_until_the_grace_ends() {
    let mut directory = with_one_server();
    directory.record_store_recovery(seconds(10));

    let effect = directory.remove(seconds(11), &name("s1"));

    assert_eq!(effect, Effect::Lapsed);
    assert!(directory.expire(seconds(12)).is_empty());
    assert_eq!(directory.expire(seconds(10) + REREGISTRATION_GRACE), [name("s1")]);
    assert!(directory.is_empty());
}

#[test]
fn a_server_that_registers_again_stays() {
    let mut directory = with_one_server();
    directory.record_store_recovery(seconds(10));
    directory.remove(seconds(10), &name("s1"));

    directory.upsert(listing("s1", 1, Phase::Ready));

    assert!(directory.expire(seconds(60)).is_empty());
    assert!(directory.get("s1").is_some());
}

#[test]
fn a_leaving_server_gets_no_grace() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 1, Phase::Leaving));
    directory.record_store_recovery(seconds(10));

    let effect = directory.remove(seconds(10), &name("s1"));

    assert_eq!(effect, Effect::Removed);
}

#[test]
fn a_late_heartbeat_does_not_take_back_that_a_server_leaves() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 1, Phase::Leaving));

    let effect = directory.upsert(listing("s1", 1, Phase::Ready));

    assert_eq!(effect, Effect::Stale);
    assert_eq!(directory.get("s1").unwrap().phase, Phase::Leaving);
}

#[test]
fn a_server_that_started_again_under_its_name_is_ready() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 1, Phase::Leaving));

    let effect = directory.upsert(listing("s1", 2, Phase::Ready));

    assert_eq!(effect, Effect::Changed);
    assert_eq!(directory.upsert(listing("s1", 1, Phase::Ready)), Effect::Stale);
}

#[test]
fn a_complete_reading_takes_away_what_it_does_not_show() {
    let mut directory = with_one_server();
    directory.upsert(listing("s2", 1, Phase::Ready));

    let gone = directory.retain(seconds(10), &HashSet::from([name("s2")]));

    assert_eq!(gone, [(name("s1"), Effect::Removed)]);
    assert!(directory.get("s2").is_some());
}

/// What can happen to one server's entry.
#[derive(Clone, Copy, Debug)]
enum Step {
    Put(u64, Phase),
    Remove,
    StoreReturns,
    Wait(Duration),
}

const STEPS: [Step; 8] = [
    Step::Put(1, Phase::Ready),
    Step::Put(1, Phase::Leaving),
    Step::Put(2, Phase::Ready),
    Step::Put(2, Phase::Leaving),
    Step::Remove,
    Step::StoreReturns,
    Step::Wait(Duration::from_millis(1500)),
    Step::Wait(Duration::from_millis(3000)),
];

/// Carries out the steps and checks after each what must hold.
fn check_history(history: &[Step]) {
    let (mut directory, mut now) = (Directory::default(), seconds(60));
    // When the entry was removed without having come back, and the store's last return.
    let (mut removed, mut returned): (Option<Duration>, Option<Duration>) = (None, None);
    for step in history {
        let before = directory.get("s1").cloned();
        match *step {
            Step::Put(born_ms, phase) => {
                let effect = directory.upsert(listing("s1", born_ms, phase));
                if effect != Effect::Stale {
                    removed = None;
                }
            }
            Step::Remove => {
                directory.remove(now, &name("s1"));
                removed = removed.or(Some(now));
            }
            Step::StoreReturns => {
                directory.record_store_recovery(now);
                returned = Some(now);
            }
            Step::Wait(time) => now += time,
        }
        directory.expire(now);
        let after = directory.get("s1");

        if let (Some(before), Some(after)) = (&before, after) {
            assert!(before.born_ms <= after.born_ms, "an older process in {history:?}");
            let is_same = before.born_ms == after.born_ms;
            let is_back = before.phase == Phase::Leaving && after.phase == Phase::Ready;
            assert!(!(is_same && is_back), "a leaving server is ready again in {history:?}");
        }
        if let (Some(removed), Some(after)) = (removed, after) {
            assert_eq!(after.phase, Phase::Ready, "a leaving server outlives {history:?}");
            let grace_end = returned.map(|returned| returned + REREGISTRATION_GRACE);
            let has_grace = grace_end.is_some_and(|end| removed < end && now < end);
            assert!(has_grace, "a removed server is known after its grace in {history:?}");
        }
    }
}

#[test]
fn what_is_known_of_a_server_only_moves_forward_in_every_history_of_six_steps() {
    const LENGTH: u32 = 6;
    for number in 0..STEPS.len().pow(LENGTH) {
        let digits = (0..LENGTH).map(|place| number / STEPS.len().pow(place) % STEPS.len());
        let history: Vec<Step> = digits.map(|digit| STEPS[digit]).collect();

        check_history(&history);
    }
}
