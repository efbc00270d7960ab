//! Request rates of adapters, from counts with exponential decay.

use std::{collections::HashMap, hash::Hash, time::Duration};

use fleet::{decay, lease::Moment};

/// Counters at or below this decayed value are dropped.
const NEGLIGIBLE_COUNT: f64 = 0.01;
/// Minimum number of requests between two sweeps. A sweep visits every counter, so
/// it also waits for as many requests as there are counters; this keeps the
/// amortized cost of a request constant.
const MIN_REQUESTS_BETWEEN_SWEEPS: usize = 4096;

/// Decayed request counts by adapter.
#[derive(Clone, Debug)]
pub struct Popularity<K> {
    half_life: Duration,
    counts: HashMap<K, Count>,
    requests_since_sweep: usize,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    /// Decayed count at `updated_at`.
    value: f64,
    updated_at: Moment,
}

impl<K: Hash + Eq> Popularity<K> {
    pub fn new(half_life: Duration) -> Popularity<K> {
        Popularity { half_life, counts: HashMap::new(), requests_since_sweep: 0 }
    }

    /// Records a request and returns the resulting rate in requests per second.
    pub fn record(&mut self, now: Moment, key: K) -> f64 {
        self.sweep(now);
        let half_life = self.half_life;
        let count = self.counts.entry(key).or_insert(Count { value: 0.0, updated_at: now });
        count.value = decayed(*count, now, half_life) + 1.0;
        count.updated_at = now;
        per_second(count.value, half_life)
    }

    /// Returns the rate of an adapter in requests per second.
    pub fn rate(&self, now: Moment, key: &K) -> f64 {
        let count = self.counts.get(key);
        count.map_or(0.0, |count| per_second(decayed(*count, now, self.half_life), self.half_life))
    }

    /// Returns the number of adapters with a counter.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no adapter has a counter.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Drops negligible counters when a sweep is due.
    fn sweep(&mut self, now: Moment) {
        self.requests_since_sweep += 1;
        if self.requests_since_sweep < MIN_REQUESTS_BETWEEN_SWEEPS.max(self.counts.len()) {
            return;
        }
        self.requests_since_sweep = 0;
        let half_life = self.half_life;
        self.counts.retain(|_, count| NEGLIGIBLE_COUNT < decayed(*count, now, half_life));
    }
}

fn decayed(count: Count, now: Moment, half_life: Duration) -> f64 {
    count.value * decay::remaining(count.updated_at, now, half_life)
}

/// Returns the requests per second that keep the decayed count at `value`.
fn per_second(value: f64, half_life: Duration) -> f64 {
    value * std::f64::consts::LN_2 / half_life.as_secs_f64()
}
