//! Backend servers that leave, restart or expire during an outage of the store.
//!
//! Guards against two faults after an outage: dropping live servers whose listings
//! expired meanwhile, and keeping servers that left.

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

// Guards against a server that is kept after a cut of this instance alone, and against the loss of the grace
// period that a restore of the store needs.
#[test]
fn removes_a_server_at_once_if_the_store_was_never_away() {
    for is_restored_since in [false, true] {
        let mut directory = with_one_server();
        directory.record_store_recovery(seconds(10));
        directory.remove(seconds(10), &name("s1"));
        if is_restored_since {
            directory.record_store_recovery(seconds(11));
        }

        let removed = directory.forget_store_recovery(seconds(10));

        assert_eq!(removed.len(), usize::from(!is_restored_since));
        assert_eq!(directory.is_empty(), !is_restored_since);
    }
}

#[test]
fn drops_a_removed_server_at_once() {
    let mut directory = with_one_server();

    let effect = directory.remove(seconds(10), &name("s1"));

    assert_eq!(effect, Effect::Removed);
    assert!(directory.is_empty());
}

#[test]
fn keeps_a_server_removed_after_an_outage_until_its_grace_period_ends() {
    let mut directory = with_one_server();
    directory.record_store_recovery(seconds(10));

    let effect = directory.remove(seconds(11), &name("s1"));

    assert_eq!(effect, Effect::Lapsed);
    assert!(directory.expire(seconds(12)).is_empty());
    assert_eq!(directory.expire(seconds(10) + REREGISTRATION_GRACE), [name("s1")]);
    assert!(directory.is_empty());
}

#[test]
fn keeps_a_server_that_registers_again() {
    let mut directory = with_one_server();
    directory.record_store_recovery(seconds(10));
    directory.remove(seconds(10), &name("s1"));

    directory.upsert(listing("s1", 1, Phase::Ready));

    assert!(directory.expire(seconds(60)).is_empty());
    assert!(directory.get("s1").is_some());
}

// Guards against copies of the directory that keep the end of a grace period which a registration has ended.
#[test]
fn counts_the_end_of_a_grace_period_as_a_change() {
    let mut directory = with_one_server();
    directory.record_store_recovery(seconds(10));
    directory.remove(seconds(10), &name("s1"));
    let before = directory.generation();

    let back = directory.upsert(listing("s1", 1, Phase::Ready));
    let after = directory.generation();
    let again = directory.upsert(listing("s1", 1, Phase::Ready));

    assert_eq!((back, again), (Effect::Changed, Effect::Same));
    assert!(before < after && after == directory.generation());
}

// Guards against servers that are dropped after a second outage, in which they could not register either.
#[test]
fn begins_a_grace_period_anew_after_a_further_outage() {
    let mut directory = with_one_server();
    directory.record_store_recovery(seconds(10));
    directory.remove(seconds(10), &name("s1"));

    directory.record_store_recovery(seconds(20));

    assert!(directory.expire(seconds(21)).is_empty());
    assert_eq!(directory.expire(seconds(20) + REREGISTRATION_GRACE), [name("s1")]);
}

#[test]
fn gives_a_leaving_server_no_grace_period() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 1, Phase::Leaving));
    directory.record_store_recovery(seconds(10));

    let effect = directory.remove(seconds(10), &name("s1"));

    assert_eq!(effect, Effect::Removed);
}

#[test]
fn ignores_a_late_heartbeat_of_a_leaving_server() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 1, Phase::Leaving));

    let effect = directory.upsert(listing("s1", 1, Phase::Ready));

    assert_eq!(effect, Effect::Stale);
    assert_eq!(directory.get("s1").unwrap().phase, Phase::Leaving);
}

#[test]
fn accepts_a_restarted_server_with_the_same_id() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 1, Phase::Leaving));

    let effect = directory.upsert(listing("s1", 2, Phase::Ready));

    assert_eq!(effect, Effect::Changed);
    assert_eq!(directory.upsert(listing("s1", 1, Phase::Ready)), Effect::Stale);
}

#[test]
fn keeps_an_announcement_whatever_the_listing_says() {
    let mut directory = with_one_server();

    assert!(directory.announce_leaving(&name("s1"), 1));
    assert!(!directory.announce_leaving(&name("s1"), 1));

    assert_eq!(directory.get("s1").unwrap().phase, Phase::Leaving);
    directory.remove(seconds(10), &name("s1"));
    assert_eq!(directory.upsert(listing("s1", 1, Phase::Ready)), Effect::Added);
    assert_eq!(directory.get("s1").unwrap().phase, Phase::Leaving);
    assert_eq!(directory.upsert(listing("s1", 2, Phase::Ready)), Effect::Changed);
    assert_eq!(directory.get("s1").unwrap().phase, Phase::Ready);
}

