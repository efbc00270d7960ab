//! How often each adapter is asked for, with exponential forgetting.

use std::{collections::HashMap, hash::Hash, time::Duration};

use fleet::{decay, lease::Moment};

/// Counts below this are forgotten.
const NEGLIGIBLE_COUNT: f64 = 0.01;
/// Counters visited by each clean-up step, so that no request pays for them all.
const MIN_SWEEP_INTERVAL: usize = 4096;

/// Decayed request counts by adapter.
#[derive(Clone, Debug)]
pub struct Popularity<K> {
    half_life: Duration,
    counts: HashMap<K, Count>,
    requests_since_sweep: usize,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    value: f64,
    updated_at: Moment,
}

impl<K: Hash + Eq> Popularity<K> {
    pub fn new(half_life: Duration) -> Popularity<K> {
        Popularity { half_life, counts: HashMap::new(), requests_since_sweep: 0 }
    }

    /// Counts a request and returns the requests a second after it.
    pub fn record(&mut self, now: Moment, key: K) -> f64 {
        self.sweep(now);
        let half_life = self.half_life;
        let count = self.counts.entry(key).or_insert(Count { value: 0.0, updated_at: now });
        count.value = decayed(*count, now, half_life) + 1.0;
        count.updated_at = now;
        rate_per_second(count.value, half_life)
    }

    /// Requests a second.
    pub fn rate(&self, now: Moment, key: &K) -> f64 {
        let count = self.counts.get(key);
        count.map_or(0.0, |count| {
            rate_per_second(decayed(*count, now, self.half_life), self.half_life)
        })
    }

    /// Adapters remembered.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no adapter is remembered.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn sweep(&mut self, now: Moment) {
        self.requests_since_sweep += 1;
        if self.requests_since_sweep < MIN_SWEEP_INTERVAL.max(self.counts.len()) {
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

fn rate_per_second(value: f64, half_life: Duration) -> f64 {
    value * std::f64::consts::LN_2 / half_life.as_secs_f64()
}
