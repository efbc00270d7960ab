//! Grants of tokens that one entry instance holds for one account.
//!
//! Requests reserve tokens from the pool. Idle grants and unused parts of reservations are
//! returned to the holders that granted them. A grant that has expired cannot be spent.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use fleet::{decay, lease::Moment};

/// Half-life of the exponentially decaying demand estimate.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Fraction of its lifetime after which an unspent grant is returned.
const IDLE_AFTER_NUMERATOR: u32 = 1;
const IDLE_AFTER_DENOMINATOR: u32 = 2;
/// Upper bound of a draw, as a multiple of the reservation that caused it.
const MAX_DRAW_FACTOR: u64 = 4;

/// Origin of granted tokens. A refund names it, so that the holder can match its lease and the
/// time of the charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// Index of the shard that granted the tokens.
    pub shard: u64,
    /// Fencing token of the holder's lease.
    pub fence: u64,
    /// Time of the grant on the holder's clock.
    pub granted_at: Moment,
}

/// Tokens granted by one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub source: Source,
    pub amount: u64,
}

/// Tokens reserved for one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    pub parts: SmallVec<[Part; 2]>,
}

/// Unspent part of a grant.
#[derive(Clone, Copy, Debug)]
struct Grant {
    part: Part,
    requested_at: Moment,
    expires_at: Moment,
}

/// Pool of the unspent grants for one account.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// In the order of their deposit.
    grants: VecDeque<Grant>,
    /// Exponentially decayed sum of the requested tokens as of `demand_updated_at`.
    demand: f64,
    demand_updated_at: Moment,
}

impl Pool {
    /// Adds a grant. Its lifetime starts at `requested_at`, before the holder granted it, so that a
    /// message that arrives late cannot extend it.
    pub fn deposit(&mut self, requested_at: Moment, lifetime: Duration, part: Part) {
        if part.amount == 0 {
            return;
        }
        self.grants.push_back(Grant { part, requested_at, expires_at: requested_at + lifetime });
    }

    /// Returns the tokens that can be spent at `now`.
    pub fn available(&self, now: Moment) -> u64 {
        let usable = self.grants.iter().filter(|grant| now < grant.expires_at);
        usable.map(|grant| grant.part.amount).sum()
    }

    /// Reserves `cost` tokens, or returns `None` if fewer are available.
    pub fn reserve(&mut self, now: Moment, cost: u64) -> Option<Reservation> {
        self.grants.retain(|grant| now < grant.expires_at);
        if self.available(now) < cost {
            return None;
        }
        let mut reservation = Reservation::default();
        let mut missing = cost;
        while 0 < missing {
            let grant = self.grants.front_mut()?;
            let amount = missing.min(grant.part.amount);
            reservation.parts.push(Part { source: grant.part.source, amount });
            missing -= amount;
            grant.part.amount -= amount;
            if grant.part.amount == 0 {
                self.grants.pop_front();
            }
        }
        Some(reservation)
    }

    /// Returns how many tokens to draw for a reservation of `cost` and the demand expected within
    /// half of a grant's `lifetime`.
    pub fn draw_size(&mut self, now: Moment, cost: u64, lifetime: Duration) -> u64 {
        self.record_demand(now, cost);
        let time_constant = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let expected = self.demand / time_constant * lifetime.as_secs_f64() / 2.0;
        let wanted = (expected as u64).clamp(cost, cost.saturating_mul(MAX_DRAW_FACTOR));
        wanted.saturating_sub(self.available(now)).max(cost.saturating_sub(self.available(now)))
    }

    /// Removes and returns the idle grants, to be returned to their holders.
    pub fn take_idle(&mut self, now: Moment) -> SmallVec<[Part; 2]> {
        let is_idle = |grant: &Grant| {
            let lifetime = grant.expires_at - grant.requested_at;
            grant.requested_at + lifetime * IDLE_AFTER_NUMERATOR / IDLE_AFTER_DENOMINATOR <= now
        };
        let idle =
            self.grants.iter().filter(|grant| is_idle(grant)).map(|grant| grant.part).collect();
        self.grants.retain(|grant| !is_idle(grant));
        idle
    }

    fn record_demand(&mut self, now: Moment, cost: u64) {
        let remaining = decay::remaining(self.demand_updated_at, now, DEMAND_HALF_LIFE);
        self.demand = self.demand * remaining + cost as f64;
        self.demand_updated_at = now;
    }
}

impl Reservation {
    /// Returns the number of reserved tokens.
    pub fn amount(&self) -> u64 {
        self.parts.iter().map(|part| part.amount).sum()
    }

    /// Returns the tokens to refund after `used` tokens were used. The latest grants are refunded
    /// first, because their bucket had the least time to fill up since the charge.
    pub fn unused(&self, used: u64) -> SmallVec<[Part; 2]> {
        let mut excess = self.amount().saturating_sub(used);
        let mut parts = SmallVec::new();
        for part in self.parts.iter().rev() {
            let amount = excess.min(part.amount);
            excess -= amount;
            if 0 < amount {
                parts.push(Part { source: part.source, amount });
            }
        }
        parts
    }
}
