//! Appending the folded configuration before its records expire.

use std::{sync::Arc, time::Duration};

use fleet::change::Record;
use services::log;

use crate::{Node, follow, leases};

/// Share of the retention after which the configuration is appended again.
const RETENTION_DIVISOR: u32 = 4;
/// Longest pause between two looks at whether it is time.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Appends a snapshot at a quarter of the retention, from one instance at a
/// time. Two at once do no harm: their content folds to the same state.
pub async fn run(node: Arc<Node>) {
    let due = node.settings.retention / RETENTION_DIVISOR;
    let mut last = node.now();
    loop {
        node.kernel.clock.sleep(due.min(MAX_PAUSE)).await;
        let is_due = due <= node.now() - last;
        if is_due && leases::is_preferred(&node, "snapshot", 0) && append(&node).await {
            last = node.now();
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
