//! Loading an adapter within the weight store's budget.

use std::{sync::Arc, time::Duration};

use fleet::Name;
use placement::slots::{Key, SlotId};
use quota::permit;
use schedule::retry;
use wire::{
    frame::{Call, Permit, Reply},
    identity::Role,
};

use crate::{Loaded, Side, engine_watch};

/// Longest wait for a permit.
const PERMIT_PATIENCE: Duration = Duration::from_secs(30);
/// Pause while nobody holds the load budget.
const NO_HOLDER_PAUSE: Duration = Duration::from_millis(200);
/// Loads that the average of their waits covers.
const AVERAGED_LOADS: u32 = 10;
/// Time that an order to unload may take.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// What has to be loaded, and for whom.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) key: Key,
    pub(crate) stay: SlotId,
    pub(crate) victim: Option<Key>,
    /// Account of the request that needs it first.
    pub(crate) account: Name,
}

/// Loads an adapter after dropping the victim, and tells the waiters.
pub(crate) async fn run(side: Arc<Side>, order: Order) {
    let Order { key, stay, victim, account } = order;
    let began = side.node.now();
    let is_loaded = load(&side, &key, victim.as_ref(), &account).await;
    let waited = side.node.now() - began;
    metrics::histogram!("chivelatch_load_wait_seconds").record(waited.as_secs_f64());
    let outcome = if is_loaded { Loaded::Yes } else { Loaded::No };
    let waiters = {
        let mut core = side.core.lock();
        core.load_wait = (core.load_wait * (AVERAGED_LOADS - 1) + waited) / AVERAGED_LOADS;
        if is_loaded {
            core.slots.load_succeeded(stay);
        } else {
            core.slots.load_failed(stay);
        }
        core.loading.remove(&stay).unwrap_or_default()
    };
    for waiter in waiters {
        let _gone = waiter.try_send(outcome);
    }
    side.wake.notify(usize::MAX);
}

/// Name of an adapter version at the engine and in the weight store.
pub(crate) fn model(key: &Key) -> String {
    format!("{}@{}", key.adapter, key.version)
}

/// The adapter version that a name at the engine stands for.
pub(crate) fn parse_model(name: &str) -> Option<Key> {
    let (adapter, version) = name.rsplit_once('@')?;
    Some(Key { adapter: Arc::from(adapter), version: version.parse().ok()? })
}

async fn load(side: &Side, key: &Key, victim: Option<&Key>, account: &Name) -> bool {
    if let Some(victim) = victim {
        unload(side, victim).await;
    }
    for attempt in 0..side.settings.load_tries {
        let Some((permit, epoch)) = permit(side, account).await else { return false };
        let is_loaded = order(side, key).await;
        give_back(side, permit).await;
        if is_loaded {
            // A load that ended in an engine that has since crashed is void.
            return side.core.lock().epoch == epoch;
        }
        engine_watch::check(side, epoch).await;
        if side.core.lock().epoch != epoch {
            return false;
        }
        side.node.kernel.clock.sleep(retry::delay(attempt as u32, 1.0)).await;
    }
    false
}

async fn order(side: &Side, key: &Key) -> bool {
    let Some(held) = side.held() else { return false };
    let model = model(key);
    let ordered = side.engine.load(&model, held.fence, side.settings.load_timeout).await;
    match ordered {
        Ok(()) => true,
        Err(error) => {
            metrics::counter!("chivelatch_load_failures_total").increment(1);
            log::warn!("loading {model} failed: {error}");
            false
        }
    }
}

async fn unload(side: &Side, victim: &Key) {
    let Some(held) = side.held() else { return };
    let model = model(victim);
    if let Err(error) = side.engine.unload(&model, held.fence, UNLOAD_TIMEOUT).await {
        log::warn!("unloading {model} failed: {error}");
    }
}

/// Waits for a permit; `None` when it is not to be had in time.
async fn permit(side: &Side, account: &Name) -> Option<(u64, u64)> {
    let deadline = side.node.now() + PERMIT_PATIENCE;
    while side.node.now() < deadline && !side.core.lock().is_engine_down {
        let pause = match ask(side, account).await {
            Some(Permit::Granted(permit)) => return Some((permit, side.core.lock().epoch)),
            Some(Permit::Later(wait)) => wait,
            Some(Permit::NotHolder) | None => NO_HOLDER_PAUSE,
        };
        side.node.kernel.clock.sleep(pause).await;
    }
    None
}

async fn ask(side: &Side, account: &Name) -> Option<Permit> {
    let account = Arc::clone(account);
    match to_holder(side, Call::AskPermit { account }).await? {
        Reply::Permit(permit) => Some(permit),
        _ => None,
    }
}

async fn give_back(side: &Side, permit: u64) {
    // A permit that is not given back expires at its holder.
    let _expires = to_holder(side, Call::ReturnPermit(permit)).await;
}

async fn to_holder(side: &Side, call: Call) -> Option<Reply> {
    let address = side.node.holder_address(permit::RESOURCE)?;
    side.node.link.ask(address, Role::Entry, &call, node::CALL_TIMEOUT).await.ok()
}
