//! The four measures, computed from what became of each request.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use fleet::lease::Moment;

use crate::workload::{self, Deployment, Request};

/// Highest value of the histograms, in milliseconds.
const MAX_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    pub refused: bool,
    /// When it began to wait for a load.
    pub stalled: Option<Moment>,
    pub first: Option<Moment>,
    pub ended: Option<Moment>,
}

/// The measures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Measures {
    pub requests: u64,
    /// Requests that waited for a load.
    pub stalled: u64,
    pub stall_p50_ms: u64,
    pub stall_p95_ms: u64,
    pub stall_p99_ms: u64,
    /// Tokens of a step over the batch's width.
    pub batch_efficiency: f64,
    /// Lowest of served over entitled tokens among the accounts.
    pub worst_served: f64,
    /// 95th percentile of the time to the first token by account, in milliseconds.
    pub first_p95_ms: Vec<u64>,
    /// Requests refused though their account was within rate and burst.
    pub wrongful_refusals: u64,
    pub refusals: u64,
}

impl Measures {
    pub fn new(
        deployment: &Deployment,
        requests: &[Request],
        fates: &[Fate],
        tokens: u64,
        steps: u64,
    ) -> Measures {
        let mut stalls = histogram();
        let accounts = 1 + requests.iter().map(|request| request.account).max().unwrap_or(0);
        let mut firsts = vec![histogram(); accounts];
        for (request, fate) in requests.iter().zip(fates) {
            if let (Some(stalled), Some(first)) = (fate.stalled, fate.first) {
                record(&mut stalls, first - stalled);
            }
            if let Some(first) = fate.first {
                record(&mut firsts[request.account], first - request.arrived);
            }
        }
        Measures {
            requests: requests.len() as u64,
            stalled: fates.iter().filter(|fate| fate.stalled.is_some()).count() as u64,
            stall_p50_ms: stalls.value_at_quantile(0.50),
            stall_p95_ms: stalls.value_at_quantile(0.95),
            stall_p99_ms: stalls.value_at_quantile(0.99),
            batch_efficiency: tokens as f64 / (steps.max(1) * deployment.batch as u64) as f64,
            worst_served: worst_served(deployment, requests, fates, accounts),
            first_p95_ms: firsts.iter().map(|first| first.value_at_quantile(0.95)).collect(),
            wrongful_refusals: wrongful_refusals(deployment, requests, fates, accounts),
            refusals: fates.iter().filter(|fate| fate.refused).count() as u64,
        }
    }

    /// The largest 95th percentile among the accounts that did not flood.
    pub fn worst_first_p95_ms(&self) -> u64 {
        let others = self.first_p95_ms.iter().enumerate();
        let others = others.filter(|(account, _)| *account != workload::FLOODING_ACCOUNT);
        others.map(|(_, first)| *first).max().unwrap_or(0)
    }
}

/// Tokens served over those that the account was entitled to: what a single
/// bucket over the whole fleet would have admitted.
fn worst_served(
    deployment: &Deployment,
    requests: &[Request],
    fates: &[Fate],
    accounts: usize,
) -> f64 {
    let mut worst = f64::INFINITY;
    for account in 0..accounts {
        let mut ideal = Ideal::new(deployment, account);
        let (mut entitled, mut served) = (0, 0);
        for (request, fate) in requests.iter().zip(fates) {
            if request.account != account {
                continue;
            }
            let used = request.prompt_tokens + request.output_tokens;
            entitled += if ideal.admits(request) { used } else { 0 };
            served += if fate.ended.is_some() { used } else { 0 };
        }
        worst = worst.min(served as f64 / entitled.max(1) as f64);
    }
    worst
}

/// Refusals of accounts that no single bucket would have refused at any time.
fn wrongful_refusals(
    deployment: &Deployment,
    requests: &[Request],
    fates: &[Fate],
    accounts: usize,
) -> u64 {
    let mut wrongful = 0;
    for account in 0..accounts {
        let own = || requests.iter().zip(fates).filter(|(request, _)| request.account == account);
        let mut ideal = Ideal::new(deployment, account);
        let is_within_rate = own().all(|(request, _)| ideal.admits(request));
        if is_within_rate {
            wrongful += own().filter(|(_, fate)| fate.refused).count() as u64;
        }
    }
    wrongful
}

/// One bucket for the whole fleet that knows the length of each answer ahead.
struct Ideal {
    rate: f64,
    burst: f64,
    level: f64,
    updated: Moment,
}

impl Ideal {
    fn new(deployment: &Deployment, account: usize) -> Ideal {
        let limits = workload::limits(deployment, account);
        let burst = limits.burst as f64;
        Ideal { rate: limits.rate as f64, burst, level: burst, updated: Moment::ZERO }
    }

    fn admits(&mut self, request: &Request) -> bool {
        let elapsed = (request.arrived - self.updated).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.updated = request.arrived;
        let used = (request.prompt_tokens + request.output_tokens) as f64;
        let is_admitted = used <= self.level;
        if is_admitted {
            self.level -= used;
        }
        is_admitted
    }
}

/// An empty histogram of milliseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

/// Records a time.
pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_millis() as u64);
}
