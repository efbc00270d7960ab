//! Whether the process of a backend server is warming up.
//!
//! A server that has just started takes few requests for a while, and a running one may need to warm
//! up again. Its listing tells for how long, but late, and a listing without this is possible. Also, a
//! process counts as warming up if it is a new one whose listing states nothing, or from when it
//! could not be reached until a while after it responds again.
//!
//! The time is counted by the clock of the instance, from when it learned of it, and never exceeds the
//! period of the service by more than a margin: what is not true ends by itself. An earlier end counts
//! only if the process states it. The rate itself is kept by [`limit`](crate::limit).

use std::time::Duration;

use crate::Moment;

/// Longest warm-up, as a multiple of the period of the service.
const LONGEST_SHARE: f64 = 1.25;

/// What shows that a process is warming up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// Its listing, or a response.
    #[default]
    Statement,
    /// It is a new process whose listing states nothing.
    Start,
    /// It comes back after it could not be reached.
    Return,
}

/// Warm-up of one process of a server, as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// What shows that the process is warming up.
    pub source: Source,
    /// Time left that the process stated last.
    stated: Duration,
    ends_at: Moment,
    /// Whether the process could not be reached and has not responded since.
    is_unreachable: bool,
}

impl State {
    /// Records the time left that the process states. Only a longer one than before starts a
    /// warm-up; the others repeat what is known.
    pub fn record_statement(&mut self, now: Moment, left: Duration, period: Duration) {
        let previous = std::mem::replace(&mut self.stated, left);
        if previous < left {
            self.begin(now, left.min(period.mul_f64(LONGEST_SHARE)), Source::Statement);
        } else if left.is_zero() && !previous.is_zero() {
            self.ends_at = self.ends_at.min(now);
        }
    }

    /// Records a new process that states nothing.
    pub fn record_start(&mut self, now: Moment, period: Duration) {
        self.begin(now, period, Source::Start);
    }

    /// Records that the process could not be reached. It may have started again meanwhile.
    pub fn record_unreachable(&mut self, now: Moment) {
        if !self.is_active(now) {
            self.source = Source::Return;
        }
        self.is_unreachable = true;
    }

    /// Records a response of the process.
    pub fn record_response(&mut self, now: Moment, period: Duration) {
        if std::mem::take(&mut self.is_unreachable) {
            self.begin(now, period, Source::Return);
        }
    }

    /// Returns whether the process is warming up.
    pub fn is_active(&self, now: Moment) -> bool {
        self.is_unreachable || now < self.ends_at
    }

    fn begin(&mut self, now: Moment, left: Duration, source: Source) {
        if !self.is_active(now) || source == Source::Statement {
            self.source = source;
        }
        self.ends_at = self.ends_at.max(now + left);
    }
}
