//! News from peers, for instances that cannot read the log.

use std::sync::Arc;

use fleet::member::Role;
use rand::seq::IndexedRandom as _;
use wire::frame::{Call, Reply};

use crate::Node;

/// Asks one random entry instance at a time for newer configuration.
pub async fn run(node: Arc<Node>) {
    loop {
        with_one_peer(&node).await;
        node.kernel.clock.sleep(node.settings.exchange_interval).await;
    }
}

async fn with_one_peer(node: &Node) {
    let Some(peer) = node.peers(Role::Entry).choose(&mut rand::rng()).cloned() else { return };
    let at = node.now();
    let next = node.replica.read().next();
    match node.ask(&peer, &Call::Sync { next }).await {
        Ok(Reply::Update(update)) => {
            node.freshness.lock().on_answer(at);
            if node.replica.write().absorb(update) {
                node.configuration_changed.notify(usize::MAX);
            }
        }
        Ok(_) | Err(_) => node.freshness.lock().on_silence(at),
    }
}
