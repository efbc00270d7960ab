//! Rate limiting of one account over all entry instances: with sharded token buckets as in the
//! programs, or with a static split of the limits as the baselines have it.

use fleet::lease::Moment;
use quota::{
    bucket::Bucket,
    pool::{Part, Pool, Reservation, Source},
    share::{Limits, Share},
};

use crate::combination::RateLimiting;

/// Maximum number of shards of an account.
const MAX_SHARDS: u64 = 2;

/// Rate limiter of one account.
pub enum Account {
    /// Token buckets of the shards, and pools of grants, one for each entry instance.
    Sharded { limits: Limits, shards: Vec<Bucket>, pools: Vec<Pool> },
    /// Token buckets, one for each entry instance.
    Split { buckets: Vec<Bucket> },
}

/// Tokens reserved for an admitted request.
pub enum Admission {
    Sharded(Reservation),
    Split { entry: usize, amount: u64, taken_at: Moment },
}

impl Account {
    /// Creates a rate limiter with full buckets for a fleet with `entries` entry instances.
    pub fn new(rate_limiting: RateLimiting, limits: Limits, entries: usize) -> Account {
        match rate_limiting {
            RateLimiting::Sharded => {
                let count = limits.shard_count(MAX_SHARDS);
                let shard = |index| {
                    let share = limits.share(index, count);
                    Bucket::new(Moment::ZERO, share, share.capacity)
                };
                let shards = (0..count).map(shard).collect();
                Account::Sharded { limits, shards, pools: vec![Pool::default(); entries] }
            }
            RateLimiting::StaticSplit => {
                let count = entries as u64;
                let share = Share { rate: limits.rate / count, capacity: limits.burst / count };
                let bucket = Bucket::new(Moment::ZERO, share, share.capacity);
                Account::Split { buckets: vec![bucket; entries] }
            }
        }
    }

    /// Reserves `cost` tokens for a request at an entry instance, or returns `None` to reject it.
    pub fn admit(&mut self, now: Moment, entry: usize, cost: u64) -> Option<Admission> {
        match self {
            Account::Split { buckets } => {
                if buckets[entry].level(now) < cost {
                    return None;
                }
                let amount = buckets[entry].take(now, cost);
                Some(Admission::Split { entry, amount, taken_at: now })
            }
            Account::Sharded { limits, shards, pools } => {
                let pool = &mut pools[entry];
                for (index, shard) in shards.iter_mut().enumerate() {
                    if cost <= pool.available(now) {
                        break;
                    }
                    let lifetime = limits.spend_lifetime();
                    let requested = pool.draw_size(now, cost, lifetime);
                    let amount = shard.take(now, requested);
                    let source = Source { shard: index as u64, fence: 1, granted_at: now };
                    pool.deposit(now, lifetime, Part { source, amount });
                }
                pool.reserve(now, cost).map(Admission::Sharded)
            }
        }
    }

    /// Refunds the reserved tokens that a request did not use.
    pub fn settle(&mut self, now: Moment, admission: &Admission, used: u64) {
        match (self, admission) {
            (Account::Split { buckets }, Admission::Split { entry, amount, taken_at }) => {
                buckets[*entry].refund(now, amount.saturating_sub(used), *taken_at);
            }
            (Account::Sharded { shards, .. }, Admission::Sharded(reservation)) => {
                refund_parts(now, shards, &reservation.unused(used));
            }
            _ => {}
        }
    }

    /// Returns the idle grants of all entry instances to their shards.
    pub fn return_idle(&mut self, now: Moment) {
        if let Account::Sharded { shards, pools, .. } = self {
            for pool in pools {
                refund_parts(now, shards, &pool.take_idle(now));
            }
        }
    }
}

fn refund_parts(now: Moment, shards: &mut [Bucket], parts: &[Part]) {
    for part in parts {
        let shard = &mut shards[part.source.shard as usize];
        shard.refund(now, part.amount, part.source.granted_at);
    }
}
