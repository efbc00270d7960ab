//! Burn rates from samples.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Serialize;

use crate::{
    objective::{Objective, Settings},
    sample::{Count, Sample},
};

/// Burn of one objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    pub objective: String,
    pub windows: Vec<Window>,
    /// Some pair of windows burns too fast.
    pub is_alerting: bool,
}

/// Burn over one pair of windows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    pub long_s: u64,
    pub short_s: u64,
    /// Error share over the share that the objective allows.
    pub long_burn: f64,
    pub short_burn: f64,
    pub threshold: f64,
}

/// Burn of every objective at the time of the last sample.
pub fn burns(settings: &Settings, samples: &[Sample]) -> Vec<Burn> {
    let now = samples.iter().map(|sample| sample.at_ms).max().unwrap_or(0);
    settings.objectives.iter().map(|objective| burn(settings, samples, objective, now)).collect()
}

/// Burn rate of an objective over the window that ends at `end_ms`.
pub fn rate(samples: &[Sample], objective: &Objective, end_ms: u64, window: Duration) -> f64 {
    let start_ms = end_ms.saturating_sub(window.as_millis() as u64);
    let mut by_instance: BTreeMap<SocketAddr, Vec<&Count>> = BTreeMap::new();
    let within = samples.iter().filter(|sample| start_ms <= sample.at_ms && sample.at_ms <= end_ms);
    for sample in within {
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

fn burn(settings: &Settings, samples: &[Sample], objective: &Objective, now: u64) -> Burn {
    let windows: Vec<_> = settings
        .alerts
        .iter()
        .map(|alert| Window {
            long_s: alert.long.as_secs(),
            short_s: alert.short.as_secs(),
            long_burn: rate(samples, objective, now, alert.long),
            short_burn: rate(samples, objective, now, alert.short),
            threshold: alert.burn,
        })
        .collect();
    let burns = |window: &Window| {
        window.threshold <= window.long_burn && window.threshold <= window.short_burn
    };
    let is_alerting = windows.iter().any(burns);
    Burn { objective: objective.name.clone(), windows, is_alerting }
}

/// Growth of counters that fall back to zero when their process restarts.
fn growth(counts: &[&Count]) -> (f64, f64) {
    let mut sum = (0.0, 0.0);
    for pair in counts.windows(2) {
        let [before, after] = pair else { continue };
        let has_restarted = after.good < before.good || after.bad < before.bad;
        let (good, bad) = if has_restarted { (0.0, 0.0) } else { (before.good, before.bad) };
        sum.0 += after.good - good;
        sum.1 += after.bad - bad;
    }
    sum
}
