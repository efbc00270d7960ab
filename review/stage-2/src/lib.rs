//! Stand-ins that the scripts of this review share: the platform's store, replicas, clients, and the
//! start of the project's programs. Standard library only.

pub mod http;
pub mod machine;
pub mod record;
pub mod store;

use std::{
    net::Ipv4Addr,
    time::{SystemTime, UNIX_EPOCH},
};

/// Returns an address of this run's own part of the loopback range.
pub fn address(host: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 20 + (pid % 200) as u8, 1 + (pid / 200 % 250) as u8, host)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns whether the disruption is to be made (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
