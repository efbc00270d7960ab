//! Health check of the engine: detects crashes and restarts, and reconciles the
//! adapter slots with the adapters that the engine lists.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fleet::Name;
use placement::slots::Key;
use services::http;

use crate::{Side, load};

/// Interval between health checks while the engine is down.
const DOWN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between health checks while the engine is up.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request for the list of adapters.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks the engine until the process exits. A plain service cannot list adapters: after a failure
/// it is assumed to be up again at the next check.
pub(crate) async fn run(side: Arc<Side>) {
    loop {
        let is_down = side.core.lock().is_engine_down;
        side.node
            .kernel
            .clock
            .sleep(if is_down { DOWN_POLL_INTERVAL } else { POLL_INTERVAL })
            .await;
        if !side.settings.routes.is_empty() {
            side.core.lock().is_engine_down = false;
            continue;
        }
        let before = snapshot(&side);
        match side.engine.list_adapters(LIST_TIMEOUT).await {
            Ok(loaded) => reconcile(&side, &before, &loaded),
            Err(error) => on_list_error(&side, before.epoch, &error),
        }
    }
}

/// State of this process when it requested the list of adapters.
struct Snapshot {
    resident: Vec<Key>,
    /// No load was in progress.
    is_idle: bool,
    epoch: u64,
}

/// Records a crash of the engine, unless it was already recorded since `epoch`.
pub(crate) fn record_crash(side: &Side, epoch: u64) {
    let mut core = side.core.lock();
    if core.epoch != epoch {
        return;
    }
    core.epoch += 1;
    core.is_engine_down = true;
    core.slots.mark_all_lost();
    metrics::counter!("chivelatch_engine_crashes_total").increment(1);
    drop(core);
    log::warn!(
        "the engine of {} crashed; rejecting attempts until it is up again",
        side.settings.server
    );
    side.wake.notify(usize::MAX);
}

/// Checks whether the engine has crashed, after a load failed.
pub(crate) async fn check_liveness(side: &Side, epoch: u64) {
    if let Err(error) = side.engine.list_adapters(LIST_TIMEOUT).await {
        on_list_error(side, epoch, &error);
    }
}

/// Records a crash unless the request timed out; an engine that is merely slow has not crashed.
fn on_list_error(side: &Side, epoch: u64, error: &http::Error) {
    if !matches!(error, http::Error::Timeout { .. }) {
        record_crash(side, epoch);
    }
}

/// Returns whether the engine lists an adapter; false if it does not respond.
pub(crate) async fn has_adapter(side: &Side, model: &str) -> bool {
    let loaded = side.engine.list_adapters(LIST_TIMEOUT).await;
    loaded.is_ok_and(|loaded| loaded.iter().any(|name| &**name == model))
}

/// Captures the state to compare with the list of adapters.
fn snapshot(side: &Side) -> Snapshot {
    let core = side.core.lock();
    let keys = core.slots.list().map(|(key, _)| key);
    let resident = keys.filter(|key| core.slots.is_resident(key)).cloned().collect();
    Snapshot { resident, is_idle: core.load_waiters.is_empty(), epoch: core.epoch }
}

/// Updates the slots to the list of a responsive engine. Frees the slots of adapters that the
/// engine lost, and adopts adapters that it has loaded unexpectedly: before a restart of this
/// process, or by a load that took effect after its timeout.
fn reconcile(side: &Side, before: &Snapshot, loaded: &[Name]) {
    let names: BTreeSet<&str> = loaded.iter().map(|name| &**name).collect();
    let now = side.node.now();
    let mut core = side.core.lock();
    core.is_engine_down = false;
    for key in &before.resident {
        if core.slots.is_resident(key) && !names.contains(load::model_name(key).as_str()) {
            log::warn!(
                "the engine of {} lost {}; the next request loads it again",
                side.settings.server,
                load::model_name(key)
            );
            core.slots.mark_lost(key);
        }
    }
    if before.is_idle && core.load_waiters.is_empty() {
        for key in loaded.iter().filter_map(|name| load::parse_model_name(name)) {
            core.slots.adopt(now, key);
        }
    }
    drop(core);
    side.wake.notify(usize::MAX);
}
