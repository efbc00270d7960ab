//! Pauses that a backend server asks for when it turns a request away.
//!
//! Nothing is sent to the server until the time that it named has passed, counted from the arrival
//! of its response. The latest end counts: a response that names an earlier one was given to
//! another request, and does not withdraw what the server asked for before. No other response ends
//! a pause either, as it answers a request that was sent before. A pause belongs to one instance
//! and is forgotten when its process ends.
//!
//! After the pause, requests return one after the other, so that those that waited do not arrive at
//! once. Instances that end the same pause at the same moment return at different times.

use std::time::Duration;

use crate::Moment;

/// Longest pause; a server that names a longer time is tried again after this one.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Time after a pause in which requests return one after the other.
const RETURN_PERIOD: Duration = Duration::from_secs(1);
/// Time between two requests in the return period.
const RETURN_INTERVAL: Duration = Duration::from_millis(15);
/// Period over which instances spread their first requests after a pause.
const INSTANCE_SPREAD: Duration = Duration::from_millis(200);
/// Longest spread, as a share of the pause.
const INSTANCE_SPREAD_SHARE: f64 = 0.25;

/// The pause of one server at this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    /// End of the pause; `None` if the server never asked for one.
    end: Option<Moment>,
    /// Earliest time of the next request.
    next_at: Moment,
}

impl Pause {
    /// Records that a response that arrives now asks for a pause. `spread`, from 0 to 1, is the
    /// instance's position among those that may end the pause at the same time. Returns whether
    /// this extends the pause.
    pub fn record(&mut self, now: Moment, asked: Duration, spread: f64) -> bool {
        let asked = asked.min(MAX_PAUSE);
        let end = now + asked;
        if self.end.is_some_and(|known| end <= known) {
            return false;
        }
        let longest_spread = INSTANCE_SPREAD.min(asked.mul_f64(INSTANCE_SPREAD_SHARE));
        self.end = Some(end);
        self.next_at = end + longest_spread.mul_f64(spread);
        true
    }

    /// Returns the time until the next request may be sent; zero if one may be sent now.
    pub fn wait(&self, now: Moment) -> Duration {
        self.next_at.saturating_sub(now)
    }

    /// Returns whether a request may be sent now, and counts it if so.
    pub fn admit(&mut self, now: Moment) -> bool {
        if now < self.next_at {
            return false;
        }
        if self.end.is_some_and(|end| now < end + RETURN_PERIOD) {
            self.next_at = now + RETURN_INTERVAL;
        }
        true
    }

    /// Takes back the admission of a request that was not sent.
    pub fn give_back(&mut self, now: Moment) {
        let is_over = self.end.is_some_and(|end| end <= now);
        if is_over && self.next_at <= now + RETURN_INTERVAL {
            self.next_at = self.next_at.min(now);
        }
    }
}
