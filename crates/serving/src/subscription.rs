//! How often a side process reports to one entry instance.
//!
//! An instance of the engine's availability zone, or one that has work at the engine, hears of each
//! change. All others only need to know roughly where an adapter is resident, and hear of changes
//! less often.

use std::time::Duration;

use crate::Moment;

/// Longest time between status reports, also if the status is unchanged.
const STATUS_INTERVAL: Duration = Duration::from_millis(700);
/// Shortest time between reports of the work in flight alone.
const WORK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between reports to an entry instance of another zone that has no work here.
const REMOTE_INTERVAL: Duration = Duration::from_millis(700);
/// Longest time between its status reports; the others confirm that the status is unchanged.
const REMOTE_STATUS_INTERVAL: Duration = Duration::from_millis(2100);

/// Report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    Status,
    /// The work in flight alone, which also confirms the status.
    Work,
}

/// What one entry instance was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subscription {
    /// Whether the instance is in the engine's zone.
    pub is_near: bool,
    /// Whether the instance has requests at the engine, or some that wait for an adapter there.
    pub has_work: bool,
    /// Number of changes of the status that was sent last, with the time.
    sent_status: Option<(u64, Moment)>,
    /// Time of the latest report, of the status or of the work alone.
    sent_at: Moment,
}

impl Subscription {
    /// Returns the report that is due after `changes` of the status. `has_new_work` tells whether the
    /// work is another one than in the latest report.
    pub fn due(&self, now: Moment, changes: u64, has_new_work: bool) -> Option<Due> {
        let Some((sent_changes, status_sent_at)) = self.sent_status else {
            return Some(Due::Status);
        };
        let is_changed = sent_changes != changes;
        if self.is_near || self.has_work {
            if is_changed || status_sent_at + STATUS_INTERVAL <= now {
                return Some(Due::Status);
            }
            return (has_new_work && self.sent_at + WORK_INTERVAL <= now).then_some(Due::Work);
        }
        if now < self.sent_at + REMOTE_INTERVAL {
            return None;
        }
        let needs_status = is_changed || status_sent_at + REMOTE_STATUS_INTERVAL <= now;
        Some(if needs_status { Due::Status } else { Due::Work })
    }

    /// Records that the instance has no status: it has started anew, or the report was lost.
    pub fn forget_status(&mut self) {
        self.sent_status = None;
    }

    /// Records that a report was sent, after `changes` of the status.
    pub fn record_sent(&mut self, now: Moment, changes: u64, report: Due) {
        self.sent_at = now;
        if report == Due::Status {
            self.sent_status = Some((changes, now));
        }
    }
}
