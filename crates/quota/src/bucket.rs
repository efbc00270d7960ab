//! Token bucket with retroactive refunds.
//!
//! A reservation is charged in full when it is admitted. When the answer turns
//! out shorter, the rest is credited as if it had never been charged: at most
//! what the bucket could have kept without overflowing at any time since the
//! charge. So the tokens really used, counted at the time of admission, stay
//! within capacity + rate · t over every interval, which a plain refund into the
//! bucket does not achieve.
//!
//! The bucket is Turner's leaky bucket as a meter ("New directions in
//! communications", IEEE Communications Magazine 24(10), 1986); the refund rule
//! is this project's own.

use std::{collections::VecDeque, time::Duration};

use fleet::lease::Moment;

use crate::share::Share;

/// Level units in a token; a rate of one token a second adds one a microsecond.
const UNITS_PER_TOKEN: i64 = 1_000_000;
/// Time covered by one remembered peak.
const PEAK_SPAN: Duration = Duration::from_millis(250);
/// Peaks remembered: refunds of charges older than this many spans are not credited.
const KEPT_PEAKS: usize = 2400;

/// Bucket of one shard.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    /// Negative after answers that were longer than reserved.
    level: i64,
    updated: Moment,
    /// Highest level by stretch of time, oldest first.
    peaks: VecDeque<Peak>,
    /// Charges before this moment are not refunded.
    remembered_from: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Peak {
    from: Moment,
    until: Moment,
    level: i64,
}

impl Bucket {
    /// A bucket that holds `level` tokens at `now`, or as many as fit.
    pub fn new(now: Moment, share: Share, level: u64) -> Bucket {
        let level = units(level.min(share.capacity));
        Bucket { share, level, updated: now, peaks: VecDeque::new(), remembered_from: now }
    }

    /// Changes the limits; tokens that no longer fit are lost.
    pub fn resize(&mut self, now: Moment, share: Share) {
        if self.share == share {
            return;
        }
        self.advance(now);
        self.share = share;
        self.level = self.level.min(units(share.capacity));
        self.peaks.clear();
        self.remembered_from = now;
    }

    /// The limits in force.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Whole tokens in the bucket.
    pub fn level(&mut self, now: Moment) -> u64 {
        self.advance(now);
        u64::try_from(self.level / UNITS_PER_TOKEN).unwrap_or(0)
    }

    /// Takes up to `want` tokens.
    pub fn take(&mut self, now: Moment, want: u64) -> u64 {
        let taken = want.min(self.level(now));
        self.level -= units(taken);
        taken
    }

    /// Charges tokens that were used beyond their reservation.
    pub fn charge(&mut self, now: Moment, amount: u64) {
        self.advance(now);
        self.level -= units(amount);
    }

    /// Credits tokens taken at `taken_at` and not used; returns how many were credited.
    pub fn refund(&mut self, now: Moment, amount: u64, taken_at: Moment) -> u64 {
        self.advance(now);
        if taken_at < self.remembered_from {
            return 0;
        }
        let since = self.peaks.iter().rev().take_while(|peak| taken_at < peak.until);
        let highest = since.map(|peak| peak.level).fold(self.level, i64::max);
        let room = units(self.share.capacity) - highest;
        if room < units(amount) {
            cov_mark::hit!(refund_limited_by_the_past);
        }
        let credit = units(amount).min(room).max(0) / UNITS_PER_TOKEN * UNITS_PER_TOKEN;
        self.level += credit;
        let since = self.peaks.iter_mut().rev().take_while(|peak| taken_at < peak.until);
        since.for_each(|peak| peak.level += credit);
        (credit / UNITS_PER_TOKEN) as u64
    }

    /// Time until `amount` tokens are in the bucket, if nothing else is taken.
    pub fn time_until(&mut self, now: Moment, amount: u64) -> Duration {
        self.advance(now);
        let missing = (units(amount) - self.level).max(0);
        Duration::from_micros(missing as u64 / self.share.rate.max(1))
    }

    fn advance(&mut self, now: Moment) {
        let Some(elapsed) = now.checked_sub(self.updated).filter(|elapsed| !elapsed.is_zero())
        else {
            return;
        };
        let added = elapsed.as_micros().saturating_mul(u128::from(self.share.rate));
        let added = i64::try_from(added).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(added).min(units(self.share.capacity));
        self.remember(self.updated, now);
        self.updated = now;
    }

    /// The level only grew in this stretch, so its end is its peak.
    fn remember(&mut self, from: Moment, until: Moment) {
        let level = self.level;
        if let Some(last) = self.peaks.back_mut().filter(|last| until - last.from < PEAK_SPAN) {
            last.until = until;
            last.level = last.level.max(level);
            return;
        }
        self.peaks.push_back(Peak { from, until, level });
        if KEPT_PEAKS < self.peaks.len() {
            let oldest = self.peaks.pop_front().expect("the queue was just filled");
            self.remembered_from = oldest.until;
        }
    }
}

fn units(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX).saturating_mul(UNITS_PER_TOKEN)
}
