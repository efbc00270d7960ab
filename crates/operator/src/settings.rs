//! Settings of the operators' command line.

use std::{net::SocketAddr, time::Duration};

use ::settings::document::Section;
use wire::identity::Files;

const MAX_TIMEOUT_MS: u64 = 600_000;

/// Settings of the command line.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the operator, recorded with each change.
    pub author: String,
    /// Local address that calls to the fleet are sent from.
    pub address: SocketAddr,
    /// The operator's own certificate.
    pub identity: Files,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Address of the platform's instance list.
    pub list: SocketAddr,
    /// Timeout of each call to the log service and the instance list.
    pub platform_timeout: Duration,
    /// Maximum time that a command waits until its change is in force on all instances.
    pub force_timeout: Duration,
}

impl Settings {
    /// Reads the settings.
    pub fn read(section: &Section<'_>) -> Settings {
        let fleet = section.section("fleet");
        let platform = section.section("platform");
        Settings {
            author: section.text("author").to_string(),
            address: fleet
                .optional_address("address")
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            identity: Files {
                authority: fleet.path("authority"),
                certificate: fleet.path("certificate"),
                key: fleet.path("key"),
            },
            log: platform.address("log"),
            list: platform.address("list"),
            platform_timeout: platform.milliseconds("timeout_ms", 10..=MAX_TIMEOUT_MS, 1000),
            force_timeout: section.milliseconds("force_timeout_ms", 0..=MAX_TIMEOUT_MS, 9000),
        }
    }
}
