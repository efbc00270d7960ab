//! Burn rates of error budgets, computed from samples.
//!
//! The burn rate is the share of bad events divided by the share that the objective allows; at 1,
//! the error budget lasts exactly for its period.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Serialize;

use crate::{
    objective::{Objective, Settings},
    sample::{Count, Sample},
};

/// Burn rates of one objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    pub objective: String,
    pub windows: Vec<WindowPair>,
    /// Whether both burn rates of any pair of windows reach the threshold.
    pub is_alerting: bool,
}

/// Burn rates over a pair of windows that end at the same time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowPair {
    pub long_s: u64,
    pub short_s: u64,
    pub long_burn: f64,
    pub short_burn: f64,
    pub threshold: f64,
}

/// Returns the burn rates of every objective at the time of the last sample.
pub fn evaluate(settings: &Settings, samples: &[Sample]) -> Vec<Burn> {
    let now_ms = samples.iter().map(|sample| sample.at_ms).max().unwrap_or(0);
    settings
        .objectives
        .iter()
        .map(|objective| evaluate_objective(settings, samples, objective, now_ms))
        .collect()
}

/// Returns the burn rate of an objective over the window that ends at `end_ms`; 0 without events.
pub fn rate(samples: &[Sample], objective: &Objective, end_ms: u64, window: Duration) -> f64 {
    let start_ms = end_ms.saturating_sub(window.as_millis() as u64);
    let mut by_instance: BTreeMap<SocketAddr, Vec<&Count>> = BTreeMap::new();
    let in_window =
        samples.iter().filter(|sample| start_ms <= sample.at_ms && sample.at_ms <= end_ms);
    for sample in in_window {
        let count = sample.counts.iter().find(|count| count.objective == objective.name);
        by_instance.entry(sample.instance).or_default().extend(count);
    }
    let (good, bad) = by_instance
        .values()
        .map(|counts| growth(counts))
        .fold((0.0, 0.0), |(all_good, all_bad), (good, bad)| (all_good + good, all_bad + bad));
    let share = if 0.0 < good + bad { bad / (good + bad) } else { 0.0 };
    share / (1.0 - objective.target)
}

fn evaluate_objective(
    settings: &Settings,
    samples: &[Sample],
    objective: &Objective,
    now_ms: u64,
) -> Burn {
    let windows: Vec<_> = settings
        .alerts
        .iter()
        .map(|alert| WindowPair {
            long_s: alert.long.as_secs(),
            short_s: alert.short.as_secs(),
            long_burn: rate(samples, objective, now_ms, alert.long),
            short_burn: rate(samples, objective, now_ms, alert.short),
            threshold: alert.threshold,
        })
        .collect();
    let is_burning =
        |pair: &WindowPair| pair.threshold <= pair.long_burn && pair.threshold <= pair.short_burn;
    let is_alerting = windows.iter().any(is_burning);
    Burn { objective: objective.name.clone(), windows, is_alerting }
}

/// Returns the growth of the good and bad counts of one instance. A count that decreases shows a
/// restart of the process, from which both counts start at zero.
fn growth(counts: &[&Count]) -> (f64, f64) {
    let mut total = (0.0, 0.0);
    for pair in counts.windows(2) {
        let [before, after] = pair else { continue };
        let has_restarted = after.good < before.good || after.bad < before.bad;
        let (good, bad) = if has_restarted { (0.0, 0.0) } else { (before.good, before.bad) };
        total.0 += after.good - good;
        total.1 += after.bad - bad;
    }
    total
}
