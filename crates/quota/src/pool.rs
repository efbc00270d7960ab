//! Grants that one entry instance holds for one account.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use fleet::{decay, lease::Moment};

/// Half-life of the demand estimate.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of a lifetime after which an unspent grant goes back.
const RETURN_AFTER_NUMERATOR: u32 = 1;
const RETURN_AFTER_DENOMINATOR: u32 = 2;
/// Upper bound of a draw, in multiples of the reservation that caused it.
const MAX_DRAW_FACTOR: u64 = 4;

/// Where a grant came from, as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    pub shard: u64,
    /// Fencing number of the holder's lease.
    pub fence: u64,
    /// The holder's own time of the grant.
    pub granted_at: Moment,
}

/// Tokens from one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub source: Source,
    pub amount: u64,
}

/// Tokens set aside for one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    pub parts: SmallVec<[Part; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct Lot {
    part: Part,
    asked: Moment,
    expires: Moment,
}

/// Unspent grants, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    lots: VecDeque<Lot>,
    demand: f64,
    demand_at: Moment,
}

impl Pool {
    /// Takes in a grant that was asked for at `asked`; its lifetime counts from there.
    pub fn deposit(&mut self, asked: Moment, lifetime: Duration, part: Part) {
        if part.amount == 0 {
            return;
        }
        self.lots.push_back(Lot { part, asked, expires: asked + lifetime });
    }

    /// Tokens that can be spent at `now`.
    pub fn available(&self, now: Moment) -> u64 {
        let usable = self.lots.iter().filter(|lot| now < lot.expires);
        usable.map(|lot| lot.part.amount).sum()
    }

    /// Reserves `cost` tokens, or nothing.
    pub fn reserve(&mut self, now: Moment, cost: u64) -> Option<Reservation> {
        self.lots.retain(|lot| now < lot.expires);
        if self.available(now) < cost {
            return None;
        }
        let mut reservation = Reservation::default();
        let mut missing = cost;
        while 0 < missing {
            let lot = self.lots.front_mut()?;
            let amount = missing.min(lot.part.amount);
            reservation.parts.push(Part { source: lot.part.source, amount });
            missing -= amount;
            lot.part.amount -= amount;
            if lot.part.amount == 0 {
                self.lots.pop_front();
            }
        }
        Some(reservation)
    }

    /// How much to draw so that a reservation of `cost` and those soon after it fit.
    pub fn draw_size(&mut self, now: Moment, cost: u64, lifetime: Duration) -> u64 {
        self.note_demand(now, cost);
        let seconds = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let ahead = self.demand / seconds * lifetime.as_secs_f64() / 2.0;
        let wanted = (ahead as u64).clamp(cost, cost.saturating_mul(MAX_DRAW_FACTOR));
        wanted.saturating_sub(self.available(now)).max(cost.saturating_sub(self.available(now)))
    }

    /// Takes out grants that have lain unspent, to be given back.
    pub fn take_idle(&mut self, now: Moment) -> SmallVec<[Part; 2]> {
        let is_idle = |lot: &Lot| {
            let lifetime = lot.expires - lot.asked;
            lot.asked + lifetime * RETURN_AFTER_NUMERATOR / RETURN_AFTER_DENOMINATOR <= now
        };
        let idle = self.lots.iter().filter(|lot| is_idle(lot)).map(|lot| lot.part).collect();
        self.lots.retain(|lot| !is_idle(lot));
        idle
    }

    fn note_demand(&mut self, now: Moment, cost: u64) {
        let remaining = decay::remaining(self.demand_at, now, DEMAND_HALF_LIFE);
        self.demand = self.demand * remaining + cost as f64;
        self.demand_at = now;
    }
}

impl Reservation {
    /// Tokens set aside.
    pub fn amount(&self) -> u64 {
        self.parts.iter().map(|part| part.amount).sum()
    }

    /// What goes back when `used` tokens were used in the end. The latest grants
    /// go back first: they have the least history to fit into.
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
