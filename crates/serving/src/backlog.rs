//! Work in flight at one backend server, as one entry instance knows it.
//!
//! An entry instance counts its own requests exactly and learns the work of its
//! peers from their latest reports. It also estimates the server's slowdown and
//! failure rate from past responses; both estimates decay, so that a server that
//! is avoided because of them is tried again.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use fleet::decay;

use crate::Moment;

/// Age from which a peer's report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Weight of a new sample in the moving average of the slowdown.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.2;
/// Minimum and maximum of the estimated slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.7, 8.0);
/// Time after a response for which the estimate of the slowdown counts as measured.
const MEASURED_PERIOD: Duration = Duration::from_secs(2);
/// Half-life of the slowdown and of the failure rate.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of a new sample in the moving average of the failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.15;

/// Work in flight at one backend server.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// Prompt tokens of this instance's requests that wait for their first event.
    local_tokens: u64,
    /// This instance's requests in flight.
    local_requests: u32,
    peer_reports: HashMap<SocketAddr, Report>,
    /// Slowdown as of `slowdown_at`.
    slowdown: f64,
    slowdown_at: Moment,
    /// Failure rate as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Moment,
}

/// Work of one peer in flight at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Prompt tokens of requests that wait for their first event.
    pub tokens: u64,
    /// Requests in flight.
    pub requests: u32,
    /// Time at which the report was received.
    pub at: Moment,
}

impl Default for Backlog {
    fn default() -> Backlog {
        Backlog {
            local_tokens: 0,
            local_requests: 0,
            peer_reports: HashMap::new(),
            slowdown: 1.0,
            slowdown_at: Moment::ZERO,
            failure_rate: 0.0,
            failure_rate_at: Moment::ZERO,
        }
    }
}

impl Backlog {
    /// Records that this instance sent a request with a prompt of `tokens`.
    pub fn record_send(&mut self, tokens: u64) {
        self.local_tokens += tokens;
        self.local_requests += 1;
    }

    /// Records that the first event of a request arrived, or that it ended without one.
    pub fn record_first_event(&mut self, tokens: u64) {
        self.local_tokens = self.local_tokens.saturating_sub(tokens);
    }

    /// Records that a request ended.
    pub fn record_end(&mut self) {
        self.local_requests = self.local_requests.saturating_sub(1);
    }

    /// Clears the reports of all peers. A new set of reports omits peers without work, so it
    /// replaces the old set instead of updating it.
    pub fn clear_peer_reports(&mut self) {
        self.peer_reports.clear();
    }

    pub fn record_peer_report(&mut self, peer: SocketAddr, report: Report) {
        self.peer_reports.insert(peer, report);
    }

    /// Returns this instance's outstanding prompt tokens and its requests in flight.
    pub fn local_work(&self) -> (u64, u32) {
        (self.local_tokens, self.local_requests)
    }

    /// Returns the outstanding prompt tokens of all entry instances.
    pub fn outstanding_tokens(&self, now: Moment) -> u64 {
        self.local_tokens + self.fresh_reports(now).map(|report| report.tokens).sum::<u64>()
    }

    /// Returns the requests in flight of all entry instances.
    pub fn requests_in_flight(&self, now: Moment) -> u32 {
        self.local_requests + self.fresh_reports(now).map(|report| report.requests).sum::<u32>()
    }

    /// Updates the slowdown with a request whose first event took `actual`, while a server without
    /// slowdown typically takes `typical`.
    pub fn record_latency(&mut self, now: Moment, typical: Duration, actual: Duration) {
        // At least 1 ms, so that the ratio stays finite.
        let ratio = actual.as_secs_f64() / typical.as_secs_f64().max(0.001);
        let slowdown =
            self.slowdown(now) * (1.0 - SLOWDOWN_SAMPLE_WEIGHT) + ratio * SLOWDOWN_SAMPLE_WEIGHT;
        self.slowdown = slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown_at = now;
    }

    /// Updates the failure rate with the outcome of a request that the server accepted.
    pub fn record_outcome(&mut self, now: Moment, is_failure: bool) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (sample - rate) * FAILURE_SAMPLE_WEIGHT;
        self.failure_rate_at = now;
    }

    /// Returns the share of requests that failed recently, from 0 to 1. It decays towards 0, so
    /// that a server is tried again.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate * decay::remaining(self.failure_rate_at, now, HALF_LIFE)
    }

    /// Returns the server's response time as a multiple of the typical one. It decays towards 1.
    pub fn slowdown(&self, now: Moment) -> f64 {
        1.0 + (self.slowdown - 1.0) * decay::remaining(self.slowdown_at, now, HALF_LIFE)
    }

    /// Returns whether the slowdown was measured lately.
    pub fn is_measured(&self, now: Moment) -> bool {
        !self.slowdown_at.is_zero() && now < self.slowdown_at + MEASURED_PERIOD
    }

    fn fresh_reports(&self, now: Moment) -> impl Iterator<Item = &Report> {
        self.peer_reports.values().filter(move |report| now < report.at + REPORT_LIFETIME)
    }
}
