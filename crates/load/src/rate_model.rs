//! Admission by rate, over all entry instances.

use fleet::lease::Moment;
use quota::{
    bucket::Bucket,
    pool::{Part, Pool, Reservation, Source},
    share::{Limits, Share},
};

use crate::combination::RateLimiting;

const MAX_SHARDS: u64 = 2;

/// Tokens of one account.
pub enum Account {
    Sharded { limits: Limits, shards: Vec<Bucket>, pools: Vec<Pool> },
    Split { buckets: Vec<Bucket> },
}

/// What was set aside for a request.
pub enum Admission {
    Sharded(Reservation),
    Split { entry: usize, amount: u64, at: Moment },
}

impl Account {
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
                let parts = entries as u64;
                let share = Share { rate: limits.rate / parts, capacity: limits.burst / parts };
                let bucket = Bucket::new(Moment::ZERO, share, share.capacity);
                Account::Split { buckets: vec![bucket; entries] }
            }
        }
    }

    /// Sets tokens aside, or refuses.
    pub fn admit(&mut self, now: Moment, entry: usize, cost: u64) -> Option<Admission> {
        match self {
            Account::Split { buckets } => {
                if buckets[entry].level(now) < cost {
                    return None;
                }
                let amount = buckets[entry].take(now, cost);
                Some(Admission::Split { entry, amount, at: now })
            }
            Account::Sharded { limits, shards, pools } => {
                let pool = &mut pools[entry];
                for (index, shard) in shards.iter_mut().enumerate() {
                    if cost <= pool.available(now) {
                        break;
                    }
                    let lifetime = limits.spend_lifetime();
                    let want = pool.draw_size(now, cost, lifetime);
                    let amount = shard.take(now, want);
                    let source = Source { shard: index as u64, fence: 1, granted_at: now };
                    pool.deposit(now, lifetime, Part { source, amount });
                }
                pool.reserve(now, cost).map(Admission::Sharded)
            }
        }
    }

    /// Gives back what was not used.
    pub fn settle(&mut self, now: Moment, admission: &Admission, used: u64) {
        match (self, admission) {
            (Account::Split { buckets }, Admission::Split { entry, amount, at }) => {
                buckets[*entry].refund(now, amount.saturating_sub(used), *at);
            }
            (Account::Sharded { shards, .. }, Admission::Sharded(reservation)) => {
                give_back(now, shards, &reservation.unused(used));
            }
            _ => {}
        }
    }

    /// Gives back grants that nobody spent.
    pub fn return_idle(&mut self, now: Moment) {
        if let Account::Sharded { shards, pools, .. } = self {
            for pool in pools {
                give_back(now, shards, &pool.take_idle(now));
            }
        }
    }
}

fn give_back(now: Moment, shards: &mut [Bucket], parts: &[Part]) {
    for part in parts {
        let shard = &mut shards[part.source.shard as usize];
        shard.refund(now, part.amount, part.source.granted_at);
    }
}
