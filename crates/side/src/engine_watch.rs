//! Noticing that the engine has gone, and that it is back.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fleet::Name;
use placement::slots::Key;
use services::http;

use crate::{Side, load};

/// Pause between two looks at an engine that is away.
const DOWN_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two comparisons of what should be loaded with what is.
const UP_PAUSE: Duration = Duration::from_secs(1);
/// Time that the engine may take to list its adapters.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches the engine as long as the process runs.
pub(crate) async fn run(side: Arc<Side>) {
    loop {
        let is_down = side.core.lock().is_engine_down;
        side.node.kernel.clock.sleep(if is_down { DOWN_PAUSE } else { UP_PAUSE }).await;
        if !side.settings.routes.is_empty() {
            side.core.lock().is_engine_down = false;
            continue;
        }
        let before = expected(&side);
        match side.engine.list_adapters(LIST_TIMEOUT).await {
            Ok(loaded) => compare(&side, &before, &loaded),
            Err(error) => on_silence(&side, before.epoch, &error),
        }
    }
}

/// What this process expected of the engine when it asked.
struct Expected {
    resident: Vec<Key>,
    is_quiet: bool,
    epoch: u64,
}

/// The engine crashed under an attempt that started in `epoch`.
pub(crate) fn note_crash(side: &Side, epoch: u64) {
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
pub(crate) async fn check(side: &Side, epoch: u64) {
    if let Err(error) = side.engine.list_adapters(LIST_TIMEOUT).await {
        on_silence(side, epoch, &error);
    }
}

/// An engine that is merely slow has not crashed.
fn on_silence(side: &Side, epoch: u64, error: &http::Error) {
    if !matches!(error, http::Error::Timeout { .. }) {
        note_crash(side, epoch);
    }
}

/// Whether the engine still has an adapter.
pub(crate) async fn has(side: &Side, model: &str) -> bool {
    let loaded = side.engine.list_adapters(LIST_TIMEOUT).await;
    loaded.is_ok_and(|loaded| loaded.iter().any(|known| &**known == model))
}

fn expected(side: &Side) -> Expected {
    let core = side.core.lock();
    let keys = core.slots.list().map(|(key, _)| key);
    let resident = keys.filter(|key| core.slots.is_resident(key)).cloned().collect();
    Expected { resident, is_quiet: core.loading.is_empty(), epoch: core.epoch }
}

/// The engine is back. Forgets adapters that it lost, and takes in those that it
/// has without an order of this process: from before a restart of this process,
/// or from an order that took effect late.
fn compare(side: &Side, before: &Expected, loaded: &[Name]) {
    let names: BTreeSet<&str> = loaded.iter().map(|name| &**name).collect();
    let now = side.node.now();
    let mut core = side.core.lock();
    core.is_engine_down = false;
    for key in &before.resident {
        if core.slots.is_resident(key) && !names.contains(load::model(key).as_str()) {
            log::warn!("the engine of {} lost {}", side.settings.server, load::model(key));
            core.slots.lose(key);
        }
    }
    if before.is_quiet && core.loading.is_empty() {
        for key in loaded.iter().filter_map(|name| load::parse_model(name)) {
            core.slots.adopt(now, key);
        }
    }
    drop(core);
    side.wake.notify(usize::MAX);
}
