//! Budget of sends beyond the first of each request, by service.
//!
//! The fleet may repeat a share of its requests within a sliding window, and a
//! fixed number more. An instance uses the share of its own requests, and its
//! part of the fixed number, so that nothing has to be asked of others.

use std::{collections::VecDeque, time::Duration};

use crate::Moment;

/// Part of the allowed repeats that is used, so that windows counted elsewhere agree.
const SAFETY: f64 = 0.6;

/// What may be repeated over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, in each window.
    pub extra: f64,
    pub window: Duration,
}

/// Repeats of one instance towards one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Budget {
    /// Notes a request.
    pub fn request(&mut self, now: Moment, terms: &Terms) {
        forget(&mut self.requests, now, terms.window);
        self.requests.push_back(now);
    }

    /// Takes a repeat from the budget, with `instances` sharing it.
    pub fn take(&mut self, now: Moment, terms: &Terms, instances: usize) -> bool {
        forget(&mut self.requests, now, terms.window);
        forget(&mut self.repeats, now, terms.window);
        let own = self.requests.len() as f64 * terms.ratio;
        let extra = terms.extra / instances.max(1) as f64;
        if (own + extra) * SAFETY < (self.repeats.len() + 1) as f64 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn forget(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
