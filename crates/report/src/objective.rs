//! Service-level objectives and the settings of the report.
//!
//! An objective promises a minimum share of good events; the rest is its error budget.

use std::{net::SocketAddr, time::Duration};

use ::settings::document::Section;

/// Upper bound of `hour_s`, the length of an hour in the alerting rules.
const MAX_HOUR_SECONDS: u64 = 30 * 86_400;
const MAX_DURATION_MS: u64 = 600_000;
/// Targets are stated in the settings as integers, in parts of 100,000.
const TARGET_SCALE: u64 = 100_000;

/// The events that an objective counts, and which of them are good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Requests; good if they completed. Bad are those with an unknown outcome or rejected because
    /// of overload.
    Availability,
    /// First tokens; good if they arrived within the limit.
    FirstToken { limit: Duration },
    /// Gaps between tokens; good if they are within the limit.
    TokenGap { limit: Duration },
    /// Requests; good if they completed. Bad are those rejected while no instance held the quota
    /// of their account.
    Admission,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub name: String,
    pub kind: Kind,
    /// Minimum share of good events, below 1.
    pub target: f64,
    /// Account whose events count; all accounts if `None`.
    pub account: Option<String>,
}

/// An alerting rule, which fires while the burn rates of both windows reach the threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alert {
    pub long: Duration,
    /// Shorter window, which resets the alert soon after the errors have ended.
    pub short: Duration,
    /// Minimum burn rate of both windows.
    pub threshold: f64,
}

/// Settings of the report.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances whose metrics are read.
    pub instances: Vec<SocketAddr>,
    /// Time between two samples of an instance.
    pub interval: Duration,
    pub objectives: Vec<Objective>,
    pub alerts: Vec<Alert>,
}

impl Settings {
    /// Reads the settings.
    pub fn read(section: &Section<'_>) -> Settings {
        let instances = section.sections("instances");
        let objectives = section.sections("objectives");
        // A shorter hour scales the windows down for fleets that run only for minutes.
        let hour_s = section.number("hour_s", 1..=3600, 3600);
        Settings {
            instances: instances.iter().map(|instance| instance.address("address")).collect(),
            interval: section.milliseconds("interval_ms", 100..=MAX_DURATION_MS, 15_000),
            objectives: objectives.iter().map(Objective::read).collect(),
            alerts: alerts(hour_s),
        }
    }
}

impl Objective {
    fn read(section: &Section<'_>) -> Objective {
        let kinds = ["availability", "first-token", "token-gap", "admission"];
        let limit = section.milliseconds("limit_ms", 1..=MAX_DURATION_MS, 610);
        let kind = match section.choice("kind", &kinds, "availability") {
            "first-token" => Kind::FirstToken { limit },
            "token-gap" => Kind::TokenGap { limit },
            "admission" => Kind::Admission,
            _ => Kind::Availability,
        };
        let target = section.number("target_per_100000", 1..=TARGET_SCALE - 1, 99_900);
        Objective {
            name: section.text("name").to_string(),
            kind,
            target: target as f64 / TARGET_SCALE as f64,
            account: section.optional_text("account").map(|account| account.to_string()),
        }
    }
}

/// Returns the alerting rules that the workbook recommends, with hours of `hour_s` seconds.
fn alerts(hour_s: u64) -> Vec<Alert> {
    debug_assert!(hour_s <= MAX_HOUR_SECONDS);
    let hours = |hours: f64| Duration::from_secs_f64(hours * hour_s as f64);
    vec![
        Alert { long: hours(1.0), short: hours(1.0 / 12.0), threshold: 14.4 },
        Alert { long: hours(6.0), short: hours(0.5), threshold: 6.0 },
        Alert { long: hours(72.0), short: hours(6.0), threshold: 1.0 },
    ]
}
