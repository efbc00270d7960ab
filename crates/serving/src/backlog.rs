//! What a backend server still has to read, as one entry instance knows it: its
//! own requests exactly, those of other entries from their last reports. The
//! server's pace is learnt from answers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use fleet::decay;

use crate::Moment;

/// Reports of other entries older than this count for nothing.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Weight of a new observation of the pace.
const PACE_WEIGHT: f64 = 0.2;
/// Bounds of the learnt pace, as a multiple of the usual time.
const PACE_RANGE: (f64, f64) = (0.7, 8.0);
/// Time in which half of what was learnt from answers is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of a new answer in the share of failed ones.
const FAILURE_WEIGHT: f64 = 0.15;

/// Work in flight at one backend server.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// Prompt tokens of own requests that have not answered yet.
    tokens: u64,
    /// Own requests that have not ended yet.
    requests: u32,
    others: HashMap<SocketAddr, Report>,
    pace: f64,
    pace_at: Moment,
    failures: f64,
    failures_at: Moment,
}

/// Another entry's work in flight at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    pub tokens: u64,
    pub requests: u32,
    pub at: Moment,
}

impl Default for Backlog {
    fn default() -> Backlog {
        Backlog {
            tokens: 0,
            requests: 0,
            others: HashMap::new(),
            pace: 1.0,
            pace_at: Moment::ZERO,
            failures: 0.0,
            failures_at: Moment::ZERO,
        }
    }
}

impl Backlog {
    /// A request was sent.
    pub fn begin(&mut self, tokens: u64) {
        self.tokens += tokens;
        self.requests += 1;
    }

    /// Its first event arrived, or it ended before.
    pub fn read(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    /// It ended.
    pub fn end(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Drops what other entries reported; those without work are left out of the next report.
    pub fn forget_others(&mut self) {
        self.others.clear();
    }

    pub fn report(&mut self, peer: SocketAddr, report: Report) {
        self.others.insert(peer, report);
    }

    /// Own tokens and requests.
    pub fn own(&self) -> (u64, u32) {
        (self.tokens, self.requests)
    }

    /// Tokens ahead of a new request.
    pub fn tokens(&self, now: Moment) -> u64 {
        self.tokens + self.fresh(now).map(|report| report.tokens).sum::<u64>()
    }

    /// Requests that the server is at.
    pub fn requests(&self, now: Moment) -> u32 {
        self.requests + self.fresh(now).map(|report| report.requests).sum::<u32>()
    }

    /// Learns from an answer that took `seen` where `expected` was usual.
    pub fn observe(&mut self, now: Moment, expected: Duration, seen: Duration) {
        let ratio = seen.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let pace = self.pace(now) * (1.0 - PACE_WEIGHT) + ratio * PACE_WEIGHT;
        self.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace_at = now;
    }

    /// Notes whether the server failed a request that it took.
    pub fn note_outcome(&mut self, now: Moment, is_failure: bool) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let share = self.failure_share(now);
        self.failures = share + (sample - share) * FAILURE_WEIGHT;
        self.failures_at = now;
    }

    /// Share of lately failed requests; it fades, so that a server is tried again.
    pub fn failure_share(&self, now: Moment) -> f64 {
        self.failures * decay::remaining(self.failures_at, now, HALF_LIFE)
    }

    /// Time that the server takes, as a multiple of the usual.
    pub fn pace(&self, now: Moment) -> f64 {
        1.0 + (self.pace - 1.0) * decay::remaining(self.pace_at, now, HALF_LIFE)
    }

    fn fresh(&self, now: Moment) -> impl Iterator<Item = &Report> {
        self.others.values().filter(move |report| now < report.at + REPORT_LIFETIME)
    }
}
