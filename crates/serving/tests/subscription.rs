//! Guards against reports of a side process that grow with the number of entry instances which do
//! not use its engine, and against instances that hear of changes too late.

use std::time::Duration;

use serving::subscription::{Due, Subscription};

const STEP: Duration = Duration::from_millis(50);

/// Returns the number of status reports and of reports of the work in 21 s in which the work changes
/// all the time, and the status once in a second.
fn count(subscription: &mut Subscription) -> (usize, usize) {
    let (mut statuses, mut works) = (0, 0);
    for step in 0..420u32 {
        let (now, changes) = (STEP * step, u64::from(step / 20));
        let Some(due) = subscription.due(now, changes, true) else { continue };
        subscription.record_sent(now, changes, due);
        match due {
            Due::Status => statuses += 1,
            Due::Residents => panic!("the instance does not understand this report"),
            Due::Work => works += 1,
        }
    }
    (statuses, works)
}

#[test]
fn sends_each_change_to_those_that_use_the_engine() {
    for (is_near, has_work) in [(true, false), (false, true)] {
        let mut subscription = Subscription::default();
        (subscription.is_near, subscription.has_work) = (is_near, has_work);

        let (statuses, works) = count(&mut subscription);

        assert!((21..=45).contains(&statuses), "{statuses}");
        assert!(80 <= works, "{works}");
    }
}

#[test]
fn sends_little_to_those_that_do_not() {
    let (statuses, works) = count(&mut Subscription::default());

    assert!(statuses + works <= 31, "{statuses} + {works}");
    assert!(10 <= statuses, "{statuses}");
}

#[test]
fn sends_status_at_once_to_one_that_starts_to_use_the_engine() {
    let mut subscription = Subscription::default();
    subscription.record_sent(Duration::from_secs(1), 1, Due::Status);

    let before = subscription.due(Duration::from_secs(1) + STEP, 2, false);
    subscription.has_work = true;
    let after = subscription.due(Duration::from_secs(1) + STEP, 2, false);

    assert_eq!((before, after), (None, Some(Due::Status)));
}

#[test]
fn repeats_status_that_may_have_been_lost() {
    let mut subscription = Subscription::default();
    subscription.record_sent(Duration::from_secs(1), 1, Due::Status);

    let reports: Vec<_> = (1..=60)
        .filter_map(|step| {
            let now = Duration::from_secs(1) + STEP * step;
            let due = subscription.due(now, 1, false)?;
            subscription.record_sent(now, 1, due);
            Some(due)
        })
        .collect();

    assert_eq!(reports, [Due::Work, Due::Work, Due::Status, Due::Work]);
}

#[test]
fn sends_status_at_once_to_one_that_started_anew() {
    let mut subscription = Subscription::default();
    subscription.record_sent(Duration::from_secs(1), 1, Due::Status);

    subscription.forget_status();

    assert_eq!(subscription.due(Duration::from_secs(1), 1, false), Some(Due::Status));
}

// Guards against the adapters that were resident earlier, the largest part of a status, being sent with
// each load to each instance, and against an instance that never hears the whole status again.
#[test]
fn tells_changes_without_the_whole_status_to_those_that_understand() {
    for (takes_residents, limit) in [(true, 11), (false, 45)] {
        let mut subscription = Subscription::default();
        (subscription.is_near, subscription.takes_residents) = (true, takes_residents);
        let (mut wholes, mut last, mut longest) = (0, Duration::ZERO, Duration::ZERO);

        for step in 0..420u32 {
            let (now, changes) = (STEP * step, u64::from(step / 20));
            let Some(due) = subscription.due(now, changes, false) else { continue };
            subscription.record_sent(now, changes, due);
            if due == Due::Status {
                wholes += 1;
                longest = longest.max(now - last);
                last = now;
            }
        }

        assert!((9..=limit).contains(&wholes), "{wholes}");
        assert!(longest <= Duration::from_millis(2800), "{longest:?}");
    }
}
