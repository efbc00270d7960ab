//! How an account's limits are cut into shards.

use std::{sync::Arc, time::Duration};

use fleet::Name;

/// Longest time that a grant may be kept before it is spent.
const MAX_GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Smallest burst of a shard, in tokens.
const MIN_SHARD_BURST: u64 = 4096;
/// Share of the lifetime that the receiver leaves unused, against clock drift.
const DRIFT_MARGIN_DIVISOR: u32 = 50;

/// Limits of a whole account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens.
    pub burst: u64,
}

/// Limits of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens that the bucket holds at most: the shard's part of the burst, less
    /// what outstanding grants can carry over.
    pub capacity: u64,
}

impl Limits {
    /// How long a grant may be kept. A carry-over of at most half of the burst.
    pub fn grant_lifetime(&self) -> Duration {
        let half_burst = Duration::from_secs_f64(self.burst as f64 / (2 * self.rate.max(1)) as f64);
        half_burst.min(MAX_GRANT_LIFETIME)
    }

    /// Lifetime that the receiver counts from when it asked.
    pub fn spend_lifetime(&self) -> Duration {
        let lifetime = self.grant_lifetime();
        lifetime - lifetime / DRIFT_MARGIN_DIVISOR
    }

    /// Shards of the account's bucket, at most `most`. A small burst is not cut up,
    /// so that a reservation fits into one shard.
    pub fn shard_count(&self, most: u64) -> u64 {
        (self.burst / MIN_SHARD_BURST).clamp(1, most.max(1))
    }

    /// The part of shard `index` of `shards`. The parts add up to no more than the whole.
    pub fn share(&self, index: u64, shards: u64) -> Share {
        let rate = part(self.rate, index, shards);
        let burst = part(self.burst, index, shards);
        let carry = (rate as f64 * self.grant_lifetime().as_secs_f64()).ceil() as u64;
        Share { rate, capacity: burst.saturating_sub(carry) }
    }

    /// Largest single reservation that can ever be admitted.
    pub fn largest_reservation(&self, shards: u64) -> u64 {
        (0..shards).map(|index| self.share(index, shards).capacity).sum()
    }
}

/// Name of a shard's lease.
pub fn resource(account: &str, index: u64) -> Name {
    Arc::from(format!("quota/{account}/{index}"))
}

fn part(whole: u64, index: u64, parts: u64) -> u64 {
    whole / parts + u64::from(index < whole % parts)
}