// Guards against a server that gets requests again, since its record that it leaves is lost in a
// restore of the store, or comes late.
#[test]
fn remembers_a_leaving_server_after_its_removal() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 1, Phase::Leaving));
    directory.remove(seconds(10), &name("s1"));

    directory.upsert(listing("s1", 1, Phase::Ready));

    assert_eq!(directory.get("s1").unwrap().phase, Phase::Leaving);
}

// Guards against a late response of an earlier process that takes its successor out of use.
#[test]
fn ignores_an_announcement_of_an_earlier_process() {
    let mut directory = with_one_server();
    directory.upsert(listing("s1", 2, Phase::Ready));

    directory.announce_leaving(&name("s1"), 1);

    assert_eq!(directory.get("s1").unwrap().phase, Phase::Ready);
}

#[test]
fn removes_servers_that_are_missing_from_the_store() {
    let mut directory = with_one_server();
    directory.upsert(listing("s2", 1, Phase::Ready));

    let removed = directory.retain(seconds(10), &HashSet::from([name("s2")]));

    assert_eq!(removed, [(name("s1"), Effect::Removed)]);
    assert!(directory.get("s2").is_some());
}

/// Event in the history of one server's listing.
#[derive(Clone, Copy, Debug)]
enum Step {
    Upsert(u64, Phase),
    /// The process with this start announces in a response that it leaves.
    Announce(u64),
    Remove,
    StoreRecovers,
    Wait(Duration),
}

const STEPS: [Step; 9] = [
    Step::Upsert(1, Phase::Ready),
    Step::Upsert(1, Phase::Leaving),
    Step::Upsert(2, Phase::Ready),
    Step::Upsert(2, Phase::Leaving),
    Step::Announce(1),
    Step::Remove,
    Step::StoreRecovers,
    Step::Wait(Duration::from_millis(1500)),
    Step::Wait(Duration::from_millis(3000)),
];

/// Applies the steps and checks the invariants after each of them.
fn check_history(history: &[Step]) {
    let (mut directory, mut now) = (Directory::default(), seconds(60));
    // Time of the removal, unless the server registered again, and of the store's last recovery.
    let (mut removed, mut recovered): (Option<Duration>, Option<Duration>) = (None, None);
    let mut announced = None;
    for step in history {
        let before = directory.get("s1").cloned();
        match *step {
            Step::Upsert(born_ms, phase) => {
                let effect = directory.upsert(listing("s1", born_ms, phase));
                if effect != Effect::Stale {
                    removed = None;
                }
            }
            Step::Announce(born_ms) => {
                directory.announce_leaving(&name("s1"), born_ms);
                announced = Some(born_ms);
            }
            Step::Remove => {
                directory.remove(now, &name("s1"));
                removed = removed.or(Some(now));
            }
            Step::StoreRecovers => {
                directory.record_store_recovery(now);
                recovered = Some(now);
            }
            Step::Wait(time) => now += time,
        }
        directory.expire(now);
        let after = directory.get("s1");

        if let (Some(before), Some(after)) = (&before, after) {
            assert!(before.born_ms <= after.born_ms, "an older process in {history:?}");
            let is_same = before.born_ms == after.born_ms;
            let is_ready_again = before.phase == Phase::Leaving && after.phase == Phase::Ready;
            assert!(!(is_same && is_ready_again), "a leaving server is ready again in {history:?}");
        }
        if let Some(after) = after.filter(|after| Some(after.born_ms) == announced) {
            assert_eq!(after.phase, Phase::Leaving, "ready after its announcement in {history:?}");
        }
        if let (Some(removed), Some(after)) = (removed, after) {
            assert_eq!(after.phase, Phase::Ready, "a leaving server was kept in {history:?}");
            let grace_end = recovered.map(|recovered| recovered + REREGISTRATION_GRACE);
            let has_grace = grace_end.is_some_and(|end| removed < end && now < end);
            assert!(has_grace, "a removed server was kept after its grace period in {history:?}");
        }
    }
}

#[test]
fn keeps_its_invariants_in_every_history_of_six_steps() {
    const LENGTH: u32 = 6;
    for number in 0..STEPS.len().pow(LENGTH) {
        let digits = (0..LENGTH).map(|position| number / STEPS.len().pow(position) % STEPS.len());
        let history: Vec<Step> = digits.map(|digit| STEPS[digit]).collect();

        check_history(&history);
    }
}
