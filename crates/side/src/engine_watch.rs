//! Noticing that the engine has gone, and that it is back.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fleet::Name;
use placement::slots::Key;
use services::http;

use crate::{Side, load};

/// Pause between two looks at an engine that is away.
const DOWN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two comparisons of what should be loaded with what is.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time that the engine may take to list its adapters.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches the engine as long as the process runs.
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

/// What this process expected of the engine when it asked.
struct Snapshot {
    resident: Vec<Key>,
    is_idle: bool,
    epoch: u64,
}

/// The engine crashed under an attempt that started in `epoch`.
pub(crate) fn record_crash(side: &Side, epoch: u64) {
    let mut core = side.core.lock();
    if core.epoch != epoch {
        return;
    }
    core.epoch += 1;
    core.is_engine_down = true;
    core.slots.doubt();
    metrics::counter!("chivelatch_engine_crashes_total").increment(1);
    drop(core);
    log::warn!("the engine of {} crashed", side.settings.server);
    side.wake.notify(usize::MAX);
}

/// Looks whether the engine is still there after an order failed.
pub(crate) async fn check_liveness(side: &Side, epoch: u64) {
    if let Err(error) = side.engine.list_adapters(LIST_TIMEOUT).await {
        on_list_error(side, epoch, &error);
    }
}

/// An engine that is merely slow has not crashed.
fn on_list_error(side: &Side, epoch: u64, error: &http::Error) {
    if !matches!(error, http::Error::Timeout { .. }) {
        record_crash(side, epoch);
    }
}

/// Whether the engine still has an adapter.
pub(crate) async fn has_adapter(side: &Side, model: &str) -> bool {
    let loaded = side.engine.list_adapters(LIST_TIMEOUT).await;
    loaded.is_ok_and(|loaded| loaded.iter().any(|known| &**known == model))
}

fn snapshot(side: &Side) -> Snapshot {
    let core = side.core.lock();
    let keys = core.slots.list().map(|(key, _)| key);
    let resident = keys.filter(|key| core.slots.is_resident(key)).cloned().collect();
    Snapshot { resident, is_idle: core.load_waiters.is_empty(), epoch: core.epoch }
}

/// The engine is back. Forgets adapters that it lost, and takes in those that it
/// has without an order of this process: from before a restart of this process,
/// or from an order that took effect late.
fn reconcile(side: &Side, before: &Snapshot, loaded: &[Name]) {
    let names: BTreeSet<&str> = loaded.iter().map(|name| &**name).collect();
    let now = side.node.now();
    let mut core = side.core.lock();
    core.is_engine_down = false;
    for key in &before.resident {
        if core.slots.is_resident(key) && !names.contains(load::model_name(key).as_str()) {
            log::warn!("the engine of {} lost {}", side.settings.server, load::model_name(key));
            core.slots.lose(key);
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
