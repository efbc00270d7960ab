//! Loading of adapters into the engine. Each load needs a permit from the holder
//! of the fleet-wide load budget, which protects the weight store.

use std::{sync::Arc, time::Duration};

use fleet::Name;
use placement::slots::{Key, SlotId};
use quota::permit;
use schedule::retry;
use wire::{
    frame::{Call, Permit, Reply},
    identity::Role,
};

use crate::{LoadOutcome, Side, engine_watch};

/// Maximum wait for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry while the holder of the load budget is unknown or unreachable.
const NO_HOLDER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Inverse of the weight of a new load in the moving average of load durations.
const LOAD_WAIT_SMOOTHING: u32 = 10;
/// Timeout of a request to unload.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// An adapter to load.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) key: Key,
    /// Slot that is reserved for the adapter.
    pub(crate) slot: SlotId,
    /// Adapter to unload first.
    pub(crate) victim: Option<Key>,
    /// Account of the first request that needs the adapter.
    pub(crate) account: Name,
}

/// Unloads the victim, loads the adapter and notifies the waiting attempts.
pub(crate) async fn run(side: Arc<Side>, task: Task) {
    let Task { key, slot, victim, account } = task;
    let began = side.node.now();
    let is_loaded = load_with_retries(&side, &key, victim.as_ref(), &account).await;
    let waited = side.node.now() - began;
    metrics::histogram!("chivelatch_load_wait_seconds").record(waited.as_secs_f64());
    let outcome = if is_loaded { LoadOutcome::Loaded } else { LoadOutcome::Failed };
    let waiters = {
        let mut core = side.core.lock();
        core.load_wait =
            (core.load_wait * (LOAD_WAIT_SMOOTHING - 1) + waited) / LOAD_WAIT_SMOOTHING;
        if is_loaded {
            core.slots.load_succeeded(slot);
        } else {
            core.slots.load_failed(slot);
        }
        core.load_waiters.remove(&slot).unwrap_or_default()
    };
    for waiter in waiters {
        let _closed = waiter.try_send(outcome);
    }
    side.wake.notify(usize::MAX);
}

/// Returns the name of an adapter version at the engine and in the weight store.
pub(crate) fn model_name(key: &Key) -> String {
    format!("{}@{}", key.adapter, key.version)
}

/// Parses a name that was formatted by [`model_name`].
pub(crate) fn parse_model_name(name: &str) -> Option<Key> {
    let (adapter, version) = name.rsplit_once('@')?;
    Some(Key { adapter: Arc::from(adapter), version: version.parse().ok()? })
}

/// Loads an adapter, with retries; returns whether it is loaded.
async fn load_with_retries(side: &Side, key: &Key, victim: Option<&Key>, account: &Name) -> bool {
    if let Some(victim) = victim {
        unload(side, victim).await;
    }
    for attempt in 0..side.settings.load_attempts {
        let Some((permit, epoch)) = acquire_permit(side, account).await else { return false };
        let is_loaded = load_once(side, key).await;
        release_permit(side, permit).await;
        if is_loaded {
            // If the engine has crashed since, the adapter is not loaded any more.
            return side.core.lock().epoch == epoch;
        }
        engine_watch::check_liveness(side, epoch).await;
        if side.core.lock().epoch != epoch {
            return false;
        }
        side.node.kernel.clock.sleep(retry::delay(attempt as u32, 1.0)).await;
    }
    false
}

/// Makes one attempt to load an adapter, if this process holds the lease.
async fn load_once(side: &Side, key: &Key) -> bool {
    let Some(held) = side.held_lease() else { return false };
    let model = model_name(key);
    let loaded = side.engine.load(&model, held.fence, side.settings.load_timeout).await;
    match loaded {
        Ok(()) => true,
        Err(error) => {
            metrics::counter!("chivelatch_load_failures_total").increment(1);
            log::warn!("failed to load {model}: {error}");
            false
        }
    }
}

/// Unloads an adapter, if this process holds the lease.
async fn unload(side: &Side, victim: &Key) {
    let Some(held) = side.held_lease() else { return };
    let model = model_name(victim);
    if let Err(error) = side.engine.unload(&model, held.fence, UNLOAD_TIMEOUT).await {
        log::warn!("failed to unload {model}: {error}");
    }
}

/// Waits for a permit; returns it with the current epoch, or `None` if it was not granted in time
/// or the engine is down.
async fn acquire_permit(side: &Side, account: &Name) -> Option<(u64, u64)> {
    let deadline = side.node.now() + PERMIT_TIMEOUT;
    while side.node.now() < deadline && !side.core.lock().is_engine_down {
        let pause = match request_permit(side, account).await {
            Some(Permit::Granted(permit)) => return Some((permit, side.core.lock().epoch)),
            Some(Permit::Later(wait)) => wait,
            Some(Permit::NotHolder) | None => NO_HOLDER_RETRY_DELAY,
        };
        side.node.kernel.clock.sleep(pause).await;
    }
    None
}

/// Requests a permit once; `None` if the holder is unknown or unreachable.
async fn request_permit(side: &Side, account: &Name) -> Option<Permit> {
    let account = Arc::clone(account);
    match call_holder(side, Call::AskPermit { account }).await? {
        Reply::Permit(permit) => Some(permit),
        _ => None,
    }
}

async fn release_permit(side: &Side, permit: u64) {
    // If this fails, the permit expires at its holder.
    let _result = call_holder(side, Call::ReturnPermit(permit)).await;
}

/// Calls the holder of the load budget.
async fn call_holder(side: &Side, call: Call) -> Option<Reply> {
    let address = side.node.holder_address(permit::RESOURCE)?;
    side.node.link.unary_call(address, Role::Entry, &call, node::CALL_TIMEOUT).await.ok()
}
