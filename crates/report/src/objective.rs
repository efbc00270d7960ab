//! Service-level objectives and the settings of the report.

use std::{net::SocketAddr, time::Duration};

use ::settings::document::Section;

const MAX_SECONDS: u64 = 30 * 86_400;
const MAX_MS: u64 = 600_000;
/// Objectives are given in parts of a hundred thousand, as whole numbers.
const PARTS: u64 = 100_000;

/// What an objective is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Requests that completed, of those that completed or failed.
    Availability,
    /// First tokens within a time.
    FirstToken { limit: Duration },
    /// Gaps between tokens within a time.
    TokenGap { limit: Duration },
    /// Requests not refused though within their account's rate.
    Admission,
}

/// One objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub name: String,
    pub kind: Kind,
    /// Share of good events that is promised, below 1.
    pub target: f64,
    /// The account it is for; all accounts together otherwise.
    pub account: Option<String>,
}

/// Two windows that have to burn at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alert {
    pub long: Duration,
    pub short: Duration,
    /// Burn rate from which both count.
    pub burn: f64,
}

/// Settings of the report.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances whose metrics are read.
    pub instances: Vec<SocketAddr>,
    pub interval: Duration,
    pub objectives: Vec<Objective>,
    pub alerts: Vec<Alert>,
}

impl Settings {
    /// Reads the settings.
    pub fn read(section: &Section<'_>) -> Settings {
        let instances = section.sections("instances");
        let objectives = section.sections("objectives");
        // Windows are scaled down where a fleet is watched for minutes only.
        let scale = section.number("hour_s", 1..=3600, 3600);
        Settings {
            instances: instances.iter().map(|instance| instance.address("address")).collect(),
            interval: section.milliseconds("interval_ms", 100..=MAX_MS, 15_000),
            objectives: objectives.iter().map(Objective::read).collect(),
            alerts: alerts(scale),
        }
    }
}

impl Objective {
    fn read(section: &Section<'_>) -> Objective {
        let kinds = ["availability", "first-token", "token-gap", "admission"];
        let limit = section.milliseconds("limit_ms", 1..=MAX_MS, 610);
        let kind = match section.choice("kind", &kinds, "availability") {
            "first-token" => Kind::FirstToken { limit },
            "token-gap" => Kind::TokenGap { limit },
            "admission" => Kind::Admission,
            _ => Kind::Availability,
        };
        let target = section.number("target_per_100000", 1..=PARTS - 1, 99_900);
        Objective {
            name: section.text("name").to_string(),
            kind,
            target: target as f64 / PARTS as f64,
            account: section.optional_text("account").map(|account| account.to_string()),
        }
    }
}

fn alerts(hour_s: u64) -> Vec<Alert> {
    debug_assert!(hour_s <= MAX_SECONDS);
    let hours = |hours: f64| Duration::from_secs_f64(hours * hour_s as f64);
    vec![
        Alert { long: hours(1.0), short: hours(1.0 / 12.0), burn: 14.4 },
        Alert { long: hours(6.0), short: hours(0.5), burn: 6.0 },
        Alert { long: hours(72.0), short: hours(6.0), burn: 1.0 },
    ]
}
