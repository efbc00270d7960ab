//! Settings of an entry instance.

use std::{net::SocketAddr, time::Duration};

use ::settings::document::Section;
use front::tls::Files;
use kernel::plugin::inventory;
use placement::{choice::Costs, policy::Policy};
use quota::permit::Budget;

const MAX_MS: u64 = 600_000;
const MAX_TOKENS: u64 = 10_000_000;
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
const MAX_SHARDS: u64 = 16;
const MAX_PARTITIONS: u64 = 1024;
const MAX_LOADS: u64 = 100_000;

/// Settings of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    pub node: node::settings::Settings,
    /// Where callers reach this instance.
    pub listen: SocketAddr,
    /// Certificate that callers see; plain HTTP without one.
    pub tls: Option<Files>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    pub body_timeout: Duration,
    /// Tokens reserved for an answer when the request does not say.
    pub default_max_tokens: u64,
    /// Time that a request may wait to begin.
    pub start_timeout: Duration,
    /// Silence after which a running attempt is given up.
    pub silence_timeout: Duration,
    /// Retries for each hundred requests.
    pub retry_percent: u64,
    /// Tries of one request.
    pub max_attempts: u32,
    pub policy: &'static Policy,
    /// Requests a second for one adapter that one backend server should see.
    pub rate_per_server: f64,
    pub costs: Costs,
    /// Shards of each account's bucket.
    pub shards: u64,
    pub load_budget: Budget,
    /// Streams of the ledger.
    pub partitions: u64,
    /// How long an idempotency key is remembered.
    pub ledger_window: Duration,
}

impl Settings {
    /// Reads the settings.
    pub fn read(section: &Section<'_>) -> Settings {
        let node = node::settings::Settings::read(section);
        let limits = section.section("limits");
        let routing = section.section("routing");
        let quota = section.section("quota");
        let store = section.section("weight_store");
        let ledger = section.section("ledger");
        let ledger_window = Duration::from_secs(ledger.number("window_s", 1..=30 * 86_400, 3600));
        if node.retention < ledger_window * 2 {
            ledger.reject(
                "window_s",
                ledger_window.as_secs(),
                "at most half of platform.retention_s",
                "lower it, or an expired record may let a request run twice",
            );
        }
        let policies: Vec<&'static str> =
            inventory::iter::<Policy>.into_iter().map(|plugin| plugin.name).collect();
        let policy = routing.choice("policy", &policies, "popularity");
        Settings {
            node,
            listen: section.address("listen"),
            tls: read_tls(section),
            max_body_bytes: limits.number("max_body_bytes", 1024..=MAX_BODY_BYTES, 1024 * 1024)
                as usize,
            body_timeout: limits.milliseconds("body_timeout_ms", 10..=MAX_MS, 10_000),
            default_max_tokens: limits.number("default_max_tokens", 1..=MAX_TOKENS, 256),
            start_timeout: limits.milliseconds("patience_ms", 10..=MAX_MS, 20_000),
            silence_timeout: limits.milliseconds("silence_ms", 1500..=MAX_MS, 4000),
            retry_percent: routing.number("retry_percent", 0..=100, 10),
            max_attempts: routing.number("max_tries", 1..=10, 4) as u32,
            policy: find_policy(policy),
            rate_per_server: routing.number("requests_per_server", 1..=MAX_LOADS, 4) as f64,
            costs: Costs {
                per_token: Duration::from_micros(routing.number("token_us", 1..=MAX_MS, 500)),
                load: routing.milliseconds("load_ms", 0..=MAX_MS, 400),
                ..Costs::default()
            },
            shards: quota.number("shards", 1..=MAX_SHARDS, 2),
            load_budget: Budget {
                rate: store.number("loads_per_second", 1..=MAX_LOADS, 3),
                burst: store.number("burst", 1..=MAX_LOADS, 4),
                in_flight: store.number("in_flight", 1..=MAX_LOADS, 8) as usize,
                permit_lifetime: store.milliseconds("permit_ms", 10..=MAX_MS, 10_000),
            },
            partitions: ledger.number("partitions", 1..=MAX_PARTITIONS, 16),
            ledger_window,
        }
    }
}

fn read_tls(section: &Section<'_>) -> Option<Files> {
    let tls = section.section("tls");
    section.has("tls").then(|| Files { certificate: tls.path("certificate"), key: tls.path("key") })
}

fn find_policy(name: &str) -> &'static Policy {
    let mut known = inventory::iter::<Policy>.into_iter();
    known.find(|plugin| plugin.name == name).expect("the name was checked against the plug-ins")
}
