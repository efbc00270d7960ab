//! The cases.

mod broken_failure;
mod full_slots;
mod joined_versions;
mod shared_names;
mod slow_clients;
mod starved_config;

use std::io;

use crate::record::Record;

/// Plays a case. Returns how the rule was broken, if it was.
pub fn run(case: &str, record: &Record, has_trouble: bool) -> io::Result<Option<String>> {
    match case {
        "broken-failure" => broken_failure::run(record, has_trouble),
        "full-slots" => full_slots::run(record, has_trouble),
        "joined-versions" => joined_versions::run(record, has_trouble),
        "shared-names" => shared_names::run(record, has_trouble),
        "slow-clients" => slow_clients::run(record, has_trouble),
        "starved-config" => starved_config::run(record, has_trouble),
        _ => Err(io::Error::other("there is no such case")),
    }
}
