//! Pace of a side process's orders to its engine, which has a share of the limit that the engine names.

use crate::Moment;

use super::{MIN_RATE, Rate};

/// Share of a limit for orders of the server's side process.
const ORDER_SHARE: f64 = 0.1;
/// Orders that may follow each other at once: an eviction and the load that needs it.
const ORDER_BURST: f64 = 2.0;

/// Pace of a side process's orders to an engine that named a limit.
#[derive(Clone, Debug, Default)]
pub struct OrderPace {
    rate: Option<Rate>,
    /// Orders that may be sent now, as of `counted_at`.
    available: f64,
    counted_at: Moment,
}

impl OrderPace {
    /// Sets the engine's limit, or that it has none.
    pub fn set(&mut self, now: Moment, rate: Option<Rate>) {
        self.count(now);
        if self.rate.is_none() {
            self.available = ORDER_BURST;
        }
        self.rate = rate;
    }

    /// Returns whether an order may be sent now, and counts it if so.
    pub fn admit(&mut self, now: Moment) -> bool {
        self.count(now);
        if self.rate.is_none() {
            return true;
        }
        let may_send = 1.0 <= self.available;
        self.available -= if may_send { 1.0 } else { 0.0 };
        may_send
    }

    fn count(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.counted_at = now;
        if let Some(rate) = self.rate {
            let added = elapsed * rate.0.max(MIN_RATE) * ORDER_SHARE;
            self.available = (self.available + added).min(ORDER_BURST);
        }
    }
}
