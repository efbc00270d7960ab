//! Settings of an entry instance. A value outside its range is reported when the
//! settings are read.

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
const MAX_COUNT: u64 = 100_000;

/// Settings of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    pub node: node::settings::Settings,
    /// Address at which callers reach this instance.
    pub listen: SocketAddr,
    /// Certificate and key for callers' connections; plain HTTP if `None`.
    pub tls: Option<Files>,
    /// Size limit of a request body.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Tokens reserved for an answer if the request does not set a maximum.
    pub default_max_tokens: u64,
    /// Time from the arrival of a request by which its answer has to start.
    pub start_timeout: Duration,
    /// Time without a frame from the side process after which an attempt fails.
    pub silence_timeout: Duration,
    /// Retries allowed per 100 requests.
    pub retry_percent: u64,
    /// Limit of the attempts of one request. Attempts that a server rejects because its
    /// lease is being handed over do not count.
    pub max_attempts: u32,
    pub policy: &'static Policy,
    /// Target for the requests per second for one adapter on one backend server.
    pub rate_per_server: f64,
    /// Cost estimates that the routing policy compares servers by.
    pub costs: Costs,
    /// Number of shards of each account's token bucket.
    pub shards: u64,
    /// Limits of adapter loads from the weight store, over the whole fleet.
    pub load_budget: Budget,
    /// Number of ledger streams.
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
            // The minimum exceeds the interval of one second at which a side process sends a frame
            // while an attempt is queued or running.
            silence_timeout: limits.milliseconds("silence_ms", 1500..=MAX_MS, 4000),
            retry_percent: routing.number("retry_percent", 0..=100, 10),
            max_attempts: routing.number("max_tries", 1..=10, 4) as u32,
            policy: find_policy(policy),
            rate_per_server: routing.number("requests_per_server", 1..=MAX_COUNT, 4) as f64,
            costs: Costs {
                per_token: Duration::from_micros(routing.number("token_us", 1..=MAX_MS, 500)),
                load: routing.milliseconds("load_ms", 0..=MAX_MS, 400),
                ..Costs::default()
            },
            shards: quota.number("shards", 1..=MAX_SHARDS, 2),
            load_budget: Budget {
                rate: store.number("loads_per_second", 1..=MAX_COUNT, 3),
                burst: store.number("burst", 1..=MAX_COUNT, 4),
                in_flight: store.number("in_flight", 1..=MAX_COUNT, 8) as usize,
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
