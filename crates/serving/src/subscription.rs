//! How often a side process reports to one entry instance.
//!
//! An instance of the engine's availability zone, or one that has work at the engine, hears of each
//! change. All others only need to know roughly where an adapter is resident, and hear of changes
//! less often. A change of the adapters is told without what it leaves as it was, above all the adapters
//! that were resident earlier, to instances that understand such a report. The whole status follows at
//! intervals, or when the instance asks for it.

use std::time::Duration;

use crate::Moment;

/// Longest time between reports of the adapters, also if they are unchanged.
const RESIDENTS_INTERVAL: Duration = Duration::from_millis(700);
/// Shortest time between reports of the work in flight alone.
const WORK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between reports to an entry instance of another zone that has no work here.
const REMOTE_INTERVAL: Duration = Duration::from_millis(700);
/// Longest time between reports of the whole status.
const STATUS_INTERVAL: Duration = Duration::from_millis(2100);

/// Report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The whole status.
    Status,
    /// The adapters and the work in flight, which also confirms the rest of the status.
    Residents,
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
    /// Whether the instance understands reports of the adapters without the rest of the status.
    pub takes_residents: bool,
    /// Time of the latest report of the whole status.
    status_sent_at: Option<Moment>,
    /// Number of changes of the status as of the latest report of the adapters, with its time.
    sent_changes: (u64, Moment),
    /// Time of the latest report of any kind.
    sent_at: Moment,
}

impl Subscription {
    /// Returns the report that is due after `changes` of the status. `has_new_work` tells whether the
    /// work is another one than in the latest report.
    pub fn due(&self, now: Moment, changes: u64, has_new_work: bool) -> Option<Due> {
        let Some(status_sent_at) = self.status_sent_at else { return Some(Due::Status) };
        let (sent_changes, residents_sent_at) = self.sent_changes;
        let is_changed = sent_changes != changes;
        let changed = match self.takes_residents && now < status_sent_at + STATUS_INTERVAL {
            true => Due::Residents,
            false => Due::Status,
        };
        if self.is_near || self.has_work {
            if is_changed || residents_sent_at + RESIDENTS_INTERVAL <= now {
                return Some(changed);
            }
            return (has_new_work && self.sent_at + WORK_INTERVAL <= now).then_some(Due::Work);
        }
        if now < self.sent_at + REMOTE_INTERVAL {
            return None;
        }
        let is_old = status_sent_at + STATUS_INTERVAL <= now;
        Some(if is_changed || is_old { changed } else { Due::Work })
    }

    /// Requests the whole status at once: the instance has started anew, a report was lost, or the
    /// part of the status changed that is in no other report.
    pub fn forget_status(&mut self) {
        self.status_sent_at = None;
    }

    /// Records that a report was sent, after `changes` of the status.
    pub fn record_sent(&mut self, now: Moment, changes: u64, report: Due) {
        self.sent_at = now;
        if report != Due::Work {
            self.sent_changes = (changes, now);
        }
        if report == Due::Status {
            self.status_sent_at = Some(now);
        }
    }
}
