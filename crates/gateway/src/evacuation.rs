//! Logs and metrics of emptied availability zones (`serving::evacuation`), and of regions that
//! requests are limited to.

use std::collections::{BTreeSet, HashMap};

use kernel::event::Event;
use serving::{Name, cursor::Position, manifest::Manifest};

use crate::roster::Roster;

/// Logs which zones were emptied or taken back between two rosters. `position` is the one up to
/// which the operators' log was read.
pub fn log_changes(before: &Roster, after: &Roster, position: Position) {
    let (before, after) = (before.emptied_zones(), after.emptied_zones());
    if before == after {
        return;
    }
    metrics::gauge!("chivelatch_emptied_zones").set(after.len() as f64);
    for zone in before.symmetric_difference(after) {
        let is_emptied = after.contains(zone);
        log::info!(
            event = Event::Evacuation, zone = &**zone, is_emptied, position = position.offset,
            era = position.era;
            "the operators have emptied an availability zone or taken it back"
        );
    }
}

/// Logs the regions that requests are limited to and in which no known zone lies. No server is known
/// to be there, so these requests have none.
pub fn log_unknown_homes(manifest: &Manifest, regions: &HashMap<Name, Name>) {
    let known: BTreeSet<&Name> = regions.values().collect();
    let unknown: BTreeSet<&Name> = manifest.homes().filter(|home| !known.contains(home)).collect();
    if unknown.is_empty() {
        return;
    }
    let names: Vec<&str> = unknown.into_iter().map(|name| &**name).collect();
    log::warn!(
        event = Event::UnknownHome, revision = manifest.revision, regions = names.join(" ");
        "routes or accounts are limited to regions without a known zone; add the zones to the settings"
    );
}
