//! Appending the folded configuration before its records expire.

use std::{sync::Arc, time::Duration};

use fleet::change::Record;
use services::log;

use crate::{Node, follow, leases};

/// Share of the retention after which the configuration is appended again.
const SNAPSHOTS_PER_RETENTION: u32 = 4;
/// Longest pause between two looks at whether it is time.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Appends a snapshot at a quarter of the retention, from one instance at a
/// time. Two at once do no harm: their content folds to the same state.
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

/// Appends a snapshot; tells whether the log took it.
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
    let appended = (node.log.append)(follow::CONFIGURATION_STREAM, log::encode(&record)).await;
    appended.is_ok()
}
