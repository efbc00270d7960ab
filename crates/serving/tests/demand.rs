//! Guards against demand reports that repeat unchanged work, and against engines that count the work of
//! an instance long after it has ended.

use std::time::Duration;

use serving::demand::{self, Need};

const ROUND: Duration = Duration::from_millis(100);

/// Returns the number of reports in 6 s.
fn count(need: impl Fn(u32) -> Need) -> usize {
    let mut sent_at = None;
    let due = (0..60u32).filter(|round| {
        let now = ROUND * *round;
        let is_due = demand::is_due(now, sent_at, need(*round));
        if is_due {
            sent_at = Some(now);
        }
        is_due
    });
    due.count()
}

#[test]
fn repeats_unchanged_work_less_often_than_it_tells_changes() {
    let unchanged = count(|_| Need::Work { is_changed: false });
    let changed = count(|_| Need::Work { is_changed: true });

    assert_eq!((unchanged, changed), (20, 60));
}

#[test]
fn repeats_requests_for_adapters_in_each_round() {
    assert_eq!(count(|_| Need::Request), 60);
}

#[test]
fn shows_that_it_is_there_within_the_time_for_which_it_is_remembered() {
    let near = count(|_| Need::Idle { is_near: true });
    let remote = count(|_| Need::Idle { is_near: false });

    assert_eq!((near, remote), (15, 6));
}

#[test]
fn tells_at_once_that_work_has_ended() {
    let sent_at = Some(ROUND);

    let is_due = demand::is_due(ROUND * 2, sent_at, Need::Work { is_changed: true });

    assert!(is_due);
}
