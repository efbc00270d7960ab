//! The weight store's load budget: a rate, and a number of loads in flight over
//! the whole fleet. One holder counts both.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fleet::{Name, lease::Moment};

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
    pub permit_lifetime: Duration,
}

/// Permits given out by the holder.
#[derive(Clone, Debug)]
pub struct Limiter {
    budget: Budget,
    bucket: Bucket,
    outstanding: BTreeMap<u64, Moment>,
    next: u64,
    /// Accounts that asked lately.
    askers: BTreeMap<Name, Asker>,
}

/// An account that waits for loads, or did lately.
#[derive(Clone, Copy, Debug)]
struct Asker {
    /// Permits that it had, weighted by its rate, on a common scale with the others.
    served: u64,
    last: Moment,
    /// It has asked and not been answered with a permit since.
    is_waiting: bool,
}

/// Decision to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Granted(u64),
    /// Ask again after this time.
    RetryAfter(Duration),
}

/// How long it counts what permits an account has had.
const ASKER_MEMORY: Duration = Duration::from_secs(10);
/// How long an account that has asked is taken to wait still.
const WAITING_MEMORY: Duration = Duration::from_millis(200);
/// Weight of one permit for an account with a rate of one token a second.
const SERVED_UNIT: u64 = 1 << 32;
/// Shortest wait that a refused asker is told.
const MIN_WAIT: Duration = Duration::from_millis(20);

impl Limiter {
    pub fn new(now: Moment, budget: Budget, level: u64) -> Limiter {
        let share = Share { rate: budget.rate, capacity: budget.burst };
        Limiter {
            budget,
            bucket: Bucket::new(now, share, level),
            outstanding: BTreeMap::new(),
            next: 0,
            askers: BTreeMap::new(),
        }
    }

    /// Asks for a permit to start one load for an account. While several accounts
    /// ask, each permit goes to the one that has had the fewest for its `rate`.
    pub fn acquire(&mut self, now: Moment, account: &Name, rate: u64) -> Decision {
        self.note_asker(now, account);
        let patience = self.budget.permit_lifetime;
        self.outstanding.retain(|_, granted| now < *granted + patience);
        if self.budget.in_flight <= self.outstanding.len() {
            let oldest = self.outstanding.values().min().copied().unwrap_or(now);
            return Decision::RetryAfter(
                (oldest + patience).saturating_sub(now).min(MIN_WAIT * 10),
            );
        }
        if !self.is_next(account) {
            return Decision::RetryAfter(MIN_WAIT);
        }
        if self.bucket.take(now, 1) == 0 {
            return Decision::RetryAfter(self.bucket.time_until(now, 1).max(MIN_WAIT));
        }
        if let Some(asker) = self.askers.get_mut(account) {
            asker.served += SERVED_UNIT / rate.max(1);
            asker.is_waiting = false;
        }
        self.next += 1;
        self.outstanding.insert(self.next, now);
        Decision::Granted(self.next)
    }

    /// An account that comes back starts where the others are, without credit.
    fn note_asker(&mut self, now: Moment, account: &Name) {
        self.askers.retain(|_, asker| now <= asker.last + ASKER_MEMORY);
        let gone = |asker: &Asker| asker.last + WAITING_MEMORY < now;
        self.askers
            .values_mut()
            .filter(|asker| gone(asker))
            .for_each(|asker| asker.is_waiting = false);
        let least = self.askers.values().map(|asker| asker.served).min().unwrap_or(0);
        let asker = self.askers.entry(Arc::clone(account));
        let asker = asker.or_insert(Asker { served: least, last: now, is_waiting: true });
        asker.last = now;
        asker.is_waiting = true;
    }

    fn is_next(&self, account: &Name) -> bool {
        let waiting = self.askers.values().filter(|asker| asker.is_waiting);
        let least = waiting.map(|asker| asker.served).min().unwrap_or(0);
        self.askers.get(account).is_some_and(|asker| asker.served <= least)
    }

    /// The load under a permit has ended.
    pub fn release(&mut self, permit: u64) {
        self.outstanding.remove(&permit);
    }

    /// Loads that could start at once.
    pub fn level(&mut self, now: Moment) -> u64 {
        self.bucket.level(now)
    }
}
