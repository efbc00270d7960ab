//! Measures of a simulation, computed from the outcome of each request: stalls on adapter loads,
//! batch efficiency, fairness between accounts and wrongful rejections.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use fleet::lease::Moment;

use crate::workload::{self, Deployment, Request};

/// Highest value of the histograms, in milliseconds.
const MAX_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of a request. A time is `None` if the request did not get that far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The rate limit of the account rejected the request.
    pub is_rejected: bool,
    /// Start of the wait for an adapter load.
    pub stalled_at: Option<Moment>,
    pub first_token_at: Option<Moment>,
    pub ended_at: Option<Moment>,
}

/// Measures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Measures {
    pub requests: u64,
    /// Number of requests that waited for an adapter load.
    pub stalled: u64,
    /// Percentiles of the time from the start of that wait to the first token.
    pub stall_p50_ms: u64,
    pub stall_p95_ms: u64,
    pub stall_p99_ms: u64,
    /// Decoded tokens per step, as a fraction of the maximum batch size.
    pub batch_efficiency: f64,
    /// Lowest ratio of served to entitled tokens among the accounts.
    pub worst_served: f64,
    /// 95th percentile of the time to the first token for each account.
    pub first_p95_ms: Vec<u64>,
    /// Number of rejected requests of accounts that stayed within their rate and burst.
    pub wrongful_refusals: u64,
    /// Number of rejected requests.
    pub refusals: u64,
}

impl Measures {
    /// Computes the measures from the outcomes of the requests, and from the decoded tokens and
    /// the decoding steps of all servers.
    pub fn new(
        deployment: &Deployment,
        requests: &[Request],
        outcomes: &[Outcome],
        tokens: u64,
        steps: u64,
    ) -> Measures {
        let mut stalls = histogram();
        let accounts = 1 + requests.iter().map(|request| request.account).max().unwrap_or(0);
        let mut first_token_times = vec![histogram(); accounts];
        for (request, outcome) in requests.iter().zip(outcomes) {
            if let (Some(stalled_at), Some(first_token_at)) =
                (outcome.stalled_at, outcome.first_token_at)
            {
                record(&mut stalls, first_token_at - stalled_at);
            }
            if let Some(first_token_at) = outcome.first_token_at {
                record(&mut first_token_times[request.account], first_token_at - request.arrived);
            }
        }
        Measures {
            requests: requests.len() as u64,
            stalled: outcomes.iter().filter(|outcome| outcome.stalled_at.is_some()).count() as u64,
            stall_p50_ms: stalls.value_at_quantile(0.50),
            stall_p95_ms: stalls.value_at_quantile(0.95),
            stall_p99_ms: stalls.value_at_quantile(0.99),
            batch_efficiency: tokens as f64 / (steps.max(1) * deployment.max_batch as u64) as f64,
            worst_served: worst_served(deployment, requests, outcomes, accounts),
            first_p95_ms: first_token_times
                .iter()
                .map(|times| times.value_at_quantile(0.95))
                .collect(),
            wrongful_refusals: wrongful_refusals(deployment, requests, outcomes, accounts),
            refusals: outcomes.iter().filter(|outcome| outcome.is_rejected).count() as u64,
        }
    }

    /// Returns the largest 95th percentile of the time to the first token among the accounts that
    /// did not flood, in milliseconds.
    pub fn worst_first_p95_ms(&self) -> u64 {
        let others = self.first_p95_ms.iter().enumerate();
        let others = others.filter(|(account, _)| *account != workload::FLOODING_ACCOUNT);
        others.map(|(_, p95_ms)| *p95_ms).max().unwrap_or(0)
    }
}

/// Returns the lowest ratio of served to entitled tokens among the accounts. An account is entitled
/// to the requests that a single token bucket over the whole fleet would admit.
fn worst_served(
    deployment: &Deployment,
    requests: &[Request],
    outcomes: &[Outcome],
    accounts: usize,
) -> f64 {
    let mut worst = f64::INFINITY;
    for account in 0..accounts {
        let mut ideal = IdealBucket::new(deployment, account);
        let (mut entitled, mut served) = (0, 0);
        for (request, outcome) in requests.iter().zip(outcomes) {
            if request.account != account {
                continue;
            }
            let used = request.prompt_tokens + request.output_tokens;
            entitled += if ideal.admits(request) { used } else { 0 };
            served += if outcome.ended_at.is_some() { used } else { 0 };
        }
        worst = worst.min(served as f64 / entitled.max(1) as f64);
    }
    worst
}

/// Returns the number of rejected requests of those accounts whose requests a single token bucket
/// over the whole fleet would all admit.
fn wrongful_refusals(
    deployment: &Deployment,
    requests: &[Request],
    outcomes: &[Outcome],
    accounts: usize,
) -> u64 {
    let mut wrongful = 0;
    for account in 0..accounts {
        let account_requests =
            || requests.iter().zip(outcomes).filter(|(request, _)| request.account == account);
        let mut ideal = IdealBucket::new(deployment, account);
        let is_within_rate = account_requests().all(|(request, _)| ideal.admits(request));
        if is_within_rate {
            wrongful +=
                account_requests().filter(|(_, outcome)| outcome.is_rejected).count() as u64;
        }
    }
    wrongful
}

/// Single token bucket of an account over the whole fleet, which charges each request its actual
/// tokens on arrival.
struct IdealBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Moment,
}

impl IdealBucket {
    fn new(deployment: &Deployment, account: usize) -> IdealBucket {
        let limits = workload::limits(deployment, account);
        let burst = limits.burst as f64;
        IdealBucket { rate: limits.rate as f64, burst, level: burst, updated_at: Moment::ZERO }
    }

    fn admits(&mut self, request: &Request) -> bool {
        let elapsed = (request.arrived - self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.updated_at = request.arrived;
        let used = (request.prompt_tokens + request.output_tokens) as f64;
        let is_admitted = used <= self.level;
        if is_admitted {
            self.level -= used;
        }
        is_admitted
    }
}

/// Returns an empty histogram of milliseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

/// Records a duration in a histogram of milliseconds.
pub fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_millis() as u64);
}
