//! Token bucket with retroactive refunds.
//!
//! A reservation is charged in full at admission. When fewer tokens were used, the rest is
//! refunded as if it had never been charged: at most what the bucket could have kept without
//! overflowing at any time since the charge. Tokens used, counted at the time of admission,
//! therefore stay within capacity + rate · t over every interval of length t. A plain refund to
//! the current level does not guarantee this.
//!
//! The bucket is Turner's leaky bucket as a meter ("New directions in communications", IEEE
//! Communications Magazine 24(10), 1986); the refund rule is this project's own.

use std::{collections::VecDeque, time::Duration};

use fleet::lease::Moment;

use crate::share::Share;

/// Level units per token. A rate of one token per second adds one unit per microsecond.
const UNITS_PER_TOKEN: i64 = 1_000_000;
/// Largest debt of a bucket, in level units: a charge beyond it is no number of tokens.
const MAX_DEBT: i64 = i64::MAX / 4;
/// Time span that one recorded peak covers.
const PEAK_SPAN: Duration = Duration::from_millis(250);
/// Limit on recorded peaks; at one per [`PEAK_SPAN`], they cover 10 minutes. Charges older than the
/// oldest recorded peak are not refunded.
const MAX_PEAKS: usize = 2400;

/// Token bucket with a rate and a capacity.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    /// Level in units. Negative after a charge of more tokens than the bucket held.
    level: i64,
    updated_at: Moment,
    /// Highest levels of consecutive time spans, oldest first.
    peaks: VecDeque<Peak>,
    /// Start of the recorded history. Earlier charges are not refunded.
    history_start: Moment,
}

/// Highest level within a time span.
#[derive(Clone, Copy, Debug)]
struct Peak {
    from: Moment,
    until: Moment,
    level: i64,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens at `now`, capped at its capacity.
    pub fn new(now: Moment, share: Share, level: u64) -> Bucket {
        let level = units(level.min(share.capacity));
        Bucket { share, level, updated_at: now, peaks: VecDeque::new(), history_start: now }
    }

    /// Changes the rate and capacity. Tokens above the new capacity are lost, and charges made
    /// before the change are no longer refunded.
    pub fn resize(&mut self, now: Moment, share: Share) {
        if self.share == share {
            return;
        }
        self.advance(now);
        self.share = share;
        self.level = self.level.min(units(share.capacity));
        self.peaks.clear();
        self.history_start = now;
    }

    /// Returns the rate and capacity in force.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the whole tokens in the bucket, 0 if the level is negative.
    pub fn level(&mut self, now: Moment) -> u64 {
        self.advance(now);
        u64::try_from(self.level / UNITS_PER_TOKEN).unwrap_or(0)
    }

    /// Takes up to `requested` tokens and returns how many were taken.
    pub fn take(&mut self, now: Moment, requested: u64) -> u64 {
        let taken = requested.min(self.level(now));
        self.level -= units(taken);
        taken
    }

    /// Charges tokens in full, even if the bucket holds fewer, such as tokens used beyond their
    /// reservation. The level may become negative.
    pub fn charge(&mut self, now: Moment, amount: u64) {
        self.advance(now);
        self.level = self.level.saturating_sub(units(amount)).max(-MAX_DEBT);
    }

    /// Refunds tokens taken at `taken_at` and not used. Returns how many tokens were credited.
    pub fn refund(&mut self, now: Moment, amount: u64, taken_at: Moment) -> u64 {
        self.advance(now);
        if taken_at < self.history_start {
            return 0;
        }
        let peaks = self.peaks.iter().rev().take_while(|peak| taken_at < peak.until);
        let highest = peaks.map(|peak| peak.level).fold(self.level, i64::max);
        let room = units(self.share.capacity) - highest;
        if room < units(amount) {
            cov_mark::hit!(refund_limited_by_past_peak);
        }
        let credit = units(amount).min(room).max(0) / UNITS_PER_TOKEN * UNITS_PER_TOKEN;
        self.level += credit;
        let peaks = self.peaks.iter_mut().rev().take_while(|peak| taken_at < peak.until);
        peaks.for_each(|peak| peak.level += credit);
        (credit / UNITS_PER_TOKEN) as u64
    }

    /// Returns the time until the bucket holds `amount` tokens, if no others are taken.
    pub fn time_until(&mut self, now: Moment, amount: u64) -> Duration {
        self.advance(now);
        let missing = (units(amount) - self.level).max(0);
        Duration::from_micros(missing as u64 / self.share.rate.max(1))
    }

    /// Adds the tokens accrued since the last update.
    fn advance(&mut self, now: Moment) {
        let Some(elapsed) = now.checked_sub(self.updated_at).filter(|elapsed| !elapsed.is_zero())
        else {
            return;
        };
        let added = elapsed.as_micros().saturating_mul(u128::from(self.share.rate));
        let added = i64::try_from(added).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(added).min(units(self.share.capacity));
        self.record_peak(self.updated_at, now);
        self.updated_at = now;
    }

    /// Records the peak of a span between updates. The level only grows there, so the level at
    /// `until` is the peak.
    fn record_peak(&mut self, from: Moment, until: Moment) {
        let level = self.level;
        if let Some(last) = self.peaks.back_mut().filter(|last| until - last.from < PEAK_SPAN) {
            last.until = until;
            last.level = last.level.max(level);
            return;
        }
        self.peaks.push_back(Peak { from, until, level });
        if MAX_PEAKS < self.peaks.len() {
            let oldest = self.peaks.pop_front().expect("the queue was just filled");
            self.history_start = oldest.until;
        }
    }
}

/// Converts tokens to level units.
fn units(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX).saturating_mul(UNITS_PER_TOKEN)
}
