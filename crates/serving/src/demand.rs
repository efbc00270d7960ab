//! How often an entry instance tells a side process of its demand for the engine.
//!
//! A request that waits for an adapter is told in each round, since the side process forgets it
//! soon. Work in flight is told when it changes, also when it has ended, and at intervals, since a
//! report may be lost. An instance without work only shows that it is there.

use std::time::Duration;

use crate::Moment;

/// Longest time between reports of unchanged work. Several fit into the time for which a report counts.
const WORK_INTERVAL: Duration = Duration::from_millis(300);
/// Time between reports to an engine of the own zone without work.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// The same for an engine of another zone. A side process forgets an instance after three times that.
const REMOTE_IDLE_INTERVAL: Duration = Duration::from_millis(1000);

/// What an instance has to tell of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Nothing.
    Idle { is_near: bool },
    /// Requests in flight.
    Work { is_changed: bool },
    /// Requests that wait for an adapter, or a status that is missing here.
    Request,
}

/// Returns whether a report is due in this round after the latest one, at `sent_at`.
pub fn is_due(now: Moment, sent_at: Option<Moment>, need: Need) -> bool {
    let interval = match need {
        Need::Request | Need::Work { is_changed: true } => return true,
        Need::Work { is_changed: false } => WORK_INTERVAL,
        Need::Idle { is_near: true } => IDLE_INTERVAL,
        Need::Idle { is_near: false } => REMOTE_IDLE_INTERVAL,
    };
    sent_at.is_none_or(|sent_at| sent_at + interval <= now)
}
