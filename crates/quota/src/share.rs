//! Limits of a client account and their division into shards.
//!
//! The shares of all shards never add up to more than the account's limits. Outstanding grants
//! carry tokens over: tokens granted earlier can be spent on top of a bucket that has filled up
//! again. The capacity of each share leaves room for them.

use std::{sync::Arc, time::Duration};

use fleet::Name;

/// Upper bound on the lifetime of a grant.
const MAX_GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Smallest burst of a shard when an account is split into several.
const MIN_SHARD_BURST_TOKENS: u64 = 4096;
/// The receiver of a grant does not use the last 1 / `DRIFT_MARGIN_DIVISOR` of its lifetime, as a
/// margin for clock drift.
const DRIFT_MARGIN_DIVISOR: u32 = 50;

/// Limits of a client account over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
}

/// Rate and capacity of a token bucket, such as a shard's share of an account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Tokens per second.
    pub rate: u64,
    /// Largest number of tokens in the bucket. For a shard, its part of the burst less the tokens
    /// that outstanding grants can carry over.
    pub capacity: u64,
}

impl Limits {
    /// Returns the lifetime of a grant. It limits the tokens that grants carry over to half of the
    /// burst.
    pub fn grant_lifetime(&self) -> Duration {
        let half_burst = Duration::from_secs_f64(self.burst as f64 / (2 * self.rate.max(1)) as f64);
        half_burst.min(MAX_GRANT_LIFETIME)
    }

    /// Returns the lifetime that the receiver of a grant counts from the time of its request.
    pub fn spend_lifetime(&self) -> Duration {
        let lifetime = self.grant_lifetime();
        lifetime - lifetime / DRIFT_MARGIN_DIVISOR
    }

    /// Returns the number of shards of the account's bucket, at most `max_count`. A small burst is
    /// not split, so that a reservation fits into one shard.
    pub fn shard_count(&self, max_count: u64) -> u64 {
        (self.burst / MIN_SHARD_BURST_TOKENS).clamp(1, max_count.max(1))
    }

    /// Returns the share of shard `index` of `shards`. The shares add up to at most the limits.
    pub fn share(&self, index: u64, shards: u64) -> Share {
        let rate = part(self.rate, index, shards);
        let burst = part(self.burst, index, shards);
        let carry_over = (rate as f64 * self.grant_lifetime().as_secs_f64()).ceil() as u64;
        Share { rate, capacity: burst.saturating_sub(carry_over) }
    }

    /// Returns the largest reservation that can ever be admitted, in tokens.
    pub fn largest_reservation(&self, shards: u64) -> u64 {
        (0..shards).map(|index| self.share(index, shards).capacity).sum()
    }
}

/// Returns the resource name of a shard's lease.
pub fn resource(account: &str, index: u64) -> Name {
    Arc::from(format!("quota/{account}/{index}"))
}

/// Returns part `index` when `total` is divided into `parts` that differ by at most one.
fn part(total: u64, index: u64, parts: u64) -> u64 {
    total / parts + u64::from(index < total % parts)
}
