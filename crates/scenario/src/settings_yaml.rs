//! YAML settings files of a test fleet's processes.

use std::net::SocketAddr;

/// Addresses of the platform services that a process uses.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    pub log: SocketAddr,
    pub list: SocketAddr,
}

/// Identity, address and credentials of one instance.
#[derive(Clone, Debug)]
pub struct Instance<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Address for traffic between instances (UDP).
    pub fleet: SocketAddr,
    /// Folder of the certificates.
    pub certificates: &'a str,
    /// File stem of the certificate.
    pub role: &'a str,
    /// YAML of the `timing` section, or empty for the defaults.
    pub timing: &'a str,
}

/// Timings shorter than the defaults, which keep the scenarios short.
pub const SHORT_TIMING: &str = "timing:\n  takeover_ms: 1500\n  log_interval_ms: 100\n  \
     list_interval_ms: 100\n  exchange_interval_ms: 100\n  staleness_limit_ms: 1500\n  \
     stop_notice_ms: 500\n  stop_limit_ms: 20000\n";

/// Returns the settings of an entry instance.
pub fn entry(
    instance: &Instance<'_>,
    platform: Platform,
    listen: SocketAddr,
    extra: &str,
) -> String {
    format!("{}listen: {listen}\nledger:\n  window_s: 120\n{extra}", common(instance, platform))
}

/// Returns the settings of a side process.
pub fn side(
    instance: &Instance<'_>,
    platform: Platform,
    server: &str,
    backend: SocketAddr,
    routes: &[&str],
) -> String {
    let routes: String = routes.iter().map(|route| format!("    - name: {route}\n")).collect();
    let routes = if routes.is_empty() { routes } else { format!("  routes:\n{routes}") };
    format!(
        "{}backend:\n  name: {server}\n  address: {backend}\n  slots: 4\n  batch: 8\n{routes}",
        common(instance, platform)
    )
}

/// Returns the settings of the operators' command line.
pub fn operator(platform: Platform, certificates: &str) -> String {
    format!(
        "author: tester\n\
         fleet:\n  authority: {certificates}/authority.pem\n  \
         certificate: {certificates}/operator.pem\n  key: {certificates}/operator.key.pem\n\
         platform:\n  log: {}\n  list: {}\n",
        platform.log, platform.list
    )
}

fn common(instance: &Instance<'_>, platform: Platform) -> String {
    let Instance { name, zone, fleet, certificates, role, timing } = instance;
    format!(
        "instance: {name}\nzone: {zone}\nlog_level: debug\n\
         fleet:\n  address: {fleet}\n  authority: {certificates}/authority.pem\n  \
         certificate: {certificates}/{role}.pem\n  key: {certificates}/{role}.key.pem\n\
         platform:\n  log: {}\n  list: {}\n  timeout_ms: 500\n  retention_s: 600\n  \
         list_lag_ms: 300\n{timing}",
        platform.log, platform.list
    )
}
