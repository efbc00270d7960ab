//! Settings that entry instances and side processes share.

use std::{net::SocketAddr, time::Duration};

use logforth::record::{Level, LevelFilter};

use fleet::{
    Name,
    lease::{Evidence, Rules},
};
use settings::document::Section;
use wire::identity::Files;

/// Upper bound of the times given in milliseconds.
const MAX_TIMING_MS: u64 = 600_000;
const MAX_RETENTION_SECONDS: u64 = 30 * 86_400;
const MAX_THREADS: u64 = 64;

/// Settings shared by entry instances and side processes.
#[derive(Clone, Debug)]
pub struct Settings {
    pub instance: Name,
    pub zone: Name,
    pub threads: usize,
    pub log_level: LevelFilter,
    /// Address for other processes of the fleet.
    pub fleet_address: SocketAddr,
    pub identity: Files,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Time limit of a call to the log service or the instance list.
    pub platform_timeout: Duration,
    /// Interval between reads of a log stream.
    pub log_interval: Duration,
    /// Interval between announcements to the instance list and reads of it.
    pub list_interval: Duration,
    /// Interval between exchanges with a random peer.
    pub exchange_interval: Duration,
    /// Time for which the log retains a record.
    pub retention: Duration,
    /// Absence of a lease's holder after which another process may claim the lease.
    pub takeover: Duration,
    /// Reads that suffice to keep a lease.
    pub lease_evidence: Evidence,
    /// Age of the configuration beyond which requests that need a key are rejected.
    pub staleness_limit: Duration,
    /// Maximum wait of an orderly stop for work in flight.
    pub stop_limit: Duration,
    /// Wait of an orderly stop before work in flight is drained, so that the instance list can show
    /// that the process is leaving; entry instances still accept work meanwhile.
    pub stop_notice: Duration,
    /// Time for which a request that crashed engines is rejected.
    pub suspect_memory: Duration,
}

impl Settings {
    /// Reads the shared settings; problems are recorded in the document of `section`.
    pub fn read(section: &Section<'_>) -> Settings {
        let fleet = section.section("fleet");
        let platform = section.section("platform");
        let timing = section.section("timing");
        let identity = Files {
            authority: fleet.path("authority"),
            certificate: fleet.path("certificate"),
            key: fleet.path("key"),
        };
        let takeover = timing.milliseconds("takeover_ms", 100..=MAX_TIMING_MS, 4000);
        let list_lag = platform.milliseconds("list_lag_ms", 0..=MAX_TIMING_MS, 1000);
        if takeover <= 2 * list_lag {
            timing.reject(
                "takeover_ms",
                takeover.as_millis(),
                "more than twice platform.list_lag_ms",
                "raise it, or two instances may hold one lease",
            );
        }
        let lease_evidence =
            match platform.choice("list_promises", &["incarnations", "nothing"], "incarnations") {
                "nothing" => Evidence::LogOnly,
                _ => Evidence::LogOrList,
            };
        Settings {
            instance: section.text("instance"),
            zone: section.text("zone"),
            threads: section.number("threads", 1..=MAX_THREADS, 2) as usize,
            log_level: read_log_level(section),
            fleet_address: fleet.address("address"),
            identity,
            log: platform.address("log"),
            list: platform.address("list"),
            platform_timeout: platform.milliseconds("timeout_ms", 10..=MAX_TIMING_MS, 1000),
            log_interval: timing.milliseconds("log_interval_ms", 10..=MAX_TIMING_MS, 300),
            list_interval: timing.milliseconds("list_interval_ms", 10..=MAX_TIMING_MS, 500),
            exchange_interval: timing.milliseconds("exchange_interval_ms", 10..=MAX_TIMING_MS, 500),
            retention: Duration::from_secs(platform.number(
                "retention_s",
                10..=MAX_RETENTION_SECONDS,
                86_400,
            )),
            takeover,
            lease_evidence,
            staleness_limit: timing.milliseconds("staleness_limit_ms", 100..=MAX_TIMING_MS, 3000),
            stop_limit: timing.milliseconds("stop_limit_ms", 0..=MAX_TIMING_MS, 60_000),
            stop_notice: timing.milliseconds("stop_notice_ms", 0..=MAX_TIMING_MS, 1500),
            suspect_memory: timing.milliseconds("suspect_memory_ms", 100..=MAX_TIMING_MS, 600_000),
        }
    }

    /// Returns the parameters on which the safety of leases depends.
    pub fn lease_rules(&self) -> Rules {
        Rules { takeover: self.takeover, retention: self.retention, evidence: self.lease_evidence }
    }
}

fn read_log_level(section: &Section<'_>) -> LevelFilter {
    let level = match section.choice("log_level", &["error", "warn", "info", "debug"], "info") {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    LevelFilter::MoreSevereEqual(level)
}
