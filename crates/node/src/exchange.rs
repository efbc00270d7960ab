//! Anti-entropy exchange of configuration and leases with peers.
//!
//! Keeps an instance up to date that cannot read the log itself, and feeds the results of the
//! exchanges to [`fleet::freshness`].

use std::sync::Arc;

use rand::seq::IndexedRandom as _;

use fleet::member::{Member, Role};
use wire::frame::{Call, Reply};

use crate::Node;

/// Requests newer configuration from a random entry instance at every exchange interval.
pub async fn run(node: Arc<Node>) {
    loop {
        sync_with_random_peer(&node).await;
        node.kernel.clock.sleep(node.settings.exchange_interval).await;
    }
}

/// Fetches the lease table from `peer` if the own table is partial, which it is when lease
/// records expired before this process read them.
async fn fetch_missing_leases(node: &Node, peer: &Member) {
    if !node.with_participant(|participant| participant.table().is_partial()) {
        return;
    }
    if let Ok(Reply::Leases(table)) = node.call(peer, &Call::Leases).await {
        node.with_participant(|participant| participant.install_table(table));
    }
}

async fn sync_with_random_peer(node: &Node) {
    let Some(peer) = node.peers(Role::Entry).choose(&mut rand::rng()).cloned() else { return };
    fetch_missing_leases(node, &peer).await;
    let started_at = node.now();
    let next = node.replica.read().sync_offset();
    match node.call(&peer, &Call::Sync { next }).await {
        Ok(Reply::Update(update)) => {
            node.freshness.lock().on_exchange_success(started_at);
            if node.replica.write().apply(update) {
                node.configuration_changed.notify(usize::MAX);
            }
        }
        Ok(_) => node.freshness.lock().on_exchange_failure(started_at),
        Err(error) => {
            log::debug!("no configuration update from {}: {error}", peer.instance);
            node.freshness.lock().on_exchange_failure(started_at);
        }
    }
}
