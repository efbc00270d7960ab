//! Settings files of a test fleet.

use std::net::SocketAddr;

/// Where a process finds its platform.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    pub log: SocketAddr,
    pub list: SocketAddr,
}

/// What a process of the fleet is called and where it listens.
#[derive(Clone, Debug)]
pub struct Place<'a> {
    pub instance: &'a str,
    pub zone: &'a str,
    pub fleet: SocketAddr,
    pub certificates: &'a str,
    pub role: &'a str,
    /// YAML of the timings.
    pub timing: &'a str,
}

/// Short timings, so that scenarios are.
pub const SHORT_TIMING: &str = "timing:\n  takeover_ms: 1500\n  log_interval_ms: 100\n  \
     list_interval_ms: 100\n  exchange_interval_ms: 100\n  staleness_limit_ms: 1500\n  \
     stop_notice_ms: 500\n  stop_limit_ms: 20000\n";

/// Settings of an entry instance.
pub fn entry(place: &Place<'_>, platform: Platform, listen: SocketAddr, extra: &str) -> String {
    format!("{}listen: {listen}\nledger:\n  window_s: 120\n{extra}", node(place, platform))
}

/// Settings of a side process.
pub fn side(
    place: &Place<'_>,
    platform: Platform,
    server: &str,
    backend: SocketAddr,
    routes: &[&str],
) -> String {
    let routes: String = routes.iter().map(|route| format!("    - name: {route}\n")).collect();
    let routes = if routes.is_empty() { routes } else { format!("  routes:\n{routes}") };
    format!(
        "{}backend:\n  name: {server}\n  address: {backend}\n  slots: 4\n  batch: 8\n{routes}",
        node(place, platform)
    )
}

/// Settings of the operators' command line.
pub fn operator(platform: Platform, certificates: &str) -> String {
    format!(
        "author: tester\n\
         fleet:\n  authority: {certificates}/authority.pem\n  \
         certificate: {certificates}/operator.pem\n  key: {certificates}/operator.key.pem\n\
         platform:\n  log: {}\n  list: {}\n",
        platform.log, platform.list
    )
}

fn node(place: &Place<'_>, platform: Platform) -> String {
    let Place { instance, zone, fleet, certificates, role, timing } = place;
    format!(
        "instance: {instance}\nzone: {zone}\nlog_level: debug\n\
         fleet:\n  address: {fleet}\n  authority: {certificates}/authority.pem\n  \
         certificate: {certificates}/{role}.pem\n  key: {certificates}/{role}.key.pem\n\
         platform:\n  log: {}\n  list: {}\n  timeout_ms: 500\n  retention_s: 600\n  \
         list_lag_ms: 300\n{timing}",
        platform.log, platform.list
    )
}
