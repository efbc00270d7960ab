//! Appends snapshots of the configuration to the log before its records expire.

use std::{sync::Arc, time::Duration};

use fleet::change::Record;
use services::log;

use crate::{Node, follow, leases};

/// Number of snapshots appended within the retention time of the log.
const SNAPSHOTS_PER_RETENTION: u32 = 4;
/// Maximum interval between checks whether a snapshot is due.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Appends a snapshot at every quarter of the retention time if this instance is the preferred one.
/// Snapshots of two instances at once are harmless: applying either gives the same state.
pub async fn run(node: Arc<Node>) {
    let interval = node.settings.retention / SNAPSHOTS_PER_RETENTION;
    let mut interval_start = node.now();
    loop {
        node.kernel.clock.sleep(interval.min(MAX_CHECK_INTERVAL)).await;
        let is_due = interval <= node.now() - interval_start;
        if is_due && leases::is_preferred(&node, "snapshot", 0) && append(&node).await {
            interval_start = node.now();
        }
    }
}

/// Appends a snapshot. Returns whether the log acknowledged it; false too if the state is unknown
/// or outdated.
pub async fn append(node: &Node) -> bool {
    let (change, revision) = {
        let replica = node.replica.read();
        let revision = replica.state().map_or(0, |state| state.revision);
        (replica.snapshot(), revision)
    };
    let Some(change) = change else { return false };
    let record = Record {
        id: Arc::from(format!("snapshot-{:016x}", rand::random::<u64>())),
        author: Arc::clone(&node.settings.instance),
        expected: revision,
        change,
    };
    let appended = (node.log.append)(follow::CONFIG_STREAM, log::encode(&record)).await;
    appended.is_ok()
}
