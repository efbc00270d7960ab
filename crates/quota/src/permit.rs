//! Load budget of the weight store: limits the rate of adapter loads and the loads in flight over
//! the whole fleet.
//!
//! One instance holds the lease on the budget and grants permits. While several accounts request
//! permits, each permit goes to the account with the fewest permits relative to its rate.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fleet::{Name, lease::Moment};

use crate::{bucket::Bucket, share::Share};

/// Resource name of the lease on the load budget.
pub const RESOURCE: &str = "loads";

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Loads per second.
    pub rate: u64,
    /// Loads that may start at the same time.
    pub burst: u64,
    /// Maximum number of loads in flight over the whole fleet.
    pub in_flight: usize,
    /// Time after which a permit that was not released no longer counts as in flight.
    pub permit_lifetime: Duration,
}

/// Grants load permits within the budget. The holder of the lease runs it.
#[derive(Clone, Debug)]
pub struct Limiter {
    budget: Budget,
    bucket: Bucket,
    /// Permits in flight with the time of their grant.
    in_flight: BTreeMap<u64, Moment>,
    last_permit: u64,
    /// Accounts that requested permits recently.
    usage: BTreeMap<Name, Usage>,
}

/// Recent use of the load budget by one account.
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Permits granted, each divided by the account's rate, so that accounts are comparable.
    served: u64,
    last_request: Moment,
    /// Whether the account has requested a permit within [`WAITING_TIMEOUT`] and not been granted
    /// one since.
    is_waiting: bool,
}

/// Decision on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The load may start under this permit.
    Granted(u64),
    /// No permit is available; retry after this time.
    RetryAfter(Duration),
}

/// Time since its last request after which an account's usage is discarded.
const USAGE_RETENTION: Duration = Duration::from_secs(10);
/// Time since its last request after which an account is no longer assumed to be waiting.
const WAITING_TIMEOUT: Duration = Duration::from_millis(200);
/// Limit on the permits under one lease.
const PERMITS_PER_LEASE: u64 = 1 << 24;
/// Weight of one permit for an account with a rate of one token per second.
const PERMIT_WEIGHT: u64 = 1 << 32;
/// Shortest retry delay for an account.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Limiter {
    /// Creates a limiter under the lease with the fencing token `fence`, that may grant up to `level`
    /// permits at once, at most the burst. The ids of its permits differ from those under other
    /// leases, so that a late release does not end one of these.
    pub fn new(now: Moment, budget: Budget, level: u64, fence: u64) -> Limiter {
        let share = Share { rate: budget.rate, capacity: budget.burst };
        Limiter {
            budget,
            bucket: Bucket::new(now, share, level),
            in_flight: BTreeMap::new(),
            last_permit: fence.wrapping_mul(PERMITS_PER_LEASE),
            usage: BTreeMap::new(),
        }
    }

    /// Requests a permit to start one load for an account. While several accounts request
    /// permits, each goes to the account with the fewest permits relative to its `rate`.
    pub fn acquire(&mut self, now: Moment, account: &Name, rate: u64) -> Decision {
        self.record_request(now, account);
        let lifetime = self.budget.permit_lifetime;
        self.in_flight.retain(|_, granted_at| now < *granted_at + lifetime);
        if self.budget.in_flight <= self.in_flight.len() {
            let oldest = self.in_flight.values().min().copied().unwrap_or(now);
            // Permits may be released before they expire, so retries come earlier.
            let expiry = (oldest + lifetime).saturating_sub(now);
            return Decision::RetryAfter(expiry.clamp(MIN_RETRY_DELAY, MIN_RETRY_DELAY * 10));
        }
        if !self.is_least_served(account) {
            return Decision::RetryAfter(MIN_RETRY_DELAY);
        }
        if self.bucket.take(now, 1) == 0 {
            return Decision::RetryAfter(self.bucket.time_until(now, 1).max(MIN_RETRY_DELAY));
        }
        if let Some(usage) = self.usage.get_mut(account) {
            usage.served += PERMIT_WEIGHT / rate.max(1);
            usage.is_waiting = false;
        }
        self.last_permit += 1;
        self.in_flight.insert(self.last_permit, now);
        Decision::Granted(self.last_permit)
    }

    /// Records a request of an account. A new or returning account starts at the lowest usage
    /// among the others, so that it gains no credit for the time it was idle.
    fn record_request(&mut self, now: Moment, account: &Name) {
        self.usage.retain(|_, usage| now <= usage.last_request + USAGE_RETENTION);
        let has_timed_out = |usage: &Usage| usage.last_request + WAITING_TIMEOUT < now;
        self.usage
            .values_mut()
            .filter(|usage| has_timed_out(usage))
            .for_each(|usage| usage.is_waiting = false);
        let least = self.usage.values().map(|usage| usage.served).min().unwrap_or(0);
        let usage = self.usage.entry(Arc::clone(account));
        let usage = usage.or_insert(Usage { served: least, last_request: now, is_waiting: true });
        usage.last_request = now;
        usage.is_waiting = true;
    }

    /// Returns whether no waiting account has been served less.
    fn is_least_served(&self, account: &Name) -> bool {
        let waiting = self.usage.values().filter(|usage| usage.is_waiting);
        let least = waiting.map(|usage| usage.served).min().unwrap_or(0);
        self.usage.get(account).is_some_and(|usage| usage.served <= least)
    }

    /// Releases a permit after its load has ended.
    pub fn release(&mut self, permit: u64) {
        self.in_flight.remove(&permit);
    }

    /// Returns how many loads the rate limit allows to start at once.
    pub fn level(&mut self, now: Moment) -> u64 {
        self.bucket.level(now)
    }
}
