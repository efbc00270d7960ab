//! The weight store's load budget: a rate, and a number of loads in flight over
//! the whole fleet. One holder counts both.

use std::{collections::BTreeMap, time::Duration};

use fleet::lease::Moment;

use crate::{bucket::Bucket, share::Share};

/// Name of the lease on the load budget.
pub const RESOURCE: &str = "loads";

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Loads a second.
    pub rate: u64,
    /// Loads that may start at once.
    pub burst: u64,
    /// Loads in flight over the whole fleet.
    pub in_flight: usize,
    /// A permit that is not given back counts as in flight for this long.
    pub patience: Duration,
}

/// Permits given out by the holder.
#[derive(Clone, Debug)]
pub struct Office {
    budget: Budget,
    bucket: Bucket,
    outstanding: BTreeMap<u64, Moment>,
    next: u64,
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Granted(u64),
    /// Ask again after this time.
    Later(Duration),
}

/// Shortest wait that a refused asker is told.
const MIN_WAIT: Duration = Duration::from_millis(20);

impl Office {
    pub fn new(now: Moment, budget: Budget, level: u64) -> Office {
        let share = Share { rate: budget.rate, capacity: budget.burst };
        Office {
            budget,
            bucket: Bucket::new(now, share, level),
            outstanding: BTreeMap::new(),
            next: 0,
        }
    }

    /// Asks for a permit to start one load.
    pub fn ask(&mut self, now: Moment) -> Answer {
        let patience = self.budget.patience;
        self.outstanding.retain(|_, granted| now < *granted + patience);
        if self.budget.in_flight <= self.outstanding.len() {
            let oldest = self.outstanding.values().min().copied().unwrap_or(now);
            return Answer::Later((oldest + patience).saturating_sub(now).min(MIN_WAIT * 10));
        }
        if self.bucket.take(now, 1) == 0 {
            return Answer::Later(self.bucket.wait_for(now, 1).max(MIN_WAIT));
        }
        self.next += 1;
        self.outstanding.insert(self.next, now);
        Answer::Granted(self.next)
    }

    /// The load under a permit has ended.
    pub fn give_back(&mut self, permit: u64) {
        self.outstanding.remove(&permit);
    }

    /// Loads that could start at once.
    pub fn level(&mut self, now: Moment) -> u64 {
        self.bucket.level(now)
    }
}
