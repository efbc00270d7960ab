//! Retry budget of one service.
//!
//! Within a sliding window, the fleet may retry a share of its requests plus a
//! fixed number. Each instance uses the share of its own requests and an equal
//! part of the fixed number, so that the instances need no coordination.

use std::{collections::VecDeque, time::Duration};

use crate::Moment;

/// Share of the allowed retries that is spent. The rest is a margin, so that the limits also hold
/// for observers that count requests and retries in other windows.
const USED_SHARE: f64 = 0.6;

/// Retries that the whole fleet may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window beyond those by `ratio`.
    pub slack: f64,
    pub window: Duration,
}

/// Retry budget of one instance for one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl Budget {
    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Moment, limits: &Limits) {
        drop_expired(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Spends one retry if the budget, which `instances` share, allows it. Returns whether it did.
    pub fn try_spend(&mut self, now: Moment, limits: &Limits, instances: usize) -> bool {
        drop_expired(&mut self.requests, now, limits.window);
        drop_expired(&mut self.retries, now, limits.window);
        let by_ratio = self.requests.len() as f64 * limits.ratio;
        let slack = limits.slack / instances.max(1) as f64;
        if (by_ratio + slack) * USED_SHARE < (self.retries.len() + 1) as f64 {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn drop_expired(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
